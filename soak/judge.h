/* Which promises a record breaks. */
#ifndef SOAK_JUDGE_H
#define SOAK_JUDGE_H

#include "soak/record.h"

struct sjd_bounds
{
  int64_t stable_us; /* after a trouble, until promises with a time hold */
  int64_t config_us;
  int64_t rollback_us;
  int64_t revoke_us;
  int64_t drain_us;
  int64_t gone_us;   /* until work for a caller that left has stopped */
  int64_t answer_us; /* after the deadline */
  int64_t window_us; /* of the budget of repeats */
  double retry_ratio;
  double retry_slack;
};

GPtrArray *sjd_judge (const struct srd_record *record,
                      const struct sjd_bounds *bounds);

#endif
