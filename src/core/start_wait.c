#include "core/start_wait.h"

#include <glib.h>

/* Returns whether a daemon that started at STARTED_US may still read what it
   serves requests with, at NOW_US.  */
bool
stw_is_starting (int64_t started_us, int64_t now_us)
{
  return now_us < started_us + STW_START_US;
}

/* Returns for how long REQUEST goes on waiting, in microseconds, at a daemon
   that started at STARTED_US and doesn't know yet at NOW_US what it needs to
   serve requests; 0 if it is refused.  What is left of its time then is enough
   to come back elsewhere.  */
int64_t
stw_wait_us (const struct stw_request *request, int64_t started_us,
             int64_t now_us)
{
  if (request->passed_on)
    {
      return 0;
    }
  int64_t start_end_us = started_us + STW_START_US;
  int64_t wait_end_us = request->arrived_us + request->left_us / 2;
  return MAX (MIN (start_end_us, wait_end_us) - now_us, 0);
}
