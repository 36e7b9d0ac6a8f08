#include "core/load.h"

#include "base/clock.h"

/* Weights of the moving averages, as binary logarithms of the divisors: 1/8
   and 1/4 as in TCP's retransmission timer (RFC 6298). */
#define AVERAGE_SHIFT 3
#define DEVIATION_SHIFT 2
/* Mean deviations above the average step time in the silence bound. */
#define SILENCE_DEVIATIONS 6

/* Range of the silence bound, see ld_step_timeout_us. */
#define SILENCE_BOUND_MIN_US (250 * CLK_MS_US)
#define SILENCE_BOUND_MAX_US (1000 * CLK_MS_US)

/* The backoff after a failure starts here and doubles with each failure. */
#define BACKOFF_FIRST_US (250 * CLK_MS_US)
#define BACKOFF_MAX_US (8 * CLK_S_US)
#define BACKOFF_DOUBLINGS_MAX 5

/* Consecutive steps that an endpoint must answer after a failure to
   recover. */
#define RECOVERY_STEPS 8

static int64_t
clamp (int64_t value, int64_t low, int64_t high)
{
  if (value < low)
    {
      return low;
    }
  return value > high ? high : value;
}

/* Counts a stream of this daemon that is routed over the endpoint.  */
void
ld_stream_added (struct ld_load *load)
{
  atomic_fetch_add_explicit (&load->streams, 1, memory_order_relaxed);
}

/* Reverses ld_stream_added when the stream ends or moves to another
   endpoint.  */
void
ld_stream_removed (struct ld_load *load)
{
  atomic_fetch_sub_explicit (&load->streams, 1, memory_order_relaxed);
}

/* Counts a step that is sent.  Each call must be followed by one call of
   ld_step_done, ld_step_abandoned or ld_step_failed.  */
void
ld_step_sent (struct ld_load *load)
{
  atomic_fetch_add_explicit (&load->steps_in_flight, 1, memory_order_relaxed);
}

/* Counts an answered step.  After a failure, clears the failures once
   RECOVERY_STEPS consecutive steps have been answered.  */
static void
step_answered (struct ld_load *load)
{
  atomic_fetch_sub_explicit (&load->steps_in_flight, 1, memory_order_relaxed);
  if (load->failures == 0)
    {
      return;
    }
  if (atomic_fetch_add (&load->recovery_steps, 1) + 1 >= RECOVERY_STEPS)
    {
      load->failures = 0;
      load->recovery_steps = 0;
      load->failed_at_us = 0;
    }
}

/* Updates the moving average and mean deviation with a step of STEP_US.
   Concurrent updates by two threads may lose one of the two observations.  */
static void
observe_step (struct ld_load *load, int64_t step_us, int64_t now_us)
{
  int64_t average_us = load->step_us;
  if (average_us == 0)
    {
      load->step_us = step_us;
      load->step_deviation_us = step_us / 2;
      load->step_at_us = now_us;
      return;
    }
  int64_t error_us = step_us - average_us;
  int64_t magnitude_us = error_us < 0 ? -error_us : error_us;
  int64_t deviation_us = load->step_deviation_us;
  /* Division, not a shift: it rounds towards zero for either sign. */
  average_us += error_us / (1 << AVERAGE_SHIFT);
  deviation_us += (magnitude_us - deviation_us) / (1 << DEVIATION_SHIFT);
  load->step_us = average_us > 0 ? average_us : 1;
  load->step_deviation_us = deviation_us;
  load->step_at_us = now_us;
}

/* Records the answer to a step of one position, STEP_US after it was sent.  A
   STEP_US of 0 stands for a step of several positions, whose duration doesn't
   predict that of later steps.  */
void
ld_step_done (struct ld_load *load, int64_t step_us, int64_t now_us)
{
  step_answered (load);
  if (step_us > 0)
    {
      observe_step (load, step_us, now_us);
    }
}

/* Counts the end of a step of one position that wasn't answered, WAITED_US
   after it was sent, by an endpoint that is alive.  The step takes longer
   still, so only a wait above the average says anything.  A WAITED_US of 0
   stands for a step whose wait says nothing.  */
void
ld_step_abandoned (struct ld_load *load, int64_t waited_us, int64_t now_us)
{
  atomic_fetch_sub_explicit (&load->steps_in_flight, 1, memory_order_relaxed);
  int64_t average_us = load->step_us;
  if (average_us > 0 && waited_us > average_us)
    {
      observe_step (load, waited_us, now_us);
    }
}

/* Returns the backoff after FAILURES consecutive failures, 1 or more.  */
static int64_t
backoff_us (uint32_t failures)
{
  uint32_t doublings = failures - 1;
  if (doublings > BACKOFF_DOUBLINGS_MAX)
    {
      doublings = BACKOFF_DOUBLINGS_MAX;
    }
  return clamp (BACKOFF_FIRST_US << doublings, BACKOFF_FIRST_US,
                BACKOFF_MAX_US);
}

/* Records a step that failed or wasn't answered within the silence bound.  All
   failures within one backoff count as one, so that the backoff doesn't depend
   on the number of streams over a dead host.  */
void
ld_step_failed (struct ld_load *load, int64_t now_us)
{
  atomic_fetch_sub_explicit (&load->steps_in_flight, 1, memory_order_relaxed);
  uint32_t failures = load->failures;
  load->recovery_steps = 0;
  if (failures > 0 && now_us < load->failed_at_us + backoff_us (failures))
    {
      return;
    }
  load->failed_at_us = now_us;
  load->failures = failures + 1;
}

/* Records a load report of the endpoint: RUNNING and QUEUED steps, and whether
   the endpoint is LEAVING and so refuses new streams.  Outside of tests,
   only reports set and clear such a refusal.  */
void
ld_report (struct ld_load *load, int32_t running, int32_t queued, bool leaving,
           int64_t now_us)
{
  load->reported_running = running;
  load->reported_queued = queued;
  load->reported_at_us = now_us;
  load->refusing = leaving;
}

/* Sets whether the endpoint refuses new streams because it is leaving.  */
void
ld_set_refusing (struct ld_load *load, bool refusing)
{
  load->refusing = refusing;
}

/* Returns whether the endpoint may be given new streams at NOW_US.  */
enum ld_standing
ld_standing (const struct ld_load *load, int64_t now_us)
{
  if (load->unreachable)
    {
      return LD_CLOSED;
    }
  if (load->refusing)
    {
      return LD_CLOSED;
    }
  uint32_t failures = load->failures;
  if (failures == 0)
    {
      return LD_OPEN;
    }
  return now_us < load->failed_at_us + backoff_us (failures) ? LD_CLOSED
                                                             : LD_PROBATION;
}

/* Returns the silence bound, the response timeout of a step of one position,
   in microseconds.  The timeout of a step of several positions is this bound
   plus the step's expected duration.  Without observations it is
   SILENCE_BOUND_MAX_US.  */
int64_t
ld_step_timeout_us (const struct ld_load *load)
{
  int64_t average_us = load->step_us;
  if (average_us == 0)
    {
      return SILENCE_BOUND_MAX_US;
    }
  int64_t bound_us = average_us + SILENCE_DEVIATIONS * load->step_deviation_us;
  return clamp (bound_us, SILENCE_BOUND_MIN_US, SILENCE_BOUND_MAX_US);
}

/* Sets whether the endpoint answers at all.  An unreachable endpoint gets no
   streams until it has answered a request for a load report, since a stream
   routed over it would be delayed by the silence bound.  */
void
ld_set_reachable (struct ld_load *load, bool reachable)
{
  load->unreachable = !reachable;
}
