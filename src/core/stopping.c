#include "core/stopping.h"

/* The expectation of how long a request runs is exceeded by so much at most,
   in nearly all cases. */
#define EXCESS_FACTOR 1.6

/* For the way of the last bytes and the end of the process. */
#define MARGIN_US 600000

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
