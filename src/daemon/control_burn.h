/* Service-level report: connects the counts of good and bad requests
   (core/burn.h) to the traffic threads, which report outcomes, to the burn
   stream of the log, through which daemons exchange counts, and to operators,
   who ask for the report. */
#ifndef DAEMON_CONTROL_BURN_H
#define DAEMON_CONTROL_BURN_H

#include "core/burn.h"
#include "daemon/control.h"

/* How one request ended.  The fields are those of struct brn_outcome; times
   below 0 aren't counted. */
struct brn_event
{
  char account[CFG_NAME_BYTES];
  char endpoint[CFG_NAME_BYTES]; /* name of its host */
  enum brn_work work;
  enum err_kind error;
  int64_t first_token_us;
  int64_t between_tokens_us;
  int64_t settled_us;
};

void ctl_burn_observe (struct ctl_control *control,
                       const struct brn_event *event);
void ctl_burn_tick (struct ctl_control *control);
void ctl_burn_handle_append_result (struct ctl_control *control,
                                    uint64_t token, enum err_kind result);
void ctl_burn_finish (struct ctl_control *control);
void ctl_burn_log_unconfirmed (const struct ctl_control *control);
json_t *ctl_burn_report (struct ctl_control *control);

#endif
