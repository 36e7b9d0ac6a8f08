#include "core/gossip.h"

#include <string.h>

/* An update is sent this often per factor of ten in the number of members, but
   at least SENDS_MIN times. */
#define SENDS_PER_DECADE 5
#define SENDS_MIN 12

/* Limit of the updates in one message. */
#define UPDATES_MAX 32

/* Returns how often an update is sent in a fleet of MEMBERS.  */
static uint32_t
sends_for_fleet (uint32_t members)
{
  uint32_t decades = 0;
  for (uint32_t size = 1; size < members + 1; size *= 10)
    {
      decades++;
    }
  return MAX (SENDS_PER_DECADE * decades, SENDS_MIN);
}

/* Schedules the member or mark that GOSSIP belongs to for sending: URGENT ones
   at once, others along with probes.  WITH_ADDRESS is set when receivers may
   not know the member's address.  */
void
gsp_schedule (struct mbr_table *table, struct mbr_gossip *gossip, bool urgent,
              bool with_address)
{
  const bool pending = gossip->sends_left > 0;
  gossip->urgent = urgent || (pending && gossip->urgent);
  gossip->with_address = with_address || (pending && gossip->with_address);
  gossip->sends_left = sends_for_fleet (table->count);
  table->pending += !pending;
}

/* Priorities of updates, the highest one first. */
enum priority
{
  PRIORITY_MARK,
  PRIORITY_URGENT,
  PRIORITY_NORMAL
};

/* An update that waits to be sent: either a member or a mark. */
struct candidate
{
  uint32_t rank; /* the lowest one is sent first */
  struct mbr_gossip *gossip;
  struct mbr_member *member; /* or NULL */
  struct mbr_mark *mark;     /* or NULL */
};

/* Ranks an update by PRIORITY, then by the number of times that it was sent,
   so that a backlog doesn't delay new updates, then suspicions after
   refutations.  */
static uint32_t
update_rank (enum priority priority, const struct mbr_gossip *gossip,
             bool suspicion)
{
  return ((uint32_t)priority << 16) + ((UINT8_MAX - gossip->sends_left) << 1)
         + suspicion;
}

static uint32_t
member_rank (const struct mbr_member *member)
{
  const enum priority priority
      = member->gossip.urgent ? PRIORITY_URGENT : PRIORITY_NORMAL;
  return update_rank (priority, &member->gossip, member->state == MBR_SUSPECT);
}

/* The updates with the lowest ranks, in ascending order. */
struct selection
{
  struct candidate candidates[UPDATES_MAX];
  uint32_t count;
};

/* Inserts CANDIDATE by rank, after those of the same rank.  When SELECTION is
   full, the last candidate is dropped.  */
static void
insert_candidate (struct selection *selection,
                  const struct candidate *candidate)
{
  uint32_t position = selection->count;
  while (position > 0
         && selection->candidates[position - 1].rank > candidate->rank)
    {
      position--;
    }
  if (position == UPDATES_MAX)
    {
      return;
    }
  if (selection->count < UPDATES_MAX)
    {
      selection->count++;
    }
  struct candidate *slot = &selection->candidates[position];
  const uint32_t moved_count = selection->count - position - 1;
  memmove (slot + 1, slot, moved_count * sizeof *slot);
  *slot = *candidate;
}

/* Selects the updates to send next.  Each call starts at another member, so
   that updates of the same rank take turns.  */
static void
select_updates (struct mbr_table *table, bool urgent_only,
                struct selection *selection)
{
  const guint start = table->rotation++;
  for (guint i = 0; i < table->members->len; i++)
    {
      struct mbr_member *member = g_ptr_array_index (
          table->members, (start + i) % table->members->len);
      struct mbr_gossip *gossip = &member->gossip;
      if (gossip->sends_left > 0 && (gossip->urgent || !urgent_only))
        {
          const struct candidate candidate = { .rank = member_rank (member),
                                               .gossip = gossip,
                                               .member = member };
          insert_candidate (selection, &candidate);
        }
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->marks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct mbr_mark *mark = value;
      if (mark->gossip.sends_left > 0)
        {
          const struct candidate candidate
              = { .rank = update_rank (PRIORITY_MARK, &mark->gossip, false),
                  .gossip = &mark->gossip,
                  .mark = mark };
          insert_candidate (selection, &candidate);
        }
    }
}

static void
append_member (Peer__Membership *message, Peer__Member *member)
{
  message->members[message->n_members++] = member;
}

static void
append_mark (Peer__Membership *message, Peer__Mark *mark)
{
  message->marks[message->n_marks++] = mark;
}

/* Makes room in MESSAGE for further members and marks, whose numbers are
   MEMBERS and MARKS.  */
static void
reserve (Peer__Membership *message, size_t members, size_t marks)
{
  if (members > 0)
    {
      message->members = g_renew (Peer__Member *, message->members,
                                  message->n_members + members);
    }
  if (marks > 0)
    {
      message->marks
          = g_renew (Peer__Mark *, message->marks, message->n_marks + marks);
    }
}

/* Appends MEMBER to MESSAGE.  */
void
gsp_add_member (Peer__Membership *message, const struct mbr_member *member,
                bool with_address)
{
  reserve (message, 1, 0);
  append_member (message, mbr_member_to_message (member, with_address));
}

/* Appends CANDIDATE to MESSAGE.  Returns its packed size in bytes.  */
static size_t
append_update (Peer__Membership *message, const struct candidate *candidate)
{
  if (candidate->mark != NULL)
    {
      Peer__Mark *mark = mbr_mark_to_message (&candidate->mark->mark);
      append_mark (message, mark);
      return peer__mark__get_packed_size (mark);
    }
  Peer__Member *member = mbr_member_to_message (
      candidate->member, candidate->gossip->with_address);
  append_member (message, member);
  return peer__member__get_packed_size (member);
}

/* Appends scheduled updates to MESSAGE, only urgent ones and marks if
   URGENT_ONLY, and counts them as sent once more.  Stops after
   GSP_UPDATE_BYTES or BUDGET_BYTES, whichever is less; marks may exceed the
   budget.  Returns the bytes added.  */
size_t
gsp_add_updates (struct mbr_table *table, Peer__Membership *message,
                 bool urgent_only, size_t budget_bytes)
{
  if (table->pending == 0)
    {
      return 0;
    }
  struct selection selection = { .count = 0 };
  select_updates (table, urgent_only, &selection);
  reserve (message, selection.count, selection.count);
  size_t bytes = 0;
  for (guint i = 0; i < selection.count && bytes < GSP_UPDATE_BYTES; i++)
    {
      const struct candidate *candidate = &selection.candidates[i];
      if (candidate->mark == NULL && bytes >= budget_bytes)
        {
          break;
        }
      bytes += append_update (message, candidate);
      candidate->gossip->sends_left -= 1;
      table->pending -= candidate->gossip->sends_left == 0;
    }
  return bytes;
}

/* Appends all members and marks to MESSAGE, at most GSP_FULL_STATE_MAX of
   each.  */
void
gsp_add_full_state (const struct mbr_table *table, Peer__Membership *message)
{
  const guint members = MIN (table->members->len, GSP_FULL_STATE_MAX);
  guint marks = MIN (g_hash_table_size (table->marks), GSP_FULL_STATE_MAX);
  reserve (message, members, marks);
  for (guint i = 0; i < members; i++)
    {
      append_member (
          message,
          mbr_member_to_message (g_ptr_array_index (table->members, i), true));
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->marks);
  while (marks > 0 && g_hash_table_iter_next (&iter, NULL, &value))
    {
      append_mark (message,
                   mbr_mark_to_message (&((struct mbr_mark *)value)->mark));
      marks--;
    }
}
