#include "core/shared_rate.h"

#include <float.h>
#include <math.h>

#define MAX_OF(a, b) ((a) > (b) ? (a) : (b))
#define MIN_OF(a, b) ((a) < (b) ? (a) : (b))

/* Time in which the number of daemons that counts falls by half if none are
   seen. */
#define DAEMONS_HALF_US 60e6

/* A slot in which this daemon may send a number of requests. */
#define SLOT_US INT64_C (1000000)

/* Share of the rate that is used.  Daemons that may send less than one request
   in SPARSE_S send theirs in slots that happen to coincide. */
#define USED_SHARE 0.95
#define USED_SHARE_SPARSE 0.7
#define SPARSE_S 4.0

/* Slots after which a daemon that may send nothing looks again. */
#define SLOTS_MAX 3600

/* Records in DAEMONS that COUNT of them are seen at NOW_US, monotonic time. */
void
shr_see_daemons (struct shr_daemons *daemons, uint32_t count, int64_t now_us)
{
  double left
      = daemons->most
        * exp2 (-(double)(now_us - daemons->seen_us) / DAEMONS_HALF_US);
  daemons->most = MAX_OF (left, count);
  daemons->seen_us = now_us;
}

/* Returns the share of one of DAEMONS whose share of the group's partitions is
   GROUP_SHARE; 0: it has none.  The shares of the group's members alone make
   up the whole, so a member in a fleet with others takes no more than its part
   of all daemons.  */
double
shr_share_of (const struct shr_daemons *daemons, double group_share)
{
  double share = 1 / MAX_OF (daemons->most, 1);
  return group_share > 0 ? MIN_OF (group_share, share) : share;
}

/* Sets RATE to PER_S requests a second of all daemons; 0: no limit.  PHASE,
   random from 0 to 1, chooses the slots of this daemon.  */
void
shr_set (struct shr_rate *rate, double per_s, double phase)
{
  if (rate->per_s == 0)
    {
      rate->phase = phase;
    }
  rate->per_s = per_s;
}

/* Sets this daemon's SHARE of RATE, 0 to 1.  */
void
shr_set_share (struct shr_rate *rate, double share)
{
  rate->share = share;
}

/* Returns how many requests RATE allows in a slot on average.  */
static double
per_slot (const struct shr_rate *rate)
{
  double per_s = rate->per_s * rate->share;
  double used = per_s * SPARSE_S < 1 ? USED_SHARE_SPARSE : USED_SHARE;
  return per_s * used * ((double)SLOT_US / 1e6);
}

/* Returns how many requests RATE allows from the first slot of all up to the
   one before SLOT.  */
static double
allowed_before (const struct shr_rate *rate, int64_t slot)
{
  return floor ((double)slot * per_slot (rate) + rate->phase);
}

/* Returns how many requests RATE allows in SLOT.  */
static double
allowed_in (const struct shr_rate *rate, int64_t slot)
{
  return allowed_before (rate, slot + 1) - allowed_before (rate, slot);
}

/* Returns the first slot after SLOT in which RATE allows a request, or one of
   those before that if it is far away.  */
static int64_t
next_slot (const struct shr_rate *rate, int64_t slot)
{
  double slots = (allowed_before (rate, slot + 1) + 1 - rate->phase)
                     / MAX_OF (per_slot (rate), DBL_MIN)
                 - (double)slot;
  if (slots > SLOTS_MAX)
    {
      return slot + SLOTS_MAX;
    }
  int64_t next = slot + MAX_OF ((int64_t)ceil (slots) - 1, 1);
  /* The division may be off by a rounding error. */
  return allowed_in (rate, next) < 1 ? next + 1 : next;
}

/* Returns when, from NOW_US on, RATE allows the next request: NOW_US or a
   moment before if it does now.  */
int64_t
shr_opens_us (const struct shr_rate *rate, int64_t now_us)
{
  int64_t slot = now_us / SLOT_US;
  if (rate->per_s == 0)
    {
      return now_us;
    }
  if (allowed_in (rate, slot) > (rate->slot == slot ? rate->sent : 0))
    {
      return now_us;
    }
  return next_slot (rate, slot) * SLOT_US;
}

/* Records that a request is sent at NOW_US.  */
void
shr_take (struct shr_rate *rate, int64_t now_us)
{
  int64_t slot = now_us / SLOT_US;
  if (rate->slot != slot)
    {
      rate->slot = slot;
      rate->sent = 0;
    }
  rate->sent++;
}
