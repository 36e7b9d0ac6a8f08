#include "core/path.h"

#include <math.h>
#include <string.h>

#define NONE UINT32_MAX

/* The cheapest way to run the layers up to one, ending on one engine that
   holds it. */
struct step
{
  double cost_ms;
  uint32_t card;
  uint32_t from; /* step of the layer before */
};

struct search
{
  const struct pth_costs *costs;
  const struct pth_card *cards;
  uint32_t card_count;
  struct step *steps;  /* by layer */
  uint32_t *first;     /* step of each layer, and their number at the end */
  uint32_t *last_step; /* of each engine, of the layer before; NONE: none */
  uint32_t zone_count;
  uint32_t cheapest;     /* step of the layer before; NONE: none */
  uint32_t *cheapest_in; /* the same by data centre */
};

/* Returns the layers that CARD may run.  */
static struct rst_layers
usable_layers (const struct pth_card *card, uint32_t layers)
{
  struct rst_layers range = { card->held.first, MIN (card->held.end, layers) };
  return card->usable && range.first < range.end ? range
                                                 : (struct rst_layers){ 0, 0 };
}

/* Makes one step for each layer of each engine.  */
static void
make_steps (struct search *search)
{
  uint32_t layers = search->costs->layers;
  search->first = g_new0 (uint32_t, layers + 1);
  for (uint32_t i = 0; i < search->card_count; i++)
    {
      struct rst_layers range = usable_layers (&search->cards[i], layers);
      for (uint32_t layer = range.first; layer < range.end; layer++)
        {
          search->first[layer + 1]++;
        }
      search->zone_count = MAX (search->zone_count, search->cards[i].zone + 1);
    }
  for (uint32_t layer = 0; layer < layers; layer++)
    {
      search->first[layer + 1] += search->first[layer];
    }
  search->steps = g_new (struct step, search->first[layers] + 1);
  uint32_t *next = g_memdup2 (search->first, layers * sizeof *next);
  for (uint32_t i = 0; i < search->card_count; i++)
    {
      struct rst_layers range = usable_layers (&search->cards[i], layers);
      for (uint32_t layer = range.first; layer < range.end; layer++)
        {
          search->steps[next[layer]++]
              = (struct step){ .cost_ms = INFINITY, .card = i, .from = NONE };
        }
    }
  g_free (next);
}

/* Notes INDEX in CHEAPEST if its step is cheaper.  */
static void
note (const struct search *search, uint32_t index, uint32_t *cheapest)
{
  if (*cheapest == NONE
      || search->steps[index].cost_ms < search->steps[*cheapest].cost_ms)
    {
      *cheapest = index;
    }
}

/* Notes the steps of LAYER that the next layer may come from.  */
static void
note_layer (struct search *search, uint32_t layer)
{
  for (uint32_t i = search->first[layer > 0 ? layer - 1 : 0];
       i < search->first[layer]; i++)
    {
      search->last_step[search->steps[i].card] = NONE;
    }
  search->cheapest = NONE;
  for (uint32_t zone = 0; zone < search->zone_count; zone++)
    {
      search->cheapest_in[zone] = NONE;
    }
  for (uint32_t i = search->first[layer]; i < search->first[layer + 1]; i++)
    {
      const struct step *step = &search->steps[i];
      if (isfinite (step->cost_ms))
        {
          search->last_step[step->card] = i;
          note (search, i, &search->cheapest);
          note (search, i,
                &search->cheapest_in[search->cards[step->card].zone]);
        }
    }
}

/* Lowers the cost of STEP to that of coming from the step FROM.  */
static void
relax (const struct search *search, uint32_t from, double hop_ms,
       struct step *step)
{
  if (from == NONE)
    {
      return;
    }
  double cost = search->steps[from].cost_ms + hop_ms;
  if (cost < step->cost_ms)
    {
      step->cost_ms = cost;
      step->from = from;
    }
}

/* Fills the steps of LAYER from those of the layer before.  */
static void
advance (struct search *search, uint32_t layer)
{
  for (uint32_t i = search->first[layer]; i < search->first[layer + 1]; i++)
    {
      struct step *step = &search->steps[i];
      const struct pth_card *card = &search->cards[step->card];
      if (layer == 0)
        {
          step->cost_ms = 0;
        }
      else
        {
          relax (search, search->last_step[step->card], 0, step);
          relax (search, search->cheapest_in[card->zone],
                 search->costs->hop_ms, step);
          relax (search, search->cheapest, search->costs->zone_hop_ms, step);
        }
      step->cost_ms += card->layer_ms;
    }
  note_layer (search, layer);
}

/* Adds the run of LAYER on CARD to the front of PATH, which is built from its
   end.  Returns false when it gets too long.  */
static bool
prepend (struct pth_path *path, uint32_t card, uint32_t layer)
{
  struct pth_part *last = &path->parts[path->count > 0 ? path->count - 1 : 0];
  if (path->count > 0 && last->card == card)
    {
      last->layers.first = layer;
      return true;
    }
  /* An engine that comes twice runs everything between as well. */
  for (uint32_t i = 0; i < path->count; i++)
    {
      if (path->parts[i].card == card)
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
    .card = card,
    .layers = { .first = layer, .end = layer + 1 },
  };
  return true;
}

static void
reverse (struct pth_path *path)
{
  for (uint32_t i = 0; i < path->count / 2; i++)
    {
      struct pth_part part = path->parts[i];
      path->parts[i] = path->parts[path->count - 1 - i];
      path->parts[path->count - 1 - i] = part;
    }
}

/* Finds the cheapest path over the CARD_COUNT engines CARDS.  Returns false
   when no path runs every layer.  */
bool
pth_find (const struct pth_costs *costs, const struct pth_card *cards,
          uint32_t card_count, struct pth_path *path)
{
  memset (path, 0, sizeof *path);
  if (card_count == 0 || costs->layers == 0)
    {
      return false;
    }
  struct search search = {
    .costs = costs,
    .cards = cards,
    .card_count = card_count,
    .last_step = g_new (uint32_t, card_count),
  };
  make_steps (&search);
  search.cheapest_in = g_new (uint32_t, search.zone_count);
  for (uint32_t i = 0; i < card_count; i++)
    {
      search.last_step[i] = NONE;
    }
  for (uint32_t layer = 0; layer < costs->layers; layer++)
    {
      advance (&search, layer);
    }
  uint32_t at = search.cheapest;
  bool found = at != NONE;
  if (found)
    {
      path->token_ms = search.steps[at].cost_ms;
    }
  for (uint32_t layer = costs->layers; found && layer > 0; layer--)
    {
      found = prepend (path, search.steps[at].card, layer - 1);
      at = search.steps[at].from;
    }
  reverse (path);
  g_free (search.steps);
  g_free (search.first);
  g_free (search.last_step);
  g_free (search.cheapest_in);
  return found;
}
