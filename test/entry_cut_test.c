/* Tests of an entry daemon that is cut off from all endpoints, while callers,
   the store and another daemon still reach it. */
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "platform/headers.h"
#include "soak/proxy.h"

#include <string.h>

/* Time that the daemon has to find out, see quarantine_ms. */
#define NOTICE_US (1000 * CLK_MS_US)

/* Requests of each kind while the daemon is cut off, and their interval. */
#define REQUESTS 20
#define REQUEST_US (25 * CLK_MS_US)

/* Neighbours that are cut off like the daemon under test. */
#define CUT_NEIGHBOURS 7

/* Time within which a request that can't be served is refused; the time-out of
   its route is 600 ms. */
#define REFUSAL_MAX_US (300 * CLK_MS_US)

/* How the cut shows. */
enum cut
{
  CUT_SILENT, /* connections hang, new ones fail */
  CUT_RESET,  /* connections are reset, new ones fail */
  CUT_NEW,    /* connections live on, new ones fail */
  CUT_MUTE    /* connections hang, new ones too */
};

/* Limit on the time that a draft takes while its daemon is cut off: the target
   of its route, and the time that its events take. */
#define DRAFT_MAX_US                                                          \
  (500 * CLK_MS_US + (int64_t)SFL_STREAM_EVENTS * EFX_EVENT_MS * CLK_MS_US)

/* Creates a proxy to the endpoint at ADDRESS, which only the daemon under test
   uses.  */
static char *
create_detour (void *context, const char *address)
{
  struct efx_fixture *fixture = context;
  struct spx_proxy *proxy = spx_create (&fixture->loop, address);
  g_ptr_array_add (fixture->proxies, proxy);
  return g_strdup (spx_address (proxy));
}

/* Cuts the ways to the first COUNT endpoints, of which the engines are the
   first, or mends them.  */
static void
set_cut (struct efx_fixture *fixture, uint32_t count, bool is_cut,
         enum cut cut)
{
  static const enum spx_mode modes[] = {
    [CUT_SILENT] = SPX_HOLD_ALL,
    [CUT_RESET] = SPX_RESET,
    [CUT_NEW] = SPX_PASS,
    [CUT_MUTE] = SPX_HOLD_ALL,
  };
  for (guint i = 0; i < MIN (count, fixture->proxies->len); i++)
    {
      struct spx_proxy *proxy = g_ptr_array_index (fixture->proxies, i);
      spx_set_listening (proxy, !is_cut || cut == CUT_MUTE);
      spx_set_mode (proxy, is_cut ? modes[cut] : SPX_PASS, 0);
    }
}

/* Starts the daemon under test, whose ways to endpoints lead over the
   proxies, as the store at DETOUR says.  The neighbour is started later, or
   its relay would tell it the direct ones.  */
static struct sep_process *
start_daemon (struct efx_fixture *fixture, const char **detour)
{
  efx_kill_daemon (fixture);
  *detour = sfl_open_detour (fixture->fleet, create_detour, fixture);
  struct sep_process *daemon = efx_create_second (fixture, *detour, 0, false);
  efx_start_second (fixture, daemon);
  sep_start (fixture->daemon);
  efx_run_for (fixture, CLK_S_US);
  efx_await_ready (fixture);
  efx_run_for (fixture, 2 * CLK_S_US);
  return daemon;
}

/* Sends a request of the KIND, 0 to 2, to DAEMON.  Returns its id, which the
   caller frees.  */
static char *
start_request (struct efx_fixture *fixture, struct efx_call *call,
               const struct sep_process *daemon, uint32_t kind)
{
  static const char *const paths[] = { "/draft/a", "/book/a", "/look/a" };
  char *id = g_strdup_printf ("cut-%u", fixture->next_id++);
  g_autofree char *request = efx_build_request ("POST", EFX_FLEET_HOST,
                                                paths[kind], "key-1", id, id);
  efx_start_call (fixture, call, sep_caller_address (daemon), request,
                  strlen (request));
  return id;
}

/* Sends REQUESTS of each kind to DAEMON.  Returns how many are served, and
   adds the drafts that take too long to LATE unless that is NULL; fails if one
   has run more often than it may, or answers another.  */
static uint32_t
count_served (struct efx_fixture *fixture, const struct sep_process *daemon,
              uint32_t *late)
{
  enum
  {
    KINDS = 3
  };
  struct efx_call calls[REQUESTS * KINDS];
  char *ids[REQUESTS * KINDS];
  uint32_t served = 0;
  for (uint32_t i = 0; i < REQUESTS * KINDS; i++)
    {
      ids[i] = start_request (fixture, &calls[i], daemon, i % KINDS);
      efx_run_for (fixture, REQUEST_US);
    }
  for (uint32_t i = 0; i < REQUESTS * KINDS; i++)
    {
      efx_await_call (fixture, &calls[i]);
      bool success = calls[i].status == 200 && calls[i].complete;
      served += success;
      if (late != NULL && i % KINDS == 0)
        {
          *late += !success || calls[i].took_us > DRAFT_MAX_US;
        }
      if (success && i % KINDS > 0)
        {
          g_autofree char *expected = g_strdup_printf ("done %s", ids[i]);
          assert_string_equal (calls[i].body->str, expected);
        }
      else if (success)
        {
          GString *expected = efx_expected_stream (ids[i]);
          assert_string_equal (calls[i].body->str, expected->str);
          g_string_free (expected, TRUE);
        }
      uint32_t runs = sfl_run_count (fixture->fleet, ids[i]);
      assert_true (runs <= 1 || i % KINDS != 1);
      assert_true (runs == 0 || calls[i].status != 503 || i % KINDS != 1);
      efx_clear_call (&calls[i]);
      g_free (ids[i]);
    }
  return served;
}

/* Sends drafts to DAEMON one after the other until DURATION_US has passed.  */
static void
send_drafts_for (struct efx_fixture *fixture, const struct sep_process *daemon,
                 int64_t duration_us)
{
  int64_t end_us = clk_monotonic_us () + duration_us;
  while (clk_monotonic_us () < end_us)
    {
      struct efx_call call;
      g_free (start_request (fixture, &call, daemon, 0));
      efx_run_for (fixture, REQUEST_US * 4);
      efx_await_call (fixture, &call);
      efx_clear_call (&call);
    }
}

/* Guards against a daemon that refuses what its neighbours have room for: the
   requests of its callers are served while it is cut off, and again by its own
   ways afterwards.  */
static void
test_cut_off_from_all_endpoints (void **state)
{
  static const struct
  {
    const char *name;
    enum cut cut;
  } cases[] = {
    { "connections hang", CUT_SILENT },
    { "connections are reset", CUT_RESET },
    { "only new connections fail", CUT_NEW },
  };
  struct efx_fixture *fixture = *state;
  fixture->proxies = g_ptr_array_new ();
  const char *detour = NULL;
  struct sep_process *daemon = start_daemon (fixture, &detour);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint32_t before = count_served (fixture, daemon, NULL);
      set_cut (fixture, UINT32_MAX, true, cases[i].cut);
      send_drafts_for (fixture, daemon, NOTICE_US);
      uint32_t during = count_served (fixture, daemon, NULL);
      set_cut (fixture, UINT32_MAX, false, cases[i].cut);
      efx_run_for (fixture, 2 * NOTICE_US);
      uint32_t after = count_served (fixture, daemon, NULL);
      print_message ("%s: %u served before, %u during, %u after\n",
                     cases[i].name, before, during, after);
      if (before * 10 < REQUESTS * 27 || during * 10 < REQUESTS * 27
          || after * 10 < REQUESTS * 27)
        {
          fail_msg ("%s: %u served before, %u during, %u after", cases[i].name,
                    before, during, after);
        }
    }
  sep_remove_files (daemon);
  sep_destroy (daemon);
}

/* Returns a look-up whose header lines have BYTES in all: its id fills them,
   or many short lines if SHORT_LINES, as they grow when they are forwarded.
   The caller frees it.  */
static char *
build_look_up (const char *id, size_t bytes, bool short_lines)
{
  GString *lines = g_string_new ("Host: " EFX_FLEET_HOST "\r\nX-Api-Key: "
                                 "key-1\r\nX-Own: 1\r\n");
  while (short_lines && lines->len + 100 < bytes)
    {
      g_string_append (lines, "a:b\r\n");
    }
  g_string_append_printf (lines, PFH_REQUEST_ID ": %s", id);
  while (lines->len < bytes)
    {
      g_string_append_c (lines, 'x');
    }
  char *request
      = g_strdup_printf ("GET /look/a HTTP/1.1\r\n%s\r\n\r\n", lines->str);
  g_string_free (lines, TRUE);
  return request;
}

/* Guards against a neighbour that refuses a proper request since its head grew
   beyond the limit as it was passed on.  The caller would take the 431 for a
   final answer.  What can't be passed on gets a 503 at once.  */
static void
test_long_head_is_passed_on (void **state)
{
  static const struct
  {
    const char *name;
    uint32_t below; /* bytes below the limit of the configuration */
    bool short_lines;
    uint32_t status;
  } rows[] = {
    { "far below the limit", 2000, false, 200 },
    { "a little below it", 60, false, 200 },
    { "at the limit", 0, false, 200 },
    { "at the limit, in short lines", 0, true, 503 },
  };
  struct efx_fixture *fixture = *state;
  fixture->proxies = g_ptr_array_new ();
  const char *detour = NULL;
  struct sep_process *daemon = start_daemon (fixture, &detour);
  set_cut (fixture, UINT32_MAX, true, CUT_RESET);
  send_drafts_for (fixture, daemon, NOTICE_US);
  count_served (fixture, daemon, NULL);
  uint32_t failures = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct efx_call call;
      g_autofree char *id = g_strdup_printf ("long-%zu-", i);
      g_autofree char *request = build_look_up (
          id, SFL_HEADER_BYTES_MAX - rows[i].below, rows[i].short_lines);
      efx_start_call (fixture, &call, sep_caller_address (daemon), request,
                      strlen (request));
      efx_await_call (fixture, &call);
      bool in_time = call.took_us < REFUSAL_MAX_US;
      if (call.status != rows[i].status || !call.complete || !in_time)
        {
          failures++;
          print_message ("%s: status %u after %ld ms\n", rows[i].name,
                         call.status, (long)(call.took_us / CLK_MS_US));
        }
      efx_clear_call (&call);
    }
  assert_int_equal (failures, 0);
  sep_remove_files (daemon);
  sep_destroy (daemon);
}

/* Guards against a part of a stream that looks complete since the neighbour
   that it was passed on to was killed: the engine's answer has no length, and
   neither has the neighbour's.  */
static void
test_neighbour_is_killed (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call call;
  fixture->proxies = g_ptr_array_new ();
  const char *detour = NULL;
  struct sep_process *daemon = start_daemon (fixture, &detour);
  set_cut (fixture, UINT32_MAX, true, CUT_RESET);
  send_drafts_for (fixture, daemon, NOTICE_US);
  sfl_set_fault (fixture->fleet, true, SFL_WITHOUT_LENGTH, 1);
  g_autofree char *id = start_request (fixture, &call, daemon, 0);
  efx_await_begun (fixture, &call);
  efx_kill_daemon (fixture);
  efx_await_call (fixture, &call);
  GString *expected = efx_expected_stream (id);
  print_message ("%zu of %zu bytes, complete %d\n", call.body->len,
                 expected->len, call.complete);
  assert_int_equal (call.status, 200);
  assert_in_range (call.body->len, 1, expected->len - 1);
  assert_true (call.ends_with_connection);
  assert_false (call.complete);
  g_string_free (expected, TRUE);
  efx_clear_call (&call);
  sep_remove_files (daemon);
  sep_destroy (daemon);
}

/* Guards against answers of one service that hide a cut from another, and
   against requests of callers that find out whether a cut has ended: drafts
   are in time while the engines are out of reach and the plain service isn't.
 */
static void
test_cut_off_from_engines (void **state)
{
  struct efx_fixture *fixture = *state;
  fixture->proxies = g_ptr_array_new ();
  const char *detour = NULL;
  struct sep_process *daemon = start_daemon (fixture, &detour);
  uint32_t late = 0;
  count_served (fixture, daemon, NULL);
  set_cut (fixture, EFX_ENGINES_LARGE, true, CUT_MUTE);
  send_drafts_for (fixture, daemon, 2 * NOTICE_US);
  uint32_t during = count_served (fixture, daemon, &late);
  set_cut (fixture, EFX_ENGINES_LARGE, false, CUT_MUTE);
  efx_run_for (fixture, 2 * NOTICE_US);
  uint32_t after = count_served (fixture, daemon, NULL);
  print_message ("%u served during, %u drafts late, %u served after\n", during,
                 late, after);
  assert_true (during * 10 >= REQUESTS * 27);
  assert_int_equal (late, 0);
  assert_true (after * 10 >= REQUESTS * 27);
  sep_remove_files (daemon);
  sep_destroy (daemon);
}

/* Guards against refusals of neighbours that are cut off too: with many of
   them and one that isn't, all drafts are served.  */
static void
test_cut_off_neighbours (void **state)
{
  struct efx_fixture *fixture = *state;
  struct sep_process *others[CUT_NEIGHBOURS];
  fixture->proxies = g_ptr_array_new ();
  const char *detour = NULL;
  struct sep_process *daemon = start_daemon (fixture, &detour);
  for (uint32_t i = 0; i < CUT_NEIGHBOURS; i++)
    {
      g_autofree char *name = g_strdup_printf ("entry-%u", i + 3);
      others[i] = efx_create_daemon (fixture, name, detour, 0);
      efx_start_second (fixture, others[i]);
    }
  efx_run_for (fixture, 4 * CLK_S_US); /* until all are in the directory */
  set_cut (fixture, EFX_ENGINES_LARGE, true, CUT_MUTE);
  send_drafts_for (fixture, daemon, NOTICE_US);
  for (uint32_t i = 0; i < CUT_NEIGHBOURS; i++)
    {
      send_drafts_for (fixture, others[i], NOTICE_US);
    }
  uint32_t late = 0;
  uint32_t served = count_served (fixture, daemon, &late);
  print_message ("%u served beside %u that are cut off too, %u drafts late\n",
                 served, CUT_NEIGHBOURS, late);
  assert_int_equal (served, REQUESTS * 3);
  assert_int_equal (late, 0);
  for (uint32_t i = 0; i < CUT_NEIGHBOURS; i++)
    {
      sep_remove_files (others[i]);
      sep_destroy (others[i]);
    }
  sep_remove_files (daemon);
  sep_destroy (daemon);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_cut_off_from_all_endpoints,
                                     efx_set_up, efx_tear_down),
    cmocka_unit_test_setup_teardown (test_long_head_is_passed_on, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_neighbour_is_killed, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_cut_off_from_engines,
                                     efx_set_up_large, efx_tear_down),
    cmocka_unit_test_setup_teardown (test_cut_off_neighbours, efx_set_up_large,
                                     efx_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
