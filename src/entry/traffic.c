#include "entry/traffic.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/fleet_known.h"
#include "entry/exchange.h"
#include "entry/held_request.h"
#include "entry/inquiry.h"
#include "entry/load_exchange.h"
#include "entry/passing.h"
#include "entry/path_choosing.h"
#include "entry/probing.h"
#include "net/turn.h"

#include <string.h>

/* Interval at which time-outs are checked. */
#define SWEEP_MS 200

/* A sweep that comes later than this after the previous one follows a pause of
   the process.  Time-outs then wait for one more sweep, so that what has
   arrived meanwhile is read first. */
#define PROCESS_PAUSE_US (1 * CLK_S_US)

/* Limits of the connections to endpoints, see struct ncl_params. */
#define CONNECT_TIMEOUT_US (400 * CLK_MS_US)
#define IDLE_MAX_US (10 * CLK_S_US)
#define IDLE_MARGIN_US (1 * CLK_S_US)
#define USER_TIMEOUT_MS 1500
#define IDLE_CONNECTIONS_MAX 96

/* Limits of the callers' connections until the first configuration replaces
   them. */
#define HEADER_BYTES_MAX 16384
#define BODY_BYTES_MAX 4194304
#define HEADER_TIMEOUT_US (3 * CLK_S_US)
#define IDLE_TIMEOUT_US (15 * CLK_S_US)

/* Limits of the callers' connections that aren't configurable. */
#define UNSENT_BYTES_MAX 131072
#define CALLER_USER_TIMEOUT_MS 5000

/* File descriptors reserved for each connection of a caller: one for the
   connection, and one for a file or a connection to an endpoint. */
#define DESCRIPTORS_PER_CALLER 2

/* File descriptors that are left for listeners, the event loops and the
   control thread's connections. */
#define DESCRIPTORS_RESERVED 48

/* Idle connections of callers stay open for this long after a stop began.  The
   load balancer probes once a second, so two probes have failed by then. */
#define STOP_IDLE_US (2500 * CLK_MS_US)

/* Header of the refusal of a request that still arrives at the end of the
   stop.  Other daemons serve it at once. */
#define STOP_RETRY_AFTER "Retry-After: 0.5\r\n"

/* Added to the configuration's idle time-out, so that no connection is closed
   before that time-out has passed. */
#define CALLER_IDLE_MARGIN_US (500 * CLK_MS_US)

static bool
is_ready (const struct trf_traffic *traffic)
{
  return traffic->stopping_us == 0 && fst_can_serve (traffic->fleet)
         && psg_is_ready (traffic) && nsv_has_room (traffic->caller_server);
}

static void
on_caller_request (void *context, struct nsv_connection *connection,
                   const struct msg_message *request, const char *method)
{
  exg_start (context, connection, request, method);
}

static void
on_caller_refused (void *context, struct nsv_connection *connection,
                   const struct msg_message *request, const char *why)
{
  exg_refuse_incomplete (context, connection, request, why);
}

/* The context of a caller's request begins with a pointer to its events.  */
static void
on_caller_disconnected (void *request)
{
  const struct trf_request_events *const *events = request;
  (*events)->disconnected (request);
}

static void
on_caller_drained (void *request)
{
  const struct trf_request_events *const *events = request;
  (*events)->drained (request);
}

static const struct nsv_events caller_events = {
  .request = on_caller_request,
  .refused = on_caller_refused,
  .disconnected = on_caller_disconnected,
  .drained = on_caller_drained,
};

static void
on_probe_request (void *context, struct nsv_connection *connection,
                  const struct msg_message *request, const char *method)
{
  (void)request;
  (void)method;
  nsv_respond (connection,
               is_ready (context) ? HTTP_STATUS_OK
                                  : HTTP_STATUS_SERVICE_UNAVAILABLE,
               "", "", 0);
}

static void
ignore_event (void *context)
{
  (void)context;
}

static const struct nsv_events probe_events = {
  .request = on_probe_request,
  .disconnected = ignore_event,
  .drained = ignore_event,
};

/* Brings the counter SERIES up to TOTAL.  */
static void
update_counter (struct cnt_series *series, uint64_t total)
{
  cnt_add (series, (int64_t)total - cnt_get (series));
}

/* Updates the gauges of the memory for connections.  */
static void
update_memory_gauges (struct trf_traffic *traffic)
{
  struct emt_metrics *metrics = traffic->metrics;
  struct bbg_state state;
  bbg_read (traffic->budget, &state);
  cnt_set_gauge (metrics->memory_max, (int64_t)state.bytes_max);
  cnt_set_gauge (metrics->memory_used, (int64_t)state.used);
  cnt_set_gauge (metrics->memory_bodies, (int64_t)state.bodies);
  update_counter (metrics->memory_refused, state.refused);
  update_counter (metrics->memory_evicted, state.evicted);
  const struct nsv_counts *counts = nsv_counts (traffic->caller_server);
  update_counter (metrics->connections_evicted, counts->evicted);
  update_counter (metrics->connections_reset, counts->reset);
  cnt_set_gauge (metrics->connections,
                 nsv_connection_count (traffic->caller_server));
}

/* Updates the gauges whose values are needed only when the metrics are
   requested.  Before the first proof, the proof's age is the whole monotonic
   time.  */
static void
update_gauges (struct trf_traffic *traffic)
{
  const struct flt_config *config = fst_config (traffic->fleet);
  struct emt_metrics *metrics = traffic->metrics;
  cnt_set_gauge (metrics->config_version,
                 config == NULL ? 0 : (int64_t)config->version);
  cnt_set_gauge (metrics->connections_opened,
                 (int64_t)ncl_counts (traffic->client)->connections);
  cnt_add (metrics->store_restores,
           fvw_restores (traffic->views) - cnt_get (metrics->store_restores));
  cnt_set_gauge (metrics->log_dropped, (int64_t)lg_dropped ());
  cnt_set_gauge (metrics->proof_age_ms,
                 (clk_monotonic_us () - fvw_proved_us (traffic->views))
                     / CLK_MS_US);
  lex_update_gauges (traffic->load, clk_monotonic_us ());
  update_memory_gauges (traffic);
}

static void
on_metrics_request (void *context, struct nsv_connection *connection,
                    const struct msg_message *request, const char *method)
{
  (void)request;
  (void)method;
  struct trf_traffic *traffic = context;
  update_gauges (traffic);
  GString *text = g_string_new (NULL);
  cnt_render (traffic->series, text);
  nsv_respond (connection, HTTP_STATUS_OK,
               "Content-Type: text/plain; version=0.0.4\r\n", text->str,
               text->len);
  g_string_free (text, TRUE);
}

static const struct nsv_events metrics_events = {
  .request = on_metrics_request,
  .disconnected = ignore_event,
  .drained = ignore_event,
};

/* Returns the limits of the callers' connections.  CONFIG replaces some of the
   defaults unless it is NULL.  */
static struct nsv_limits
caller_limits (const struct trf_traffic *traffic,
               const struct flt_config *config)
{
  struct nsv_limits limits = {
    .header_bytes_max = HEADER_BYTES_MAX,
    .body_bytes_max = BODY_BYTES_MAX,
    .header_timeout_us = HEADER_TIMEOUT_US,
    .idle_timeout_us = IDLE_TIMEOUT_US,
    .unsent_bytes_max = UNSENT_BYTES_MAX,
    .user_timeout_ms = CALLER_USER_TIMEOUT_MS,
    .connections_max = traffic->settings->descriptors / DESCRIPTORS_PER_CALLER,
    .budget = traffic->budget,
    .memory_mb = traffic->settings->memory_mb,
  };
  if (config != NULL)
    {
      limits.header_bytes_max
          = MIN (config->limits.header_bytes_max, UINT32_MAX - PSG_HEAD_BYTES)
            + PSG_HEAD_BYTES;
      limits.body_bytes_max = config->limits.body_bytes_max;
      limits.header_timeout_us = config->limits.header_timeout_us;
      limits.idle_timeout_us
          = config->limits.idle_timeout_us + CALLER_IDLE_MARGIN_US;
    }
  return limits;
}

/* Applies the newest view that the control thread has published.  Returns the
   monotonic time of the newest proof (entry/fleet_view.h), 0 if there is none
   yet.  */
int64_t
trf_refresh (struct trf_traffic *traffic)
{
  int64_t proved_us = 0;
  struct fvw_view *view = fvw_acquire_newer (
      traffic->views, fst_view (traffic->fleet), &proved_us);
  if (view != NULL)
    {
      fst_set_view (traffic->fleet, view);
      struct nsv_limits limits = caller_limits (traffic, view->config);
      nsv_set_limits (traffic->caller_server, &limits);
      cnt_set_gauge (traffic->metrics->endpoints, view->endpoints->len);
    }
  return proved_us;
}

/* Stops the requests with parts that were quarantined since the last call.  */
static void
apply_quarantine (struct trf_traffic *traffic)
{
  uint32_t count = 0;
  if (qrn_log_changes (traffic->quarantine, &count))
    {
      exg_stop_quarantined (traffic);
    }
  cnt_set_gauge (traffic->metrics->quarantined_traits, count);
}

static void
on_view_changed (uv_async_t *async)
{
  struct trf_traffic *traffic = async->data;
  trn_enter ("view");
  trf_refresh (traffic);
  apply_quarantine (traffic);
  hrq_update (traffic);
}

/* Logs a change of the daemon's readiness.  */
static void
log_readiness (struct trf_traffic *traffic)
{
  bool ready = is_ready (traffic);
  if (ready != traffic->ready_logged)
    {
      traffic->ready_logged = ready;
      lg_line (LOG_NOTICE, ready ? "ready" : "not_ready", "stopping=%d",
               traffic->stopping_us != 0);
    }
}

/* Closes connections whose time-outs have expired, removes expired stall
   inquiries, sends the probes that are due, logs a change of the readiness and
   flushes the log.  Does nothing right after a pause of the process.  */
static void
on_sweep (uv_timer_t *timer)
{
  struct trf_traffic *traffic = timer->data;
  int64_t now_us = clk_monotonic_us ();
  trn_enter ("sweep");
  bool paused = now_us - traffic->last_sweep_us > PROCESS_PAUSE_US;
  traffic->last_sweep_us = now_us;
  if (paused)
    {
      return;
    }
  ncl_expire (traffic->client, now_us);
  nsv_expire (traffic->caller_server, now_us);
  nsv_expire (traffic->probe_server, now_us);
  nsv_expire (traffic->metrics_server, now_us);
  inq_remove_expired (traffic, now_us);
  prb_step (traffic, now_us);
  const struct fvw_view *view = fst_view (traffic->fleet);
  lex_step (traffic->load, view != NULL && view->crowded, now_us);
  apply_quarantine (traffic);
  log_readiness (traffic);
  lg_flush ();
}

/* Handles that other daemons report the engine ID dead, in its incarnation
   that started at BORN_MS: avoids it for a while, longer if CONFIRMED, and
   resumes silent streams over it early.  The engine doesn't count as dead
   before this daemon's own calls find it so: the lead would move its layers on
   the word of others, and each move takes engines out of use.  */
static void
on_engine_dead (void *context, const char *id, int64_t born_ms, bool confirmed,
                int64_t found_us)
{
  struct trf_traffic *traffic = context;
  struct fst_endpoint *engine = fst_find_id (traffic->fleet, id);
  int64_t now_us = clk_monotonic_us ();
  if (engine == NULL || engine->born_ms != born_ms)
    {
      return;
    }
  struct evd_evidence *evidence = &engine->evidence;
  /* Only an event after this time shows that the engine goes on. */
  evidence->failed_us = found_us + FKN_PROGRESS_US;
  evidence->full_until_us
      = MAX (evidence->full_until_us,
             now_us + (confirmed ? FLO_DEATH_US : FKN_SUSPECT_US));
  exg_expedite_checks (traffic, engine);
}

/* Sets LOAD to the other daemons' load at ENGINE, see struct pcs_source.  */
static bool
read_load (void *context, const struct fst_endpoint *engine, int64_t now_us,
           struct flo_total *load)
{
  const struct trf_traffic *traffic = context;
  return lex_total (traffic->load, engine, now_us, load);
}

/* Sets PER_S to the arrivals at all daemons, see struct pcs_source.  */
static bool
read_rates (void *context, double per_s[FLT_RANKS_MAX])
{
  const struct trf_traffic *traffic = context;
  return lex_rates (traffic->load, clk_monotonic_us (), per_s);
}

/* Passes a failure of ENDPOINT on to the exchange of load.  */
static void
on_failure (void *context, const struct fst_endpoint *endpoint,
            enum evd_failure_kind kind, bool in_backoff, int64_t now_us)
{
  struct trf_traffic *traffic = context;
  lex_report_failure (traffic->load, endpoint, kind, in_backoff, now_us);
}

/* Opens the servers for probes, metrics and callers.  Returns false with
   ERR_SETTINGS when an address can't be used.  */
static bool
open_servers (struct trf_traffic *traffic, GError **error)
{
  const struct ens_settings *settings = traffic->settings;
  struct nsv_limits limits = caller_limits (traffic, NULL);
  traffic->probe_server = nsv_create (traffic->loop, settings->ready_address,
                                      &limits, &probe_events, traffic, error);
  if (traffic->probe_server == NULL)
    {
      return false;
    }
  traffic->metrics_server
      = nsv_create (traffic->loop, settings->metrics_address, &limits,
                    &metrics_events, traffic, error);
  if (traffic->metrics_server == NULL)
    {
      return false;
    }
  traffic->caller_server
      = nsv_create (traffic->loop, settings->caller_address, &limits,
                    &caller_events, traffic, error);
  return traffic->caller_server != NULL;
}

/* Opens the servers of an entry daemon on LOOP, which the calling thread runs
   afterwards.  SETTINGS, VIEWS, VERDICTS, QUARANTINE and NEIGHBOURS must
   outlive the result.  Returns NULL with ERR_SETTINGS when an address can't be
   used.  */
struct trf_traffic *
trf_create (uv_loop_t *loop, const struct ens_settings *settings,
            struct fvw_store *views, struct vdt_verdicts *verdicts,
            struct qrn_quarantine *quarantine,
            struct nbr_neighbours *neighbours, GError **error)
{
  struct trf_traffic *traffic = g_new0 (struct trf_traffic, 1);
  const struct ncl_params client_params = {
    .idle_max_us = IDLE_MAX_US,
    .idle_margin_us = IDLE_MARGIN_US,
    .connect_timeout_us = CONNECT_TIMEOUT_US,
    .user_timeout_ms = USER_TIMEOUT_MS,
    .idle_connections_max = IDLE_CONNECTIONS_MAX,
    .connections_max
    = settings->descriptors / DESCRIPTORS_PER_CALLER - DESCRIPTORS_RESERVED,
  };
  const struct rbg_params budget = {
    .ratio = settings->retry_ratio,
    .slack = settings->retry_slack,
    .window_us = settings->retry_window_us,
    .slack_from_us = clk_monotonic_us () + settings->retry_window_us,
  };
  traffic->loop = loop;
  traffic->settings = settings;
  traffic->views = views;
  traffic->quarantine = quarantine;
  traffic->passing = psg_create (neighbours);
  traffic->freshness = (struct frs_params){
    .revoke_us = settings->revoke_us,
    .change_us = settings->config_apply_max_us,
  };
  traffic->run_times
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  traffic->costs = cos_create ();
  traffic->call_times = clt_create ();
  traffic->budget = bbg_create (bbg_size_for_host (settings->memory_mb));
  bbg_open (&traffic->answers, traffic->budget, traffic);
  traffic->exchanges = g_hash_table_new (NULL, NULL);
  traffic->held = hrq_table_create ();
  traffic->started_us = clk_monotonic_us ();
  traffic->inquiries = inq_table_create ();
  traffic->probes = prb_table_create ();
  traffic->series = cnt_set_create ();
  traffic->metrics = emt_create (traffic->series);
  traffic->fleet = fst_create (settings->data_centre, &budget, verdicts);
  traffic->client = ncl_create (loop, &client_params);
  traffic->load = lex_create (traffic, on_engine_dead, traffic);
  const struct pcs_source source
      = { .load = read_load, .rates = read_rates, .context = traffic };
  pcs_set_source (traffic->fleet, &source);
  fst_watch_failures (traffic->fleet, on_failure, traffic);
  if (!open_servers (traffic, error))
    {
      return NULL; /* no clean-up: the process exits */
    }
  uv_async_init (loop, &traffic->view_changed, on_view_changed);
  traffic->view_changed.data = traffic;
  uv_timer_init (loop, &traffic->sweep);
  traffic->sweep.data = traffic;
  traffic->last_sweep_us = clk_monotonic_us ();
  uv_timer_start (&traffic->sweep, on_sweep, SWEEP_MS, SWEEP_MS);
  return traffic;
}

/* Notifies CONTEXT, a struct trf_traffic, that a view was published.
   Thread-safe.  */
void
trf_notify (void *context)
{
  struct trf_traffic *traffic = context;
  uv_async_send (&traffic->view_changed);
}

/* Begins the stop: the daemon isn't ready any more.  Connections of callers
   are closed after their current request; idle ones are closed
   STOP_IDLE_US after the stop began. */
void
trf_stop (struct trf_traffic *traffic)
{
  traffic->stopping_us = clk_monotonic_us ();
  nsv_disable_keep_alive (traffic->caller_server,
                          traffic->stopping_us + STOP_IDLE_US);
  log_readiness (traffic);
}

/* Ends the requests in progress, and those that still arrive, at the end of
   the stop.  From then on requests are refused: one that is read in the last
   turn of the loop would be cut off.  */
void
trf_end_requests (struct trf_traffic *traffic)
{
  traffic->ends = true;
  hrq_update (traffic);
  exg_stop_all (traffic);
  nsv_refuse_incomplete (traffic->caller_server, STOP_RETRY_AFTER);
}

/* True when no request is in progress, and no caller still reads an answer.
 */
bool
trf_is_idle (const struct trf_traffic *traffic)
{
  return nsv_is_idle (traffic->caller_server);
}

/* Logs the number of requests in progress and of open connections.  */
void
trf_log_in_progress (const struct trf_traffic *traffic)
{
  lg_line (LOG_NOTICE, "stopping", "under_way=%u connections=%u",
           nsv_request_count (traffic->caller_server),
           nsv_connection_count (traffic->caller_server));
}

/* Closes the servers and connections of TRAFFIC and frees its tables, fleet
   state and metrics.  TRAFFIC itself isn't freed; the loop must run once more
   afterwards to close its handles.  */
void
trf_destroy (struct trf_traffic *traffic)
{
  nsv_destroy (traffic->caller_server);
  nsv_destroy (traffic->probe_server);
  nsv_destroy (traffic->metrics_server);
  g_hash_table_destroy (traffic->inquiries);
  g_hash_table_destroy (traffic->probes);
  ncl_destroy (traffic->client);
  lex_destroy (traffic->load);
  uv_close ((uv_handle_t *)&traffic->view_changed, NULL);
  uv_close ((uv_handle_t *)&traffic->sweep, NULL);
  g_hash_table_destroy (traffic->exchanges);
  g_hash_table_destroy (traffic->held);
  g_hash_table_destroy (traffic->run_times);
  cos_destroy (traffic->costs);
  clt_destroy (traffic->call_times);
  psg_destroy (traffic->passing);
  fst_destroy (traffic->fleet);
  bbg_close (&traffic->answers);
  bbg_destroy (traffic->budget);
  emt_destroy (traffic->metrics);
  cnt_set_destroy (traffic->series);
}
