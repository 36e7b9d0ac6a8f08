/* Connects the HTTP server for operators to the control thread: implements its
   table of callbacks, struct opr_backend.  The user data of the callbacks is a
   struct ctl_control. */
#ifndef DAEMON_OPERATOR_BACKEND_H
#define DAEMON_OPERATOR_BACKEND_H

#include "operator/operator.h"

extern const struct opr_backend bk_operator_backend;

#endif
