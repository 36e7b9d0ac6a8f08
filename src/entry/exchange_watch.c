/* Watches exchanges: their deadlines, and streams that fall silent.  Work that
   depends on a dead engine stalls; the first engine of the path then tells
   which one it waits for, and the streams over it go on elsewhere. */
#include "entry/exchange_private.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/inquiry.h"

#include <string.h>

/* A stream is silent when it makes no event for this many of its usual pauses
   and the constant beside them. */
#define SILENCE_PAUSES 4.0
#define SILENCE_US (60 * CLK_MS_US)
#define SILENCE_LEAST_US (100 * CLK_MS_US)
#define SILENCE_MOST_US (700 * CLK_MS_US)

/* The same before its first event, in usual times to it. */
#define FIRST_PAUSES 3.0
#define FIRST_LEAST_US (160 * CLK_MS_US)

/* While it stays silent it is looked at again after this time. */
#define LOOK_AGAIN_US (50 * CLK_MS_US)

/* Repeats that the budget must have left before an attempt is given up, since
   the next one may be refused first. */
#define RESUME_REPEATS 4

static void look (struct exchange *exchange);

/* Returns how long EXCHANGE's answer may be silent before it is looked into,
   or 0 for no bound.  */
static int64_t
silence_bound_us (const struct exchange *exchange)
{
  if (exchange->path == NULL)
    {
      return 0;
    }
  double usual_us = exchange->answer_begun
                        ? exchange->pause_us * SILENCE_PAUSES
                        : exchange->traffic->first_us * FIRST_PAUSES;
  int64_t bound_us = (int64_t)usual_us + SILENCE_US;
  int64_t least_us
      = exchange->answer_begun ? SILENCE_LEAST_US : FIRST_LEAST_US;
  return CLAMP (bound_us, least_us, SILENCE_MOST_US);
}

/* Returns how long EXCHANGE's endpoint has said nothing.  A caller that is
   slow holds its answer up by itself.  */
static int64_t
silent_us (const struct exchange *exchange, int64_t now_us)
{
  bool held_up = exchange->caller != NULL && nsv_is_slow (exchange->caller);
  return held_up ? 0 : now_us - exchange->heard_us;
}

/* True when a part of EXCHANGE's path was proved dead.  One that refused
   others may still be at work on this one.  */
static bool
path_failed (const struct exchange *exchange)
{
  for (uint32_t i = 0; i < exchange->path->count; i++)
    {
      const struct fst_endpoint *part = exchange->path->parts[i];
      if (part->evidence.dead)
        {
          return true;
        }
    }
  return false;
}

/* True when the attempt under way may be given up for another one: the request
   allows it, and so does the budget.  */
static bool
may_abandon (struct exchange *exchange)
{
  struct att_request request;
  uint32_t service = exg_service_index (exchange);
  exg_describe (exchange, &request);
  return service != FLT_NO_INDEX && att_may_abandon (&request)
         && rbg_allows (fst_budget (exchange->traffic->fleet, service),
                        RESUME_REPEATS, clk_monotonic_us ());
}

/* Looks at every exchange whose path begins with ENGINE again.  */
void
exg_look_at_streams (struct trf_traffic *traffic,
                     const struct fst_endpoint *engine)
{
  GPtrArray *streams = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer key;
  g_hash_table_iter_init (&iter, traffic->exchanges);
  while (g_hash_table_iter_next (&iter, &key, NULL))
    {
      const struct exchange *exchange = key;
      if (exchange->path != NULL && exchange->endpoint == engine)
        {
          g_ptr_array_add (streams, key);
        }
    }
  for (guint i = 0; i < streams->len; i++)
    {
      look (g_ptr_array_index (streams, i));
    }
  g_ptr_array_free (streams, TRUE);
}

/* Gives the attempt under way up, so that another one follows.  */
static void
abandon (struct exchange *exchange)
{
  ncl_cancel (exchange->attempt);
  g_clear_pointer (&exchange->at_fault, g_free);
  exg_end_attempt (exchange, ATT_SILENT);
}

/* Looks at EXCHANGE: its deadline, and whether its stream is silent.  */
static void
look (struct exchange *exchange)
{
  int64_t now_us = clk_monotonic_us ();
  int64_t bound_us = silence_bound_us (exchange);
  int64_t quiet_us = silent_us (exchange, now_us);
  if (now_us >= exchange->deadline_us)
    {
      if (exchange->attempt != NULL)
        {
          ncl_cancel (exchange->attempt);
        }
      exg_end_attempt (exchange, ATT_TIMED_OUT);
      return;
    }
  if (bound_us > 0 && quiet_us >= bound_us)
    {
      /* A path that is slow but whole isn't given up: reading the prompt again
         elsewhere would add to the load that slows it. */
      if (path_failed (exchange) && may_abandon (exchange))
        {
          abandon (exchange);
          return;
        }
      inq_ask (exchange->traffic, exchange->endpoint, now_us);
    }
  exg_watch (exchange);
}

static void
on_timer (uv_timer_t *timer)
{
  look (timer->data);
}

/* Sets the timer of EXCHANGE to what is due next: a silence or the
   deadline.  */
void
exg_watch (struct exchange *exchange)
{
  int64_t now_us = clk_monotonic_us ();
  int64_t due_us = exchange->deadline_us;
  int64_t bound_us = silence_bound_us (exchange);
  if (bound_us > 0)
    {
      int64_t silent_at_us = exchange->heard_us + bound_us;
      due_us = MIN (due_us, silent_at_us > now_us ? silent_at_us
                                                  : now_us + LOOK_AGAIN_US);
    }
  uint64_t delay_ms = (uint64_t)MAX ((due_us - now_us) / CLK_MS_US, 0) + 1;
  uv_timer_start (&exchange->timer, on_timer, delay_ms, 0);
}
