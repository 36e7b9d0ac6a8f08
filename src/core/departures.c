#include "core/departures.h"

#include <glib.h>

/* What is known of one endpoint id. */
struct departure
{
  int64_t born_ms; /* start of its newest incarnation that leaves */
  uint64_t number; /* of its report; later reports have higher ones */
};

struct dep_set
{
  GHashTable *departures; /* endpoint id to struct departure */
  uint64_t count;         /* of reports that were new */
};

/* Returns an empty set.  The caller frees it with dep_destroy.  */
struct dep_set *
dep_create (void)
{
  struct dep_set *set = g_new0 (struct dep_set, 1);
  set->departures
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return set;
}

/* Frees SET.  */
void
dep_destroy (struct dep_set *set)
{
  g_hash_table_destroy (set->departures);
  g_free (set);
}

/* Removes the oldest report from SET.  */
static void
remove_oldest (struct dep_set *set)
{
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  gpointer oldest_id = NULL;
  uint64_t oldest = UINT64_MAX;
  g_hash_table_iter_init (&iter, set->departures);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const struct departure *departure = value;
      if (departure->number < oldest)
        {
          oldest = departure->number;
          oldest_id = id;
        }
    }
  g_hash_table_remove (set->departures, oldest_id);
}

/* Records that the endpoint ID said that it leaves, in its incarnation that
   started at BORN_MS.  Returns false when that was known.  */
bool
dep_add (struct dep_set *set, const char *id, int64_t born_ms)
{
  if (dep_contains (set, id, born_ms))
    {
      return false;
    }
  struct departure *departure = g_new0 (struct departure, 1);
  departure->born_ms = born_ms;
  departure->number = ++set->count;
  g_hash_table_replace (set->departures, g_strdup (id), departure);
  if (g_hash_table_size (set->departures) > DEP_KEPT_MAX)
    {
      remove_oldest (set);
    }
  return true;
}

/* True when the endpoint ID, in its incarnation that started at BORN_MS or in
   a later one, said that it leaves.  */
bool
dep_contains (const struct dep_set *set, const char *id, int64_t born_ms)
{
  const struct departure *departure
      = g_hash_table_lookup (set->departures, id);
  return departure != NULL && born_ms <= departure->born_ms;
}

/* Returns the number of reports that were new, which grows with each change of
   SET.  */
uint64_t
dep_count (const struct dep_set *set)
{
  return set->count;
}
