#include "standin/host_list.h"

#include <inttypes.h>
#include <pthread.h>
#include <string.h>

struct host
{
  char *name;
  char *address;
  char *role;
  bool leaving;
};

/* The complete list after one change. */
struct snapshot
{
  int64_t version;
  int64_t changed_at_us;
  char *hosts; /* JSON array */
};

struct hl_list
{
  pthread_mutex_t lock;
  int64_t lag_us;
  GPtrArray *hosts; /* struct host */
  GQueue snapshots; /* struct snapshot *, newest first */
};

static void
free_host (gpointer data)
{
  struct host *host = data;
  g_free (host->name);
  g_free (host->address);
  g_free (host->role);
  g_free (host);
}

static void
free_snapshot (gpointer data)
{
  struct snapshot *snapshot = data;
  g_free (snapshot->hosts);
  g_free (snapshot);
}

/* Adds a snapshot of the current hosts with the next version.  */
static void
add_snapshot (struct hl_list *list, int64_t now_us)
{
  GString *out = g_string_new ("[");
  for (guint i = 0; i < list->hosts->len; i++)
    {
      const struct host *host = g_ptr_array_index (list->hosts, i);
      g_string_append_printf (
          out,
          "%s{\"name\":\"%s\",\"address\":\"%s\",\"state\":\"%s\","
          "\"role\":\"%s\"}",
          i == 0 ? "" : ",", host->name, host->address,
          host->leaving ? "leaving" : "live", host->role);
    }
  g_string_append_c (out, ']');
  const struct snapshot *newest = g_queue_peek_head (&list->snapshots);
  struct snapshot *snapshot = g_new (struct snapshot, 1);
  snapshot->version = newest == NULL ? 0 : newest->version + 1;
  snapshot->changed_at_us = now_us;
  snapshot->hosts = g_string_free (out, FALSE);
  g_queue_push_head (&list->snapshots, snapshot);
}

/* Creates an empty list with version 0 whose changes become visible after
   LAG_US.  */
struct hl_list *
hl_create (int64_t lag_us)
{
  struct hl_list *list = g_new0 (struct hl_list, 1);
  pthread_mutex_init (&list->lock, NULL);
  list->lag_us = lag_us;
  list->hosts = g_ptr_array_new_with_free_func (free_host);
  g_queue_init (&list->snapshots);
  add_snapshot (list, INT64_MIN / 2);
  return list;
}

/* Frees LIST.  */
void
hl_destroy (struct hl_list *list)
{
  g_ptr_array_free (list->hosts, TRUE);
  g_queue_clear_full (&list->snapshots, free_snapshot);
  pthread_mutex_destroy (&list->lock);
  g_free (list);
}

/* Sets the lag, also of changes that aren't visible yet, to LAG_US.  */
void
hl_set_lag (struct hl_list *list, int64_t lag_us)
{
  pthread_mutex_lock (&list->lock);
  list->lag_us = lag_us;
  pthread_mutex_unlock (&list->lock);
}

/* Returns the index of the host NAME, or -1.  */
static int
find_host (const struct hl_list *list, const char *name)
{
  for (guint i = 0; i < list->hosts->len; i++)
    {
      const struct host *host = g_ptr_array_index (list->hosts, i);
      if (strcmp (host->name, name) == 0)
        {
          return (int)i;
        }
    }
  return -1;
}

static void
replace_text (char **text, const char *value)
{
  if (value != NULL)
    {
      g_free (*text);
      *text = g_strdup (value);
    }
}

/* Adds or changes HOST at NOW_US.  The texts of HOST must not need escapes in
   JSON.  Returns the first version of the list that contains the change.  */
int64_t
hl_put (struct hl_list *list, const struct hl_host *host, int64_t now_us)
{
  pthread_mutex_lock (&list->lock);
  int index = find_host (list, host->name);
  struct host *entry;
  if (index >= 0)
    {
      entry = g_ptr_array_index (list->hosts, index);
    }
  else
    {
      entry = g_new0 (struct host, 1);
      entry->name = g_strdup (host->name);
      entry->address = g_strdup ("");
      entry->role = g_strdup ("engine");
      g_ptr_array_add (list->hosts, entry);
    }
  replace_text (&entry->address, host->address);
  replace_text (&entry->role, host->role);
  entry->leaving = host->leaving;
  add_snapshot (list, now_us);
  const struct snapshot *newest = g_queue_peek_head (&list->snapshots);
  int64_t version = newest->version;
  pthread_mutex_unlock (&list->lock);
  return version;
}

/* Removes the host NAME at NOW_US.  Does nothing when NAME isn't listed.  */
void
hl_remove (struct hl_list *list, const char *name, int64_t now_us)
{
  pthread_mutex_lock (&list->lock);
  int index = find_host (list, name);
  if (index >= 0)
    {
      g_ptr_array_remove_index (list->hosts, (guint)index);
      add_snapshot (list, now_us);
    }
  pthread_mutex_unlock (&list->lock);
}

/* Appends the newest snapshot that is visible at NOW_US to OUT as JSON, unless
   its version is KNOWN_VERSION.  Returns the version of that snapshot.  */
int64_t
hl_render (struct hl_list *list, int64_t known_version, int64_t now_us,
           GString *out)
{
  pthread_mutex_lock (&list->lock);
  GList *link = list->snapshots.head;
  const struct snapshot *visible = link->data;
  while (visible->changed_at_us + list->lag_us > now_us && link->next != NULL)
    {
      link = link->next;
      visible = link->data;
    }
  int64_t version = visible->version;
  if (version != known_version)
    {
      g_string_append_printf (out, "{\"version\":%" PRId64 ",\"hosts\":%s}",
                              version, visible->hosts);
    }
  pthread_mutex_unlock (&list->lock);
  return version;
}
