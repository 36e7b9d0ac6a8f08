/* Failure detection: probes, indirect probes and suspicions. */
#include "core/membership_private.h"

static uint32_t
log2_ceil (uint32_t value)
{
  uint32_t bits = 0;
  while ((UINT32_C (1) << bits) < value)
    {
      bits++;
    }
  return bits;
}

/* Returns how long a suspected member may refute.  Grows with the time that
   gossip takes to reach the whole fleet.  */
static int64_t
suspicion_timeout_us (const struct mem_fleet *fleet)
{
  return MEM_PERIOD_US * (3 + log2_ceil (fleet->table->count));
}

/* Ends the probe SEQUENCE: the target has acknowledged.  */
void
mem_probe_answered (struct mem_fleet *fleet, uint64_t sequence)
{
  for (int i = 0; i < PROBES_MAX; i++)
    {
      struct probe *probe = &fleet->probes[i];
      if (probe->sequence != 0 && probe->sequence == sequence)
        {
          probe->sequence = 0;
        }
    }
}

/* Fills the probe queue with all other active members in random order.  */
static void
fill_probe_queue (struct mem_fleet *fleet)
{
  const GPtrArray *members = fleet->table->members;
  for (guint i = 0; i < members->len; i++)
    {
      const struct mbr_member *member = g_ptr_array_index (members, i);
      if (member == fleet->self || !mbr_is_active (member))
        {
          continue;
        }
      g_ptr_array_add (fleet->probe_queue, g_strdup (member->name));
      const guint last = fleet->probe_queue->len - 1;
      const guint other
          = (guint)g_rand_int_range (fleet->random, 0, (gint32)last + 1);
      gpointer name = fleet->probe_queue->pdata[other];
      fleet->probe_queue->pdata[other] = fleet->probe_queue->pdata[last];
      fleet->probe_queue->pdata[last] = name;
    }
}

/* Returns the next member to probe, or NULL when there is no other active
   member.  */
static struct mbr_member *
next_probe_target (struct mem_fleet *fleet)
{
  for (int rounds = 0; rounds < 2; rounds++)
    {
      while (fleet->probe_queue->len > 0)
        {
          const char *name = g_ptr_array_index (fleet->probe_queue,
                                                fleet->probe_queue->len - 1);
          struct mbr_member *member = mbr_find (fleet->table, name);
          g_ptr_array_set_size (fleet->probe_queue,
                                (gint)fleet->probe_queue->len - 1);
          if (member != NULL && mbr_is_active (member))
            {
              return member;
            }
        }
      fill_probe_queue (fleet);
    }
  return NULL;
}

/* Pings the next member of the probe queue, unless PROBES_MAX probes are in
   flight.  */
void
mem_start_probe (struct mem_fleet *fleet, int64_t now_us)
{
  struct probe *probe = NULL;
  for (int i = 0; i < PROBES_MAX && probe == NULL; i++)
    {
      probe = fleet->probes[i].sequence == 0 ? &fleet->probes[i] : NULL;
    }
  const struct mbr_member *member
      = probe != NULL ? next_probe_target (fleet) : NULL;
  if (member == NULL)
    {
      return;
    }
  g_free (probe->name);
  *probe = (struct probe){ .sequence = ++fleet->sequence,
                           .name = g_strdup (member->name),
                           .sent_at_us = now_us };
  Peer__Membership *message = mem_create_message (
      fleet, PEER__MEMBERSHIP__KIND__PING, probe->sequence);
  if (member->state == MBR_SUSPECT)
    {
      gsp_add_member (message, member, true);
    }
  mem_add_updates (fleet, message, false);
  mem_send (fleet, member->address, message);
}

/* Asks up to INDIRECT_PROBES random members to ping the target of PROBE.  */
static void
probe_indirectly (struct mem_fleet *fleet, struct probe *probe)
{
  const struct mbr_member *target = mbr_find (fleet->table, probe->name);
  probe->indirect = true;
  for (int i = 0; i < INDIRECT_PROBES && target != NULL; i++)
    {
      const struct mbr_member *other = mem_random_member (fleet, probe->name);
      if (other == NULL)
        {
          return;
        }
      Peer__Membership *message = mem_create_message (
          fleet, PEER__MEMBERSHIP__KIND__PING_REQUEST, probe->sequence);
      message->target_address = g_strdup (target->address);
      mem_send (fleet, other->address, message);
    }
}

/* Ends PROBE without an acknowledgement and suspects its target.  */
static void
fail_probe (struct mem_fleet *fleet, struct probe *probe, int64_t now_us)
{
  struct mbr_member *member = mbr_find (fleet->table, probe->name);
  probe->sequence = 0;
  if (member != NULL && member->state == MBR_ALIVE)
    {
      mbr_set_state (fleet->table, member, MBR_SUSPECT, now_us);
      gsp_schedule (fleet->table, &member->gossip, true, true);
      mem_queue_member_changed (fleet, member);
    }
}

/* Probes indirectly where no acknowledgement arrived within
   MEM_PROBE_TIMEOUT_US, and suspects where none arrived within
   PROBE_DEADLINE_US.  */
void
mem_check_probes (struct mem_fleet *fleet, int64_t now_us)
{
  for (int i = 0; i < PROBES_MAX; i++)
    {
      struct probe *probe = &fleet->probes[i];
      const int64_t age_us = now_us - probe->sent_at_us;
      if (probe->sequence != 0 && age_us >= PROBE_DEADLINE_US)
        {
          fail_probe (fleet, probe, now_us);
        }
      else if (probe->sequence != 0 && !probe->indirect
               && age_us >= MEM_PROBE_TIMEOUT_US)
        {
          probe_indirectly (fleet, probe);
        }
    }
}

/* Declares dead the suspected members that did not refute in time.  */
void
mem_check_suspicions (struct mem_fleet *fleet, int64_t now_us)
{
  if (fleet->table->suspects == 0)
    {
      return;
    }
  const int64_t timeout_us = suspicion_timeout_us (fleet);
  const GPtrArray *members = fleet->table->members;
  for (guint i = 0; i < members->len; i++)
    {
      struct mbr_member *member = g_ptr_array_index (members, i);
      if (member->state == MBR_SUSPECT
          && now_us - member->changed_at_us >= timeout_us)
        {
          mbr_set_state (fleet->table, member, MBR_DEAD, now_us);
          mem_queue_member_changed (fleet, member);
        }
    }
}
