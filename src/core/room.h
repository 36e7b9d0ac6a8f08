/* Divides the room for requests of engines among the paths that share them.
   Answers the load of many daemons that each send a few streams: paths that
   begin at one engine, or meet on one, get together no more than it holds,
   and what one can't use goes to others. */
#ifndef CORE_ROOM_H
#define CORE_ROOM_H

#include <stdbool.h>
#include <stdint.h>

struct rom_path
{
  uint32_t *resources; /* indexes of what it needs, each once */
  uint32_t resource_count;
  double room; /* the result */
};

void rom_divide (const double *capacities, uint32_t capacity_count,
                 struct rom_path *paths, uint32_t path_count);

#endif
