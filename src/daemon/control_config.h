/* Configuration: lets operators publish and read it, and applies the versions
   that the configuration state machine (core/confstate.h) puts in force.  The
   functions below wait for the control thread and must not be called on it. */
#ifndef DAEMON_CONTROL_CONFIG_H
#define DAEMON_CONTROL_CONFIG_H

#include "daemon/control.h"
#include "operator/operator.h"

bool ctl_config_publish (struct ctl_control *control,
                         const struct opr_publish *publish, uint64_t *version,
                         struct err_failure *failure);
json_t *ctl_config_show (struct ctl_control *control,
                         struct err_failure *failure);
json_t *ctl_config_history (struct ctl_control *control);
bool ctl_config_drain (struct ctl_control *control, const char *host,
                       bool draining, uint64_t *version,
                       struct err_failure *failure);

#endif
