#include "daemon/control_orders.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/lease.h"
#include "core/orders.h"
#include "core/placement.h"
#include "daemon/control_peers.h"

#include <string.h>

/* How long the set of usable hosts has to differ from that of the last plan
   before the placement is planned again, since a host that went away may come
   back. */
#define REPLAN_DELAY_US (10 * CLK_S_US)

/* Between checks whether the placement has to be planned. */
#define PLAN_CHECK_INTERVAL_US CLK_S_US

/* Between ticks of the orders state machine. */
#define ORDER_INTERVAL_US (500 * CLK_MS_US)

struct ctl_orders
{
  struct lse *lease;
  struct ord *orders;
  GThreadPool *planner; /* one thread, since planning takes too long for the
                           control thread */
  GThreadPool *senders;
  bool planning; /* a plan_job is in progress */
  /* What the last plan was made for. */
  uint64_t planned_version; /* of the configuration; 0: none */
  bool *planned_usable;     /* by host; see list_usable */
  uint32_t planned_hosts;   /* length of `planned_usable' */
  /* Since when the usable hosts have differed from those; 0: no difference.
     This and the times below are monotonic. */
  int64_t usable_changed_us;
  int64_t next_plan_check_us;
  int64_t next_order_us;
};

/* The input and output of one run of the planner. */
struct plan_job
{
  struct ctl_control *control;
  struct cfg_config *config;
  bool *usable; /* by host */
  struct pl_placement *current;
  struct pl_placement *wanted; /* the result */
};

/* An order and its result. */
struct order_job
{
  struct ctl_control *control;
  struct act_order order;
  struct ept_endpoint *endpoint;
  char model[CFG_NAME_BYTES];
  enum err_kind result;
};

static void
free_plan_job (struct plan_job *job)
{
  cfg_config_destroy (job->config);
  pl_destroy (job->current);
  pl_destroy (job->wanted);
  g_free (job->usable);
  g_free (job);
}

/* Returns the ranges of PLACEMENT as an array of struct ord_range, ordered by
   host; freed by the caller.  */
static GArray *
list_ranges (const struct pl_placement *placement)
{
  GArray *ranges = g_array_new (FALSE, FALSE, sizeof (struct ord_range));
  for (uint32_t i = 0; i < placement->host_count; i++)
    {
      const struct pl_host *host = &placement->hosts[i];
      for (uint32_t j = 0; j < host->range_count; j++)
        {
          struct ord_range range = {
            .host = i,
            .model = host->ranges[j].model,
            .first = host->ranges[j].first,
            .end = host->ranges[j].end,
          };
          g_array_append_val (ranges, range);
        }
    }
  return ranges;
}

/* Makes the result of the planner the wanted placement, unless the
   configuration has changed meanwhile.  */
static void
handle_plan (struct ctl_control *control, void *data)
{
  struct plan_job *job = data;
  struct ctl_orders *state = control->orders;
  state->planning = false;
  if (control->config != NULL
      && control->config->version == job->config->version)
    {
      GArray *ranges = list_ranges (job->wanted);
      ord_set_wanted (state->orders,
                      (const struct ord_range *)(void *)ranges->data,
                      ranges->len);
      lg_line (LOG_NOTICE, "placement", "version=%lu ranges=%u",
               (unsigned long)job->config->version, ranges->len);
      g_array_free (ranges, TRUE);
    }
  free_plan_job (job);
}

static void
run_plan_job (gpointer data, gpointer user_data)
{
  struct plan_job *job = data;
  (void)user_data;
  job->wanted = pl_plan (job->config, job->usable, job->current);
  ctl_post (job->control, handle_plan, job);
}

static void
handle_order_result (struct ctl_control *control, void *data)
{
  struct order_job *job = data;
  if (job->result != ERR_NONE)
    {
      ord_refused (control->orders->orders, &job->order, clk_monotonic_us ());
    }
  lg_line (job->result == ERR_NONE ? LOG_NOTICE : LOG_WARNING, "order",
           "verb=%s host=%s model=%s range=%u-%u fence=%lu kind=%s",
           job->order.verb == ACT_ORDER_LOAD ? "load" : "unload",
           job->endpoint->host, job->model, job->order.first, job->order.end,
           (unsigned long)job->order.fence, err_info (job->result)->name);
  g_free (job);
}

static void
run_order_job (gpointer data, gpointer user_data)
{
  struct order_job *job = data;
  (void)user_data;
  const struct eng_order order = {
    .action = job->order.verb == ACT_ORDER_LOAD ? "load" : "unload",
    .model = job->model,
    .first = job->order.first,
    .end = job->order.end,
    .fence = job->order.fence,
  };
  job->result = eng_order_send (job->endpoint->pool, &order);
  ctl_post (job->control, handle_order_result, job);
}

/* Sends ORDER on a sender thread, unless this daemon no longer holds the lease
   with the fencing token of the order.  */
void
ctl_send_order (struct ctl_control *control, const struct act_order *order)
{
  uint64_t fence = 0;
  if (!lse_held (control->orders->lease, clk_monotonic_us (), &fence)
      || fence != order->fence || control->config == NULL
      || order->host >= control->config->host_count
      || order->model >= control->config->model_count)
    {
      return;
    }
  const struct cfg_host *host = &control->config->hosts[order->host];
  struct order_job *job = g_new0 (struct order_job, 1);
  *job = (struct order_job){
    .control = control,
    .order = *order,
    .endpoint = ept_get_or_add (control->endpoints, host->name, host->address),
  };
  g_strlcpy (job->model, control->config->models[order->model].name,
             sizeof job->model);
  g_thread_pool_push (control->orders->senders, job, NULL);
}

/* Creates the state machines of the lease and the orders, and the threads that
   plan and send.  */
void
ctl_orders_start (struct ctl_control *control)
{
  struct ctl_orders *state = g_new0 (struct ctl_orders, 1);
  struct lse_params lease = lse_params_default (
      control->incarnation, control->params.settings->name);
  struct ord_params orders = ord_params_default ();
  state->lease = lse_create (&lease);
  state->orders = ord_create (&orders);
  state->planner = g_thread_pool_new (run_plan_job, NULL, 1, FALSE, NULL);
  state->senders = g_thread_pool_new (run_order_job, NULL, 2, FALSE, NULL);
  control->orders = state;
}

/* Stops the threads and frees the state machines.  The control thread must
   have ended.  */
void
ctl_orders_stop (struct ctl_control *control)
{
  struct ctl_orders *state = control->orders;
  g_thread_pool_free (state->planner, TRUE, TRUE);
  g_thread_pool_free (state->senders, TRUE, TRUE);
  lse_destroy (state->lease);
  ord_destroy (state->orders);
  g_free (state->planned_usable);
  g_free (state);
}

/* Appends COUNT reported RANGES of HOST to HELD, except those of unknown
   models. Returns the new length of HELD.  */
static uint32_t
append_held (const struct cfg_config *config, uint32_t host,
             const struct eng_range *ranges, uint32_t count, bool ready,
             struct ord_held_range *held, uint32_t held_count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t model = ctl_find_model (config, ranges[i].model);
      if (model != CFG_NO_INDEX)
        {
          held[held_count++] = (struct ord_held_range){
            .range = { .host = host,
                       .model = model,
                       .first = ranges[i].first,
                       .end = ranges[i].end },
            .ready = ready,
          };
        }
    }
  return held_count;
}

/* Sets HELD to the ranges that HOST holds or is loading according to its
   report LOAD.  Returns their number.  */
static uint32_t
list_held (const struct cfg_config *config, uint32_t host,
           const struct eng_load_report *load,
           struct ord_held_range held[2 * SNAP_RANGES_MAX])
{
  uint32_t count = append_held (config, host, load->ranges, load->range_count,
                                true, held, 0);
  return append_held (config, host, load->loading, load->loading_count, false,
                      held, count);
}

/* Passes the load report of an engine on to the orders state machine.  */
void
ctl_orders_handle_load_report (struct ctl_control *control,
                               const struct ept_endpoint *endpoint,
                               const struct eng_load_report *load)
{
  const struct cfg_config *config = control->config;
  struct ord_held_range held[2 * SNAP_RANGES_MAX];
  for (uint32_t i = 0; config != NULL && i < config->host_count; i++)
    {
      const struct cfg_host *host = &config->hosts[i];
      if (strcmp (host->name, endpoint->host) != 0
          || strcmp (host->address, endpoint->address) != 0)
        {
          continue;
        }
      uint32_t count = list_held (config, i, load, held);
      ord_report (control->orders->orders, i, held, count,
                  ctl_host_usable (control, i), clk_monotonic_us ());
    }
}

/* Returns, by host, whether the placement may use the host's engine now; freed
   by the caller.  */
static bool *
list_usable (struct ctl_control *control)
{
  bool *usable = g_new0 (bool, control->config->host_count);
  for (uint32_t i = 0; i < control->config->host_count; i++)
    {
      usable[i] = ctl_host_usable (control, i);
    }
  return usable;
}

/* Returns the placement that the engines report, including ranges that they
   are still loading; freed by the caller.  */
static struct pl_placement *
get_current_placement (struct ctl_control *control)
{
  const struct cfg_config *config = control->config;
  struct pl_placement *current = pl_create (config->host_count);
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      struct ord_held_range held[2 * SNAP_RANGES_MAX];
      const struct eng_load_report *load = ctl_get_load_report (control, i);
      uint32_t count = load != NULL ? list_held (config, i, load, held) : 0;
      struct pl_host *host = &current->hosts[i];
      for (uint32_t j = 0; j < count && j < SNAP_RANGES_MAX; j++)
        {
          host->ranges[host->range_count++] = (struct snap_range){
            .model = held[j].range.model,
            .first = held[j].range.first,
            .end = held[j].range.end,
          };
        }
    }
  return current;
}

/* Returns whether the placement has to be planned again: at once for a new
   configuration, and after REPLAN_DELAY_US when hosts have become usable or
   unusable.  Records since when they have differed.  */
static bool
needs_planning (struct ctl_control *control, const bool *usable,
                int64_t now_us)
{
  struct ctl_orders *state = control->orders;
  uint32_t hosts = control->config->host_count;
  if (state->planned_version != control->config->version
      || state->planned_hosts != hosts)
    {
      return true;
    }
  if (memcmp (state->planned_usable, usable, sizeof *usable * hosts) == 0)
    {
      state->usable_changed_us = 0;
      return false;
    }
  if (state->usable_changed_us == 0)
    {
      state->usable_changed_us = now_us;
    }
  return now_us - state->usable_changed_us >= REPLAN_DELAY_US;
}

/* Starts to plan in the background when a check is due and finds that the
   placement has to be planned.  Called while this daemon holds the lease.  */
static void
start_planning_if_due (struct ctl_control *control, int64_t now_us)
{
  struct ctl_orders *state = control->orders;
  if (state->planning || now_us < state->next_plan_check_us
      || control->config->rules.placement != CFG_PLACEMENT_AUTOMATIC
      || !ctl_load_reports_complete (control))
    {
      return;
    }
  state->next_plan_check_us = now_us + PLAN_CHECK_INTERVAL_US;
  bool *usable = list_usable (control);
  if (!needs_planning (control, usable, now_us))
    {
      g_free (usable);
      return;
    }
  state->planning = true;
  state->usable_changed_us = 0;
  state->planned_version = control->config->version;
  state->planned_hosts = control->config->host_count;
  g_free (state->planned_usable);
  state->planned_usable
      = g_memdup2 (usable, sizeof *usable * state->planned_hosts);
  struct plan_job *job = g_new0 (struct plan_job, 1);
  *job = (struct plan_job){
    .control = control,
    .config = cfg_config_ref (control->config),
    .usable = usable,
    .current = get_current_placement (control),
  };
  g_thread_pool_push (state->planner, job, NULL);
}

/* Acquires or renews the lease, and while this daemon holds it, plans and
   sends orders.  Called periodically.  */
void
ctl_orders_tick (struct ctl_control *control)
{
  struct ctl_orders *state = control->orders;
  int64_t now_us = clk_monotonic_us ();
  uint64_t fence = 0;
  lse_set_rank (state->lease, ctl_own_rank (control));
  lse_set_candidate (state->lease, ctl_ready (control));
  lse_tick (state->lease, now_us, control->actions);
  bool held = lse_held (state->lease, now_us, &fence);
  ord_set_lease (state->orders, held, fence, now_us);
  if (held && control->config != NULL && now_us >= state->next_order_us)
    {
      state->next_order_us = now_us + ORDER_INTERVAL_US;
      start_planning_if_due (control, now_us);
      ord_tick (state->orders, now_us, control->actions);
    }
  if (!held)
    {
      state->planned_version = 0;
    }
  ctl_perform_actions (control);
}

/* Returns the state machine of the lease, to which the log's records and
   append results are passed.  */
struct lse *
ctl_lease (struct ctl_control *control)
{
  return control->orders->lease;
}
