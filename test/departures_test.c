/* Tests of which incarnations of endpoints are known to leave. */
#include "core/departures.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>

/* What an incarnation said holds for it and for older ones of the same id; a
   newer one gets requests again.  */
static void
said_once_holds_for_the_incarnation (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    const char *id; /* that says that it leaves; NULL: none */
    int64_t born_ms;
    bool is_new;
    bool a_1; /* expected of "a", started at 1 */
    bool a_2;
    bool b_0; /* expected of "b", whose start isn't known */
  } steps[] = {
    { "at first", NULL, 0, false, false, false, false },
    { "another id", "c", 1, true, false, false, false },
    { "a", "a", 1, true, true, false, false },
    { "a again", "a", 1, false, true, false, false },
    { "a restarted", "a", 2, true, true, true, false },
    { "a late answer of its first start", "a", 1, false, true, true, false },
    { "an endpoint without a start time", "b", 0, true, true, true, true },
  };
  struct dep_set *set = dep_create ();
  uint64_t count = 0;
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      bool is_new = steps[i].id != NULL
                    && dep_add (set, steps[i].id, steps[i].born_ms);
      count += is_new;
      if (is_new != steps[i].is_new
          || dep_contains (set, "a", 1) != steps[i].a_1
          || dep_contains (set, "a", 2) != steps[i].a_2
          || dep_contains (set, "b", 0) != steps[i].b_0
          || dep_count (set) != count)
        {
          fail_msg ("%s", steps[i].name);
        }
    }
  dep_destroy (set);
}

/* The oldest reports are forgotten first.  */
static void
reports_are_bounded (void **state)
{
  (void)state;
  struct dep_set *set = dep_create ();
  char id[32];
  for (uint32_t i = 0; i < DEP_KEPT_MAX + 2; i++)
    {
      snprintf (id, sizeof id, "e-%u", i);
      assert_true (dep_add (set, id, 1));
    }
  for (uint32_t i = 0; i < DEP_KEPT_MAX + 2; i++)
    {
      snprintf (id, sizeof id, "e-%u", i);
      assert_int_equal (dep_contains (set, id, 1), i >= 2);
    }
  dep_destroy (set);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (said_once_holds_for_the_incarnation),
    cmocka_unit_test (reports_are_bounded),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
