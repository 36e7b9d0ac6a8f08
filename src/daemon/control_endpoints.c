/* Endpoints on the control thread: polls load reports, handles these reports
   and the host list, computes the capacity of the fleet, and publishes the
   view that traffic threads route by. */
#include "base/clock.h"
#include "base/log.h"
#include "core/placement.h"
#include "daemon/control_orders.h"
#include "daemon/control_peers.h"

#include <string.h>
#include <xxhash.h>

/* Between load polls of an engine that has never reported or is unreachable.
   An engine is busy when its last step is no longer ago. */
#define LOAD_POLL_INTERVAL_US (500 * CLK_MS_US)

/* Between load polls of an engine that has answered no step lately. */
#define IDLE_POLL_INTERVAL_US CLK_S_US

/* Between load polls of a busy engine. */
#define BUSY_POLL_INTERVAL_US (3 * CLK_S_US)

/* The result of a load poll. */
struct load_result
{
  struct ept_endpoint *endpoint;
  enum err_kind error;
  struct eng_load_report load;
};

/* Returns whether two load reports list the same ranges in the same order.  */
static bool
same_ranges (const struct eng_load_report *a, const struct eng_load_report *b)
{
  if (a->range_count != b->range_count)
    {
      return false;
    }
  for (uint32_t i = 0; i < a->range_count; i++)
    {
      const struct eng_range *x = &a->ranges[i];
      const struct eng_range *y = &b->ranges[i];
      if (strcmp (x->model, y->model) != 0 || x->first != y->first
          || x->end != y->end)
        {
          return false;
        }
    }
  return true;
}

static void
handle_load (struct ctl_control *control, void *data)
{
  struct load_result *result = data;
  struct ept_endpoint *endpoint = result->endpoint;
  int64_t now_us = clk_monotonic_us ();
  endpoint->poll_in_flight = false;
  ld_set_reachable (&endpoint->load, result->error == ERR_NONE);
  if (result->error != ERR_NONE)
    {
      g_free (result);
      return;
    }
  ld_report (&endpoint->load, result->load.running, result->load.queued,
             result->load.leaving, now_us);
  struct lv_outcome outcome = lv_apply_endpoint_report (
      control->leaving_hosts, endpoint->host, 0, result->load.leaving, now_us);
  const struct eng_load_report *previous
      = g_hash_table_lookup (control->load_reports, endpoint);
  ctl_apply_leaving_outcome (control, &outcome);
  if (previous == NULL || !same_ranges (previous, &result->load))
    {
      control->view_outdated = true;
    }
  g_hash_table_replace (control->load_reports, endpoint,
                        g_memdup2 (&result->load, sizeof result->load));
  ctl_orders_handle_load_report (control, endpoint, &result->load);
  g_free (result);
}

static void
post_load (struct ept_endpoint *endpoint, enum err_kind error,
           const struct eng_load_report *load, void *user_data)
{
  struct load_result *result = g_new0 (struct load_result, 1);
  *result = (struct load_result){
    .endpoint = endpoint,
    .error = error,
    .load = *load,
  };
  ctl_post (user_data, handle_load, result);
}

static void
handle_host_list (struct ctl_control *control, void *data)
{
  struct hl_list *list = data;
  for (uint32_t i = 0; i < list->host_count; i++)
    {
      const struct hl_host *host = &list->hosts[i];
      if (host->is_daemon)
        {
          continue;
        }
      struct lv_outcome outcome = lv_apply_host_list (
          control->leaving_hosts, host->name, list->version, host->leaving);
      ctl_apply_leaving_outcome (control, &outcome);
    }
  ctl_peers_update_candidates (control, list);
  hl_clear (list);
  g_free (list);
}

static void
post_host_list (const struct hl_list *list, void *user_data)
{
  struct hl_list *copy = g_memdup2 (list, sizeof *list);
  copy->hosts
      = g_memdup2 (list->hosts, sizeof *list->hosts * list->host_count);
  ctl_post (user_data, handle_host_list, copy);
}

/* Returns the callbacks for the poller, which post the results to the control
   thread.  */
struct pol_callbacks
ctl_poller_callbacks (void)
{
  return (struct pol_callbacks){ .on_load = post_load,
                                 .on_host_list = post_host_list };
}

/* Returns the endpoint of HOST, an index in the configuration.  */
static struct ept_endpoint *
get_endpoint (struct ctl_control *control, uint32_t host)
{
  const struct cfg_host *entry = &control->config->hosts[host];
  return ept_get_or_add (control->endpoints, entry->name, entry->address);
}

/* Requests a load report of ENDPOINT when its poll interval has passed.  A
   busy engine is polled rarely, only for its ranges, since the answers to
   steps carry its load.  An unreachable engine is polled often, since it is
   given no stream until it answers.  */
static void
poll_load_if_due (struct ctl_control *control, struct ept_endpoint *endpoint)
{
  int64_t now_us = clk_monotonic_us ();
  bool reported = g_hash_table_contains (control->load_reports, endpoint);
  bool busy = now_us - endpoint->load.step_at_us < LOAD_POLL_INTERVAL_US;
  int64_t interval_us = LOAD_POLL_INTERVAL_US;
  if (reported && !endpoint->load.unreachable)
    {
      interval_us = busy ? BUSY_POLL_INTERVAL_US : IDLE_POLL_INTERVAL_US;
    }
  if (endpoint->poll_in_flight || now_us < endpoint->polled_us + interval_us)
    {
      return;
    }
  endpoint->poll_in_flight = true;
  endpoint->polled_us = now_us;
  pol_poll_load (control->poller, endpoint);
}

/* Requests the load reports that are due from the engines of the
   configuration.  The results arrive on the control thread later.  */
void
ctl_poll_loads (struct ctl_control *control)
{
  const struct cfg_config *config = control->config;
  for (uint32_t i = 0; config != NULL && i < config->host_count; i++)
    {
      if (config->hosts[i].role == CFG_HOST_ENGINE)
        {
          poll_load_if_due (control, get_endpoint (control, i));
        }
    }
}

/* Returns the index of the model called NAME, or CFG_NO_INDEX.  */
uint32_t
ctl_find_model (const struct cfg_config *config, const char *name)
{
  for (uint32_t i = 0; i < config->model_count; i++)
    {
      if (strcmp (config->models[i].name, name) == 0)
        {
          return i;
        }
    }
  return CFG_NO_INDEX;
}

/* Returns the index of this daemon's data centre, or CFG_NO_INDEX.  */
static uint32_t
own_data_centre (const struct ctl_control *control)
{
  const struct cfg_config *config = control->config;
  for (uint32_t i = 0; i < config->data_centre_count; i++)
    {
      if (strcmp (config->data_centres[i].name,
                  control->params.settings->data_centre)
          == 0)
        {
          return i;
        }
    }
  return CFG_NO_INDEX;
}

/* Copies the ranges of LOAD to ENDPOINT, except those of unknown models and
   those that don't fit the model.  */
static void
fill_ranges (const struct cfg_config *config,
             const struct eng_load_report *load,
             struct snap_endpoint *endpoint)
{
  for (uint32_t i = 0; i < load->range_count; i++)
    {
      const struct eng_range *range = &load->ranges[i];
      uint32_t model = ctl_find_model (config, range->model);
      if (model == CFG_NO_INDEX || range->first >= range->end
          || range->end > config->models[model].layers)
        {
          continue;
        }
      endpoint->ranges[endpoint->range_count++] = (struct snap_range){
        .model = model,
        .first = range->first,
        .end = range->end,
      };
    }
}

/* Fills the view's entry for the host at INDEX.  OWN is this daemon's data
   centre.  */
static void
fill_endpoint (struct ctl_control *control, uint32_t index, uint32_t own,
               struct snap_endpoint *endpoint)
{
  const struct cfg_config *config = control->config;
  const struct cfg_host *host = &config->hosts[index];
  struct ept_endpoint *known = get_endpoint (control, index);
  const struct cfg_link path
      = cfg_path_between (config, own, host->data_centre);
  const struct eng_load_report *load
      = g_hash_table_lookup (control->load_reports, known);
  *endpoint = (struct snap_endpoint){
    .host = index,
    .takes_work
    = !host->draining && lv_takes_work (control->leaving_hosts, host->name),
    .link_delay_us = path.delay_us,
    .link_bytes_per_s = path.bytes_per_s,
    .load = &known->load,
  };
  if (load != NULL)
    {
      fill_ranges (config, load, endpoint);
    }
}

/* Returns the placement that the engines report; freed by the caller.  Sets
   USABLE, by host, to whether the host may be given work.  */
static struct pl_placement *
read_reported_placement (const struct snap *snap, bool *usable)
{
  int64_t now_us = clk_monotonic_us ();
  struct pl_placement *placement = pl_create (snap->endpoint_count);
  for (uint32_t i = 0; i < snap->endpoint_count; i++)
    {
      const struct snap_endpoint *endpoint = &snap->endpoints[i];
      struct pl_host *host = &placement->hosts[i];
      usable[i] = endpoint->takes_work
                  && ld_standing (endpoint->load, now_us) != LD_CLOSED;
      host->range_count = endpoint->range_count;
      memcpy (host->ranges, endpoint->ranges, sizeof host->ranges);
    }
  return placement;
}

/* Returns the newest load report of HOST, an index in the configuration, or
   NULL before the first.  */
const struct eng_load_report *
ctl_get_load_report (struct ctl_control *control, uint32_t host)
{
  return g_hash_table_lookup (control->load_reports,
                              get_endpoint (control, host));
}

/* Returns whether HOST, an index in the configuration, has an engine that is
   reachable and accepts new work.  */
bool
ctl_host_usable (struct ctl_control *control, uint32_t host)
{
  const struct cfg_host *entry = &control->config->hosts[host];
  return entry->role == CFG_HOST_ENGINE && !entry->draining
         && lv_takes_work (control->leaving_hosts, entry->name)
         && !get_endpoint (control, host)->load.unreachable;
}

/* Returns whether every usable engine has sent a load report, without which no
   placement may be planned.  */
bool
ctl_load_reports_complete (struct ctl_control *control)
{
  for (uint32_t i = 0; i < control->config->host_count; i++)
    {
      if (ctl_host_usable (control, i)
          && ctl_get_load_report (control, i) == NULL)
        {
          return false;
        }
    }
  return true;
}

/* Computes the capacity of the usable engines when its inputs have changed,
   and reconfigures the admission gate when the capacity, the configuration or
   the number of ready daemons has changed.  */
void
ctl_update_capacity (struct ctl_control *control)
{
  if (control->config == NULL)
    {
      return;
    }
  const struct vw_view *view = vw_read_begin (control->params.views);
  if (view == NULL)
    {
      vw_read_end ();
      return;
    }
  uint32_t count = view->snap.endpoint_count;
  bool *usable = g_new0 (bool, count);
  struct pl_placement *placement
      = read_reported_placement (&view->snap, usable);
  uint64_t inputs_hash
      = XXH64 (usable, sizeof *usable * count, control->config->version);
  inputs_hash = XXH64 (placement->hosts, sizeof *placement->hosts * count,
                       inputs_hash);
  struct pl_bound bound = { .tokens_per_s = control->capacity_tokens_per_s };
  if (inputs_hash != control->capacity_inputs_hash)
    {
      control->capacity_inputs_hash = inputs_hash;
      pl_find_bound (control->config, usable, placement, &bound);
    }
  pl_destroy (placement);
  g_free (usable);
  vw_read_end ();
  if (bound.tokens_per_s != control->capacity_tokens_per_s
      || control->config->version != control->gate_config_version
      || control->ready_daemons != control->gate_ready_daemons)
    {
      control->capacity_tokens_per_s = bound.tokens_per_s;
      control->gate_config_version = control->config->version;
      control->gate_ready_daemons = control->ready_daemons;
      gt_configure (control->params.gate, control->config,
                    control->ready_daemons, bound.tokens_per_s);
    }
}

/* Publishes a new view when the configuration, the ranges of an engine or the
   set of leaving endpoints has changed since the last one.  */
void
ctl_publish_view (struct ctl_control *control)
{
  if (!control->view_outdated || control->config == NULL)
    {
      return;
    }
  control->view_outdated = false;
  struct vw_view *view = vw_view_create (cfg_config_ref (control->config));
  uint32_t own = own_data_centre (control);
  for (uint32_t i = 0; i < view->snap.endpoint_count; i++)
    {
      fill_endpoint (control, i, own, &view->snap.endpoints[i]);
    }
  vw_publish (control->params.views, view);
  control->has_config = true;
  lg_line (LOG_DEBUG, "view", "version=%lu endpoints=%u",
           (unsigned long)control->config->version, view->snap.endpoint_count);
}
