/* One daemon process: creates the control thread, the admission gate and the
   HTTP servers for callers and operators, and connects them. */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "config/settings.h"

#include <stdbool.h>

struct dmn_daemon;

struct dmn_daemon *dmn_create (const struct set_settings *settings,
                               GError **error);
void dmn_destroy (struct dmn_daemon *daemon);
uint16_t dmn_caller_port (const struct dmn_daemon *daemon);
uint16_t dmn_operator_port (const struct dmn_daemon *daemon);
void dmn_begin_stop (struct dmn_daemon *daemon);
int64_t dmn_requests_in_progress (const struct dmn_daemon *daemon);

#endif
