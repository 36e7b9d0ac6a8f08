/* Retry budget for one service over a sliding window: a ratio of the requests
   for the service plus a fixed slack that all daemons share.  It prevents
   retry storms during mass failures, in which unlimited repeats would multiply
   the load. */
#ifndef CORE_RETRY_BUDGET_H
#define CORE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RBG_SLOTS 20 /* slots of the sliding window */

struct rbg_params
{
  double ratio; /* repeats per request */
  double slack; /* additional repeats per window, for all daemons */
  int64_t window_us;
  int64_t slack_from_us; /* monotonic; no slack before, as a previous process
                            may have spent it */
};

struct rbg_budget
{
  struct rbg_params params;
  double slack_share; /* this daemon's fraction of the slack, 0 to 1 */
  bool share_known;   /* `slack_share' has been set */
  double min_shares[RBG_SLOTS]; /* lowest `slack_share' in each slot */
  uint32_t requests[RBG_SLOTS]; /* counted in each slot */
  uint32_t repeats[RBG_SLOTS];  /* taken in each slot */
  int64_t slot; /* newest slot, counted from the start of the clock */
};

void rbg_start (struct rbg_budget *budget, const struct rbg_params *params);
void rbg_set_share (struct rbg_budget *budget, double share, int64_t now_us);
void rbg_request (struct rbg_budget *budget, int64_t now_us);
double rbg_allowed (struct rbg_budget *budget, int64_t now_us);
bool rbg_allows (struct rbg_budget *budget, uint32_t count, int64_t now_us);
bool rbg_take (struct rbg_budget *budget, int64_t now_us);

#endif
