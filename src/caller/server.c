#include "base/clock.h"

#include "base/http.h"
#include "base/log.h"
#include "caller/chat.h"

#include <pthread.h>
#include <stdatomic.h>
#include <string.h>

#define THREAD_STACK_BYTES ((size_t)256 * 1024)
#define SERVICE_PREFIX "/v1/services/"
#define KEY_PREFIX "/v1/requests/"
#define KEY_BYTES_MAX 128 /* of an Idempotency-Key */
#define PRIORITY_LOWEST 3

struct cal_server
{
  struct cal_params params;
  struct mg_context *context;
  struct bst_store *bodies;
  struct chat_env chat;
  uint16_t port;
  _Atomic int64_t requests_in_progress;
  _Atomic uint64_t request_count; /* all since the start */
  struct cnt_series *responses[ERR_KIND_COUNT];
};

/* Writes a random hex id, with a counter at its end, to ID.  */
static void
make_request_id (struct cal_server *server, char *id, size_t id_bytes)
{
  uint64_t count = atomic_fetch_add (&server->request_count, 1);
  g_snprintf (id, id_bytes, "%08x%08x%06x", g_random_int (), g_random_int (),
              (unsigned)(count & 0xffffff));
}

/* Sets TERMS from the headers X-Priority (0 to 3, 1 by default) and
   X-Deadline-Ms, by default that of ACCOUNT, and gives the request a new id.
   Returns false and sets FAILURE to ERR_BAD_REQUEST when a header is not
   valid.  */
static bool
read_terms (struct cal_server *server, struct mg_connection *connection,
            const struct cal_account *account,
            struct cal_request_options *terms, struct err_failure *failure)
{
  const char *priority = mg_get_header (connection, "X-Priority");
  const char *deadline = mg_get_header (connection, "X-Deadline-Ms");
  guint64 value = 1;
  make_request_id (server, terms->request_id, sizeof terms->request_id);
  terms->deadline_us = clk_monotonic_us () + account->default_deadline_us;
  if (deadline != NULL)
    {
      guint64 deadline_ms;
      if (!g_ascii_string_to_unsigned (deadline, 10, 1, 86400000, &deadline_ms,
                                       NULL))
        {
          err_set_failure (failure, ERR_BAD_REQUEST,
                           "X-Deadline-Ms: 1 to 86400000 is needed");
          return false;
        }
      terms->deadline_us
          = clk_monotonic_us () + (int64_t)deadline_ms * CLK_MS_US;
    }
  if (priority != NULL
      && !g_ascii_string_to_unsigned (priority, 10, 0, PRIORITY_LOWEST, &value,
                                      NULL))
    {
      err_set_failure (failure, ERR_BAD_REQUEST,
                       "X-Priority: 0 to 3 is needed");
      return false;
    }
  terms->priority = (uint32_t)value;
  return true;
}

/* Finds the ACCOUNT of the bearer token in the request.  */
static bool
authorize (struct cal_server *server, struct mg_connection *connection,
           struct cal_account *account, struct err_failure *failure)
{
  char hex[CFG_SHA256_HEX_BYTES];
  if (!http_bearer_sha256 (connection, hex, sizeof hex))
    {
      err_set_failure (failure, ERR_UNAUTHORIZED, NULL);
      return false;
    }
  return server->params.backend->authorize (server->params.user_data, hex,
                                            account, failure);
}

/* Splits the path /v1/services/SERVICE/PATH into SERVICE and PATH, with the
   query.  Returns false when SERVICE is empty or too long.  */
static bool
split_service_path (const struct mg_request_info *info, char *service,
                    size_t service_bytes, GString *path)
{
  const char *rest = info->local_uri + sizeof SERVICE_PREFIX - 1;
  const char *slash = strchr (rest, '/');
  size_t length = slash != NULL ? (size_t)(slash - rest) : strlen (rest);
  if (length == 0 || length >= service_bytes)
    {
      return false;
    }
  memcpy (service, rest, length);
  service[length] = '\0';
  g_string_assign (path, slash != NULL ? slash : "/");
  if (info->query_string != NULL)
    {
      g_string_append_printf (path, "?%s", info->query_string);
    }
  return true;
}

/* Forwards CALL to its service and sends the response to the caller.  Returns
   the kind of error, or ERR_NONE.  */
static enum err_kind
forward_call (struct cal_server *server, struct mg_connection *connection,
              const struct cal_account *account,
              const struct cal_request_options *terms,
              const struct cal_service_call *call)
{
  struct err_failure failure = { .kind = ERR_NONE };
  struct cal_service_answer response = { .body = NULL };
  if (call->key != NULL && strlen (call->key) > KEY_BYTES_MAX)
    {
      err_set_failure (&failure, ERR_BAD_REQUEST,
                       "Idempotency-Key: at most 128 bytes are allowed");
    }
  else if (server->params.backend->call_service (server->params.user_data,
                                                 account, terms, call,
                                                 &response, &failure))
    {
      char headers[80];
      g_snprintf (headers, sizeof headers, "X-Request-Id: %s\r\n",
                  terms->request_id);
      http_send (connection, response.status,
                 response.content_type != NULL ? response.content_type
                                               : "application/json",
                 headers, response.body->str, response.body->len);
    }
  if (failure.kind != ERR_NONE)
    {
      http_send_failure (connection, &failure);
    }
  if (response.body != NULL)
    {
      g_string_free (response.body, TRUE);
    }
  g_free (response.content_type);
  return failure.kind;
}

/* Handles a request to a service.  Returns the kind of error, or ERR_NONE.  */
static enum err_kind
handle_service_call (struct cal_server *server,
                     struct mg_connection *connection,
                     const struct cal_account *account,
                     const struct cal_request_options *terms)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct err_failure failure;
  char service[CFG_NAME_BYTES];
  GString *path = g_string_new (NULL);
  if (!split_service_path (info, service, sizeof service, path))
    {
      err_set_failure (&failure, ERR_NOT_FOUND, NULL);
      http_send_failure (connection, &failure);
      g_string_free (path, TRUE);
      return failure.kind;
    }
  struct bst_body body;
  enum err_kind kind;
  if (!bst_read (server->bodies, connection, &body, &failure))
    {
      kind = failure.kind;
      http_send_failure (connection, &failure);
    }
  else
    {
      struct cal_service_call call = {
        .service = service,
        .method = info->request_method,
        .path = path->str,
        .body = body.text->len > 0 ? body.text->str : NULL,
        .body_bytes = body.text->len,
        .content_type = mg_get_header (connection, "Content-Type"),
        .key = mg_get_header (connection, "Idempotency-Key"),
      };
      kind = forward_call (server, connection, account, terms, &call);
      bst_release (server->bodies, &body);
    }
  g_string_free (path, TRUE);
  return kind;
}

/* Sends what is known of the request with an idempotency key.  Returns the
   kind of error, or ERR_NONE.  */
static enum err_kind
handle_key_lookup (struct cal_server *server, struct mg_connection *connection,
                   const struct cal_account *account)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *key = info->local_uri + sizeof KEY_PREFIX - 1;
  struct err_failure failure = { .kind = ERR_NONE };
  char *outcome = NULL;
  if (server->params.backend->lookup_key (server->params.user_data, account,
                                          key, &outcome, &failure))
    {
      http_send (connection, 200, "application/json", "", outcome,
                 strlen (outcome));
      g_free (outcome);
      return ERR_NONE;
    }
  http_send_failure (connection, &failure);
  return failure.kind;
}

/* Sends the list of models.  Returns the kind of error, or ERR_NONE.  */
static enum err_kind
handle_model_list (struct cal_server *server, struct mg_connection *connection)
{
  struct err_failure failure = { .kind = ERR_NONE };
  char *models = NULL;
  if (server->params.backend->list_models (server->params.user_data, &models,
                                           &failure))
    {
      http_send (connection, 200, "application/json", "", models,
                 strlen (models));
      g_free (models);
      return ERR_NONE;
    }
  http_send_failure (connection, &failure);
  return failure.kind;
}

/* Handles a request of ACCOUNT by its path.  Returns the kind of error, or
   ERR_NONE.  */
static enum err_kind
handle_authorized (struct cal_server *server, struct mg_connection *connection,
                   const struct cal_account *account,
                   const struct cal_request_options *terms)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  const char *uri = info->local_uri;
  bool post = strcmp (info->request_method, "POST") == 0;
  if (post && strcmp (uri, "/v1/chat/completions") == 0)
    {
      return chat_handle (&server->chat, connection, account, terms, true);
    }
  if (post && strcmp (uri, "/v1/completions") == 0)
    {
      return chat_handle (&server->chat, connection, account, terms, false);
    }
  if (g_str_has_prefix (uri, SERVICE_PREFIX))
    {
      return handle_service_call (server, connection, account, terms);
    }
  if (g_str_has_prefix (uri, KEY_PREFIX))
    {
      return handle_key_lookup (server, connection, account);
    }
  if (strcmp (uri, "/v1/models") == 0)
    {
      return handle_model_list (server, connection);
    }
  struct err_failure failure;
  err_set_failure (&failure, ERR_NOT_FOUND, NULL);
  http_send_failure (connection, &failure);
  return failure.kind;
}

/* Handles every request but /healthz and /readyz: authorizes, logs and counts
   it.  */
static int
handle_request (struct mg_connection *connection, void *user_data)
{
  struct cal_server *server = user_data;
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct cal_account account;
  struct cal_request_options terms;
  struct err_failure failure;
  enum err_kind kind;
  atomic_fetch_add (&server->requests_in_progress, 1);
  int64_t start_us = clk_monotonic_us ();
  if (authorize (server, connection, &account, &failure)
      && read_terms (server, connection, &account, &terms, &failure))
    {
      kind = handle_authorized (server, connection, &account, &terms);
      lg_line (LOG_INFO, "request",
               "request=%s account=%s method=%s path=%s kind=%s us=%ld",
               terms.request_id, account.name, info->request_method,
               info->local_uri, err_info (kind)->name,
               (long)(clk_monotonic_us () - start_us));
    }
  else
    {
      kind = failure.kind;
      http_send_failure (connection, &failure);
    }
  cnt_add (server->responses[kind], 1);
  atomic_fetch_sub (&server->requests_in_progress, 1);
  return 1;
}

/* Handles /healthz, which reports that the process is running.  */
static int
handle_health (struct mg_connection *connection, void *user_data)
{
  (void)user_data;
  http_send (connection, 200, "text/plain", "", "ok\n", 3);
  return 1;
}

/* Handles /readyz, which reports whether a load balancer may send requests to
   this daemon.  */
static int
handle_ready (struct mg_connection *connection, void *user_data)
{
  struct cal_server *server = user_data;
  if (server->params.backend->ready (server->params.user_data))
    {
      http_send (connection, 200, "text/plain", "", "ready\n", 6);
    }
  else
    {
      http_send (connection, 503, "text/plain", "", "not ready\n", 10);
    }
  return 1;
}

static void *
begin_thread (const struct mg_context *context, int thread_type)
{
  struct cal_server *server = mg_get_user_data (context);
  (void)thread_type;
  server->params.backend->thread_begins (server->params.user_data);
  return NULL;
}

static void
end_thread (const struct mg_context *context, int thread_type,
            void *thread_data)
{
  struct cal_server *server = mg_get_user_data (context);
  (void)thread_type;
  (void)thread_data;
  server->params.backend->thread_ends (server->params.user_data);
}

/* Logs a message of the HTTP library.  */
static int
log_message (const struct mg_connection *connection, const char *message)
{
  (void)connection;
  lg_line (LOG_DEBUG, "caller-http", "message=\"%s\"", message);
  return 1;
}

static void
create_counters (struct cal_server *server)
{
  for (int i = 0; i < ERR_KIND_COUNT; i++)
    {
      char labels[64];
      g_snprintf (labels, sizeof labels, "kind=\"%s\"",
                  err_info ((enum err_kind)i)->name);
      server->responses[i] = cnt_series (server->params.counters, CNT_COUNTER,
                                         "kumquatthread_answers_total", labels,
                                         "Answers to callers by error kind");
    }
}

/* Starts the listener and its threads.  Returns false when the address cannot
   be listened on.  */
static bool
start_http (struct cal_server *server)
{
  char threads[16];
  char timeout[16];
  const struct mg_callbacks callbacks = {
    .init_thread = begin_thread,
    .exit_thread = end_thread,
    .log_message = log_message,
  };
  g_snprintf (threads, sizeof threads, "%u", server->params.threads);
  g_snprintf (timeout, sizeof timeout, "%u", server->params.timeout_ms);
  const char *options[] = { "listening_ports",
                            server->params.address,
                            "num_threads",
                            threads,
                            "request_timeout_ms",
                            timeout,
                            "keep_alive_timeout_ms",
                            timeout,
                            "enable_keep_alive",
                            "yes",
                            "tcp_nodelay",
                            "1",
                            "max_request_size",
                            "16384",
                            "connection_queue",
                            "256",
                            NULL };
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, THREAD_STACK_BYTES);
  pthread_setattr_default_np (&attributes);
  pthread_attr_destroy (&attributes);
  server->context = mg_start (&callbacks, server, options);
  return server->context != NULL;
}

/* Starts the server.  Returns NULL and sets ERROR to ERR_SETTINGS when it
   cannot listen on the address.  */
struct cal_server *
cal_server_create (const struct cal_params *params, GError **error)
{
  struct cal_server *server = g_new0 (struct cal_server, 1);
  server->params = *params;
  const struct bst_params bodies = {
    .memory_mb = params->memory_mb,
    .bytes_max = params->body_bytes_max,
    .timeout_ms = params->timeout_ms,
    .counters = params->counters,
  };
  server->bodies = bst_create (&bodies);
  server->chat = (struct chat_env){
    .backend = params->backend,
    .user_data = params->user_data,
    .bodies = server->bodies,
  };
  create_counters (server);
  if (!start_http (server))
    {
      g_set_error (error, ERR_DOMAIN, ERR_SETTINGS,
                   "caller_address: cannot listen on %s", params->address);
      bst_destroy (server->bodies);
      g_free (server);
      return NULL;
    }
  struct mg_server_port port = { .port = 0 };
  mg_get_server_ports (server->context, 1, &port);
  server->port = (uint16_t)port.port;
  mg_set_request_handler (server->context, "/healthz", handle_health, server);
  mg_set_request_handler (server->context, "/readyz", handle_ready, server);
  mg_set_request_handler (server->context, "/", handle_request, server);
  return server;
}

/* Stops listening, ends the threads and frees SERVER, which may be NULL.
   Requests in progress are aborted: wait first until
   cal_server_requests_in_progress returns 0.  */
void
cal_server_destroy (struct cal_server *server)
{
  if (server == NULL)
    {
      return;
    }
  mg_stop (server->context);
  bst_destroy (server->bodies);
  g_free (server);
}

/* Returns the port that SERVER listens on.  */
uint16_t
cal_server_port (const struct cal_server *server)
{
  return server->port;
}

/* Returns the number of requests in progress.  */
int64_t
cal_server_requests_in_progress (const struct cal_server *server)
{
  return atomic_load (&server->requests_in_progress);
}
