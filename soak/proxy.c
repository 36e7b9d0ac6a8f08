#include "soak/proxy.h"

#include "base/clock.h"
#include "net/address.h"
#include "standin/fleet.h"

#define BACKLOG 256
#define READ_BYTES 65536

/* Bytes, or the end of a connection, on their way. */
struct chunk
{
  int64_t due_us;
  GBytes *bytes; /* NULL: the end */
  bool reset;    /* ... by a reset */
};

struct link;

/* One end of a connection, and what is on its way to it. */
struct end
{
  struct link *link;
  struct end *other;
  uv_tcp_t tcp;
  uv_timer_t timer; /* of the first chunk */
  GQueue chunks;    /* struct chunk */
  bool from_target; /* the chunks come from there */
  bool open;        /* connected */
};

/* One connection through the proxy. */
struct link
{
  struct spx_proxy *proxy;
  struct end near;
  struct end far;
  uv_connect_t connect;
  uint32_t handles; /* that aren't closed yet */
  bool over;
};

struct spx_proxy
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  char *address;
  struct sockaddr_in target;
  enum spx_mode mode;
  int64_t delay_us;
  GPtrArray *links;
  bool over;
};

static void flush (struct end *end);

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
  struct end *end = handle->data;
  struct link *link = end->link;
  if (--link->handles == 0)
    {
      g_queue_clear_full (&link->near.chunks, free_chunk);
      g_queue_clear_full (&link->far.chunks, free_chunk);
      g_free (link);
    }
}

static void
close_end (struct end *end, bool reset)
{
  uv_close ((uv_handle_t *)&end->timer, on_closed);
  if (!reset || uv_tcp_close_reset (&end->tcp, on_closed) != 0)
    {
      if (!uv_is_closing ((uv_handle_t *)&end->tcp))
        {
          uv_close ((uv_handle_t *)&end->tcp, on_closed);
        }
    }
}

static void
close_link (struct link *link, bool reset)
{
  if (link->over)
    {
      return;
    }
  link->over = true;
  g_ptr_array_remove_fast (link->proxy->links, link);
  close_end (&link->near, reset);
  close_end (&link->far, reset);
}

/* True while nothing may come through to END.  */
static bool
is_held (const struct end *end)
{
  enum spx_mode mode = end->link->proxy->mode;
  return mode == SPX_SILENT || (mode == SPX_ONE_WAY && end->from_target);
}

static void
on_written (uv_write_t *write, int status)
{
  (void)status;
  g_bytes_unref (write->data);
  g_free (write);
}

/* Writes BYTES, owned from now on, to END.  */
static void
send_bytes (struct end *end, GBytes *bytes)
{
  gsize count = 0;
  gconstpointer data = g_bytes_get_data (bytes, &count);
  uv_write_t *write = g_new0 (uv_write_t, 1);
  uv_buf_t buffer = uv_buf_init ((char *)data, (unsigned int)count);
  write->data = bytes;
  if (uv_write (write, (uv_stream_t *)&end->tcp, &buffer, 1, on_written) != 0)
    {
      g_bytes_unref (bytes);
      g_free (write);
      close_link (end->link, true);
    }
}

static void
on_due (uv_timer_t *timer)
{
  flush (timer->data);
}

/* Sends what is due to END.  */
static void
flush (struct end *end)
{
  int64_t now_us = clk_monotonic_us ();
  while (!end->link->over && end->open && !is_held (end)
         && !g_queue_is_empty (&end->chunks))
    {
      struct chunk *chunk = g_queue_peek_head (&end->chunks);
      if (chunk->due_us > now_us)
        {
          int64_t left_ms = (chunk->due_us - now_us) / CLK_MS_US;
          uv_timer_start (&end->timer, on_due, (uint64_t)left_ms + 1, 0);
          return;
        }
      g_queue_pop_head (&end->chunks);
      if (chunk->bytes == NULL)
        {
          bool reset = chunk->reset;
          g_free (chunk);
          close_link (end->link, reset);
          return;
        }
      send_bytes (end, g_steal_pointer (&chunk->bytes));
      g_free (chunk);
    }
}

/* Queues BYTES, owned from now on, or the end of the connection for END.  */
static void
queue (struct end *end, GBytes *bytes, bool reset)
{
  const struct spx_proxy *proxy = end->link->proxy;
  struct chunk *chunk = g_new0 (struct chunk, 1);
  chunk->due_us
      = clk_monotonic_us () + (proxy->mode == SPX_DELAY ? proxy->delay_us : 0);
  chunk->bytes = bytes;
  chunk->reset = reset;
  g_queue_push_tail (&end->chunks, chunk);
  flush (end);
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
  struct end *end = stream->data;
  if (count > 0)
    {
      queue (end->other, g_bytes_new (buffer->base, (gsize)count), false);
    }
  g_free (buffer->base);
  if (count < 0)
    {
      uv_read_stop (stream);
      queue (end->other, NULL, count != UV_EOF);
    }
}

static void
on_connected (uv_connect_t *connect, int status)
{
  struct link *link = connect->data;
  if (link->over)
    {
      return;
    }
  if (status != 0)
    {
      close_link (link, true);
      return;
    }
  link->far.open = true;
  uv_read_start ((uv_stream_t *)&link->far.tcp, on_alloc, on_read);
  flush (&link->far);
}

static void
init_end (struct link *link, struct end *end, struct end *other,
          bool from_target)
{
  end->link = link;
  end->other = other;
  end->from_target = from_target;
  g_queue_init (&end->chunks);
  uv_tcp_init (link->proxy->loop, &end->tcp);
  uv_timer_init (link->proxy->loop, &end->timer);
  end->tcp.data = end;
  end->timer.data = end;
  link->handles += 2;
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct spx_proxy *proxy = listener->data;
  if (status != 0)
    {
      return;
    }
  struct link *link = g_new0 (struct link, 1);
  link->proxy = proxy;
  init_end (link, &link->near, &link->far, true);
  init_end (link, &link->far, &link->near, false);
  g_ptr_array_add (proxy->links, link);
  link->connect.data = link;
  link->near.open = true;
  if (uv_accept (listener, (uv_stream_t *)&link->near.tcp) != 0
      || proxy->mode == SPX_RESET
      || uv_tcp_connect (&link->connect, &link->far.tcp,
                         (const struct sockaddr *)&proxy->target, on_connected)
             != 0)
    {
      close_link (link, true);
      return;
    }
  uv_tcp_nodelay (&link->near.tcp, 1);
  uv_tcp_nodelay (&link->far.tcp, 1);
  uv_read_start ((uv_stream_t *)&link->near.tcp, on_alloc, on_read);
}

/* Opens a proxy on LOOP before TARGET, "IP:PORT".  */
struct spx_proxy *
spx_create (uv_loop_t *loop, const char *target)
{
  struct spx_proxy *proxy = g_new0 (struct spx_proxy, 1);
  struct sockaddr_in own;
  proxy->loop = loop;
  proxy->links = g_ptr_array_new ();
  proxy->address = g_strdup_printf ("127.0.0.1:%u", sfl_free_port ());
  uv_tcp_init (loop, &proxy->listener);
  proxy->listener.data = proxy;
  if (!nad_parse (target, &proxy->target) || !nad_parse (proxy->address, &own)
      || uv_tcp_bind (&proxy->listener, (const struct sockaddr *)&own, 0) != 0
      || uv_listen ((uv_stream_t *)&proxy->listener, BACKLOG, on_connection)
             != 0)
    {
      g_error ("no proxy before %s", target);
    }
  return proxy;
}

static void
on_listener_closed (uv_handle_t *handle)
{
  g_free (handle->data);
}

/* Closes PROXY and its connections.  */
void
spx_destroy (struct spx_proxy *proxy)
{
  while (proxy->links->len > 0)
    {
      close_link (g_ptr_array_index (proxy->links, 0), true);
    }
  g_ptr_array_free (proxy->links, TRUE);
  g_free (proxy->address);
  uv_close ((uv_handle_t *)&proxy->listener, on_listener_closed);
}

/* Returns where PROXY listens.  */
const char *
spx_address (const struct spx_proxy *proxy)
{
  return proxy->address;
}

/* Spoils the connections of PROXY by MODE from now on; DELAY_US is that of
   SPX_DELAY.  */
void
spx_set_mode (struct spx_proxy *proxy, enum spx_mode mode, int64_t delay_us)
{
  proxy->mode = mode;
  proxy->delay_us = delay_us;
  while (mode == SPX_RESET && proxy->links->len > 0)
    {
      close_link (g_ptr_array_index (proxy->links, 0), true);
    }
  for (guint i = proxy->links->len; i-- > 0;)
    {
      struct link *link = g_ptr_array_index (proxy->links, i);
      flush (&link->near);
      if (!link->over)
        {
          flush (&link->far);
        }
    }
}
