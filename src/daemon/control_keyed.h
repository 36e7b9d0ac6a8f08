/* Calls with an idempotency key: passes requests of the traffic threads, and
   of operators, to the claims state machine (core/claims.h) on the control
   thread.

   A traffic thread requests the claim of a call and waits with kc_wait.  When
   the call is dispatched, the thread asks ctl_keyed_begin_send, sends the call
   once, reports the result with ctl_keyed_finish, and waits again, for the
   answer.  A thread that stops waiting calls ctl_keyed_abandon.  None of the
   functions may be called on the control thread. */
#ifndef DAEMON_CONTROL_KEYED_H
#define DAEMON_CONTROL_KEYED_H

#include "daemon/control.h"
#include "operator/operator.h"

/* How a dispatched call ended. */
struct kc_result
{
  enum kc_result_kind kind;
  enum err_kind error; /* KC_RESULT_NOT_RUN, KC_RESULT_UNKNOWN */
  uint32_t status;     /* KC_RESULT_ANSWERED: HTTP status */
  GBytes *body;        /* KC_RESULT_ANSWERED: of the answer */
};

void ctl_keyed_request_claim (struct ctl_control *control,
                              struct kc_call *call);
bool ctl_keyed_begin_send (struct ctl_control *control, struct kc_call *call);
void ctl_keyed_finish (struct ctl_control *control, struct kc_call *call,
                       const struct kc_result *result);
void ctl_keyed_abandon (struct ctl_control *control, struct kc_call *call);
enum err_ran ctl_keyed_refusal_ran (struct ctl_control *control,
                                    const char *account, const char *key);
char *ctl_keyed_lookup (struct ctl_control *control, const char *account,
                        const char *key);
json_t *ctl_keyed_list_unknown (struct ctl_control *control);
bool ctl_keyed_settle (struct ctl_control *control,
                       const struct opr_settle *settle,
                       struct err_failure *failure);

#endif
