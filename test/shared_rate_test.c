/* Tests of sharing the rate of an endpoint among daemons. */
#include "core/shared_rate.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <stdlib.h>

#define STEP_US INT64_C (20000)
#define STEPS_PER_S 50
#define WINDOW_S 4
#define DAEMONS_MAX 400

/* Time for which the daemons send. */
#define LOAD_S 300

/* Requests that all daemons may send in a window. */
static double
allowed (double per_s)
{
  return 1.5 * WINDOW_S * per_s + 5;
}

/* Daemons that send whenever they may: together they keep to the rate in every
   window, also when all of them have sent nothing for a long time before, and
   use most of it.  */
static void
test_all_daemons (void **state)
{
  (void)state;
  static const struct
  {
    double per_s;
    int daemons;
  } cases[]
      = { { 0.3, 3 }, { 1, 6 },     { 2.7, 6 }, { 7.2, 6 },  { 40, 9 },
          { 5, 33 },  { 1.5, 100 }, { 5, 295 }, { 60, 295 }, { 0.2, 400 } };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      static struct shr_rate rates[DAEMONS_MAX];
      static int counts[LOAD_S * STEPS_PER_S];
      int64_t now_us = INT64_C (987654321000);
      int most = 0;
      int sum = 0;
      srand48 (7);
      for (int n = 0; n < cases[i].daemons; n++)
        {
          rates[n] = (struct shr_rate){ 0 };
          shr_set (&rates[n], cases[i].per_s, drand48 ());
          shr_set_share (&rates[n], 1.0 / cases[i].daemons);
        }
      now_us += INT64_C (3600000000);
      for (int step = 0; step < LOAD_S * STEPS_PER_S; step++)
        {
          counts[step] = 0;
          for (int n = 0; n < cases[i].daemons; n++)
            {
              if (shr_opens_us (&rates[n], now_us) <= now_us)
                {
                  shr_take (&rates[n], now_us);
                  counts[step]++;
                }
            }
          sum += counts[step];
          int window = 0;
          for (int k = 0; k < WINDOW_S * STEPS_PER_S && k <= step; k++)
            {
              window += counts[step - k];
            }
          most = window > most ? window : most;
          now_us += STEP_US;
        }
      if (most > allowed (cases[i].per_s)
          || sum < cases[i].per_s * LOAD_S * 0.6)
        {
          fail_msg ("%g a second, %d daemons: %d of %.0f in a window, %d in "
                    "all",
                    cases[i].per_s, cases[i].daemons, most,
                    allowed (cases[i].per_s), sum);
        }
    }
}

/* The time at which a rate opens is that of the next request.  */
static void
test_opening (void **state)
{
  (void)state;
  static const struct
  {
    double per_s;
    double share;
    int64_t latest_us; /* of the next opening */
  } cases[] = {
    { 0, 0, 0 },          { 1000, 1, 0 },           { 0.5, 1, 4000000 },
    { 2, 0.1, 10000000 }, { 1, 0.001, 1500000000 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof *cases; i++)
    {
      struct shr_rate rate = { 0 };
      int64_t now_us = INT64_C (123456789);
      shr_set (&rate, cases[i].per_s, 0.25);
      shr_set_share (&rate, cases[i].share);
      int64_t opens_us = shr_opens_us (&rate, now_us);
      assert_true (opens_us - now_us <= cases[i].latest_us);
      assert_int_equal (shr_opens_us (&rate, opens_us), opens_us);
    }
}

/* What a daemon sees of the others, and its share then. */
static const struct
{
  const char *name;
  uint32_t seen[3]; /* daemons, one second apart; 0: no more */
  double group_share;
  double least; /* bounds of its share */
  double most;
} share_rows[] = {
  { "a small fleet shares by partitions", { 0 }, 0.25, 0.25, 0.25 },
  { "a daemon outside the group has one part in all",
    { 67 },
    0,
    0.0149,
    0.015 },
  { "a member among daemons outside the group has no more",
    { 67 },
    2.0 / 64,
    0.0149,
    0.015 },
  { "a member with few partitions keeps to them", { 6 }, 0.05, 0.05, 0.05 },
  { "fewer daemons are seen after a restart",
    { 67, 32, 32 },
    2.0 / 64,
    0.0149,
    0.0156 },
};

/* Guards against shares that sum to more than one after daemons have
   restarted: members of the group took their part of its partitions beside
   daemons that took theirs of all daemons, of whom too few were seen.  */
static void
test_share_of_daemons (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof share_rows / sizeof share_rows[0]; i++)
    {
      struct shr_daemons daemons = { 0 };
      for (size_t n = 0; n < 3 && share_rows[i].seen[n] > 0; n++)
        {
          shr_see_daemons (&daemons, share_rows[i].seen[n],
                           (int64_t)(n + 1) * 1000000);
        }
      double share = shr_share_of (&daemons, share_rows[i].group_share);
      if (share < share_rows[i].least || share > share_rows[i].most)
        {
          fail_msg ("%s: share %g", share_rows[i].name, share);
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_all_daemons),
    cmocka_unit_test (test_opening),
    cmocka_unit_test (test_share_of_daemons),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
