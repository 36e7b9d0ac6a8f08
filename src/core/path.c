#include "core/path.h"

#include <math.h>
#include <string.h>

#define NO_STEP UINT32_MAX

/* One layer that runs on one engine that holds it, with the cheapest way to
   run the layers up to and including this one. */
struct step
{
  double cost_ms;
  uint32_t engine;
  uint32_t previous; /* step of the previous layer on that way */
};

/* Dynamic programming over the layers: the steps of a layer are computed from
   those of the previous layer.  Steps are given by their index. */
struct search
{
  const struct pth_costs *costs;
  const struct pth_engine *engines;
  uint32_t engine_count;
  struct step *steps;    /* sorted by layer */
  uint32_t *first_steps; /* by layer; the number of steps at the end */
  /* Step of each engine at the previous layer, or NO_STEP. */
  uint32_t *step_by_engine;
  uint32_t data_centre_count;
  /* Cheapest step of the previous layer, of all and by data centre, or
     NO_STEP. */
  uint32_t cheapest;
  uint32_t *cheapest_by_data_centre;
};

/* Returns the layers that ENGINE can run of a model with LAYERS layers; an
   empty range if the engine is not usable.  */
static struct rst_layers
usable_layers (const struct pth_engine *engine, uint32_t layers)
{
  struct rst_layers range
      = { engine->held.first, MIN (engine->held.end, layers) };
  return engine->usable && range.first < range.end
             ? range
             : (struct rst_layers){ 0, 0 };
}

/* Creates a step of infinite cost for each layer that a usable engine holds,
   sorted by layer.  */
static void
make_steps (struct search *search)
{
  uint32_t layers = search->costs->layers;
  search->first_steps = g_new0 (uint32_t, layers + 1);
  for (uint32_t i = 0; i < search->engine_count; i++)
    {
      struct rst_layers range = usable_layers (&search->engines[i], layers);
      for (uint32_t layer = range.first; layer < range.end; layer++)
        {
          search->first_steps[layer + 1]++;
        }
      search->data_centre_count = MAX (search->data_centre_count,
                                       search->engines[i].data_centre + 1);
    }
  for (uint32_t layer = 0; layer < layers; layer++)
    {
      search->first_steps[layer + 1] += search->first_steps[layer];
    }
  search->steps = g_new (struct step, search->first_steps[layers] + 1);
  uint32_t *next = g_memdup2 (search->first_steps, layers * sizeof *next);
  for (uint32_t i = 0; i < search->engine_count; i++)
    {
      struct rst_layers range = usable_layers (&search->engines[i], layers);
      for (uint32_t layer = range.first; layer < range.end; layer++)
        {
          search->steps[next[layer]++] = (struct step){ .cost_ms = INFINITY,
                                                        .engine = i,
                                                        .previous = NO_STEP };
        }
    }
  g_free (next);
}

/* Sets CHEAPEST to the step INDEX if that is cheaper or the first one.  */
static void
keep_cheaper (const struct search *search, uint32_t index, uint32_t *cheapest)
{
  if (*cheapest == NO_STEP
      || search->steps[index].cost_ms < search->steps[*cheapest].cost_ms)
    {
      *cheapest = index;
    }
}

/* Finds the steps of LAYER from which the next layer can continue: that of
   each engine, and the cheapest ones.  */
static void
index_layer (struct search *search, uint32_t layer)
{
  for (uint32_t i = search->first_steps[layer > 0 ? layer - 1 : 0];
       i < search->first_steps[layer]; i++)
    {
      search->step_by_engine[search->steps[i].engine] = NO_STEP;
    }
  search->cheapest = NO_STEP;
  for (uint32_t data_centre = 0; data_centre < search->data_centre_count;
       data_centre++)
    {
      search->cheapest_by_data_centre[data_centre] = NO_STEP;
    }
  for (uint32_t i = search->first_steps[layer];
       i < search->first_steps[layer + 1]; i++)
    {
      const struct step *step = &search->steps[i];
      if (isfinite (step->cost_ms))
        {
          search->step_by_engine[step->engine] = i;
          keep_cheaper (search, i, &search->cheapest);
          keep_cheaper (
              search, i,
              &search->cheapest_by_data_centre[search->engines[step->engine]
                                                   .data_centre]);
        }
    }
}

/* Makes STEP continue from the step FROM, at a cost of HOP_MS, if that is
   cheaper.  Does nothing if FROM is NO_STEP.  */
static void
relax (const struct search *search, uint32_t from, double hop_ms,
       struct step *step)
{
  if (from == NO_STEP)
    {
      return;
    }
  double cost = search->steps[from].cost_ms + hop_ms;
  if (cost < step->cost_ms)
    {
      step->cost_ms = cost;
      step->previous = from;
    }
}

/* Computes the costs of the steps of LAYER from those of the previous
   layer.  */
static void
compute_layer (struct search *search, uint32_t layer)
{
  for (uint32_t i = search->first_steps[layer];
       i < search->first_steps[layer + 1]; i++)
    {
      struct step *step = &search->steps[i];
      const struct pth_engine *engine = &search->engines[step->engine];
      if (layer == 0)
        {
          step->cost_ms = 0;
        }
      else
        {
          relax (search, search->step_by_engine[step->engine], 0, step);
          relax (search, search->cheapest_by_data_centre[engine->data_centre],
                 search->costs->hop_ms, step);
          relax (search, search->cheapest, search->costs->data_centre_hop_ms,
                 step);
        }
      step->cost_ms += engine->layer_ms;
    }
  index_layer (search, layer);
}

/* Adds LAYER on ENGINE to PATH, whose layers are added from the last to the
   first and whose parts are in reverse order.  Returns false when PATH would
   have more than PTH_PARTS_MAX parts.  */
static bool
prepend_layer (struct pth_path *path, uint32_t engine, uint32_t layer)
{
  struct pth_part *last = &path->parts[path->count > 0 ? path->count - 1 : 0];
  if (path->count > 0 && last->engine == engine)
    {
      last->layers.first = layer;
      return true;
    }
  /* An engine that occurs again also holds the layers in between: it runs them
     too, and the parts between are dropped. */
  for (uint32_t i = 0; i < path->count; i++)
    {
      if (path->parts[i].engine == engine)
        {
          path->parts[i].layers.first = layer;
          path->count = i + 1;
          return true;
        }
    }
  if (path->count == PTH_PARTS_MAX)
    {
      return false;
    }
  path->parts[path->count++] = (struct pth_part){
    .engine = engine,
    .layers = { .first = layer, .end = layer + 1 },
  };
  return true;
}

/* Reverses the parts of PATH.  */
static void
reverse_parts (struct pth_path *path)
{
  for (uint32_t i = 0; i < path->count / 2; i++)
    {
      struct pth_part part = path->parts[i];
      path->parts[i] = path->parts[path->count - 1 - i];
      path->parts[path->count - 1 - i] = part;
    }
}

/* Sets PATH to the cheapest path over the ENGINE_COUNT engines ENGINES for the
   model that COSTS describes.  Returns false, with an unusable PATH, when no
   path runs every layer or the cheapest has more than PTH_PARTS_MAX parts.  */
bool
pth_find (const struct pth_costs *costs, const struct pth_engine *engines,
          uint32_t engine_count, struct pth_path *path)
{
  memset (path, 0, sizeof *path);
  if (engine_count == 0 || costs->layers == 0)
    {
      return false;
    }
  struct search search = {
    .costs = costs,
    .engines = engines,
    .engine_count = engine_count,
    .step_by_engine = g_new (uint32_t, engine_count),
  };
  make_steps (&search);
  search.cheapest_by_data_centre = g_new (uint32_t, search.data_centre_count);
  for (uint32_t i = 0; i < engine_count; i++)
    {
      search.step_by_engine[i] = NO_STEP;
    }
  for (uint32_t layer = 0; layer < costs->layers; layer++)
    {
      compute_layer (&search, layer);
    }
  uint32_t step = search.cheapest;
  bool found = step != NO_STEP;
  if (found)
    {
      path->token_ms = search.steps[step].cost_ms;
    }
  for (uint32_t layer = costs->layers; found && layer > 0; layer--)
    {
      found = prepend_layer (path, search.steps[step].engine, layer - 1);
      step = search.steps[step].previous;
    }
  reverse_parts (path);
  g_free (search.steps);
  g_free (search.first_steps);
  g_free (search.step_by_engine);
  g_free (search.cheapest_by_data_centre);
  return found;
}
