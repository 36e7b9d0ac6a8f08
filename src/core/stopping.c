#include "core/stopping.h"

#include <math.h>

/* Fraction by which the peak run time decays with each shorter request. */
#define PEAK_DECAY 0.01

/* Requests take at most this many times the longest time seen while other
   daemons shut down too and their load shifts to the few that remain. */
#define SLOWDOWN_FACTOR 1.6

/* Time to deliver the last bytes and to exit the process. */
#define MARGIN_US 600000

/* With fewer requests than this the times seen may be those of the fastest
   endpoints alone; what is declared then counts too. */
#define SEEN_MIN 4

/* What was seen before is kept until this many requests have been seen
   since. */
#define WINDOW_SEEN_MIN 20

/* A stream with fewer events than this doesn't count among those: its events
   may have come in one burst. */
#define EVENTS_MIN 4

/* Updates PEAK_US, the decaying maximum of request run times, with a request
   that ran for RUN_US.  The maximum rises at once and falls slowly.  */
void
spn_update_peak (double *peak_us, double run_us)
{
  double decayed_us = *peak_us * (1 - PEAK_DECAY);
  *peak_us = run_us > decayed_us ? run_us : decayed_us;
}

/* Begins a new window when the current one is WINDOW_US old at NOW_US and has
   seen WINDOW_SEEN_MIN requests, and forgets what was seen before that one.
   With a window of the time-out of the requests, those in progress at its
   start have ended at its end, so that it has seen long ones too.  A WINDOW_US
   of 0 doesn't end.  */
void
spn_advance (struct spn_history *history, int64_t now_us, int64_t window_us)
{
  const struct spn_peaks *recent = &history->recent;
  if (history->window_began_us == 0)
    {
      history->window_began_us = now_us;
    }
  if (window_us > 0 && now_us - history->window_began_us >= window_us
      && recent->streams + recent->calls >= WINDOW_SEEN_MIN)
    {
      history->lately = *recent;
      history->recent = (struct spn_peaks){ 0 };
      history->window_began_us = now_us;
    }
}

static void
observe_success (struct spn_peaks *peaks, const struct spn_times *times)
{
  if (!times->is_stream)
    {
      spn_update_peak (&peaks->call_us, (double)times->run_us);
      peaks->calls++;
      return;
    }
  spn_update_peak (&peaks->first_event_us, (double)times->first_event_us);
  if (times->events > 1)
    {
      int64_t events_us = times->run_us - times->first_event_us;
      spn_update_peak (&peaks->event_us,
                       (double)events_us / (times->events - 1));
    }
  peaks->streams += times->events >= EVENTS_MIN;
}

static void
observe_partial (struct spn_peaks *peaks, const struct spn_times *times)
{
  if (!times->is_stream)
    {
      peaks->call_us = fmax (peaks->call_us, (double)times->run_us);
      return;
    }
  peaks->first_event_us
      = fmax (peaks->first_event_us, (double)times->first_event_us);
  if (times->events > 0)
    {
      int64_t events_us = times->run_us - times->first_event_us;
      peaks->event_us
          = fmax (peaks->event_us, (double)events_us / times->events);
    }
  peaks->streams += times->events >= EVENTS_MIN;
}

/* Updates HISTORY with TIMES, those of a request that was served.  */
void
spn_observe_success (struct spn_history *history,
                     const struct spn_times *times)
{
  observe_success (&history->lately, times);
  observe_success (&history->recent, times);
}

/* Updates HISTORY with TIMES, those of a request that is in progress or that
   ended without success.  It takes, or would have taken, longer still.  */
void
spn_observe_partial (struct spn_history *history,
                     const struct spn_times *times)
{
  observe_partial (&history->lately, times);
  observe_partial (&history->recent, times);
}

/* Returns how long REQUEST may run at most, in microseconds, as far as HISTORY
   tells, and no longer than until its deadline.  */
int64_t
spn_longest_us (const struct spn_history *history,
                const struct spn_request *request)
{
  double left_us = (double)request->left_us;
  if (!request->is_stream)
    {
      bool known = history->lately.calls >= SEEN_MIN;
      return (int64_t)(known ? fmin (history->lately.call_us, left_us)
                             : left_us);
    }
  bool known = history->lately.streams >= SEEN_MIN;
  bool declared = request->target_latency_us > 0 && request->target_gap_us > 0;
  double first_us = history->lately.first_event_us;
  double gap_us = history->lately.event_us;
  if (!known)
    {
      first_us = fmax (first_us, (double)request->target_latency_us);
      gap_us = fmax (gap_us, (double)request->target_gap_us);
    }
  if (request->events_max == 0 || gap_us == 0 || !(known || declared))
    {
      return request->left_us;
    }
  return (int64_t)fmin (first_us + request->events_max * gap_us, left_us);
}

/* Returns true when the daemon, which started to shut down AGE_US ago and is
   killed STOP_US after that start, accepts a request that has seldom run for
   longer than LONGEST_US and ends LEFT_US from now, at its deadline, in any
   case.  */
bool
spn_accepts (int64_t age_us, int64_t stop_us, int64_t longest_us,
             int64_t left_us)
{
  int64_t usable_us = stop_us - MARGIN_US;
  /* In a short stop, the second half is left for the requests to finish. */
  if (age_us <= SPN_ACCEPT_ALL_US && age_us <= usable_us / 2)
    {
      return true;
    }
  double run_us = fmin ((double)longest_us * SLOWDOWN_FACTOR, (double)left_us);
  return (double)age_us + run_us <= (double)usable_us;
}
