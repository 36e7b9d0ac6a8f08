#include "standin/http_server.h"

#include "base/clock.h"
#include "base/error.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define STACK_BYTES 262144 /* of each CivetWeb thread */
#define BODY_BYTES_MAX 16777216
#define SILENT_HOLD_S 120
#define WAKE_INTERVAL_US 5000

struct hs_server
{
  struct mg_context *context;
  hs_handler handler;
  void *user;
  uint16_t port;
  _Atomic uint64_t next_connection;
  _Atomic uint64_t silent_below; /* lower-numbered connections get no answer */
  _Atomic bool stopping;
  _Atomic bool stopped_listening;
  pthread_mutex_t lock;
  pthread_cond_t stopped;
};

/* CivetWeb callback: assigns consecutive numbers to new connections.  */
static int
number_connection (const struct mg_connection *conn, void **data)
{
  struct hs_server *server = mg_get_user_data (mg_get_context (conn));
  uint64_t number = atomic_fetch_add (&server->next_connection, 1);
  *data = GSIZE_TO_POINTER (number);
  return 0;
}

/* Returns true when CONN was made unresponsive by hs_silence_connections.  */
static bool
is_silent (const struct hs_server *server, const struct mg_connection *conn)
{
  uint64_t number = GPOINTER_TO_SIZE (mg_get_user_connection_data (conn));
  return number < atomic_load (&server->silent_below);
}

/* Blocks the calling thread, and so keeps its connection open, until SERVER
   stops or SILENT_HOLD_S seconds have passed.  */
static void
hold_connection (struct hs_server *server)
{
  struct timespec until;
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += SILENT_HOLD_S;
  int wait_result = 0;
  pthread_mutex_lock (&server->lock);
  while (!atomic_load (&server->stopping) && wait_result == 0)
    {
      wait_result
          = pthread_cond_timedwait (&server->stopped, &server->lock, &until);
    }
  pthread_mutex_unlock (&server->lock);
}

/* Reads the body of the request on CONN and sets BYTES to its length.  Returns
   the body, allocated and terminated by a zero byte, or NULL when the body is
   larger than BODY_BYTES_MAX or incomplete.  */
static char *
read_body (struct mg_connection *conn, size_t *bytes)
{
  long long expected = mg_get_request_info (conn)->content_length;
  *bytes = 0;
  if (expected <= 0)
    {
      return g_strdup ("");
    }
  if (expected > BODY_BYTES_MAX)
    {
      return NULL;
    }
  char *body = g_malloc ((size_t)expected + 1);
  while (*bytes < (size_t)expected)
    {
      int got = mg_read (conn, body + *bytes, (size_t)expected - *bytes);
      if (got <= 0)
        {
          g_free (body);
          return NULL;
        }
      *bytes += (size_t)got;
    }
  body[*bytes] = '\0';
  return body;
}

/* Sends ANSWER with a single write.  */
static void
send_answer (struct mg_connection *conn, const struct hs_answer *answer)
{
  GString *out = g_string_sized_new (answer->body->len + 256);
  g_string_append_printf (
      out,
      "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\n"
      "Content-Length: %zu\r\n",
      answer->status, mg_get_response_code_text (conn, answer->status),
      answer->body->len);
  if (answer->header != NULL)
    {
      g_string_append (out, answer->header);
      g_string_append (out, "\r\n");
    }
  g_string_append (out, "\r\n");
  g_string_append_len (out, answer->body->str, (gssize)answer->body->len);
  mg_write (conn, out->str, out->len);
  g_string_free (out, TRUE);
}

/* Passes a request to the handler of SERVER and sends the answer.  Returns the
   status of the answer.  */
static int
serve (struct hs_server *server, struct mg_connection *conn, const char *body,
       size_t body_bytes)
{
  const struct mg_request_info *info = mg_get_request_info (conn);
  const char *request_id = mg_get_header (conn, "X-Request-Id");
  struct hs_request request = {
    .method = info->request_method,
    .path = info->local_uri,
    .query = info->query_string == NULL ? "" : info->query_string,
    .body = body,
    .body_bytes = body_bytes,
    .request_id = request_id == NULL ? "" : request_id,
  };
  struct hs_answer answer = { .status = 200, .body = g_string_new (NULL) };
  server->handler (server->user, &request, &answer);
  if (!answer.control && is_silent (server, conn))
    {
      hold_connection (server);
      answer.lost = true;
    }
  if (answer.lost)
    {
      mg_disable_connection_keep_alive (conn);
    }
  else
    {
      send_answer (conn, &answer);
    }
  g_string_free (answer.body, TRUE);
  return answer.status;
}

/* CivetWeb callback: handles a request and returns the status.  */
static int
begin_request (struct mg_connection *conn)
{
  struct hs_server *server = mg_get_user_data (mg_get_context (conn));
  size_t bytes = 0;
  char *body = read_body (conn, &bytes);
  if (body == NULL)
    {
      mg_disable_connection_keep_alive (conn);
      mg_send_http_error (conn, 413, "%s", "the body is too large or cut");
      return 413;
    }
  int status = 200;
  if (is_silent (server, conn))
    {
      hold_connection (server);
      mg_disable_connection_keep_alive (conn);
    }
  else
    {
      status = serve (server, conn, body, bytes);
    }
  g_free (body);
  return status;
}

/* CivetWeb callback: discards log messages.  */
static int
drop_message (const struct mg_connection *conn, const char *message)
{
  (void)conn;
  (void)message;
  return 1;
}

/* Sets the default stack size of threads, which CivetWeb uses for its own.  */
static void
set_thread_stacks (void)
{
  pthread_attr_t attributes;
  pthread_attr_init (&attributes);
  pthread_attr_setstacksize (&attributes, STACK_BYTES);
  pthread_setattr_default_np (&attributes);
  pthread_attr_destroy (&attributes);
}

/* Starts a server with OPTIONS on the loopback address.  Returns NULL and sets
   ERROR to ERR_SETTINGS when the server can't listen.  */
struct hs_server *
hs_create (const struct hs_options *options, GError **error)
{
  struct hs_server *server = g_new0 (struct hs_server, 1);
  server->handler = options->handler;
  server->user = options->user;
  pthread_mutex_init (&server->lock, NULL);
  pthread_cond_init (&server->stopped, NULL);
  char address[32];
  char threads[16];
  snprintf (address, sizeof address, "127.0.0.1:%u", options->port);
  snprintf (threads, sizeof threads, "%u", options->connections);
  const char *settings[] = {
    "listening_ports",
    address,
    "num_threads",
    threads,
    "enable_keep_alive",
    "yes",
    "tcp_nodelay",
    "1",
    "keep_alive_timeout_ms",
    "600000",
    "request_timeout_ms",
    "600000",
    "listen_backlog",
    "1024",
    "connection_queue",
    "1024",
    NULL,
  };
  const struct mg_callbacks callbacks = {
    .begin_request = begin_request,
    .init_connection = number_connection,
    .log_message = drop_message,
  };
  set_thread_stacks ();
  server->context = mg_start (&callbacks, server, settings);
  struct mg_server_port port;
  if (server->context == NULL
      || mg_get_server_ports (server->context, 1, &port) != 1)
    {
      g_set_error (error, ERR_DOMAIN, ERR_SETTINGS, "cannot listen on %s",
                   address);
      hs_destroy (server);
      return NULL;
    }
  server->port = (uint16_t)port.port;
  return server;
}

/* Connects to SERVER repeatedly until SERVER has stopped listening.  CivetWeb
   checks for a stop only when its listener wakes, which may take two seconds
   without connections.  */
static void *
wake_listener (void *data)
{
  struct hs_server *server = data;
  const struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_port = htons (server->port),
    .sin_addr.s_addr = htonl (INADDR_LOOPBACK),
  };
  while (!atomic_load (&server->stopped_listening))
    {
      int file = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (file >= 0)
        {
          (void)!connect (file, (const struct sockaddr *)&address,
                          sizeof address);
          close (file);
        }
      usleep (WAKE_INTERVAL_US);
    }
  return NULL;
}

/* Stops CivetWeb's context of SERVER and wakes the listener so that the stop
   doesn't wait for CivetWeb's poll interval.  */
static void
stop_context (struct hs_server *server)
{
  pthread_t waker;
  bool waking = pthread_create (&waker, NULL, wake_listener, server) == 0;
  mg_stop (server->context);
  atomic_store (&server->stopped_listening, true);
  if (waking)
    {
      pthread_join (waker, NULL);
    }
}

/* Stops SERVER and frees it; NULL is allowed.  The caller must make blocked
   handlers return first.  */
void
hs_destroy (struct hs_server *server)
{
  if (server == NULL)
    {
      return;
    }
  pthread_mutex_lock (&server->lock);
  atomic_store (&server->stopping, true);
  pthread_cond_broadcast (&server->stopped);
  pthread_mutex_unlock (&server->lock);
  if (server->context != NULL)
    {
      stop_context (server);
    }
  pthread_cond_destroy (&server->stopped);
  pthread_mutex_destroy (&server->lock);
  g_free (server);
}

/* Returns the port that SERVER listens on.  */
uint16_t
hs_port (const struct hs_server *server)
{
  return server->port;
}

/* Makes all connections that are open now unresponsive: they accept data and
   never answer.  New connections aren't affected.  */
void
hs_silence_connections (struct hs_server *server)
{
  atomic_store (&server->silent_below, atomic_load (&server->next_connection));
}

/* Returns the number that the query of REQUEST has for NAME, or MISSING when
   the query has no such parameter.  */
int64_t
hs_query_number (const struct hs_request *request, const char *name,
                 int64_t missing)
{
  char value[32];
  if (mg_get_var (request->query, strlen (request->query), name, value,
                  sizeof value)
      <= 0)
    {
      return missing;
    }
  return strtoll (value, NULL, 10);
}

/* Fills ANSWER with STATUS and a JSON error body.  KIND and MESSAGE must not
   need escapes in JSON.  */
void
hs_fail (struct hs_answer *answer, int status, const char *kind,
         const char *message)
{
  answer->status = status;
  g_string_printf (answer->body, "{\"kind\":\"%s\",\"message\":\"%s\"}", kind,
                   message);
}
