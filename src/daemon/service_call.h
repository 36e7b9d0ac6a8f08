/* Runs one call of a plain service on the calling traffic thread.  An
   idempotent call is retried on other endpoints.  Any other call needs an
   idempotency key, and is sent at most once, after the key has been claimed in
   the log. */
#ifndef DAEMON_SERVICE_CALL_H
#define DAEMON_SERVICE_CALL_H

#include "caller/caller.h"
#include "daemon/control.h"

/* The parts of the daemon that a call uses. */
struct sc_env
{
  struct ctl_control *control;
  struct vw_store *views;
  uint64_t call_id; /* unique in this daemon */
};

bool sc_run (const struct sc_env *env, const struct cal_account *account,
             const struct cal_request_options *terms,
             const struct cal_service_call *call,
             struct cal_service_answer *answer, struct err_failure *failure);
bool sc_lookup_key (struct ctl_control *control,
                    const struct cal_account *account, const char *key,
                    char **outcome, struct err_failure *failure);

#endif
