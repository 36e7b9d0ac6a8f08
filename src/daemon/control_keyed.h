/* Calls that may not be repeated, as traffic threads give them to the control
   thread. */
#ifndef DAEMON_CONTROL_KEYED_H
#define DAEMON_CONTROL_KEYED_H

#include "daemon/control.h"
#include "operator/operator.h"

/* How a dispatched call ended. */
struct kc_result
{
  enum kc_result_kind end;
  enum err_kind kind; /* of KC_RESULT_NOT_RUN and KC_RESULT_UNKNOWN */
  uint32_t status;    /* KC_RESULT_ANSWERED */
  GBytes *body;       /* KC_RESULT_ANSWERED */
};

void ctl_keyed_request_claim (struct ctl_control *control,
                              struct kc_call *call);
bool ctl_keyed_begin_send (struct ctl_control *control, struct kc_call *call);
void ctl_keyed_finish (struct ctl_control *control, struct kc_call *call,
                       const struct kc_result *report);
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
