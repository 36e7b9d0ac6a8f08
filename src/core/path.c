#include "core/path.h"

#include <math.h>
#include <string.h>

/* How the cheapest way to run the layers before one, ending on one engine,
   came about. */
struct step
{
  double cost_ms;
  uint32_t from_card; /* that ran the layer before */
};

struct search
{
  const struct pth_costs *costs;
  const struct pth_card *cards;
  uint32_t card_count;
  struct step *steps; /* by layer that was run, then engine */
};

static struct step *
step_at (const struct search *search, uint32_t layer, uint32_t card)
{
  return &search->steps[(size_t)layer * search->card_count + card];
}

static bool
runs (const struct pth_card *card, uint32_t layer)
{
  return card->usable && layer >= card->held.first && layer < card->held.end;
}

/* Returns the cheapest engine that ran LAYER, of ZONE only unless ANY, or
   UINT32_MAX.  */
static uint32_t
cheapest (const struct search *search, uint32_t layer, uint32_t zone, bool any)
{
  uint32_t best = UINT32_MAX;
  for (uint32_t i = 0; i < search->card_count; i++)
    {
      double cost = step_at (search, layer, i)->cost_ms;
      if (isfinite (cost) && (any || search->cards[i].zone == zone)
          && (best == UINT32_MAX
              || cost < step_at (search, layer, best)->cost_ms))
        {
          best = i;
        }
    }
  return best;
}

/* Lowers the cost of STEP to that of coming from the engine FROM.  */
static void
relax (const struct search *search, uint32_t layer, uint32_t from,
       double hop_ms, struct step *step)
{
  if (from == UINT32_MAX)
    {
      return;
    }
  double cost = step_at (search, layer, from)->cost_ms + hop_ms;
  if (cost < step->cost_ms)
    {
      *step = (struct step){ .cost_ms = cost, .from_card = from };
    }
}

/* Fills the steps of LAYER from those of the layer before.  */
static void
advance (const struct search *search, uint32_t layer)
{
  uint32_t any
      = layer == 0 ? UINT32_MAX : cheapest (search, layer - 1, 0, true);
  for (uint32_t i = 0; i < search->card_count; i++)
    {
      struct step *step = step_at (search, layer, i);
      *step = (struct step){ .cost_ms = INFINITY, .from_card = UINT32_MAX };
      if (!runs (&search->cards[i], layer))
        {
          continue;
        }
      if (layer == 0)
        {
          step->cost_ms = 0;
        }
      else
        {
          uint32_t near
              = cheapest (search, layer - 1, search->cards[i].zone, false);
          if (isfinite (step_at (search, layer - 1, i)->cost_ms))
            {
              relax (search, layer - 1, i, 0, step);
            }
          relax (search, layer - 1, near, search->costs->hop_ms, step);
          relax (search, layer - 1, any, search->costs->zone_hop_ms, step);
        }
      step->cost_ms += search->cards[i].layer_ms;
    }
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
    .steps = g_new0 (struct step, (size_t)costs->layers * card_count),
  };
  for (uint32_t layer = 0; layer < costs->layers; layer++)
    {
      advance (&search, layer);
    }
  uint32_t card = cheapest (&search, costs->layers - 1, 0, true);
  bool found = card != UINT32_MAX;
  if (found)
    {
      path->token_ms = step_at (&search, costs->layers - 1, card)->cost_ms;
    }
  for (uint32_t layer = costs->layers; found && layer > 0; layer--)
    {
      found = prepend (path, card, layer - 1);
      card = step_at (&search, layer - 1, card)->from_card;
    }
  reverse (path);
  g_free (search.steps);
  return found;
}
