#include "entry/neighbours.h"

#include "base/clock.h"

#include <pthread.h>

/* Interval of looking the neighbours up while they are asked for. */
#define LOOKUP_INTERVAL_US (2 * CLK_S_US)

struct nbr_neighbours
{
  pthread_mutex_t mutex;
  char *own_address;
  char **news; /* addresses, not taken yet; NULL: none */
  bool asked;
  int64_t lookup_us; /* no lookup before, monotonic */
};

/* Creates a set without addresses for the daemon that serves callers at
   OWN_ADDRESS.  The caller frees it with nbr_destroy.  */
struct nbr_neighbours *
nbr_create (const char *own_address)
{
  struct nbr_neighbours *neighbours = g_new0 (struct nbr_neighbours, 1);
  pthread_mutex_init (&neighbours->mutex, NULL);
  neighbours->own_address = g_strdup (own_address);
  return neighbours;
}

/* Frees NEIGHBOURS.  */
void
nbr_destroy (struct nbr_neighbours *neighbours)
{
  pthread_mutex_destroy (&neighbours->mutex);
  g_strfreev (neighbours->news);
  g_free (neighbours->own_address);
  g_free (neighbours);
}

/* Asks for the present addresses.  For the traffic thread.  */
void
nbr_ask (struct nbr_neighbours *neighbours)
{
  pthread_mutex_lock (&neighbours->mutex);
  neighbours->asked = true;
  pthread_mutex_unlock (&neighbours->mutex);
}

/* Returns whether the addresses are to be looked up at NOW_US, since they were
   asked for.  For the control thread.  */
bool
nbr_take_question (struct nbr_neighbours *neighbours, int64_t now_us)
{
  pthread_mutex_lock (&neighbours->mutex);
  bool due = neighbours->asked && now_us >= neighbours->lookup_us;
  if (due)
    {
      neighbours->asked = false;
      neighbours->lookup_us = now_us + LOOKUP_INTERVAL_US;
    }
  pthread_mutex_unlock (&neighbours->mutex);
  return due;
}

/* Answers with ADDRESSES, char *, but for the daemon's own.  */
void
nbr_set (struct nbr_neighbours *neighbours, const GPtrArray *addresses)
{
  g_autoptr (GStrvBuilder) others = g_strv_builder_new ();
  for (guint i = 0; i < addresses->len; i++)
    {
      const char *address = g_ptr_array_index (addresses, i);
      if (!g_str_equal (address, neighbours->own_address))
        {
          g_strv_builder_add (others, address);
        }
    }
  pthread_mutex_lock (&neighbours->mutex);
  g_strfreev (neighbours->news);
  neighbours->news = g_strv_builder_end (others);
  pthread_mutex_unlock (&neighbours->mutex);
}

/* Returns the addresses if they were looked up since the last call, or NULL.
   The caller frees them with g_strfreev.  */
char **
nbr_take_news (struct nbr_neighbours *neighbours)
{
  pthread_mutex_lock (&neighbours->mutex);
  char **news = g_steal_pointer (&neighbours->news);
  pthread_mutex_unlock (&neighbours->mutex);
  return news;
}
