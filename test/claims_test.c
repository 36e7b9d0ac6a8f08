/* Tests of the claims state machine in a simulation of several daemons (see
   schedule.h): scenarios of faults, then expiry, retention, limits and
   listings. */
#include "schedule.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Steps set only the operands that they use.  */
#pragma GCC diagnostic ignored "-Wmissing-field-initializers"

#define ACCOUNT "acme"
#define KEY "key-1"
#define LIFETIME_US (INT64_C (3600) * SCH_S_US)
#define STEPS_MAX 24

enum op
{
  END,
  CALL,           /* node, body hash; calls are numbered from 0 */
  RUN,            /* ms */
  APPEND_FAULT,   /* enum sch_append_fault, from now on */
  SERVICE_FAULT,  /* enum sch_service_fault, from now on */
  SEND_DELAY,     /* ms from the win of a claim to the send */
  KILL,           /* node */
  START,          /* node */
  PAUSE,          /* node */
  RESUME,         /* node */
  DISCONNECT,     /* node, from the log */
  RECONNECT,      /* node */
  LOG_DOWN,       /* the log has an outage */
  LOG_UP,         /* the outage ends */
  CALLER_GONE,    /* call: its caller closes the connection */
  SETTLE,         /* node, ran; is numbered like a call */
  ANSWER,         /* call, kind, ran: its only answer */
  NO_ANSWER,      /* call: not answered yet */
  EFFECTS,        /* how many times the call of the key ran */
  READS_PER_STEP, /* maximum records that a daemon reads in a step */
  ACTIVE          /* node, number of its claims in progress */
};

struct step
{
  enum op op;
  uint32_t a;
  uint32_t b;
  uint32_t c;
};

struct scenario
{
  const char *name;
  struct step steps[STEPS_MAX];
};

static const struct scenario scenarios[] = {
  { "one call",
    { { CALL, 0, 1 },
      { RUN, 500 },
      { ANSWER, 0, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 },
      { ACTIVE, 0, 0 } } },
  { "a repeat at another daemon gets the recorded answer",
    { { CALL, 0, 1 },
      { RUN, 500 },
      { CALL, 1, 1 },
      { RUN, 500 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "a repeat with another body is refused at every daemon",
    { { CALL, 0, 1 },
      { CALL, 0, 2 },
      { ANSWER, 1, ERR_KEY_CONFLICT, ERR_RAN_NO },
      { RUN, 500 },
      { CALL, 1, 2 },
      { ANSWER, 2, ERR_KEY_CONFLICT, ERR_RAN_NO },
      { EFFECTS, 1 } } },
  { "concurrent calls with one key at two daemons",
    { { CALL, 0, 1 },
      { CALL, 1, 1 },
      { RUN, 15 },
      { RUN, 500 },
      { EFFECTS, 1 },
      { CALL, 0, 1 },
      { CALL, 1, 1 },
      { ANSWER, 2, ERR_NONE, ERR_RAN_YES },
      { ANSWER, 3, ERR_NONE, ERR_RAN_YES } } },
  { "a repeat while the call is in progress",
    { { SERVICE_FAULT, SCH_SERVICE_SLOW },
      { CALL, 0, 1 },
      { RUN, 200 },
      { CALL, 1, 1 },
      { ANSWER, 1, ERR_KEY_IN_PROGRESS, ERR_RAN_UNKNOWN },
      { CALL, 0, 1 },
      { ANSWER, 2, ERR_KEY_IN_PROGRESS, ERR_RAN_UNKNOWN },
      { RUN, 1500 },
      { ANSWER, 0, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "a repeat after a call that was not run may run",
    { { SERVICE_FAULT, SCH_SERVICE_NOT_RUN },
      { CALL, 0, 1 },
      { RUN, 500 },
      { ANSWER, 0, ERR_ENDPOINT_REFUSED, ERR_RAN_NO },
      { EFFECTS, 0 },
      { SERVICE_FAULT, SCH_SERVICE_OK },
      { CALL, 1, 1 },
      { RUN, 500 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "two concurrent repeats after a call that was not run",
    { { SERVICE_FAULT, SCH_SERVICE_NOT_RUN },
      { CALL, 0, 1 },
      { RUN, 500 },
      { SERVICE_FAULT, SCH_SERVICE_OK },
      { CALL, 1, 1 },
      { CALL, 2, 1 },
      { RUN, 500 },
      { EFFECTS, 1 } } },
  { "the answer not run waits until the release is read back",
    { { SERVICE_FAULT, SCH_SERVICE_NOT_RUN },
      { CALL, 0, 1 },
      { RUN, 20 },
      { APPEND_FAULT, SCH_APPEND_REQUEST_LOST },
      { RUN, 1000 },
      { NO_ANSWER, 0 },
      { RUN, 1500 },
      { ANSWER, 0, ERR_APPEND_UNKNOWN, ERR_RAN_UNKNOWN },
      { APPEND_FAULT, SCH_APPEND_OK },
      { RUN, 4000 },
      { ACTIVE, 0, 0 },
      { SERVICE_FAULT, SCH_SERVICE_OK },
      { CALL, 1, 1 },
      { RUN, 500 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "a repeat after a call that may have run",
    { { SERVICE_FAULT, SCH_SERVICE_REPLY_LOST },
      { CALL, 0, 1 },
      { RUN, 500 },
      { ANSWER, 0, ERR_ENDPOINT_FAILED, ERR_RAN_UNKNOWN },
      { SERVICE_FAULT, SCH_SERVICE_OK },
      { CALL, 1, 1 },
      { ANSWER, 1, ERR_KEY_UNKNOWN, ERR_RAN_UNKNOWN },
      { CALL, 0, 1 },
      { ANSWER, 2, ERR_KEY_UNKNOWN, ERR_RAN_UNKNOWN },
      { EFFECTS, 1 } } },
  { "an operator settles an unknown key as run",
    { { SERVICE_FAULT, SCH_SERVICE_REPLY_LOST },
      { CALL, 0, 1 },
      { RUN, 500 },
      { SETTLE, 1, true },
      { RUN, 500 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES },
      { CALL, 2, 1 },
      { ANSWER, 2, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "an operator settles an unknown key as not run",
    { { SERVICE_FAULT, SCH_SERVICE_REQUEST_LOST },
      { CALL, 0, 1 },
      { RUN, 500 },
      { SETTLE, 1, false },
      { RUN, 500 },
      { SERVICE_FAULT, SCH_SERVICE_OK },
      { CALL, 2, 1 },
      { RUN, 500 },
      { ANSWER, 2, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "of two contradictory settlements the first one in the log takes effect",
    { { SERVICE_FAULT, SCH_SERVICE_REPLY_LOST },
      { CALL, 0, 1 },
      { RUN, 500 },
      { SETTLE, 1, true },
      { RUN, 500 },
      { SETTLE, 2, false },
      { ANSWER, 2, ERR_NOT_FOUND, ERR_RAN_NO },
      { SERVICE_FAULT, SCH_SERVICE_OK },
      { CALL, 2, 1 },
      { RUN, 500 },
      { ANSWER, 3, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "an operator may not settle a call that is in progress",
    { { SERVICE_FAULT, SCH_SERVICE_SLOW },
      { CALL, 0, 1 },
      { RUN, 100 },
      { SETTLE, 1, false },
      { ANSWER, 1, ERR_KEY_IN_PROGRESS, ERR_RAN_UNKNOWN },
      { RUN, 1500 },
      { ANSWER, 0, ERR_NONE, ERR_RAN_YES } } },
  { "the caller closes its connection before its claim is read back",
    { { CALL, 0, 1 },
      { CALLER_GONE, 0 },
      { RUN, 500 },
      { EFFECTS, 0 },
      { ACTIVE, 0, 0 },
      { CALL, 1, 1 },
      { RUN, 500 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "the caller closes its connection before the send",
    { { SEND_DELAY, 200 },
      { CALL, 0, 1 },
      { RUN, 100 },
      { CALLER_GONE, 0 },
      { RUN, 500 },
      { EFFECTS, 0 },
      { CALL, 1, 1 },
      { RUN, 500 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "an outcome is recorded though the caller closed its connection",
    { { SERVICE_FAULT, SCH_SERVICE_SLOW },
      { CALL, 0, 1 },
      { RUN, 100 },
      { CALLER_GONE, 0 },
      { RUN, 1500 },
      { CALL, 1, 1 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "the daemon restarts between claim and send",
    { { SEND_DELAY, 200 },
      { CALL, 0, 1 },
      { RUN, 100 },
      { KILL, 0 },
      { START, 0 },
      { RUN, 500 },
      { CALL, 1, 1 },
      { ANSWER, 1, ERR_KEY_IN_PROGRESS, ERR_RAN_UNKNOWN },
      { RUN, 130000 },
      { CALL, 0, 1 },
      { ANSWER, 2, ERR_KEY_UNKNOWN, ERR_RAN_UNKNOWN },
      { SETTLE, 2, false },
      { RUN, 500 },
      { CALL, 0, 1 },
      { RUN, 500 },
      { ANSWER, 4, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "the daemon restarts between send and outcome",
    { { SERVICE_FAULT, SCH_SERVICE_SLOW },
      { CALL, 0, 1 },
      { RUN, 100 },
      { KILL, 0 },
      { START, 0 },
      { RUN, 130000 },
      { CALL, 1, 1 },
      { ANSWER, 1, ERR_KEY_UNKNOWN, ERR_RAN_UNKNOWN },
      { EFFECTS, 1 } } },
  { "the reply to an append is lost, the record is stored",
    { { APPEND_FAULT, SCH_APPEND_REPLY_LOST },
      { CALL, 0, 1 },
      { RUN, 500 },
      { ANSWER, 0, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "the reply to an append is lost, the record is not stored",
    { { APPEND_FAULT, SCH_APPEND_REQUEST_LOST },
      { CALL, 0, 1 },
      { RUN, 100 },
      { APPEND_FAULT, SCH_APPEND_OK },
      { RUN, 1000 },
      { NO_ANSWER, 0 },
      { RUN, 2000 },
      { ANSWER, 0, ERR_LOG_UNAVAILABLE, ERR_RAN_NO },
      { CALL, 1, 1 },
      { RUN, 500 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "the reply to an append is lost, the record is stored after the release",
    { { APPEND_FAULT, SCH_APPEND_DELAYED },
      { CALL, 0, 1 },
      { RUN, 100 },
      { APPEND_FAULT, SCH_APPEND_OK },
      { RUN, 2500 },
      { ANSWER, 0, ERR_LOG_UNAVAILABLE, ERR_RAN_NO },
      { RUN, 3000 },
      { EFFECTS, 0 },
      { CALL, 1, 1 },
      { RUN, 500 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "an append is refused",
    { { APPEND_FAULT, SCH_APPEND_REFUSED },
      { CALL, 0, 1 },
      { RUN, 200 },
      { ANSWER, 0, ERR_LOG_UNAVAILABLE, ERR_RAN_NO },
      { APPEND_FAULT, SCH_APPEND_OK },
      { RUN, 1000 },
      { CALL, 1, 1 },
      { RUN, 500 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "a refused append of an outcome is retried",
    { { CALL, 0, 1 },
      { RUN, 20 },
      { APPEND_FAULT, SCH_APPEND_REFUSED },
      { RUN, 200 },
      { ANSWER, 0, ERR_NONE, ERR_RAN_YES },
      { APPEND_FAULT, SCH_APPEND_OK },
      { RUN, 2000 },
      { ACTIVE, 0, 0 },
      { CALL, 1, 1 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES } } },
  { "a holder is paused after its claim has won",
    { { SEND_DELAY, 100 },
      { CALL, 0, 1 },
      { RUN, 50 },
      { PAUSE, 0 },
      { RUN, 10000 },
      { CALL, 1, 1 },
      { ANSWER, 1, ERR_KEY_IN_PROGRESS, ERR_RAN_UNKNOWN },
      { RESUME, 0 },
      { RUN, 500 },
      { ANSWER, 0, ERR_DEADLINE_EXCEEDED, ERR_RAN_NO },
      { CALL, 1, 1 },
      { RUN, 500 },
      { ANSWER, 2, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "a holder is paused until an operator has settled its claim as not run",
    { { SEND_DELAY, 100 },
      { CALL, 0, 1 },
      { RUN, 50 },
      { PAUSE, 0 },
      { RUN, 130000 },
      { SETTLE, 1, false },
      { RUN, 200 },
      { CALL, 1, 1 },
      { RUN, 500 },
      { ANSWER, 2, ERR_NONE, ERR_RAN_YES },
      { RESUME, 0 },
      { RUN, 500 },
      { ANSWER, 0, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "a holder is paused while its append is in flight",
    { { CALL, 0, 1 },
      { PAUSE, 0 },
      { RUN, 130000 },
      { SETTLE, 1, false },
      { RUN, 200 },
      { CALL, 1, 1 },
      { RUN, 500 },
      { RESUME, 0 },
      { RUN, 1000 },
      { EFFECTS, 1 },
      { ANSWER, 0, ERR_NONE, ERR_RAN_YES } } },
  { "a holder resumes and reads the records after its claim slowly",
    { { CALL, 0, 1 },
      { PAUSE, 0 },
      { RUN, 130000 },
      { SETTLE, 1, false },
      { RUN, 200 },
      { CALL, 1, 1 },
      { RUN, 500 },
      { READS_PER_STEP, 1 },
      { RESUME, 0 },
      { RUN, 1000 },
      { EFFECTS, 1 },
      { ANSWER, 0, ERR_NONE, ERR_RAN_YES } } },
  { "a daemon is paused while a call waits for its append",
    { { APPEND_FAULT, SCH_APPEND_REFUSED },
      { CALL, 0, 1 },
      { RUN, 100 },
      { ANSWER, 0, ERR_LOG_UNAVAILABLE, ERR_RAN_NO },
      { APPEND_FAULT, SCH_APPEND_OK },
      { CALL, 0, 1 },
      { PAUSE, 0 },
      { RUN, 900000 },
      { RESUME, 0 },
      { RUN, 1000 },
      { ANSWER, 1, ERR_LOG_UNAVAILABLE, ERR_RAN_NO },
      { EFFECTS, 0 } } },
  { "calls are refused at once during a log outage, and served after it",
    { { LOG_DOWN },
      { CALL, 0, 1 },
      { RUN, 50 },
      { ANSWER, 0, ERR_LOG_UNAVAILABLE, ERR_RAN_NO },
      { CALL, 0, 1 },
      { ANSWER, 1, ERR_LOG_UNAVAILABLE, ERR_RAN_NO },
      { RUN, 10000 },
      { CALL, 0, 1 },
      { ANSWER, 2, ERR_LOG_UNAVAILABLE, ERR_RAN_NO },
      { LOG_UP },
      { RUN, 1000 },
      { CALL, 0, 1 },
      { RUN, 500 },
      { ANSWER, 3, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "the log has an outage between send and outcome",
    { { SERVICE_FAULT, SCH_SERVICE_SLOW },
      { CALL, 0, 1 },
      { RUN, 100 },
      { LOG_DOWN },
      { RUN, 5000 },
      { ANSWER, 0, ERR_NONE, ERR_RAN_YES },
      { CALL, 0, 1 },
      { ANSWER, 1, ERR_NONE, ERR_RAN_YES },
      { CALL, 1, 1 },
      { ANSWER, 2, ERR_KEY_IN_PROGRESS, ERR_RAN_UNKNOWN },
      { LOG_UP },
      { RUN, 2000 },
      { CALL, 1, 1 },
      { ANSWER, 3, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
  { "a daemon that is disconnected from the log doesn't know what others ran",
    { { DISCONNECT, 1 },
      { CALL, 0, 1 },
      { RUN, 500 },
      { ANSWER, 0, ERR_NONE, ERR_RAN_YES },
      { CALL, 1, 1 },
      { RUN, 4000 },
      { ANSWER, 1, ERR_LOG_UNAVAILABLE, ERR_RAN_UNKNOWN },
      { CALL, 1, 1 },
      { ANSWER, 2, ERR_LOG_UNAVAILABLE, ERR_RAN_UNKNOWN },
      { RECONNECT, 1 },
      { RUN, 500 },
      { CALL, 1, 1 },
      { ANSWER, 3, ERR_NONE, ERR_RAN_YES },
      { EFFECTS, 1 } } },
};

static void
check_answer (const struct sch *sch, const struct step *step)
{
  const struct sch_call *call = sch_get (sch, step->a);
  assert_int_equal (call->answers, 1);
  assert_string_equal (err_info (call->kind)->name,
                       err_info ((enum err_kind)step->b)->name);
  assert_int_equal (call->ran, step->c);
}

static void
check_step (const struct sch *sch, const struct step *step)
{
  switch (step->op)
    {
    case ANSWER:
      check_answer (sch, step);
      break;
    case NO_ANSWER:
      assert_int_equal (sch_get (sch, step->a)->answers, 0);
      break;
    case EFFECTS:
      assert_int_equal (sch_effects (sch, ACCOUNT, KEY), step->a);
      break;
    case ACTIVE:
      assert_int_equal (clm_stats (sch->nodes[step->a].clm).active, step->b);
      break;
    default:
      fail ();
    }
}

static void
do_step (struct sch *sch, const struct step *step)
{
  uint32_t number;
  switch (step->op)
    {
    case CALL:
      sch_call (sch, step->a, ACCOUNT, KEY, step->b);
      break;
    case RUN:
      sch_run (sch, step->a * INT64_C (1000));
      break;
    case APPEND_FAULT:
      sch->append_fault = (enum sch_append_fault)step->a;
      break;
    case SERVICE_FAULT:
      sch->service_fault = (enum sch_service_fault)step->a;
      break;
    case SEND_DELAY:
      sch->dispatch_delay_us = step->a * INT64_C (1000);
      break;
    case KILL:
      sch_kill (sch, step->a);
      break;
    case START:
      sch_start (sch, step->a);
      break;
    case PAUSE:
    case RESUME:
      sch->nodes[step->a].paused = step->op == PAUSE;
      break;
    case DISCONNECT:
    case RECONNECT:
      sch->nodes[step->a].disconnected = step->op == DISCONNECT;
      break;
    case LOG_DOWN:
    case LOG_UP:
      sch->log_down = step->op == LOG_DOWN;
      break;
    case READS_PER_STEP:
      sch->reads_per_step = step->a;
      break;
    case CALLER_GONE:
      sch_caller_gone (sch, step->a);
      break;
    case SETTLE:
      sch_settle (sch, step->a, &number, ACCOUNT, KEY, step->b);
      break;
    default:
      check_step (sch, step);
    }
}

static void
fault_scenarios (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    {
      print_message ("scenario: %s\n", scenarios[i].name);
      struct sch *sch = sch_create (i + 1, 3, LIFETIME_US);
      sch_run (sch, SCH_S_US);
      for (const struct step *step = scenarios[i].steps; step->op != END;
           step++)
        {
          do_step (sch, step);
        }
      sch_destroy (sch);
    }
}

#define SHORT_LIFETIME_US (INT64_C (60) * SCH_S_US)

static void
check_call (const struct sch *sch, uint32_t call, enum err_kind kind,
            enum err_ran ran)
{
  const struct step step = { ANSWER, call, kind, ran };
  check_answer (sch, &step);
}

/* A key is refused at every daemon once its lifetime has passed.  */
static void
expired_key (void **state)
{
  (void)state;
  struct sch *sch = sch_create (1, 2, SHORT_LIFETIME_US);
  sch_run (sch, SCH_S_US);
  sch_call (sch, 0, ACCOUNT, KEY, 1);
  sch_run (sch, SHORT_LIFETIME_US - SCH_S_US);
  uint32_t young = sch_call (sch, 1, ACCOUNT, KEY, 1);
  check_call (sch, young, ERR_NONE, ERR_RAN_YES);
  sch_run (sch, 2 * SCH_S_US);
  uint32_t here = sch_call (sch, 0, ACCOUNT, KEY, 1);
  uint32_t there = sch_call (sch, 1, ACCOUNT, KEY, 1);
  check_call (sch, here, ERR_KEY_EXPIRED, ERR_RAN_YES);
  check_call (sch, there, ERR_KEY_EXPIRED, ERR_RAN_YES);
  sch_run (sch, SHORT_LIFETIME_US - 10 * SCH_S_US);
  uint32_t late = sch_call (sch, 1, ACCOUNT, KEY, 1);
  check_call (sch, late, ERR_KEY_EXPIRED, ERR_RAN_YES);
  assert_int_equal (sch_effects (sch, ACCOUNT, KEY), 1);
  sch_destroy (sch);
}

/* An expired key that is a UUID of version 7 is recognised by the time in it,
   even when the key is not in the table.  Here the log time is in 2023 and the
   key is of 2022.  */
static void
expired_uuid_key (void **state)
{
  (void)state;
  struct sch *sch = sch_create (1, 1, SHORT_LIFETIME_US);
  sch_run (sch, SCH_S_US);
  uint32_t call
      = sch_call (sch, 0, ACCOUNT, "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", 1);
  check_call (sch, call, ERR_KEY_EXPIRED, ERR_RAN_UNKNOWN);
  sch_destroy (sch);
}

/* The open claim of a dead daemon is refreshed by one of the others before the
   log deletes it, so that a daemon that starts later knows of it.  */
static void
open_claim_is_refreshed (void **state)
{
  (void)state;
  struct sch *sch = sch_create (1, 4, SHORT_LIFETIME_US);
  sch->log_retention_us = SHORT_LIFETIME_US * 3;
  sch->service_fault = SCH_SERVICE_REPLY_LOST;
  sch_run (sch, SCH_S_US);
  sch_call (sch, 0, ACCOUNT, KEY, 1);
  sch_run (sch, SCH_S_US);
  sch_kill (sch, 0);
  sch_run (sch, 20 * SHORT_LIFETIME_US);
  assert_true (sch->first_offset > 0);
  /* One refresh per lifetime, and one no-op per eighth of it.  */
  assert_in_range (sch->log->len, 20, 20 * 9 + 20);
  sch->service_fault = SCH_SERVICE_OK;
  sch_start (sch, 0);
  sch_run (sch, SCH_S_US);
  uint32_t call = sch_call (sch, 0, ACCOUNT, KEY, 1);
  check_call (sch, call, ERR_KEY_UNKNOWN, ERR_RAN_UNKNOWN);
  assert_int_equal (sch_effects (sch, ACCOUNT, KEY), 1);
  uint32_t other = sch_call (sch, 0, ACCOUNT, "key-2", 1);
  sch_run (sch, SCH_S_US);
  check_call (sch, other, ERR_NONE, ERR_RAN_YES);
  sch_destroy (sch);
}

/* A daemon is not ready for calls with new keys while the log does not reach
   back far enough.  */
static void
start_with_short_log (void **state)
{
  (void)state;
  struct sch *sch = sch_create (1, 2, SHORT_LIFETIME_US);
  sch_run (sch, SCH_S_US);
  sch_call (sch, 0, ACCOUNT, KEY, 1);
  sch_run (sch, SCH_S_US);
  sch->log_retention_us = SHORT_LIFETIME_US / 2;
  sch_run (sch, SHORT_LIFETIME_US);
  sch_kill (sch, 1);
  sch_start (sch, 1);
  sch_run (sch, SCH_S_US);
  assert_false (clm_ready (sch->nodes[1].clm, sch->now_us));
  uint32_t call = sch_call (sch, 1, ACCOUNT, KEY, 1);
  check_call (sch, call, ERR_NOT_READY, ERR_RAN_UNKNOWN);
  sch->log_retention_us = SHORT_LIFETIME_US * 3;
  sch_run (sch, SHORT_LIFETIME_US * 5 / 2);
  assert_true (clm_ready (sch->nodes[1].clm, sch->now_us));
  assert_int_equal (sch_effects (sch, ACCOUNT, KEY), 1);
  sch_destroy (sch);
}

/* A daemon that was paused until the log deleted unread records detects the
   gap.  */
static void
reader_misses_deleted_records (void **state)
{
  (void)state;
  struct sch *sch = sch_create (1, 2, SHORT_LIFETIME_US);
  sch->log_retention_us = SHORT_LIFETIME_US * 3;
  sch_run (sch, SCH_S_US);
  sch->nodes[1].paused = true;
  sch_run (sch, 2 * SHORT_LIFETIME_US);
  sch_call (sch, 0, ACCOUNT, KEY, 1);
  sch_run (sch, 3 * SHORT_LIFETIME_US);
  sch->nodes[1].paused = false;
  sch_run (sch, SCH_S_US);
  assert_true (clm_ready (sch->nodes[0].clm, sch->now_us));
  assert_true (clm_ready (sch->nodes[1].clm, sch->now_us));
  sch->nodes[1].paused = true;
  sch_run (sch, 3 * SHORT_LIFETIME_US);
  sch->log_retention_us = SHORT_LIFETIME_US / 2;
  sch_run (sch, SCH_S_US);
  sch->nodes[1].paused = false;
  sch_run (sch, SCH_S_US);
  assert_false (clm_ready (sch->nodes[1].clm, sch->now_us));
  sch_destroy (sch);
}

/* A daemon that missed records must not answer that a call was not run:
   another daemon may have run it.  */
static void
release_after_a_gap (void **state)
{
  (void)state;
  struct sch *sch = sch_create (1, 2, SHORT_LIFETIME_US);
  sch->log_retention_us = SHORT_LIFETIME_US * 3;
  sch_run (sch, SCH_S_US);
  sch->append_fault = SCH_APPEND_REQUEST_LOST;
  uint32_t call = sch_call (sch, 0, ACCOUNT, KEY, 1);
  sch->append_fault = SCH_APPEND_OK;
  sch->nodes[0].paused = true;
  uint32_t other = sch_call (sch, 1, ACCOUNT, KEY, 1);
  sch_run (sch, 4 * SHORT_LIFETIME_US);
  check_call (sch, other, ERR_NONE, ERR_RAN_YES);
  sch->log_retention_us = SHORT_LIFETIME_US;
  sch_run (sch, SCH_S_US);
  sch->nodes[0].paused = false;
  sch_run (sch, 5 * SCH_S_US);
  check_call (sch, call, ERR_LOG_UNAVAILABLE, ERR_RAN_UNKNOWN);
  sch_destroy (sch);
}

/* A malformed record is skipped and counted; later records are applied.  */
static void
malformed_record_in_the_stream (void **state)
{
  (void)state;
  struct sch *sch = sch_create (1, 1, LIFETIME_US);
  sch_run (sch, SCH_S_US);
  struct sch_record record
      = { .time_us = sch->now_us + sch->log_clock_us,
          .bytes = g_bytes_new_static ("not a record", 12) };
  g_array_append_val (sch->log, record);
  uint32_t call = sch_call (sch, 0, ACCOUNT, KEY, 1);
  sch_run (sch, SCH_S_US);
  check_call (sch, call, ERR_NONE, ERR_RAN_YES);
  assert_int_equal (clm_stats (sch->nodes[0].clm).malformed, 1);
  sch_destroy (sch);
}

/* While a large account uses up the daemon's share of the log, the call of a
   small account still gets into the next append.  */
static void
accounts_share_appends_fairly (void **state)
{
  (void)state;
  struct sch *sch = sch_create (1, 1, LIFETIME_US);
  sch_kill (sch, 0);
  sch->params.appends_per_s = 10;
  sch->params.batch_entries = 16;
  sch->params.queue_wait_us = 60 * SCH_S_US;
  sch_start (sch, 0);
  sch_run (sch, SCH_S_US);
  uint32_t refused = 0;
  for (uint32_t i = 0; i < 400; i++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "key-%u", i);
      uint32_t call = sch_call (sch, 0, "large", key, 1);
      refused += sch_get (sch, call)->answers;
    }
  assert_in_range (refused, 100, 200);
  uint32_t small = sch_call (sch, 0, "small", KEY, 1);
  sch_run (sch, SCH_S_US);
  check_call (sch, small, ERR_NONE, ERR_RAN_YES);
  assert_in_range (sch_get (sch, small)->answered_us, 0,
                   sch_get (sch, small)->started_us + SCH_S_US / 2);
  assert_true (clm_stats (sch->nodes[0].clm).waiting > 100);
  sch_destroy (sch);
}

/* One of 340 daemons keeps to its share of the log's append rate, however many
   calls it gets.  */
static void
append_rate_share (void **state)
{
  (void)state;
  struct sch *sch = sch_create (1, 1, LIFETIME_US);
  clm_set_share (sch->nodes[0].clm, 340, 0);
  sch_run (sch, SCH_S_US);
  uint64_t before = sch->nodes[0].appends;
  uint32_t first = sch->calls->len;
  for (uint32_t i = 0; i < 1000; i++)
    {
      char key[16];
      g_snprintf (key, sizeof key, "key-%u", i);
      sch_call (sch, 0, ACCOUNT, key, 1);
      sch_run (sch, SCH_S_US / 50);
    }
  sch_run (sch, 5 * SCH_S_US);
  /* 25 s at 300 / 340 appends per second, and the burst.  */
  assert_in_range (sch->nodes[0].appends - before, 15, 27);
  for (uint32_t i = 0; i < 1000; i++)
    {
      check_call (sch, first + i, ERR_NONE, ERR_RAN_YES);
    }
  sch_destroy (sch);
}

struct unknown_list
{
  uint32_t count;
  char key[32];
};

static void
collect_unknown (const struct key_state *state, void *user_data)
{
  struct unknown_list *list = user_data;
  list->count++;
  g_strlcpy (list->key, state->key, sizeof list->key);
}

/* The unknown keys of one account or of all accounts are listed.  */
static void
list_of_unknown_keys (void **state)
{
  (void)state;
  struct sch *sch = sch_create (1, 2, LIFETIME_US);
  sch_run (sch, SCH_S_US);
  sch_call (sch, 0, ACCOUNT, "fine", 1);
  sch_run (sch, SCH_S_US);
  sch->service_fault = SCH_SERVICE_REPLY_LOST;
  sch_call (sch, 0, ACCOUNT, KEY, 1);
  sch_run (sch, SCH_S_US);
  struct clm *clm = sch->nodes[1].clm;
  struct unknown_list all = { 0 };
  clm_list_unknown (clm, NULL, sch->now_us, collect_unknown, &all);
  assert_int_equal (all.count, 1);
  assert_string_equal (all.key, KEY);
  struct unknown_list other = { 0 };
  clm_list_unknown (clm, "other", sch->now_us, collect_unknown, &other);
  assert_int_equal (other.count, 0);
  assert_int_equal (clm_lookup (clm, ACCOUNT, "fine", sch->now_us).kind,
                    ERR_NONE);
  assert_int_equal (clm_lookup (clm, "other", "fine", sch->now_us).kind,
                    ERR_NOT_FOUND);
  assert_int_equal (clm_lookup (clm, ACCOUNT, KEY, sch->now_us).kind,
                    ERR_KEY_UNKNOWN);
  sch_destroy (sch);
}

/* A claim is unknown once its holder is reported dead.  */
static void
claims_of_a_dead_holder (void **state)
{
  (void)state;
  struct sch *sch = sch_create (1, 2, LIFETIME_US);
  sch->service_fault = SCH_SERVICE_SLOW;
  sch_run (sch, SCH_S_US);
  sch_call (sch, 0, ACCOUNT, KEY, 1);
  sch_run (sch, SCH_S_US / 5);
  uint64_t holder = sch->nodes[0].incarnation;
  sch_kill (sch, 0);
  struct clm *clm = sch->nodes[1].clm;
  assert_int_equal (clm_lookup (clm, ACCOUNT, KEY, sch->now_us).kind,
                    ERR_KEY_IN_PROGRESS);
  clm_holder_dead (clm, holder);
  assert_int_equal (clm_lookup (clm, ACCOUNT, KEY, sch->now_us).kind,
                    ERR_KEY_UNKNOWN);
  sch_destroy (sch);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (fault_scenarios),
    cmocka_unit_test (expired_key),
    cmocka_unit_test (expired_uuid_key),
    cmocka_unit_test (open_claim_is_refreshed),
    cmocka_unit_test (start_with_short_log),
    cmocka_unit_test (reader_misses_deleted_records),
    cmocka_unit_test (release_after_a_gap),
    cmocka_unit_test (malformed_record_in_the_stream),
    cmocka_unit_test (accounts_share_appends_fairly),
    cmocka_unit_test (append_rate_share),
    cmocka_unit_test (list_of_unknown_keys),
    cmocka_unit_test (claims_of_a_dead_holder),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
