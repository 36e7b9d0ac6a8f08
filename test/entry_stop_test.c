/* Tests of stops and restarts of the entry daemon.  */
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "net/address.h"
#include "platform/headers.h"

#include <signal.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* A graceful stop aborts no request: requests in progress are finished, those
   that arrive before the load balancer has noticed the stop are served, and
   then the process exits.  */
static void
test_graceful_stop (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call stream;
  GString *expected = efx_expected_stream ("stops");
  char *request = efx_build_request ("POST", EFX_FLEET_HOST, "/draft/a",
                                     "key-1", "stops", "");
  efx_start_call (fixture, &stream, sep_caller_address (fixture->daemon),
                  request, strlen (request));
  efx_run_for (fixture, 50 * CLK_MS_US);
  sep_signal (fixture->daemon, SIGTERM);
  efx_run_for (fixture, 50 * CLK_MS_US);
  assert_int_equal (efx_probe (fixture), 503);
  assert_int_equal (efx_send_booking (fixture, "key-1"), 200);
  efx_await_call (fixture, &stream);
  assert_true (stream.complete);
  assert_string_equal (stream.body->str, expected->str);
  efx_await_exit (fixture);
  efx_clear_call (&stream);
  g_string_free (expected, TRUE);
  g_free (request);
}

/* Guards against cutting off streams that are accepted late in a stop.  A
   daemon that is stopped soon after its start has only seen short streams end,
   so it expected a stream that may be long to be short too, accepted it and
   cut it off at the end of the stop.  */
static void
test_stop_soon_after_start (void **state)
{
  static const struct
  {
    const char *name;
    uint32_t output_tokens;
    uint32_t events;
    bool accepted;
  } late[] = {
    { "may be long, and is", 400, 300, false },
    { "may be long, but isn't", 400, 12, false },
    { "can't be long", 24, 24, true },
  };
  struct efx_fixture *fixture = *state;
  struct efx_call calls[G_N_ELEMENTS (late)];
  sep_start (fixture->daemon);
  efx_await_ready (fixture);
  for (uint32_t i = 0; i < 4; i++)
    {
      efx_start_stream (fixture, &calls[0], 400);
      efx_await_call (fixture, &calls[0]);
      assert_true (calls[0].complete);
      efx_clear_call (&calls[0]);
    }
  sep_signal (fixture->daemon, SIGTERM);
  efx_run_for (fixture, 3100 * CLK_MS_US);
  for (size_t i = 0; i < G_N_ELEMENTS (late); i++)
    {
      sfl_set_stream_events (fixture->fleet, late[i].events);
      efx_start_stream (fixture, &calls[i], late[i].output_tokens);
      efx_await_call (fixture, &calls[i]);
    }
  efx_await_exit (fixture);
  sfl_set_stream_events (fixture->fleet, SFL_STREAM_EVENTS);
  for (size_t i = 0; i < G_N_ELEMENTS (late); i++)
    {
      bool correct = calls[i].complete
                     && calls[i].status == (late[i].accepted ? 200 : 503)
                     && calls[i].has_retry_after != late[i].accepted;
      if (!correct)
        {
          print_message ("a stream that %s: status %u, complete %d\n",
                         late[i].name, calls[i].status, calls[i].complete);
        }
      assert_true (correct);
      efx_clear_call (&calls[i]);
    }
}

/* Sends a call of the route at PATH that states its time left, but no tokens,
   and waits for the answer for PATIENCE_US at most.  */
static void
send_call (struct efx_fixture *fixture, struct efx_call *call,
           const char *path, int64_t patience_us)
{
  g_autofree char *request
      = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: " EFX_FLEET_HOST
                         "\r\nX-Api-Key: key-1\r\nX-Own: 1\r\n" PFH_REQUEST_ID
                         ": call-%u\r\n" PFH_TIME_LEFT_MS ": 9000\r\n\r\n",
                         path, fixture->next_id++);
  efx_start_call (fixture, call, sep_caller_address (fixture->daemon), request,
                  strlen (request));
  int64_t end_us = clk_monotonic_us () + patience_us;
  while (!call->done && clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_ONCE);
    }
  if (!call->done)
    {
      ncl_cancel (call->exchange);
    }
}

/* Stops the daemon while a stream is in progress, which keeps it from exiting
   as idle before late calls.  */
static void
stop_with_stream (struct efx_fixture *fixture, struct efx_call *stream)
{
  sfl_set_stream_events (fixture->fleet, 300);
  efx_start_stream (fixture, stream, 400);
  efx_run_for (fixture, 100 * CLK_MS_US);
  sep_signal (fixture->daemon, SIGTERM);
}

/* Waits until STREAM is complete and the daemon has exited.  */
static void
await_stop (struct efx_fixture *fixture, struct efx_call *stream)
{
  efx_await_call (fixture, stream);
  assert_true (stream->complete);
  assert_int_equal (stream->status, 200);
  efx_clear_call (stream);
  sfl_set_stream_events (fixture->fleet, SFL_STREAM_EVENTS);
  efx_await_exit (fixture);
}

/* Guards against cutting off calls of a route of which a stopping daemon has
   seen none: it took them for as short as the calls of other routes.  */
static void
test_stop_unseen_route (void **state)
{
  static const struct
  {
    const char *path;
    uint32_t call_ms;
    bool accepted;
  } late[] = {
    { "/sum/a", 4000, false },
    { "/look/a", SFL_CALL_MS, true },
  };
  struct efx_fixture *fixture = *state;
  struct efx_call calls[G_N_ELEMENTS (late)];
  sep_start (fixture->daemon);
  efx_await_ready (fixture);
  for (uint32_t i = 0; i < 8; i++)
    {
      send_call (fixture, &calls[0], "/look/a", EFX_TIMEOUT_US);
      assert_int_equal (calls[0].status, 200);
      efx_clear_call (&calls[0]);
    }
  struct efx_call stream;
  stop_with_stream (fixture, &stream);
  efx_run_for (fixture, 3600 * CLK_MS_US);
  for (size_t i = 0; i < G_N_ELEMENTS (late); i++)
    {
      sfl_set_call_ms (fixture->fleet, late[i].call_ms);
      send_call (fixture, &calls[i], late[i].path, EFX_TIMEOUT_US);
    }
  sfl_set_call_ms (fixture->fleet, SFL_CALL_MS);
  await_stop (fixture, &stream);
  for (size_t i = 0; i < G_N_ELEMENTS (late); i++)
    {
      bool correct = calls[i].complete
                     && calls[i].status == (late[i].accepted ? 200 : 503);
      if (!correct)
        {
          print_message ("%s after %u ms: status %u, complete %d\n",
                         late[i].path, late[i].call_ms, calls[i].status,
                         calls[i].complete);
        }
      assert_true (correct);
      efx_clear_call (&calls[i]);
    }
}

/* Returns a connection to the daemon that has sent nothing.  */
static int
connect_caller (const struct efx_fixture *fixture)
{
  struct sockaddr_in address;
  int caller = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_true (nad_parse (sep_caller_address (fixture->daemon), &address));
  assert_int_equal (
      connect (caller, (struct sockaddr *)&address, sizeof address), 0);
  return caller;
}

/* Guards against closing the connections of callers that come late in a stop
   without an answer: a connection whose first request was still on its way was
   taken for idle.  */
static void
test_stop_answers_new_connection (void **state)
{
  static const char request[]
      = "GET /none HTTP/1.1\r\nHost: x\r\n" PFH_REQUEST_ID ": late\r\n\r\n";
  struct efx_fixture *fixture = *state;
  sep_start (fixture->daemon);
  efx_await_ready (fixture);
  struct efx_call stream;
  stop_with_stream (fixture, &stream);
  efx_run_for (fixture, 2800 * CLK_MS_US);
  char answer[16] = "";
  int caller = connect_caller (fixture);
  efx_run_for (fixture, 500 * CLK_MS_US);
  assert_int_equal (send (caller, request, sizeof request - 1, MSG_NOSIGNAL),
                    sizeof request - 1);
  efx_run_for (fixture, 200 * CLK_MS_US);
  recv (caller, answer, sizeof answer - 1, MSG_DONTWAIT);
  close (caller);
  await_stop (fixture, &stream);
  assert_true (g_str_has_prefix (answer, "HTTP/1.1 404"));
}

/* Guards against connections that are closed without an answer at the end of a
   stop: a request that isn't finished by then gets its final answer, which
   doesn't promise that it hasn't run.  */
static void
test_stop_answers_unfinished (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call call;
  sep_start (fixture->daemon);
  efx_await_ready (fixture);
  sfl_set_call_ms (fixture->fleet, 9000);
  g_autofree char *request = g_strdup_printf (
      "POST /sum/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST
      "\r\nX-Api-Key: key-1\r\nX-Own: 1\r\n" PFH_REQUEST_ID
      ": call-%u\r\n" PFH_TIME_LEFT_MS ": 9500\r\nContent-Length: 0\r\n\r\n",
      fixture->next_id++);
  efx_start_call (fixture, &call, sep_caller_address (fixture->daemon),
                  request, strlen (request));
  efx_run_for (fixture, 200 * CLK_MS_US);
  sep_signal (fixture->daemon, SIGTERM);
  efx_await_exit (fixture);
  efx_await_call (fixture, &call);
  sfl_set_call_ms (fixture->fleet, SFL_CALL_MS);
  print_message ("status %u, complete %d\n", call.status, call.complete);
  assert_int_equal (call.status, 502);
  assert_true (call.complete);
  efx_clear_call (&call);
}

/* Guards against connections that are closed without an answer at the end of a
   stop while a request still arrives.  */
static void
test_stop_refuses_incomplete (void **state)
{
  static const char request[]
      = "POST /book/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST
        "\r\nX-Api-Key: key-1\r\nContent-Length: 9\r\n\r\nbody";
  struct efx_fixture *fixture = *state;
  char answer[16] = "";
  sep_start (fixture->daemon);
  efx_await_ready (fixture);
  int caller = connect_caller (fixture);
  send (caller, request, sizeof request - 1, MSG_NOSIGNAL);
  efx_run_for (fixture, 200 * CLK_MS_US);
  sep_signal (fixture->daemon, SIGTERM);
  efx_await_exit (fixture);
  recv (caller, answer, sizeof answer - 1, MSG_DONTWAIT);
  close (caller);
  print_message ("'%s'\n", answer);
  assert_true (g_str_has_prefix (answer, "HTTP/1.1 503"));
}

/* Returns the log of the daemon of FIXTURE, allocated.  */
static char *
read_log (const struct efx_fixture *fixture)
{
  g_autofree char *path
      = g_build_filename (fixture->folder, "entry-1.log", NULL);
  char *text = NULL;
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  return text;
}

/* Guards against a request that is accepted and then cut off without an
   answer, since it was read in the last turn of the event loop.  A process
   that is stopped, or has no share of a processor, for a moment before its
   last check reads what has come meanwhile.  */
static void
test_stop_answers_last_requests (void **state)
{
  enum
  {
    STOPS = 3,
    CALLS = 4
  };
  struct efx_fixture *fixture = *state;
  uint32_t unanswered = 0;
  for (uint32_t i = 0; i < STOPS; i++)
    {
      int callers[CALLS];
      sep_start (fixture->daemon);
      efx_await_ready (fixture);
      sep_signal (fixture->daemon, SIGTERM);
      efx_run_for (fixture, 3000 * CLK_MS_US);
      for (uint32_t n = 0; n < CALLS; n++)
        {
          callers[n] = connect_caller (fixture);
        }
      /* The daemon looks from 3.5 s on, each 50 ms, whether it is idle, and
         ends at the check after that. */
      efx_run_for (fixture, 300 * CLK_MS_US);
      sep_signal (fixture->daemon, SIGSTOP);
      efx_run_for (fixture, 300 * CLK_MS_US);
      sep_signal (fixture->daemon, SIGCONT);
      efx_run_for (fixture, 15 * CLK_MS_US);
      sep_signal (fixture->daemon, SIGSTOP);
      for (uint32_t n = 0; n < CALLS; n++)
        {
          g_autofree char *id = g_strdup_printf ("last-%u-%u", i, n);
          g_autofree char *request = efx_build_request (
              "POST", EFX_FLEET_HOST, "/book/a", "key-1", id, "");
          send (callers[n], request, strlen (request), MSG_NOSIGNAL);
        }
      efx_run_for (fixture, 200 * CLK_MS_US);
      sep_signal (fixture->daemon, SIGCONT);
      efx_await_exit (fixture);
      g_autofree char *log = read_log (fixture);
      for (uint32_t n = 0; n < CALLS; n++)
        {
          char answer[16] = "";
          g_autofree char *id = g_strdup_printf ("request=last-%u-%u ", i, n);
          recv (callers[n], answer, sizeof answer - 1, MSG_DONTWAIT);
          close (callers[n]);
          bool was_read = strstr (log, id) != NULL;
          print_message ("read %d, '%s'\n", was_read, answer);
          unanswered += was_read && answer[0] == '\0';
        }
    }
  assert_int_equal (unanswered, 0);
}

/* Guards against sending calls on and on to an endpoint that hangs: a call
   that timed out or whose caller left said nothing about its endpoint, which
   looked idle.  */
static void
test_silent_endpoint (void **state)
{
  static const struct
  {
    const char *path;
    int64_t patience_us;
  } callers[EFX_SERVICES] = {
    { "/look/a", EFX_TIMEOUT_US }, /* times out after 0.6 s */
    { "/sum/a", 400 * CLK_MS_US },
  };
  enum
  {
    CALLS = 30,
    UNANSWERED_MAX = 5
  };
  struct efx_fixture *fixture = *state;
  uint32_t unanswered[EFX_SERVICES] = { 0 };
  sfl_list_ready (fixture->fleet, EFX_ENGINES); /* drained by another test */
  for (uint32_t i = 0; i < EFX_SERVICES; i++)
    {
      sep_start (fixture->daemon);
      efx_await_ready (fixture);
      sfl_set_silent (fixture->fleet, EFX_ENGINES + i, true);
      for (uint32_t n = 0; n < CALLS; n++)
        {
          struct efx_call call;
          send_call (fixture, &call, callers[i].path, callers[i].patience_us);
          unanswered[i] += call.status != 200;
          efx_clear_call (&call);
        }
      sfl_set_silent (fixture->fleet, EFX_ENGINES + i, false);
      print_message ("%s: %u of %d calls unanswered\n", callers[i].path,
                     unanswered[i], CALLS);
      sep_signal (fixture->daemon, SIGTERM);
      efx_await_exit (fixture);
    }
  for (uint32_t i = 0; i < EFX_SERVICES; i++)
    {
      assert_in_range (unanswered[i], 0, UNANSWERED_MAX);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_graceful_stop),
    cmocka_unit_test (test_stop_soon_after_start),
    cmocka_unit_test (test_stop_unseen_route),
    cmocka_unit_test (test_stop_answers_new_connection),
    cmocka_unit_test (test_stop_answers_unfinished),
    cmocka_unit_test (test_stop_refuses_incomplete),
    cmocka_unit_test (test_stop_answers_last_requests),
    cmocka_unit_test (test_silent_endpoint),
  };
  return cmocka_run_group_tests (tests, efx_set_up, efx_tear_down);
}
