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

/* In order: availability, first token, between tokens, settled. */
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

static void
outcomes_are_judged (void **state)
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

struct slide_case
{
  int days;
  double weekly;  /* relative change of the first token's time */
  double swing;   /* the last two days of a week are slower by so much */
  uint32_t noise; /* in thousandths, even spread */
  bool sliding;
};

static const struct slide_case slide_cases[] = {
  { 35, 0.00, 0.0, 100, false },  { 35, 0.02, 0.0, 100, true },
  { 35, 0.02, 0.5, 100, true },   { 35, 0.00, 0.5, 100, false },
  { 35, -0.05, 0.5, 100, false }, { 35, 0.005, 0.0, 20, false },
  { 14, 0.05, 0.0, 100, true },   { 7, 0.50, 0.0, 100, false },
  { 30, 0.03, 0.3, 200, true },
};

/* Fills STATE with days of drafts whose first token slides.  */
static void
fill_days (struct brn_state *state, const struct slide_case *c)
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

/* Today counts only once it is over: its work may be of one kind of hour. */
static void
fill_today (struct brn_state *state, int64_t now_us)
{
  struct brn_outcome outcome = bfx_draft_outcome (0, ERR_NONE);
  outcome.first_token_us = 650000;
  bfx_observe (state, outcome, now_us, 40);
}

/* A slide of a few per cent a week is seen while every answer is still within
   its bound, and the pattern of a week is not taken for one.  */
static void
a_slow_slide_is_seen (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (slide_cases); i++)
    {
      const struct slide_case *c = &slide_cases[i];
      struct brn_state *burn = bfx_create (1);
      fill_days (burn, c);
      int64_t now_us = START_US + c->days * DAY_US + 60 * SECOND_US;
      fill_today (burn, now_us);
      struct brn_report_line line
          = bfx_find_line (burn, "trust", BRN_DRAFT, BRN_FIRST_TOKEN, now_us);
      bool sliding = line.verdict == BRN_SLIDING;
      double off = line.trend.change_weekly - c->weekly;
      if (line.bad != 0 || sliding != c->sliding
          || (line.trend.days > 0
              && (off > 4 * line.trend.standard_error + 0.01
                  || off < -4 * line.trend.standard_error - 0.01)))
        {
          fail_msg ("case %zu: verdict %s, change %f, error %f, bad %d", i,
                    brn_verdict_name (line.verdict), line.trend.change_weekly,
                    line.trend.standard_error, (int)line.bad);
        }
      brn_destroy (burn);
    }
}

/* Bookings that fail now and then, a little more each week, are seen.  */
static void
a_slide_of_availability_is_seen (void **state)
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

/* An outage of half an hour burns over both windows, and its causes are
   named.  */
static void
an_outage_is_seen (void **state)
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

/* Old work leaves the windows, causes with it.  */
static void
windows_end (void **state)
{
  (void)state;
  struct brn_state *burn = bfx_create (1);
  bfx_observe (burn, bfx_draft_outcome (0, ERR_ENDPOINT_FAILED), START_US, 10);
  static const struct
  {
    int64_t after_us;
    bool in_short;
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
      int64_t now_us = START_US + cases[i].after_us;
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
    cmocka_unit_test (outcomes_are_judged),
    cmocka_unit_test (a_slow_slide_is_seen),
    cmocka_unit_test (a_slide_of_availability_is_seen),
    cmocka_unit_test (an_outage_is_seen),
    cmocka_unit_test (windows_end),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
