#include "entry/entry_metrics.h"

#include <stddef.h>

static const struct
{
  size_t offset; /* of the field in struct emt_metrics */
  enum cnt_type type;
  const char *name;
  const char *labels;
  const char *help;
} series_definitions[] = {
  { offsetof (struct emt_metrics, requests), CNT_COUNTER,
    "kumquatthread_requests_total", "", "Requests read from callers" },
  { offsetof (struct emt_metrics, answers_2xx), CNT_COUNTER,
    "kumquatthread_answers_total", "class=\"2xx\"", "Answers delivered" },
  { offsetof (struct emt_metrics, answers_4xx), CNT_COUNTER,
    "kumquatthread_answers_total", "class=\"4xx\"", "Answers delivered" },
  { offsetof (struct emt_metrics, answers_5xx), CNT_COUNTER,
    "kumquatthread_answers_total", "class=\"5xx\"", "Answers delivered" },
  { offsetof (struct emt_metrics, refused), CNT_COUNTER,
    "kumquatthread_refused_total", "",
    "Requests that were refused without having run" },
  { offsetof (struct emt_metrics, outcome_unknown), CNT_COUNTER,
    "kumquatthread_outcome_unknown_total", "",
    "Requests that ended without an answer though they may have run" },
  { offsetof (struct emt_metrics, aborted), CNT_COUNTER,
    "kumquatthread_broken_off_total", "",
    "Answers that were begun and not finished" },
  { offsetof (struct emt_metrics, callers_disconnected), CNT_COUNTER,
    "kumquatthread_callers_gone_total", "",
    "Requests whose callers left before the answer" },
  { offsetof (struct emt_metrics, attempts), CNT_COUNTER,
    "kumquatthread_attempts_total", "", "Requests sent to endpoints" },
  { offsetof (struct emt_metrics, retries), CNT_COUNTER,
    "kumquatthread_repeats_total", "",
    "Requests sent to another endpoint again" },
  { offsetof (struct emt_metrics, resumed), CNT_COUNTER,
    "kumquatthread_resumed_total", "",
    "Streams that another endpoint went on with" },
  { offsetof (struct emt_metrics, retries_denied), CNT_COUNTER,
    "kumquatthread_repeats_denied_total", "",
    "Repeats that the budget did not allow" },
  { offsetof (struct emt_metrics, leaving_said), CNT_COUNTER,
    "kumquatthread_endpoints_leaving_said_total", "",
    "Endpoints that said in an answer that they leave" },
  { offsetof (struct emt_metrics, turned_away), CNT_COUNTER,
    "kumquatthread_endpoints_turned_away_total", "",
    "Times that an endpoint was closed since it turned a request away" },
  { offsetof (struct emt_metrics, quarantine_refused), CNT_COUNTER,
    "kumquatthread_quarantine_refused_total", "",
    "Requests refused since such requests crash endpoints" },
  { offsetof (struct emt_metrics, quarantined_traits), CNT_GAUGE,
    "kumquatthread_quarantined_traits", "",
    "Parts of prompts, and repeated requests, kept away from endpoints" },
  { offsetof (struct emt_metrics, queue_refused[0]), CNT_COUNTER,
    "kumquatthread_queue_refused_total", "rank=\"0\"",
    "Requests refused since they would wait too long at every path" },
  { offsetof (struct emt_metrics, queue_refused[1]), CNT_COUNTER,
    "kumquatthread_queue_refused_total", "rank=\"1\"",
    "Requests refused since they would wait too long at every path" },
  { offsetof (struct emt_metrics, queue_refused[2]), CNT_COUNTER,
    "kumquatthread_queue_refused_total", "rank=\"2\"",
    "Requests refused since they would wait too long at every path" },
  { offsetof (struct emt_metrics, queue_refused[3]), CNT_COUNTER,
    "kumquatthread_queue_refused_total", "rank=\"3\"",
    "Requests refused since they would wait too long at every path" },
  { offsetof (struct emt_metrics, queue_refused[4]), CNT_COUNTER,
    "kumquatthread_queue_refused_total", "rank=\"4\"",
    "Requests refused since they would wait too long at every path" },
  { offsetof (struct emt_metrics, free_slots), CNT_GAUGE,
    "kumquatthread_first_engine_free_slots", "",
    "Free slots of all first engines for the newest stream's rank" },
  { offsetof (struct emt_metrics, passed_on), CNT_COUNTER,
    "kumquatthread_passed_on_total", "",
    "Attempts of requests that were passed on to another daemon" },
  { offsetof (struct emt_metrics, held), CNT_COUNTER,
    "kumquatthread_held_total", "",
    "Requests that waited for the start of the daemon" },
  { offsetof (struct emt_metrics, cut_off), CNT_GAUGE, "kumquatthread_cut_off",
    "", "Services whose endpoints this daemon can't reach now" },
  { offsetof (struct emt_metrics, load_age_ms), CNT_GAUGE,
    "kumquatthread_load_age_milliseconds", "",
    "Time since an aggregator told the other daemons' load; -1: never" },
  { offsetof (struct emt_metrics, load_daemons), CNT_GAUGE,
    "kumquatthread_load_daemons", "",
    "Daemons whose load the aggregator knows; 0: nothing recent is known" },
  { offsetof (struct emt_metrics, load_elsewhere), CNT_GAUGE,
    "kumquatthread_load_elsewhere", "",
    "Streams of the other daemons that are in progress" },
  { offsetof (struct emt_metrics, exchange_losses), CNT_COUNTER,
    "kumquatthread_load_exchange_losses_total", "",
    "Times that no relay answered the exchange of load any more" },
  { offsetof (struct emt_metrics, aggregator_changes), CNT_COUNTER,
    "kumquatthread_load_aggregator_changes_total", "",
    "Times that another relay became the aggregator of the load" },
  { offsetof (struct emt_metrics, deaths_told), CNT_COUNTER,
    "kumquatthread_load_deaths_told_total", "",
    "Engines found dead that the other daemons were told of" },
  { offsetof (struct emt_metrics, deaths_suspected), CNT_COUNTER,
    "kumquatthread_load_deaths_heard_total", "state=\"suspect\"",
    "Engines that other daemons reported as dead" },
  { offsetof (struct emt_metrics, deaths_confirmed), CNT_COUNTER,
    "kumquatthread_load_deaths_heard_total", "state=\"confirmed\"",
    "Engines that other daemons reported as dead" },
  { offsetof (struct emt_metrics, events), CNT_COUNTER,
    "kumquatthread_events_total", "", "Stream events delivered" },
  { offsetof (struct emt_metrics, output_expected), CNT_COUNTER,
    "kumquatthread_output_expected_tokens_total", "",
    "Tokens that complete answers were expected to have" },
  { offsetof (struct emt_metrics, output_real), CNT_COUNTER,
    "kumquatthread_output_tokens_total", "",
    "Tokens that the same answers had" },
  { offsetof (struct emt_metrics, outputs_over), CNT_COUNTER,
    "kumquatthread_outputs_over_claim_total", "",
    "Answers that exceeded the memory claimed for them on arrival" },
  { offsetof (struct emt_metrics, bad_counts), CNT_COUNTER,
    "kumquatthread_bad_token_counts_total", "",
    "Requests whose token counts or hints were ignored" },
  { offsetof (struct emt_metrics, in_progress), CNT_GAUGE,
    "kumquatthread_requests_under_way", "", "Requests not answered yet" },
  { offsetof (struct emt_metrics, config_version), CNT_GAUGE,
    "kumquatthread_config_version", "",
    "Version of the configuration in force" },
  { offsetof (struct emt_metrics, endpoints), CNT_GAUGE,
    "kumquatthread_endpoints", "", "Endpoints in the list" },
  { offsetof (struct emt_metrics, connections_opened), CNT_GAUGE,
    "kumquatthread_endpoint_connections_opened", "",
    "Connections opened to endpoints since the start" },
  { offsetof (struct emt_metrics, store_restores), CNT_COUNTER,
    "kumquatthread_store_restores_total", "",
    "Restores of the platform's store from an older copy that were seen" },
  { offsetof (struct emt_metrics, log_dropped), CNT_GAUGE,
    "kumquatthread_log_lines_dropped", "",
    "Log lines over the budget since the start" },
  { offsetof (struct emt_metrics, proof_age_ms), CNT_GAUGE,
    "kumquatthread_config_proof_age_milliseconds", "",
    "Time since the configuration was known to be the newest" },
  { offsetof (struct emt_metrics, memory_max), CNT_GAUGE,
    "kumquatthread_connection_memory_limit_bytes", "",
    "Memory for the connections of callers" },
  { offsetof (struct emt_metrics, memory_used), CNT_GAUGE,
    "kumquatthread_connection_memory_bytes", "",
    "Memory that the connections of callers take" },
  { offsetof (struct emt_metrics, memory_bodies), CNT_GAUGE,
    "kumquatthread_body_memory_bytes", "",
    "Memory that large bodies of requests take" },
  { offsetof (struct emt_metrics, memory_refused), CNT_COUNTER,
    "kumquatthread_memory_refused_total", "",
    "Requests and connections refused for want of memory, not run" },
  { offsetof (struct emt_metrics, memory_evicted), CNT_COUNTER,
    "kumquatthread_memory_evicted_total", "",
    "Stalled requests, not run, and unread answers that were ended for "
    "want of memory" },
  { offsetof (struct emt_metrics, connections), CNT_GAUGE,
    "kumquatthread_caller_connections", "", "Connections of callers" },
  { offsetof (struct emt_metrics, connections_evicted), CNT_COUNTER,
    "kumquatthread_caller_connections_evicted_total", "",
    "Connections without progress that were ended for new ones" },
  { offsetof (struct emt_metrics, connections_reset), CNT_COUNTER,
    "kumquatthread_caller_connections_reset_total", "",
    "New connections that were reset since all others were in use" },
};

/* Creates every series in SET, which must outlive the result.  The caller
   frees the result with emt_destroy.  */
struct emt_metrics *
emt_create (struct cnt_set *set)
{
  struct emt_metrics *metrics = g_new0 (struct emt_metrics, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (series_definitions); i++)
    {
      struct cnt_series **slot
          = (struct cnt_series **)(void *)((char *)metrics
                                           + series_definitions[i].offset);
      *slot = cnt_series (
          set, series_definitions[i].type, series_definitions[i].name,
          series_definitions[i].labels, series_definitions[i].help);
    }
  metrics->first_byte_time
      = cnt_histogram (set, "kumquatthread_first_byte_seconds", "",
                       "From the whole request to the first byte or event");
  metrics->total_time
      = cnt_histogram (set, "kumquatthread_answer_seconds", "",
                       "From the whole request to the whole answer");
  metrics->loop_turns
      = cnt_histogram (set, "kumquatthread_loop_turn_seconds", "",
                       "How long a turn holds the event loop of the callers");
  return metrics;
}

/* Counts an answer with the HTTP status STATUS; every status below 400 counts
   as 2xx.  */
void
emt_count_answer (struct emt_metrics *metrics, uint32_t status)
{
  cnt_add (status < 400   ? metrics->answers_2xx
           : status < 500 ? metrics->answers_4xx
                          : metrics->answers_5xx,
           1);
}

/* Frees METRICS; the series belong to their set and stay.  */
void
emt_destroy (struct emt_metrics *metrics)
{
  g_free (metrics);
}
