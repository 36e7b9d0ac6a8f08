#include "net/server.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "net/address.h"
#include "net/request_head.h"
#include "net/response_head.h"
#include "net/server_private.h"
#include "net/stream.h"
#include "net/turn.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <string.h>
#include <unistd.h>

#define READ_BYTES 65536 /* of one read from a socket */
#define BACKLOG 512      /* connections not accepted yet */

/* Limit on the bytes of pipelined requests, which arrive before the response
   to the current one is complete. */
#define PIPELINED_BYTES_MAX 65536

/* When a request that was refused for want of memory may come back. */
#define REFUSED_HEADERS "Retry-After: 1\r\n"

static int on_message_begin (http_parser *parser);
static int on_url (http_parser *parser, const char *at, size_t count);
static int on_header_field (http_parser *parser, const char *at, size_t count);
static int on_header_value (http_parser *parser, const char *at, size_t count);
static int on_headers_complete (http_parser *parser);
static int on_body (http_parser *parser, const char *at, size_t count);
static int on_message_complete (http_parser *parser);
static void parse (struct nsv_connection *connection, const char *bytes,
                   size_t count);

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

static void
on_closed (uv_handle_t *handle)
{
  struct nsv_connection *connection = handle->data;
  msg_clear (&connection->request);
  g_byte_array_free (connection->pipelined, TRUE);
  g_free (connection);
}

/* Returns the number of bytes that wait for the socket of CONNECTION.  */
size_t
nsv_unsent_bytes (const struct nsv_connection *connection)
{
  return uv_stream_get_write_queue_size (
      (const uv_stream_t *)&connection->tcp);
}

/* Returns true while the caller of CONNECTION lacks a part of a response: one
   that isn't complete, or bytes that the socket hasn't accepted.  */
bool
nsv_is_unfinished (const struct nsv_connection *connection)
{
  return connection->phase == PHASE_RESPONDING
         || nsv_unsent_bytes (connection) > 0;
}

/* Sets whether the end of CONNECTION resets it, also when the kernel closes it
   since this process was killed.  */
static void
set_reset_at_end (struct nsv_connection *connection, bool resets)
{
  const struct linger linger = { .l_onoff = resets, .l_linger = 0 };
  uv_os_fd_t descriptor;
  connection->resets_at_end = resets;
  if (uv_fileno ((const uv_handle_t *)&connection->tcp, &descriptor) == 0
      && setsockopt (descriptor, SOL_SOCKET, SO_LINGER, &linger, sizeof linger)
             != 0)
    {
      lg_line (LOG_WARNING, "caller_linger_failed", "resets=%d reason=\"%s\"",
               resets, g_strerror (errno));
    }
}

/* Lets CONNECTION, which lingers, end in order once all bytes of its response
   are in the socket, from where the kernel sends them in any case.  */
static void
allow_orderly_end (struct nsv_connection *connection)
{
  if (connection->resets_at_end && nsv_unsent_bytes (connection) == 0)
    {
      set_reset_at_end (connection, false);
    }
}

/* Closes CONNECTION, with a TCP reset when RESET is true.  Calls
   `disconnected' for the current request, if any, when NOTIFY is true.  */
void
nsv_close_connection (struct nsv_connection *connection, bool reset,
                      bool notify)
{
  if (connection->closing)
    {
      return;
    }
  connection->closing = true;
  g_ptr_array_remove_fast (connection->server->connections, connection);
  bbg_close (&connection->account);
  connection->server->large_buffers -= connection->has_large_buffer;
  if (connection->phase == PHASE_RESPONDING)
    {
      connection->server->request_count--;
    }
  void *request_context = connection->request_context;
  connection->request_context = NULL;
  if (reset != connection->resets_at_end)
    {
      /* uv_tcp_close_reset refuses to after uv_shutdown. */
      set_reset_at_end (connection, reset);
    }
  uv_close ((uv_handle_t *)&connection->tcp, on_closed);
  if (notify && request_context != NULL)
    {
      connection->server->events->disconnected (request_context);
    }
}

static void
enter_phase (struct nsv_connection *connection, enum phase phase)
{
  connection->phase = phase;
  connection->since_us = clk_monotonic_us ();
}

static int
on_message_begin (http_parser *parser)
{
  struct nsv_connection *connection = parser->data;
  msg_reset (&connection->request);
  connection->chunk_offset = 0;
  connection->lines_offset = 0;
  connection->in_trailer = false;
  connection->error_status = 0;
  connection->received = false;
  connection->in_body = false;
  connection->used = true;
  enter_phase (connection, PHASE_RECEIVING);
  bbg_begin (&connection->account, connection->since_us);
  return 0;
}

/* Returns -1, which stops the parser, when COUNT bytes of the URL or of header
   lines exceed their limit or there is no memory for them, else 0.  */
static int
check_head (struct nsv_connection *connection, size_t count)
{
  if (count > connection->server->limits.header_bytes_max)
    {
      connection->error_status = HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE;
      return -1;
    }
  return nsv_reserve_head (connection);
}

/* Returns where AT, in the chunk that the parser of CONNECTION reads, is in
   the current request, in bytes.  */
static uint64_t
offset_of (const struct nsv_connection *connection, const char *at)
{
  return connection->chunk_offset + (uint64_t)(at - connection->chunk);
}

/* Checks the header lines of CONNECTION's request up to END as check_head.
   What the parser skips counts too: the names and values of many short lines
   don't show the work that these take.  */
static int
check_lines (struct nsv_connection *connection, const char *end)
{
  return check_head (connection,
                     offset_of (connection, end) - connection->lines_offset);
}

static int
on_url (http_parser *parser, const char *at, size_t count)
{
  struct nsv_connection *connection = parser->data;
  g_string_append_len (connection->request.url, at, (gssize)count);
  return check_head (connection, connection->request.url->len);
}

static int
on_header_field (http_parser *parser, const char *at, size_t count)
{
  struct nsv_connection *connection = parser->data;
  bool is_first = connection->in_body ? !connection->in_trailer
                                      : connection->request.headers->len == 0;
  if (is_first)
    {
      connection->lines_offset = offset_of (connection, at);
      connection->in_trailer = connection->in_body;
    }
  if (!connection->in_body) /* else of a trailer, which is dropped */
    {
      msg_add_name (&connection->request, at, count);
    }
  return check_lines (connection, at + count);
}

static int
on_header_value (http_parser *parser, const char *at, size_t count)
{
  struct nsv_connection *connection = parser->data;
  if (!connection->in_body)
    {
      msg_add_value (&connection->request, at, count);
    }
  return check_lines (connection, at + count);
}

static void write_bytes (struct nsv_connection *connection,
                         const uv_buf_t *buffers, unsigned count);

static int
on_headers_complete (http_parser *parser)
{
  struct nsv_connection *connection = parser->data;
  msg_end_headers (&connection->request);
  connection->in_body = true;
  enter_phase (connection, PHASE_RECEIVING);
  connection->error_status = rqh_finish (parser, &connection->request);
  if (connection->error_status != 0)
    {
      return -1;
    }
  bbg_begin (&connection->account, connection->since_us);
  if (parser->content_length != ULLONG_MAX
      && parser->content_length > connection->server->limits.body_bytes_max)
    {
      connection->error_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
      return -1;
    }
  if (parser->content_length != ULLONG_MAX
      && nsv_reserve_or_refuse (connection, BBG_BODY,
                                bbg_allocated (parser->content_length))
             != 0)
    {
      return -1;
    }
  if (rqh_expects_continue (parser, &connection->request))
    {
      static char interim[] = "HTTP/1.1 100 Continue\r\n\r\n";
      uv_buf_t buffer = uv_buf_init (interim, sizeof interim - 1);
      write_bytes (connection, &buffer, 1);
    }
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t count)
{
  struct nsv_connection *connection = parser->data;
  GByteArray *body = connection->request.body;
  if (body->len + count > connection->server->limits.body_bytes_max)
    {
      connection->error_status = HTTP_STATUS_PAYLOAD_TOO_LARGE;
      return -1;
    }
  uint64_t bytes = bbg_allocated (body->len + count);
  if (bytes > connection->account.bytes[BBG_BODY]
      && nsv_reserve_or_refuse (connection, BBG_BODY, bytes) != 0)
    {
      return -1;
    }
  g_byte_array_append (body, (const guint8 *)at, (guint)count);
  bbg_add_progress (&connection->account, count);
  return 0;
}

static int
on_message_complete (http_parser *parser)
{
  struct nsv_connection *connection = parser->data;
  connection->received = true;
  bbg_end (&connection->account);
  http_parser_pause (parser, 1);
  return 0;
}

static void parse_pipelined (struct nsv_connection *connection);

static void
on_written (uv_write_t *request, int status)
{
  struct nsv_connection *connection = request->handle->data;
  g_free (request->data);
  g_free (request);
  if (connection->closing)
    {
      return;
    }
  if (status < 0)
    {
      nsv_close_connection (connection, true, true);
      return;
    }
  bbg_force (&connection->account, BBG_UNSENT, nsv_unsent_bytes (connection));
  if (connection->phase == PHASE_LINGERING)
    {
      allow_orderly_end (connection);
    }
  if (connection->slow && nsv_unsent_bytes (connection) == 0)
    {
      connection->slow = false;
      if (connection->request_context != NULL)
        {
          connection->server->events->drained (connection->request_context);
        }
      else if (connection->phase == PHASE_IDLE)
        {
          parse_pipelined (connection);
        }
    }
}

/* Sends the bytes of COUNT BUFFERS; queues a copy of what the socket doesn't
   accept at once.  When that fails, the next read closes the connection, since
   `disconnected' must not be called from a call of the owner.  */
static void
write_bytes (struct nsv_connection *connection, const uv_buf_t *buffers,
             unsigned count)
{
  uv_stream_t *stream = (uv_stream_t *)&connection->tcp;
  size_t total = 0;
  for (unsigned i = 0; i < count; i++)
    {
      total += buffers[i].len;
    }
  int written = 0;
  if (nsv_unsent_bytes (connection) == 0)
    {
      written = uv_try_write (stream, buffers, count);
    }
  size_t done = written > 0 ? (size_t)written : 0;
  if (done == total)
    {
      return;
    }
  uv_write_t *request = g_new0 (uv_write_t, 1);
  char *rest = g_malloc (total - done);
  size_t used = 0;
  for (unsigned i = 0; i < count; i++)
    {
      size_t skip = MIN (done, buffers[i].len);
      memcpy (rest + used, buffers[i].base + skip, buffers[i].len - skip);
      used += buffers[i].len - skip;
      done -= skip;
    }
  request->data = rest;
  uv_buf_t buffer = uv_buf_init (rest, (unsigned)used);
  int status = uv_write (request, stream, &buffer, 1, on_written);
  if (status != 0)
    {
      lg_line (LOG_WARNING, "caller_write_failed", "bytes=%zu reason=\"%s\"",
               used, uv_strerror (status));
      g_free (rest);
      g_free (request);
      nst_end_reading (&connection->tcp);
      return;
    }
  bbg_force (&connection->account, BBG_UNSENT, nsv_unsent_bytes (connection));
  /* Stays set until all bytes have been sent, when `drained' is called. */
  connection->slow |= nsv_unsent_bytes (connection)
                      > connection->server->limits.unsent_bytes_max;
}

/* Shuts CONNECTION down for writing once the response has been sent, and waits
   for the caller to close.  */
void
nsv_linger (struct nsv_connection *connection)
{
  enter_phase (connection, PHASE_LINGERING);
  connection->lingering_bytes = nsv_unsent_bytes (connection);
  allow_orderly_end (connection);
  uv_shutdown (&connection->shutdown, (uv_stream_t *)&connection->tcp, NULL);
}

/* Continues with the bytes that have arrived after a request of
   CONNECTION.  */
static void
parse_pipelined (struct nsv_connection *connection)
{
  GByteArray *pipelined = connection->pipelined;
  if (pipelined->len > 0)
    {
      connection->pipelined = g_byte_array_new ();
      parse (connection, (const char *)pipelined->data, pipelined->len);
      g_byte_array_free (pipelined, TRUE);
      bbg_force (&connection->account, BBG_PIPELINED,
                 bbg_allocated (connection->pipelined->len));
    }
}

/* Called after a complete response: continues with the next request, which may
   have arrived already, or shuts the connection down.  A response whose head
   was sent before a stop didn't announce the end of the connection, so that a
   request may follow it.  A slow caller's next request waits until the caller
   has read the response, so that it can't let responses pile up.  */
static void
finish_response (struct nsv_connection *connection)
{
  connection->server->request_count--;
  connection->request_context = NULL;
  nsv_release_request (connection);
  if (connection->announces_close)
    {
      nsv_linger (connection);
      return;
    }
  enter_phase (connection, PHASE_IDLE);
  msg_reset (&connection->request);
  if (!connection->parsing && !connection->slow)
    {
      parse_pipelined (connection);
    }
}

/* Gives up the request of CONNECTION, which was not received completely.  The
   response to it is the last one of the connection.  */
static void
give_up_request (struct nsv_connection *connection)
{
  connection->server->request_count++;
  enter_phase (connection, PHASE_RESPONDING);
  connection->keep_alive = false;
  bbg_end (&connection->account);
  nsv_release_request (connection);
}

/* Responds with the error STATUS to a request that was not received
   completely, and shuts the connection down.  WHY is what is lacking, with
   status 503.  */
void
nsv_reject_incomplete (struct nsv_connection *connection, uint32_t status,
                       const char *why)
{
  give_up_request (connection);
  if (status != HTTP_STATUS_SERVICE_UNAVAILABLE)
    {
      nsv_respond (connection, status, "", "", 0);
    }
  else if (connection->server->events->refused == NULL)
    {
      nsv_respond (connection, status, REFUSED_HEADERS, "", 0);
    }
  else
    {
      connection->server->events->refused (
          connection->server->context, connection,
          connection->in_body ? &connection->request : NULL, why);
    }
}

/* Passes the complete request of CONNECTION to the owner.  */
static void
dispatch_request (struct nsv_connection *connection)
{
  struct nsv_server *server = connection->server;
  connection->keep_alive
      = !server->stopping && http_should_keep_alive (&connection->parser);
  connection->knows_chunks = connection->parser.http_major == 1
                             && connection->parser.http_minor >= 1;
  enter_phase (connection, PHASE_RESPONDING);
  server->request_count++;
  server->events->request (server->context, connection, &connection->request,
                           http_method_str (connection->parser.method));
}

/* Keeps COUNT BYTES that have arrived before the response to the current
   request of CONNECTION is complete.  Closes the connection if they are too
   many.  */
static void
keep_pipelined (struct nsv_connection *connection, const char *bytes,
                size_t count)
{
  size_t total = connection->pipelined->len + count;
  if (total > PIPELINED_BYTES_MAX
      || !nsv_reserve (connection, BBG_PIPELINED, bbg_allocated (total)))
    {
      nsv_close_connection (connection, true, true);
      return;
    }
  g_byte_array_append (connection->pipelined, (const guint8 *)bytes,
                       (guint)count);
}

/* Parses COUNT bytes of requests.  Bytes after a complete request are kept
   until its response is complete.  */
static void
parse (struct nsv_connection *connection, const char *bytes, size_t count)
{
  connection->parsing = true;
  while (count > 0 && !connection->closing)
    {
      if (connection->phase == PHASE_RESPONDING
          || (connection->phase == PHASE_IDLE && connection->slow))
        {
          keep_pipelined (connection, bytes, count);
          break;
        }
      if (connection->phase == PHASE_LINGERING)
        {
          break;
        }
      connection->chunk = bytes;
      size_t parsed = http_parser_execute (&connection->parser,
                                           &parser_settings, bytes, count);
      connection->chunk_offset += parsed;
      bytes += parsed;
      count -= MIN (parsed, count);
      if (connection->received)
        {
          connection->received = false;
          http_parser_pause (&connection->parser, 0);
          dispatch_request (connection);
        }
      else if (HTTP_PARSER_ERRNO (&connection->parser) != HPE_OK)
        {
          nsv_reject_incomplete (connection,
                                 connection->error_status != 0
                                     ? connection->error_status
                                     : HTTP_STATUS_BAD_REQUEST,
                                 "memory is short");
          break;
        }
    }
  connection->parsing = false;
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  (void)suggested;
  struct nsv_connection *connection = handle->data;
  *buffer = uv_buf_init (connection->server->read_buffer, READ_BYTES);
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  struct nsv_connection *connection = stream->data;
  if (connection->closing || count == 0)
    {
      return;
    }
  if (count < 0)
    {
      nsv_close_connection (connection, nsv_is_unfinished (connection), true);
      return;
    }
  trn_enter ("requests");
  parse (connection, buffer->base, (size_t)count);
  int64_t now_us = clk_monotonic_us ();
  bbg_mark_progress (&connection->account, now_us);
  if (connection->phase == PHASE_RECEIVING && connection->in_body)
    {
      connection->since_us = now_us;
    }
}

static void
on_listener_closed (uv_handle_t *handle)
{
  g_free (handle);
}

static void
close_listener (struct nsv_server *server)
{
  if (server->listener != NULL)
    {
      uv_close ((uv_handle_t *)server->listener, on_listener_closed);
      server->listener = NULL;
    }
}

/* Handles a failure to accept.  For lack of descriptors or memory, closes the
   listener until the next nsv_expire: libuv would repeat the attempt for ever,
   without returning to the event loop.  */
static void
handle_accept_failure (struct nsv_server *server, int status)
{
  lg_line (LOG_WARNING, "caller_accept_failed",
           "port=%u connections=%u reason=\"%s\"",
           ntohs (server->address.sin_port), server->connections->len,
           uv_strerror (status));
  if (status == UV_EMFILE || status == UV_ENFILE || status == UV_ENOBUFS
      || status == UV_ENOMEM)
    {
      close_listener (server);
    }
}

/* Accepts a connection.  When there are too many, another one makes room for
   it, or it is reset.  */
static void
on_connection (uv_stream_t *listener, int status)
{
  struct nsv_server *server = listener->data;
  if (status < 0)
    {
      handle_accept_failure (server, status);
      return;
    }
  struct nsv_connection *connection = g_new0 (struct nsv_connection, 1);
  connection->server = server;
  connection->tcp.data = connection;
  connection->pipelined = g_byte_array_new ();
  msg_init (&connection->request);
  http_parser_init (&connection->parser, HTTP_REQUEST);
  connection->parser.data = connection;
  uv_tcp_init (server->loop, &connection->tcp);
  g_ptr_array_add (server->connections, connection);
  enter_phase (connection, PHASE_IDLE);
  bbg_open (&connection->account, server->limits.budget, connection);
  if (uv_accept (listener, (uv_stream_t *)&connection->tcp) != 0
      || !nsv_make_room (server)
      || !nsv_reserve (connection, BBG_CONNECTION, NSV_CONNECTION_BYTES))
    {
      nsv_close_connection (connection, true, false);
      return;
    }
  uv_tcp_nodelay (&connection->tcp, 1);
  uv_os_fd_t descriptor;
  if (uv_fileno ((uv_handle_t *)&connection->tcp, &descriptor) == 0)
    {
      unsigned timeout_ms = server->limits.user_timeout_ms;
      setsockopt (descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
                  sizeof timeout_ms);
    }
  uv_read_start ((uv_stream_t *)&connection->tcp, on_alloc, on_read);
}

/* Listens on the address of SERVER, and sets it to the one that the socket was
   bound to.  Returns 0, or the error of libuv.  */
int
nsv_open_listener (struct nsv_server *server)
{
  int bytes = sizeof server->address;
  server->listener = g_new0 (uv_tcp_t, 1);
  server->listener->data = server;
  uv_tcp_init (server->loop, server->listener);
  int status = uv_tcp_bind (server->listener,
                            (const struct sockaddr *)&server->address, 0);
  if (status == 0)
    {
      /* By default the kernel may keep megabytes for a connection. */
      rcb_set (server->listener, server->buffers.initial_bytes);
      status = uv_listen ((uv_stream_t *)server->listener, BACKLOG,
                          on_connection);
    }
  if (status == 0)
    {
      status = uv_tcp_getsockname (
          server->listener, (struct sockaddr *)&server->address, &bytes);
    }
  if (status != 0)
    {
      close_listener (server);
    }
  return status;
}

/* Creates a server that listens on ADDRESS, IP:PORT.  Returns NULL and sets
   ERROR to ERR_SETTINGS when it can't.  LOOP must run in the calling thread.
   EVENTS must outlive the server.  */
struct nsv_server *
nsv_create (uv_loop_t *loop, const char *address,
            const struct nsv_limits *limits, const struct nsv_events *events,
            void *context, GError **error)
{
  struct nsv_server *server = g_new0 (struct nsv_server, 1);
  server->loop = loop;
  server->limits = *limits;
  server->events = events;
  server->context = context;
  server->connections = g_ptr_array_new ();
  server->read_buffer = g_malloc (READ_BYTES);
  rcb_plan_for_host (limits->memory_mb, limits->connections_max + BACKLOG,
                     &server->buffers);
  int status = nad_parse (address, &server->address)
                   ? nsv_open_listener (server)
                   : UV_EINVAL;
  if (status != 0)
    {
      g_set_error (error, ERR_DOMAIN, ERR_SETTINGS, "can't listen on %s: %s",
                   address, uv_strerror (status));
      nsv_destroy (server);
      return NULL;
    }
  return server;
}

/* Closes the connections of SERVER, which may be NULL, and frees it.  Those
   with an unfinished response are reset: the end of a connection may complete
   a response.  The loop must run once more.  */
void
nsv_destroy (struct nsv_server *server)
{
  if (server == NULL)
    {
      return;
    }
  while (server->connections->len > 0)
    {
      struct nsv_connection *connection
          = g_ptr_array_index (server->connections, 0);
      nsv_close_connection (connection, nsv_is_unfinished (connection), true);
    }
  close_listener (server);
  g_ptr_array_free (server->connections, TRUE);
  g_free (server->read_buffer);
  g_free (server);
}

/* Returns the address that SERVER listens on, IP:PORT, with the port that the
   kernel chose if port 0 was asked for.  The caller frees it.  */
char *
nsv_address (const struct nsv_server *server)
{
  char ip[INET_ADDRSTRLEN] = "";
  uv_ip4_name (&server->address, ip, sizeof ip);
  return g_strdup_printf ("%s:%u", ip, ntohs (server->address.sin_port));
}

/* Replaces the limits of SERVER.  Open connections keep `user_timeout_ms'.  */
void
nsv_set_limits (struct nsv_server *server, const struct nsv_limits *limits)
{
  server->limits = *limits;
}

/* Disables keep-alive, to stop the server: every connection is closed
   after its next response, and idle ones once IDLE_UNTIL_US, monotonic time,
   is reached.  */
void
nsv_disable_keep_alive (struct nsv_server *server, int64_t idle_until_us)
{
  server->stopping = true;
  server->idle_until_us = idle_until_us;
  for (guint i = 0; i < server->connections->len; i++)
    {
      struct nsv_connection *connection
          = g_ptr_array_index (server->connections, i);
      connection->keep_alive = false;
    }
}

/* Refuses the requests that haven't been received completely, with HEADERS,
   each of which ends with CRLF: the process ends, and none of them has run. */
void
nsv_refuse_incomplete (struct nsv_server *server, const char *headers)
{
  for (guint i = server->connections->len; i-- > 0;)
    {
      struct nsv_connection *connection
          = g_ptr_array_index (server->connections, i);
      if (connection->phase == PHASE_RECEIVING)
        {
          give_up_request (connection);
          nsv_respond (connection, HTTP_STATUS_SERVICE_UNAVAILABLE, headers,
                       "", 0);
        }
    }
}

/* Returns the number of open connections.  */
uint32_t
nsv_connection_count (const struct nsv_server *server)
{
  return server->connections->len;
}

/* Returns the number of requests without a complete response.  */
uint32_t
nsv_request_count (const struct nsv_server *server)
{
  return server->request_count;
}

/* Returns true when no request is without a complete response or has arrived
   in part, and no byte of a response waits for its caller.  */
bool
nsv_is_idle (const struct nsv_server *server)
{
  bool idle = server->request_count == 0;
  for (guint i = 0; idle && i < server->connections->len; i++)
    {
      const struct nsv_connection *connection
          = g_ptr_array_index (server->connections, i);
      idle = !nsv_is_unfinished (connection)
             && connection->phase != PHASE_RECEIVING
             && (connection->phase != PHASE_IDLE
                 || !nsv_has_unread_bytes (connection));
    }
  return idle;
}

/* Sets the context of `disconnected' and `drained' for the current request. */
void
nsv_set_request_context (struct nsv_connection *connection,
                         void *request_context)
{
  connection->request_context = request_context;
}

/* Returns the body of the current request, which is empty from then on.  The
   caller frees it when it responds, or when the connection is closed.  */
GByteArray *
nsv_take_body (struct nsv_connection *connection)
{
  GByteArray *body = connection->request.body;
  connection->request.body = g_byte_array_new ();
  return body;
}

/* Appends the status line and HEADERS, each of which ends with CRLF.  */
static void
append_head (struct nsv_connection *connection, GString *head, uint32_t status,
             const char *headers)
{
  g_string_append_printf (head, "HTTP/1.1 %03u %s\r\n%s", status,
                          msg_reason (status), headers);
  connection->announces_close = !connection->keep_alive;
  if (!connection->keep_alive)
    {
      g_string_append (head, "Connection: close\r\n");
    }
}

/* Returns whether the response to the current request of CONNECTION ends with
   its head, as its method says.  */
static bool
is_head_only (const struct nsv_connection *connection)
{
  return connection->parser.method == HTTP_HEAD;
}

/* Sends the complete response to the current request: STATUS, HEADERS, each of
   which ends with CRLF, and the body.  A response to HEAD has the length of
   the body but not the body; if that is empty, HEADERS may have a length.  */
void
nsv_respond (struct nsv_connection *connection, uint32_t status,
             const char *headers, const void *body, size_t body_bytes)
{
  GString *head = g_string_sized_new (512);
  bool head_only = is_head_only (connection);
  append_head (connection, head, status, headers);
  if (rsh_has_body (status) && (!head_only || body_bytes > 0))
    {
      g_string_append_printf (head, "Content-Length: %zu\r\n", body_bytes);
    }
  g_string_append (head, "\r\n");
  const uv_buf_t buffers[] = {
    uv_buf_init (head->str, (unsigned)head->len),
    uv_buf_init ((char *)body, (unsigned)body_bytes),
  };
  write_bytes (connection, buffers, body_bytes > 0 && !head_only ? 2 : 1);
  g_string_free (head, TRUE);
  finish_response (connection);
}

/* Begins a response whose body is sent with nsv_send_body.  Unless CHUNKED,
   and to callers of HTTP/1.0, which know no chunks, the end of the connection
   ends the body.  The connection is then reset if the response isn't complete,
   even if this process is killed.  */
void
nsv_begin_response (struct nsv_connection *connection, uint32_t status,
                    const char *headers, bool chunked)
{
  GString *head = g_string_sized_new (512);
  connection->chunked = chunked && connection->knows_chunks;
  connection->keep_alive &= connection->chunked;
  if (!connection->chunked)
    {
      set_reset_at_end (connection, true);
    }
  append_head (connection, head, status, headers);
  g_string_append (head, connection->chunked
                             ? "Transfer-Encoding: chunked\r\n\r\n"
                             : "\r\n");
  uv_buf_t buffer = uv_buf_init (head->str, (unsigned)head->len);
  write_bytes (connection, &buffer, 1);
  g_string_free (head, TRUE);
}

/* Sends COUNT bytes of the body of a response that was begun, unless it is one
   to HEAD.  COUNT must not be 0, which would end a chunked body.  */
void
nsv_send_body (struct nsv_connection *connection, const void *bytes,
               size_t count)
{
  char size[24];
  int size_bytes = g_snprintf (size, sizeof size, "%zx\r\n", count);
  static char end[] = "\r\n";
  const uv_buf_t buffers[] = {
    uv_buf_init (size, (unsigned)size_bytes),
    uv_buf_init ((char *)bytes, (unsigned)count),
    uv_buf_init (end, 2),
  };
  if (is_head_only (connection))
    {
      return;
    }
  if (connection->chunked)
    {
      write_bytes (connection, buffers, 3);
    }
  else
    {
      write_bytes (connection, &buffers[1], 1);
    }
}

/* Ends a response that was begun, as complete.  */
void
nsv_end_response (struct nsv_connection *connection)
{
  static char last[] = "0\r\n\r\n";
  uv_buf_t buffer = uv_buf_init (last, sizeof last - 1);
  if (connection->chunked && !is_head_only (connection))
    {
      write_bytes (connection, &buffer, 1);
    }
  finish_response (connection);
}

/* Resets the connection, so that the caller detects that the response that was
   begun is incomplete.  Calls no event.  */
void
nsv_abort (struct nsv_connection *connection)
{
  connection->request_context = NULL;
  nsv_close_connection (connection, true, false);
}

/* Returns true once more than `unsent_bytes_max' bytes are queued for the
   caller, until all of them have been sent; `drained' is called then.  */
bool
nsv_is_slow (const struct nsv_connection *connection)
{
  return connection->slow;
}
