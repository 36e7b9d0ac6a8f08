#include "cli/client.h"

#include "base/clock.h"
#include "endpoint/connection.h"

#include <stdio.h>
#include <string.h>

#define REQUEST_TIMEOUT_US (15 * CLK_S_US)

/* Prints the error that the response BODY holds to standard error.  BODY may
   be NULL.  */
static void
print_failure (const json_t *body, uint16_t status)
{
  const json_t *error = json_object_get (body, "error");
  const char *kind = json_string_value (json_object_get (error, "kind"));
  const char *message = json_string_value (json_object_get (error, "message"));
  fprintf (stderr, "kumquatthread: %s: %s (HTTP %u)\n",
           kind != NULL ? kind : "error", message != NULL ? message : "",
           status);
}

/* Sends a request to the administration API that API describes, with a
   timeout of 15 s.  BODY, of BODY_BYTES bytes, may be NULL.  Returns the JSON
   body of a response with status 200, owned by the caller.  Otherwise prints
   the error to standard error and returns NULL.  */
json_t *
cli_call (const struct cli_api *api, const char *method, const char *path,
          const char *body, uint32_t body_bytes)
{
  g_autofree char *token = NULL;
  g_autoptr (GError) error = NULL;
  if (!g_file_get_contents (api->token_file, &token, NULL, &error))
    {
      fprintf (stderr, "kumquatthread: %s\n", error->message);
      return NULL;
    }
  struct con_pool *pool = con_pool_create (api->url);
  struct con_answer response;
  struct con_call call = {
    .method = method,
    .path = path,
    .body = body,
    .body_bytes = body_bytes,
    .bearer = g_strstrip (token),
    .timeout_us = REQUEST_TIMEOUT_US,
  };
  json_t *json = NULL;
  enum err_kind kind = con_call_run (pool, &call, &response);
  if (kind != ERR_NONE)
    {
      fprintf (stderr, "kumquatthread: %s: %s\n", api->url,
               err_info (kind)->summary);
    }
  else
    {
      json = json_loadb (response.body->str, response.body->len, 0, NULL);
      if (response.status != 200)
        {
          print_failure (json, response.status);
          json_decref (json);
          json = NULL;
        }
    }
  con_answer_clear (&response);
  con_pool_destroy (pool);
  return json;
}
