#include "core/bucket.h"

#include "base/clock.h"

#include <glib.h>
#include <math.h>

/* Missing tokens up to this amount are attributed to rounding. */
#define ROUNDING_TOLERANCE 1e-6

/* Initializes BUCKET with DEPTH tokens.  */
void
bkt_init (struct bkt_bucket *bucket, double rate_per_s, double depth,
          int64_t now_us)
{
  *bucket = (struct bkt_bucket){
    .level = depth,
    .rate_per_s = rate_per_s,
    .depth = depth,
    .refilled_at_us = now_us,
    .depth_set_at_us = now_us,
  };
}

/* Changes the rate and the depth.  The current level is kept, but limited to
   the new depth.  */
void
bkt_set_rate (struct bkt_bucket *bucket, double rate_per_s, double depth,
              int64_t now_us)
{
  double level = bkt_level (bucket, now_us);
  bucket->rate_per_s = rate_per_s;
  bucket->depth = depth;
  bucket->level = MIN (level, depth);
}

/* Raises the bucket's depth to DEPTH, and its level by the difference, or
   lowers it towards DEPTH, no faster than the bucket refills.  A depth that
   goes up and down thus grants no more tokens than the refill does.  */
void
bkt_set_depth (struct bkt_bucket *bucket, double depth, int64_t now_us)
{
  double level = bkt_level (bucket, now_us);
  int64_t elapsed_us = MAX (now_us - bucket->depth_set_at_us, 0);
  if (depth > bucket->depth)
    {
      bucket->level = level + depth - bucket->depth;
      bucket->depth = depth;
    }
  else
    {
      double lowest
          = bucket->depth - bucket->rate_per_s * (double)elapsed_us / CLK_S_US;
      bucket->depth = MAX (depth, lowest);
      bucket->level = MIN (level, bucket->depth);
    }
  bucket->depth_set_at_us += elapsed_us;
}

/* Refills the bucket up to NOW_US and returns its level in tokens, negative
   when overdrawn.  */
double
bkt_level (struct bkt_bucket *bucket, int64_t now_us)
{
  int64_t elapsed_us = now_us - bucket->refilled_at_us;
  if (elapsed_us > 0)
    {
      double refilled
          = bucket->level + bucket->rate_per_s * (double)elapsed_us / CLK_S_US;
      bucket->level = MIN (refilled, bucket->depth);
      bucket->refilled_at_us = now_us;
    }
  return bucket->level;
}

/* Removes AMOUNT tokens, overdrawing the bucket if necessary.  */
void
bkt_take (struct bkt_bucket *bucket, double amount)
{
  bucket->level -= amount;
}

/* Adds AMOUNT tokens, up to the bucket's depth.  */
void
bkt_add (struct bkt_bucket *bucket, double amount)
{
  bucket->level = MIN (bucket->level + amount, bucket->depth);
}

/* Returns the microseconds until the bucket reaches LEVEL, or INT64_MAX if it
   never does.  */
int64_t
bkt_wait_us (struct bkt_bucket *bucket, double level, int64_t now_us)
{
  double missing = level - bkt_level (bucket, now_us);
  if (missing <= ROUNDING_TOLERANCE)
    {
      return 0;
    }
  if (bucket->rate_per_s <= 0.0 || level > bucket->depth)
    {
      return INT64_MAX;
    }
  return (int64_t)ceil ((missing - ROUNDING_TOLERANCE) / bucket->rate_per_s
                        * CLK_S_US);
}
