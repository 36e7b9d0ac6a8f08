#include "entry/fleet_control.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "core/roster.h"
#include "core/shared_rate.h"
#include "entry/directory.h"
#include "entry/endpoint_list.h"
#include "entry/evidence_topic.h"
#include "entry/group.h"
#include "entry/holders.h"
#include "entry/placing.h"
#include "entry/relay.h"
#include "entry/topic.h"
#include "platform/configuration.h"

#include <math.h>
#include <pthread.h>
#include <string.h>

/* Interval at which periodic work is done, such as the placement of layers. */
#define TICK_INTERVAL_MS 250

/* A daemon whose relays have failed for a time between this and twice this
   looks for others, and joins its group again if it had left.  The time is
   random, so that the daemons of a fleet that lost its relays don't all do so
   at once. */
#define RELAYLESS_MIN_US (1 * CLK_S_US)

/* A member of the group that has owned no partition for this long leaves it.
 */
#define IDLE_MEMBER_MAX_US (6 * CLK_S_US)

/* Change of the share of rates, relative to the one in force, from which a new
   view is published. */
#define RATE_SHARE_CHANGE 0.1

/* Interval of looking for relays. */
#define FIND_RELAYS_INTERVAL_US (5 * CLK_S_US)

/* Limits of the connections to the store, to relays, and to endpoints for
   orders. */
#define CONNECT_TIMEOUT_US (800 * CLK_MS_US)
#define IDLE_MAX_US (8 * CLK_S_US)
#define IDLE_MARGIN_US (1 * CLK_S_US)
#define USER_TIMEOUT_MS 1500
#define IDLE_CONNECTIONS_MAX 2

/* Topics of the store that a daemon follows. */
#define TOPICS 3

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
  struct epl_list *endpoints;
  struct evt_topic *evidence;
  struct dir_directory *directory;
  struct tpc_topic *topics[TOPICS]; /* these three */
  struct qrn_quarantine *quarantine;
  struct nbr_neighbours *neighbours;
  struct rly_relay *relay;
  bool is_relay;          /* the settings name this daemon as a relay */
  bool runs_relay;        /* reads the store for other daemons too */
  bool crowded;           /* see rfs_is_crowded */
  uint32_t relay_readers; /* of the relay that was read last */
  struct shr_daemons daemons;
  GPtrArray *relays;        /* addresses of other daemons' relays */
  int64_t relayless_max_us; /* see RELAYLESS_MIN_US */
  int64_t find_relays_us;   /* monotonic; no search before */
  struct hld_holders *holders;
  struct grp_group *group;
  struct plc_placer *placer;
  struct flt_config *config; /* in force; NULL before the first */
  GBytes *config_text;       /* its record's value */
  uint64_t era;              /* of the store, newest that was seen */
  struct fvw_view *view;     /* newest that was published */
  bool view_outdated;        /* there are changes since then */
  struct vdt_verdicts *verdicts;
  uint64_t departures_count; /* of those that readers were told of */
};

/* Returns this daemon's share of a rate of which all daemons together have
   one.  The readers of the relays tell how many there are.  Without any, all
   are members of the group, whose SHARE counts, and a daemon that doesn't know
   its own yet takes the least.  */
static double
rate_share_of (struct fct_control *control, double share)
{
  uint32_t relays = control->relays->len + control->is_relay;
  uint32_t readers
      = MAX (control->relay_readers, rly_readers (control->relay));
  if (relays > 0 && readers > 0)
    {
      shr_see_daemons (&control->daemons, (readers + 1) * relays,
                       clk_monotonic_us ());
    }
  if (control->daemons.most < 1)
    {
      return share > 0 ? share : 1.0 / control->settings->store_partitions;
    }
  return shr_share_of (&control->daemons, control->crowded ? 0 : share);
}

/* Publishes a new view if its configuration, endpoints or share have
   changed.  */
static void
publish (struct fct_control *control)
{
  double share = grp_share (control->group);
  double rate_share = rate_share_of (control, share);
  bool rate_changed = fabs (rate_share - control->view->rate_share)
                      > RATE_SHARE_CHANGE * control->view->rate_share;
  if (!control->view_outdated && share == control->view->share
      && control->crowded == control->view->crowded && !rate_changed)
    {
      return;
    }
  control->view_outdated = false;
  fvw_release (control->view);
  control->view = fvw_view_create (
      control->config, epl_endpoints (control->endpoints), share, rate_share);
  control->view->crowded = control->crowded;
  fvw_publish (control->views, fvw_reference (control->view));
  control->notify (control->context);
}

/* Applies the configuration in RECORD if it is valid and newer than the one in
   force.  Returns false when it is older.  */
static bool
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
      return true;
    }
  if (control->config != NULL && config->version <= control->config->version)
    {
      bool older = config->version < control->config->version;
      if (older)
        {
          lg_line (LOG_NOTICE, "configuration_kept",
                   "version=%lu offset=%lu read=%lu",
                   (unsigned long)control->config->version,
                   (unsigned long)record->offset,
                   (unsigned long)config->version);
        }
      flt_release (config);
      return !older;
    }
  lg_line (LOG_NOTICE, "configuration_in_force",
           "version=%lu before=%lu routes=%u services=%u accounts=%u",
           (unsigned long)config->version,
           (unsigned long)(control->config ? control->config->version : 0),
           config->route_count, config->service_count, config->account_count);
  flt_release (control->config);
  control->config = config;
  if (control->config_text != NULL)
    {
      g_bytes_unref (control->config_text);
    }
  control->config_text = g_bytes_new (record->value, record->value_bytes);
  control->view_outdated = true;
  return true;
}

/* Relays the configuration in force as the record at OFFSET.  */
static void
relay_configuration (struct fct_control *control, uint64_t offset)
{
  gsize bytes = 0;
  const struct pfs_record record = {
    .key = (char *)PFS_CONFIGURATION_KEY,
    .value = (uint8_t *)g_bytes_get_data (control->config_text, &bytes),
    .value_bytes = bytes,
    .offset = offset,
  };
  rly_add_record (control->relay, PFS_OPERATOR_TOPIC, &record);
}

static bool
is_configuration (const struct pfs_record *record)
{
  return strcmp (record->key, PFS_CONFIGURATION_KEY) == 0
         && record->value != NULL;
}

/* Handles a record of the operator.  The store may have lost a newer
   configuration in a restore; other daemons get the newest that is known.  */
static void
on_operator_record (void *context, const struct pfs_record *record)
{
  struct fct_control *control = context;
  if (!is_configuration (record))
    {
      return;
    }
  if (apply_configuration (control, record))
    {
      rly_add_record (control->relay, PFS_OPERATOR_TOPIC, record);
    }
  else
    {
      relay_configuration (control, record->offset);
    }
}

/* Handles what another daemon's relay holds: a configuration was in force if
   any daemon knows it, whether or not the store still has it.  */
static void
on_operator_held (void *context, const struct pfs_record *record,
                  bool same_era)
{
  (void)same_era;
  struct fct_control *control = context;
  uint64_t before = control->config == NULL ? 0 : control->config->version;
  if (!is_configuration (record))
    {
      return;
    }
  apply_configuration (control, record);
  if (control->config != NULL && control->config->version > before)
    {
      uint64_t offset = 0;
      rly_find_key (control->relay, PFS_OPERATOR_TOPIC, PFS_CONFIGURATION_KEY,
                    &offset);
      relay_configuration (control, offset);
    }
}

/* Handles that no daemon that was asked knows the operator's topic.  */
static void
on_operator_unknown (void *context)
{
  struct fct_control *control = context;
  hld_find_members (control->holders);
}

/* Handles a change of the store's era: RESTORED says that it was restored from
   an older copy.  The membership of the era before is void.  */
static void
handle_era (struct fct_control *control, const char *topic, uint64_t era,
            bool restored)
{
  if (restored && era > control->era)
    {
      fvw_count_restore (control->views);
      dir_publish_again (control->directory);
    }
  control->era = MAX (control->era, era);
  rly_set_era (control->relay, topic, era);
  grp_set_era (control->group, era);
  hld_find (control->holders);
}

/* Handles a change of the era of the operator's topic.  The configuration in
   force stays so, and is relayed until the store has a newer one.  */
static void
on_operator_era (void *context, uint64_t era, bool restored)
{
  struct fct_control *control = context;
  handle_era (control, PFS_OPERATOR_TOPIC, era, restored);
  if (control->config_text != NULL)
    {
      relay_configuration (control, 0);
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
      bool is_first = fvw_proved_us (control->views) == 0;
      fvw_set_proved (control->views, proved_us);
      if (is_first)
        {
          control->notify (control->context);
        }
    }
}

static void
on_operator_begin (void *context)
{
  struct fct_control *control = context;
  rly_begin_snapshot (control->relay, PFS_OPERATOR_TOPIC);
}

static void
on_operator_end (void *context, uint64_t end)
{
  struct fct_control *control = context;
  rly_end_snapshot (control->relay, PFS_OPERATOR_TOPIC, end);
}

static void
ignore_outage (void *context, int64_t away_us, const char *why)
{
  (void)context;
  (void)away_us;
  (void)why;
}

static const struct tpc_events operator_events = {
  .era = on_operator_era,
  .snapshot_begin = on_operator_begin,
  .snapshot_end = on_operator_end,
  .record = on_operator_record,
  .held = on_operator_held,
  .unknown = on_operator_unknown,
  .current = on_operator_current,
  .outage = ignore_outage,
};

/* Passes on at once what an answer to an order has shown.  */
static void
on_order_shown (void *context)
{
  struct fct_control *control = context;
  control->view_outdated = true;
  publish (control);
}

/* Tells waiting readers of new departures, together if there are several.  */
static void
announce_departures (struct fct_control *control)
{
  uint64_t count = vdt_leaving_count (control->verdicts);
  if (count != control->departures_count)
    {
      control->departures_count = count;
      rly_departures_changed (control->relay);
    }
}

static void
on_leave (uv_async_t *leave)
{
  struct fct_control *control = leave->data;
  grp_leave (control->group);
  dir_withdraw (control->directory);
}

static void
on_stop (uv_async_t *stop)
{
  struct fct_control *control = stop->data;
  tpc_destroy (control->operator_topic);
  epl_destroy (control->endpoints);
  evt_destroy (control->evidence);
  dir_destroy (control->directory);
  plc_destroy (control->placer);
  grp_destroy (control->group);
  rly_destroy (control->relay);
  ncl_destroy (control->client);
  uv_close ((uv_handle_t *)&control->tick, NULL);
  uv_close ((uv_handle_t *)&control->leave_group, NULL);
  uv_close ((uv_handle_t *)&control->stop, NULL);
}

/* Makes the topics use the relays at ADDRESSES.  */
static void
set_relays (struct fct_control *control, const GPtrArray *addresses)
{
  for (uint32_t i = 0; i < TOPICS; i++)
    {
      tpc_set_relays (control->topics[i], addresses);
    }
}

/* Makes the topics use the relays of the settings and those at FOUND.  */
static void
on_relays_found (void *context, const GPtrArray *found)
{
  struct fct_control *control = context;
  if (found == NULL)
    {
      return;
    }
  GPtrArray *all = g_ptr_array_new ();
  for (guint i = 0; i < control->relays->len; i++)
    {
      g_ptr_array_add (all, g_ptr_array_index (control->relays, i));
    }
  hld_add_others (found, control->settings->relay_address, all);
  set_relays (control, all);
  g_ptr_array_free (all, TRUE);
}

/* In a crowded fleet, lets only the relays read the store, and lets only these
   and the owners of partitions be members of the group.  Looks for relays when
   the known ones fail.  */
static void
choose_sources (struct fct_control *control, int64_t now_us)
{
  struct rly_hint hint = { 0 };
  bool has_hint = tpc_take_hint (epl_source (control->endpoints), &hint);
  if (has_hint)
    {
      control->relay_readers = hint.readers;
    }
  const struct rfs_crowd crowd = {
    .was_crowded = control->crowded,
    .is_member = grp_is_member (control->group),
    .partitions = control->settings->store_partitions,
    .owned_partitions = grp_partitions (control->group),
    .has_hint = has_hint,
    .relay_readers = hint.readers,
    .relays = control->relays->len,
  };
  control->crowded = rfs_is_crowded (&crowd);
  rly_set_partitions (control->relay, grp_partitions (control->group));
  int64_t relayless_us
      = control->relays->len == 0
            ? INT64_MAX
            : MAX (tpc_relayless_us (control->operator_topic, now_us),
                   tpc_relayless_us (epl_source (control->endpoints), now_us));
  bool is_relayless = relayless_us > control->relayless_max_us;
  control->runs_relay |= control->is_relay
                         || (is_relayless && grp_runs_relay (control->group));
  bool uses_relays = control->crowded && !control->runs_relay;
  for (uint32_t i = 0; i < TOPICS; i++)
    {
      tpc_prefer_relays (control->topics[i], uses_relays);
    }
  bool serves_relay = rly_has_readers (control->relay);
  tpc_serve_relay (control->operator_topic, serves_relay);
  tpc_serve_relay (evt_source (control->evidence), serves_relay);
  const struct rfs_part part = {
    .is_relay = control->runs_relay,
    .is_member = grp_is_member (control->group),
    .idle_us = grp_idle_us (control->group, now_us),
    .relayless_us = relayless_us,
    .has_hint = has_hint,
    .relay_partitions = hint.partitions,
    .relay_readers = hint.readers,
    .chance = g_random_double (),
  };
  grp_keep_membership (control->group,
                       rfs_needs_membership (&part, IDLE_MEMBER_MAX_US,
                                             control->relayless_max_us));
  if (uses_relays && is_relayless && now_us >= control->find_relays_us)
    {
      control->find_relays_us = now_us + FIND_RELAYS_INTERVAL_US;
      grp_find_relays (control->group, on_relays_found, control);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  struct fct_control *control = timer->data;
  int64_t now_us = clk_monotonic_us ();
  ncl_expire (control->client, now_us);
  control->view_outdated |= epl_take_changed (control->endpoints);
  publish (control);
  announce_departures (control);
  choose_sources (control, now_us);
  uint64_t fence = 0;
  evt_step (control->evidence, grp_is_leader (control->group, &fence), now_us);
  hld_step (control->holders);
  dir_step (control->directory, now_us);
  plc_step (control->placer, control->view->config, control->view->endpoints,
            now_us);
}

static void
on_topic_era (void *context, const char *topic, uint64_t era, bool restored)
{
  handle_era (context, topic, era, restored);
}

static void
on_list_read (void *context)
{
  struct fct_control *control = context;
  control->view_outdated |= epl_take_changed (control->endpoints);
  publish (control);
}

/* Makes the traffic thread look at the quarantine again.  */
static void
on_evidence_changed (void *context)
{
  struct fct_control *control = context;
  control->notify (control->context);
}

/* Starts to follow the topics of the store.  */
static void
follow_topics (struct fct_control *control)
{
  const struct rfs_bounds bounds = {
    .drain_us = control->settings->drain_us,
    .config_us = control->settings->config_apply_max_us,
    .revoke_us = control->settings->revoke_us,
    .quarantine_us = control->settings->quarantine_us,
    .settle_us = control->settings->settle_us,
  };
  struct tpc_params params = {
    .client = control->client,
    .loop = &control->loop,
    .address = control->settings->store_address,
    .topic = PFS_OPERATOR_TOPIC,
    .events = &operator_events,
    .context = control,
  };
  control->crowded = control->relays->len > 0;
  params.prefers_relays = control->crowded && !control->is_relay;
  rfs_plan_config (&bounds, &params.plan);
  control->operator_topic = tpc_create (&params);
  struct epl_params list_params = {
    .client = control->client,
    .loop = &control->loop,
    .store_address = control->settings->store_address,
    .prefers_relays = params.prefers_relays,
    .relay = control->relay,
    .verdicts = control->verdicts,
    .settle_us = control->settings->settle_us,
    .era = on_topic_era,
    .read = on_list_read,
    .context = control,
  };
  rfs_plan_list (&bounds, &list_params.plan);
  control->endpoints = epl_create (&list_params);
  struct evt_params evidence_params = {
    .client = control->client,
    .loop = &control->loop,
    .store_address = control->settings->store_address,
    .prefers_relays = params.prefers_relays,
    .relay = control->relay,
    .quarantine = control->quarantine,
    .era = on_topic_era,
    .changed = on_evidence_changed,
    .context = control,
  };
  rfs_plan_quarantine (&bounds, &evidence_params.plan);
  control->evidence = evt_create (&evidence_params);
  const struct dir_params directory_params = {
    .client = control->client,
    .loop = &control->loop,
    .store_address = control->settings->store_address,
    .name = control->settings->name,
    .caller_address = control->settings->caller_address,
    .neighbours = control->neighbours,
  };
  control->directory = dir_create (&directory_params);
  control->topics[0] = control->operator_topic;
  control->topics[1] = epl_source (control->endpoints);
  control->topics[2] = evt_source (control->evidence);
  for (uint32_t i = 0; i < TOPICS; i++)
    {
      tpc_set_siblings (control->topics[i], control->topics, TOPICS);
    }
  set_relays (control, control->relays);
  const struct hld_params holders_params = {
    .group = control->group,
    .topics = control->topics,
    .topic_count = TOPICS,
    .operator_topic = control->operator_topic,
    .relays = control->relays,
    .own_address = control->settings->relay_address,
    .lookup_max_us = params.plan.age_max_us,
  };
  control->holders = hld_create (&holders_params);
}

/* Sets `relays' to the addresses of other daemons' relays in the settings, and
   `is_relay' if these have this daemon's own.  */
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
}

/* Creates the membership in the group, under a name that is different for each
   start, so that the membership of an earlier start isn't taken over.  */
static void
create_group (struct fct_control *control)
{
  char *member
      = g_strdup_printf ("%s-%08x", control->settings->name, g_random_int ());
  struct grp_params params = {
    .client = control->client,
    .loop = &control->loop,
    .address = control->settings->store_address,
    .member = member,
    .relay_address = control->settings->relay_address,
    .partitions = control->settings->store_partitions,
  };
  rfs_plan_membership (control->settings->membership_min_us, &params.plan);
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
   with CONTEXT after each.  It replaces engines that VERDICTS name as dead or
   leaving, and shares the evidence of QUARANTINE with the other daemons.
   SETTINGS, VIEWS, VERDICTS and QUARANTINE must outlive the result.  Returns
   NULL with ERR_SETTINGS when the relay's address can't be used, or with
   ERR_INTERNAL when the thread can't be started.  */
struct fct_control *
fct_create (const struct ens_settings *settings, struct fvw_store *views,
            struct vdt_verdicts *verdicts, struct qrn_quarantine *quarantine,
            struct nbr_neighbours *neighbours, fct_notify notify,
            void *context, GError **error)
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
  control->verdicts = verdicts;
  control->quarantine = quarantine;
  control->neighbours = neighbours;
  control->notify = notify;
  control->context = context;
  control->view = fvw_view_create (
      NULL,
      g_ptr_array_new_with_free_func ((GDestroyNotify)rst_endpoint_destroy), 0,
      0);
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
  rly_serve_departures (control->relay, verdicts);
  control->relayless_max_us
      = g_random_int_range (RELAYLESS_MIN_US, 2 * RELAYLESS_MIN_US);
  list_relays (control);
  create_group (control);
  const struct plc_params placer_params = {
    .client = control->client,
    .loop = &control->loop,
    .group = control->group,
    .verdicts = verdicts,
    .shown = on_order_shown,
    .context = control,
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
  if (control->config_text != NULL)
    {
      g_bytes_unref (control->config_text);
    }
  hld_destroy (control->holders);
  g_ptr_array_free (control->relays, TRUE);
  g_free (control);
}
