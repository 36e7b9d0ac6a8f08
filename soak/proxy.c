#include "soak/proxy.h"

#include "base/clock.h"
#include "net/address.h"
#include "net/stream.h"
#include "standin/fleet.h"

#define BACKLOG 256
#define READ_BYTES 65536

/* Bytes to forward, or the end of the connection. */
struct chunk
{
  int64_t due_us; /* not forwarded before this time */
  GBytes *bytes;  /* NULL: the end of the connection */
  bool reset;     /* the connection ended with a reset */
};

struct connection;

/* One side of a connection, and the chunks to forward to it. */
struct side
{
  struct connection *connection;
  struct side *other;
  uv_tcp_t tcp;
  uv_timer_t timer; /* until the first chunk is due */
  GQueue chunks;    /* struct chunk */
  bool from_target; /* the chunks come from the target */
  bool open;        /* connected */
};

/* A connection through the proxy: one from the client to the proxy and one
   from the proxy to the target. */
struct connection
{
  struct spx_proxy *proxy;
  struct side client_side;
  struct side target_side;
  uv_connect_t connect;
  uint32_t open_handles; /* of libuv; the connection is freed at 0 */
  bool closing;
};

struct spx_proxy
{
  uv_loop_t *loop;
  uv_tcp_t *listener; /* NULL: new connections are refused */
  char *address;
  struct sockaddr_in target;
  enum spx_mode mode;
  int64_t delay_us;
  GPtrArray *connections;
  bool over; /* unused */
};

static void flush (struct side *side);

static void
free_chunk (gpointer data)
{
  struct chunk *chunk = data;
  if (chunk->bytes != NULL)
    {
      g_bytes_unref (chunk->bytes);
    }
  g_free (chunk);
}

static void
on_closed (uv_handle_t *handle)
{
  struct side *side = handle->data;
  struct connection *connection = side->connection;
  if (--connection->open_handles == 0)
    {
      g_queue_clear_full (&connection->client_side.chunks, free_chunk);
      g_queue_clear_full (&connection->target_side.chunks, free_chunk);
      g_free (connection);
    }
}

static void
close_side (struct side *side, bool reset)
{
  uv_close ((uv_handle_t *)&side->timer, on_closed);
  if (!reset || uv_tcp_close_reset (&side->tcp, on_closed) != 0)
    {
      if (!uv_is_closing ((uv_handle_t *)&side->tcp))
        {
          uv_close ((uv_handle_t *)&side->tcp, on_closed);
        }
    }
}

static void
close_connection (struct connection *connection, bool reset)
{
  if (connection->closing)
    {
      return;
    }
  connection->closing = true;
  g_ptr_array_remove_fast (connection->proxy->connections, connection);
  close_side (&connection->client_side, reset);
  close_side (&connection->target_side, reset);
}

/* Returns whether the proxy's mode holds back the chunks for SIDE.  */
static bool
is_held_back (const struct side *side)
{
  enum spx_mode mode = side->connection->proxy->mode;
  return mode == SPX_HOLD_ALL
         || (mode == SPX_HOLD_REPLIES && side->from_target);
}

static void
on_written (uv_write_t *write, int status)
{
  (void)status;
  g_bytes_unref (write->data);
  g_free (write);
}

/* Writes BYTES to SIDE and takes ownership of them.  Resets the connection if
   the write fails.  */
static void
send_bytes (struct side *side, GBytes *bytes)
{
  gsize count = 0;
  gconstpointer data = g_bytes_get_data (bytes, &count);
  uv_write_t *write = g_new0 (uv_write_t, 1);
  uv_buf_t buffer = uv_buf_init ((char *)data, (unsigned int)count);
  write->data = bytes;
  if (uv_write (write, (uv_stream_t *)&side->tcp, &buffer, 1, on_written) != 0)
    {
      g_bytes_unref (bytes);
      g_free (write);
      close_connection (side->connection, true);
    }
}

static void
on_due (uv_timer_t *timer)
{
  flush (timer->data);
}

/* Forwards the chunks that are due to SIDE, and starts the timer for the next
   one.  May close the connection.  */
static void
flush (struct side *side)
{
  int64_t now_us = clk_monotonic_us ();
  while (!side->connection->closing && side->open && !is_held_back (side)
         && !g_queue_is_empty (&side->chunks))
    {
      struct chunk *chunk = g_queue_peek_head (&side->chunks);
      if (chunk->due_us > now_us)
        {
          int64_t remaining_ms = (chunk->due_us - now_us) / CLK_MS_US;
          uv_timer_start (&side->timer, on_due, (uint64_t)remaining_ms + 1, 0);
          return;
        }
      g_queue_pop_head (&side->chunks);
      if (chunk->bytes == NULL)
        {
          bool reset = chunk->reset;
          g_free (chunk);
          close_connection (side->connection, reset);
          return;
        }
      send_bytes (side, g_steal_pointer (&chunk->bytes));
      g_free (chunk);
    }
}

/* Queues BYTES, taking ownership of them, for SIDE; if BYTES is NULL, queues
   the end of the connection, by a reset if RESET.  */
static void
enqueue (struct side *side, GBytes *bytes, bool reset)
{
  const struct spx_proxy *proxy = side->connection->proxy;
  struct chunk *chunk = g_new0 (struct chunk, 1);
  chunk->due_us
      = clk_monotonic_us () + (proxy->mode == SPX_DELAY ? proxy->delay_us : 0);
  chunk->bytes = bytes;
  chunk->reset = reset;
  g_queue_push_tail (&side->chunks, chunk);
  flush (side);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  (void)handle;
  (void)suggested;
  buffer->base = g_malloc (READ_BYTES); /* on_read frees it */
  buffer->len = READ_BYTES;
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  struct side *side = stream->data;
  if (count > 0)
    {
      enqueue (side->other, g_bytes_new (buffer->base, (gsize)count), false);
    }
  g_free (buffer->base);
  if (count < 0)
    {
      uv_read_stop (stream);
      enqueue (side->other, NULL, !nst_ends_in_order (&side->tcp, count));
    }
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct connection *connection = connect->data;
  if (connection->closing)
    {
      return;
    }
  if (status != 0)
    {
      close_connection (connection, true);
      return;
    }
  connection->target_side.open = true;
  uv_read_start ((uv_stream_t *)&connection->target_side.tcp, on_alloc,
                 on_read);
  flush (&connection->target_side);
}

static void
init_side (struct connection *connection, struct side *side,
           struct side *other, bool from_target)
{
  side->connection = connection;
  side->other = other;
  side->from_target = from_target;
  g_queue_init (&side->chunks);
  uv_tcp_init (connection->proxy->loop, &side->tcp);
  uv_timer_init (connection->proxy->loop, &side->timer);
  side->tcp.data = side;
  side->timer.data = side;
  connection->open_handles += 2;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct spx_proxy *proxy = listener->data;
  if (status != 0)
    {
      return;
    }
  struct connection *connection = g_new0 (struct connection, 1);
  connection->proxy = proxy;
  init_side (connection, &connection->client_side, &connection->target_side,
             true);
  init_side (connection, &connection->target_side, &connection->client_side,
             false);
  g_ptr_array_add (proxy->connections, connection);
  connection->connect.data = connection;
  connection->client_side.open = true;
  if (uv_accept (listener, (uv_stream_t *)&connection->client_side.tcp) != 0
      || proxy->mode == SPX_RESET
      || uv_tcp_connect (&connection->connect, &connection->target_side.tcp,
                         (const struct sockaddr *)&proxy->target, on_connected)
             != 0)
    {
      close_connection (connection, true);
      return;
    }
  uv_tcp_nodelay (&connection->client_side.tcp, 1);
  uv_tcp_nodelay (&connection->target_side.tcp, 1);
  uv_read_start ((uv_stream_t *)&connection->client_side.tcp, on_alloc,
                 on_read);
}

/* Opens the listener of PROXY at its address.  Aborts if it can't listen.  */
static void
open_listener (struct spx_proxy *proxy)
{
  struct sockaddr_in own_address;
  proxy->listener = g_new0 (uv_tcp_t, 1);
  uv_tcp_init (proxy->loop, proxy->listener);
  proxy->listener->data = proxy;
  if (!nad_parse (proxy->address, &own_address)
      || uv_tcp_bind (proxy->listener, (const struct sockaddr *)&own_address,
                      0)
             != 0
      || uv_listen ((uv_stream_t *)proxy->listener, BACKLOG, on_connection)
             != 0)
    {
      g_error ("can't listen on %s", proxy->address);
    }
}

/* Returns a proxy that listens on a free loopback port and connects to TARGET,
   "IP:PORT".  Aborts if it can't listen.  Free it with spx_destroy.  */
struct spx_proxy *
spx_create (uv_loop_t *loop, const char *target)
{
  struct spx_proxy *proxy = g_new0 (struct spx_proxy, 1);
  if (!nad_parse (target, &proxy->target))
    {
      g_error ("can't open a proxy to %s", target);
    }
  proxy->loop = loop;
  proxy->connections = g_ptr_array_new ();
  proxy->address = g_strdup_printf ("127.0.0.1:%u", sfl_free_port ());
  open_listener (proxy);
  return proxy;
}

static void
on_listener_closed (uv_handle_t *handle)
{
  g_free (handle);
}

/* Makes PROXY accept new connections, or refuse them if not LISTENING.  Open
   connections stay.  */
void
spx_set_listening (struct spx_proxy *proxy, bool listening)
{
  if (listening && proxy->listener == NULL)
    {
      open_listener (proxy);
    }
  else if (!listening && proxy->listener != NULL)
    {
      uv_close ((uv_handle_t *)proxy->listener, on_listener_closed);
      proxy->listener = NULL;
    }
}

/* Resets the connections of PROXY and closes it; its memory is freed by the
   loop, which must run once more.  */
void
spx_destroy (struct spx_proxy *proxy)
{
  while (proxy->connections->len > 0)
    {
      close_connection (g_ptr_array_index (proxy->connections, 0), true);
    }
  spx_set_listening (proxy, false);
  g_ptr_array_free (proxy->connections, TRUE);
  g_free (proxy->address);
  g_free (proxy);
}

/* Returns the address on which PROXY listens, "IP:PORT".  */
const char *
spx_address (const struct spx_proxy *proxy)
{
  return proxy->address;
}

/* Sets the mode of PROXY for open and new connections; DELAY_US is the delay
   of SPX_DELAY.  Chunks that the new mode doesn't hold back are forwarded.  */
void
spx_set_mode (struct spx_proxy *proxy, enum spx_mode mode, int64_t delay_us)
{
  proxy->mode = mode;
  proxy->delay_us = delay_us;
  while (mode == SPX_RESET && proxy->connections->len > 0)
    {
      close_connection (g_ptr_array_index (proxy->connections, 0), true);
    }
  for (guint i = proxy->connections->len; i-- > 0;)
    {
      struct connection *connection
          = g_ptr_array_index (proxy->connections, i);
      flush (&connection->client_side);
      if (!connection->closing)
        {
          flush (&connection->target_side);
        }
    }
}
