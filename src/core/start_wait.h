/* Says whether a request waits at a daemon that has just started.

   The load: all daemons are killed at once and start again.  Callers whose
   connections were cut come back within milliseconds, to daemons that have
   read neither the configuration nor the endpoints yet, or haven't seen that
   the keys are the newest, but will have within a second.  To refuse them then
   sends away requests that could be served. */
#ifndef CORE_START_WAIT_H
#define CORE_START_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/* How long after its start a daemon expects to read what it serves requests
   with. */
#define STW_START_US INT64_C (1000000)

struct stw_request
{
  int64_t arrived_us; /* monotonic */
  int64_t left_us;    /* from then to its deadline, as far as known */
  bool passed_on;     /* by a daemon, which can take another way */
};

bool stw_is_starting (int64_t started_us, int64_t now_us);
int64_t stw_wait_us (const struct stw_request *request, int64_t started_us,
                     int64_t now_us);

#endif
