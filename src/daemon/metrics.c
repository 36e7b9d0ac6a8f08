#include "daemon/metrics.h"

#include <stddef.h>

/* One entry for each member of struct met_metrics. */
static const struct
{
  size_t offset; /* in struct met_metrics */
  enum cnt_type type;
  const char *name;
  const char *help;
} definitions[] = {
  { offsetof (struct met_metrics, tokens), CNT_COUNTER,
    "kumquatthread_tokens_total", "Tokens given to callers" },
  { offsetof (struct met_metrics, attempts), CNT_COUNTER,
    "kumquatthread_attempts_total", "Chains that drafts were run over" },
  { offsetof (struct met_metrics, steps), CNT_COUNTER,
    "kumquatthread_steps_total", "Steps sent to engines" },
  { offsetof (struct met_metrics, steps_failed), CNT_COUNTER,
    "kumquatthread_steps_failed_total", "Steps that were not answered well" },
  { offsetof (struct met_metrics, streams), CNT_GAUGE, "kumquatthread_streams",
    "Streams under way" },
  { offsetof (struct met_metrics, queued), CNT_GAUGE, "kumquatthread_queued",
    "Requests in the queue" },
  { offsetof (struct met_metrics, stream_limit), CNT_GAUGE,
    "kumquatthread_stream_limit", "Bound on streams under way" },
  { offsetof (struct met_metrics, capacity), CNT_GAUGE,
    "kumquatthread_capacity_tokens_per_second",
    "Bound of the placement that engines report, for the whole fleet" },
  { offsetof (struct met_metrics, config_version), CNT_GAUGE,
    "kumquatthread_config_version", "Version of the configuration in force" },
  { offsetof (struct met_metrics, daemons_ready), CNT_GAUGE,
    "kumquatthread_daemons_ready", "Ready daemons known here" },
  { offsetof (struct met_metrics, ready), CNT_GAUGE, "kumquatthread_ready",
    "1 when the balancer may send requests" },
  { offsetof (struct met_metrics, claims_active), CNT_GAUGE,
    "kumquatthread_claims_active", "Claims of this daemon not settled yet" },
  { offsetof (struct met_metrics, keys), CNT_GAUGE, "kumquatthread_keys",
    "Idempotency keys known here" },
  { offsetof (struct met_metrics, burn_rejected), CNT_COUNTER,
    "kumquatthread_burn_records_rejected_total",
    "Records of error budgets in the log that were not merged" },
};

/* Registers the series in SET, which must outlive the result.  */
struct met_metrics *
met_create (struct cnt_set *set)
{
  struct met_metrics *metrics = g_new0 (struct met_metrics, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (definitions); i++)
    {
      struct cnt_series **slot
          = (struct cnt_series **)(void *)((char *)metrics
                                           + definitions[i].offset);
      *slot = cnt_series (set, definitions[i].type, definitions[i].name, "",
                          definitions[i].help);
    }
  return metrics;
}

/* Frees METRICS; the series still belong to their set.  */
void
met_destroy (struct met_metrics *metrics)
{
  g_free (metrics);
}
