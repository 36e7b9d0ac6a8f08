#include "core/retry_budget.h"

#include <string.h>

/* Share of the budget that is used: windows of others begin elsewhere, and
   daemons that start don't know what was spent before. */
#define SAFE_SHARE 0.8

/* Prepares BUDGET, with a small share of the slack until the number of daemons
   is known.  */
void
rbg_start (struct rbg_budget *budget, const struct rbg_params *params)
{
  memset (budget, 0, sizeof *budget);
  budget->params = *params;
}

/* Takes SHARE for what this daemon had in the whole window.  */
static void
fill_shares (struct rbg_budget *budget, double share)
{
  for (uint32_t i = 0; i < RBG_SLOTS; i++)
    {
      budget->least_shares[i] = share;
    }
}

/* Empties the slots that have passed since the last call.  */
static void
advance (struct rbg_budget *budget, int64_t now_us)
{
  int64_t slot = now_us / (budget->params.window_us / RBG_SLOTS);
  if (slot - budget->slot >= RBG_SLOTS)
    {
      memset (budget->requests, 0, sizeof budget->requests);
      memset (budget->repeats, 0, sizeof budget->repeats);
      budget->slot = slot;
      fill_shares (budget, budget->slack_share);
    }
  while (budget->slot < slot)
    {
      budget->slot++;
      budget->requests[budget->slot % RBG_SLOTS] = 0;
      budget->repeats[budget->slot % RBG_SLOTS] = 0;
      budget->least_shares[budget->slot % RBG_SLOTS] = budget->slack_share;
    }
}

/* Sets the share of the slack that this daemon may use; the shares of all
   daemons add up to 1 at most.  What it gains another one may have spent, so
   that it counts once the window has passed; the first share counts at once.
 */
void
rbg_set_share (struct rbg_budget *budget, double share, int64_t now_us)
{
  advance (budget, now_us);
  if (!budget->knows_share)
    {
      budget->knows_share = true;
      fill_shares (budget, share);
    }
  double *least = &budget->least_shares[budget->slot % RBG_SLOTS];
  budget->slack_share = share;
  *least = *least < share ? *least : share;
}

/* Counts a request of a caller.  */
void
rbg_request (struct rbg_budget *budget, int64_t now_us)
{
  advance (budget, now_us);
  budget->requests[budget->slot % RBG_SLOTS]++;
}

/* Returns true when BUDGET has room for COUNT more repeats.  */
bool
rbg_allows (struct rbg_budget *budget, uint32_t count, int64_t now_us)
{
  advance (budget, now_us);
  uint32_t requests = 0;
  uint32_t repeats = 0;
  double share = budget->slack_share;
  for (uint32_t i = 0; i < RBG_SLOTS; i++)
    {
      requests += budget->requests[i];
      repeats += budget->repeats[i];
      share
          = budget->least_shares[i] < share ? budget->least_shares[i] : share;
    }
  double slack = now_us < budget->params.slack_from_us
                     ? 0
                     : budget->params.slack * share;
  double allowed = budget->params.ratio * requests + slack;
  return repeats + count <= allowed * SAFE_SHARE;
}

/* Takes one repeat out of BUDGET.  Returns false when it is spent.  */
bool
rbg_take (struct rbg_budget *budget, int64_t now_us)
{
  if (!rbg_allows (budget, 1, now_us))
    {
      return false;
    }
  budget->repeats[budget->slot % RBG_SLOTS]++;
  return true;
}
