/* Fuzzes the HTTP client with the bytes of a server.  The first byte says in
   steps of how many bytes they come, and whether the request is HEAD.  The
   exchange must end once, with a status that a response may have, and with no
   more bytes of a body than have come. */
#include "fuzz.h"

#include "base/log.h"
#include "net/client.h"

#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Turns of the loop after which an exchange must have ended whose server has
   closed its side. */
#define TURNS_MAX 1000

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

static struct
{
  uv_loop_t loop;
  struct ncl_client *client;
  int listener;
  char *address;
  uint32_t heads;
  uint32_t ends;
  uint32_t status;
  size_t body_bytes;
} state;

static bool
on_headers (void *context, uint32_t status, const struct msg_message *response)
{
  (void)context;
  (void)response;
  state.heads++;
  state.status = status;
  return true;
}

static void
on_body (void *context, const char *bytes, size_t count)
{
  (void)context;
  (void)bytes;
  state.body_bytes += count;
}

static void
on_complete (void *context)
{
  (void)context;
  state.ends++;
  if (state.heads != 1 || state.status < 200 || state.status > 599)
    {
      fz_fail ("an exchange is complete without a response");
    }
}

static void
on_failed (void *context, enum ncl_failure failure)
{
  (void)context;
  (void)failure;
  state.ends++;
}

static const struct ncl_events events = {
  .headers = on_headers,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

static void
set_up (void)
{
  const struct ncl_params params = {
    .idle_max_us = INT64_MAX / 4,
    .connect_timeout_us = INT64_MAX / 4,
    .user_timeout_ms = 1000,
    .idle_connections_max = 1,
  };
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t address_bytes = sizeof address;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  lg_set_level (LOG_EMERG);
  uv_loop_init (&state.loop);
  state.client = ncl_create (&state.loop, &params);
  state.listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (bind (state.listener, (struct sockaddr *)&address, sizeof address) != 0
      || listen (state.listener, 8) != 0
      || getsockname (state.listener, (struct sockaddr *)&address,
                      &address_bytes)
             != 0)
    {
      fz_fail ("the server can't listen");
    }
  state.address = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  static const char *const requests[] = {
    "GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
    "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n",
  };
  if (state.client == NULL)
    {
      set_up ();
    }
  if (bytes < 2)
    {
      return 0;
    }
  size_t step = data[0] % 4 == 0 ? (size_t)data[0] + 1 : bytes;
  const char *request = requests[data[0] / 4 % 2];
  state.heads = 0;
  state.ends = 0;
  state.body_bytes = 0;
  if (ncl_send (state.client, state.address, request, strlen (request), true,
                &events, NULL)
      == NULL)
    {
      fz_fail ("the client can't connect");
    }
  int server = accept (state.listener, NULL, NULL);
  uv_run (&state.loop, UV_RUN_NOWAIT);
  for (size_t at = 1; at < bytes && state.ends == 0; at += step)
    {
      send (server, data + at, MIN (step, bytes - at), MSG_NOSIGNAL);
      uv_run (&state.loop, UV_RUN_NOWAIT);
    }
  if (data[0] / 8 % 2 == 1)
    {
      const struct linger reset = { .l_onoff = 1 };
      setsockopt (server, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (server);
    }
  else
    {
      shutdown (server, SHUT_WR);
    }
  for (uint32_t turn = 0; state.ends == 0 && turn < TURNS_MAX; turn++)
    {
      uv_run (&state.loop, UV_RUN_NOWAIT);
    }
  ncl_close_idle (state.client, state.address);
  uv_run (&state.loop, UV_RUN_NOWAIT);
  if (data[0] / 8 % 2 == 0)
    {
      close (server);
    }
  if (state.ends != 1 || state.heads > 1 || state.body_bytes > bytes)
    {
      fz_fail ("an exchange has ended never, twice, or with too long a body");
    }
  if (ncl_counts (state.client)->open > 0)
    {
      fz_fail ("the client keeps a connection that its server has closed");
    }
  return 0;
}
