#include "entry/request_id.h"

#include "platform/headers.h"

#include <string.h>
#include <strings.h>
#include <xxhash.h>

/* Bytes at the beginning of an id that its form for the log keeps if that
   differs from the id. */
#define PREFIX_BYTES 40

/* Returns the id of REQUEST, owned by it, or NULL if it has none.  One that
   states two has none: endpoints could run it under either.  */
const char *
rqi_find (const struct msg_message *request)
{
  const char *id = NULL;
  for (uint32_t i = 0; i < request->headers->len; i++)
    {
      if (strcasecmp (msg_name (request, i), PFH_REQUEST_ID) == 0)
        {
          if (id != NULL)
            {
              return NULL;
            }
          id = msg_value (request, i);
        }
    }
  return id == NULL || id[0] == '\0' ? NULL : id;
}

/* True for characters that neither end a value of a log line nor make it look
   like several.  */
static bool
is_plain (char character)
{
  return g_ascii_isgraph (character) && strchr ("\"=\\", character) == NULL;
}

/* Writes the form of ID for lines of the log to TEXT: the id if it is short
   and plain, else its beginning, in which `?' stands for other characters, `~'
   and the XXH64 hash of the whole id in hexadecimal.  "-" if ID is NULL.  */
void
rqi_format_for_log (const char *id, char text[RQI_LOG_BYTES])
{
  size_t bytes = id == NULL ? 0 : strlen (id);
  bool plain = bytes < RQI_LOG_BYTES;
  for (size_t i = 0; plain && i < bytes; i++)
    {
      plain = is_plain (id[i]);
    }
  if (plain)
    {
      g_strlcpy (text, id == NULL ? "-" : id, RQI_LOG_BYTES);
      return;
    }
  size_t kept = MIN (bytes, PREFIX_BYTES);
  for (size_t i = 0; i < kept; i++)
    {
      text[i] = is_plain (id[i]) ? id[i] : '?';
    }
  g_snprintf (text + kept, RQI_LOG_BYTES - kept, "~%016" G_GINT64_MODIFIER "x",
              (guint64)XXH64 (id, bytes, 0));
}
