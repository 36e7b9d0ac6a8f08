/* HTTP client connections of one event loop: exchanges one after the other on
   connections that are kept for reuse, one pool for each address. */
#ifndef NET_CLIENT_H
#define NET_CLIENT_H

#include "net/message.h"

#include <uv.h>

/* How an exchange failed, seen from the sender. */
enum ncl_failure
{
  NCL_NOT_CONNECTED, /* no byte of the request was sent */
  NCL_CUT_OFF,       /* the connection ended or was reset before the end */
  NCL_MALFORMED,     /* the answer is no HTTP */
  NCL_FOREIGN        /* the answer belongs to another request */
};

struct ncl_exchange;

/* What happens to one exchange.  After `complete' or `failed' the exchange is
   over and must not be used. */
struct ncl_events
{
  /* The status and headers are there.  False ends the exchange as foreign. */
  bool (*headers) (void *context, uint32_t status,
                   const struct msg_message *answer);
  void (*body) (void *context, const char *bytes, size_t count);
  void (*complete) (void *context);
  void (*failed) (void *context, enum ncl_failure failure);
};

struct ncl_params
{
  int64_t idle_max_us;    /* an unused connection is kept so long */
  int64_t idle_margin_us; /* before the other side's own time-out */
  int64_t connect_timeout_us;
  uint32_t silence_ms;           /* unacknowledged bytes end a connection */
  uint32_t idle_connections_max; /* for each address */
};

struct ncl_client;

struct ncl_counts
{
  uint64_t connections; /* opened */
  uint64_t exchanges;   /* begun */
  uint32_t open;        /* connections now */
};

struct ncl_client *ncl_create (uv_loop_t *loop,
                               const struct ncl_params *params);
void ncl_destroy (struct ncl_client *client);
struct ncl_exchange *ncl_send (struct ncl_client *client, const char *address,
                               const char *bytes, size_t count, bool fresh,
                               const struct ncl_events *events, void *context);
void ncl_cancel (struct ncl_exchange *exchange);
void ncl_pause (struct ncl_exchange *exchange);
void ncl_resume (struct ncl_exchange *exchange);
bool ncl_ends_with_connection (const struct ncl_exchange *exchange);
const struct ncl_counts *ncl_counts (const struct ncl_client *client);
void ncl_expire (struct ncl_client *client, int64_t now_us);
void ncl_forget (struct ncl_client *client, const char *address);

#endif
