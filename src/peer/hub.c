#include "peer/hub.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log.h"
#include "peer/address.h"
#include "peer/connection.h"
#include "peer/frame.h"

#include <errno.h>
#include <glib-unix.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 64
#define CHECKS_PER_RECEIVE_TIMEOUT 8 /* runs of the timer, at least */

struct peer_hub
{
  GMainContext *context;
  struct hsk_identity self;
  char *secret;
  struct peer_callbacks callbacks;
  void *user_data;
  struct pcn_callbacks connection_callbacks;
  struct pcn_params params;
  GPtrArray *connections; /* struct pcn_connection, with one reference each */
  int64_t heartbeat_interval_us;
  int64_t receive_timeout_us;
  uint32_t connections_max;
  int fd;
  uint16_t port;
  GSource *accept_source; /* NULL: waits for the timer, see
                             on_accept_ready */
  GSource *timer_source;
  struct peer_stats stats;
};

/* Closes CONNECTION if it isn't closed yet, adds its counts to those of HUB,
   logs its protocol error if there is one, and removes it from HUB.  */
static void
remove_connection (struct peer_hub *hub, struct pcn_connection *connection,
                   const char *protocol_error)
{
  pcn_close (connection, protocol_error);
  hub->stats.sent_bytes += connection->sent_bytes;
  hub->stats.received_bytes += connection->received_bytes;
  if (connection->protocol_error != NULL)
    {
      hub->stats.rejected += 1;
      lg_line (LOG_WARNING, "peer_connection_closed", "peer=%s reason=%s",
               connection->peer.address, connection->protocol_error);
    }
  g_ptr_array_remove_fast (hub->connections, connection);
}

static void
remove_closed_connections (struct peer_hub *hub)
{
  for (guint i = hub->connections->len; i-- > 0;)
    {
      struct pcn_connection *connection = hub->connections->pdata[i];
      if (connection->state == PCN_CLOSED)
        {
          remove_connection (hub, connection, connection->protocol_error);
        }
    }
}

/* Makes sure that a connection can be added: at the limit, closes the
   connection whose last message is the oldest.  Connections that haven't
   finished the handshake are closed before open ones, so that
   unauthenticated clients displace one peer at most.  */
static void
ensure_free_slot (struct peer_hub *hub)
{
  remove_closed_connections (hub);
  if (hub->connections->len < hub->connections_max)
    {
      return;
    }
  struct pcn_connection *oldest = hub->connections->pdata[0];
  for (guint i = 1; i < hub->connections->len; i++)
    {
      struct pcn_connection *connection = hub->connections->pdata[i];
      const bool oldest_open = oldest->state == PCN_OPEN;
      const bool open = connection->state == PCN_OPEN;
      if (open == oldest_open
              ? connection->last_message_at_us < oldest->last_message_at_us
              : oldest_open)
        {
          oldest = connection;
        }
    }
  remove_connection (hub, oldest, NULL);
}

static void
on_open (void *user_data, struct pcn_connection *connection)
{
  (void)user_data;
  lg_line (LOG_DEBUG, "peer_connection_open", "peer=%s name=%s",
           connection->peer.address, connection->peer.name);
}

static void
on_envelope (void *user_data, struct pcn_connection *connection,
             const Peer__Envelope *envelope)
{
  struct peer_hub *hub = user_data;
  hub->callbacks.on_message (hub->user_data, &connection->peer, envelope);
}

static void
unwatch_listener (struct peer_hub *hub)
{
  g_source_destroy (hub->accept_source);
  g_source_unref (hub->accept_source);
  hub->accept_source = NULL;
}

/* Accepts a connection.  For lack of descriptors or memory, the connection
   stays in the kernel's queue and the socket readable; the hub then doesn't
   watch the socket until the timer expires.  */
static gboolean
on_accept_ready (gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  struct peer_hub *hub = data;
  const int accepted = accept4 (fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (accepted < 0)
    {
      if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS
          || errno == ENOMEM)
        {
          lg_line (LOG_WARNING, "peer_accept_failed", "reason=\"%s\"",
                   g_strerror (errno));
          unwatch_listener (hub);
        }
      return G_SOURCE_CONTINUE;
    }
  ensure_free_slot (hub);
  hub->stats.accepted += 1;
  g_ptr_array_add (hub->connections, pcn_accept (&hub->params, accepted));
  return G_SOURCE_CONTINUE;
}

/* Closes CONNECTION if one of its timeouts has expired; otherwise sends a
   heartbeat when one is due.  */
static void
check_timeouts (struct peer_hub *hub, struct pcn_connection *connection,
                int64_t now_us)
{
  if (connection->state != PCN_OPEN)
    {
      if (now_us - connection->created_at_us > PEER_HANDSHAKE_TIMEOUT_US)
        {
          pcn_close (connection, NULL);
        }
      return;
    }
  if (now_us - connection->last_received_at_us > hub->receive_timeout_us)
    {
      hub->stats.timed_out += 1;
      lg_line (LOG_NOTICE, "peer_connection_silent", "peer=%s",
               connection->peer.address);
      pcn_close (connection, NULL);
    }
  else if (now_us - connection->last_message_at_us > PEER_IDLE_TIMEOUT_US)
    {
      pcn_close (connection, NULL);
    }
  else if (now_us - connection->last_sent_at_us >= hub->heartbeat_interval_us)
    {
      pcn_heartbeat (connection);
    }
}

/* Makes the main loop call on_accept_ready when a peer connects.  */
static void
watch_listener (struct peer_hub *hub)
{
  hub->accept_source = g_unix_fd_source_new (hub->fd, G_IO_IN);
  g_source_set_callback (hub->accept_source, G_SOURCE_FUNC (on_accept_ready),
                         hub, NULL);
  g_source_attach (hub->accept_source, hub->context);
}

static gboolean
on_timer (gpointer data)
{
  struct peer_hub *hub = data;
  if (hub->accept_source == NULL)
    {
      watch_listener (hub);
    }
  const int64_t now_us = clk_monotonic_us ();
  for (guint i = 0; i < hub->connections->len; i++)
    {
      check_timeouts (hub, hub->connections->pdata[i], now_us);
    }
  remove_closed_connections (hub);
  return G_SOURCE_CONTINUE;
}

/* Listens on ADDRESS, IP:PORT; sets the hub's socket and port.  Errors:
   ERR_SETTINGS.  */
static bool
start_listening (struct peer_hub *hub, const char *address, GError **error)
{
  struct sockaddr_storage local;
  socklen_t size;
  const int reuse = 1;
  if (!adr_parse (address, &local, &size))
    {
      g_set_error (error, ERR_DOMAIN, ERR_SETTINGS,
                   "invalid peer address %s: expected IP:PORT", address);
      return false;
    }
  hub->fd = socket (local.ss_family,
                    SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (hub->fd < 0
      || setsockopt (hub->fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof reuse)
             != 0
      || bind (hub->fd, (struct sockaddr *)&local, size) != 0
      || listen (hub->fd, LISTEN_BACKLOG) != 0)
    {
      g_set_error (error, ERR_DOMAIN, ERR_SETTINGS,
                   "can't listen on peer address %s: %s", address,
                   g_strerror (errno));
      return false;
    }
  hub->port = adr_bound_port (hub->fd);
  return true;
}

/* Adds the sources of the listening socket and of the timer for heartbeats,
   timeouts and further attempts to accept to the main loop.  */
static void
attach_sources (struct peer_hub *hub)
{
  const int64_t interval_us
      = MIN (hub->receive_timeout_us / CHECKS_PER_RECEIVE_TIMEOUT,
             hub->heartbeat_interval_us);
  watch_listener (hub);
  hub->timer_source
      = g_timeout_source_new ((guint)MAX (interval_us / CLK_MS_US, 1));
  g_source_set_callback (hub->timer_source, on_timer, hub, NULL);
  g_source_attach (hub->timer_source, hub->context);
}

/* Creates a hub that listens for peers on the main loop of CONTEXT.  All calls
   of the hub must be made on the thread of that loop, which also runs the
   callbacks.  Copies SETTINGS and CALLBACKS.  Returns NULL with ERR_SETTINGS
   when the address is invalid or can't be listened on.  */
struct peer_hub *
peer_hub_create (GMainContext *context, const struct peer_settings *settings,
                 const struct peer_callbacks *callbacks, void *user_data,
                 GError **error)
{
  struct peer_hub *hub = g_new0 (struct peer_hub, 1);
  *hub = (struct peer_hub){
    .context = g_main_context_ref (context),
    .secret = g_strdup (settings->secret),
    .callbacks = *callbacks,
    .user_data = user_data,
    .connections = g_ptr_array_new_with_free_func ((GDestroyNotify)pcn_unref),
    .heartbeat_interval_us = settings->heartbeat_interval_us != 0
                                 ? settings->heartbeat_interval_us
                                 : PEER_HEARTBEAT_INTERVAL_US,
    .receive_timeout_us = settings->receive_timeout_us != 0
                              ? settings->receive_timeout_us
                              : PEER_RECEIVE_TIMEOUT_US,
    .connections_max = settings->connections_max != 0
                           ? settings->connections_max
                           : PEER_CONNECTIONS_MAX,
    .fd = -1,
  };
  hub->self.name = g_strdup (settings->name);
  hub->self.incarnation = settings->incarnation;
  if (!start_listening (hub, settings->address, error))
    {
      peer_hub_destroy (hub);
      return NULL;
    }
  hub->self.address = adr_replace_port (settings->address, hub->port);
  hub->connection_callbacks
      = (struct pcn_callbacks){ .on_open = on_open,
                                .on_envelope = on_envelope };
  hub->params = (struct pcn_params){
    .context = hub->context,
    .self = &hub->self,
    .secret = hub->secret,
    .callbacks = &hub->connection_callbacks,
    .user_data = hub,
  };
  attach_sources (hub);
  return hub;
}

static void
destroy_source (GSource *source)
{
  if (source != NULL)
    {
      g_source_destroy (source);
      g_source_unref (source);
    }
}

/* Closes all connections and frees HUB; NULL is allowed.  Must not be called
   from a callback of the hub.  */
void
peer_hub_destroy (struct peer_hub *hub)
{
  if (hub == NULL)
    {
      return;
    }
  destroy_source (hub->accept_source);
  destroy_source (hub->timer_source);
  g_ptr_array_free (hub->connections, TRUE);
  if (hub->fd >= 0)
    {
      close (hub->fd);
    }
  g_main_context_unref (hub->context);
  g_free (hub->self.name);
  g_free (hub->self.address);
  g_free (hub->secret);
  g_free (hub);
}

/* Returns a connection to the daemon at ADDRESS, or NULL: an open one if there
   is one, otherwise one that this daemon is dialling.  Incoming connections
   count only once they are open, as their address isn't authenticated
   before.  */
static struct pcn_connection *
find_connection (struct peer_hub *hub, const char *address)
{
  struct pcn_connection *found = NULL;
  for (guint i = 0; i < hub->connections->len; i++)
    {
      struct pcn_connection *connection = hub->connections->pdata[i];
      const bool usable = connection->state != PCN_CLOSED
                          && (connection->state == PCN_OPEN
                              || connection->side == HSK_DIALLER);
      if (usable && strcmp (connection->peer.address, address) == 0
          && (found == NULL || found->state != PCN_OPEN))
        {
          found = connection;
        }
    }
  return found;
}

/* Counts and logs a message that isn't sent.  */
static void
drop_message (struct peer_hub *hub, const char *address, const char *reason)
{
  hub->stats.dropped += 1;
  lg_line (LOG_WARNING, "peer_message_dropped", "peer=%s reason=%s", address,
           reason);
}

/* Sends ENVELOPE to the daemon at ADDRESS, IP:PORT; dials if there is no
   connection.  Delivery isn't confirmed.  The message is dropped if it is
   longer than FRM_BYTES_MAX, for which the peer would close the connection, if
   more than PEER_QUEUE_BYTES_MAX bytes are already queued for the connection,
   or if the address can't be dialled.  */
void
peer_hub_send (struct peer_hub *hub, const char *address,
               const Peer__Envelope *envelope)
{
  if (peer__envelope__get_packed_size (envelope) > FRM_BYTES_MAX)
    {
      drop_message (hub, address, "too_long");
      return;
    }
  struct pcn_connection *connection = find_connection (hub, address);
  if (connection == NULL)
    {
      ensure_free_slot (hub);
      connection = pcn_dial (&hub->params, address);
      if (connection == NULL)
        {
          drop_message (hub, address, "not_dialled");
          return;
        }
      hub->stats.dialled += 1;
      g_ptr_array_add (hub->connections, connection);
    }
  if (pcn_queued_bytes (connection) > PEER_QUEUE_BYTES_MAX)
    {
      drop_message (hub, address, "queue_full");
      return;
    }
  pcn_send (connection, envelope);
}

/* Returns the port that HUB listens on.  */
uint16_t
peer_hub_port (const struct peer_hub *hub)
{
  return hub->port;
}

/* Returns the address at which peers reach HUB, IP:PORT; owned by HUB.  */
const char *
peer_hub_address (const struct peer_hub *hub)
{
  return hub->self.address;
}

/* Returns the counts of HUB, including those of its current connections.  */
struct peer_stats
peer_hub_stats (const struct peer_hub *hub)
{
  struct peer_stats stats = hub->stats;
  for (guint i = 0; i < hub->connections->len; i++)
    {
      const struct pcn_connection *connection = hub->connections->pdata[i];
      stats.sent_bytes += connection->sent_bytes;
      stats.received_bytes += connection->received_bytes;
      stats.open += connection->state == PCN_OPEN;
    }
  return stats;
}
