/* Translates between placements and the assignment problem.

   A configuration and a division of its models into segments make up an
   assignment problem (pb_create).  The module converts a placement into an
   assignment for that problem, and an assignment back into a placement. */
#ifndef CORE_PROBLEM_H
#define CORE_PROBLEM_H

#include "core/assign.h"
#include "core/placement.h"

#include <glib.h>

/* A range of consecutive layers of one model. */
struct pb_segment
{
  uint32_t model; /* index in the configuration */
  uint32_t first;
  uint32_t end; /* one past the last layer */
};

/* An assignment problem with the arrays that it refers to. */
struct pb_problem
{
  struct as_problem as_problem;
  struct as_engine *engines;      /* the usable hosts, and room for one more */
  uint32_t *hosts;                /* by engine: index in the configuration */
  struct as_segment *as_segments; /* by segment */
  GArray *segments;               /* of struct pb_segment */
};

bool pb_is_usable (const struct cfg_config *config, const bool *usable,
                   uint32_t host);
uint32_t pb_demand_weight (const struct cfg_model *model);
const struct pb_segment *pb_segment_at (const GArray *segments,
                                        uint32_t index);
double pb_compute_only_bound (const struct cfg_config *config,
                              const bool *usable);
GArray *pb_segments_of (const struct cfg_config *config,
                        const struct pl_placement *placement);
bool pb_is_aligned (const struct pl_placement *placement,
                    const GArray *segments);
struct pb_problem *pb_create (const struct cfg_config *config,
                              const bool *usable, GArray *segments);
void pb_destroy (struct pb_problem *problem);
struct as_assignment *pb_to_assignment (const struct pb_problem *problem,
                                        const struct pl_placement *placement);
struct pl_placement *pb_to_placement (const struct cfg_config *config,
                                      const struct pb_problem *problem,
                                      const struct as_assignment *assignment);

#endif
