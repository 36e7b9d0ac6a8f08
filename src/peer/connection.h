/* A connection to another daemon: a non-blocking TCP socket, watched by a GLib
   main loop, on which a handshake and then framed envelopes are exchanged.
   Connections are reference-counted and not thread-safe: all calls belong to
   the thread that runs the main loop. */
#ifndef PEER_CONNECTION_H
#define PEER_CONNECTION_H

#include "peer/frame.h"
#include "peer/handshake.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum pcn_state
{
  PCN_CONNECTING, /* TCP connect in progress */
  PCN_HELLO,      /* waits for the other side's hello */
  PCN_PROOF,      /* listener only: waits for the dialler's proof */
  PCN_OPEN,       /* handshake done */
  PCN_CLOSED
};

struct pcn_connection;

/* Called on the main loop.  The callee may close the connection. */
struct pcn_callbacks
{
  void (*on_open) (void *user_data, struct pcn_connection *connection);
  void (*on_envelope) (void *user_data, struct pcn_connection *connection,
                       const Peer__Envelope *envelope);
};

/* Parameters that all connections of one owner share; they must outlive the
   connections. */
struct pcn_params
{
  GMainContext *context;
  const struct hsk_identity *self; /* of this process */
  const char *secret;              /* of the fleet; "" when there is none */
  const struct pcn_callbacks *callbacks;
  void *user_data;
};

struct pcn_connection
{
  const struct pcn_params *params;
  enum pcn_state state;
  enum hsk_side side; /* of this process */
  uint32_t references;
  int fd;                   /* -1: closed */
  struct hsk_identity peer; /* before the hello only the address, "" on the
                               listener's side */
  uint8_t nonce[HSK_NONCE_BYTES]; /* of this side */
  struct frm_reader *reader;
  GByteArray *out;      /* frames to send as soon as the socket accepts them */
  guint out_sent_bytes; /* bytes at the start of OUT that were sent */
  GByteArray *pending;  /* frames to send after the handshake */
  GSource *read_source;
  GSource *write_source;      /* NULL unless a connect or a send is pending */
  const char *protocol_error; /* why the connection was closed; NULL: not
                                 closed for an error of the other side */
  int64_t created_at_us;      /* this and the times below: monotonic */
  int64_t last_sent_at_us;    /* when a frame was last added to OUT */
  int64_t last_received_at_us;
  int64_t last_message_at_us; /* last pcn_send or received message, without
                                 handshake and heartbeats */
  uint64_t sent_bytes;
  uint64_t received_bytes;
};

struct pcn_connection *pcn_dial (const struct pcn_params *params,
                                 const char *address);
struct pcn_connection *pcn_accept (const struct pcn_params *params, int fd);
void pcn_ref (struct pcn_connection *connection);
void pcn_unref (struct pcn_connection *connection);
void pcn_send (struct pcn_connection *connection,
               const Peer__Envelope *envelope);
void pcn_heartbeat (struct pcn_connection *connection);
void pcn_close (struct pcn_connection *connection, const char *protocol_error);
guint pcn_queued_bytes (const struct pcn_connection *connection);

#endif
