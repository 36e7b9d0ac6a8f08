/* Tests of the HTTP server's budget of memory, with callers on loopback. */
#include "base/clock.h"
#include "test/caller_socket.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define MIB ((size_t)1048576)

/* Holds one body of BODY_BYTES, as bodies get three quarters, but not two. */
#define BUDGET_BYTES (2 * MIB)
#define BODY_BYTES MIB

/* The response to /long.  Callers in these tests don't read it, so most of it
   waits in the server. */
#define LONG_BYTES (16 * MIB)

#define TIMEOUT_US (10 * CLK_S_US)
#define ANSWER_BYTES 256

struct fixture
{
  uv_loop_t loop;
  struct bbg_budget *budget;
  struct nsv_server *server;
  char *address;
  char *long_body;
  uint32_t requests;   /* that have reached the owner */
  uint64_t body_bytes; /* of the last one */
};

static void
on_request (void *context, struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  (void)method;
  struct fixture *fixture = context;
  bool is_long = strcmp (request->url->str, "/long") == 0;
  fixture->requests++;
  fixture->body_bytes = request->body->len;
  nsv_respond (connection, HTTP_STATUS_OK, "", fixture->long_body,
               is_long ? LONG_BYTES : 2);
}

static void
ignore_event (void *context)
{
  (void)context;
}

static const struct nsv_events events = {
  .request = on_request,
  .disconnected = ignore_event,
  .drained = ignore_event,
};

static int
set_up_with (void **state, uint64_t budget_bytes)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  uv_loop_init (&fixture->loop);
  fixture->budget = bbg_create (budget_bytes);
  fixture->long_body = g_malloc0 (LONG_BYTES);
  const struct nsv_limits limits = {
    .header_bytes_max = 4096,
    .body_bytes_max = 8 * MIB,
    .header_timeout_us = TIMEOUT_US,
    .idle_timeout_us = TIMEOUT_US,
    .unsent_bytes_max = 65536,
    .user_timeout_ms = 20000,
    .connections_max = 16,
    .budget = fixture->budget,
  };
  fixture->server = nsv_create (&fixture->loop, "127.0.0.1:0", &limits,
                                &events, fixture, NULL);
  assert_non_null (fixture->server);
  fixture->address = nsv_address (fixture->server);
  *state = fixture;
  return 0;
}

static int
set_up (void **state)
{
  return set_up_with (state, BUDGET_BYTES);
}

static int
set_up_large (void **state)
{
  return set_up_with (state, 4 * LONG_BYTES);
}

static int
tear_down (void **state)
{
  struct fixture *fixture = *state;
  nsv_destroy (fixture->server);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  uv_loop_close (&fixture->loop);
  bbg_destroy (fixture->budget);
  g_free (fixture->address);
  g_free (fixture->long_body);
  g_free (fixture);
  return 0;
}

static void
run_for (struct fixture *fixture, int64_t duration_us)
{
  csk_run_for (&fixture->loop, fixture->server, duration_us);
}

/* Sends HEAD and then COUNT bytes of a body from the caller FD, as far as the
   server reads them.  */
static void
send_request (struct fixture *fixture, int fd, const char *head, size_t count)
{
  static const char body[65536];
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  ssize_t sent = send (fd, head, strlen (head), MSG_NOSIGNAL);
  assert_int_equal (sent, strlen (head));
  while (count > 0 && clk_monotonic_us () < end_us)
    {
      sent = send (fd, body, MIN (count, sizeof body),
                   MSG_DONTWAIT | MSG_NOSIGNAL);
      count -= sent > 0 ? (size_t)sent : 0;
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
  run_for (fixture, 50 * CLK_MS_US);
}

/* Reads the beginning of what the caller FD gets into ANSWER.  */
static void
read_answer (struct fixture *fixture, int fd, char answer[ANSWER_BYTES])
{
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  ssize_t count = -1;
  while (count < 0 && clk_monotonic_us () < end_us)
    {
      count = recv (fd, answer, ANSWER_BYTES - 1, MSG_DONTWAIT);
      run_for (fixture, 5 * CLK_MS_US);
    }
  answer[MAX (count, 0)] = '\0';
}

#define ANNOUNCED                                                             \
  "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n"
#define CHUNKED "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"

/* Guards against bodies that exceed the budget, against a refusal of one whose
   request was passed on, and against memory that isn't released.  */
static void
test_second_body (void **state)
{
  static const struct
  {
    const char *name;
    const char *head;  /* of the second request */
    size_t bytes;      /* of its body that are sent */
    int64_t before_us; /* between the two, while the first one stalls */
    const char *first; /* answers; NULL: none yet */
    const char *second;
    uint32_t requests; /* that reach the owner */
  } cases[] = {
    { "announced, refused before it is sent", ANNOUNCED, 0, 0, NULL,
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
      "Connection: close\r\n",
      0 },
    { "in chunks, refused as it grows", CHUNKED "\r\n100000\r\n", BODY_BYTES,
      0, NULL,
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
      "Connection: close\r\n",
      0 },
    { "small, served", "POST / HTTP/1.1\r\nContent-Length: 16384\r\n\r\n",
      16384, 0, NULL, "HTTP/1.1 200 OK\r\n", 1 },
    { "a stalled body ends for it", ANNOUNCED, BODY_BYTES,
      BBG_STALL_US + CLK_S_US / 2,
      "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n",
      "HTTP/1.1 200 OK\r\n", 1 },
  };
  struct fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      char answer[ANSWER_BYTES];
      struct bbg_state budget;
      int first = csk_connect (fixture->address);
      int second = csk_connect (fixture->address);
      fixture->requests = 0;
      send_request (fixture, first, ANNOUNCED, BODY_BYTES - 1);
      run_for (fixture, cases[i].before_us);
      send_request (fixture, second, cases[i].head, cases[i].bytes);
      read_answer (fixture, second, answer);
      if (!g_str_has_prefix (answer, cases[i].second)
          || fixture->requests != cases[i].requests)
        {
          fail_msg ("%s: %u requests, answer %s", cases[i].name,
                    fixture->requests, answer);
        }
      if (cases[i].first != NULL)
        {
          read_answer (fixture, first, answer);
          if (!g_str_has_prefix (answer, cases[i].first))
            {
              fail_msg ("%s: first answer %s", cases[i].name, answer);
            }
        }
      close (first);
      close (second);
      run_for (fixture, 50 * CLK_MS_US);
      bbg_read (fixture->budget, &budget);
      assert_int_equal (budget.used, 0);
    }
}

/* Guards against a body inside the limits that isn't served when it is the
   only one, and against its memory staying with its connection.  */
static void
test_connection_keeps_no_body (void **state)
{
  struct fixture *fixture = *state;
  char answer[ANSWER_BYTES];
  struct bbg_state budget;
  int caller = csk_connect (fixture->address);
  for (uint32_t i = 0; i < 3; i++)
    {
      send_request (fixture, caller, ANNOUNCED, BODY_BYTES);
      read_answer (fixture, caller, answer);
      assert_true (g_str_has_prefix (answer, "HTTP/1.1 200 OK\r\n"));
      assert_int_equal (fixture->body_bytes, BODY_BYTES);
      bbg_read (fixture->budget, &budget);
      assert_int_equal (budget.bodies, 0);
    }
  close (caller);
}

#define LONG_REQUEST "GET /long HTTP/1.1\r\nHost: a\r\n\r\n"

/* Guards against responses that pile up for a caller that sends requests and
   doesn't read: one waits for each connection at most.  The next request is
   served once the caller has read.  */
static void
test_pipelined_wait (void **state)
{
  struct fixture *fixture = *state;
  char answer[ANSWER_BYTES];
  int caller = csk_connect (fixture->address);
  send_request (fixture, caller, LONG_REQUEST LONG_REQUEST, 0);
  send_request (fixture, caller, LONG_REQUEST, 0);
  assert_int_equal (fixture->requests, 1);
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  while (fixture->requests < 3 && clk_monotonic_us () < end_us)
    {
      while (recv (caller, answer, sizeof answer, MSG_DONTWAIT) > 0)
        {
          /* Only the progress counts. */
        }
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
  assert_int_equal (fixture->requests, 3);
  close (caller);
}

/* Guards against memory beyond the budget that stays with a caller that
   doesn't read its response.  */
static void
test_unread_response (void **state)
{
  struct fixture *fixture = *state;
  struct bbg_state budget;
  int caller = csk_connect (fixture->address);
  send_request (fixture, caller, LONG_REQUEST, 0);
  assert_int_equal (nsv_connection_count (fixture->server), 1);
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  while (nsv_connection_count (fixture->server) > 0
         && clk_monotonic_us () < end_us)
    {
      run_for (fixture, 50 * CLK_MS_US);
    }
  bbg_read (fixture->budget, &budget);
  assert_int_equal (budget.used, 0);
  assert_int_equal (budget.evicted, 1);
  close (caller);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_second_body, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_connection_keeps_no_body, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_pipelined_wait, set_up_large,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_unread_response, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
