/* Tests of what the client of `kumquatthread serve' takes for a response.  The
   server is a thread that sends the bytes of each case. */
#include "base/clock.h"
#include "endpoint/endpoint.h"
#include "endpoint/service.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <arpa/inet.h>
#include <cmocka.h>
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define TIMEOUT_US (5 * CLK_S_US)

struct response_case
{
  const char *name;
  const char *bytes;
  enum svc_result result;
  uint16_t status; /* if SVC_ANSWERED */
};

static const struct response_case cases[] = {
  { "200", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", SVC_ANSWERED,
    200 },
  { "100, then 200",
    "HTTP/1.1 100 Continue\r\n\r\n"
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
    SVC_ANSWERED, 200 },
  { "000", "HTTP/1.1 000 X\r\nContent-Length: 4\r\n\r\nbody", SVC_UNKNOWN, 0 },
  { "000 without a length", "HTTP/1.1 000 X\r\n\r\nbody", SVC_UNKNOWN, 0 },
  { "099", "HTTP/1.1 099 X\r\nContent-Length: 4\r\n\r\nbody", SVC_UNKNOWN, 0 },
  { "600", "HTTP/1.1 600 X\r\nContent-Length: 4\r\n\r\nbody", SVC_UNKNOWN, 0 },
  { "999", "HTTP/1.1 999 X\r\nContent-Length: 4\r\n\r\nbody", SVC_UNKNOWN, 0 },
  { "two digits", "HTTP/1.1 20 OK\r\nContent-Length: 4\r\n\r\nbody",
    SVC_UNKNOWN, 0 },
  { "four digits", "HTTP/1.1 2000 OK\r\nContent-Length: 4\r\n\r\nbody",
    SVC_UNKNOWN, 0 },
  { "four digits that begin with 0",
    "HTTP/1.1 0200 OK\r\nContent-Length: 4\r\n\r\nbody", SVC_UNKNOWN, 0 },
  { "101 that wasn't asked for",
    "HTTP/1.1 101 X\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\nbody",
    SVC_UNKNOWN, 0 },
  { "no HTTP", "body\r\n\r\n", SVC_UNKNOWN, 0 },
  { "503 with X-Not-Run",
    "HTTP/1.1 503 X\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
    SVC_NOT_RUN, 0 },
  { "000 with X-Not-Run",
    "HTTP/1.1 000 X\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
    SVC_UNKNOWN, 0 },
  { "a body shorter than its length",
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nbody", SVC_UNKNOWN, 0 },
  { "chunks without the last one",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
    SVC_UNKNOWN, 0 },
  { "two lengths",
    "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 3\r\n\r\nbody",
    SVC_UNKNOWN, 0 },
  { "end within the status line", "HTTP/1.1 200 O", SVC_UNKNOWN, 0 },
  { "end after the status line", "HTTP/1.1 200 OK\r\n", SVC_UNKNOWN, 0 },
  { "end within a header", "HTTP/1.1 200 OK\r\nContent-Le", SVC_UNKNOWN, 0 },
  { "end after a header", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n",
    SVC_UNKNOWN, 0 },
  { "end after a length of 0", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
    SVC_UNKNOWN, 0 },
  { "end within the empty line", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r",
    SVC_UNKNOWN, 0 },
  { "end after an interim response", "HTTP/1.1 100 Continue\r\n\r\n",
    SVC_UNKNOWN, 0 },
  { "end within the headers after an interim response",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n", SVC_UNKNOWN,
    0 },
  { "end within the headers of a 503 with X-Not-Run",
    "HTTP/1.1 503 X\r\nX-Not-Run: true\r\n", SVC_UNKNOWN, 0 },
  { "end after the headers, without a length",
    "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n", SVC_ANSWERED, 200 },
};

/* A server that accepts a connection, reads the head of a request, sends the
   bytes of a case and closes. */
struct server
{
  int listener;
  const struct response_case *row;
};

static void *
run_server (void *context)
{
  const struct server *server = context;
  char request[1024] = "";
  size_t used = 0;
  ssize_t count = 1;
  int connection = accept (server->listener, NULL, NULL);
  while (count > 0 && strstr (request, "\r\n\r\n") == NULL)
    {
      count = recv (connection, request + used, sizeof request - 1 - used, 0);
      used += count > 0 ? (size_t)count : 0;
    }
  send (connection, server->row->bytes, strlen (server->row->bytes),
        MSG_NOSIGNAL);
  shutdown (connection, SHUT_WR);
  while (recv (connection, request, sizeof request, 0) > 0)
    {
    }
  close (connection);
  return NULL;
}

/* Guards against an invalid status code, or a part of a response, that the
   caller of a plain service gets as a response.  The call may have run.  */
static void
test_responses (void **state)
{
  (void)state;
  struct sockaddr_in address = { .sin_family = AF_INET };
  socklen_t address_bytes = sizeof address;
  address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  struct server server = { .listener = socket (AF_INET, SOCK_STREAM, 0) };
  assert_int_equal (
      bind (server.listener, (struct sockaddr *)&address, sizeof address), 0);
  assert_int_equal (listen (server.listener, 8), 0);
  assert_int_equal (getsockname (server.listener, (struct sockaddr *)&address,
                                 &address_bytes),
                    0);
  g_autofree char *text
      = g_strdup_printf ("127.0.0.1:%u", ntohs (address.sin_port));
  struct ept_table *table = ept_table_create ();
  struct ept_endpoint *endpoint = ept_get_or_add (table, "host", text);
  const struct svc_call call
      = { .method = "POST", .path = "/a", .timeout_us = TIMEOUT_US };
  uint32_t wrong = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      pthread_t thread;
      struct con_answer answer;
      server.row = &cases[i];
      pthread_create (&thread, NULL, run_server, &server);
      enum svc_result result = svc_run_once (endpoint, &call, &answer);
      pthread_join (thread, NULL);
      if (result != cases[i].result
          || (result == SVC_ANSWERED && answer.status != cases[i].status))
        {
          print_error ("%s: result %d, status %u\n", cases[i].name, result,
                       answer.status);
          wrong++;
        }
      con_answer_clear (&answer);
    }
  ept_table_destroy (table);
  close (server.listener);
  assert_int_equal (wrong, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_responses),
  };
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
