/* Connects the HTTP server for callers to the daemon: implements its table of
   callbacks, struct cal_backend, on top of the admission gate, the routing
   view and the control thread. */
#ifndef DAEMON_BACKEND_H
#define DAEMON_BACKEND_H

#include "caller/caller.h"
#include "daemon/control.h"
#include "daemon/gate.h"
#include "endpoint/canceller.h"

/* The user data of bk_caller_backend.  All parts belong to the daemon and
   outlive the server. */
struct bk_backend
{
  struct ctl_control *control;
  struct vw_store *views;
  struct can_canceller *canceller;
  struct gt_gate *gate;
  struct met_metrics *metrics;
};

extern const struct cal_backend bk_caller_backend;

#endif
