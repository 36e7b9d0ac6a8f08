/* Tests of the entry daemon, which runs as a process of its own against a
   stand-in fleet.  */
#include "base/clock.h"
#include "net/client.h"
#include "platform/headers.h"
#include "standin/entry_process.h"
#include "standin/fleet.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define ENGINES 4
#define SERVICES 2
#define EVENT_MS 15

/* Settings of the daemon under test. */
#define DRAIN_MS 800
#define CONFIG_MS 1000
#define REVOKE_MS 2000
#define STOP_S 6

/* Time-out of waiting in a test. */
#define TIMEOUT_US (20 * CLK_S_US)

struct fixture
{
  uv_loop_t loop;
  uv_timer_t tick;
  struct sfl_fleet *fleet;
  struct ncl_client *client;
  char *folder;
  struct sep_process *daemon;
  uint32_t next_id;
  uint64_t highest_fence; /* of the orders that have reached engines */
  bool fence_fell;        /* an order had a lower one than an earlier order */
  uint32_t orders;
};

/* A request of a caller and its answer so far. */
struct call
{
  struct ncl_exchange *exchange;
  uint32_t status;
  bool done;
  bool complete;
  bool ends_with_connection;
  bool has_retry_after;
  double retry_after_s;
  int64_t took_us; /* until the end of the answer */
  int64_t sent_us;
  GString *body;
};

static bool
on_headers (void *context, uint32_t status, const struct msg_message *answer)
{
  struct call *call = context;
  call->status = status;
  const char *retry_after = msg_find (answer, "Retry-After");
  call->has_retry_after = retry_after != NULL;
  call->retry_after_s
      = retry_after == NULL ? 0 : g_ascii_strtod (retry_after, NULL);
  call->ends_with_connection = ncl_ends_with_connection (call->exchange);
  return true;
}

static void
on_body (void *context, const char *bytes, size_t count)
{
  struct call *call = context;
  g_string_append_len (call->body, bytes, (gssize)count);
}

static void
on_complete (void *context)
{
  struct call *call = context;
  call->done = true;
  call->complete = true;
  call->took_us = clk_monotonic_us () - call->sent_us;
}

static void
on_failed (void *context, enum ncl_failure failure)
{
  (void)failure;
  struct call *call = context;
  call->done = true;
}

static const struct ncl_events call_events = {
  .headers = on_headers,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

static void
on_tick (uv_timer_t *timer)
{
  struct fixture *fixture = timer->data;
  ncl_expire (fixture->client, clk_monotonic_us ());
}

/* Runs the loop for DURATION_US.  */
static void
run_for (struct fixture *fixture, int64_t duration_us)
{
  int64_t end_us = clk_monotonic_us () + duration_us;
  while (clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_ONCE);
    }
}

/* Sends the complete request REQUEST on a new connection.  */
static void
start_call (struct fixture *fixture, struct call *call, const char *address,
            const char *request, size_t request_bytes)
{
  *call = (struct call){
    .body = g_string_new (NULL),
    .sent_us = clk_monotonic_us (),
  };
  call->exchange = ncl_send (fixture->client, address, request, request_bytes,
                             true, &call_events, call);
  assert_non_null (call->exchange);
}

static void
await_call (struct fixture *fixture, struct call *call)
{
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  while (!call->done && clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_ONCE);
    }
  assert_true (call->done);
}

static void
clear_call (struct call *call)
{
  g_string_free (call->body, TRUE);
}

/* Sends a readiness probe, as the load balancer does.  Returns the HTTP
   status, or 0.  */
static uint32_t
probe (struct fixture *fixture)
{
  static const char request[]
      = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  struct call call;
  start_call (fixture, &call, sep_ready_address (fixture->daemon), request,
              strlen (request));
  await_call (fixture, &call);
  uint32_t status = call.status;
  clear_call (&call);
  return status;
}

/* Waits until the daemon is ready and the engines hold every layer.  */
static void
await_ready (struct fixture *fixture)
{
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  while (clk_monotonic_us () < end_us
         && (!sfl_is_placed (fixture->fleet) || probe (fixture) != 200))
    {
      run_for (fixture, 50 * CLK_MS_US);
    }
  assert_true (sfl_is_placed (fixture->fleet));
  run_for (fixture, CLK_MS_US * DRAIN_MS * 2);
}

static void
on_ordered (void *context, uint32_t endpoint, uint64_t fence, bool refused)
{
  (void)endpoint;
  (void)refused;
  struct fixture *fixture = context;
  fixture->orders++;
  fixture->fence_fell |= fence < fixture->highest_fence;
  fixture->highest_fence = MAX (fixture->highest_fence, fence);
}

static void
ignore_arrival (void *context, uint32_t endpoint, const char *request_id)
{
  (void)context;
  (void)endpoint;
  (void)request_id;
}

static void
ignore_answer (void *context, uint32_t endpoint, const char *request_id,
               bool leaving, const char *retry_after)
{
  (void)context;
  (void)endpoint;
  (void)request_id;
  (void)leaving;
  (void)retry_after;
}

static void
ignore_end (void *context, const char *request_id)
{
  (void)context;
  (void)request_id;
}

static const struct sfl_observer observer = {
  .arrived = ignore_arrival,
  .answered = ignore_answer,
  .ordered = on_ordered,
  .started = ignore_arrival,
  .stopped = ignore_end,
};

static int
set_up (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  const struct ncl_params client_params = {
    .idle_max_us = CLK_S_US,
    .connect_timeout_us = 2 * CLK_S_US,
    .user_timeout_ms = 20000,
    .idle_connections_max = 4,
  };
  uv_loop_init (&fixture->loop);
  uv_timer_init (&fixture->loop, &fixture->tick);
  fixture->tick.data = fixture;
  uv_timer_start (&fixture->tick, on_tick, 20, 20);
  const struct sfl_params params = {
    .loop = &fixture->loop,
    .engines = ENGINES,
    .services = SERVICES,
    .event_ms = EVENT_MS,
    .observer = &observer,
    .context = fixture,
  };
  signal (SIGPIPE, SIG_IGN);
  fixture->fleet = sfl_create (&params);
  fixture->client = ncl_create (&fixture->loop, &client_params);
  fixture->folder = g_dir_make_tmp ("entry-XXXXXX", NULL);
  const struct sep_params daemon_params = {
    .name = "entry-1",
    .folder = fixture->folder,
    .store_address = sfl_store_address (fixture->fleet),
    .drain_ms = DRAIN_MS,
    .config_ms = CONFIG_MS,
    .revoke_ms = REVOKE_MS,
    .stop_s = STOP_S,
    .retry_window_s = 2,
    .retry_ratio = 0.2,
    .retry_slack = 100,
  };
  fixture->daemon = sep_create (&daemon_params);
  sep_start (fixture->daemon);
  await_ready (fixture);
  *state = fixture;
  return 0;
}

static int
tear_down (void **state)
{
  struct fixture *fixture = *state;
  sep_remove_files (fixture->daemon);
  sep_destroy (fixture->daemon);
  ncl_destroy (fixture->client);
  uv_close ((uv_handle_t *)&fixture->tick, NULL);
  sfl_destroy (fixture->fleet);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  uv_loop_close (&fixture->loop);
  rmdir (fixture->folder);
  g_free (fixture->folder);
  g_free (fixture);
  return 0;
}

#define FLEET_HOST "fleet.example"

/* Builds a request with the request id ID.  Its account header is forged, so
   the daemon must replace it.  The caller frees it.  */
static char *
build_request (const char *method, const char *host, const char *path,
               const char *key, const char *id, const char *body)
{
  return g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: %s\r\nX-Api-Key: %s\r\nX-Own: 1\r\n"
      "%s: %s\r\n%s: 5000\r\n%s: 40,24\r\n" PFH_ACCOUNT ": forged\r\n"
      "Content-Length: %zu\r\n\r\n%s",
      method, path, host, key, PFH_REQUEST_ID, id, PFH_TIME_LEFT_MS,
      PFH_TOKENS, strlen (body), body);
}

/* Returns all events of the stream of the request ID.  */
static GString *
expected_stream (const char *id)
{
  GString *text = g_string_new (NULL);
  for (uint32_t i = 1; i <= SFL_STREAM_EVENTS; i++)
    {
      g_string_append_printf (text, "id: %u\ndata: %s-%u\n\n", i, id, i);
    }
  return text;
}

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
check_answer (struct fixture *fixture, const struct row *row, const char *id,
              const struct call *call)
{
  GString *expected
      = row->body == BODY_STREAM ? expected_stream (id) : g_string_new (NULL);
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
restore_endpoints (struct fixture *fixture)
{
  sfl_set_fault (fixture->fleet, false, SFL_NO_FAULT, 0);
  sfl_set_fault (fixture->fleet, true, SFL_NO_FAULT, 0);
  run_for (fixture, 500 * CLK_MS_US);
  for (uint32_t i = 0; i < 24; i++)
    {
      struct call call;
      char id[32];
      g_snprintf (id, sizeof id, "heal-%u", fixture->next_id++);
      char *request = build_request (
          "POST", FLEET_HOST, i < 4 ? "/draft/h" : "/book/h", "key-1", id, "");
      start_call (fixture, &call, sep_caller_address (fixture->daemon),
                  request, strlen (request));
      await_call (fixture, &call);
      clear_call (&call);
      g_free (request);
    }
}

static void
test_requests (void **state)
{
  struct fixture *fixture = *state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const struct row *row = &rows[i];
      struct call call;
      char id[32];
      g_snprintf (id, sizeof id, "row-%zu", i);
      char *request = build_request (
          "POST", row->host == NULL ? FLEET_HOST : row->host, row->path,
          row->key == NULL ? "key-1" : row->key, id, "some body");
      sfl_set_fault (fixture->fleet, row->engines, row->fault,
                     row->fault_requests);
      start_call (fixture, &call, sep_caller_address (fixture->daemon),
                  request, strlen (request));
      await_call (fixture, &call);
      check_answer (fixture, row, id, &call);
      clear_call (&call);
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
  struct fixture *fixture = *state;
  static const char *const paths[] = { "/book/a", "/draft/a" };
  for (size_t i = 0; i < 2; i++)
    {
      struct call call;
      char id[32];
      g_snprintf (id, sizeof id, "unframed-%zu", i);
      char *request
          = build_request ("POST", FLEET_HOST, paths[i], "key-1", id, "");
      sfl_set_fault (fixture->fleet, i == 1, SFL_WITHOUT_LENGTH, 1);
      start_call (fixture, &call, sep_caller_address (fixture->daemon),
                  request, strlen (request));
      await_call (fixture, &call);
      assert_int_equal (call.status, 200);
      assert_true (call.ends_with_connection);
      clear_call (&call);
      g_free (request);
    }
}

/* Raw requests that are invalid or over a limit get their 4xx status.  */
static void
test_rejected_requests (void **state)
{
  struct fixture *fixture = *state;
  GString *long_header = g_string_new (
      "GET /book/a HTTP/1.1\r\nHost: " FLEET_HOST "\r\nX-Long: ");
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
    { "POST /book/a HTTP/1.1\r\nHost: " FLEET_HOST
      "\r\nContent-Length: 70000\r\n\r\n",
      413 },
    { "POST /book/a HTTP/1.1\r\nHost: " FLEET_HOST
      "\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
      400 },
    { "GET /book/a HTTP/1.1\r\nHost: " FLEET_HOST
      "\r\nX-Api-Key: key-1\r\n\r\n",
      400 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct call call;
      start_call (fixture, &call, sep_caller_address (fixture->daemon),
                  cases[i].request, strlen (cases[i].request));
      await_call (fixture, &call);
      if (call.status != cases[i].status)
        {
          fail_msg ("case %zu: %u", i, call.status);
        }
      clear_call (&call);
    }
  g_string_free (long_header, TRUE);
}

/* An endpoint stops working on a request soon after its caller has
   disconnected.  */
static void
test_caller_disconnects (void **state)
{
  struct fixture *fixture = *state;
  struct call call;
  uint32_t before = sfl_cancelled_count (fixture->fleet);
  char *request
      = build_request ("POST", FLEET_HOST, "/draft/a", "key-1", "leaver", "");
  start_call (fixture, &call, sep_caller_address (fixture->daemon), request,
              strlen (request));
  while (call.body->len == 0)
    {
      uv_run (&fixture->loop, UV_RUN_ONCE);
    }
  ncl_cancel (call.exchange);
  run_for (fixture, 100 * CLK_MS_US);
  assert_int_equal (sfl_cancelled_count (fixture->fleet), before + 1);
  clear_call (&call);
  g_free (request);
}

/* Sends one booking with the API key KEY to DAEMON.  Returns the HTTP status.
 */
static uint32_t
send_booking_to (struct fixture *fixture, const struct sep_process *daemon,
                 const char *key)
{
  struct call call;
  char id[32];
  g_snprintf (id, sizeof id, "book-%u", fixture->next_id++);
  char *request = build_request ("POST", FLEET_HOST, "/book/a", key, id, "");
  start_call (fixture, &call, sep_caller_address (daemon), request,
              strlen (request));
  await_call (fixture, &call);
  uint32_t status = call.status;
  clear_call (&call);
  g_free (request);
  return status;
}

/* Sends one booking with the API key KEY.  Returns the HTTP status.  */
static uint32_t
send_booking (struct fixture *fixture, const char *key)
{
  return send_booking_to (fixture, fixture->daemon, key);
}

/* A newer configuration takes effect at once and an older one never does.
   Keys are accepted only while the configuration is known to be fresh, and
   again after the next contact with the store.  */
static void
test_configuration_changes (void **state)
{
  struct fixture *fixture = *state;
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
    { 0, NULL, SFL_STORE_REFUSES, REVOKE_MS, 503, 503 },
    { 0, NULL, SFL_STORE_NO_FAULT, 1500, 200, 401 },
    /* Calls that the store never answered don't delay a later change. */
    { 0, NULL, SFL_STORE_NEVER_ANSWERS, 4500, 503, 503 },
    { 11, "key-2", SFL_STORE_NO_FAULT, CONFIG_MS, 200, 200 },
  };
  for (size_t i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      sfl_set_store (fixture->fleet, steps[i].store);
      if (steps[i].version > 0)
        {
          sfl_publish (fixture->fleet, steps[i].version, steps[i].extra_key);
        }
      run_for (fixture, steps[i].wait_ms * CLK_MS_US);
      uint32_t status = send_booking (fixture, "key-1");
      uint32_t extra_status = send_booking (fixture, "key-2");
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
  struct fixture *fixture = *state;
  uint32_t leaving = ENGINES;
  sfl_list_draining (fixture->fleet, leaving);
  run_for (fixture, (DRAIN_MS + 100) * CLK_MS_US);
  uint32_t before = sfl_arrival_count (fixture->fleet, leaving);
  for (uint32_t i = 0; i < 10; i++)
    {
      assert_int_equal (send_booking (fixture, "key-1"), 200);
    }
  assert_int_equal (sfl_arrival_count (fixture->fleet, leaving), before);
}

/* Number of requests in a burst. */
#define BURST 8

/* Number of bursts within which an endpoint gets a request. */
#define BURSTS_MAX 12

/* Sends BURST requests for PATH at the same time and waits for the answers.
   Returns how many of them were whole, with status 200.  */
static uint32_t
send_burst (struct fixture *fixture, const char *path)
{
  struct call calls[BURST];
  uint32_t served = 0;
  for (uint32_t i = 0; i < BURST; i++)
    {
      char id[32];
      g_snprintf (id, sizeof id, "burst-%u", fixture->next_id++);
      g_autofree char *request
          = build_request ("POST", FLEET_HOST, path, "key-1", id, "");
      start_call (fixture, &calls[i], sep_caller_address (fixture->daemon),
                  request, strlen (request));
    }
  for (uint32_t i = 0; i < BURST; i++)
    {
      await_call (fixture, &calls[i]);
      served += calls[i].complete && calls[i].status == 200;
      clear_call (&calls[i]);
    }
  return served;
}

/* Sends bursts for PATH until ENDPOINT gets a request, with FAULT injected at
   services.  Returns false when it doesn't get any.  */
static bool
reaches (struct fixture *fixture, const char *path, enum sfl_fault fault,
         uint32_t endpoint)
{
  uint32_t before = sfl_arrival_count (fixture->fleet, endpoint);
  for (uint32_t i = 0; i < BURSTS_MAX; i++)
    {
      sfl_set_fault (fixture->fleet, false, fault, BURST);
      send_burst (fixture, path);
      sfl_set_fault (fixture->fleet, false, SFL_NO_FAULT, 0);
      if (sfl_arrival_count (fixture->fleet, endpoint) > before)
        {
          return true;
        }
      run_for (fixture, 50 * CLK_MS_US);
    }
  return false;
}

/* Replaces ENDPOINT by a new instance at another address.  */
static void
replace_endpoint (struct fixture *fixture, uint32_t endpoint)
{
  sfl_unlist (fixture->fleet, endpoint);
  sfl_kill (fixture->fleet, endpoint);
  sfl_restart (fixture->fleet, endpoint);
  run_for (fixture, 300 * CLK_MS_US);
}

/* Sends one booking and returns its answer, which the caller clears.  */
static struct call
send_and_await (struct fixture *fixture, const char *path)
{
  struct call call;
  char id[32];
  g_snprintf (id, sizeof id, "one-%u", fixture->next_id++);
  g_autofree char *request
      = build_request ("POST", FLEET_HOST, path, "key-1", id, "");
  start_call (fixture, &call, sep_caller_address (fixture->daemon), request,
              strlen (request));
  await_call (fixture, &call);
  return call;
}

/* A service that says in any answer that it leaves gets no new requests,
   though the list names it as ready, until it is replaced.  */
static void
test_service_says_leaving (void **state)
{
  struct fixture *fixture = *state;
  enum list_change
  {
    LIST_UNCHANGED,
    LIST_READY_AGAIN,
    LIST_DROPPED_AND_READY
  };
  static const struct
  {
    const char *name;
    const char *path;
    enum sfl_fault fault;
    enum sfl_store_state store;
    enum list_change change;
  } cases[] = {
    { "in a success", "/book/a", SFL_NO_FAULT, SFL_STORE_NO_FAULT,
      LIST_UNCHANGED },
    { "in an error", "/look/a", SFL_FAILS, SFL_STORE_NO_FAULT,
      LIST_UNCHANGED },
    { "in a refusal", "/book/a", SFL_REFUSES, SFL_STORE_NO_FAULT,
      LIST_UNCHANGED },
    { "in an answer to another request", "/look/a", SFL_WRONG_REQUEST_ID,
      SFL_STORE_NO_FAULT, LIST_UNCHANGED },
    { "while the store is out", "/book/a", SFL_NO_FAULT, SFL_STORE_REFUSES,
      LIST_UNCHANGED },
    { "and is listed as ready again", "/book/a", SFL_NO_FAULT,
      SFL_STORE_NO_FAULT, LIST_READY_AGAIN },
    { "and is dropped and listed again", "/book/a", SFL_NO_FAULT,
      SFL_STORE_NO_FAULT, LIST_DROPPED_AND_READY },
  };
  const uint32_t leaving = ENGINES;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      sfl_set_store (fixture->fleet, cases[i].store);
      sfl_set_leaving (fixture->fleet, leaving, true);
      assert_true (reaches (fixture, cases[i].path, cases[i].fault, leaving));
      uint32_t before = sfl_arrival_count (fixture->fleet, leaving);
      uint32_t served = send_burst (fixture, "/book/a");
      if (cases[i].change == LIST_DROPPED_AND_READY)
        {
          sfl_unlist (fixture->fleet, leaving);
          run_for (fixture, 300 * CLK_MS_US);
        }
      if (cases[i].change != LIST_UNCHANGED)
        {
          sfl_list_ready (fixture->fleet, leaving);
          run_for (fixture, 300 * CLK_MS_US);
        }
      for (uint32_t n = 0; n < 4; n++)
        {
          served += send_burst (fixture, "/look/a");
        }
      uint32_t late = sfl_arrival_count (fixture->fleet, leaving) - before;
      sfl_set_store (fixture->fleet, SFL_STORE_NO_FAULT);
      run_for (fixture, 300 * CLK_MS_US);
      replace_endpoint (fixture, leaving);
      bool replaced = reaches (fixture, "/book/a", SFL_NO_FAULT, leaving);
      if (late > 0 || served < 5 * BURST || !replaced)
        {
          fail_msg ("%s: %u late requests, %u of %u served, replaced %d",
                    cases[i].name, late, served, 5 * BURST, replaced);
        }
    }
}

/* When every service says that it leaves, requests are refused at once.  */
static void
test_all_services_say_leaving (void **state)
{
  struct fixture *fixture = *state;
  for (uint32_t i = ENGINES; i < ENGINES + SERVICES; i++)
    {
      sfl_set_leaving (fixture->fleet, i, true);
      assert_true (reaches (fixture, "/book/a", SFL_NO_FAULT, i));
    }
  struct call call = send_and_await (fixture, "/book/a");
  assert_int_equal (call.status, 503);
  assert_true (call.has_retry_after);
  assert_true (call.took_us < 200 * CLK_MS_US);
  clear_call (&call);
  for (uint32_t i = ENGINES; i < ENGINES + SERVICES; i++)
    {
      replace_endpoint (fixture, i);
    }
  assert_int_equal (send_burst (fixture, "/book/a"), BURST);
}

/* Sets FIRST to whether each engine is the first one of a path that is in use
   now.  Returns how many are.  */
static uint32_t
list_first_engines (struct fixture *fixture, bool first[ENGINES])
{
  uint32_t before[ENGINES];
  uint32_t count = 0;
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      before[i] = sfl_arrival_count (fixture->fleet, i);
    }
  for (uint32_t i = 0; i < 4; i++)
    {
      assert_int_equal (send_burst (fixture, "/draft/a"), BURST);
    }
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      first[i] = sfl_arrival_count (fixture->fleet, i) > before[i];
      count += first[i];
    }
  return count;
}

/* Waits until two engines are the first ones of paths, and sets FIRST to which
   ones.  */
static void
find_first_engines (struct fixture *fixture, bool first[ENGINES])
{
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  while (list_first_engines (fixture, first) != 2
         && clk_monotonic_us () < end_us)
    {
      run_for (fixture, 200 * CLK_MS_US);
    }
  assert_int_equal (list_first_engines (fixture, first), 2);
}

/* Starts BURST streams.  */
static void
start_streams (struct fixture *fixture, struct call *calls, const char *name)
{
  for (uint32_t i = 0; i < BURST; i++)
    {
      char id[32];
      g_snprintf (id, sizeof id, "%s-%u", name, i);
      g_autofree char *request
          = build_request ("POST", FLEET_HOST, "/draft/a", "key-1", id, "");
      start_call (fixture, &calls[i], sep_caller_address (fixture->daemon),
                  request, strlen (request));
    }
}

/* Waits for the streams of start_streams and checks that each is whole and ran
   once.  */
static void
await_streams (struct fixture *fixture, struct call *calls, const char *name)
{
  for (uint32_t i = 0; i < BURST; i++)
    {
      char id[32];
      g_snprintf (id, sizeof id, "%s-%u", name, i);
      await_call (fixture, &calls[i]);
      if (!calls[i].complete || calls[i].status != 200
          || sfl_run_count (fixture->fleet, id) != 1)
        {
          fail_msg ("%s: status %u, complete %d, %u runs", id, calls[i].status,
                    calls[i].complete, sfl_run_count (fixture->fleet, id));
        }
      clear_call (&calls[i]);
    }
}

/* Engines that say in the heads of streams that they leave finish these
   streams and get no new ones.  When no engine is left for the first layers,
   these are placed on others, though the list names all engines as ready.  */
static void
test_engines_say_leaving (void **state)
{
  struct fixture *fixture = *state;
  struct call under_way[BURST];
  struct call later[BURST];
  bool first[ENGINES];
  uint32_t before[ENGINES];
  find_first_engines (fixture, first);
  sfl_set_stream_events (fixture->fleet, 60);
  uint32_t one = first[0] ? 0 : first[1] ? 1 : 2;
  start_streams (fixture, under_way, "leaving");
  sfl_set_leaving (fixture->fleet, one, true);
  run_for (fixture, 150 * CLK_MS_US);
  before[one] = sfl_arrival_count (fixture->fleet, one);
  start_streams (fixture, later, "elsewhere");
  await_streams (fixture, under_way, "leaving");
  await_streams (fixture, later, "elsewhere");
  assert_int_equal (sfl_arrival_count (fixture->fleet, one), before[one]);

  for (uint32_t i = 0; i < ENGINES; i++)
    {
      sfl_set_leaving (fixture->fleet, i, first[i]);
    }
  start_streams (fixture, under_way, "last");
  run_for (fixture, 150 * CLK_MS_US);
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      before[i] = sfl_arrival_count (fixture->fleet, i);
    }
  struct call refused = send_and_await (fixture, "/draft/a");
  assert_int_equal (refused.status, 503);
  assert_true (refused.has_retry_after);
  assert_true (refused.took_us < 200 * CLK_MS_US);
  clear_call (&refused);
  await_streams (fixture, under_way, "last");
  uint32_t served = 0;
  for (uint32_t i = 0; i < 60 && served < BURST; i++)
    {
      run_for (fixture, 100 * CLK_MS_US);
      served = send_burst (fixture, "/draft/a");
    }
  assert_int_equal (served, BURST);
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      if (first[i])
        {
          assert_int_equal (sfl_arrival_count (fixture->fleet, i), before[i]);
        }
    }
  sfl_set_stream_events (fixture->fleet, SFL_STREAM_EVENTS);
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      if (first[i])
        {
          replace_endpoint (fixture, i);
        }
    }
  await_ready (fixture);
}

/* An engine that says in a report that it leaves, while streams stall there
   without an answer, gets no new ones.  */
static void
test_leaving_said_in_report (void **state)
{
  struct fixture *fixture = *state;
  struct call stalled[BURST];
  uint32_t before[ENGINES];
  uint32_t leaving = 0;
  bool first[ENGINES];
  find_first_engines (fixture, first);
  sfl_set_fault (fixture->fleet, true, SFL_STALLS, BURST);
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      before[i] = sfl_arrival_count (fixture->fleet, i);
    }
  start_streams (fixture, stalled, "stalled");
  run_for (fixture, 50 * CLK_MS_US);
  while (sfl_arrival_count (fixture->fleet, leaving) == before[leaving])
    {
      leaving++;
      assert_true (leaving < ENGINES);
    }
  sfl_set_leaving (fixture->fleet, leaving, true);
  run_for (fixture, 900 * CLK_MS_US);
  before[leaving] = sfl_arrival_count (fixture->fleet, leaving);
  for (uint32_t i = 0; i < BURST; i++)
    {
      ncl_cancel (stalled[i].exchange);
      clear_call (&stalled[i]);
    }
  run_for (fixture, 2 * CLK_S_US);
  for (uint32_t i = 0; i < BURSTS_MAX; i++)
    {
      assert_int_equal (send_burst (fixture, "/draft/a"), BURST);
    }
  assert_int_equal (sfl_arrival_count (fixture->fleet, leaving),
                    before[leaving]);
  sfl_set_fault (fixture->fleet, true, SFL_NO_FAULT, 0);
  replace_endpoint (fixture, leaving);
  await_ready (fixture);
}

/* A new engine that says in the answer to its first order that it leaves gets
   no streams once it has its layers.  */
static void
test_leaving_said_to_order (void **state)
{
  struct fixture *fixture = *state;
  bool first[ENGINES];
  find_first_engines (fixture, first);
  uint32_t leaving = first[0] ? 0 : first[1] ? 1 : 2;
  sfl_unlist (fixture->fleet, leaving);
  sfl_kill (fixture->fleet, leaving);
  sfl_restart (fixture->fleet, leaving);
  sfl_set_leaving (fixture->fleet, leaving, true);
  uint32_t before = sfl_arrival_count (fixture->fleet, leaving);
  run_for (fixture, 1500 * CLK_MS_US);
  for (uint32_t i = 0; i < BURSTS_MAX; i++)
    {
      assert_int_equal (send_burst (fixture, "/draft/a"), BURST);
    }
  assert_int_equal (sfl_arrival_count (fixture->fleet, leaving), before);
  replace_endpoint (fixture, leaving);
  await_ready (fixture);
}

/* Returns the number of requests that reach ENDPOINT within DURATION_US, while
   bursts for PATH are sent.  */
static uint32_t
count_arrivals (struct fixture *fixture, const char *path, uint32_t endpoint,
                int64_t duration_us)
{
  uint32_t before = sfl_arrival_count (fixture->fleet, endpoint);
  int64_t end_us = clk_monotonic_us () + duration_us;
  while (clk_monotonic_us () < end_us)
    {
      send_burst (fixture, path);
      run_for (fixture, 20 * CLK_MS_US);
    }
  return sfl_arrival_count (fixture->fleet, endpoint) - before;
}

/* A service that turns a request away with a time gets none until then; a time
   that makes no sense has no effect, and one that is too long ends with the
   instance.  */
static void
test_service_turns_away (void **state)
{
  struct fixture *fixture = *state;
  static const struct
  {
    const char *retry_after;
    int64_t closed_ms;
    bool opens; /* by itself, at most 0.2 of the time later */
  } cases[] = {
    { "2", 2000, true },    { "0.7", 700, true },   { "-1", 0, true },
    { "x", 0, true },       { "", 0, true },        { NULL, 0, true },
    { "1e9", 2000, false }, { "inf", 2000, false },
  };
  const uint32_t full = ENGINES;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      sfl_turn_away (fixture->fleet, full, cases[i].retry_after, 1);
      assert_true (reaches (fixture, "/look/a", SFL_NO_FAULT, full));
      /* `reaches' returns up to one burst after the answer. */
      int64_t checked_us = (cases[i].closed_ms * 9 / 10) * CLK_MS_US;
      uint32_t early = count_arrivals (fixture, "/look/a", full, checked_us);
      run_for (fixture, (cases[i].closed_ms * 4 / 10) * CLK_MS_US);
      if (!cases[i].opens)
        {
          early += count_arrivals (fixture, "/look/a", full, CLK_S_US);
          replace_endpoint (fixture, full);
        }
      bool opened = reaches (fixture, "/look/a", SFL_NO_FAULT, full);
      if (early > 0 || !opened)
        {
          fail_msg ("'%s': %u early requests, opened %d", cases[i].retry_after,
                    early, opened);
        }
    }
}

/* When every endpoint has turned requests away, a request that can't be in
   time is refused at once, to return when the first opens, and one that can
   waits for that.  */
static void
test_all_turn_away (void **state)
{
  struct fixture *fixture = *state;
  static const struct
  {
    const char *path;
    const char *retry_after;
    uint32_t status;
    double closed_s; /* at most; the first opens at most 0.2 of this later */
  } cases[] = {
    { "/book/a", "2", 503, 2 },
    { "/draft/a", "2", 503, 2 },
    { "/book/a", "0.12", 200, 0.12 },
    { "/draft/a", "0.12", 200, 0.12 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      double shortest_s = INFINITY;
      double longest_s = 0;
      for (uint32_t n = 0; n < ENGINES + SERVICES; n++)
        {
          sfl_turn_away (fixture->fleet, n, cases[i].retry_after, 1);
        }
      send_burst (fixture, cases[i].path);
      for (uint32_t n = 0; n < BURST; n++)
        {
          struct call call = send_and_await (fixture, cases[i].path);
          bool refused = call.status == 503 && call.has_retry_after
                         && call.took_us < 100 * CLK_MS_US;
          if (call.status != cases[i].status
              || refused != (call.status == 503))
            {
              fail_msg ("%s, '%s': status %u after %ld ms", cases[i].path,
                        cases[i].retry_after, call.status,
                        (long)(call.took_us / CLK_MS_US));
            }
          shortest_s = MIN (shortest_s, call.retry_after_s);
          longest_s = MAX (longest_s, call.retry_after_s);
          clear_call (&call);
        }
      if (cases[i].status == 503
          && (shortest_s < cases[i].closed_s * 0.8
              || longest_s > cases[i].closed_s * 2.4 + 0.6
              || longest_s - shortest_s < 0.2))
        {
          fail_msg ("%s: callers return after %g to %g s", cases[i].path,
                    shortest_s, longest_s);
        }
      for (uint32_t n = 0; n < ENGINES + SERVICES; n++)
        {
          sfl_turn_away (fixture->fleet, n, NULL, 0);
        }
      run_for (fixture, (int64_t)(cases[i].closed_s * 1.3 * CLK_S_US));
      assert_int_equal (send_burst (fixture, cases[i].path), BURST);
    }
}

/* A first engine that turns a stream away gets none until its time is over.
   The streams go to the other paths, and it isn't taken for dead.  */
static void
test_engine_turns_away (void **state)
{
  struct fixture *fixture = *state;
  bool first[ENGINES];
  find_first_engines (fixture, first);
  uint32_t full = first[0] ? 0 : first[1] ? 1 : 2;
  sfl_turn_away (fixture->fleet, full, "1.5", 1);
  assert_true (reaches (fixture, "/draft/a", SFL_NO_FAULT, full));
  assert_int_equal (
      count_arrivals (fixture, "/draft/a", full, 1200 * CLK_MS_US), 0);
  assert_int_equal (send_burst (fixture, "/draft/a"), BURST);
  run_for (fixture, 700 * CLK_MS_US);
  assert_true (reaches (fixture, "/draft/a", SFL_NO_FAULT, full));
  assert_true (sfl_is_placed (fixture->fleet));
}

/* When an engine dies, streams through it are resumed on other engines, each
   event once and in order, while the endpoint list still names the dead
   engine.  */
static void
test_engine_dies (void **state)
{
  struct fixture *fixture = *state;
  struct call calls[8];
  char *requests[8];
  char id[32];
  sfl_set_fault (fixture->fleet, true, SFL_STALLS, 1);
  for (uint32_t i = 0; i < 8; i++)
    {
      g_snprintf (id, sizeof id, "dies-%u", i);
      requests[i]
          = build_request ("POST", FLEET_HOST, "/draft/a", "key-1", id, "");
      start_call (fixture, &calls[i], sep_caller_address (fixture->daemon),
                  requests[i], strlen (requests[i]));
    }
  run_for (fixture, 60 * CLK_MS_US);
  sfl_kill (fixture->fleet, 0);
  for (uint32_t i = 0; i < 8; i++)
    {
      await_call (fixture, &calls[i]);
      g_snprintf (id, sizeof id, "dies-%u", i);
      GString *expected = expected_stream (id);
      if (!calls[i].complete || strcmp (calls[i].body->str, expected->str) != 0
          || sfl_run_count (fixture->fleet, id) > 2)
        {
          fail_msg ("%s: status %u, complete %d, %u runs, '%s'", id,
                    calls[i].status, calls[i].complete,
                    sfl_run_count (fixture->fleet, id), calls[i].body->str);
        }
      g_string_free (expected, TRUE);
      clear_call (&calls[i]);
      g_free (requests[i]);
    }
  assert_null (sfl_violation (fixture->fleet));
}

/* Waits until the daemon, which is stopping, has ended, and checks that it
   exited normally.  */
static void
await_exit (struct fixture *fixture)
{
  int status = -1;
  int64_t end_us = clk_monotonic_us () + STOP_S * CLK_S_US;
  while (!sep_has_ended (fixture->daemon, &status)
         && clk_monotonic_us () < end_us)
    {
      run_for (fixture, 20 * CLK_MS_US);
    }
  assert_true (WIFEXITED (status));
  assert_int_equal (WEXITSTATUS (status), 0);
}

/* A graceful stop aborts no request: requests in progress are finished, those
   that arrive before the load balancer has noticed the stop are served, and
   then the process exits.  */
static void
test_graceful_stop (void **state)
{
  struct fixture *fixture = *state;
  struct call stream;
  GString *expected = expected_stream ("stops");
  char *request
      = build_request ("POST", FLEET_HOST, "/draft/a", "key-1", "stops", "");
  start_call (fixture, &stream, sep_caller_address (fixture->daemon), request,
              strlen (request));
  run_for (fixture, 50 * CLK_MS_US);
  sep_signal (fixture->daemon, SIGTERM);
  run_for (fixture, 50 * CLK_MS_US);
  assert_int_equal (probe (fixture), 503);
  assert_int_equal (send_booking (fixture, "key-1"), 200);
  await_call (fixture, &stream);
  assert_true (stream.complete);
  assert_string_equal (stream.body->str, expected->str);
  await_exit (fixture);
  clear_call (&stream);
  g_string_free (expected, TRUE);
  g_free (request);
}

/* Sends a stream that may have OUTPUT_TOKENS tokens.  */
static void
start_stream (struct fixture *fixture, struct call *call,
              uint32_t output_tokens)
{
  g_autofree char *request = g_strdup_printf (
      "POST /draft/a HTTP/1.1\r\nHost: " FLEET_HOST
      "\r\nX-Api-Key: key-1\r\nX-Own: 1\r\n" PFH_REQUEST_ID
      ": late-%u\r\n" PFH_TIME_LEFT_MS ": 9000\r\n" PFH_TOKENS
      ": 40,%u\r\nContent-Length: 0\r\n\r\n",
      fixture->next_id++, output_tokens);
  start_call (fixture, call, sep_caller_address (fixture->daemon), request,
              strlen (request));
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
  struct fixture *fixture = *state;
  struct call calls[G_N_ELEMENTS (late)];
  sep_start (fixture->daemon);
  await_ready (fixture);
  for (uint32_t i = 0; i < 4; i++)
    {
      start_stream (fixture, &calls[0], 400);
      await_call (fixture, &calls[0]);
      assert_true (calls[0].complete);
      clear_call (&calls[0]);
    }
  sep_signal (fixture->daemon, SIGTERM);
  run_for (fixture, 3100 * CLK_MS_US);
  for (size_t i = 0; i < G_N_ELEMENTS (late); i++)
    {
      sfl_set_stream_events (fixture->fleet, late[i].events);
      start_stream (fixture, &calls[i], late[i].output_tokens);
      await_call (fixture, &calls[i]);
    }
  await_exit (fixture);
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
      clear_call (&calls[i]);
    }
}

/* Sends a call of the route at PATH that states its time left, but no tokens,
   and waits for the answer for PATIENCE_US at most.  */
static void
send_call (struct fixture *fixture, struct call *call, const char *path,
           int64_t patience_us)
{
  g_autofree char *request
      = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: " FLEET_HOST
                         "\r\nX-Api-Key: key-1\r\nX-Own: 1\r\n" PFH_REQUEST_ID
                         ": call-%u\r\n" PFH_TIME_LEFT_MS ": 9000\r\n\r\n",
                         path, fixture->next_id++);
  start_call (fixture, call, sep_caller_address (fixture->daemon), request,
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
  struct fixture *fixture = *state;
  struct call calls[G_N_ELEMENTS (late)];
  sep_start (fixture->daemon);
  await_ready (fixture);
  for (uint32_t i = 0; i < 8; i++)
    {
      send_call (fixture, &calls[0], "/look/a", TIMEOUT_US);
      assert_int_equal (calls[0].status, 200);
      clear_call (&calls[0]);
    }
  /* Keeps the daemon from exiting as idle before the late calls. */
  struct call stream;
  sfl_set_stream_events (fixture->fleet, 300);
  start_stream (fixture, &stream, 400);
  run_for (fixture, 100 * CLK_MS_US);
  sep_signal (fixture->daemon, SIGTERM);
  run_for (fixture, 3600 * CLK_MS_US);
  for (size_t i = 0; i < G_N_ELEMENTS (late); i++)
    {
      sfl_set_call_ms (fixture->fleet, late[i].call_ms);
      send_call (fixture, &calls[i], late[i].path, TIMEOUT_US);
    }
  sfl_set_call_ms (fixture->fleet, SFL_CALL_MS);
  await_call (fixture, &stream);
  assert_true (stream.complete);
  clear_call (&stream);
  sfl_set_stream_events (fixture->fleet, SFL_STREAM_EVENTS);
  await_exit (fixture);
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
      clear_call (&calls[i]);
    }
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
  } callers[SERVICES] = {
    { "/look/a", TIMEOUT_US }, /* times out after 0.6 s */
    { "/sum/a", 400 * CLK_MS_US },
  };
  enum
  {
    CALLS = 30,
    UNANSWERED_MAX = 5
  };
  struct fixture *fixture = *state;
  uint32_t unanswered[SERVICES] = { 0 };
  sfl_list_ready (fixture->fleet, ENGINES); /* drained by another test */
  for (uint32_t i = 0; i < SERVICES; i++)
    {
      sep_start (fixture->daemon);
      await_ready (fixture);
      sfl_set_silent (fixture->fleet, ENGINES + i, true);
      for (uint32_t n = 0; n < CALLS; n++)
        {
          struct call call;
          send_call (fixture, &call, callers[i].path, callers[i].patience_us);
          unanswered[i] += call.status != 200;
          clear_call (&call);
        }
      sfl_set_silent (fixture->fleet, ENGINES + i, false);
      print_message ("%s: %u of %d calls unanswered\n", callers[i].path,
                     unanswered[i], CALLS);
      sep_signal (fixture->daemon, SIGTERM);
      await_exit (fixture);
    }
  for (uint32_t i = 0; i < SERVICES; i++)
    {
      assert_in_range (unanswered[i], 0, UNANSWERED_MAX);
    }
}

/* Time for which a restored store isn't written again by others, and age of
   the copy that it is restored from. */
#define NEVER_US (60 * CLK_S_US)
#define COPY_AGE_US (1500 * CLK_MS_US)

/* Requests that run while the store is restored, twice shortly after one
   another, are answered, and none runs twice.  */
static void
test_restore_during_requests (void **state)
{
  enum
  {
    STREAMS = 6,
    BOOKINGS = 40
  };
  struct fixture *fixture = *state;
  struct call streams[STREAMS];
  struct call bookings[BOOKINGS];
  char id[32];
  sfl_publish (fixture->fleet, 5, NULL);
  run_for (fixture, 300 * CLK_MS_US);
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      start_stream (fixture, &streams[i], SFL_STREAM_EVENTS);
    }
  for (uint32_t i = 0; i < BOOKINGS; i++)
    {
      if (i == 5 || i == 15)
        {
          sfl_restore_store (fixture->fleet, COPY_AGE_US, 400 * CLK_MS_US);
        }
      g_snprintf (id, sizeof id, "restore-%u", i);
      char *request
          = build_request ("POST", FLEET_HOST, "/book/a", "key-1", id, "");
      start_call (fixture, &bookings[i], sep_caller_address (fixture->daemon),
                  request, strlen (request));
      g_free (request);
      run_for (fixture, 50 * CLK_MS_US);
    }
  for (uint32_t i = 0; i < BOOKINGS; i++)
    {
      await_call (fixture, &bookings[i]);
      g_snprintf (id, sizeof id, "restore-%u", i);
      assert_int_equal (bookings[i].status, 200);
      assert_int_equal (sfl_run_count (fixture->fleet, id), 1);
      clear_call (&bookings[i]);
    }
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      await_call (fixture, &streams[i]);
      assert_true (streams[i].complete);
      clear_call (&streams[i]);
    }
  assert_null (sfl_violation (fixture->fleet));
}

/* A configuration that the store has lost stays in force, and so does the
   removal of a key, until the operator writes a newer one.  */
static void
test_lost_configuration (void **state)
{
  struct fixture *fixture = *state;
  static const struct
  {
    uint64_t version; /* 0: none */
    const char *extra_key;
    int64_t copy_age_ms; /* of the copy to restore; 0: no restore */
    int64_t wait_ms;
    uint32_t extra_status; /* expected with key-2 */
  } steps[] = {
    { 5, "key-2", 0, 1500, 200 }, { 8, NULL, 0, 200, 401 },
    { 0, NULL, 1000, 200, 401 },  { 0, NULL, 0, REVOKE_MS, 401 },
    { 0, NULL, 6000, 200, 401 },  { 11, "key-2", 0, 300, 200 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      if (steps[i].copy_age_ms > 0)
        {
          sfl_restore_store (fixture->fleet, steps[i].copy_age_ms * CLK_MS_US,
                             NEVER_US);
        }
      if (steps[i].version > 0)
        {
          sfl_publish (fixture->fleet, steps[i].version, steps[i].extra_key);
        }
      run_for (fixture, steps[i].wait_ms * CLK_MS_US);
      uint32_t status = send_booking (fixture, "key-1");
      uint32_t extra_status = send_booking (fixture, "key-2");
      if (status != 200 || extra_status != steps[i].extra_status)
        {
          fail_msg ("step %zu: %u, %u", i, status, extra_status);
        }
    }
}

/* Returns the value of the setting NAME of the daemon NAME, allocated.  */
static char *
read_setting (const struct fixture *fixture, const char *daemon,
              const char *name)
{
  g_autofree char *file = g_strdup_printf ("%s.yaml", daemon);
  g_autofree char *path = g_build_filename (fixture->folder, file, NULL);
  g_autofree char *text = NULL;
  g_autofree char *key = g_strdup_printf ("%s: \"", name);
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  const char *value = strstr (text, key);
  assert_non_null (value);
  value += strlen (key);
  return g_strndup (value, strcspn (value, "\""));
}

/* Creates a second daemon that knows the relay of the first one.  */
static struct sep_process *
create_second_daemon (struct fixture *fixture)
{
  const struct sep_params params = {
    .name = "entry-2",
    .folder = fixture->folder,
    .store_address = sfl_store_address (fixture->fleet),
    .drain_ms = DRAIN_MS,
    .config_ms = CONFIG_MS,
    .revoke_ms = REVOKE_MS,
    .stop_s = STOP_S,
    .retry_window_s = 2,
    .retry_ratio = 0.2,
    .retry_slack = 100,
  };
  struct sep_process *daemon = sep_create (&params);
  g_autofree char *relay = read_setting (fixture, "entry-1", "relay_address");
  g_autofree char *path
      = g_build_filename (fixture->folder, "entry-2.yaml", NULL);
  FILE *settings = fopen (path, "a");
  assert_non_null (settings);
  fprintf (settings, "relays: [\"%s\"]\n", relay);
  fclose (settings);
  return daemon;
}

/* Starts DAEMON and waits until it serves.  */
static void
start_second_daemon (struct fixture *fixture, struct sep_process *daemon)
{
  sep_start (daemon);
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  uint32_t status = 0;
  while (status != 200 && clk_monotonic_us () < end_us)
    {
      run_for (fixture, 50 * CLK_MS_US);
      status = send_booking_to (fixture, daemon, "key-1");
    }
  assert_int_equal (status, 200);
}

/* Guards against a position that is continued in another era: an offset that
   was given out again, to the record of an endpoint that leaves, was taken for
   one that had been read.  The second daemon reads from the first one's
   relay.  */
static void
test_reused_offset (void **state)
{
  struct fixture *fixture = *state;
  uint32_t lost = ENGINES;
  uint32_t leaving = ENGINES + 1;
  struct sep_process *second = create_second_daemon (fixture);
  start_second_daemon (fixture, second);
  /* Until the last engine has got its layers, so that no other record is
     lost. */
  run_for (fixture, 2 * COPY_AGE_US);
  sfl_list_draining (fixture->fleet, lost);
  run_for (fixture, DRAIN_MS * CLK_MS_US);
  sfl_restore_store (fixture->fleet, COPY_AGE_US, NEVER_US);
  sfl_list_draining (fixture->fleet, leaving);
  run_for (fixture, (DRAIN_MS + 200) * CLK_MS_US);
  const struct sep_process *const daemons[] = { fixture->daemon, second };
  uint32_t arrivals[G_N_ELEMENTS (daemons)][2];
  for (size_t i = 0; i < G_N_ELEMENTS (daemons); i++)
    {
      uint32_t before = sfl_arrival_count (fixture->fleet, leaving);
      uint32_t lost_before = sfl_arrival_count (fixture->fleet, lost);
      for (uint32_t n = 0; n < 10; n++)
        {
          send_booking_to (fixture, daemons[i], "key-1");
        }
      arrivals[i][0] = sfl_arrival_count (fixture->fleet, leaving) - before;
      arrivals[i][1] = sfl_arrival_count (fixture->fleet, lost) - lost_before;
    }
  sep_remove_files (second);
  sep_destroy (second);
  for (size_t i = 0; i < G_N_ELEMENTS (daemons); i++)
    {
      if (arrivals[i][0] > 0 || arrivals[i][1] > 0)
        {
          fail_msg ("daemon %zu: %u arrivals at the leaving endpoint, %u at "
                    "the one of which the store has lost that it leaves",
                    i, arrivals[i][0], arrivals[i][1]);
        }
    }
}

/* Replaces the first engine by an empty one, and waits until it is ordered to
   hold layers.  */
static void
replace_engine (struct fixture *fixture)
{
  uint32_t before = fixture->orders;
  sfl_kill (fixture->fleet, 0);
  run_for (fixture, 100 * CLK_MS_US);
  sfl_restart (fixture->fleet, 0);
  int64_t end_us = clk_monotonic_us () + TIMEOUT_US;
  while (fixture->orders == before && clk_monotonic_us () < end_us)
    {
      run_for (fixture, 50 * CLK_MS_US);
    }
  assert_true (fixture->orders > before);
}

/* The fencing tokens of orders never fall, although a restore sets the
   generation of the group back.  */
static void
test_fence_after_restore (void **state)
{
  struct fixture *fixture = *state;
  run_for (fixture, CLK_S_US);
  int64_t start_us = clk_monotonic_us ();
  for (uint32_t i = 0; i < 5; i++)
    {
      sfl_rebalance (fixture->fleet);
    }
  run_for (fixture, COPY_AGE_US);
  replace_engine (fixture);
  uint64_t before = fixture->highest_fence;
  sfl_restore_store (fixture->fleet,
                     clk_monotonic_us () - start_us + 500 * CLK_MS_US,
                     NEVER_US);
  run_for (fixture, CLK_S_US);
  replace_engine (fixture);
  if (fixture->fence_fell || fixture->highest_fence <= before)
    {
      fail_msg ("before %lu, highest %lu, fell %d", (unsigned long)before,
                (unsigned long)fixture->highest_fence, fixture->fence_fell);
    }
}

/* A daemon that starts after the store has lost the removal of a key learns of
   the removal from another daemon's relay, and never serves the key.  */
static void
test_restart_after_restore (void **state)
{
  struct fixture *fixture = *state;
  struct sep_process *second = create_second_daemon (fixture);
  sfl_publish (fixture->fleet, 5, "key-2");
  run_for (fixture, COPY_AGE_US + 200 * CLK_MS_US);
  sfl_publish (fixture->fleet, 6, "key-2");
  sfl_publish (fixture->fleet, 8, NULL);
  run_for (fixture, 500 * CLK_MS_US);
  assert_int_equal (send_booking (fixture, "key-2"), 401);
  sfl_restore_store (fixture->fleet, 1000 * CLK_MS_US, NEVER_US);
  /* The operator writes the first of its lost versions again, several times,
     but not the second one yet. */
  for (uint32_t i = 0; i < 3; i++)
    {
      sfl_publish (fixture->fleet, 6, "key-2");
    }
  run_for (fixture, 500 * CLK_MS_US);
  sep_start (second);
  uint32_t served = 0;
  uint32_t denied = 0;
  int64_t end_us = clk_monotonic_us () + 3 * CLK_S_US;
  while (clk_monotonic_us () < end_us)
    {
      run_for (fixture, 10 * CLK_MS_US);
      uint32_t status = send_booking_to (fixture, second, "key-2");
      served += status == 200;
      denied += status == 401;
    }
  uint32_t status = send_booking_to (fixture, second, "key-1");
  sep_remove_files (second);
  sep_destroy (second);
  if (served > 0 || denied == 0 || status != 200)
    {
      fail_msg ("key-2 served %u times, denied %u times; key-1: %u", served,
                denied, status);
    }
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
    cmocka_unit_test (test_service_says_leaving),
    cmocka_unit_test (test_all_services_say_leaving),
    cmocka_unit_test (test_engines_say_leaving),
    cmocka_unit_test (test_leaving_said_in_report),
    cmocka_unit_test (test_leaving_said_to_order),
    cmocka_unit_test (test_service_turns_away),
    cmocka_unit_test (test_all_turn_away),
    cmocka_unit_test (test_engine_turns_away),
    cmocka_unit_test (test_leaving_endpoint),
    cmocka_unit_test (test_engine_dies),
    cmocka_unit_test (test_graceful_stop),
    cmocka_unit_test (test_stop_soon_after_start),
    cmocka_unit_test (test_stop_unseen_route),
    cmocka_unit_test (test_silent_endpoint),
  };
  /* Each of these changes the store in a way that outlasts the test. */
  const struct CMUnitTest restores[] = {
    cmocka_unit_test_setup_teardown (test_restore_during_requests, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_lost_configuration, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_reused_offset, set_up, tear_down),
    cmocka_unit_test_setup_teardown (test_fence_after_restore, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (test_restart_after_restore, set_up,
                                     tear_down),
  };
  int failed = cmocka_run_group_tests (tests, set_up, tear_down);
  return failed + cmocka_run_group_tests (restores, NULL, NULL);
}
