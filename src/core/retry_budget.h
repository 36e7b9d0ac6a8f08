/* Budget of repeats toward one service: a share of the requests for it and a
   slack that all daemons divide.  Answers the loads of mass failures and retry
   storms, in which unbounded repeats would multiply the load. */
#ifndef CORE_RETRY_BUDGET_H
#define CORE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RBG_SLOTS 20 /* parts of the window */

struct rbg_params
{
  double ratio; /* repeats for each request */
  double slack; /* repeats in a window beside these, of all daemons */
  int64_t window_us;
  int64_t slack_from_us; /* no slack before: it isn't known what was spent */
};

struct rbg_budget
{
  struct rbg_params params;
  double slack_share; /* of this daemon, 0 to 1 */
  bool knows_share;
  double least_shares[RBG_SLOTS]; /* in each part of the window */
  uint32_t requests[RBG_SLOTS];
  uint32_t repeats[RBG_SLOTS];
  int64_t slot; /* number of the newest slot since the clock's start */
};

void rbg_start (struct rbg_budget *budget, const struct rbg_params *params);
void rbg_set_share (struct rbg_budget *budget, double share, int64_t now_us);
void rbg_request (struct rbg_budget *budget, int64_t now_us);
bool rbg_allows (struct rbg_budget *budget, uint32_t count, int64_t now_us);
bool rbg_take (struct rbg_budget *budget, int64_t now_us);

#endif
