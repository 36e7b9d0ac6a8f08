/* Admission control of a daemon that is shutting down.  During a rolling
   restart, callers keep arriving while few daemons are left.  A daemon that is
   shutting down accepts the requests that it can finish before it is killed,
   and rejects the others at once. */
#ifndef CORE_STOPPING_H
#define CORE_STOPPING_H

#include <stdbool.h>
#include <stdint.h>

/* Requests that arrive within this time of the start of the shutdown are
   always accepted: the load balancer keeps sending requests until two of its
   readiness checks, one a second, have failed. */
#define SPN_ACCEPT_ALL_US 2800000

void spn_update_peak (double *peak_us, double run_us);
bool spn_accepts (int64_t age_us, int64_t stop_us, int64_t expected_us);

#endif
