/* The connections of a daemon to its peers, the other daemons.  The hub
   listens for peers, dials them when there is a message to send, sends
   heartbeats, and closes connections that fail, time out or are idle.
   Everything runs on one GLib main loop, in a daemon that of the control
   thread. */
#ifndef PEER_HUB_H
#define PEER_HUB_H

#include "peer.pb-c.h"
#include "peer/handshake.h"

#include <glib.h>
#include <stdint.h>

/* A heartbeat is sent after this long without sending: 3 s. */
#define PEER_HEARTBEAT_INTERVAL_US INT64_C (3000000)
/* An open connection is closed when nothing is received for this long: 8 s. */
#define PEER_RECEIVE_TIMEOUT_US INT64_C (8000000)
/* Limit from the start of a connection to the end of the handshake: 5 s. */
#define PEER_HANDSHAKE_TIMEOUT_US INT64_C (5000000)
/* An open connection is closed when nothing but heartbeats is sent or received
   for this long: 20 s. */
#define PEER_IDLE_TIMEOUT_US INT64_C (20000000)
#define PEER_CONNECTIONS_MAX 96
#define PEER_QUEUE_BYTES_MAX (UINT32_C (16) << 20) /* of one connection */

struct peer_settings
{
  const char *name;
  const char *address; /* to listen on, IP:PORT; port 0: the kernel chooses */
  const char *secret;  /* of the fleet; "" when there is none */
  uint64_t incarnation;
  int64_t heartbeat_interval_us; /* 0: PEER_HEARTBEAT_INTERVAL_US */
  int64_t receive_timeout_us;    /* 0: PEER_RECEIVE_TIMEOUT_US */
  uint32_t connections_max;      /* 0: PEER_CONNECTIONS_MAX */
};

struct peer_callbacks
{
  /* Called for each received message except handshake messages and
     heartbeats.  ENVELOPE and SENDER are valid during the call only. */
  void (*on_message) (void *user_data, const struct hsk_identity *sender,
                      const Peer__Envelope *envelope);
};

/* Counts since the hub was created, except OPEN. */
struct peer_stats
{
  uint64_t sent_bytes;
  uint64_t received_bytes;
  uint64_t dialled;
  uint64_t accepted;
  uint64_t rejected;  /* closed for a protocol error of the other side */
  uint64_t timed_out; /* closed because nothing was received in time */
  uint64_t dropped;   /* messages that were not queued */
  uint32_t open;      /* connections that are open now */
};

struct peer_hub;

struct peer_hub *peer_hub_create (GMainContext *context,
                                  const struct peer_settings *settings,
                                  const struct peer_callbacks *callbacks,
                                  void *user_data, GError **error);
void peer_hub_destroy (struct peer_hub *hub);
void peer_hub_send (struct peer_hub *hub, const char *address,
                    const Peer__Envelope *envelope);
uint16_t peer_hub_port (const struct peer_hub *hub);
const char *peer_hub_address (const struct peer_hub *hub);
struct peer_stats peer_hub_stats (const struct peer_hub *hub);

#endif
