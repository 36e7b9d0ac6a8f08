#include "core/roster.h"

#include "core/era.h"

#include <string.h>

/* Time after the end of an outage in which removals are delayed, unless its
   end may have been noticed too late for that. */
#define RELIST_GRACE_US (RST_RELIST_US + RST_RELIST_MARGIN_US)

/* What is known of one endpoint id.  The entry of a removed endpoint is kept,
   so that older records about it are recognised. */
struct entry
{
  struct rst_endpoint *endpoint; /* NULL: removed */
  struct era_position position;  /* of the newest record about it */
  bool gone;                     /* was removed, and wasn't named since by a
                                    record that counts */
  uint64_t gone_era;             /* in which it was removed */
  int64_t started_ms;            /* of its newest incarnation that is known */
  uint64_t sequence;             /* highest one of that incarnation */
  int64_t expires_at_us;         /* time of its removal; 0: not due */
  bool named;                    /* by the full read in progress */
};

struct rst
{
  GHashTable *entries;  /* id to struct entry */
  int64_t settle_us;    /* see rst_create */
  bool in_outage;       /* the list can't be read now */
  int64_t away_us;      /* newest time at which it is known that the list was
                           out of reach; 0: never */
  int64_t proved_us;    /* newest proof of the list; 0: none */
  int64_t recovered_us; /* end of the latest outage; 0: none */
  uint64_t era;         /* of the list */
  int64_t restored_us;  /* when that era was first seen */
  bool copy_read;       /* a full read of the list in that era has ended */
};

static void
destroy_entry (gpointer data)
{
  struct entry *entry = data;
  rst_endpoint_destroy (entry->endpoint);
  g_free (entry);
}

/* Returns an empty roster.  SETTLE_US is the time after the end of an outage
   within which removals must be in effect, in microseconds.  The caller frees
   the roster with rst_destroy.  */
struct rst *
rst_create (int64_t settle_us)
{
  struct rst *roster = g_new0 (struct rst, 1);
  roster->settle_us = settle_us;
  roster->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, destroy_entry);
  return roster;
}

/* Frees ROSTER, which may be NULL, and its endpoints.  */
void
rst_destroy (struct rst *roster)
{
  if (roster != NULL)
    {
      g_hash_table_destroy (roster->entries);
      g_free (roster);
    }
}

/* Frees ENDPOINT, which may be NULL, and its strings.  */
void
rst_endpoint_destroy (struct rst_endpoint *endpoint)
{
  if (endpoint == NULL)
    {
      return;
    }
  g_free (endpoint->id);
  g_free (endpoint->service);
  g_free (endpoint->address);
  g_free (endpoint->data_centre);
  g_free (endpoint->kind);
  g_free (endpoint);
}

/* Returns a copy of ENDPOINT and its strings.  The caller frees it with
   rst_endpoint_destroy.  */
struct rst_endpoint *
rst_endpoint_copy (const struct rst_endpoint *endpoint)
{
  struct rst_endpoint *copy = g_memdup2 (endpoint, sizeof *endpoint);
  copy->id = g_strdup (endpoint->id);
  copy->service = g_strdup (endpoint->service);
  copy->address = g_strdup (endpoint->address);
  copy->data_centre = g_strdup (endpoint->data_centre);
  copy->kind = g_strdup (endpoint->kind);
  return copy;
}

/* Returns the entry of ID, which is created if it does not exist.  */
static struct entry *
find_or_add (struct rst *roster, const char *id)
{
  struct entry *entry = g_hash_table_lookup (roster->entries, id);
  if (entry == NULL)
    {
      entry = g_new0 (struct entry, 1);
      g_hash_table_insert (roster->entries, g_strdup (id), entry);
    }
  return entry;
}

/* Returns whether A and B are the same for routing.  A may be NULL, which
   differs from any B.  */
static bool
is_same (const struct rst_endpoint *a, const struct rst_endpoint *b)
{
  return a != NULL && strcmp (a->service, b->service) == 0
         && strcmp (a->address, b->address) == 0
         && strcmp (a->data_centre, b->data_centre) == 0
         && g_strcmp0 (a->kind, b->kind) == 0 && a->slots == b->slots
         && a->leaving == b->leaving && a->started_ms == b->started_ms
         && a->busy == b->busy && a->layers.first == b->layers.first
         && a->layers.end == b->layers.end;
}

/* Records at NOW_US that the list was restored from an older copy and that
   later records are of ERA.  It had an outage, even if that wasn't seen, which
   may have ended right after the newest proof.  */
void
rst_restored (struct rst *roster, uint64_t era, int64_t now_us)
{
  roster->era = era;
  roster->restored_us = now_us;
  roster->copy_read = false;
  rst_outage (roster, roster->proved_us);
  rst_list_read (roster, 0, now_us);
}

/* Records what ENDPOINT shows of its incarnation.  */
static void
record_incarnation (struct entry *entry, const struct rst_endpoint *endpoint)
{
  bool same = entry->started_ms == endpoint->started_ms;
  entry->sequence
      = same ? MAX (entry->sequence, endpoint->sequence) : endpoint->sequence;
  entry->started_ms = endpoint->started_ms;
}

/* True when ENDPOINT, a record of the list at POSITION, read at NOW_US, shows
   that the endpoint of ENTRY still runs, although it was removed in an earlier
   era.  */
static bool
shows_life (const struct rst *roster, const struct entry *entry,
            const struct rst_endpoint *endpoint, struct era_position position,
            int64_t now_us)
{
  if (endpoint->started_ms != entry->started_ms)
    {
      return endpoint->started_ms > entry->started_ms;
    }
  if (endpoint->sequence != entry->sequence && endpoint->sequence != 0)
    {
      return endpoint->sequence > entry->sequence;
    }
  return roster->copy_read && era_is_before (entry->position, position)
         && now_us - roster->restored_us >= RELIST_GRACE_US;
}

/* True when ENDPOINT describes an earlier state than the one that is known of
   it from an earlier era.  */
static bool
is_outdated (const struct entry *entry, const struct rst_endpoint *endpoint)
{
  if (endpoint->started_ms != entry->started_ms)
    {
      return endpoint->started_ms != 0
             && endpoint->started_ms < entry->started_ms;
    }
  return endpoint->sequence != 0 && endpoint->sequence < entry->sequence;
}

/* Replaces what is known of an endpoint by ENDPOINT, which comes from the
   record at OFFSET.  Takes ownership of ENDPOINT, and ignores the record if a
   newer one about the endpoint was taken before, or if it comes from an older
   copy of the list.  Returns true when routing may change.  */
bool
rst_update (struct rst *roster, struct rst_endpoint *endpoint, uint64_t offset,
            int64_t now_us)
{
  const struct era_position position = { roster->era, offset };
  struct entry *entry = find_or_add (roster, endpoint->id);
  entry->named = true;
  if (era_is_before (position, entry->position))
    {
      rst_endpoint_destroy (endpoint);
      return false;
    }
  bool restored = roster->restored_us != 0;
  bool stays_gone = restored && entry->gone && entry->gone_era < roster->era
                    && !shows_life (roster, entry, endpoint, position, now_us);
  entry->position = position;
  if (stays_gone)
    {
      rst_endpoint_destroy (endpoint);
      return false;
    }
  if (restored && entry->endpoint != NULL && is_outdated (entry, endpoint))
    {
      rst_endpoint_destroy (endpoint);
      bool was_due = entry->expires_at_us != 0;
      entry->expires_at_us = 0;
      return was_due;
    }
  /* An incarnation that has started to leave never gets requests again. */
  if (entry->endpoint != NULL && entry->endpoint->leaving
      && entry->endpoint->started_ms == endpoint->started_ms)
    {
      endpoint->leaving = true;
    }
  bool changed
      = !is_same (entry->endpoint, endpoint) || entry->expires_at_us != 0;
  rst_endpoint_destroy (entry->endpoint);
  record_incarnation (entry, endpoint);
  entry->endpoint = endpoint;
  entry->gone = false;
  entry->expires_at_us = 0;
  return changed;
}

/* True when the endpoint ID was removed and hasn't shown since that it
   runs.  */
bool
rst_is_gone (struct rst *roster, const char *id)
{
  const struct entry *entry = g_hash_table_lookup (roster->entries, id);
  return entry != NULL && entry->gone;
}

/* Removes the endpoint of ENTRY at once.  */
static void
drop_endpoint (const struct rst *roster, struct entry *entry)
{
  rst_endpoint_destroy (entry->endpoint);
  entry->endpoint = NULL;
  entry->gone = true;
  entry->gone_era = roster->era;
  entry->expires_at_us = 0;
}

/* Returns until when removals are delayed after the latest outage; 0: there
   was none.  */
static int64_t
grace_end_us (const struct rst *roster)
{
  if (roster->recovered_us == 0)
    {
      return 0;
    }
  int64_t limit_us
      = MAX (roster->settle_us - RST_REMOVAL_MARGIN_US, INT64_C (0));
  return MIN (roster->recovered_us + RELIST_GRACE_US,
              roster->away_us + limit_us);
}

/* Removes the endpoint of ENTRY.  Shortly after an outage, only schedules the
   removal, unless the endpoint is leaving.  Returns true when the endpoint was
   removed now.  */
static bool
remove_endpoint (struct rst *roster, struct entry *entry, int64_t now_us)
{
  if (entry->endpoint == NULL)
    {
      return false;
    }
  int64_t removed_us = grace_end_us (roster);
  if (!entry->endpoint->leaving && now_us < removed_us)
    {
      entry->expires_at_us = removed_us;
      return false;
    }
  drop_endpoint (roster, entry);
  return true;
}

/* Handles the record at OFFSET that removes the endpoint ID.  Ignores the
   record if a newer one about the endpoint was taken before.  Returns true
   when routing changes now; rst_expire reports removals that are delayed.  */
bool
rst_remove (struct rst *roster, const char *id, uint64_t offset,
            int64_t now_us)
{
  struct entry *entry = find_or_add (roster, id);
  const struct era_position position = { roster->era, offset };
  if (era_is_before (position, entry->position))
    {
      return false;
    }
  entry->position = position;
  return remove_endpoint (roster, entry, now_us);
}

/* Begins a full read of the list.  */
void
rst_begin_full (struct rst *roster)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, roster->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ((struct entry *)value)->named = false;
    }
}

/* Ends a full read of the list, which began when the list ended at OFFSET:
   removes the endpoints that the read did not name and that have no newer
   record.  Returns true when routing changes now.  */
bool
rst_end_full (struct rst *roster, uint64_t offset, int64_t now_us)
{
  const struct era_position end = { roster->era, offset };
  bool changed = false;
  roster->copy_read = true;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, roster->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry *entry = value;
      if (!entry->named && era_is_before (entry->position, end))
        {
          changed |= remove_endpoint (roster, entry, now_us);
        }
    }
  return changed;
}

/* Records that the list can't be read and was out of reach at AWAY_US.  Until
   it can be read, no endpoint is removed by rst_expire.  */
void
rst_outage (struct rst *roster, int64_t away_us)
{
  roster->in_outage = true;
  roster->away_us = MAX (roster->away_us, away_us);
}

/* Records at NOW_US that the list was read, as it was at PROVED_US or later; 0
   if that isn't known.  The first read after an outage starts the time in
   which the list may name endpoints again, also those that an earlier outage
   has removed and whose time isn't over.  */
void
rst_list_read (struct rst *roster, int64_t proved_us, int64_t now_us)
{
  roster->proved_us = MAX (roster->proved_us, proved_us);
  if (!roster->in_outage)
    {
      return;
    }
  roster->in_outage = false;
  roster->recovered_us = now_us;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, roster->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry *entry = value;
      if (entry->expires_at_us != 0)
        {
          entry->expires_at_us = grace_end_us (roster);
        }
    }
}

/* Returns when the next delayed removal is due; INT64_MAX: there is none, or
   the list can't be read.  */
int64_t
rst_next_removal_us (const struct rst *roster)
{
  int64_t next_us = INT64_MAX;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, roster->entries);
  while (!roster->in_outage && g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *entry = value;
      if (entry->expires_at_us != 0)
        {
          next_us = MIN (next_us, entry->expires_at_us);
        }
    }
  return next_us;
}

/* Removes the endpoints whose delayed removal is due, if the newest proof of
   the list is at most PROOF_AGE_US older than the time of the removal.  Adds
   copies of their ids to REMOVED unless that is NULL.  Returns true when
   routing changes.  */
bool
rst_expire (struct rst *roster, int64_t now_us, int64_t proof_age_us,
            GPtrArray *removed)
{
  bool changed = false;
  if (roster->in_outage)
    {
      return false;
    }
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, roster->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct entry *entry = value;
      if (entry->expires_at_us != 0 && now_us >= entry->expires_at_us
          && roster->proved_us >= entry->expires_at_us - proof_age_us)
        {
          if (removed != NULL)
            {
              g_ptr_array_add (removed, g_strdup (key));
            }
          drop_endpoint (roster, entry);
          changed = true;
        }
    }
  return changed;
}

static gint
compare_ids (gconstpointer a, gconstpointer b)
{
  const struct rst_endpoint *const *left = a;
  const struct rst_endpoint *const *right = b;
  return strcmp ((*left)->id, (*right)->id);
}

/* Returns copies of all endpoints in use, sorted by id.  The caller frees the
   array, which owns the copies.  */
GPtrArray *
rst_list (struct rst *roster)
{
  GPtrArray *list
      = g_ptr_array_new_with_free_func ((GDestroyNotify)rst_endpoint_destroy);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, roster->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct entry *entry = value;
      if (entry->endpoint != NULL)
        {
          g_ptr_array_add (list, rst_endpoint_copy (entry->endpoint));
        }
    }
  g_ptr_array_sort (list, compare_ids);
  return list;
}
