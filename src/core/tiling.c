#include "core/tiling.h"

#include <stdlib.h>

/* Cost of an order to an engine, in loaded layers; the layers that the engine
   loads are added. */
#define ORDER_COST 2

/* Cost of a cell that no choice of engines leads to. */
#define UNREACHABLE UINT32_MAX

/* Dynamic programming: the cell of N engines and L layers is the cheapest way
   in which the first N engines, by position, hold the layers below L. */
struct cell
{
  uint32_t cost; /* in loaded layers, orders included */
  uint32_t from; /* layers below this one are held without the last engine */
  bool used;     /* the last engine holds the layers from `from' up to L */
  bool keeps;    /* the last engine holds them already: no order */
};

struct tiling
{
  const struct til_engine *engines;
  uint32_t *order; /* indexes of engines, by position */
  uint32_t count;  /* engines */
  uint32_t layers;
  struct cell *cells; /* by number of engines, then number of layers */
};

static struct cell *
cell_at (const struct tiling *tiling, uint32_t engine_count, uint32_t layer)
{
  return &tiling->cells[(size_t)engine_count * (tiling->layers + 1) + layer];
}

static uint32_t
layer_count (const struct rst_layers *range)
{
  return range->end - range->first;
}

/* Returns the position by which ENGINE is sorted: twice the middle of the
   layers that it holds.  */
static uint32_t
position (const struct til_engine *engine)
{
  return engine->held.first + engine->held.end;
}

/* Sorts the indexes of engines by position, stably.  */
static void
sort_engines (struct tiling *tiling)
{
  for (uint32_t i = 0; i < tiling->count; i++)
    {
      uint32_t slot = i;
      while (slot > 0
             && position (&tiling->engines[tiling->order[slot - 1]])
                    > position (&tiling->engines[i]))
        {
          tiling->order[slot] = tiling->order[slot - 1];
          slot--;
        }
      tiling->order[slot] = i;
    }
}

/* Sets the cell of ENGINE_COUNT engines and LAYER layers to CANDIDATE if that
   is cheaper.  */
static void
relax (struct tiling *tiling, uint32_t engine_count, uint32_t layer,
       const struct cell *candidate)
{
  struct cell *cell = cell_at (tiling, engine_count, layer);
  if (candidate->cost < cell->cost)
    {
      *cell = *candidate;
    }
}

/* Returns the number of layers in RANGE that are not in HELD.  */
static uint32_t
count_new (const struct rst_layers *range, const struct rst_layers *held)
{
  uint32_t first = MAX (range->first, held->first);
  uint32_t end = MIN (range->end, held->end);
  return layer_count (range) - (end > first ? end - first : 0);
}

/* Extends the cell of ENGINE_COUNT engines and COVERED layers by the next
   engine: the engine is not used, keeps its layers, or gets an order to hold
   the layers that follow.  */
static void
extend (struct tiling *tiling, uint32_t engine_count, uint32_t covered)
{
  const struct til_engine *engine
      = &tiling->engines[tiling->order[engine_count]];
  uint32_t cost = cell_at (tiling, engine_count, covered)->cost;
  relax (tiling, engine_count + 1, covered,
         &(struct cell){ .cost = cost, .from = covered });
  bool fits
      = !engine->movable || layer_count (&engine->held) <= engine->layers_max;
  if (fits && engine->held.first <= covered && covered < engine->held.end)
    {
      relax (tiling, engine_count + 1, MIN (engine->held.end, tiling->layers),
             &(struct cell){
                 .cost = cost, .from = covered, .used = true, .keeps = true });
    }
  for (uint32_t length = 1; engine->movable && length <= engine->layers_max
                            && covered + length <= tiling->layers;
       length++)
    {
      struct rst_layers range = { covered, covered + length };
      uint32_t order_cost = ORDER_COST + count_new (&range, &engine->held);
      relax (tiling, engine_count + 1, range.end,
             &(struct cell){
                 .cost = cost + order_cost, .from = covered, .used = true });
    }
}

/* Writes the layers of each engine that gets an order into WANTED, following
   the cheapest way back from the last cell.  */
static void
trace_back (const struct tiling *tiling, struct rst_layers *wanted)
{
  uint32_t covered = tiling->layers;
  for (uint32_t engine_count = tiling->count; engine_count > 0; engine_count--)
    {
      const struct cell *cell = cell_at (tiling, engine_count, covered);
      uint32_t engine = tiling->order[engine_count - 1];
      if (cell->used && !cell->keeps)
        {
          wanted[engine] = (struct rst_layers){ cell->from, covered };
        }
      covered = cell->from;
    }
}

/* Divides LAYERS layers among the COUNT engines ENGINES at the lowest cost in
   loaded layers and orders.  Sets WANTED, by engine, to the layers that each
   is to hold; engines that need no order keep theirs.  Returns false, and
   leaves WANTED as is, when the engines can't hold all layers.  */
bool
til_divide (const struct til_engine *engines, uint32_t count, uint32_t layers,
            struct rst_layers *wanted)
{
  struct tiling tiling = {
    .engines = engines,
    .order = g_new0 (uint32_t, count + 1),
    .count = count,
    .layers = layers,
    .cells = g_new (struct cell, (size_t)(count + 1) * (layers + 1)),
  };
  for (size_t i = 0; i < (size_t)(count + 1) * (layers + 1); i++)
    {
      tiling.cells[i] = (struct cell){ .cost = UNREACHABLE };
    }
  sort_engines (&tiling);
  cell_at (&tiling, 0, 0)->cost = 0;
  for (uint32_t engine_count = 0; engine_count < count; engine_count++)
    {
      for (uint32_t covered = 0; covered <= layers; covered++)
        {
          if (cell_at (&tiling, engine_count, covered)->cost != UNREACHABLE)
            {
              extend (&tiling, engine_count, covered);
            }
        }
    }
  bool found = cell_at (&tiling, count, layers)->cost != UNREACHABLE;
  if (found)
    {
      for (uint32_t i = 0; i < count; i++)
        {
          wanted[i] = engines[i].held;
        }
      trace_back (&tiling, wanted);
    }
  g_free (tiling.order);
  g_free (tiling.cells);
  return found;
}
