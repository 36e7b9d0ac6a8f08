#include "core/era.h"

/* Bits of a fencing token that hold the generation.  The bits above, up to the
   limit of integers in JSON, hold the era. */
#define GENERATION_BITS 32
#define ERA_BITS 21

/* Largest value of COUNT bits. */
#define MAX_OF_BITS(count) ((UINT64_C (1) << (count)) - 1)

static uint64_t
limit (uint64_t value, uint64_t max)
{
  return value < max ? value : max;
}

/* Returns how an answer that states the era STATED relates to the era KNOWN
   from earlier answers.  A store that states no era is never restored.  */
enum era_order
era_compare (uint64_t known, uint64_t stated)
{
  if (stated == ERA_UNKNOWN || stated == known)
    {
      return ERA_SAME;
    }
  return stated > known ? ERA_RISEN : ERA_STALE;
}

/* True when the record at A was written before the one at B.  */
bool
era_is_before (struct era_position a, struct era_position b)
{
  return a.era != b.era ? a.era < b.era : a.offset < b.offset;
}

/* Returns what a reader of the era KNOWN may do with a page of a relay of the
   era STATED.  WHOLE says that the page has all of the topic.  A page without
   an era comes from a daemon that doesn't know of eras; its offsets can't be
   told from those before a restore.  */
enum era_use
era_use_of_page (uint64_t known, uint64_t stated, bool whole)
{
  if (stated == known)
    {
      return ERA_CONTINUE;
    }
  return stated > known && whole ? ERA_RESTART : ERA_REJECT;
}

/* Returns the fencing token of the leader of GENERATION in ERA.  It is higher
   than that of any earlier generation, also across eras, as long as both stay
   within their bits: beyond them, tokens stay the same instead of going back.
   Without an era, it is the generation itself.  */
uint64_t
era_fence (uint64_t era, uint64_t generation)
{
  if (era == ERA_UNKNOWN)
    {
      return generation;
    }
  return limit (era, MAX_OF_BITS (ERA_BITS)) << GENERATION_BITS
         | limit (generation, MAX_OF_BITS (GENERATION_BITS));
}

/* Begins the handover of a member with SHARE that learns of a restore at
   NOW_US.  A membership that was renewed before the restore lasts for at most
   LIFETIME_US.  */
struct era_handover
era_begin_handover (double share, int64_t lifetime_us, int64_t now_us)
{
  return (struct era_handover){
    .end_us = now_us + lifetime_us,
    .share_before = share,
  };
}

/* Returns whether a member that the store names as the leader may lead at
   NOW_US.  */
bool
era_may_lead (const struct era_handover *handover, int64_t now_us)
{
  return now_us >= handover->end_us;
}

/* Returns the share that a member may use at NOW_US when the store gives it
   SHARE.  */
double
era_share (const struct era_handover *handover, double share, int64_t now_us)
{
  return now_us >= handover->end_us || share < handover->share_before
             ? share
             : handover->share_before;
}
