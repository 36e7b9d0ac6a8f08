#include "core/attempt.h"

#define STATUS_REQUEST_TIMEOUT 408
#define STATUS_MISDIRECTED 421
#define STATUS_TOO_MANY_REQUESTS 429
#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

/* Returns whether REQUEST may be sent again although an attempt may have
   run.  */
static bool
is_repeatable (const struct att_request *request)
{
  return request->repeat == FLT_REPEAT_IDEMPOTENT
         || (request->repeat == FLT_REPEAT_STREAM && request->resumable);
}

/* Returns whether callers take STATUS for a promise that the request hasn't
   run.  */
static bool
promises_not_run (uint32_t status)
{
  return status == STATUS_REQUEST_TIMEOUT || status == STATUS_MISDIRECTED
         || status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE;
}

/* Sets VERDICT to the action that ends REQUEST when it isn't sent again.  An
   endpoint's failure is delivered, unless its status would promise more than
   the endpoint has stated.  */
static void
set_final_action (const struct att_request *request, enum att_end end,
                  struct att_verdict *verdict)
{
  if (request->answer_begun)
    {
      verdict->next = ATT_ABORT_ANSWER;
      return;
    }
  if (end == ATT_FAILED
      && (is_repeatable (request) || !promises_not_run (request->status)))
    {
      verdict->next = ATT_PASS_FAILURE;
      return;
    }
  verdict->next = ATT_ANSWER;
  if (request->may_have_run == 0)
    {
      verdict->status = STATUS_UNAVAILABLE;
    }
  else if (end == ATT_TIMED_OUT)
    {
      verdict->status = STATUS_GATEWAY_TIMEOUT;
    }
  else
    {
      verdict->status = STATUS_BAD_GATEWAY;
    }
}

/* Sets VERDICT to the next action for REQUEST after an attempt that ended with
   END.  If the verdict has `needs_budget' set, a repeat must be taken from
   the retry budget; if the budget is exhausted, att_decide_without_budget
   gives the action instead.  */
void
att_decide (const struct att_request *request, enum att_end end,
            struct att_verdict *verdict)
{
  *verdict = (struct att_verdict){ 0 };
  bool attempts_exhausted = request->may_have_run >= request->attempts_max
                            || request->sent >= ATT_SENT_MAX;
  bool too_late = request->remaining_us < ATT_MIN_LEFT_US;
  bool may_send_again = request->may_have_run == 0 || is_repeatable (request);
  bool unreachable = request->unsent >= ATT_UNSENT_MAX;
  if (end == ATT_TIMED_OUT || attempts_exhausted || too_late || !may_send_again
      || (unreachable && !request->answer_begun))
    {
      set_final_action (request, end, verdict);
      return;
    }
  verdict->next = request->answer_begun ? ATT_RESUME : ATT_RETRY;
  verdict->pauses = unreachable;
  verdict->needs_budget = request->sent > 0;
}

/* Returns whether the current attempt of REQUEST may be abandoned because its
   endpoint doesn't respond.  It may only if another attempt can follow: a
   missing response alone never ends a request.  */
bool
att_may_abandon (const struct att_request *request)
{
  struct att_request silent_request = *request;
  struct att_verdict verdict;
  silent_request.may_have_run++;
  silent_request.sent++;
  att_decide (&silent_request, ATT_NO_RESPONSE, &verdict);
  return verdict.next == ATT_RETRY || verdict.next == ATT_RESUME;
}

/* Sets VERDICT to the action that ends REQUEST after an attempt that ended
   with END, because the retry budget is exhausted or no endpoint is
   available.  */
void
att_decide_without_budget (const struct att_request *request, enum att_end end,
                           struct att_verdict *verdict)
{
  *verdict = (struct att_verdict){ 0 };
  set_final_action (request, end, verdict);
}
