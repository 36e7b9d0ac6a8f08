#include "core/routing.h"

#include "base/clock.h"

#include <glib.h>

/* Tokens over which the cost of the first step is amortized. */
#define EXPECTED_TOKENS 64
/* Number of positions in a first step that cost as much as one later step. */
#define PREFILL_POSITIONS_PER_STEP 32
/* Half-life of the weight of a load report, and the age at which a report is
   ignored. */
#define REPORT_HALF_LIFE_US (1 * CLK_S_US)
#define REPORT_MAX_AGE_US (8 * CLK_S_US)
/* Age beyond which an observed step time may be refreshed by a probe. */
#define OBSERVATION_MAX_AGE_US (2 * CLK_S_US)
/* One in this many requests may probe an endpoint whose observed step time is
   stale. */
#define PROBE_ONE_IN 16
/* Other daemons are assumed to have as many streams on an endpoint as this
   daemon, for up to this many daemons in all.  With more daemons, a single
   stream says little about the load from the others. */
#define ASSUMED_DAEMONS_MAX 8
/* Random variation of the costs, as a fraction, so that daemons that choose at
   the same moment don't all choose the same endpoint. */
#define COST_JITTER 0.3

/* A layer range on an endpoint that may become a stage. */
struct candidate
{
  uint32_t endpoint;
  uint32_t first;
  uint32_t end;
  double cost_us; /* per token */
};

/* Cheapest path to a layer boundary with a given number of stages. */
struct best_path
{
  bool known;
  double cost_us;
  uint32_t candidate; /* index of the last stage's candidate */
};

/* Returns a hash of SEED and VALUE, with the finalizer of splitmix64.  */
static uint64_t
mix (uint64_t seed, uint64_t value)
{
  uint64_t word = seed + (value + 1) * UINT64_C (0x9e3779b97f4a7c15);
  word = (word ^ (word >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  word = (word ^ (word >> 27)) * UINT64_C (0x94d049bb133111eb);
  return word ^ (word >> 31);
}

/* Maps WORD to a number from 0 up to, not including, 1.  */
static double
unit_interval (uint64_t word)
{
  return (double)(word >> 11) * 0x1p-53;
}

/* Estimates the steps of other daemons at the endpoint: the steps in the last
   report minus the steps that this daemon has in flight, with a weight that
   decays with the report's age.  */
static double
remote_steps (const struct ld_load *load, int64_t now_us)
{
  int64_t reported_at_us = load->reported_at_us;
  int64_t age_us = MAX (now_us - reported_at_us, 0);
  if (reported_at_us == 0 || age_us > REPORT_MAX_AGE_US)
    {
      return 0;
    }
  int32_t steps
      = load->reported_running + load->reported_queued - load->steps_in_flight;
  double weight = 1.0;
  for (; age_us >= REPORT_HALF_LIFE_US; age_us -= REPORT_HALF_LIFE_US)
    {
      weight /= 2.0;
    }
  weight *= 1.0 - 0.5 * (double)age_us / (double)REPORT_HALF_LIFE_US;
  return steps > 0 ? weight * steps : 0.0;
}

/* Returns the expected time of one step of RANGE, queueing included.  DRAW is
   a random number that decides whether a stale observation is ignored, so that
   the endpoint may be chosen and observed again.  */
static double
expected_step_us (const struct snap *snap,
                  const struct snap_endpoint *endpoint,
                  const struct snap_range *range, const struct rt_query *query,
                  uint64_t draw)
{
  const struct cfg_host *host = &snap->config->hosts[endpoint->host];
  const struct ld_load *load = endpoint->load;
  double layers = range->end - range->first;
  double share = layers / snap->config->models[range->model].layers;
  double idle_us
      = layers * (double)CLK_S_US / MAX (host->layer_tokens_per_s, 1);
  double assumed_daemons = MIN (snap->daemons, ASSUMED_DAEMONS_MAX);
  double steps = load->streams * share * assumed_daemons
                 + remote_steps (load, query->now_us);
  double modelled_us = idle_us * (1.0 + steps);
  int64_t observed_us = load->step_us;
  if (observed_us == 0)
    {
      return modelled_us;
    }
  bool stale = query->now_us - load->step_at_us > OBSERVATION_MAX_AGE_US;
  if (stale && load->streams == 0 && draw % PROBE_ONE_IN == 0)
    {
      return modelled_us;
    }
  return (modelled_us + (double)observed_us) / 2.0;
}

/* Returns the cost of one token at endpoint INDEX for RANGE: step, transfer
   and link delay, plus the amortized cost of the first step, with random
   variation.  */
static double
stage_cost_us (const struct snap *snap, uint32_t index,
               const struct snap_range *range, const struct rt_query *query)
{
  const struct snap_endpoint *endpoint = &snap->endpoints[index];
  const struct cfg_model *model = &snap->config->models[range->model];
  uint64_t draw = mix (query->seed, index);
  double step_us = expected_step_us (snap, endpoint, range, query, draw);
  double bandwidth = (double)MAX (endpoint->link_bytes_per_s, 1);
  /* One activation is sent to the endpoint and one comes back. */
  double transfer_us
      = 2.0 * model->activation_bytes * (double)CLK_S_US / bandwidth;
  double first_step_us = query->positions
                         * (step_us / PREFILL_POSITIONS_PER_STEP + transfer_us)
                         / EXPECTED_TOKENS;
  double cost_us = step_us + transfer_us
                   + 2.0 * (double)endpoint->link_delay_us + first_step_us;
  return cost_us
         * (1.0 + COST_JITTER * unit_interval (mix (draw, range->first)));
}

/* Returns whether endpoint INDEX may be part of the chain.  */
static bool
is_eligible (const struct snap_endpoint *endpoint, uint32_t index,
             const struct rt_query *query)
{
  if (!endpoint->takes_work)
    {
      return false;
    }
  for (uint32_t i = 0; i < query->excluded_count; i++)
    {
      if (query->excluded[i] == index)
        {
          return false;
        }
    }
  switch (ld_standing (endpoint->load, query->now_us))
    {
    case LD_OPEN:
      return true;
    case LD_PROBATION:
      return endpoint->load->streams == 0;
    case LD_CLOSED:
      break;
    }
  return false;
}

/* Returns the valid ranges of the model on endpoints that may be used, as an
   array of struct candidate.  */
static GArray *
list_candidates (const struct snap *snap, const struct rt_query *query)
{
  uint32_t layers = snap->config->models[query->model].layers;
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (struct candidate));
  for (uint32_t i = 0; i < snap->endpoint_count; i++)
    {
      const struct snap_endpoint *endpoint = &snap->endpoints[i];
      if (endpoint->range_count == 0 || !is_eligible (endpoint, i, query))
        {
          continue;
        }
      for (uint32_t j = 0; j < endpoint->range_count; j++)
        {
          const struct snap_range *range = &endpoint->ranges[j];
          if (range->model != query->model || range->first >= range->end
              || range->end > layers)
            {
              continue;
            }
          struct candidate candidate = {
            .endpoint = i,
            .first = range->first,
            .end = range->end,
            .cost_us = stage_cost_us (snap, i, range, query),
          };
          g_array_append_val (candidates, candidate);
        }
    }
  return candidates;
}

static gint
compare_first (gconstpointer left, gconstpointer right)
{
  const struct candidate *a = left;
  const struct candidate *b = right;
  return a->first < b->first ? -1 : a->first > b->first;
}

/* Fills the table of cheapest paths, with a row for each number of stages and
   a column for each layer boundary, by dynamic programming.  CANDIDATES are
   sorted by their first layer, so all paths to the first layer of a candidate
   are known when the candidate is processed.  */
static void
fill_paths (struct best_path *paths, uint32_t boundaries,
            const GArray *candidates)
{
  for (uint32_t i = 0; i < candidates->len; i++)
    {
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, i);
      for (uint32_t stages = 0; stages < RT_CHAIN_MAX; stages++)
        {
          const struct best_path *from
              = &paths[stages * boundaries + candidate->first];
          struct best_path *to
              = &paths[(stages + 1) * boundaries + candidate->end];
          double cost_us = from->cost_us + candidate->cost_us;
          if (from->known && (!to->known || cost_us < to->cost_us))
            {
              *to = (struct best_path){
                .known = true,
                .cost_us = cost_us,
                .candidate = i,
              };
            }
        }
    }
}

/* Returns the number of stages of the cheapest complete path, or 0 if there is
   none.  */
static uint32_t
cheapest_length (const struct best_path *paths, uint32_t boundaries)
{
  uint32_t best = 0;
  double best_us = G_MAXDOUBLE;
  for (uint32_t length = 1; length <= RT_CHAIN_MAX; length++)
    {
      const struct best_path *complete
          = &paths[length * boundaries + boundaries - 1];
      if (complete->known && complete->cost_us < best_us)
        {
          best = length;
          best_us = complete->cost_us;
        }
    }
  return best;
}

/* Sets CHAIN to the cheapest path of LENGTH stages, read from the table
   backwards from the last layer.  */
static void
build_chain (const struct best_path *paths, uint32_t boundaries,
             uint32_t length, const GArray *candidates, struct rt_chain *chain)
{
  uint32_t boundary = boundaries - 1;
  chain->length = length;
  chain->expected_step_us
      = (int64_t)paths[length * boundaries + boundary].cost_us;
  for (uint32_t stages = length; stages > 0; stages--)
    {
      uint32_t index = paths[stages * boundaries + boundary].candidate;
      const struct candidate *candidate
          = &g_array_index (candidates, struct candidate, index);
      chain->stages[stages - 1] = (struct rt_stage){
        .endpoint = candidate->endpoint,
        .first = candidate->first,
        .end = candidate->end,
      };
      boundary = candidate->first;
    }
}

/* Sets CHAIN to the chain of engines with the lowest expected time per token.
   It is the shortest path in a graph whose nodes are the layer boundaries and
   whose edges are the ranges that engines hold.  Engines with recent failures
   are excluded during their backoff, and then get one stream at a time until
   they have recovered.  Returns ERR_NONE, ERR_NOT_FOUND if there is no such
   model, or ERR_NO_CAPACITY if no chain covers all layers.  */
enum err_kind
rt_choose_chain (const struct snap *snap, const struct rt_query *query,
                 struct rt_chain *chain)
{
  chain->length = 0;
  if (snap->config == NULL || query->model >= snap->config->model_count)
    {
      return ERR_NOT_FOUND;
    }
  uint32_t boundaries = snap->config->models[query->model].layers + 1;
  uint32_t cells = (RT_CHAIN_MAX + 1) * boundaries;
  struct best_path *paths = g_new0 (struct best_path, cells);
  paths[0].known = true;
  GArray *candidates = list_candidates (snap, query);
  g_array_sort (candidates, compare_first);
  fill_paths (paths, boundaries, candidates);
  uint32_t best = cheapest_length (paths, boundaries);
  if (best > 0)
    {
      build_chain (paths, boundaries, best, candidates, chain);
    }
  g_array_free (candidates, TRUE);
  g_free (paths);
  return best > 0 ? ERR_NONE : ERR_NO_CAPACITY;
}
