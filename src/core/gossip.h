/* Selects which updates on members and marks are piggybacked on a membership
   message, and how often each one is sent. */
#ifndef CORE_GOSSIP_H
#define CORE_GOSSIP_H

#include "core/members.h"

/* Approximate limit of the bytes of updates in one message. */
#define GSP_UPDATE_BYTES 1024

/* Limit of the members, and of the marks, in one full state. */
#define GSP_FULL_STATE_MAX 1024

void gsp_schedule (struct mbr_table *table, struct mbr_gossip *gossip,
                   bool urgent, bool with_address);
size_t gsp_add_updates (struct mbr_table *table, Peer__Membership *message,
                        bool urgent_only, size_t budget_bytes);
void gsp_add_full_state (const struct mbr_table *table,
                         Peer__Membership *message);
void gsp_add_member (Peer__Membership *message,
                     const struct mbr_member *member, bool with_address);

#endif
