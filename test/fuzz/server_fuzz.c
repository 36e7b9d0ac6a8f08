/* Fuzzes the HTTP server with the bytes of a caller.  The first byte says in
   steps of how many bytes they are sent.  What the server sends must be whole
   responses, as a strict reader understands them, one for each request that it
   has passed on and at most one refusal. */
#include "fuzz.h"

#include "base/log.h"
#include "net/address.h"
#include "net/server.h"

#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define INTERIM "HTTP/1.1 100 Continue\r\n\r\n"

/* Turns of the loop after which the server must have closed a connection whose
   caller has closed its side. */
#define TURNS_MAX 1000

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

static struct
{
  uv_loop_t loop;
  struct nsv_server *server;
  struct sockaddr_in address;
  uint32_t requests; /* passed on, of this input */
} state;

/* Responds to requests in the ways that the daemon does.  */
static void
on_request (void *context, struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  (void)context;
  (void)method;
  state.requests++;
  if (!msg_is_unambiguous (request))
    {
      fz_fail ("a request was passed on that two readers read differently");
    }
  GString *headers = g_string_new (NULL);
  msg_copy_headers (request, NULL, headers);
  if (request->url->len % 2 == 0)
    {
      g_autofree char *body = g_strnfill (request->body->len, 'b');
      nsv_respond (connection, HTTP_STATUS_OK, "X-Own: 1\r\n", body,
                   request->body->len);
    }
  else
    {
      nsv_begin_response (connection, HTTP_STATUS_OK, "X-Own: 1\r\n", true);
      nsv_send_body (connection, "event", strlen ("event"));
      nsv_end_response (connection);
    }
  g_string_free (headers, TRUE);
}

static const struct nsv_events events = { .request = on_request };

static void
set_up (void)
{
  const struct nsv_limits limits = {
    .header_bytes_max = 2048,
    .body_bytes_max = 2048,
    .header_timeout_us = INT64_MAX / 4,
    .idle_timeout_us = INT64_MAX / 4,
    .unsent_bytes_max = 65536,
    .user_timeout_ms = 1000,
    .connections_max = 16,
  };
  lg_set_level (LOG_EMERG);
  uv_loop_init (&state.loop);
  state.server
      = nsv_create (&state.loop, "127.0.0.1:0", &limits, &events, NULL, NULL);
  g_autofree char *address
      = state.server == NULL ? NULL : nsv_address (state.server);
  if (address == NULL || !nad_parse (address, &state.address))
    {
      fz_fail ("the server can't listen");
    }
}

/* Returns what comes after the response at TEXT, or NULL unless it is a whole
   response.  Sets IS_REFUSAL to whether it is one of the server itself.  */
static const char *
skip_response (const char *text, bool *is_refusal)
{
  const char *end = strstr (text, "\r\n\r\n");
  if (end == NULL || !g_str_has_prefix (text, "HTTP/1.1 "))
    {
      return NULL;
    }
  g_autofree char *head = g_strndup (text, (gsize)(end - text) + 2);
  const char *length = strstr (head, "\r\nContent-Length: ");
  const char *body = end + 4;
  *is_refusal = strstr (head, "\r\nX-Own: 1\r\n") == NULL;
  if (length != NULL)
    {
      size_t count = (size_t)g_ascii_strtoull (
          length + strlen ("\r\nContent-Length: "), NULL, 10);
      /* A response to HEAD has no body. */
      return strspn (body, "b") >= count ? body + count : body;
    }
  if (g_str_has_prefix (body, "5\r\nevent\r\n0\r\n\r\n"))
    {
      return body + strlen ("5\r\nevent\r\n0\r\n\r\n");
    }
  return g_str_has_prefix (body, "event") ? body + strlen ("event") : body;
}

/* Checks that ANSWER consists of whole responses.  */
static void
check_answer (const GString *answer)
{
  uint32_t responses = 0;
  uint32_t refusals = 0;
  for (const char *text = answer->str; *text != '\0';)
    {
      bool is_refusal = false;
      if (g_str_has_prefix (text, INTERIM))
        {
          /* Nothing follows if the caller ends within its body. */
          text += strlen (INTERIM);
          continue;
        }
      text = skip_response (text, &is_refusal);
      if (text == NULL)
        {
          fz_fail ("the server sent something that is no response");
        }
      responses += !is_refusal;
      refusals += is_refusal;
    }
  if (responses > state.requests || refusals > 1)
    {
      fprintf (stderr, "%s\n", answer->str);
      fz_fail ("the server sent more responses than it has got requests");
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  if (state.server == NULL)
    {
      set_up ();
    }
  if (bytes < 2)
    {
      return 0;
    }
  size_t step = data[0] % 4 == 0 ? (size_t)data[0] + 1 : bytes;
  GString *answer = g_string_new (NULL);
  int caller = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  state.requests = 0;
  if (connect (caller, (struct sockaddr *)&state.address, sizeof state.address)
      != 0)
    {
      fz_fail ("the caller can't connect");
    }
  bool open = true;
  for (size_t at = 1; at < bytes && open; at += step)
    {
      send (caller, data + at, MIN (step, bytes - at), MSG_NOSIGNAL);
      uv_run (&state.loop, UV_RUN_NOWAIT);
      open = fz_receive (caller, answer);
    }
  shutdown (caller, SHUT_WR);
  for (uint32_t turn = 0; open && turn < TURNS_MAX; turn++)
    {
      uv_run (&state.loop, UV_RUN_NOWAIT);
      open = fz_receive (caller, answer);
    }
  /* A reset leaves no port waiting. */
  const struct linger reset = { .l_onoff = 1 };
  setsockopt (caller, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (caller);
  check_answer (answer);
  for (uint32_t turn = 0;
       nsv_connection_count (state.server) > 0 && turn < TURNS_MAX; turn++)
    {
      uv_run (&state.loop, UV_RUN_NOWAIT);
    }
  if (nsv_connection_count (state.server) > 0)
    {
      fz_fail ("the server keeps a connection that its caller has closed");
    }
  g_string_free (answer, TRUE);
  return 0;
}
