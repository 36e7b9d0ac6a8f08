/* Tests of how daemons follow the topics of the store.  Plays the chain from
   the store over a relay to a reader, under bounds drawn at random, and checks
   that the reader acts on every change within the bound, whatever happens to
   the relay, and that a sound relay is never left.  */
#include "core/refresh.h"
#include "core/roster.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define MS INT64_C (1000)
#define S INT64_C (1000000)

#define DEPLOYMENTS 300
#define CHANGES 20
#define TICK_US (5 * MS)

/* The longest time that a store call, or an answer of a relay, takes. */
#define STORE_CALL_US (60 * MS)
#define RELAY_HOP_US (30 * MS)

/* Random part of a pause after a failed call. */
#define RETRY_JITTER_US (150 * MS)

/* What happens to the relay when the change is stored. */
enum relay_fate
{
  FATE_SOUND,
  FATE_KILLED, /* calls fail at once */
  FATE_SILENT, /* calls aren't answered */
  FATE_CUT_OFF /* from the store; answers with its old proof */
};

/* A reader, its relay and the store. */
struct chain
{
  const struct rfs_topic *plan;
  int64_t now_us;
  int64_t change_us;      /* when the change is stored */
  enum relay_fate fate;   /* from then on */
  int64_t relay_proof_us; /* newest proof of the relay */
  int64_t relay_next_us;  /* when the relay gets its next one */
  int64_t proof_us;       /* newest proof of the reader */
  uint32_t store_calls;   /* of the reader */
};

/* Moves the relay on: each of its reads takes the wait and the interval, and a
   call.  */
static void
step_relay (struct chain *chain)
{
  bool sound = chain->fate == FATE_SOUND || chain->now_us < chain->change_us;
  if (!sound || chain->now_us < chain->relay_next_us)
    {
      return;
    }
  /* The proof is the time at which the call was sent. */
  int64_t period_us = chain->plan->relay_wait_us + STORE_CALL_US;
  chain->relay_proof_us = chain->now_us - period_us;
  chain->relay_next_us = chain->now_us + chain->plan->interval_us + period_us;
}

/* Returns the proof that the relay passes on now, or -1 if it doesn't
   answer.  */
static int64_t
relayed_proof (const struct chain *chain)
{
  bool reachable = chain->now_us < chain->change_us
                   || chain->fate == FATE_SOUND || chain->fate == FATE_CUT_OFF;
  return reachable ? chain->relay_proof_us - RELAY_HOP_US : -1;
}

/* Returns the time at which the reader has a proof that includes the change,
   from the start at time 0 on.  */
static int64_t
play (struct chain *chain)
{
  int64_t limit_us = chain->change_us + 100 * S;
  bool relay_failed = false;
  while (chain->proof_us < chain->change_us && chain->now_us < limit_us)
    {
      chain->now_us += TICK_US;
      step_relay (chain);
      int64_t relayed_us = relayed_proof (chain);
      const struct rfs_situation situation = {
        .proof_age_us = chain->now_us - chain->proof_us,
        .prefers_relays = true,
        .has_relays = true,
        .relay_failed = relay_failed,
      };
      struct rfs_call call = rfs_next_call (chain->plan, &situation);
      if (!call.to_relay)
        {
          chain->store_calls++;
          chain->now_us += STORE_CALL_US;
          chain->proof_us = chain->now_us - STORE_CALL_US;
        }
      else
        {
          assert_true (call.wait_us <= chain->plan->age_max_us);
          relay_failed = relayed_us < 0;
          chain->proof_us = MAX (chain->proof_us, relayed_us);
        }
    }
  return chain->now_us;
}

/* Draws the bounds of a deployment: from half to ten times the smallest that
   the platform has stated: 2 s, 2 s and 5 s.  */
static struct rfs_bounds
draw_bounds (GRand *random)
{
  return (struct rfs_bounds){
    .drain_us = (int64_t)(g_rand_double_range (random, 1, 20) * S),
    .config_us = (int64_t)(g_rand_double_range (random, 1, 20) * S),
    .revoke_us = (int64_t)(g_rand_double_range (random, 2.5, 50) * S),
    .settle_us = (int64_t)(g_rand_double_range (random, 1.5, 30) * S),
  };
}

/* Plays changes of a topic with BOUND_US under each fate of the relay.  */
static void
check_topic (GRand *random, const struct rfs_topic *plan, int64_t bound_us)
{
  for (uint32_t i = 0; i < CHANGES; i++)
    {
      struct chain chain = {
        .plan = plan,
        .fate = (enum relay_fate) (i % (FATE_CUT_OFF + 1)),
        .change_us = g_rand_int_range (random, 2 * S, 60 * S),
      };
      int64_t known_us = play (&chain);
      if (known_us > chain.change_us + bound_us)
        {
          fail_msg ("fate %d: a change takes %ld ms of %ld ms", chain.fate,
                    (long)((known_us - chain.change_us) / MS),
                    (long)(bound_us / MS));
        }
      if (chain.fate == FATE_SOUND && chain.store_calls > 1)
        {
          fail_msg ("the reader left a sound relay %u times; age limit %ld ms",
                    chain.store_calls, (long)(plan->age_max_us / MS));
        }
    }
}

/* The list of endpoints and the configuration are current within their bounds
   at a reader, for any bounds.  Guards against ages and intervals that are
   constants: on a site whose list was read each 2 s, relays were left for
   proofs over 1.6 s old, and every daemon read the store itself.  */
static void
changes_arrive_within_any_bounds (void **state)
{
  (void)state;
  GRand *random = g_rand_new_with_seed (295);
  for (uint32_t i = 0; i < DEPLOYMENTS; i++)
    {
      struct rfs_bounds bounds = draw_bounds (random);
      struct rfs_topic plan;
      rfs_plan_list (&bounds, &plan);
      check_topic (random, &plan, bounds.drain_us);
      /* The end of an outage is noticed in time for the list to name running
         endpoints again before removals take effect, where that can be. */
      assert_true (plan.probe_us + RST_RELIST_US + RST_REMOVAL_MARGIN_US
                       <= bounds.settle_us
                   || bounds.settle_us < 5 * S / 2);
      assert_true (plan.probe_us >= S / 4);
      rfs_plan_config (&bounds, &plan);
      check_topic (random, &plan, bounds.config_us);
      /* A key is rejected in time, and is still served for half of the bound
         after the store is lost: a proof is never older than the rest. */
      assert_true (plan.age_max_us + STORE_CALL_US < bounds.revoke_us / 2);
      assert_true (2 * plan.wait_us < bounds.revoke_us / 2);
      /* A change right after an outage is in force in time, although the call
         in progress gets no answer: the pause counts from its sending. */
      int64_t cycle_us = MAX (plan.answer_timeout_max_us,
                              plan.retry_max_us + RETRY_JITTER_US);
      assert_true (cycle_us + STORE_CALL_US < bounds.config_us * 9 / 10);
    }
  g_rand_free (random);
}

/* Rows of rfs_next_call, for a topic with an age limit of 1.5 s. */
static const struct
{
  const char *name;
  struct rfs_situation situation;
  bool to_relay;
  int64_t wait_us;
} calls[] = {
  { "a reader of relays",
    { .proof_age_us = S, .prefers_relays = true, .has_relays = true },
    true,
    S / 2 },
  { "its proof has reached the age limit",
    { .proof_age_us = 2 * S, .prefers_relays = true, .has_relays = true },
    false,
    0 },
  { "and the store fails: the relay waits for it",
    { .proof_age_us = 2 * S,
      .prefers_relays = true,
      .has_relays = true,
      .store_failed = true },
    true,
    3 * S / 2 },
  { "both fail",
    { .proof_age_us = 2 * S,
      .prefers_relays = true,
      .has_relays = true,
      .store_failed = true,
      .relay_failed = true },
    false,
    3 * S / 2 },
  { "one relay failed: another one is asked",
    { .proof_age_us = S,
      .prefers_relays = true,
      .has_relays = true,
      .relay_failed = true },
    true,
    S / 2 },
  { "no relay is known",
    { .proof_age_us = S, .prefers_relays = true },
    false,
    S / 2 },
  { "a small fleet reads the store",
    { .proof_age_us = S, .has_relays = true },
    false,
    S / 2 },
  { "a small fleet while the store fails",
    { .proof_age_us = S, .has_relays = true, .store_failed = true },
    true,
    S / 2 },
  { "a snapshot is needed",
    { .proof_age_us = S,
      .prefers_relays = true,
      .has_relays = true,
      .needs_snapshot = true },
    false,
    S / 2 },
};

static void
next_call_fits_the_situation (void **state)
{
  (void)state;
  const struct rfs_topic plan = { .age_max_us = 3 * S / 2 };
  for (size_t i = 0; i < G_N_ELEMENTS (calls); i++)
    {
      struct rfs_call call = rfs_next_call (&plan, &calls[i].situation);
      if (call.to_relay != calls[i].to_relay
          || call.wait_us != calls[i].wait_us)
        {
          fail_msg ("%s: to_relay %d, wait %ld", calls[i].name, call.to_relay,
                    (long)call.wait_us);
        }
    }
}

/* Who is a member of the group: a fleet of hundreds must not renew hundreds of
   memberships, and one whose members are all lost must get new ones. */
static const struct
{
  const char *name;
  struct rfs_part part;
  bool member;
} parts[] = {
  { "a relay", { .is_relay = true }, true },
  { "a daemon that knows of no relay", { .relayless_us = INT64_MAX }, true },
  { "a daemon of a full group",
    { .has_hint = true, .relay_partitions = 1, .relay_readers = 98 },
    false },
  { "six daemons of whom three are relays",
    { .has_hint = true,
      .relay_partitions = 5,
      .relay_readers = 1,
      .chance = 0.99 },
    true },
  { "one of a hundred that the group needs",
    { .has_hint = true,
      .relay_partitions = 3,
      .relay_readers = 100,
      .chance = 0.019 },
    true },
  { "another one",
    { .has_hint = true,
      .relay_partitions = 3,
      .relay_readers = 100,
      .chance = 0.021 },
    false },
  { "an old hint", { .relay_partitions = 5, .relay_readers = 1 }, false },
  { "a new member", { .is_member = true, .idle_us = 4 * S }, true },
  { "an owner of a partition", { .is_member = true }, true },
  { "a member without a partition",
    { .is_member = true, .idle_us = 6 * S },
    false },
  { "the relays fail for a moment", { .relayless_us = S }, false },
  { "all relays are lost", { .relayless_us = 2 * S + 1 }, true },
};

static void
few_daemons_are_members (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (parts); i++)
    {
      if (rfs_needs_membership (&parts[i].part, 6 * S, 2 * S)
          != parts[i].member)
        {
          fail_msg ("%s", parts[i].name);
        }
    }
}

/* Whether a fleet is crowded, of 32 partitions.  Guards against small numbers
   of members in a large fleet: an owner of two partitions read the store for
   itself, and so did relays too rarely for their readers. */
static const struct
{
  const char *name;
  struct rfs_crowd crowd;
  bool crowded;
} crowds[] = {
  { "no relay is known", { .was_crowded = true }, false },
  { "nothing is known yet", { .was_crowded = true, .relays = 3 }, true },
  { "295 daemons",
    { .has_hint = true, .relay_readers = 98, .relays = 3 },
    true },
  { "six daemons",
    { .was_crowded = true, .has_hint = true, .relay_readers = 1, .relays = 3 },
    false },
  { "an owner of one partition in a fleet that has grown",
    { .is_member = true, .owned_partitions = 1, .relays = 3 },
    true },
  { "an owner of two partitions in a large fleet",
    { .was_crowded = true,
      .is_member = true,
      .owned_partitions = 2,
      .relays = 3 },
    true },
  { "a small fleet",
    { .is_member = true, .owned_partitions = 5, .relays = 3 },
    false },
};

static void
large_fleets_are_recognised (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (crowds); i++)
    {
      struct rfs_crowd crowd = crowds[i].crowd;
      crowd.partitions = 32;
      if (rfs_is_crowded (&crowd) != crowds[i].crowded)
        {
          fail_msg ("%s", crowds[i].name);
        }
    }
}

/* A membership outlives two lost renewals, and the lead ends before it does,
   whatever the store's lower bound is.  */
static void
memberships_outlive_lost_renewals (void **state)
{
  (void)state;
  static const int64_t minima_us[] = { 0, S, 2500 * MS, 6 * S, 40 * S };
  for (size_t i = 0; i < G_N_ELEMENTS (minima_us); i++)
    {
      struct rfs_membership plan;
      rfs_plan_membership (minima_us[i], &plan);
      assert_true (plan.lifetime_us >= minima_us[i]);
      int64_t renewal_us = plan.renew_interval_us + plan.retry_interval_us;
      int64_t failure_us = plan.timeout_us + 2 * plan.retry_interval_us;
      assert_true (renewal_us + failure_us + plan.margin_us
                   < plan.lifetime_us);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (changes_arrive_within_any_bounds),
    cmocka_unit_test (next_call_fits_the_situation),
    cmocka_unit_test (few_daemons_are_members),
    cmocka_unit_test (large_fleets_are_recognised),
    cmocka_unit_test (memberships_outlive_lost_renewals),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
