/* Token bucket rate limiter.  A bucket's level may become negative, since the
   true cost of a request is known only when it ends. */
#ifndef CORE_BUCKET_H
#define CORE_BUCKET_H

#include <stdint.h>

struct bkt_bucket
{
  double level;            /* tokens available; negative when overdrawn */
  double rate_per_s;       /* tokens added per second */
  double depth;            /* most tokens that the bucket holds */
  int64_t refilled_at_us;  /* monotonic time that `level' is valid for */
  int64_t depth_set_at_us; /* monotonic time of the last bkt_set_depth */
};

void bkt_init (struct bkt_bucket *bucket, double rate_per_s, double depth,
               int64_t now_us);
void bkt_set_rate (struct bkt_bucket *bucket, double rate_per_s, double depth,
                   int64_t now_us);
void bkt_set_depth (struct bkt_bucket *bucket, double depth, int64_t now_us);
double bkt_level (struct bkt_bucket *bucket, int64_t now_us);
void bkt_take (struct bkt_bucket *bucket, double amount);
void bkt_add (struct bkt_bucket *bucket, double amount);
int64_t bkt_wait_us (struct bkt_bucket *bucket, double level, int64_t now_us);

#endif
