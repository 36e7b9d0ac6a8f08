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
#define CARDS_MAX 64

/* An engine of 80 layers of 1,750 MB, as the users describe theirs. */
static const struct flt_engine engine = {
  .slots = 192,
  .cache_tokens_max = 100000,
  .cache_token_bytes = 426000,
  .step_ms = 0.85,
  .layers = LAYERS,
  .layer_mb = 1750,
  .usual_prompt_tokens = 772,
  .usual_answer_tokens = 150,
};

struct kind
{
  double memory_mb;
  double step_factor;
};

static const struct kind a100s = { 36000, 3.1 };
static const struct kind l4 = { 21600, 16 };
static const struct kind t4 = { 14400, 15 };

/* Engines of each kind in one data centre. */
struct zone_row
{
  uint32_t a100s;
  uint32_t l4;
  uint32_t t4;
};

struct fleet
{
  struct stp_card cards[CARDS_MAX];
  uint32_t count;
  uint32_t zones;
};

static void
add_cards (struct fleet *fleet, uint32_t zone, const struct kind *kind,
           uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      fleet->cards[fleet->count++] = (struct stp_card){
        .zone = zone,
        .memory_mb = kind->memory_mb,
        .step_factor = kind->step_factor,
        .movable = true,
      };
    }
}

static void
build (struct fleet *fleet, const struct zone_row *zones, uint32_t count)
{
  *fleet = (struct fleet){ .zones = count };
  for (uint32_t zone = 0; zone < count; zone++)
    {
      add_cards (fleet, zone, &a100s, zones[zone].a100s);
      add_cards (fleet, zone, &l4, zones[zone].l4);
      add_cards (fleet, zone, &t4, zones[zone].t4);
    }
}

/* Returns the least number of holders that a layer has in ZONE, or in all data
   centres for UINT32_MAX.  */
static uint32_t
least_holders (const struct fleet *fleet, const struct rst_layers *wanted,
               uint32_t zone)
{
  uint32_t holders[LAYERS] = { 0 };
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      for (uint32_t layer = wanted[i].first; layer < wanted[i].end; layer++)
        {
          holders[layer] += zone == UINT32_MAX || fleet->cards[i].zone == zone;
        }
    }
  uint32_t least = UINT32_MAX;
  for (uint32_t layer = 0; layer < LAYERS; layer++)
    {
      least = holders[layer] < least ? holders[layer] : least;
    }
  return least;
}

/* No engine holds more than its memory, with room for some requests.  */
static void
assert_fits (const struct fleet *fleet, const struct rst_layers *wanted)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      uint32_t held = wanted[i].end - wanted[i].first;
      assert_true (wanted[i].end <= LAYERS);
      assert_true (held * engine.layer_mb < fleet->cards[i].memory_mb);
    }
}

/* The two sites of the users, a data centre that can't hold the model alone,
   and a fleet that can't at all.  */
static void
test_plan_cold (void **state)
{
  (void)state;
  static const struct
  {
    struct zone_row zones[3];
    uint32_t least_in[3]; /* holders of each layer in each data centre */
    uint32_t least;       /* in all */
  } rows[] = {
    { { { 1, 8, 5 }, { 3, 3, 5 }, { 1, 4, 8 } }, { 1, 1, 1 }, 3 },
    { { { 5, 0, 0 }, { 0, 8, 0 }, { 0, 0, 12 } }, { 1, 1, 1 }, 3 },
    { { { 3, 3, 5 }, { 1, 1, 1 }, { 0, 5, 2 } }, { 1, 0, 0 }, 2 },
    { { { 1, 1, 1 }, { 0, 0, 0 }, { 0, 0, 0 } }, { 0, 0, 0 }, 0 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct fleet fleet;
      struct rst_layers wanted[CARDS_MAX];
      build (&fleet, rows[i].zones, 3);
      stp_plan (&engine, STP_DIVIDE_ANEW, fleet.zones, fleet.cards,
                fleet.count, wanted);
      assert_fits (&fleet, wanted);
      for (uint32_t zone = 0; zone < 3; zone++)
        {
          assert_true (least_holders (&fleet, wanted, zone)
                       >= rows[i].least_in[zone]);
        }
      assert_true (least_holders (&fleet, wanted, UINT32_MAX)
                   >= rows[i].least);
    }
}

/* Takes over what WANTED says, so that a next plan starts from there.  */
static void
carry_out (struct fleet *fleet, const struct rst_layers *wanted)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      fleet->cards[i].held = wanted[i];
    }
}

static void
test_plan_stands (void **state)
{
  (void)state;
  static const struct zone_row zones[] = { { 1, 8, 5 }, { 3, 3, 5 } };
  struct fleet fleet;
  struct rst_layers wanted[CARDS_MAX];
  struct rst_layers again[CARDS_MAX];
  build (&fleet, zones, 2);
  stp_plan (&engine, STP_DIVIDE_ANEW, 2, fleet.cards, fleet.count, wanted);
  carry_out (&fleet, wanted);
  stp_plan (&engine, STP_DIVIDE_ANEW, 2, fleet.cards, fleet.count, again);
  assert_memory_equal (wanted, again, fleet.count * sizeof wanted[0]);
}

/* Any one engine that is lost, or comes back empty, is made up for with orders
   to few others, and those that hold the only copy stay.  */
static void
test_plan_loss (void **state)
{
  (void)state;
  static const struct zone_row zones[] = { { 1, 8, 5 }, { 3, 3, 5 } };
  struct fleet fleet;
  struct rst_layers wanted[CARDS_MAX];
  build (&fleet, zones, 2);
  stp_plan (&engine, STP_DIVIDE_ANEW, 2, fleet.cards, fleet.count, wanted);
  carry_out (&fleet, wanted);
  for (uint32_t lost = 0; lost < fleet.count; lost++)
    {
      struct fleet after = fleet;
      struct rst_layers next[CARDS_MAX];
      after.count--;
      after.cards[lost] = fleet.cards[after.count];
      stp_plan (&engine, STP_DIVIDE_ANEW, 2, after.cards, after.count, next);
      assert_fits (&after, next);
      uint32_t moved = 0;
      for (uint32_t i = 0; i < after.count; i++)
        {
          moved
              += memcmp (&next[i], &after.cards[i].held, sizeof next[i]) != 0;
        }
      assert_true (moved <= 4);
      for (uint32_t zone = 0; zone < 2; zone++)
        {
          assert_true (least_holders (&after, next, zone) >= 1);
        }
      struct fleet empty = fleet;
      empty.cards[lost].held = (struct rst_layers){ 0, 0 };
      stp_plan (&engine, STP_DIVIDE_ANEW, 2, empty.cards, empty.count, next);
      assert_true (next[lost].end > next[lost].first);
      assert_true (least_holders (&empty, next, UINT32_MAX) >= 2);
    }
}

/* An engine that has just come may be the replacement of one that is about to
   leave: it waits for the gap, and repeats layers only later.  */
static void
test_plan_newcomer (void **state)
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
  static const struct zone_row zones[] = { { 1, 8, 5 }, { 3, 3, 5 } };
  struct fleet fleet;
  struct rst_layers wanted[CARDS_MAX];
  build (&fleet, zones, 2);
  stp_plan (&engine, STP_DIVIDE_ANEW, 2, fleet.cards, fleet.count, wanted);
  carry_out (&fleet, wanted);
  uint32_t leaving = 1; /* the first l4, which holds a part alone */
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct fleet after = fleet;
      struct rst_layers next[CARDS_MAX];
      if (rows[i].one_leaves)
        {
          after.count--;
          after.cards[leaving] = fleet.cards[after.count];
        }
      uint32_t newcomer = after.count++;
      after.cards[newcomer]
          = (struct stp_card){ .zone = 0,
                               .memory_mb = l4.memory_mb,
                               .step_factor = l4.step_factor,
                               .movable = true,
                               .in_reserve = rows[i].in_reserve };
      stp_plan (&engine, STP_DIVIDE_ANEW, 2, after.cards, after.count, next);
      assert_int_equal (next[newcomer].end > next[newcomer].first,
                        rows[i].gets_layers);
      assert_true (least_holders (&after, next, 0) >= 1);
      for (uint32_t card = 0; card < newcomer; card++)
        {
          assert_memory_equal (&next[card], &after.cards[card].held,
                               sizeof next[card]);
        }
    }
}

/* Found in a large fleet: a fast engine that filled a gap of one layer held
   nothing else from then on.  */
static void
test_plan_small_gap (void **state)
{
  (void)state;
  static const struct zone_row zones[] = { { 4, 0, 0 } };
  static const struct
  {
    uint32_t first;
    uint32_t end;
  } gaps[] = { { 0, 1 }, { 43, 44 }, { 79, 80 }, { 30, 36 } };
  for (size_t i = 0; i < sizeof gaps / sizeof gaps[0]; i++)
    {
      struct fleet fleet;
      struct rst_layers wanted[CARDS_MAX];
      build (&fleet, zones, 1);
      fleet.cards[0].held = (struct rst_layers){ 0, gaps[i].first };
      fleet.cards[1].held = (struct rst_layers){ gaps[i].end, LAYERS };
      fleet.cards[2].held = (struct rst_layers){ 0, gaps[i].first };
      fleet.cards[0].memory_mb = 300000;
      fleet.cards[1].memory_mb = 300000;
      fleet.cards[2].memory_mb = 300000;
      stp_plan (&engine, STP_SPARES, 1, fleet.cards, fleet.count, wanted);
      assert_true (wanted[3].first <= gaps[i].first);
      assert_true (wanted[3].end >= gaps[i].end);
      assert_int_equal (wanted[3].end - wanted[3].first, 13);
    }
}

/* Returns the least memory of requests, in tokens, of an engine in ZONE that
   holds layers.  */
static double
least_cache (const struct fleet *fleet, uint32_t zone)
{
  double least = INFINITY;
  for (uint32_t i = 0; i < fleet->count; i++)
    {
      const struct stp_card *card = &fleet->cards[i];
      if (card->zone == zone && card->held.end > card->held.first)
        {
          least = fmin (least,
                        stp_cache_tokens (&engine, card->memory_mb,
                                          card->held.end - card->held.first));
        }
    }
  return least;
}

/* A data centre that loses engine after engine still has room for requests on
   each one that is left, rather than one that holds all that it can.  */
static void
test_plan_keeps_room (void **state)
{
  (void)state;
  static const struct
  {
    struct zone_row zone;
    uint32_t losses;
    double room_tokens;
  } rows[] = {
    { { 1, 8, 5 }, 1, 150000 }, { { 1, 8, 5 }, 2, 90000 },
    { { 1, 8, 5 }, 3, 60000 },  { { 3, 3, 5 }, 1, 60000 },
    { { 1, 4, 8 }, 1, 60000 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      /* Each time another engine is the first that is lost. */
      for (uint32_t start = 0; start < 10; start++)
        {
          struct fleet fleet;
          struct rst_layers wanted[CARDS_MAX];
          build (&fleet, &rows[i].zone, 1);
          stp_plan (&engine, STP_DIVIDE_ANEW, 1, fleet.cards, fleet.count,
                    wanted);
          carry_out (&fleet, wanted);
          for (uint32_t n = 0; n < rows[i].losses; n++)
            {
              uint32_t lost = (start + 3 * n) % fleet.count;
              fleet.cards[lost] = fleet.cards[--fleet.count];
              stp_plan (&engine, STP_DIVIDE_ANEW, 1, fleet.cards, fleet.count,
                        wanted);
              carry_out (&fleet, wanted);
            }
          assert_true (least_holders (&fleet, wanted, 0) >= 1);
          assert_true (least_cache (&fleet, 0) >= rows[i].room_tokens);
        }
    }
}

#define TILES_MAX 5

/* Ten layers among engines that hold some of them, and what each is to hold;
   an empty range of the first one stands for no division at all. */
static const struct
{
  const char *name;
  struct til_engine engines[TILES_MAX];
  uint32_t count;
  struct rst_layers want[TILES_MAX];
} tile_rows[] = {
  { "nothing is missing",
    { { { 0, 5 }, 6, true }, { { 5, 10 }, 6, true } },
    2,
    { { 0, 5 }, { 5, 10 } } },
  { "a neighbour grows",
    { { { 0, 4 }, 6, true }, { { 5, 10 }, 5, true } },
    2,
    { { 0, 5 }, { 5, 10 } } },
  { "the one between passes layers on",
    { { { 0, 4 }, 5, true }, { { 4, 8 }, 5, false }, { { 9, 10 }, 2, true } },
    3,
    { { 0, 4 }, { 4, 8 }, { 8, 10 } } },
  { "a chain slides towards the one with room",
    { { { 0, 4 }, 4, true }, { { 5, 8 }, 3, true }, { { 8, 10 }, 3, true } },
    3,
    { { 0, 4 }, { 4, 7 }, { 7, 10 } } },
  { "an engine that overlaps others stays",
    { { { 0, 5 }, 6, true }, { { 3, 8 }, 6, true }, { { 7, 10 }, 6, true } },
    3,
    { { 0, 5 }, { 3, 8 }, { 7, 10 } } },
  { "too little memory",
    { { { 0, 4 }, 4, true }, { { 5, 9 }, 5, true } },
    2,
    { { 0, 0 } } },
};

static void
test_divide (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof tile_rows / sizeof tile_rows[0]; i++)
    {
      struct rst_layers wanted[TILES_MAX] = { { 0, 0 } };
      bool found
          = til_divide (tile_rows[i].engines, tile_rows[i].count, 10, wanted);
      assert_int_equal (found, tile_rows[i].want[0].end > 0);
      for (uint32_t tile = 0; found && tile < tile_rows[i].count; tile++)
        {
          assert_int_equal (wanted[tile].first, tile_rows[i].want[tile].first);
          assert_int_equal (wanted[tile].end, tile_rows[i].want[tile].end);
        }
    }
}

/* Engines with an order under way get no other.  */
static void
test_plan_unmovable (void **state)
{
  (void)state;
  static const struct zone_row zones[] = { { 5, 0, 0 } };
  struct fleet fleet;
  struct rst_layers wanted[CARDS_MAX];
  build (&fleet, zones, 1);
  for (uint32_t i = 0; i < fleet.count; i++)
    {
      fleet.cards[i].movable = false;
    }
  stp_plan (&engine, STP_DIVIDE_ANEW, 1, fleet.cards, fleet.count, wanted);
  for (uint32_t i = 0; i < fleet.count; i++)
    {
      assert_int_equal (wanted[i].end, 0);
    }
}

#define PATH_CARDS_MAX 6

/* Engines by range, data centre, use and cost; and the path that is wanted, as
   indexes of engines, or NULL for none. */
struct path_row
{
  const char *name;
  struct pth_card cards[PATH_CARDS_MAX];
  uint32_t count;
  const char *want;
};

static const struct path_row path_rows[] = {
  { "one chain",
    { { { 0, 4 }, 0, true, 1 }, { { 4, 10 }, 0, true, 1 } },
    2,
    "0=0-4,1=4-10" },
  { "a hole",
    { { { 0, 4 }, 0, true, 1 }, { { 5, 10 }, 0, true, 1 } },
    2,
    NULL },
  { "an engine that rests leaves a hole",
    { { { 0, 4 }, 0, true, 1 }, { { 4, 10 }, 0, false, 1 } },
    2,
    NULL },
  { "the lost part is taken from another data centre",
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
  { "no engine comes twice",
    { { { 0, 10 }, 0, true, 3 }, { { 3, 6 }, 0, true, 1 } },
    2,
    "0=0-10" },
};

static void
test_paths (void **state)
{
  (void)state;
  const struct pth_costs costs = {
    .layers = 10,
    .hop_ms = 0.3,
    .zone_hop_ms = 20,
  };
  for (size_t i = 0; i < sizeof path_rows / sizeof path_rows[0]; i++)
    {
      const struct path_row *row = &path_rows[i];
      struct pth_path path;
      GString *text = g_string_new (NULL);
      bool found = pth_find (&costs, row->cards, row->count, &path);
      for (uint32_t part = 0; found && part < path.count; part++)
        {
          g_string_append_printf (
              text, "%s%u=%u-%u", part == 0 ? "" : ",", path.parts[part].card,
              path.parts[part].layers.first, path.parts[part].layers.end);
        }
      if (found != (row->want != NULL)
          || (found && strcmp (text->str, row->want) != 0))
        {
          fail_msg ("%s: found %d, %s", row->name, found, text->str);
        }
      g_string_free (text, TRUE);
    }
}

/* Every path over random engines runs every layer once, in order, on engines
   that hold it, each engine once.  */
static void
test_paths_random (void **state)
{
  (void)state;
  GRand *random = g_rand_new_with_seed (20261203);
  const struct pth_costs costs
      = { .layers = LAYERS, .hop_ms = 0.3, .zone_hop_ms = 12 };
  uint32_t found = 0;
  for (uint32_t turn = 0; turn < 400; turn++)
    {
      struct pth_card cards[40];
      for (uint32_t i = 0; i < 40; i++)
        {
          uint32_t first = (uint32_t)g_rand_int_range (random, 0, LAYERS);
          uint32_t span = (uint32_t)g_rand_int_range (random, 1, 21);
          cards[i] = (struct pth_card){
            .held = { first, MIN (first + span, LAYERS) },
            .zone = (uint32_t)g_rand_int_range (random, 0, 3),
            .usable = g_rand_int_range (random, 0, 10) > 0,
            .layer_ms = g_rand_double_range (random, 0.02, 0.2),
          };
        }
      struct pth_path path;
      if (!pth_find (&costs, cards, 40, &path))
        {
          continue;
        }
      found++;
      uint32_t next = 0;
      bool used[40] = { false };
      for (uint32_t part = 0; part < path.count; part++)
        {
          const struct pth_part *at = &path.parts[part];
          assert_false (used[at->card]);
          used[at->card] = true;
          assert_true (cards[at->card].usable);
          assert_int_equal (at->layers.first, next);
          assert_true (at->layers.first >= cards[at->card].held.first);
          assert_true (at->layers.end <= cards[at->card].held.end);
          assert_true (at->layers.end > at->layers.first);
          next = at->layers.end;
        }
      assert_int_equal (next, LAYERS);
      assert_true (isfinite (path.token_ms));
    }
  assert_true (found > 100);
  g_rand_free (random);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_plan_cold),
    cmocka_unit_test (test_plan_stands),
    cmocka_unit_test (test_plan_loss),
    cmocka_unit_test (test_plan_newcomer),
    cmocka_unit_test (test_plan_keeps_room),
    cmocka_unit_test (test_plan_small_gap),
    cmocka_unit_test (test_divide),
    cmocka_unit_test (test_plan_unmovable),
    cmocka_unit_test (test_paths),
    cmocka_unit_test (test_paths_random),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
