/* This daemon's membership in the group of all entry daemons, which the
   platform's store manages.  Each member gets a share of shared budgets, and
   one member at a time is the leader.

   After a restore of the store, memberships of the era before are void, but
   their owners may not know yet.  Until the last one of these has expired, no
   member leads, and a member's share isn't more than it was before. */
#ifndef ENTRY_GROUP_H
#define ENTRY_GROUP_H

#include "core/refresh.h"
#include "net/client.h"

#include <stdbool.h>

struct grp_group;

struct grp_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *address;       /* address of the store */
  const char *member;        /* of this daemon; unique for each start */
  const char *relay_address; /* of this daemon, for other daemons */
  uint32_t partitions; /* number of partitions of each topic of the store */
  struct rfs_membership plan;
};

/* Called with the addresses, char *, at which members of the group answer
   other daemons; may be empty.  NULL: the lookup failed.  */
typedef void (*grp_found) (void *context, const GPtrArray *addresses);

struct grp_group *grp_create (const struct grp_params *params);
void grp_leave (struct grp_group *group);
void grp_destroy (struct grp_group *group);
void grp_set_era (struct grp_group *group, uint64_t era);
bool grp_is_leader (const struct grp_group *group, uint64_t *fence);
int64_t grp_certain_until_us (const struct grp_group *group);
void grp_step_down (struct grp_group *group, uint64_t fence);
double grp_share (const struct grp_group *group);
uint32_t grp_partitions (const struct grp_group *group);
bool grp_is_member (const struct grp_group *group);
int64_t grp_idle_us (const struct grp_group *group, int64_t now_us);
void grp_keep_membership (struct grp_group *group, bool keep);
bool grp_runs_relay (const struct grp_group *group);
void grp_find_relays (struct grp_group *group, grp_found found, void *context);
bool grp_find_members (struct grp_group *group, grp_found found,
                       void *context);

#endif
