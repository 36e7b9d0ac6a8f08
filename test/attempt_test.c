#include "core/attempt.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define LEFT_US 1000000

struct row
{
  const char *name;
  struct att_request request;
  enum att_end end;
  struct att_verdict want;
};

#define BOOKING .repeat = FLT_REPEAT_NEVER, .attempts_max = 1
#define LOOKUP .repeat = FLT_REPEAT_FREELY, .attempts_max = 2
#define STREAM                                                                \
  .repeat = FLT_REPEAT_STREAM, .resumable = true, .attempts_max = 2

static const struct row rows[] = {
  { "a booking that found no connection goes elsewhere",
    { BOOKING, .left_us = LEFT_US },
    ATT_NOT_SENT,
    { .next = ATT_RETRY } },
  { "a booking that was refused unrun goes elsewhere",
    { BOOKING, .sent = 1, .left_us = LEFT_US },
    ATT_NOT_RUN,
    { .next = ATT_RETRY, .needs_budget = true } },
  { "a booking that was cut off is never repeated",
    { BOOKING, .sent = 1, .may_have_run = 1, .left_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a booking whose answer was spoiled is never repeated",
    { BOOKING, .sent = 1, .may_have_run = 1, .left_us = LEFT_US },
    ATT_SPOILED,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a booking that failed delivers the endpoint's failure",
    { BOOKING, .sent = 1, .may_have_run = 1, .left_us = LEFT_US },
    ATT_FAILED,
    { .next = ATT_PASS_FAILURE } },
  { "a booking that ran out of time may have run",
    { BOOKING, .sent = 1, .may_have_run = 1 },
    ATT_TIMED_OUT,
    { .next = ATT_ANSWER, .status = 504 } },
  { "a booking that is refused everywhere was not run",
    { BOOKING, .sent = ATT_SENT_MAX, .left_us = LEFT_US },
    ATT_NOT_RUN,
    { .next = ATT_ANSWER, .status = 503 } },
  { "a lookup that was cut off is repeated once",
    { LOOKUP, .sent = 1, .may_have_run = 1, .left_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_RETRY, .needs_budget = true } },
  { "and not more often than its route allows",
    { LOOKUP, .sent = 2, .may_have_run = 2, .left_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a lookup that failed twice delivers the failure",
    { LOOKUP, .sent = 2, .may_have_run = 2, .left_us = LEFT_US },
    ATT_FAILED,
    { .next = ATT_PASS_FAILURE } },
  { "a lookup without time left isn't repeated",
    { LOOKUP, .sent = 1, .may_have_run = 1, .left_us = 1000 },
    ATT_CUT_OFF,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a stream that was begun is resumed",
    { STREAM, .answer_begun = true, .sent = 1, .may_have_run = 1,
      .left_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_RESUME, .needs_budget = true } },
  { "a stream without an attempt left is broken off",
    { STREAM, .answer_begun = true, .sent = 2, .may_have_run = 2,
      .left_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_BREAK_OFF } },
  { "a resumed stream that is refused unrun is resumed elsewhere",
    { STREAM, .answer_begun = true, .sent = 2, .may_have_run = 1,
      .left_us = LEFT_US },
    ATT_NOT_RUN,
    { .next = ATT_RESUME, .needs_budget = true } },
  { "a stream that may not be resumed is broken off",
    { .repeat = FLT_REPEAT_STREAM,
      .attempts_max = 2,
      .answer_begun = true,
      .sent = 1,
      .may_have_run = 1,
      .left_us = LEFT_US },
    ATT_SILENT,
    { .next = ATT_BREAK_OFF } },
};

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
          || got.status != rows[i].want.status)
        {
          fail_msg ("%s: next %d, budget %d, status %u", rows[i].name,
                    got.next, got.needs_budget, got.status);
        }
    }
}

static const struct row unpaid_rows[] = {
  { "a lookup that may have run isn't said to be unrun",
    { LOOKUP, .sent = 1, .may_have_run = 1, .left_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_ANSWER, .status = 502 } },
  { "one refusal after a cut doesn't make it unrun",
    { LOOKUP, .sent = 2, .may_have_run = 1, .left_us = LEFT_US },
    ATT_NOT_RUN,
    { .next = ATT_ANSWER, .status = 502 } },
  { "a booking that never arrived was not run",
    { BOOKING, .left_us = LEFT_US },
    ATT_NOT_SENT,
    { .next = ATT_ANSWER, .status = 503 } },
  { "a stream that was begun is broken off",
    { STREAM, .answer_begun = true, .sent = 1, .may_have_run = 1,
      .left_us = LEFT_US },
    ATT_CUT_OFF,
    { .next = ATT_BREAK_OFF } },
};

static void
test_decide_unpaid (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof unpaid_rows / sizeof unpaid_rows[0]; i++)
    {
      struct att_verdict got;
      att_decide_unpaid (&unpaid_rows[i].request, unpaid_rows[i].end, &got);
      if (got.next != unpaid_rows[i].want.next
          || got.status != unpaid_rows[i].want.status)
        {
          fail_msg ("%s: next %d, status %u", unpaid_rows[i].name, got.next,
                    got.status);
        }
    }
}

/* Found by a hunt: a silence ended a stream that had no attempt left.  */
static void
test_abandon (void **state)
{
  (void)state;
  static const struct
  {
    struct att_request request;
    bool want;
  } cases[] = {
    { { STREAM, .answer_begun = true, .left_us = LEFT_US }, true },
    { { STREAM, .answer_begun = true, .sent = 1, .may_have_run = 1,
        .left_us = LEFT_US },
      false },
    { { BOOKING, .left_us = LEFT_US }, false },
    { { LOOKUP, .left_us = 1000 }, false },
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
