/* Eras of the platform's store.  The store counts the times that it was
   restored from an older copy.  After a restore, records that it had
   acknowledged are gone, and their offsets and the generations of its groups
   are given out again.  An offset or a generation therefore means something
   only together with its era.

   Members of a group that don't know of a restore yet take their memberships
   for valid until these expire, while the store may give the same partitions
   to others.  During this handover, no member that knows of the restore leads,
   and it uses no larger share than it had before.

   This decides how an answer of one era relates to what is known from another,
   which of two positions in a log is newer, and which fencing token follows
   from a generation. */
#ifndef CORE_ERA_H
#define CORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

/* Of a store that doesn't state its era. */
#define ERA_UNKNOWN UINT64_C (0)

/* How an answer's era relates to the one that is known. */
enum era_order
{
  ERA_SAME,  /* or the answer states none */
  ERA_RISEN, /* the store was restored since, or states its era for the first
                time */
  ERA_STALE  /* the answer is from before a restore that is known */
};

/* What a reader may do with a page of a relay. */
enum era_use
{
  ERA_CONTINUE, /* the page continues the reader's position */
  ERA_RESTART,  /* the page replaces all that was read before */
  ERA_REJECT    /* the relay is no source for this reader */
};

/* A position in a log. */
struct era_position
{
  uint64_t era;
  uint64_t offset;
};

/* From the moment at which a member learns of a restore until all memberships
   of the era before have expired.  All zero: no handover. */
struct era_handover
{
  int64_t end_us;      /* monotonic */
  double share_before; /* this member's, in the era before */
};

enum era_order era_compare (uint64_t known, uint64_t stated);
bool era_is_before (struct era_position a, struct era_position b);
enum era_use era_use_of_page (uint64_t known, uint64_t stated, bool whole);
uint64_t era_fence (uint64_t era, uint64_t generation);
struct era_handover era_begin_handover (double share, int64_t lifetime_us,
                                        int64_t now_us);
bool era_may_lead (const struct era_handover *handover, int64_t now_us);
double era_share (const struct era_handover *handover, double share,
                  int64_t now_us);

#endif
