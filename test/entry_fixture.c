#include "test/entry_fixture.h"

#include "base/clock.h"
#include "platform/headers.h"
#include "soak/proxy.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

static bool
on_headers (void *context, uint32_t status, const struct msg_message *answer)
{
  struct efx_call *call = context;
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
  struct efx_call *call = context;
  g_string_append_len (call->body, bytes, (gssize)count);
}

static void
on_complete (void *context)
{
  struct efx_call *call = context;
  call->done = true;
  call->complete = true;
  call->took_us = clk_monotonic_us () - call->sent_us;
}

static void
on_failed (void *context, enum ncl_failure failure)
{
  (void)failure;
  struct efx_call *call = context;
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
  struct efx_fixture *fixture = timer->data;
  ncl_expire (fixture->client, clk_monotonic_us ());
}

/* Runs the loop for DURATION_US.  */
void
efx_run_for (struct efx_fixture *fixture, int64_t duration_us)
{
  int64_t end_us = clk_monotonic_us () + duration_us;
  while (clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_ONCE);
    }
}

/* Sends the complete request REQUEST on a new connection.  */
void
efx_start_call (struct efx_fixture *fixture, struct efx_call *call,
                const char *address, const char *request, size_t request_bytes)
{
  *call = (struct efx_call){
    .body = g_string_new (NULL),
    .sent_us = clk_monotonic_us (),
  };
  call->exchange = ncl_send (fixture->client, address, request, request_bytes,
                             true, &call_events, call);
  assert_non_null (call->exchange);
}

/* Waits until CALL has had the head of its answer and a part of the body.  */
void
efx_await_begun (struct efx_fixture *fixture, const struct efx_call *call)
{
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  while (call->body->len == 0 && clk_monotonic_us () < end_us)
    {
      efx_run_for (fixture, EFX_EVENT_MS * CLK_MS_US);
    }
  assert_true (call->body->len > 0);
}

/* Kills the daemon and waits until it is gone.  */
void
efx_kill_daemon (struct efx_fixture *fixture)
{
  int status = 0;
  sep_signal (fixture->daemon, SIGKILL);
  while (!sep_has_ended (fixture->daemon, &status))
    {
      efx_run_for (fixture, 20 * CLK_MS_US);
    }
}

void
efx_await_call (struct efx_fixture *fixture, struct efx_call *call)
{
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  while (!call->done && clk_monotonic_us () < end_us)
    {
      uv_run (&fixture->loop, UV_RUN_ONCE);
    }
  assert_true (call->done);
}

void
efx_clear_call (struct efx_call *call)
{
  g_string_free (call->body, TRUE);
}

/* Sends a readiness efx_probe, as the load balancer does.  Returns the HTTP
   status, or 0.  */
uint32_t
efx_probe (struct efx_fixture *fixture)
{
  static const char request[]
      = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  struct efx_call call;
  efx_start_call (fixture, &call, sep_ready_address (fixture->daemon), request,
                  strlen (request));
  efx_await_call (fixture, &call);
  uint32_t status = call.status;
  efx_clear_call (&call);
  return status;
}

/* Waits until the daemon is ready and the engines hold every layer.  */
void
efx_await_ready (struct efx_fixture *fixture)
{
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  while (clk_monotonic_us () < end_us
         && (!sfl_is_placed (fixture->fleet) || efx_probe (fixture) != 200))
    {
      efx_run_for (fixture, 50 * CLK_MS_US);
    }
  assert_true (sfl_is_placed (fixture->fleet));
  efx_run_for (fixture, CLK_MS_US * EFX_DRAIN_MS * 2);
}

static void
on_ordered (void *context, uint32_t endpoint, uint64_t fence, bool refused)
{
  (void)refused;
  struct efx_fixture *fixture = context;
  fixture->orders++;
  fixture->orders_to[endpoint]++;
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

/* Starts a daemon and a fleet with so many ENGINES and with LIMITS.  */
static int
set_up (void **state, uint32_t engines, const struct efx_limits *limits)
{
  struct efx_fixture *fixture = g_new0 (struct efx_fixture, 1);
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
    .engines = engines,
    .services = EFX_SERVICES,
    .event_ms = EFX_EVENT_MS,
    .header_bytes_max = limits->header_bytes_max,
    .body_bytes_max = limits->body_bytes_max,
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
    .descriptors = limits->descriptors,
    .memory_mb = limits->memory_mb,
    .drain_ms = EFX_DRAIN_MS,
    .config_ms = EFX_CONFIG_MS,
    .revoke_ms = EFX_REVOKE_MS,
    .stop_s = EFX_STOP_S,
    .retry_window_s = 2,
    .retry_ratio = 0.2,
    .retry_slack = 100,
  };
  fixture->daemon = sep_create (&daemon_params);
  sep_start (fixture->daemon);
  efx_await_ready (fixture);
  *state = fixture;
  return 0;
}

int
efx_set_up (void **state)
{
  return set_up (state, EFX_ENGINES, &(struct efx_limits){ 0 });
}

/* Like efx_set_up, for a fleet where several engines begin paths.  */
int
efx_set_up_large (void **state)
{
  return set_up (state, EFX_ENGINES_LARGE, &(struct efx_limits){ 0 });
}

/* Like efx_set_up, with other limits on callers.  */
int
efx_set_up_limited (void **state, const struct efx_limits *limits)
{
  return set_up (state, EFX_ENGINES, limits);
}

int
efx_tear_down (void **state)
{
  struct efx_fixture *fixture = *state;
  sep_remove_files (fixture->daemon);
  sep_destroy (fixture->daemon);
  ncl_destroy (fixture->client);
  for (guint i = 0; fixture->proxies != NULL && i < fixture->proxies->len; i++)
    {
      spx_destroy (g_ptr_array_index (fixture->proxies, i));
    }
  if (fixture->proxies != NULL)
    {
      g_ptr_array_free (fixture->proxies, TRUE);
    }
  uv_close ((uv_handle_t *)&fixture->tick, NULL);
  sfl_destroy (fixture->fleet);
  uv_run (&fixture->loop, UV_RUN_DEFAULT);
  uv_loop_close (&fixture->loop);
  rmdir (fixture->folder);
  g_free (fixture->folder);
  g_free (fixture);
  return 0;
}

/* Builds a request with the request id ID.  Its account header is forged, so
   the daemon must replace it.  The caller frees it.  */
char *
efx_build_request (const char *method, const char *host, const char *path,
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
GString *
efx_expected_stream (const char *id)
{
  GString *text = g_string_new (NULL);
  for (uint32_t i = 1; i <= SFL_STREAM_EVENTS; i++)
    {
      g_string_append_printf (text, "id: %u\ndata: %s-%u\n\n", i, id, i);
    }
  return text;
}

/* Sends one booking with the API key KEY to DAEMON.  Returns the HTTP status.
 */
uint32_t
efx_send_booking_to (struct efx_fixture *fixture,
                     const struct sep_process *daemon, const char *key)
{
  struct efx_call call;
  char id[32];
  g_snprintf (id, sizeof id, "book-%u", fixture->next_id++);
  char *request
      = efx_build_request ("POST", EFX_FLEET_HOST, "/book/a", key, id, "");
  efx_start_call (fixture, &call, sep_caller_address (daemon), request,
                  strlen (request));
  efx_await_call (fixture, &call);
  uint32_t status = call.status;
  efx_clear_call (&call);
  g_free (request);
  return status;
}

/* Sends one booking with the API key KEY.  Returns the HTTP status.  */
uint32_t
efx_send_booking (struct efx_fixture *fixture, const char *key)
{
  return efx_send_booking_to (fixture, fixture->daemon, key);
}

/* Returns the value of SETTING, a text, in the settings of DAEMON, allocated.
 */
char *
efx_read_setting (const struct efx_fixture *fixture, const char *daemon,
                  const char *setting)
{
  g_autofree char *file = g_strdup_printf ("%s.yaml", daemon);
  g_autofree char *path = g_build_filename (fixture->folder, file, NULL);
  g_autofree char *text = NULL;
  g_autofree char *key = g_strdup_printf ("%s: \"", setting);
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  const char *value = strstr (text, key);
  assert_non_null (value);
  value += strlen (key);
  return g_strndup (value, strcspn (value, "\""));
}

/* Creates the daemon NAME, which finds the store at STORE_ADDRESS, or where it
   is if NULL, and which may use so many STORE_PARTITIONS, 0 being the default.
 */
struct sep_process *
efx_create_daemon (struct efx_fixture *fixture, const char *name,
                   const char *store_address, uint32_t store_partitions)
{
  const struct sep_params params = {
    .name = name,
    .folder = fixture->folder,
    .store_address = store_address == NULL ? sfl_store_address (fixture->fleet)
                                           : store_address,
    .store_partitions = store_partitions,
    .drain_ms = EFX_DRAIN_MS,
    .config_ms = EFX_CONFIG_MS,
    .revoke_ms = EFX_REVOKE_MS,
    .stop_s = EFX_STOP_S,
    .retry_window_s = 2,
    .retry_ratio = 0.2,
    .retry_slack = 100,
  };
  return sep_create (&params);
}

/* Creates a second daemon like efx_create_daemon, whose settings name the
   relay of the first one if KNOWS_RELAY.  With few STORE_PARTITIONS it reads
   from that relay even while the store works.  */
struct sep_process *
efx_create_second (struct efx_fixture *fixture, const char *store_address,
                   uint32_t store_partitions, bool knows_relay)
{
  struct sep_process *second = efx_create_daemon (
      fixture, "entry-2", store_address, store_partitions);
  if (!knows_relay)
    {
      return second;
    }
  g_autofree char *relay
      = efx_read_setting (fixture, "entry-1", "relay_address");
  g_autofree char *path
      = g_build_filename (fixture->folder, "entry-2.yaml", NULL);
  FILE *settings = fopen (path, "a");
  assert_non_null (settings);
  fprintf (settings, "relays: [\"%s\"]\n", relay);
  fclose (settings);
  return second;
}

/* Starts SECOND and waits until it serves.  */
void
efx_start_second (struct efx_fixture *fixture, struct sep_process *second)
{
  sep_start (second);
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  uint32_t status = 0;
  while (status != 200 && clk_monotonic_us () < end_us)
    {
      efx_run_for (fixture, 50 * CLK_MS_US);
      status = efx_send_booking_to (fixture, second, "key-1");
    }
  assert_int_equal (status, 200);
}

/* Replaces the first engine by an empty one, and waits until it is ordered to
   hold layers.  Returns false when it isn't.  */
bool
efx_replace_engine (struct efx_fixture *fixture)
{
  uint32_t before = fixture->orders;
  sfl_kill (fixture->fleet, 0);
  efx_run_for (fixture, 100 * CLK_MS_US);
  sfl_restart (fixture->fleet, 0);
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  while (fixture->orders == before && clk_monotonic_us () < end_us)
    {
      efx_run_for (fixture, 50 * CLK_MS_US);
    }
  return fixture->orders > before;
}

/* Waits until the daemon, which is stopping, has ended, and checks that it
   exited normally.  */
void
efx_await_exit (struct efx_fixture *fixture)
{
  int status = -1;
  int64_t end_us = clk_monotonic_us () + EFX_STOP_S * CLK_S_US;
  while (!sep_has_ended (fixture->daemon, &status)
         && clk_monotonic_us () < end_us)
    {
      efx_run_for (fixture, 20 * CLK_MS_US);
    }
  assert_true (WIFEXITED (status));
  assert_int_equal (WEXITSTATUS (status), 0);
}

/* Sends a stream that may have OUTPUT_TOKENS tokens, in VERSION of HTTP.  */
void
efx_start_stream_as (struct efx_fixture *fixture, struct efx_call *call,
                     uint32_t output_tokens, const char *version)
{
  g_autofree char *request = g_strdup_printf (
      "POST /draft/a %s\r\nHost: " EFX_FLEET_HOST
      "\r\nX-Api-Key: key-1\r\nX-Own: 1\r\n" PFH_REQUEST_ID
      ": late-%u\r\n" PFH_TIME_LEFT_MS ": 9000\r\n" PFH_TOKENS
      ": 40,%u\r\nContent-Length: 0\r\n\r\n",
      version, fixture->next_id++, output_tokens);
  efx_start_call (fixture, call, sep_caller_address (fixture->daemon), request,
                  strlen (request));
}

/* Sends a stream that may have OUTPUT_TOKENS tokens.  */
void
efx_start_stream (struct efx_fixture *fixture, struct efx_call *call,
                  uint32_t output_tokens)
{
  efx_start_stream_as (fixture, call, output_tokens, "HTTP/1.1");
}
