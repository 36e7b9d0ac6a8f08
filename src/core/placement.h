/* Placement: which host holds which ranges of layers of which model, and the
   token rate that this allows.

   pl_plan computes a placement, pl_find_bound its token rate, and
   pl_count_moves the loads that lead from one placement to another. */
#ifndef CORE_PLACEMENT_H
#define CORE_PLACEMENT_H

#include "core/snapshot.h"

/* The ranges of layers that one host holds. */
struct pl_host
{
  struct snap_range ranges[SNAP_RANGES_MAX];
  uint32_t range_count;
};

struct pl_placement
{
  struct pl_host *hosts; /* one for each host of the configuration */
  uint32_t host_count;
};

/* The highest token rate that a placement allows. */
struct pl_bound
{
  double tokens_per_s; /* of all models, divided by their demand weights */
  double compute_only_tokens_per_s; /* upper bound for all placements */
  /* The bottleneck: a range whose holders are all fully used. */
  uint32_t model; /* index in the configuration */
  uint32_t first;
  uint32_t end;              /* one past the last layer */
  uint32_t under_replicated; /* ranges on fewer than 1 + `spare_hosts' hosts */
};

/* Loads and unloads that lead from one placement to another.  Loads read from
   the weight store, whose rate is limited. */
struct pl_moves
{
  uint32_t loads;    /* ranges */
  uint32_t unloads;  /* ranges */
  uint32_t hosts;    /* hosts with a load or an unload */
  uint64_t load_mib; /* memory of the loaded ranges */
};

struct pl_placement *pl_create (uint32_t host_count);
void pl_destroy (struct pl_placement *placement);
struct pl_placement *pl_plan (const struct cfg_config *config,
                              const bool *usable,
                              const struct pl_placement *current);
void pl_find_bound (const struct cfg_config *config, const bool *usable,
                    const struct pl_placement *placement,
                    struct pl_bound *bound);
void pl_count_moves (const struct cfg_config *config,
                     const struct pl_placement *from,
                     const struct pl_placement *to, struct pl_moves *moves);
double pl_gain_of_kind (const struct cfg_config *config, const bool *usable,
                        const struct pl_placement *placement,
                        const char *kind);

#endif
