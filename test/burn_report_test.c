/* Tests of the report on error budgets: what counts as good or bad, and when
   an objective is reported as sliding, burning or exhausted. */
#include "burn_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

struct outcome_case
{
  enum brn_work work;
  enum err_kind error;
  int64_t first_token_us;
  int64_t between_tokens_us;
  int64_t settled_us;
  int64_t total[BRN_OBJECTIVE_COUNT];
  int64_t bad[BRN_OBJECTIVE_COUNT];
};

/* Totals and bad counts are in the order of enum brn_objective: availability,
   first token, between tokens, settled. */
static const struct outcome_case outcome_cases[] = {
  { BRN_DRAFT, ERR_NONE, 660000, 39000, -1, { 1, 1, 1, 0 }, { 0 } },
  { BRN_DRAFT, ERR_NONE, 660001, 39001, -1, { 1, 1, 1, 0 }, { 0, 1, 1, 0 } },
  { BRN_DRAFT, ERR_NO_CAPACITY, -1, -1, -1, { 1 }, { 1 } },
  { BRN_DRAFT, ERR_ENDPOINT_FAILED, 1, -1, -1, { 1, 1 }, { 1, 0 } },
  { BRN_DRAFT, ERR_BAD_REQUEST, -1, -1, -1, { 0 }, { 0 } },
  { BRN_DRAFT, ERR_RATE_LIMITED, -1, -1, -1, { 0 }, { 0 } },
  { BRN_DRAFT, ERR_CALLER_GONE, 5, 5, -1, { 0 }, { 0 } },
  { BRN_KEYED, ERR_NONE, -1, -1, 2000000, { 1, 0, 0, 1 }, { 0 } },
  { BRN_KEYED, ERR_NONE, -1, -1, 2000001, { 1, 0, 0, 1 }, { 0, 0, 0, 1 } },
  { BRN_KEYED, ERR_KEY_UNKNOWN, -1, -1, -1, { 1 }, { 1 } },
  { BRN_KEYED, ERR_KEY_CONFLICT, -1, -1, -1, { 0 }, { 0 } },
  { BRN_LOOKUP, ERR_NONE, 9, 9, 9, { 1 }, { 0 } },
  { BRN_LOOKUP, ERR_ENDPOINT_SILENT, -1, -1, -1, { 1 }, { 1 } },
};

/* A time is bad when it exceeds the objective, and errors of the caller are
   not counted.  */
static void
outcomes_are_counted (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (outcome_cases); i++)
    {
      const struct outcome_case *c = &outcome_cases[i];
      struct brn_state *burn = bfx_create (1);
      struct brn_outcome outcome = bfx_draft_outcome (0, c->error);
      outcome.work = c->work;
      outcome.first_token_us = c->first_token_us;
      outcome.between_tokens_us = c->between_tokens_us;
      outcome.settled_us = c->settled_us;
      brn_observe (burn, &outcome, START_US);
      for (int j = 0; j < BRN_OBJECTIVE_COUNT; j++)
        {
          struct brn_report_line line = bfx_find_line (
              burn, "trust", c->work, (enum brn_objective)j, START_US);
          if (line.total != (uint64_t)c->total[j]
              || line.bad != (uint64_t)c->bad[j])
            {
              fail_msg ("case %zu, objective %d: %d of %d", i, j,
                        (int)line.bad, (int)line.total);
            }
        }
      brn_destroy (burn);
    }
}

struct sliding_case
{
  int days;
  double weekly;  /* relative change a week of the time to the first token */
  double swing;   /* relative increase on the last two days of each week */
  uint32_t noise; /* amplitude in thousandths, uniformly distributed */
  bool sliding;   /* the expected verdict is BRN_SLIDING */
};

static const struct sliding_case sliding_cases[] = {
  { 35, 0.00, 0.0, 100, false },  { 35, 0.02, 0.0, 100, true },
  { 35, 0.02, 0.5, 100, true },   { 35, 0.00, 0.5, 100, false },
  { 35, -0.05, 0.5, 100, false }, { 35, 0.005, 0.0, 20, false },
  { 14, 0.05, 0.0, 100, true },   { 7, 0.50, 0.0, 100, false },
  { 30, 0.03, 0.3, 200, true },
};

/* Counts days of drafts in STATE whose time to the first token changes as in
   C.  */
static void
fill_days (struct brn_state *state, const struct sliding_case *c)
{
  uint32_t seed = 1;
  for (int day = 0; day < c->days; day++)
    {
      double base_us = 300000 * (1 + c->weekly * day / 7);
      base_us *= day % 7 >= 5 ? 1 + c->swing : 1;
      for (int i = 0; i < 40; i++)
        {
          seed = seed * 1664525 + 1013904223;
          double noise
              = ((double)(seed >> 8) / (1 << 24) - 0.5) * 2 * c->noise / 1000;
          struct brn_outcome outcome = bfx_draft_outcome (0, ERR_NONE);
          outcome.first_token_us = (int64_t)(base_us * (1 + noise));
          brn_observe (state, &outcome,
                       START_US + day * DAY_US + i * HOUR_US / 2);
        }
    }
}

/* Counts slower drafts on the current day, which have to stay out of the
   trend: the day is incomplete, and all its requests may be from busy
   hours.  */
static void
fill_today (struct brn_state *state, int64_t now_us)
{
  struct brn_outcome outcome = bfx_draft_outcome (0, ERR_NONE);
  outcome.first_token_us = 650000;
  bfx_observe (state, outcome, now_us, 40);
}

/* A degradation of a few per cent a week is detected while every request still
   meets the objective, and a weekly pattern is not taken for one.  */
static void
slow_degradation_of_times_is_detected (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (sliding_cases); i++)
    {
      const struct sliding_case *c = &sliding_cases[i];
      struct brn_state *burn = bfx_create (1);
      fill_days (burn, c);
      int64_t now_us = START_US + c->days * DAY_US + 60 * SECOND_US;
      fill_today (burn, now_us);
      struct brn_report_line line
          = bfx_find_line (burn, "trust", BRN_DRAFT, BRN_FIRST_TOKEN, now_us);
      bool sliding = line.verdict == BRN_SLIDING;
      double deviation = line.trend.change_weekly - c->weekly;
      if (line.bad != 0 || sliding != c->sliding
          || (line.trend.days > 0
              && (deviation > 4 * line.trend.standard_error + 0.01
                  || deviation < -4 * line.trend.standard_error - 0.01)))
        {
          fail_msg ("case %zu: verdict %s, change %f, error %f, bad %d", i,
                    brn_verdict_name (line.verdict), line.trend.change_weekly,
                    line.trend.standard_error, (int)line.bad);
        }
      brn_destroy (burn);
    }
}

/* A failure rate of keyed calls that grows a little each week is detected
   while budget is left.  */
static void
slow_degradation_of_availability_is_detected (void **state)
{
  (void)state;
  struct brn_state *burn = bfx_create (1);
  for (int day = 0; day < 28; day++)
    {
      int64_t now_us = START_US + day * DAY_US;
      struct brn_outcome good = bfx_draft_outcome (1, ERR_NONE);
      struct brn_outcome bad = bfx_draft_outcome (1, ERR_KEY_UNKNOWN);
      good.work = BRN_KEYED;
      bad.work = BRN_KEYED;
      bfx_observe (burn, good, now_us, 2000);
      bfx_observe (burn, bad, now_us, (uint32_t)day / 2);
    }
  struct brn_report_line line = bfx_find_line (
      burn, "brightwell", BRN_KEYED, BRN_AVAILABILITY, START_US + 28 * DAY_US);
  assert_int_equal (line.verdict, BRN_SLIDING);
  assert_true (line.trend.change_weekly > 0.0015);
  assert_true (line.trend.change_weekly < 0.0020);
  assert_true (line.budget_left > 0);
  brn_destroy (burn);
}

/* An outage of half an hour raises the burn rates over both windows, and its
   most frequent causes are reported.  */
static void
an_outage_is_detected (void **state)
{
  (void)state;
  struct brn_state *burn = bfx_create (1);
  int64_t now_us = START_US;
  for (int hour = 0; hour < 24 * 20; hour++)
    {
      bfx_observe (burn, bfx_draft_outcome (1, ERR_NONE), now_us, 50);
      now_us += HOUR_US;
    }
  struct brn_report_line before = bfx_find_line (burn, "brightwell", BRN_DRAFT,
                                                 BRN_AVAILABILITY, now_us);
  assert_int_equal (before.verdict, BRN_FINE);
  assert_true (before.budget_left == 1);
  struct brn_outcome silent = bfx_draft_outcome (1, ERR_ENDPOINT_SILENT);
  silent.endpoint = "engine-2";
  silent.data_centre = "mandeville-1";
  bfx_observe (burn, silent, now_us, 150);
  bfx_observe (burn, bfx_draft_outcome (1, ERR_NO_CAPACITY), now_us, 50);
  struct brn_report_line line = bfx_find_line (burn, "brightwell", BRN_DRAFT,
                                               BRN_AVAILABILITY, now_us);
  assert_int_equal (line.verdict, BRN_BURNING);
  assert_int_equal (line.bad, 200);
  assert_true (line.short_burn > 75);
  assert_true (line.long_burn > 14 && line.long_burn < 16);
  assert_true (line.budget_left > 0.15 && line.budget_left < 0.20);
  assert_string_equal (line.error.name, "endpoint_silent");
  assert_true (line.error.share == 0.75);
  assert_string_equal (line.endpoint.name, "engine-2");
  assert_string_equal (line.data_centre.name, "mandeville-1");
  bfx_observe (burn, silent, now_us, 100);
  line = bfx_find_line (burn, "brightwell", BRN_DRAFT, BRN_AVAILABILITY,
                        now_us);
  assert_int_equal (line.verdict, BRN_EXHAUSTED);
  brn_destroy (burn);
}

/* Counts leave each window as they grow older.  */
static void
counts_leave_the_windows (void **state)
{
  (void)state;
  struct brn_state *burn = bfx_create (1);
  bfx_observe (burn, bfx_draft_outcome (0, ERR_ENDPOINT_FAILED), START_US, 10);
  static const struct
  {
    int64_t elapsed_us;
    bool in_short; /* counted in the window */
    bool in_long;
    bool in_budget;
  } cases[] = {
    { 0, true, true, true },
    { 11 * BUCKET_US, true, true, true },
    { 12 * BUCKET_US, false, true, true },
    { 23 * HOUR_US, false, true, true },
    { 24 * HOUR_US, false, false, true },
    { 27 * DAY_US, false, false, true },
    { 28 * DAY_US, false, false, false },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      int64_t now_us = START_US + cases[i].elapsed_us;
      struct brn_report_line line
          = bfx_find_line (burn, "trust", BRN_DRAFT, BRN_AVAILABILITY, now_us);
      assert_int_equal (line.short_burn > 0, cases[i].in_short);
      assert_int_equal (line.long_burn > 0, cases[i].in_long);
      assert_int_equal (line.bad > 0, cases[i].in_budget);
    }
  brn_destroy (burn);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (outcomes_are_counted),
    cmocka_unit_test (slow_degradation_of_times_is_detected),
    cmocka_unit_test (slow_degradation_of_availability_is_detected),
    cmocka_unit_test (an_outage_is_detected),
    cmocka_unit_test (counts_leave_the_windows),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
