/* The endpoint's side of an exchange: takes its answer apart. */
#include "entry/exchange_private.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/stopping.h"
#include "platform/headers.h"

#include <string.h>

/* Bound on an answer that is kept whole before it is delivered. */
#define ANSWER_BYTES_MAX ((size_t)16 * 1024 * 1024)

/* An answer that is cut sooner after its last bytes is its endpoint's fault.
 */
#define SUDDEN_US (800 * CLK_MS_US)

/* Weight of the newest request in the moving averages of durations. */
#define NEWEST_WEIGHT 0.1

/* Moves MEAN, which is 0 at first, towards VALUE.  */
static void
average (double *mean, double value)
{
  *mean = *mean == 0 ? value
                     : *mean * (1 - NEWEST_WEIGHT) + value * NEWEST_WEIGHT;
}

/* Blames the engine that the endpoint named, or else the endpoint itself.  */
void
exg_blame (struct exchange *exchange, enum evd_proof proof, const char *reason)
{
  struct fst_fleet *fleet = exchange->traffic->fleet;
  struct fst_endpoint *culprit = exchange->endpoint;
  if (exchange->at_fault != NULL)
    {
      uint32_t service = exg_service_index (exchange);
      culprit = service == FLT_NO_INDEX
                    ? NULL
                    : fst_find_address (fleet, service, exchange->at_fault);
      if (proof == EVD_REFUSAL && culprit != exchange->endpoint)
        {
          proof = EVD_UNABLE;
        }
    }
  if (culprit != NULL)
    {
      fst_blame (fleet, culprit, proof, reason, clk_monotonic_us ());
    }
}

/* Takes the success of an attempt; every engine on its path proved itself.  */
static void
take_success (struct exchange *exchange)
{
  int64_t latency_us = clk_monotonic_us () - exchange->sent_us;
  struct trf_traffic *traffic = exchange->traffic;
  if (exchange->output_tokens > 0)
    {
      spn_observe (&traffic->token_us,
                   (double)latency_us / exchange->output_tokens);
    }
  else
    {
      spn_observe (&traffic->call_us, (double)latency_us);
    }
  if (exchange->path == NULL)
    {
      fst_praise (traffic->fleet, exchange->endpoint, latency_us);
      return;
    }
  for (uint32_t i = 0; i < exchange->path->count; i++)
    {
      fst_praise (traffic->fleet, exchange->path->parts[i], latency_us);
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
      g_string_truncate (exchange->answer_head, 0);
      msg_copy_headers (answer, NULL, exchange->answer_head);
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
  int64_t now_us = clk_monotonic_us ();
  if (exchange->answer_begun)
    {
      exchange->longest_pause_us
          = MAX (exchange->longest_pause_us, now_us - exchange->delivered_us);
    }
  exchange->delivered_us = now_us;
  if (!exchange->answer_begun)
    {
      exchange->answer_begun = true;
      exchange->first_event_us = now_us;
      average (&exchange->traffic->first_us,
               (double)(exchange->first_event_us - exchange->sent_us));
      cnt_observe_us (metrics->first_byte_time,
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
  int64_t before_us = exchange->heard_us;
  exchange->heard_us = clk_monotonic_us ();
  if (!exchange->is_stream)
    {
      if (exchange->answer->len + count > ANSWER_BYTES_MAX)
        {
          ncl_cancel (exchange->attempt);
          exg_end_attempt (exchange, ATT_SPOILED);
          return;
        }
      g_byte_array_append (exchange->answer, (const guint8 *)bytes,
                           (guint)count);
      return;
    }
  int64_t pause_us = exchange->heard_us - before_us;
  g_byte_array_set_size (exchange->answer, 0);
  uint32_t events
      = evs_feed (&exchange->scanner, bytes, count, exchange->answer);
  if (events > 0)
    {
      if (exchange->answer_begun)
        {
          average (&exchange->pause_us, (double)pause_us);
        }
      deliver_events (exchange, events);
    }
}

/* Takes the whole answer of a stream.  */
static void
complete_stream (struct exchange *exchange)
{
  if (exchange->scanner.pending->len > 0 || exchange->scanner.out_of_order
      || !exchange->answer_begun
      || (exchange->ends_with_connection && exchange->answer_chunked))
    {
      exg_blame (exchange, EVD_DOUBT, "the stream ended within an event");
      exg_end_attempt (exchange, ATT_SPOILED);
      return;
    }
  take_success (exchange);
  emt_count_answer (exchange->traffic->metrics, exchange->status);
  nsv_end (exchange->caller);
  exchange->caller = NULL;
  exg_finish (exchange, exchange->status, "delivered");
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
      cnt_observe_us (exchange->traffic->metrics->first_byte_time,
                      exchange->first_event_us - exchange->arrived_us);
      exg_deliver_kept (exchange);
      return;
    }
  if (exchange->not_executed)
    {
      exg_blame (exchange, exchange->path != NULL ? EVD_REFUSAL : EVD_DOUBT,
                 "it didn't run a request");
      exg_end_attempt (exchange, ATT_NOT_RUN);
      return;
    }
  exg_blame (exchange, EVD_DOUBT, "it failed a request");
  exg_end_attempt (exchange, ATT_FAILED);
}

/* Returns what a cut answer proves against its endpoint: after a silence,
   another engine of the path may have caused it.  */
static enum evd_proof
proof_of_cut (const struct exchange *exchange)
{
  bool sudden = clk_monotonic_us () - exchange->heard_us < SUDDEN_US;
  return exchange->path != NULL && sudden ? EVD_UNABLE : EVD_DOUBT;
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
      exg_blame (exchange, EVD_DEATH, "no connection");
      exg_end_attempt (exchange, ATT_NOT_SENT);
      break;
    case NCL_CUT_OFF:
      exg_blame (exchange, proof_of_cut (exchange), "it cut an answer off");
      exg_end_attempt (exchange, ATT_CUT_OFF);
      break;
    case NCL_MALFORMED:
    case NCL_FOREIGN:
      exg_blame (exchange, EVD_DOUBT, "it spoiled an answer");
      exg_end_attempt (exchange, ATT_SPOILED);
      break;
    }
}

const struct ncl_events exg_attempt_events = {
  .headers = on_headers,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};
