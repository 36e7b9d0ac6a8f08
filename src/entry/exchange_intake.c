/* The caller's side of an exchange: checks and accepts a request, or refuses
   it. */
#include "entry/exchange_private.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/precedence.h"
#include "core/start_wait.h"
#include "entry/held_request.h"
#include "entry/load_exchange.h"
#include "platform/headers.h"
#include "platform/prompt.h"

#include <math.h>
#include <string.h>

/* A request with this much less time left than its route gives was probably
   refused before: callers return after 500 ms or more. */
#define RETURNED_US (400 * CLK_MS_US)

/* Why a request is refused. */
struct refusal
{
  uint32_t status;      /* HTTP status; 0: the request is accepted */
  const char *why;      /* for the log */
  double retry_after_s; /* status 503: when to come back; 0: soon */
};

/* Refuses REQUEST if no daemon can serve it, whatever the configuration says.
   ID is its id, or NULL.  */
static struct refusal
check_head (const struct msg_message *request, const char *id)
{
  struct refusal refusal = { .status = HTTP_STATUS_BAD_REQUEST };
  if (id == NULL)
    {
      refusal.why = "not one request id";
    }
  else if (msg_find (request, "Host") == NULL)
    {
      refusal.why = "no host";
    }
  else if (msg_drops_header (request, PFH_PREFIX))
    {
      refusal.why = "a header that must be forwarded is of the connection";
    }
  else
    {
      refusal.status = 0;
    }
  return refusal;
}

/* Sets ROUTE and ACCOUNT to those of REQUEST in CONFIG, which was known to be
   the newest at PROVED_US.  While CONFIG may be out of date, an unknown route
   gets 503 instead of 404, and requests that need a key get 503.  */
static struct refusal
check_request (struct trf_traffic *traffic, const struct flt_config *config,
               int64_t proved_us, const struct msg_message *request,
               const struct flt_route **route,
               const struct flt_account **account)
{
  if (config == NULL)
    {
      return (struct refusal){ .status = HTTP_STATUS_SERVICE_UNAVAILABLE,
                               .why = "no configuration" };
    }
  int64_t now_us = clk_monotonic_us ();
  bool may_deny = frs_may_deny (&traffic->freshness, proved_us, now_us);
  const char *host = msg_find (request, "Host");
  *route = flt_find_route (config, host, request->url->str);
  if (*route == NULL)
    {
      return (struct refusal){ .status = may_deny
                                             ? HTTP_STATUS_NOT_FOUND
                                             : HTTP_STATUS_SERVICE_UNAVAILABLE,
                               .why = "no route" };
    }
  if (!flt_needs_account (config, *route))
    {
      return (struct refusal){ .status = 0, .why = "" };
    }
  if (!frs_may_serve_keys (&traffic->freshness, proved_us, now_us))
    {
      return (struct refusal){ .status = HTTP_STATUS_SERVICE_UNAVAILABLE,
                               .why = "keys may be out of date" };
    }
  const char *key = msg_find (request, PFH_API_KEY);
  *account = key == NULL ? NULL : flt_find_account (config, key);
  if (*account == NULL)
    {
      return (struct refusal){ .status = HTTP_STATUS_UNAUTHORIZED,
                               .why = "unknown key" };
    }
  return (struct refusal){ .status = 0, .why = "" };
}

/* Returns the time in microseconds that REQUEST had when it arrived, as it
   states itself; very long if it states none.  */
static int64_t
stated_time_left_us (const struct msg_message *request)
{
  const char *header = msg_find (request, PFH_TIME_LEFT_MS);
  int64_t left_us = INT64_MAX / 4;
  if (header != NULL)
    {
      int64_t stated_ms = g_ascii_strtoll (header, NULL, 10);
      left_us = CLAMP (stated_ms, 0, INT64_MAX / 4 / CLK_MS_US) * CLK_MS_US;
    }
  return left_us;
}

/* Returns the time in microseconds that REQUEST on ROUTE had when it arrived:
   the route's time-out, or what the request states if that is less.  */
static int64_t
time_left_us (const struct flt_route *route, const struct msg_message *request)
{
  int64_t left_us = stated_time_left_us (request);
  return route->timeout_us > 0 ? MIN (route->timeout_us, left_us) : left_us;
}

/* Returns the time in microseconds that REQUEST had when it arrived, as far as
   CONFIG, which may be NULL, has a route for it.  */
int64_t
exg_time_left_us (const struct flt_config *config,
                  const struct msg_message *request)
{
  const struct flt_route *route
      = config == NULL ? NULL
                       : flt_find_route (config, msg_find (request, "Host"),
                                         request->url->str);
  return route == NULL ? stated_time_left_us (request)
                       : time_left_us (route, request);
}

/* Returns the times of the requests on ROUTE to SERVICE that TRAFFIC has seen,
   with those in progress.  */
static struct spn_history
run_times (struct trf_traffic *traffic, const struct flt_route *route,
           const struct flt_service *service)
{
  struct spn_history history = *exg_history (traffic, route, service->name);
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, traffic->exchanges);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct exchange *exchange = key;
      if (strcmp (exchange->route->name, route->name) == 0
          && strcmp (exchange->service, service->name) == 0)
        {
          struct spn_times times;
          exg_describe_times (exchange, &times);
          spn_observe_partial (&history, &times);
        }
    }
  return history;
}

/* Returns how many events the answer to REQUEST has at most when SERVICE
   streams it, or 0 if the request doesn't state its token counts.  */
static uint32_t
events_max (const struct flt_service *service,
            const struct msg_message *request)
{
  double prompt = 0;
  double output = 0;
  cos_parse_counts (msg_find (request, PFH_TOKENS), &prompt, &output);
  uint32_t event_tokens
      = service->has_engine ? service->engine.event_tokens : 1;
  return (uint32_t)ceil (output / event_tokens);
}

/* True unless the daemon is stopping and REQUEST on ROUTE, to be served by
   SERVICE, may run for longer than the stop allows.  LOG_ID is the form of its
   id for the log.  */
static bool
can_finish (struct trf_traffic *traffic, const struct flt_route *route,
            const struct flt_service *service,
            const struct msg_message *request, const char *log_id)
{
  if (traffic->stopping_us == 0)
    {
      return true;
    }
  const struct spn_request needs = {
    .is_stream = route->repeat == FLT_REPEAT_STREAM,
    .events_max = events_max (service, request),
    .left_us = time_left_us (route, request),
    .target_latency_us = route->target_latency_us,
    .target_gap_us = route->target_gap_us,
  };
  struct spn_history history = run_times (traffic, route, service);
  int64_t age_us = clk_monotonic_us () - traffic->stopping_us;
  int64_t longest_us = spn_longest_us (&history, &needs);
  bool accepted = !traffic->ends
                  && spn_accepts (age_us, traffic->settings->stop_us,
                                  longest_us, needs.left_us);
  lg_line (LOG_INFO, "stop_admission",
           "request=%s accepted=%d age_ms=%ld stop_ms=%ld longest_ms=%ld "
           "left_ms=%ld events_max=%u event_us=%.0f streams=%u calls=%u",
           log_id, accepted, (long)(age_us / CLK_MS_US),
           (long)(traffic->settings->stop_us / CLK_MS_US),
           (long)(longest_us / CLK_MS_US), (long)(needs.left_us / CLK_MS_US),
           needs.events_max, history.lately.event_us, history.lately.streams,
           history.lately.calls);
  return accepted;
}

/* Returns the names of what REQUEST with METHOD, of ACCOUNT on ROUTE to
   SERVICE, has in common with other requests.  The caller frees them with
   g_strfreev.
 */
static char **
name_traits (const struct msg_message *request, const char *method,
             const struct flt_route *route, const struct flt_account *account,
             const struct flt_service *service)
{
  g_auto (GStrv) part_ids
      = pfp_decode_shared_parts (msg_find (request, PFH_PROMPT_PARTS));
  const struct qrn_request named = {
    .service = service->name,
    .part_ids = part_ids,
    .method = method,
    .host = route->host,
    .target = request->url->str,
    .account = account == NULL ? NULL : account->name,
    .body = request->body->data,
    .body_bytes = request->body->len,
  };
  return qrn_name_traits (&named);
}

/* Creates the exchange of an accepted request, which arrived at ARRIVED_US. */
static struct exchange *
create_exchange (struct trf_traffic *traffic, struct nsv_connection *caller,
                 const struct msg_message *request, const char *method,
                 const struct flt_route *route,
                 const struct flt_account *account, int64_t arrived_us)
{
  struct exchange *exchange = g_new0 (struct exchange, 1);
  const char *last_event = msg_find (request, PFH_LAST_EVENT_ID);
  exchange->request_events = &exg_events;
  exchange->traffic = traffic;
  exchange->caller = caller;
  exchange->config
      = flt_reference ((struct flt_config *)fst_config (traffic->fleet));
  exchange->route = route;
  exchange->account = account;
  exchange->id = g_strdup (rqi_find (request));
  rqi_format_for_log (exchange->id, exchange->log_id);
  exchange->head = g_string_sized_new (512);
  exg_copy_head (request, method, exchange->head);
  exchange->is_head = strcmp (method, "HEAD") == 0;
  exchange->has_body = request->body->len > 0
                       || msg_find (request, "Content-Length") != NULL
                       || msg_find (request, "Transfer-Encoding") != NULL;
  exchange->body = g_byte_array_free_to_bytes (nsv_take_body (caller));
  exchange->key = g_strdup (msg_find (request, PFH_API_KEY));
  const char *passed_on = msg_find (request, PFH_PASSED_ON);
  exchange->is_passed = passed_on != NULL;
  int64_t attempt
      = passed_on == NULL ? 1 : g_ascii_strtoll (passed_on, NULL, 10);
  exchange->ran_before = (uint32_t)CLAMP (attempt, 1, ATT_SENT_MAX + 1) - 1;
  exchange->arrived_us = arrived_us;
  exchange->deadline_us = exchange->arrived_us + time_left_us (route, request);
  exchange->came_back = exchange->deadline_us - exchange->arrived_us
                        < route->timeout_us - RETURNED_US;
  exchange->answer_head = g_string_new (NULL);
  exchange->answer = g_byte_array_new ();
  exchange->tried_endpoints
      = g_ptr_array_new_with_free_func ((GDestroyNotify)fst_release);
  evs_init (&exchange->scanner);
  exchange->scanner.needs_ids = route->resumable;
  if (last_event != NULL)
    {
      exchange->scanner.last_id = g_ascii_strtoll (last_event, NULL, 10);
    }
  uv_timer_init (traffic->loop, &exchange->timer);
  exchange->timer.data = exchange;
  g_hash_table_add (traffic->exchanges, exchange);
  nsv_set_request_context (caller, exchange);
  cnt_add (traffic->metrics->in_progress, 1);
  return exchange;
}

/* Refuses REQUEST of CALLER, whose body isn't complete, since something is
   lacking, as WHY says.  REQUEST is NULL if its headers aren't complete
   either.  */
void
exg_refuse_incomplete (struct trf_traffic *traffic,
                       struct nsv_connection *caller,
                       const struct msg_message *request, const char *why)
{
  const char *id = request == NULL ? NULL : rqi_find (request);
  char log_id[RQI_LOG_BYTES];
  rqi_format_for_log (id, log_id);
  lg_line (LOG_INFO, "request_refused", "request=%s status=%u why=\"%s\"",
           log_id, HTTP_STATUS_SERVICE_UNAVAILABLE, why);
  cnt_add (traffic->metrics->refused, 1);
  exg_answer_without_body (traffic, caller, HTTP_STATUS_SERVICE_UNAVAILABLE,
                           id, exg_retry_after_s ());
}

/* Handles REQUEST of CALLER, which has arrived: holds it while the daemon
   starts, or serves it.  */
void
exg_start (struct trf_traffic *traffic, struct nsv_connection *caller,
           const struct msg_message *request, const char *method)
{
  int64_t now_us = clk_monotonic_us ();
  cnt_add (traffic->metrics->requests, 1);
  bool held = stw_is_starting (traffic->started_us, now_us)
              && check_head (request, rqi_find (request)).status == 0
              && hrq_hold (traffic, caller, request, method, now_us);
  if (!held)
    {
      exg_serve (traffic, caller, request, method, now_us);
    }
}

/* Serves REQUEST of CALLER, which arrived at ARRIVED_US: refuses it, or
   creates an exchange and starts its first attempt.  */
void
exg_serve (struct trf_traffic *traffic, struct nsv_connection *caller,
           const struct msg_message *request, const char *method,
           int64_t arrived_us)
{
  int64_t proved_us = trf_refresh (traffic);
  const struct flt_config *config = fst_config (traffic->fleet);
  const struct flt_route *route = NULL;
  const struct flt_account *account = NULL;
  const char *id = rqi_find (request);
  char log_id[RQI_LOG_BYTES];
  bool is_stopping = false;
  rqi_format_for_log (id, log_id);
  struct refusal refusal = check_head (request, id);
  if (refusal.status == 0)
    {
      refusal = check_request (traffic, config, proved_us, request, &route,
                               &account);
    }
  uint32_t service = refusal.status == 0
                         ? flt_choose_service (route, g_random_int ())
                         : FLT_NO_INDEX;
  if (refusal.status == 0 && service == FLT_NO_INDEX)
    {
      refusal = (struct refusal){ .status = HTTP_STATUS_SERVICE_UNAVAILABLE,
                                  .why = "the route has no service" };
    }
  if (refusal.status == 0
      && !can_finish (traffic, route, &config->services[service], request,
                      log_id))
    {
      is_stopping = true;
      refusal = (struct refusal){ .status = HTTP_STATUS_SERVICE_UNAVAILABLE,
                                  .why = "stopping" };
    }
  g_auto (GStrv) traits = NULL;
  struct qrn_verdict verdict = { 0 };
  if (refusal.status == 0)
    {
      traits = name_traits (request, method, route, account,
                            &config->services[service]);
      qrn_report_arrival (traffic->quarantine, config->services[service].name,
                          traits);
      verdict = qrn_check (traffic->quarantine, traits);
    }
  if (verdict.refused)
    {
      cnt_add (traffic->metrics->quarantine_refused, 1);
      refusal = (struct refusal){
        .status = HTTP_STATUS_SERVICE_UNAVAILABLE,
        .why = "such requests crash endpoints",
        .retry_after_s = (double)verdict.wait_us / CLK_S_US,
      };
    }
  if (refusal.status != 0)
    {
      bool refused = refusal.status == HTTP_STATUS_SERVICE_UNAVAILABLE;
      lg_line (LOG_INFO, "request_refused",
               "request=%s status=%u why=\"%s\" route=%s config=%lu "
               "proof_age_ms=%ld",
               log_id, refusal.status, refusal.why,
               route == NULL ? "-" : route->name,
               (unsigned long)(config == NULL ? 0 : config->version),
               (long)((clk_monotonic_us () - proved_us) / CLK_MS_US));
      cnt_add (traffic->metrics->refused, refused);
      if (is_stopping && msg_find (request, PFH_PASSED_ON) != NULL)
        {
          refusal.status = HTTP_STATUS_MISDIRECTED_REQUEST;
        }
      exg_answer_without_body (
          traffic, caller, refusal.status, id,
          refused ? MAX (refusal.retry_after_s, exg_retry_after_s ()) : 0);
      return;
    }
  struct exchange *exchange = create_exchange (
      traffic, caller, request, method, route, account, arrived_us);
  exchange->traits = g_steal_pointer (&traits);
  exchange->is_trial = verdict.trial;
  exchange->service = g_strdup (config->services[service].name);
  exchange->rank = prc_index (config, service, route, account);
  exchange->is_ranked = prc_count (config, service) > 1;
  exg_start_cost (exchange, request, method, &config->services[service]);
  if (!exchange->is_passed)
    {
      int64_t now_us = clk_monotonic_us ();
      rbg_request (fst_budget (traffic->fleet, service), now_us);
      lex_count_arrival (traffic->load, service, exchange->rank, now_us);
    }
  exg_start_attempt (exchange, ATT_NOT_SENT);
}
