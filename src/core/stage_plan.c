#include "core/stage_plan.h"

#include "core/grouping.h"
#include "core/tiling.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define MB_BYTES 1e6

/* Smallest KV cache of an engine, in requests of usual size, in a data centre
   that holds the model without being weighed against groups of several.  With
   a smaller one, the engine limits every path through it. */
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
  uint32_t *holders;       /* by layer: engines of the group that hold it */
  double cache_tokens;     /* KV cache for which each engine keeps memory */
  double cache_tokens_min; /* down to which orders may lower it */
  /* By data centre: layers that its engines hold, as far as possible. */
  struct rst_layers *spans;
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
  double cache_min = CACHE_REQUESTS_MIN
                     * (spec->usual_prompt_tokens + spec->usual_answer_tokens);
  group->cache_tokens_min = cache_min;
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

/* Returns whether the engine at index ENGINE is in a data centre whose engines
   hold LAYER in the plan.  */
static bool
is_in_span (const struct group *group, uint32_t engine, uint32_t layer)
{
  const struct rst_layers *span
      = &group->spans[group->engines[engine].data_centre];
  return span->first <= layer && layer < span->end;
}

/* Returns the index of the movable engine that is best to fill GAP, or
   FLT_NO_INDEX if there is none.  An engine without layers comes before one
   whose layers all have another holder; then one in a data centre that is to
   hold the gap; then one that can hold more layers and is faster.  */
static uint32_t
choose_gap_filler (const struct group *group, const struct rst_layers *gap)
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
      double score = (empty ? 1e6 : 0)
                     + (is_in_span (group, engine, gap->first) ? 1e5 : 0)
                     + layers_max + 100 / group->engines[engine].step_factor;
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
  double cache_min = MIN (group->cache_tokens_min, cache_max);
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
   as possible, and of the layers beside it those with the fewest holders.  The
   layers stay within those of its data centre if the gap begins there.  */
static void
fill_gap (struct group *group, uint32_t engine, const struct rst_layers *gap)
{
  struct rst_layers span
      = is_in_span (group, engine, gap->first)
            ? group->spans[group->engines[engine].data_centre]
            : (struct rst_layers){ 0, group->spec->layers };
  uint32_t layers_max
      = MIN (engine_layers_max (group, engine), span.end - span.first);
  uint32_t gap_end = MIN (gap->end, span.end);
  uint32_t lowest = MAX (gap_end - MIN (gap_end, layers_max), span.first);
  uint32_t highest = MIN (gap->first, span.end - layers_max);
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
         && (engine = choose_gap_filler (group, &gap)) != FLT_NO_INDEX)
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

/* Returns the first of COUNT consecutive layers of SPAN to replicate.  They
   start at the first layer with the fewest holders, so that ranges chosen one
   after another complete one more replica, which paths can use, before the
   next one is begun.  */
static uint32_t
next_replica_range (const struct group *group, uint32_t count,
                    const struct rst_layers *span)
{
  uint32_t least_held = span->first;
  for (uint32_t layer = span->first + 1; layer < span->end; layer++)
    {
      if (group->holders[layer] < group->holders[least_held])
        {
          least_held = layer;
        }
    }
  return MIN (least_held, span->end - count);
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
      const struct rst_layers *span
          = &group->spans[group->engines[engine].data_centre];
      uint32_t layers_max
          = MIN (engine_layers_max (group, engine), span->end - span->first);
      if (range->first == range->end && group->engines[engine].movable
          && !group->engines[engine].in_reserve && layers_max > 0)
        {
          uint32_t first = next_replica_range (group, layers_max, span);
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
      if (in_group[group->engines[i].data_centre] && !group->engines[i].lost)
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

/* The data centres of a fleet, as they are divided into groups. */
struct fleet
{
  uint32_t engine_count;
  uint32_t data_centre_count;
  bool *in_group;      /* by data centre: in the group that is planned */
  uint32_t *undecided; /* data centres that are weighed against each other */
  uint32_t undecided_count;
  bool count_lost; /* in the memory of data centres */
};

/* Returns the sums over the engines of DATA_CENTRE.  */
static struct gpg_data_centre
sum_data_centre (const struct group *group, const struct fleet *fleet,
                 uint32_t data_centre)
{
  struct gpg_data_centre sum = { .engine_count = 0 };
  for (uint32_t i = 0; i < fleet->engine_count; i++)
    {
      const struct stp_engine *engine = &group->engines[i];
      if (engine->data_centre != data_centre
          || (engine->lost && !fleet->count_lost)
          || stp_layers_max (group->spec, engine->memory_mb, 0) == 0)
        {
          continue;
        }
      sum.engine_count++;
      sum.memory_mb += engine->memory_mb;
      sum.step_factor += engine->step_factor * engine->memory_mb;
      sum.prefill_factor += engine->prefill_factor * engine->memory_mb;
      for (uint32_t level = 0; level < GPG_LEVELS; level++)
        {
          sum.layers_max[level]
              += stp_layers_max (group->spec, engine->memory_mb,
                                 gpg_cache_tokens (group->spec, level));
        }
    }
  return sum;
}

/* A data centre of a group, in the order in which paths run through them. */
struct placed
{
  uint32_t data_centre;
  uint32_t layers_max; /* of its engines */
  double position;     /* middle of the layers that its engines hold */
};

/* Describes DATA_CENTRE, a member of GROUP.  One without layers comes last. */
static struct placed
describe_placed (const struct group *group, uint32_t data_centre)
{
  struct placed placed = { .data_centre = data_centre };
  double held = 0;
  double middles = 0;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      uint32_t engine = group->members[i];
      if (group->engines[engine].data_centre == data_centre)
        {
          const struct rst_layers *range = &group->engines[engine].held;
          double layers = range->end - range->first;
          held += layers;
          middles += layers * (range->first + range->end) / 2;
          placed.layers_max += engine_layers_max (group, engine);
        }
    }
  placed.position = held > 0 ? middles / held : group->spec->layers;
  return placed;
}

static int
compare_placed (const void *left, const void *right)
{
  const struct placed *a = left;
  const struct placed *b = right;
  if (a->position != b->position)
    {
      return a->position < b->position ? -1 : 1;
    }
  return a->data_centre < b->data_centre ? -1
                                         : a->data_centre > b->data_centre;
}

/* Divides the layers among the data centres of GROUP, consecutive ones to
   each, in proportion to the layers that fit there, so that each data centre
   can replicate its own as often as the others can.  */
static void
set_spans (struct group *group, const struct fleet *fleet)
{
  struct placed *placed = g_new0 (struct placed, fleet->data_centre_count);
  uint32_t count = 0;
  uint32_t total = 0;
  for (uint32_t i = 0; i < fleet->data_centre_count; i++)
    {
      if (fleet->in_group[i])
        {
          placed[count] = describe_placed (group, i);
          total += placed[count++].layers_max;
        }
    }
  qsort (placed, count, sizeof *placed, compare_placed);
  uint64_t before = 0;
  uint32_t layers = group->spec->layers;
  for (uint32_t i = 0; i < count; i++)
    {
      uint64_t after = before + placed[i].layers_max;
      struct rst_layers span = {
        .first = (uint32_t)(layers * before / MAX (total, 1)),
        .end = (uint32_t)(layers * after / MAX (total, 1)),
      };
      /* One with too little memory for a layer of its own helps any other. */
      group->spans[placed[i].data_centre]
          = span.first < span.end ? span : (struct rst_layers){ 0, layers };
      before = after;
    }
  g_free (placed);
}

/* Makes the data centres whose index in GROUP_INDEXES, by undecided data
   centre, is INDEX the only ones of GROUP.  */
static void
collect_group (struct group *group, struct fleet *fleet,
               const uint32_t *group_indexes, uint32_t index)
{
  memset (fleet->in_group, 0,
          fleet->data_centre_count * sizeof *fleet->in_group);
  for (uint32_t i = 0; i < fleet->undecided_count; i++)
    {
      fleet->in_group[fleet->undecided[i]] = group_indexes[i] == index;
    }
  collect_members (group, fleet->engine_count, fleet->in_group);
}

/* Divides the undecided data centres of FLEET into groups and plans the layers
   of each.  Returns whether every layer has a holder in each group.  */
static bool
plan_undecided (struct group *group, struct fleet *fleet,
                enum stp_effort effort)
{
  uint32_t count = fleet->undecided_count;
  struct gpg_data_centre *sums = g_new0 (struct gpg_data_centre, count + 1);
  struct gpg_group *groups = g_new0 (struct gpg_group, count + 1);
  uint32_t *group_indexes = g_new0 (uint32_t, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      sums[i] = sum_data_centre (group, fleet, fleet->undecided[i]);
    }
  uint32_t group_count
      = gpg_divide (group->spec, sums, count, group_indexes, groups);
  bool complete = true;
  for (uint32_t i = 0; i < group_count; i++)
    {
      collect_group (group, fleet, group_indexes, i);
      group->cache_tokens = groups[i].cache_tokens;
      group->cache_tokens_min = gpg_cache_tokens (group->spec, GPG_LEVELS - 1);
      if (group->member_count > 0)
        {
          set_spans (group, fleet);
          complete &= plan_group (group, effort);
        }
    }
  g_free (sums);
  g_free (groups);
  g_free (group_indexes);
  return complete;
}

/* Returns whether every layer has a holder in the plan, in any data centre. */
static bool
is_covered (struct group *group, struct fleet *fleet)
{
  struct rst_layers gap;
  for (uint32_t i = 0; i < fleet->data_centre_count; i++)
    {
      fleet->in_group[i] = true;
    }
  collect_members (group, fleet->engine_count, fleet->in_group);
  count_holders (group);
  return !find_gap (group, &gap);
}

/* Resets the plan of the undecided data centres of FLEET to the layers that
   their engines hold now.  */
static void
reset_undecided (struct group *group, struct fleet *fleet)
{
  memset (fleet->in_group, 0,
          fleet->data_centre_count * sizeof *fleet->in_group);
  for (uint32_t i = 0; i < fleet->undecided_count; i++)
    {
      fleet->in_group[fleet->undecided[i]] = true;
    }
  collect_members (group, fleet->engine_count, fleet->in_group);
  reset_plan (group);
}

/* Returns a copy of the COUNT ENGINES, in which those that hold layers which a
   model with LAYERS layers doesn't have hold none.  The caller frees it.  */
static struct stp_engine *
copy_engines (const struct stp_engine *engines, uint32_t count,
              uint32_t layers)
{
  struct stp_engine *copies = g_new (struct stp_engine, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      copies[i] = engines[i];
      if (copies[i].held.end > layers)
        {
          copies[i].held = (struct rst_layers){ 0, 0 };
        }
    }
  return copies;
}

/* Sets WANTED, by engine, to the layers that each of the ENGINE_COUNT engines
   STATED in DATA_CENTRE_COUNT data centres is to hold.  Each data centre with
   ample memory forms a group that holds the complete model; the remaining
   data centres form groups as memory and links allow.  WANTED equals the
   layers held now where nothing has to change.  Returns whether every layer
   has a holder in each group.  */
bool
stp_plan (const struct flt_engine_spec *spec, enum stp_effort effort,
          uint32_t data_centre_count, const struct stp_engine *stated,
          uint32_t engine_count, struct rst_layers *wanted)
{
  bool complete = true;
  struct stp_engine *engines
      = copy_engines (stated, engine_count, spec->layers);
  struct group group = {
    .spec = spec,
    .engines = engines,
    .wanted = wanted,
    .members = g_new (uint32_t, engine_count + 1),
    .holders = g_new0 (uint32_t, spec->layers),
    .spans = g_new (struct rst_layers, data_centre_count),
  };
  struct fleet fleet = {
    .engine_count = engine_count,
    .data_centre_count = data_centre_count,
    .in_group = g_new0 (bool, data_centre_count),
    .undecided = g_new (uint32_t, data_centre_count),
  };
  for (uint32_t i = 0; i < engine_count; i++)
    {
      wanted[i] = engines[i].held;
    }
  for (uint32_t i = 0; i < data_centre_count; i++)
    {
      group.spans[i] = (struct rst_layers){ 0, spec->layers };
      fleet.in_group[i] = true;
      collect_members (&group, engine_count, fleet.in_group);
      fleet.in_group[i] = false;
      if (choose_cache (&group))
        {
          complete &= plan_group (&group, effort);
        }
      else
        {
          fleet.undecided[fleet.undecided_count++] = i;
        }
    }
  /* As long as every layer has a holder somewhere, it is worth waiting for
     lost engines. */
  fleet.count_lost = true;
  bool undecided_complete = plan_undecided (&group, &fleet, effort);
  if (!is_covered (&group, &fleet))
    {
      reset_undecided (&group, &fleet);
      fleet.count_lost = false;
      undecided_complete = plan_undecided (&group, &fleet, effort);
    }
  complete &= undecided_complete;
  g_free (engines);
  g_free (group.members);
  g_free (group.holders);
  g_free (group.spans);
  g_free (fleet.in_group);
  g_free (fleet.undecided);
  return complete;
}
