#include "core/first_wait.h"

#include <math.h>

/* Weight of a new wait in the moving average.  A queue that builds up must be
   noticed within few streams. */
#define NEWEST_WEIGHT 0.5

/* The excess of the average over the shortest wait halves in this time without
   streams, so that an engine that isn't used gets a chance again. */
#define HALF_LIFE_US 400000.0

/* Length of the periods over which the shortest wait is kept. */
#define PERIOD_US 5000000

/* Limit of the expected wait, as a share of the target latency, and as a
   multiple of the shortest wait. */
#define TARGET_SHARE 0.4
#define SHORTEST_FACTOR 2.0

/* Bounds of the random part of the time after which refused callers are asked
   to return. */
#define RETURN_MIN_S 0.5
#define RETURN_MAX_S 2.5

/* Refusals that are this far apart belong to different shortages. */
#define REFUSALS_GAP_US 1000000

/* Limit of the time that a shortage is expected to last. */
#define LASTING_MAX_US 3000000.0

/* Starts a new period if the current one is over.  */
static void
advance_period (struct fwt_estimate *estimate, int64_t now_us)
{
  int64_t period = now_us / PERIOD_US;
  if (period != estimate->period)
    {
      bool follows = period == estimate->period + 1;
      estimate->shortest_us[1] = follows ? estimate->shortest_us[0] : 0;
      estimate->shortest_us[0] = 0;
      estimate->period = period;
    }
}

/* Returns the shortest wait in the current period and the one before, or 0 if
   there was none.  */
static double
shortest_us (const struct fwt_estimate *estimate, int64_t now_us)
{
  int64_t age = now_us / PERIOD_US - estimate->period;
  double current = estimate->shortest_us[0];
  double before = estimate->shortest_us[1];
  if (age > 1)
    {
      return 0;
    }
  if (age == 1)
    {
      return current;
    }
  return current == 0 || (before > 0 && before < current) ? before : current;
}

/* Records that a stream waited WAIT_US for its first event, which came at
   NOW_US.  */
void
fwt_observe (struct fwt_estimate *estimate, int64_t wait_us, int64_t now_us)
{
  double wait = (double)wait_us;
  advance_period (estimate, now_us);
  if (estimate->shortest_us[0] == 0 || wait < estimate->shortest_us[0])
    {
      estimate->shortest_us[0] = wait;
    }
  double expected = fwt_expected_us (estimate, 0, now_us);
  estimate->wait_us = estimate->observed_at_us == 0
                          ? wait
                          : expected + NEWEST_WEIGHT * (wait - expected);
  estimate->observed_at_us = now_us;
}

/* Records that a stream waited WAIT_US, until NOW_US, and ended without a
   first event, since its caller left or its attempt was given up.  It would
   have waited for longer, so only a wait above the expected one says anything.
 */
void
fwt_observe_end (struct fwt_estimate *estimate, int64_t wait_us,
                 int64_t now_us)
{
  double expected = fwt_expected_us (estimate, 0, now_us);
  if ((double)wait_us > expected)
    {
      estimate->wait_us
          = expected + NEWEST_WEIGHT * ((double)wait_us - expected);
      estimate->observed_at_us = now_us;
    }
}

/* Returns the time that a stream that is sent at NOW_US is expected to wait.
   OLDEST_WAIT_US is for how long the streams that wait now have done so; 0:
   none waits.  */
double
fwt_expected_us (const struct fwt_estimate *estimate, int64_t oldest_wait_us,
                 int64_t now_us)
{
  double base = shortest_us (estimate, now_us);
  double idle_us = (double)(now_us - estimate->observed_at_us);
  double excess = fmax (estimate->wait_us - base, 0);
  return fmax (base + excess * exp2 (-idle_us / HALF_LIFE_US),
               (double)oldest_wait_us);
}

/* Returns the longest expected wait with which a stream is still sent to the
   engine, if its first event is due within TARGET_US.  */
double
fwt_limit_us (const struct fwt_estimate *estimate, int64_t target_us,
              int64_t now_us)
{
  return fmax ((double)target_us * TARGET_SHARE,
               shortest_us (estimate, now_us) * SHORTEST_FACTOR);
}

/* Counts a refusal at NOW_US.  */
void
fwt_count_refusal (struct fwt_refusals *refusals, int64_t now_us)
{
  if (refusals->last_us == 0 || now_us - refusals->last_us > REFUSALS_GAP_US)
    {
      refusals->since_us = now_us;
    }
  refusals->last_us = now_us;
}

/* Returns after how many seconds a caller that is refused at NOW_US may come
   back.  EXCESS_US is how much the shortest expected wait is over its limit,
   which the queue takes to drain.  A shortage is expected to last as long
   again as REFUSALS have gone on so far: a caller that returns too early is
   refused again.  DRAW, random from 0 to 1, spreads the callers.  */
double
fwt_retry_after_s (const struct fwt_refusals *refusals, double excess_us,
                   double draw, int64_t now_us)
{
  double lasted_us = (double)(now_us - refusals->since_us);
  return (fmax (excess_us, 0) + fmin (lasted_us, LASTING_MAX_US)) / 1e6
         + RETURN_MIN_S + (RETURN_MAX_S - RETURN_MIN_S) * draw;
}
