#include "core/problem.h"

#include <glib.h>

/* Data centres that hold each segment where memory allows: with two, any one
   of them can fail. */
#define DATA_CENTRES_MIN 2

/* Returns whether HOST, an index in CONFIG, is an engine that may hold layers:
   not draining, and marked in USABLE unless that is NULL.  */
bool
pb_is_usable (const struct cfg_config *config, const bool *usable,
              uint32_t host)
{
  return config->hosts[host].role == CFG_HOST_ENGINE
         && !config->hosts[host].draining && (usable == NULL || usable[host]);
}

/* Returns the weight of MODEL in the demand of all models; a configured weight
   of 0 counts as 1.  */
uint32_t
pb_demand_weight (const struct cfg_model *model)
{
  return MAX (model->demand_weight, 1);
}

/* Returns the segment at INDEX, which must be less than the length of
   SEGMENTS.  */
const struct pb_segment *
pb_segment_at (const GArray *segments, uint32_t index)
{
  return &g_array_index (segments, struct pb_segment, index);
}

/* Makes each usable host of CONFIG an engine of PROBLEM.  */
static void
fill_engines (const struct cfg_config *config, const bool *usable,
              struct pb_problem *problem)
{
  problem->engines = g_new0 (struct as_engine, config->host_count + 1);
  problem->hosts = g_new0 (uint32_t, config->host_count + 1);
  uint32_t count = 0;
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      const struct cfg_host *host = &config->hosts[i];
      if (!pb_is_usable (config, usable, i))
        {
          continue;
        }
      problem->engines[count] = (struct as_engine){
        .rate = host->layer_tokens_per_s,
        .memory_mib = host->memory_mib,
        .data_centre = host->data_centre,
      };
      problem->hosts[count] = i;
      count++;
    }
  problem->as_problem.engines = problem->engines;
  problem->as_problem.engine_count = count;
}

/* Sets the demand and memory of each segment of PROBLEM.  */
static void
fill_segments (const struct cfg_config *config, struct pb_problem *problem)
{
  double weights = 0.0;
  for (uint32_t i = 0; i < config->model_count; i++)
    {
      weights += pb_demand_weight (&config->models[i]);
    }
  uint32_t count = problem->segments->len;
  problem->as_segments = g_new0 (struct as_segment, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      const struct pb_segment *segment = pb_segment_at (problem->segments, i);
      const struct cfg_model *model = &config->models[segment->model];
      uint32_t layers = segment->end - segment->first;
      problem->as_segments[i] = (struct as_segment){
        .demand = layers * pb_demand_weight (model) / weights,
        .memory_mib = layers * model->layer_memory_mib,
      };
    }
  problem->as_problem.segments = problem->as_segments;
  problem->as_problem.segment_count = count;
}

/* Returns the problem of assigning SEGMENTS to the usable hosts of CONFIG and
   takes ownership of SEGMENTS.  The caller frees the problem with
   pb_destroy.  */
struct pb_problem *
pb_create (const struct cfg_config *config, const bool *usable,
           GArray *segments)
{
  struct pb_problem *problem = g_new0 (struct pb_problem, 1);
  problem->segments = segments;
  fill_engines (config, usable, problem);
  fill_segments (config, problem);
  problem->as_problem.data_centre_count = MAX (config->data_centre_count, 1);
  problem->as_problem.replicas_min = 1 + config->rules.spare_hosts;
  problem->as_problem.data_centres_min
      = MIN (config->data_centre_count, DATA_CENTRES_MIN);
  problem->as_problem.segments_max = SNAP_RANGES_MAX;
  return problem;
}

/* Frees PROBLEM and its segments.  */
void
pb_destroy (struct pb_problem *problem)
{
  g_array_free (problem->segments, TRUE);
  g_free (problem->engines);
  g_free (problem->hosts);
  g_free (problem->as_segments);
  g_free (problem);
}

/* Sets the entries of BOUNDARIES, of length LAYERS + 1, at which a range of
   MODEL starts or ends.  */
static void
mark_boundaries (const struct pl_placement *placement, uint32_t model,
                 uint32_t layers, bool *boundaries)
{
  boundaries[0] = true;
  boundaries[layers] = true;
  for (uint32_t i = 0; i < placement->host_count; i++)
    {
      const struct pl_host *host = &placement->hosts[i];
      for (uint32_t j = 0; j < host->range_count; j++)
        {
          const struct snap_range *range = &host->ranges[j];
          if (range->model == model && range->end <= layers
              && range->first < range->end)
            {
              boundaries[range->first] = true;
              boundaries[range->end] = true;
            }
        }
    }
}

/* Returns the segments between the boundaries of all ranges in PLACEMENT.
   These cover all layers of all models.  The caller frees the array.  */
GArray *
pb_segments_of (const struct cfg_config *config,
                const struct pl_placement *placement)
{
  GArray *segments = g_array_new (FALSE, FALSE, sizeof (struct pb_segment));
  for (uint32_t i = 0; i < config->model_count; i++)
    {
      uint32_t layers = config->models[i].layers;
      bool *boundaries = g_new0 (bool, layers + 1);
      mark_boundaries (placement, i, layers, boundaries);
      uint32_t first = 0;
      for (uint32_t end = 1; end <= layers; end++)
        {
          if (boundaries[end])
            {
              struct pb_segment segment = { i, first, end };
              g_array_append_val (segments, segment);
              first = end;
            }
        }
      g_free (boundaries);
    }
  return segments;
}

/* Returns the index of the segment that equals RANGE, or UINT32_MAX when there
   is none.  */
static uint32_t
find_segment (const GArray *segments, const struct snap_range *range)
{
  for (uint32_t i = 0; i < segments->len; i++)
    {
      const struct pb_segment *segment = pb_segment_at (segments, i);
      if (segment->model == range->model && segment->first == range->first
          && segment->end == range->end)
        {
          return i;
        }
    }
  return UINT32_MAX;
}

/* Returns whether each range of PLACEMENT equals one of SEGMENTS, so that no
   range extends across a boundary of another.  */
bool
pb_is_aligned (const struct pl_placement *placement, const GArray *segments)
{
  for (uint32_t i = 0; i < placement->host_count; i++)
    {
      const struct pl_host *host = &placement->hosts[i];
      for (uint32_t j = 0; j < host->range_count; j++)
        {
          if (find_segment (segments, &host->ranges[j]) == UINT32_MAX)
            {
              return false;
            }
        }
    }
  return true;
}

/* Returns the assignment that corresponds to PLACEMENT, whose ranges must each
   equal a segment of PROBLEM (pb_is_aligned).  Leaves out hosts that are no
   engines of PROBLEM, and ranges for which a host lacks the memory.  The
   assignment is not evaluated yet; the caller frees it.  */
struct as_assignment *
pb_to_assignment (const struct pb_problem *problem,
                  const struct pl_placement *placement)
{
  struct as_assignment *assignment = as_create (&problem->as_problem);
  for (uint32_t i = 0; i < problem->as_problem.engine_count; i++)
    {
      if (problem->hosts[i] >= placement->host_count)
        {
          continue;
        }
      const struct pl_host *host = &placement->hosts[problem->hosts[i]];
      for (uint32_t j = 0; j < host->range_count; j++)
        {
          uint32_t segment
              = find_segment (problem->segments, &host->ranges[j]);
          if (as_fits (assignment, i, segment))
            {
              as_add (assignment, i, segment);
            }
        }
    }
  return assignment;
}

/* Returns the placement that corresponds to ASSIGNMENT, with one entry for
   each host of CONFIG.  The caller frees it.  */
struct pl_placement *
pb_to_placement (const struct cfg_config *config,
                 const struct pb_problem *problem,
                 const struct as_assignment *assignment)
{
  struct pl_placement *placement = pl_create (config->host_count);
  for (uint32_t i = 0; i < problem->as_problem.engine_count; i++)
    {
      struct pl_host *host = &placement->hosts[problem->hosts[i]];
      for (uint32_t j = 0; j < problem->as_problem.segment_count; j++)
        {
          if (!as_holds (assignment, i, j))
            {
              continue;
            }
          const struct pb_segment *segment
              = pb_segment_at (problem->segments, j);
          host->ranges[host->range_count++] = (struct snap_range){
            .model = segment->model,
            .first = segment->first,
            .end = segment->end,
          };
        }
    }
  return placement;
}

/* Returns the rate, in tokens per second of all models together, that no
   placement can exceed: the sum of the usable engines' rates divided by the
   layers of an average token, by demand weights.  Leaves out engines that lack
   the memory for the smallest layer.  */
double
pb_compute_only_bound (const struct cfg_config *config, const bool *usable)
{
  double demand = 0.0;
  double weights = 0.0;
  uint32_t smallest_mib = UINT32_MAX;
  for (uint32_t i = 0; i < config->model_count; i++)
    {
      const struct cfg_model *model = &config->models[i];
      demand += (double)model->layers * pb_demand_weight (model);
      weights += pb_demand_weight (model);
      smallest_mib = MIN (smallest_mib, model->layer_memory_mib);
    }
  double rate = 0.0;
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      if (pb_is_usable (config, usable, i)
          && config->hosts[i].memory_mib >= smallest_mib)
        {
          rate += config->hosts[i].layer_tokens_per_s;
        }
    }
  return demand > 0.0 ? rate * weights / demand : 0.0;
}
