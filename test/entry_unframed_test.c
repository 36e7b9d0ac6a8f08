/* Tests of the entry daemon: answers without a length, whose ends look alike
   whether they are whole or not, streams that go on at another engine, and
   bytes that come without end. */
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "platform/headers.h"

#include <stdlib.h>
#include <string.h>

/* Requests that are sent at the same time. */
#define REQUESTS 24

/* Growth of the daemon's memory that bytes without end may cause, and time
   until the requests that get them are answered. */
#define GROWTH_KB_MAX 65536
#define ANSWERED_US (4 * CLK_S_US)

/* Guards against a daemon that runs out of memory or processor time on an
   endpoint that sends without end: the answer is given up, the request is sent
   to another endpoint, and the callers get whole answers or none.  */
static void
test_bytes_without_end (void **state)
{
  static const struct
  {
    const char *name;
    const char *path;
    bool engines;
    enum sfl_fault fault;
  } cases[] = {
    { "service, head", "/sum/a", false, SFL_ENDLESS_HEAD },
    { "service, body", "/sum/a", false, SFL_ENDLESS_BODY },
    { "service, head, not to be repeated", "/book/a", false,
      SFL_ENDLESS_HEAD },
    { "service, body, not to be repeated", "/book/a", false,
      SFL_ENDLESS_BODY },
    { "engine, head", "/draft/a", true, SFL_ENDLESS_HEAD },
    { "engine, event", "/draft/a", true, SFL_ENDLESS_BODY },
  };
  struct efx_fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct efx_call calls[REQUESTS];
      uint64_t before_kb = sep_memory_kb (fixture->daemon);
      uint64_t most_kb = before_kb;
      sfl_set_fault (fixture->fleet, cases[i].engines, cases[i].fault,
                     REQUESTS);
      for (uint32_t n = 0; n < REQUESTS; n++)
        {
          g_autofree char *id = g_strdup_printf ("end-%u", fixture->next_id++);
          g_autofree char *request = efx_build_request (
              "POST", EFX_FLEET_HOST, cases[i].path, "key-1", id, "");
          efx_start_call (fixture, &calls[n],
                          sep_caller_address (fixture->daemon), request,
                          strlen (request));
        }
      int64_t end_us = clk_monotonic_us () + ANSWERED_US;
      uint32_t open = REQUESTS;
      while (open > 0 && clk_monotonic_us () < end_us)
        {
          efx_run_for (fixture, 20 * CLK_MS_US);
          most_kb = MAX (most_kb, sep_memory_kb (fixture->daemon));
          open = 0;
          for (uint32_t n = 0; n < REQUESTS; n++)
            {
              open += !calls[n].done;
            }
        }
      sfl_set_fault (fixture->fleet, cases[i].engines, SFL_NO_FAULT, 0);
      uint32_t wrong = 0;
      uint32_t served = 0;
      for (uint32_t n = 0; n < REQUESTS; n++)
        {
          efx_await_call (fixture, &calls[n]);
          bool success = calls[n].status == 200 && calls[n].complete;
          served += success;
          wrong += success && strstr (calls[n].body->str, "xxxx") != NULL;
          efx_clear_call (&calls[n]);
        }
      print_message ("%s: %u of %u served, %u open, %lu KiB more\n",
                     cases[i].name, served, REQUESTS, open,
                     (unsigned long)(most_kb - before_kb));
      if (open > 0 || wrong > 0 || most_kb - before_kb > GROWTH_KB_MAX)
        {
          fail_msg ("%s: %u open, %u wrong answers, %lu KiB more",
                    cases[i].name, open, wrong,
                    (unsigned long)(most_kb - before_kb));
        }
      efx_run_for (fixture, CLK_S_US);
    }
}

/* Guards against a stream that looks complete though it was broken off: one
   without a length that ends within an event goes on at another engine, and
   the caller gets each event once.  */
static void
test_stream_ends_within_event (void **state)
{
  enum
  {
    STREAMS = 8
  };
  struct efx_fixture *fixture = *state;
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      struct efx_call call;
      g_autofree char *id = g_strdup_printf ("late-%u", fixture->next_id);
      sfl_set_fault (fixture->fleet, true, SFL_ENDS_MIDWAY, 1);
      efx_start_stream (fixture, &call, SFL_STREAM_EVENTS);
      efx_await_call (fixture, &call);
      GString *expected = efx_expected_stream (id);
      assert_true (call.complete);
      assert_string_equal (call.body->str, expected->str);
      assert_int_equal (sfl_run_count (fixture->fleet, id), 2);
      g_string_free (expected, TRUE);
      efx_clear_call (&call);
    }
  sfl_set_fault (fixture->fleet, true, SFL_NO_FAULT, 0);
}

/* Guards against a part of a stream that looks complete since its daemon was
   killed: the kernel closes the connections of a process in order, and an
   orderly end completes an answer without a length.  */
static void
test_daemon_is_killed (void **state)
{
  static const struct
  {
    const char *name;
    const char *version; /* of HTTP that the caller speaks */
    enum sfl_fault fault;
  } cases[] = {
    { "the engine's answer has chunks", "HTTP/1.1", SFL_NO_FAULT },
    { "the engine's answer has no length", "HTTP/1.1", SFL_WITHOUT_LENGTH },
    { "the caller knows no chunks", "HTTP/1.0", SFL_NO_FAULT },
  };
  struct efx_fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct efx_call call;
      sfl_set_fault (fixture->fleet, true, cases[i].fault, 1);
      efx_start_stream_as (fixture, &call, SFL_STREAM_EVENTS,
                           cases[i].version);
      efx_await_begun (fixture, &call);
      efx_kill_daemon (fixture);
      efx_await_call (fixture, &call);
      if (call.status != 200 || call.complete)
        {
          fail_msg ("%s: status %u, complete %d, %zu bytes", cases[i].name,
                    call.status, call.complete, call.body->len);
        }
      efx_clear_call (&call);
      sep_start (fixture->daemon);
      efx_await_ready (fixture);
    }
}

/* Waits until a stream is served, after those that failed: engines rest for a
   time then.  */
static void
await_served (struct efx_fixture *fixture)
{
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  bool served = false;
  while (!served && clk_monotonic_us () < end_us)
    {
      struct efx_call call;
      efx_start_stream (fixture, &call, SFL_STREAM_EVENTS);
      efx_await_call (fixture, &call);
      served = call.status == 200 && call.complete;
      efx_clear_call (&call);
      efx_run_for (fixture, 100 * CLK_MS_US);
    }
  assert_true (served);
}

/* Guards against an error in the middle of a stream, and against one that
   looks complete: an engine breaks a stream off, and the answer of the next is
   no continuation.  */
static void
test_next_engine_fails (void **state)
{
  static const struct
  {
    const char *name;
    enum sfl_fault fault; /* of the next engine */
  } cases[] = {
    { "a refusal", SFL_REFUSES },
    { "the text of an error", SFL_ERROR_TEXT },
    { "no events", SFL_NO_EVENTS },
    { "no end", SFL_ENDLESS_BODY },
    { "another break", SFL_CLOSES_MIDWAY },
    { "an answer to another request", SFL_WRONG_REQUEST_ID },
  };
  struct efx_fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct efx_call call;
      g_autofree char *id = g_strdup_printf ("late-%u", fixture->next_id);
      GString *expected = efx_expected_stream (id);
      sfl_set_fault (fixture->fleet, true, SFL_CLOSES_MIDWAY, 1);
      efx_start_stream (fixture, &call, SFL_STREAM_EVENTS);
      efx_await_begun (fixture, &call);
      sfl_set_fault (fixture->fleet, true, cases[i].fault, 1);
      efx_await_call (fixture, &call);
      bool whole = g_string_equal (call.body, expected);
      bool is_part = g_str_has_prefix (expected->str, call.body->str);
      print_message ("%s: %zu of %zu bytes, complete %d\n", cases[i].name,
                     call.body->len, expected->len, call.complete);
      if (!is_part || call.complete != whole)
        {
          fail_msg ("%s: complete %d: %s", cases[i].name, call.complete,
                    call.body->str);
        }
      g_string_free (expected, TRUE);
      efx_clear_call (&call);
      sfl_set_fault (fixture->fleet, true, SFL_NO_FAULT, 0);
      await_served (fixture);
    }
}

/* Guards against the head and text of an error that an engine sends as a
   stream, with the status 200: the caller got them as its whole answer.  */
static void
test_first_engine_fails (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call call;
  g_autofree char *id = g_strdup_printf ("late-%u", fixture->next_id);
  g_autoptr (GString) expected = efx_expected_stream (id);
  sfl_set_fault (fixture->fleet, true, SFL_ERROR_TEXT, 1);
  efx_start_stream (fixture, &call, SFL_STREAM_EVENTS);
  efx_await_call (fixture, &call);
  print_message ("status %u, %zu of %zu bytes, complete %d\n", call.status,
                 call.body->len, expected->len, call.complete);
  assert_int_equal (call.status, 200);
  assert_true (call.complete);
  assert_string_equal (call.body->str, expected->str);
  efx_clear_call (&call);
  await_served (fixture);
}

/* Guards against the end of an answer that hasn't begun: a caller that has all
   events resumes its stream, and the engines only repeat them.  */
static void
test_caller_has_all_events (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call call;
  g_autofree char *request = g_strdup_printf (
      "POST /draft/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST
      "\r\nX-Api-Key: key-1\r\nX-Own: 1\r\n" PFH_REQUEST_ID
      ": all-%u\r\n" PFH_TIME_LEFT_MS ": 5000\r\n" PFH_TOKENS
      ": 40,24\r\n" PFH_LAST_EVENT_ID ": %d\r\nContent-Length: 0\r\n\r\n",
      fixture->next_id++, SFL_STREAM_EVENTS);
  sfl_set_fault (fixture->fleet, true, SFL_REPEATS, 9);
  efx_start_call (fixture, &call, sep_caller_address (fixture->daemon),
                  request, strlen (request));
  efx_await_call (fixture, &call);
  sfl_set_fault (fixture->fleet, true, SFL_NO_FAULT, 0);
  print_message ("status %u, complete %d\n", call.status, call.complete);
  assert_int_equal (call.status, 502);
  assert_true (call.complete);
  efx_clear_call (&call);
}

/* Guards against chunks for a caller that speaks HTTP/1.0 and knows none: the
   end of its connection ends the stream.  */
static void
test_caller_without_chunks (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call call;
  g_autofree char *id = g_strdup_printf ("late-%u", fixture->next_id);
  GString *expected = efx_expected_stream (id);
  efx_start_stream_as (fixture, &call, SFL_STREAM_EVENTS, "HTTP/1.0");
  efx_await_call (fixture, &call);
  assert_true (call.complete);
  assert_true (call.ends_with_connection);
  assert_string_equal (call.body->str, expected->str);
  g_string_free (expected, TRUE);
  efx_clear_call (&call);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_caller_has_all_events),
    cmocka_unit_test (test_caller_without_chunks),
    cmocka_unit_test (test_next_engine_fails),
    cmocka_unit_test (test_first_engine_fails),
    cmocka_unit_test (test_daemon_is_killed),
    cmocka_unit_test (test_stream_ends_within_event),
    cmocka_unit_test (test_bytes_without_end),
  };
  /* The address sanitizer keeps freed memory, which the daemon doesn't use any
     more. */
  setenv ("ASAN_OPTIONS", "quarantine_size_mb=8", 0);
  return cmocka_run_group_tests (tests, efx_set_up, efx_tear_down);
}
