#include "peer/connection.h"

#include "base/clock.h"
#include "peer/address.h"

#include <errno.h>
#include <glib-unix.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_BUFFER_BYTES 16384

static gboolean on_readable (gint fd, GIOCondition condition, gpointer data);
static gboolean on_writable (gint fd, GIOCondition condition, gpointer data);

/* Makes the main loop call FUNCTION whenever the socket meets CONDITION.  */
static GSource *
watch (struct pcn_connection *connection, GIOCondition condition,
       GUnixFDSourceFunc function)
{
  GSource *source = g_unix_fd_source_new (connection->fd, condition);
  g_source_set_callback (source, G_SOURCE_FUNC (function), connection, NULL);
  g_source_attach (source, connection->params->context);
  return source;
}

static void
unwatch (GSource **source)
{
  if (*source != NULL)
    {
      g_source_destroy (*source);
      g_source_unref (*source);
      *source = NULL;
    }
}

static struct pcn_connection *
create (const struct pcn_params *params, enum hsk_side side, int fd,
        const char *address)
{
  struct pcn_connection *connection = g_new0 (struct pcn_connection, 1);
  const int64_t now_us = clk_monotonic_us ();
  const int no_delay = 1;
  *connection = (struct pcn_connection){
    .params = params,
    .state = side == HSK_DIALLER ? PCN_CONNECTING : PCN_HELLO,
    .side = side,
    .references = 1,
    .fd = fd,
    .reader = frm_reader_create (FRM_HELLO_BYTES_MAX),
    .out = g_byte_array_new (),
    .pending = g_byte_array_new (),
    .created_at_us = now_us,
    .last_sent_at_us = now_us,
    .last_received_at_us = now_us,
    .last_message_at_us = now_us,
  };
  connection->peer.address = g_strdup (address);
  hsk_new_nonce (connection->nonce);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof no_delay);
  connection->read_source = watch (connection, G_IO_IN, on_readable);
  return connection;
}

/* Starts to connect to ADDRESS, IP:PORT, and returns a connection with one
   reference.  Returns NULL when ADDRESS is invalid, or when the socket can't
   be created or connecting fails at once; a later failure closes the
   connection.  */
struct pcn_connection *
pcn_dial (const struct pcn_params *params, const char *address)
{
  struct sockaddr_storage remote;
  socklen_t size;
  if (!adr_parse (address, &remote, &size))
    {
      return NULL;
    }
  const int fd = socket (remote.ss_family,
                         SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    {
      return NULL;
    }
  if (connect (fd, (struct sockaddr *)&remote, size) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  struct pcn_connection *connection
      = create (params, HSK_DIALLER, fd, address);
  connection->write_source = watch (connection, G_IO_OUT, on_writable);
  return connection;
}

/* Returns a connection with one reference on the accepted, non-blocking socket
   FD, which then belongs to the connection.  */
struct pcn_connection *
pcn_accept (const struct pcn_params *params, int fd)
{
  return create (params, HSK_LISTENER, fd, "");
}

/* Adds a reference to CONNECTION.  */
void
pcn_ref (struct pcn_connection *connection)
{
  connection->references++;
}

/* Removes a reference from CONNECTION; without references, the connection is
   closed and freed.  */
void
pcn_unref (struct pcn_connection *connection)
{
  if (--connection->references > 0)
    {
      return;
    }
  pcn_close (connection, NULL);
  frm_reader_destroy (connection->reader);
  g_byte_array_free (connection->out, TRUE);
  g_byte_array_free (connection->pending, TRUE);
  g_free (connection->peer.name);
  g_free (connection->peer.address);
  g_free (connection);
}

/* Closes CONNECTION; data that hasn't been sent is not sent any more.
   PROTOCOL_ERROR is a static string that names the peer's violation of the
   protocol, or NULL.  */
void
pcn_close (struct pcn_connection *connection, const char *protocol_error)
{
  if (connection->state == PCN_CLOSED)
    {
      return;
    }
  connection->state = PCN_CLOSED;
  connection->protocol_error = protocol_error;
  unwatch (&connection->read_source);
  unwatch (&connection->write_source);
  close (connection->fd);
  connection->fd = -1;
}

/* Returns the number of bytes that were queued but not sent, also those that a
   closed connection will not send.  */
guint
pcn_queued_bytes (const struct pcn_connection *connection)
{
  return connection->out->len - connection->out_sent_bytes
         + connection->pending->len;
}

/* Sends as many queued bytes as the socket accepts.  Watches the socket for
   writability while some remain.  */
static void
flush (struct pcn_connection *connection)
{
  GByteArray *out = connection->out;
  while (connection->out_sent_bytes < out->len)
    {
      const ssize_t sent
          = send (connection->fd, out->data + connection->out_sent_bytes,
                  out->len - connection->out_sent_bytes, MSG_NOSIGNAL);
      if (sent < 0 && errno == EINTR)
        {
          continue;
        }
      if (sent < 0 && errno != EAGAIN)
        {
          pcn_close (connection, NULL);
          return;
        }
      if (sent < 0)
        {
          break;
        }
      connection->out_sent_bytes += (guint)sent;
      connection->sent_bytes += (uint64_t)sent;
    }
  if (connection->out_sent_bytes == out->len)
    {
      g_byte_array_set_size (out, 0);
      connection->out_sent_bytes = 0;
      unwatch (&connection->write_source);
    }
  else if (connection->write_source == NULL)
    {
      connection->write_source = watch (connection, G_IO_OUT, on_writable);
    }
}

/* Queues ENVELOPE behind the frames in OUT, and sends what the socket accepts
   unless the socket is being watched for writability.  Also used during the
   handshake.  */
static void
send_now (struct pcn_connection *connection, const Peer__Envelope *envelope)
{
  frm_append (connection->out, envelope);
  connection->last_sent_at_us = clk_monotonic_us ();
  if (connection->write_source == NULL)
    {
      flush (connection);
    }
}

/* Sends ENVELOPE, or queues it until the handshake is done.  On a closed
   connection it is discarded.  */
void
pcn_send (struct pcn_connection *connection, const Peer__Envelope *envelope)
{
  connection->last_message_at_us = clk_monotonic_us ();
  if (connection->state == PCN_OPEN)
    {
      send_now (connection, envelope);
    }
  else if (connection->state != PCN_CLOSED)
    {
      frm_append (connection->pending, envelope);
    }
}

/* Sends a heartbeat if CONNECTION is open.  */
void
pcn_heartbeat (struct pcn_connection *connection)
{
  Peer__Heartbeat heartbeat = PEER__HEARTBEAT__INIT;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  envelope.body_case = PEER__ENVELOPE__BODY_HEARTBEAT;
  envelope.heartbeat = &heartbeat;
  if (connection->state == PCN_OPEN)
    {
      send_now (connection, &envelope);
    }
}

/* Sends this side's hello.  NONCE is that of the dialler's hello, for which
   the listener adds a proof; NULL on the dialler's side.  */
static void
send_hello (struct pcn_connection *connection, const uint8_t *nonce)
{
  const struct hsk_identity *self = connection->params->self;
  uint8_t proof[HSK_PROOF_BYTES];
  Peer__Hello hello = PEER__HELLO__INIT;
  hello.version = HSK_VERSION;
  hello.name = self->name;
  hello.address = self->address;
  hello.incarnation = self->incarnation;
  hello.nonce.data = connection->nonce;
  hello.nonce.len = HSK_NONCE_BYTES;
  if (nonce != NULL)
    {
      hsk_compute_proof (connection->params->secret, HSK_LISTENER, self, nonce,
                         HSK_NONCE_BYTES, proof);
      hello.proof.data = proof;
      hello.proof.len = HSK_PROOF_BYTES;
    }
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  envelope.body_case = PEER__ENVELOPE__BODY_HELLO;
  envelope.hello = &hello;
  send_now (connection, &envelope);
}

static void
send_proof (struct pcn_connection *connection, const uint8_t *nonce)
{
  uint8_t bytes[HSK_PROOF_BYTES];
  hsk_compute_proof (connection->params->secret, HSK_DIALLER,
                     connection->params->self, nonce, HSK_NONCE_BYTES, bytes);
  Peer__Proof proof = PEER__PROOF__INIT;
  proof.proof.data = bytes;
  proof.proof.len = HSK_PROOF_BYTES;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  envelope.body_case = PEER__ENVELOPE__BODY_PROOF;
  envelope.proof = &proof;
  send_now (connection, &envelope);
}

/* Opens CONNECTION: allows received frames of full size, and sends the frames
   that pcn_send queued during the handshake.  */
static void
finish_handshake (struct pcn_connection *connection)
{
  connection->state = PCN_OPEN;
  frm_reader_set_max (connection->reader, FRM_BYTES_MAX);
  g_byte_array_append (connection->out, connection->pending->data,
                       connection->pending->len);
  g_byte_array_set_size (connection->pending, 0);
  flush (connection);
  if (connection->state == PCN_OPEN)
    {
      connection->params->callbacks->on_open (connection->params->user_data,
                                              connection);
    }
}

/* Checks HELLO.  The listener answers with its own hello; the dialler verifies
   the proof in HELLO and sends its own proof.  */
static void
handle_hello (struct pcn_connection *connection, const Peer__Hello *hello)
{
  const char *protocol_error = hsk_check_hello (hello);
  if (protocol_error != NULL)
    {
      pcn_close (connection, protocol_error);
      return;
    }
  g_free (connection->peer.name);
  connection->peer.name = g_strdup (hello->name);
  connection->peer.incarnation = hello->incarnation;
  if (connection->side == HSK_LISTENER)
    {
      g_free (connection->peer.address);
      connection->peer.address = g_strdup (hello->address);
      connection->state = PCN_PROOF;
      send_hello (connection, hello->nonce.data);
      return;
    }
  const struct hsk_identity listener = { .name = hello->name,
                                         .address = hello->address,
                                         .incarnation = hello->incarnation };
  if (!hsk_verify_proof (connection->params->secret, HSK_LISTENER, &listener,
                         connection->nonce, &hello->proof))
    {
      pcn_close (connection, "bad_proof");
      return;
    }
  send_proof (connection, hello->nonce.data);
  if (connection->state != PCN_CLOSED)
    {
      finish_handshake (connection);
    }
}

static void
handle_proof (struct pcn_connection *connection, const Peer__Proof *proof)
{
  if (hsk_verify_proof (connection->params->secret, HSK_DIALLER,
                        &connection->peer, connection->nonce, &proof->proof))
    {
      finish_handshake (connection);
    }
  else
    {
      pcn_close (connection, "bad_proof");
    }
}

/* Handles an envelope on an open connection.  Heartbeats and bodies that only
   later versions know are ignored.  */
static void
handle_message (struct pcn_connection *connection,
                const Peer__Envelope *envelope)
{
  switch (envelope->body_case)
    {
    case PEER__ENVELOPE__BODY_HELLO:
    case PEER__ENVELOPE__BODY_PROOF:
      pcn_close (connection, "unexpected_message");
      break;
    case PEER__ENVELOPE__BODY_HEARTBEAT:
    case PEER__ENVELOPE__BODY__NOT_SET:
      break;
    default:
      connection->last_message_at_us = clk_monotonic_us ();
      connection->params->callbacks->on_envelope (
          connection->params->user_data, connection, envelope);
      break;
    }
}

static void
handle_envelope (struct pcn_connection *connection,
                 const Peer__Envelope *envelope)
{
  if (connection->state == PCN_OPEN)
    {
      handle_message (connection, envelope);
    }
  else if (connection->state == PCN_HELLO
           && envelope->body_case == PEER__ENVELOPE__BODY_HELLO)
    {
      handle_hello (connection, envelope->hello);
    }
  else if (connection->state == PCN_PROOF
           && envelope->body_case == PEER__ENVELOPE__BODY_PROOF)
    {
      handle_proof (connection, envelope->proof);
    }
  else
    {
      pcn_close (connection, "unexpected_message");
    }
}

/* Handles all complete frames in the reader's buffer.  */
static void
handle_frames (struct pcn_connection *connection)
{
  enum frm_status status = FRM_COMPLETE;
  while (connection->state != PCN_CLOSED && status == FRM_COMPLETE)
    {
      Peer__Envelope *envelope;
      status = frm_next (connection->reader, &envelope);
      if (status == FRM_COMPLETE)
        {
          handle_envelope (connection, envelope);
          peer__envelope__free_unpacked (envelope, NULL);
        }
      else if (status != FRM_INCOMPLETE)
        {
          pcn_close (connection, frm_status_name (status));
        }
    }
}

static gboolean
on_readable (gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  struct pcn_connection *connection = data;
  uint8_t bytes[READ_BUFFER_BYTES];
  const ssize_t size = recv (fd, bytes, sizeof bytes, 0);
  if (size < 0 && (errno == EAGAIN || errno == EINTR))
    {
      return G_SOURCE_CONTINUE;
    }
  pcn_ref (connection);
  if (size <= 0)
    {
      pcn_close (connection, NULL);
    }
  else
    {
      connection->last_received_at_us = clk_monotonic_us ();
      connection->received_bytes += (uint64_t)size;
      frm_push (connection->reader, bytes, (size_t)size);
      handle_frames (connection);
    }
  pcn_unref (connection);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_writable (gint fd, GIOCondition condition, gpointer data)
{
  (void)condition;
  struct pcn_connection *connection = data;
  pcn_ref (connection);
  int socket_error = 0;
  socklen_t size = sizeof socket_error;
  if (connection->state == PCN_CONNECTING
      && (getsockopt (fd, SOL_SOCKET, SO_ERROR, &socket_error, &size) != 0
          || socket_error != 0))
    {
      pcn_close (connection, NULL);
    }
  else if (connection->state == PCN_CONNECTING)
    {
      connection->state = PCN_HELLO;
      unwatch (&connection->write_source);
      send_hello (connection, NULL);
    }
  else
    {
      flush (connection);
    }
  pcn_unref (connection);
  return G_SOURCE_CONTINUE;
}
