#include "core/orders.h"

#define S_US INT64_C (1000000)

/* The latest report of one engine. */
struct host
{
  bool reported; /* at least once */
  bool takes_work;
  int64_t reported_us; /* when the report was requested */
  int64_t refused_us;  /* when it last refused an order; 0: never */
  GArray *held;        /* struct ord_held_range */
};

/* A range of the wanted placement. */
struct wanted
{
  struct ord_range range;
  bool was_ready; /* in the latest report of its host */
};

/* An order whose effect has not been reported yet. */
struct pending_order
{
  enum act_order_verb verb;
  struct ord_range range;
  int64_t sent_us;
};

struct ord
{
  struct ord_params params;
  GPtrArray *hosts;   /* struct host or NULL, by index */
  GArray *wanted;     /* struct wanted */
  bool placement_set; /* wanted was set */
  GArray *pending;    /* struct pending_order */
  bool lease_held;
  uint64_t fence;         /* fencing token of the lease */
  int64_t lease_since_us; /* when this daemon acquired the lease */
  int64_t next_load_us;   /* no load is ordered before */
  struct ord_stats stats;
};

/* Returns the default parameters.  */
struct ord_params
ord_params_default (void)
{
  return (struct ord_params){
    .load_interval_us = 2 * S_US,
    .max_concurrent_loads = 4,
    .resend_after_us = 10 * S_US,
    .refusal_pause_us = 5 * S_US,
    .stale_us = 10 * S_US,
    .report_lag_us = 2 * S_US,
  };
}

static void
destroy_host (gpointer data)
{
  struct host *host = data;
  if (host != NULL)
    {
      g_array_free (host->held, TRUE);
      g_free (host);
    }
}

/* Creates the state machine.  It gives no orders before this daemon holds the
   lease, the wanted placement is set, and engines have reported.  */
struct ord *
ord_create (const struct ord_params *params)
{
  struct ord *ord = g_new0 (struct ord, 1);
  ord->params = *params;
  ord->hosts = g_ptr_array_new_with_free_func (destroy_host);
  ord->wanted = g_array_new (FALSE, FALSE, sizeof (struct wanted));
  ord->pending = g_array_new (FALSE, FALSE, sizeof (struct pending_order));
  return ord;
}

/* Frees ORD; NULL is allowed.  */
void
ord_destroy (struct ord *ord)
{
  if (ord == NULL)
    {
      return;
    }
  g_ptr_array_free (ord->hosts, TRUE);
  g_array_free (ord->wanted, TRUE);
  g_array_free (ord->pending, TRUE);
  g_free (ord);
}

static bool
same_range (const struct ord_range *a, const struct ord_range *b)
{
  return a->host == b->host && a->model == b->model && a->first == b->first
         && a->end == b->end;
}

static struct host *
find_host (const struct ord *ord, uint32_t index)
{
  return index < ord->hosts->len ? g_ptr_array_index (ord->hosts, index)
                                 : NULL;
}

static struct wanted *
find_wanted (const struct ord *ord, const struct ord_range *range)
{
  for (guint i = 0; i < ord->wanted->len; i++)
    {
      struct wanted *wanted = &g_array_index (ord->wanted, struct wanted, i);
      if (same_range (&wanted->range, range))
        {
          return wanted;
        }
    }
  return NULL;
}

static const struct ord_held_range *
find_held (const struct ord *ord, const struct ord_range *range)
{
  const struct host *host = find_host (ord, range->host);
  for (guint i = 0; host != NULL && i < host->held->len; i++)
    {
      const struct ord_held_range *held
          = &g_array_index (host->held, struct ord_held_range, i);
      if (same_range (&held->range, range))
        {
          return held;
        }
    }
  return NULL;
}

/* Sets the wanted placement: COUNT ranges, which are loaded in this order.  */
void
ord_set_wanted (struct ord *ord, const struct ord_range *ranges,
                uint32_t count)
{
  GArray *wanted = g_array_new (FALSE, FALSE, sizeof (struct wanted));
  for (uint32_t i = 0; i < count; i++)
    {
      const struct wanted *before = find_wanted (ord, &ranges[i]);
      struct wanted entry = { ranges[i], before != NULL && before->was_ready };
      g_array_append_val (wanted, entry);
    }
  g_array_free (ord->wanted, TRUE);
  ord->wanted = wanted;
  ord->placement_set = true;
}

/* Counts the wanted ranges of HOST that were ready in its previous report and
   are missing now, because of an order of another lease holder or a restart of
   the engine.  */
static void
count_lost_ranges (struct ord *ord, uint32_t host)
{
  for (guint i = 0; i < ord->wanted->len; i++)
    {
      struct wanted *wanted = &g_array_index (ord->wanted, struct wanted, i);
      if (wanted->range.host != host)
        {
          continue;
        }
      const struct ord_held_range *held = find_held (ord, &wanted->range);
      if (held == NULL && wanted->was_ready)
        {
          ord->stats.lost_ranges++;
        }
      wanted->was_ready = held != NULL && held->ready;
    }
}

/* Removes the pending orders to HOST whose effect is in its report.  */
static void
remove_completed (struct ord *ord, uint32_t host)
{
  for (guint i = ord->pending->len; i > 0; i--)
    {
      const struct pending_order *pending
          = &g_array_index (ord->pending, struct pending_order, i - 1);
      bool holds = find_held (ord, &pending->range) != NULL;
      if (pending->range.host == host
          && holds == (pending->verb == ACT_ORDER_LOAD))
        {
          g_array_remove_index (ord->pending, i - 1);
        }
    }
}

/* Applies a report of the engine HOST, which holds the COUNT ranges in HELD.
   TAKES_WORK is false while the engine is leaving: then its copies do not
   count as replacements, and it gets no orders.  NOW_US is the time at which
   the report was requested.  */
void
ord_report (struct ord *ord, uint32_t host, const struct ord_held_range *held,
            uint32_t count, bool takes_work, int64_t now_us)
{
  while (ord->hosts->len <= host)
    {
      g_ptr_array_add (ord->hosts, NULL);
    }
  struct host *entry = find_host (ord, host);
  if (entry == NULL)
    {
      entry = g_new0 (struct host, 1);
      entry->held = g_array_new (FALSE, FALSE, sizeof (struct ord_held_range));
      g_ptr_array_index (ord->hosts, host) = entry;
    }
  g_array_set_size (entry->held, 0);
  g_array_append_vals (entry->held, held, count);
  entry->reported = true;
  entry->takes_work = takes_work;
  entry->reported_us = now_us;
  count_lost_ranges (ord, host);
  remove_completed (ord, host);
}

static bool
matches_order (const struct pending_order *pending,
               const struct act_order *order)
{
  const struct ord_range range
      = { order->host, order->model, order->first, order->end };
  return pending->verb == order->verb && same_range (&pending->range, &range);
}

/* Handles that an engine refused ORDER, or that ORDER could not be sent.  The
   host gets no orders for refusal_pause_us.  */
void
ord_refused (struct ord *ord, const struct act_order *order, int64_t now_us)
{
  struct host *host = find_host (ord, order->host);
  if (host != NULL)
    {
      host->refused_us = now_us;
    }
  for (guint i = ord->pending->len; i > 0; i--)
    {
      if (matches_order (
              &g_array_index (ord->pending, struct pending_order, i - 1),
              order))
        {
          g_array_remove_index (ord->pending, i - 1);
        }
    }
}

/* Sets whether this daemon holds the lease, and its fencing token FENCE.  With
   a new lease all pending orders are discarded, and only reports since then
   are used: the orders of the earlier holder are unknown.  */
void
ord_set_lease (struct ord *ord, bool held, uint64_t fence, int64_t now_us)
{
  if (held && (!ord->lease_held || fence != ord->fence))
    {
      ord->lease_since_us = now_us;
      g_array_set_size (ord->pending, 0);
    }
  ord->lease_held = held;
  ord->fence = fence;
}

/* Returns whether decisions may be based on the report of HOST, which may be
   NULL: it is recent, was made under the current lease, and HOST takes work.
 */
static bool
report_usable (const struct ord *ord, const struct host *host, int64_t now_us)
{
  return host != NULL && host->reported && host->takes_work
         && host->reported_us
                >= ord->lease_since_us + ord->params.report_lag_us
         && now_us - host->reported_us <= ord->params.stale_us;
}

/* Returns whether an order for RANGE is pending and not due to be sent again.
 */
static bool
is_pending (const struct ord *ord, const struct ord_range *range,
            int64_t now_us)
{
  for (guint i = 0; i < ord->pending->len; i++)
    {
      const struct pending_order *pending
          = &g_array_index (ord->pending, struct pending_order, i);
      if (same_range (&pending->range, range)
          && now_us - pending->sent_us < ord->params.resend_after_us)
        {
          return true;
        }
    }
  return false;
}

/* Returns whether an order may be sent to HOST now.  */
static bool
accepts_orders (const struct ord *ord, const struct host *host, int64_t now_us)
{
  return report_usable (ord, host, now_us)
         && (host->refused_us == 0
             || now_us - host->refused_us >= ord->params.refusal_pause_us);
}

/* Orders VERB for RANGE, in place of any pending order for the same range.  */
static void
send_order (struct ord *ord, enum act_order_verb verb,
            const struct ord_range *range, int64_t now_us,
            struct act_list *actions)
{
  for (guint i = ord->pending->len; i > 0; i--)
    {
      const struct pending_order *before
          = &g_array_index (ord->pending, struct pending_order, i - 1);
      if (same_range (&before->range, range))
        {
          g_array_remove_index (ord->pending, i - 1);
        }
    }
  struct pending_order order = { verb, *range, now_us };
  g_array_append_val (ord->pending, order);
  struct act action = { .kind = ACT_ORDER };
  action.order = (struct act_order){ .verb = verb,
                                     .host = range->host,
                                     .model = range->model,
                                     .first = range->first,
                                     .end = range->end,
                                     .fence = ord->fence };
  act_list_add (actions, &action);
}

/* Returns whether LAYER is ready in a wanted copy other than RANGE.  */
static bool
layer_ready_elsewhere (const struct ord *ord, const struct ord_range *range,
                       uint32_t layer, int64_t now_us)
{
  for (guint i = 0; i < ord->wanted->len; i++)
    {
      const struct ord_range *other
          = &g_array_index (ord->wanted, struct wanted, i).range;
      if (other->model != range->model || layer < other->first
          || layer >= other->end || same_range (other, range))
        {
          continue;
        }
      const struct ord_held_range *held = find_held (ord, other);
      if (held != NULL && held->ready
          && report_usable (ord, find_host (ord, other->host), now_us))
        {
          return true;
        }
    }
  return false;
}

/* Returns whether LAYER of MODEL is part of the wanted placement.  */
static bool
layer_wanted (const struct ord *ord, uint32_t model, uint32_t layer)
{
  for (guint i = 0; i < ord->wanted->len; i++)
    {
      const struct ord_range *other
          = &g_array_index (ord->wanted, struct wanted, i).range;
      if (other->model == model && layer >= other->first && layer < other->end)
        {
          return true;
        }
    }
  return false;
}

/* Returns whether RANGE may be unloaded: each of its layers is ready in
   another wanted copy, or not wanted on any host.  */
static bool
may_unload (const struct ord *ord, const struct ord_range *range,
            int64_t now_us)
{
  for (uint32_t layer = range->first; layer < range->end; layer++)
    {
      if (layer_wanted (ord, range->model, layer)
          && !layer_ready_elsewhere (ord, range, layer, now_us))
        {
          return false;
        }
    }
  return true;
}

/* Orders HOST to unload the ranges that are not wanted there.  */
static void
unload_unwanted (struct ord *ord, const struct host *host, int64_t now_us,
                 struct act_list *actions)
{
  for (guint i = 0; i < host->held->len; i++)
    {
      const struct ord_range *range
          = &g_array_index (host->held, struct ord_held_range, i).range;
      if (find_wanted (ord, range) != NULL || is_pending (ord, range, now_us))
        {
          continue;
        }
      if (!may_unload (ord, range, now_us))
        {
          ord->stats.unloads_blocked++;
          continue;
        }
      send_order (ord, ACT_ORDER_UNLOAD, range, now_us, actions);
    }
}

/* Returns the number of loads in progress: reported as loading, or ordered and
   not reported yet.  */
static uint32_t
count_loads (const struct ord *ord, int64_t now_us)
{
  uint32_t count = 0;
  for (guint i = 0; i < ord->hosts->len; i++)
    {
      const struct host *host = find_host (ord, i);
      for (guint j = 0;
           report_usable (ord, host, now_us) && j < host->held->len; j++)
        {
          count += g_array_index (host->held, struct ord_held_range, j).ready
                       ? 0
                       : 1;
        }
    }
  for (guint i = 0; i < ord->pending->len; i++)
    {
      const struct pending_order *pending
          = &g_array_index (ord->pending, struct pending_order, i);
      bool recent = now_us - pending->sent_us < ord->params.resend_after_us;
      count += pending->verb == ACT_ORDER_LOAD && recent ? 1 : 0;
    }
  return count;
}

/* Orders loads of the wanted ranges that their hosts do not hold, within the
   limits for the weight store.  */
static void
load_wanted (struct ord *ord, int64_t now_us, struct act_list *actions)
{
  uint32_t under_way = count_loads (ord, now_us);
  for (guint i = 0; i < ord->wanted->len; i++)
    {
      const struct ord_range *range
          = &g_array_index (ord->wanted, struct wanted, i).range;
      if (!accepts_orders (ord, find_host (ord, range->host), now_us)
          || find_held (ord, range) != NULL || is_pending (ord, range, now_us))
        {
          continue;
        }
      if (under_way >= ord->params.max_concurrent_loads
          || now_us < ord->next_load_us)
        {
          ord->stats.loads_waiting++;
          continue;
        }
      ord->next_load_us = now_us + ord->params.load_interval_us;
      under_way++;
      send_order (ord, ACT_ORDER_LOAD, range, now_us, actions);
    }
  ord->stats.loads_under_way = under_way;
}

/* Compares the wanted placement with the reports and gives the orders that are
   due.  ord_set_lease () has to be called just before.  */
void
ord_tick (struct ord *ord, int64_t now_us, struct act_list *actions)
{
  ord->stats.loads_waiting = 0;
  ord->stats.unloads_blocked = 0;
  if (!ord->lease_held || !ord->placement_set)
    {
      return;
    }
  for (guint i = 0; i < ord->hosts->len; i++)
    {
      const struct host *host = find_host (ord, i);
      if (accepts_orders (ord, host, now_us))
        {
          unload_unwanted (ord, host, now_us, actions);
        }
    }
  load_wanted (ord, now_us, actions);
}

/* Returns the counters; all but lost_ranges are those of the latest tick.  */
struct ord_stats
ord_stats (const struct ord *ord)
{
  return ord->stats;
}
