#include "core/members.h"

#include <string.h>
#include <xxhash.h>

/* Limits of one table; further members and marks are ignored. */
#define MEMBERS_MAX 4096
#define MARKS_MAX 8192

static void
destroy_member (gpointer data)
{
  struct mbr_member *member = data;
  g_free (member->name);
  g_free (member->address);
  g_free (member->data_centre);
  g_free (member);
}

/* Returns an empty table.  */
struct mbr_table *
mbr_create (void)
{
  struct mbr_table *table = g_new0 (struct mbr_table, 1);
  table->members = g_ptr_array_new_with_free_func (destroy_member);
  table->by_name = g_hash_table_new (g_str_hash, g_str_equal);
  table->marks
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return table;
}

/* Frees TABLE; NULL is allowed.  */
void
mbr_destroy (struct mbr_table *table)
{
  if (table == NULL)
    {
      return;
    }
  g_hash_table_destroy (table->by_name);
  g_hash_table_destroy (table->marks);
  g_ptr_array_free (table->members, TRUE);
  g_free (table);
}

/* Returns the member NAME, or NULL.  */
struct mbr_member *
mbr_find (const struct mbr_table *table, const char *name)
{
  return g_hash_table_lookup (table->by_name, name);
}

/* Returns whether MEMBER is alive or suspect and thus counts as part of the
   fleet.  */
bool
mbr_is_active (const struct mbr_member *member)
{
  return member->state == MBR_ALIVE || member->state == MBR_SUSPECT;
}

/* Returns the digest of MEMBER, 0 for an inactive one.  Inactive members must
   not count, as daemons remove them at different times.  */
static uint64_t
member_digest (const struct mbr_member *member)
{
  if (!mbr_is_active (member))
    {
      return 0;
    }
  const uint64_t words[]
      = { member->incarnation, member->config_version, member->revision };
  const uint64_t seed = XXH3_64bits (member->name, strlen (member->name));
  return XXH3_64bits_withSeed (words, sizeof words, seed);
}

/* Returns the digest of MARK, 0 for a withdrawn one.  Withdrawn marks must not
   count, as daemons remove them at different times.  */
static uint64_t
mark_digest (const struct lv_mark *mark)
{
  if (!mark->leaving)
    {
      return 0;
    }
  const uint64_t words[] = { (uint64_t)mark->cause, mark->order };
  const uint64_t seed = XXH3_64bits (mark->host, strlen (mark->host));
  return XXH3_64bits_withSeed (words, sizeof words, seed);
}

/* Removes MEMBER from TABLE's digest and counts, before MEMBER changes.  */
static void
remove_from_totals (struct mbr_table *table, const struct mbr_member *member)
{
  table->digest ^= member_digest (member);
  table->count -= mbr_is_active (member);
  table->suspects -= member->state == MBR_SUSPECT;
}

/* Adds MEMBER to TABLE's digest and counts, after MEMBER has changed.  */
static void
add_to_totals (struct mbr_table *table, const struct mbr_member *member)
{
  table->digest ^= member_digest (member);
  table->count += mbr_is_active (member);
  table->suspects += member->state == MBR_SUSPECT;
}

/* Sets the state of MEMBER.  */
void
mbr_set_state (struct mbr_table *table, struct mbr_member *member,
               enum mbr_state state, int64_t now_us)
{
  remove_from_totals (table, member);
  member->state = state;
  member->changed_at_us = now_us;
  add_to_totals (table, member);
}

/* Sets what MEMBER reports of itself.  Only for the daemon's own member.  */
void
mbr_set_attributes (struct mbr_table *table, struct mbr_member *member,
                    bool ready, bool reaches_log, uint64_t config_version)
{
  remove_from_totals (table, member);
  member->ready = ready;
  member->reaches_log = reaches_log;
  member->config_version = config_version;
  member->revision += 1;
  add_to_totals (table, member);
}

/* Sets a higher incarnation of MEMBER.  Only for the daemon's own member.  */
void
mbr_set_incarnation (struct mbr_table *table, struct mbr_member *member,
                     uint64_t incarnation)
{
  remove_from_totals (table, member);
  member->incarnation = incarnation;
  member->revision = 0;
  add_to_totals (table, member);
}

/* Returns the precedence of STATE among updates of the same incarnation; the
   highest one wins.  */
static int
state_precedence (enum mbr_state state)
{
  static const int precedence[]
      = { [MBR_ALIVE] = 0, [MBR_SUSPECT] = 1, [MBR_DEAD] = 2, [MBR_LEFT] = 3 };
  return precedence[state];
}

/* Takes over what the member reports of itself if UPDATE has a newer revision
   of the same incarnation.  */
static enum mbr_change
merge_attributes (struct mbr_table *table, struct mbr_member *member,
                  const Peer__Member *update)
{
  if (update->incarnation != member->incarnation
      || update->revision <= member->revision)
    {
      return MBR_UNCHANGED;
    }
  const bool ready_changed = member->ready != update->ready
                             || member->reaches_log != update->reaches_log;
  remove_from_totals (table, member);
  member->ready = update->ready;
  member->reaches_log = update->reaches_log;
  member->config_version = update->config_version;
  member->revision = update->revision;
  add_to_totals (table, member);
  return ready_changed ? MBR_READINESS_CHANGED : MBR_VERSION_CHANGED;
}

/* Replaces *TEXT by REPLACEMENT unless that is empty.  */
static void
replace_text (char **text, const char *replacement)
{
  if (replacement[0] != '\0' && strcmp (*text, replacement) != 0)
    {
      g_free (*text);
      *text = g_strdup (replacement);
    }
}

/* Returns whether UPDATE is acceptable: a name, no string too long, and a
   known state.  */
static bool
is_valid (const Peer__Member *update)
{
  return update->name[0] != '\0' && strlen (update->name) < CFG_NAME_BYTES
         && strlen (update->address) < CFG_ADDRESS_BYTES
         && strlen (update->data_centre) < CFG_NAME_BYTES
         && (int)update->state >= MBR_ALIVE && (int)update->state <= MBR_LEFT;
}

/* Adds the member that UPDATE describes.  Returns NULL when UPDATE has no
   address, the table is full, or the member is dead or has left.  Inactive
   members are not added, or daemons that remove them at different times would
   pass them on for ever.  */
static struct mbr_member *
add_member (struct mbr_table *table, const Peer__Member *update,
            int64_t now_us)
{
  if (update->address[0] == '\0' || table->members->len >= MEMBERS_MAX
      || update->state > PEER__MEMBER_STATE__SUSPECT)
    {
      return NULL;
    }
  struct mbr_member *member = g_new0 (struct mbr_member, 1);
  *member = (struct mbr_member){
    .name = g_strdup (update->name),
    .address = g_strdup (update->address),
    .data_centre = g_strdup (update->data_centre),
    .incarnation = update->incarnation,
    .config_version = update->config_version,
    .revision = update->revision,
    .state = (enum mbr_state)update->state,
    .ready = update->ready,
    .reaches_log = update->reaches_log,
    .changed_at_us = now_us,
  };
  g_ptr_array_add (table->members, member);
  g_hash_table_insert (table->by_name, member->name, member);
  add_to_totals (table, member);
  return member;
}

/* Takes over a new incarnation of the member KNOWN.  The new process may have
   another address, so an update without an address is ignored; one with the
   address follows.  */
static enum mbr_change
merge_incarnation (struct mbr_table *table, struct mbr_member *known,
                   const Peer__Member *update, int64_t now_us)
{
  if (update->address[0] == '\0')
    {
      return MBR_UNCHANGED;
    }
  remove_from_totals (table, known);
  known->incarnation = update->incarnation;
  known->revision = update->revision;
  known->ready = update->ready;
  known->reaches_log = update->reaches_log;
  known->config_version = update->config_version;
  replace_text (&known->address, update->address);
  replace_text (&known->data_centre, update->data_centre);
  add_to_totals (table, known);
  mbr_set_state (table, known, (enum mbr_state)update->state, now_us);
  return MBR_STATE_CHANGED;
}

/* Merges UPDATE, another daemon's view of one member.  A higher incarnation
   overrides a lower one; within an incarnation, left overrides dead, dead
   overrides suspect, and suspect overrides alive.  What a member reports of
   itself is ordered by revision within an incarnation.  Sets MEMBER to the
   member, or to NULL when UPDATE is invalid or add_member rejects it.  Returns
   what has changed.  */
enum mbr_change
mbr_merge (struct mbr_table *table, const Peer__Member *update, int64_t now_us,
           struct mbr_member **member)
{
  *member = NULL;
  if (!is_valid (update))
    {
      return MBR_UNCHANGED;
    }
  *member = mbr_find (table, update->name);
  if (*member == NULL)
    {
      *member = add_member (table, update, now_us);
      return *member != NULL ? MBR_STATE_CHANGED : MBR_UNCHANGED;
    }
  struct mbr_member *known = *member;
  const enum mbr_state state = (enum mbr_state)update->state;
  if (update->incarnation < known->incarnation)
    {
      return MBR_UNCHANGED;
    }
  if (update->incarnation > known->incarnation)
    {
      return merge_incarnation (table, known, update, now_us);
    }
  const enum mbr_change attribute_change
      = merge_attributes (table, known, update);
  if (state_precedence (state) <= state_precedence (known->state))
    {
      return attribute_change;
    }
  mbr_set_state (table, known, state, now_us);
  return MBR_STATE_CHANGED;
}

/* Removes members that have been dead or left, and marks that have been
   withdrawn, since before BEFORE_US.  */
void
mbr_remove_expired (struct mbr_table *table, int64_t before_us)
{
  for (guint i = table->members->len; i-- > 0;)
    {
      struct mbr_member *member = g_ptr_array_index (table->members, i);
      if (!mbr_is_active (member) && member->changed_at_us < before_us)
        {
          table->pending -= member->gossip.sends_left > 0;
          g_hash_table_remove (table->by_name, member->name);
          g_ptr_array_remove_index_fast (table->members, i);
        }
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->marks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct mbr_mark *mark = value;
      if (!mark->mark.leaving && mark->changed_at_us < before_us)
        {
          table->pending -= mark->gossip.sends_left > 0;
          g_hash_table_iter_remove (&iter);
        }
    }
}

/* Stores MARK when it is newer than the stored mark of the same endpoint and
   cause.  Returns the stored mark, or NULL when MARK is not newer or the table
   is full.  */
struct mbr_mark *
mbr_merge_mark (struct mbr_table *table, const struct lv_mark *mark,
                int64_t now_us)
{
  char *key = g_strdup_printf ("%u %s", (unsigned)mark->cause, mark->host);
  struct mbr_mark *known = g_hash_table_lookup (table->marks, key);
  if (known == NULL && g_hash_table_size (table->marks) < MARKS_MAX)
    {
      known = g_new0 (struct mbr_mark, 1);
      g_hash_table_insert (table->marks, key, known);
      key = NULL;
    }
  else if (known != NULL && lv_mark_is_newer (mark, &known->mark))
    {
      table->digest ^= mark_digest (&known->mark);
    }
  else
    {
      known = NULL;
    }
  g_free (key);
  if (known != NULL)
    {
      known->mark = *mark;
      known->changed_at_us = now_us;
      table->digest ^= mark_digest (mark);
    }
  return known;
}

/* Returns MEMBER as a message, to be freed together with the message that
   contains it.  WITH_ADDRESS includes the address and data centre, which only
   receivers that do not know the member need.  */
Peer__Member *
mbr_member_to_message (const struct mbr_member *member, bool with_address)
{
  Peer__Member *message = g_new (Peer__Member, 1);
  peer__member__init (message);
  message->name = g_strdup (member->name);
  if (with_address)
    {
      message->address = g_strdup (member->address);
      message->data_centre = g_strdup (member->data_centre);
    }
  message->incarnation = member->incarnation;
  message->revision = member->revision;
  message->state = (Peer__MemberState)member->state;
  message->ready = member->ready;
  message->reaches_log = member->reaches_log;
  message->config_version = member->config_version;
  return message;
}

/* Returns MARK as a message, to be freed together with the message that
   contains it.  */
Peer__Mark *
mbr_mark_to_message (const struct lv_mark *mark)
{
  Peer__Mark *message = g_new (Peer__Mark, 1);
  peer__mark__init (message);
  message->host = g_strdup (mark->host);
  message->cause = mark->cause;
  message->order = mark->order;
  message->incarnation = mark->incarnation;
  message->leaving = mark->leaving;
  return message;
}

/* Converts MESSAGE to MARK.  Returns false when the host name is empty or too
   long, or when the cause is unknown, as a later version may send it.  */
bool
mbr_mark_from_message (const Peer__Mark *message, struct lv_mark *mark)
{
  if (message->cause >= LV_CAUSE_COUNT || message->host[0] == '\0'
      || strlen (message->host) >= sizeof mark->host)
    {
      return false;
    }
  *mark = (struct lv_mark){ .cause = (enum lv_cause)message->cause,
                            .order = message->order,
                            .incarnation = message->incarnation,
                            .leaving = message->leaving };
  g_strlcpy (mark->host, message->host, sizeof mark->host);
  return true;
}
