/* Divides the layers of a model among engines that hold some of them already.
   Answers the load of losses that nobody repeats: the engines that are left
   move as little as possible, and none fills up while others have room. */
#ifndef CORE_TILING_H
#define CORE_TILING_H

#include "core/roster.h"

struct til_engine
{
  struct rst_layers held; /* an empty one tells where the engine may stand */
  uint32_t layers_max;    /* that it may hold */
  bool movable;
};

bool til_divide (const struct til_engine *engines, uint32_t count,
                 uint32_t layers, struct rst_layers *wanted);

#endif
