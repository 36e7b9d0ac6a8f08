#include "core/renewal.h"

/* Returns the call that follows at NOW_US, monotonic time.  */
enum rnw_call
rnw_next_call (const struct rnw_renewal *renewal, int64_t now_us)
{
  return renewal->unanswered && now_us >= renewal->certain_until_us
             ? RNW_PROBE
             : RNW_RENEW;
}

/* Records the answer to a renewal after which the membership is certain until
   CERTAIN_UNTIL_US.  */
void
rnw_renewed (struct rnw_renewal *renewal, int64_t certain_until_us)
{
  renewal->certain_until_us = certain_until_us;
  renewal->unanswered = false;
}

/* Records an answer of the store that isn't a renewal.  */
void
rnw_answered (struct rnw_renewal *renewal)
{
  renewal->unanswered = false;
}

/* Records that a renewal or probe got no answer.  */
void
rnw_unanswered (struct rnw_renewal *renewal)
{
  renewal->unanswered = true;
}
