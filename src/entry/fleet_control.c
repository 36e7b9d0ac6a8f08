#include "entry/fleet_control.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "core/roster.h"
#include "entry/group.h"
#include "entry/placing.h"
#include "entry/relay.h"
#include "entry/topic.h"
#include "platform/configuration.h"
#include "platform/runner.h"

#include <pthread.h>
#include <string.h>

#define TICK_MS 250

/* Share of the time in which keys may be served after their removal that a
   call for the configuration waits for a change.  Its answer proves that the
   configuration was the newest when it was sent, so a proof gets up to twice
   as old. */
#define CONFIG_WAIT_SHARE 0.2

/* The same for a daemon whose proofs others rely on, which age on the way. */
#define RELAY_WAIT_SHARE 0.12

/* Share of the time in which a leaving endpoint may still get work that passes
   between two readings of the list; the rest is for the store's answer. */
#define LIST_PACE_SHARE 0.5

/* Share of the time in which a change must be in force that the store may take
   for an answer: when it is back after an outage, the calls that it never
   answered must end soon enough for another one. */
#define ANSWER_SHARE 0.6

/* Connections to the platform and to endpoints, for orders. */
#define CONNECT_TIMEOUT_US (800 * CLK_MS_US)
#define IDLE_MAX_US (8 * CLK_S_US)
#define IDLE_MARGIN_US (1 * CLK_S_US)
#define SILENCE_MS 1500
#define IDLE_CONNECTIONS_MAX 2

struct fct_control
{
  pthread_t thread;
  uv_loop_t loop;
  uv_async_t leave;
  uv_async_t stop;
  uv_timer_t tick;
  const struct ens_settings *settings;
  struct fvw_store *views;
  fct_notify notify;
  void *context;
  struct ncl_client *client;
  struct tpc_topic *operator_topic;
  struct tpc_topic *endpoint_topic;
  struct rly_relay *relay;
  bool is_relay;     /* other daemons ask this one */
  GPtrArray *relays; /* addresses of other daemons' relays, NULL-terminated */
  struct grp_group *group;
  struct plc_placer *placer;
  struct flt_config *config;
  struct rst *roster;
  struct fvw_view *view; /* the last one published */
  bool changed;          /* since then */
};

/* Publishes a view when anything has changed.  */
static void
publish (struct fct_control *control)
{
  double share = grp_share (control->group);
  if (!control->changed && share == control->view->share)
    {
      return;
    }
  control->changed = false;
  fvw_release (control->view);
  control->view
      = fvw_view_create (control->config, rst_list (control->roster), share);
  fvw_publish (control->views, fvw_reference (control->view));
  control->notify (control->context);
}

/* Takes the configuration that RECORD holds, if it is a newer one.  */
static void
take_configuration (struct fct_control *control,
                    const struct pfs_record *record)
{
  g_autoptr (GError) error = NULL;
  struct flt_config *config
      = pfc_decode (record->value, record->value_bytes, &error);
  if (config == NULL)
    {
      lg_line (LOG_ERR, "configuration_refused", "offset=%lu why=\"%s\"",
               (unsigned long)record->offset, error->message);
      return;
    }
  if (control->config != NULL && config->version <= control->config->version)
    {
      flt_release (config);
      return;
    }
  lg_line (LOG_NOTICE, "configuration_in_force",
           "version=%lu before=%lu routes=%u services=%u accounts=%u",
           (unsigned long)config->version,
           (unsigned long)(control->config ? control->config->version : 0),
           config->route_count, config->service_count, config->account_count);
  flt_release (control->config);
  control->config = config;
  control->changed = true;
}

static void
on_operator_record (void *context, const struct pfs_record *record)
{
  struct fct_control *control = context;
  if (strcmp (record->key, PFS_CONFIGURATION_KEY) == 0
      && record->value != NULL)
    {
      rly_put (control->relay, PFS_OPERATOR_TOPIC, record);
      take_configuration (control, record);
    }
}

static void
on_operator_current (void *context, int64_t proved_us, uint64_t end)
{
  struct fct_control *control = context;
  rly_current (control->relay, PFS_OPERATOR_TOPIC, end, proved_us);
  publish (control);
  if (control->config != NULL)
    {
      fvw_set_proved (control->views, proved_us);
    }
}

static void
ignore (void *context)
{
  (void)context;
}

static void
on_operator_end (void *context, uint64_t end)
{
  struct fct_control *control = context;
  rly_restart (control->relay, PFS_OPERATOR_TOPIC, end);
}

static void
ignore_outage (void *context, const char *why)
{
  (void)context;
  (void)why;
}

static const struct tpc_events operator_events = {
  .begin_full = ignore,
  .end_full = on_operator_end,
  .record = on_operator_record,
  .current = on_operator_current,
  .outage = ignore_outage,
};

static void
on_endpoint_record (void *context, const struct pfs_record *record)
{
  struct fct_control *control = context;
  g_autoptr (GError) error = NULL;
  struct rst_endpoint *endpoint = NULL;
  if (record->value != NULL)
    {
      endpoint = pfr_decode_entry (record->key, record->value,
                                   record->value_bytes, &error);
    }
  if (error != NULL)
    {
      lg_line (LOG_WARNING, "endpoint_entry_refused", "offset=%lu why=\"%s\"",
               (unsigned long)record->offset, error->message);
    }
  bool changed = endpoint != NULL
                     ? rst_take (control->roster, endpoint, record->offset)
                     : rst_remove (control->roster, record->key,
                                   record->offset, clk_monotonic_us ());
  if (changed || endpoint == NULL)
    {
      rly_put (control->relay, PFS_ENDPOINT_TOPIC, record);
    }
  if (changed)
    {
      lg_line (LOG_INFO, "endpoint_changed",
               "endpoint=%s offset=%lu listed=%d leaving=%d layers=%u-%u",
               record->key, (unsigned long)record->offset, endpoint != NULL,
               endpoint != NULL && endpoint->leaving,
               endpoint != NULL ? endpoint->layers.first : 0,
               endpoint != NULL ? endpoint->layers.end : 0);
      control->changed = true;
    }
}

static void
on_endpoint_begin (void *context)
{
  struct fct_control *control = context;
  rst_contact (control->roster, clk_monotonic_us ());
  rst_begin_full (control->roster);
}

static void
on_endpoint_end (void *context, uint64_t end)
{
  struct fct_control *control = context;
  rly_restart (control->relay, PFS_ENDPOINT_TOPIC, end);
  control->changed |= rst_end_full (control->roster, end, clk_monotonic_us ());
  publish (control);
}

static void
on_endpoint_current (void *context, int64_t proved_us, uint64_t end)
{
  struct fct_control *control = context;
  rly_current (control->relay, PFS_ENDPOINT_TOPIC, end, proved_us);
  rst_contact (control->roster, clk_monotonic_us ());
  publish (control);
}

static void
on_endpoint_outage (void *context, const char *why)
{
  (void)why;
  struct fct_control *control = context;
  rst_outage (control->roster);
}

static const struct tpc_events endpoint_events = {
  .begin_full = on_endpoint_begin,
  .end_full = on_endpoint_end,
  .record = on_endpoint_record,
  .current = on_endpoint_current,
  .outage = on_endpoint_outage,
};

static void
on_leave (uv_async_t *leave)
{
  struct fct_control *control = leave->data;
  grp_leave (control->group);
}

static void
on_stop (uv_async_t *stop)
{
  struct fct_control *control = stop->data;
  tpc_destroy (control->operator_topic);
  tpc_destroy (control->endpoint_topic);
  plc_destroy (control->placer);
  grp_destroy (control->group);
  rly_destroy (control->relay);
  ncl_destroy (control->client);
  uv_close ((uv_handle_t *)&control->tick, NULL);
  uv_close ((uv_handle_t *)&control->leave, NULL);
  uv_close ((uv_handle_t *)&control->stop, NULL);
}

/* Returns how long a call for the configuration waits, by its SHARE of the
   time in which keys may be served after their removal.  */
static uint32_t
wait_ms (const struct fct_control *control, double share)
{
  return (uint32_t)((double)control->settings->revoke_us * share / CLK_MS_US);
}

/* In a large fleet, lets the relays read the store for all, and read it often
   enough for that.  */
static void
choose_readers (struct fct_control *control)
{
  bool crowded = grp_exceeds_partitions (control->group);
  bool asks = crowded && !control->is_relay;
  bool relays = crowded && control->is_relay;
  tpc_ask_relays (control->operator_topic, asks);
  tpc_ask_relays (control->endpoint_topic, asks);
  tpc_set_wait (
      control->operator_topic,
      wait_ms (control, relays ? RELAY_WAIT_SHARE : CONFIG_WAIT_SHARE));
}

static void
on_tick (uv_timer_t *timer)
{
  struct fct_control *control = timer->data;
  int64_t now_us = clk_monotonic_us ();
  ncl_expire (control->client, now_us);
  control->changed |= rst_tick (control->roster, now_us);
  publish (control);
  choose_readers (control);
  plc_step (control->placer, control->view->config, control->view->endpoints,
            now_us);
}

/* Begins to follow the topics of the store.  */
static void
follow_topics (struct fct_control *control)
{
  struct tpc_params params = {
    .client = control->client,
    .loop = &control->loop,
    .address = control->settings->store_address,
    .topic = PFS_OPERATOR_TOPIC,
    .relays = (const char *const *)control->relays->pdata,
    .wait_ms = wait_ms (control, CONFIG_WAIT_SHARE),
    .answer_longest_ms = (uint32_t)((double)control->settings->config_us
                                    * ANSWER_SHARE / CLK_MS_US),
    .events = &operator_events,
    .context = control,
  };
  control->operator_topic = tpc_create (&params);
  params.topic = PFS_ENDPOINT_TOPIC;
  params.wait_ms = 0;
  params.pace_ms = (uint32_t)((double)control->settings->drain_us
                              * LIST_PACE_SHARE / CLK_MS_US);
  params.events = &endpoint_events;
  control->endpoint_topic = tpc_create (&params);
}

/* Finds the relays that this daemon asks, and whether it is one itself.  */
static void
find_relays (struct fct_control *control)
{
  char **listed = control->settings->relays;
  control->relays = g_ptr_array_new ();
  for (guint i = 0; listed != NULL && listed[i] != NULL; i++)
    {
      bool own = strcmp (listed[i], control->settings->relay_address) == 0;
      control->is_relay |= own;
      if (!own)
        {
          g_ptr_array_add (control->relays, listed[i]);
        }
    }
  g_ptr_array_add (control->relays, NULL);
}

/* Joins the group, under a name that no earlier start of this daemon had.  */
static void
join_group (struct fct_control *control)
{
  char *member
      = g_strdup_printf ("%s-%08x", control->settings->name, g_random_int ());
  const struct grp_params params = {
    .client = control->client,
    .loop = &control->loop,
    .address = control->settings->store_address,
    .member = member,
    .partitions = control->settings->store_partitions,
  };
  control->group = grp_create (&params);
  g_free (member);
}

static void *
run (void *argument)
{
  struct fct_control *control = argument;
  rcu_register_thread ();
  uv_run (&control->loop, UV_RUN_DEFAULT);
  rcu_unregister_thread ();
  return NULL;
}

/* Starts the control thread, which publishes into VIEWS and tells NOTIFY with
   CONTEXT of each view.  It replaces engines that VERDICTS call dead.
   SETTINGS must outlive it.  */
struct fct_control *
fct_create (const struct ens_settings *settings, struct fvw_store *views,
            struct vdt_verdicts *verdicts, fct_notify notify, void *context,
            GError **error)
{
  struct fct_control *control = g_new0 (struct fct_control, 1);
  const struct ncl_params client_params = {
    .idle_max_us = IDLE_MAX_US,
    .idle_margin_us = IDLE_MARGIN_US,
    .connect_timeout_us = CONNECT_TIMEOUT_US,
    .silence_ms = SILENCE_MS,
    .idle_connections_max = IDLE_CONNECTIONS_MAX,
  };
  control->settings = settings;
  control->views = views;
  control->notify = notify;
  control->context = context;
  control->roster = rst_create ();
  control->view = fvw_view_create (NULL, rst_list (control->roster), 0);
  uv_loop_init (&control->loop);
  control->client = ncl_create (&control->loop, &client_params);
  uv_async_init (&control->loop, &control->leave, on_leave);
  control->leave.data = control;
  uv_async_init (&control->loop, &control->stop, on_stop);
  control->stop.data = control;
  uv_timer_init (&control->loop, &control->tick);
  control->tick.data = control;
  uv_timer_start (&control->tick, on_tick, TICK_MS, TICK_MS);
  control->relay = rly_create (&control->loop, settings->relay_address, error);
  if (control->relay == NULL)
    {
      return NULL; /* the process ends */
    }
  find_relays (control);
  join_group (control);
  const struct plc_params placer_params = {
    .client = control->client,
    .loop = &control->loop,
    .group = control->group,
    .verdicts = verdicts,
  };
  control->placer = plc_create (&placer_params);
  follow_topics (control);
  int status = pthread_create (&control->thread, NULL, run, control);
  if (status != 0)
    {
      g_set_error (error, ERR_DOMAIN, ERR_INTERNAL,
                   "can't start the control thread: %s", g_strerror (status));
      return NULL;
    }
  return control;
}

/* Takes the daemon out of the group, from any thread, because it stops soon;
   it goes on following the configuration and the list.  */
void
fct_leave_group (struct fct_control *control)
{
  uv_async_send (&control->leave);
}

/* Ends the control thread.  */
void
fct_destroy (struct fct_control *control)
{
  if (control == NULL)
    {
      return;
    }
  uv_async_send (&control->stop);
  pthread_join (control->thread, NULL);
  uv_loop_close (&control->loop);
  fvw_release (control->view);
  flt_release (control->config);
  rst_destroy (control->roster);
  g_ptr_array_free (control->relays, TRUE);
  g_free (control);
}
