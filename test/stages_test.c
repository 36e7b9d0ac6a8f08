#include "core/losses.h"
#include "core/path.h"
#include "core/stage_plan.h"
#include "core/tiling.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <math.h>

#include <string.h>

#define LAYERS 80
#define ENGINES_MAX 64

/* A model of 80 layers of 1,750 MB each, and what the engines that run it have
   in common. */
static const struct flt_engine_spec spec = {
  .slots = 192,
  .cache_tokens_max = 100000,
  .cache_token_bytes = 426000,
  .step_ms = 0.85,
  .layers = LAYERS,
  .layer_mb = 1750,
  .usual_prompt_tokens = 772,
  .usual_answer_tokens = 150,
};

/* A kind of accelerator. */
struct kind
{
  double memory_mb;
  double step_factor; /* duration of a step, relative; lower is faster */
  double prefill_factor;
};

static const struct kind a100s = { 36000, 3.1, 3.2 };
static const struct kind l4 = { 21600, 16, 8.2 };
static const struct kind t4 = { 14400, 15, 15 };

/* Number of engines of each kind in one data centre. */
struct data_centre_counts
{
  uint32_t a100s;
  uint32_t l4;
  uint32_t t4;
};

struct fleet
{
  struct stp_engine engines[ENGINES_MAX];
  uint32_t count;
  uint32_t data_centre_count;
};

/* Adds COUNT movable engines of KIND in DATA_CENTRE to FLEET, without
   layers.  */
static void
add_engines (struct fleet *fleet, uint32_t data_centre,
             const struct kind *kind, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      fleet->engines[fleet->count++] = (struct stp_engine){
        .data_centre = data_centre,
        .memory_mb = kind->memory_mb,
        .step_factor = kind->step_factor,
        .prefill_factor = kind->prefill_factor,
        .movable = true,
      };
    }
}

/* Builds FLEET from the engines of COUNT data centres.  */
static void
build_fleet (struct fleet *fleet,
             const struct data_centre_counts *data_centres, uint32_t count)
{
  *fleet = (struct fleet){ .data_centre_count = count };
  for (uint32_t data_centre = 0; data_centre < count; data_centre++)
    {
      add_engines (fleet, data_centre, &a100s,
                   data_centres[data_centre].a100s);
      add_engines (fleet, data_centre, &l4, data_centres[data_centre].l4);
      add_engines (fleet, data_centre, &t4, data_centres[data_centre].t4);
    }
}

/* Returns the smallest number of holders of a layer in DATA_CENTRE, or in all
   data centres if DATA_CENTRE is UINT32_MAX.  */
static uint32_t
fewest_holders (const struct fleet *fleet, const struct rst_layers *wanted,
                uint32_t data_centre)
{
  uint32_t holders[LAYERS] = { 0 };
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      for (uint32_t layer = wanted[i].first; layer < wanted[i].end; layer++)
        {
          holders[layer] += data_centre == UINT32_MAX
                            || fleet->engines[i].data_centre == data_centre;
        }
    }
  uint32_t fewest = UINT32_MAX;
  for (uint32_t layer = 0; layer < LAYERS; layer++)
    {
      fewest = holders[layer] < fewest ? holders[layer] : fewest;
    }
  return fewest;
}

/* Asserts that the layers of each engine leave some of its memory for the KV
   cache.  */
static void
assert_fits (const struct fleet *fleet, const struct rst_layers *wanted)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      uint32_t held = wanted[i].end - wanted[i].first;
      assert_true (wanted[i].end <= LAYERS);
      assert_true (held * spec.layer_mb < fleet->engines[i].memory_mb);
    }
}

/* The first plan of a cold start holds every layer in each data centre with
   enough memory.  The rows are two fleets of which each data centre can hold
   the model, one in which two data centres can't hold it alone, and a fleet
   that can't hold it at all.  */
static void
test_plan_cold_start (void **state)
{
  (void)state;
  static const struct
  {
    struct data_centre_counts data_centres[3];
    uint32_t fewest_in[3]; /* least holders of a layer, by data centre */
    uint32_t fewest;       /* least holders in all data centres together */
  } rows[] = {
    { { { 1, 8, 5 }, { 3, 3, 5 }, { 1, 4, 8 } }, { 1, 1, 1 }, 3 },
    { { { 5, 0, 0 }, { 0, 8, 0 }, { 0, 0, 12 } }, { 1, 1, 1 }, 3 },
    { { { 3, 3, 5 }, { 1, 1, 1 }, { 0, 5, 2 } }, { 1, 0, 0 }, 2 },
    { { { 1, 1, 1 }, { 0, 0, 0 }, { 0, 0, 0 } }, { 0, 0, 0 }, 0 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct fleet fleet;
      struct rst_layers wanted[ENGINES_MAX];
      build_fleet (&fleet, rows[i].data_centres, 3);
      stp_plan (&spec, STP_DIVIDE_ANEW, fleet.data_centre_count, fleet.engines,
                fleet.count, wanted);
      assert_fits (&fleet, wanted);
      for (uint32_t data_centre = 0; data_centre < 3; data_centre++)
        {
          assert_true (fewest_holders (&fleet, wanted, data_centre)
                       >= rows[i].fewest_in[data_centre]);
        }
      assert_true (fewest_holders (&fleet, wanted, UINT32_MAX)
                   >= rows[i].fewest);
    }
}

/* Guards against an entry of the list that states layers which the model
   doesn't have: the planner read past its table of holders.  */
static void
test_plan_absurd_layers (void **state)
{
  (void)state;
  static const struct rst_layers ranges[] = {
    { 0, LAYERS + 1 },
    { 0, INT32_MAX },
    { LAYERS, LAYERS + 7 },
    { INT32_MAX - 1, INT32_MAX },
  };
  static const struct data_centre_counts counts[] = { { 3, 3, 5 } };
  for (size_t i = 0; i < sizeof ranges / sizeof ranges[0]; i++)
    {
      struct fleet fleet;
      struct rst_layers wanted[ENGINES_MAX];
      build_fleet (&fleet, counts, 1);
      fleet.engines[0].held = ranges[i];
      assert_true (stp_plan (&spec, STP_DIVIDE_ANEW, fleet.data_centre_count,
                             fleet.engines, fleet.count, wanted));
      assert_fits (&fleet, wanted);
    }
}

/* Makes the engines of FLEET hold the layers in WANTED.  */
static void
apply_plan (struct fleet *fleet, const struct rst_layers *wanted)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      fleet->engines[i].held = wanted[i];
    }
}

/* Planning again from a plan changes nothing.  */
static void
test_plan_is_stable (void **state)
{
  (void)state;
  static const struct data_centre_counts data_centres[]
      = { { 1, 8, 5 }, { 3, 3, 5 } };
  struct fleet fleet;
  struct rst_layers wanted[ENGINES_MAX];
  struct rst_layers again[ENGINES_MAX];
  build_fleet (&fleet, data_centres, 2);
  stp_plan (&spec, STP_DIVIDE_ANEW, 2, fleet.engines, fleet.count, wanted);
  apply_plan (&fleet, wanted);
  stp_plan (&spec, STP_DIVIDE_ANEW, 2, fleet.engines, fleet.count, again);
  assert_memory_equal (wanted, again, fleet.count * sizeof wanted[0]);
}

/* When any one engine is lost, new layers for at most four others give every
   layer a holder in each data centre.  When an engine restarts empty before
   the others have changed, it gets layers, and every layer has at least two
   holders.  */
static void
test_plan_engine_loss (void **state)
{
  (void)state;
  static const struct data_centre_counts data_centres[]
      = { { 1, 8, 5 }, { 3, 3, 5 } };
  struct fleet fleet;
  struct rst_layers wanted[ENGINES_MAX];
  build_fleet (&fleet, data_centres, 2);
  stp_plan (&spec, STP_DIVIDE_ANEW, 2, fleet.engines, fleet.count, wanted);
  apply_plan (&fleet, wanted);
  for (uint32_t lost = 0; lost < fleet.count; lost++)
    {
      struct fleet after = fleet;
      struct rst_layers next[ENGINES_MAX];
      after.count--;
      after.engines[lost] = fleet.engines[after.count];
      stp_plan (&spec, STP_DIVIDE_ANEW, 2, after.engines, after.count, next);
      assert_fits (&after, next);
      uint32_t moved = 0;
      for (uint32_t i = 0; i < after.count; i++)
        {
          moved += memcmp (&next[i], &after.engines[i].held, sizeof next[i])
                   != 0;
        }
      assert_true (moved <= 4);
      for (uint32_t data_centre = 0; data_centre < 2; data_centre++)
        {
          assert_true (fewest_holders (&after, next, data_centre) >= 1);
        }
      struct fleet empty = fleet;
      empty.engines[lost].held = (struct rst_layers){ 0, 0 };
      stp_plan (&spec, STP_DIVIDE_ANEW, 2, empty.engines, empty.count, next);
      assert_true (next[lost].end > next[lost].first);
      assert_true (fewest_holders (&empty, next, UINT32_MAX) >= 2);
    }
}

/* A new engine may be the replacement of one that is about to leave.  While
   the new engine is in reserve, it gets layers only to fill a gap, here that
   of an engine that has left; it replicates layers only afterwards.  */
static void
test_plan_new_engine (void **state)
{
  (void)state;
  static const struct
  {
    bool in_reserve;
    bool one_leaves;
    bool gets_layers;
  } rows[] = {
    { true, false, false },
    { true, true, true },
    { false, false, true },
    { false, true, true },
  };
  static const struct data_centre_counts data_centres[]
      = { { 1, 8, 5 }, { 3, 3, 5 } };
  struct fleet fleet;
  struct rst_layers wanted[ENGINES_MAX];
  build_fleet (&fleet, data_centres, 2);
  stp_plan (&spec, STP_DIVIDE_ANEW, 2, fleet.engines, fleet.count, wanted);
  apply_plan (&fleet, wanted);
  uint32_t leaving = 1; /* the first l4, the only holder of its layers in
                           its data centre */
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct fleet after = fleet;
      struct rst_layers next[ENGINES_MAX];
      if (rows[i].one_leaves)
        {
          after.count--;
          after.engines[leaving] = fleet.engines[after.count];
        }
      uint32_t new_engine = after.count++;
      after.engines[new_engine]
          = (struct stp_engine){ .data_centre = 0,
                                 .memory_mb = l4.memory_mb,
                                 .step_factor = l4.step_factor,
                                 .movable = true,
                                 .in_reserve = rows[i].in_reserve };
      stp_plan (&spec, STP_DIVIDE_ANEW, 2, after.engines, after.count, next);
      assert_int_equal (next[new_engine].end > next[new_engine].first,
                        rows[i].gets_layers);
      assert_true (fewest_holders (&after, next, 0) >= 1);
      for (uint32_t engine = 0; engine < new_engine; engine++)
        {
          assert_memory_equal (&next[engine], &after.engines[engine].held,
                               sizeof next[engine]);
        }
    }
}

/* An engine that fills a gap of few layers also gets adjacent layers, as many
   as its memory allows beside the KV cache.  Guards against a plan in which a
   fast engine of a large fleet fills a gap of one layer and then holds nothing
   else.  */
static void
test_plan_small_gap (void **state)
{
  (void)state;
  static const struct data_centre_counts data_centres[] = { { 4, 0, 0 } };
  static const struct
  {
    uint32_t first;
    uint32_t end;
  } gaps[] = { { 0, 1 }, { 43, 44 }, { 79, 80 }, { 30, 36 } };
  for (size_t i = 0; i < sizeof gaps / sizeof gaps[0]; i++)
    {
      struct fleet fleet;
      struct rst_layers wanted[ENGINES_MAX];
      build_fleet (&fleet, data_centres, 1);
      fleet.engines[0].held = (struct rst_layers){ 0, gaps[i].first };
      fleet.engines[1].held = (struct rst_layers){ gaps[i].end, LAYERS };
      fleet.engines[2].held = (struct rst_layers){ 0, gaps[i].first };
      fleet.engines[0].memory_mb = 300000;
      fleet.engines[1].memory_mb = 300000;
      fleet.engines[2].memory_mb = 300000;
      stp_plan (&spec, STP_SPARES, 1, fleet.engines, fleet.count, wanted);
      assert_true (wanted[3].first <= gaps[i].first);
      assert_true (wanted[3].end >= gaps[i].end);
      assert_int_equal (wanted[3].end - wanted[3].first, 13);
    }
}

/* Returns the smallest KV cache, in tokens, of the engines in DATA_CENTRE that
   hold layers.  */
static double
smallest_cache (const struct fleet *fleet, uint32_t data_centre)
{
  double smallest = INFINITY;
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      const struct stp_engine *engine = &fleet->engines[i];
      if (engine->data_centre == data_centre
          && engine->held.end > engine->held.first)
        {
          smallest
              = fmin (smallest, stp_cache_tokens (&spec, engine->memory_mb,
                                                  engine->held.end
                                                      - engine->held.first));
        }
    }
  return smallest;
}

/* A data centre that loses one or more engines keeps memory for a KV cache on
   each of the others, instead of filling one of them up with layers.  */
static void
test_plan_keeps_cache (void **state)
{
  (void)state;
  static const struct
  {
    struct data_centre_counts data_centre;
    uint32_t losses;
    double cache_tokens;
  } rows[] = {
    { { 1, 8, 5 }, 1, 150000 }, { { 1, 8, 5 }, 2, 90000 },
    { { 1, 8, 5 }, 3, 60000 },  { { 3, 3, 5 }, 1, 60000 },
    { { 1, 4, 8 }, 1, 60000 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      /* A different engine is lost first each time. */
      for (uint32_t start = 0; start < 10; start++)
        {
          struct fleet fleet;
          struct rst_layers wanted[ENGINES_MAX];
          build_fleet (&fleet, &rows[i].data_centre, 1);
          stp_plan (&spec, STP_DIVIDE_ANEW, 1, fleet.engines, fleet.count,
                    wanted);
          apply_plan (&fleet, wanted);
          for (uint32_t n = 0; n < rows[i].losses; n++)
            {
              uint32_t lost = (start + 3 * n) % fleet.count;
              fleet.engines[lost] = fleet.engines[--fleet.count];
              stp_plan (&spec, STP_DIVIDE_ANEW, 1, fleet.engines, fleet.count,
                        wanted);
              apply_plan (&fleet, wanted);
            }
          assert_true (fewest_holders (&fleet, wanted, 0) >= 1);
          assert_true (smallest_cache (&fleet, 0) >= rows[i].cache_tokens);
        }
    }
}

#define TILES_MAX 5

/* Ten layers, divided among engines that hold some of them already, and the
   expected layers of each engine, its tile.  An empty range of the first
   engine means that no division is expected. */
static const struct
{
  const char *name;
  struct til_engine engines[TILES_MAX];
  uint32_t count;
  struct rst_layers expected[TILES_MAX];
} tile_rows[] = {
  { "all layers are held",
    { { { 0, 5 }, 6, true }, { { 5, 10 }, 6, true } },
    2,
    { { 0, 5 }, { 5, 10 } } },
  { "an adjacent engine takes the missing layer",
    { { { 0, 4 }, 6, true }, { { 5, 10 }, 5, true } },
    2,
    { { 0, 5 }, { 5, 10 } } },
  { "an engine that can't move keeps its layers",
    { { { 0, 4 }, 5, true }, { { 4, 8 }, 5, false }, { { 9, 10 }, 2, true } },
    3,
    { { 0, 4 }, { 4, 8 }, { 8, 10 } } },
  { "layers shift along to the engine with memory left",
    { { { 0, 4 }, 4, true }, { { 5, 8 }, 3, true }, { { 8, 10 }, 3, true } },
    3,
    { { 0, 4 }, { 4, 7 }, { 7, 10 } } },
  { "engines that overlap keep their layers",
    { { { 0, 5 }, 6, true }, { { 3, 8 }, 6, true }, { { 7, 10 }, 6, true } },
    3,
    { { 0, 5 }, { 3, 8 }, { 7, 10 } } },
  { "too little memory",
    { { { 0, 4 }, 4, true }, { { 5, 9 }, 5, true } },
    2,
    { { 0, 0 } } },
};

/* The division that loads the fewest layers is found.  */
static void
test_tiling (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof tile_rows / sizeof tile_rows[0]; i++)
    {
      struct rst_layers wanted[TILES_MAX] = { { 0, 0 } };
      bool found
          = til_divide (tile_rows[i].engines, tile_rows[i].count, 10, wanted);
      assert_int_equal (found, tile_rows[i].expected[0].end > 0);
      for (uint32_t tile = 0; found && tile < tile_rows[i].count; tile++)
        {
          assert_int_equal (wanted[tile].first,
                            tile_rows[i].expected[tile].first);
          assert_int_equal (wanted[tile].end, tile_rows[i].expected[tile].end);
        }
    }
}

/* Engines with an order in progress get no further one.  */
static void
test_plan_unmovable (void **state)
{
  (void)state;
  static const struct data_centre_counts data_centres[] = { { 5, 0, 0 } };
  struct fleet fleet;
  struct rst_layers wanted[ENGINES_MAX];
  build_fleet (&fleet, data_centres, 1);
  for (uint32_t i = 0; i < fleet.count; i++)
    {
      fleet.engines[i].movable = false;
    }
  stp_plan (&spec, STP_DIVIDE_ANEW, 1, fleet.engines, fleet.count, wanted);
  for (uint32_t i = 0; i < fleet.count; i++)
    {
      assert_int_equal (wanted[i].end, 0);
    }
}

#define PATH_ENGINES_MAX 6

/* Engines with their layers, index of the data centre, usability and cost in
   ms per layer, and the expected path as a list of ENGINE=FIRST-END, or NULL
   for none. */
struct path_row
{
  const char *name;
  struct pth_engine engines[PATH_ENGINES_MAX];
  uint32_t count;
  const char *expected;
};

static const struct path_row path_rows[] = {
  { "engines in sequence",
    { { { 0, 4 }, 0, true, 1 }, { { 4, 10 }, 0, true, 1 } },
    2,
    "0=0-4,1=4-10" },
  { "a layer without a holder",
    { { { 0, 4 }, 0, true, 1 }, { { 5, 10 }, 0, true, 1 } },
    2,
    NULL },
  { "an engine that is not usable",
    { { { 0, 4 }, 0, true, 1 }, { { 4, 10 }, 0, false, 1 } },
    2,
    NULL },
  { "a holder in another data centre replaces a lost one",
    { { { 0, 4 }, 0, true, 1 },
      { { 4, 10 }, 0, false, 1 },
      { { 0, 10 }, 1, true, 9 } },
    3,
    "0=0-4,2=4-10" },
  { "a path stays in one data centre",
    { { { 0, 5 }, 0, true, 3 },
      { { 5, 10 }, 0, true, 3 },
      { { 0, 5 }, 1, true, 4 },
      { { 5, 10 }, 1, true, 1 } },
    4,
    "2=0-5,3=5-10" },
  { "the faster of two holders",
    { { { 0, 10 }, 0, true, 3 }, { { 0, 10 }, 0, true, 1 } },
    2,
    "1=0-10" },
  { "no engine occurs twice",
    { { { 0, 10 }, 0, true, 3 }, { { 3, 6 }, 0, true, 1 } },
    2,
    "0=0-10" },
};

/* The cheapest path is found.  */
static void
test_paths (void **state)
{
  (void)state;
  const struct pth_costs costs = {
    .layers = 10,
    .hop_ms = 0.3,
    .data_centre_hop_ms = 20,
  };
  for (size_t i = 0; i < sizeof path_rows / sizeof path_rows[0]; i++)
    {
      const struct path_row *row = &path_rows[i];
      struct pth_path path;
      GString *text = g_string_new (NULL);
      bool found = pth_find (&costs, row->engines, row->count, &path);
      for (uint32_t part = 0; found && part < path.count; part++)
        {
          g_string_append_printf (text, "%s%u=%u-%u", part == 0 ? "" : ",",
                                  path.parts[part].engine,
                                  path.parts[part].layers.first,
                                  path.parts[part].layers.end);
        }
      if (found != (row->expected != NULL)
          || (found && strcmp (text->str, row->expected) != 0))
        {
          fail_msg ("%s: found %d, %s", row->name, found, text->str);
        }
      g_string_free (text, TRUE);
    }
}

/* Each path over random engines runs every layer once, in order, on usable
   engines that hold it, and uses no engine twice.  */
static void
test_paths_random (void **state)
{
  (void)state;
  GRand *random = g_rand_new_with_seed (20261203);
  const struct pth_costs costs
      = { .layers = LAYERS, .hop_ms = 0.3, .data_centre_hop_ms = 12 };
  uint32_t found = 0;
  for (uint32_t trial = 0; trial < 400; trial++)
    {
      struct pth_engine engines[40];
      for (uint32_t i = 0; i < 40; i++)
        {
          uint32_t first = (uint32_t)g_rand_int_range (random, 0, LAYERS);
          uint32_t span = (uint32_t)g_rand_int_range (random, 1, 21);
          engines[i] = (struct pth_engine){
            .held = { first, MIN (first + span, LAYERS) },
            .data_centre = (uint32_t)g_rand_int_range (random, 0, 3),
            .usable = g_rand_int_range (random, 0, 10) > 0,
            .layer_ms = g_rand_double_range (random, 0.02, 0.2),
          };
        }
      struct pth_path path;
      if (!pth_find (&costs, engines, 40, &path))
        {
          continue;
        }
      found++;
      uint32_t next = 0;
      bool used[40] = { false };
      for (uint32_t part = 0; part < path.count; part++)
        {
          const struct pth_part *at = &path.parts[part];
          assert_false (used[at->engine]);
          used[at->engine] = true;
          assert_true (engines[at->engine].usable);
          assert_int_equal (at->layers.first, next);
          assert_true (at->layers.first >= engines[at->engine].held.first);
          assert_true (at->layers.end <= engines[at->engine].held.end);
          assert_true (at->layers.end > at->layers.first);
          next = at->layers.end;
        }
      assert_int_equal (next, LAYERS);
      assert_true (isfinite (path.token_ms));
    }
  assert_true (found > 100);
  g_rand_free (random);
}

/* What crossing links costs in the fleets below. */
static struct flt_engine_spec
spec_with_pipe (double pipe_mbps)
{
  struct flt_engine_spec with_pipe = spec;
  with_pipe.step_per_stream_ms = 0.00276;
  with_pipe.step_per_context_ms = 0.0037;
  with_pipe.prefill_tokens_per_s = 272000;
  with_pipe.activation_bytes = 21300;
  with_pipe.engine_link_mbps = 100 * pipe_mbps;
  with_pipe.data_centre_link_mbps = pipe_mbps;
  return with_pipe;
}

/* Finds the cheapest path over the engines of FLEET that aren't USED, given
   the layers WANTED, marks its engines as used, and sets CROSSINGS to its hops
   between data centres.  Returns false when there is none.  */
static bool
take_path (const struct fleet *fleet, const struct rst_layers *wanted,
           bool *used, uint32_t *crossings)
{
  const struct pth_costs costs
      = { .layers = LAYERS, .hop_ms = 0.3, .data_centre_hop_ms = 12 };
  struct pth_engine engines[ENGINES_MAX];
  struct pth_path path;
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      engines[i] = (struct pth_engine){
        .held = wanted[i],
        .data_centre = fleet->engines[i].data_centre,
        .usable = !used[i],
        .layer_ms = spec.step_ms * fleet->engines[i].step_factor / LAYERS,
      };
    }
  if (!pth_find (&costs, engines, fleet->count, &path))
    {
      return false;
    }
  *crossings = 0;
  for (uint32_t part = 0; part < path.count; part++)
    {
      uint32_t engine = path.parts[part].engine;
      used[engine] = true;
      *crossings += part > 0
                    && engines[engine].data_centre
                           != engines[path.parts[part - 1].engine].data_centre;
    }
  return true;
}

/* A cold start of a fleet whose data centres have little memory for the
   model.  The paths are as many as the memory allows, share no engine and
   cross as few links between data centres as they can; every engine holds
   layers.  With a slow pipe, data centres that can just hold the model do so
   alone; with a fast one, they hold it together and have more memory for
   requests.  */
static void
test_plan_little_memory (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    double pipe_mbps;
    struct data_centre_counts data_centres[8];
    uint32_t data_centre_count;
    uint32_t paths;     /* without common engines */
    uint32_t crossings; /* of each, at most */
  } rows[] = {
    { "each data centre just holds the model, slow pipe",
      250,
      { { 2, 2, 2 }, { 2, 2, 2 }, { 2, 2, 2 }, { 2, 2, 2 }, { 2, 2, 2 } },
      5,
      5,
      0 },
    { "the same with a pipe of 10 Gbit/s",
      10000,
      { { 2, 2, 2 }, { 2, 2, 2 }, { 2, 2, 2 }, { 2, 2, 2 } },
      4,
      2,
      1 },
    { "two data centres hold the model together",
      250,
      { { 1, 1, 1 }, { 1, 1, 1 }, { 1, 1, 1 }, { 1, 1, 1 } },
      4,
      2,
      1 },
    { "the same, with engines of one kind in each",
      250,
      { { 2, 0, 0 }, { 0, 4, 0 }, { 2, 0, 0 }, { 0, 4, 0 } },
      4,
      2,
      1 },
    { "one engine in each data centre",
      1000,
      { { 1, 0, 0 },
        { 1, 0, 0 },
        { 1, 0, 0 },
        { 1, 0, 0 },
        { 1, 0, 0 },
        { 0, 1, 0 },
        { 0, 1, 0 },
        { 0, 1, 0 } },
      8,
      1,
      4 },
    { "one data centre has room, the others don't",
      250,
      { { 3, 3, 5 }, { 1, 1, 1 }, { 1, 1, 1 } },
      3,
      2,
      1 },
    { "one just holds the model, two others together",
      500,
      { { 4, 0, 0 }, { 4, 0, 0 }, { 2, 0, 0 }, { 2, 0, 0 } },
      4,
      3,
      1 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct fleet fleet;
      struct rst_layers wanted[ENGINES_MAX];
      bool used[ENGINES_MAX] = { false };
      struct flt_engine_spec with_pipe = spec_with_pipe (rows[i].pipe_mbps);
      build_fleet (&fleet, rows[i].data_centres, rows[i].data_centre_count);
      stp_plan (&with_pipe, STP_DIVIDE_ANEW, fleet.data_centre_count,
                fleet.engines, fleet.count, wanted);
      assert_fits (&fleet, wanted);
      for (uint32_t path = 0; path < rows[i].paths; path++)
        {
          uint32_t crossings = 0;
          if (!take_path (&fleet, wanted, used, &crossings)
              || crossings > rows[i].crossings)
            {
              fail_msg ("%s: path %u of %u, %u crossings", rows[i].name,
                        path + 1, rows[i].paths, crossings);
            }
        }
      for (uint32_t engine = 0; engine < fleet.count; engine++)
        {
          assert_true (wanted[engine].end > wanted[engine].first);
        }
    }
}

/* Engines crash in data centres that can just hold the model.  While these may
   come back, no other engine moves; those that come back get the layers of
   the lost ones.  When they stay away, the data centres that lost engines hold
   the model together.  When a layer has no holder left anywhere, engines move
   at once.  */
static void
test_plan_waits_for_lost (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    uint32_t lost[4]; /* indexes of engines; six in each data centre */
    uint32_t count;
    uint32_t back; /* of these, the last ones that are back */
    bool covered;  /* every layer has a holder left */
  } rows[] = {
    { "one in each of two data centres", { 0, 8 }, 2, 0, true },
    { "two in one data centre", { 0, 3 }, 2, 0, true },
    { "the same part in two data centres", { 0, 6 }, 2, 0, true },
    { "two parts in two data centres", { 0, 3, 6, 9 }, 4, 0, true },
    { "different ones in each data centre", { 0, 8, 13 }, 3, 0, true },
    { "the holders of the same layers everywhere", { 0, 6, 12 }, 3, 0, false },
    { "one of these is back", { 0, 6, 12 }, 3, 1, true },
  };
  static const struct data_centre_counts data_centres[]
      = { { 2, 2, 2 }, { 2, 2, 2 }, { 2, 2, 2 } };
  struct flt_engine_spec with_pipe = spec_with_pipe (250);
  struct fleet fleet;
  struct rst_layers wanted[ENGINES_MAX];
  build_fleet (&fleet, data_centres, 3);
  stp_plan (&with_pipe, STP_DIVIDE_ANEW, 3, fleet.engines, fleet.count,
            wanted);
  apply_plan (&fleet, wanted);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct fleet after = fleet;
      struct rst_layers next[ENGINES_MAX];
      uint32_t moved = 0;
      for (uint32_t n = 0; n < rows[i].count; n++)
        {
          after.engines[rows[i].lost[n]].held = (struct rst_layers){ 0, 0 };
          after.engines[rows[i].lost[n]].lost
              = n < rows[i].count - rows[i].back;
        }
      stp_plan (&with_pipe, STP_DIVIDE_ANEW, 3, after.engines, after.count,
                next);
      for (uint32_t engine = 0; engine < after.count; engine++)
        {
          moved += memcmp (&next[engine], &after.engines[engine].held,
                           sizeof next[engine])
                   != 0;
        }
      if ((moved == rows[i].back) != rows[i].covered)
        {
          fail_msg ("%s: %u engines moved", rows[i].name, moved);
        }
      assert_true (fewest_holders (&after, next, UINT32_MAX) >= 1);
      if (!rows[i].covered)
        {
          continue;
        }
      struct fleet returned = after;
      for (uint32_t n = 0; n < rows[i].count; n++)
        {
          returned.engines[rows[i].lost[n]].lost = false;
        }
      stp_plan (&with_pipe, STP_SPARES, 3, returned.engines, returned.count,
                next);
      for (uint32_t data_centre = 0; data_centre < 3; data_centre++)
        {
          assert_true (fewest_holders (&returned, next, data_centre) >= 1);
        }
      for (uint32_t n = 0; n < rows[i].count; n++)
        {
          bool stays_away = after.engines[rows[i].lost[n]].lost;
          after.engines[rows[i].lost[n]].memory_mb
              = stays_away ? 1 : after.engines[rows[i].lost[n]].memory_mb;
        }
      stp_plan (&with_pipe, STP_DIVIDE_ANEW, 3, after.engines, after.count,
                next);
      assert_fits (&after, next);
      assert_true (fewest_holders (&after, next, UINT32_MAX) >= 1);
    }
}

/* Returns the layers that the engines of FLEET in DATA_CENTRE can hold beside
   the KV cache of a request of usual size; in all data centres if DATA_CENTRE
   is UINT32_MAX.  */
static uint32_t
layers_max (const struct fleet *fleet, uint32_t data_centre)
{
  uint32_t sum = 0;
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      const struct stp_engine *engine = &fleet->engines[i];
      sum += data_centre == UINT32_MAX || engine->data_centre == data_centre
                 ? stp_layers_max (&spec, engine->memory_mb,
                                   spec.usual_prompt_tokens
                                       + spec.usual_answer_tokens)
                 : 0;
    }
  return sum;
}

/* Returns the fewest data centres of FLEET that can hold the model.  */
static uint32_t
fewest_data_centres (const struct fleet *fleet)
{
  uint32_t fewest = fleet->data_centre_count;
  for (uint32_t set = 1; set < 1u << fleet->data_centre_count; set++)
    {
      uint32_t sum = 0;
      uint32_t count = 0;
      for (uint32_t i = 0; i < fleet->data_centre_count; i++)
        {
          bool in_set = (set >> i & 1) > 0;
          sum += in_set ? layers_max (fleet, i) : 0;
          count += in_set;
        }
      fewest = sum >= LAYERS ? MIN (fewest, count) : fewest;
    }
  return fewest;
}

/* Builds FLEET at random: up to eight data centres with a few engines each,
   of any memory.  */
static void
draw_fleet (struct fleet *fleet, GRand *random)
{
  *fleet = (struct fleet){
    .data_centre_count = (uint32_t)g_rand_int_range (random, 2, 9),
  };
  uint32_t per_data_centre = ENGINES_MAX / fleet->data_centre_count;
  for (uint32_t i = 0; i < fleet->data_centre_count; i++)
    {
      uint32_t count = (uint32_t)g_rand_int_range (
          random, 1, (int32_t)MIN (per_data_centre, 10));
      for (uint32_t engine = 0; engine < count; engine++)
        {
          const struct kind kind = {
            .memory_mb = g_rand_double_range (random, 8000, 48000),
            .step_factor = g_rand_double_range (random, 1, 16),
            .prefill_factor = g_rand_double_range (random, 1, 16),
          };
          add_engines (fleet, i, &kind, 1);
        }
    }
}

/* Cold starts of random fleets.  Whenever the memory of all data centres
   together can hold the model, every layer has a holder, no engine with memory
   is left without layers, and planning again changes nothing.  Over slow
   pipes, each data centre that can hold the model does, and where none can, a
   path runs through the fewest data centres that can.  */
static void
test_plan_random_fleets (void **state)
{
  (void)state;
  GRand *random = g_rand_new_with_seed (20261204);
  uint32_t placed = 0;
  uint32_t crossing = 0;
  for (uint32_t trial = 0; trial < 600; trial++)
    {
      struct fleet fleet;
      struct rst_layers wanted[ENGINES_MAX];
      struct rst_layers again[ENGINES_MAX];
      static const double pipes_mbps[] = { 20, 300, 5000, 100000 };
      double pipe_mbps = pipes_mbps[trial % 4];
      struct flt_engine_spec with_pipe = spec_with_pipe (pipe_mbps);
      draw_fleet (&fleet, random);
      stp_plan (&with_pipe, STP_DIVIDE_ANEW, fleet.data_centre_count,
                fleet.engines, fleet.count, wanted);
      assert_fits (&fleet, wanted);
      if (layers_max (&fleet, UINT32_MAX) < LAYERS)
        {
          continue;
        }
      placed++;
      if (fewest_holders (&fleet, wanted, UINT32_MAX) == 0)
        {
          fail_msg ("trial %u: a layer without a holder", trial);
        }
      for (uint32_t i = 0; i < fleet.count; i++)
        {
          if (wanted[i].end == wanted[i].first)
            {
              fail_msg ("trial %u: engine %u without layers", trial, i);
            }
        }
      apply_plan (&fleet, wanted);
      stp_plan (&with_pipe, STP_DIVIDE_ANEW, fleet.data_centre_count,
                fleet.engines, fleet.count, again);
      assert_memory_equal (wanted, again, fleet.count * sizeof wanted[0]);
      bool used[ENGINES_MAX] = { false };
      uint32_t crossings = UINT32_MAX;
      assert_true (take_path (&fleet, wanted, used, &crossings));
      if (pipe_mbps > 20)
        {
          continue;
        }
      for (uint32_t i = 0; i < fleet.data_centre_count; i++)
        {
          if (layers_max (&fleet, i) >= LAYERS
              && fewest_holders (&fleet, wanted, i) == 0)
            {
              fail_msg ("trial %u: data centre %u lacks layers", trial, i);
            }
        }
      uint32_t fewest = fewest_data_centres (&fleet);
      crossing += fewest > 1;
      if (crossings != fewest - 1)
        {
          fail_msg ("trial %u: %u crossings, %u data centres", trial,
                    crossings, fewest);
        }
    }
  assert_true (placed > 300);
  assert_true (crossing > 10);
  g_rand_free (random);
}

#define LISTED_MAX 4

/* One observation of the list of engines, and the number of lost engines that
   may come back afterwards. */
struct observation
{
  int64_t at_ms;
  /* Each is an id, a data centre and a kind, one letter each, and "-" if the
     engine is leaving. */
  const char *listed[LISTED_MAX];
  uint32_t lost;
};

/* An engine that disappears without having announced it counts as lost until
   one of its kind comes to its data centre, before or after it is missed, and
   for ten seconds at most.  */
static void
test_losses (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    struct observation observations[5];
    uint32_t count;
  } rows[] = {
    { "lost and expired",
      { { 0, { "aXt", "bXt" }, 0 },
        { 1000, { "aXt" }, 1 },
        { 10900, { "aXt" }, 1 },
        { 11000, { "aXt" }, 0 } },
      4 },
    { "announced",
      { { 0, { "aXt", "bXt" }, 0 },
        { 1000, { "aXt", "bXt-" }, 0 },
        { 2000, { "aXt" }, 0 } },
      3 },
    { "replaced afterwards",
      { { 0, { "aXt", "bXt" }, 0 },
        { 1000, { "aXt" }, 1 },
        { 2000, { "aXt", "cXt" }, 0 } },
      3 },
    { "replaced before it was missed",
      { { 0, { "aXt", "bXt" }, 0 },
        { 1000, { "aXt", "bXt", "cXt" }, 0 },
        { 2000, { "aXt", "cXt" }, 0 },
        { 3000, { "cXt" }, 1 } },
      4 },
    { "replaced at the same time",
      { { 0, { "aXt", "bXt" }, 0 }, { 1000, { "aXt", "cXt" }, 0 } },
      2 },
    { "another kind or data centre doesn't replace it",
      { { 0, { "aXt", "bXt" }, 0 },
        { 1000, { "aXt" }, 1 },
        { 2000, { "aXt", "cXl" }, 1 },
        { 3000, { "aXt", "cXl", "dYt" }, 1 },
        { 4000, { "aXt", "bXt", "cXl", "dYt" }, 0 } },
      5 },
    { "a new engine long before replaces nothing",
      { { 0, { "aXt" }, 0 },
        { 1000, { "aXt", "bXt" }, 0 },
        { 12000, { "aXt", "bXt" }, 0 },
        { 13000, { "bXt" }, 1 } },
      4 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct lss_losses *losses = lss_create ();
      assert_false (lss_is_recent (losses, 0));
      for (uint32_t n = 0; n < rows[i].count; n++)
        {
          const struct observation *now = &rows[i].observations[n];
          GPtrArray *endpoints = g_ptr_array_new_with_free_func (
              (GDestroyNotify)rst_endpoint_destroy);
          for (uint32_t k = 0; k < LISTED_MAX && now->listed[k] != NULL; k++)
            {
              const char *text = now->listed[k];
              struct rst_endpoint *endpoint = g_new0 (struct rst_endpoint, 1);
              endpoint->id = g_strndup (text, 1);
              endpoint->service = g_strdup ("draft");
              endpoint->address = g_strdup ("10.0.0.1:80");
              endpoint->data_centre = g_strndup (text + 1, 1);
              endpoint->kind = g_strndup (text + 2, 1);
              endpoint->leaving = text[3] == '-';
              g_ptr_array_add (endpoints, endpoint);
            }
          lss_observe (losses, endpoints, now->at_ms * 1000);
          if (lss_engines (losses)->len != now->lost)
            {
              fail_msg ("%s: %u lost at %ld ms", rows[i].name,
                        lss_engines (losses)->len, (long)now->at_ms);
            }
          assert_true (now->lost == 0
                       || lss_is_recent (losses, now->at_ms * 1000));
          g_ptr_array_free (endpoints, TRUE);
        }
      lss_destroy (losses);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_plan_cold_start),
    cmocka_unit_test (test_plan_absurd_layers),
    cmocka_unit_test (test_plan_is_stable),
    cmocka_unit_test (test_plan_engine_loss),
    cmocka_unit_test (test_plan_new_engine),
    cmocka_unit_test (test_plan_keeps_cache),
    cmocka_unit_test (test_plan_small_gap),
    cmocka_unit_test (test_plan_little_memory),
    cmocka_unit_test (test_plan_waits_for_lost),
    cmocka_unit_test (test_plan_random_fleets),
    cmocka_unit_test (test_tiling),
    cmocka_unit_test (test_plan_unmovable),
    cmocka_unit_test (test_paths),
    cmocka_unit_test (test_paths_random),
    cmocka_unit_test (test_losses),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
