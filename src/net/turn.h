/* Watches how long the callbacks of an event loop hold it.  Whatever waits for
   the loop, such as another caller's answer, is as late as that. */
#ifndef NET_TURN_H
#define NET_TURN_H

#include "base/counter.h"

#include <uv.h>

/* The watch of one loop.  All members are private. */
struct trn_watch
{
  uv_prepare_t prepare;
  uv_check_t check;
  struct cnt_series *turns; /* histogram of their durations */
  const char *work;         /* in progress; NULL: not named */
  int64_t work_since_us;
  const char *longest_work; /* of this turn; NULL: none was named */
  int64_t longest_work_us;
};

void trn_start (struct trn_watch *watch, uv_loop_t *loop,
                struct cnt_series *turns);
void trn_enter (const char *work);

#endif
