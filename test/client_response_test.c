/* Tests of what the HTTP client takes for a response: invalid status codes,
   responses that break off, contradictory framing, and bytes of an earlier
   response.  The server is a socket that sends the bytes of each case. */
#include "base/clock.h"
#include "net/call.h"
#include "net/client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_US (10 * CLK_S_US)
#define PAUSE_US 40000 /* for which the loop of a client stands still */
#define REQUEST "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
#define OK_HEAD "HTTP/1.1 200 OK\r\n"
#define CHUNKED_HEAD OK_HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define SOUND OK_HEAD "Content-Length: 4\r\n\r\nbody"
#define CONTINUE "HTTP/1.1 100 Continue\r\n\r\n"
#define CONTINUE_10                                                           \
  CONTINUE CONTINUE CONTINUE CONTINUE CONTINUE CONTINUE CONTINUE CONTINUE     \
      CONTINUE CONTINUE

/* How an exchange ended. */
enum end
{
  END_NONE,
  END_COMPLETE,
  END_CUT_OFF,
  END_MALFORMED,
  END_OTHER
};

struct fixture
{
  uv_loop_t loop;
  struct ncl_client *client;
  int listener;
  char *address;
  enum end end;
  uint32_t status; /* of the response; 0: none */
  const char *request;
  GString *body;
};

static bool
on_headers (void *context, uint32_t status, const struct msg_message *response)
{
  (void)response;
  struct fixture *fixture = context;
  fixture->status = status;
  return true;
}

static void
on_body (void *context, const char *bytes, size_t count)
{
  struct fixture *fixture = context;
  g_string_append_len (fixture->body, bytes, (gssize)count);
}

static void
on_complete (void *context)
{
  struct fixture *fixture = context;
  fixture->end = END_COMPLETE;
}

static void
on_failed (void *context, enum ncl_failure failure)
{
  struct fixture *fixture = context;
  fixture->end = failure == NCL_CUT_OFF     ? END_CUT_OFF
                 : failure == NCL_MALFORMED ? END_MALFORMED
                                            : END_OTHER;
}

static const struct ncl_events events = {
  .headers = on_headers,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

static void
on_call_done (void *context, uint32_t status, const uint8_t *body,
              size_t body_bytes, const char *reason)
{
  (void)reason;
  struct fixture *fixture = context;
  fixture->end = END_COMPLETE;
  fixture->status = status;
  g_string_append_len (fixture->body, (const char *)body, (gssize)body_bytes);
}

static int
create_fixture (void **state)
{
  const struct ncl_params params = {
    .idle_max_us = 8 * CLK_S_US,
    .connect_timeout_us = CLK_S_US,
    .user_timeout_ms = 1000,
    .idle_connections_max = 4,
  };
  struct fixture *fixture = g_new0 (struct fixture, 1);
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t address_bytes = sizeof address;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  fixture->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  assert_int_equal (
      bind (fixture->listener, (struct sockaddr *)&address, sizeof address),
      0);
  assert_int_equal (listen (fixture->listener, 8), 0);
  assert_int_equal (getsockname (fixture->listener,
                                 (struct sockaddr *)&address, &address_bytes),
                    0);
  fixture->address
      = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  uv_loop_init (&fixture->loop);
  fixture->client = ncl_create (&fixture->loop, &params);
  fixture->request = REQUEST;
  fixture->body = g_string_new (NULL);
  *state = fixture;
  return 0;
}

static int
destroy_fixture (void **state)
{
  struct fixture *fixture = *state;
  ncl_destroy (fixture->client);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  uv_loop_close (&fixture->loop);
  close (fixture->listener);
  g_string_free (fixture->body, TRUE);
  g_free (fixture->address);
  g_free (fixture);
  return 0;
}

static void
forget_response (struct fixture *fixture)
{
  fixture->end = END_NONE;
  fixture->status = 0;
  g_string_truncate (fixture->body, 0);
}

/* Sends a request, on an idle connection if there is one.  */
static void
send_request (struct fixture *fixture)
{
  forget_response (fixture);
  assert_non_null (ncl_send (fixture->client, fixture->address,
                             fixture->request, strlen (fixture->request),
                             false, &events, fixture));
}

/* Accepts the next connection of the client.  */
static int
accept_connection (struct fixture *fixture)
{
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  int server = -1;
  while (server < 0 && clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      server = accept (fixture->listener, NULL, NULL);
    }
  assert_true (server >= 0);
  return server;
}

/* Reads a request from SERVER to its end.  */
static void
read_request (struct fixture *fixture, int server)
{
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  char request[512] = "";
  size_t used = 0;
  while (strstr (request, "\r\n\r\n") == NULL && clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      ssize_t count = recv (server, request + used, sizeof request - 1 - used,
                            MSG_DONTWAIT);
      used += count > 0 ? (size_t)count : 0;
    }
  assert_non_null (strstr (request, "\r\n\r\n"));
}

/* Sends BYTES over SERVER, in steps of STEP bytes.  The client handles each
   step before the next one, as far as it still reads.  */
static void
send_bytes (struct fixture *fixture, int server, const char *bytes,
            size_t step)
{
  size_t count = strlen (bytes);
  for (size_t i = 0; i < count; i += step)
    {
      if (send (server, bytes + i, MIN (step, count - i), MSG_NOSIGNAL) < 0)
        {
          return;
        }
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
}

/* Runs the loop until the exchange has ended.  */
static void
await_end (struct fixture *fixture)
{
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  while (fixture->end == END_NONE && clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
}

/* The bytes of a server, which closes its side after them, and what the client
   is to make of them. */
struct response_case
{
  const char *name;
  const char *bytes;
  enum end end;
  uint32_t status; /* if END_COMPLETE */
  const char *body;
};

static const struct response_case status_cases[] = {
  { "200", SOUND, END_COMPLETE, 200, "body" },
  { "599", "HTTP/1.1 599 X\r\nContent-Length: 0\r\n\r\n", END_COMPLETE, 599,
    "" },
  { "no reason phrase", "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n",
    END_COMPLETE, 200, "" },
  { "000", "HTTP/1.1 000 Unknown\r\nContent-Length: 4\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "000, then a response", "HTTP/1.1 000 Unknown\r\n\r\n" SOUND,
    END_MALFORMED, 0, "" },
  { "000 without a length", "HTTP/1.1 000 Unknown\r\n\r\nbody", END_MALFORMED,
    0, "" },
  { "099, then a response", "HTTP/1.1 099 Unknown\r\n\r\n" SOUND,
    END_MALFORMED, 0, "" },
  { "600", "HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nbody", END_MALFORMED, 0,
    "" },
  { "999", "HTTP/1.1 999 X\r\nContent-Length: 4\r\n\r\nbody", END_MALFORMED, 0,
    "" },
  { "two digits, then a response", "HTTP/1.1 20 OK\r\n\r\n" SOUND,
    END_MALFORMED, 0, "" },
  { "one digit, then a response", "HTTP/1.1 2 OK\r\n\r\n" SOUND, END_MALFORMED,
    0, "" },
  { "no digit", "HTTP/1.1 OK\r\nContent-Length: 4\r\n\r\nbody", END_MALFORMED,
    0, "" },
  { "four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "four digits that begin with 0",
    "HTTP/1.1 0200 OK\r\nContent-Length: 4\r\n\r\nbody", END_MALFORMED, 0,
    "" },
  { "a sign", "HTTP/1.1 +20 OK\r\nContent-Length: 4\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "100, then a response", CONTINUE SOUND, END_COMPLETE, 200, "body" },
  { "103, then a response",
    "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" SOUND, END_COMPLETE, 200,
    "body" },
  { "ten interim responses, then a response", CONTINUE_10 SOUND, END_COMPLETE,
    200, "body" },
  { "a hundred interim responses, then a response",
    CONTINUE_10 CONTINUE_10 CONTINUE_10 CONTINUE_10 CONTINUE_10 CONTINUE_10
        CONTINUE_10 CONTINUE_10 CONTINUE_10 CONTINUE_10 SOUND,
    END_MALFORMED, 0, "" },
  { "100, then 000", CONTINUE "HTTP/1.1 000 X\r\n\r\n" SOUND, END_MALFORMED, 0,
    "" },
  { "100, then four digits",
    CONTINUE "HTTP/1.1 0200 X\r\nContent-Length: 4\r\n\r\nbody", END_MALFORMED,
    0, "" },
  { "100 alone", CONTINUE, END_CUT_OFF, 0, "" },
  { "101 that wasn't asked for",
    "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n"
    "Connection: Upgrade\r\n\r\n" SOUND,
    END_MALFORMED, 0, "" },
  { "101 without an upgrade", "HTTP/1.1 101 X\r\n\r\n" SOUND, END_MALFORMED, 0,
    "" },
  { "100 with a length",
    "HTTP/1.1 100 Continue\r\nContent-Length: 90\r\n\r\n" SOUND, END_MALFORMED,
    0, "" },
};

/* Sends the response of CASE in steps of STEP bytes and closes the connection.
 */
static void
run_case (struct fixture *fixture, const struct response_case *row,
          size_t step)
{
  int server = accept_connection (fixture);
  read_request (fixture, server);
  send_bytes (fixture, server, row->bytes, step);
  shutdown (server, SHUT_WR);
  await_end (fixture);
  close (server);
  ncl_close_idle (fixture->client, fixture->address);
}

/* Returns whether the exchange for ROW, whose bytes came in steps of STEP, has
   ended otherwise than it is to, and prints that.  */
static bool
differs (const struct fixture *fixture, const struct response_case *row,
         size_t step)
{
  if (fixture->end == row->end
      && (row->end != END_COMPLETE
          || (fixture->status == row->status
              && strcmp (fixture->body->str, row->body) == 0)))
    {
      return false;
    }
  print_error ("%s, steps of %zd: end %d, status %u, body '%s'\n", row->name,
               (ssize_t)step, fixture->end, fixture->status,
               fixture->body->str);
  return true;
}

/* Checks that an exchange for each of COUNT CASES ends as it is to, however
   the bytes are split.  */
static void
check_exchanges (struct fixture *fixture, const struct response_case *cases,
                 size_t count)
{
  static const size_t steps[] = { SIZE_MAX, 1, 7 };
  uint32_t wrong = 0;
  for (size_t i = 0; i < count; i++)
    {
      for (size_t n = 0; n < G_N_ELEMENTS (steps); n++)
        {
          const struct response_case *row = &cases[i];
          send_request (fixture);
          run_case (fixture, row, MIN (steps[n], strlen (row->bytes)));
          wrong += differs (fixture, row, steps[n]);
        }
    }
  assert_int_equal (wrong, 0);
}

/* Checks that a call, as for orders, reports and the store, has a status only
   where the exchange is complete.  */
static void
check_calls (struct fixture *fixture, const struct response_case *cases,
             size_t count)
{
  uint32_t wrong = 0;
  for (size_t i = 0; i < count; i++)
    {
      const struct cal_params params = {
        .client = fixture->client,
        .loop = &fixture->loop,
        .address = fixture->address,
        .method = "GET",
        .path = "/a",
        .timeout_ms = TIMEOUT_US / CLK_MS_US,
        .done = on_call_done,
        .context = fixture,
      };
      uint32_t status = cases[i].end == END_COMPLETE ? cases[i].status : 0;
      forget_response (fixture);
      cal_send (&params);
      run_case (fixture, &cases[i], strlen (cases[i].bytes));
      if (fixture->end != END_COMPLETE || fixture->status != status)
        {
          print_error ("%s: end %d, status %u\n", cases[i].name, fixture->end,
                       fixture->status);
          wrong++;
        }
    }
  assert_int_equal (wrong, 0);
}

/* Guards against an invalid status code, an upgrade or interim responses
   without end that reach a caller as a response, or that hide a response of
   which it isn't known whose it is.  */
static void
test_status (void **state)
{
  check_exchanges (*state, status_cases, G_N_ELEMENTS (status_cases));
  check_calls (*state, status_cases, G_N_ELEMENTS (status_cases));
}

static const struct response_case ending_cases[] = {
  { "no byte", "", END_CUT_OFF, 0, "" },
  { "within the status line", "HTTP/1.1 200", END_CUT_OFF, 0, "" },
  { "within the headers", OK_HEAD "Content-Length: 4\r\n", END_CUT_OFF, 0,
    "" },
  { "within a header", OK_HEAD "Content-Le", END_CUT_OFF, 0, "" },
  { "before the body", OK_HEAD "Content-Length: 4\r\n\r\n", END_CUT_OFF, 0,
    "" },
  { "within the body", OK_HEAD "Content-Length: 4\r\n\r\nbod", END_CUT_OFF, 0,
    "" },
  { "length too short", OK_HEAD "Content-Length: 3\r\n\r\nbody", END_COMPLETE,
    200, "bod" },
  { "no length, closed", OK_HEAD "\r\nbody", END_COMPLETE, 200, "body" },
  { "chunks", CHUNKED_HEAD "4\r\nbody\r\n0\r\n\r\n", END_COMPLETE, 200,
    "body" },
  { "within a chunk size", CHUNKED_HEAD "4", END_CUT_OFF, 0, "" },
  { "within a chunk", CHUNKED_HEAD "4\r\nbo", END_CUT_OFF, 0, "" },
  { "after a chunk", CHUNKED_HEAD "4\r\nbody\r\n", END_CUT_OFF, 0, "" },
  { "within the last chunk's size", CHUNKED_HEAD "4\r\nbody\r\n0", END_CUT_OFF,
    0, "" },
  { "after the last chunk's line", CHUNKED_HEAD "4\r\nbody\r\n0\r\n",
    END_CUT_OFF, 0, "" },
  { "within the trailer", CHUNKED_HEAD "4\r\nbody\r\n0\r\nX-A: 1\r\n",
    END_CUT_OFF, 0, "" },
  { "a trailer", CHUNKED_HEAD "4\r\nbody\r\n0\r\nX-A: 1\r\n\r\n", END_COMPLETE,
    200, "body" },
  { "a chunk longer than its size", CHUNKED_HEAD "3\r\nbody\r\n0\r\n\r\n",
    END_MALFORMED, 0, "" },
  { "a chunk shorter than its size", CHUNKED_HEAD "5\r\nbody\r\n0\r\n\r\n",
    END_MALFORMED, 0, "" },
  { "a chunk size that overflows",
    CHUNKED_HEAD "fffffffffffffffff\r\nbody\r\n0\r\n\r\n", END_MALFORMED, 0,
    "" },
  { "a negative chunk size", CHUNKED_HEAD "-4\r\nbody\r\n0\r\n\r\n",
    END_MALFORMED, 0, "" },
  { "no chunk size", CHUNKED_HEAD "\r\nbody\r\n0\r\n\r\n", END_MALFORMED, 0,
    "" },
  { "a length and chunks",
    OK_HEAD "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
            "4\r\nbody\r\n0\r\n\r\n",
    END_MALFORMED, 0, "" },
  { "chunks and a length",
    OK_HEAD "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
            "4\r\nbody\r\n0\r\n\r\n",
    END_MALFORMED, 0, "" },
  { "two lengths",
    OK_HEAD "Content-Length: 3\r\nContent-Length: 4\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "the same length twice",
    OK_HEAD "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "a list of lengths", OK_HEAD "Content-Length: 4, 4\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "a length with a sign", OK_HEAD "Content-Length: +4\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "a negative length", OK_HEAD "Content-Length: -4\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "an empty length", OK_HEAD "Content-Length:\r\n\r\nbody", END_MALFORMED, 0,
    "" },
  { "a length that is no number", OK_HEAD "Content-Length: 4x\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "a length with a blank", OK_HEAD "Content-Length: 4 2\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "a length that overflows",
    OK_HEAD "Content-Length: 99999999999999999999\r\n\r\nbody", END_MALFORMED,
    0, "" },
  { "a space before the colon of a length",
    OK_HEAD "Content-Length : 4\r\n\r\nbodymore", END_MALFORMED, 0, "" },
  { "a folded length", OK_HEAD "Content-Length:\r\n 4\r\n\r\nbodymore",
    END_COMPLETE, 200, "body" },
  { "a coding that isn't known", OK_HEAD "Transfer-Encoding: x\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "a coding that isn't known, and a length",
    OK_HEAD "Transfer-Encoding: x\r\nContent-Length: 4\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "chunks within another coding",
    OK_HEAD "Transfer-Encoding: chunked, x\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    END_MALFORMED, 0, "" },
  { "another coding within chunks",
    OK_HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    END_MALFORMED, 0, "" },
  { "chunks in HTTP/1.0",
    "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "4\r\nbody\r\n0\r\n\r\n",
    END_COMPLETE, 200, "body" },
  { "204 with a body",
    "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nbody", END_COMPLETE,
    204, "" },
  { "304 with a length, and more",
    "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\nbody", END_COMPLETE,
    304, "" },
  { "204 with chunks",
    "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
    END_COMPLETE, 204, "" },
  { "a space before the colon of another header",
    OK_HEAD "X-A : 1\r\nContent-Length: 4\r\n\r\nbody", END_MALFORMED, 0, "" },
  { "chunks within chunks",
    OK_HEAD "Transfer-Encoding: chunked, chunked\r\n\r\n"
            "4\r\nbody\r\n0\r\n\r\n",
    END_MALFORMED, 0, "" },
  { "chunks within chunks, in two lines",
    OK_HEAD "Transfer-Encoding: chunked\r\n"
            "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    END_MALFORMED, 0, "" },
  { "two codings",
    OK_HEAD "Transfer-Encoding: x\r\nTransfer-Encoding: chunked\r\n\r\n"
            "4\r\nbody\r\n0\r\n\r\n",
    END_MALFORMED, 0, "" },
  { "304 with a length",
    "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", END_COMPLETE,
    304, "" },
  { "no HTTP", "body\r\n\r\n", END_MALFORMED, 0, "" },
  { "HTTP/2", "HTTP/2.0 200 OK\r\nContent-Length: 4\r\n\r\nbody",
    END_MALFORMED, 0, "" },
  { "a bare CR in a header", OK_HEAD "X-A: a\rContent-Length: 4\r\n\r\nbody",
    END_MALFORMED, 0, "" },
};

/* Guards against a part of a response that reaches the caller as a complete
   success, and against framing that two readers understand differently.  */
static void
test_ending (void **state)
{
  check_exchanges (*state, ending_cases, G_N_ELEMENTS (ending_cases));
  check_calls (*state, ending_cases, G_N_ELEMENTS (ending_cases));
}

static const struct response_case head_cases[] = {
  { "a length", OK_HEAD "Content-Length: 4\r\n\r\n", END_COMPLETE, 200, "" },
  { "chunks", CHUNKED_HEAD, END_COMPLETE, 200, "" },
  { "neither", OK_HEAD "\r\n", END_COMPLETE, 200, "" },
  { "an error", "HTTP/1.1 404 Not Found\r\nContent-Length: 9\r\n\r\n",
    END_COMPLETE, 404, "" },
  { "a body that nobody asked for", SOUND, END_COMPLETE, 200, "" },
  { "100, then a response", CONTINUE OK_HEAD "Content-Length: 4\r\n\r\n",
    END_COMPLETE, 200, "" },
  { "within the headers", OK_HEAD "Content-Length: 4\r\n", END_CUT_OFF, 0,
    "" },
};

/* Guards against a client that waits for the body of a response to HEAD, which
   has a length but no body, until the call times out.  */
static void
test_response_to_head (void **state)
{
  struct fixture *fixture = *state;
  fixture->request = "HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n";
  check_exchanges (fixture, head_cases, G_N_ELEMENTS (head_cases));
}

/* Guards against an idle time that a server names and that overflows: the
   client would take the connection for one that may not be used again.  */
static void
test_keep_alive (void **state)
{
  static const struct
  {
    const char *value;
    bool is_kept;
  } rows[] = {
    { "timeout=5", true },
    { "timeout=5, max=100", true },
    { "max=100", true },
    { "timeout=9223372036855", true },
    { "timeout=9223372036854775807", true },
    { "timeout=99999999999999999999", true },
    { "timeout=0", false },
    { "timeout=-9223372036854775808", false },
    { "timeout=", false },
  };
  struct fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *response = g_strdup_printf (
          OK_HEAD "Keep-Alive: %s\r\nContent-Length: 4\r\n\r\nbody",
          rows[i].value);
      send_request (fixture);
      int server = accept_connection (fixture);
      read_request (fixture, server);
      send_bytes (fixture, server, response, strlen (response));
      await_end (fixture);
      assert_int_equal (fixture->end, END_COMPLETE);
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      bool is_kept = ncl_counts (fixture->client)->open == 1;
      if (is_kept != rows[i].is_kept)
        {
          fail_msg ("%s: kept %d", rows[i].value, is_kept);
        }
      close (server);
      ncl_close_idle (fixture->client, fixture->address);
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
}

static const struct response_case reset_cases[] = {
  { "no length", OK_HEAD "\r\nbody", END_CUT_OFF, 0, "" },
  { "no length, no body", OK_HEAD "\r\n", END_CUT_OFF, 0, "" },
  { "within the headers", OK_HEAD "X-A: b\r\n", END_CUT_OFF, 0, "" },
  { "within the body", OK_HEAD "Content-Length: 5\r\n\r\nbody", END_CUT_OFF, 0,
    "" },
  { "after a chunk", CHUNKED_HEAD "4\r\nbody\r\n", END_CUT_OFF, 0, "" },
  { "a length", SOUND, END_COMPLETE, 200, "body" },
  { "chunks", CHUNKED_HEAD "4\r\nbody\r\n0\r\n\r\n", END_COMPLETE, 200,
    "body" },
};

/* Guards against a response without a length that is taken for complete though
   the connection was reset: the event loop reports a reset that arrives with
   the last bytes as an orderly end.  */
static void
test_reset_with_last_bytes (void **state)
{
  struct fixture *fixture = *state;
  const struct linger reset = { .l_onoff = 1 };
  uint32_t wrong = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (reset_cases); i++)
    {
      const struct response_case *row = &reset_cases[i];
      send_request (fixture);
      int server = accept_connection (fixture);
      read_request (fixture, server);
      send (server, row->bytes, strlen (row->bytes), MSG_NOSIGNAL);
      setsockopt (server, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      close (server);
      await_end (fixture);
      ncl_close_idle (fixture->client, fixture->address);
      wrong += differs (fixture, row, strlen (row->bytes));
    }
  assert_int_equal (wrong, 0);
}

#define OTHER OK_HEAD "Content-Length: 5\r\n\r\nother"

/* Guards against a second copy of a response, late, on a connection that is in
   use again: the next request, whose response has no id to tell it by, got the
   copy.  The two copies are split at each byte, and the next request is sent
   before the client has read the rest.  */
static void
test_second_copy (void **state)
{
  static const char copies[] = SOUND SOUND;
  struct fixture *fixture = *state;
  for (size_t split = 1; split < sizeof copies - 1; split++)
    {
      send_request (fixture);
      int first = accept_connection (fixture);
      read_request (fixture, first);
      send (first, copies, split, MSG_NOSIGNAL);
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      send (first, copies + split, sizeof copies - 1 - split, MSG_NOSIGNAL);
      await_end (fixture);
      assert_int_equal (fixture->end, END_COMPLETE);
      send_request (fixture);
      int second = -1;
      while (fixture->end == END_NONE && second < 0)
        {
          uv_run (&fixture->loop, UV_RUN_NOWAIT);
          second = accept (fixture->listener, NULL, NULL);
        }
      if (second < 0)
        {
          fail_msg ("split at %zu: '%s'", split, fixture->body->str);
        }
      read_request (fixture, second);
      send_bytes (fixture, second, OTHER, strlen (OTHER));
      await_end (fixture);
      assert_string_equal (fixture->body->str, "other");
      close (first);
      close (second);
      ncl_close_idle (fixture->client, fixture->address);
    }
}

/* Guards against a second copy of the answer to an order or a report that
   comes while the next call is under way, and is taken for its answer: without
   an id the two can't be told apart, so that the connections differ.  */
static void
test_second_copy_of_call (void **state)
{
  struct fixture *fixture = *state;
  const struct cal_params params = {
    .client = fixture->client,
    .loop = &fixture->loop,
    .address = fixture->address,
    .method = "GET",
    .path = "/a",
    .timeout_ms = TIMEOUT_US / CLK_MS_US,
    .done = on_call_done,
    .context = fixture,
  };
  int servers[2] = { -1, -1 };
  for (size_t i = 0; i < G_N_ELEMENTS (servers); i++)
    {
      forget_response (fixture);
      cal_send (&params);
      int64_t end_us = clk_monotonic_us () + CLK_S_US;
      while (servers[i] < 0 && clk_monotonic_us () < end_us)
        {
          uv_run (&fixture->loop, UV_RUN_NOWAIT);
          servers[i] = accept (fixture->listener, NULL, NULL);
        }
      send_bytes (fixture, servers[0], SOUND, strlen (SOUND));
      if (i == 1)
        {
          assert_int_equal (fixture->end, END_NONE);
          send_bytes (fixture, servers[i], OTHER, strlen (OTHER));
        }
      await_end (fixture);
    }
  assert_string_equal (fixture->body->str, "other");
  close (servers[0]);
  close (servers[1]);
}

/* Guards against an order that is sent on a permission that has run out: the
   process was stopped while its connection was being established.  */
static void
test_send_by (void **state)
{
  static const struct
  {
    const char *name;
    int64_t left_us; /* until the permission runs out; 0: no limit */
    bool sent;
  } cases[] = {
    { "no limit", 0, true },
    { "a minute", 60 * CLK_S_US, true },
    { "less than the pause", PAUSE_US / 2, false },
  };
  struct fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct cal_params params = {
        .client = fixture->client,
        .loop = &fixture->loop,
        .address = fixture->address,
        .method = "POST",
        .path = "/a",
        .timeout_ms = TIMEOUT_US / CLK_MS_US,
        .send_by_us
        = cases[i].left_us == 0 ? 0 : clk_monotonic_us () + cases[i].left_us,
        .done = on_call_done,
        .context = fixture,
      };
      forget_response (fixture);
      cal_send (&params);
      usleep (PAUSE_US); /* the loop doesn't run, as if stopped */
      int server = accept_connection (fixture);
      if (cases[i].sent)
        {
          read_request (fixture, server);
          send_bytes (fixture, server, SOUND, strlen (SOUND));
        }
      await_end (fixture);
      char byte;
      ssize_t count = recv (server, &byte, 1, MSG_DONTWAIT);
      if (fixture->status != (cases[i].sent ? 200U : 0U)
          || fixture->end != END_COMPLETE || count > 0)
        {
          fail_msg ("%s: end %d, status %u, %zd bytes", cases[i].name,
                    fixture->end, fixture->status, count);
        }
      close (server);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_status, create_fixture,
                                     destroy_fixture),
    cmocka_unit_test_setup_teardown (test_ending, create_fixture,
                                     destroy_fixture),
    cmocka_unit_test_setup_teardown (test_response_to_head, create_fixture,
                                     destroy_fixture),
    cmocka_unit_test_setup_teardown (test_keep_alive, create_fixture,
                                     destroy_fixture),
    cmocka_unit_test_setup_teardown (test_reset_with_last_bytes,
                                     create_fixture, destroy_fixture),
    cmocka_unit_test_setup_teardown (test_second_copy, create_fixture,
                                     destroy_fixture),
    cmocka_unit_test_setup_teardown (test_send_by, create_fixture,
                                     destroy_fixture),
    cmocka_unit_test_setup_teardown (test_second_copy_of_call, create_fixture,
                                     destroy_fixture),
  };
  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
