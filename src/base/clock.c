#include "base/clock.h"

#include <time.h>

/* Returns the time of CLOCK in microseconds.  */
static int64_t
read_clock_us (clockid_t clock)
{
  struct timespec now;
  clock_gettime (clock, &now);
  return (int64_t)now.tv_sec * CLK_S_US + now.tv_nsec / 1000;
}

/* Returns the monotonic time in microseconds since boot.  The clock also
   advances while the process is stopped or the host is suspended, so that a
   lease holder that was paused sees that its lease has expired.  */
int64_t
clk_monotonic_us (void)
{
  return read_clock_us (CLOCK_BOOTTIME);
}

/* Returns the wall-clock time in microseconds since 1970-01-01 UTC, for log
   lines and for records that other hosts read.  The time may jump; measure
   intervals with clk_monotonic_us.  */
int64_t
clk_real_us (void)
{
  return read_clock_us (CLOCK_REALTIME);
}
