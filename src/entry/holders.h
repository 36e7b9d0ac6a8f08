/* Finds the daemons that may hold what the store has lost in a restore, and
   makes the topics ask them: the relays of the settings or, without any, the
   members of the group.  The operator's topic, which has the API keys, asks
   some of the members also where no relay knows it: all relays may be down
   while another daemon knows of a key that was removed. */
#ifndef ENTRY_HOLDERS_H
#define ENTRY_HOLDERS_H

#include "entry/group.h"
#include "entry/topic.h"

struct hld_params
{
  struct grp_group *group;
  struct tpc_topic *const *topics;
  uint32_t topic_count;
  struct tpc_topic *operator_topic; /* one of these */
  const GPtrArray *relays;          /* addresses of other daemons' relays */
  const char *own_address;          /* of this daemon's relay */
  int64_t lookup_max_us; /* how long a lookup of members that fails is
                            repeated */
};

struct hld_holders;

struct hld_holders *hld_create (const struct hld_params *params);
void hld_destroy (struct hld_holders *holders);
void hld_find (struct hld_holders *holders);
void hld_find_members (struct hld_holders *holders);
void hld_step (struct hld_holders *holders);
void hld_add_others (const GPtrArray *found, const char *own_address,
                     GPtrArray *addresses);

#endif
