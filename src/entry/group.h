/* This daemon's membership in the group of all entry daemons, which the
   platform's store manages.  Each member gets a share of shared budgets, and
   one member at a time is the leader. */
#ifndef ENTRY_GROUP_H
#define ENTRY_GROUP_H

#include "net/client.h"

#include <stdbool.h>

struct grp_group;

struct grp_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *address; /* address of the store */
  const char *member;  /* of this daemon; unique for each start */
  uint32_t partitions; /* number of partitions of each topic of the store */
};

struct grp_group *grp_create (const struct grp_params *params);
void grp_leave (struct grp_group *group);
void grp_destroy (struct grp_group *group);
bool grp_is_leader (const struct grp_group *group, uint64_t *fence);
void grp_step_down (struct grp_group *group);
bool grp_exceeds_partitions (const struct grp_group *group);
double grp_share (const struct grp_group *group);

#endif
