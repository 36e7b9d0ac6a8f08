/* Estimates how long a new stream would wait for its first event at an engine,
   from this daemon's own streams, and says when that is too long.

   The load: after the loss of a path through the engines, the rest gets more
   streams than its first engines have slots for.  Each stream then waits in a
   queue until its caller has lost interest, and all of them are late, although
   the engines could serve most of them in time.  Streams that would wait too
   long at every path are refused at once, so that those that are taken are in
   time.

   Latency that isn't due to a queue, as on a path over slow links, can't be
   mended by refusing: the limit is never below a multiple of the shortest wait
   seen lately. */
#ifndef CORE_FIRST_WAIT_H
#define CORE_FIRST_WAIT_H

#include <stdbool.h>
#include <stdint.h>

/* What is known of one engine.  All zero at first: nothing. */
struct fwt_estimate
{
  double wait_us;         /* moving average */
  double shortest_us[2];  /* in the current period and the one before;
                             0: none */
  int64_t period;         /* number of the current period */
  int64_t observed_at_us; /* monotonic; 0: never */
};

/* The refusals of a daemon for want of room.  All zero at first: none. */
struct fwt_refusals
{
  int64_t since_us; /* monotonic; they have gone on since then */
  int64_t last_us;  /* monotonic; 0: none yet */
};

void fwt_observe (struct fwt_estimate *estimate, int64_t wait_us,
                  int64_t now_us);
void fwt_observe_end (struct fwt_estimate *estimate, int64_t wait_us,
                      int64_t now_us);
double fwt_expected_us (const struct fwt_estimate *estimate,
                        int64_t oldest_wait_us, int64_t now_us);
double fwt_limit_us (const struct fwt_estimate *estimate, int64_t target_us,
                     int64_t now_us);
void fwt_count_refusal (struct fwt_refusals *refusals, int64_t now_us);
double fwt_retry_after_s (const struct fwt_refusals *refusals,
                          double excess_us, double draw, int64_t now_us);

#endif
