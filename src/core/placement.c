#include "core/placement.h"

#include "core/division.h"
#include "core/problem.h"

#include <glib.h>

/* Fewer, longer segments mean fewer hops for each token: they are taken when
   the bound is within this fraction of the best. */
#define LONGER_SEGMENTS_WITHIN 0.99
/* A repaired placement is kept unless planning afresh gives this much more. */
#define KEPT_WITHIN 0.90
/* Each move of a repair raises the bound by this fraction at least. */
#define LEAST_GAIN_OF_MOVE 0.01
/* Random moves for one division, and cells of engines by segments that they
   may read in all. */
#define ANNEAL_STEPS_MAX 2000
#define ANNEAL_CELLS_MAX 3000000

/* Creates a placement in which no host holds anything.  */
struct pl_placement *
pl_create (uint32_t host_count)
{
  struct pl_placement *placement = g_new0 (struct pl_placement, 1);
  placement->hosts = g_new0 (struct pl_host, MAX (host_count, 1));
  placement->host_count = host_count;
  return placement;
}

/* Frees PLACEMENT; NULL is allowed.  */
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

/* A placement with what decides between it and others. */
struct trial
{
  struct pl_placement *placement;
  double tokens_per_s;
  uint32_t uncovered;
};

/* Returns whether trial A is better than B by more than the fraction that
   WITHIN leaves.  */
static bool
is_better (const struct trial *a, const struct trial *b, double within)
{
  if (a->placement == NULL || b->placement == NULL)
    {
      return a->placement != NULL;
    }
  if (a->uncovered != b->uncovered)
    {
      return a->uncovered < b->uncovered;
    }
  return a->tokens_per_s * within > b->tokens_per_s;
}

static void
keep_trial (struct trial *kept, struct trial *trial)
{
  pl_destroy (kept->placement);
  *kept = *trial;
  trial->placement = NULL;
}

static struct trial
to_trial (const struct cfg_config *config, const struct pb_problem *problem,
          const struct as_assignment *assignment)
{
  return (struct trial){
    .placement = pb_to_placement (config, problem, assignment),
    .tokens_per_s = assignment->tokens_per_s,
    .uncovered = as_count_under_replicated (assignment),
  };
}

/* Returns how many random moves are worth their time: large fleets are
   balanced well without.  */
static uint32_t
anneal_steps (const struct as_problem *problem)
{
  uint32_t cells = problem->engine_count * problem->segment_count;
  return MIN (ANNEAL_STEPS_MAX, ANNEAL_CELLS_MAX / MAX (cells, 1));
}

/* Tries one division into segments.  Where memory is short, each segment gets
   its copies first; where it is ample, rates are balanced first.  */
static struct trial
try_division (const struct cfg_config *config,
              const struct pb_problem *problem, bool cover_first)
{
  struct as_assignment *assignment = as_create (&problem->as_problem);
  if (cover_first)
    {
      as_replicate (assignment);
    }
  as_fill (assignment, false);
  as_replicate (assignment);
  as_improve (assignment, 0.0);
  if (cover_first)
    {
      struct as_assignment *annealed
          = as_anneal (assignment, anneal_steps (&problem->as_problem));
      as_destroy (assignment);
      assignment = annealed;
      as_improve (assignment, 0.0);
    }
  struct trial trial = to_trial (config, problem, assignment);
  as_destroy (assignment);
  return trial;
}

/* Returns whether no other trial can be better by the margin asked for.  */
static bool
is_final (const struct trial *best, double compute_only)
{
  return best->placement != NULL && best->uncovered == 0
         && best->tokens_per_s >= LONGER_SEGMENTS_WITHIN * compute_only;
}

/* Tries one division both ways and keeps the better in BEST.  */
static void
try_both_ways (const struct cfg_config *config,
               const struct pb_problem *problem, double compute_only,
               struct trial *best)
{
  for (int cover_first = 0; cover_first < 2 && !is_final (best, compute_only);
       cover_first++)
    {
      struct trial trial = try_division (config, problem, cover_first == 1);
      if (is_better (&trial, best, LONGER_SEGMENTS_WITHIN))
        {
          keep_trial (best, &trial);
        }
      pl_destroy (trial.placement);
    }
}

/* Plans without regard to what is held now.  Divisions are tried from the one
   with fewest segments on, and a later one must be better by a margin.  */
static struct trial
plan_afresh (const struct cfg_config *config, const bool *usable)
{
  struct trial best = { .placement = NULL };
  double compute_only = pb_compute_only_bound (config, usable);
  GPtrArray *divisions = dv_list (config, usable);
  for (uint32_t i = 0; i < divisions->len; i++)
    {
      struct pb_problem *problem
          = pb_create (config, usable, g_ptr_array_index (divisions, i));
      try_both_ways (config, problem, compute_only, &best);
      pb_destroy (problem);
    }
  g_ptr_array_free (divisions, TRUE);
  return best;
}

/* Keeps the segments of CURRENT and what hosts hold, fills hosts that hold
   nothing and makes only moves that are worth a load.  The trial is without a
   placement when the ranges of CURRENT reach over each other's boundaries.  */
static struct trial
plan_repair (const struct cfg_config *config, const bool *usable,
             const struct pl_placement *current)
{
  struct trial trial = { .placement = NULL };
  GArray *segments = pb_segments_of (config, current);
  if (!pb_is_aligned (current, segments))
    {
      g_array_free (segments, TRUE);
      return trial;
    }
  struct pb_problem *problem = pb_create (config, usable, segments);
  struct as_assignment *assignment = pb_to_assignment (problem, current);
  as_fill (assignment, true);
  as_replicate (assignment);
  as_improve (assignment, LEAST_GAIN_OF_MOVE);
  trial = to_trial (config, problem, assignment);
  as_destroy (assignment);
  pb_destroy (problem);
  return trial;
}

/* Decides which engine holds which range, so that the least of the models'
   bounds by demand is largest.  USABLE says by host which may be used (NULL:
   all); draining hosts never are.  CURRENT is what is held now, or NULL: it is
   kept with few moves unless planning afresh gives clearly more.  Where memory
   allows, any `spare_hosts' hosts and any one data centre may be lost without
   losing a layer.  */
struct pl_placement *
pl_plan (const struct cfg_config *config, const bool *usable,
         const struct pl_placement *current)
{
  struct trial repaired = { .placement = NULL };
  if (current != NULL)
    {
      repaired = plan_repair (config, usable, current);
    }
  if (repaired.placement != NULL && repaired.uncovered == 0)
    {
      struct pl_bound bound;
      pl_find_bound (config, usable, repaired.placement, &bound);
      if (bound.tokens_per_s >= KEPT_WITHIN * bound.compute_only_tokens_per_s)
        {
          return repaired.placement;
        }
    }
  struct trial fresh = plan_afresh (config, usable);
  if (is_better (&fresh, &repaired, KEPT_WITHIN))
    {
      keep_trial (&repaired, &fresh);
    }
  pl_destroy (fresh.placement);
  return repaired.placement != NULL ? repaired.placement
                                    : pl_create (config->host_count);
}
