#include "daemon/operator_backend.h"

#include "base/clock.h"
#include "daemon/control_burn.h"
#include "daemon/control_config.h"
#include "daemon/control_keyed.h"
#include "daemon/control_private.h"

/* Data of the task build_status. */
struct status_query
{
  json_t *json;
};

/* Returns the status of HOST's endpoint.  Called on the control thread.  */
static json_t *
endpoint_to_json (struct ctl_control *control, const struct cfg_host *host)
{
  struct ept_endpoint *endpoint
      = ept_get_or_add (control->endpoints, host->name, host->address);
  const struct eng_load_report *load
      = g_hash_table_lookup (control->load_reports, endpoint);
  json_t *ranges = json_array ();
  for (uint32_t i = 0; load != NULL && i < load->range_count; i++)
    {
      const struct eng_range *range = &load->ranges[i];
      json_array_append_new (
          ranges, json_pack ("{s:s, s:i, s:i}", "model", range->model, "first",
                             (int)range->first, "end", (int)range->end));
    }
  bool takes_work
      = !host->draining && lv_takes_work (control->leaving_hosts, host->name);
  return json_pack ("{s:s, s:s, s:b, s:b, s:i, s:i, s:i, s:I, s:o}", "host",
                    host->name, "address", host->address, "takes_work",
                    takes_work, "reported", load != NULL, "streams",
                    (int)endpoint->load.streams, "in_flight",
                    (int)endpoint->load.steps_in_flight, "failures",
                    (int)endpoint->load.failures, "step_us",
                    (json_int_t)endpoint->load.step_us, "ranges", ranges);
}

static void
build_status (struct ctl_control *control, void *data)
{
  struct status_query *query = data;
  const struct cfg_config *config = control->config;
  struct clm_stats claims = clm_stats (control->claims);
  struct adm_state admission;
  gt_read_state (control->params.gate, &admission);
  json_t *hosts = json_array ();
  for (uint32_t i = 0; config != NULL && i < config->host_count; i++)
    {
      json_array_append_new (hosts,
                             endpoint_to_json (control, &config->hosts[i]));
    }
  query->json = json_pack (
      "{s:s, s:b, s:b, s:I, s:{s:i, s:i, s:i, s:I, s:f}, "
      "s:{s:b, s:i, s:i, s:i, s:I}, s:o}",
      "daemon", control->params.settings->name, "ready", ctl_ready (control),
      "stopping", control->stopping, "config_version",
      (json_int_t)(config != NULL ? config->version : 0), "admission", "limit",
      (int)admission.limit, "streams", (int)admission.streams, "queued",
      (int)admission.queued, "between_tokens_us",
      (json_int_t)admission.between_tokens_us, "capacity_tokens_per_s",
      control->capacity_tokens_per_s, "claims", "ready",
      clm_ready (control->claims, clk_monotonic_us ()), "active",
      (int)claims.active, "waiting", (int)claims.waiting, "keys",
      (int)claims.keys, "appends", (json_int_t)claims.appends, "hosts", hosts);
}

static json_t *
status (void *user_data)
{
  struct status_query query = { .json = NULL };
  ctl_call (user_data, build_status, &query);
  return query.json;
}

static bool
config_publish (void *user_data, const struct opr_publish *publish,
                uint64_t *version, struct err_failure *failure)
{
  return ctl_config_publish (user_data, publish, version, failure);
}

static json_t *
unknown_keys (void *user_data)
{
  return ctl_keyed_list_unknown (user_data);
}

static bool
settle_key (void *user_data, const struct opr_settle *settle,
            struct err_failure *failure)
{
  return ctl_keyed_settle (user_data, settle, failure);
}

static json_t *
config_show (void *user_data, struct err_failure *failure)
{
  return ctl_config_show (user_data, failure);
}

static json_t *
config_history (void *user_data)
{
  return ctl_config_history (user_data);
}

static json_t *
report (void *user_data)
{
  return ctl_burn_report (user_data);
}

static bool
drain (void *user_data, const char *host, bool draining, uint64_t *version,
       struct err_failure *failure)
{
  return ctl_config_drain (user_data, host, draining, version, failure);
}

const struct opr_backend bk_operator_backend = {
  .status = status,
  .config_show = config_show,
  .config_history = config_history,
  .config_publish = config_publish,
  .drain = drain,
  .unknown_keys = unknown_keys,
  .settle_key = settle_key,
  .report = report,
};
