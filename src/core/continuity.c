#include "core/continuity.h"

#include <math.h>

/* A stream counts as silent when no event has come for this many times its
   average interval between events, plus the margin; the result is kept between
   the two bounds. */
#define SILENCE_INTERVALS 4.0
#define SILENCE_MARGIN_US 60000.0
#define SILENCE_MIN_US 100000.0
#define SILENCE_MAX_US 700000.0

/* Before its first event a stream counts as silent after this many times the
   average time to a first event, plus the same margin, with a lower bound of
   its own. */
#define FIRST_EVENT_FACTOR 3.0
#define FIRST_EVENT_MIN_US 160000.0

/* On a suspected path, a stream counts as silent after the average interval
   and this many mean deviations, as in TCP's retransmission time-out (RFC
   6298), plus a margin for scheduling.  Intervals vary with the prompts that
   engines process in between. */
#define SUSPECT_DEVIATIONS 4.0
#define SUSPECT_MARGIN_US 20000.0
#define SUSPECT_MIN_US 60000.0
#define SUSPECT_FIRST_EVENT_FACTOR 2.0

/* Part of the allowed retries that is kept back, and its upper limit: the next
   attempt may be refused first. */
#define RESERVE_SHARE 0.2
#define RESERVE_MAX 4.0

/* Returns whether a silent stream over ENGINE may be waiting for it.  */
bool
ctn_is_suspected (const struct ctn_engine *engine)
{
  return engine->dead || engine->failed_us > engine->progressed_us;
}

/* Returns the silence, in microseconds, from which the daemon acts on
   STREAM.  */
int64_t
ctn_silence_limit_us (const struct ctn_stream *stream)
{
  double expected_us = stream->begun
                           ? stream->interval_us * SILENCE_INTERVALS
                           : stream->first_event_us * FIRST_EVENT_FACTOR;
  double min_us = stream->begun ? SILENCE_MIN_US : FIRST_EVENT_MIN_US;
  double limit_us
      = fmin (fmax (expected_us + SILENCE_MARGIN_US, min_us), SILENCE_MAX_US);
  bool known
      = stream->begun ? stream->interval_us > 0 : stream->first_event_us > 0;
  if (stream->path_suspected && known)
    {
      double suspect_us
          = stream->begun
                ? stream->interval_us
                      + SUSPECT_DEVIATIONS * stream->deviation_us
                : stream->first_event_us * SUSPECT_FIRST_EVENT_FACTOR;
      limit_us = fmin (limit_us,
                       fmax (suspect_us + SUSPECT_MARGIN_US, SUSPECT_MIN_US));
    }
  return (int64_t)limit_us;
}

/* Returns how many retries the budget must allow before a silent attempt is
   given up, of ALLOWED that it allows in its window.  */
uint32_t
ctn_retry_reserve (double allowed)
{
  return (uint32_t)fmin (fmax (allowed * RESERVE_SHARE, 1), RESERVE_MAX);
}
