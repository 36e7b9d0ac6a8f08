#include "core/attempt.h"

#define STATUS_BAD_GATEWAY 502
#define STATUS_UNAVAILABLE 503
#define STATUS_GATEWAY_TIMEOUT 504

/* True when REQUEST may be sent again although an attempt may have run.  */
static bool
is_repeatable (const struct att_request *request)
{
  return request->repeat == FLT_REPEAT_FREELY
         || (request->repeat == FLT_REPEAT_STREAM && request->resumable);
}

/* Decides what REQUEST gets when it isn't sent again.  */
static void
decide_answer (const struct att_request *request, enum att_end end,
               struct att_verdict *verdict)
{
  if (request->answer_begun)
    {
      verdict->next = ATT_BREAK_OFF;
      return;
    }
  if (end == ATT_FAILED)
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

/* Decides what becomes of REQUEST after an attempt that ended by END.  A
   verdict with `needs_budget' holds only if the budget of repeats allows it;
   else att_decide_unpaid tells.  */
void
att_decide (const struct att_request *request, enum att_end end,
            struct att_verdict *verdict)
{
  *verdict = (struct att_verdict){ 0 };
  bool spent = request->may_have_run >= request->attempts_max
               || request->sent >= ATT_ARRIVALS_MAX;
  bool late = request->left_us < ATT_LEAST_LEFT_US;
  bool allowed = request->may_have_run == 0 || is_repeatable (request);
  if (end == ATT_TIMED_OUT || spent || late || !allowed)
    {
      decide_answer (request, end, verdict);
      return;
    }
  verdict->next = request->answer_begun ? ATT_RESUME : ATT_RETRY;
  verdict->needs_budget = request->sent > 0;
}

/* True when the attempt under way of REQUEST may be given up for another one,
   because its endpoint is silent: silence alone never ends a request.  */
bool
att_may_abandon (const struct att_request *request)
{
  struct att_request after = *request;
  struct att_verdict verdict;
  after.may_have_run++;
  after.sent++;
  att_decide (&after, ATT_SILENT, &verdict);
  return verdict.next == ATT_RETRY || verdict.next == ATT_RESUME;
}

/* Decides what becomes of REQUEST when it isn't sent again, because the budget
   of repeats is spent or no endpoint is left.  */
void
att_decide_unpaid (const struct att_request *request, enum att_end end,
                   struct att_verdict *verdict)
{
  *verdict = (struct att_verdict){ 0 };
  decide_answer (request, end, verdict);
}
