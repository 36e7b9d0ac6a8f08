/* Which engine holds which layers of one model.  Answers the loads of a cold
   start and of engines that crash, leave or join: every layer is held in each
   group of data centres that has the memory, layers that are held stay where
   they are, and engines without a part repeat the layers with fewest
   holders. */
#ifndef CORE_STAGE_PLAN_H
#define CORE_STAGE_PLAN_H

#include "core/fleet.h"
#include "core/roster.h"

struct stp_card
{
  uint32_t zone;          /* index of its data centre */
  double memory_mb;       /* for layers and the memory of requests */
  double step_factor;     /* of its kind; lower is faster */
  struct rst_layers held; /* now, or by an order that is under way */
  bool movable;           /* may get another order now */
  bool in_reserve;        /* fills gaps, but repeats nothing yet */
};

/* How much may be moved for layers that nobody holds. */
enum stp_effort
{
  STP_SPARES,     /* only engines that nothing depends on */
  STP_DIVIDE_ANEW /* engines that others need as well */
};

bool stp_plan (const struct flt_engine *engine, enum stp_effort effort,
               uint32_t zone_count, const struct stp_card *cards,
               uint32_t card_count, struct rst_layers *wanted);
uint32_t stp_layers_max (const struct flt_engine *engine, double memory_mb,
                         double cache_tokens);
double stp_cache_tokens (const struct flt_engine *engine, double memory_mb,
                         uint32_t layers);

#endif
