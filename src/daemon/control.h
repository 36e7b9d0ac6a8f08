/* The control thread.

   The daemon's shared state lives in state machines without I/O: claims of
   idempotency keys, configuration, membership, lease, orders and service-level
   counts.  Only the control thread calls them.  Other threads post tasks to
   this thread, which passes events to the state machines, performs the actions
   that they request, and publishes the view that traffic threads read. */
#ifndef DAEMON_CONTROL_H
#define DAEMON_CONTROL_H

#include "config/settings.h"
#include "daemon/gate.h"
#include "daemon/keyed.h"
#include "daemon/metrics.h"
#include "daemon/view.h"

#include <jansson.h>

struct ctl_control;

/* All of these outlive the control thread. */
struct ctl_params
{
  const struct set_settings *settings;
  struct vw_store *views;
  struct gt_gate *gate;
  struct met_metrics *metrics;
};

/* A task for the control thread. */
typedef void (*ctl_task) (struct ctl_control *control, void *data);

struct ctl_control *ctl_create (const struct ctl_params *params,
                                GError **error);
void ctl_destroy (struct ctl_control *control);
uint64_t ctl_new_id (struct ctl_control *control);
void ctl_post (struct ctl_control *control, ctl_task task, void *data);
void ctl_call (struct ctl_control *control, ctl_task task, void *data);
bool ctl_ready (const struct ctl_control *control);
void ctl_begin_stop (struct ctl_control *control);
uint16_t ctl_peer_port (const struct ctl_control *control);

#endif
