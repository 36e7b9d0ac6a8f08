/* Tests of the silence from which a daemon acts on a stream.  They guard
   against streams that are resumed only after their callers count them as
   late, and against sound streams that are cut since their intervals vary. */
#include "core/continuity.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define MS 1000

/* Guards against a slow but sound stream that is taken for a stopped one, and
   against a stopped one on a suspected path that waits for the usual limit. */
static void
test_silence_limit (void **state)
{
  static const struct
  {
    const char *name;
    struct ctn_stream stream;
    int64_t least_ms;
    int64_t most_ms;
  } cases[] = {
    { "nothing known", { .begun = true }, 100, 100 },
    { "usual intervals",
      { .begun = true, .interval_us = 60 * MS, .deviation_us = 10 * MS },
      300,
      300 },
    { "usual intervals, suspected: in time for a pause of 250 ms",
      { .begun = true,
        .path_suspected = true,
        .interval_us = 60 * MS,
        .deviation_us = 10 * MS },
      100,
      150 },
    { "uneven intervals, suspected: no earlier than they vary",
      { .begun = true,
        .path_suspected = true,
        .interval_us = 100 * MS,
        .deviation_us = 60 * MS },
      320,
      460 },
    { "suspected without known intervals",
      { .begun = true, .path_suspected = true },
      100,
      100 },
    { "very slow intervals",
      { .begun = true, .interval_us = 5000 * MS },
      700,
      700 },
    { "a first event", { .first_event_us = 80 * MS }, 300, 300 },
    { "a first event, suspected",
      { .path_suspected = true, .first_event_us = 80 * MS },
      160,
      200 },
  };
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      int64_t limit_ms = ctn_silence_limit_us (&cases[i].stream) / MS;
      if (limit_ms < cases[i].least_ms || limit_ms > cases[i].most_ms)
        {
          fail_msg ("%s: %ld ms", cases[i].name, (long)limit_ms);
        }
    }
}

/* Guards against streams that leave an engine which is only short of memory:
   others on it go on after it refused a request. */
static void
test_suspicion (void **state)
{
  static const struct
  {
    const char *name;
    struct ctn_engine engine;
    bool want;
  } cases[] = {
    { "nothing happened", { 0 }, false },
    { "dead", { .dead = true, .failed_us = 5, .progressed_us = 9 }, true },
    { "failed after the last event",
      { .failed_us = 9, .progressed_us = 5 },
      true },
    { "an event came after the failure",
      { .failed_us = 5, .progressed_us = 9 },
      false },
  };
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      if (ctn_is_suspected (&cases[i].engine) != cases[i].want)
        {
          fail_msg ("%s", cases[i].name);
        }
    }
}

/* Guards against a reserve that a daemon with 1/125 of the slack never has, so
   that its silent streams wait until their callers leave. */
static void
test_retry_reserve (void **state)
{
  static const struct
  {
    double allowed;
    uint32_t want;
  } cases[] = { { 0, 1 }, { 5.5, 1 }, { 12, 2 }, { 26, 4 }, { 500, 4 } };
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      assert_int_equal (ctn_retry_reserve (cases[i].allowed), cases[i].want);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_silence_limit),
    cmocka_unit_test (test_suspicion),
    cmocka_unit_test (test_retry_reserve),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
