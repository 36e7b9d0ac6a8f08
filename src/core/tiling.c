#include "core/tiling.h"

#include <stdlib.h>

/* What an order to an engine costs beside the layers that it loads, in
   layers. */
#define ORDER_COST 2

/* Marks the layers that can't be reached. */
#define NO_COST UINT32_MAX

/* How the cheapest way to hold all layers below one came about. */
struct cell
{
  uint32_t cost; /* layers loaded, and orders */
  uint32_t from; /* layers below this one were held before the engine */
  bool used;     /* the engine holds those from there on */
  bool keeps;    /* ... with what it holds already */
};

struct division
{
  const struct til_engine *engines;
  uint32_t *order; /* indexes of engines, by the layers that they hold */
  uint32_t count;
  uint32_t layers;
  struct cell *cells; /* by engines that were looked at, then layers held */
};

static struct cell *
cell_at (const struct division *division, uint32_t looked_at, uint32_t layer)
{
  return &division->cells[(size_t)looked_at * (division->layers + 1) + layer];
}

static uint32_t
length (const struct rst_layers *range)
{
  return range->end - range->first;
}

/* Returns where ENGINE stands among others.  */
static uint32_t
position (const struct til_engine *engine)
{
  return engine->held.first + engine->held.end;
}

/* Sorts the engines by position; those at one position keep their order.  */
static void
sort_engines (struct division *division)
{
  for (uint32_t i = 0; i < division->count; i++)
    {
      uint32_t place = i;
      while (place > 0
             && position (&division->engines[division->order[place - 1]])
                    > position (&division->engines[i]))
        {
          division->order[place] = division->order[place - 1];
          place--;
        }
      division->order[place] = i;
    }
}

/* Lowers the cost of holding the layers below TO after LOOKED_AT engines to
   that of STEP.  */
static void
relax (struct division *division, uint32_t looked_at, uint32_t to,
       const struct cell *step)
{
  struct cell *cell = cell_at (division, looked_at, to);
  if (step->cost < cell->cost)
    {
      *cell = *step;
    }
}

/* Returns the number of layers of RANGE that HELD lacks.  */
static uint32_t
count_new (const struct rst_layers *range, const struct rst_layers *held)
{
  uint32_t first = MAX (range->first, held->first);
  uint32_t end = MIN (range->end, held->end);
  return length (range) - (end > first ? end - first : 0);
}

/* Takes the engine after the first LOOKED_AT ones, the layers below HELD being
   held.  */
static void
extend (struct division *division, uint32_t looked_at, uint32_t held)
{
  const struct til_engine *engine
      = &division->engines[division->order[looked_at]];
  uint32_t cost = cell_at (division, looked_at, held)->cost;
  relax (division, looked_at + 1, held,
         &(struct cell){ .cost = cost, .from = held });
  bool fits = !engine->movable || length (&engine->held) <= engine->layers_max;
  if (fits && engine->held.first <= held && held < engine->held.end)
    {
      relax (division, looked_at + 1, MIN (engine->held.end, division->layers),
             &(struct cell){
                 .cost = cost, .from = held, .used = true, .keeps = true });
    }
  for (uint32_t more = 1; engine->movable && more <= engine->layers_max
                          && held + more <= division->layers;
       more++)
    {
      struct rst_layers range = { held, held + more };
      uint32_t price = ORDER_COST + count_new (&range, &engine->held);
      relax (
          division, looked_at + 1, range.end,
          &(struct cell){ .cost = cost + price, .from = held, .used = true });
    }
}

/* Follows the cheapest way back and writes it into WANTED.  */
static void
follow_back (const struct division *division, struct rst_layers *wanted)
{
  uint32_t held = division->layers;
  for (uint32_t looked_at = division->count; looked_at > 0; looked_at--)
    {
      const struct cell *cell = cell_at (division, looked_at, held);
      uint32_t engine = division->order[looked_at - 1];
      if (cell->used && !cell->keeps)
        {
          wanted[engine] = (struct rst_layers){ cell->from, held };
        }
      held = cell->from;
    }
}

/* Finds the division of LAYERS layers among the COUNT ENGINES that loads the
   fewest.  WANTED, one for each engine, is the result: engines that aren't
   needed, or not elsewhere, keep what they hold.  Returns false, and leaves
   WANTED alone, when there is none.  */
bool
til_divide (const struct til_engine *engines, uint32_t count, uint32_t layers,
            struct rst_layers *wanted)
{
  struct division division = {
    .engines = engines,
    .order = g_new0 (uint32_t, count + 1),
    .count = count,
    .layers = layers,
    .cells = g_new (struct cell, (size_t)(count + 1) * (layers + 1)),
  };
  for (size_t i = 0; i < (size_t)(count + 1) * (layers + 1); i++)
    {
      division.cells[i] = (struct cell){ .cost = NO_COST };
    }
  sort_engines (&division);
  cell_at (&division, 0, 0)->cost = 0;
  for (uint32_t looked_at = 0; looked_at < count; looked_at++)
    {
      for (uint32_t held = 0; held <= layers; held++)
        {
          if (cell_at (&division, looked_at, held)->cost != NO_COST)
            {
              extend (&division, looked_at, held);
            }
        }
    }
  bool found = cell_at (&division, count, layers)->cost != NO_COST;
  if (found)
    {
      for (uint32_t i = 0; i < count; i++)
        {
          wanted[i] = engines[i].held;
        }
      follow_back (&division, wanted);
    }
  g_free (division.order);
  g_free (division.cells);
  return found;
}
