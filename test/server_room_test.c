/* Tests of the HTTP server's limit on connections, with callers on
   loopback. */
#include "base/clock.h"
#include "test/caller_socket.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define CONNECTIONS_MAX 16
#define TIMEOUT_US (10 * CLK_S_US)

/* Longer than what a connection may go without progress. */
#define STALL_US (BBG_STALL_US + 200 * CLK_MS_US)

#define SOUND_REQUEST "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
#define ANSWER_BYTES 256

struct fixture
{
  uv_loop_t loop;
  struct nsv_server *server;
  char *address;
  struct nsv_limits limits;
};

/* Responds to all requests but those to /wait.  */
static void
on_request (void *context, struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  (void)method;
  if (strcmp (request->url->str, "/wait") == 0)
    {
      nsv_set_request_context (connection, context);
      return;
    }
  nsv_respond (connection, HTTP_STATUS_OK, "", "ok", 2);
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
set_up (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  uv_loop_init (&fixture->loop);
  fixture->limits = (struct nsv_limits){
    .header_bytes_max = 4096,
    .body_bytes_max = 65536,
    .header_timeout_us = TIMEOUT_US,
    .idle_timeout_us = TIMEOUT_US,
    .unsent_bytes_max = 65536,
    .user_timeout_ms = 20000,
    .connections_max = CONNECTIONS_MAX,
  };
  fixture->server = nsv_create (&fixture->loop, "127.0.0.1:0",
                                &fixture->limits, &events, fixture, NULL);
  assert_non_null (fixture->server);
  fixture->address = nsv_address (fixture->server);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *fixture = *state;
  nsv_destroy (fixture->server);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  uv_loop_close (&fixture->loop);
  g_free (fixture->address);
  g_free (fixture);
  return 0;
}

static void
run_for (struct fixture *fixture, int64_t duration_us)
{
  csk_run_for (&fixture->loop, fixture->server, duration_us);
}

/* Connects a caller, which sends BYTES.  */
static int
open_caller (struct fixture *fixture, const char *bytes)
{
  int fd = csk_connect (fixture->address);
  assert_int_equal (send (fd, bytes, strlen (bytes), MSG_NOSIGNAL),
                    strlen (bytes));
  run_for (fixture, 2 * CLK_MS_US);
  return fd;
}

/* Sets ANSWER to what the caller FD has received.  */
static void
read_answer (int fd, char *answer)
{
  ssize_t count = recv (fd, answer, ANSWER_BYTES - 1, MSG_DONTWAIT);
  answer[MAX (count, 0)] = '\0';
}

/* What the callers send that take all connections. */
static const struct
{
  const char *name;
  const char *bytes;
  bool gives_way;   /* after STALL_US */
  const char *told; /* the first one, when it has given way; "": nothing */
} crowds[] = {
  { "bodies without an end",
    "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5\r\nhello\r\n",
    true, "HTTP/1.1 503 " },
  { "heads without an end", "GET /a HTTP/1.1\r\nHost: a\r\n", true,
    "HTTP/1.1 503 " },
  { "nothing", "", true, "" },
  { "a request and no further one", SOUND_REQUEST, true, "HTTP/1.1 200 " },
  { "a request that is refused", "GET a\r\n\r\n", true, "HTTP/1.1 400 " },
  { "requests that are accepted", "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n",
    false, "" },
};

/* Guards against callers that take all connections and make no progress, while
   every other one is reset: the caller that has rested longest gives way, and
   the server knows whether it has room.  What was accepted stays.  */
static void
test_crowd (void **state)
{
  (void)state;
  uint32_t failures = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (crowds); i++)
    {
      void *context = NULL;
      int callers[CONNECTIONS_MAX];
      char told[ANSWER_BYTES];
      char answer[ANSWER_BYTES];
      set_up (&context);
      struct fixture *fixture = context;
      for (uint32_t n = 0; n < CONNECTIONS_MAX; n++)
        {
          callers[n] = open_caller (fixture, crowds[i].bytes);
        }
      run_for (fixture, STALL_US);
      bool has_room = nsv_has_room (fixture->server);
      int caller = open_caller (fixture, SOUND_REQUEST);
      run_for (fixture, 20 * CLK_MS_US);
      read_answer (caller, answer);
      read_answer (callers[0], told);
      bool served = g_str_has_prefix (answer, "HTTP/1.1 200 ");
      const struct nsv_counts *counts = nsv_counts (fixture->server);
      if (has_room != crowds[i].gives_way || served != crowds[i].gives_way
          || !g_str_has_prefix (told, crowds[i].told)
          || counts->reset != !crowds[i].gives_way)
        {
          failures++;
          print_message ("%s: room %d, served %d, evicted %lu, reset %lu, "
                         "told '%s'\n",
                         crowds[i].name, has_room, served,
                         (unsigned long)counts->evicted,
                         (unsigned long)counts->reset, told);
        }
      close (caller);
      for (uint32_t n = 0; n < CONNECTIONS_MAX; n++)
        {
          close (callers[n]);
        }
      tear_down (&context);
    }
  assert_int_equal (failures, 0);
}

/* Requests that have just begun to arrive don't give way.  */
static void
test_beginning_requests_stay (void **state)
{
  struct fixture *fixture = *state;
  int callers[CONNECTIONS_MAX];
  char answer[ANSWER_BYTES];
  for (uint32_t n = 0; n < CONNECTIONS_MAX; n++)
    {
      callers[n] = open_caller (fixture, crowds[0].bytes);
    }
  assert_false (nsv_has_room (fixture->server));
  int caller = open_caller (fixture, "");
  assert_int_equal (nsv_counts (fixture->server)->reset, 1);
  close (caller);
  for (uint32_t n = 0; n < CONNECTIONS_MAX; n++)
    {
      assert_int_equal (send (callers[n], "0\r\n\r\n", 5, MSG_NOSIGNAL), 5);
      run_for (fixture, 5 * CLK_MS_US);
      read_answer (callers[n], answer);
      assert_true (g_str_has_prefix (answer, "HTTP/1.1 200 "));
      close (callers[n]);
    }
}

/* Guards against a body that goes on arriving and gets 408, since it takes
   longer in all than the idle time-out; one that pauses for so long gets
   it.  */
static void
test_slow_bodies (void **state)
{
  static const int64_t idle_timeout_us = 400 * CLK_MS_US;
  static const struct
  {
    const char *name;
    uint32_t pauses;
    int64_t pause_us;
    const char *told;
  } rows[] = {
    { "at once", 0, 0, "HTTP/1.1 200 " },
    { "slow without a pause", 12, 100 * CLK_MS_US, "HTTP/1.1 200 " },
    { "a pause", 1, 700 * CLK_MS_US, "HTTP/1.1 408 " },
  };
  struct fixture *fixture = *state;
  struct nsv_limits limits = fixture->limits;
  char answer[ANSWER_BYTES];
  limits.idle_timeout_us = idle_timeout_us;
  nsv_set_limits (fixture->server, &limits);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      int caller = open_caller (fixture, crowds[0].bytes);
      for (uint32_t n = 0; n < rows[i].pauses; n++)
        {
          run_for (fixture, rows[i].pause_us);
          send (caller, "1\r\na\r\n", 6, MSG_NOSIGNAL);
        }
      send (caller, "0\r\n\r\n", 5, MSG_NOSIGNAL);
      run_for (fixture, 20 * CLK_MS_US);
      read_answer (caller, answer);
      if (!g_str_has_prefix (answer, rows[i].told))
        {
          fail_msg ("%s: '%s'", rows[i].name, answer);
        }
      close (caller);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_crowd),
    cmocka_unit_test_setup_teardown (test_beginning_requests_stay, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_slow_bodies, set_up, tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
