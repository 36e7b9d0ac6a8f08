/* Decides which ranges of layers engines are ordered to load and unload, so
   that what the engines hold converges to the wanted placement.

   The wanted placement is compared with every new report of an engine, not
   just with earlier orders.  Only the daemon that holds the lease (see
   core/lease.h) sends orders, but an order of a former lease holder may arrive
   late; its effect then shows in a report and is corrected.  The last ready
   copy of a wanted layer is never unloaded.  Reports of an engine and orders
   to it carry the index of its host.

   This is a state machine without I/O: the daemon's control thread passes
   events in, with the current monotonic time where it matters, and carries out
   the actions that ord_tick queues. */
#ifndef CORE_ORDERS_H
#define CORE_ORDERS_H

#include "core/action.h"

struct ord_params
{
  int64_t load_interval_us;      /* minimum between two load orders to any
                                    hosts, since all loads read the model's
                                    weights from the same store */
  uint32_t max_concurrent_loads; /* on all hosts together */
  int64_t resend_after_us;       /* an order is sent again when no report shows
                                    its effect within this time */
  int64_t refusal_pause_us;      /* time without orders to a host that has
                                    refused one */
  int64_t stale_us;              /* reports received longer ago are not used */
  int64_t report_lag_us;         /* age that the contents of a report may have
                                    when it arrives */
};

/* A range of a model's layers on a host. */
struct ord_range
{
  uint32_t host;  /* index in the configuration */
  uint32_t model; /* index in the configuration */
  uint32_t first; /* first layer */
  uint32_t end;   /* one past the last layer */
};

/* A range that an engine reports, loaded or still loading. */
struct ord_held_range
{
  struct ord_range range;
  bool ready; /* otherwise it is loading */
};

struct ord_stats
{
  uint32_t loads_waiting; /* due, but held back by the limits on loads */
  uint32_t loads_under_way;
  uint32_t unloads_blocked; /* unwanted ranges that are kept, as one of
                               their layers is wanted but not ready in any
                               other wanted range */
  uint64_t lost_ranges;     /* wanted ranges that were ready and are
                               missing from the next report; total */
};

struct ord;

struct ord_params ord_params_default (void);
struct ord *ord_create (const struct ord_params *params);
void ord_destroy (struct ord *ord);

void ord_set_wanted (struct ord *ord, const struct ord_range *ranges,
                     uint32_t count);
void ord_report (struct ord *ord, uint32_t host,
                 const struct ord_held_range *held, uint32_t count,
                 bool takes_work, int64_t now_us);
void ord_refused (struct ord *ord, const struct act_order *order,
                  int64_t now_us);
void ord_set_lease (struct ord *ord, bool held, uint64_t fence,
                    int64_t now_us);
void ord_tick (struct ord *ord, int64_t now_us, struct act_list *actions);
struct ord_stats ord_stats (const struct ord *ord);

#endif
