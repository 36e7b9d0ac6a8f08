/* HTTP client for one event loop.  An exchange is one request with its
   response.  Each connection carries one exchange at a time and is then kept
   in a pool for its address, to be reused. */
#ifndef NET_CLIENT_H
#define NET_CLIENT_H

#include "net/message.h"

#include <uv.h>

/* Why an exchange failed, as far as the client can tell. */
enum ncl_failure
{
  NCL_NOT_CONNECTED, /* no byte of the request was sent */
  NCL_CUT_OFF,       /* closed or reset before the end of the response */
  NCL_MALFORMED,     /* the response is not valid HTTP */
  NCL_WRONG_RESPONSE /* the response belongs to another request */
};

struct ncl_exchange;

/* The callbacks of one exchange, called from the event loop.  After `complete'
   or `failed' the exchange must not be used. */
struct ncl_events
{
  /* The status and headers have arrived.  Returning false fails the exchange
     with NCL_WRONG_RESPONSE. */
  bool (*headers) (void *context, uint32_t status,
                   const struct msg_message *response);
  /* COUNT bytes of the body have arrived.  They are not kept. */
  void (*body) (void *context, const char *bytes, size_t count);
  void (*complete) (void *context);
  void (*failed) (void *context, enum ncl_failure failure);
};

struct ncl_params
{
  int64_t idle_max_us; /* how long an idle connection is kept at most */
  /* Subtracted from the time-out in the server's Keep-Alive header, so that
     the client closes first. */
  int64_t idle_margin_us;
  int64_t connect_timeout_us;
  uint32_t user_timeout_ms; /* TCP_USER_TIMEOUT: sent bytes not acknowledged */
  uint32_t idle_connections_max; /* for each address */
  /* With so many connections open, an idle one is closed for each new one; 0:
     no limit. */
  uint32_t connections_max;
};

/* A request to send. */
struct ncl_request
{
  const char *head; /* with the empty line; copied as far as needed */
  size_t head_bytes;
  GBytes *body;        /* NULL: none; referenced until it is sent */
  bool new_connection; /* don't use an idle one */
};

struct ncl_client;

struct ncl_counts
{
  uint64_t connections; /* opened since the start */
  uint64_t exchanges;   /* begun since the start */
  uint32_t open;        /* connections open now */
};

struct ncl_client *ncl_create (uv_loop_t *loop,
                               const struct ncl_params *params);
void ncl_destroy (struct ncl_client *client);
struct ncl_exchange *ncl_send (struct ncl_client *client, const char *address,
                               const char *bytes, size_t count,
                               bool new_connection,
                               const struct ncl_events *events, void *context);
void ncl_set_send_by (struct ncl_exchange *exchange, int64_t send_by_us);
struct ncl_exchange *ncl_send_request (struct ncl_client *client,
                                       const char *address,
                                       const struct ncl_request *request,
                                       const struct ncl_events *events,
                                       void *context);
void ncl_cancel (struct ncl_exchange *exchange);
void ncl_pause (struct ncl_exchange *exchange);
void ncl_resume (struct ncl_exchange *exchange);
bool ncl_is_connected (const struct ncl_exchange *exchange);
bool ncl_ends_with_connection (const struct ncl_exchange *exchange);
const struct ncl_counts *ncl_counts (const struct ncl_client *client);
void ncl_expire (struct ncl_client *client, int64_t now_us);
void ncl_close_idle (struct ncl_client *client, const char *address);

#endif
