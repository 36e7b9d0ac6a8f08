#include "core/membership_private.h"

#include <string.h>

/* Number of gossip messages that announce a new configuration version. */
#define VERSION_SENDS 12

/* Queues an action of KIND; the caller fills it.  */
struct mem_action *
mem_add_action (struct mem_fleet *fleet, enum mem_action_kind kind)
{
  struct mem_action *action = g_new0 (struct mem_action, 1);
  action->kind = kind;
  g_queue_push_tail (&fleet->actions, action);
  return action;
}

/* Moves the oldest queued action to ACTION.  Returns false when there is none.
   The caller frees its content by mem_action_clear.  */
bool
mem_next_action (struct mem_fleet *fleet, struct mem_action *action)
{
  struct mem_action *first = g_queue_pop_head (&fleet->actions);
  if (first == NULL)
    {
      return false;
    }
  *action = *first;
  g_free (first);
  return true;
}

/* Frees the content of ACTION, not ACTION itself.  */
void
mem_action_clear (struct mem_action *action)
{
  g_free (action->address);
  g_free (action->name);
  if (action->message != NULL)
    {
      peer__membership__free_unpacked (action->message, NULL);
    }
  *action = (struct mem_action){ .kind = action->kind };
}

/* Queues the action that reports a change of MEMBER.  */
void
mem_queue_member_changed (struct mem_fleet *fleet,
                          const struct mbr_member *member)
{
  struct mem_action *action = mem_add_action (fleet, MEM_MEMBER_CHANGED);
  action->name = g_strdup (member->name);
  action->address = g_strdup (member->address);
  action->state = member->state;
  action->ready = member->ready;
}

/* Returns a message of KIND from this daemon, without any updates.  */
Peer__Membership *
mem_create_message (struct mem_fleet *fleet, Peer__Membership__Kind kind,
                    uint64_t sequence)
{
  Peer__Membership *message = g_new (Peer__Membership, 1);
  peer__membership__init (message);
  message->kind = kind;
  message->sequence = sequence;
  message->sender = mbr_member_to_message (fleet->self, true);
  message->config_version = fleet->self->config_version;
  message->digest = fleet->table->digest;
  return message;
}

/* Queues MESSAGE for ADDRESS.  The action takes ownership of MESSAGE.  */
void
mem_send (struct mem_fleet *fleet, const char *address,
          Peer__Membership *message)
{
  struct mem_action *action = mem_add_action (fleet, MEM_SEND);
  action->address = g_strdup (address);
  action->message = message;
}

/* Requests the full state from the daemon at ADDRESS.  */
void
mem_send_join (struct mem_fleet *fleet, const char *address)
{
  mem_send (fleet, address,
            mem_create_message (fleet, PEER__MEMBERSHIP__KIND__JOIN,
                                ++fleet->sequence));
}

/* Refutes a report on this daemon: raises its incarnation above INCARNATION
   and schedules the update.  */
void
mem_refute (struct mem_fleet *fleet, uint64_t incarnation)
{
  mbr_set_incarnation (fleet->table, fleet->self, incarnation + 1);
  gsp_schedule (fleet->table, &fleet->self->gossip, true, true);
}

/* Creates the state of one daemon, which knows no others until
   mem_set_candidates or a message.  Copies what SETTINGS points to.  */
struct mem_fleet *
mem_create (const struct mem_settings *settings, int64_t now_us)
{
  struct mem_fleet *fleet = g_new0 (struct mem_fleet, 1);
  fleet->table = mbr_create ();
  fleet->random = g_rand_new_with_seed (settings->seed);
  fleet->candidates = g_ptr_array_new_with_free_func (g_free);
  fleet->probe_queue = g_ptr_array_new_with_free_func (g_free);
  g_queue_init (&fleet->actions);
  Peer__Member self = PEER__MEMBER__INIT;
  self.name = (char *)settings->name;
  self.address = (char *)settings->address;
  self.data_centre = (char *)settings->data_centre;
  self.incarnation = settings->incarnation;
  mbr_merge (fleet->table, &self, now_us, &fleet->self);
  g_assert (fleet->self != NULL);
  gsp_schedule (fleet->table, &fleet->self->gossip, true, true);
  fleet->last_tick_us = now_us;
  fleet->next_probe_us
      = now_us + g_rand_int_range (fleet->random, 0, (gint32)MEM_PERIOD_US);
  fleet->next_gossip_us = now_us;
  fleet->next_rejoin_us = now_us;
  fleet->next_sync_us = now_us + SYNC_INTERVAL_US;
  fleet->update_budget_bytes = UPDATE_BURST_BYTES;
  fleet->full_state_budget_bytes = FULL_STATE_BURST_BYTES;
  return fleet;
}

/* Frees FLEET; NULL is allowed.  */
void
mem_destroy (struct mem_fleet *fleet)
{
  if (fleet == NULL)
    {
      return;
    }
  struct mem_action action;
  while (mem_next_action (fleet, &action))
    {
      mem_action_clear (&action);
    }
  for (int i = 0; i < PROBES_MAX; i++)
    {
      g_free (fleet->probes[i].name);
    }
  for (int i = 0; i < RELAYED_PINGS_MAX; i++)
    {
      g_free (fleet->relayed_pings[i].requester_address);
    }
  mbr_destroy (fleet->table);
  g_rand_free (fleet->random);
  g_ptr_array_free (fleet->candidates, TRUE);
  g_ptr_array_free (fleet->probe_queue, TRUE);
  g_free (fleet);
}

/* Replaces the addresses at which daemons may run: those of the settings'
   seeds and of the daemons in the host list.  ADDRESSES is NULL-terminated or
   NULL.  */
void
mem_set_candidates (struct mem_fleet *fleet, const char *const *addresses)
{
  g_ptr_array_set_size (fleet->candidates, 0);
  for (size_t i = 0; addresses != NULL && addresses[i] != NULL; i++)
    {
      if (strcmp (addresses[i], fleet->self->address) != 0)
        {
          g_ptr_array_add (fleet->candidates, g_strdup (addresses[i]));
        }
    }
}

/* Sets whether this daemon is ready, and schedules gossip on a change.  */
void
mem_set_ready (struct mem_fleet *fleet, bool ready, int64_t now_us)
{
  (void)now_us;
  struct mbr_member *self = fleet->self;
  if (self->ready != ready)
    {
      mbr_set_attributes (fleet->table, self, ready, self->reaches_log,
                          self->config_version);
      gsp_schedule (fleet->table, &self->gossip, true, false);
    }
}

/* Sets whether this daemon can reach the platform's log, and schedules gossip
   on a change.  */
void
mem_set_reaches_log (struct mem_fleet *fleet, bool reaches_log, int64_t now_us)
{
  (void)now_us;
  struct mbr_member *self = fleet->self;
  if (self->reaches_log != reaches_log)
    {
      mbr_set_attributes (fleet->table, self, self->ready, reaches_log,
                          self->config_version);
      gsp_schedule (fleet->table, &self->gossip, true, false);
    }
}

/* Sets the configuration version in force at this daemon.  Gossip announces a
   change to some members at once, so that those with an older version request
   it.  */
void
mem_set_config_version (struct mem_fleet *fleet, uint64_t version,
                        int64_t now_us)
{
  struct mbr_member *self = fleet->self;
  if (self->config_version == version)
    {
      return;
    }
  mbr_set_attributes (fleet->table, self, self->ready, self->reaches_log,
                      version);
  gsp_schedule (fleet->table, &self->gossip, false, false);
  fleet->version_sends = VERSION_SENDS;
  fleet->next_gossip_us = now_us;
}

/* Stores MARK and gossips it if it is newer than the stored one.  */
void
mem_broadcast_mark (struct mem_fleet *fleet, const struct lv_mark *mark,
                    int64_t now_us)
{
  struct mbr_mark *stored = mbr_merge_mark (fleet->table, mark, now_us);
  if (stored != NULL)
    {
      gsp_schedule (fleet->table, &stored->gossip, true, false);
      mem_gossip (fleet);
    }
}

/* Announces the planned shutdown of this daemon.  It still replies to messages
   until it is destroyed, but others no longer probe it.  */
void
mem_leave (struct mem_fleet *fleet, int64_t now_us)
{
  if (fleet->self->state == MBR_LEFT)
    {
      return;
    }
  mbr_set_state (fleet->table, fleet->self, MBR_LEFT, now_us);
  gsp_schedule (fleet->table, &fleet->self->gossip, true, true);
  mem_gossip (fleet);
}

/* Returns a random alive member other than this daemon and the one named
   EXCEPT, which may be NULL, or NULL.  Suspects are excluded: during a
   partition, half the fleet may be unreachable.  */
struct mbr_member *
mem_random_member (struct mem_fleet *fleet, const char *except)
{
  const GPtrArray *members = fleet->table->members;
  const guint start
      = (guint)g_rand_int_range (fleet->random, 0, (gint32)members->len);
  for (guint i = 0; i < members->len; i++)
    {
      struct mbr_member *member
          = g_ptr_array_index (members, (start + i) % members->len);
      if (member != fleet->self && member->state == MBR_ALIVE
          && (except == NULL || strcmp (member->name, except) != 0))
        {
          return member;
        }
    }
  return NULL;
}

/* Adds scheduled updates to MESSAGE within the update budget.  Returns the
   bytes added.  */
size_t
mem_add_updates (struct mem_fleet *fleet, Peer__Membership *message,
                 bool urgent_only)
{
  const size_t budget = (size_t)MAX (fleet->update_budget_bytes, 0);
  const size_t bytes
      = gsp_add_updates (fleet->table, message, urgent_only, budget);
  fleet->update_budget_bytes -= (int64_t)bytes;
  return bytes;
}

/* Refills the token buckets for the time ELAPSED_US.  */
static void
refill_budgets (struct mem_fleet *fleet, int64_t elapsed_us)
{
  const int64_t updates = elapsed_us * UPDATE_BYTES_PER_S / MEM_PERIOD_US;
  const int64_t state = elapsed_us * FULL_STATE_BYTES_PER_S / MEM_PERIOD_US;
  fleet->update_budget_bytes
      = MIN (fleet->update_budget_bytes + updates, UPDATE_BURST_BYTES);
  fleet->full_state_budget_bytes
      = MIN (fleet->full_state_budget_bytes + state, FULL_STATE_BURST_BYTES);
}

/* Sends urgent updates to up to MEM_GOSSIP_FANOUT random members.  */
void
mem_gossip (struct mem_fleet *fleet)
{
  for (int i = 0; i < MEM_GOSSIP_FANOUT; i++)
    {
      const bool has_version = fleet->version_sends > 0;
      if (fleet->table->pending == 0 && !has_version)
        {
          return;
        }
      const struct mbr_member *member = mem_random_member (fleet, NULL);
      if (member == NULL)
        {
          return;
        }
      Peer__Membership *message
          = mem_create_message (fleet, PEER__MEMBERSHIP__KIND__GOSSIP, 0);
      if (mem_add_updates (fleet, message, true) == 0 && !has_version)
        {
          peer__membership__free_unpacked (message, NULL);
          return;
        }
      fleet->version_sends -= has_version;
      mem_send (fleet, member->address, message);
    }
}

/* Returns addresses, borrowed, of daemons that may have to be reconnected:
   first those of dead members, then, from index FIRST_CANDIDATE on, candidates
   that no member has.  */
static GPtrArray *
list_rejoin_addresses (struct mem_fleet *fleet, guint *first_candidate)
{
  GPtrArray *addresses = g_ptr_array_new ();
  GHashTable *known = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < fleet->table->members->len; i++)
    {
      struct mbr_member *member = fleet->table->members->pdata[i];
      g_hash_table_add (known, member->address);
      if (member->state == MBR_DEAD)
        {
          g_ptr_array_add (addresses, member->address);
        }
    }
  *first_candidate = addresses->len;
  for (guint i = 0; i < fleet->candidates->len; i++)
    {
      char *address = fleet->candidates->pdata[i];
      if (!g_hash_table_contains (known, address))
        {
          g_ptr_array_add (addresses, address);
        }
    }
  g_hash_table_destroy (known);
  return addresses;
}

/* Contacts one such address at random.  A dead member that is pinged replies
   with its view of this daemon.  If that is outdated, this daemon refutes, so
   that both sides of a healed partition merge.  A candidate is asked for its
   full state.  */
static void
rejoin (struct mem_fleet *fleet)
{
  guint first_candidate;
  GPtrArray *addresses = list_rejoin_addresses (fleet, &first_candidate);
  if (addresses->len > 0)
    {
      const guint chosen
          = (guint)g_rand_int_range (fleet->random, 0, (gint32)addresses->len);
      const char *address = addresses->pdata[chosen];
      if (chosen < first_candidate)
        {
          mem_send (fleet, address,
                    mem_create_message (fleet, PEER__MEMBERSHIP__KIND__PING,
                                        ++fleet->sequence));
        }
      else
        {
          mem_send_join (fleet, address);
        }
    }
  g_ptr_array_free (addresses, TRUE);
}

/* Returns the mean time between two attempts to rejoin.  It is short until the
   first full state has arrived, and while dead members return.  */
static int64_t
rejoin_interval_us (const struct mem_fleet *fleet, int64_t now_us)
{
  const bool returning
      = fleet->last_return_us != 0
        && now_us - fleet->last_return_us < REJOIN_INTERVAL_US;
  return fleet->joined && !returning ? REJOIN_INTERVAL_US : MEM_PERIOD_US;
}

/* When this process was suspended, acknowledgements and refutations may have
   arrived meanwhile.  Drops the probes in flight and restarts the time-outs of
   suspicions, so that no member is blamed for the pause.  */
static void
compensate_pause (struct mem_fleet *fleet, int64_t now_us)
{
  const int64_t pause_us = now_us - fleet->last_tick_us;
  if (pause_us < 2 * MEM_PERIOD_US)
    {
      return;
    }
  for (int i = 0; i < PROBES_MAX; i++)
    {
      fleet->probes[i].sequence = 0;
    }
  for (guint i = 0; i < fleet->table->members->len; i++)
    {
      struct mbr_member *member = fleet->table->members->pdata[i];
      if (member->state == MBR_SUSPECT)
        {
          member->changed_at_us = now_us;
        }
    }
}

/* Performs what is due at NOW_US.  Returns when to call next, at most
   MEM_GOSSIP_INTERVAL_US later.  */
int64_t
mem_tick (struct mem_fleet *fleet, int64_t now_us)
{
  compensate_pause (fleet, now_us);
  refill_budgets (fleet, now_us - fleet->last_tick_us);
  fleet->last_tick_us = now_us;
  mem_check_probes (fleet, now_us);
  mem_check_suspicions (fleet, now_us);
  const bool leaving = fleet->self->state == MBR_LEFT;
  if (now_us >= fleet->next_probe_us && !leaving)
    {
      fleet->next_probe_us = now_us + MEM_PERIOD_US;
      mem_start_probe (fleet, now_us);
    }
  if (now_us >= fleet->next_rejoin_us && !leaving)
    {
      const int64_t interval_us = rejoin_interval_us (fleet, now_us);
      fleet->next_rejoin_us
          = now_us + interval_us / 2
            + g_rand_int_range (fleet->random, 0, (gint32)interval_us);
      rejoin (fleet);
      mbr_remove_expired (fleet->table, now_us - EXPIRE_AFTER_US);
    }
  if (now_us >= fleet->next_gossip_us)
    {
      fleet->next_gossip_us = now_us + MEM_GOSSIP_INTERVAL_US;
      mem_gossip (fleet);
    }
  return MIN (fleet->next_gossip_us, fleet->next_probe_us);
}

/* Returns the number of active members, alive or suspect, this daemon
   included.  */
uint32_t
mem_active_count (const struct mem_fleet *fleet)
{
  return fleet->table->count;
}

/* Returns the number of active members that are ready.  */
uint32_t
mem_ready_count (const struct mem_fleet *fleet)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < fleet->table->members->len; i++)
    {
      const struct mbr_member *member = fleet->table->members->pdata[i];
      count += mbr_is_active (member) && member->ready;
    }
  return count;
}

/* Returns the number of alive members other than this daemon that can reach
   the platform's log.  */
uint32_t
mem_reaching_log_count (const struct mem_fleet *fleet)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < fleet->table->members->len; i++)
    {
      const struct mbr_member *member = fleet->table->members->pdata[i];
      count += member != fleet->self && member->state == MBR_ALIVE
               && member->reaches_log;
    }
  return count;
}

/* Returns the number of active members at which configuration VERSION or a
   later one is in force.  */
uint32_t
mem_in_force_count (const struct mem_fleet *fleet, uint64_t version)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < fleet->table->members->len; i++)
    {
      const struct mbr_member *member = fleet->table->members->pdata[i];
      count += mbr_is_active (member) && member->config_version >= version;
    }
  return count;
}

/* Returns the member NAME, or NULL.  The pointer is valid until the next call
   that changes FLEET.  */
const struct mbr_member *
mem_find (const struct mem_fleet *fleet, const char *name)
{
  return mbr_find (fleet->table, name);
}

/* Returns member INDEX, or NULL past the last.  This daemon and dead or left
   members are included.  The pointer is valid until the next call that changes
   FLEET.  */
const struct mbr_member *
mem_member_at (const struct mem_fleet *fleet, uint32_t index)
{
  return index < fleet->table->members->len
             ? fleet->table->members->pdata[index]
             : NULL;
}
