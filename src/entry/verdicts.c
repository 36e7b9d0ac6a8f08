#include "entry/verdicts.h"

#include "core/departures.h"
#include "core/turned_away.h"

#include <pthread.h>

struct vdt_verdicts
{
  pthread_mutex_t mutex;
  GHashTable *dead; /* endpoint id to the start time, in milliseconds, of the
                       incarnation that was found dead */
  struct dep_set *leaving;
  struct tna_table *turned_away;
};

/* Creates an empty set of verdicts, which any thread may use.  */
struct vdt_verdicts *
vdt_create (void)
{
  struct vdt_verdicts *verdicts = g_new0 (struct vdt_verdicts, 1);
  pthread_mutex_init (&verdicts->mutex, NULL);
  verdicts->dead
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  verdicts->leaving = dep_create ();
  verdicts->turned_away = tna_create ();
  return verdicts;
}

/* Frees VERDICTS.  */
void
vdt_destroy (struct vdt_verdicts *verdicts)
{
  g_hash_table_destroy (verdicts->dead);
  dep_destroy (verdicts->leaving);
  tna_destroy (verdicts->turned_away);
  pthread_mutex_destroy (&verdicts->mutex);
  g_free (verdicts);
}

/* Records that the endpoint ID is dead, in its incarnation that started at
   BORN_MS.  */
void
vdt_set_dead (struct vdt_verdicts *verdicts, const char *id, int64_t born_ms)
{
  int64_t *born = g_new (int64_t, 1);
  *born = born_ms;
  pthread_mutex_lock (&verdicts->mutex);
  g_hash_table_replace (verdicts->dead, g_strdup (id), born);
  pthread_mutex_unlock (&verdicts->mutex);
}

/* Removes the verdict that the endpoint ID is dead, if there is one.  */
void
vdt_clear (struct vdt_verdicts *verdicts, const char *id)
{
  pthread_mutex_lock (&verdicts->mutex);
  g_hash_table_remove (verdicts->dead, id);
  pthread_mutex_unlock (&verdicts->mutex);
}

/* True when the endpoint ID was found dead in its incarnation that started at
   BORN_MS.  */
bool
vdt_is_dead (struct vdt_verdicts *verdicts, const char *id, int64_t born_ms)
{
  pthread_mutex_lock (&verdicts->mutex);
  const int64_t *born = g_hash_table_lookup (verdicts->dead, id);
  bool dead = born != NULL && *born == born_ms;
  pthread_mutex_unlock (&verdicts->mutex);
  return dead;
}

/* Records that the endpoint ID said that it leaves, in its incarnation that
   started at BORN_MS.  Returns false when that was known.  */
bool
vdt_set_leaving (struct vdt_verdicts *verdicts, const char *id,
                 int64_t born_ms)
{
  pthread_mutex_lock (&verdicts->mutex);
  bool added = dep_add (verdicts->leaving, id, born_ms);
  pthread_mutex_unlock (&verdicts->mutex);
  return added;
}

/* True when the endpoint ID said that it leaves, in its incarnation that
   started at BORN_MS.  */
bool
vdt_is_leaving (struct vdt_verdicts *verdicts, const char *id, int64_t born_ms)
{
  pthread_mutex_lock (&verdicts->mutex);
  bool leaving = dep_contains (verdicts->leaving, id, born_ms);
  pthread_mutex_unlock (&verdicts->mutex);
  return leaving;
}

/* Returns the number of incarnations that were found to leave so far.  */
uint64_t
vdt_leaving_count (struct vdt_verdicts *verdicts)
{
  pthread_mutex_lock (&verdicts->mutex);
  uint64_t count = dep_count (verdicts->leaving);
  pthread_mutex_unlock (&verdicts->mutex);
  return count;
}

/* Returns the incarnations that were found to leave, without the first AFTER
   ones and at most LIMIT of them, as dep_list.  The caller frees the list.  */
GPtrArray *
vdt_list_leaving (struct vdt_verdicts *verdicts, uint64_t after,
                  uint32_t limit, uint64_t *up_to)
{
  pthread_mutex_lock (&verdicts->mutex);
  GPtrArray *list = dep_list (verdicts->leaving, after, limit, up_to);
  pthread_mutex_unlock (&verdicts->mutex);
  return list;
}

/* Records that the endpoint ID, in its incarnation that started at BORN_MS,
   wants no requests for DURATION_US from NOW_US on.  Returns when it opens
   again for this daemon.  */
int64_t
vdt_turn_away (struct vdt_verdicts *verdicts, const char *id, int64_t born_ms,
               int64_t duration_us, int64_t now_us)
{
  double draw = g_random_double ();
  pthread_mutex_lock (&verdicts->mutex);
  int64_t opens_us = tna_close (verdicts->turned_away, id, born_ms,
                                duration_us, draw, now_us);
  pthread_mutex_unlock (&verdicts->mutex);
  return opens_us;
}

/* Returns when the endpoint ID, in its incarnation that started at BORN_MS,
   opens again after it turned a request away; 0 if it didn't.  */
int64_t
vdt_opens_us (struct vdt_verdicts *verdicts, const char *id, int64_t born_ms)
{
  pthread_mutex_lock (&verdicts->mutex);
  int64_t opens_us = tna_opens_us (verdicts->turned_away, id, born_ms);
  pthread_mutex_unlock (&verdicts->mutex);
  return opens_us;
}
