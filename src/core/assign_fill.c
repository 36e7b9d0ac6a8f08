/* Greedy construction: fills engines by the unmet demand of segments, and adds
   holders until each segment has enough replicas. */
#include "core/assign.h"
#include "core/rank.h"

#include <glib.h>

/* An engine whose spare rate is below this fraction of its rate gets no
   further segment: the load would not be worth it. */
#define SPARE_FRACTION_MIN 0.02

/* Returns the engines in the order in which they are filled; the caller frees
   the list.  Engines that can hold at most one of the largest segments come
   before those that can hold several, which can make up for the demand that is
   left.  Within each group the fastest come first.  */
static GArray *
filling_order (const struct as_problem *problem)
{
  uint32_t largest_mib = 0;
  double fastest = 1.0;
  for (uint32_t j = 0; j < problem->segment_count; j++)
    {
      largest_mib = MAX (largest_mib, problem->segments[j].memory_mib);
    }
  for (uint32_t i = 0; i < problem->engine_count; i++)
    {
      fastest = MAX (fastest, problem->engines[i].rate);
    }
  GArray *order = rk_create ();
  for (uint32_t i = 0; i < problem->engine_count; i++)
    {
      uint32_t largest_count
          = problem->engines[i].memory_mib / MAX (largest_mib, 1);
      rk_add (order, i,
              MIN (largest_count, 2) - problem->engines[i].rate / fastest);
    }
  rk_sort (order);
  return order;
}

/* Returns the segment with the greatest unmet demand that fits on ENGINE, or
   UINT32_MAX when none does.  The unmet demand of segments that the engine's
   data centre holds already is reduced by a tenth, so that of nearly equal
   segments one that is new to the data centre is chosen.  */
static uint32_t
choose_segment (const struct as_assignment *assignment, const double *unmet,
                uint32_t engine)
{
  uint32_t best = UINT32_MAX;
  double best_demand = 0.0;
  for (uint32_t j = 0; j < assignment->problem->segment_count; j++)
    {
      if (unmet[j] <= best_demand * 0.9 || !as_fits (assignment, engine, j))
        {
          continue;
        }
      bool held_locally = *as_local_holders (assignment, engine, j) > 0;
      double demand = held_locally ? unmet[j] * 0.9 : unmet[j];
      if (demand > best_demand)
        {
          best = j;
          best_demand = demand;
        }
    }
  return best;
}

/* Subtracts the work of the current holders from the unmet demand of segments
   and from the spare rates of engines.  Each engine's rate counts as divided
   evenly among its segments.  */
static void
subtract_held (const struct as_assignment *assignment, double *unmet,
               double *spare_rates)
{
  const struct as_problem *problem = assignment->problem;
  for (uint32_t i = 0; i < problem->engine_count; i++)
    {
      double rate = problem->engines[i].rate;
      for (uint32_t j = 0; j < problem->segment_count; j++)
        {
          if (as_holds (assignment, i, j))
            {
              double share
                  = MIN (rate / assignment->segment_counts[i], unmet[j]);
              share = MAX (share, 0.0);
              unmet[j] -= share;
              spare_rates[i] -= share;
            }
        }
    }
}

/* Adds segments to ENGINE, the one with the greatest unmet demand first, until
   its SPARE_RATE is used up or no segment fits.  */
static void
fill_engine (struct as_assignment *assignment, uint32_t engine,
             double spare_rate, double *unmet)
{
  double spare_min
      = assignment->problem->engines[engine].rate * SPARE_FRACTION_MIN;
  while (spare_rate > spare_min)
    {
      uint32_t segment = choose_segment (assignment, unmet, engine);
      if (segment == UINT32_MAX)
        {
          return;
        }
      double share = MIN (spare_rate, unmet[segment]);
      as_add (assignment, engine, segment);
      unmet[segment] -= share;
      spare_rate -= share;
    }
}

/* Adds segments to engines, those with the greatest unmet demand first, until
   each engine's rate is used up or no segment fits.  Demand is that of the
   compute-only bound.  With IDLE_ONLY, leaves engines that hold a segment
   already as they are.  */
void
as_fill (struct as_assignment *assignment, bool idle_only)
{
  const struct as_problem *problem = assignment->problem;
  double rate = as_compute_only_bound (problem);
  double *unmet = g_new0 (double, problem->segment_count);
  double *spare_rates = g_new0 (double, problem->engine_count);
  for (uint32_t j = 0; j < problem->segment_count; j++)
    {
      unmet[j] = rate * problem->segments[j].demand;
    }
  for (uint32_t i = 0; i < problem->engine_count; i++)
    {
      spare_rates[i] = problem->engines[i].rate;
    }
  subtract_held (assignment, unmet, spare_rates);
  GArray *order = filling_order (problem);
  for (uint32_t i = 0; i < order->len; i++)
    {
      uint32_t engine = rk_at (order, i);
      if (!idle_only || assignment->segment_counts[engine] == 0)
        {
          fill_engine (assignment, engine, spare_rates[engine], unmet);
        }
    }
  g_array_free (order, TRUE);
  g_free (unmet);
  g_free (spare_rates);
}

/* Adds a holder of SEGMENT.  With ELSEWHERE, only considers engines of data
   centres that don't hold it.  Prefers engines with enough free memory to
   those that have to drop a segment with replicas to spare, then engines of
   data centres that don't hold SEGMENT, then those with the least free memory.
   Returns false when no engine can hold it.  */
static bool
add_holder (struct as_assignment *assignment, uint32_t segment, bool elsewhere)
{
  const struct as_problem *problem = assignment->problem;
  uint32_t best = UINT32_MAX;
  uint32_t dropped = UINT32_MAX;
  double best_key = 0.0;
  for (uint32_t i = 0; i < problem->engine_count; i++)
    {
      bool held_locally = *as_local_holders (assignment, i, segment) > 0;
      if (elsewhere && held_locally)
        {
          continue;
        }
      bool fits = as_fits (assignment, i, segment);
      uint32_t replaced
          = fits ? UINT32_MAX : as_find_droppable (assignment, i, segment);
      if (!fits && replaced == UINT32_MAX)
        {
          continue;
        }
      double key = (fits ? 2.0 : 1.0) + (held_locally ? 0.0 : 0.5)
                   - 0.25 * assignment->free_mib[i] / UINT32_MAX;
      if (key > best_key)
        {
          best = i;
          dropped = replaced;
          best_key = key;
        }
    }
  if (best == UINT32_MAX)
    {
      return false;
    }
  if (dropped != UINT32_MAX)
    {
      as_remove (assignment, best, dropped);
    }
  as_add (assignment, best, segment);
  return true;
}

/* Returns all segments, largest memory first.  The caller frees the list.  */
static GArray *
largest_segments_first (const struct as_problem *problem)
{
  GArray *order = rk_create ();
  for (uint32_t j = 0; j < problem->segment_count; j++)
    {
      rk_add (order, j, -(double)problem->segments[j].memory_mib);
    }
  rk_sort (order);
  return order;
}

/* Swaps SEGMENT of engine A with a segment of an engine in another data
   centre, so that the two segments together lack fewer data centres than
   before.  Of several such engines, chooses the one whose rate is closest to
   that of A.  Returns false when there is none.  */
static bool
swap_across_data_centres (struct as_assignment *assignment, uint32_t a,
                          uint32_t segment)
{
  const struct as_problem *problem = assignment->problem;
  const struct as_engine *engines = problem->engines;
  uint32_t best = UINT32_MAX;
  uint32_t best_segment = 0;
  double best_difference = 0.0;
  for (uint32_t b = 0; b < problem->engine_count; b++)
    {
      double rate_difference = ABS (engines[a].rate - engines[b].rate);
      if (engines[a].data_centre == engines[b].data_centre
          || (best != UINT32_MAX && rate_difference >= best_difference))
        {
          continue;
        }
      for (uint32_t j = 0; j < problem->segment_count; j++)
        {
          if (!as_can_replace (assignment, a, segment, j)
              || !as_can_replace (assignment, b, j, segment))
            {
              continue;
            }
          uint32_t missing_before
              = as_count_missing_data_centres (assignment, segment)
                + as_count_missing_data_centres (assignment, j);
          as_swap (assignment, a, segment, b, j);
          uint32_t missing_after
              = as_count_missing_data_centres (assignment, segment)
                + as_count_missing_data_centres (assignment, j);
          as_swap (assignment, b, segment, a, j);
          if (missing_after < missing_before)
            {
              best = b;
              best_segment = j;
              best_difference = rate_difference;
              break;
            }
        }
    }
  if (best == UINT32_MAX)
    {
      return false;
    }
  as_swap (assignment, a, segment, best, best_segment);
  return true;
}

/* Gets SEGMENT held in one more data centre: by another holder where there is
   memory for it, otherwise by a swap.  Returns false when neither is possible.
   */
static bool
spread_segment (struct as_assignment *assignment, uint32_t segment)
{
  if (add_holder (assignment, segment, true))
    {
      return true;
    }
  for (uint32_t i = 0; i < assignment->problem->engine_count; i++)
    {
      if (as_holds (assignment, i, segment)
          && swap_across_data_centres (assignment, i, segment))
        {
          return true;
        }
    }
  return false;
}

/* Adds holders until each segment has `replicas_min' holders in
   `data_centres_min' data centres, as far as memory allows.  Places the
   largest segments first.  */
void
as_replicate (struct as_assignment *assignment)
{
  const struct as_problem *problem = assignment->problem;
  GArray *order = largest_segments_first (problem);
  for (uint32_t i = 0; i < order->len; i++)
    {
      uint32_t segment = rk_at (order, i);
      while (assignment->holder_counts[segment] < problem->replicas_min
             && add_holder (assignment, segment, false))
        {
        }
    }
  for (uint32_t i = 0; i < order->len; i++)
    {
      uint32_t segment = rk_at (order, i);
      while (as_count_missing_data_centres (assignment, segment) > 0
             && spread_segment (assignment, segment))
        {
        }
    }
  g_array_free (order, TRUE);
}
