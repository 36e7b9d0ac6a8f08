/* Bookings, with retries, duplicates and repeats, and look-ups. */
#include "standin/load_private.h"

#include "base/clock.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

/* Shortest time from a failed attempt to the next one. */
#define RETRY_MIN_US (200 * CLK_MS_US)

#define PERCENT 100

/* Range of the time from a successful booking to its repeat. */
#define REPEAT_MIN_US (100 * CLK_MS_US)
#define REPEAT_MAX_US (4 * CLK_S_US)

static uint32_t
random_account (struct lt_worker *worker)
{
  return (uint32_t)g_rand_int_range (worker->random, 0,
                                     (gint32)worker->options->account_count);
}

/* Sends one more call of BOOKING.  */
static void
send_booking (struct lt_worker *worker, struct lt_booking *booking)
{
  struct lt_call *call = lt_call_create (worker, LT_BOOKING, booking->account);
  char path[LT_KEY_BYTES * 2];
  char header[LT_KEY_BYTES * 2];
  call->booking = booking;
  booking->attempts++;
  booking->open_calls++;
  g_snprintf (path, sizeof path, "/v1/services/%s/book",
              worker->options->service);
  g_snprintf (header, sizeof header, "Idempotency-Key: %s", booking->key);
  call->headers = curl_slist_append (call->headers, header);
  call->body = g_strdup_printf ("{\"slot\":\"%s\"}", booking->key);
  lt_call_send (call, path);
}

/* Starts a booking with a new key and a random account.  A share of
   DUPLICATE_PERCENT is sent to two daemons at once.  */
void
lt_start_booking (struct lt_worker *worker)
{
  struct lt_booking *booking = g_new0 (struct lt_booking, 1);
  booking->account = random_account (worker);
  booking->started_us = clk_monotonic_us ();
  g_snprintf (booking->key, sizeof booking->key, "k%u-%" PRId64 "-%u-%u",
              worker->options->seed, worker->start_us, worker->index,
              worker->next_number++);
  bool duplicate = g_rand_int_range (worker->random, 0, PERCENT)
                   < (gint32)worker->options->duplicate_percent;
  send_booking (worker, booking);
  if (duplicate)
    {
      send_booking (worker, booking);
    }
}

/* Sends BOOKING again with the same key.  */
void
lt_retry_booking (struct lt_worker *worker, struct lt_booking *booking)
{
  send_booking (worker, booking);
}

/* Returns whether the body is a booking of the call's own slot, with the same
   number as in every earlier answer.  */
static bool
is_own_booking (const struct lt_call *call)
{
  struct lt_booking *booking = call->booking;
  json_t *body = json_loads (call->received->str, 0, NULL);
  const char *slot = json_string_value (json_object_get (body, "slot"));
  int64_t booking_number
      = json_integer_value (json_object_get (body, "booking"));
  bool own = slot != NULL && strcmp (slot, booking->key) == 0
             && booking_number > 0
             && (booking->booking_number == 0
                 || booking->booking_number == booking_number);
  booking->booking_number = booking_number;
  json_decref (body);
  return own;
}

/* Returns how CALL ended.  Sets its `ran' to what its client may assume about
   the effect, and reads the error body if there is one.  */
static enum lt_outcome
classify_booking (struct lt_call *call, CURLcode result)
{
  long status = lt_call_status (call);
  g_strlcpy (call->ran, "unknown", sizeof call->ran);
  if (result == CURLE_COULDNT_CONNECT)
    {
      g_strlcpy (call->ran, "unsent", sizeof call->ran);
      return LT_UNCONNECTED;
    }
  if (result != CURLE_OK || status == 0)
    {
      return LT_CUT;
    }
  if (status == 200)
    {
      g_strlcpy (call->ran, "yes", sizeof call->ran);
      return is_own_booking (call) ? LT_WHOLE : LT_WRONG;
    }
  lt_call_read_error (call, call->received->str);
  return LT_REFUSED;
}

/* Draws, once for each booking, whether the successful BOOKING is repeated.
   Returns false on every later call.  */
static bool
draw_repeat (struct lt_worker *worker, struct lt_booking *booking)
{
  if (booking->repeat_drawn)
    {
      return false;
    }
  booking->repeat_drawn = true;
  return g_rand_int_range (worker->random, 0, PERCENT)
         < (gint32)worker->options->repeat_percent;
}

/* Continues BOOKING once it has no open call: schedules a repeat of a
   successful one, or a retry of another after at least WAIT_US.  Frees it when
   no call follows, because it succeeded, used all attempts or the measured
   time is over.  */
static void
continue_booking (struct lt_worker *worker, struct lt_booking *booking,
                  int64_t wait_us)
{
  if (booking->open_calls > 0)
    {
      return;
    }
  int64_t now_us = clk_monotonic_us ();
  if (booking->succeeded && now_us < worker->end_us
      && draw_repeat (worker, booking))
    {
      int64_t delay_us
          = g_rand_int_range (worker->random, REPEAT_MIN_US, REPEAT_MAX_US);
      lt_schedule (worker, LT_EVENT_RETRY, now_us + delay_us, 0, booking);
      return;
    }
  if (booking->succeeded
      || booking->attempts >= worker->options->booking_attempts
      || now_us >= worker->end_us)
    {
      worker->stats->abandoned_bookings += booking->succeeded ? 0 : 1;
      g_free (booking);
      return;
    }
  lt_schedule (worker, LT_EVENT_RETRY, now_us + MAX (wait_us, RETRY_MIN_US), 0,
               booking);
}

/* Finishes one call of a booking: classifies, counts and journals it, and
   continues the booking.  */
void
lt_finish_booking (struct lt_call *call, CURLcode result)
{
  struct lt_worker *worker = call->worker;
  const struct lt_options *options = worker->options;
  struct lt_booking *booking = call->booking;
  enum lt_outcome outcome = classify_booking (call, result);
  worker->stats->outcomes[LT_BOOKING][outcome]++;
  lt_stats_count_error (worker->stats, call->error_kind);
  jn_write (options->journal, "call",
            ",\"key\":\"%s\",\"request\":\"%s\",\"caller\":\"%s\","
            "\"account\":\"%s\",\"outcome\":\"%s\",\"status\":%ld,"
            "\"kind\":\"%s\",\"ran\":\"%s\",\"sent\":%" PRId64,
            booking->key, call->request_id, options->daemon_urls[call->daemon],
            options->accounts[call->account].name, lt_outcome_name (outcome),
            lt_call_status (call), call->error_kind, call->ran, call->sent_us);
  booking->open_calls--;
  if (outcome == LT_WHOLE && !booking->succeeded)
    {
      int64_t latency_us = clk_monotonic_us () - booking->started_us;
      g_array_append_val (worker->stats->booking_latency_us, latency_us);
    }
  booking->succeeded = booking->succeeded || outcome == LT_WHOLE;
  continue_booking (worker, booking, call->retry_after_us);
}

/* Starts a look-up by a random account.  */
void
lt_start_lookup (struct lt_worker *worker)
{
  struct lt_call *call
      = lt_call_create (worker, LT_LOOKUP, random_account (worker));
  char path[LT_KEY_BYTES * 2];
  g_snprintf (path, sizeof path, "/v1/services/%s/lookup?job=j%u",
              worker->options->service, worker->next_number++);
  lt_call_send (call, path);
}

/* Finishes a look-up: classifies, counts and journals it.  */
void
lt_finish_lookup (struct lt_call *call, CURLcode result)
{
  long status = lt_call_status (call);
  enum lt_outcome outcome = LT_REFUSED;
  if (result != CURLE_OK)
    {
      outcome = result == CURLE_COULDNT_CONNECT ? LT_UNCONNECTED : LT_CUT;
    }
  else if (status == 200)
    {
      bool right = strstr (call->received->str, "\"stock\"") != NULL;
      outcome = right ? LT_WHOLE : LT_WRONG;
    }
  else
    {
      lt_call_read_error (call, call->received->str);
    }
  call->worker->stats->outcomes[LT_LOOKUP][outcome]++;
  lt_stats_count_error (call->worker->stats, call->error_kind);
  jn_write (call->worker->options->journal, "lookup",
            ",\"caller\":\"%s\",\"outcome\":\"%s\",\"status\":%ld,"
            "\"kind\":\"%s\",\"sent\":%" PRId64,
            call->worker->options->daemon_urls[call->daemon],
            lt_outcome_name (outcome), status, call->error_kind,
            call->sent_us);
}
