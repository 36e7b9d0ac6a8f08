#include "operator/operator.h"

#include "base/http.h"
#include "base/log.h"
#include "operator/report_page.h"

#include <civetweb.h>
#include <string.h>

#define REQUEST_BODY_BYTES_MAX ((size_t)4 * 1024 * 1024)
#define THREADS "6" /* of the HTTP server */

/* The page holds its scripts and styles itself, and may call only the server
   that it came from. */
#define PAGE_HEADERS                                                          \
  "Content-Security-Policy: default-src 'self' 'unsafe-inline'\r\n"           \
  "X-Frame-Options: DENY\r\nCache-Control: no-store\r\n"

struct opr_server
{
  struct opr_params params;
  struct mg_context *context;
  uint16_t port;
  char token_sha256[65];
};

/* Handles one request of the API.  Returns the body of the response, owned by
   the caller, or NULL with FAILURE set. */
typedef json_t *(*route_handler) (struct opr_server *server,
                                  struct mg_connection *connection,
                                  struct err_failure *failure);

static json_t *
get_status (struct opr_server *server, struct mg_connection *connection,
            struct err_failure *failure)
{
  (void)connection;
  (void)failure;
  return server->params.backend->status (server->params.user_data);
}

static json_t *
get_config (struct opr_server *server, struct mg_connection *connection,
            struct err_failure *failure)
{
  (void)connection;
  return server->params.backend->config_show (server->params.user_data,
                                              failure);
}

static json_t *
get_history (struct opr_server *server, struct mg_connection *connection,
             struct err_failure *failure)
{
  (void)connection;
  (void)failure;
  return server->params.backend->config_history (server->params.user_data);
}

/* Returns the response to a request that changed the configuration.  */
static json_t *
version_to_json (uint64_t version)
{
  return json_pack ("{s:I}", "version", (json_int_t)version);
}

static json_t *
post_config (struct opr_server *server, struct mg_connection *connection,
             struct err_failure *failure)
{
  GString *body = http_read_body (connection, REQUEST_BODY_BYTES_MAX, failure);
  if (body == NULL)
    {
      return NULL;
    }
  const char *publisher = mg_get_header (connection, "X-Publisher");
  struct opr_publish publish = {
    .yaml = body->str,
    .yaml_bytes = body->len,
    .publisher = publisher != NULL ? publisher : "",
  };
  uint64_t version = 0;
  bool accepted = server->params.backend->config_publish (
      server->params.user_data, &publish, &version, failure);
  g_string_free (body, TRUE);
  return accepted ? version_to_json (version) : NULL;
}

/* Returns the body of the request as a JSON object, owned by the caller, or
   NULL with FAILURE set.  */
static json_t *
read_json (struct mg_connection *connection, struct err_failure *failure)
{
  GString *body = http_read_body (connection, REQUEST_BODY_BYTES_MAX, failure);
  if (body == NULL)
    {
      return NULL;
    }
  json_t *json = json_loadb (body->str, body->len, 0, NULL);
  g_string_free (body, TRUE);
  if (!json_is_object (json))
    {
      json_decref (json);
      err_set_failure (failure, ERR_BAD_REQUEST,
                       "the body is not a JSON object");
      return NULL;
    }
  return json;
}

static json_t *
post_drain (struct opr_server *server, struct mg_connection *connection,
            struct err_failure *failure)
{
  json_t *body = read_json (connection, failure);
  if (body == NULL)
    {
      return NULL;
    }
  const char *host = json_string_value (json_object_get (body, "host"));
  bool draining = !json_is_false (json_object_get (body, "draining"));
  uint64_t version = 0;
  bool accepted = false;
  if (host == NULL)
    {
      err_set_failure (failure, ERR_BAD_REQUEST,
                       "host: a name of a host is needed");
    }
  else
    {
      accepted = server->params.backend->drain (server->params.user_data, host,
                                                draining, &version, failure);
    }
  json_decref (body);
  return accepted ? version_to_json (version) : NULL;
}

static json_t *
get_unknown_keys (struct opr_server *server, struct mg_connection *connection,
                  struct err_failure *failure)
{
  (void)connection;
  (void)failure;
  return server->params.backend->unknown_keys (server->params.user_data);
}

static json_t *
post_settle_key (struct opr_server *server, struct mg_connection *connection,
                 struct err_failure *failure)
{
  json_t *body = read_json (connection, failure);
  if (body == NULL)
    {
      return NULL;
    }
  const json_t *ran = json_object_get (body, "ran");
  const json_t *answer = json_object_get (body, "answer");
  char *answer_text = answer != NULL
                          ? json_dumps (answer, JSON_COMPACT | JSON_ENCODE_ANY)
                          : NULL;
  struct opr_settle settle = {
    .account = json_string_value (json_object_get (body, "account")),
    .key = json_string_value (json_object_get (body, "key")),
    .ran = json_is_true (ran),
    .status = 200,
    .body = answer_text,
  };
  bool accepted = false;
  if (settle.account == NULL || settle.key == NULL || !json_is_boolean (ran))
    {
      err_set_failure (failure, ERR_BAD_REQUEST,
                       "account, key and ran (true or false) are needed");
    }
  else
    {
      accepted = server->params.backend->settle_key (server->params.user_data,
                                                     &settle, failure);
    }
  free (answer_text);
  json_decref (body);
  return accepted ? json_object () : NULL;
}

static json_t *
get_report (struct opr_server *server, struct mg_connection *connection,
            struct err_failure *failure)
{
  (void)connection;
  (void)failure;
  return server->params.backend->report (server->params.user_data);
}

static const struct
{
  const char *method;
  const char *path;
  route_handler handle;
} routes[] = {
  { "GET", "/v1/status", get_status },
  { "GET", "/v1/config", get_config },
  { "GET", "/v1/config/history", get_history },
  { "POST", "/v1/config", post_config },
  { "POST", "/v1/drain", post_drain },
  { "GET", "/v1/keys/unknown", get_unknown_keys },
  { "POST", "/v1/keys/settle", post_settle_key },
  { "GET", "/v1/report", get_report },
};

static bool
is_authorized (const struct opr_server *server,
               struct mg_connection *connection)
{
  char hex[65];
  return http_bearer_sha256 (connection, hex, sizeof hex)
         && strcmp (hex, server->token_sha256) == 0;
}

static void
run_route_handler (struct opr_server *server, struct mg_connection *connection,
                   route_handler handle)
{
  struct err_failure failure = { .kind = ERR_NONE };
  json_t *body = handle (server, connection, &failure);
  if (body == NULL)
    {
      http_send_failure (connection, &failure);
      return;
    }
  http_send_json (connection, 200, body);
  json_decref (body);
}

/* Answers a request of the API, which requires the operators' token on every
   path.  Returns 1, which tells civetweb that the request is answered.  */
static int
handle_request (struct mg_connection *connection, void *user_data)
{
  struct opr_server *server = user_data;
  const struct mg_request_info *info = mg_get_request_info (connection);
  struct err_failure failure;
  if (!is_authorized (server, connection))
    {
      err_set_failure (&failure, ERR_UNAUTHORIZED, NULL);
      http_send_failure (connection, &failure);
      return 1;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      if (strcmp (routes[i].method, info->request_method) == 0
          && strcmp (routes[i].path, info->local_uri) == 0)
        {
          run_route_handler (server, connection, routes[i].handle);
          return 1;
        }
    }
  err_set_failure (&failure, ERR_NOT_FOUND, NULL);
  http_send_failure (connection, &failure);
  return 1;
}

/* Answers /metrics.  No token is required, as it holds counters only.  */
static int
handle_metrics (struct mg_connection *connection, void *user_data)
{
  struct opr_server *server = user_data;
  GString *text = g_string_new (NULL);
  cnt_render (server->params.counters, text);
  http_send (connection, 200, "text/plain; version=0.0.4", "", text->str,
             text->len);
  g_string_free (text, TRUE);
  return 1;
}

/* Answers with the page that shows the report.  No token is required, as the
   page itself holds no data: it asks for the token and calls the API with
   it.  */
static int
handle_report_page (struct mg_connection *connection, void *user_data)
{
  (void)user_data;
  http_send (connection, 200, "text/html; charset=utf-8", PAGE_HEADERS,
             opr_report_page, strlen (opr_report_page));
  return 1;
}

/* Starts the server, which the caller stops with opr_server_destroy.  The
   counters, the callbacks and the user data of PARAMS have to outlive it.
   Returns NULL and sets ERROR to ERR_SETTINGS when the server cannot listen on
   the address.  */
struct opr_server *
opr_server_create (const struct opr_params *params, GError **error)
{
  struct opr_server *server = g_new0 (struct opr_server, 1);
  const char *options[] = { "listening_ports",
                            params->address,
                            "num_threads",
                            THREADS,
                            "request_timeout_ms",
                            "5000",
                            "tcp_nodelay",
                            "1",
                            NULL };
  const struct mg_callbacks callbacks = { .log_message = NULL };
  server->params = *params;
  g_autofree char *sum = g_compute_checksum_for_string (
      G_CHECKSUM_SHA256, params->token != NULL ? params->token : "", -1);
  g_strlcpy (server->token_sha256, sum, sizeof server->token_sha256);
  server->context = mg_start (&callbacks, server, options);
  if (server->context == NULL)
    {
      g_set_error (error, ERR_DOMAIN, ERR_SETTINGS,
                   "operator_address: cannot listen on %s", params->address);
      g_free (server);
      return NULL;
    }
  struct mg_server_port port = { .port = 0 };
  mg_get_server_ports (server->context, 1, &port);
  server->port = (uint16_t)port.port;
  mg_set_request_handler (server->context, "/metrics", handle_metrics, server);
  mg_set_request_handler (server->context, "/report$", handle_report_page,
                          server);
  mg_set_request_handler (server->context, "/", handle_request, server);
  return server;
}

/* Stops the server and frees it; NULL is allowed.  */
void
opr_server_destroy (struct opr_server *server)
{
  if (server == NULL)
    {
      return;
    }
  mg_stop (server->context);
  g_free (server);
}

/* Returns the TCP port that the server listens on.  */
uint16_t
opr_server_port (const struct opr_server *server)
{
  return server->port;
}
