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

/* Interval at which periodic work is done, such as the placement of layers. */
#define TICK_INTERVAL_MS 250

/* How long a call for the configuration waits for a change, as a share of the
   time for which a key may still be served after its removal.  The answer
   proves that the configuration was the newest when the call was sent, so
   proofs get up to twice as old as the wait. */
#define CONFIG_WAIT_SHARE 0.2

/* The same for a daemon that relays the configuration to others: the proofs
   get older on the way to these. */
#define RELAY_WAIT_SHARE 0.12

/* Interval of reading the endpoint list, as a share of the time in which a
   leaving endpoint may still get work; the rest is for the store's answer. */
#define LIST_POLL_SHARE 0.5

/* Limit of the time-out of the store's answers, as a share of the time in
   which a change must be in force everywhere: after an outage, calls that the
   store never answered must time out soon enough for another one. */
#define ANSWER_TIMEOUT_SHARE 0.6

/* Limits of the connections to the store, to relays, and to endpoints for
   orders. */
#define CONNECT_TIMEOUT_US (800 * CLK_MS_US)
#define IDLE_MAX_US (8 * CLK_S_US)
#define IDLE_MARGIN_US (1 * CLK_S_US)
#define USER_TIMEOUT_MS 1500
#define IDLE_CONNECTIONS_MAX 2

struct fct_control
{
  pthread_t thread;
  uv_loop_t loop;
  uv_async_t leave_group; /* sent by fct_leave_group */
  uv_async_t stop;        /* sent by fct_destroy */
  uv_timer_t tick;
  const struct ens_settings *settings;
  struct fvw_store *views;
  fct_notify notify;
  void *context;
  struct ncl_client *client;
  struct tpc_topic *operator_topic;
  struct tpc_topic *endpoint_topic;
  struct rly_relay *relay;
  bool is_relay;     /* other daemons may read from this one */
  GPtrArray *relays; /* addresses of other daemons' relays, NULL-terminated */
  struct grp_group *group;
  struct plc_placer *placer;
  struct flt_config *config; /* in force; NULL before the first */
  struct rst *roster;        /* the endpoint list */
  struct fvw_view *view;     /* newest that was published */
  bool view_outdated;        /* there are changes since then */
};

/* Publishes a new view if its configuration, endpoints or share have
   changed.  */
static void
publish (struct fct_control *control)
{
  double share = grp_share (control->group);
  if (!control->view_outdated && share == control->view->share)
    {
      return;
    }
  control->view_outdated = false;
  fvw_release (control->view);
  control->view
      = fvw_view_create (control->config, rst_list (control->roster), share);
  fvw_publish (control->views, fvw_reference (control->view));
  control->notify (control->context);
}

/* Applies the configuration in RECORD if it is valid and newer than the one in
   force.  */
static void
apply_configuration (struct fct_control *control,
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
  control->view_outdated = true;
}

static void
on_operator_record (void *context, const struct pfs_record *record)
{
  struct fct_control *control = context;
  if (strcmp (record->key, PFS_CONFIGURATION_KEY) == 0
      && record->value != NULL)
    {
      rly_add_record (control->relay, PFS_OPERATOR_TOPIC, record);
      apply_configuration (control, record);
    }
}

/* Handles a proof that the configuration was the newest at PROVED_US.  The
   view is published first, so that the proof never belongs to a view that
   isn't published yet.  */
static void
on_operator_current (void *context, int64_t proved_us, uint64_t end)
{
  struct fct_control *control = context;
  rly_set_current (control->relay, PFS_OPERATOR_TOPIC, end, proved_us);
  publish (control);
  if (control->config != NULL)
    {
      fvw_set_proved (control->views, proved_us);
    }
}

static void
ignore_begin (void *context)
{
  (void)context;
}

static void
on_operator_snapshot (void *context, uint64_t end)
{
  struct fct_control *control = context;
  rly_set_floor (control->relay, PFS_OPERATOR_TOPIC, end);
}

static void
ignore_outage (void *context, const char *why)
{
  (void)context;
  (void)why;
}

static const struct tpc_events operator_events = {
  .snapshot_begin = ignore_begin,
  .snapshot_end = on_operator_snapshot,
  .record = on_operator_record,
  .current = on_operator_current,
  .outage = ignore_outage,
};

/* Handles an entry of the endpoint list, or its removal.  An invalid entry
   counts as a removal.  */
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
                     ? rst_update (control->roster, endpoint, record->offset)
                     : rst_remove (control->roster, record->key,
                                   record->offset, clk_monotonic_us ());
  if (changed || endpoint == NULL)
    {
      rly_add_record (control->relay, PFS_ENDPOINT_TOPIC, record);
    }
  if (changed)
    {
      lg_line (LOG_INFO, "endpoint_changed",
               "endpoint=%s offset=%lu listed=%d leaving=%d layers=%u-%u",
               record->key, (unsigned long)record->offset, endpoint != NULL,
               endpoint != NULL && endpoint->leaving,
               endpoint != NULL ? endpoint->layers.first : 0,
               endpoint != NULL ? endpoint->layers.end : 0);
      control->view_outdated = true;
    }
}

static void
on_list_begin (void *context)
{
  struct fct_control *control = context;
  rst_list_read (control->roster, clk_monotonic_us ());
  rst_begin_full (control->roster);
}

static void
on_list_end (void *context, uint64_t end)
{
  struct fct_control *control = context;
  rly_set_floor (control->relay, PFS_ENDPOINT_TOPIC, end);
  control->view_outdated
      |= rst_end_full (control->roster, end, clk_monotonic_us ());
  publish (control);
}

static void
on_list_current (void *context, int64_t proved_us, uint64_t end)
{
  struct fct_control *control = context;
  rly_set_current (control->relay, PFS_ENDPOINT_TOPIC, end, proved_us);
  rst_list_read (control->roster, clk_monotonic_us ());
  publish (control);
}

static void
on_list_outage (void *context, const char *why)
{
  (void)why;
  struct fct_control *control = context;
  rst_outage (control->roster);
}

static const struct tpc_events endpoint_events = {
  .snapshot_begin = on_list_begin,
  .snapshot_end = on_list_end,
  .record = on_endpoint_record,
  .current = on_list_current,
  .outage = on_list_outage,
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
  uv_close ((uv_handle_t *)&control->leave_group, NULL);
  uv_close ((uv_handle_t *)&control->stop, NULL);
}

/* Returns how long a call for the configuration waits, in milliseconds, as
   SHARE of the time for which a key may still be served after its removal.  */
static uint32_t
long_poll_ms (const struct fct_control *control, double share)
{
  return (uint32_t)((double)control->settings->revoke_us * share / CLK_MS_US);
}

/* In a fleet with more daemons than partitions, lets only the relays read the
   store, and lets these ask for the configuration more often, since others
   rely on their proofs.  */
static void
choose_sources (struct fct_control *control)
{
  bool crowded = grp_exceeds_partitions (control->group);
  bool uses_relays = crowded && !control->is_relay;
  bool serves_others = crowded && control->is_relay;
  tpc_prefer_relays (control->operator_topic, uses_relays);
  tpc_prefer_relays (control->endpoint_topic, uses_relays);
  tpc_set_wait (control->operator_topic,
                long_poll_ms (control, serves_others ? RELAY_WAIT_SHARE
                                                     : CONFIG_WAIT_SHARE));
}

static void
on_tick (uv_timer_t *timer)
{
  struct fct_control *control = timer->data;
  int64_t now_us = clk_monotonic_us ();
  ncl_expire (control->client, now_us);
  control->view_outdated |= rst_expire (control->roster, now_us);
  publish (control);
  choose_sources (control);
  plc_step (control->placer, control->view->config, control->view->endpoints,
            now_us);
}

/* Starts to follow the topics of the store.  */
static void
follow_topics (struct fct_control *control)
{
  struct tpc_params params = {
    .client = control->client,
    .loop = &control->loop,
    .address = control->settings->store_address,
    .topic = PFS_OPERATOR_TOPIC,
    .relays = (const char *const *)control->relays->pdata,
    .wait_ms = long_poll_ms (control, CONFIG_WAIT_SHARE),
    .answer_timeout_max_ms
    = (uint32_t)((double)control->settings->config_apply_max_us
                 * ANSWER_TIMEOUT_SHARE / CLK_MS_US),
    .events = &operator_events,
    .context = control,
  };
  control->operator_topic = tpc_create (&params);
  params.topic = PFS_ENDPOINT_TOPIC;
  params.wait_ms = 0;
  params.poll_interval_ms = (uint32_t)((double)control->settings->drain_us
                                       * LIST_POLL_SHARE / CLK_MS_US);
  params.events = &endpoint_events;
  control->endpoint_topic = tpc_create (&params);
}

/* Sets `relays' to the addresses of other daemons' relays, and `is_relay' if
   the list has this daemon's own.  */
static void
list_relays (struct fct_control *control)
{
  char **addresses = control->settings->relays;
  control->relays = g_ptr_array_new ();
  for (guint i = 0; addresses != NULL && addresses[i] != NULL; i++)
    {
      bool own = strcmp (addresses[i], control->settings->relay_address) == 0;
      control->is_relay |= own;
      if (!own)
        {
          g_ptr_array_add (control->relays, addresses[i]);
        }
    }
  g_ptr_array_add (control->relays, NULL);
}

/* Joins the group under a name that is different for each start, so that the
   membership of an earlier start isn't taken over.  */
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

/* Starts the control thread, which publishes views in VIEWS and calls NOTIFY
   with CONTEXT after each.  It replaces engines that VERDICTS name as dead.
   SETTINGS, VIEWS and VERDICTS must outlive the result.  Returns NULL with
   ERR_SETTINGS when the relay's address can't be used, or with ERR_INTERNAL
   when the thread can't be started.  */
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
    .user_timeout_ms = USER_TIMEOUT_MS,
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
  uv_async_init (&control->loop, &control->leave_group, on_leave);
  control->leave_group.data = control;
  uv_async_init (&control->loop, &control->stop, on_stop);
  control->stop.data = control;
  uv_timer_init (&control->loop, &control->tick);
  control->tick.data = control;
  uv_timer_start (&control->tick, on_tick, TICK_INTERVAL_MS, TICK_INTERVAL_MS);
  control->relay = rly_create (&control->loop, settings->relay_address, error);
  if (control->relay == NULL)
    {
      return NULL; /* no clean-up: the process exits */
    }
  list_relays (control);
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

/* Makes the daemon leave its group since it stops soon; it still follows the
   configuration and the endpoint list.  Thread-safe.  */
void
fct_leave_group (struct fct_control *control)
{
  uv_async_send (&control->leave_group);
}

/* Stops the control thread and frees CONTROL, which may be NULL.  */
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
