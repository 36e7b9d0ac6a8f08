/* Local search: raises the token rate by changing the holders of the segments
   in the bottleneck. */
#include "core/assign.h"
#include "core/rank.h"

#include <glib.h>

/* The search stops at this fraction of the compute-only bound. */
#define TARGET_FRACTION 0.995
/* An engine whose unused rate is below this fraction of its rate counts as
   fully used. */
#define SLACK_FRACTION_MIN 0.02
/* Engines, segments and swaps that one step of the search tries at most. */
#define TRIED_ENGINES_MAX 12
#define TRIED_SEGMENTS_MAX 6
#define TRIED_SWAPS_MAX 96
/* Relative difference below which two rates count as equal. */
#define RELATIVE_TOLERANCE 1e-7

/* Returns the segments of the bottleneck, sorted by the rate of their holders
   divided by their demand, lowest first.  Each engine's rate counts as divided
   evenly among its segments.  The caller frees the list.  */
static GArray *
limiting_segments (const struct as_assignment *assignment)
{
  const struct as_problem *problem = assignment->problem;
  GArray *list = rk_create ();
  for (uint32_t j = 0; j < problem->segment_count; j++)
    {
      if (!assignment->limiting[j])
        {
          continue;
        }
      double rate = 0.0;
      for (uint32_t i = 0; i < problem->engine_count; i++)
        {
          if (as_holds (assignment, i, j))
            {
              rate += problem->engines[i].rate / assignment->segment_counts[i];
            }
        }
      rk_add (list, j, rate / problem->segments[j].demand);
    }
  rk_sort (list);
  return list;
}

/* Returns the engines with unused rate, most first; the caller frees the
   list.  */
static GArray *
engines_with_slack (const struct as_assignment *assignment)
{
  const struct as_problem *problem = assignment->problem;
  GArray *list = rk_create ();
  for (uint32_t i = 0; i < problem->engine_count; i++)
    {
      double slack = problem->engines[i].rate - assignment->used_rates[i];
      if (slack > problem->engines[i].rate * SLACK_FRACTION_MIN)
        {
          rk_add (list, i, -slack);
        }
    }
  rk_sort (list);
  return list;
}

/* Adds ENGINE to the holders of SEGMENT, in place of another segment if memory
   requires, and keeps the change if the rate rises by more than the fraction
   LEAST_GAIN.  With a LEAST_GAIN of 0 also keeps a change that leaves the rate
   as is and lowers the bottleneck's share of the demand.  Returns whether the
   change was kept; otherwise undoes it.  */
static bool
try_holder (struct as_assignment *assignment, uint32_t engine,
            uint32_t segment, double least_gain)
{
  uint32_t dropped = UINT32_MAX;
  if (!as_fits (assignment, engine, segment))
    {
      dropped = as_find_droppable (assignment, engine, segment);
      if (dropped == UINT32_MAX)
        {
          return false;
        }
    }
  double rate_before = assignment->tokens_per_s;
  double limiting_share_before = assignment->limiting_share;
  if (dropped != UINT32_MAX)
    {
      as_remove (assignment, engine, dropped);
    }
  as_add (assignment, engine, segment);
  as_evaluate (assignment);
  double required_rate
      = rate_before * (1.0 + MAX (least_gain, RELATIVE_TOLERANCE * 10));
  bool narrower
      = least_gain <= 0.0
        && assignment->tokens_per_s >= rate_before * (1.0 - RELATIVE_TOLERANCE)
        && assignment->limiting_share
               < limiting_share_before - RELATIVE_TOLERANCE;
  if (assignment->tokens_per_s > required_rate || narrower)
    {
      return true;
    }
  as_remove (assignment, engine, segment);
  if (dropped != UINT32_MAX)
    {
      as_add (assignment, engine, dropped);
    }
  as_evaluate (assignment);
  return false;
}

/* Tries ENGINES as additional holders of the bottleneck's SEGMENTS, up to the
   limits above.  Returns true at the first change that is kept.  */
static bool
try_holders (struct as_assignment *assignment, const GArray *segments,
             const GArray *engines, double least_gain)
{
  for (uint32_t j = 0; j < MIN (segments->len, TRIED_SEGMENTS_MAX); j++)
    {
      uint32_t tried = 0;
      for (uint32_t i = 0; i < engines->len && tried < TRIED_ENGINES_MAX; i++)
        {
          uint32_t engine = rk_at (engines, i);
          uint32_t segment = rk_at (segments, j);
          if (as_holds (assignment, engine, segment))
            {
              continue;
            }
          if (try_holder (assignment, engine, segment, least_gain))
            {
              return true;
            }
          tried++;
        }
    }
  return false;
}

/* Swaps SEGMENT of engine SLOW with the first segment of engine FAST for which
   both engines have the memory.  Keeps the swap if the rate rises by more than
   twice the fraction LEAST_GAIN, since it takes two loads, and the two
   segments together lack no more data centres than before.  Returns whether
   the swap was kept; otherwise undoes it and tries no other segment.  */
static bool
try_swap (struct as_assignment *assignment, uint32_t slow, uint32_t segment,
          uint32_t fast, double least_gain)
{
  for (uint32_t j = 0; j < assignment->problem->segment_count; j++)
    {
      if (!as_can_replace (assignment, slow, segment, j)
          || !as_can_replace (assignment, fast, j, segment))
        {
          continue;
        }
      uint32_t missing_before
          = as_count_missing_data_centres (assignment, segment)
            + as_count_missing_data_centres (assignment, j);
      double required_rate
          = assignment->tokens_per_s
            * (1.0 + MAX (2.0 * least_gain, RELATIVE_TOLERANCE * 10));
      as_swap (assignment, slow, segment, fast, j);
      as_evaluate (assignment);
      uint32_t missing_after
          = as_count_missing_data_centres (assignment, segment)
            + as_count_missing_data_centres (assignment, j);
      if (assignment->tokens_per_s > required_rate
          && missing_after <= missing_before)
        {
          return true;
        }
      as_swap (assignment, fast, segment, slow, j);
      as_evaluate (assignment);
      return false;
    }
  return false;
}

/* Tries swaps between the holders of the bottleneck's SEGMENTS and faster
   engines of ENGINES, up to the limits above.  Returns true at the first swap
   that is kept.  */
static bool
try_swaps (struct as_assignment *assignment, const GArray *segments,
           const GArray *engines, double least_gain)
{
  const struct as_problem *problem = assignment->problem;
  uint32_t tried = 0;
  for (uint32_t j = 0; j < MIN (segments->len, TRIED_SEGMENTS_MAX); j++)
    {
      uint32_t segment = rk_at (segments, j);
      for (uint32_t slow = 0; slow < problem->engine_count; slow++)
        {
          if (!as_holds (assignment, slow, segment))
            {
              continue;
            }
          for (uint32_t i = 0; i < MIN (engines->len, TRIED_ENGINES_MAX); i++)
            {
              uint32_t fast = rk_at (engines, i);
              if (problem->engines[fast].rate <= problem->engines[slow].rate)
                {
                  continue;
                }
              if (try_swap (assignment, slow, segment, fast, least_gain))
                {
                  return true;
                }
              if (++tried >= TRIED_SWAPS_MAX)
                {
                  return false;
                }
            }
        }
    }
  return false;
}

/* Makes the first change found that as_improve accepts.  Returns false when
   there is none.  */
static bool
improve_once (struct as_assignment *assignment, double least_gain)
{
  GArray *segments = limiting_segments (assignment);
  GArray *engines = engines_with_slack (assignment);
  bool better = try_holders (assignment, segments, engines, least_gain)
                || try_swaps (assignment, segments, engines, least_gain);
  g_array_free (segments, TRUE);
  g_array_free (engines, TRUE);
  return better;
}

/* Adds holders of the bottleneck's segments, or swaps segments between
   engines, one change at a time, while each raises the rate by the fraction
   LEAST_GAIN.  With 0, a change that only lowers the bottleneck's share of the
   demand counts as well.  Makes at most two changes per engine, and leaves
   ASSIGNMENT evaluated.  */
void
as_improve (struct as_assignment *assignment, double least_gain)
{
  double target
      = as_compute_only_bound (assignment->problem) * TARGET_FRACTION;
  uint32_t steps = 2 * assignment->problem->engine_count;
  as_evaluate (assignment);
  while (steps > 0 && assignment->tokens_per_s < target
         && improve_once (assignment, least_gain))
    {
      steps--;
    }
}
