/* The soak's judge catches each broken promise, and nothing else.  */
#include "soak/judge.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#define S_US INT64_C (1000000)

static const struct sjd_bounds bounds = {
  .stable_us = 3 * S_US,
  .config_us = 2 * S_US,
  .rollback_us = S_US / 4,
  .revoke_us = 5 * S_US,
  .drain_us = 2 * S_US,
  .gone_us = S_US / 2,
  .answer_us = S_US,
  .window_us = 10 * S_US,
  .retry_ratio = 0.2,
  .retry_slack = 2,
};

enum event
{
  EVENT_NONE,
  EVENT_REQUEST, /* value: key */
  EVENT_ARRIVES, /* value: endpoint */
  EVENT_RUNS,
  EVENT_RESTS,
  EVENT_ANSWER, /* value: status; whole and right */
  EVENT_WRONG,  /* value: status; whole and wrong */
  EVENT_CUT,    /* value: status */
  EVENT_LEFT,
  EVENT_CHANGE,  /* value: extra key */
  EVENT_LEAVING, /* value: endpoint */
  EVENT_TROUBLE, /* value: seconds that it takes */
  EVENT_SETTLED
};

/* What happened at a time, to the request ID where it has one. */
struct step
{
  double at_s;
  enum event event;
  uint32_t value;
  const char *id; /* its first letter tells the kind */
};

#define STEPS_MAX 12

/* Steps, and the start of the violation that the judge tells; NULL: none. */
static const struct
{
  const char *name;
  struct step steps[STEPS_MAX];
  const char *want;
} rows[] = {
  { "a booking is served",
    { { 1, EVENT_REQUEST, 0, "b1" },
      { 1.1, EVENT_ARRIVES, 0, "b1" },
      { 1.1, EVENT_RUNS, 0, "b1" },
      { 1.2, EVENT_RESTS, 0, "b1" },
      { 1.2, EVENT_ANSWER, 200, "b1" } },
    NULL },
  { "a wrong answer",
    { { 1, EVENT_REQUEST, 0, "b1" }, { 1.2, EVENT_WRONG, 200, "b1" } },
    "b1 got a wrong answer" },
  { "a booking runs twice",
    { { 1, EVENT_REQUEST, 0, "b1" },
      { 1.1, EVENT_RUNS, 0, "b1" },
      { 1.3, EVENT_RUNS, 0, "b1" },
      { 1.4, EVENT_ANSWER, 200, "b1" } },
    "b1 ran 2 times" },
  { "a lookup runs twice",
    { { 1, EVENT_REQUEST, 0, "l1" },
      { 1.1, EVENT_RUNS, 0, "l1" },
      { 1.3, EVENT_RUNS, 0, "l1" },
      { 1.4, EVENT_ANSWER, 200, "l1" } },
    NULL },
  { "a booking that was refused runs",
    { { 1, EVENT_REQUEST, 0, "b1" },
      { 1.1, EVENT_ANSWER, 503, "b1" },
      { 2, EVENT_RUNS, 0, "b1" } },
    "b1 was told 503 and ran" },
  { "a booking that failed says nothing of that kind",
    { { 1, EVENT_REQUEST, 0, "b1" },
      { 1.1, EVENT_RUNS, 0, "b1" },
      { 1.2, EVENT_ANSWER, 502, "b1" } },
    NULL },
  { "no answer",
    { { 1, EVENT_REQUEST, 0, "b1" }, { 9, EVENT_NONE, 0, NULL } },
    "b1 had no answer in time" },
  { "no answer in trouble",
    { { 1, EVENT_REQUEST, 0, "b1" }, { 2, EVENT_TROUBLE, 1, NULL } },
    NULL },
  { "a stream is cut off",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.1, EVENT_RUNS, 0, "d1" },
      { 2, EVENT_CUT, 200, "d1" } },
    "d1 was cut off" },
  { "a stream is cut off shortly after a trouble",
    { { 1, EVENT_TROUBLE, 1, NULL },
      { 3, EVENT_REQUEST, 0, "d1" },
      { 3.1, EVENT_RUNS, 0, "d1" },
      { 4, EVENT_CUT, 200, "d1" } },
    NULL },
  { "a connection that ends before anything ran",
    { { 1, EVENT_REQUEST, 0, "d1" }, { 2, EVENT_CUT, 0, "d1" } },
    NULL },
  { "work for a caller that left",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.1, EVENT_RUNS, 0, "d1" },
      { 2, EVENT_LEFT, 0, "d1" },
      { 2.8, EVENT_RESTS, 0, "d1" } },
    "d1 was worked on" },
  { "work that stops soon",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.1, EVENT_RUNS, 0, "d1" },
      { 2, EVENT_LEFT, 0, "d1" },
      { 2.2, EVENT_RESTS, 0, "d1" } },
    NULL },
  { "a removed key after the bound, in trouble",
    { { 1, EVENT_CHANGE, 7, NULL },
      { 2, EVENT_CHANGE, 0, NULL },
      { 3, EVENT_TROUBLE, 9, NULL },
      { 7.5, EVENT_REQUEST, 7, "b1" },
      { 7.6, EVENT_RUNS, 0, "b1" },
      { 7.7, EVENT_ANSWER, 200, "b1" } },
    "b1 ran with a key that was removed" },
  { "a removed key within the bound, in trouble",
    { { 1, EVENT_CHANGE, 7, NULL },
      { 2, EVENT_CHANGE, 0, NULL },
      { 3, EVENT_TROUBLE, 9, NULL },
      { 6.5, EVENT_REQUEST, 7, "b1" },
      { 6.6, EVENT_RUNS, 0, "b1" },
      { 6.7, EVENT_ANSWER, 200, "b1" } },
    NULL },
  { "a removed key in calm",
    { { 1, EVENT_CHANGE, 7, NULL },
      { 2, EVENT_CHANGE, 0, NULL },
      { 4.5, EVENT_REQUEST, 7, "b1" },
      { 4.6, EVENT_RUNS, 0, "b1" },
      { 4.7, EVENT_ANSWER, 200, "b1" } },
    "b1 ran by an older configuration" },
  { "a new key is denied",
    { { 1, EVENT_CHANGE, 7, NULL },
      { 3.5, EVENT_REQUEST, 7, "b1" },
      { 3.6, EVENT_ANSWER, 401, "b1" } },
    "b1 was denied by an older configuration" },
  { "a new key is denied at first",
    { { 1, EVENT_CHANGE, 7, NULL },
      { 2.5, EVENT_REQUEST, 7, "b1" },
      { 2.6, EVENT_ANSWER, 401, "b1" } },
    NULL },
  { "a configuration reverts",
    { { 1, EVENT_CHANGE, 7, NULL },
      { 1.2, EVENT_REQUEST, 7, "b1" },
      { 1.3, EVENT_RUNS, 0, "b1" },
      { 1.4, EVENT_ANSWER, 200, "b1" },
      { 1.7, EVENT_REQUEST, 7, "b2" },
      { 1.8, EVENT_ANSWER, 401, "b2" } },
    "b2 was denied after b1 had run" },
  { "work for a leaving endpoint",
    { { 1, EVENT_LEAVING, 3, NULL },
      { 4, EVENT_REQUEST, 0, "d1" },
      { 4, EVENT_ARRIVES, 3, "d1" },
      { 4, EVENT_RUNS, 0, "d1" },
      { 5, EVENT_ANSWER, 200, "d1" } },
    "d1 was sent to a leaving endpoint" },
  { "work that a leaving endpoint still takes",
    { { 1, EVENT_LEAVING, 3, NULL },
      { 2.5, EVENT_REQUEST, 0, "d1" },
      { 2.5, EVENT_ARRIVES, 3, "d1" },
      { 2.5, EVENT_RUNS, 0, "d1" },
      { 5, EVENT_ANSWER, 200, "d1" } },
    NULL },
  { "too many repeats",
    { { 1, EVENT_REQUEST, 0, "l1" },
      { 1, EVENT_ARRIVES, 0, "l1" },
      { 1.1, EVENT_ARRIVES, 0, "l1" },
      { 1.2, EVENT_ARRIVES, 0, "l1" },
      { 1.3, EVENT_ARRIVES, 0, "l1" },
      { 1.4, EVENT_ANSWER, 502, "l1" } },
    "3 repeats for 1 requests" },
  { "repeats at different times",
    { { 1, EVENT_REQUEST, 0, "l1" },
      { 1, EVENT_ARRIVES, 0, "l1" },
      { 1.1, EVENT_ARRIVES, 0, "l1" },
      { 1.2, EVENT_ARRIVES, 0, "l1" },
      { 1.4, EVENT_ANSWER, 502, "l1" },
      { 21, EVENT_REQUEST, 0, "l2" },
      { 21, EVENT_ARRIVES, 0, "l2" },
      { 21.3, EVENT_ARRIVES, 0, "l2" },
      { 21.4, EVENT_ANSWER, 502, "l2" } },
    NULL },
  { "nothing is served after the last trouble",
    { { 1, EVENT_TROUBLE, 1, NULL },
      { 5, EVENT_SETTLED, 0, NULL },
      { 6, EVENT_REQUEST, 0, "b1" },
      { 6.1, EVENT_ANSWER, 503, "b1" } },
    "b1 wasn't served after the last trouble" },
};

/* Notes STEP, which concerns REQUEST.  */
static void
note_request (struct srd_record *record, const struct step *step,
              struct srd_request *request, int64_t now_us)
{
  switch (step->event)
    {
    case EVENT_ARRIVES:
      srd_arrived (record, step->id, step->value, now_us);
      break;
    case EVENT_RUNS:
      srd_runs (record, step->id, now_us);
      break;
    case EVENT_RESTS:
      srd_rests (record, step->id, now_us);
      break;
    case EVENT_LEFT:
      request->left_us = now_us;
      break;
    case EVENT_ANSWER:
    case EVENT_WRONG:
    case EVENT_CUT:
      request->status = step->value;
      request->complete = step->event != EVENT_CUT;
      request->right = step->event == EVENT_ANSWER;
      request->ended_us = now_us;
      break;
    default:
      break;
    }
}

static void
add_request (struct srd_record *record, const struct step *step,
             int64_t now_us)
{
  struct srd_request *request = srd_add_request (record, step->id);
  request->kind = step->id[0] == 'b'   ? SRD_BOOK
                  : step->id[0] == 'l' ? SRD_LOOK
                                       : SRD_DRAFT;
  request->key = step->value;
  request->sent_us = now_us;
  request->deadline_us = now_us + 5 * S_US;
}

static void
note (struct srd_record *record, const struct step *step)
{
  int64_t now_us = (int64_t)(step->at_s * S_US);
  struct srd_change change = { .version = record->changes->len + 1,
                               .extra_key = step->value,
                               .acked_us = now_us };
  struct srd_leaving leaving
      = { .endpoint = step->value, .acked_us = now_us, .gone_us = SRD_NEVER };
  switch (step->event)
    {
    case EVENT_REQUEST:
      add_request (record, step, now_us);
      break;
    case EVENT_CHANGE:
      g_array_append_val (record->changes, change);
      break;
    case EVENT_LEAVING:
      g_array_append_val (record->leavings, leaving);
      break;
    case EVENT_TROUBLE:
      srd_end_trouble (record, srd_begin_trouble (record, now_us),
                       now_us + step->value * S_US);
      break;
    case EVENT_SETTLED:
      record->settled_us = now_us;
      break;
    default:
      if (step->id != NULL)
        {
          note_request (record, step,
                        g_hash_table_lookup (record->by_id, step->id), now_us);
        }
      break;
    }
}

static void
test_judge (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct srd_record *record = srd_create ();
      for (size_t n = 0; n < STEPS_MAX; n++)
        {
          note (record, &rows[i].steps[n]);
        }
      GPtrArray *violations = sjd_judge (record, &bounds);
      const char *got
          = violations->len == 0 ? NULL : g_ptr_array_index (violations, 0);
      bool as_wanted
          = rows[i].want == NULL
                ? got == NULL
                : got != NULL && g_str_has_prefix (got, rows[i].want);
      if (!as_wanted || violations->len > 1)
        {
          fail_msg ("%s: %u violations, %s", rows[i].name, violations->len,
                    got);
        }
      g_ptr_array_free (violations, TRUE);
      srd_destroy (record);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_judge) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
