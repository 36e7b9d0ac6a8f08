/* When a member of a group may renew its membership.

   The load: calls reach the store, but its answers don't reach the member.
   Each renewal then keeps a membership that its owner can't use: the store
   goes on giving it partitions, and nobody leads if the first one is among
   them.

   A membership that isn't certain any more therefore isn't renewed before the
   store has answered: a renewal without an answer is followed by calls that
   change nothing.  The membership ends one lifetime after that renewal at the
   latest, and its partitions pass to others. */
#ifndef CORE_RENEWAL_H
#define CORE_RENEWAL_H

#include <stdbool.h>
#include <stdint.h>

/* All zero: no renewal has been sent. */
struct rnw_renewal
{
  int64_t certain_until_us; /* the membership is certain until then, monotonic;
                               0: there is none */
  bool unanswered;          /* the newest renewal or probe got no answer */
};

enum rnw_call
{
  RNW_RENEW, /* joins the group, or renews the membership */
  RNW_PROBE  /* finds out whether answers arrive, and changes nothing */
};

enum rnw_call rnw_next_call (const struct rnw_renewal *renewal,
                             int64_t now_us);
void rnw_renewed (struct rnw_renewal *renewal, int64_t certain_until_us);
void rnw_answered (struct rnw_renewal *renewal);
void rnw_unanswered (struct rnw_renewal *renewal);

#endif
