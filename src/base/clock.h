/* Monotonic and wall-clock time.  Every time and interval is in
   microseconds. */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

#define CLK_MS_US INT64_C (1000)   /* microseconds in a millisecond */
#define CLK_S_US INT64_C (1000000) /* microseconds in a second */

int64_t clk_monotonic_us (void);
int64_t clk_real_us (void);

#endif
