/* State and functions that the source files of the HTTP server share. */
#ifndef NET_SERVER_PRIVATE_H
#define NET_SERVER_PRIVATE_H

#include "net/receive_buffer.h"
#include "net/server.h"

/* Memory of a connection without a request: its state, the arrays of its
   messages, and its entry in the event loop. */
#define NSV_CONNECTION_BYTES 4096

enum phase
{
  PHASE_IDLE,       /* between requests */
  PHASE_RECEIVING,  /* a request has begun to arrive */
  PHASE_RESPONDING, /* the owner is handling the request */
  PHASE_LINGERING   /* the last response has been sent */
};

struct nsv_connection
{
  uv_tcp_t tcp;
  struct nsv_server *server;
  http_parser parser;
  struct msg_message request;
  struct bbg_account account;
  GByteArray *pipelined; /* bytes after the current request */
  enum phase phase;
  int64_t since_us;      /* start of the phase, or the newest bytes of a body,
                            monotonic time */
  const char *chunk;     /* that the parser reads now */
  uint64_t chunk_offset; /* its begin, in the current request */
  uint64_t lines_offset; /* of the first header line, or of the first one of a
                            trailer */
  bool in_trailer;
  uint32_t error_status; /* response if a limit stops the parser; 0: none */
  void *request_context;
  bool keep_alive;
  bool announces_close; /* the head of the response says that it is the last */
  bool used;            /* a request has begun to arrive */
  bool knows_chunks;    /* the caller of the current request, by its version */
  bool chunked;         /* the current response */
  bool received;        /* the current request, completely */
  bool in_body; /* the headers of the current request have been received */
  bool closing;
  bool has_large_buffer;    /* for receiving */
  bool resets_at_end;       /* see set_reset_at_end */
  size_t seen_unsent_bytes; /* see nsv_end_unread */
  int64_t unread_since_us;
  size_t lingering_bytes; /* unsent when the last byte was seen to be read */
  bool slow;              /* more than `unsent_bytes_max' bytes are queued */
  bool parsing;           /* parse is on the call stack */
  uv_shutdown_t shutdown;
};

struct nsv_server
{
  uv_tcp_t *listener; /* NULL: closed for lack of descriptors or memory */
  struct sockaddr_in address; /* of the listener */
  uv_loop_t *loop;
  struct nsv_limits limits;
  const struct nsv_events *events;
  void *context;
  GPtrArray *connections;
  struct rcb_plan buffers;
  uint32_t large_buffers; /* number of connections that have one */
  uint32_t request_count; /* requests without a complete response */
  char *read_buffer;
  struct nsv_counts counts;
  bool starved;          /* no descriptor was left at the last check */
  uint32_t lack_count;   /* see nsv_lack_count */
  bool stopping;         /* connections are closed after their response */
  int64_t idle_until_us; /* when stopping: idle connections are closed from
                            this monotonic time on */
};

int nsv_open_listener (struct nsv_server *server);
bool nsv_is_unfinished (const struct nsv_connection *connection);
bool nsv_has_unread_bytes (const struct nsv_connection *connection);
void nsv_linger (struct nsv_connection *connection);
size_t nsv_unsent_bytes (const struct nsv_connection *connection);
void nsv_close_connection (struct nsv_connection *connection, bool reset,
                           bool notify);
void nsv_reject_incomplete (struct nsv_connection *connection, uint32_t status,
                            const char *why);
bool nsv_make_room (struct nsv_server *server);
bool nsv_reserve (struct nsv_connection *connection, enum bbg_part part,
                  uint64_t bytes);
int nsv_reserve_or_refuse (struct nsv_connection *connection,
                           enum bbg_part part, uint64_t bytes);
int nsv_reserve_head (struct nsv_connection *connection);
void nsv_release_request (struct nsv_connection *connection);
void nsv_end_unread (struct nsv_server *server, int64_t now_us);

#endif
