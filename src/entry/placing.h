/* Places the layers of models on engines: while this daemon is the leader, it
   compares the engines' layers with the plan and sends orders for what
   differs. */
#ifndef ENTRY_PLACING_H
#define ENTRY_PLACING_H

#include "core/fleet.h"
#include "entry/group.h"
#include "entry/verdicts.h"

struct plc_placer;

struct plc_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  struct grp_group *group;
  struct vdt_verdicts *verdicts; /* of this daemon; answers to orders add to
                                    them */
  /* An answer to an order has shown that an endpoint leaves or wants no
     requests for a time. */
  void (*shown) (void *context);
  void *context;
};

struct plc_placer *plc_create (const struct plc_params *params);
void plc_destroy (struct plc_placer *placer);
void plc_step (struct plc_placer *placer, const struct flt_config *config,
               const GPtrArray *endpoints, int64_t now_us);

#endif
