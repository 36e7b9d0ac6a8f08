/* Paths of engines that run every layer of a model once, in order.  Answers
   the load of an engine that is lost or slow: paths go round it at once, over
   another holder of its layers, in another data centre if need be. */
#ifndef CORE_PATH_H
#define CORE_PATH_H

#include "core/roster.h"

#define PTH_PARTS_MAX 32 /* the platform accepts no longer paths */

struct pth_card
{
  struct rst_layers held;
  uint32_t zone;
  bool usable;
  double layer_ms; /* cost of one layer of one token */
};

struct pth_costs
{
  uint32_t layers;
  double hop_ms;      /* to another engine of the same data centre */
  double zone_hop_ms; /* to another data centre */
};

struct pth_part
{
  uint32_t card;
  struct rst_layers layers;
};

struct pth_path
{
  struct pth_part parts[PTH_PARTS_MAX];
  uint32_t count;
  double token_ms; /* cost of one token */
};

bool pth_find (const struct pth_costs *costs, const struct pth_card *cards,
               uint32_t card_count, struct pth_path *path);

#endif
