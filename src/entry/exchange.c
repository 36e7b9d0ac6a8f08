#include "entry/exchange.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/attempt.h"
#include "core/stopping.h"
#include "net/event_scan.h"
#include "platform/headers.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

/* Bound on an answer that is kept whole before it is delivered. */
#define ANSWER_BYTES_MAX ((size_t)16 * 1024 * 1024)

/* When callers of requests that weren't run are asked to come back, at the
   soonest and at the latest. */
#define RETRY_AFTER_MIN_S 0.2
#define RETRY_AFTER_MAX_S 0.6

/* A stream without events for this many of its longest pauses is looked
   into, and never sooner than the least time. */
#define SILENCE_GAPS 3
#define SILENCE_LEAST_US (400 * CLK_MS_US)

/* Tokens of a request that doesn't state them. */
#define DEFAULT_TOKENS 1000

#define REQUEST_ID_BYTES 64

/* Weight of the newest request in the moving averages of durations. */
#define NEWEST_WEIGHT 0.1

/* What is expected of streams until the first one has ended. */
#define FIRST_TOKEN_US 25000.0

struct exchange
{
  struct trf_traffic *traffic;
  struct nsv_connection *caller; /* NULL once it is answered or gone */
  struct flt_config *config;     /* the route is part of it */
  const struct flt_route *route;
  const struct flt_account *account; /* NULL: a public route */
  char *service;                     /* name */
  char id[REQUEST_ID_BYTES];
  GString *head;    /* the request's start line and headers that stay */
  GByteArray *body; /* of the request */
  bool has_body;
  double tokens;        /* memory that it needs in an engine */
  double output_tokens; /* that it may write at most; 0: no stream */
  int64_t arrived_us;
  int64_t deadline_us;
  uv_timer_t timer;

  /* The attempt under way. */
  struct ncl_exchange *attempt;
  struct fst_endpoint *endpoint; /* the request was sent to it */
  struct fst_path *path;         /* NULL for plain services */
  uint32_t status;
  int64_t sent_us;
  int64_t heard_us;  /* last bytes of the answer */
  bool not_executed; /* the endpoint says so */
  bool is_stream;
  bool ends_with_connection; /* nothing tells a whole answer from a torn one */
  char *at_fault;            /* address of the engine that failed */
  GString *answer_head;
  GByteArray *answer;

  /* All attempts. */
  GPtrArray *tried; /* struct fst_endpoint, references */
  uint32_t attempts;
  uint32_t sent;         /* ended ones that arrived or may have */
  uint32_t may_have_run; /* ended ones */
  struct evs_scanner scanner;
  bool answer_begun;
  bool answer_chunked; /* its end says that it is whole */
  int64_t first_event_us;
};

static void attempt (struct exchange *exchange, enum att_end before);
static void watch (struct exchange *exchange);

static void
on_timer_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

static void
destroy (struct exchange *exchange)
{
  flt_release (exchange->config);
  g_free (exchange->service);
  g_string_free (exchange->head, TRUE);
  g_byte_array_free (exchange->body, TRUE);
  g_string_free (exchange->answer_head, TRUE);
  g_byte_array_free (exchange->answer, TRUE);
  g_free (exchange->at_fault);
  g_ptr_array_free (exchange->tried, TRUE);
  evs_clear (&exchange->scanner);
  cnt_add (exchange->traffic->metrics->under_way, -1);
  uv_close ((uv_handle_t *)&exchange->timer, on_timer_closed);
}

/* Ends the use of the endpoint of the attempt under way.  */
static void
release_target (struct exchange *exchange)
{
  exchange->attempt = NULL;
  if (exchange->path != NULL)
    {
      fst_end_path (exchange->path, exchange->tokens);
      fst_release_path (exchange->path);
      exchange->path = NULL;
    }
  else if (exchange->endpoint != NULL)
    {
      evd_end (&exchange->endpoint->evidence);
    }
  if (exchange->endpoint != NULL)
    {
      fst_release (exchange->endpoint);
      exchange->endpoint = NULL;
    }
}

/* Logs how EXCHANGE ended, and frees it.  */
static void
finish (struct exchange *exchange, uint32_t status, const char *outcome)
{
  int64_t now_us = clk_monotonic_us ();
  struct emt_metrics *metrics = exchange->traffic->metrics;
  lg_line (LOG_INFO, "request_done",
           "request=%s route=%s account=%s outcome=%s status=%u attempts=%u "
           "first_ms=%ld total_ms=%ld left_ms=%ld "
           "config=%lu endpoint=%s path=%s",
           exchange->id, exchange->route->name,
           exchange->account == NULL ? "-" : exchange->account->name, outcome,
           status, exchange->attempts,
           (long)(exchange->first_event_us == 0
                      ? -1
                      : (exchange->first_event_us - exchange->arrived_us)
                            / CLK_MS_US),
           (long)((now_us - exchange->arrived_us) / CLK_MS_US),
           (long)((exchange->deadline_us - now_us) / CLK_MS_US),
           (unsigned long)exchange->config->version,
           exchange->endpoint == NULL ? "-" : exchange->endpoint->id,
           exchange->path == NULL ? "-" : exchange->path->text);
  cnt_observe_us (metrics->whole, now_us - exchange->arrived_us);
  release_target (exchange);
  destroy (exchange);
}

/* Answers the request under way on CALLER with STATUS of our own.  */
static void
answer_plainly (struct trf_traffic *traffic, struct nsv_connection *caller,
                uint32_t status, const char *id, double retry_after_s)
{
  char headers[256] = "";
  int used = 0;
  if (id != NULL)
    {
      used = g_snprintf (headers, sizeof headers, PFH_REQUEST_ID ": %s\r\n",
                         id);
    }
  if (retry_after_s > 0)
    {
      g_snprintf (headers + used, sizeof headers - (size_t)used,
                  "Retry-After: %.2f\r\n", retry_after_s);
    }
  cnt_add (status < 500 ? traffic->metrics->answers_4xx
                        : traffic->metrics->answers_5xx,
           1);
  nsv_answer (caller, status, headers, "", 0);
}

/* Returns when a caller whose request wasn't run may come back, in seconds,
   spread so that callers don't return together.  */
static double
retry_after_s (void)
{
  return g_random_double_range (RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
}

/* Gives EXCHANGE an answer of our own.  */
static void
answer_own (struct exchange *exchange, uint32_t status, const char *why)
{
  bool refused = status == HTTP_STATUS_SERVICE_UNAVAILABLE;
  struct emt_metrics *metrics = exchange->traffic->metrics;
  cnt_add (refused ? metrics->refused : metrics->unknown, 1);
  answer_plainly (exchange->traffic, exchange->caller, status, exchange->id,
                  refused ? retry_after_s () : 0);
  exchange->caller = NULL;
  finish (exchange, status, why);
}

/* Delivers the endpoint's answer that was kept, with a length only if it had
   one: an end of the connection doesn't tell that it is whole.  */
static void
deliver_kept (struct exchange *exchange)
{
  struct emt_metrics *metrics = exchange->traffic->metrics;
  cnt_add (exchange->status < 400   ? metrics->answers_2xx
           : exchange->status < 500 ? metrics->answers_4xx
                                    : metrics->answers_5xx,
           1);
  if (!exchange->ends_with_connection)
    {
      nsv_answer (exchange->caller, exchange->status,
                  exchange->answer_head->str, exchange->answer->data,
                  exchange->answer->len);
    }
  else
    {
      nsv_begin (exchange->caller, exchange->status,
                 exchange->answer_head->str, false);
      if (exchange->answer->len > 0)
        {
          nsv_piece (exchange->caller, exchange->answer->data,
                     exchange->answer->len);
        }
      nsv_end (exchange->caller);
    }
  exchange->caller = NULL;
  finish (exchange, exchange->status, "delivered");
}

static void
break_off (struct exchange *exchange, const char *why)
{
  cnt_add (exchange->traffic->metrics->broken_off, 1);
  nsv_abort (exchange->caller);
  exchange->caller = NULL;
  finish (exchange, 0, why);
}

static const char *
end_name (enum att_end end)
{
  static const char *const names[] = {
    [ATT_NOT_SENT] = "not_sent",   [ATT_NOT_RUN] = "not_run",
    [ATT_FAILED] = "failed",       [ATT_CUT_OFF] = "cut_off",
    [ATT_SPOILED] = "spoiled",     [ATT_SILENT] = "silent",
    [ATT_TIMED_OUT] = "timed_out",
  };
  return names[end];
}

/* Carries VERDICT out when EXCHANGE isn't sent again.  */
static void
conclude (struct exchange *exchange, const struct att_verdict *verdict,
          enum att_end end)
{
  switch (verdict->next)
    {
    case ATT_PASS_FAILURE:
      deliver_kept (exchange);
      break;
    case ATT_BREAK_OFF:
      break_off (exchange, end_name (end));
      break;
    case ATT_ANSWER:
    case ATT_RETRY:
    case ATT_RESUME:
      answer_own (exchange, verdict->status, end_name (end));
      break;
    }
}

static void
describe_attempts (const struct exchange *exchange,
                   struct att_request *request)
{
  *request = (struct att_request){
    .repeat = exchange->route->repeat,
    .resumable = exchange->route->resumable,
    .answer_begun = exchange->answer_begun,
    .attempts_max = exchange->route->attempts_max,
    .may_have_run = exchange->may_have_run,
    .sent = exchange->sent,
    .left_us = exchange->deadline_us - clk_monotonic_us (),
  };
}

/* Returns the index of the service of EXCHANGE in the configuration in force,
   or FLT_NO_INDEX.  */
static uint32_t
service_index (const struct exchange *exchange)
{
  const struct flt_config *config = fst_config (exchange->traffic->fleet);
  return config == NULL ? FLT_NO_INDEX
                        : flt_find_service (config, exchange->service);
}

/* Takes the end of the attempt under way by END, and decides what is next.  */
static void
end_attempt (struct exchange *exchange, enum att_end end)
{
  if (end != ATT_NOT_SENT)
    {
      exchange->sent++;
    }
  if (end != ATT_NOT_SENT && end != ATT_NOT_RUN)
    {
      exchange->may_have_run++;
    }
  struct att_request request;
  struct att_verdict verdict;
  describe_attempts (exchange, &request);
  att_decide (&request, end, &verdict);
  uint32_t service = service_index (exchange);
  bool again = verdict.next == ATT_RETRY || verdict.next == ATT_RESUME;
  if (again
      && (service == FLT_NO_INDEX
          || (verdict.needs_budget
              && !rbg_take (fst_budget (exchange->traffic->fleet, service),
                            clk_monotonic_us ()))))
    {
      again = false;
      att_decide_unpaid (&request, end, &verdict);
      cnt_add (exchange->traffic->metrics->budget_spent, 1);
    }
  lg_line (LOG_INFO, "attempt_ended",
           "request=%s end=%s status=%u endpoint=%s at_fault=%s again=%d "
           "sent=%u may_have_run=%u last_event=%ld age_ms=%ld",
           exchange->id, end_name (end), exchange->status,
           exchange->endpoint == NULL ? "-" : exchange->endpoint->id,
           exchange->at_fault == NULL ? "-" : exchange->at_fault, again,
           exchange->sent, exchange->may_have_run,
           (long)exchange->scanner.last_id,
           (long)((clk_monotonic_us () - exchange->sent_us) / CLK_MS_US));
  if (!again)
    {
      conclude (exchange, &verdict, end);
      return;
    }
  if (exchange->endpoint != NULL)
    {
      g_ptr_array_add (exchange->tried, fst_reference (exchange->endpoint));
    }
  release_target (exchange);
  cnt_add (exchange->traffic->metrics->repeats, verdict.needs_budget);
  cnt_add (exchange->traffic->metrics->resumed, verdict.next == ATT_RESUME);
  attempt (exchange, end);
}

/* Blames the engine that the endpoint named, or else the endpoint itself.  */
static void
blame (struct exchange *exchange, bool certain, const char *reason)
{
  struct fst_fleet *fleet = exchange->traffic->fleet;
  struct fst_endpoint *culprit = exchange->endpoint;
  if (exchange->at_fault != NULL)
    {
      uint32_t service = service_index (exchange);
      culprit = service == FLT_NO_INDEX
                    ? NULL
                    : fst_find_address (fleet, service, exchange->at_fault);
    }
  if (culprit != NULL)
    {
      fst_blame (fleet, culprit, certain, reason, clk_monotonic_us ());
    }
}

/* Moves MEAN, which is 0 at first, towards VALUE.  */
static void
average (double *mean, double value)
{
  *mean = *mean == 0 ? value
                     : *mean * (1 - NEWEST_WEIGHT) + value * NEWEST_WEIGHT;
}

/* Takes the success of an attempt; every engine on its path proved itself.  */
static void
take_success (struct exchange *exchange)
{
  int64_t latency_us = clk_monotonic_us () - exchange->sent_us;
  struct trf_traffic *traffic = exchange->traffic;
  if (exchange->output_tokens > 0)
    {
      average (&traffic->token_us,
               (double)latency_us / exchange->output_tokens);
    }
  else
    {
      average (&traffic->call_us, (double)latency_us);
    }
  if (exchange->path == NULL)
    {
      evd_success (&exchange->endpoint->evidence, latency_us);
      return;
    }
  for (uint32_t i = 0; i < exchange->path->count; i++)
    {
      evd_success (&exchange->path->parts[i]->evidence, latency_us);
    }
}

/* Writes the headers of ANSWER that go to the caller into HEAD.  */
static void
copy_answer_head (const struct msg_message *answer, GString *head)
{
  g_string_truncate (head, 0);
  for (uint32_t i = 0; i < answer->headers->len; i++)
    {
      const char *name = msg_name (answer, i);
      if (!msg_is_hop_by_hop (answer, name))
        {
          g_string_append_printf (head, "%s: %s\r\n", name,
                                  msg_value (answer, i));
        }
    }
}

/* Returns false when ANSWER can't be that of EXCHANGE's request.  */
static bool
on_headers (void *context, uint32_t status, const struct msg_message *answer)
{
  struct exchange *exchange = context;
  const char *id = msg_find (answer, PFH_REQUEST_ID);
  bool success = status >= 200 && status < 300;
  exchange->status = status;
  exchange->heard_us = clk_monotonic_us ();
  exchange->ends_with_connection
      = ncl_ends_with_connection (exchange->attempt);
  exchange->not_executed = msg_find (answer, PFH_NOT_EXECUTED) != NULL
                           || status == HTTP_STATUS_MISDIRECTED_REQUEST;
  g_free (exchange->at_fault);
  exchange->at_fault = g_strdup (msg_find (answer, PFH_ENDPOINT_AT_FAULT));
  if (id == NULL ? success : strcmp (id, exchange->id) != 0)
    {
      return false;
    }
  if (success
      && (msg_find (answer, PFH_SIGNATURE) == NULL
          || msg_find (answer, "Content-Encoding") != NULL))
    {
      return false;
    }
  const char *type = msg_find (answer, "Content-Type");
  exchange->is_stream
      = success && exchange->route->repeat == FLT_REPEAT_STREAM
        && (type == NULL || strstr (type, "text/event-stream") != NULL);
  if (!exchange->answer_begun)
    {
      copy_answer_head (answer, exchange->answer_head);
    }
  else if (!exchange->is_stream && success)
    {
      return false;
    }
  return true;
}

/* Delivers the whole events in `answer'.  */
static void
deliver_events (struct exchange *exchange, uint32_t events)
{
  struct emt_metrics *metrics = exchange->traffic->metrics;
  if (!exchange->answer_begun)
    {
      exchange->answer_begun = true;
      exchange->first_event_us = clk_monotonic_us ();
      cnt_observe_us (metrics->first_byte,
                      exchange->first_event_us - exchange->arrived_us);
      exchange->answer_chunked = !exchange->ends_with_connection;
      nsv_begin (exchange->caller, exchange->status,
                 exchange->answer_head->str, exchange->answer_chunked);
    }
  cnt_add (metrics->events, events);
  nsv_piece (exchange->caller, exchange->answer->data, exchange->answer->len);
  if (nsv_is_slow (exchange->caller))
    {
      ncl_pause (exchange->attempt);
    }
}

static void
on_body (void *context, const char *bytes, size_t count)
{
  struct exchange *exchange = context;
  exchange->heard_us = clk_monotonic_us ();
  if (!exchange->is_stream)
    {
      if (exchange->answer->len + count > ANSWER_BYTES_MAX)
        {
          ncl_cancel (exchange->attempt);
          end_attempt (exchange, ATT_SPOILED);
          return;
        }
      g_byte_array_append (exchange->answer, (const guint8 *)bytes,
                           (guint)count);
      return;
    }
  g_byte_array_set_size (exchange->answer, 0);
  uint32_t events
      = evs_feed (&exchange->scanner, bytes, count, exchange->answer);
  if (events > 0)
    {
      deliver_events (exchange, events);
    }
}

/* Takes the whole answer of a stream.  */
static void
complete_stream (struct exchange *exchange)
{
  struct emt_metrics *metrics = exchange->traffic->metrics;
  if (exchange->scanner.pending->len > 0 || exchange->scanner.out_of_order
      || !exchange->answer_begun
      || (exchange->ends_with_connection && exchange->answer_chunked))
    {
      blame (exchange, false, "the stream ended within an event");
      end_attempt (exchange, ATT_SPOILED);
      return;
    }
  take_success (exchange);
  cnt_add (metrics->answers_2xx, 1);
  nsv_end (exchange->caller);
  exchange->caller = NULL;
  finish (exchange, exchange->status, "delivered");
}

static void
on_complete (void *context)
{
  struct exchange *exchange = context;
  exchange->attempt = NULL;
  if (exchange->is_stream)
    {
      complete_stream (exchange);
      return;
    }
  if (exchange->status < 400 && !exchange->not_executed
      && !exchange->answer_begun)
    {
      take_success (exchange);
      exchange->first_event_us = clk_monotonic_us ();
      cnt_observe_us (exchange->traffic->metrics->first_byte,
                      exchange->first_event_us - exchange->arrived_us);
      deliver_kept (exchange);
      return;
    }
  if (exchange->not_executed)
    {
      blame (exchange, exchange->path != NULL, "it didn't run a request");
      end_attempt (exchange, ATT_NOT_RUN);
      return;
    }
  blame (exchange, false, "it failed a request");
  end_attempt (exchange, ATT_FAILED);
}

static void
on_failed (void *context, enum ncl_failure failure)
{
  struct exchange *exchange = context;
  exchange->attempt = NULL;
  g_clear_pointer (&exchange->at_fault, g_free);
  switch (failure)
    {
    case NCL_NOT_CONNECTED:
      blame (exchange, true, "no connection");
      end_attempt (exchange, ATT_NOT_SENT);
      break;
    case NCL_CUT_OFF:
      blame (exchange, exchange->path != NULL, "it cut an answer off");
      end_attempt (exchange, ATT_CUT_OFF);
      break;
    case NCL_MALFORMED:
    case NCL_FOREIGN:
      blame (exchange, false, "it spoiled an answer");
      end_attempt (exchange, ATT_SPOILED);
      break;
    }
}

static const struct ncl_events attempt_events = {
  .headers = on_headers,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

/* Chooses where EXCHANGE goes next.  Returns false when there is no place.  */
static bool
choose_target (struct exchange *exchange)
{
  struct fst_fleet *fleet = exchange->traffic->fleet;
  int64_t now_us = clk_monotonic_us ();
  uint32_t index = service_index (exchange);
  if (index == FLT_NO_INDEX)
    {
      return false;
    }
  const struct flt_service *service = &fst_config (fleet)->services[index];
  if (service->has_engine && service->engine.layers > 0)
    {
      exchange->path
          = fst_choose_path (fleet, index, exchange->tokens, now_us);
      if (exchange->path == NULL)
        {
          return false;
        }
      exchange->endpoint = fst_reference (exchange->path->parts[0]);
      fst_begin_path (exchange->path, exchange->tokens);
      return true;
    }
  exchange->endpoint
      = fst_choose_endpoint (fleet, index, exchange->tried, now_us);
  if (exchange->endpoint == NULL)
    {
      return false;
    }
  evd_begin (&exchange->endpoint->evidence);
  return true;
}

/* Returns the bytes of the next attempt.  */
static GString *
build_request (struct exchange *exchange)
{
  int64_t left_us = exchange->deadline_us - clk_monotonic_us ();
  GString *request
      = g_string_sized_new (exchange->head->len + exchange->body->len + 512);
  g_string_append_len (request, exchange->head->str,
                       (gssize)exchange->head->len);
  g_string_append_printf (request,
                          "Host: %s\r\n" PFH_TIME_LEFT_MS
                          ": %ld\r\n" PFH_EXPECTED_ENDPOINT ": %s\r\n",
                          exchange->route->host,
                          (long)MAX (left_us / CLK_MS_US, 1),
                          exchange->endpoint->id);
  if (exchange->account != NULL)
    {
      g_string_append_printf (request, PFH_ACCOUNT ": %s\r\n",
                              exchange->account->name);
    }
  if (exchange->path != NULL)
    {
      g_string_append_printf (request, PFH_PATH ": %s\r\n",
                              exchange->path->text);
    }
  if (exchange->scanner.last_id >= 0)
    {
      g_string_append_printf (request, PFH_LAST_EVENT_ID ": %ld\r\n",
                              (long)exchange->scanner.last_id);
    }
  if (exchange->has_body)
    {
      g_string_append_printf (request, "Content-Length: %u\r\n",
                              exchange->body->len);
    }
  g_string_append (request, "\r\n");
  g_string_append_len (request, (const char *)exchange->body->data,
                       exchange->body->len);
  return request;
}

/* Sends EXCHANGE to an endpoint.  BEFORE is how the attempt before ended.  */
static void
attempt (struct exchange *exchange, enum att_end before)
{
  if (!choose_target (exchange))
    {
      struct att_request request;
      struct att_verdict verdict;
      describe_attempts (exchange, &request);
      att_decide_unpaid (&request, exchange->sent == 0 ? ATT_NOT_SENT : before,
                         &verdict);
      lg_line (LOG_INFO, "no_endpoint", "request=%s service=%s sent=%u",
               exchange->id, exchange->service, exchange->sent);
      conclude (exchange, &verdict, before);
      return;
    }
  struct trf_traffic *traffic = exchange->traffic;
  GString *request = build_request (exchange);
  evs_restart (&exchange->scanner);
  g_byte_array_set_size (exchange->answer, 0);
  exchange->status = 0;
  exchange->is_stream = false;
  exchange->not_executed = false;
  g_clear_pointer (&exchange->at_fault, g_free);
  exchange->sent_us = clk_monotonic_us ();
  exchange->heard_us = exchange->sent_us;
  /* A request that may run only once doesn't risk a connection that the
     endpoint may be closing. */
  exchange->attempt
      = ncl_send (traffic->client, exchange->endpoint->address, request->str,
                  request->len, false, &attempt_events, exchange);
  g_string_free (request, TRUE);
  cnt_add (traffic->metrics->attempts, 1);
  exchange->attempts++;
  if (exchange->attempt == NULL)
    {
      end_attempt (exchange, ATT_NOT_SENT);
      return;
    }
  watch (exchange);
}

static void on_timer (uv_timer_t *timer);

/* Returns how long EXCHANGE's answer may be silent before it is looked into,
   or 0 for no bound.  */
static int64_t
silence_bound_us (const struct exchange *exchange)
{
  if (exchange->path == NULL)
    {
      return 0;
    }
  int64_t gap_us = exchange->route->target_gap_us * SILENCE_GAPS;
  if (!exchange->answer_begun)
    {
      gap_us = MAX (gap_us, exchange->route->target_latency_us * 2);
    }
  return MAX (gap_us, SILENCE_LEAST_US);
}

/* Sets the timer of EXCHANGE to what is due next: a silence or the
   deadline.  */
static void
watch (struct exchange *exchange)
{
  int64_t now_us = clk_monotonic_us ();
  int64_t due_us = exchange->deadline_us;
  int64_t bound_us = silence_bound_us (exchange);
  if (bound_us > 0)
    {
      int64_t silent_us = exchange->heard_us + bound_us;
      /* A silence that couldn't be ended is looked at again later. */
      due_us
          = MIN (due_us, silent_us > now_us ? silent_us : now_us + bound_us);
    }
  uint64_t delay_ms = (uint64_t)MAX ((due_us - now_us) / CLK_MS_US, 0) + 1;
  uv_timer_start (&exchange->timer, on_timer, delay_ms, 0);
}

/* True when the attempt under way may be given up for another one: the request
   allows it, another path is there, and so is the budget.  */
static bool
may_abandon (struct exchange *exchange)
{
  struct att_request request;
  uint32_t service = service_index (exchange);
  describe_attempts (exchange, &request);
  return service != FLT_NO_INDEX && att_may_abandon (&request)
         && rbg_allows (fst_budget (exchange->traffic->fleet, service),
                        clk_monotonic_us ());
}

static void
on_timer (uv_timer_t *timer)
{
  struct exchange *exchange = timer->data;
  int64_t now_us = clk_monotonic_us ();
  int64_t bound_us = silence_bound_us (exchange);
  if (now_us >= exchange->deadline_us)
    {
      if (exchange->attempt != NULL)
        {
          ncl_cancel (exchange->attempt);
        }
      end_attempt (exchange, ATT_TIMED_OUT);
      return;
    }
  if (bound_us > 0 && now_us - exchange->heard_us >= bound_us
      && may_abandon (exchange))
    {
      ncl_cancel (exchange->attempt);
      g_clear_pointer (&exchange->at_fault, g_free);
      blame (exchange, false, "a stream fell silent");
      end_attempt (exchange, ATT_SILENT);
      return;
    }
  watch (exchange);
}

/* Takes the caller's leaving: the endpoint stops working on its request.  */
void
exg_caller_gone (void *context)
{
  struct exchange *exchange = context;
  exchange->caller = NULL;
  cnt_add (exchange->traffic->metrics->callers_gone, 1);
  if (exchange->attempt != NULL)
    {
      ncl_cancel (exchange->attempt);
    }
  finish (exchange, 0, "caller_gone");
}

/* Goes on reading an answer whose caller was slow.  */
void
exg_caller_drained (void *context)
{
  struct exchange *exchange = context;
  if (exchange->attempt != NULL)
    {
      ncl_resume (exchange->attempt);
    }
}

/* True for headers of callers that this daemon sets itself, or keeps.  */
static bool
is_replaced (const char *name)
{
  static const char *const replaced[] = {
    "Host",   PFH_API_KEY,           PFH_ACCOUNT,       PFH_TIME_LEFT_MS,
    PFH_PATH, PFH_EXPECTED_ENDPOINT, PFH_LAST_EVENT_ID, PFH_ENGINE_PRIORITY,
  };
  for (size_t i = 0; i < G_N_ELEMENTS (replaced); i++)
    {
      if (strcasecmp (replaced[i], name) == 0)
        {
          return true;
        }
    }
  return false;
}

/* Writes the start line of REQUEST and its headers that stay into HEAD.  */
static void
copy_request_head (const struct msg_message *request, const char *method,
                   GString *head)
{
  g_string_append_printf (head, "%s %s HTTP/1.1\r\n", method,
                          request->url->str);
  for (uint32_t i = 0; i < request->headers->len; i++)
    {
      const char *name = msg_name (request, i);
      if (!is_replaced (name) && !msg_is_hop_by_hop (request, name))
        {
          g_string_append_printf (head, "%s: %s\r\n", name,
                                  msg_value (request, i));
        }
    }
}

/* Returns the memory in tokens that a request of TEXT, "prompt,output", needs
   at most.  OUTPUT is what it may write.  */
static double
parse_tokens (const char *text, double *output)
{
  *output = 0;
  if (text == NULL)
    {
      return DEFAULT_TOKENS;
    }
  char *end = NULL;
  double prompt = g_ascii_strtod (text, &end);
  *output = *end == ',' ? g_ascii_strtod (end + 1, NULL) : 0;
  return MAX (prompt + *output, 1);
}

/* Why a request isn't taken. */
struct refusal
{
  uint32_t status; /* 0: it is taken */
  const char *why;
};

/* Finds the route and account of REQUEST in CONFIG.  */
static struct refusal
check_request (struct trf_traffic *traffic, const struct flt_config *config,
               const struct msg_message *request,
               const struct flt_route **route,
               const struct flt_account **account)
{
  if (config == NULL)
    {
      return (struct refusal){ HTTP_STATUS_SERVICE_UNAVAILABLE,
                               "no configuration" };
    }
  int64_t now_us = clk_monotonic_us ();
  int64_t proved_us = fvw_proved_us (traffic->views);
  bool may_deny = frs_may_deny (&traffic->freshness, proved_us, now_us);
  const char *host = msg_find (request, "Host");
  *route
      = host == NULL ? NULL : flt_find_route (config, host, request->url->str);
  if (*route == NULL)
    {
      return (struct refusal){ may_deny ? HTTP_STATUS_NOT_FOUND
                                        : HTTP_STATUS_SERVICE_UNAVAILABLE,
                               "no route" };
    }
  if (!config->has_accounts || (*route)->is_public)
    {
      return (struct refusal){ 0, "" };
    }
  if (!frs_serves_keys (&traffic->freshness, proved_us, now_us))
    {
      return (struct refusal){ HTTP_STATUS_SERVICE_UNAVAILABLE,
                               "keys may be out of date" };
    }
  const char *key = msg_find (request, PFH_API_KEY);
  *account = key == NULL ? NULL : flt_find_account (config, key);
  if (*account == NULL)
    {
      return (struct refusal){ HTTP_STATUS_UNAUTHORIZED, "unknown key" };
    }
  return (struct refusal){ 0, "" };
}

/* Returns how long REQUEST is expected to run.  */
static int64_t
expected_us (const struct trf_traffic *traffic,
             const struct msg_message *request)
{
  double output = 0;
  parse_tokens (msg_find (request, PFH_TOKENS), &output);
  double token_us
      = traffic->token_us == 0 ? FIRST_TOKEN_US : traffic->token_us;
  return (int64_t)(output > 0 ? output * token_us : traffic->call_us);
}

/* True while REQUEST can be finished although the daemon may be stopping.  */
static bool
takes_requests (const struct trf_traffic *traffic,
                const struct msg_message *request)
{
  return traffic->stopping_us == 0
         || spn_takes (clk_monotonic_us () - traffic->stopping_us,
                       traffic->settings->stop_us,
                       expected_us (traffic, request));
}

/* Returns the time that the request on ROUTE has, from now on.  */
static int64_t
time_left_us (const struct flt_route *route, const struct msg_message *request)
{
  const char *stated = msg_find (request, PFH_TIME_LEFT_MS);
  int64_t left_us = route->timeout_us > 0 ? route->timeout_us : INT64_MAX / 4;
  if (stated != NULL)
    {
      int64_t stated_us = g_ascii_strtoll (stated, NULL, 10) * CLK_MS_US;
      left_us = MIN (left_us, stated_us);
    }
  return left_us;
}

/* Makes the exchange of a request that is taken.  */
static struct exchange *
create (struct trf_traffic *traffic, struct nsv_connection *caller,
        const struct msg_message *request, const char *method,
        const struct flt_route *route, const struct flt_account *account)
{
  struct exchange *exchange = g_new0 (struct exchange, 1);
  const char *id = msg_find (request, PFH_REQUEST_ID);
  const char *last_event = msg_find (request, PFH_LAST_EVENT_ID);
  exchange->traffic = traffic;
  exchange->caller = caller;
  exchange->config
      = flt_reference ((struct flt_config *)fst_config (traffic->fleet));
  exchange->route = route;
  exchange->account = account;
  g_strlcpy (exchange->id, id, sizeof exchange->id);
  exchange->head = g_string_sized_new (512);
  copy_request_head (request, method, exchange->head);
  exchange->body = g_byte_array_sized_new (request->body->len);
  g_byte_array_append (exchange->body, request->body->data,
                       request->body->len);
  exchange->has_body = request->body->len > 0
                       || msg_find (request, "Content-Length") != NULL
                       || msg_find (request, "Transfer-Encoding") != NULL;
  exchange->tokens = parse_tokens (msg_find (request, PFH_TOKENS),
                                   &exchange->output_tokens);
  exchange->arrived_us = clk_monotonic_us ();
  exchange->deadline_us = exchange->arrived_us + time_left_us (route, request);
  exchange->answer_head = g_string_new (NULL);
  exchange->answer = g_byte_array_new ();
  exchange->tried
      = g_ptr_array_new_with_free_func ((GDestroyNotify)fst_release);
  evs_init (&exchange->scanner);
  if (last_event != NULL)
    {
      exchange->scanner.last_id = g_ascii_strtoll (last_event, NULL, 10);
    }
  uv_timer_init (traffic->loop, &exchange->timer);
  exchange->timer.data = exchange;
  nsv_bind (caller, exchange);
  cnt_add (traffic->metrics->under_way, 1);
  return exchange;
}

/* Takes REQUEST of CALLER: answers it at once, or sends it to an endpoint.  */
void
exg_start (struct trf_traffic *traffic, struct nsv_connection *caller,
           const struct msg_message *request, const char *method)
{
  const struct flt_config *config = fst_config (traffic->fleet);
  const struct flt_route *route = NULL;
  const struct flt_account *account = NULL;
  const char *id = msg_find (request, PFH_REQUEST_ID);
  cnt_add (traffic->metrics->requests, 1);
  struct refusal refusal
      = check_request (traffic, config, request, &route, &account);
  if (refusal.status == 0 && !takes_requests (traffic, request))
    {
      refusal
          = (struct refusal){ HTTP_STATUS_SERVICE_UNAVAILABLE, "stopping" };
    }
  if (refusal.status == 0 && (id == NULL || strlen (id) >= REQUEST_ID_BYTES))
    {
      refusal = (struct refusal){ HTTP_STATUS_BAD_REQUEST, "no request id" };
    }
  uint32_t service = refusal.status == 0
                         ? flt_choose_service (route, g_random_int ())
                         : FLT_NO_INDEX;
  if (refusal.status == 0 && service == FLT_NO_INDEX)
    {
      refusal = (struct refusal){ HTTP_STATUS_SERVICE_UNAVAILABLE,
                                  "the route has no service" };
    }
  if (refusal.status != 0)
    {
      bool refused = refusal.status == HTTP_STATUS_SERVICE_UNAVAILABLE;
      lg_line (LOG_INFO, "request_refused",
               "request=%s status=%u why=\"%s\" route=%s config=%lu "
               "proof_age_ms=%ld",
               id == NULL ? "-" : id, refusal.status, refusal.why,
               route == NULL ? "-" : route->name,
               (unsigned long)(config == NULL ? 0 : config->version),
               (long)((clk_monotonic_us () - fvw_proved_us (traffic->views))
                      / CLK_MS_US));
      cnt_add (traffic->metrics->refused, refused);
      answer_plainly (traffic, caller, refusal.status, id,
                      refused ? retry_after_s () : 0);
      return;
    }
  struct exchange *exchange
      = create (traffic, caller, request, method, route, account);
  exchange->service = g_strdup (config->services[service].name);
  rbg_request (fst_budget (traffic->fleet, service), exchange->arrived_us);
  attempt (exchange, ATT_NOT_SENT);
}
