/* Checks the record of a soak run against what the daemons guarantee: correct
   and timely answers, requests that run at most once, bounded retries,
   endpoints that are left alone when they say so, fencing tokens that don't go
   back, and configurations, drains and cancellations that take effect in time.
 */
#ifndef SOAK_JUDGE_H
#define SOAK_JUDGE_H

#include "soak/record.h"

/* Limits of the guarantees. */
struct sjd_bounds
{
  int64_t settle_us;   /* after a fault, until the time limits apply again */
  int64_t config_us;   /* until a published configuration is in force */
  int64_t rollback_us; /* after a run, until a denial counts as a rollback */
  int64_t revoke_us; /* until a removed key is rejected, also during faults */
  int64_t stable_us; /* until all daemons know a part that crashes engines */
  int64_t drain_us;  /* until a leaving endpoint gets no new requests */
  /* Longest time for which an endpoint that turns requests away is left
     alone. */
  int64_t turn_away_max_us;
  int64_t lease_us;        /* of the daemon that orders the engines */
  int64_t cancel_us;       /* until work for a caller that left has stopped */
  int64_t answer_slack_us; /* after the deadline, until an answer is late */
  int64_t retry_window_us; /* in which the retries are counted */
  double retry_ratio;      /* allowed retries for each request of the window */
  double retry_slack;      /* allowed retries on top */
};

GPtrArray *sjd_check (const struct srd_record *record,
                      const struct sjd_bounds *bounds);

#endif
