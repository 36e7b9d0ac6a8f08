/* The endpoint's side of an exchange: checks the answer of an attempt,
   delivers it and records what it proves about the endpoint. */
#include "entry/exchange_private.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/decimal.h"
#include "entry/announcement.h"
#include "entry/passing.h"
#include "platform/headers.h"

#include <math.h>
#include <string.h>
#include <strings.h>

/* Limit on an answer that is buffered whole before it is delivered, and on all
   of these together.  Bytes that are no answer may come without end. */
#define ANSWER_BYTES_MAX ((size_t)16 * 1024 * 1024)
#define ANSWERS_BYTES_MAX ((size_t)24 * 1024 * 1024)

/* Limit on an event of a stream. */
#define EVENT_BYTES_MAX ((size_t)256 * 1024)

/* An answer that is cut off within this time after its newest bytes is blamed
   on its own endpoint; after a longer silence another engine of the path may
   have caused the cut. */
#define ABRUPT_CUT_US (800 * CLK_MS_US)

/* A request that crashes an endpoint does so as that begins to write the
   answer; an answer that has been written for this long isn't such a one's. */
#define SAFE_WRITING_US (1 * CLK_S_US)

/* Weight of the newest sample in moving averages. */
#define AVERAGE_WEIGHT 0.1

/* Adds the sample VALUE to the moving average MEAN, which is 0 before the
   first sample.  */
static void
update_average (double *mean, double value)
{
  *mean = *mean == 0 ? value
                     : *mean * (1 - AVERAGE_WEIGHT) + value * AVERAGE_WEIGHT;
}

/* Adds INTERVAL_US, between two events of EXCHANGE's stream, to their average
   and its deviation.  */
static void
update_interval (struct exchange *exchange, double interval_us)
{
  if (exchange->event_interval_us > 0)
    {
      update_average (&exchange->event_deviation_us,
                      fabs (interval_us - exchange->event_interval_us));
    }
  update_average (&exchange->event_interval_us, interval_us);
}

/* Records a failure of the given KIND, of the engine that the endpoint named
   as failed, or else of the endpoint itself.  REASON goes into the log.  A
   refusal of another engine counts as EVD_UNAVAILABLE, since it doesn't show
   whether that engine is alive.  */
void
exg_report_failure (struct exchange *exchange, enum evd_failure_kind kind,
                    const char *reason)
{
  struct fst_fleet *fleet = exchange->traffic->fleet;
  struct fst_endpoint *failed_endpoint = exchange->endpoint;
  if (exchange->failed_address != NULL)
    {
      uint32_t service = exg_service_index (exchange);
      failed_endpoint
          = service == FLT_NO_INDEX
                ? NULL
                : fst_find_address (fleet, service, exchange->failed_address);
      if (kind == EVD_REFUSING && failed_endpoint != exchange->endpoint)
        {
          kind = EVD_UNAVAILABLE;
        }
    }
  if (failed_endpoint != NULL)
    {
      fst_report_failure (fleet, failed_endpoint, kind, reason,
                          clk_monotonic_us ());
      exg_expedite_checks (exchange->traffic, failed_endpoint);
    }
}

/* Records that EXCHANGE ends without an answer to its current attempt, if it
   has one.  An engine isn't blamed: its stream may wait for others of the
   path, see inquiry.h.  */
void
exg_report_unanswered (struct exchange *exchange)
{
  if (exchange->attempt != NULL && exchange->path == NULL)
    {
      exg_end_call (exchange, EPC_LEFT);
    }
  if (exchange->attempt != NULL && exchange->path == NULL
      && evd_is_overdue (&exchange->endpoint->evidence,
                         clk_monotonic_us () - exchange->sent_us))
    {
      fst_report_failure (exchange->traffic->fleet, exchange->endpoint,
                          EVD_INCONCLUSIVE, "did not answer",
                          clk_monotonic_us ());
      psg_report_failure (exchange->traffic, exchange->endpoint,
                          exchange->sent_us);
    }
}

/* Records the success of an attempt for its endpoint, or for every engine on
   its path, and how long it took.  */
static void
report_success (struct exchange *exchange)
{
  int64_t latency_us = clk_monotonic_us () - exchange->sent_us;
  struct trf_traffic *traffic = exchange->traffic;
  exchange->served = true;
  if (exchange->path == NULL)
    {
      exg_end_call (exchange, EPC_ANSWERED);
      fst_report_success (traffic->fleet, exchange->endpoint, latency_us);
      return;
    }
  for (uint32_t i = 0; i < exchange->path->count; i++)
    {
      fst_report_success (traffic->fleet, exchange->path->parts[i],
                          latency_us);
    }
}

/* True when the attempt has been written for long enough to show that its
   request doesn't crash the endpoint that began to write.  */
bool
exg_is_written_safely (const struct exchange *exchange)
{
  return exchange->first_written_us > 0
         && exchange->last_received_us - exchange->first_written_us
                >= SAFE_WRITING_US;
}

/* Records that EXCHANGE's answer broke off, as evidence against its traits,
   unless it was written safely or its endpoint was to end.  */
static void
report_early_end (const struct exchange *exchange)
{
  struct fst_endpoint *endpoint = exchange->endpoint;
  if (!endpoint->listed || exg_is_written_safely (exchange))
    {
      return;
    }
  endpoint->broke_off_us = clk_monotonic_us ();
  qrn_report_end (exchange->traffic->quarantine, exchange->traits,
                  endpoint->id, endpoint->born_ms);
  g_autofree char *traits = g_strjoinv (",", exchange->traits);
  lg_line (LOG_INFO, "broke_off_early",
           "request=%s endpoint=%s born_ms=%ld age_ms=%ld written=%d "
           "traits=%s",
           exchange->log_id, endpoint->id, (long)endpoint->born_ms,
           (long)((clk_monotonic_us () - exchange->sent_us) / CLK_MS_US),
           exchange->first_written_us > 0, traits);
}

/* Records that EXCHANGE didn't crash the endpoint that has answered it.  An
   answer that only the end of its connection ended may have been cut off by a
   crash.  */
static void
report_sound (struct exchange *exchange)
{
  if (exchange->proved_sound
      || (exchange->ends_with_connection && !exg_is_written_safely (exchange)))
    {
      return;
    }
  exchange->proved_sound = true;
  qrn_report_sound (exchange->traffic->quarantine, exchange->traits);
}

/* Withdraws the evidence that EXCHANGE's endpoint ended, if it answers a
   request that was sent after that.  At the status 421 another incarnation may
   have answered.  */
static void
report_alive (const struct exchange *exchange, uint32_t status)
{
  struct fst_endpoint *endpoint = exchange->endpoint;
  if (endpoint->broke_off_us > 0 && exchange->sent_us > endpoint->broke_off_us
      && status != HTTP_STATUS_MISDIRECTED_REQUEST)
    {
      endpoint->broke_off_us = 0;
      qrn_report_alive (exchange->traffic->quarantine, endpoint->id,
                        endpoint->born_ms);
    }
}

/* Records what ANSWER, with STATUS, says that a neighbour has sent: when the
   caller of its own refusal is to come back, or what the endpoint announces
   that its answer is from.  */
static void
report_passed_head (struct exchange *exchange, uint32_t status,
                    const struct msg_message *answer)
{
  const char *id = msg_find (answer, PFH_PASSED_ENDPOINT);
  bool own = id == NULL && status >= 400;
  bool promises = status < HTTP_STATUS_INTERNAL_SERVER_ERROR
                  || status == HTTP_STATUS_SERVICE_UNAVAILABLE;
  exchange->failed_by_neighbour = own;
  exchange->not_executed = own && promises;
  const char *wait = msg_find (answer, PFH_RETRY_AFTER);
  double wait_s = 0;
  if (own && wait != NULL && dcm_read (wait, &wait_s) && isfinite (wait_s))
    {
      exchange->neighbour_wait_s = MAX (exchange->neighbour_wait_s, wait_s);
    }
  struct fst_endpoint *endpoint
      = id == NULL ? NULL : fst_find_id (exchange->traffic->fleet, id);
  if (id != NULL)
    {
      psg_report_neighbour (exchange->traffic, exg_service_index (exchange),
                            exchange->endpoint, true);
    }
  if (endpoint != NULL)
    {
      anc_handle (exchange->traffic, endpoint, status, answer);
    }
}

/* Records what the head of ANSWER, with STATUS, says of the endpoint or the
   neighbour that sent it.  */
static void
report_head (struct exchange *exchange, uint32_t status,
             const struct msg_message *answer)
{
  g_clear_pointer (&exchange->failed_address, g_free);
  if (exchange->endpoint->is_neighbour)
    {
      report_passed_head (exchange, status, answer);
      return;
    }
  exchange->not_executed = msg_find (answer, PFH_NOT_EXECUTED) != NULL
                           || status == HTTP_STATUS_MISDIRECTED_REQUEST;
  exchange->failed_address
      = g_strdup (msg_find (answer, PFH_ENDPOINT_AT_FAULT));
  psg_report_answer (exchange->traffic, exchange->endpoint, exchange->sent_us);
  report_alive (exchange, status);
  exchange->turned_away
      = anc_handle (exchange->traffic, exchange->endpoint, status, answer);
}

/* True for headers that daemons tell each other.  */
static bool
is_for_neighbour (const char *name)
{
  return strcasecmp (name, PFH_PASSED_ENDPOINT) == 0;
}

/* Handles the headers of an answer.  Returns false when ANSWER can't be that
   of EXCHANGE's request: another request's id, no signature on a success, or
   no stream where one has begun.  */
static bool
on_headers (void *context, uint32_t status, const struct msg_message *answer)
{
  struct exchange *exchange = context;
  const char *id = msg_find (answer, PFH_REQUEST_ID);
  bool success = status >= 200 && status < 300;
  exchange->status = status;
  exchange->last_received_us = clk_monotonic_us ();
  exchange->progress_us = exchange->last_received_us;
  exchange->ends_with_connection
      = ncl_ends_with_connection (exchange->attempt);
  report_head (exchange, status, answer);
  if (id == NULL ? success : strcmp (id, exchange->id) != 0)
    {
      return false;
    }
  /* Without an id it may be a late answer to an earlier request. */
  exchange->not_executed = exchange->not_executed && id != NULL;
  if (success
      && (msg_find (answer, PFH_SIGNATURE) == NULL
          || msg_drops_header (answer, PFH_PREFIX)
          || msg_find (answer, "Content-Encoding") != NULL))
    {
      return false;
    }
  const char *type = msg_find (answer, "Content-Type");
  exchange->is_stream
      = success && !exchange->is_head
        && exchange->route->repeat == FLT_REPEAT_STREAM
        && (type == NULL || strstr (type, "text/event-stream") != NULL);
  if (!exchange->answer_begun)
    {
      const char *length = msg_find (answer, "Content-Length");
      g_string_truncate (exchange->answer_head, 0);
      msg_copy_headers (answer, is_for_neighbour, exchange->answer_head);
      if (exchange->is_head && length != NULL)
        {
          g_string_append_printf (exchange->answer_head,
                                  "Content-Length: %s\r\n", length);
        }
      if (exchange->is_passed)
        {
          g_string_append_printf (exchange->answer_head,
                                  PFH_PASSED_ENDPOINT ": %s\r\n",
                                  exchange->endpoint->id);
        }
    }
  else if (!exchange->is_stream && success)
    {
      return false;
    }
  return true;
}

/* Sends the bytes in `answer' to the caller.  Pauses the reading of the
   endpoint's answer while the caller is slow.  */
static void
send_bytes (struct exchange *exchange)
{
  if (exchange->answer->len > 0)
    {
      nsv_send_body (exchange->caller, exchange->answer->data,
                     exchange->answer->len);
    }
  if (nsv_is_slow (exchange->caller))
    {
      ncl_pause (exchange->attempt);
    }
}

/* Sends the complete events in `answer' to the caller, after the headers if
   they are the first.  */
static void
deliver_events (struct exchange *exchange, uint32_t events)
{
  struct emt_metrics *metrics = exchange->traffic->metrics;
  int64_t now_us = clk_monotonic_us ();
  if (exchange->answer_begun)
    {
      exchange->longest_gap_us = MAX (exchange->longest_gap_us,
                                      now_us - exchange->last_delivered_us);
    }
  exchange->last_delivered_us = now_us;
  if (!exchange->answer_begun)
    {
      exchange->answer_begun = true;
      exchange->first_event_us = now_us;
      update_average (&exchange->traffic->first_event_us,
                      (double)(exchange->first_event_us - exchange->sent_us));
      cnt_observe_us (metrics->first_byte_time,
                      exchange->first_event_us - exchange->arrived_us);
      exchange->answer_chunked = !exchange->ends_with_connection;
      nsv_begin_response (exchange->caller, exchange->status,
                          exchange->answer_head->str,
                          exchange->answer_chunked);
    }
  exchange->events += events;
  cnt_add (metrics->events, events);
  exg_update_claim (exchange);
  send_bytes (exchange);
}

/* Ends EXCHANGE's attempt, whose answer is no valid one, for the reason WHY.
 */
static void
give_up_answer (struct exchange *exchange, const char *why)
{
  lg_line (LOG_NOTICE, "answer_given_up",
           "request=%s endpoint=%s bytes=%u why=\"%s\"", exchange->log_id,
           exchange->endpoint->id,
           exchange->answer->len + exchange->scanner.pending->len, why);
  ncl_cancel (exchange->attempt);
  exg_report_failure (exchange, EVD_INCONCLUSIVE, why);
  exg_end_attempt (exchange, ATT_INVALID_ANSWER);
}

/* Returns the exchange whose buffered answer is the longest so far, or NULL if
   no answer is buffered.  */
static struct exchange *
longest_answer (const struct trf_traffic *traffic)
{
  struct exchange *longest = NULL;
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, traffic->exchanges);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      struct exchange *exchange = key;
      if (exchange->attempt != NULL && !exchange->is_stream
          && (longest == NULL || exchange->answer->len > longest->answer->len))
        {
          longest = exchange;
        }
    }
  return longest;
}

/* Counts the memory for another COUNT bytes of EXCHANGE's answer.  Gives up
   the longest buffered answer if it is too much.  Returns false if that was
   EXCHANGE's own.  */
static bool
make_room (struct exchange *exchange, size_t count)
{
  struct trf_traffic *traffic = exchange->traffic;
  size_t growth = bbg_allocated (exchange->answer->len + count)
                  - exchange->buffered_bytes;
  size_t total = traffic->buffered_bytes + growth;
  if (total > ANSWERS_BYTES_MAX
      || !bbg_resize (&traffic->answers, BBG_ANSWERS, total))
    {
      struct exchange *longest = longest_answer (traffic);
      bool is_own = longest == NULL
                    || longest->answer->len <= exchange->answer->len + count;
      give_up_answer (is_own ? exchange : longest,
                      "answers take too much memory");
      if (is_own)
        {
          return false;
        }
    }
  traffic->buffered_bytes += growth;
  exchange->buffered_bytes += growth;
  exg_count_answers (traffic);
  return true;
}

/* Handles bytes of a body: scans a stream for complete events, and buffers any
   other answer.  */
static void
on_body (void *context, const char *bytes, size_t count)
{
  struct exchange *exchange = context;
  exchange->last_received_us = clk_monotonic_us ();
  if (!exchange->is_stream)
    {
      if (exchange->answer->len + count > ANSWER_BYTES_MAX)
        {
          give_up_answer (exchange, "the answer is too long");
          return;
        }
      if (!make_room (exchange, count))
        {
          return;
        }
      g_byte_array_append (exchange->answer, (const guint8 *)bytes,
                           (guint)count);
      return;
    }
  int64_t interval_us = exchange->last_received_us - exchange->progress_us;
  g_byte_array_set_size (exchange->answer, 0);
  uint32_t events
      = evs_feed (&exchange->scanner, bytes, count, exchange->answer);
  if (exchange->scanner.pending->len > EVENT_BYTES_MAX)
    {
      give_up_answer (exchange, "an event is too long");
      return;
    }
  if (events == 0 && exchange->answer_begun)
    {
      send_bytes (exchange);
    }
  if (events > 0)
    {
      exchange->progress_us = exchange->last_received_us;
      fst_report_progress (exchange->path, exchange->last_received_us);
      if (exchange->first_written_us == 0)
        {
          exchange->first_written_us = exchange->last_received_us;
        }
      exg_end_wait (exchange, true);
      if (exg_is_written_safely (exchange))
        {
          report_sound (exchange);
        }
      if (exchange->answer_begun)
        {
          update_interval (exchange, (double)interval_us);
        }
      exg_observe_interval (exchange);
      deliver_events (exchange, events);
    }
}

/* Returns why the stream of EXCHANGE, whose answer has ended, isn't complete,
   or NULL if it is.  A run without an event shows nothing of how the stream
   ends.  */
static const char *
find_early_end (const struct exchange *exchange)
{
  const struct evs_scanner *scanner = &exchange->scanner;
  if (scanner->out_of_order)
    {
      return "the events were out of order";
    }
  if (scanner->pending->len > 0)
    {
      return "the stream ended within an event";
    }
  if (!exchange->answer_begun
      || (exchange->first_written_us == 0 && scanner->repeated == 0))
    {
      return "the stream ended without an event";
    }
  return exchange->ends_with_connection && exchange->answer_chunked
             ? "the stream ended with its connection"
             : NULL;
}

/* Handles the end of a stream's answer.  */
static void
end_stream (struct exchange *exchange)
{
  const char *why = find_early_end (exchange);
  if (why != NULL)
    {
      /* An endpoint that has sent its last chunk hasn't crashed. */
      if (exchange->ends_with_connection)
        {
          report_early_end (exchange);
        }
      exg_report_failure (exchange, EVD_INCONCLUSIVE, why);
      exg_end_attempt (exchange, ATT_INVALID_ANSWER);
      return;
    }
  report_success (exchange);
  report_sound (exchange);
  emt_count_answer (exchange->traffic->metrics, exchange->status);
  nsv_end_response (exchange->caller);
  exchange->caller = NULL;
  exg_finish (exchange, exchange->status, "delivered");
}

/* Ends the attempt of EXCHANGE at a neighbour that has answered without a
   success.  One that can't reach the endpoints either says so with status 421;
   any other refusal means that the request is to come back later.  What may
   have run there may have run as often as it may.  */
static void
end_at_neighbour (struct exchange *exchange)
{
  if (!exchange->not_executed)
    {
      exchange->ran_elsewhere = true;
      exg_end_attempt (exchange, exchange->failed_by_neighbour
                                     ? ATT_NO_RESPONSE
                                     : ATT_FAILED);
      return;
    }
  if (exchange->status == HTTP_STATUS_MISDIRECTED_REQUEST)
    {
      exchange->misdirected = true;
      psg_report_neighbour (exchange->traffic, exg_service_index (exchange),
                            exchange->endpoint, false);
    }
  else
    {
      exchange->neighbour_refused = true;
    }
  exg_end_attempt (exchange, ATT_NOT_RUN);
}

/* Handles the end of an answer.  */
static void
on_complete (void *context)
{
  struct exchange *exchange = context;
  exchange->attempt = NULL;
  if (exchange->is_stream)
    {
      end_stream (exchange);
      return;
    }
  if (exchange->status < 400 && !exchange->not_executed
      && !exchange->answer_begun)
    {
      report_success (exchange);
      report_sound (exchange);
      exchange->first_event_us = clk_monotonic_us ();
      cnt_observe_us (exchange->traffic->metrics->first_byte_time,
                      exchange->first_event_us - exchange->arrived_us);
      exg_deliver_buffered (exchange);
      return;
    }
  if (exchange->endpoint->is_neighbour)
    {
      end_at_neighbour (exchange);
      return;
    }
  if (exchange->not_executed)
    {
      /* A wrong incarnation or layers aren't a shortage of room. */
      bool misdirected = exchange->status == HTTP_STATUS_MISDIRECTED_REQUEST;
      if (!exchange->turned_away)
        {
          exg_report_failure (exchange,
                              exchange->path == NULL ? EVD_INCONCLUSIVE
                              : misdirected          ? EVD_MISDIRECTED
                                                     : EVD_REFUSING,
                              "did not run a request");
        }
      exg_end_attempt (exchange, ATT_NOT_RUN);
      return;
    }
  if (!exchange->turned_away)
    {
      exg_report_failure (exchange, EVD_INCONCLUSIVE, "failed a request");
    }
  exg_end_attempt (exchange, ATT_FAILED);
}

/* Returns what a cut answer proves about its endpoint.  After a silence
   another engine of the path may have caused the cut.  */
static enum evd_failure_kind
classify_cut (const struct exchange *exchange)
{
  bool abrupt
      = clk_monotonic_us () - exchange->last_received_us < ABRUPT_CUT_US;
  return exchange->path != NULL && abrupt ? EVD_UNAVAILABLE : EVD_INCONCLUSIVE;
}

/* Handles an attempt whose connection failed or whose answer wasn't valid.  */
static void
on_failed (void *context, enum ncl_failure failure)
{
  struct exchange *exchange = context;
  exchange->attempt = NULL;
  g_clear_pointer (&exchange->failed_address, g_free);
  switch (failure)
    {
    case NCL_NOT_CONNECTED:
      psg_report_failure (exchange->traffic, exchange->endpoint,
                          exchange->sent_us);
      exg_report_failure (exchange, EVD_DEAD, "connection failed");
      exg_end_attempt (exchange, ATT_NOT_SENT);
      break;
    case NCL_CUT_OFF:
      report_early_end (exchange);
      exg_report_failure (exchange, classify_cut (exchange),
                          "cut off an answer");
      exg_end_attempt (exchange, ATT_CUT_OFF);
      break;
    case NCL_MALFORMED:
    case NCL_WRONG_RESPONSE:
      exg_report_failure (exchange, EVD_INCONCLUSIVE,
                          "sent an invalid answer");
      exg_end_attempt (exchange, ATT_INVALID_ANSWER);
      break;
    }
}

const struct ncl_events exg_attempt_events = {
  .headers = on_headers,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};
