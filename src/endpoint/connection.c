#include "endpoint/connection.h"

#include "base/clock.h"

#include <curl/curl.h>
#include <pthread.h>
#include <string.h>

#define IDLE_CONNECTIONS_MAX 64
#define BODY_BYTES_MAX ((size_t)16 * 1024 * 1024)
#define CONNECT_TIMEOUT_US INT64_C (250000) /* default */

/* Status codes of final responses. */
#define STATUS_MIN 200
#define STATUS_MAX 599

struct con_pool
{
  char *base_url;
  pthread_mutex_t lock;
  GPtrArray *idle; /* CURL *, each with one open connection; guarded by LOCK */
};

/* Creates an empty pool of connections to the server at BASE_URL,
   `http://IP:PORT'.  */
struct con_pool *
con_pool_create (const char *base_url)
{
  struct con_pool *pool = g_new0 (struct con_pool, 1);
  pool->base_url = g_strdup (base_url);
  pthread_mutex_init (&pool->lock, NULL);
  pool->idle = g_ptr_array_new_with_free_func (curl_easy_cleanup);
  return pool;
}

/* Closes the idle connections and frees POOL; NULL is allowed.  No call of the
   pool may be in progress.  */
void
con_pool_destroy (struct con_pool *pool)
{
  if (pool == NULL)
    {
      return;
    }
  g_ptr_array_free (pool->idle, TRUE);
  pthread_mutex_destroy (&pool->lock);
  g_free (pool->base_url);
  g_free (pool);
}

/* Returns an idle connection, or a new handle if there is none or if
   NEW_CONNECTION is set.  Returns NULL when libcurl fails to create one.  */
static CURL *
acquire_connection (struct con_pool *pool, bool new_connection)
{
  CURL *curl = NULL;
  if (!new_connection)
    {
      pthread_mutex_lock (&pool->lock);
      if (pool->idle->len > 0)
        {
          curl
              = g_ptr_array_steal_index_fast (pool->idle, pool->idle->len - 1);
        }
      pthread_mutex_unlock (&pool->lock);
    }
  return curl != NULL ? curl : curl_easy_init ();
}

/* Puts CURL back into the pool, or closes it when IDLE_CONNECTIONS_MAX are
   idle.  */
static void
release_connection (struct con_pool *pool, CURL *curl)
{
  pthread_mutex_lock (&pool->lock);
  bool kept = pool->idle->len < IDLE_CONNECTIONS_MAX;
  if (kept)
    {
      g_ptr_array_add (pool->idle, curl);
    }
  pthread_mutex_unlock (&pool->lock);
  if (!kept)
    {
      curl_easy_cleanup (curl);
    }
}

/* Callback of libcurl: appends a part of the body.  Returns 0, which aborts
   the call, when the body exceeds BODY_BYTES_MAX.  */
static size_t
on_body (char *data, size_t size, size_t count, void *user_data)
{
  struct con_answer *answer = user_data;
  size_t bytes = size * count;
  if (answer->body->len + bytes > BODY_BYTES_MAX)
    {
      return 0;
    }
  g_string_append_len (answer->body, data, (gssize)bytes);
  return bytes;
}

/* Returns whether the header line DATA of COUNT bytes begins with START, in
   any letter case.  */
static bool
begins_with (const char *data, size_t count, const char *start)
{
  size_t start_bytes = strlen (start);
  return count >= start_bytes
         && g_ascii_strncasecmp (data, start, start_bytes) == 0;
}

/* Callback of libcurl for each header line, with its line break: looks for
   X-Not-Run and for the empty line that ends the head.  Returns 0, which
   aborts the call, at a second Content-Length, since libcurl takes the last
   one.  */
static size_t
on_header (char *data, size_t size, size_t count, void *user_data)
{
  struct con_answer *answer = user_data;
  size_t bytes = size * count;
  if (begins_with (data, bytes, "HTTP/"))
    {
      answer->lengths = 0;
      answer->head_complete = false;
    }
  answer->head_complete
      |= begins_with (data, bytes, "\r\n") || begins_with (data, bytes, "\n");
  answer->lengths += begins_with (data, bytes, "content-length:");
  if (begins_with (data, bytes, "x-not-run: true"))
    {
      answer->not_run = true;
    }
  return answer->lengths > 1 ? 0 : bytes;
}

/* Returns the error of a call that ended with RESULT and ANSWER.  libcurl
   takes a switch of protocols that wasn't asked for as a response, and also a
   head that the end of the connection has cut off.  */
static enum err_kind
result_to_error (CURLcode result, const struct con_answer *answer)
{
  switch (result)
    {
    case CURLE_OK:
      return answer->head_complete && answer->status >= STATUS_MIN
                     && answer->status <= STATUS_MAX
                 ? ERR_NONE
                 : ERR_ENDPOINT_FAILED;
    case CURLE_OPERATION_TIMEDOUT:
      return ERR_ENDPOINT_SILENT;
    default:
      return ERR_ENDPOINT_FAILED;
    }
}

/* Appends a header to HEADERS.  Returns the new list.  */
static struct curl_slist *
append_header (struct curl_slist *headers, const char *name, const char *value)
{
  g_autofree char *line = g_strdup_printf ("%s: %s", name, value);
  return curl_slist_append (headers, line);
}

/* Returns the headers of CALL, to be freed with curl_slist_free_all.  The
   empty `Expect' keeps libcurl from waiting for a response 100 before it sends
   the body.  */
static struct curl_slist *
make_headers (const struct con_call *call)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  headers = append_header (headers, "Content-Type",
                           call->content_type != NULL ? call->content_type
                                                      : "application/json");
  if (call->request_id != NULL)
    {
      headers = append_header (headers, "X-Request-Id", call->request_id);
    }
  if (call->bearer != NULL)
    {
      g_autofree char *bearer = g_strconcat ("Bearer ", call->bearer, NULL);
      headers = append_header (headers, "Authorization", bearer);
    }
  return headers;
}

static void
set_options (CURL *curl, const struct con_pool *pool,
             const struct con_call *call, struct curl_slist *headers,
             struct con_answer *answer)
{
  g_autofree char *url = g_strconcat (pool->base_url, call->path, NULL);
  int64_t connect_us = call->connect_timeout_us != 0 ? call->connect_timeout_us
                                                     : CONNECT_TIMEOUT_US;
  int64_t timeout_ms = MAX (call->timeout_us / CLK_MS_US, 1);
  curl_easy_reset (curl); /* keeps the connection open */
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_PROXY, "");
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, call->method);
  if (call->body != NULL)
    {
      curl_easy_setopt (curl, CURLOPT_POST, 1L);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDSIZE, (long)call->body_bytes);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, call->body);
    }
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
  curl_easy_setopt (curl, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)MIN (MAX (connect_us / CLK_MS_US, 1), timeout_ms));
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, answer);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, answer);
}

static void
read_status_and_type (CURL *curl, struct con_answer *answer)
{
  long status = 0;
  const char *content_type = NULL;
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_getinfo (curl, CURLINFO_CONTENT_TYPE, &content_type);
  answer->status = (uint16_t)status;
  answer->content_type = g_strdup (content_type);
}

/* Returns whether any part of the request may have been sent.  A request size
   of 0 means that no connection was established.  */
static bool
may_have_sent (CURL *curl, CURLcode result)
{
  long request_bytes = 0;
  curl_easy_getinfo (curl, CURLINFO_REQUEST_SIZE, &request_bytes);
  return result == CURLE_OK || request_bytes > 0;
}

/* Sends CALL and stores the response in ANSWER, which the caller clears with
   con_answer_clear whatever the result.  Blocks for at most the timeout of
   CALL.  With new_connection, the request is sent at most once.  Returns
   ERR_NONE for a response of any valid status, ERR_ENDPOINT_SILENT on a
   timeout, and ERR_ENDPOINT_FAILED on any other failure.  The connection is
   closed after a failure.  It is also closed if CALL asked for a new one,
   because callers that always do so would fill the pool with connections that
   nobody uses.  */
enum err_kind
con_call_run (struct con_pool *pool, const struct con_call *call,
              struct con_answer *answer)
{
  memset (answer, 0, sizeof *answer);
  answer->body = g_string_new (NULL);
  CURL *curl = acquire_connection (pool, call->new_connection);
  if (curl == NULL)
    {
      return ERR_ENDPOINT_FAILED;
    }
  struct curl_slist *headers = make_headers (call);
  set_options (curl, pool, call, headers, answer);
  CURLcode result = curl_easy_perform (curl);
  answer->maybe_sent = may_have_sent (curl, result);
  read_status_and_type (curl, answer);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, NULL);
  curl_slist_free_all (headers);
  enum err_kind error = result_to_error (result, answer);
  if (error == ERR_NONE && !call->new_connection)
    {
      release_connection (pool, curl);
    }
  else
    {
      curl_easy_cleanup (curl);
    }
  return error;
}

/* Frees the body and the content type of ANSWER; may be called again.  */
void
con_answer_clear (struct con_answer *answer)
{
  if (answer->body != NULL)
    {
      g_string_free (answer->body, TRUE);
      answer->body = NULL;
    }
  g_clear_pointer (&answer->content_type, g_free);
}
