#include "core/keytable.h"

#include <string.h>

#define ACCOUNT_CHUNK_BYTES 1024
#define UUID_CHARS 36
#define UUID_VERSION_AT 14 /* index of the version digit */

/* A released claim.  It may come later in the log than its release. */
struct released_claim
{
  uint64_t incarnation;
  uint64_t nonce;
  int64_t time_us; /* log time of the release */
};

struct key_table
{
  GHashTable *keys; /* key_join () to struct key_state, which owns it */
  GStringChunk *accounts;
  GHashTable *released; /* set of struct released_claim */
  int64_t key_retention_us;
  uint32_t conflicts; /* outcomes of claims that no longer held the key */
};

/* Returns a string that is unique for ACCOUNT and KEY, since account names
   contain no newline.  The caller frees it with g_free ().  */
char *
key_join (const char *account, const char *key)
{
  return g_strconcat (account, "\n", key, NULL);
}

static void
destroy_state (gpointer data)
{
  struct key_state *state = data;
  g_free (state->joined);
  g_bytes_unref (state->body);
  g_free (state);
}

static guint
hash_released (gconstpointer data)
{
  const struct released_claim *claim = data;
  uint64_t mix = claim->incarnation ^ (claim->nonce * 0x9E3779B97F4A7C15u);
  return (guint)(mix ^ (mix >> 32));
}

static gboolean
equal_released (gconstpointer left, gconstpointer right)
{
  const struct released_claim *a = left;
  const struct released_claim *b = right;
  return a->incarnation == b->incarnation && a->nonce == b->nonce;
}

/* Creates an empty table.  Keys that are done or released expire once
   KEY_RETENTION_US of log time have passed since they got that state.  */
struct key_table *
key_table_create (int64_t key_retention_us)
{
  struct key_table *table = g_new0 (struct key_table, 1);
  table->keys
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_state);
  table->accounts = g_string_chunk_new (ACCOUNT_CHUNK_BYTES);
  table->released
      = g_hash_table_new_full (hash_released, equal_released, g_free, NULL);
  table->key_retention_us = key_retention_us;
  return table;
}

/* Frees TABLE; NULL is allowed.  */
void
key_table_destroy (struct key_table *table)
{
  if (table == NULL)
    {
      return;
    }
  g_hash_table_destroy (table->keys);
  g_hash_table_destroy (table->released);
  g_string_chunk_free (table->accounts);
  g_free (table);
}

/* Returns whether STATE is open: claimed, or unknown whether the call ran.  */
bool
key_state_open (const struct key_state *state)
{
  return state->state == REC_STATE_CLAIMED
         || state->state == REC_STATE_UNKNOWN;
}

/* Returns whether STATE has expired at the log time TIME_US.  Open keys never
   expire.  */
static bool
expired (const struct key_table *table, const struct key_state *state,
         int64_t time_us)
{
  return !key_state_open (state)
         && state->refreshed_us + table->key_retention_us < time_us;
}

static struct key_state *
find_state (const struct key_table *table, const char *account,
            const char *key, int64_t time_us)
{
  char *joined = key_join (account, key);
  struct key_state *state = g_hash_table_lookup (table->keys, joined);
  g_free (joined);
  if (state != NULL && expired (table, state, time_us))
    {
      return NULL;
    }
  return state;
}

/* Returns the state of a key, or NULL if it is not in the table or has expired
   at the log time TIME_US.  The result is valid until the table changes.  */
const struct key_state *
key_table_find (const struct key_table *table, const char *account,
                const char *key, int64_t time_us)
{
  return find_state (table, account, key, time_us);
}

static void
set_answer (struct key_state *state, const struct rec_entry *entry)
{
  state->status = entry->status;
  state->body_omitted = entry->body_omitted;
  g_bytes_unref (state->body);
  state->body = entry->body == NULL ? NULL : g_bytes_ref (entry->body);
}

/* Replaces the state of ENTRY's key by one with the state VALUE.  */
static void
replace_state (struct key_table *table, const struct rec_entry *entry,
               enum rec_state value, int64_t claimed_us, int64_t time_us)
{
  struct key_state *state = g_new0 (struct key_state, 1);
  state->joined = key_join (entry->account, entry->key);
  state->account
      = g_string_chunk_insert_const (table->accounts, entry->account);
  state->key = state->joined + strlen (entry->account) + 1;
  state->body_hash = entry->body_hash;
  state->generation = entry->generation;
  state->incarnation = entry->incarnation;
  state->nonce = entry->nonce;
  state->state = value;
  state->claimed_us = claimed_us;
  state->refreshed_us = time_us;
  if (value == REC_STATE_DONE)
    {
      set_answer (state, entry);
    }
  g_hash_table_replace (table->keys, state->joined, state);
}

static bool
same_claim (const struct key_state *state, const struct rec_entry *entry)
{
  return state->incarnation == entry->incarnation
         && state->nonce == entry->nonce;
}

/* Applies a claim: the first one for a key wins, and after a release the first
   one of the next generation.  */
static enum key_result
apply_claim (struct key_table *table, struct key_state *state,
             const struct rec_entry *entry, int64_t time_us)
{
  struct released_claim claim
      = { .incarnation = entry->incarnation, .nonce = entry->nonce };
  if (g_hash_table_contains (table->released, &claim))
    {
      return KEY_LOST;
    }
  bool wins = state == NULL
              || (state->state == REC_STATE_RELEASED
                  && entry->generation == state->generation + 1);
  if (!wins)
    {
      return KEY_LOST;
    }
  replace_state (table, entry, REC_STATE_CLAIMED, time_us, time_us);
  return KEY_WON;
}

/* Applies a release: it ends its own claim only, also when that claim comes
   later in the log.  */
static enum key_result
apply_release (struct key_table *table, struct key_state *state,
               const struct rec_entry *entry, int64_t time_us)
{
  struct released_claim *claim = g_new0 (struct released_claim, 1);
  claim->incarnation = entry->incarnation;
  claim->nonce = entry->nonce;
  claim->time_us = time_us;
  g_hash_table_replace (table->released, claim, claim);
  if (state == NULL || !same_claim (state, entry) || !key_state_open (state))
    {
      return KEY_IGNORED;
    }
  state->state = REC_STATE_RELEASED;
  state->refreshed_us = time_us;
  return KEY_CHANGED;
}

/* Applies an outcome or unknown of the claim's holder, or a settlement by an
   operator.  Only an open key changes, except that an outcome also overrides a
   settlement as not run.  */
static enum key_result
apply_resolution (struct key_table *table, struct key_state *state,
                  const struct rec_entry *entry, enum rec_state value,
                  int64_t time_us)
{
  if (state == NULL)
    {
      int64_t claimed_us = entry->claimed_us > 0 ? entry->claimed_us : time_us;
      replace_state (table, entry, value, claimed_us, time_us);
      return KEY_CHANGED;
    }
  if (!same_claim (state, entry))
    {
      table->conflicts += entry->kind == REC_OUTCOME ? 1 : 0;
      return KEY_IGNORED;
    }
  bool overrides_release
      = entry->kind == REC_OUTCOME && state->state == REC_STATE_RELEASED;
  table->conflicts += overrides_release ? 1 : 0;
  if (!key_state_open (state) && !overrides_release)
    {
      return KEY_IGNORED;
    }
  if (value == REC_STATE_DONE)
    {
      set_answer (state, entry);
    }
  state->state = value;
  state->refreshed_us = time_us;
  return KEY_CHANGED;
}

/* Applies a refresh: it adds a key that is not in the table.  For a known key
   it only renews the time of the same state of the same claim.  */
static enum key_result
apply_refresh (struct key_table *table, struct key_state *state,
               const struct rec_entry *entry, int64_t time_us)
{
  if (state == NULL)
    {
      replace_state (table, entry, entry->state, entry->claimed_us, time_us);
      return KEY_CHANGED;
    }
  if (same_claim (state, entry) && entry->state == state->state)
    {
      state->refreshed_us = time_us;
    }
  return KEY_IGNORED;
}

/* Applies ENTRY of a record with the log time TIME_US and returns its effect.
   Entries have to be applied in log order.  */
enum key_result
key_table_apply (struct key_table *table, const struct rec_entry *entry,
                 int64_t time_us)
{
  struct key_state *state
      = find_state (table, entry->account, entry->key, time_us);
  switch (entry->kind)
    {
    case REC_CLAIM:
      return apply_claim (table, state, entry, time_us);
    case REC_RELEASE:
      return apply_release (table, state, entry, time_us);
    case REC_OUTCOME:
      return apply_resolution (table, state, entry, REC_STATE_DONE, time_us);
    case REC_UNKNOWN:
      return apply_resolution (table, state, entry, REC_STATE_UNKNOWN,
                               time_us);
    case REC_SETTLE:
      return apply_resolution (table, state, entry, entry->state, time_us);
    case REC_REFRESH:
      return apply_refresh (table, state, entry, time_us);
    case REC_NOOP:
    case REC_NONE:
      break;
    }
  return KEY_IGNORED;
}

/* Removes the keys and releases that have expired at the log time TIME_US.  */
void
key_table_sweep (struct key_table *table, int64_t time_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (expired (table, value, time_us))
        {
          g_hash_table_iter_remove (&iter);
        }
    }
  g_hash_table_iter_init (&iter, table->released);
  while (g_hash_table_iter_next (&iter, &value, NULL))
    {
      const struct released_claim *claim = value;
      if (claim->time_us + table->key_retention_us < time_us)
        {
          g_hash_table_iter_remove (&iter);
        }
    }
}

/* Calls VISIT for every key, in no particular order.  */
void
key_table_foreach (const struct key_table *table,
                   void (*visit) (const struct key_state *state,
                                  void *user_data),
                   void *user_data)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table->keys);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      visit (value, user_data);
    }
}

/* Returns the number of keys, including expired ones that no sweep has removed
   yet.  */
uint32_t
key_table_size (const struct key_table *table)
{
  return g_hash_table_size (table->keys);
}

/* Returns how many outcomes were applied whose claim no longer held the key,
   since it had been released or settled as not run.  */
uint32_t
key_table_conflicts (const struct key_table *table)
{
  return table->conflicts;
}

/* Returns the creation time of KEY in microseconds since 1970 if KEY is a UUID
   of version 7, else -1.  */
int64_t
key_uuid_time_us (const char *key)
{
  if (strlen (key) != UUID_CHARS || key[UUID_VERSION_AT] != '7'
      || key[8] != '-' || key[13] != '-')
    {
      return -1;
    }
  int64_t ms = 0;
  for (uint32_t i = 0; i < 13; i++)
    {
      if (i == 8)
        {
          continue;
        }
      int digit = g_ascii_xdigit_value (key[i]);
      if (digit < 0)
        {
          return -1;
        }
      ms = ms * 16 + digit;
    }
  return ms * 1000;
}
