#include "core/concurrency.h"

#include "base/clock.h"

#include <glib.h>

/* Streams assumed in place of Little's law when the capacity isn't known. */
#define DEFAULT_STREAMS_MAX 32.0
/* Lowest limit. */
#define STREAMS_MIN 2.0
/* Highest limit, as a multiple of the streams that Little's law gives. */
#define LITTLES_LAW_FACTOR_MAX 2.0

/* Multiple of the observed rate that the lower bound allows for, so
   that spare capacity is discovered. */
#define PROBE_FACTOR 1.1

/* Inverse weight of the newest observation in the moving averages. */
#define AVERAGE_DIVISOR 64
/* Mean deviations above the average in con_upper_estimate_us. */
#define DEVIATIONS 2
/* Length of a round in tokens of each running stream.  The limit changes once
   per round, so that the effect of a change is observed before the next
   one. */
#define ROUND_TOKENS 32
/* The limit is lowered when more than one in this many steps is over the
   target. */
#define OVER_TARGET_ONE_IN 20
/* Range of the factor that lowers the limit. */
#define DECREASE_FACTOR_MAX 0.98
#define DECREASE_FACTOR_MIN 0.7
/* Factor that raises the limit. */
#define INCREASE_FACTOR 1.02
/* The unloaded time grows by one part in this many each round, so that it
   adapts to a fleet that has become slower. */
#define UNLOADED_GROWTH_DIVISOR 16384

/* Returns the streams at which tokens take TIME_US at the full capacity, by
   Little's law: rate times time in the system.  */
static double
littles_law_streams (const struct con_limit *limit, int64_t time_us)
{
  return limit->tokens_per_s * (double)time_us / CLK_S_US;
}

/* Returns the lowest useful limit: the streams that saturate an unloaded
   fleet, since fewer would waste capacity even when the target can't be met.
   If the observed rate, raised by PROBE_FACTOR to discover spare capacity, is
   below the assumed capacity, the raised rate is used instead.  */
static double
lower_bound (const struct con_limit *limit)
{
  double rate = limit->tokens_per_s;
  double served = limit->served_tokens_per_s * PROBE_FACTOR;
  if (served > 0.0 && (rate <= 0.0 || served < rate))
    {
      rate = served;
    }
  return MAX (rate * (double)limit->unloaded_us / CLK_S_US, STREAMS_MIN);
}

/* Returns the highest allowed limit.  */
static double
upper_bound (const struct con_limit *limit)
{
  int64_t time_us = MAX (limit->target_us, limit->unloaded_us);
  double streams = limit->tokens_per_s > 0.0
                       ? littles_law_streams (limit, time_us)
                       : DEFAULT_STREAMS_MAX;
  return streams * LITTLES_LAW_FACTOR_MAX;
}

/* Keeps the limit between lower_bound and upper_bound.  */
static void
clamp_streams (struct con_limit *limit)
{
  double upper = MAX (upper_bound (limit), STREAMS_MIN);
  double lower = MIN (lower_bound (limit), upper);
  limit->max_streams = CLAMP (limit->max_streams, lower, upper);
}

/* Initializes LIMIT for a capacity of TOKENS_PER_S (0: unknown) and TARGET_US
   between tokens.  The limit starts at what Little's law gives for these.  */
void
con_init (struct con_limit *limit, double tokens_per_s, int64_t target_us)
{
  *limit = (struct con_limit){
    .tokens_per_s = tokens_per_s,
    .target_us = target_us,
    .max_streams = DEFAULT_STREAMS_MAX,
  };
  if (tokens_per_s > 0.0)
    {
      limit->max_streams = littles_law_streams (limit, target_us);
    }
  clamp_streams (limit);
}

/* Changes the capacity; the limit changes in proportion.  With another target,
   or if the old or new capacity is unknown, LIMIT is initialized again.  */
void
con_set_capacity (struct con_limit *limit, double tokens_per_s,
                  int64_t target_us)
{
  if (limit->tokens_per_s <= 0.0 || tokens_per_s <= 0.0
      || target_us != limit->target_us)
    {
      con_init (limit, tokens_per_s, target_us);
      return;
    }
  limit->max_streams *= tokens_per_s / limit->tokens_per_s;
  limit->tokens_per_s = tokens_per_s;
  clamp_streams (limit);
}

/* Returns the factor for the limit that brings most steps down to the target,
   assuming that the time between tokens is proportional to the streams.  */
static double
decrease_factor (const struct con_limit *limit)
{
  double factor
      = (double)limit->target_us / (double)con_upper_estimate_us (limit);
  return CLAMP (factor, DECREASE_FACTOR_MIN, DECREASE_FACTOR_MAX);
}

/* Ends a round.  Lowers the limit when too many steps were over the target;
   otherwise raises the limit if it was reached.  The limit isn't lowered while
   more streams are running than it allows, since the previous decrease hasn't
   taken effect yet.  */
static void
end_round (struct con_limit *limit, uint32_t running_streams)
{
  uint32_t limit_before = con_max_streams (limit);
  if (limit->unloaded_us == 0 || limit->average_us < limit->unloaded_us)
    {
      limit->unloaded_us = limit->average_us;
    }
  else
    {
      limit->unloaded_us += limit->unloaded_us / UNLOADED_GROWTH_DIVISOR;
    }
  limit->served_tokens_per_s = running_streams * (double)CLK_S_US
                               / (double)MAX (limit->average_us, 1);
  if (limit->over_target * OVER_TARGET_ONE_IN > limit->observed)
    {
      limit->max_streams
          *= running_streams <= limit_before ? decrease_factor (limit) : 1.0;
    }
  else if (running_streams >= limit_before)
    {
      limit->max_streams = MAX (limit->max_streams * INCREASE_FACTOR,
                                limit->max_streams + 1.0);
    }
  limit->observed = 0;
  limit->over_target = 0;
  clamp_streams (limit);
}

/* Reports the time between two tokens of one stream while RUNNING_STREAMS are
   running.  */
void
con_observe (struct con_limit *limit, int64_t between_tokens_us,
             uint32_t running_streams)
{
  if (limit->average_us == 0)
    {
      limit->average_us = between_tokens_us;
    }
  int64_t error_us = between_tokens_us - limit->average_us;
  int64_t magnitude_us = ABS (error_us);
  limit->average_us += error_us / AVERAGE_DIVISOR;
  limit->deviation_us
      += (magnitude_us - limit->deviation_us) / AVERAGE_DIVISOR;
  limit->observed++;
  if (between_tokens_us > limit->target_us)
    {
      limit->over_target++;
    }
  if (limit->observed >= ROUND_TOKENS * MAX (running_streams, 1))
    {
      end_round (limit, running_streams);
    }
}

/* Returns the time between tokens, in microseconds, that most steps stay
   below.  */
int64_t
con_upper_estimate_us (const struct con_limit *limit)
{
  return limit->average_us + DEVIATIONS * limit->deviation_us;
}

/* Returns the limit on concurrent streams.  */
uint32_t
con_max_streams (const struct con_limit *limit)
{
  return (uint32_t)limit->max_streams;
}

/* Returns the number of streams that saturate the capacity without queueing in
   engines, or the limit if the capacity or the unloaded time isn't known.  */
double
con_unloaded_streams (const struct con_limit *limit)
{
  double streams = littles_law_streams (limit, limit->unloaded_us);
  return streams > 0.0 ? MIN (streams, limit->max_streams)
                       : limit->max_streams;
}

/* Returns the rate, in tokens per second, at which tokens are generated when
   the limit is reached: by Little's law from the observed time between tokens,
   limited to the capacity if that is known.  Without observations it is the
   capacity, 0 if unknown.  */
double
con_throughput_per_s (const struct con_limit *limit)
{
  if (limit->average_us <= 0)
    {
      return limit->tokens_per_s;
    }
  double rate = limit->max_streams * CLK_S_US / (double)limit->average_us;
  return limit->tokens_per_s > 0.0 ? MIN (rate, limit->tokens_per_s) : rate;
}
