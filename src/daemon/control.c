#include "daemon/control.h"

#include "base/clock.h"
#include "base/log.h"
#include "daemon/control_burn.h"
#include "daemon/control_orders.h"
#include "daemon/control_peers.h"
#include "daemon/control_private.h"

#include <stdatomic.h>

#define TICK_MS 20

/* Between load polls and membership ticks. */
#define FLEET_INTERVAL_US (100 * CLK_MS_US)

/* Between updates of the capacity, orders, service-level counts and gauges. */
#define SLOW_INTERVAL_US (200 * CLK_MS_US)

/* How long an idempotency key stays known after its outcome: 24 hours. */
#define KEY_LIFETIME_US (INT64_C (86400) * CLK_S_US)

#define INCARNATION_RANDOM_BITS 10

/* A task that was posted to the control thread. */
struct posted_task
{
  struct ctl_control *control;
  ctl_task task;
  void *data;
};

/* A task whose completion the posting thread waits for. */
struct sync_task
{
  ctl_task task;
  void *data;
  pthread_mutex_t lock;
  pthread_cond_t done_cond;
  bool done;
};

/* Returns a request id that is unique in this daemon.  Thread-safe.  */
uint64_t
ctl_new_id (struct ctl_control *control)
{
  return atomic_fetch_add (&control->last_id, 1) + 1;
}

static gboolean
run_posted_task (gpointer data)
{
  struct posted_task *posted = data;
  posted->task (posted->control, posted->data);
  return G_SOURCE_REMOVE;
}

/* Queues TASK to run on the control thread with DATA, and returns at once.
   Thread-safe.  */
void
ctl_post (struct ctl_control *control, ctl_task task, void *data)
{
  struct posted_task *posted = g_new0 (struct posted_task, 1);
  *posted = (struct posted_task){
    .control = control,
    .task = task,
    .data = data,
  };
  GSource *source = g_idle_source_new ();
  g_source_set_priority (source, G_PRIORITY_DEFAULT);
  g_source_set_callback (source, run_posted_task, posted, g_free);
  g_source_attach (source, control->context);
  g_source_unref (source);
}

static void
run_sync_task (struct ctl_control *control, void *data)
{
  struct sync_task *sync = data;
  sync->task (control, sync->data);
  pthread_mutex_lock (&sync->lock);
  sync->done = true;
  pthread_cond_signal (&sync->done_cond);
  pthread_mutex_unlock (&sync->lock);
}

/* Runs TASK on the control thread with DATA and returns when it has completed.
   Must not be called on the control thread, which would deadlock.  */
void
ctl_call (struct ctl_control *control, ctl_task task, void *data)
{
  struct sync_task sync = { .task = task, .data = data };
  pthread_mutex_init (&sync.lock, NULL);
  pthread_cond_init (&sync.done_cond, NULL);
  ctl_post (control, run_sync_task, &sync);
  pthread_mutex_lock (&sync.lock);
  while (!sync.done)
    {
      pthread_cond_wait (&sync.done_cond, &sync.lock);
    }
  pthread_mutex_unlock (&sync.lock);
  pthread_cond_destroy (&sync.done_cond);
  pthread_mutex_destroy (&sync.lock);
}

/* Lets the traffic thread send the call, or releases its claim when the caller
   has gone.  */
static void
dispatch_keyed_call (struct ctl_control *control, uint64_t request_id)
{
  struct kc_call *call
      = g_hash_table_lookup (control->keyed_calls, &request_id);
  if (call == NULL)
    {
      clm_not_run (control->claims, request_id, ERR_CALLER_GONE,
                   clk_monotonic_us (), control->actions);
      return;
    }
  kc_dispatch (call);
}

static void
answer_keyed_call (struct ctl_control *control,
                   const struct act_answer *answer)
{
  struct kc_call *call
      = g_hash_table_lookup (control->keyed_calls, &answer->request_id);
  if (call != NULL)
    {
      kc_answer (call, answer);
      g_hash_table_remove (control->keyed_calls, &answer->request_id);
    }
}

static void
apply_config (struct ctl_control *control, const struct act_apply *action)
{
  gsize bytes = 0;
  const char *yaml = g_bytes_get_data (action->yaml, &bytes);
  ctl_apply_config (control, action->version, yaml, bytes);
}

static void
perform_action (struct ctl_control *control, const struct act *action)
{
  switch (action->kind)
    {
    case ACT_APPEND:
      if (!control->io_stopped)
        {
          lio_append (control->log_io, &action->append);
        }
      return;
    case ACT_ANSWER:
      answer_keyed_call (control, &action->answer);
      return;
    case ACT_DISPATCH:
      dispatch_keyed_call (control, action->dispatch.request_id);
      return;
    case ACT_APPLY:
      apply_config (control, &action->apply);
      return;
    case ACT_ANSWER_PUBLISH:
      ctl_answer_publisher (control, &action->publish);
      return;
    case ACT_ORDER:
      ctl_send_order (control, &action->order);
      return;
    }
}

/* Performs the actions that the state machines have requested, including those
   that are added meanwhile, and clears the list.  */
void
ctl_perform_actions (struct ctl_control *control)
{
  for (uint32_t i = 0; i < act_list_length (control->actions); i++)
    {
      struct act action = *act_list_get (control->actions, i);
      perform_action (control, &action);
    }
  act_list_clear (control->actions);
}

/* Returns whether NEXT_US has passed, and if so sets it to INTERVAL_US from
   now.  */
static bool
is_due (int64_t *next_us, int64_t now_us, int64_t interval_us)
{
  if (now_us < *next_us)
    {
      return false;
    }
  *next_us = now_us + interval_us;
  return true;
}

static void
update_gauges (struct ctl_control *control)
{
  const struct met_metrics *metrics = control->params.metrics;
  struct clm_stats claims = clm_stats (control->claims);
  struct adm_state admission;
  gt_read_state (control->params.gate, &admission);
  cnt_set_gauge (metrics->streams, admission.streams);
  cnt_set_gauge (metrics->queued, admission.queued);
  cnt_set_gauge (metrics->stream_limit, admission.limit);
  cnt_set_gauge (metrics->capacity, (int64_t)control->capacity_tokens_per_s);
  cnt_set_gauge (metrics->config_version,
                 (int64_t)cst_current_version (control->config_state));
  cnt_set_gauge (metrics->daemons_ready, control->ready_daemons);
  cnt_set_gauge (metrics->ready, ctl_ready (control) ? 1 : 0);
  cnt_set_gauge (metrics->claims_active, claims.active);
  cnt_set_gauge (metrics->keys, claims.keys);
}

/* Runs every TICK_MS.  Advances claims, configuration, view and admission
   queue at each call, and the rest at the longer intervals above.  */
static gboolean
tick (gpointer data)
{
  struct ctl_control *control = data;
  int64_t now_us = clk_monotonic_us ();
  if (control->io_stopped)
    {
      return G_SOURCE_REMOVE;
    }
  clm_tick (control->claims, now_us, control->actions);
  cst_tick (control->config_state, now_us, control->actions);
  control->serving_allowed
      = cst_serving_allowed (control->config_state, now_us);
  ctl_perform_actions (control);
  ctl_publish_view (control);
  gt_process_queue (control->params.gate);
  if (is_due (&control->next_fleet_tick_us, now_us, FLEET_INTERVAL_US))
    {
      ctl_poll_loads (control);
      ctl_peers_tick (control);
    }
  if (is_due (&control->next_slow_tick_us, now_us, SLOW_INTERVAL_US))
    {
      ctl_update_capacity (control);
      ctl_orders_tick (control);
      ctl_burn_tick (control);
      update_gauges (control);
    }
  return G_SOURCE_CONTINUE;
}

static void *
run_thread (void *user_data)
{
  struct ctl_control *control = user_data;
  g_main_context_push_thread_default (control->context);
  rcu_register_thread ();
  GSource *ticks = g_timeout_source_new (TICK_MS);
  g_source_set_callback (ticks, tick, control, NULL);
  g_source_attach (ticks, control->context);
  g_main_loop_run (control->loop);
  g_source_destroy (ticks);
  g_source_unref (ticks);
  rcu_unregister_thread ();
  g_main_context_pop_thread_default (control->context);
  return NULL;
}

static void
unref_keyed_call (gpointer data)
{
  kc_unref (data);
}

static void
create_state_machines (struct ctl_control *control)
{
  struct clm_params claims
      = clm_params_default (control->incarnation, KEY_LIFETIME_US);
  control->claims = clm_create (&claims);
  control->config_state = ctl_create_config_state (control->incarnation);
  const struct brn_params burn = { .incarnation = control->incarnation };
  control->burn = brn_create (&burn);
  control->leaving_hosts = lv_create ();
  control->actions = act_list_create ();
  control->endpoints = ept_table_create ();
  control->pending_publications
      = g_hash_table_new (g_int64_hash, g_int64_equal);
  control->load_reports = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  control->keyed_calls = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                NULL, unref_keyed_call);
}

/* Returns a number that identifies this process: it increases with every start
   of a daemon, and its random low bits tell daemons that start in the same
   microsecond apart.  */
static uint64_t
new_incarnation (void)
{
  return ((uint64_t)clk_real_us () << INCARNATION_RANDOM_BITS)
         | (g_random_int () & ((1U << INCARNATION_RANDOM_BITS) - 1));
}

static void
free_control (struct ctl_control *control)
{
  if (control->members != NULL)
    {
      ctl_orders_stop (control);
      ctl_peers_stop (control);
    }
  g_main_loop_unref (control->loop);
  g_main_context_unref (control->context);
  g_hash_table_destroy (control->keyed_calls);
  g_hash_table_destroy (control->pending_publications);
  g_free (control->config_yaml);
  g_hash_table_destroy (control->load_reports);
  act_list_destroy (control->actions);
  lv_destroy (control->leaving_hosts);
  brn_destroy (control->burn);
  clm_destroy (control->claims);
  cst_destroy (control->config_state);
  ept_table_destroy (control->endpoints);
  cfg_config_destroy (control->config);
  g_free (control);
}

/* Starts the control thread, the peer connections and the threads that read
   the log and poll endpoints.  Returns NULL on errors: ERR_SETTINGS when the
   peer address cannot be listened on.  */
struct ctl_control *
ctl_create (const struct ctl_params *params, GError **error)
{
  static const char *const streams[]
      = { CST_STREAM, LSE_STREAM, "claims-0", NULL };
  struct ctl_control *control = g_new0 (struct ctl_control, 1);
  control->params = *params;
  control->incarnation = new_incarnation ();
  control->context = g_main_context_new ();
  control->loop = g_main_loop_new (control->context, FALSE);
  control->ready_daemons = 1;
  create_state_machines (control);
  if (!ctl_peers_start (control, error))
    {
      free_control (control);
      return NULL;
    }
  ctl_orders_start (control);
  struct lio_params log_io = {
    .urls = params->settings->log_urls,
    .streams = streams,
    .on_page = ctl_handle_log_page,
    .on_append = ctl_handle_append_result,
    .user_data = control,
  };
  struct pol_callbacks polls = ctl_poller_callbacks ();
  control->poller
      = pol_create (params->settings->host_list_url, &polls, control);
  control->log_io = lio_create (&log_io);
  pthread_create (&control->thread, NULL, run_thread, control);
  return control;
}

/* Keeps the control thread from using the threads that append and poll, which
   are about to be freed.  */
static void
stop_io (struct ctl_control *control, void *data)
{
  (void)data;
  control->io_stopped = true;
}

static void
quit_loop (struct ctl_control *control, void *data)
{
  (void)data;
  g_main_loop_quit (control->loop);
}

/* Appends what has been counted, stops the threads and frees CONTROL, which
   may be NULL.  No traffic thread may use it any more.  */
void
ctl_destroy (struct ctl_control *control)
{
  if (control == NULL)
    {
      return;
    }
  ctl_burn_finish (control);
  ctl_call (control, stop_io, NULL);
  lio_destroy (control->log_io);
  pol_destroy (control->poller);
  ctl_post (control, quit_loop, NULL);
  pthread_join (control->thread, NULL);
  ctl_burn_log_unconfirmed (control);
  free_control (control);
}

/* Returns whether the load balancer may send requests to this daemon: it has a
   recent configuration and isn't stopping.  Thread-safe.  */
bool
ctl_ready (const struct ctl_control *control)
{
  return control->has_config && control->serving_allowed && !control->stopping;
}

/* Makes ctl_ready return false.  Requests that still arrive are served.
   Thread-safe.  */
void
ctl_begin_stop (struct ctl_control *control)
{
  control->stopping = true;
}
