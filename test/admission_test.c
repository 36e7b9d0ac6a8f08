#include "core/admission.h"

#include "base/clock.h"
#include "core/bucket.h"
#include "core/concurrency.h"
#include "core/fair.h"

#include <glib.h>
#include <inttypes.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define ACCOUNTS 4
#define NOW_US (1000 * CLK_S_US)
#define PLENTY 1000000 /* a limit that isn't reached */

/* Returns a configuration with ACCOUNTS accounts, called a0, a1 and so on,
   that all have the given limits and a weight of 1.  */
static struct cfg_config *
build_config (uint32_t requests_per_s, uint32_t tokens_per_s, uint32_t streams,
              uint32_t queue_length)
{
  struct cfg_config *config = cfg_config_create ();
  config->accounts = g_new0 (struct cfg_account, ACCOUNTS);
  config->account_count = ACCOUNTS;
  for (uint32_t i = 0; i < ACCOUNTS; i++)
    {
      struct cfg_account *account = &config->accounts[i];
      g_snprintf (account->name, sizeof account->name, "a%u", i);
      account->requests_per_s = requests_per_s;
      account->tokens_per_s = tokens_per_s;
      account->streams = streams;
      account->weight = 1;
    }
  config->rules.queue_length = queue_length;
  return config;
}

static struct adm *
start (const struct cfg_config *config, uint32_t daemons, double capacity)
{
  struct adm *adm = adm_create ();
  adm_configure (adm, config, daemons, capacity, NOW_US);
  return adm;
}

static enum adm_decision
arrive (struct adm *adm, uint64_t id, uint32_t account, uint32_t tokens,
        int64_t now_us, struct adm_verdict *verdict)
{
  const struct adm_request request = {
    .id = id,
    .account = account,
    .tokens = tokens,
    .deadline_us = now_us + 60 * CLK_S_US,
  };
  return adm_arrive (adm, &request, now_us, verdict);
}

struct limit_case
{
  const char *name;
  uint32_t requests_per_s;
  uint32_t tokens_per_s;
  uint32_t streams;
  uint32_t daemons;
  uint32_t tokens;        /* of each request; 0: a plain service */
  uint32_t offered;       /* requests */
  uint32_t admitted;      /* expected, queued ones included */
  uint32_t retry_after_s; /* expected of the first refusal; 0: no refusal */
};

/* All requests arrive at the same time, at one daemon. */
static const struct limit_case limit_cases[] = {
  { "within all limits", 10, PLENTY, 100, 1, 10, 20, 20, 0 },
  { "requests: a burst of two seconds", 10, PLENTY, 100, 1, 10, 30, 20, 1 },
  { "requests: a share for each daemon", 10, PLENTY, 100, 4, 10, 30, 5, 1 },
  { "requests: one in ten seconds", 1, PLENTY, 100, 10, 10, 3, 1, 10 },
  { "requests of a plain service", 10, PLENTY, 100, 1, 0, 30, 20, 1 },
  { "tokens: a burst of two seconds", PLENTY, 100, 100, 1, 100, 5, 2, 1 },
  { "tokens: a request larger than the burst", PLENTY, 100, 100, 1, 1000, 5, 1,
    10 },
  { "tokens do not limit a plain service", 100, 1, 100, 1, 0, 50, 50, 0 },
  { "streams", PLENTY, PLENTY, 7, 1, 10, 20, 7, 1 },
  { "streams: a share for each daemon", PLENTY, PLENTY, 20, 4, 10, 20, 5, 1 },
  { "streams: a share below one", PLENTY, PLENTY, 3, 10, 10, 5, 1, 1 },
  { "limits of 0", 0, 0, 0, 1, 10, 5, 0, 60 },
};

static void
limits_are_enforced_with_retry_after (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (limit_cases); i++)
    {
      const struct limit_case *row = &limit_cases[i];
      struct cfg_config *config = build_config (
          row->requests_per_s, row->tokens_per_s, row->streams, 1000);
      struct adm *adm = start (config, row->daemons, 0.0);
      uint32_t admitted = 0;
      uint32_t retry_after_s = 0;
      print_message ("row: %s\n", row->name);
      for (uint32_t j = 0; j < row->offered; j++)
        {
          struct adm_verdict verdict;
          enum adm_decision decision
              = arrive (adm, j, 0, row->tokens, NOW_US, &verdict);
          if (decision != ADM_REFUSED)
            {
              admitted++;
              continue;
            }
          assert_int_equal (verdict.error, ERR_RATE_LIMITED);
          retry_after_s
              = retry_after_s == 0 ? verdict.retry_after_s : retry_after_s;
        }
      assert_int_equal (admitted, row->admitted);
      assert_int_equal (retry_after_s, row->retry_after_s);
      adm_destroy (adm);
      cfg_config_destroy (config);
    }
}

/* A caller that retries after `retry_after_s' is admitted.  */
static void
retry_after_the_given_wait_is_admitted (void **state)
{
  (void)state;
  struct cfg_config *config = build_config (1, PLENTY, 100, 10);
  struct adm *adm = start (config, 7, 0.0);
  struct adm_verdict verdict;
  int64_t now_us = NOW_US;
  for (uint64_t id = 0; id < 20; id++)
    {
      if (arrive (adm, id, 0, 10, now_us, &verdict) == ADM_REFUSED)
        {
          now_us += verdict.retry_after_s * CLK_S_US;
          assert_int_equal (arrive (adm, id, 0, 10, now_us, &verdict),
                            ADM_ADMITTED);
        }
      adm_finish (adm, id, 10, now_us);
    }
  assert_true (now_us > NOW_US);
  adm_destroy (adm);
  cfg_config_destroy (config);
}

/* The daemons' shares follow the demand and add up to the limit.  */
static void
shares_follow_demand (void **state)
{
  (void)state;
  struct cfg_config *config = build_config (100, PLENTY, 1000, 1000);
  struct adm *busy = start (config, 2, 0.0);
  struct adm *idle = start (config, 2, 0.0);
  struct adm_verdict verdict;
  struct adm_demand fleet;
  uint32_t admitted = 0;
  for (uint64_t i = 0; i < 500; i++)
    {
      (void)arrive (busy, i, 0, 10, NOW_US, &verdict);
    }
  adm_local_demand (busy, 0, NOW_US, &fleet);
  assert_true (fabs (fleet.requests_per_s - 100.0) < 1.0);
  adm_apply_fleet_demand (busy, 0, &fleet, NOW_US);
  adm_apply_fleet_demand (idle, 0, &fleet, NOW_US);
  /* A second later the busy daemon has 0.9 of the limit, the idle one 0.1. */
  int64_t later_us = NOW_US + CLK_S_US;
  for (uint64_t i = 500; i < 1000; i++)
    {
      admitted += arrive (busy, i, 0, 10, later_us, &verdict) != ADM_REFUSED;
    }
  assert_in_range (admitted, 89, 90);
  admitted = 0;
  for (uint64_t i = 0; i < 500; i++)
    {
      admitted += arrive (idle, i, 0, 10, later_us, &verdict) != ADM_REFUSED;
    }
  assert_int_equal (admitted, 20);
  adm_destroy (busy);
  adm_destroy (idle);
  cfg_config_destroy (config);
}

/* Starts streams, with ids from 1000000, until the limit of ADM is reached.
   Returns their number.  */
static uint32_t
fill_streams (struct adm *adm)
{
  struct adm_state before;
  struct adm_verdict verdict;
  adm_read_state (adm, &before);
  for (uint32_t i = 0; i < before.limit; i++)
    {
      assert_int_equal (arrive (adm, 1000000 + i, 0, 10, NOW_US, &verdict),
                        ADM_ADMITTED);
    }
  return before.limit;
}

/* The queue never exceeds its length.  When it is full, requests of the
   account that fills it are evicted in favour of other accounts, never the
   reverse.  */
static void
full_queue_evicts_from_the_longest_backlog (void **state)
{
  (void)state;
  struct cfg_config *config = build_config (PLENTY, PLENTY, PLENTY, 10);
  struct adm *adm = start (config, 1, 1000.0);
  struct adm_verdict verdict;
  struct adm_state load;
  (void)fill_streams (adm);
  for (uint64_t id = 0; id < 10; id++)
    {
      assert_int_equal (arrive (adm, id, 0, 100, NOW_US, &verdict),
                        ADM_QUEUED);
    }
  assert_int_equal (arrive (adm, 10, 0, 100, NOW_US, &verdict), ADM_REFUSED);
  assert_int_equal (verdict.error, ERR_OVERLOADED);
  /* 10 queued streams of 64 expected tokens, at 1000 tokens per second. */
  assert_int_equal (verdict.retry_after_s, 1);
  uint64_t id;
  assert_int_equal (arrive (adm, 11, 1, 100, NOW_US, &verdict), ADM_QUEUED);
  assert_int_equal (adm_next (adm, NOW_US, &id, &verdict), ADM_REFUSED);
  assert_int_equal (id, 9);
  assert_int_equal (verdict.error, ERR_OVERLOADED);
  assert_int_equal (adm_next (adm, NOW_US, &id, &verdict), ADM_NOTHING);
  adm_read_state (adm, &load);
  assert_int_equal (load.queued, 10);
  /* A free slot goes to the account that has been served less. */
  adm_finish (adm, 1000000, 10, NOW_US);
  assert_int_equal (adm_next (adm, NOW_US, &id, &verdict), ADM_ADMITTED);
  adm_finish (adm, 1000001, 10, NOW_US);
  uint64_t second;
  assert_int_equal (adm_next (adm, NOW_US, &second, &verdict), ADM_ADMITTED);
  assert_true (id == 11 || second == 11);
  adm_destroy (adm);
  cfg_config_destroy (config);
}

struct deadline_case
{
  const char *name;
  uint32_t queued;     /* earlier requests of the account, 64 tokens each */
  int64_t deadline_us; /* from the arrival */
  enum adm_decision decision;
  uint32_t retry_after_s;
};

/* The capacity is 100 tokens per second.  With 39 ms between tokens, a stream
   of 64 tokens takes 2.5 s. */
static const struct deadline_case deadline_cases[] = {
  { "a distant deadline", 0, 60 * CLK_S_US, ADM_QUEUED, 0 },
  { "shorter than the stream itself", 0, 2 * CLK_S_US, ADM_REFUSED, 0 },
  { "long enough for the queue", 10, 10 * CLK_S_US, ADM_QUEUED, 0 },
  { "2 s short", 10, 6900 * CLK_MS_US, ADM_REFUSED, 2 },
  { "8 s short", 20, 7500 * CLK_MS_US, ADM_REFUSED, 8 },
};

static void
unmeetable_deadlines_are_refused_at_once (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (deadline_cases); i++)
    {
      const struct deadline_case *row = &deadline_cases[i];
      struct cfg_config *config = build_config (PLENTY, PLENTY, PLENTY, 1000);
      struct adm *adm = start (config, 1, 100.0);
      struct adm_verdict verdict;
      print_message ("row: %s\n", row->name);
      for (int j = 0; j < 64; j++)
        {
          adm_observe_token_interval (adm, 39 * CLK_MS_US);
        }
      (void)fill_streams (adm);
      for (uint64_t id = 0; id < row->queued; id++)
        {
          (void)arrive (adm, id, 0, 64, NOW_US, &verdict);
        }
      const struct adm_request request = {
        .id = 999,
        .tokens = 64,
        .deadline_us = NOW_US + row->deadline_us,
      };
      assert_int_equal (adm_arrive (adm, &request, NOW_US, &verdict),
                        row->decision);
      if (row->decision == ADM_REFUSED)
        {
          assert_int_equal (verdict.error, ERR_DEADLINE_UNMEETABLE);
          assert_int_equal (verdict.retry_after_s, row->retry_after_s);
        }
      adm_destroy (adm);
      cfg_config_destroy (config);
    }
}

/* A queued request is refused as soon as its deadline can no longer be met,
   not only when the deadline has passed.  */
static void
queued_request_is_refused_before_its_deadline (void **state)
{
  (void)state;
  struct cfg_config *config = build_config (PLENTY, PLENTY, PLENTY, 1000);
  struct adm *adm = start (config, 1, 100.0);
  struct adm_verdict verdict;
  uint64_t id;
  for (int j = 0; j < 64; j++)
    {
      adm_observe_token_interval (adm, 39 * CLK_MS_US);
    }
  (void)fill_streams (adm);
  const struct adm_request request = {
    .id = 7,
    .tokens = 64,
    .deadline_us = NOW_US + 5 * CLK_S_US,
  };
  assert_int_equal (adm_arrive (adm, &request, NOW_US, &verdict), ADM_QUEUED);
  assert_int_equal (adm_next (adm, NOW_US + 2 * CLK_S_US, &id, &verdict),
                    ADM_NOTHING);
  assert_int_equal (adm_next (adm, NOW_US + 3 * CLK_S_US, &id, &verdict),
                    ADM_REFUSED);
  assert_int_equal (id, 7);
  assert_int_equal (verdict.error, ERR_DEADLINE_UNMEETABLE);
  assert_true (verdict.retry_after_s >= 1);
  adm_destroy (adm);
  cfg_config_destroy (config);
}

/* However a request ends, its stream no longer counts against the limits.  */
static void
finish_and_cancel_release_the_limits (void **state)
{
  (void)state;
  struct cfg_config *config = build_config (PLENTY, PLENTY, 50, 1000);
  struct adm *adm = start (config, 1, 100.0);
  struct adm_verdict verdict;
  struct adm_state load;
  struct adm_demand demand;
  for (uint64_t id = 0; id < 50; id++)
    {
      assert_true (arrive (adm, id, 0, 10, NOW_US, &verdict) != ADM_REFUSED);
    }
  assert_int_equal (arrive (adm, 50, 0, 10, NOW_US, &verdict), ADM_REFUSED);
  for (uint64_t id = 0; id < 50; id++)
    {
      if (id % 2 == 0)
        {
          adm_cancel (adm, id, NOW_US);
        }
      else
        {
          adm_finish (adm, id, 10, NOW_US);
        }
      adm_finish (adm, id, 10, NOW_US);
    }
  adm_read_state (adm, &load);
  adm_local_demand (adm, 0, NOW_US, &demand);
  assert_int_equal (load.streams, 0);
  assert_int_equal (load.queued, 0);
  assert_int_equal (demand.streams, 0);
  adm_destroy (adm);
  cfg_config_destroy (config);
}

/* Retries stay within their budget, however many calls fail.  Only idempotent
   calls are hedged, within the hedge budget.  */
static void
retries_and_hedges_stay_within_budgets (void **state)
{
  (void)state;
  struct cfg_config *config = build_config (PLENTY, PLENTY, PLENTY, 1000);
  struct adm *adm = start (config, 1, 0.0);
  struct adm_verdict verdict;
  uint32_t retries = 0;
  uint32_t hedges = 0;
  for (uint64_t id = 0; id < 1000; id++)
    {
      int64_t now_us = NOW_US + (int64_t)id * CLK_MS_US;
      (void)arrive (adm, id, 0, 0, now_us, &verdict);
      adm_finish (adm, id, 0, now_us);
      hedges += adm_hedge_allowed (adm, 0, true, now_us);
      assert_false (adm_hedge_allowed (adm, 0, false, now_us));
      for (int j = 0; j < 3; j++)
        {
          retries += adm_retry_allowed (adm, 0, (uint32_t)id % 10, now_us);
        }
    }
  /* One per five requests, one per second and the bucket's depth; each hedge
     takes one of these. */
  assert_in_range (retries + hedges, 200, 220);
  assert_in_range (hedges, 1, 54);
  retries = 0;
  for (int i = 0; i < 1000; i++)
    {
      retries += adm_retry_allowed (adm, 1 + i % 3, 99, NOW_US);
    }
  assert_int_equal (retries, 48);
  adm_destroy (adm);
  cfg_config_destroy (config);
}

/* When an endpoint fails that carries all running streams, each stream may be
   retried, and again when the endpoints that took the streams over fail next.
   After that the budgets are nearly exhausted.  */
static void
two_faults_allow_a_retry_of_every_stream (void **state)
{
  (void)state;
  struct cfg_config *config = build_config (PLENTY, PLENTY, PLENTY, 1000);
  struct adm *adm = start (config, 1, 10000.0);
  uint32_t streams = fill_streams (adm);
  uint32_t further = 0;
  assert_true (streams > 300);
  for (uint32_t i = 0; i < streams; i++)
    {
      assert_true (adm_retry_allowed (adm, 0, 0, NOW_US));
    }
  for (uint32_t i = 0; i < streams; i++)
    {
      assert_true (adm_retry_allowed (adm, 0, 1 + i % 4, NOW_US + CLK_S_US));
    }
  /* The budget of the first endpoint is nearly exhausted; the account has one
     retry per stream and 16 more left. */
  for (uint32_t i = 0; i < 1000; i++)
    {
      further += adm_retry_allowed (adm, 0, 0, NOW_US + CLK_S_US);
    }
  assert_in_range (further, 1, 66);
  for (uint32_t i = 0; i < 10000; i++)
    {
      further += adm_retry_allowed (adm, 0, 10 + i % 100, NOW_US + CLK_S_US);
    }
  assert_true (further <= streams + 17);
  adm_destroy (adm);
  cfg_config_destroy (config);
}

/* Retries that an account without requests may take a while after a fault. */
struct retry_case
{
  int64_t wait_s;        /* from the fault, at which most streams end */
  uint32_t streams_left; /* of the account */
  uint32_t retries;      /* allowed at once */
};

/* The retry budget of an account covers the streams that are open now, not
   those that once were.  Guards against a single busy moment that allowed a
   storm of retries hours later.  */
static void
retry_budget_shrinks_with_the_streams (void **state)
{
  (void)state;
  static const struct retry_case cases[] = {
    { 3600, 0, 16 },
    { 3600, 1, 19 },
    { 3600, 10, 46 },
    { 86400, 0, 16 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct cfg_config *config = build_config (PLENTY, PLENTY, PLENTY, 1000);
      struct adm *adm = start (config, 1, 10000.0);
      const uint32_t streams = fill_streams (adm);
      const int64_t later_us = NOW_US + cases[i].wait_s * CLK_S_US;
      uint32_t retries = 0;
      assert_true (adm_retry_allowed (adm, 0, 0, NOW_US));
      for (uint32_t j = cases[i].streams_left; j < streams; j++)
        {
          adm_finish (adm, 1000000 + j, 10, NOW_US);
        }
      for (uint32_t j = 0; j < 10000; j++)
        {
          retries += adm_retry_allowed (adm, 0, 1 + j % 100, later_us);
        }
      if (retries != cases[i].retries)
        {
          fail_msg ("%u of %u streams left after %" PRId64
                    " s: %u retries allowed, not %u",
                    cases[i].streams_left, streams, cases[i].wait_s, retries,
                    cases[i].retries);
        }
      adm_destroy (adm);
      cfg_config_destroy (config);
    }
}

/* A change of a bucket's depth, and what is in the bucket then. */
struct depth_step
{
  int64_t at_s;
  double depth;
  double taken; /* after the change */
  double level; /* expected after that */
  double depth_now;
};

/* A bucket of one token a second grows at once, with its level, and shrinks by
   one token a second.  */
static void
bucket_shrinks_as_it_refills (void **state)
{
  (void)state;
  static const struct depth_step steps[] = {
    { 0, 10, 0, 10, 10 },    { 0, 30, 5, 25, 30 },   { 0, 10, 0, 25, 30 },
    { 5, 10, 0, 25, 25 },    { 6, 10, 20, 4, 24 },   { 10, 10, 0, 8, 20 },
    { 12, 25, 0, 15, 25 },   { 13, 25, 0, 16, 25 },  { 11, 10, 0, 16, 25 },
    { 100, 10, 15, -5, 10 }, { 100, 12, 0, -3, 12 }, { 200, 10, 0, 10, 10 },
  };
  struct bkt_bucket bucket;
  bkt_init (&bucket, 1.0, 10.0, 0);
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      bkt_set_depth (&bucket, steps[i].depth, steps[i].at_s * CLK_S_US);
      bkt_take (&bucket, steps[i].taken);
      if (fabs (bucket.level - steps[i].level) > 1e-6
          || fabs (bucket.depth - steps[i].depth_now) > 1e-6)
        {
          fail_msg ("step %zu: level %g of %g", i, bucket.level, bucket.depth);
        }
    }
}

/* A depth that goes up and down grants no more tokens than the refill.  */
static void
changes_of_depth_grant_no_more_than_the_refill (void **state)
{
  (void)state;
  struct bkt_bucket bucket;
  const double depths[] = { 10.0, 100.0, 55.0 };
  uint32_t taken = 0;
  bkt_init (&bucket, 1.0, 10.0, 0);
  for (int64_t at_ms = 0; at_ms < 1000000; at_ms += 10)
    {
      const int64_t now_us = at_ms * CLK_MS_US;
      bkt_set_depth (&bucket, depths[at_ms / 10 % 3], now_us);
      while (bkt_level (&bucket, now_us) >= 1.0)
        {
          bkt_take (&bucket, 1.0);
          taken++;
        }
    }
  assert_in_range (taken, 1000, 100 + 2 * 1000);
}

/* Flows are served in proportion to their weights, and the items of a flow by
   priority, then in order of arrival.  */
static void
fair_queue_serves_by_weight_and_priority (void **state)
{
  (void)state;
  struct fq_queue *queue = fq_create ();
  fq_set_weight (queue, 1, 3);
  fq_set_weight (queue, 2, 1);
  for (uint64_t id = 0; id < 400; id++)
    {
      const struct fq_item item = {
        .id = id,
        .flow = id < 200 ? 1 : 2,
        .priority = id % 2,
        .cost = 10,
        .latest_start_us = INT64_MAX,
      };
      fq_push (queue, &item);
    }
  uint32_t served[3] = { 0 };
  uint64_t last[3][2] = { { 0 } };
  struct fq_item item;
  for (int i = 0; i < 120; i++)
    {
      assert_true (fq_pop (queue, &item));
      served[item.flow]++;
      assert_true (item.id >= last[item.flow][item.priority]);
      last[item.flow][item.priority] = item.id;
      assert_int_equal (item.priority, 0);
    }
  assert_in_range (served[1], 89, 91);
  assert_int_equal (fq_length (queue), 280);
  assert_true (fabs (fq_total_cost (queue) - 2800) < 1e-6);
  while (fq_pop (queue, &item))
    {
    }
  assert_true (fq_total_cost (queue) == 0.0);
  fq_destroy (queue);
}

struct capacity_case
{
  const char *name;
  double assumed;      /* tokens per second; 0: unknown */
  double real;         /* tokens per second */
  int64_t unloaded_us; /* between tokens, without load */
  double least;        /* expected range of the limit, in streams */
  double most;
};

/* The target of 39 ms allows 78 streams at 2000 tokens per second.  The limit
   may exceed that by one increase of 2 %, since it is raised until the target
   is missed. */
static const struct capacity_case capacity_cases[] = {
  { "as assumed", 2000, 2000, 15000, 65, 80 },
  { "a sixth of the assumed capacity", 12000, 2000, 15000, 65, 80 },
  { "1.4 times the assumed capacity", 1400, 2000, 15000, 65, 80 },
  { "unknown capacity", 0, 1600, 15000, 52, 64 },
  { "the target is out of reach", 2000, 2000, 60000, 110, 123 },
};

/* Whatever capacity is assumed, the limit converges to the streams that the
   target allows, or to those that saturate the fleet if the target can't be
   met.  */
static void
stream_limit_follows_real_capacity (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (capacity_cases); i++)
    {
      const struct capacity_case *row = &capacity_cases[i];
      struct con_limit limit;
      con_init (&limit, row->assumed, 39 * CLK_MS_US);
      /* One stream at first, since daemons start without load. */
      for (int j = 0; j < 32; j++)
        {
          con_observe (&limit, row->unloaded_us, 1);
        }
      for (int j = 0; j < 1000000; j++)
        {
          uint32_t streams = con_max_streams (&limit);
          int64_t between_us = (int64_t)(streams * CLK_S_US / row->real);
          con_observe (&limit, MAX (between_us, row->unloaded_us), streams);
        }
      print_message ("row: %s (%u)\n", row->name, con_max_streams (&limit));
      assert_in_range (con_max_streams (&limit), row->least, row->most);
    }
}

/* The expected length of a stream follows the lengths of the account's
   previous streams: if they ended early, a request isn't refused for the
   length that it may have, and if they had their full length, it is.  */
static void
stream_length_estimate_follows_observations (void **state)
{
  (void)state;
  static const uint32_t generated[] = { 40, 4000 };
  for (size_t i = 0; i < G_N_ELEMENTS (generated); i++)
    {
      struct cfg_config *config = build_config (PLENTY, PLENTY, PLENTY, 1000);
      struct adm *adm = start (config, 1, 1000.0);
      struct adm_verdict verdict;
      for (int j = 0; j < 64; j++)
        {
          adm_observe_token_interval (adm, 39 * CLK_MS_US);
        }
      for (uint64_t id = 0; id < 4; id++)
        {
          assert_int_equal (arrive (adm, id, 0, 4000, NOW_US, &verdict),
                            ADM_ADMITTED);
        }
      for (uint64_t id = 0; id < 4; id++)
        {
          adm_finish (adm, id, generated[i], NOW_US);
        }
      enum adm_decision decision = arrive (adm, 4, 0, 4000, NOW_US, &verdict);
      assert_int_equal (decision,
                        generated[i] == 40 ? ADM_ADMITTED : ADM_REFUSED);
      assert_int_equal (verdict.error, generated[i] == 40
                                           ? ERR_NONE
                                           : ERR_DEADLINE_UNMEETABLE);
      adm_destroy (adm);
      cfg_config_destroy (config);
    }
}

/* Streams of an account, all of which start at NOW_US and may have 1000
   tokens, one each 39 ms, and whether one more is admitted.  */
struct survivor_case
{
  const char *name;
  uint32_t ended;     /* streams, each after 20 tokens */
  uint32_t under_way; /* streams */
  int64_t age_us;     /* when the last one arrives */
  int64_t left_us;    /* until its deadline */
  enum adm_decision want;
};

/* A request isn't admitted when most streams of its account have already run
   for longer than it may.  Guards against an estimate from the streams that
   have ended: soon after a start these are the short ones, and when none has
   ended, a default.  */
static void
streams_under_way_count_as_lower_bounds (void **state)
{
  (void)state;
  static const struct survivor_case cases[] = {
    { "a few short ones ended", 2, 18, 15 * CLK_S_US, 12 * CLK_S_US,
      ADM_REFUSED },
    { "none ended", 0, 20, 15 * CLK_S_US, 12 * CLK_S_US, ADM_REFUSED },
    { "a longer deadline", 2, 18, 15 * CLK_S_US, 20 * CLK_S_US, ADM_ADMITTED },
    { "just started", 0, 20, CLK_S_US, 12 * CLK_S_US, ADM_ADMITTED },
    { "younger than those that ended", 2, 18, CLK_S_US / 2, 2 * CLK_S_US,
      ADM_ADMITTED },
    { "most ended", 18, 2, 15 * CLK_S_US, 12 * CLK_S_US, ADM_ADMITTED },
    { "all ended", 20, 0, 15 * CLK_S_US, 2 * CLK_S_US, ADM_ADMITTED },
    { "many ended before", 300, 20, 15 * CLK_S_US, 2 * CLK_S_US,
      ADM_ADMITTED },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct survivor_case *c = &cases[i];
      struct cfg_config *config = build_config (PLENTY, PLENTY, PLENTY, 1000);
      struct adm *adm = start (config, 1, 2000.0);
      struct adm_verdict verdict;
      uint64_t id = 0;
      for (int j = 0; j < 64; j++)
        {
          adm_observe_token_interval (adm, 39 * CLK_MS_US);
        }
      for (uint32_t j = 0; j < c->under_way; j++)
        {
          assert_int_equal (arrive (adm, ++id, 0, 1000, NOW_US, &verdict),
                            ADM_ADMITTED);
        }
      for (uint32_t j = 0; j < c->ended; j++)
        {
          assert_int_equal (arrive (adm, ++id, 0, 1000, NOW_US, &verdict),
                            ADM_ADMITTED);
          adm_finish (adm, id, 20, NOW_US + CLK_S_US / 2);
        }
      const struct adm_request request = {
        .id = id + 1,
        .tokens = 1000,
        .deadline_us = NOW_US + c->age_us + c->left_us,
      };
      enum adm_decision decision
          = adm_arrive (adm, &request, NOW_US + c->age_us, &verdict);
      if (decision != c->want
          || (decision == ADM_REFUSED
              && verdict.error != ERR_DEADLINE_UNMEETABLE))
        {
          fail_msg ("%s: decision %d, error %s", c->name, decision,
                    err_info (verdict.error)->name);
        }
      adm_destroy (adm);
      cfg_config_destroy (config);
    }
}

/* Refusals because of streams under way don't change what is known of those
   that have ended.  */
static void
refusals_for_streams_under_way_keep_the_estimate (void **state)
{
  (void)state;
  const uint32_t under_way = 20;
  struct cfg_config *config = build_config (PLENTY, PLENTY, PLENTY, 1000);
  struct adm *adm = start (config, 1, 2000.0);
  struct adm_verdict verdict;
  for (int j = 0; j < 64; j++)
    {
      adm_observe_token_interval (adm, 39 * CLK_MS_US);
    }
  for (uint64_t id = 0; id <= under_way; id++)
    {
      assert_int_equal (arrive (adm, id, 0, 1000, NOW_US, &verdict),
                        ADM_ADMITTED);
    }
  adm_finish (adm, 0, 100, NOW_US);
  int64_t later_us = NOW_US + 20 * CLK_S_US;
  struct adm_request request = { .id = under_way + 1, .tokens = 1000 };
  for (uint32_t j = 0; j < 200; j++)
    {
      request.deadline_us = later_us + 6 * CLK_S_US;
      assert_int_equal (adm_arrive (adm, &request, later_us, &verdict),
                        ADM_REFUSED);
    }
  for (uint64_t id = 1; id <= under_way; id++)
    {
      adm_finish (adm, id, 0, later_us);
    }
  request.deadline_us = later_us + 3 * CLK_S_US; /* 3.9 s are expected */
  assert_int_equal (adm_arrive (adm, &request, later_us, &verdict),
                    ADM_REFUSED);
  adm_destroy (adm);
  cfg_config_destroy (config);
}

/* Simulation of a fleet: running streams share the engines' token rate,
   prioritized streams before the others, and no stream is faster than on an
   unloaded fleet. */
#define MODEL_TOKENS_PER_S 2000.0
#define MODEL_UNLOADED_US (15 * CLK_MS_US)
#define MODEL_TICK_US (10 * CLK_MS_US)
#define MODEL_TOKENS 100
#define MODEL_DEADLINE_US (15 * CLK_S_US)
#define MODEL_WARM_UP_US (20 * CLK_S_US)
#define MODEL_END_US (120 * CLK_S_US)

struct model_stream
{
  uint64_t id;
  uint32_t account;
  bool started;
  bool deprioritized; /* lower engine priority than prioritized streams */
  double tokens;      /* generated so far */
  int64_t arrived_us;
};

struct model
{
  struct adm *adm;
  GRand *rand;
  GPtrArray *streams;
  double goodput;    /* tokens per second of streams that met their deadline */
  uint32_t late;     /* streams that missed it */
  uint32_t finished; /* streams */
  GArray *latencies; /* double, in us, of account 1 */
};

/* Returns a random number of a Poisson distribution with a small MEAN.  */
static uint32_t
random_poisson (GRand *rand, double mean)
{
  double limit = exp (-mean);
  double product = g_rand_double (rand);
  uint32_t count = 0;
  while (product > limit)
    {
      product *= g_rand_double (rand);
      count++;
    }
  return count;
}

static struct model_stream *
model_find (const struct model *model, uint64_t id)
{
  for (guint i = 0; i < model->streams->len; i++)
    {
      struct model_stream *stream = g_ptr_array_index (model->streams, i);
      if (stream->id == id)
        {
          return stream;
        }
    }
  return NULL;
}

static void
model_start (struct model_stream *stream, const struct adm_verdict *verdict)
{
  stream->started = true;
  stream->deprioritized = verdict->step_priority >= FQ_PRIORITIES;
}

static void
model_arrive (struct model *model, uint32_t account, uint64_t id,
              int64_t now_us)
{
  const struct adm_request request = {
    .id = id,
    .account = account,
    .tokens = MODEL_TOKENS,
    .deadline_us = now_us + MODEL_DEADLINE_US,
  };
  struct adm_verdict verdict;
  enum adm_decision decision
      = adm_arrive (model->adm, &request, now_us, &verdict);
  if (decision == ADM_REFUSED)
    {
      assert_true (verdict.retry_after_s >= 1);
      return;
    }
  struct model_stream *stream = g_new0 (struct model_stream, 1);
  stream->id = id;
  stream->account = account;
  stream->arrived_us = now_us;
  g_ptr_array_add (model->streams, stream);
  if (decision == ADM_ADMITTED)
    {
      model_start (stream, &verdict);
    }
}

static void
model_process_queue (struct model *model, int64_t now_us)
{
  uint64_t id;
  struct adm_verdict verdict;
  enum adm_decision decision;
  while ((decision = adm_next (model->adm, now_us, &id, &verdict))
         != ADM_NOTHING)
    {
      struct model_stream *stream = model_find (model, id);
      if (decision == ADM_ADMITTED)
        {
          model_start (stream, &verdict);
        }
      else
        {
          g_ptr_array_remove (model->streams, stream);
        }
    }
}

static void
model_finish (struct model *model, struct model_stream *stream, int64_t now_us)
{
  int64_t latency_us = now_us - stream->arrived_us;
  if (now_us > NOW_US + MODEL_WARM_UP_US)
    {
      model->finished++;
      model->late += latency_us > MODEL_DEADLINE_US;
      model->goodput += latency_us <= MODEL_DEADLINE_US ? MODEL_TOKENS : 0;
      if (stream->account == 1)
        {
          double latency = (double)latency_us;
          g_array_append_val (model->latencies, latency);
        }
    }
  adm_finish (model->adm, stream->id, MODEL_TOKENS, now_us);
}

/* Generates the tokens of one tick and finishes the streams that are
   complete.  */
static void
model_run_tick (struct model *model, int64_t now_us)
{
  uint32_t count[2] = { 0 };
  double tokens_per_stream[2];
  double stream_max = (double)MODEL_TICK_US / MODEL_UNLOADED_US;
  double tokens_left = MODEL_TOKENS_PER_S * MODEL_TICK_US / CLK_S_US;
  for (guint i = 0; i < model->streams->len; i++)
    {
      const struct model_stream *stream
          = g_ptr_array_index (model->streams, i);
      count[stream->deprioritized] += stream->started;
    }
  for (int i = 0; i < 2; i++)
    {
      tokens_per_stream[i] = MIN (stream_max, tokens_left / MAX (count[i], 1));
      tokens_left -= tokens_per_stream[i] * count[i];
    }
  for (guint i = model->streams->len; i > 0; i--)
    {
      struct model_stream *stream = g_ptr_array_index (model->streams, i - 1);
      if (!stream->started)
        {
          continue;
        }
      double before = stream->tokens;
      stream->tokens += tokens_per_stream[stream->deprioritized];
      if (floor (stream->tokens) > floor (before))
        {
          adm_observe_token_interval (
              model->adm,
              (int64_t)(MODEL_TICK_US
                        / tokens_per_stream[stream->deprioritized]));
        }
      if (stream->tokens >= MODEL_TOKENS)
        {
          model_finish (model, stream, now_us);
          g_ptr_array_remove_index (model->streams, i - 1);
        }
    }
}

/* Simulates accounts that each offer RATES streams per second.  The results
   are in MODEL; the caller frees its latencies.  */
static void
run_model (struct model *model, const double *rates, uint32_t seed)
{
  struct cfg_config *config = build_config (PLENTY, PLENTY * 100, PLENTY, 256);
  *model = (struct model){
    .adm = start (config, 1, MODEL_TOKENS_PER_S),
    .rand = g_rand_new_with_seed (seed),
    .streams = g_ptr_array_new_with_free_func (g_free),
    .latencies = g_array_new (FALSE, FALSE, sizeof (double)),
  };
  uint64_t id = 0;
  for (int64_t now_us = NOW_US; now_us < NOW_US + MODEL_END_US;
       now_us += MODEL_TICK_US)
    {
      for (uint32_t i = 0; i < ACCOUNTS; i++)
        {
          double mean = rates[i] * MODEL_TICK_US / CLK_S_US;
          for (uint32_t j = random_poisson (model->rand, mean); j > 0; j--)
            {
              model_arrive (model, i, ++id, now_us);
            }
        }
      model_run_tick (model, now_us);
      model_process_queue (model, now_us);
    }
  model->goodput /= (double)(MODEL_END_US - MODEL_WARM_UP_US) / CLK_S_US;
  g_ptr_array_free (model->streams, TRUE);
  g_rand_free (model->rand);
  adm_destroy (model->adm);
  cfg_config_destroy (config);
}

/* Returns the goodput in tokens per second at LOAD, a multiple of the
   capacity, and adds the finished and late streams to FINISHED and LATE.  */
static double
goodput_at (double load, uint32_t seed, uint32_t *finished, uint32_t *late)
{
  double all = MODEL_TOKENS_PER_S / MODEL_TOKENS * load;
  double rates[ACCOUNTS] = { all * 0.4, all * 0.3, all * 0.2, all * 0.1 };
  struct model model;
  run_model (&model, rates, seed);
  g_array_free (model.latencies, TRUE);
  *finished += model.finished;
  *late += model.late;
  return model.goodput;
}

/* At three times the fleet's capacity, the goodput stays within 5 % of its
   peak, and less than 1 % of the admitted streams miss their deadline.  */
static void
goodput_stays_at_peak_under_overload (void **state)
{
  (void)state;
  static const double loads[] = { 0.6, 0.8, 0.9, 1.0, 1.1, 1.5, 2.0 };
  for (uint32_t seed = 1; seed <= 3; seed++)
    {
      double peak = 0.0;
      uint32_t late = 0;
      uint32_t finished = 0;
      for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
        {
          peak = MAX (peak, goodput_at (loads[i], seed, &finished, &late));
        }
      double overloaded = goodput_at (3.0, seed, &finished, &late);
      print_message ("seed %u: peak %.0f, at 3x %.0f tokens/s, late %u\n",
                     seed, peak, overloaded, late);
      assert_true (peak >= 0.9 * MODEL_TOKENS_PER_S);
      assert_true (overloaded >= 0.95 * peak);
      assert_true (late * 100 < finished);
    }
}

static int
compare_doubles (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;
  return a < b ? -1 : a > b;
}

/* Returns the 95th percentile of account 1's latency in microseconds, while
   account 0 offers LARGE_RATE streams per second.  */
static double
small_account_latency (double large_rate, uint32_t seed)
{
  double rates[ACCOUNTS] = { large_rate, 1.0, 1.0, 1.0 };
  struct model model;
  run_model (&model, rates, seed);
  GArray *latencies = model.latencies;
  assert_true (latencies->len > 50);
  qsort (latencies->data, latencies->len, sizeof (double), compare_doubles);
  double p95 = g_array_index (latencies, double, latencies->len * 95 / 100);
  g_array_free (latencies, TRUE);
  return p95;
}

/* An account that offers ten times its share of the fleet raises the latency
   of other accounts to at most 1.2 times the latency without that account.  */
static void
large_account_does_not_slow_small_ones (void **state)
{
  (void)state;
  double share = MODEL_TOKENS_PER_S / MODEL_TOKENS / ACCOUNTS;
  for (uint32_t seed = 1; seed <= 3; seed++)
    {
      double alone = small_account_latency (0.0, seed);
      double beside = small_account_latency (10.0 * share, seed);
      print_message ("seed %u: alone %.0f us, beside %.0f us\n", seed, alone,
                     beside);
      assert_true (beside <= 1.2 * alone);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (limits_are_enforced_with_retry_after),
    cmocka_unit_test (retry_after_the_given_wait_is_admitted),
    cmocka_unit_test (shares_follow_demand),
    cmocka_unit_test (full_queue_evicts_from_the_longest_backlog),
    cmocka_unit_test (unmeetable_deadlines_are_refused_at_once),
    cmocka_unit_test (queued_request_is_refused_before_its_deadline),
    cmocka_unit_test (finish_and_cancel_release_the_limits),
    cmocka_unit_test (retries_and_hedges_stay_within_budgets),
    cmocka_unit_test (two_faults_allow_a_retry_of_every_stream),
    cmocka_unit_test (retry_budget_shrinks_with_the_streams),
    cmocka_unit_test (bucket_shrinks_as_it_refills),
    cmocka_unit_test (changes_of_depth_grant_no_more_than_the_refill),
    cmocka_unit_test (fair_queue_serves_by_weight_and_priority),
    cmocka_unit_test (stream_limit_follows_real_capacity),
    cmocka_unit_test (stream_length_estimate_follows_observations),
    cmocka_unit_test (streams_under_way_count_as_lower_bounds),
    cmocka_unit_test (refusals_for_streams_under_way_keep_the_estimate),
    cmocka_unit_test (goodput_stays_at_peak_under_overload),
    cmocka_unit_test (large_account_does_not_slow_small_ones),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
