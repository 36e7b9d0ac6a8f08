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
  { "an answer to a later call arrives",
    { { 'a', false, 10, 400 },
      { 'b', false, 20, 410 },
      { 'c', false, 30, 420 },
      { 'a', true, 500, 505 } },
    9,
    false },
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
              rch_report_failure (&reach, (uint64_t)call->endpoint,
                                  call->sent_ms * MS, call->ended_ms * MS);
            }
        }
      if (rch_is_cut_off (&reach, cases[i].endpoints) != cases[i].is_cut_off)
        {
          fail_msg ("%s", cases[i].name);
        }
    }
}

/* A daemon that is cut off tries its own way at intervals, and isn't ready
   once that lasts longer than an endpoint may be silent.  */
static void
test_time (void **state)
{
  (void)state;
  struct rch_reach reach = { 0 };
  int64_t now_us = 10000 * MS;
  for (uint64_t i = 0; i < RCH_ENDPOINTS_MIN; i++)
    {
      rch_report_failure (&reach, i, now_us - 1, now_us);
    }
  assert_false (rch_take_probe (&reach, now_us));
  assert_true (rch_take_probe (&reach, now_us + RCH_PROBE_US));
  assert_false (rch_take_probe (&reach, now_us + RCH_PROBE_US + 1));
  assert_true (rch_is_ready (&reach, 9, now_us));
  now_us += RCH_READY_DELAY_US;
  assert_false (rch_is_ready (&reach, 9, now_us));
  rch_report_answer (&reach, now_us);
  assert_true (rch_is_ready (&reach, 9, now_us));
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
    { { { true, false, 3 }, { true, false, 1 } }, 2, 0, 1 },
    { { { true, false, 1 }, { true, false, 1 } }, 2, 1, 1 },
    { { { true, true, 0 }, { true, false, 5 } }, 2, 0, 1 },
    { { { false, false, 0 }, { true, false, 5 } }, 2, 0, 1 },
    { { { false, false, 0 }, { true, true, 5 } }, 2, 0, -1 },
    { { { true, false, 2 }, { true, false, 1 } }, 2, UINT32_MAX, 1 },
  };
  for (size_t i = 0; i < sizeof choices / sizeof choices[0]; i++)
    {
      assert_int_equal (rch_choose_neighbour (choices[i].neighbours,
                                              choices[i].count,
                                              choices[i].tie),
                        choices[i].chosen);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_calls),
    cmocka_unit_test (test_time),
    cmocka_unit_test (test_neighbours),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
