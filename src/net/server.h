/* HTTP server connections of one event loop: one request at a time on each,
   its whole body first, then an answer in one piece or in chunks. */
#ifndef NET_SERVER_H
#define NET_SERVER_H

#include "net/message.h"

#include <uv.h>

struct nsv_server;
struct nsv_connection;

/* What a server tells its owner. */
struct nsv_events
{
  /* A whole request is there, its path in `request->url'. */
  void (*request) (void *context, struct nsv_connection *connection,
                   const struct msg_message *request, const char *method);
  /* The caller of the request under way has closed its connection. */
  void (*gone) (void *request_context);
  /* Everything that was sent has left; only after nsv_is_slow was true. */
  void (*drained) (void *request_context);
};

struct nsv_limits
{
  uint32_t header_bytes_max;
  uint64_t body_bytes_max;
  int64_t header_timeout_us;
  int64_t idle_timeout_us;
  uint32_t unsent_bytes_max; /* of one connection, before it counts as slow */
  uint32_t silence_ms;       /* unacknowledged bytes end a connection */
  uint32_t connections_max;
};

struct nsv_server *nsv_create (uv_loop_t *loop, const char *address,
                               const struct nsv_limits *limits,
                               const struct nsv_events *events, void *context,
                               GError **error);
void nsv_destroy (struct nsv_server *server);
void nsv_set_limits (struct nsv_server *server,
                     const struct nsv_limits *limits);
void nsv_stop_keeping (struct nsv_server *server, int64_t idle_until_us);
void nsv_expire (struct nsv_server *server, int64_t now_us);
uint32_t nsv_open (const struct nsv_server *server);
uint32_t nsv_busy (const struct nsv_server *server);

void nsv_bind (struct nsv_connection *connection, void *request_context);
void nsv_answer (struct nsv_connection *connection, uint32_t status,
                 const char *headers, const void *body, size_t body_bytes);
void nsv_begin (struct nsv_connection *connection, uint32_t status,
                const char *headers, bool chunked);
void nsv_piece (struct nsv_connection *connection, const void *bytes,
                size_t count);
void nsv_end (struct nsv_connection *connection);
void nsv_abort (struct nsv_connection *connection);
bool nsv_is_slow (const struct nsv_connection *connection);

#endif
