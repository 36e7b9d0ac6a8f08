/* HTTP server for one event loop.  Each connection handles one request at a
   time: the request is read completely, then its owner, the user of this
   module, responds, either at once or in chunks. */
#ifndef NET_SERVER_H
#define NET_SERVER_H

#include "net/body_budget.h"
#include "net/message.h"

#include <uv.h>

struct nsv_server;
struct nsv_connection;

/* The callbacks of a server, called from the event loop. */
struct nsv_events
{
  /* A complete request has arrived.  REQUEST is valid until the response is
     complete; its `url' holds the path and the query.  The owner must respond
     with nsv_respond, or with nsv_begin_response and then nsv_end_response or
     nsv_abort. */
  void (*request) (void *context, struct nsv_connection *connection,
                   const struct msg_message *request, const char *method);
  /* A request that isn't complete is refused for want of memory or of
     connections, as WHY says: it hasn't been passed to `request' and won't be.
     REQUEST has its headers, or is NULL if they aren't complete.  The owner
     must respond with nsv_respond and status 503.  NULL: the server responds
     itself. */
  void (*refused) (void *context, struct nsv_connection *connection,
                   const struct msg_message *request, const char *why);
  /* The connection was closed before the response was complete.  Called with
     the context of nsv_set_request_context, and only if that was called. */
  void (*disconnected) (void *request_context);
  /* The socket has accepted all pending bytes, after nsv_is_slow returned
     true.  Called with the context of nsv_set_request_context. */
  void (*drained) (void *request_context);
};

struct nsv_limits
{
  uint32_t header_bytes_max; /* of all header lines, as they arrive, and of a
                                URL */
  uint64_t body_bytes_max;
  int64_t header_timeout_us; /* to receive the headers of a request */
  int64_t idle_timeout_us;   /* between requests, and without bytes of a
                                body */
  uint32_t unsent_bytes_max; /* of one connection; above it is slow */
  uint32_t user_timeout_ms; /* TCP_USER_TIMEOUT: sent bytes not acknowledged */
  uint32_t connections_max; /* further ones take the place of those that make
                               no progress, or else are reset */
  struct bbg_budget *budget; /* of the memory for connections; NULL: none */
  uint64_t memory_mb; /* of the host, for receive buffers; 0: no limit */
};

/* Connections that the limit on their number has ended, since the start. */
struct nsv_counts
{
  uint64_t evicted; /* without progress, for others */
  uint64_t reset;   /* new ones */
};

struct nsv_server *nsv_create (uv_loop_t *loop, const char *address,
                               const struct nsv_limits *limits,
                               const struct nsv_events *events, void *context,
                               GError **error);
void nsv_destroy (struct nsv_server *server);
char *nsv_address (const struct nsv_server *server);
void nsv_set_limits (struct nsv_server *server,
                     const struct nsv_limits *limits);
void nsv_disable_keep_alive (struct nsv_server *server, int64_t idle_until_us);
void nsv_refuse_incomplete (struct nsv_server *server, const char *headers);
void nsv_expire (struct nsv_server *server, int64_t now_us);
uint32_t nsv_connection_count (const struct nsv_server *server);
uint32_t nsv_lack_count (const struct nsv_server *server);
bool nsv_has_room (const struct nsv_server *server);
const struct nsv_counts *nsv_counts (const struct nsv_server *server);
uint32_t nsv_request_count (const struct nsv_server *server);
bool nsv_is_idle (const struct nsv_server *server);

void nsv_set_request_context (struct nsv_connection *connection,
                              void *request_context);
GByteArray *nsv_take_body (struct nsv_connection *connection);
void nsv_respond (struct nsv_connection *connection, uint32_t status,
                  const char *headers, const void *body, size_t body_bytes);
void nsv_begin_response (struct nsv_connection *connection, uint32_t status,
                         const char *headers, bool chunked);
void nsv_send_body (struct nsv_connection *connection, const void *bytes,
                    size_t count);
void nsv_end_response (struct nsv_connection *connection);
void nsv_abort (struct nsv_connection *connection);
bool nsv_is_slow (const struct nsv_connection *connection);

#endif
