/* Max-min fair division of the engines' capacity for requests among the paths
   that share the engines.  Paths that begin at the same engine, or meet at
   one, together get no more than the engine's capacity, and capacity that one
   path can't use goes to the others.  This matters when many daemons each send
   a few streams. */
#ifndef CORE_ROOM_H
#define CORE_ROOM_H

#include <stdbool.h>
#include <stdint.h>

/* A path over engines.  A resource is the index of a capacity. */
struct rom_path
{
  uint32_t *resources; /* that the path needs, each listed once */
  uint32_t resource_count;
  double capacity; /* result: the capacity that the path gets */
};

void rom_divide (const double *capacities, uint32_t capacity_count,
                 struct rom_path *paths, uint32_t path_count);

#endif
