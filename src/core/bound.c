/* The token rate that a placement allows, and comparisons of placements. */
#include "core/flow.h"
#include "core/placement.h"
#include "core/problem.h"

#include <glib.h>
#include <string.h>

/* Sets BOUND, exactly, for a PLACEMENT whose ranges each equal one of
   SEGMENTS, of which it takes ownership.  The bottleneck is the limiting
   segment with the fewest holders.  */
static void
find_aligned_bound (const struct cfg_config *config, const bool *usable,
                    const struct pl_placement *placement, GArray *segments,
                    struct pl_bound *bound)
{
  struct pb_problem *problem = pb_create (config, usable, segments);
  struct as_assignment *assignment = pb_to_assignment (problem, placement);
  as_evaluate (assignment);
  bound->tokens_per_s = assignment->tokens_per_s;
  bound->under_replicated = as_count_under_replicated (assignment);
  uint32_t fewest_holders = UINT32_MAX;
  for (uint32_t i = 0; i < problem->as_problem.segment_count; i++)
    {
      if (assignment->limiting[i]
          && assignment->holder_counts[i] < fewest_holders)
        {
          const struct pb_segment *segment = pb_segment_at (segments, i);
          fewest_holders = assignment->holder_counts[i];
          bound->model = segment->model;
          bound->first = segment->first;
          bound->end = segment->end;
        }
    }
  as_destroy (assignment);
  pb_destroy (problem);
}

/* Returns the rate of MODEL, in tokens per second, when each engine divides
   its rate evenly among its ranges.  */
static double
even_rate_of_model (const struct cfg_config *config, const bool *usable,
                    const struct pl_placement *placement, uint32_t model)
{
  GArray *ranges = g_array_new (FALSE, FALSE, sizeof (struct fl_range));
  for (uint32_t i = 0; i < placement->host_count; i++)
    {
      const struct pl_host *host = &placement->hosts[i];
      if (!pb_is_usable (config, usable, i))
        {
          continue;
        }
      for (uint32_t j = 0; j < host->range_count; j++)
        {
          const struct snap_range *range = &host->ranges[j];
          uint32_t work = (range->end - range->first) * host->range_count;
          struct fl_range flow_range = {
            .first = range->first,
            .end = range->end,
            .tokens_per_s
            = (double)config->hosts[i].layer_tokens_per_s / MAX (work, 1),
          };
          if (range->model == model && range->first < range->end)
            {
              g_array_append_val (ranges, flow_range);
            }
        }
    }
  double rate = fl_layers_tokens_per_s (
      config->models[model].layers,
      (const struct fl_range *)(void *)ranges->data, ranges->len);
  g_array_free (ranges, TRUE);
  return rate;
}

/* Sets BOUND for a PLACEMENT in which ranges extend across each other's
   boundaries, by the maximum flow through the boundaries of layers.  The
   result is exact when each engine holds one range, and a lower bound
   otherwise.  The bottleneck is a whole model.  */
static void
find_unaligned_bound (const struct cfg_config *config, const bool *usable,
                      const struct pl_placement *placement,
                      struct pl_bound *bound)
{
  double weights = 0.0;
  for (uint32_t i = 0; i < config->model_count; i++)
    {
      weights += pb_demand_weight (&config->models[i]);
    }
  bound->tokens_per_s = G_MAXDOUBLE;
  for (uint32_t i = 0; i < config->model_count; i++)
    {
      const struct cfg_model *model = &config->models[i];
      double rate = even_rate_of_model (config, usable, placement, i) * weights
                    / pb_demand_weight (model);
      if (rate < bound->tokens_per_s)
        {
          bound->tokens_per_s = rate;
          bound->model = i;
          bound->first = 0;
          bound->end = model->layers;
        }
    }
}

/* Sets BOUND to the token rate that PLACEMENT allows on the usable hosts, to
   its bottleneck, and to the rate that no placement exceeds.  USABLE, by host,
   may be NULL for all hosts.  All fields are 0 when there are no models.  */
void
pl_find_bound (const struct cfg_config *config, const bool *usable,
               const struct pl_placement *placement, struct pl_bound *bound)
{
  memset (bound, 0, sizeof *bound);
  if (config->model_count == 0)
    {
      return;
    }
  bound->compute_only_tokens_per_s = pb_compute_only_bound (config, usable);
  GArray *segments = pb_segments_of (config, placement);
  if (pb_is_aligned (placement, segments))
    {
      find_aligned_bound (config, usable, placement, segments, bound);
      return;
    }
  g_array_free (segments, TRUE);
  find_unaligned_bound (config, usable, placement, bound);
}

/* Returns whether HOST holds exactly RANGE, not merely its layers.  */
static bool
host_holds (const struct pl_host *host, const struct snap_range *range)
{
  for (uint32_t i = 0; i < host->range_count; i++)
    {
      if (memcmp (&host->ranges[i], range, sizeof *range) == 0)
        {
          return true;
        }
    }
  return false;
}

/* Returns the number of ranges of FROM that TO does not hold, and adds their
   memory to MIB.  */
static uint32_t
count_missing (const struct cfg_config *config, const struct pl_host *from,
               const struct pl_host *to, uint64_t *mib)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < from->range_count; i++)
    {
      const struct snap_range *range = &from->ranges[i];
      if (!host_holds (to, range))
        {
          count++;
          *mib += (uint64_t)(range->end - range->first)
                  * config->models[range->model].layer_memory_mib;
        }
    }
  return count;
}

/* Sets MOVES to the loads and unloads that lead from placement FROM to TO.
   NULL stands for a placement in which no host holds a range.  */
void
pl_count_moves (const struct cfg_config *config,
                const struct pl_placement *from, const struct pl_placement *to,
                struct pl_moves *moves)
{
  static const struct pl_host empty;
  memset (moves, 0, sizeof *moves);
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      const struct pl_host *old
          = from != NULL && i < from->host_count ? &from->hosts[i] : &empty;
      const struct pl_host *new
          = to != NULL &&i < to->host_count ? &to->hosts[i] : &empty;
      uint64_t unloaded_mib = 0;
      uint32_t loads = count_missing (config, new, old, &moves->load_mib);
      uint32_t unloads = count_missing (config, old, new, &unloaded_mib);
      moves->loads += loads;
      moves->unloads += unloads;
      moves->hosts += loads + unloads > 0 ? 1 : 0;
    }
}

/* Returns the first engine of KIND in CONFIG, or NULL when there is none.  */
static const struct cfg_host *
first_engine_of_kind (const struct cfg_config *config, const char *kind)
{
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      const struct cfg_host *host = &config->hosts[i];
      if (host->role == CFG_HOST_ENGINE && g_str_equal (host->kind, kind))
        {
          return host;
        }
    }
  return NULL;
}

/* Returns by how many tokens per second the bound of PLACEMENT rises with one
   more host like the first engine of KIND, when the boundaries of the ranges
   stay as they are.  Improves PLACEMENT first, so that only the effect of the
   host is counted.  Returns 0 when CONFIG has no engine of KIND or ranges
   extend across each other's boundaries.  */
double
pl_gain_of_kind (const struct cfg_config *config, const bool *usable,
                 const struct pl_placement *placement, const char *kind)
{
  const struct cfg_host *host = first_engine_of_kind (config, kind);
  GArray *segments = pb_segments_of (config, placement);
  if (host == NULL || !pb_is_aligned (placement, segments))
    {
      g_array_free (segments, TRUE);
      return 0.0;
    }
  struct pb_problem *problem = pb_create (config, usable, segments);
  struct as_assignment *before = pb_to_assignment (problem, placement);
  as_improve (before, 0.0);
  double tokens_per_s = before->tokens_per_s;
  struct pl_placement *improved = pb_to_placement (config, problem, before);
  as_destroy (before);
  problem->engines[problem->as_problem.engine_count] = (struct as_engine){
    .rate = host->layer_tokens_per_s,
    .memory_mib = host->memory_mib,
    .data_centre = host->data_centre,
  };
  problem->hosts[problem->as_problem.engine_count] = UINT32_MAX;
  problem->as_problem.engine_count++;
  struct as_assignment *after = pb_to_assignment (problem, improved);
  as_fill (after, true);
  as_improve (after, 0.0);
  double gain = after->tokens_per_s - tokens_per_s;
  as_destroy (after);
  pl_destroy (improved);
  pb_destroy (problem);
  return MAX (gain, 0.0);
}
