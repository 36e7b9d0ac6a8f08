#include "core/stage_plan.h"

#include "core/tiling.h"

#include <math.h>
#include <string.h>

#define MB_BYTES 1e6

/* Smallest KV cache of an engine, in requests of usual size.  With a smaller
   one, the engine limits every path through it. */
#define CACHE_REQUESTS_MIN 12

/* The KV cache for which a plan leaves memory is lowered from the largest to
   the smallest in this many steps, until the engines of a group can hold the
   model. */
#define CACHE_STEPS 16

/* Number of orders at one time that a plan tries not to exceed: each takes its
   engine out of use for some seconds. */
#define MOVES_MAX 4

/* A plan with at most MOVES_MAX orders is preferred if its KV cache is at
   least this fraction of the largest possible one. */
#define MOVES_MAX_CACHE_FRACTION 0.5

/* A group of data centres whose engines together hold the model. */
struct group
{
  const struct flt_engine_spec *spec;
  const struct stp_engine *engines;
  struct rst_layers *wanted; /* by engine: the plan */
  uint32_t *members;         /* indexes of engines */
  uint32_t member_count;
  uint32_t *holders;   /* by layer: engines of the group that hold it */
  double cache_tokens; /* KV cache for which each engine keeps memory */
};

/* Returns the KV cache, in MB, of one token on an engine, for each layer that
   the engine holds.  */
static double
token_layer_mb (const struct flt_engine_spec *spec)
{
  return spec->cache_token_bytes / spec->layers / MB_BYTES;
}

/* Returns the size of the KV cache, in tokens, of an engine with MEMORY_MB
   that holds LAYERS layers; 0 if it holds none or has no memory left.  */
double
stp_cache_tokens (const struct flt_engine_spec *spec, double memory_mb,
                  uint32_t layers)
{
  if (layers == 0)
    {
      return 0;
    }
  double left_mb = memory_mb - layers * spec->layer_mb;
  return MAX (left_mb, 0) / (layers * token_layer_mb (spec));
}

/* Returns the number of layers that fit into MEMORY_MB together with a KV
   cache of CACHE_TOKENS tokens, at most all layers of the model.  */
uint32_t
stp_layers_max (const struct flt_engine_spec *spec, double memory_mb,
                double cache_tokens)
{
  double layer_mb = spec->layer_mb + cache_tokens * token_layer_mb (spec);
  uint32_t layers = (uint32_t)floor (memory_mb / layer_mb);
  return MIN (layers, spec->layers);
}

/* Returns the smallest KV cache that is planned for, in tokens.  */
static double
cache_tokens_min (const struct flt_engine_spec *spec)
{
  return CACHE_REQUESTS_MIN
         * (spec->usual_prompt_tokens + spec->usual_answer_tokens);
}

/* Returns the number of layers that the engine at index ENGINE can hold beside
   the KV cache of GROUP.  */
static uint32_t
engine_layers_max (const struct group *group, uint32_t engine)
{
  return stp_layers_max (group->spec, group->engines[engine].memory_mb,
                         group->cache_tokens);
}

/* Returns the sum of engine_layers_max over the engines of GROUP.  */
static uint32_t
group_layers_max (const struct group *group)
{
  uint32_t total = 0;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      total += engine_layers_max (group, group->members[i]);
    }
  return total;
}

/* Sets the KV cache of GROUP to the largest with which the group can hold the
   model.  The upper limit is as many requests of usual size as an engine has
   slots, the lower limit CACHE_REQUESTS_MIN requests.  Returns false, with the
   KV cache at the lower limit, when the group can't hold the model.  */
static bool
choose_cache (struct group *group)
{
  const struct flt_engine_spec *spec = group->spec;
  double cache_max
      = spec->slots * (spec->usual_prompt_tokens + spec->usual_answer_tokens);
  double cache_min = cache_tokens_min (group->spec);
  for (uint32_t step = 0; step <= CACHE_STEPS; step++)
    {
      group->cache_tokens
          = cache_max - (cache_max - cache_min) * step / CACHE_STEPS;
      if (group_layers_max (group) >= group->spec->layers)
        {
          return true;
        }
    }
  return false;
}

/* Recomputes the holders of each layer from the plan.  */
static void
count_holders (struct group *group)
{
  memset (group->holders, 0, group->spec->layers * sizeof *group->holders);
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct rst_layers *range = &group->wanted[group->members[i]];
      for (uint32_t layer = range->first;
           layer < range->end && layer < group->spec->layers; layer++)
        {
          group->holders[layer]++;
        }
    }
}

/* Sets GAP to the first range of layers without a holder in GROUP.  Returns
   false when all layers have one.  */
static bool
find_gap (const struct group *group, struct rst_layers *gap)
{
  uint32_t layers = group->spec->layers;
  uint32_t first = 0;
  while (first < layers && group->holders[first] > 0)
    {
      first++;
    }
  uint32_t end = first;
  while (end < layers && group->holders[end] == 0)
    {
      end++;
    }
  *gap = (struct rst_layers){ first, end };
  return first < layers;
}

/* Returns whether every layer of RANGE has at least two holders in GROUP; true
   if RANGE is empty.  */
static bool
is_replicated (const struct group *group, const struct rst_layers *range)
{
  for (uint32_t layer = range->first; layer < range->end; layer++)
    {
      if (group->holders[layer] < 2)
        {
          return false;
        }
    }
  return true;
}

/* Returns the index of the movable engine that is best to fill a gap, or
   FLT_NO_INDEX if there is none.  An engine without layers comes before one
   whose layers all have another holder; then one that can hold more layers and
   is faster comes first.  */
static uint32_t
choose_gap_filler (const struct group *group)
{
  uint32_t best = FLT_NO_INDEX;
  double best_score = 0;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      uint32_t engine = group->members[i];
      const struct rst_layers *range = &group->wanted[engine];
      bool empty = range->first == range->end;
      uint32_t layers_max = engine_layers_max (group, engine);
      if (!group->engines[engine].movable || layers_max == 0
          || (!empty && !is_replicated (group, range)))
        {
          continue;
        }
      double score = (empty ? 1e6 : 0) + layers_max
                     + 100 / group->engines[engine].step_factor;
      if (best == FLT_NO_INDEX || score > best_score)
        {
          best = engine;
          best_score = score;
        }
    }
  return best;
}

/* Plans the layers FIRST up to END for the engine at index ENGINE.  */
static void
set_wanted (struct group *group, uint32_t engine, uint32_t first, uint32_t end)
{
  group->wanted[engine] = (struct rst_layers){ first, end };
  count_holders (group);
}

/* Returns the number of engines of GROUP whose layers differ between DIVISION,
   by member, and the plan.  */
static uint32_t
count_moves (const struct group *group, const struct rst_layers *division)
{
  uint32_t moves = 0;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct rst_layers *now = &group->wanted[group->members[i]];
      moves += division[i].first != now->first || division[i].end != now->end;
    }
  return moves;
}

/* Sets DIVISION, by member of GROUP, to a new division of all layers among its
   engines, with the KV cache that is set in GROUP.  Movable engines that hold
   no layers, or only ones with another holder, are treated as empty and placed
   at the first gap.  Returns false when the engines can't hold the layers.  */
static bool
divide_with_cache (const struct group *group, struct rst_layers *division)
{
  struct til_engine *engines = g_new0 (struct til_engine, group->member_count);
  struct rst_layers gap = { 0, 0 };
  find_gap (group, &gap);
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      uint32_t engine = group->members[i];
      const struct rst_layers *held = &group->wanted[engine];
      bool is_spare
          = group->engines[engine].movable && is_replicated (group, held);
      engines[i] = (struct til_engine){
        .held = is_spare ? (struct rst_layers){ gap.first, gap.first } : *held,
        .layers_max = engine_layers_max (group, engine),
        .movable = group->engines[engine].movable,
      };
    }
  bool found = til_divide (engines, group->member_count, group->spec->layers,
                           division);
  for (uint32_t i = 0; found && i < group->member_count; i++)
    {
      if (division[i].first == division[i].end)
        {
          division[i] = group->wanted[group->members[i]];
        }
    }
  g_free (engines);
  return found;
}

/* Fills the gaps of GROUP by a new division of the layers, which may move any
   movable engine.  Prefers the largest KV cache, but accepts a smaller one,
   within MOVES_MAX_CACHE_FRACTION, for at most MOVES_MAX orders.  Returns
   false, and leaves the plan as is, when there is no such division.  */
static bool
redivide_group (struct group *group)
{
  size_t bytes = group->member_count * sizeof (struct rst_layers);
  struct rst_layers *division = g_malloc0 (bytes);
  struct rst_layers *best_division = g_malloc0 (bytes);
  double cache_max = group->cache_tokens;
  double cache_min = cache_tokens_min (group->spec);
  bool found = false;
  bool has_few_moves = false;
  for (uint32_t step = 0; step <= CACHE_STEPS && !has_few_moves; step++)
    {
      group->cache_tokens
          = cache_max - (cache_max - cache_min) * step / CACHE_STEPS;
      if ((found && group->cache_tokens < cache_max * MOVES_MAX_CACHE_FRACTION)
          || !divide_with_cache (group, division))
        {
          continue;
        }
      has_few_moves = count_moves (group, division) <= MOVES_MAX;
      if (!found || has_few_moves)
        {
          memcpy (best_division, division, bytes);
        }
      found = true;
    }
  for (uint32_t i = 0; found && i < group->member_count; i++)
    {
      group->wanted[group->members[i]] = best_division[i];
    }
  group->cache_tokens = cache_max;
  count_holders (group);
  g_free (division);
  g_free (best_division);
  return found;
}

/* Returns the first of COUNT consecutive layers that have the fewest holders
   in total.  The returned layer is from LOWEST to HIGHEST.  */
static uint32_t
least_held_range (const struct group *group, uint32_t count, uint32_t lowest,
                  uint32_t highest)
{
  uint32_t best = lowest;
  uint32_t best_holders = UINT32_MAX;
  for (uint32_t first = lowest; first <= highest; first++)
    {
      uint32_t holders = 0;
      for (uint32_t layer = first; layer < first + count; layer++)
        {
          holders += group->holders[layer];
        }
      if (holders < best_holders)
        {
          best = first;
          best_holders = holders;
        }
    }
  return best;
}

/* Plans as many layers as fit for the engine at index ENGINE: as much of GAP
   as possible, and of the layers beside it those with the fewest holders.  */
static void
fill_gap (struct group *group, uint32_t engine, const struct rst_layers *gap)
{
  uint32_t layers_max = engine_layers_max (group, engine);
  uint32_t lowest = gap->end > layers_max ? gap->end - layers_max : 0;
  uint32_t highest = MIN (gap->first, group->spec->layers - layers_max);
  uint32_t first = lowest >= highest
                       ? highest
                       : least_held_range (group, layers_max, lowest, highest);
  set_wanted (group, engine, first, first + layers_max);
}

/* Fills the gaps of GROUP with engines whose layers have other holders, as far
   as there are such engines.  Ends because each step shrinks the gaps.  */
static void
fill_with_spares (struct group *group)
{
  struct rst_layers gap;
  uint32_t engine;
  while (find_gap (group, &gap)
         && (engine = choose_gap_filler (group)) != FLT_NO_INDEX)
    {
      fill_gap (group, engine, &gap);
    }
}

/* Resets the plan of GROUP to the layers that its engines hold now.  */
static void
reset_plan (struct group *group)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      uint32_t engine = group->members[i];
      group->wanted[engine] = group->engines[engine].held;
    }
  count_holders (group);
}

/* Plans a holder for every layer of GROUP as far as EFFORT and memory allow.
   Returns whether every layer has one.  */
static bool
fill_gaps (struct group *group, enum stp_effort effort)
{
  struct rst_layers gap;
  fill_with_spares (group);
  if (effort == STP_DIVIDE_ANEW && find_gap (group, &gap))
    {
      reset_plan (group);
      if (!redivide_group (group))
        {
          fill_with_spares (group);
        }
    }
  return !find_gap (group, &gap);
}

/* Returns the first of COUNT consecutive layers to replicate.  They start at
   the first layer with the fewest holders, so that ranges chosen one after
   another complete one more replica of the model, which paths can use, before
   the next one is begun.  */
static uint32_t
next_replica_range (const struct group *group, uint32_t count)
{
  uint32_t layers = group->spec->layers;
  uint32_t least_held = 0;
  for (uint32_t layer = 1; layer < layers; layer++)
    {
      if (group->holders[layer] < group->holders[least_held])
        {
          least_held = layer;
        }
    }
  return MIN (least_held, layers - count);
}

/* Plans layers that have holders for the movable engines of GROUP that hold
   none and are not in reserve.  */
static void
place_replicas (struct group *group)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      uint32_t engine = group->members[i];
      const struct rst_layers *range = &group->wanted[engine];
      uint32_t layers_max = engine_layers_max (group, engine);
      if (range->first == range->end && group->engines[engine].movable
          && !group->engines[engine].in_reserve && layers_max > 0)
        {
          uint32_t first = next_replica_range (group, layers_max);
          set_wanted (group, engine, first, first + layers_max);
        }
    }
}

/* Makes the engines of all data centres for which IN_GROUP is true the members
   of GROUP.  */
static void
collect_members (struct group *group, uint32_t engine_count,
                 const bool *in_group)
{
  group->member_count = 0;
  for (uint32_t i = 0; i < engine_count; i++)
    {
      if (in_group[group->engines[i].data_centre])
        {
          group->members[group->member_count++] = i;
        }
    }
}

/* Plans the layers of GROUP.  Returns whether every layer has a holder.  */
static bool
plan_group (struct group *group, enum stp_effort effort)
{
  count_holders (group);
  bool complete = fill_gaps (group, effort);
  place_replicas (group);
  return complete;
}

/* Sets WANTED, by engine, to the layers that each of the ENGINE_COUNT engines
   ENGINES in DATA_CENTRE_COUNT data centres is to hold.  Each data centre with
   enough memory forms a group that holds the complete model; the remaining
   data centres form one more group together.  WANTED equals the layers held
   now where nothing has to change.  Returns whether every layer has a holder
   in each group.  */
bool
stp_plan (const struct flt_engine_spec *spec, enum stp_effort effort,
          uint32_t data_centre_count, const struct stp_engine *engines,
          uint32_t engine_count, struct rst_layers *wanted)
{
  bool complete = true;
  struct group group = {
    .spec = spec,
    .engines = engines,
    .wanted = wanted,
    .members = g_new (uint32_t, engine_count + 1),
    .holders = g_new0 (uint32_t, spec->layers),
  };
  bool *in_group = g_new0 (bool, data_centre_count);
  bool *in_remaining_group = g_new0 (bool, data_centre_count);
  for (uint32_t i = 0; i < engine_count; i++)
    {
      wanted[i] = engines[i].held;
    }
  for (uint32_t data_centre = 0; data_centre < data_centre_count;
       data_centre++)
    {
      in_group[data_centre] = true;
      collect_members (&group, engine_count, in_group);
      in_group[data_centre] = false;
      if (choose_cache (&group))
        {
          complete &= plan_group (&group, effort);
        }
      else
        {
          in_remaining_group[data_centre] = true;
        }
    }
  collect_members (&group, engine_count, in_remaining_group);
  if (group.member_count > 0)
    {
      choose_cache (&group);
      complete &= plan_group (&group, effort);
    }
  g_free (group.members);
  g_free (group.holders);
  g_free (in_group);
  g_free (in_remaining_group);
  return complete;
}
