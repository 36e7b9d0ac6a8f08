#include "core/account_limit.h"

#include "base/clock.h"

#include <glib.h>
#include <math.h>

/* Fraction of a limit that is divided evenly among the daemons, regardless of
   demand. */
#define EVEN_FRACTION 0.2
/* Burst that an account may use at once, in seconds of its rate. */
#define BURST_S 2.0
/* Time constant of the exponential decay of the measured demand. */
#define DEMAND_LIFETIME_US (5 * CLK_S_US)
/* Expected length of a stream, in tokens, until the first stream has ended. */
#define DEFAULT_EXPECTED_TOKENS 64.0
/* Number of streams that the moving average of generated per allowed tokens
   covers. */
#define RATIO_SAMPLES_MAX 32
/* With this many ended streams for each one under way, the latter change the
   estimate by little, and aren't looked at. */
#define ENDED_PER_STREAM 16
/* Factor applied to the length estimate when a request is refused because of
   its estimated length alone.  Without the decay, an estimate that has become
   too long would refuse requests forever. */
#define ESTIMATE_DECAY 0.98
/* Wait reported to a caller whose account has too many open streams. */
#define STREAM_LIMIT_WAIT_US CLK_S_US

/* Retry budget.  It covers a retry of every open stream at once, as needed
   after the loss of a data centre, and another one when a second fault follows
   before the first is handled.  Beyond that, the budget grows with the
   requests. */
#define RETRIES_PER_STREAM 3.0
/* Depth of the retry bucket without open streams, in retries. */
#define RETRY_BURST 16.0
#define RETRIES_PER_S 1.0
/* Growth of the retry bucket per request that arrives. */
#define RETRIES_PER_REQUEST 0.2
/* Depth of the hedge bucket, in hedged requests. */
#define HEDGE_BURST 4.0
/* Growth of the hedge bucket per request that arrives. */
#define HEDGES_PER_REQUEST 0.05

/* Returns the depth of a bucket that refills at RATE per second: BURST_S
   seconds of the rate, but at least 1; 0 for a rate of 0.  */
static double
bucket_depth (double rate)
{
  return rate > 0.0 ? MAX (rate * BURST_S, 1.0) : 0.0;
}

/* Sets the bucket rates to this daemon's share of the limits.  */
static void
set_rates (struct acc_account *account, int64_t now_us)
{
  double requests = account->limits.requests_per_s * account->share;
  double tokens = account->limits.tokens_per_s * account->share;
  bkt_set_rate (&account->requests, requests, bucket_depth (requests), now_us);
  bkt_set_rate (&account->tokens, tokens, bucket_depth (tokens), now_us);
}

/* Creates an account with full buckets and an even share of LIMITS.  FLOW is
   its index in the fair queue.  Free the account with g_free.  */
struct acc_account *
acc_create (const struct cfg_account *limits, uint32_t flow, uint32_t daemons,
            int64_t now_us)
{
  struct acc_account *account = g_new0 (struct acc_account, 1);
  account->limits = *limits;
  account->flow = flow;
  account->daemons = daemons;
  account->share = 1.0 / daemons;
  account->demand_at_us = now_us;
  bkt_init (&account->requests, 0.0, 0.0, now_us);
  bkt_init (&account->tokens, 0.0, 0.0, now_us);
  set_rates (account, now_us);
  account->requests.level = account->requests.depth;
  account->tokens.level = account->tokens.depth;
  bkt_init (&account->retries, RETRIES_PER_S, RETRY_BURST, now_us);
  bkt_init (&account->hedges, 0.0, HEDGE_BURST, now_us);
  return account;
}

/* Changes the limits.  When the number of daemons has changed, the share is
   even until the next acc_apply_fleet_demand.  */
void
acc_configure (struct acc_account *account, const struct cfg_account *limits,
               uint32_t daemons, int64_t now_us)
{
  /* The name, the key of the account's hash table entry, is unchanged. */
  account->limits = *limits;
  if (account->daemons != daemons)
    {
      account->daemons = daemons;
      account->share = 1.0 / daemons;
      account->fleet_streams = 0;
    }
  set_rates (account, now_us);
}

/* Decays the demand rates to NOW_US.  */
static void
decay_demand (struct acc_account *account, int64_t now_us)
{
  int64_t elapsed_us = now_us - account->demand_at_us;
  if (elapsed_us > 0)
    {
      double factor = exp (-(double)elapsed_us / DEMAND_LIFETIME_US);
      account->demand.requests_per_s *= factor;
      account->demand.tokens_per_s *= factor;
      account->demand_at_us = now_us;
    }
}

/* Adds a request of TOKENS, whether refused or not, to the demand, and grows
   the retry and hedge budgets.  */
void
acc_count_arrival (struct acc_account *account, uint32_t tokens,
                   int64_t now_us)
{
  double lifetime_s = (double)DEMAND_LIFETIME_US / CLK_S_US;
  decay_demand (account, now_us);
  account->demand.requests_per_s += 1.0 / lifetime_s;
  account->demand.tokens_per_s += tokens / lifetime_s;
  bkt_add (&account->retries, RETRIES_PER_REQUEST);
  bkt_add (&account->hedges, HEDGES_PER_REQUEST);
}

/* Returns whether one more stream stays within the limit.  A fractional share
   is rounded up as long as the fleet's total stays within the limit.  */
static bool
may_open_stream (const struct acc_account *account)
{
  double share = account->limits.streams * account->share;
  if (account->streams + 1 <= share)
    {
      return true;
    }
  int64_t elsewhere
      = (int64_t)account->fleet_streams - account->local_streams_at_report;
  return account->streams < share
         && MAX (elsewhere, 0) + account->streams < account->limits.streams;
}

/* Returns the microseconds until the account may send a request of TOKENS, or
   0 if it may send one now.  A limit of 0 allows no request.  */
int64_t
acc_wait_us (struct acc_account *account, uint32_t tokens, int64_t now_us)
{
  int64_t wait_us = bkt_wait_us (&account->requests, 1.0, now_us);
  if (tokens > 0)
    {
      /* A request larger than the depth needs a full bucket and overdraws
         it. */
      double level = MIN ((double)tokens, account->tokens.depth);
      int64_t tokens_us = bkt_wait_us (&account->tokens, level, now_us);
      wait_us = MAX (wait_us, tokens_us);
      if (!may_open_stream (account))
        {
          wait_us = MAX (wait_us, STREAM_LIMIT_WAIT_US);
        }
    }
  return wait_us;
}

/* Charges an admitted request of TOKENS to the buckets.  */
void
acc_charge (struct acc_account *account, uint32_t tokens)
{
  bkt_take (&account->requests, 1.0);
  bkt_take (&account->tokens, tokens);
}

/* Counts an open stream.  Calls of plain services, with TOKENS of 0, are not
   counted.  */
void
acc_open_stream (struct acc_account *account, uint32_t tokens)
{
  account->streams += tokens > 0 ? 1 : 0;
}

/* Reverses acc_open_stream, and refunds the CHARGED tokens that exceed the
   generated TOKENS.  */
void
acc_close_stream (struct acc_account *account, uint32_t charged,
                  uint32_t tokens)
{
  account->streams -= charged > 0 ? 1 : 0;
  if (tokens < charged)
    {
      bkt_add (&account->tokens, charged - tokens);
    }
}

/* Returns the account's weight in fair queueing; 0 counts as 1.  */
uint32_t
acc_weight (const struct acc_account *account)
{
  return MAX (account->limits.weight, 1);
}

/* Returns the expected length, in tokens, of a stream that may generate
   ALLOWED tokens.  */
double
acc_expected_tokens (const struct acc_account *account, uint32_t allowed)
{
  double tokens = account->ratio_samples > 0
                      ? allowed * account->generated_ratio
                      : MIN (allowed, DEFAULT_EXPECTED_TOKENS);
  return MAX (tokens, 1.0);
}

/* Counts STREAM, which starts at NOW_US and may generate ALLOWED tokens, as
   under way until acc_end_stream.  */
void
acc_start_stream (struct acc_account *account, struct acc_stream *stream,
                  uint32_t allowed, int64_t now_us)
{
  *stream = (struct acc_stream){ .started_us = now_us, .allowed = allowed };
  stream->link.data = stream;
  g_queue_push_tail_link (&account->under_way, &stream->link);
}

/* Reverses acc_start_stream.  */
void
acc_end_stream (struct acc_account *account, struct acc_stream *stream)
{
  g_queue_unlink (&account->under_way, &stream->link);
}

/* Returns the expected duration, in microseconds, of a stream that may
   generate ALLOWED tokens and starts at NOW_US, with BETWEEN_TOKENS_US between
   tokens.  Streams under way last at least as long as they have until now.
   That counts while there are many of them for those that have ended, since
   the first ones to end are the short ones.  */
double
acc_service_time_us (const struct acc_account *account, uint32_t allowed,
                     int64_t between_tokens_us, int64_t now_us)
{
  double full_us = (double)allowed * (double)between_tokens_us;
  double ended_us
      = acc_expected_tokens (account, allowed) * (double)between_tokens_us;
  uint64_t under_way = account->under_way.length;
  if (ended_us <= 0.0
      || under_way * ENDED_PER_STREAM <= account->ended_streams)
    {
      return ended_us;
    }
  double sum_us = ended_us * (double)account->ended_streams;
  for (const GList *link = account->under_way.head; link != NULL;
       link = link->next)
    {
      const struct acc_stream *stream = link->data;
      double age_us = (double)(now_us - stream->started_us) * allowed
                      / MAX (stream->allowed, 1);
      sum_us += MAX (MIN (age_us, full_us), ended_us);
    }
  return sum_us / (double)(account->ended_streams + under_way);
}

/* Updates the length estimate with a finished stream that generated TOKENS of
   the ALLOWED tokens.  */
void
acc_observe_length (struct acc_account *account, uint32_t allowed,
                    uint32_t tokens)
{
  double ratio = MIN ((double)tokens / MAX (allowed, 1), 1.0);
  account->ended_streams++;
  account->ratio_samples = MIN (account->ratio_samples + 1, RATIO_SAMPLES_MAX);
  account->generated_ratio
      += (ratio - account->generated_ratio) / account->ratio_samples;
}

/* Lowers the length estimate after the refusal of a stream that may generate
   ALLOWED tokens, and has LEFT_US for that with BETWEEN_TOKENS_US between two,
   if the streams that have ended were the reason.  */
void
acc_lower_estimate (struct acc_account *account, uint32_t allowed,
                    int64_t between_tokens_us, int64_t left_us)
{
  double ended_us
      = acc_expected_tokens (account, allowed) * (double)between_tokens_us;
  if (ended_us > (double)left_us)
    {
      account->generated_ratio *= ESTIMATE_DECAY;
    }
}

/* Takes one retry from the budget.  Returns false when the budget is
   exhausted.  */
bool
acc_take_retry (struct acc_account *account, int64_t now_us)
{
  /* A single fault may affect every open stream. */
  bkt_set_depth (&account->retries,
                 RETRY_BURST + RETRIES_PER_STREAM * account->streams, now_us);
  if (bkt_level (&account->retries, now_us) < 1.0)
    {
      return false;
    }
  bkt_take (&account->retries, 1.0);
  return true;
}

/* Takes one hedged request from the hedge and the retry budget.  Returns false
   when the hedge budget is exhausted or the retry budget is below half of
   RETRY_BURST.  */
bool
acc_take_hedge (struct acc_account *account, int64_t now_us)
{
  if (bkt_level (&account->hedges, now_us) < 1.0
      || bkt_level (&account->retries, now_us) < RETRY_BURST / 2)
    {
      return false;
    }
  bkt_take (&account->hedges, 1.0);
  bkt_take (&account->retries, 1.0);
  return true;
}

/* Sets DEMAND to the account's demand on this daemon.  */
void
acc_local_demand (struct acc_account *account, int64_t now_us,
                  struct adm_demand *demand)
{
  decay_demand (account, now_us);
  *demand = account->demand;
  demand->streams = account->streams;
}

/* Sets this daemon's share of the limits in proportion to its part of FLEET,
   the demand on all daemons.  The shares of all daemons add up to 1 when all
   use the same demand figures.  */
void
acc_apply_fleet_demand (struct acc_account *account,
                        const struct adm_demand *fleet, int64_t now_us)
{
  decay_demand (account, now_us);
  double even = 1.0 / account->daemons;
  double local = account->demand.requests_per_s;
  double total = MAX (fleet->requests_per_s, local);
  account->share = total > 0.0 ? EVEN_FRACTION * even
                                     + (1.0 - EVEN_FRACTION) * local / total
                               : even;
  account->fleet_streams = fleet->streams;
  account->local_streams_at_report = account->streams;
  set_rates (account, now_us);
}
