/* Placement of layer ranges on engines: acquires the lease (core/lease.h), and
   while this daemon holds it, plans the placement in the background and sends
   the orders (core/orders.h) that lead to it.  All functions are called on the
   control thread, or while it does not run. */
#ifndef DAEMON_CONTROL_ORDERS_H
#define DAEMON_CONTROL_ORDERS_H

#include "core/lease.h"
#include "daemon/control_private.h"

void ctl_orders_start (struct ctl_control *control);
void ctl_orders_stop (struct ctl_control *control);
void ctl_orders_handle_load_report (struct ctl_control *control,
                                    const struct ept_endpoint *endpoint,
                                    const struct eng_load_report *load);
void ctl_orders_tick (struct ctl_control *control);
struct lse *ctl_lease (struct ctl_control *control);
void ctl_send_order (struct ctl_control *control,
                     const struct act_order *order);

#endif
