/* Cheapest paths over engines that run every layer of a model once, in order.

   A path that avoids a failed or slow engine uses another holder of the same
   layers, in another data centre if necessary. */
#ifndef CORE_PATH_H
#define CORE_PATH_H

#include "core/roster.h"

#define PTH_PARTS_MAX 32 /* parts of a path that the platform accepts */

/* An engine as the search sees it. */
struct pth_engine
{
  struct rst_layers held;
  uint32_t data_centre; /* index of its data centre */
  bool usable;
  double layer_ms; /* cost of running one layer for one token */
};

/* The model, and what it costs to pass a token on. */
struct pth_costs
{
  uint32_t layers;           /* of the model */
  double hop_ms;             /* to another engine of the same data centre */
  double data_centre_hop_ms; /* to an engine of another data centre */
};

/* Consecutive layers that one engine of a path runs. */
struct pth_part
{
  uint32_t engine; /* index of the engine */
  struct rst_layers layers;
};

struct pth_path
{
  struct pth_part parts[PTH_PARTS_MAX];
  uint32_t count;
  double token_ms; /* cost of one token on the whole path */
};

bool pth_find (const struct pth_costs *costs, const struct pth_engine *engines,
               uint32_t engine_count, struct pth_path *path);

#endif
