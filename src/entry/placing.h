/* Carries the placement of layers out, on the daemon that leads. */
#ifndef ENTRY_PLACING_H
#define ENTRY_PLACING_H

#include "core/fleet.h"
#include "entry/group.h"
#include "entry/verdicts.h"

struct plc_placing;

struct plc_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  struct grp_group *group;
  struct vdt_verdicts *verdicts; /* of this daemon's own requests */
};

struct plc_placing *plc_create (const struct plc_params *params);
void plc_destroy (struct plc_placing *placing);
void plc_step (struct plc_placing *placing, const struct flt_config *config,
               const GPtrArray *endpoints, int64_t now_us);

#endif
