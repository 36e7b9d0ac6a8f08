/* Tests of eras of the store: how answers, positions, pages of relays and
   fencing tokens of different eras relate. */
#include "core/era.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define COUNT(array) (sizeof (array) / sizeof (array)[0])

/* Largest integer that JSON readers keep exactly. */
#define JSON_MAX (UINT64_C (1) << 53)

static void
test_compare (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    uint64_t known;
    uint64_t stated;
    enum era_order order;
  } cases[] = {
    { "a store without eras", 0, 0, ERA_SAME },
    { "an answer without its era", 3, 0, ERA_SAME },
    { "the same era", 3, 3, ERA_SAME },
    { "the first era that is stated", 0, 3, ERA_RISEN },
    { "a restore", 3, 4, ERA_RISEN },
    { "two restores", 3, 5, ERA_RISEN },
    { "an answer that arrives late", 4, 3, ERA_STALE },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      if (era_compare (cases[i].known, cases[i].stated) != cases[i].order)
        {
          fail_msg ("%s", cases[i].name);
        }
    }
}

static void
test_is_before (void **state)
{
  (void)state;
  static const struct
  {
    struct era_position a;
    struct era_position b;
    bool before;
  } cases[] = {
    { { 1, 5 }, { 1, 6 }, true },  { { 1, 6 }, { 1, 6 }, false },
    { { 1, 7 }, { 1, 6 }, false }, { { 1, 9 }, { 2, 3 }, true },
    { { 2, 3 }, { 1, 9 }, false }, { { 0, 9 }, { 1, 0 }, true },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      assert_int_equal (era_is_before (cases[i].a, cases[i].b),
                        cases[i].before);
    }
}

static void
test_use_of_page (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    uint64_t known;
    uint64_t stated;
    bool whole;
    enum era_use use;
  } cases[] = {
    { "no eras", 0, 0, false, ERA_CONTINUE },
    { "the same era", 2, 2, false, ERA_CONTINUE },
    { "the relay is ahead, all records", 2, 3, true, ERA_RESTART },
    { "the relay is ahead, only changes", 2, 3, false, ERA_REJECT },
    { "the relay is behind", 3, 2, true, ERA_REJECT },
    { "a relay without eras", 3, 0, false, ERA_REJECT },
    { "the first era that is stated", 0, 3, false, ERA_REJECT },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      if (era_use_of_page (cases[i].known, cases[i].stated, cases[i].whole)
          != cases[i].use)
        {
          fail_msg ("%s", cases[i].name);
        }
    }
}

/* The fencing token rises with each row.  */
static void
test_fence_rises (void **state)
{
  (void)state;
  static const struct
  {
    uint64_t era;
    uint64_t generation;
  } rows[] = {
    { 0, 1 }, { 0, 70000 },
    { 1, 0 }, { 1, 9 },
    { 2, 3 }, { 2, 4 },
    { 3, 1 }, { 3, (UINT64_C (1) << 32) - 1 },
    { 4, 0 }, { (UINT64_C (1) << 21) - 1, 5 },
  };
  uint64_t previous = 0;
  for (size_t i = 0; i < COUNT (rows); i++)
    {
      uint64_t fence = era_fence (rows[i].era, rows[i].generation);
      assert_true (fence > previous);
      assert_true (fence < JSON_MAX);
      previous = fence;
    }
  assert_int_equal (era_fence (0, 70000), 70000);
}

/* Beyond the bits of either part, a token doesn't fall and stays exact.  */
static void
test_fence_limit (void **state)
{
  (void)state;
  uint64_t highest = era_fence (UINT64_MAX, UINT64_MAX);
  assert_true (highest < JSON_MAX);
  assert_int_equal (era_fence (1, UINT64_MAX),
                    era_fence (1, (UINT64_C (1) << 32) - 1));
  assert_true (era_fence (1, UINT64_MAX) < era_fence (2, 0));
}

/* A member's lead and share from before a restore, at 0, until after the
   memberships of the era before have expired.  */
static void
test_handover (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    double before;
    double given;
    int64_t now_us;
    double share;
    bool may_lead;
  } cases[] = {
    { "more than before, at once", 0.25, 0.5, 1, 0.25, false },
    { "less than before, at once", 0.5, 0.25, 1, 0.25, false },
    { "nothing before", 0, 1, 99, 0, false },
    { "after the handover", 0.25, 0.5, 100, 0.5, true },
  };
  for (size_t i = 0; i < COUNT (cases); i++)
    {
      struct era_handover handover
          = era_begin_handover (cases[i].before, 100, 0);
      if (era_share (&handover, cases[i].given, cases[i].now_us)
              != cases[i].share
          || era_may_lead (&handover, cases[i].now_us) != cases[i].may_lead)
        {
          fail_msg ("%s", cases[i].name);
        }
    }
  const struct era_handover none = { 0 };
  assert_true (era_may_lead (&none, 0));
  assert_true (era_share (&none, 0.5, 0) == 0.5);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_compare),     cmocka_unit_test (test_is_before),
    cmocka_unit_test (test_use_of_page), cmocka_unit_test (test_fence_rises),
    cmocka_unit_test (test_fence_limit), cmocka_unit_test (test_handover),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
