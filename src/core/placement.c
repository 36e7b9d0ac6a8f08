#include "core/placement.h"

#include "core/division.h"
#include "core/problem.h"

#include <glib.h>

/* A division into fewer, longer segments is chosen over one into more when the
   rate of the first is at least this fraction of the second's: fewer segments
   mean fewer hops for each token. */
#define LONGER_SEGMENTS_FRACTION 0.99
/* A repaired placement is kept when its rate is at least this fraction of the
   compute-only bound, or of the rate of a placement that is planned anew. */
#define REPAIR_KEPT_FRACTION 0.90
/* Each move of a repair raises the rate by at least this fraction. */
#define MOVE_GAIN_MIN 0.01
/* Random moves in the annealing of one division at most. */
#define ANNEAL_STEPS_MAX 2000
/* Limit on the annealing steps of one division times its engines times its
   segments, since a step takes time in proportion to both. */
#define ANNEAL_CELLS_MAX 3000000

/* Returns a placement in which no host holds a range.  The caller frees it
   with pl_destroy.  */
struct pl_placement *
pl_create (uint32_t host_count)
{
  struct pl_placement *placement = g_new0 (struct pl_placement, 1);
  placement->hosts = g_new0 (struct pl_host, MAX (host_count, 1));
  placement->host_count = host_count;
  return placement;
}

/* Frees PLACEMENT, which may be NULL.  */
void
pl_destroy (struct pl_placement *placement)
{
  if (placement == NULL)
    {
      return;
    }
  g_free (placement->hosts);
  g_free (placement);
}

/* A placement with the criteria by which it is compared. */
struct candidate
{
  struct pl_placement *placement; /* owned; NULL: none */
  double tokens_per_s;
  uint32_t under_replicated; /* segments on too few hosts */
};

/* Returns whether A is better than B: it has fewer under-replicated segments,
   or as many and a rate that exceeds that of B even after multiplication with
   FRACTION.  A candidate without a placement is worse than one with.  */
static bool
is_better (const struct candidate *a, const struct candidate *b,
           double fraction)
{
  if (a->placement == NULL || b->placement == NULL)
    {
      return a->placement != NULL;
    }
  if (a->under_replicated != b->under_replicated)
    {
      return a->under_replicated < b->under_replicated;
    }
  return a->tokens_per_s * fraction > b->tokens_per_s;
}

/* Moves the placement of CANDIDATE to KEPT, and frees that of KEPT.  */
static void
keep_candidate (struct candidate *kept, struct candidate *candidate)
{
  pl_destroy (kept->placement);
  *kept = *candidate;
  candidate->placement = NULL;
}

/* Returns the candidate that corresponds to an evaluated ASSIGNMENT.  */
static struct candidate
to_candidate (const struct cfg_config *config,
              const struct pb_problem *problem,
              const struct as_assignment *assignment)
{
  return (struct candidate){
    .placement = pb_to_placement (config, problem, assignment),
    .tokens_per_s = assignment->tokens_per_s,
    .under_replicated = as_count_under_replicated (assignment),
  };
}

/* Returns the number of annealing steps for PROBLEM.  Large fleets get few or
   none: they are balanced well without, and each step takes longer.  */
static uint32_t
anneal_steps (const struct as_problem *problem)
{
  uint32_t cells = problem->engine_count * problem->segment_count;
  return MIN (ANNEAL_STEPS_MAX, ANNEAL_CELLS_MAX / MAX (cells, 1));
}

/* Returns a candidate for the division in PROBLEM.  With REPLICATE_FIRST,
   which suits fleets that are short of memory, gives each segment its replicas
   before it balances rates, and anneals the result; otherwise balances rates
   first.  */
static struct candidate
try_division (const struct cfg_config *config,
              const struct pb_problem *problem, bool replicate_first)
{
  struct as_assignment *assignment = as_create (&problem->as_problem);
  if (replicate_first)
    {
      as_replicate (assignment);
    }
  as_fill (assignment, false);
  as_replicate (assignment);
  as_improve (assignment, 0.0);
  if (replicate_first)
    {
      struct as_assignment *annealed
          = as_anneal (assignment, anneal_steps (&problem->as_problem));
      as_destroy (assignment);
      assignment = annealed;
      as_improve (assignment, 0.0);
    }
  struct candidate candidate = to_candidate (config, problem, assignment);
  as_destroy (assignment);
  return candidate;
}

/* Returns whether BEST is so close to COMPUTE_ONLY that no other candidate can
   be better by the required margin.  */
static bool
is_final (const struct candidate *best, double compute_only)
{
  return best->placement != NULL && best->under_replicated == 0
         && best->tokens_per_s >= LONGER_SEGMENTS_FRACTION * compute_only;
}

/* Makes candidates for the division in PROBLEM, balancing rates first and
   replicating first, and keeps them in BEST if they are better.  */
static void
try_both_orders (const struct cfg_config *config,
                 const struct pb_problem *problem, double compute_only,
                 struct candidate *best)
{
  for (int replicate_first = 0;
       replicate_first < 2 && !is_final (best, compute_only);
       replicate_first++)
    {
      struct candidate candidate
          = try_division (config, problem, replicate_first == 1);
      if (is_better (&candidate, best, LONGER_SEGMENTS_FRACTION))
        {
          keep_candidate (best, &candidate);
        }
      pl_destroy (candidate.placement);
    }
}

/* Returns the best candidate regardless of what hosts hold now.  Tries
   divisions in the order of their number of segments, fewest first; a later
   one replaces an earlier one only if it is better by a margin.  */
static struct candidate
plan_anew (const struct cfg_config *config, const bool *usable)
{
  struct candidate best = { .placement = NULL };
  double compute_only = pb_compute_only_bound (config, usable);
  GPtrArray *divisions = dv_list (config, usable);
  for (uint32_t i = 0; i < divisions->len; i++)
    {
      struct pb_problem *problem
          = pb_create (config, usable, g_ptr_array_index (divisions, i));
      try_both_orders (config, problem, compute_only, &best);
      pb_destroy (problem);
    }
  g_ptr_array_free (divisions, TRUE);
  return best;
}

/* Returns a candidate that keeps the segments of CURRENT and what hosts hold,
   fills hosts that hold nothing, and otherwise makes only moves that raise the
   rate enough to be worth a load.  The candidate has no placement when ranges
   of CURRENT extend across each other's boundaries.  */
static struct candidate
plan_repair (const struct cfg_config *config, const bool *usable,
             const struct pl_placement *current)
{
  struct candidate candidate = { .placement = NULL };
  GArray *segments = pb_segments_of (config, current);
  if (!pb_is_aligned (current, segments))
    {
      g_array_free (segments, TRUE);
      return candidate;
    }
  struct pb_problem *problem = pb_create (config, usable, segments);
  struct as_assignment *assignment = pb_to_assignment (problem, current);
  as_fill (assignment, true);
  as_replicate (assignment);
  as_improve (assignment, MOVE_GAIN_MIN);
  candidate = to_candidate (config, problem, assignment);
  as_destroy (assignment);
  pb_destroy (problem);
  return candidate;
}

/* Returns a placement that maximises the token rate of all models together, in
   proportion to their demand weights.  The caller frees it with pl_destroy.

   USABLE tells, by host, which hosts may be used, and is NULL for all;
   draining hosts are never used.  CURRENT is what hosts hold now, or NULL.  It
   is repaired with few moves unless planning anew gives a clearly higher rate.
   Where memory allows, any `spare_hosts' hosts and any one data centre can
   fail without a layer being lost.  */
struct pl_placement *
pl_plan (const struct cfg_config *config, const bool *usable,
         const struct pl_placement *current)
{
  struct candidate repaired = { .placement = NULL };
  if (current != NULL)
    {
      repaired = plan_repair (config, usable, current);
    }
  if (repaired.placement != NULL && repaired.under_replicated == 0)
    {
      struct pl_bound bound;
      pl_find_bound (config, usable, repaired.placement, &bound);
      if (bound.tokens_per_s
          >= REPAIR_KEPT_FRACTION * bound.compute_only_tokens_per_s)
        {
          return repaired.placement;
        }
    }
  struct candidate anew = plan_anew (config, usable);
  if (is_better (&anew, &repaired, REPAIR_KEPT_FRACTION))
    {
      keep_candidate (&repaired, &anew);
    }
  pl_destroy (anew.placement);
  return repaired.placement != NULL ? repaired.placement
                                    : pl_create (config->host_count);
}
