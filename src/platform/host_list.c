#include "platform/host_list.h"

#include "base/clock.h"

#include <jansson.h>
#include <string.h>

#define REQUEST_TIMEOUT_US (2 * CLK_S_US)
#define STATUS_NOT_MODIFIED 304

/* Copies the string KEY of OBJECT to OUT, of OUT_BYTES bytes; "" when OBJECT
   has no such string.  Returns false when it is too long: cut off, it could be
   the name of another host.  */
static bool
copy_string (const json_t *object, const char *key, char *out,
             size_t out_bytes)
{
  const char *value = json_string_value (json_object_get (object, key));
  return g_strlcpy (out, value != NULL ? value : "", out_bytes) < out_bytes;
}

/* Returns whether KEY of OBJECT is the string EXPECTED.  */
static bool
has_value (const json_t *object, const char *key, const char *expected)
{
  const char *value = json_string_value (json_object_get (object, key));
  return value != NULL && strcmp (value, expected) == 0;
}

/* Fills LIST from the body of a response.  Hosts with a name or an address
   that is longer than any in the configuration are left out.  Returns
   ERR_PROTOCOL when the body has no array of hosts.  */
static enum err_kind
parse_list (const json_t *json, struct hl_list *list)
{
  const json_t *hosts = json_object_get (json, "hosts");
  if (!json_is_array (hosts))
    {
      return ERR_PROTOCOL;
    }
  list->version
      = (uint64_t)json_integer_value (json_object_get (json, "version"));
  list->hosts = g_new0 (struct hl_host, json_array_size (hosts));
  size_t index;
  const json_t *item;
  json_array_foreach (hosts, index, item)
  {
    struct hl_host *host = &list->hosts[list->host_count];
    if (!copy_string (item, "name", host->name, sizeof host->name)
        || !copy_string (item, "address", host->address, sizeof host->address))
      {
        continue;
      }
    list->host_count++;
    host->leaving = has_value (item, "state", "leaving");
    host->is_daemon = has_value (item, "role", "daemon");
  }
  return ERR_NONE;
}

/* Fetches the host list if its version is newer than NEWER_THAN (0: any
   version), and sets CHANGED to whether LIST holds a new one.  The caller
   frees LIST with hl_clear in every case.  Blocks for at most 2 s.  Errors:
   ERR_LOG_UNAVAILABLE when the request failed or was rejected, ERR_PROTOCOL
   when the response is malformed.  */
enum err_kind
hl_get (struct con_pool *pool, uint64_t newer_than, struct hl_list *list,
        bool *changed)
{
  struct con_answer response;
  char path[64];
  g_snprintf (path, sizeof path, "/v1/hosts?than=%" G_GUINT64_FORMAT,
              newer_than);
  struct con_call call = {
    .method = "GET",
    .path = newer_than > 0 ? path : "/v1/hosts",
    .timeout_us = REQUEST_TIMEOUT_US,
  };
  memset (list, 0, sizeof *list);
  *changed = false;
  enum err_kind error = con_call_run (pool, &call, &response);
  if (error != ERR_NONE
      || (response.status != 200 && response.status != STATUS_NOT_MODIFIED))
    {
      error = ERR_LOG_UNAVAILABLE;
    }
  else if (response.status == 200)
    {
      json_t *json
          = json_loadb (response.body->str, response.body->len, 0, NULL);
      error = parse_list (json, list);
      *changed = error == ERR_NONE;
      json_decref (json);
    }
  con_answer_clear (&response);
  return error;
}

/* Frees the hosts of LIST and empties LIST.  */
void
hl_clear (struct hl_list *list)
{
  g_free (list->hosts);
  memset (list, 0, sizeof *list);
}
