/* HTTP calls through libcurl. */
#include "standin/load_private.h"

#include "base/clock.h"

#include <jansson.h>
#include <string.h>

#define CONNECT_TIMEOUT_MS 2000L
#define CALL_TIMEOUT_MS 120000L
#define REQUEST_ID_HEADER "x-request-id: "

static size_t
receive_body (char *data, size_t size, size_t count, void *user)
{
  struct lt_call *call = user;
  g_string_append_len (call->received, data, (gssize)(size * count));
  return size * count;
}

/* Stores the request id that the daemon returned.  */
static size_t
receive_header (char *data, size_t size, size_t count, void *user)
{
  struct lt_call *call = user;
  size_t bytes = size * count;
  size_t name_bytes = strlen (REQUEST_ID_HEADER);
  if (bytes > name_bytes
      && g_ascii_strncasecmp (data, REQUEST_ID_HEADER, name_bytes) == 0)
    {
      size_t length = MIN (bytes - name_bytes, sizeof call->request_id - 1);
      memcpy (call->request_id, data + name_bytes, length);
      call->request_id[length] = '\0';
      g_strchomp (call->request_id);
    }
  return bytes;
}

/* Creates a call of TYPE by ACCOUNT to the daemon that the balancer picks.  */
struct lt_call *
lt_call_create (struct lt_worker *worker, enum lt_type type, uint32_t account)
{
  struct lt_call *call = g_new0 (struct lt_call, 1);
  call->worker = worker;
  call->type = type;
  call->account = account;
  call->daemon = lt_balancer_pick (worker->balancer);
  call->curl = curl_easy_init ();
  call->received = g_string_new (NULL);
  call->text = g_string_new (NULL);
  char *token = g_strdup_printf ("Authorization: Bearer %s",
                                 worker->options->accounts[account].token);
  call->headers = curl_slist_append (NULL, token);
  call->headers = curl_slist_append (call->headers, "Expect:");
  call->headers
      = curl_slist_append (call->headers, "Content-Type: application/json");
  g_free (token);
  return call;
}

/* Sends CALL to PATH, with POST when it has a body.  Each call opens a
   connection of its own, so that no request is sent twice unseen: libcurl
   resends one when a reused connection turns out to be closed.  */
void
lt_call_send (struct lt_call *call, const char *path)
{
  struct lt_worker *worker = call->worker;
  char *url
      = g_strconcat (worker->options->daemon_urls[call->daemon], path, NULL);
  CURL *curl = call->curl;
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_FRESH_CONNECT, 1L);
  curl_easy_setopt (curl, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS, CONNECT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, receive_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, call);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION,
                    call->type == LT_DRAFT ? lt_receive_events : receive_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (curl, CURLOPT_PRIVATE, call);
  if (call->body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->body);
    }
  g_free (url);
  call->sent_us = clk_monotonic_us ();
  g_hash_table_add (worker->calls, call);
  curl_multi_add_handle (worker->multi, curl);
}

/* Frees CALL, which must have been removed from the worker's transfers.  */
void
lt_call_destroy (struct lt_call *call)
{
  curl_easy_cleanup (call->curl);
  curl_slist_free_all (call->headers);
  g_string_free (call->received, TRUE);
  g_string_free (call->text, TRUE);
  g_free (call->body);
  g_free (call->prompt);
  g_free (call);
}

/* Returns the HTTP status of CALL, or 0 without an answer.  */
long
lt_call_status (const struct lt_call *call)
{
  long status = 0;
  curl_easy_getinfo (call->curl, CURLINFO_RESPONSE_CODE, &status);
  return status;
}

/* Copies kind, ran and retry_after_s from the error body TEXT to CALL, as far
   as they are present.  */
void
lt_call_read_error (struct lt_call *call, const char *text)
{
  json_t *body = json_loads (text, 0, NULL);
  const json_t *error = json_object_get (body, "error");
  const char *kind = json_string_value (json_object_get (error, "kind"));
  const char *ran = json_string_value (json_object_get (error, "ran"));
  const json_t *retry = json_object_get (error, "retry_after_s");
  if (kind != NULL)
    {
      g_strlcpy (call->error_kind, kind, sizeof call->error_kind);
    }
  if (ran != NULL)
    {
      g_strlcpy (call->ran, ran, sizeof call->ran);
    }
  call->retry_after_us
      = (int64_t)(json_number_value (retry) * (double)CLK_S_US);
  json_decref (body);
}
