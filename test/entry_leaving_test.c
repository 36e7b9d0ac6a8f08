/* Tests of the entry daemon: endpoints that say in their answers that they
   leave, or turn requests away for a time.  */
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "platform/headers.h"

#include <math.h>
#include <string.h>

/* Number of requests in a burst. */
#define BURST 8

/* Number of bursts within which an endpoint gets a request. */
#define BURSTS_MAX 12

/* Sends BURST requests for PATH at the same time and waits for the answers.
   Returns how many of them were whole, with status 200.  */
static uint32_t
send_burst (struct efx_fixture *fixture, const char *path)
{
  struct efx_call calls[BURST];
  uint32_t served = 0;
  for (uint32_t i = 0; i < BURST; i++)
    {
      char id[32];
      g_snprintf (id, sizeof id, "burst-%u", fixture->next_id++);
      g_autofree char *request
          = efx_build_request ("POST", EFX_FLEET_HOST, path, "key-1", id, "");
      efx_start_call (fixture, &calls[i], sep_caller_address (fixture->daemon),
                      request, strlen (request));
    }
  for (uint32_t i = 0; i < BURST; i++)
    {
      efx_await_call (fixture, &calls[i]);
      served += calls[i].complete && calls[i].status == 200;
      efx_clear_call (&calls[i]);
    }
  return served;
}

/* Sends bursts for PATH until ENDPOINT gets a request, with FAULT injected at
   services.  Returns false when it doesn't get any.  */
static bool
reaches (struct efx_fixture *fixture, const char *path, enum sfl_fault fault,
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
      efx_run_for (fixture, 50 * CLK_MS_US);
    }
  return false;
}

/* Replaces ENDPOINT by a new instance at another address.  */
static void
replace_endpoint (struct efx_fixture *fixture, uint32_t endpoint)
{
  sfl_unlist (fixture->fleet, endpoint);
  sfl_kill (fixture->fleet, endpoint);
  sfl_restart (fixture->fleet, endpoint);
  efx_run_for (fixture, 300 * CLK_MS_US);
}

/* Sends one booking and returns its answer, which the caller clears.  */
static struct efx_call
send_and_await (struct efx_fixture *fixture, const char *path)
{
  struct efx_call call;
  char id[32];
  g_snprintf (id, sizeof id, "one-%u", fixture->next_id++);
  g_autofree char *request
      = efx_build_request ("POST", EFX_FLEET_HOST, path, "key-1", id, "");
  efx_start_call (fixture, &call, sep_caller_address (fixture->daemon),
                  request, strlen (request));
  efx_await_call (fixture, &call);
  return call;
}

/* A service that says in any answer that it leaves gets no new requests,
   though the list names it as ready, until it is replaced.  */
static void
test_service_says_leaving (void **state)
{
  struct efx_fixture *fixture = *state;
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
  const uint32_t leaving = EFX_ENGINES;
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
          efx_run_for (fixture, 300 * CLK_MS_US);
        }
      if (cases[i].change != LIST_UNCHANGED)
        {
          sfl_list_ready (fixture->fleet, leaving);
          efx_run_for (fixture, 300 * CLK_MS_US);
        }
      for (uint32_t n = 0; n < 4; n++)
        {
          served += send_burst (fixture, "/look/a");
        }
      uint32_t late = sfl_arrival_count (fixture->fleet, leaving) - before;
      sfl_set_store (fixture->fleet, SFL_STORE_NO_FAULT);
      efx_run_for (fixture, 300 * CLK_MS_US);
      replace_endpoint (fixture, leaving);
      bool replaced = reaches (fixture, "/book/a", SFL_NO_FAULT, leaving);
      if (late > 0 || served < 5 * BURST || !replaced)
        {
          fail_msg ("%s: %u late requests, %u of %u served, replaced %d",
                    cases[i].name, late, served, 5 * BURST, replaced);
        }
    }
}

/* Guards against requests of a daemon to which an endpoint hasn't said that it
   leaves: a daemon that reads another one's relay learns it there within the
   drain bound, though the list names the endpoint as ready.  A new instance
   gets requests of both.  */
static void
test_said_to_another_daemon (void **state)
{
  struct efx_fixture *fixture = *state;
  const uint32_t leaving = EFX_ENGINES;
  struct sep_process *second = efx_create_second (fixture, NULL, 1, true);
  efx_start_second (fixture, second);
  efx_run_for (fixture, 2 * CLK_S_US);
  sfl_set_leaving (fixture->fleet, leaving, true);
  bool said = reaches (fixture, "/book/a", SFL_NO_FAULT, leaving);
  efx_run_for (fixture, EFX_DRAIN_MS * CLK_MS_US);
  uint32_t before = sfl_arrival_count (fixture->fleet, leaving);
  uint32_t served = 0;
  for (uint32_t i = 0; i < 4 * BURST; i++)
    {
      served += efx_send_booking_to (fixture, second, "key-1") == 200;
    }
  uint32_t late = sfl_arrival_count (fixture->fleet, leaving) - before;
  replace_endpoint (fixture, leaving);
  uint32_t replaced = 0;
  before = sfl_arrival_count (fixture->fleet, leaving);
  for (uint32_t i = 0; i < 4 * BURST; i++)
    {
      efx_send_booking_to (fixture, second, "key-1");
    }
  replaced = sfl_arrival_count (fixture->fleet, leaving) - before;
  sep_remove_files (second);
  sep_destroy (second);
  if (!said || late > 0 || served < 4 * BURST || replaced == 0)
    {
      fail_msg ("said %d, %u late requests, %u of %u served, %u to the new "
                "instance",
                said, late, served, 4 * BURST, replaced);
    }
}

/* When every service says that it leaves, requests are refused at once.  */
static void
test_all_services_say_leaving (void **state)
{
  struct efx_fixture *fixture = *state;
  for (uint32_t i = EFX_ENGINES; i < EFX_ENGINES + EFX_SERVICES; i++)
    {
      sfl_set_leaving (fixture->fleet, i, true);
      assert_true (reaches (fixture, "/book/a", SFL_NO_FAULT, i));
    }
  struct efx_call call = send_and_await (fixture, "/book/a");
  assert_int_equal (call.status, 503);
  assert_true (call.has_retry_after);
  assert_true (call.took_us < 200 * CLK_MS_US);
  efx_clear_call (&call);
  for (uint32_t i = EFX_ENGINES; i < EFX_ENGINES + EFX_SERVICES; i++)
    {
      replace_endpoint (fixture, i);
    }
  assert_int_equal (send_burst (fixture, "/book/a"), BURST);
}

/* Sets FIRST to whether each engine is the first one of a path that is in use
   now.  Returns how many are.  */
static uint32_t
list_first_engines (struct efx_fixture *fixture, bool first[EFX_ENGINES])
{
  uint32_t before[EFX_ENGINES];
  uint32_t count = 0;
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      before[i] = sfl_arrival_count (fixture->fleet, i);
    }
  for (uint32_t i = 0; i < 4; i++)
    {
      assert_int_equal (send_burst (fixture, "/draft/a"), BURST);
    }
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      first[i] = sfl_arrival_count (fixture->fleet, i) > before[i];
      count += first[i];
    }
  return count;
}

/* Waits until two engines are the first ones of paths, and sets FIRST to which
   ones.  */
static void
find_first_engines (struct efx_fixture *fixture, bool first[EFX_ENGINES])
{
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  while (list_first_engines (fixture, first) != 2
         && clk_monotonic_us () < end_us)
    {
      efx_run_for (fixture, 200 * CLK_MS_US);
    }
  assert_int_equal (list_first_engines (fixture, first), 2);
}

/* Starts BURST streams.  */
static void
start_streams (struct efx_fixture *fixture, struct efx_call *calls,
               const char *name)
{
  for (uint32_t i = 0; i < BURST; i++)
    {
      char id[32];
      g_snprintf (id, sizeof id, "%s-%u", name, i);
      g_autofree char *request = efx_build_request (
          "POST", EFX_FLEET_HOST, "/draft/a", "key-1", id, "");
      efx_start_call (fixture, &calls[i], sep_caller_address (fixture->daemon),
                      request, strlen (request));
    }
}

/* Waits for the streams of start_streams and checks that each is whole and ran
   once.  */
static void
await_streams (struct efx_fixture *fixture, struct efx_call *calls,
               const char *name)
{
  for (uint32_t i = 0; i < BURST; i++)
    {
      char id[32];
      g_snprintf (id, sizeof id, "%s-%u", name, i);
      efx_await_call (fixture, &calls[i]);
      if (!calls[i].complete || calls[i].status != 200
          || sfl_run_count (fixture->fleet, id) != 1)
        {
          fail_msg ("%s: status %u, complete %d, %u runs", id, calls[i].status,
                    calls[i].complete, sfl_run_count (fixture->fleet, id));
        }
      efx_clear_call (&calls[i]);
    }
}

/* Engines that say in the heads of streams that they leave finish these
   streams and get no new ones.  When no engine is left for the first layers,
   these are placed on others, though the list names all engines as ready.  */
static void
test_engines_say_leaving (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call under_way[BURST];
  struct efx_call later[BURST];
  bool first[EFX_ENGINES];
  uint32_t before[EFX_ENGINES];
  find_first_engines (fixture, first);
  sfl_set_stream_events (fixture->fleet, 60);
  uint32_t one = first[0] ? 0 : first[1] ? 1 : 2;
  start_streams (fixture, under_way, "leaving");
  sfl_set_leaving (fixture->fleet, one, true);
  efx_run_for (fixture, 150 * CLK_MS_US);
  before[one] = sfl_arrival_count (fixture->fleet, one);
  start_streams (fixture, later, "elsewhere");
  await_streams (fixture, under_way, "leaving");
  await_streams (fixture, later, "elsewhere");
  assert_int_equal (sfl_arrival_count (fixture->fleet, one), before[one]);

  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      sfl_set_leaving (fixture->fleet, i, first[i]);
    }
  start_streams (fixture, under_way, "last");
  efx_run_for (fixture, 150 * CLK_MS_US);
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      before[i] = sfl_arrival_count (fixture->fleet, i);
    }
  struct efx_call refused = send_and_await (fixture, "/draft/a");
  assert_int_equal (refused.status, 503);
  assert_true (refused.has_retry_after);
  assert_true (refused.took_us < 200 * CLK_MS_US);
  efx_clear_call (&refused);
  await_streams (fixture, under_way, "last");
  uint32_t served = 0;
  for (uint32_t i = 0; i < 60 && served < BURST; i++)
    {
      efx_run_for (fixture, 100 * CLK_MS_US);
      served = send_burst (fixture, "/draft/a");
    }
  assert_int_equal (served, BURST);
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      if (first[i])
        {
          assert_int_equal (sfl_arrival_count (fixture->fleet, i), before[i]);
        }
    }
  sfl_set_stream_events (fixture->fleet, SFL_STREAM_EVENTS);
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      if (first[i])
        {
          replace_endpoint (fixture, i);
        }
    }
  efx_await_ready (fixture);
}

/* An engine that says in a report that it leaves, while streams stall there
   without an answer, gets no new ones.  */
static void
test_leaving_said_in_report (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call stalled[BURST];
  uint32_t before[EFX_ENGINES] = { 0 };
  uint32_t leaving = 0;
  bool first[EFX_ENGINES];
  find_first_engines (fixture, first);
  sfl_set_fault (fixture->fleet, true, SFL_STALLS, BURST);
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      before[i] = sfl_arrival_count (fixture->fleet, i);
    }
  start_streams (fixture, stalled, "stalled");
  efx_run_for (fixture, 50 * CLK_MS_US);
  while (sfl_arrival_count (fixture->fleet, leaving) == before[leaving])
    {
      leaving++;
      assert_true (leaving < EFX_ENGINES);
    }
  sfl_set_leaving (fixture->fleet, leaving, true);
  efx_run_for (fixture, 900 * CLK_MS_US);
  before[leaving] = sfl_arrival_count (fixture->fleet, leaving);
  for (uint32_t i = 0; i < BURST; i++)
    {
      ncl_cancel (stalled[i].exchange);
      efx_clear_call (&stalled[i]);
    }
  efx_run_for (fixture, 2 * CLK_S_US);
  for (uint32_t i = 0; i < BURSTS_MAX; i++)
    {
      assert_int_equal (send_burst (fixture, "/draft/a"), BURST);
    }
  assert_int_equal (sfl_arrival_count (fixture->fleet, leaving),
                    before[leaving]);
  sfl_set_fault (fixture->fleet, true, SFL_NO_FAULT, 0);
  replace_endpoint (fixture, leaving);
  efx_await_ready (fixture);
}

/* A new engine that says in the answer to its first order that it leaves gets
   no streams once it has its layers.  */
static void
test_leaving_said_to_order (void **state)
{
  struct efx_fixture *fixture = *state;
  bool first[EFX_ENGINES];
  find_first_engines (fixture, first);
  uint32_t leaving = first[0] ? 0 : first[1] ? 1 : 2;
  sfl_unlist (fixture->fleet, leaving);
  sfl_kill (fixture->fleet, leaving);
  sfl_restart (fixture->fleet, leaving);
  sfl_set_leaving (fixture->fleet, leaving, true);
  uint32_t before = sfl_arrival_count (fixture->fleet, leaving);
  efx_run_for (fixture, 1500 * CLK_MS_US);
  for (uint32_t i = 0; i < BURSTS_MAX; i++)
    {
      assert_int_equal (send_burst (fixture, "/draft/a"), BURST);
    }
  assert_int_equal (sfl_arrival_count (fixture->fleet, leaving), before);
  replace_endpoint (fixture, leaving);
  efx_await_ready (fixture);
}

/* Returns the number of requests that reach ENDPOINT within DURATION_US, while
   bursts for PATH are sent.  */
static uint32_t
count_arrivals (struct efx_fixture *fixture, const char *path,
                uint32_t endpoint, int64_t duration_us)
{
  uint32_t before = sfl_arrival_count (fixture->fleet, endpoint);
  int64_t end_us = clk_monotonic_us () + duration_us;
  while (clk_monotonic_us () < end_us)
    {
      send_burst (fixture, path);
      efx_run_for (fixture, 20 * CLK_MS_US);
    }
  return sfl_arrival_count (fixture->fleet, endpoint) - before;
}

/* A service that turns a request away with a time gets none until then; a time
   that makes no sense has no effect, and one that is too long ends with the
   instance.  */
static void
test_service_turns_away (void **state)
{
  struct efx_fixture *fixture = *state;
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
  const uint32_t full = EFX_ENGINES;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      sfl_turn_away (fixture->fleet, full, cases[i].retry_after, 1);
      assert_true (reaches (fixture, "/look/a", SFL_NO_FAULT, full));
      /* `reaches' returns up to one burst after the answer. */
      int64_t checked_us = (cases[i].closed_ms * 9 / 10) * CLK_MS_US;
      uint32_t early = count_arrivals (fixture, "/look/a", full, checked_us);
      efx_run_for (fixture, (cases[i].closed_ms * 4 / 10) * CLK_MS_US);
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
  struct efx_fixture *fixture = *state;
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
      for (uint32_t n = 0; n < EFX_ENGINES + EFX_SERVICES; n++)
        {
          sfl_turn_away (fixture->fleet, n, cases[i].retry_after, 1);
        }
      send_burst (fixture, cases[i].path);
      for (uint32_t n = 0; n < BURST; n++)
        {
          struct efx_call call = send_and_await (fixture, cases[i].path);
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
          efx_clear_call (&call);
        }
      if (cases[i].status == 503
          && (shortest_s < cases[i].closed_s * 0.8
              || longest_s > cases[i].closed_s * 2.4 + 0.6
              || longest_s - shortest_s < 0.2))
        {
          fail_msg ("%s: callers return after %g to %g s", cases[i].path,
                    shortest_s, longest_s);
        }
      for (uint32_t n = 0; n < EFX_ENGINES + EFX_SERVICES; n++)
        {
          sfl_turn_away (fixture->fleet, n, NULL, 0);
        }
      efx_run_for (fixture, (int64_t)(cases[i].closed_s * 1.3 * CLK_S_US));
      assert_int_equal (send_burst (fixture, cases[i].path), BURST);
    }
}

/* A first engine that turns a stream away gets none until its time is over.
   The streams go to the other paths, and it isn't taken for dead.  */
static void
test_engine_turns_away (void **state)
{
  struct efx_fixture *fixture = *state;
  bool first[EFX_ENGINES];
  find_first_engines (fixture, first);
  uint32_t full = first[0] ? 0 : first[1] ? 1 : 2;
  sfl_turn_away (fixture->fleet, full, "1.5", 1);
  assert_true (reaches (fixture, "/draft/a", SFL_NO_FAULT, full));
  assert_int_equal (
      count_arrivals (fixture, "/draft/a", full, 1200 * CLK_MS_US), 0);
  assert_int_equal (send_burst (fixture, "/draft/a"), BURST);
  efx_run_for (fixture, 700 * CLK_MS_US);
  assert_true (reaches (fixture, "/draft/a", SFL_NO_FAULT, full));
  assert_true (sfl_is_placed (fixture->fleet));
}

/* Guards against orders that reach an engine within the time for which it
   turned an order away.  A time that makes no sense has no effect: the order
   is sent again after a second.  */
static void
test_engine_turns_order_away (void **state)
{
  struct efx_fixture *fixture = *state;
  const uint32_t full = 0;
  static const struct
  {
    const char *retry_after;
    bool closes; /* expected, for 2.5 s */
  } cases[] = { { "2.5", true }, { "x", false }, { NULL, false } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      sfl_kill (fixture->fleet, full);
      uint32_t orders = fixture->orders_to[full];
      sfl_restart (fixture->fleet, full);
      sfl_turn_orders_away (fixture->fleet, full, cases[i].retry_after, 1);
      int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
      while (fixture->orders_to[full] == orders
             && clk_monotonic_us () < end_us)
        {
          efx_run_for (fixture, 10 * CLK_MS_US);
        }
      orders = fixture->orders_to[full];
      efx_run_for (fixture, 2250 * CLK_MS_US);
      bool again = fixture->orders_to[full] > orders;
      efx_await_ready (fixture);
      if (again == cases[i].closes || !sfl_is_placed (fixture->fleet))
        {
          fail_msg ("'%s': ordered again %d, placed %d", cases[i].retry_after,
                    again, sfl_is_placed (fixture->fleet));
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_service_says_leaving),
    cmocka_unit_test (test_said_to_another_daemon),
    cmocka_unit_test (test_all_services_say_leaving),
    cmocka_unit_test (test_engines_say_leaving),
    cmocka_unit_test (test_leaving_said_in_report),
    cmocka_unit_test (test_leaving_said_to_order),
    cmocka_unit_test (test_service_turns_away),
    cmocka_unit_test (test_all_turn_away),
    cmocka_unit_test (test_engine_turns_away),
    cmocka_unit_test (test_engine_turns_order_away),
  };
  return cmocka_run_group_tests (tests, efx_set_up, efx_tear_down);
}
