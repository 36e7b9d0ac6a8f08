#include "standin_client.h"

#include <curl/curl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define TIMEOUT_MS 10000L
#define SILENT_TIMEOUT_MS 300L /* when no answer is expected */

struct client
{
  CURL *curl;
  GString *headers; /* of the last answer */
  uint16_t port;
  long timeout_ms;
  long fresh_connection; /* 1: the next call opens a new connection */
};

/* Creates a client of the server on PORT of the loopback address.  */
struct client *
client_create (uint16_t port)
{
  struct client *client = g_new0 (struct client, 1);
  client->curl = curl_easy_init ();
  client->headers = g_string_new (NULL);
  client->port = port;
  client->timeout_ms = TIMEOUT_MS;
  return client;
}

/* Closes the connection and frees CLIENT.  */
void
client_destroy (struct client *client)
{
  curl_easy_cleanup (client->curl);
  g_string_free (client->headers, TRUE);
  g_free (client);
}

static size_t
append_body (char *data, size_t size, size_t count, void *answer)
{
  g_string_append_len (answer, data, (gssize)(size * count));
  return size * count;
}

/* Sends BODY to PATH by POST, or sends a GET request when BODY is NULL.  Sets
   ANSWER to the body of the answer.  Returns the HTTP status, STATUS_NONE or
   STATUS_SILENT.  */
int
client_call (struct client *client, const char *path, const char *body,
             GString *answer)
{
  char *url = g_strdup_printf ("http://127.0.0.1:%u%s", client->port, path);
  CURL *curl = client->curl;
  g_string_truncate (answer, 0);
  g_string_truncate (client->headers, 0);
  curl_easy_reset (curl);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, client->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, answer);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, client->headers);
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, client->fresh_connection);
  if (body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
    }
  CURLcode code = curl_easy_perform (curl);
  long status = STATUS_NONE;
  if (code == CURLE_OK)
    {
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
    }
  else if (code == CURLE_OPERATION_TIMEDOUT)
    {
      status = STATUS_SILENT;
    }
  g_free (url);
  return (int)status;
}

/* Runs EXCHANGES up to the first one without a path.  Fails the test when an
   answer differs from the expected one; NAME is the test case in the failure
   message.  */
void
client_run (struct client *client, const char *name,
            const struct exchange *exchanges)
{
  GString *answer = g_string_new (NULL);
  for (int i = 0; i < EXCHANGES_MAX && exchanges[i].path != NULL; i++)
    {
      const struct exchange *exchange = &exchanges[i];
      client->timeout_ms
          = exchange->status == STATUS_SILENT ? SILENT_TIMEOUT_MS : TIMEOUT_MS;
      /* libcurl retries a call on its own when a reused connection closes.  */
      client->fresh_connection = exchange->status == STATUS_NONE;
      int status
          = client_call (client, exchange->path, exchange->body, answer);
      if (status != exchange->status
          || (exchange->expect != NULL
              && strstr (answer->str, exchange->expect) == NULL
              && strstr (client->headers->str, exchange->expect) == NULL))
        {
          fail_msg ("%s, call %d to %s: status %d, expected %d: %s", name, i,
                    exchange->path, status, exchange->status, answer->str);
        }
    }
  g_string_free (answer, TRUE);
}
