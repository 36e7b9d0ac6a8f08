/* Decides which ranges of layers engines are ordered to load and unload, so
   that what the engines hold converges to the wanted placement.

   The wanted placement is compared with every new report of an engine, not
   just with earlier orders, so that the effect of a late order of a former
   lease holder is corrected.  The last ready copy of a wanted layer is never
   unloaded.

   This is a state machine without I/O: the daemon's control thread passes
   events in with the current monotonic time, and carries out the actions that
   come back. */
#ifndef CORE_ORDERS_H
#define CORE_ORDERS_H

#include "core/action.h"

struct ord_params
{
  int64_t load_interval_us;      /* minimum between two loads, since all of
                                    them read from the weight store */
  uint32_t max_concurrent_loads; /* on all hosts together */
  int64_t resend_after_us;       /* an order without effect is sent again */
  int64_t refusal_pause_us;      /* a host that refused an order gets none */
  int64_t stale_us;              /* older reports are not used */
  int64_t report_lag_us;         /* by which a report may be out of date */
};

/* A range of a model's layers on a host. */
struct ord_range
{
  uint32_t host;  /* index in the configuration */
  uint32_t model; /* index in the configuration */
  uint32_t first; /* first layer */
  uint32_t end;   /* one past the last layer */
};

/* A range that an engine reports. */
struct ord_held_range
{
  struct ord_range range;
  bool ready; /* otherwise it is loading */
};

struct ord_stats
{
  uint32_t loads_waiting; /* due, but held back by the limits on loads */
  uint32_t loads_under_way;
  uint32_t unloads_blocked; /* copies that have no ready replacement yet */
  uint64_t lost_ranges;     /* wanted ranges that disappeared; total */
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
