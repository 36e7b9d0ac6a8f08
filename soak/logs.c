#include "soak/logs.h"

#include <string.h>

#define REQUEST_DONE " event=request_done request="
#define ATTEMPTS " attempts="

/* Makes the daemon with INDEX the sender of the request that LINE of its log
   is about, if it was passed on to that daemon and no other one sent it to
   endpoints.  */
static void
read_line (struct srd_record *record, uint32_t index, const char *line)
{
  const char *id = strstr (line, REQUEST_DONE);
  const char *attempts = id == NULL ? NULL : strstr (id, ATTEMPTS);
  if (attempts == NULL)
    {
      return;
    }
  id += strlen (REQUEST_DONE);
  g_autofree char *name = g_strndup (id, strcspn (id, " "));
  struct srd_request *request = g_hash_table_lookup (record->by_id, name);
  if (request != NULL && request->daemon != index
      && g_ascii_strtoull (attempts + strlen (ATTEMPTS), NULL, 10)
             == request->arrivals)
    {
      request->sender = index;
    }
}

/* Sets the senders of the requests that daemons have passed on to their
   neighbours, according to the logs of all DAEMONS.  A request whose arrivals
   the log of one neighbour doesn't account for keeps the daemon that its
   caller sent it to.  */
void
slg_read_senders (const struct sdm_daemons *daemons, struct srd_record *record)
{
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
          read_line (record, i, lines[n]);
        }
    }
}
