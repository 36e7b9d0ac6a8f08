#include "core/attempt.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define LEFT_US 1000000 /* enough time left for another attempt */

/* A request whose attempt ended with `end', and the expected verdict. */
struct row
{
  const char *name;
  struct att_request request;
  enum att_end end;
  struct att_verdict want;
};

/* Three kinds of requests: never repeatable, freely repeatable, and repeatable
   as a resumed stream. */
#define BOOKING .repeat = FLT_REPEAT_NEVER, .attempts_max = 1
#define LOOKUP .repeat = FLT_REPEAT_IDEMPOTENT, .attempts_max = 2
#define STREAM                                                                \
  .repeat = FLT_REPEAT_STREAM, .resumable = true, .attempts_max = 2

static const struct row rows[] = {
  { "a booking without a connection is retried elsewhere",
    { BOOKING, .remaining_us = LEFT_US },
    ATT_NOT_SENT,
    { .next = ATT_RETRY } },
  { "a booking that often finds no connection is refused as not run",
    { BOOKING, .unsent = ATT_UNSENT_MAX, .remaining_us = LEFT_US },
    ATT_NOT_SENT,
    { .next = ATT_ANSWER, .status = 503 } },
  { "a lookup that was cut off and then often finds no connection may have "
    "run",
    { LOOKUP, .sent = 1, .may_have_run = 1, .unsent = ATT_UNSENT_MAX,
      .remaining_us = LEFT_US },
    ATT_NOT_SENT,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a stream that often finds no connection is resumed after a pause",
    { STREAM, .answer_begun = true, .sent = 1, .may_have_run = 1,
      .unsent = ATT_UNSENT_MAX, .remaining_us = LEFT_US },
    ATT_NOT_SENT,
    { .next = ATT_RESUME, .needs_budget = true, .pauses = true } },
  { "a booking that was refused without running is retried elsewhere",
    { BOOKING, .sent = 1, .remaining_us = LEFT_US },
    ATT_NOT_RUN,
    { .next = ATT_RETRY, .needs_budget = true } },
  { "a booking that was cut off is never repeated",
    { BOOKING, .sent = 1, .may_have_run = 1, .remaining_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a booking with an invalid response is never repeated",
    { BOOKING, .sent = 1, .may_have_run = 1, .remaining_us = LEFT_US },
    ATT_INVALID_ANSWER,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a booking that ran isn't answered with a status that promises otherwise",
    { BOOKING, .sent = 1, .may_have_run = 1, .status = 429,
      .remaining_us = LEFT_US },
    ATT_FAILED,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a lookup that failed twice delivers the endpoint's error",
    { LOOKUP, .sent = 2, .may_have_run = 2, .status = 503,
      .remaining_us = LEFT_US },
    ATT_FAILED,
    { .next = ATT_PASS_FAILURE } },
  { "a booking that failed delivers the endpoint's error",
    { BOOKING, .sent = 1, .may_have_run = 1, .remaining_us = LEFT_US },
    ATT_FAILED,
    { .next = ATT_PASS_FAILURE } },
  { "a booking whose deadline passed may have run",
    { BOOKING, .sent = 1, .may_have_run = 1 },
    ATT_TIMED_OUT,
    { .next = ATT_ANSWER, .status = 504 } },
  { "a booking that every endpoint refused was not run",
    { BOOKING, .sent = ATT_SENT_MAX, .remaining_us = LEFT_US },
    ATT_NOT_RUN,
    { .next = ATT_ANSWER, .status = 503 } },
  { "a lookup that was cut off is repeated once",
    { LOOKUP, .sent = 1, .may_have_run = 1, .remaining_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_RETRY, .needs_budget = true } },
  { "a lookup is not repeated more often than its route allows",
    { LOOKUP, .sent = 2, .may_have_run = 2, .remaining_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a lookup that failed twice delivers the endpoint's error",
    { LOOKUP, .sent = 2, .may_have_run = 2, .remaining_us = LEFT_US },
    ATT_FAILED,
    { .next = ATT_PASS_FAILURE } },
  { "a lookup without time left isn't repeated",
    { LOOKUP, .sent = 1, .may_have_run = 1, .remaining_us = 1000 },
    ATT_CUT_OFF,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a stream that has begun is resumed",
    { STREAM, .answer_begun = true, .sent = 1, .may_have_run = 1,
      .remaining_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_RESUME, .needs_budget = true } },
  { "a stream without an attempt left is closed",
    { STREAM, .answer_begun = true, .sent = 2, .may_have_run = 2,
      .remaining_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_ABORT_ANSWER } },
  { "a resumed stream that is refused without running is resumed elsewhere",
    { STREAM, .answer_begun = true, .sent = 2, .may_have_run = 1,
      .remaining_us = LEFT_US },
    ATT_NOT_RUN,
    { .next = ATT_RESUME, .needs_budget = true } },
  { "a stream that may not be resumed is closed",
    { .repeat = FLT_REPEAT_STREAM,
      .attempts_max = 2,
      .answer_begun = true,
      .sent = 1,
      .may_have_run = 1,
      .remaining_us = LEFT_US },
    ATT_NO_RESPONSE,
    { .next = ATT_ABORT_ANSWER } },
};

/* The verdicts while the retry budget isn't exhausted.  */
static void
test_decide (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct att_verdict got;
      att_decide (&rows[i].request, rows[i].end, &got);
      if (got.next != rows[i].want.next
          || got.needs_budget != rows[i].want.needs_budget
          || got.pauses != rows[i].want.pauses
          || got.status != rows[i].want.status)
        {
          fail_msg ("%s: next %d, budget %d, pauses %d, status %u",
                    rows[i].name, got.next, got.needs_budget, got.pauses,
                    got.status);
        }
    }
}

static const struct row final_rows[] = {
  { "a lookup that may have run is not reported as not run",
    { LOOKUP, .sent = 1, .may_have_run = 1, .remaining_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a request refused after an incomplete response may have run",
    { LOOKUP, .sent = 2, .may_have_run = 1, .remaining_us = LEFT_US },
    ATT_NOT_RUN,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a booking that was never sent was not run",
    { BOOKING, .remaining_us = LEFT_US },
    ATT_NOT_SENT,
    { .next = ATT_ANSWER, .status = 503 } },
  { "a stream that has begun is closed",
    { STREAM, .answer_begun = true, .sent = 1, .may_have_run = 1,
      .remaining_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_ABORT_ANSWER } },
};

/* The verdicts when the retry budget is exhausted or no endpoint is left.  */
static void
test_decide_unpaid (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof final_rows / sizeof final_rows[0]; i++)
    {
      struct att_verdict got;
      att_decide_without_budget (&final_rows[i].request, final_rows[i].end,
                                 &got);
      if (got.next != final_rows[i].want.next
          || got.status != final_rows[i].want.status)
        {
          fail_msg ("%s: next %d, status %u", final_rows[i].name, got.next,
                    got.status);
        }
    }
}

/* Guards against a stream that has no attempt left being ended only because
   its endpoint doesn't respond for a while.  */
static void
test_abandon (void **state)
{
  (void)state;
  static const struct
  {
    struct att_request request;
    bool want;
  } cases[] = {
    { { STREAM, .answer_begun = true, .remaining_us = LEFT_US }, true },
    { { STREAM, .answer_begun = true, .sent = 1, .may_have_run = 1,
        .remaining_us = LEFT_US },
      false },
    { { BOOKING, .remaining_us = LEFT_US }, false },
    { { LOOKUP, .remaining_us = 1000 }, false },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      assert_int_equal (att_may_abandon (&cases[i].request), cases[i].want);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_decide),
    cmocka_unit_test (test_decide_unpaid),
    cmocka_unit_test (test_abandon),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
