/* Assignments, their evaluation by maximum flow, and queries on them. */
#include "core/assign.h"

#include "core/flow.h"

#include <glib.h>

/* Iterations of Newton's method in as_evaluate. */
#define NEWTON_STEPS_MAX 64
/* Relative difference below which two rates count as equal. */
#define RELATIVE_TOLERANCE 1e-7

/* Returns a new assignment in which no engine holds a segment.  PROBLEM must
   outlive the assignment; the caller frees it with as_destroy.  */
struct as_assignment *
as_create (const struct as_problem *problem)
{
  struct as_assignment *assignment = g_new0 (struct as_assignment, 1);
  uint32_t engines = problem->engine_count;
  uint32_t segments = problem->segment_count;
  assignment->problem = problem;
  assignment->holds = g_new0 (bool, (gsize)engines *segments);
  assignment->free_mib = g_new0 (uint32_t, engines);
  assignment->segment_counts = g_new0 (uint32_t, engines);
  assignment->holder_counts = g_new0 (uint32_t, segments);
  assignment->local_holders
      = g_new0 (uint32_t, (gsize)segments * problem->data_centre_count);
  assignment->limiting = g_new0 (bool, segments);
  assignment->used_rates = g_new0 (double, engines);
  for (uint32_t i = 0; i < engines; i++)
    {
      assignment->free_mib[i] = problem->engines[i].memory_mib;
    }
  return assignment;
}

/* Frees ASSIGNMENT, which may be NULL.  */
void
as_destroy (struct as_assignment *assignment)
{
  if (assignment == NULL)
    {
      return;
    }
  g_free (assignment->holds);
  g_free (assignment->free_mib);
  g_free (assignment->segment_counts);
  g_free (assignment->holder_counts);
  g_free (assignment->local_holders);
  g_free (assignment->limiting);
  g_free (assignment->used_rates);
  g_free (assignment);
}

static gsize
holds_index (const struct as_assignment *assignment, uint32_t engine,
             uint32_t segment)
{
  return (gsize)engine * assignment->problem->segment_count + segment;
}

/* Returns a pointer to the number of engines in ENGINE's data centre that hold
   SEGMENT.  */
uint32_t *
as_local_holders (const struct as_assignment *assignment, uint32_t engine,
                  uint32_t segment)
{
  const struct as_problem *problem = assignment->problem;
  gsize row = (gsize)segment * problem->data_centre_count;
  return &assignment
              ->local_holders[row + problem->engines[engine].data_centre];
}

/* Returns whether ENGINE holds SEGMENT.  */
bool
as_holds (const struct as_assignment *assignment, uint32_t engine,
          uint32_t segment)
{
  return assignment->holds[holds_index (assignment, engine, segment)];
}

/* Returns whether ENGINE can hold SEGMENT in addition: it does not hold
   SEGMENT yet, has the memory, and is below `segments_max'.  */
bool
as_fits (const struct as_assignment *assignment, uint32_t engine,
         uint32_t segment)
{
  const struct as_problem *problem = assignment->problem;
  return !as_holds (assignment, engine, segment)
         && assignment->segment_counts[engine] < problem->segments_max
         && assignment->free_mib[engine]
                >= problem->segments[segment].memory_mib;
}

/* Adds ENGINE to the holders of SEGMENT.  as_fits must be true for them.  */
void
as_add (struct as_assignment *assignment, uint32_t engine, uint32_t segment)
{
  assignment->holds[holds_index (assignment, engine, segment)] = true;
  assignment->free_mib[engine]
      -= assignment->problem->segments[segment].memory_mib;
  assignment->segment_counts[engine]++;
  assignment->holder_counts[segment]++;
  ++*as_local_holders (assignment, engine, segment);
}

/* Removes ENGINE from the holders of SEGMENT, which must be one.  */
void
as_remove (struct as_assignment *assignment, uint32_t engine, uint32_t segment)
{
  assignment->holds[holds_index (assignment, engine, segment)] = false;
  assignment->free_mib[engine]
      += assignment->problem->segments[segment].memory_mib;
  assignment->segment_counts[engine]--;
  assignment->holder_counts[segment]--;
  --*as_local_holders (assignment, engine, segment);
}

/* Returns a new assignment with the same holders as ASSIGNMENT.  Its rate and
   bottleneck are not set until the caller evaluates it.  */
struct as_assignment *
as_copy (const struct as_assignment *assignment)
{
  const struct as_problem *problem = assignment->problem;
  struct as_assignment *copy = as_create (problem);
  for (uint32_t i = 0; i < problem->engine_count; i++)
    {
      for (uint32_t j = 0; j < problem->segment_count; j++)
        {
          if (as_holds (assignment, i, j))
            {
              as_add (copy, i, j);
            }
        }
    }
  return copy;
}

/* Returns the number of data centres in which an engine holds SEGMENT.  */
uint32_t
as_count_data_centres (const struct as_assignment *assignment,
                       uint32_t segment)
{
  uint32_t all = assignment->problem->data_centre_count;
  uint32_t count = 0;
  for (uint32_t i = 0; i < all; i++)
    {
      if (assignment->local_holders[(gsize)segment * all + i] > 0)
        {
          count++;
        }
    }
  return count;
}

/* Returns the number of segments with fewer than `replicas_min' holders.  */
uint32_t
as_count_under_replicated (const struct as_assignment *assignment)
{
  uint32_t count = 0;
  for (uint32_t j = 0; j < assignment->problem->segment_count; j++)
    {
      if (assignment->holder_counts[j] < assignment->problem->replicas_min)
        {
          count++;
        }
    }
  return count;
}

/* Returns the rate, in tokens per second, that no assignment can exceed: the
   sum of all engines' rates divided by the sum of all segments' demands.
   Leaves out engines that lack the memory for the smallest segment.  Returns 0
   when there is no demand.  */
double
as_compute_only_bound (const struct as_problem *problem)
{
  uint32_t smallest_mib = UINT32_MAX;
  double demand = 0.0;
  for (uint32_t i = 0; i < problem->segment_count; i++)
    {
      smallest_mib = MIN (smallest_mib, problem->segments[i].memory_mib);
      demand += problem->segments[i].demand;
    }
  double rate = 0.0;
  for (uint32_t i = 0; i < problem->engine_count; i++)
    {
      if (problem->engines[i].memory_mib >= smallest_mib)
        {
          rate += problem->engines[i].rate;
        }
    }
  return demand > 0.0 ? rate / demand : 0.0;
}

/* Flow network with the nodes: source, engines, segments, sink.  The flow from
   an engine to a segment is the part of the engine's rate that the segment
   gets, in layer-tokens per second. */
struct rate_network
{
  struct fl_network *flow;
  uint32_t *demand_edges; /* by segment */
  uint32_t *rate_edges;   /* by engine */
};

/* Builds the network of ASSIGNMENT.  The edges from the segments to the sink
   have capacity 0 until as_evaluate sets it.  */
static void
build_network (const struct as_assignment *assignment,
               struct rate_network *network)
{
  const struct as_problem *problem = assignment->problem;
  uint32_t engines = problem->engine_count;
  uint32_t segments = problem->segment_count;
  uint32_t sink = engines + segments + 1;
  network->flow = fl_create (sink + 1);
  network->rate_edges = g_new (uint32_t, engines);
  network->demand_edges = g_new (uint32_t, segments);
  for (uint32_t i = 0; i < engines; i++)
    {
      network->rate_edges[i]
          = fl_add_edge (network->flow, 0, 1 + i, problem->engines[i].rate);
    }
  for (uint32_t j = 0; j < segments; j++)
    {
      network->demand_edges[j]
          = fl_add_edge (network->flow, 1 + engines + j, sink, 0.0);
    }
  for (uint32_t i = 0; i < engines; i++)
    {
      for (uint32_t j = 0; j < segments; j++)
        {
          if (as_holds (assignment, i, j))
            {
              fl_add_edge (network->flow, 1 + i, 1 + engines + j,
                           problem->engines[i].rate);
            }
        }
    }
}

/* Returns the rate, in tokens per second, that the minimum cut allows.  Marks
   the segments on its sink side as limiting: together they use the whole rate
   of every engine that holds one of them.  */
static double
rate_of_min_cut (struct as_assignment *assignment,
                 const struct rate_network *network)
{
  const struct as_problem *problem = assignment->problem;
  double rate = 0.0;
  double demand = 0.0;
  double total_demand = 0.0;
  for (uint32_t i = 0; i < problem->engine_count; i++)
    {
      if (!fl_on_source_side (network->flow, 1 + i))
        {
          rate += problem->engines[i].rate;
        }
    }
  for (uint32_t j = 0; j < problem->segment_count; j++)
    {
      uint32_t node = 1 + problem->engine_count + j;
      assignment->limiting[j] = !fl_on_source_side (network->flow, node);
      total_demand += problem->segments[j].demand;
      if (assignment->limiting[j])
        {
          demand += problem->segments[j].demand;
        }
    }
  assignment->limiting_share
      = total_demand > 0.0 ? demand / total_demand : 0.0;
  return demand > 0.0 ? rate / demand : 0.0;
}

/* Computes the highest token rate that all segments sustain when each engine
   divides its rate freely among the segments that it holds.  Also sets which
   segments are the bottleneck and how much of its rate each engine uses.

   The rate starts from the compute-only bound and is lowered to what the
   minimum cut allows until the maximum flow meets all demand (Newton's method
   on the parametric cut).  */
void
as_evaluate (struct as_assignment *assignment)
{
  const struct as_problem *problem = assignment->problem;
  struct rate_network network;
  build_network (assignment, &network);
  uint32_t sink = problem->engine_count + problem->segment_count + 1;
  double rate = as_compute_only_bound (problem);
  double demand = 0.0;
  for (uint32_t j = 0; j < problem->segment_count; j++)
    {
      demand += problem->segments[j].demand;
      assignment->limiting[j] = true;
    }
  assignment->limiting_share = 1.0;
  for (int step = 0; step < NEWTON_STEPS_MAX && rate > 0.0; step++)
    {
      for (uint32_t j = 0; j < problem->segment_count; j++)
        {
          fl_set_capacity (network.flow, network.demand_edges[j],
                           rate * problem->segments[j].demand);
        }
      double flow = fl_max_flow (network.flow, 0, sink);
      if (flow >= rate * demand * (1.0 - RELATIVE_TOLERANCE))
        {
          break;
        }
      rate = rate_of_min_cut (assignment, &network);
    }
  assignment->tokens_per_s = rate;
  for (uint32_t i = 0; i < problem->engine_count; i++)
    {
      assignment->used_rates[i]
          = rate > 0.0 ? fl_flow (network.flow, network.rate_edges[i]) : 0.0;
    }
  fl_destroy (network.flow);
  g_free (network.rate_edges);
  g_free (network.demand_edges);
}

/* Returns whether ENGINE holds SEGMENT and can drop it: enough other engines,
   in enough data centres, hold it as well.  */
bool
as_can_drop (const struct as_assignment *assignment, uint32_t engine,
             uint32_t segment)
{
  const struct as_problem *problem = assignment->problem;
  if (!as_holds (assignment, engine, segment)
      || assignment->holder_counts[segment] <= problem->replicas_min)
    {
      return false;
    }
  bool is_last_there = *as_local_holders (assignment, engine, segment) == 1;
  return !is_last_there
         || as_count_data_centres (assignment, segment)
                > problem->data_centres_min;
}

/* Returns the segment that ENGINE can drop to make SEGMENT fit; of several,
   the one with the most holders.  Returns UINT32_MAX when there is none or
   ENGINE holds SEGMENT already.  */
uint32_t
as_find_droppable (const struct as_assignment *assignment, uint32_t engine,
                   uint32_t segment)
{
  const struct as_problem *problem = assignment->problem;
  uint32_t best = UINT32_MAX;
  if (as_holds (assignment, engine, segment))
    {
      return best;
    }
  for (uint32_t j = 0; j < problem->segment_count; j++)
    {
      uint32_t available_mib
          = assignment->free_mib[engine] + problem->segments[j].memory_mib;
      if (as_can_drop (assignment, engine, j)
          && available_mib >= problem->segments[segment].memory_mib
          && (best == UINT32_MAX
              || assignment->holder_counts[j]
                     > assignment->holder_counts[best]))
        {
          best = j;
        }
    }
  return best;
}

/* Returns whether ENGINE can hold ADDED in place of DROPPED: it holds DROPPED
   but not ADDED, and has the memory.  */
bool
as_can_replace (const struct as_assignment *assignment, uint32_t engine,
                uint32_t dropped, uint32_t added)
{
  const struct as_segment *segments = assignment->problem->segments;
  return as_holds (assignment, engine, dropped)
         && !as_holds (assignment, engine, added)
         && assignment->free_mib[engine] + segments[dropped].memory_mib
                >= segments[added].memory_mib;
}

/* Moves SEGMENT_A from engine A to engine B, and SEGMENT_B from B to A.  Only
   A of the two may hold SEGMENT_A, and only B may hold SEGMENT_B.  To undo the
   swap, exchange A and B and leave the segments in their order.  */
void
as_swap (struct as_assignment *assignment, uint32_t a, uint32_t segment_a,
         uint32_t b, uint32_t segment_b)
{
  as_remove (assignment, a, segment_a);
  as_remove (assignment, b, segment_b);
  as_add (assignment, a, segment_b);
  as_add (assignment, b, segment_a);
}

/* Returns how many more data centres must hold SEGMENT to reach
   `data_centres_min'.  */
uint32_t
as_count_missing_data_centres (const struct as_assignment *assignment,
                               uint32_t segment)
{
  uint32_t count = as_count_data_centres (assignment, segment);
  uint32_t required = assignment->problem->data_centres_min;
  return count < required ? required - count : 0;
}
