/* Plans which engine holds which layers of one model.

   In a cold start, and when engines crash, leave or join, the plan gives every
   layer a holder in each group of data centres that has the memory for the
   model.  A data centre with ample memory for it is a group of its own; the
   others are grouped by what memory and links between them allow, and stay in
   their groups for as long as lost engines may come back.  Layers that
   are held stay where they are as far as possible, and
   engines that hold none replicate the layers with the fewest holders. */
#ifndef CORE_STAGE_PLAN_H
#define CORE_STAGE_PLAN_H

#include "core/fleet.h"
#include "core/roster.h"

/* An engine as the planner sees it. */
struct stp_engine
{
  uint32_t data_centre;   /* index of its data centre */
  double memory_mb;       /* for layers and KV cache */
  double step_factor;     /* of its kind; lower is faster */
  double prefill_factor;  /* likewise */
  struct rst_layers held; /* now, or after an order in progress */
  bool movable;           /* may get another order now */
  bool in_reserve;        /* fills gaps, but replicates no layers yet */
  bool lost;              /* holds nothing, but may come back soon */
};

/* Which engines may be moved to layers that no engine holds. */
enum stp_effort
{
  STP_SPARES,     /* only those whose layers, if any, have other holders */
  STP_DIVIDE_ANEW /* all, by a new division of the layers */
};

bool stp_plan (const struct flt_engine_spec *spec, enum stp_effort effort,
               uint32_t data_centre_count, const struct stp_engine *stated,
               uint32_t engine_count, struct rst_layers *wanted);
uint32_t stp_layers_max (const struct flt_engine_spec *spec, double memory_mb,
                         double cache_tokens);
double stp_cache_tokens (const struct flt_engine_spec *spec, double memory_mb,
                         uint32_t layers);

#endif
