/* Checks the deadlines of exchanges and detects stalled streams.  Work that
   depends on a dead engine stalls; the first engine of the path then reports
   which engine it waits for, and the streams over that engine are resumed on
   other paths. */
#include "entry/exchange_private.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/continuity.h"
#include "entry/inquiry.h"
#include "entry/passing.h"
#include "net/turn.h"

#include <string.h>

/* Interval at which a stream that waits for a path with room looks for one. */
#define ROOM_RECHECK_US (60 * CLK_MS_US)

/* A stream that stays silent is checked again at this interval. */
#define SILENCE_RECHECK_US (50 * CLK_MS_US)

static void check_exchange (struct exchange *exchange);

/* Returns whether an engine on EXCHANGE's path may have stopped.  Only a
   daemon that sees a small part of the load needs that: others soon learn it
   from reports, which take no retry.  */
static bool
path_is_suspected (const struct exchange *exchange)
{
  if (!fst_view (exchange->traffic->fleet)->crowded)
    {
      return false;
    }
  for (uint32_t i = 0; i < exchange->path->count; i++)
    {
      const struct evd_evidence *evidence
          = &exchange->path->parts[i]->evidence;
      const struct ctn_engine engine = {
        .dead = evidence->dead,
        .failed_us = evidence->failed_us,
        .progressed_us = evidence->progressed_us,
      };
      if (ctn_is_suspected (&engine))
        {
          return true;
        }
    }
  return false;
}

/* Returns how long EXCHANGE's answer may be silent before its engine is asked
   for a report, or 0 for no limit: only requests with a path through engines
   have one.  */
static int64_t
silence_limit_us (const struct exchange *exchange)
{
  if (exchange->path == NULL)
    {
      return 0;
    }
  const struct ctn_stream stream = {
    .begun = exchange->answer_begun,
    .path_suspected = path_is_suspected (exchange),
    .interval_us = exchange->event_interval_us,
    .deviation_us = exchange->event_deviation_us,
    .first_event_us = exchange->traffic->first_event_us,
  };
  return ctn_silence_limit_us (&stream);
}

/* Returns how long EXCHANGE's endpoint has sent no event.  Other bytes don't
   count: a stalled engine may send comments.  A slow caller pauses the reading
   of its answer, so its time doesn't count.  */
static int64_t
silence_us (const struct exchange *exchange, int64_t now_us)
{
  bool caller_slow
      = exchange->caller != NULL && nsv_is_slow (exchange->caller);
  return caller_slow ? 0 : now_us - exchange->progress_us;
}

/* True when the current attempt of EXCHANGE is made at ENDPOINT or over
   it.  */
static bool
uses_endpoint (const struct exchange *exchange,
               const struct fst_endpoint *endpoint)
{
  bool used = exchange->endpoint == endpoint;
  for (uint32_t i = 0; exchange->path != NULL && i < exchange->path->count;
       i++)
    {
      used = used || exchange->path->parts[i] == endpoint;
    }
  return used;
}

/* True when the current attempt may be abandoned for another one: both the
   request and the retry budget allow it.  If it KEEPS_RESERVE, the budget must
   allow more than the one retry, unless a neighbour takes the request.  */
static bool
may_abandon (struct exchange *exchange, bool keeps_reserve)
{
  struct att_request request;
  uint32_t service = exg_service_index (exchange);
  exg_describe_request (exchange, &request);
  if (service == FLT_NO_INDEX || !att_may_abandon (&request))
    {
      return false;
    }
  struct rbg_budget *budget = fst_budget (exchange->traffic->fleet, service);
  int64_t now_us = clk_monotonic_us ();
  uint32_t repeats
      = keeps_reserve ? ctn_retry_reserve (rbg_allowed (budget, now_us)) : 1;
  bool allowed = rbg_allows (budget, repeats, now_us);
  exchange->denials += !allowed;
  return allowed;
}

/* Returns the exchanges for which MATCHES, unless NULL, returns true with
   ENDPOINT: handling them changes the set of all.  The caller frees the array.
 */
GPtrArray *
exg_list (struct trf_traffic *traffic,
          bool (*matches) (const struct exchange *,
                           const struct fst_endpoint *),
          const struct fst_endpoint *endpoint)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, traffic->exchanges);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      if (matches == NULL || matches (key, endpoint))
        {
          g_ptr_array_add (found, key);
        }
    }
  return found;
}

static bool
begins_at (const struct exchange *exchange, const struct fst_endpoint *engine)
{
  return exchange->path != NULL && exchange->endpoint == engine;
}

/* Checks every exchange whose path begins at ENGINE again, since a report of
   it has arrived.  */
void
exg_check_streams (struct trf_traffic *traffic,
                   const struct fst_endpoint *engine)
{
  g_autoptr (GPtrArray) streams = exg_list (traffic, begins_at, engine);
  for (guint i = 0; i < streams->len; i++)
    {
      check_exchange (g_ptr_array_index (streams, i));
    }
}

/* Sets the next checks of the exchanges over ENGINE anew, since it has failed
   a request.  */
void
exg_expedite_checks (struct trf_traffic *traffic,
                     const struct fst_endpoint *engine)
{
  g_autoptr (GPtrArray) streams = exg_list (traffic, uses_endpoint, engine);
  for (guint i = 0; i < streams->len; i++)
    {
      struct exchange *exchange = g_ptr_array_index (streams, i);
      if (exchange->path != NULL && exchange->attempt != NULL)
        {
          exg_schedule_check (exchange);
        }
    }
}

static bool
waits_for_connection (const struct exchange *exchange,
                      const struct fst_endpoint *endpoint)
{
  return exchange->attempt != NULL && !ncl_is_connected (exchange->attempt)
         && uses_endpoint (exchange, endpoint);
}

/* Withdraws the requests to ENDPOINT that wait for their connections, and
   sends them elsewhere.  */
void
exg_withdraw_unsent (struct trf_traffic *traffic,
                     const struct fst_endpoint *endpoint)
{
  g_autoptr (GPtrArray) unsent
      = exg_list (traffic, waits_for_connection, endpoint);
  for (guint i = 0; i < unsent->len; i++)
    {
      struct exchange *exchange = g_ptr_array_index (unsent, i);
      exchange->turned_away = true;
      ncl_cancel (exchange->attempt);
      exg_end_attempt (exchange, ATT_NOT_SENT);
    }
}

/* Cancels the current attempt as silent, so that the stream is resumed on
   another path.  */
static void
abandon_attempt (struct exchange *exchange)
{
  ncl_cancel (exchange->attempt);
  g_clear_pointer (&exchange->failed_address, g_free);
  exg_end_attempt (exchange, ATT_NO_RESPONSE);
}

/* Ends EXCHANGE at its deadline.  Makes the next attempt of one that waits for
   room.  For a silent stream, abandons the attempt if an engine of its path is
   dead or the daemon is cut off, or else asks the first engine for a report.
 */
static void
check_exchange (struct exchange *exchange)
{
  int64_t now_us = clk_monotonic_us ();
  int64_t limit_us = silence_limit_us (exchange);
  int64_t silent_for_us = silence_us (exchange, now_us);
  if (now_us >= exchange->deadline_us && exchange->waits_for_room)
    {
      exg_give_up_wait (exchange);
      return;
    }
  if (now_us >= exchange->deadline_us)
    {
      exg_report_unanswered (exchange);
      if (exchange->attempt != NULL)
        {
          ncl_cancel (exchange->attempt);
        }
      exg_end_attempt (exchange, ATT_TIMED_OUT);
      return;
    }
  if (exchange->waits_for_room)
    {
      exg_end_room_wait (exchange);
      return;
    }
  if (limit_us > 0 && silent_for_us >= limit_us)
    {
      /* A slow path without a dead engine isn't abandoned: processing the
         prompt again elsewhere would add to the load that slows it down. */
      bool cut_off
          = psg_is_cut_off (exchange->traffic, exg_service_index (exchange));
      bool failed = exg_path_has_dead_engine (exchange)
                    || path_is_suspected (exchange);
      if ((cut_off && may_abandon (exchange, false))
          || (!cut_off && failed && may_abandon (exchange, true)))
        {
          abandon_attempt (exchange);
          return;
        }
      inq_request_report (exchange->traffic, exchange->endpoint, now_us);
    }
  exg_schedule_check (exchange);
}

static void
on_timer (uv_timer_t *timer)
{
  trn_enter ("checks_of_requests");
  check_exchange (timer->data);
}

/* Sets the timer of EXCHANGE to its next check: when its stream counts as
   silent, or at its deadline.  */
void
exg_schedule_check (struct exchange *exchange)
{
  int64_t now_us = clk_monotonic_us ();
  int64_t due_us = exchange->deadline_us;
  int64_t limit_us = silence_limit_us (exchange);
  if (exchange->waits_for_room)
    {
      due_us = MIN (due_us, now_us + ROOM_RECHECK_US);
      if (exchange->opens_us > now_us)
        {
          due_us = MIN (due_us, exchange->opens_us);
        }
    }
  else if (limit_us > 0)
    {
      int64_t silent_at_us = exchange->progress_us + limit_us;
      due_us
          = MIN (due_us, silent_at_us > now_us ? silent_at_us
                                               : now_us + SILENCE_RECHECK_US);
    }
  uint64_t delay_ms = (uint64_t)MAX ((due_us - now_us) / CLK_MS_US, 0) + 1;
  uv_timer_start (&exchange->timer, on_timer, delay_ms, 0);
}
