/* Which requests a stopping daemon still takes.  Answers the load of stops in
   series, in which callers keep coming while few daemons are left: it takes
   what it can finish before it is killed, and refuses the rest at once. */
#ifndef CORE_STOPPING_H
#define CORE_STOPPING_H

#include <stdbool.h>
#include <stdint.h>

/* Requests that come until then are taken in any case: the balancer sends
   callers until it has seen two refusals, one a second. */
#define SPN_TAKE_ALL_US 2800000

void spn_observe (double *peak_us, double run_us);
bool spn_takes (int64_t age_us, int64_t stop_us, int64_t expected_us);

#endif
