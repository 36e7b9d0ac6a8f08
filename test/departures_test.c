/* Tests of which incarnations of endpoints are known to leave. */
#include "core/departures.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>

#include <cmocka.h>
#include <string.h>

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

/* A list for another daemon continues where the one before ended, in the order
   of the reports, and leaves out what was forgotten or has no start.  */
static void
lists_continue (void **state)
{
  (void)state;
  static const struct
  {
    uint64_t after;
    uint32_t limit;
    const char *ids;
    uint64_t up_to;
  } rows[] = {
    { 0, 9, "acb", 5 }, { 0, 3, "acb", 5 }, { 0, 2, "ac", 3 },
    { 0, 1, "a", 1 },   { 1, 9, "cb", 5 },  { 3, 9, "b", 5 },
    { 4, 9, "b", 5 },   { 5, 9, "", 5 },    { 9, 9, "", 5 },
  };
  struct dep_set *set = dep_create ();
  dep_add (set, "a", 1);
  dep_add (set, "b", 1);
  dep_add (set, "c", 1);
  dep_add (set, "d", 0);
  dep_add (set, "b", 2);
  dep_add (set, "b", 1);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      char ids[8] = "";
      uint64_t up_to = 0;
      GPtrArray *list = dep_list (set, rows[i].after, rows[i].limit, &up_to);
      for (guint n = 0; n < list->len; n++)
        {
          const struct dep_departure *departure = g_ptr_array_index (list, n);
          g_strlcat (ids, departure->id, sizeof ids);
          assert_int_equal (departure->born_ms,
                            departure->id[0] == 'b' ? 2 : 1);
        }
      if (strcmp (ids, rows[i].ids) != 0 || up_to != rows[i].up_to)
        {
          fail_msg ("row %zu: '%s' up to %lu", i, ids, (unsigned long)up_to);
        }
      g_ptr_array_free (list, TRUE);
    }
  dep_destroy (set);
}

/* A report with a garbled id or an absurd start isn't believed.  */
static void
absurd_reports_are_refused (void **state)
{
  (void)state;
  const int64_t now_ms = INT64_C (1000000);
  static const struct
  {
    const char *id;
    int64_t born_ms;
    bool plausible;
  } rows[] = {
    { "a", 1, true },
    { "a", 1000000 + DEP_AHEAD_MAX_MS, true },
    { "a", 1000001 + DEP_AHEAD_MAX_MS, false },
    { "a", INT64_MAX, false },
    { "a", 0, false },
    { "a", -1, false },
    { "", 1, false },
    { "a\r", 1, false },
    { "a\x7f", 1, false },
    { "\xff", 1, false },
    { "gen-\xc3\xa4", 1, true },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      if (dep_is_plausible (rows[i].id, rows[i].born_ms, now_ms)
          != rows[i].plausible)
        {
          fail_msg ("row %zu", i);
        }
    }
  char *endless = g_strnfill (DEP_ID_BYTES_MAX + 1, 'x');
  assert_false (dep_is_plausible (endless, 1, now_ms));
  assert_true (dep_is_plausible (endless + 1, 1, now_ms));
  g_free (endless);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (said_once_holds_for_the_incarnation),
    cmocka_unit_test (reports_are_bounded),
    cmocka_unit_test (lists_continue),
    cmocka_unit_test (absurd_reports_are_refused),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
