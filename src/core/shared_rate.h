/* This daemon's part of the rate of requests that an endpoint takes from all
   daemons together.

   The load: an endpoint in need names a rate in its answers.  Each daemon sees
   only its own requests, and alone would keep to the rate while all of them
   together exceed it.  So each one sends its share, at points in time that
   differ from daemon to daemon: in a fleet of hundreds a daemon may send one
   request in many seconds, and if all had saved one up, a burst of callers
   would release them together.  What isn't used in time is lost. */
#ifndef CORE_SHARED_RATE_H
#define CORE_SHARED_RATE_H

#include <stdbool.h>
#include <stdint.h>

/* How many daemons there are, as far as is known.  Too few are seen for a
   while after daemons have restarted or the store was out, so the most that
   were seen count, and fewer only bit by bit.  All zero: none was seen. */
struct shr_daemons
{
  double most;
  int64_t seen_us; /* monotonic, when MOST was that many */
};

/* All zero: no limit. */
struct shr_rate
{
  double per_s;  /* of all daemons; 0: no limit */
  double share;  /* this daemon's, 0 to 1 */
  double phase;  /* random, 0 to 1 */
  int64_t slot;  /* newest one in which requests were sent */
  uint32_t sent; /* in that slot */
};

void shr_see_daemons (struct shr_daemons *daemons, uint32_t count,
                      int64_t now_us);
double shr_share_of (const struct shr_daemons *daemons, double group_share);
void shr_set (struct shr_rate *rate, double per_s, double phase);
void shr_set_share (struct shr_rate *rate, double share);
int64_t shr_opens_us (const struct shr_rate *rate, int64_t now_us);
void shr_take (struct shr_rate *rate, int64_t now_us);

#endif
