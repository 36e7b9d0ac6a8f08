/* Tests of how long requests wait at a daemon that has just started.  */
#include "core/start_wait.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define STARTED_US INT64_C (5000000)

static void
test_wait (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    int64_t arrived_us; /* this and the next one after the start */
    int64_t now_us;
    int64_t left_us;
    bool passed_on;
    int64_t expected_us;
  } cases[] = {
    { "the rest of the start", 10000, 10000, 9000000, false, 990000 },
    { "half of its time", 10000, 10000, 600000, false, 300000 },
    { "what is left of that half", 10000, 110000, 600000, false, 200000 },
    { "that half has passed", 10000, 400000, 600000, false, 0 },
    { "no time is left", 10000, 10000, 0, false, 0 },
    { "no time is stated", 0, 1, INT64_MAX / 4, false, 999999 },
    { "a daemon has passed it on", 10000, 10000, 9000000, true, 0 },
    { "the start is over", 1000000, 1000000, 9000000, false, 0 },
    { "long after the start", 99000000, 99000000, 9000000, false, 0 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct stw_request request
          = { .arrived_us = STARTED_US + cases[i].arrived_us,
              .left_us = cases[i].left_us,
              .passed_on = cases[i].passed_on };
      int64_t now_us = STARTED_US + cases[i].now_us;
      int64_t wait_us = stw_wait_us (&request, STARTED_US, now_us);
      if (wait_us != cases[i].expected_us)
        {
          fail_msg ("%s: waits for %ld us", cases[i].name, (long)wait_us);
        }
      assert_true (wait_us == 0 || stw_is_starting (STARTED_US, now_us));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_wait),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
