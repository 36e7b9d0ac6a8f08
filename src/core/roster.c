#include "core/roster.h"

#include <string.h>

/* How long the list may take to name living endpoints again after an outage;
   the platform states two seconds. */
#define RETURN_GRACE_US (2300 * INT64_C (1000))

struct entry
{
  struct rst_endpoint *endpoint; /* NULL: known to be gone */
  uint64_t offset;               /* of the newest record about it */
  int64_t gone_at_us;            /* when it stops being used; 0: not set */
  bool named;                    /* seen in the full reading under way */
};

struct rst
{
  GHashTable *entries; /* id to struct entry */
  bool in_outage;      /* the list can't be read now */
  int64_t regained_us; /* end of the latest outage; 0: none */
};

static void
destroy_entry (gpointer data)
{
  struct entry *entry = data;
  rst_endpoint_destroy (entry->endpoint);
  g_free (entry);
}

/* Creates an empty roster.  */
struct rst *
rst_create (void)
{
  struct rst *roster = g_new0 (struct rst, 1);
  roster->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, destroy_entry);
  return roster;
}

/* Frees ROSTER and its endpoints.  */
void
rst_destroy (struct rst *roster)
{
  if (roster != NULL)
    {
      g_hash_table_destroy (roster->entries);
      g_free (roster);
    }
}

/* Frees ENDPOINT and its strings.  */
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

/* Returns a copy of ENDPOINT.  */
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

/* Returns the entry of ID, made at need.  */
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

/* Returns true when routing sees no difference between A and B.  */
static bool
same (const struct rst_endpoint *a, const struct rst_endpoint *b)
{
  return a != NULL && strcmp (a->service, b->service) == 0
         && strcmp (a->address, b->address) == 0
         && strcmp (a->data_centre, b->data_centre) == 0
         && g_strcmp0 (a->kind, b->kind) == 0 && a->slots == b->slots
         && a->leaving == b->leaving && a->born_ms == b->born_ms
         && a->busy == b->busy && a->layers.first == b->layers.first
         && a->layers.end == b->layers.end;
}

/* Takes what ENDPOINT, owned from now on, says of itself in the record at
   OFFSET.  Records older than the newest one about it change nothing.
   Returns true when routing may change.  */
bool
rst_take (struct rst *roster, struct rst_endpoint *endpoint, uint64_t offset)
{
  struct entry *entry = find_or_add (roster, endpoint->id);
  entry->named = true;
  if (entry->offset > offset)
    {
      rst_endpoint_destroy (endpoint);
      return false;
    }
  /* A leaving endpoint of one incarnation never comes back. */
  if (entry->endpoint != NULL && entry->endpoint->leaving
      && entry->endpoint->born_ms == endpoint->born_ms)
    {
      endpoint->leaving = true;
    }
  bool changed = !same (entry->endpoint, endpoint) || entry->gone_at_us != 0;
  rst_endpoint_destroy (entry->endpoint);
  entry->endpoint = endpoint;
  entry->offset = offset;
  entry->gone_at_us = 0;
  return changed;
}

/* Ends the use of ENTRY, at once or, near an outage, when the list had time to
   name it again.  Returns true when it ended.  */
static bool
end_use (struct rst *roster, struct entry *entry, int64_t now_us)
{
  if (entry->endpoint == NULL)
    {
      return false;
    }
  int64_t grace_end_us = roster->regained_us + RETURN_GRACE_US;
  if (!entry->endpoint->leaving && roster->regained_us != 0
      && now_us < grace_end_us)
    {
      entry->gone_at_us = grace_end_us;
      return false;
    }
  rst_endpoint_destroy (entry->endpoint);
  entry->endpoint = NULL;
  entry->gone_at_us = 0;
  return true;
}

/* Takes the removal of ID by the record at OFFSET.  Returns true when routing
   changes now; rst_tick tells of removals that wait.  */
bool
rst_remove (struct rst *roster, const char *id, uint64_t offset,
            int64_t now_us)
{
  struct entry *entry = find_or_add (roster, id);
  if (entry->offset > offset)
    {
      return false;
    }
  entry->offset = offset;
  return end_use (roster, entry, now_us);
}

/* Begins a reading of the whole list.  */
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

/* Ends a reading of the whole list, which began when the list ended at
   OFFSET: what it didn't name is gone.  Returns true when routing changes.  */
bool
rst_end_full (struct rst *roster, uint64_t offset, int64_t now_us)
{
  bool changed = false;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, roster->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry *entry = value;
      if (!entry->named && entry->offset < offset)
        {
          changed |= end_use (roster, entry, now_us);
        }
    }
  return changed;
}

/* Notes that the list can't be read.  */
void
rst_outage (struct rst *roster)
{
  roster->in_outage = true;
}

/* Notes that the list was read.  The first reading after an outage starts the
   time in which endpoints may be named again.  */
void
rst_contact (struct rst *roster, int64_t now_us)
{
  if (roster->in_outage)
    {
      roster->in_outage = false;
      roster->regained_us = now_us;
    }
}

/* Ends the use of endpoints whose time to be named again is over.  Returns
   true when routing changes.  */
bool
rst_tick (struct rst *roster, int64_t now_us)
{
  bool changed = false;
  if (roster->in_outage)
    {
      return false;
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, roster->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct entry *entry = value;
      if (entry->gone_at_us != 0 && now_us >= entry->gone_at_us)
        {
          rst_endpoint_destroy (entry->endpoint);
          entry->endpoint = NULL;
          entry->gone_at_us = 0;
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

/* Returns copies of all endpoints that aren't gone, sorted by id; the array
   owns them.  */
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
