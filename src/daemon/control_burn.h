/* Service-level burn: outcomes from traffic threads, records in the log, and
   the report. */
#ifndef DAEMON_CONTROL_BURN_H
#define DAEMON_CONTROL_BURN_H

#include "core/burn.h"
#include "daemon/control.h"

/* How one request ended; see struct brn_outcome. */
struct brn_event
{
  char account[CFG_NAME_BYTES];
  char endpoint[CFG_NAME_BYTES];
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
json_t *ctl_burn_report (struct ctl_control *control);

#endif
