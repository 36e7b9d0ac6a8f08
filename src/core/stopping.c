#include "core/stopping.h"

/* Fraction by which the peak run time decays with each shorter request. */
#define PEAK_DECAY 0.01

/* Requests take at most this many times the expected time while other daemons
   shut down too and their load shifts to the few that remain. */
#define SLOWDOWN_FACTOR 1.6

/* Time to deliver the last bytes and to exit the process. */
#define MARGIN_US 600000

/* Updates PEAK_US, the decaying maximum of request run times, with a request
   that ran for RUN_US.  The maximum rises at once and falls slowly.  */
void
spn_update_peak (double *peak_us, double run_us)
{
  double decayed_us = *peak_us * (1 - PEAK_DECAY);
  *peak_us = run_us > decayed_us ? run_us : decayed_us;
}

/* Returns true when the daemon, which started to shut down AGE_US ago and is
   killed STOP_US after that start, accepts a request that is expected to run
   for EXPECTED_US.  */
bool
spn_accepts (int64_t age_us, int64_t stop_us, int64_t expected_us)
{
  if (age_us <= SPN_ACCEPT_ALL_US)
    {
      return true;
    }
  double end_us = (double)age_us + (double)expected_us * SLOWDOWN_FACTOR;
  return end_us <= (double)(stop_us - MARGIN_US);
}
