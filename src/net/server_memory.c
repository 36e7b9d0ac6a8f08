/* The HTTP server's use of its budget of memory. */
#include "base/clock.h"
#include "base/log.h"
#include "net/server_private.h"

/* While the budget is exceeded, a caller that has read nothing of its response
   for this long is closed.  Slower than that, pauses of sound callers and of
   networks would count. */
#define UNREAD_US (2 * CLK_S_US)

/* Copies of a head while its request is handled: the request's own, the head
   that is forwarded, and the id, which may fill a head. */
#define HEAD_COPIES 3

/* Ends the request of ACCOUNT, which has stalled, to make room for others.  */
static void
evict (struct bbg_account *account)
{
  struct nsv_connection *connection = account->owner;
  lg_line (LOG_NOTICE, "stalled_request_ended",
           "port=%u body_bytes=%u why=\"memory is short\"",
           ntohs (connection->server->address.sin_port),
           connection->request.body->len);
  bbg_count_evicted (account);
  nsv_reject_incomplete (connection, HTTP_STATUS_SERVICE_UNAVAILABLE,
                         "memory is short");
}

/* Sets PART of CONNECTION's memory to BYTES, and ends stalled requests of
   others if it takes that.  Returns false if there is no room.  */
bool
nsv_reserve (struct nsv_connection *connection, enum bbg_part part,
             uint64_t bytes)
{
  struct bbg_account *account = &connection->account;
  while (!bbg_resize (account, part, bytes))
    {
      struct bbg_account *stalled
          = bbg_find_stalled (account, part, bytes, clk_monotonic_us ());
      if (stalled == NULL)
        {
          bbg_count_refused (account);
          return false;
        }
      evict (stalled);
    }
  return true;
}

/* Takes the large receive buffer back from a connection of SERVER that is
   between two requests.  Returns false if there is none.  */
static bool
reclaim_buffer (struct nsv_server *server)
{
  for (guint i = 0; i < server->connections->len; i++)
    {
      struct nsv_connection *connection
          = g_ptr_array_index (server->connections, i);
      if (connection->has_large_buffer && connection->phase == PHASE_IDLE)
        {
          connection->has_large_buffer = false;
          server->large_buffers--;
          rcb_set (&connection->tcp, server->buffers.initial_bytes);
          return true;
        }
    }
  return false;
}

/* Gives CONNECTION, which sends a body of BYTES so far, a large receive buffer
   if that is more than its own holds and one is left.  It keeps the buffer for
   its next requests until another connection needs it: a buffer that shrinks
   drops what its caller may send by the window that it was told.  */
static void
enlarge_buffer (struct nsv_connection *connection, uint64_t bytes)
{
  struct nsv_server *server = connection->server;
  if (connection->has_large_buffer || bytes <= server->buffers.initial_bytes
      || server->buffers.large_max == 0)
    {
      return;
    }
  if (server->large_buffers < server->buffers.large_max
      || reclaim_buffer (server))
    {
      connection->has_large_buffer = true;
      server->large_buffers++;
      rcb_set (&connection->tcp, server->buffers.large_bytes);
    }
}

/* Like nsv_reserve, while a request of CONNECTION arrives: returns -1, which
   stops the parser, if there is no room, else 0.  */
int
nsv_reserve_or_refuse (struct nsv_connection *connection, enum bbg_part part,
                       uint64_t bytes)
{
  if (nsv_reserve (connection, part, bytes))
    {
      if (part == BBG_BODY)
        {
          enlarge_buffer (connection, bytes);
        }
      return 0;
    }
  connection->error_status = HTTP_STATUS_SERVICE_UNAVAILABLE;
  return -1;
}

/* Returns the memory of the head of CONNECTION's request.  */
static uint64_t
head_bytes (const struct nsv_connection *connection)
{
  const struct msg_message *request = &connection->request;
  return request->url->allocated_len + request->text->allocated_len
         + bbg_allocated (request->headers->len * sizeof (struct msg_header));
}

/* Reserves memory for the head of CONNECTION's request, as far as it has
   arrived, and for what the owner copies of it.  Returns -1, which stops the
   parser, if there is no room, else 0.  */
int
nsv_reserve_head (struct nsv_connection *connection)
{
  uint64_t bytes = HEAD_COPIES * head_bytes (connection);
  return bytes <= connection->account.bytes[BBG_HEAD]
             ? 0
             : nsv_reserve_or_refuse (connection, BBG_HEAD, bytes);
}

/* Frees the body of CONNECTION's request, and the memory reserved for it and
   for copies of the head.  */
void
nsv_release_request (struct nsv_connection *connection)
{
  if (connection->request.body->len > 0)
    {
      g_byte_array_free (connection->request.body, TRUE);
      connection->request.body = g_byte_array_new ();
    }
  bbg_force (&connection->account, BBG_BODY, 0);
  bbg_force (&connection->account, BBG_HEAD, head_bytes (connection));
}

/* Returns true if the caller of CONNECTION has read nothing of what waits for
   it for UNREAD_US, as far as calls of this function have seen.  */
static bool
is_unread (struct nsv_connection *connection, int64_t now_us)
{
  size_t bytes = nsv_unsent_bytes (connection);
  if (bytes == 0 || bytes != connection->seen_unsent_bytes)
    {
      connection->seen_unsent_bytes = bytes;
      connection->unread_since_us = now_us;
    }
  return now_us - connection->unread_since_us >= UNREAD_US;
}

/* Closes, while the budget of SERVER is exceeded, connections whose callers
   don't read, the one with the most bytes first.  What was accepted isn't
   refused room for its response, so this bounds the bytes that wait.  To be
   called several times a second.  */
void
nsv_end_unread (struct nsv_server *server, int64_t now_us)
{
  struct nsv_connection *most = NULL;
  do
    {
      most = NULL;
      for (guint i = 0; i < server->connections->len; i++)
        {
          struct nsv_connection *connection
              = g_ptr_array_index (server->connections, i);
          if (is_unread (connection, now_us)
              && (most == NULL
                  || nsv_unsent_bytes (connection) > nsv_unsent_bytes (most)))
            {
              most = connection;
            }
        }
      if (most == NULL || !bbg_is_exceeded (&most->account))
        {
          return;
        }
      lg_line (LOG_NOTICE, "unread_response_ended",
               "port=%u bytes=%zu why=\"memory is short\"",
               ntohs (server->address.sin_port), nsv_unsent_bytes (most));
      bbg_count_evicted (&most->account);
      nsv_close_connection (most, true, true);
    }
  while (true);
}
