#include "core/retry_budget.h"

#include <string.h>

/* Fraction of the budget that is used.  The margin covers windows that aren't
   aligned between daemons, and repeats before a restart, which a daemon
   doesn't know of. */
#define USABLE_FRACTION 0.8

/* Initializes BUDGET, without slack until the first rbg_set_share.  PARAMS is
   copied; a window shorter than RBG_SLOTS microseconds is lengthened.  */
void
rbg_start (struct rbg_budget *budget, const struct rbg_params *params)
{
  memset (budget, 0, sizeof *budget);
  budget->params = *params;
  if (budget->params.window_us < RBG_SLOTS)
    {
      budget->params.window_us = RBG_SLOTS;
    }
}

/* Sets the lowest share of all slots of the window to SHARE.  */
static void
set_all_shares (struct rbg_budget *budget, double share)
{
  for (uint32_t i = 0; i < RBG_SLOTS; i++)
    {
      budget->min_shares[i] = share;
    }
}

/* Moves the window to NOW_US and clears its new slots.  */
static void
advance_window (struct rbg_budget *budget, int64_t now_us)
{
  int64_t slot = now_us / (budget->params.window_us / RBG_SLOTS);
  if (slot - budget->slot >= RBG_SLOTS)
    {
      memset (budget->requests, 0, sizeof budget->requests);
      memset (budget->repeats, 0, sizeof budget->repeats);
      budget->slot = slot;
      set_all_shares (budget, budget->slack_share);
    }
  while (budget->slot < slot)
    {
      budget->slot++;
      budget->requests[budget->slot % RBG_SLOTS] = 0;
      budget->repeats[budget->slot % RBG_SLOTS] = 0;
      budget->min_shares[budget->slot % RBG_SLOTS] = budget->slack_share;
    }
}

/* Sets the fraction of the slack that this daemon may use; the fractions of
   all daemons must add up to 1 at most.  A reduction takes effect at once, an
   increase only after a whole window, since another daemon may already have
   spent that part of the slack.  The first share takes effect at once.  */
void
rbg_set_share (struct rbg_budget *budget, double share, int64_t now_us)
{
  advance_window (budget, now_us);
  if (!budget->share_known)
    {
      budget->share_known = true;
      set_all_shares (budget, share);
    }
  double *min_share = &budget->min_shares[budget->slot % RBG_SLOTS];
  budget->slack_share = share;
  *min_share = *min_share < share ? *min_share : share;
}

/* Counts a request of a caller, which isn't a repeat.  */
void
rbg_request (struct rbg_budget *budget, int64_t now_us)
{
  advance_window (budget, now_us);
  budget->requests[budget->slot % RBG_SLOTS]++;
}

/* Returns how many repeats BUDGET allows in its window, and sets TAKEN to
   those that were taken.  */
static double
count_allowed (struct rbg_budget *budget, int64_t now_us, uint32_t *taken)
{
  advance_window (budget, now_us);
  uint32_t requests = 0;
  uint32_t repeats = 0;
  double share = budget->slack_share;
  for (uint32_t i = 0; i < RBG_SLOTS; i++)
    {
      requests += budget->requests[i];
      repeats += budget->repeats[i];
      share = budget->min_shares[i] < share ? budget->min_shares[i] : share;
    }
  double slack = now_us < budget->params.slack_from_us
                     ? 0
                     : budget->params.slack * share;
  *taken = repeats;
  return (budget->params.ratio * requests + slack) * USABLE_FRACTION;
}

/* Returns how many repeats BUDGET allows in its window, whether or not they
   were taken.  */
double
rbg_allowed (struct rbg_budget *budget, int64_t now_us)
{
  uint32_t taken = 0;
  return count_allowed (budget, now_us, &taken);
}

/* Returns whether BUDGET allows COUNT more repeats.  */
bool
rbg_allows (struct rbg_budget *budget, uint32_t count, int64_t now_us)
{
  uint32_t taken = 0;
  double allowed = count_allowed (budget, now_us, &taken);
  return taken + count <= allowed;
}

/* Takes one repeat from BUDGET.  Returns false when the budget is
   exhausted.  */
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
