/* Tests of the entry daemon: crowds of callers outside the limits.  The
   process must live and stay within the memory and the descriptors that its
   settings name, and an ordinary request must be answered while the crowd is
   still connected.  Crowd and bounds follow from the settings below. */
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "platform/headers.h"
#include "standin/process_status.h"
#include "test/crowd.h"

/* The memory of the host.  It holds the daemon itself and a few bodies of
   BODY_BYTES_MAX, the limit that the test's configuration publishes. */
#define MEMORY_MB 48
#define BODY_BYTES_MAX 1048576

/* The bodies of a crowd are together twice the memory. */
#define CROWD (2 * MEMORY_MB)

/* The daemon accepts half as many callers as it may open descriptors, which is
   more than a crowd. */
#define DESCRIPTORS 256

/* Callers that connect and say nothing: more than the daemon accepts. */
#define SILENT_CALLERS 200

/* The longest time in which a crowd sends, and the time for which it then
   stays connected. */
#define SEND_US (8 * CLK_S_US)
#define HOLD_US (1500 * CLK_MS_US)
#define ROUND_US (10 * CLK_MS_US)

/* Time in which a socket that isn't full takes more. */
#define FILL_US (200 * CLK_MS_US)

/* A large body that arrives piece by piece. */
#define PIECE_BYTES 2048
#define LARGEST "Content-Length: 1048576\r\n\r\n"

static const struct efx_limits limits = {
  .body_bytes_max = BODY_BYTES_MAX,
  .descriptors = DESCRIPTORS,
  .memory_mb = MEMORY_MB,
};

#define CROWD_HEAD                                                            \
  "POST /sum/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST                             \
  "\r\nX-Api-Key: key-1\r\n" PFH_REQUEST_ID ": crowd-%u\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define GET                                                                   \
  "GET /look/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST                             \
  "\r\nX-Api-Key: key-1\r\n" PFH_REQUEST_ID ": crowd\r\n\r\n"

static const struct crw_load loads[] = {
  { .name = "chunked bodies, large chunks",
    .callers = CROWD,
    .chunk_bytes = 65536,
    .headers = CHUNKED,
    .bytes = BODY_BYTES_MAX,
    .end = "0\r\n\r\n" },
  { .name = "chunked bodies, chunks of a byte",
    .callers = CROWD,
    .chunk_bytes = 1,
    .headers = CHUNKED,
    .bytes = BODY_BYTES_MAX / 2 + 1,
    .end = "0\r\n\r\n" },
  { .name = "bodies that stop short of their end",
    .callers = CROWD,
    .chunk_bytes = 16384,
    .headers = CHUNKED,
    .bytes = BODY_BYTES_MAX,
    .end = "" },
  { .name = "announced bodies that stop short of their end",
    .callers = CROWD,
    .headers = LARGEST,
    .unit = "x",
    .bytes = BODY_BYTES_MAX - 1,
    .end = "" },
  { .name = "bodies over the limit, announced",
    .callers = CROWD,
    .headers = "Content-Length: 67108864\r\n\r\n",
    .unit = "x",
    .bytes = (uint64_t)64 * BODY_BYTES_MAX,
    .end = "" },
  { .name = "bodies over the limit, sent",
    .callers = CROWD,
    .chunk_bytes = 65536,
    .headers = CHUNKED,
    .bytes = (uint64_t)64 * BODY_BYTES_MAX,
    .end = "" },
  { .name = "heads without end",
    .callers = CROWD,
    .headers = "",
    .unit = "X-Filler: abcdefghijklmnop\r\n",
    .bytes = BODY_BYTES_MAX,
    .end = "" },
  { .name = "chunk extensions without end",
    .callers = CROWD,
    .headers = CHUNKED,
    .unit = "1;abcdefghijklmnop",
    .bytes = BODY_BYTES_MAX,
    .end = "" },
  { .name = "trailers without end",
    .callers = CROWD,
    .headers = CHUNKED "0\r\n",
    .unit = "X-Filler: abcdefghijklmnop\r\n",
    .bytes = BODY_BYTES_MAX,
    .end = "" },
  { .name = "a byte now and then",
    .callers = CROWD,
    .chunk_bytes = 16384,
    .headers = CHUNKED,
    .bytes = BODY_BYTES_MAX / 2 + 16384,
    .end = "",
    .trickle = "1\r\nx\r\n" },
  { .name = "pipelined requests, responses not read",
    .callers = CROWD,
    .headers = "Content-Length: 0\r\n\r\n",
    .unit = GET,
    .bytes = 61440,
    .end = "" },
  { .name = "callers that say nothing", .callers = SILENT_CALLERS, .end = "" },
  { .name = "announced bodies, whole",
    .callers = CROWD,
    .headers = LARGEST,
    .unit = "x",
    .bytes = BODY_BYTES_MAX,
    .end = "" },
  { .name = "announced bodies, whole, that no endpoint answers",
    .callers = CROWD,
    .headers = LARGEST,
    .unit = "x",
    .bytes = BODY_BYTES_MAX,
    .end = "",
    .unanswered = true },
  { .name = "announced bodies, piece by piece",
    .callers = CROWD,
    .headers = LARGEST,
    .unit = "x",
    .bytes = BODY_BYTES_MAX,
    .end = "",
    .piece_bytes = PIECE_BYTES },
  { .name = "announced bodies, piece by piece, that stop short of their end",
    .callers = CROWD,
    .headers = LARGEST,
    .unit = "x",
    .bytes = BODY_BYTES_MAX - 1,
    .end = "",
    .piece_bytes = PIECE_BYTES },
  { .name = "chunked bodies that no endpoint answers",
    .callers = CROWD,
    .chunk_bytes = 16384,
    .headers = CHUNKED,
    .bytes = BODY_BYTES_MAX,
    .end = "0\r\n\r\n",
    .unanswered = true },
};

/* A crowd whose callers send different loads in turn, the first MIXED_LOADS.
 */
#define MIX G_N_ELEMENTS (loads)
#define MIXED_LOADS 12

/* Lets CALLERS send all they have, in turn, and then stay connected.  Returns
   the most descriptors that the daemon had open.  */
static uint32_t
run_crowd (struct efx_fixture *fixture, struct crw_caller *callers,
           uint32_t count)
{
  int64_t end_us = clk_monotonic_us () + SEND_US;
  uint32_t most = 0;
  bool sending = true;
  while (sending && clk_monotonic_us () < end_us)
    {
      sending = crw_send_round (callers, count);
      most = MAX (most, sep_descriptor_count (fixture->daemon));
      uv_run (&fixture->loop, UV_RUN_NOWAIT);
    }
  end_us = clk_monotonic_us () + HOLD_US;
  while (clk_monotonic_us () < end_us)
    {
      crw_trickle_round (callers, count);
      most = MAX (most, sep_descriptor_count (fixture->daemon));
      efx_run_for (fixture, ROUND_US);
    }
  return most;
}

/* Sends ordinary requests, while the crowd is connected, until one is served.
   Returns false if none is.  */
static bool
is_served (struct efx_fixture *fixture)
{
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  bool served = false;
  while (!served && clk_monotonic_us () < end_us)
    {
      served = efx_send_booking (fixture, "key-1") == 200;
      efx_run_for (fixture, ROUND_US * 10);
    }
  return served;
}

/* Plays the load at ROW, or all in turn, against a daemon of its own.  Returns
   true if the daemon has kept to the bounds.  */
static bool
play_load (size_t row)
{
  struct efx_fixture *fixture = NULL;
  uint32_t count = row == MIX ? CROWD : loads[row].callers;
  g_autofree struct crw_caller *callers = g_new0 (struct crw_caller, count);
  int status = 0;
  efx_set_up_limited ((void **)&fixture, &limits);
  assert_true (sep_reset_memory_peak (fixture->daemon));
  uint64_t before_kb = sep_memory_kb (fixture->daemon);
  for (uint32_t i = 0; i < count; i++)
    {
      g_autofree char *head = g_strdup_printf (CROWD_HEAD, i);
      crw_open (&callers[i], &loads[row == MIX ? i % MIXED_LOADS : row],
                sep_caller_address (fixture->daemon), head);
    }
  bool unanswered = row != MIX && loads[row].unanswered;
  if (unanswered)
    {
      sfl_set_fault (fixture->fleet, false, SFL_NEVER_ANSWERS, UINT32_MAX);
    }
  uint32_t descriptors = run_crowd (fixture, callers, count);
  sfl_end_fault (fixture->fleet, false, SFL_NEVER_ANSWERS);
  bool served = is_served (fixture);
  uint64_t peak_kb = sep_memory_peak_kb (fixture->daemon);
  bool ended = sep_has_ended (fixture->daemon, &status);
  uint32_t closed = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      closed += callers[i].closed;
      crw_close (&callers[i]);
    }
  bool kept = !ended && served && crw_is_within_memory (peak_kb, MEMORY_MB)
              && descriptors <= DESCRIPTORS;
  print_message ("%s: %s; ended %d (status %d), served %d, %lu KiB before, "
                 "at most %lu KiB, at most %u descriptors, %u of %u closed\n",
                 row == MIX ? "a mix" : loads[row].name,
                 kept ? "kept" : "NOT KEPT", ended, status, served,
                 (unsigned long)before_kb, (unsigned long)peak_kb, descriptors,
                 closed, count);
  efx_tear_down ((void **)&fixture);
  return kept;
}

/* Guards against a daemon that a crowd of callers ends by its memory or its
   descriptors, or keeps from answering others.  */
static void
test_crowds (void **state)
{
  (void)state;
  uint32_t failed = 0;
  for (size_t row = 0; row <= MIX; row++)
    {
      failed += !play_load (row);
    }
  assert_int_equal (failed, 0);
}

/* Lets CALLERS send until their sockets take no more.  */
static void
fill_sockets (struct crw_caller *callers, uint32_t count)
{
  uint64_t sent = 0;
  uint64_t before = 1;
  while (sent != before)
    {
      before = sent;
      sent = 0;
      g_usleep (FILL_US);
      for (uint32_t i = 0; i < count; i++)
        {
          crw_send_round (&callers[i], 1);
          sent += callers[i].sent;
        }
    }
}

/* Guards against a process that is ended since it stands still for a time:
   what the kernel keeps for it until it is read counts toward the memory of
   the host.  */
static void
test_stopped_daemon (void **state)
{
  static const struct crw_load load = {
    .headers = LARGEST,
    .unit = "x",
    .bytes = BODY_BYTES_MAX,
    .end = "",
  };
  struct efx_fixture *fixture = NULL;
  struct crw_caller callers[SILENT_CALLERS];
  int status = 0;
  (void)state;
  efx_set_up_limited ((void **)&fixture, &limits);
  const char *address = sep_caller_address (fixture->daemon);
  const char *port = strrchr (address, ':') + 1;
  sep_signal (fixture->daemon, SIGSTOP);
  for (uint32_t i = 0; i < SILENT_CALLERS; i++)
    {
      g_autofree char *head = g_strdup_printf (CROWD_HEAD, i);
      crw_open (&callers[i], &load, address, head);
    }
  fill_sockets (callers, SILENT_CALLERS);
  uint64_t memory_kb = sep_memory_kb (fixture->daemon);
  uint64_t unread_kb = pst_unread_kb ((uint16_t)atoi (port));
  sep_signal (fixture->daemon, SIGCONT);
  run_crowd (fixture, callers, SILENT_CALLERS);
  bool served = is_served (fixture);
  bool ended = sep_has_ended (fixture->daemon, &status);
  uint64_t peak_kb = sep_memory_peak_kb (fixture->daemon);
  print_message ("%lu KiB and %lu KiB unread while stopped, at most %lu KiB "
                 "then, served %d\n",
                 (unsigned long)memory_kb, (unsigned long)unread_kb,
                 (unsigned long)peak_kb, served);
  for (uint32_t i = 0; i < SILENT_CALLERS; i++)
    {
      crw_close (&callers[i]);
    }
  efx_tear_down ((void **)&fixture);
  assert_true (crw_is_within_memory (memory_kb + unread_kb, MEMORY_MB));
  assert_true (crw_is_within_memory (peak_kb, MEMORY_MB));
  assert_true (served);
  assert_false (ended);
}

/* Limits of test_long_heads: as many callers as the daemon accepts send heads
   that are together a fifth of the memory.  */
#define LONG_HEAD_BYTES 16384
#define LONG_HEAD_DESCRIPTORS 1200
#define LONG_HEAD_CALLERS 590

/* Guards against heads whose copies fill the memory, as nothing charges for
   them: requests with long ids that wait for an endpoint.  */
static void
test_long_heads (void **state)
{
  static const struct crw_load load
      = { .headers = "\r\n", .unit = "x", .end = "" };
  static const struct efx_limits head_limits = {
    .header_bytes_max = LONG_HEAD_BYTES,
    .descriptors = LONG_HEAD_DESCRIPTORS,
    .memory_mb = MEMORY_MB,
  };
  struct efx_fixture *fixture = NULL;
  g_autofree struct crw_caller *callers
      = g_new0 (struct crw_caller, LONG_HEAD_CALLERS);
  g_autofree char *filler = g_strnfill (LONG_HEAD_BYTES - 128, 'i');
  int status = 0;
  (void)state;
  efx_set_up_limited ((void **)&fixture, &head_limits);
  assert_true (sep_reset_memory_peak (fixture->daemon));
  sfl_set_fault (fixture->fleet, false, SFL_NEVER_ANSWERS, UINT32_MAX);
  for (uint32_t i = 0; i < LONG_HEAD_CALLERS; i++)
    {
      g_autofree char *head = g_strdup_printf (
          "GET /sum/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST
          "\r\nX-Api-Key: key-1\r\n" PFH_REQUEST_ID ": %s-%u\r\n",
          filler, i);
      crw_open (&callers[i], &load, sep_caller_address (fixture->daemon),
                head);
    }
  run_crowd (fixture, callers, LONG_HEAD_CALLERS);
  uint64_t peak_kb = sep_memory_peak_kb (fixture->daemon);
  sfl_end_fault (fixture->fleet, false, SFL_NEVER_ANSWERS);
  bool served = is_served (fixture);
  bool ended = sep_has_ended (fixture->daemon, &status);
  print_message ("at most %lu KiB, served %d, ended %d\n",
                 (unsigned long)peak_kb, served, ended);
  for (uint32_t i = 0; i < LONG_HEAD_CALLERS; i++)
    {
      crw_close (&callers[i]);
    }
  efx_tear_down ((void **)&fixture);
  assert_true (crw_is_within_memory (peak_kb, MEMORY_MB));
  assert_true (served);
  assert_false (ended);
}

/* Guards against a limit on memory that refuses a single request inside the
   limits, with the largest body.  */
static void
test_largest_body (void **state)
{
  struct efx_fixture *fixture = NULL;
  g_autofree char *body = g_strnfill (BODY_BYTES_MAX, 'x');
  (void)state;
  efx_set_up_limited ((void **)&fixture, &limits);
  for (uint32_t i = 0; i < 3; i++)
    {
      struct efx_call call;
      g_autofree char *id = g_strdup_printf ("largest-%u", i);
      g_autofree char *request = efx_build_request (
          "POST", EFX_FLEET_HOST, "/sum/a", "key-1", id, body);
      efx_start_call (fixture, &call, sep_caller_address (fixture->daemon),
                      request, strlen (request));
      efx_await_call (fixture, &call);
      assert_int_equal (call.status, 200);
      efx_clear_call (&call);
    }
  efx_tear_down ((void **)&fixture);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_largest_body),
    cmocka_unit_test (test_stopped_daemon),
    cmocka_unit_test (test_long_heads),
    cmocka_unit_test (test_crowds),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
