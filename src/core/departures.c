#include "core/departures.h"

#include "core/oldest.h"

#include <string.h>

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

static uint64_t
departure_number (gconstpointer entry)
{
  return ((const struct departure *)entry)->number;
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
      old_remove (set->departures, departure_number);
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

static void
destroy_departure (gpointer data)
{
  struct dep_departure *departure = data;
  g_free (departure->id);
  g_free (departure);
}

/* Returns an empty list of struct dep_departure.  The caller frees it.  */
GPtrArray *
dep_list_create (void)
{
  return g_ptr_array_new_with_free_func (destroy_departure);
}

/* Appends the endpoint ID, in its incarnation that started at BORN_MS, to
   LIST.  */
void
dep_list_add (GPtrArray *list, const char *id, int64_t born_ms)
{
  struct dep_departure *departure = g_new0 (struct dep_departure, 1);
  departure->id = g_strdup (id);
  departure->born_ms = born_ms;
  g_ptr_array_add (list, departure);
}

/* A report in a set. */
struct numbered
{
  const char *id;
  const struct departure *departure;
};

static gint
compare_numbers (gconstpointer a, gconstpointer b)
{
  const struct numbered *left = a;
  const struct numbered *right = b;
  return (left->departure->number > right->departure->number)
         - (left->departure->number < right->departure->number);
}

/* Returns the reports of SET after the first AFTER ones, in their order and at
   most LIMIT of them, for another daemon.  Sets UP_TO to the number after
   which the next list begins.  Left out are those whose start isn't known:
   they can't be told from later incarnations.  The caller frees the list.  */
GPtrArray *
dep_list (const struct dep_set *set, uint64_t after, uint32_t limit,
          uint64_t *up_to)
{
  GArray *found = g_array_new (FALSE, FALSE, sizeof (struct numbered));
  GHashTableIter iter;
  gpointer id;
  gpointer value;
  g_hash_table_iter_init (&iter, set->departures);
  while (g_hash_table_iter_next (&iter, &id, &value))
    {
      const struct numbered numbered = { .id = id, .departure = value };
      if (numbered.departure->number > after
          && numbered.departure->born_ms > 0)
        {
          g_array_append_val (found, numbered);
        }
    }
  g_array_sort (found, compare_numbers);
  GPtrArray *list = dep_list_create ();
  *up_to = set->count;
  for (guint i = 0; i < found->len && i < limit; i++)
    {
      const struct numbered *numbered
          = &g_array_index (found, struct numbered, i);
      dep_list_add (list, numbered->id, numbered->departure->born_ms);
      if (i + 1 == limit && found->len > limit)
        {
          *up_to = numbered->departure->number;
        }
    }
  g_array_free (found, TRUE);
  return list;
}

/* True when a report of another daemon, that the endpoint ID leaves in its
   incarnation that started at BORN_MS, can be believed at the time NOW_MS: an
   absurd start would close later incarnations too.  */
bool
dep_is_plausible (const char *id, int64_t born_ms, int64_t now_ms)
{
  size_t id_bytes = strlen (id);
  if (id_bytes == 0 || id_bytes > DEP_ID_BYTES_MAX
      || !g_utf8_validate (id, (gssize)id_bytes, NULL))
    {
      return false;
    }
  for (const char *byte = id; *byte != '\0'; byte++)
    {
      if (g_ascii_iscntrl (*byte))
        {
          return false;
        }
    }
  return born_ms > 0 && born_ms <= now_ms + DEP_AHEAD_MAX_MS;
}
