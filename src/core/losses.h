/* Engines that were lost lately and may come back.

   An engine that crashes mostly starts again within seconds, in the same data
   centre and without layers.  Where memory is short, its data centre can't
   hold the model meanwhile, and engines that move to other parts for so short
   a time are missing twice: while they load, and when the lost one is back.
   So the planner of layers keeps the groups of data centres for a time as if
   lost engines were there. */
#ifndef CORE_LOSSES_H
#define CORE_LOSSES_H

#include "core/roster.h"

struct lss_losses;

/* An engine that was lost, or a new one. */
struct lss_engine
{
  struct rst_endpoint *endpoint; /* as it was then */
  int64_t since_us;
};

struct lss_losses *lss_create (void);
void lss_destroy (struct lss_losses *losses);
void lss_observe (struct lss_losses *losses, const GPtrArray *endpoints,
                  int64_t now_us);
bool lss_is_active (const struct lss_losses *losses, const char *id);
bool lss_is_recent (const struct lss_losses *losses, int64_t now_us);
const GPtrArray *lss_engines (const struct lss_losses *losses);

#endif
