/* Tests of telling a daemon that is cut off from dead endpoints, and of
   choosing the neighbour that a request is passed on to. */
#include "core/reach.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define MS INT64_C (1000)

/* A call that was sent and that ended at these times, in milliseconds. */
struct call
{
  char endpoint; /* '\0': the end of the list */
  bool answered;
  int64_t sent_ms;
  int64_t ended_ms;
};

static const struct
{
  const char *name;
  struct call calls[8];
  uint32_t endpoints;
  bool is_cut_off;
} cases[] = {
  { "nothing was called", { { 0 } }, 9, false },
  { "several fail",
    { { 'a', false, 10, 400 },
      { 'b', false, 20, 410 },
      { 'c', false, 30, 420 } },
    9,
    true },
  { "one falls silent",
    { { 'a', false, 10, 400 },
      { 'a', false, 20, 410 },
      { 'a', false, 30, 420 } },
    9,
    false },
  { "another one answers meanwhile",
    { { 'a', false, 10, 400 },
      { 'b', false, 20, 410 },
      { 'd', true, 200, 205 },
      { 'c', false, 30, 420 } },
    9,
    false },
  { "an answer to an earlier call arrives",
    { { 'a', false, 10, 400 },
      { 'b', false, 20, 410 },
      { 'c', false, 30, 420 },
      { 'd', true, 5, 430 } },
    9,
    true },
  { "a single answer to a later call arrives",
    { { 'a', false, 10, 400 },
      { 'b', false, 20, 410 },
      { 'c', false, 30, 420 },
      { 'a', true, 500, 505 } },
    9,
    true },
  { "both of two fail",
    { { 'a', false, 10, 400 }, { 'b', false, 20, 410 } },
    2,
    true },
  { "a single one fails", { { 'a', false, 10, 400 } }, 1, false },
};

static void
test_calls (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct rch_reach reach = { 0 };
      for (const struct call *call = cases[i].calls; call->endpoint != '\0';
           call++)
        {
          if (call->answered)
            {
              rch_report_answer (&reach, call->sent_ms * MS);
            }
          else
            {
              rch_report_failure (&reach, cases[i].endpoints,
                                  (uint64_t)call->endpoint, call->sent_ms * MS,
                                  call->ended_ms * MS);
            }
        }
      if (reach.cut_off != cases[i].is_cut_off)
        {
          fail_msg ("%s", cases[i].name);
        }
    }
}

/* Rounds of probes: how many endpoints have failed before, and how the round
   changes the state.  */
static void
test_rounds (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    uint32_t failed;
    uint32_t probes;
    uint32_t answers;
    bool before;
    bool after;
  } rounds[] = {
    { "one is dead, the others answer", 1, 3, 3, false, false },
    { "one is dead, few of the others answer", 1, 3, 1, false, false },
    { "no other one answers", 1, 3, 0, false, true },
    { "a single other one doesn't answer", 1, 1, 0, false, false },
    { "the cut goes on", 3, 3, 0, true, true },
    { "one way is left", 3, 3, 1, true, true },
    { "most ways are back", 3, 3, 2, true, false },
    { "all ways are back", 3, 3, 3, true, false },
    { "one of two is back", 3, 2, 1, true, false },
    { "nothing could be asked", 3, 0, 0, true, true },
  };
  for (size_t i = 0; i < sizeof rounds / sizeof rounds[0]; i++)
    {
      struct rch_reach reach = { 0 };
      for (uint64_t j = 0; j < rounds[i].failed; j++)
        {
          rch_report_failure (&reach, 9, j, 10 * MS, 400 * MS);
        }
      if (reach.cut_off != rounds[i].before
          || !rch_begin_round (&reach, 400 * MS))
        {
          fail_msg ("before: %s", rounds[i].name);
        }
      rch_end_round (&reach, rounds[i].probes, rounds[i].answers, 400 * MS,
                     800 * MS);
      if (reach.cut_off != rounds[i].after)
        {
          fail_msg ("after: %s", rounds[i].name);
        }
    }
}

/* Rounds begin with a failure and at intervals during a cut, and a daemon
   isn't ready once that lasts longer than an endpoint may be silent.  */
static void
test_time (void **state)
{
  (void)state;
  struct rch_reach reach = { 0 };
  int64_t now_us = 10000 * MS;
  assert_false (rch_begin_round (&reach, now_us));
  for (uint64_t i = 0; i < RCH_ENDPOINTS_MIN; i++)
    {
      rch_report_failure (&reach, 9, i, now_us - 1, now_us);
    }
  assert_true (reach.since_us == now_us - 1);
  assert_true (rch_begin_round (&reach, now_us));
  assert_false (rch_begin_round (&reach, now_us + RCH_PROBE_US - 1));
  assert_true (rch_begin_round (&reach, now_us + RCH_PROBE_US));
  assert_true (rch_is_ready (&reach, now_us));
  now_us += RCH_READY_DELAY_US;
  assert_false (rch_is_ready (&reach, now_us));
  /* Endpoints that no neighbour reaches either may be dead. */
  struct rch_standing standing = { 0 };
  rch_report_neighbour (&reach, &standing, false, now_us);
  assert_true (rch_is_ready (&reach, now_us));
  rch_report_neighbour (&reach, &standing, true, now_us);
  assert_false (rch_is_ready (&reach, now_us));
  rch_end_round (&reach, 3, 3, now_us, now_us);
  assert_true (rch_is_ready (&reach, now_us));
  assert_false (rch_begin_round (&reach, now_us + RCH_PROBE_US));
}

static void
test_neighbours (void **state)
{
  (void)state;
  static const struct
  {
    struct rch_neighbour neighbours[4];
    uint32_t count;
    uint32_t tie;
    int32_t chosen;
  } choices[] = {
    { { { 0 } }, 0, 7, -1 },
    { { { true, false, false, 3 }, { true, false, false, 1 } }, 2, 0, 1 },
    { { { true, false, false, 1 }, { true, false, false, 1 } }, 2, 1, 1 },
    { { { true, true, false, 0 }, { true, false, false, 5 } }, 2, 0, 1 },
    { { { false, false, false, 0 }, { true, false, false, 5 } }, 2, 0, 1 },
    { { { false, false, false, 0 }, { true, true, false, 5 } }, 2, 0, -1 },
    { { { true, false, false, 2 }, { true, false, false, 1 } },
      2,
      UINT32_MAX,
      1 },
    /* One that serves is preferred, but not however busy it is. */
    { { { true, false, false, 0 }, { true, false, true, 1 } }, 2, 0, 1 },
    { { { true, false, false, 0 }, { true, false, true, 2 } }, 2, 0, 0 },
  };
  for (size_t i = 0; i < sizeof choices / sizeof choices[0]; i++)
    {
      assert_int_equal (rch_choose_neighbour (choices[i].neighbours,
                                              choices[i].count,
                                              choices[i].tie),
                        choices[i].chosen);
    }
}

/* A neighbour that refuses isn't asked for a time that grows, until it has
   served a request.  */
static void
test_standing (void **state)
{
  (void)state;
  struct rch_reach reach = { 0 };
  struct rch_standing standing = { 0 };
  int64_t last_us = 0;
  for (uint32_t i = 0; i < 8; i++)
    {
      rch_report_neighbour (&reach, &standing, false, 100 * MS);
      int64_t pause_us = standing.refused_until_us - 100 * MS;
      assert_true (pause_us > last_us || (i > 3 && pause_us == last_us));
      last_us = pause_us;
    }
  assert_true (last_us < 10000 * MS);
  rch_report_neighbour (&reach, &standing, true, 200 * MS);
  assert_true (standing.serves && standing.refused_until_us == 0);
  rch_report_neighbour (&reach, &standing, false, 300 * MS);
  assert_false (standing.serves);
  assert_true (standing.refused_until_us - 300 * MS < last_us);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_calls),    cmocka_unit_test (test_rounds),
    cmocka_unit_test (test_time),     cmocka_unit_test (test_neighbours),
    cmocka_unit_test (test_standing),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
