/* Divides the layers of a model among engines that hold some of them already.

   When engines are lost whose layers no other engine holds, the remaining
   engines take over their layers.  The division that loads the fewest layers
   is chosen, within a limit on the layers of each engine, so that none runs
   out of memory while others have some left. */
#ifndef CORE_TILING_H
#define CORE_TILING_H

#include "core/roster.h"

struct til_engine
{
  struct rst_layers held; /* if empty, only its position is used */
  uint32_t layers_max;    /* layers that the engine may hold */
  bool movable;           /* may get an order to hold other layers */
};

bool til_divide (const struct til_engine *engines, uint32_t count,
                 uint32_t layers, struct rst_layers *wanted);

#endif
