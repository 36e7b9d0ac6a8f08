#include "soak/logs.h"

#include <string.h>

#define REQUEST " request="
#define ENDPOINT " endpoint="

/* What daemons name as the endpoint of a request that they passed on, and of
   one without an endpoint. */
#define NEIGHBOUR_PREFIX "daemon-"
#define NO_ENDPOINT "-"

/* Events that name the endpoint of an attempt.  The second one is the last of
   a request. */
#define ATTEMPT_ENDED " event=attempt_ended "
#define REQUEST_DONE " event=request_done "

/* Which daemons sent a request to endpoints, as far as logs were read. */
struct senders
{
  bool own_log_ends; /* the daemon that the caller chose logged its end */
  bool own;          /* that daemon sent it to an endpoint */
  uint32_t count;    /* of other daemons that did */
  uint32_t newest;   /* of these, index of the last one that was found */
};

/* Returns the value of KEY in LINE, which the caller frees; NULL: there is
   none.  */
static char *
find_value (const char *line, const char *key)
{
  const char *value = strstr (line, key);
  if (value == NULL)
    {
      return NULL;
    }
  value += strlen (key);
  return g_strndup (value, strcspn (value, " "));
}

/* Adds to SENDERS, by request, what LINE of the log of the daemon with INDEX
   says.  */
static void
read_line (const struct srd_record *record, GHashTable *senders,
           uint32_t index, const char *line)
{
  bool done = strstr (line, REQUEST_DONE) != NULL;
  if (!done && strstr (line, ATTEMPT_ENDED) == NULL)
    {
      return;
    }
  g_autofree char *id = find_value (line, REQUEST);
  g_autofree char *endpoint = find_value (line, ENDPOINT);
  struct srd_request *request
      = id == NULL ? NULL : g_hash_table_lookup (record->by_id, id);
  if (request == NULL || endpoint == NULL)
    {
      return;
    }
  struct senders *found = g_hash_table_lookup (senders, request);
  if (found == NULL)
    {
      found = g_new0 (struct senders, 1);
      g_hash_table_insert (senders, request, found);
    }
  bool sent = !g_str_has_prefix (endpoint, NEIGHBOUR_PREFIX)
              && strcmp (endpoint, NO_ENDPOINT) != 0;
  if (request->daemon == index)
    {
      found->own_log_ends |= done;
      found->own |= sent;
    }
  else if (sent && (found->count == 0 || found->newest != index))
    {
      found->count++;
      found->newest = index;
    }
}

/* Sets the senders of the requests that daemons have passed on to their
   neighbours, according to the logs of all DAEMONS.  A request keeps the
   daemon that its caller sent it to unless that daemon's log shows that it
   sent the request to neighbours alone, and one other log that its daemon sent
   it to endpoints.  */
void
slg_read_senders (const struct sdm_daemons *daemons, struct srd_record *record)
{
  g_autoptr (GHashTable) senders
      = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  for (uint32_t i = 0; i < daemons->list->len; i++)
    {
      g_autofree char *text = NULL;
      const char *path = sep_log_path (sdm_at (daemons, i)->process);
      if (!g_file_get_contents (path, &text, NULL, NULL))
        {
          continue;
        }
      g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
      for (size_t n = 0; lines[n] != NULL; n++)
        {
          read_line (record, senders, i, lines[n]);
        }
    }
  GHashTableIter iter;
  gpointer key;
  gpointer value;
  g_hash_table_iter_init (&iter, senders);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      struct srd_request *request = key;
      const struct senders *found = value;
      if (found->own_log_ends && !found->own && found->count == 1)
        {
          request->sender = found->newest;
        }
    }
}
