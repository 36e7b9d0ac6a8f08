#include "core/stopping.h"

/* Share that the longest time loses with each request that is shorter. */
#define PEAK_DECAY 0.01

/* The longest time so far is exceeded by so much at most, when other daemons
   that stop leave their load to few. */
#define EXCESS_FACTOR 1.6

/* For the way of the last bytes and the end of the process. */
#define MARGIN_US 600000

/* Moves PEAK_US, the longest time that requests run, with a request that ran
   for RUN_US: up at once, down slowly.  */
void
spn_observe (double *peak_us, double run_us)
{
  double lower_us = *peak_us * (1 - PEAK_DECAY);
  *peak_us = run_us > lower_us ? run_us : lower_us;
}

/* Returns true when a request that is expected to run for EXPECTED_US is taken
   AGE_US after the stop began, STOP_US after which the process is killed.  */
bool
spn_takes (int64_t age_us, int64_t stop_us, int64_t expected_us)
{
  if (age_us <= SPN_TAKE_ALL_US)
    {
      return true;
    }
  double end_us = (double)age_us + (double)expected_us * EXCESS_FACTOR;
  return end_us <= (double)(stop_us - MARGIN_US);
}
