/* Tests of how long endpoints that turned requests away stay closed, and of
   what becomes of requests meanwhile. */
#include "core/turned_away.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define MS INT64_C (1000)
#define S INT64_C (1000000)

/* Guards against requests that reach an endpoint before the time is over that
   it stated, since that was longer than any time-out.  */
static void
stated_times_are_read (void **state)
{
  (void)state;
  static const struct
  {
    const char *text;
    enum tna_reading reading;
    int64_t duration_us;
  } rows[] = {
    { NULL, TNA_NOT_STATED, 0 },
    { "2", TNA_STATED, 2 * S },
    { "0.7", TNA_STATED, 700 * MS },
    { ".25 ", TNA_STATED, 250 * MS },
    { "0", TNA_STATED, 0 },
    { "30", TNA_STATED, 30 * S },
    { "30.001", TNA_STATED, 30001 * MS },
    { "3600", TNA_STATED, 3600 * S },
    { "86400", TNA_STATED, TNA_LONGEST_US },
    { "86400.001", TNA_BOUNDED, TNA_LONGEST_US },
    { "1e9", TNA_BOUNDED, TNA_LONGEST_US },
    { "1e400", TNA_BOUNDED, TNA_LONGEST_US },
    { "inf", TNA_BOUNDED, TNA_LONGEST_US },
    { "-1", TNA_INVALID, 0 },
    { "-inf", TNA_INVALID, 0 },
    { "nan", TNA_INVALID, 0 },
    { "", TNA_INVALID, 0 },
    { " ", TNA_INVALID, 0 },
    { "x", TNA_INVALID, 0 },
    { "2x", TNA_INVALID, 0 },
    { "Wed, 21 Oct 2026 07:28:00 GMT", TNA_INVALID, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      int64_t duration_us = -1;
      enum tna_reading reading = tna_read (rows[i].text, &duration_us);
      if (reading != rows[i].reading || duration_us != rows[i].duration_us)
        {
          fail_msg ("'%s': %d, %ld us", rows[i].text, reading,
                    (long)duration_us);
        }
    }
}

/* The latest of the stated times holds, for one incarnation.  */
static void
latest_time_holds (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    const char *id; /* NULL: says nothing */
    int64_t born_ms;
    int64_t duration_us;
    double draw;
    int64_t now_us;
    int64_t a_1; /* when "a", started at 1, is expected to open */
    int64_t a_2;
  } steps[] = {
    { "at first", NULL, 0, 0, 0, S, 0, 0 },
    { "another id", "b", 1, 9 * S, 0, S, 0, 0 },
    { "two seconds", "a", 1, 2 * S, 0, S, 3 * S, 0 },
    { "a shorter time", "a", 1, 1 * S, 0, 1500 * MS, 3 * S, 0 },
    { "a longer time", "a", 1, 3 * S, 0, 2 * S, 5 * S, 0 },
    { "with the longest delay", "a", 1, 10 * S, 1, 2 * S, 14 * S, 0 },
    { "a restart", "a", 2, 1 * S, 0, 3 * S, 4 * S, 4 * S },
    { "a late answer from before", "a", 1, 60 * S, 0, 3 * S, 4 * S, 4 * S },
    { "after the end", "a", 2, 1 * S, 0.5, 20 * S, 21100 * MS, 21100 * MS },
  };
  struct tna_table *table = tna_create ();
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      int64_t opens_us = steps[i].id == NULL
                             ? 0
                             : tna_close (table, steps[i].id, steps[i].born_ms,
                                          steps[i].duration_us, steps[i].draw,
                                          steps[i].now_us);
      int64_t a_1 = tna_opens_us (table, "a", 1);
      int64_t a_2 = tna_opens_us (table, "a", 2);
      if (a_1 != steps[i].a_1 || a_2 != steps[i].a_2
          || (g_strcmp0 (steps[i].id, "a") == 0 && opens_us != a_2
              && opens_us != a_1))
        {
          fail_msg ("%s: %ld, %ld", steps[i].name, (long)a_1, (long)a_2);
        }
    }
  tna_destroy (table);
}

/* The random delay is in proportion to the stated time, and bounded.  */
static void
delay_is_bounded (void **state)
{
  (void)state;
  static const struct
  {
    int64_t duration_us;
    double draw;
    int64_t opens_us;
  } rows[] = {
    { 0, 1, 0 },
    { 10 * S, 0, 10 * S },
    { 10 * S, 0.5, 11 * S },
    { 10 * S, 1, 12 * S },
    { 25 * S, 1, 30 * S },
    { 3600 * S, 0.5, 3602500 * MS },
    { TNA_LONGEST_US, 1, TNA_LONGEST_US + 5 * S },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct tna_table *table = tna_create ();
      assert_int_equal (
          tna_close (table, "a", 1, rows[i].duration_us, rows[i].draw, 0),
          rows[i].opens_us);
      tna_destroy (table);
    }
}

/* A request waits for an endpoint only if its answer can be in time.  */
static void
requests_that_are_late_anyway_are_refused (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    struct tna_request request;
    int64_t wait_us;
    enum tna_action action;
  } rows[] = {
    { "opens soon", { 0, 500 * MS, 5 * S }, 100 * MS, TNA_WAIT },
    { "too late for the target",
      { 0, 500 * MS, 5 * S },
      400 * MS,
      TNA_REFUSE },
    { "has waited", { 150 * MS, 500 * MS, 5 * S }, 100 * MS, TNA_REFUSE },
    { "is late already", { 600 * MS, 500 * MS, 5 * S }, 1, TNA_REFUSE },
    { "too late for the deadline", { 0, 20 * S, 1 * S }, 2 * S, TNA_REFUSE },
    { "without a target", { 0, 0, 5 * S }, 1 * S, TNA_WAIT },
    { "without a target, late", { 0, 0, 5 * S }, 3 * S, TNA_REFUSE },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      if (tna_decide (&rows[i].request, rows[i].wait_us) != rows[i].action)
        {
          fail_msg ("%s", rows[i].name);
        }
    }
}

/* Refused callers don't come back before an endpoint is open, nor all at the
   same time.  */
static void
callers_return_spread (void **state)
{
  (void)state;
  static const int64_t waits_us[] = { 0, 100 * MS, 2 * S, 30 * S };
  for (size_t i = 0; i < G_N_ELEMENTS (waits_us); i++)
    {
      double wait_s = (double)waits_us[i] / 1e6;
      double first_s = tna_retry_after_s (waits_us[i], 0);
      double last_s = tna_retry_after_s (waits_us[i], 1);
      assert_true (first_s > wait_s);
      assert_true (last_s - first_s >= 0.4 && last_s - first_s >= wait_s);
      assert_true (last_s <= 2 * wait_s + 1);
    }
}

/* Many daemons that an engine turned away together open it one after the
   other.  */
static void
daemons_return_spread (void **state)
{
  (void)state;
  enum
  {
    DAEMONS = 200,
    PARTS = 10
  };
  GRand *random = g_rand_new_with_seed (7);
  uint32_t openings[PARTS + 1] = { 0 };
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      struct tna_table *table = tna_create ();
      int64_t opens_us
          = tna_close (table, "a", 1, 2 * S, g_rand_double (random), S);
      assert_true (opens_us >= 3 * S && opens_us <= 3400 * MS);
      openings[(opens_us - 3 * S) / (400 * MS / PARTS)]++;
      tna_destroy (table);
    }
  for (uint32_t i = 0; i < PARTS; i++)
    {
      assert_true (openings[i] < DAEMONS / 4);
    }
  g_rand_free (random);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (stated_times_are_read),
    cmocka_unit_test (latest_time_holds),
    cmocka_unit_test (delay_is_bounded),
    cmocka_unit_test (requests_that_are_late_anyway_are_refused),
    cmocka_unit_test (callers_return_spread),
    cmocka_unit_test (daemons_return_spread),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
