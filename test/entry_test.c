/* Tests of the entry daemon: requests, configurations, dying and leaving
   endpoints.  */
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "platform/headers.h"

#include <signal.h>
#include <string.h>

enum expected_body
{
  BODY_ANY,
  BODY_STREAM,
  BODY_DONE
};

struct row
{
  const char *name;
  const char *host; /* NULL: that of the fleet */
  const char *path;
  const char *key; /* NULL: that of the account */
  enum sfl_fault fault;
  uint32_t fault_requests;
  uint32_t status;
  enum expected_body body;
  uint32_t runs;
  bool engines; /* engines have the fault; else services */
  bool retry_after;
};

static const struct row rows[] = {
  { .name = "a stream",
    .path = "/draft/a",
    .status = 200,
    .body = BODY_STREAM,
    .runs = 1 },
  { .name = "a booking",
    .path = "/book/a",
    .status = 200,
    .body = BODY_DONE,
    .runs = 1 },
  { .name = "a lookup",
    .path = "/look/a",
    .status = 200,
    .body = BODY_DONE,
    .runs = 1 },
  { .name = "an unknown key",
    .path = "/book/a",
    .key = "key-9",
    .status = 401 },
  { .name = "an unknown path", .path = "/other/a", .status = 404 },
  { .name = "an unknown host",
    .host = "other.example",
    .path = "/book/a",
    .status = 404 },
  { .name = "a booking that was refused before it ran is retried",
    .path = "/book/a",
    .fault = SFL_REFUSES,
    .fault_requests = 1,
    .status = 200,
    .body = BODY_DONE,
    .runs = 1 },
  { .name = "a booking that every endpoint refuses",
    .path = "/book/a",
    .fault = SFL_REFUSES,
    .fault_requests = 9,
    .status = 503,
    .retry_after = true },
  { .name = "a booking whose connection is cut runs once",
    .path = "/book/a",
    .fault = SFL_CLOSES,
    .fault_requests = 1,
    .status = 502,
    .runs = 1 },
  { .name = "a booking whose answer is cut off runs once",
    .path = "/book/a",
    .fault = SFL_TRUNCATES,
    .fault_requests = 1,
    .status = 502,
    .runs = 1 },
  { .name = "a booking that gets the answer to another request",
    .path = "/book/a",
    .fault = SFL_WRONG_REQUEST_ID,
    .fault_requests = 1,
    .status = 502,
    .runs = 1 },
  { .name = "a booking whose answer has no signature",
    .path = "/book/a",
    .fault = SFL_UNSIGNED,
    .fault_requests = 1,
    .status = 502,
    .runs = 1 },
  { .name = "a booking whose answer has a signature of the connection",
    .path = "/book/a",
    .fault = SFL_HIDES_SIGNATURE,
    .fault_requests = 1,
    .status = 502,
    .runs = 1 },
  { .name = "a booking that is answered with the status 000",
    .path = "/book/a",
    .fault = SFL_STATUS_000,
    .fault_requests = 1,
    .status = 502,
    .runs = 1 },
  { .name = "a lookup that is answered with the status 000 runs again",
    .path = "/look/a",
    .fault = SFL_STATUS_000,
    .fault_requests = 1,
    .status = 200,
    .body = BODY_DONE,
    .runs = 2 },
  { .name = "a stream that begins with the status 000",
    .path = "/draft/a",
    .engines = true,
    .fault = SFL_STATUS_000,
    .fault_requests = 1,
    .status = 200,
    .body = BODY_STREAM,
    .runs = 2 },
  { .name = "a booking without an answer ends at its deadline",
    .path = "/book/a",
    .fault = SFL_NEVER_ANSWERS,
    .fault_requests = 1,
    .status = 504,
    .runs = 1 },
  { .name = "a booking that fails",
    .path = "/book/a",
    .fault = SFL_FAILS,
    .fault_requests = 1,
    .status = 500,
    .runs = 1 },
  { .name = "a lookup whose connection is cut runs again",
    .path = "/look/a",
    .fault = SFL_CLOSES,
    .fault_requests = 1,
    .status = 200,
    .body = BODY_DONE,
    .runs = 2 },
  { .name = "a lookup that fails runs again",
    .path = "/look/a",
    .fault = SFL_FAILS,
    .fault_requests = 1,
    .status = 200,
    .body = BODY_DONE,
    .runs = 2 },
  { .name = "a lookup that always fails delivers the failure",
    .path = "/look/a",
    .fault = SFL_FAILS,
    .fault_requests = 9,
    .status = 500,
    .runs = 2 },
  { .name = "a stream that is cut within an event is resumed",
    .path = "/draft/a",
    .engines = true,
    .fault = SFL_CLOSES_MIDWAY,
    .fault_requests = 1,
    .status = 200,
    .body = BODY_STREAM,
    .runs = 2 },
  { .name = "a stream that was refused before it ran",
    .path = "/draft/a",
    .engines = true,
    .fault = SFL_REFUSES,
    .fault_requests = 1,
    .status = 200,
    .body = BODY_STREAM,
    .runs = 1 },
};

/* Checks the answer to the request ID against ROW.  */
static void
check_answer (struct efx_fixture *fixture, const struct row *row,
              const char *id, const struct efx_call *call)
{
  GString *expected = row->body == BODY_STREAM ? efx_expected_stream (id)
                                               : g_string_new (NULL);
  if (row->body == BODY_DONE)
    {
      g_string_append_printf (expected, "done %s", id);
    }
  bool body_matches
      = row->body == BODY_ANY || strcmp (expected->str, call->body->str) == 0;
  if (call->status != row->status || !call->complete || !body_matches
      || sfl_run_count (fixture->fleet, id) != row->runs
      || call->has_retry_after != row->retry_after
      || call->ends_with_connection)
    {
      fail_msg ("%s: status %u, complete %d, %u runs, retry-after %d, '%s'",
                row->name, call->status, call->complete,
                sfl_run_count (fixture->fleet, id), call->has_retry_after,
                call->body->str);
    }
  g_string_free (expected, TRUE);
}

/* Clears all faults and sends requests until endpoints that are in backoff
   have proved that they work.  */
static void
restore_endpoints (struct efx_fixture *fixture)
{
  sfl_set_fault (fixture->fleet, false, SFL_NO_FAULT, 0);
  sfl_set_fault (fixture->fleet, true, SFL_NO_FAULT, 0);
  efx_run_for (fixture, 500 * CLK_MS_US);
  for (uint32_t i = 0; i < 24; i++)
    {
      struct efx_call call;
      char id[32];
      g_snprintf (id, sizeof id, "heal-%u", fixture->next_id++);
      char *request = efx_build_request ("POST", EFX_FLEET_HOST,
                                         i < 4 ? "/draft/h" : "/book/h",
                                         "key-1", id, "");
      efx_start_call (fixture, &call, sep_caller_address (fixture->daemon),
                      request, strlen (request));
      efx_await_call (fixture, &call);
      efx_clear_call (&call);
      g_free (request);
    }
}

static void
test_requests (void **state)
{
  struct efx_fixture *fixture = *state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const struct row *row = &rows[i];
      struct efx_call call;
      char id[32];
      g_snprintf (id, sizeof id, "row-%zu", i);
      char *request = efx_build_request (
          "POST", row->host == NULL ? EFX_FLEET_HOST : row->host, row->path,
          row->key == NULL ? "key-1" : row->key, id, "some body");
      sfl_set_fault (fixture->fleet, row->engines, row->fault,
                     row->fault_requests);
      efx_start_call (fixture, &call, sep_caller_address (fixture->daemon),
                      request, strlen (request));
      efx_await_call (fixture, &call);
      check_answer (fixture, row, id, &call);
      efx_clear_call (&call);
      g_free (request);
      if (row->fault != SFL_NO_FAULT)
        {
          restore_endpoints (fixture);
        }
    }
  assert_null (sfl_violation (fixture->fleet));
}

/* Guards against a torn answer that looks complete: an answer that only the
   end of its connection ends was passed on with a length, whether it was
   complete or not.  */
static void
test_without_length (void **state)
{
  struct efx_fixture *fixture = *state;
  static const char *const paths[] = { "/book/a", "/draft/a" };
  for (size_t i = 0; i < 2; i++)
    {
      struct efx_call call;
      char id[32];
      g_snprintf (id, sizeof id, "unframed-%zu", i);
      char *request = efx_build_request ("POST", EFX_FLEET_HOST, paths[i],
                                         "key-1", id, "");
      sfl_set_fault (fixture->fleet, i == 1, SFL_WITHOUT_LENGTH, 1);
      efx_start_call (fixture, &call, sep_caller_address (fixture->daemon),
                      request, strlen (request));
      efx_await_call (fixture, &call);
      assert_int_equal (call.status, 200);
      assert_true (call.ends_with_connection);
      efx_clear_call (&call);
      g_free (request);
    }
}

/* Raw requests that are invalid or over a limit get their 4xx status.  */
static void
test_rejected_requests (void **state)
{
  struct efx_fixture *fixture = *state;
  GString *long_header = g_string_new (
      "GET /book/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST "\r\nX-Long: ");
  for (uint32_t i = 0; i < 5000; i++)
    {
      g_string_append_c (long_header, 'x');
    }
  g_string_append (long_header, "\r\n\r\n");
  const struct
  {
    const char *request;
    uint32_t status;
  } cases[] = {
    { "nonsense\r\n\r\n", 400 },
    { long_header->str, 431 },
    { "POST /book/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST
      "\r\nContent-Length: 70000\r\n\r\n",
      413 },
    { "POST /book/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST
      "\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
      400 },
    { "GET /book/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST
      "\r\nX-Api-Key: key-1\r\n\r\n",
      400 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct efx_call call;
      efx_start_call (fixture, &call, sep_caller_address (fixture->daemon),
                      cases[i].request, strlen (cases[i].request));
      efx_await_call (fixture, &call);
      if (call.status != cases[i].status)
        {
          fail_msg ("case %zu: %u", i, call.status);
        }
      efx_clear_call (&call);
    }
  g_string_free (long_header, TRUE);
}

/* An endpoint stops working on a request soon after its caller has
   disconnected.  */
static void
test_caller_disconnects (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call call;
  uint32_t before = sfl_cancelled_count (fixture->fleet);
  char *request = efx_build_request ("POST", EFX_FLEET_HOST, "/draft/a",
                                     "key-1", "leaver", "");
  efx_start_call (fixture, &call, sep_caller_address (fixture->daemon),
                  request, strlen (request));
  while (call.body->len == 0)
    {
      uv_run (&fixture->loop, UV_RUN_ONCE);
    }
  ncl_cancel (call.exchange);
  efx_run_for (fixture, 100 * CLK_MS_US);
  assert_int_equal (sfl_cancelled_count (fixture->fleet), before + 1);
  efx_clear_call (&call);
  g_free (request);
}

/* A newer configuration takes effect at once and an older one never does.
   Keys are accepted only while the configuration is known to be fresh, and
   again after the next contact with the store.  */
static void
test_configuration_changes (void **state)
{
  struct efx_fixture *fixture = *state;
  static const struct
  {
    uint64_t version; /* 0: none */
    const char *extra_key;
    enum sfl_store_state store;
    int64_t wait_ms;
    uint32_t status;       /* expected with the account's key */
    uint32_t extra_status; /* expected with key-2 */
  } steps[] = {
    { 0, NULL, SFL_STORE_NO_FAULT, 0, 200, 401 },
    { 5, "key-2", SFL_STORE_NO_FAULT, 200, 200, 200 },
    { 3, NULL, SFL_STORE_NO_FAULT, 200, 200,
      200 }, /* an older one has no effect */
    { 8, NULL, SFL_STORE_NO_FAULT, 200, 200, 401 },
    { 0, NULL, SFL_STORE_REFUSES, 100, 200, 401 },
    { 0, NULL, SFL_STORE_REFUSES, EFX_REVOKE_MS, 503, 503 },
    { 0, NULL, SFL_STORE_NO_FAULT, 1500, 200, 401 },
    /* Calls that the store never answered don't delay a later change. */
    { 0, NULL, SFL_STORE_NEVER_ANSWERS, 4500, 503, 503 },
    { 11, "key-2", SFL_STORE_NO_FAULT, EFX_CONFIG_MS, 200, 200 },
  };
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      sfl_set_store (fixture->fleet, steps[i].store);
      if (steps[i].version > 0)
        {
          sfl_publish (fixture->fleet, steps[i].version, steps[i].extra_key);
        }
      efx_run_for (fixture, steps[i].wait_ms * CLK_MS_US);
      uint32_t status = efx_send_booking (fixture, "key-1");
      uint32_t extra_status = efx_send_booking (fixture, "key-2");
      if (status != steps[i].status || extra_status != steps[i].extra_status)
        {
          fail_msg ("step %zu: %u, %u", i, status, extra_status);
        }
    }
}

/* A leaving endpoint gets no new requests once the endpoint list says that it
   leaves.  */
static void
test_leaving_endpoint (void **state)
{
  struct efx_fixture *fixture = *state;
  uint32_t leaving = EFX_ENGINES;
  sfl_list_draining (fixture->fleet, leaving);
  efx_run_for (fixture, (EFX_DRAIN_MS + 100) * CLK_MS_US);
  uint32_t before = sfl_arrival_count (fixture->fleet, leaving);
  for (uint32_t i = 0; i < 10; i++)
    {
      assert_int_equal (efx_send_booking (fixture, "key-1"), 200);
    }
  assert_int_equal (sfl_arrival_count (fixture->fleet, leaving), before);
}

/* When an engine dies, streams through it are resumed on other engines, each
   event once and in order, while the endpoint list still names the dead
   engine.  */
static void
test_engine_dies (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call calls[8];
  char *requests[8];
  char id[32];
  sfl_set_fault (fixture->fleet, true, SFL_STALLS, 1);
  for (uint32_t i = 0; i < 8; i++)
    {
      g_snprintf (id, sizeof id, "dies-%u", i);
      requests[i] = efx_build_request ("POST", EFX_FLEET_HOST, "/draft/a",
                                       "key-1", id, "");
      efx_start_call (fixture, &calls[i], sep_caller_address (fixture->daemon),
                      requests[i], strlen (requests[i]));
    }
  efx_run_for (fixture, 60 * CLK_MS_US);
  sfl_kill (fixture->fleet, 0);
  for (uint32_t i = 0; i < 8; i++)
    {
      efx_await_call (fixture, &calls[i]);
      g_snprintf (id, sizeof id, "dies-%u", i);
      GString *expected = efx_expected_stream (id);
      if (!calls[i].complete || strcmp (calls[i].body->str, expected->str) != 0
          || sfl_run_count (fixture->fleet, id) > 2)
        {
          fail_msg ("%s: status %u, complete %d, %u runs, '%s'", id,
                    calls[i].status, calls[i].complete,
                    sfl_run_count (fixture->fleet, id), calls[i].body->str);
        }
      g_string_free (expected, TRUE);
      efx_clear_call (&calls[i]);
      g_free (requests[i]);
    }
  assert_null (sfl_violation (fixture->fleet));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_requests),
    cmocka_unit_test (test_without_length),
    cmocka_unit_test (test_rejected_requests),
    cmocka_unit_test (test_caller_disconnects),
    cmocka_unit_test (test_configuration_changes),
    cmocka_unit_test (test_leaving_endpoint),
    cmocka_unit_test (test_engine_dies),
  };
  return cmocka_run_group_tests (tests, efx_set_up, efx_tear_down);
}
