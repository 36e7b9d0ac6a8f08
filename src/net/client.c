#include "net/client.h"

#include "base/clock.h"
#include "base/log.h"
#include "net/address.h"
#include "net/response_head.h"
#include "net/stream.h"
#include "net/turn.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define HEAD_START "HEAD " /* of a request */

#define READ_BYTES 65536 /* of one read from a socket */

/* Interim responses before a response.  A server that only sends these would
   otherwise hold a request until its deadline. */
#define INTERIM_MAX 16

/* One connection and the exchange that it carries, if any.  Since a connection
   carries at most one exchange at a time, the same struct is the exchange in
   the public interface and is called the connection in this file. */
struct ncl_exchange
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  struct ncl_client *client;
  char *address;
  http_parser parser;
  struct rsh_status_line status_line;
  struct msg_message response;
  GString *unsent;     /* the head of the request, until the connection is
                          established */
  GBytes *unsent_body; /* the same of its body; NULL: none */
  bool connected;
  bool in_use;  /* carries an exchange */
  bool is_head; /* the method of the request: its response has no body */
  bool headers_seen;
  uint32_t interim; /* interim responses of the exchange */
  bool finished;    /* the response has been parsed to its end */
  bool foreign;     /* the response belongs to another request */
  bool closing;
  bool paused;
  int64_t idle_since_us;
  int64_t idle_timeout_us;
  int64_t connect_by_us; /* deadline, monotonic time */
  int64_t send_by_us;    /* see ncl_set_send_by; INT64_MAX: none */
  const struct ncl_events *events;
  void *context;
};

struct ncl_client
{
  uv_loop_t *loop;
  struct ncl_params params;
  GHashTable *idle; /* address to GPtrArray of connections; the last
                       one was used most recently */
  GPtrArray *connections;
  char *read_buffer; /* READ_BYTES, shared by all connections: each read is
                        handled before the next one */
  struct ncl_counts counts;
};

static int on_headers_complete (http_parser *parser);
static int on_header_field (http_parser *parser, const char *at, size_t count);
static int on_header_value (http_parser *parser, const char *at, size_t count);
static int on_body (http_parser *parser, const char *at, size_t count);
static int on_message_complete (http_parser *parser);

static const http_parser_settings parser_settings = {
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

static void
destroy_list (gpointer list)
{
  g_ptr_array_free (list, TRUE);
}

/* Creates a client on LOOP, which must run in the calling thread.  */
struct ncl_client *
ncl_create (uv_loop_t *loop, const struct ncl_params *params)
{
  struct ncl_client *client = g_new0 (struct ncl_client, 1);
  client->loop = loop;
  client->params = *params;
  client->idle
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, destroy_list);
  client->connections = g_ptr_array_new ();
  client->read_buffer = g_malloc (READ_BYTES);
  return client;
}

static void
on_closed (uv_handle_t *handle)
{
  struct ncl_exchange *connection = handle->data;
  msg_clear (&connection->response);
  if (connection->unsent != NULL)
    {
      g_string_free (connection->unsent, TRUE);
    }
  g_bytes_unref (connection->unsent_body);
  g_free (connection->address);
  g_free (connection);
}

/* Removes CONNECTION from the pool of idle connections.  */
static void
remove_idle (struct ncl_exchange *connection)
{
  GPtrArray *list
      = g_hash_table_lookup (connection->client->idle, connection->address);
  if (list != NULL)
    {
      g_ptr_array_remove (list, connection);
    }
}

static void
close_connection (struct ncl_exchange *connection)
{
  if (connection->closing)
    {
      return;
    }
  connection->closing = true;
  remove_idle (connection);
  g_ptr_array_remove_fast (connection->client->connections, connection);
  connection->client->counts.open--;
  uv_close ((uv_handle_t *)&connection->tcp, on_closed);
}

/* Closes CONNECTION and reports FAILURE to the owner of its exchange, if it
   carries one.  */
static void
fail (struct ncl_exchange *connection, enum ncl_failure failure)
{
  bool in_use = connection->in_use;
  connection->in_use = false;
  close_connection (connection);
  if (in_use)
    {
      connection->events->failed (connection->context, failure);
    }
}

static int
on_header_field (http_parser *parser, const char *at, size_t count)
{
  struct ncl_exchange *connection = parser->data;
  msg_add_name (&connection->response, at, count);
  return 0;
}

static int
on_header_value (http_parser *parser, const char *at, size_t count)
{
  struct ncl_exchange *connection = parser->data;
  msg_add_value (&connection->response, at, count);
  return 0;
}

/* Sets the idle time-out of CONNECTION from the Keep-Alive header of the
   response.  */
static void
read_keep_alive (struct ncl_exchange *connection)
{
  const struct ncl_params *params = &connection->client->params;
  const char *keep_alive = msg_find (&connection->response, "Keep-Alive");
  const char *timeout
      = keep_alive == NULL ? NULL : strstr (keep_alive, "timeout=");
  connection->idle_timeout_us = params->idle_max_us;
  if (timeout != NULL)
    {
      int64_t most_s
          = (params->idle_max_us + params->idle_margin_us) / CLK_S_US + 1;
      int64_t stated_s
          = g_ascii_strtoll (timeout + strlen ("timeout="), NULL, 10);
      int64_t server_timeout_us = CLAMP (stated_s, 0, most_s) * CLK_S_US;
      connection->idle_timeout_us = MIN (
          params->idle_max_us, server_timeout_us - params->idle_margin_us);
    }
}

static bool
is_interim (const http_parser *parser)
{
  return parser->status_code < HTTP_STATUS_OK;
}

/* Returns whether the response on CONNECTION, whose head was read, has a body,
   whatever its headers say.  */
static bool
has_body (const struct ncl_exchange *connection)
{
  return !connection->is_head && rsh_has_body (connection->parser.status_code);
}

static int
on_headers_complete (http_parser *parser)
{
  struct ncl_exchange *connection = parser->data;
  msg_end_headers (&connection->response);
  if (!rsh_is_valid (&connection->status_line, parser, &connection->response))
    {
      return -1;
    }
  if (is_interim (parser))
    {
      msg_reset (&connection->response);
      connection->interim++;
      return connection->interim > INTERIM_MAX ? -1 : 0;
    }
  connection->headers_seen = true;
  read_keep_alive (connection);
  if (!connection->events->headers (connection->context, parser->status_code,
                                    &connection->response))
    {
      connection->foreign = true;
      return -1;
    }
  if (!connection->in_use)
    {
      return -1;
    }
  /* 1 lets the parser skip the body that the headers may announce. */
  return has_body (connection) ? 0 : 1;
}

static int
on_body (http_parser *parser, const char *at, size_t count)
{
  struct ncl_exchange *connection = parser->data;
  connection->events->body (connection->context, at, count);
  return connection->in_use ? 0 : -1;
}

/* Pauses the parser also after an interim response, since the next status line
   begins there.  */
static int
on_message_complete (http_parser *parser)
{
  struct ncl_exchange *connection = parser->data;
  connection->finished = !is_interim (parser);
  http_parser_pause (parser, 1);
  return 0;
}

/* Ends the exchange on CONNECTION as complete.  A REUSABLE connection is kept
   as idle before the owner is notified, so that a request sent from the
   callback finds it.  */
static void
finish (struct ncl_exchange *connection, bool reusable)
{
  connection->in_use = false;
  const struct ncl_events *events = connection->events;
  void *context = connection->context;
  if (reusable && connection->idle_timeout_us > 0)
    {
      /* The next exchange on the connection must not find it paused. */
      ncl_resume (connection);
      struct ncl_client *client = connection->client;
      GPtrArray *list
          = g_hash_table_lookup (client->idle, connection->address);
      if (list == NULL)
        {
          list = g_ptr_array_new ();
          g_hash_table_insert (client->idle, g_strdup (connection->address),
                               list);
        }
      connection->idle_since_us = clk_monotonic_us ();
      g_ptr_array_add (list, connection);
      if (list->len > client->params.idle_connections_max)
        {
          close_connection (g_ptr_array_index (list, 0));
        }
    }
  else
    {
      close_connection (connection);
    }
  events->complete (context);
}

/* Parses COUNT bytes of the current exchange, at most to the end of its
   response.  Returns the number of bytes parsed.  */
static size_t
parse_response (struct ncl_exchange *connection, const char *bytes,
                size_t count)
{
  http_parser *parser = &connection->parser;
  size_t parsed = 0;
  bool goes_on = true;
  while (goes_on)
    {
      rsh_scan (&connection->status_line, bytes + parsed, count - parsed);
      parsed += http_parser_execute (parser, &parser_settings, bytes + parsed,
                                     count - parsed);
      goes_on = HTTP_PARSER_ERRNO (parser) == HPE_PAUSED
                && !connection->finished && parsed < count;
      if (HTTP_PARSER_ERRNO (parser) == HPE_PAUSED)
        {
          http_parser_pause (parser, 0);
          connection->status_line = (struct rsh_status_line){ 0 };
        }
    }
  return parsed;
}

/* Handles COUNT bytes from the server.  */
static void
handle_bytes (struct ncl_exchange *connection, const char *bytes, size_t count)
{
  if (!connection->in_use)
    {
      close_connection (connection); /* bytes that no request asked for */
      return;
    }
  size_t parsed = parse_response (connection, bytes, count);
  if (connection->foreign)
    {
      fail (connection, NCL_WRONG_RESPONSE);
    }
  else if (!connection->in_use)
    {
      close_connection (connection); /* cancelled in a callback */
    }
  else if (connection->finished)
    {
      finish (connection,
              parsed >= count && http_should_keep_alive (&connection->parser));
    }
  else if (HTTP_PARSER_ERRNO (&connection->parser) != HPE_OK)
    {
      fail (connection, NCL_MALFORMED);
    }
}

/* Handles the end of the connection: a failure when RESET, else a regular
   close by the server.  The latter completes a response without a length; any
   other open response fails.  */
static void
handle_end (struct ncl_exchange *connection, bool reset)
{
  if (!connection->in_use)
    {
      close_connection (connection);
      return;
    }
  if (!reset && connection->headers_seen)
    {
      http_parser_execute (&connection->parser, &parser_settings, NULL, 0);
      if (connection->in_use && connection->finished)
        {
          finish (connection, false);
          return;
        }
    }
  fail (connection, NCL_CUT_OFF);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  (void)suggested;
  struct ncl_exchange *connection = handle->data;
  *buffer = uv_buf_init (connection->client->read_buffer, READ_BYTES);
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  struct ncl_exchange *connection = stream->data;
  if (connection->closing || count == 0)
    {
      return;
    }
  if (count < 0)
    {
      handle_end (connection, !nst_ends_in_order (&connection->tcp, count));
      return;
    }
  trn_enter ("answers");
  handle_bytes (connection, buffer->base, (size_t)count);
}

/* What the socket of a connection hasn't accepted. */
struct pending_write
{
  uv_write_t request; /* its data is this */
  char *head;         /* the rest of the head */
  GBytes *body;       /* reference; NULL: none */
};

static void
destroy_write (struct pending_write *pending)
{
  g_free (pending->head);
  g_bytes_unref (pending->body);
  g_free (pending);
}

static void
on_written (uv_write_t *request, int status)
{
  struct ncl_exchange *connection = request->handle->data;
  destroy_write (request->data);
  if (status < 0 && status != UV_ECANCELED && !connection->closing)
    {
      fail (connection, NCL_CUT_OFF);
    }
}

/* Sends COUNT bytes of a head and BODY, which may be NULL, on CONNECTION;
   queues what the socket doesn't accept at once, with a reference to BODY
   instead of a copy.  When that fails, the next read fails the exchange, since
   `failed' must not be called before ncl_send returns.  */
static void
write_request (struct ncl_exchange *connection, const char *head, size_t count,
               GBytes *body)
{
  uv_stream_t *stream = (uv_stream_t *)&connection->tcp;
  gsize body_bytes = 0;
  const char *text = body == NULL ? "" : g_bytes_get_data (body, &body_bytes);
  uv_buf_t buffers[] = {
    uv_buf_init ((char *)head, (unsigned)count),
    uv_buf_init ((char *)text, (unsigned)body_bytes),
  };
  int written = uv_try_write (stream, buffers, body_bytes > 0 ? 2 : 1);
  size_t done = written > 0 ? (size_t)written : 0;
  if (done == count + body_bytes)
    {
      return;
    }
  size_t head_done = MIN (done, count);
  size_t body_done = done - head_done;
  struct pending_write *pending = g_new0 (struct pending_write, 1);
  pending->request.data = pending;
  pending->head = g_memdup2 (head + head_done, count - head_done);
  pending->body = body == NULL ? NULL : g_bytes_ref (body);
  buffers[0] = uv_buf_init (pending->head, (unsigned)(count - head_done));
  buffers[1] = uv_buf_init ((char *)text + body_done,
                            (unsigned)(body_bytes - body_done));
  int status = uv_write (&pending->request, stream, buffers,
                         body_bytes > body_done ? 2 : 1, on_written);
  if (status != 0)
    {
      lg_line (LOG_WARNING, "endpoint_write_failed",
               "address=%s bytes=%zu reason=\"%s\"", connection->address,
               count + body_bytes - done, uv_strerror (status));
      destroy_write (pending);
      nst_end_reading (&connection->tcp);
    }
}

static void
on_connected (uv_connect_t *request, int status)
{
  struct ncl_exchange *connection = request->data;
  if (connection->closing)
    {
      return;
    }
  if (status < 0 || clk_monotonic_us () >= connection->send_by_us)
    {
      fail (connection, NCL_NOT_CONNECTED);
      return;
    }
  connection->connected = true;
  uv_tcp_nodelay (&connection->tcp, 1);
  uv_read_start ((uv_stream_t *)&connection->tcp, on_alloc, on_read);
  GString *head = g_steal_pointer (&connection->unsent);
  g_autoptr (GBytes) body = g_steal_pointer (&connection->unsent_body);
  write_request (connection, head->str, head->len, body);
  g_string_free (head, TRUE);
}

/* Lets the kernel end CONNECTION when the server doesn't acknowledge sent
   bytes in time.  */
static void
set_user_timeout (struct ncl_exchange *connection)
{
  uv_os_fd_t descriptor;
  if (uv_fileno ((uv_handle_t *)&connection->tcp, &descriptor) == 0)
    {
      unsigned timeout_ms = connection->client->params.user_timeout_ms;
      setsockopt (descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                  sizeof timeout_ms);
    }
}

static void
log_connect_failure (const char *address, int status)
{
  lg_line (LOG_WARNING, "endpoint_connect_failed", "address=%s reason=\"%s\"",
           address, uv_strerror (status));
}

/* Closes the connection of CLIENT that has been idle for longest, if there are
   as many connections as there may be.  The limit on idle ones of each address
   doesn't bound their number, and with it the descriptors.  */
static void
make_room (struct ncl_client *client)
{
  uint32_t limit = client->params.connections_max;
  struct ncl_exchange *oldest = NULL;
  for (guint i = 0; limit > 0 && client->counts.open >= limit
                    && i < client->connections->len;
       i++)
    {
      struct ncl_exchange *connection
          = g_ptr_array_index (client->connections, i);
      if (connection->connected && !connection->in_use
          && (oldest == NULL
              || connection->idle_since_us < oldest->idle_since_us))
        {
          oldest = connection;
        }
    }
  if (oldest != NULL)
    {
      close_connection (oldest);
    }
}

/* Begins to connect to ADDRESS.  Returns the new connection, or NULL when the
   address is not valid or connecting fails at once.  */
static struct ncl_exchange *
open_connection (struct ncl_client *client, const char *address)
{
  struct sockaddr_in parsed;
  if (!nad_parse (address, &parsed))
    {
      return NULL;
    }
  struct ncl_exchange *connection = g_new0 (struct ncl_exchange, 1);
  int status = uv_tcp_init_ex (client->loop, &connection->tcp, AF_INET);
  if (status != 0)
    {
      /* Without a socket, the loop doesn't know the handle: closing it would
         break the loop's list of handles.  */
      log_connect_failure (address, status);
      g_free (connection);
      return NULL;
    }
  connection->client = client;
  connection->address = g_strdup (address);
  msg_init (&connection->response);
  connection->tcp.data = connection;
  connection->connect.data = connection;
  connection->connect_by_us
      = clk_monotonic_us () + client->params.connect_timeout_us;
  set_user_timeout (connection);
  g_ptr_array_add (client->connections, connection);
  client->counts.connections++;
  client->counts.open++;
  status = uv_tcp_connect (&connection->connect, &connection->tcp,
                           (const struct sockaddr *)&parsed, on_connected);
  if (status != 0)
    {
      log_connect_failure (address, status);
      close_connection (connection);
      return NULL;
    }
  return connection;
}

/* Returns whether the server of CONNECTION, which is idle, has neither sent
   bytes nor closed since the last read.  Such bytes may be a second copy of
   the last response, which would be taken for that of the next request.  */
static bool
is_quiet (const struct ncl_exchange *connection)
{
  uv_os_fd_t descriptor;
  char byte;
  return uv_fileno ((const uv_handle_t *)&connection->tcp, &descriptor) == 0
         && recv (descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && errno == EAGAIN;
}

/* Removes the idle connection to ADDRESS that was used last from the pool and
   returns it, or NULL when there is none.  Closes those that it meets on the
   way and that are expired or not quiet; ncl_expire closes the others.  */
static struct ncl_exchange *
take_idle (struct ncl_client *client, const char *address)
{
  GPtrArray *list = g_hash_table_lookup (client->idle, address);
  int64_t now_us = clk_monotonic_us ();
  while (list != NULL && list->len > 0)
    {
      struct ncl_exchange *connection
          = g_ptr_array_steal_index (list, list->len - 1);
      if (now_us - connection->idle_since_us < connection->idle_timeout_us
          && is_quiet (connection))
        {
          return connection;
        }
      close_connection (connection);
    }
  return NULL;
}

/* Sends the request of COUNT BYTES, headers and body, to ADDRESS like
   ncl_send_request.  */
struct ncl_exchange *
ncl_send (struct ncl_client *client, const char *address, const char *bytes,
          size_t count, bool new_connection, const struct ncl_events *events,
          void *context)
{
  const struct ncl_request request = {
    .head = bytes,
    .head_bytes = count,
    .new_connection = new_connection,
  };
  return ncl_send_request (client, address, &request, events, context);
}

/* Sends REQUEST to ADDRESS, on an idle connection if there is one and that is
   allowed.  Calls EVENTS with CONTEXT from the event loop, never before
   ncl_send_request returns.  Returns NULL when the address is not valid or
   can't be used.  */
struct ncl_exchange *
ncl_send_request (struct ncl_client *client, const char *address,
                  const struct ncl_request *request,
                  const struct ncl_events *events, void *context)
{
  struct ncl_exchange *connection
      = request->new_connection ? NULL : take_idle (client, address);
  if (connection == NULL)
    {
      make_room (client);
      connection = open_connection (client, address);
    }
  if (connection == NULL)
    {
      return NULL;
    }
  client->counts.exchanges++;
  connection->events = events;
  connection->context = context;
  connection->in_use = true;
  connection->is_head
      = request->head_bytes >= strlen (HEAD_START)
        && memcmp (request->head, HEAD_START, strlen (HEAD_START)) == 0;
  connection->headers_seen = false;
  connection->interim = 0;
  connection->send_by_us = INT64_MAX;
  connection->status_line = (struct rsh_status_line){ 0 };
  connection->finished = false;
  connection->foreign = false;
  msg_reset (&connection->response);
  http_parser_init (&connection->parser, HTTP_RESPONSE);
  connection->parser.data = connection;
  if (connection->connected)
    {
      write_request (connection, request->head, request->head_bytes,
                     request->body);
      return connection;
    }
  connection->unsent
      = g_string_new_len (request->head, (gssize)request->head_bytes);
  connection->unsent_body
      = request->body == NULL ? NULL : g_bytes_ref (request->body);
  return connection;
}

/* Fails EXCHANGE with NCL_NOT_CONNECTED if its connection is established at
   SEND_BY_US, monotonic time, or later: the permission to send the request has
   run out then, for example since this process was stopped meanwhile.  */
void
ncl_set_send_by (struct ncl_exchange *exchange, int64_t send_by_us)
{
  exchange->send_by_us = send_by_us;
}

/* Ends EXCHANGE without calling its events.  Closes the connection, which lets
   the server stop working on the request.  */
void
ncl_cancel (struct ncl_exchange *exchange)
{
  exchange->in_use = false;
  close_connection (exchange);
}

/* Stops reading the response, so that TCP flow control holds up the server. */
void
ncl_pause (struct ncl_exchange *exchange)
{
  if (!exchange->paused)
    {
      exchange->paused = true;
      uv_read_stop ((uv_stream_t *)&exchange->tcp);
    }
}

/* Continues to read the response after ncl_pause.  */
void
ncl_resume (struct ncl_exchange *exchange)
{
  if (exchange->paused && !exchange->closing)
    {
      exchange->paused = false;
      uv_read_start ((uv_stream_t *)&exchange->tcp, on_alloc, on_read);
    }
}

/* Returns true when the connection of EXCHANGE is established; until then no
   byte of the request has been sent.  */
bool
ncl_is_connected (const struct ncl_exchange *exchange)
{
  return exchange->connected;
}

/* Returns true when the response of EXCHANGE has no length and so ends only
   with its connection.  Valid once the headers have arrived.  */
bool
ncl_ends_with_connection (const struct ncl_exchange *exchange)
{
  return has_body (exchange) && (exchange->parser.flags & F_CHUNKED) == 0
         && (exchange->parser.flags & F_CONTENTLENGTH) == 0;
}

/* Returns the counters of CLIENT, owned by CLIENT.  */
const struct ncl_counts *
ncl_counts (const struct ncl_client *client)
{
  return &client->counts;
}

/* Closes connections that have been idle too long, and fails those that were
   not established in time.  NOW_US is monotonic time.  To be called several
   times a second.  */
void
ncl_expire (struct ncl_client *client, int64_t now_us)
{
  for (guint i = client->connections->len; i-- > 0;)
    {
      if (i >= client->connections->len)
        {
          continue;
        }
      struct ncl_exchange *connection
          = g_ptr_array_index (client->connections, i);
      if (!connection->connected && now_us >= connection->connect_by_us)
        {
          fail (connection, NCL_NOT_CONNECTED);
        }
      else if (connection->connected && !connection->in_use
               && now_us - connection->idle_since_us
                      >= connection->idle_timeout_us)
        {
          close_connection (connection);
        }
    }
}

/* Closes the idle connections to ADDRESS, whose server no longer exists.  */
void
ncl_close_idle (struct ncl_client *client, const char *address)
{
  GPtrArray *list = g_hash_table_lookup (client->idle, address);
  while (list != NULL && list->len > 0)
    {
      close_connection (g_ptr_array_index (list, list->len - 1));
    }
}

/* Frees CLIENT, all of whose exchanges must have ended.  The loop must run
   once more to close the connections.  */
void
ncl_destroy (struct ncl_client *client)
{
  while (client->connections->len > 0)
    {
      close_connection (g_ptr_array_index (client->connections, 0));
    }
  g_ptr_array_free (client->connections, TRUE);
  g_hash_table_destroy (client->idle);
  g_free (client->read_buffer);
  g_free (client);
}
