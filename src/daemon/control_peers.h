/* The other daemons: connects the membership state machine (core/membership.h)
   to the network, and exchanges marks of leaving endpoints and copies of the
   configuration with peers.  All functions are called on the control thread,
   or while it does not run. */
#ifndef DAEMON_CONTROL_PEERS_H
#define DAEMON_CONTROL_PEERS_H

#include "daemon/control_private.h"

bool ctl_peers_start (struct ctl_control *control, GError **error);
void ctl_peers_stop (struct ctl_control *control);
uint32_t ctl_own_rank (const struct ctl_control *control);
void ctl_peers_tick (struct ctl_control *control);
void ctl_peers_update_candidates (struct ctl_control *control,
                                  const struct hl_list *list);
void ctl_apply_leaving_outcome (struct ctl_control *control,
                                const struct lv_outcome *outcome);

#endif
