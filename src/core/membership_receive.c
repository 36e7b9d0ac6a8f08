/* Handles membership messages from peers. */
#include "core/membership_private.h"

#include <string.h>

/* Handles an update on this daemon itself.  Refutes when the update says that
   this daemon is not alive, or has a higher incarnation, left by an earlier
   process of this name.  */
static void
handle_update_on_self (struct mem_fleet *fleet, const Peer__Member *update)
{
  const struct mbr_member *self = fleet->self;
  if (update->address[0] != '\0'
      && strcmp (update->address, self->address) != 0
      && update->state == PEER__MEMBER_STATE__ALIVE
      && update->incarnation >= self->incarnation)
    {
      struct mem_action *action = mem_add_action (fleet, MEM_NAME_CONFLICT);
      action->name = g_strdup (update->name);
      action->address = g_strdup (update->address);
    }
  if (self->state == MBR_LEFT)
    {
      return;
    }
  if (update->incarnation > self->incarnation
      || (update->incarnation == self->incarnation
          && update->state != PEER__MEMBER_STATE__ALIVE))
    {
      mem_refute (fleet, update->incarnation);
    }
}

/* Handles a report that a member is dead.  The reporter may be partitioned
   from that member, so this daemon does not adopt the report but probes the
   member next.  */
static void
handle_reported_death (struct mem_fleet *fleet, const Peer__Member *update)
{
  const struct mbr_member *known = mbr_find (fleet->table, update->name);
  if (known != NULL && known->state == MBR_ALIVE
      && known->incarnation == update->incarnation)
    {
      g_ptr_array_add (fleet->probe_queue, g_strdup (update->name));
    }
}

/* Merges UPDATE.  FULL_STATE is set for updates from a full state; those of
   the first full state are not gossiped further, except on suspects.  Each
   daemon itself waits for a suspected member to refute, and declares it dead
   otherwise.  */
static void
merge_update (struct mem_fleet *fleet, const Peer__Member *update,
              bool full_state, int64_t now_us)
{
  if (strcmp (update->name, fleet->self->name) == 0)
    {
      handle_update_on_self (fleet, update);
      return;
    }
  if (update->state == PEER__MEMBER_STATE__DEAD)
    {
      handle_reported_death (fleet, update);
      return;
    }
  const struct mbr_member *known = mbr_find (fleet->table, update->name);
  const bool was_dead = known != NULL && known->state == MBR_DEAD;
  struct mbr_member *member;
  const enum mbr_change change
      = mbr_merge (fleet->table, update, now_us, &member);
  if (change == MBR_UNCHANGED)
    {
      return;
    }
  const bool first_state = full_state && !fleet->joined;
  if (!first_state || member->state == MBR_SUSPECT)
    {
      gsp_schedule (fleet->table, &member->gossip,
                    change != MBR_VERSION_CHANGED,
                    change == MBR_STATE_CHANGED);
    }
  if (change != MBR_VERSION_CHANGED)
    {
      mem_queue_member_changed (fleet, member);
    }
  if (was_dead && mbr_is_active (member))
    {
      fleet->last_return_us = now_us;
      fleet->next_rejoin_us
          = MIN (fleet->next_rejoin_us, now_us + MEM_PERIOD_US / 2);
    }
}

static void
merge_marks (struct mem_fleet *fleet, const Peer__Membership *message,
             int64_t now_us)
{
  bool any_new = false;
  for (size_t i = 0; i < message->n_marks; i++)
    {
      struct lv_mark mark;
      struct mbr_mark *known = NULL;
      if (mbr_mark_from_message (message->marks[i], &mark))
        {
          known = mbr_merge_mark (fleet->table, &mark, now_us);
        }
      if (known != NULL)
        {
          mem_add_action (fleet, MEM_MARK_RECEIVED)->mark = mark;
          gsp_schedule (fleet->table, &known->gossip, true, false);
          any_new = true;
        }
    }
  if (any_new)
    {
      mem_gossip (fleet);
    }
}

/* Informs SENDER, so that it refutes, when this daemon does not regard it as
   alive or knows it by a higher incarnation.  Returns REPLY, or a new message
   if REPLY was NULL and one is needed.  */
static Peer__Membership *
add_correction_for_sender (struct mem_fleet *fleet, const Peer__Member *sender,
                           Peer__Membership *reply)
{
  const struct mbr_member *known = mbr_find (fleet->table, sender->name);
  if (known == NULL || sender->state != PEER__MEMBER_STATE__ALIVE
      || (known->state == MBR_ALIVE
          && known->incarnation <= sender->incarnation))
    {
      return reply;
    }
  if (reply == NULL)
    {
      reply = mem_create_message (fleet, PEER__MEMBERSHIP__KIND__GOSSIP, 0);
    }
  gsp_add_member (reply, known, true);
  return reply;
}

/* Pings the requested address on behalf of the sender.  */
static void
relay_ping (struct mem_fleet *fleet, const Peer__Membership *message)
{
  if (message->target_address[0] == '\0')
    {
      return;
    }
  struct relayed_ping *ping = &fleet->relayed_pings[fleet->next_relayed_ping];
  fleet->next_relayed_ping
      = (fleet->next_relayed_ping + 1) % RELAYED_PINGS_MAX;
  g_free (ping->requester_address);
  ping->requester_address = g_strdup (message->sender->address);
  ping->requester_sequence = message->sequence;
  ping->sequence = ++fleet->sequence;
  mem_send (fleet, message->target_address,
            mem_create_message (fleet, PEER__MEMBERSHIP__KIND__PING,
                                ping->sequence));
}

/* Forwards the acknowledgement of a relayed ping to its requester, or ends a
   probe of this daemon.  */
static void
handle_ack (struct mem_fleet *fleet, const Peer__Membership *message)
{
  for (int i = 0; i < RELAYED_PINGS_MAX; i++)
    {
      struct relayed_ping *ping = &fleet->relayed_pings[i];
      if (ping->sequence != 0 && ping->sequence == message->sequence)
        {
          mem_send (fleet, ping->requester_address,
                    mem_create_message (fleet, PEER__MEMBERSHIP__KIND__ACK,
                                        ping->requester_sequence));
          ping->sequence = 0;
          return;
        }
    }
  mem_probe_answered (fleet, message->sequence);
}

/* Sends the full state unless its budget is used up; the requester then asks
   another daemon.  */
static void
send_full_state (struct mem_fleet *fleet, const char *address,
                 uint64_t sequence)
{
  if (fleet->full_state_budget_bytes <= 0)
    {
      return;
    }
  Peer__Membership *message
      = mem_create_message (fleet, PEER__MEMBERSHIP__KIND__SYNC, sequence);
  gsp_add_full_state (fleet->table, message);
  fleet->full_state_budget_bytes
      -= (int64_t)peer__membership__get_packed_size (message);
  mem_send (fleet, address, message);
}

/* Handles a full state after it was merged.  A reply to this daemon's request
   has SEQUENCE set; if the sender lacks something, this daemon sends its own
   state, with SEQUENCE 0 to end the exchange.  */
static void
handle_full_state (struct mem_fleet *fleet, const Peer__Membership *message)
{
  fleet->joined = true;
  if (message->sequence != 0 && message->digest != fleet->table->digest)
    {
      send_full_state (fleet, message->sender->address, 0);
    }
}

/* Requests the full state of the sender when its digest differs and this
   daemon has no scheduled gossip left that could explain the difference.  */
static void
compare_digests (struct mem_fleet *fleet, const Peer__Membership *message,
                 int64_t now_us)
{
  if (message->digest == fleet->table->digest || now_us < fleet->next_sync_us
      || fleet->table->pending > 0)
    {
      return;
    }
  mem_send_join (fleet, message->sender->address);
  fleet->next_sync_us
      = now_us + SYNC_INTERVAL_US
        + g_rand_int_range (fleet->random, 0, (gint32)SYNC_INTERVAL_US);
}

static void
reply_to_message (struct mem_fleet *fleet, const Peer__Membership *message,
                  int64_t now_us)
{
  const char *address = message->sender->address;
  Peer__Membership *reply = NULL;
  switch (message->kind)
    {
    case PEER__MEMBERSHIP__KIND__PING:
      reply = mem_create_message (fleet, PEER__MEMBERSHIP__KIND__ACK,
                                  message->sequence);
      mem_add_updates (fleet, reply, false);
      compare_digests (fleet, message, now_us);
      break;
    case PEER__MEMBERSHIP__KIND__ACK:
      handle_ack (fleet, message);
      compare_digests (fleet, message, now_us);
      break;
    case PEER__MEMBERSHIP__KIND__PING_REQUEST:
      relay_ping (fleet, message);
      break;
    case PEER__MEMBERSHIP__KIND__JOIN:
      send_full_state (fleet, address, message->sequence);
      break;
    case PEER__MEMBERSHIP__KIND__SYNC:
      handle_full_state (fleet, message);
      break;
    default:
      break;
    }
  reply = add_correction_for_sender (fleet, message->sender, reply);
  if (reply != NULL)
    {
      mem_send (fleet, address, reply);
    }
}

/* Handles MESSAGE from a peer.  Ignores messages that lack a sender with name
   and address, and messages from this daemon itself.  */
void
mem_receive (struct mem_fleet *fleet, const Peer__Membership *message,
             int64_t now_us)
{
  const Peer__Member *sender = message->sender;
  if (sender == NULL || sender->name[0] == '\0' || sender->address[0] == '\0')
    {
      return;
    }
  if (strcmp (sender->address, fleet->self->address) == 0)
    {
      return;
    }
  const bool full_state = message->kind == PEER__MEMBERSHIP__KIND__SYNC;
  merge_update (fleet, sender, false, now_us);
  for (size_t i = 0; i < message->n_members; i++)
    {
      merge_update (fleet, message->members[i], full_state, now_us);
    }
  merge_marks (fleet, message, now_us);
  if (message->config_version > fleet->self->config_version)
    {
      struct mem_action *action = mem_add_action (fleet, MEM_NEWER_CONFIG);
      action->address = g_strdup (sender->address);
      action->config_version = message->config_version;
    }
  reply_to_message (fleet, message, now_us);
}
