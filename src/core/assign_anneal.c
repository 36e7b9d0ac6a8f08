/* Simulated annealing over the holders of the segments in the bottleneck. */
#include "core/assign.h"

#include <glib.h>
#include <math.h>

/* Seed of the random moves: fixed, so that the same input gives the same
   result. */
#define SEED 20
/* A change that lowers the objective by this much is accepted with probability
   1/e at the start.  The temperature falls linearly to 0. */
#define START_TEMPERATURE 0.03
/* Subtracted from the objective, which is 1 at the compute-only bound, when
   all demand is in the bottleneck; a smaller share subtracts less. */
#define LIMITING_WEIGHT 0.02
/* Annealing stops at this fraction of the compute-only bound. */
#define TARGET_FRACTION 0.995

/* A change in which an engine gets one segment and may drop another. */
struct move
{
  uint32_t engine;
  uint32_t added;
  uint32_t dropped; /* UINT32_MAX: none */
};

/* Returns the quantity that annealing maximises: the token rate as a fraction
   of COMPUTE_ONLY, less a penalty for the bottleneck's share of the
   demand.  */
static double
objective (const struct as_assignment *assignment, double compute_only)
{
  return assignment->tokens_per_s / compute_only
         - LIMITING_WEIGHT * assignment->limiting_share;
}

/* Returns a random number from 0 to COUNT - 1.  */
static uint32_t
draw_below (GRand *rand, uint32_t count)
{
  return (uint32_t)g_rand_int_range (rand, 0, (gint32)count);
}

/* Returns a random segment of the bottleneck, or UINT32_MAX without one.  */
static uint32_t
draw_limiting (const struct as_assignment *assignment, GRand *rand)
{
  uint32_t count = assignment->problem->segment_count;
  uint32_t start = draw_below (rand, count);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t segment = (start + i) % count;
      if (assignment->limiting[segment])
        {
          return segment;
        }
    }
  return UINT32_MAX;
}

/* Returns a random segment that ENGINE can drop to hold ADDED, or UINT32_MAX
   when there is none.  */
static uint32_t
draw_dropped (const struct as_assignment *assignment, GRand *rand,
              uint32_t engine, uint32_t added)
{
  uint32_t count = assignment->problem->segment_count;
  uint32_t start = draw_below (rand, count);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t segment = (start + i) % count;
      if (as_can_replace (assignment, engine, segment, added)
          && as_can_drop (assignment, engine, segment))
        {
          return segment;
        }
    }
  return UINT32_MAX;
}

/* Sets MOVE to a random engine, a random segment of the bottleneck for it to
   hold, and the segment that it drops if memory requires.  Returns false when
   the engine can't hold that segment or holds it already.  */
static bool
draw_move (const struct as_assignment *assignment, GRand *rand,
           struct move *move)
{
  move->engine = draw_below (rand, assignment->problem->engine_count);
  move->added = draw_limiting (assignment, rand);
  move->dropped = UINT32_MAX;
  if (move->added == UINT32_MAX
      || as_holds (assignment, move->engine, move->added))
    {
      return false;
    }
  if (as_fits (assignment, move->engine, move->added))
    {
      return true;
    }
  move->dropped = draw_dropped (assignment, rand, move->engine, move->added);
  return move->dropped != UINT32_MAX;
}

static void
apply (struct as_assignment *assignment, const struct move *move)
{
  if (move->dropped != UINT32_MAX)
    {
      as_remove (assignment, move->engine, move->dropped);
    }
  as_add (assignment, move->engine, move->added);
}

static void
undo (struct as_assignment *assignment, const struct move *move)
{
  as_remove (assignment, move->engine, move->added);
  if (move->dropped != UINT32_MAX)
    {
      as_add (assignment, move->engine, move->dropped);
    }
}

/* Makes STEPS random moves from START and accepts each by the Metropolis
   criterion.  No move drops a segment below its required replicas or data
   centres.  Returns the assignment with the highest rate that was found, as a
   new one that is not evaluated yet.  The result is deterministic.  */
struct as_assignment *
as_anneal (const struct as_assignment *start, uint32_t steps)
{
  double compute_only = as_compute_only_bound (start->problem);
  struct as_assignment *current = as_copy (start);
  struct as_assignment *best = as_copy (start);
  GRand *rand = g_rand_new_with_seed (SEED);
  as_evaluate (current);
  double current_objective = objective (current, compute_only);
  double best_rate = current->tokens_per_s;
  for (uint32_t i = 0; i < steps && best_rate < TARGET_FRACTION * compute_only;
       i++)
    {
      struct move move;
      if (!draw_move (current, rand, &move))
        {
          continue;
        }
      apply (current, &move);
      as_evaluate (current);
      double new_objective = objective (current, compute_only);
      double temperature = START_TEMPERATURE * (steps - i) / steps;
      if (g_rand_double (rand)
          > exp ((new_objective - current_objective) / temperature))
        {
          undo (current, &move);
          as_evaluate (current);
          continue;
        }
      current_objective = new_objective;
      if (current->tokens_per_s > best_rate)
        {
          best_rate = current->tokens_per_s;
          as_destroy (best);
          best = as_copy (current);
        }
    }
  g_rand_free (rand);
  as_destroy (current);
  return best;
}
