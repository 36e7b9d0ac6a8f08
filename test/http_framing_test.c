/* Tests of what the HTTP server takes from callers: framing of requests that
   two readers may understand differently. */
#include "base/clock.h"
#include "net/server.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_US (10 * CLK_S_US)
#define HEAD "POST /a HTTP/1.1\r\nHost: a\r\n"
#define CHUNKED HEAD "Transfer-Encoding: chunked\r\n\r\n"

struct fixture
{
  uv_loop_t loop;
  struct nsv_server *server;
  GString *seen; /* what reached the owner of the server */
};

static void
on_request (void *context, struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  struct fixture *fixture = context;
  GString *head = g_string_new (NULL);
  msg_copy_headers (request, NULL, head);
  g_string_append_printf (fixture->seen, "%s %s [%.*s] %s;", method,
                          request->url->str, (int)request->body->len,
                          (const char *)request->body->data, head->str);
  g_string_free (head, TRUE);
  nsv_respond (connection, 200, "", "", 0);
}

static void
ignore (void *context)
{
  (void)context;
}

static const struct nsv_events server_events = {
  .request = on_request,
  .disconnected = ignore,
  .drained = ignore,
};

struct request_case
{
  const char *name;
  const char *bytes;
  const char *seen; /* NULL: the request is refused with status 400 */
};

static const struct request_case cases[] = {
  { "a length", HEAD "Content-Length: 4\r\n\r\nbody",
    "POST /a [body] Host: a\r\n;" },
  { "chunks", CHUNKED "4\r\nbody\r\n0\r\n\r\n",
    "POST /a [body] Host: a\r\n;" },
  { "a chunk extension", CHUNKED "4;a=b\r\nbody\r\n0\r\n\r\n",
    "POST /a [body] Host: a\r\n;" },
  { "a trailer isn't taken for a header",
    CHUNKED "4\r\nbody\r\n0\r\nX-Api-Key: b\r\n\r\n",
    "POST /a [body] Host: a\r\n;" },
  { "a length and chunks",
    HEAD "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n",
    NULL },
  { "chunks and a length",
    HEAD "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n"
         "0\r\n\r\n",
    NULL },
  { "two lengths", HEAD "Content-Length: 4\r\nContent-Length: 3\r\n\r\nbody",
    NULL },
  { "a list of lengths", HEAD "Content-Length: 4, 4\r\n\r\nbody", NULL },
  { "a length with a sign", HEAD "Content-Length: +4\r\n\r\nbody", NULL },
  { "a negative length", HEAD "Content-Length: -4\r\n\r\nbody", NULL },
  { "a length with a blank", HEAD "Content-Length: 4 2\r\n\r\nbody", NULL },
  { "an empty length", HEAD "Content-Length:\r\n\r\n", NULL },
  { "a hexadecimal length", HEAD "Content-Length: 0x4\r\n\r\nbody", NULL },
  { "a space before the colon of a length",
    HEAD "Content-Length : 4\r\n\r\nbody", NULL },
  { "a space before the colon of another header", HEAD "X-Own : 4\r\n\r\n",
    NULL },
  { "a folded header", HEAD "X-Own: a\r\n b\r\n\r\n",
    "POST /a [] Host: a\r\nX-Own: a b\r\n;" },
  { "a folded coding",
    HEAD "Transfer-Encoding:\r\n chunked\r\n\r\n"
         "0\r\n\r\n",
    "POST /a [] Host: a\r\n;" },
  { "a bare CR in a header", HEAD "X-Own: a\rX-Api-Key: b\r\n\r\n", NULL },
  { "a line that begins with a blank", "POST /a HTTP/1.1\r\n Host: a\r\n\r\n",
    NULL },
  { "two hosts", HEAD "Host: b\r\n\r\n", NULL },
  { "no host", "POST /a HTTP/1.1\r\n\r\n", "POST /a [] ;" },
  { "no host in HTTP/1.0", "POST /a HTTP/1.0\r\n\r\n", "POST /a [] ;" },
  { "a coding that isn't known", HEAD "Transfer-Encoding: x\r\n\r\n", NULL },
  { "another coding within chunks",
    HEAD "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", NULL },
  { "chunks within another coding",
    HEAD "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", NULL },
  { "two codings",
    HEAD "Transfer-Encoding: x\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n",
    NULL },
  { "chunks in HTTP/1.0",
    "POST /a HTTP/1.0\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "0\r\n\r\n",
    NULL },
  { "a negative chunk size", CHUNKED "-4\r\nbody\r\n0\r\n\r\n", NULL },
  { "a chunk size that overflows",
    CHUNKED "fffffffffffffffff\r\nbody\r\n0\r\n\r\n", NULL },
  { "a chunk longer than its size", CHUNKED "3\r\nbody\r\n0\r\n\r\n", NULL },
  { "a blank before a chunk size", CHUNKED " 4\r\nbody\r\n0\r\n\r\n", NULL },
  { "HTTP/2", "POST /a HTTP/2.0\r\nHost: a\r\n\r\n", NULL },
  { "no version", "GET /a\r\n\r\n", NULL },
  { "an unknown method", "MIX /a HTTP/1.1\r\nHost: a\r\n\r\n", NULL },
  { "an empty line before a request", "\r\n" HEAD "\r\n",
    "POST /a [] Host: a\r\n;" },
  { "a header without a name", HEAD ": a\r\n\r\n", NULL },
  { "a control character in a header", HEAD "X-Own: a\x01\r\n\r\n", NULL },
  { "a control character at the begin of a header",
    HEAD "X-Own: \x01"
         "a\r\n\r\n",
    NULL },
  { "a control character after blanks", HEAD "X-Own:  \x7f\r\n\r\n", NULL },
  { "blanks at the end of a header", HEAD "X-Own: a \t \r\n\r\n",
    "POST /a [] Host: a\r\nX-Own: a\r\n;" },
  { "a header of blanks", HEAD "X-Own: \t \r\n\r\n",
    "POST /a [] Host: a\r\nX-Own: \r\n;" },
  { "a coding with a blank at its end",
    HEAD "Transfer-Encoding: chunked \r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "POST /a [body] Host: a\r\n;" },
  { "a coding in capitals",
    HEAD "Transfer-Encoding: CHUNKED\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    "POST /a [body] Host: a\r\n;" },
  { "chunks within chunks",
    HEAD "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", NULL },
  { "chunks within chunks, in two lines",
    HEAD "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
         "0\r\n\r\n",
    NULL },
  { "no coding, by name", HEAD "Transfer-Encoding: identity\r\n\r\n0\r\n\r\n",
    NULL },
  { "a length twice",
    HEAD "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody", NULL },
  { "a chunk without a size", CHUNKED "\r\nbody\r\n0\r\n\r\n", NULL },
  { "a chunk size in C", CHUNKED "0x4\r\nbody\r\n0\r\n\r\n", NULL },
  { "chunks in lines without a return", CHUNKED "4\nbody\n0\n\n", NULL },
  { "an absolute target", "GET http://b/a?c HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET /a?c [] Host: b\r\n;" },
  { "an absolute target with a port",
    "GET HTTP://b:81/a HTTP/1.1\r\nHost: a\r\n\r\n",
    "GET /a [] Host: b:81\r\n;" },
  { "an absolute target without a path",
    "GET http://b HTTP/1.1\r\nHost: a\r\n\r\n", "GET / [] Host: b\r\n;" },
  { "an absolute target with a query alone",
    "GET http://b?c HTTP/1.1\r\nHost: a\r\n\r\n", "GET /?c [] Host: b\r\n;" },
  { "an absolute target without a host header",
    "GET http://b/a HTTP/1.1\r\n\r\n", "GET /a [] Host: b\r\n;" },
  { "an absolute target without a host",
    "GET http:///a HTTP/1.1\r\nHost: a\r\n\r\n", NULL },
  { "an absolute target with a user",
    "GET http://u@b/a HTTP/1.1\r\nHost: a\r\n\r\n", NULL },
  { "an absolute target of another scheme",
    "GET ftp://b/a HTTP/1.1\r\nHost: a\r\n\r\n", NULL },
  { "a request after the last one of its connection",
    HEAD "Connection: close\r\nContent-Length: 0\r\n\r\n" HEAD "\r\n",
    "POST /a [] Host: a\r\n;" },
  { "a request after one of HTTP/1.0",
    "POST /a HTTP/1.0\r\nHost: a\r\nContent-Length: 0\r\n\r\n" HEAD "\r\n",
    "POST /a [] Host: a\r\n;" },
  { "a switch of protocols that isn't made",
    HEAD "Connection: Upgrade\r\nUpgrade: x\r\nContent-Length: 0\r\n\r\n",
    "POST /a [] Host: a\r\n;" },
};

/* Like struct request_case, with the status of the first answer. */
static const struct
{
  struct request_case request;
  uint32_t status;
} status_cases[] = {
  { { "a tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", NULL }, 501 },
  { { "a request in the content of a tunnel",
      "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\nContent-Length: 29\r\n\r\n"
      "GET /b HTTP/1.1\r\nHost: a\r\n\r\n",
      NULL },
    501 },
  { { "an expectation",
      HEAD "Expect: 100-continue\r\nContent-Length: 4\r\n\r\nbody",
      "POST /a [body] Host: a\r\n;" },
    100 },
  { { "an expectation in HTTP/1.0",
      "POST /a HTTP/1.0\r\nHost: a\r\nExpect: 100-continue\r\n"
      "Content-Length: 4\r\n\r\nbody",
      "POST /a [body] Host: a\r\n;" },
    200 },
};

/* Sends BYTES on a connection of its own and reads into ANSWER what the server
   answers within a time without further bytes.  */
static void
exchange_bytes (struct fixture *fixture, const char *bytes, GString *answer)
{
  g_autofree char *text = nsv_address (fixture->server);
  struct sockaddr_in address;
  char buffer[4096];
  uv_ip4_addr ("127.0.0.1", atoi (strchr (text, ':') + 1), &address);
  int caller = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (
      connect (caller, (struct sockaddr *)&address, sizeof address), 0);
  send (caller, bytes, strlen (bytes), MSG_NOSIGNAL);
  shutdown (caller, SHUT_WR);
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  ssize_t count = -1;
  while (count != 0 && clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
      count = recv (caller, buffer, sizeof buffer, MSG_DONTWAIT);
      g_string_append_len (answer, buffer, MAX (count, 0));
    }
  close (caller);
}

/* Returns the status of ANSWER, or 0 if it is none.  */
static uint32_t
read_status (const GString *answer)
{
  return g_str_has_prefix (answer->str, "HTTP/1.1 ")
             ? (uint32_t)g_ascii_strtoull (answer->str + 9, NULL, 10)
             : 0;
}

/* Sends the request of CASE.  Returns whether the owner of the server sees
   what it is to see, and the first answer has STATUS unless that is 0.  */
static bool
check (struct fixture *fixture, const struct request_case *request,
       uint32_t status)
{
  g_autoptr (GString) answer = g_string_new (NULL);
  g_string_truncate (fixture->seen, 0);
  exchange_bytes (fixture, request->bytes, answer);
  const char *seen = request->seen == NULL ? "" : request->seen;
  bool matches = strcmp (fixture->seen->str, seen) == 0
                 && (status == 0 || read_status (answer) == status);
  if (!matches)
    {
      print_error ("%s: '%s', answer '%.12s'\n", request->name,
                   fixture->seen->str, answer->str);
    }
  return matches;
}

/* Guards against requests within the bodies of others, which framing hides
   that the next reader may understand differently, and against refusing or
   misunderstanding what RFC 9112 lets callers send.  */
static void
test_requests (void **state)
{
  (void)state;
  const struct nsv_limits limits = {
    .header_bytes_max = 4096,
    .body_bytes_max = 4096,
    .header_timeout_us = TIMEOUT_US,
    .idle_timeout_us = TIMEOUT_US,
    .unsent_bytes_max = 65536,
    .user_timeout_ms = 10000,
    .connections_max = 16,
  };
  struct fixture fixture = { .seen = g_string_new (NULL) };
  uint32_t wrong = 0;
  uv_loop_init (&fixture.loop);
  fixture.server = nsv_create (&fixture.loop, "127.0.0.1:0", &limits,
                               &server_events, &fixture, NULL);
  assert_non_null (fixture.server);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      wrong += !check (&fixture, &cases[i], cases[i].seen == NULL ? 400 : 0);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (status_cases); i++)
    {
      wrong += !check (&fixture, &status_cases[i].request,
                       status_cases[i].status);
    }
  nsv_destroy (fixture.server);
  uv_run (&fixture.loop, UV_RUN_DEFAULT);
  uv_loop_close (&fixture.loop);
  g_string_free (fixture.seen, TRUE);
  assert_int_equal (wrong, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests),
  };
  signal (SIGPIPE, SIG_IGN);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
