/* Which data centres hold a model together, and how many layers each of them.

   A prompt crosses a link between data centres as one activation for each
   token and each crossing, over a pipe that all streams share.  A pipe that
   carries a prompt in half a second carries two a second, however many engines
   there are.  On the other hand, data centres that hold a model together keep
   more memory for requests.  This module weighs the two for fleets whose data
   centres have little memory for the model: many data centres of few engines
   each, mixed kinds of engines, or fleets after losses.  The layers of a group
   are divided so that each data centre runs consecutive layers: a stream
   crosses from one to the next only, and each can replicate its own part. */
#ifndef CORE_GROUPING_H
#define CORE_GROUPING_H

#include "core/fleet.h"

/* Sizes of the KV cache that are weighed, from the largest to the smallest. */
#define GPG_LEVELS 17

/* The engines of one data centre together. */
struct gpg_data_centre
{
  uint32_t engine_count; /* with memory for a layer */
  double memory_mb;
  double step_factor;    /* sum, by engine, of factor times memory */
  double prefill_factor; /* likewise */
  /* By size of the KV cache: layers that fit beside it. */
  uint32_t layers_max[GPG_LEVELS];
};

/* Data centres that hold a model together. */
struct gpg_group
{
  double streams_per_s; /* estimate; 0: they can't hold the model */
  double cache_tokens;  /* KV cache of each engine */
  uint32_t level;       /* of the KV cache */
};

double gpg_cache_tokens (const struct flt_engine_spec *spec, uint32_t level);
uint32_t gpg_divide (const struct flt_engine_spec *spec,
                     const struct gpg_data_centre *data_centres,
                     uint32_t count, uint32_t *group_indexes,
                     struct gpg_group *groups);

#endif
