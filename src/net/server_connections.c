/* Which connections of the HTTP server stay open: time-outs, and room for
   callers that connect. */
#include "base/clock.h"
#include "base/log.h"
#include "net/server_private.h"

#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <unistd.h>

/* Time for a caller to close its connection after the last response. */
#define LINGER_US (1 * CLK_S_US)

/* Time for the first request of a connection to arrive while the server
   stops. */
#define FIRST_REQUEST_US (1 * CLK_S_US)

/* Listens again after a lack of descriptors or memory.  */
static void
reopen_listener (struct nsv_server *server)
{
  int status = nsv_open_listener (server);
  if (status != 0)
    {
      lg_line (LOG_WARNING, "caller_listen_failed", "port=%u reason=\"%s\"",
               ntohs (server->address.sin_port), uv_strerror (status));
    }
}

/* Logs when no descriptor is left, and when there is one again.  libuv closes
   the connections that it can't accept for lack of descriptors, and tells
   nobody.  */
static void
check_descriptors (struct nsv_server *server)
{
  if (server->listener == NULL)
    {
      return;
    }
  int descriptor = eventfd (0, EFD_CLOEXEC);
  bool starved = descriptor < 0;
  if (!starved)
    {
      close (descriptor);
    }
  if (starved == server->starved)
    {
      return;
    }
  server->starved = starved;
  server->lack_count += starved;
  lg_line (starved ? LOG_WARNING : LOG_NOTICE,
           starved ? "caller_descriptors_lacking" : "caller_descriptors_back",
           "port=%u connections=%u lacks=%u message=\"%s\"",
           ntohs (server->address.sin_port), server->connections->len,
           server->lack_count,
           starved ? "callers that connect are closed"
                   : "callers are accepted again");
}

/* Returns true if bytes from the caller of CONNECTION haven't been read.  */
bool
nsv_has_unread_bytes (const struct nsv_connection *connection)
{
  uv_os_fd_t descriptor;
  int bytes = 0;
  return uv_fileno ((const uv_handle_t *)&connection->tcp, &descriptor) == 0
         && ioctl (descriptor, FIONREAD, &bytes) == 0 && bytes > 0;
}

/* Returns true if CONNECTION, which is between requests at NOW_US, monotonic
   time, is to be closed.  */
static bool
is_idle_too_long (const struct nsv_connection *connection, int64_t now_us)
{
  const struct nsv_server *server = connection->server;
  int64_t age_us = now_us - connection->since_us;
  bool stopped = server->stopping && now_us >= server->idle_until_us
                 && (connection->used || age_us >= FIRST_REQUEST_US);
  return (stopped || age_us >= server->limits.idle_timeout_us)
         && !nsv_has_unread_bytes (connection);
}

/* Returns true if CONNECTION, which lingers at NOW_US, monotonic time, is to
   be closed: LINGER_US after its response was sent, or when the caller has
   read no byte of it for the idle time-out.  */
static bool
has_lingered (struct nsv_connection *connection, int64_t now_us)
{
  size_t bytes = nsv_unsent_bytes (connection);
  if (bytes != connection->lingering_bytes)
    {
      connection->lingering_bytes = bytes;
      connection->since_us = now_us;
    }
  return now_us - connection->since_us
         >= (bytes > 0 ? connection->server->limits.idle_timeout_us
                       : LINGER_US);
}

/* Closes connections that have exceeded their time-outs, and listens again if
   the server had to stop that.  NOW_US is monotonic time.  To be called
   several times a second.  */
void
nsv_expire (struct nsv_server *server, int64_t now_us)
{
  if (server->listener == NULL)
    {
      reopen_listener (server);
    }
  check_descriptors (server);
  nsv_end_unread (server, now_us);
  for (guint i = server->connections->len; i-- > 0;)
    {
      struct nsv_connection *connection
          = g_ptr_array_index (server->connections, i);
      int64_t age_us = now_us - connection->since_us;
      switch (connection->phase)
        {
        case PHASE_IDLE:
          if (is_idle_too_long (connection, now_us))
            {
              nsv_linger (connection);
            }
          break;
        case PHASE_RECEIVING:
          if (age_us >= (connection->in_body
                             ? server->limits.idle_timeout_us
                             : server->limits.header_timeout_us))
            {
              nsv_reject_incomplete (connection, HTTP_STATUS_REQUEST_TIMEOUT,
                                     NULL);
            }
          break;
        case PHASE_LINGERING:
          if (has_lingered (connection, now_us))
            {
              nsv_close_connection (connection, nsv_is_unfinished (connection),
                                    false);
            }
          break;
        case PHASE_RESPONDING:
          break;
        }
    }
}

/* Returns how often there began to be no descriptor for the connections of
   callers, as far as nsv_expire has seen.  */
uint32_t
nsv_lack_count (const struct nsv_server *server)
{
  return server->lack_count;
}

/* How little a connection is worth: those that can be ended for others, the
   most dispensable first. */
enum worth
{
  WORTH_ANSWERED, /* the last response was sent */
  WORTH_STALLED,  /* a request that isn't complete and makes no progress */
  WORTH_IDLE,     /* between requests */
  WORTH_KEPT      /* not to be ended */
};

/* Returns the worth of CONNECTION at NOW_US, monotonic time, and sets SINCE_US
   to when its last progress was.  */
static enum worth
judge (const struct nsv_connection *connection, int64_t now_us,
       int64_t *since_us)
{
  bool receiving = connection->phase == PHASE_RECEIVING;
  *since_us = receiving ? connection->account.mark_us : connection->since_us;
  bool rests = now_us - *since_us >= BBG_STALL_US;
  switch (connection->phase)
    {
    case PHASE_LINGERING:
      return nsv_unsent_bytes (connection) == 0 ? WORTH_ANSWERED : WORTH_KEPT;
    case PHASE_RECEIVING:
      return rests ? WORTH_STALLED : WORTH_KEPT;
    case PHASE_IDLE:
      return rests && !connection->slow ? WORTH_IDLE : WORTH_KEPT;
    case PHASE_RESPONDING:
      break;
    }
  return WORTH_KEPT;
}

/* Returns the connection of SERVER that is the first to make room for a new
   one, or NULL if all are in use.  */
static struct nsv_connection *
find_dispensable (const struct nsv_server *server)
{
  struct nsv_connection *found = NULL;
  enum worth found_worth = WORTH_KEPT;
  int64_t found_since_us = 0;
  int64_t now_us = clk_monotonic_us ();
  for (guint i = 0; i < server->connections->len; i++)
    {
      struct nsv_connection *connection
          = g_ptr_array_index (server->connections, i);
      int64_t since_us = 0;
      enum worth worth = judge (connection, now_us, &since_us);
      bool is_less = worth < found_worth
                     || (worth == found_worth && since_us < found_since_us);
      if (worth != WORTH_KEPT && is_less && !nsv_has_unread_bytes (connection))
        {
          found = connection;
          found_worth = worth;
          found_since_us = since_us;
        }
    }
  return found;
}

/* Ends CONNECTION for another one.  A request that isn't complete is refused
   first: all that its caller has sent was read, so that the answer arrives. */
static void
evict (struct nsv_connection *connection)
{
  struct nsv_server *server = connection->server;
  server->counts.evicted++;
  if (connection->phase == PHASE_RECEIVING)
    {
      lg_line (LOG_NOTICE, "stalled_request_ended",
               "port=%u body_bytes=%u why=\"connections are short\"",
               ntohs (server->address.sin_port),
               connection->request.body->len);
      nsv_reject_incomplete (connection, HTTP_STATUS_SERVICE_UNAVAILABLE,
                             "connections are short");
    }
  nsv_close_connection (connection, nsv_is_unfinished (connection), false);
}

/* Makes SERVER keep to its limit on connections, which a new one may exceed.
   Returns false if no other one can be ended for it.  */
bool
nsv_make_room (struct nsv_server *server)
{
  if (server->connections->len <= server->limits.connections_max)
    {
      return true;
    }
  struct nsv_connection *dispensable = find_dispensable (server);
  if (dispensable == NULL)
    {
      server->counts.reset++;
      lg_line (LOG_WARNING, "caller_reset",
               "port=%u connections=%u why=\"connections are short\"",
               ntohs (server->address.sin_port), server->connections->len);
      return false;
    }
  evict (dispensable);
  return true;
}

/* Returns whether a new connection would be accepted now.  */
bool
nsv_has_room (const struct nsv_server *server)
{
  return server->connections->len < server->limits.connections_max
         || find_dispensable (server) != NULL;
}

/* Returns how many connections the limit on their number has ended.  */
const struct nsv_counts *
nsv_counts (const struct nsv_server *server)
{
  return &server->counts;
}
