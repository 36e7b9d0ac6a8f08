#include "core/stage_plan.h"

#include "core/tiling.h"

#include <math.h>
#include <string.h>

#define MB_BYTES 1e6

/* Least memory of requests of an engine, in requests of usual size: below it
   an engine limits every path through it. */
#define LEAST_REQUESTS 12

/* The wish for memory of requests is lowered in this many steps until the
   engines of a group hold the model. */
#define MEMORY_STEPS 16

/* Orders at one time that are few: each takes its engine out of use for some
   seconds. */
#define FEW_MOVES 4

/* Share of the room for requests that fewer moves may cost. */
#define FEW_MOVES_ROOM_SHARE 0.5

/* One group of data centres that holds the model by itself. */
struct group
{
  const struct flt_engine *engine;
  const struct stp_card *cards;
  struct rst_layers *wanted;
  uint32_t *members; /* indexes of cards */
  uint32_t member_count;
  uint32_t *holders;   /* by layer, within the group */
  double cache_tokens; /* wished for on each engine */
};

/* Returns the megabytes that one token needs on an engine for each layer that
   it holds.  */
static double
token_layer_mb (const struct flt_engine *engine)
{
  return engine->cache_token_bytes / engine->layers / MB_BYTES;
}

/* Returns the memory of requests, in tokens, of an engine with MEMORY_MB that
   holds LAYERS.  */
double
stp_cache_tokens (const struct flt_engine *engine, double memory_mb,
                  uint32_t layers)
{
  if (layers == 0)
    {
      return 0;
    }
  double left_mb = memory_mb - layers * engine->layer_mb;
  return MAX (left_mb, 0) / (layers * token_layer_mb (engine));
}

/* Returns the number of layers that MEMORY_MB holds beside the memory of
   CACHE_TOKENS.  */
uint32_t
stp_layers_max (const struct flt_engine *engine, double memory_mb,
                double cache_tokens)
{
  double layer_mb = engine->layer_mb + cache_tokens * token_layer_mb (engine);
  uint32_t layers = (uint32_t)floor (memory_mb / layer_mb);
  return MIN (layers, engine->layers);
}

static double
least_cache_tokens (const struct flt_engine *engine)
{
  return LEAST_REQUESTS
         * (engine->usual_prompt_tokens + engine->usual_answer_tokens);
}

static uint32_t
card_layers_max (const struct group *group, uint32_t card)
{
  return stp_layers_max (group->engine, group->cards[card].memory_mb,
                         group->cache_tokens);
}

/* Returns the number of layers that the group's engines can hold with the
   memory of requests that it wishes for.  */
static uint32_t
group_layers_max (const struct group *group)
{
  uint32_t total = 0;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      total += card_layers_max (group, group->members[i]);
    }
  return total;
}

/* Sets the largest memory of requests with which GROUP holds the model, up to
   that of as many usual requests as an engine has slots.  Returns false when
   it can't hold it.  */
static bool
choose_cache (struct group *group)
{
  const struct flt_engine *engine = group->engine;
  double most = engine->slots
                * (engine->usual_prompt_tokens + engine->usual_answer_tokens);
  double least = least_cache_tokens (group->engine);
  for (uint32_t step = 0; step <= MEMORY_STEPS; step++)
    {
      group->cache_tokens = most - (most - least) * step / MEMORY_STEPS;
      if (group_layers_max (group) >= group->engine->layers)
        {
          return true;
        }
    }
  return false;
}

static void
count_holders (struct group *group)
{
  memset (group->holders, 0, group->engine->layers * sizeof *group->holders);
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct rst_layers *range = &group->wanted[group->members[i]];
      for (uint32_t layer = range->first;
           layer < range->end && layer < group->engine->layers; layer++)
        {
          group->holders[layer]++;
        }
    }
}

/* Finds the first run of layers that nobody holds.  */
static bool
find_gap (const struct group *group, struct rst_layers *gap)
{
  uint32_t layers = group->engine->layers;
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

/* True when every layer of RANGE has another holder in GROUP.  */
static bool
is_repeated (const struct group *group, const struct rst_layers *range)
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

/* Returns the engine that fills a gap best: one without layers before one
   whose layers others hold too, the faster and the larger first; or
   FLT_NO_INDEX.  */
static uint32_t
choose_filler (const struct group *group)
{
  uint32_t best = FLT_NO_INDEX;
  double best_score = 0;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      uint32_t card = group->members[i];
      const struct rst_layers *range = &group->wanted[card];
      bool empty = range->first == range->end;
      uint32_t most = card_layers_max (group, card);
      if (!group->cards[card].movable || most == 0
          || (!empty && !is_repeated (group, range)))
        {
          continue;
        }
      double score
          = (empty ? 1e6 : 0) + most + 100 / group->cards[card].step_factor;
      if (best == FLT_NO_INDEX || score > best_score)
        {
          best = card;
          best_score = score;
        }
    }
  return best;
}

static void
assign (struct group *group, uint32_t card, uint32_t first, uint32_t end)
{
  group->wanted[card] = (struct rst_layers){ first, end };
  count_holders (group);
}

/* Returns the number of engines of GROUP that hold something else in
   DIVIDED.  */
static uint32_t
count_moves (const struct group *group, const struct rst_layers *divided)
{
  uint32_t moves = 0;
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      const struct rst_layers *now = &group->wanted[group->members[i]];
      moves += divided[i].first != now->first || divided[i].end != now->end;
    }
  return moves;
}

/* Divides all layers anew among the engines of GROUP with the room for
   requests that it wishes for now.  Engines that hold nothing, or nothing that
   others lack, stand where the first gap is.  Returns false when the engines
   can't hold the layers.  */
static bool
divide (const struct group *group, struct rst_layers *divided)
{
  struct til_engine *engines = g_new0 (struct til_engine, group->member_count);
  struct rst_layers gap = { 0, 0 };
  find_gap (group, &gap);
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      uint32_t card = group->members[i];
      const struct rst_layers *held = &group->wanted[card];
      bool spare = group->cards[card].movable && is_repeated (group, held);
      engines[i] = (struct til_engine){
        .held = spare ? (struct rst_layers){ gap.first, gap.first } : *held,
        .layers_max = card_layers_max (group, card),
        .movable = group->cards[card].movable,
      };
    }
  bool found = til_divide (engines, group->member_count, group->engine->layers,
                           divided);
  for (uint32_t i = 0; found && i < group->member_count; i++)
    {
      if (divided[i].first == divided[i].end)
        {
          divided[i] = group->wanted[group->members[i]];
        }
    }
  g_free (engines);
  return found;
}

/* Fills the gaps of GROUP by moving engines that others need.  The most room
   for requests comes first, but a few moves are worth up to half of it.
   Returns false when nothing helps.  */
static bool
divide_anew (struct group *group)
{
  size_t bytes = group->member_count * sizeof (struct rst_layers);
  struct rst_layers *divided = g_malloc0 (bytes);
  struct rst_layers *roomiest = g_malloc0 (bytes);
  double wished = group->cache_tokens;
  double least = least_cache_tokens (group->engine);
  bool found = false;
  bool few = false;
  for (uint32_t step = 0; step <= MEMORY_STEPS && !few; step++)
    {
      group->cache_tokens = wished - (wished - least) * step / MEMORY_STEPS;
      if ((found && group->cache_tokens < wished * FEW_MOVES_ROOM_SHARE)
          || !divide (group, divided))
        {
          continue;
        }
      few = count_moves (group, divided) <= FEW_MOVES;
      if (!found || few)
        {
          memcpy (roomiest, divided, bytes);
        }
      found = true;
    }
  for (uint32_t i = 0; found && i < group->member_count; i++)
    {
      group->wanted[group->members[i]] = roomiest[i];
    }
  group->cache_tokens = wished;
  count_holders (group);
  g_free (divided);
  g_free (roomiest);
  return found;
}

/* Returns the first of COUNT layers that have the fewest holders together,
   where the first is one from LOWEST to HIGHEST.  */
static uint32_t
thinnest_window (const struct group *group, uint32_t count, uint32_t lowest,
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

/* Lets CARD hold as much of GAP as its memory allows, and the thinnest of the
   layers beside it.  */
static void
fill_gap (struct group *group, uint32_t card, const struct rst_layers *gap)
{
  uint32_t most = card_layers_max (group, card);
  uint32_t lowest = gap->end > most ? gap->end - most : 0;
  uint32_t highest = MIN (gap->first, group->engine->layers - most);
  uint32_t first = lowest >= highest
                       ? highest
                       : thinnest_window (group, most, lowest, highest);
  assign (group, card, first, first + most);
}

/* Fills the gaps of GROUP with engines that nothing depends on, as far as that
   can be.  Every turn shrinks the gaps.  */
static void
fill_with_spares (struct group *group)
{
  struct rst_layers gap;
  uint32_t card;
  while (find_gap (group, &gap)
         && (card = choose_filler (group)) != FLT_NO_INDEX)
    {
      fill_gap (group, card, &gap);
    }
}

/* Lets the engines of GROUP hold what they hold now.  */
static void
reset (struct group *group)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      uint32_t card = group->members[i];
      group->wanted[card] = group->cards[card].held;
    }
  count_holders (group);
}

/* Gives every layer of GROUP a holder, as far as EFFORT goes and that can be.
   Returns true when none lacks one.  */
static bool
fill_gaps (struct group *group, enum stp_effort effort)
{
  struct rst_layers gap;
  fill_with_spares (group);
  if (effort == STP_DIVIDE_ANEW && find_gap (group, &gap))
    {
      reset (group);
      if (!divide_anew (group))
        {
          fill_with_spares (group);
        }
    }
  return !find_gap (group, &gap);
}

/* Returns the first of COUNT layers that begin with the thinnest run: windows
   that follow one another complete one more copy of the model, which paths can
   use, before the next is begun.  */
static uint32_t
next_window (const struct group *group, uint32_t count)
{
  uint32_t layers = group->engine->layers;
  uint32_t thinnest = 0;
  for (uint32_t layer = 1; layer < layers; layer++)
    {
      if (group->holders[layer] < group->holders[thinnest])
        {
          thinnest = layer;
        }
    }
  return MIN (thinnest, layers - count);
}

/* Lets engines that hold nothing repeat layers that others hold.  */
static void
place_repeats (struct group *group)
{
  for (uint32_t i = 0; i < group->member_count; i++)
    {
      uint32_t card = group->members[i];
      const struct rst_layers *range = &group->wanted[card];
      uint32_t most = card_layers_max (group, card);
      if (range->first == range->end && group->cards[card].movable
          && !group->cards[card].in_reserve && most > 0)
        {
          uint32_t first = next_window (group, most);
          assign (group, card, first, first + most);
        }
    }
}

/* Collects the engines of the data centres for which IN_GROUP is true.  */
static void
collect_members (struct group *group, uint32_t card_count,
                 const bool *in_group)
{
  group->member_count = 0;
  for (uint32_t i = 0; i < card_count; i++)
    {
      if (in_group[group->cards[i].zone])
        {
          group->members[group->member_count++] = i;
        }
    }
}

static bool
plan_group (struct group *group, enum stp_effort effort)
{
  count_holders (group);
  bool whole = fill_gaps (group, effort);
  place_repeats (group);
  return whole;
}

/* Plans, for the CARD_COUNT engines CARDS in ZONE_COUNT data centres, which
   layers each is to hold.  Each data centre with the memory for it holds the
   whole model; the others do so together.  WANTED, one for each engine, is the
   result; it equals what is held where nothing has to change.  Returns true
   when each of these groups holds every layer then.  */
bool
stp_plan (const struct flt_engine *engine, enum stp_effort effort,
          uint32_t zone_count, const struct stp_card *cards,
          uint32_t card_count, struct rst_layers *wanted)
{
  bool whole = true;
  struct group group = {
    .engine = engine,
    .cards = cards,
    .wanted = wanted,
    .members = g_new (uint32_t, card_count + 1),
    .holders = g_new0 (uint32_t, engine->layers),
  };
  bool *alone = g_new0 (bool, zone_count);
  bool *rest = g_new0 (bool, zone_count);
  for (uint32_t i = 0; i < card_count; i++)
    {
      wanted[i] = cards[i].held;
    }
  for (uint32_t zone = 0; zone < zone_count; zone++)
    {
      alone[zone] = true;
      collect_members (&group, card_count, alone);
      alone[zone] = false;
      if (choose_cache (&group))
        {
          whole &= plan_group (&group, effort);
        }
      else
        {
          rest[zone] = true;
        }
    }
  collect_members (&group, card_count, rest);
  if (group.member_count > 0)
    {
      choose_cache (&group);
      whole &= plan_group (&group, effort);
    }
  g_free (group.members);
  g_free (group.holders);
  g_free (alone);
  g_free (rest);
  return whole;
}
