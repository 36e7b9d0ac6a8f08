/* Tests of entry daemons that the store doesn't answer for some seconds, while
   the entry of an endpoint is removed. */
#include "test/entry_fixture.h"

#include "base/clock.h"

#include <string.h>

/* Bounds of the daemons under test. */
#define DRAIN_MS 2000
#define CONFIG_MS 2000
#define SETTLE_US (3000 * CLK_MS_US)

/* Daemons under test.  Their calls to the store are spread over the time-out
   of one. */
#define DAEMONS 8
#define START_INTERVAL_US (150 * CLK_MS_US)

/* Requests to each daemon at a time, so that each endpoint of the service gets
   some. */
#define REQUESTS 6

/* The endpoint whose entry is removed, a plain service. */
#define REMOVED EFX_ENGINES

/* Starts the daemons under test, each some time after the one before.  */
static void
start_daemons (struct efx_fixture *fixture, struct sep_process **daemons)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      g_autofree char *name = g_strdup_printf ("entry-%u", i + 2);
      const struct sep_params params = {
        .name = name,
        .folder = fixture->folder,
        .store_address = sfl_store_address (fixture->fleet),
        .store_partitions = 16,
        .drain_ms = DRAIN_MS,
        .config_ms = CONFIG_MS,
        .revoke_ms = 5000,
        .quarantine_ms = SETTLE_US / CLK_MS_US,
        .stop_s = EFX_STOP_S,
        .retry_window_s = 2,
        .retry_ratio = 0.2,
        .retry_slack = 100,
      };
      daemons[i] = sep_create (&params);
      sep_start (daemons[i]);
      efx_run_for (fixture, START_INTERVAL_US);
    }
}

static void
remove_daemons (struct sep_process **daemons)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      sep_remove_files (daemons[i]);
      sep_destroy (daemons[i]);
    }
}

/* Sends REQUESTS bookings to each daemon at once and waits for the answers.
   Returns how many of them have reached the endpoint REMOVED, and adds those
   that were served to SERVED.  */
static uint32_t
count_arrivals (struct efx_fixture *fixture, struct sep_process **daemons,
                uint32_t *served)
{
  struct efx_call calls[DAEMONS * REQUESTS];
  uint32_t before = sfl_arrival_count (fixture->fleet, REMOVED);
  for (uint32_t i = 0; i < DAEMONS * REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("cut-%u", fixture->next_id++);
      g_autofree char *request = efx_build_request (
          "POST", EFX_FLEET_HOST, "/book/a", "key-1", id, id);
      efx_start_call (fixture, &calls[i],
                      sep_caller_address (daemons[i / REQUESTS]), request,
                      strlen (request));
    }
  for (uint32_t i = 0; i < DAEMONS * REQUESTS; i++)
    {
      efx_await_call (fixture, &calls[i]);
      *served += calls[i].status == 200;
      efx_clear_call (&calls[i]);
    }
  return sfl_arrival_count (fixture->fleet, REMOVED) - before;
}

/* Guards against requests to an endpoint that has left while its daemon was
   cut off from the store: a daemon that waits for entries to be written again
   must not count that time from an answer that came long after the end of the
   cut.  An endpoint whose entry is written again in time stays in use, also
   where the next cut hides that entry from the daemons.  */
static void
test_removed_during_cut (void **state)
{
  static const struct
  {
    const char *name;
    enum sfl_store_state state;
    int64_t cut_us;
    int64_t listed_again_us; /* after the end of the cut; 0: never */
    int64_t next_cut_us;     /* the same, until the next one; 0: none */
  } cases[] = {
    { "an endpoint that has left", SFL_STORE_NEVER_ANSWERS, 4800 * CLK_MS_US,
      0, 0 },
    { "one that has left, a longer cut", SFL_STORE_NEVER_ANSWERS,
      5300 * CLK_MS_US, 0, 0 },
    { "one that is listed again", SFL_STORE_NEVER_ANSWERS, 4800 * CLK_MS_US,
      1800 * CLK_MS_US, 0 },
    { "one that is listed again after refusals", SFL_STORE_REFUSES,
      4800 * CLK_MS_US, 1700 * CLK_MS_US, 0 },
    { "one that has left during refusals", SFL_STORE_REFUSES, 4800 * CLK_MS_US,
      0, 0 },
    { "one that is listed again in the next cut", SFL_STORE_NEVER_ANSWERS,
      4800 * CLK_MS_US, 1800 * CLK_MS_US, 1500 * CLK_MS_US },
  };
  struct efx_fixture *fixture = *state;
  struct sep_process *daemons[DAEMONS];
  uint32_t failures = 0;
  start_daemons (fixture, daemons);
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      uint32_t served = 0;
      bool is_back = cases[i].listed_again_us > 0;
      efx_run_for (fixture, SETTLE_US);
      sfl_set_store (fixture->fleet, cases[i].state);
      efx_run_for (fixture, cases[i].cut_us - 800 * CLK_MS_US);
      sfl_unlist (fixture->fleet, REMOVED);
      efx_run_for (fixture, 800 * CLK_MS_US);
      sfl_set_store (fixture->fleet, SFL_STORE_NO_FAULT);
      int64_t settled_us = clk_monotonic_us () + SETTLE_US;
      uint32_t early = 0;
      if (is_back)
        {
          efx_run_for (fixture, cases[i].next_cut_us);
          sfl_set_store (fixture->fleet, cases[i].next_cut_us > 0
                                             ? cases[i].state
                                             : SFL_STORE_NO_FAULT);
          efx_run_for (fixture,
                       cases[i].listed_again_us - cases[i].next_cut_us);
          early = count_arrivals (fixture, daemons, &served);
          sfl_list_ready (fixture->fleet, REMOVED);
        }
      efx_run_for (fixture, settled_us - clk_monotonic_us ());
      uint32_t late = count_arrivals (fixture, daemons, &served);
      print_message ("%s: %u requests reached it early, %u late, %u served\n",
                     cases[i].name, early, late, served);
      /* Each daemon sends it some. */
      failures += is_back ? MIN (early, late) < DAEMONS : late > 0;
      failures += served < (is_back ? 2 : 1) * DAEMONS * REQUESTS;
      sfl_set_store (fixture->fleet, SFL_STORE_NO_FAULT);
      sfl_list_ready (fixture->fleet, REMOVED);
    }
  remove_daemons (daemons);
  assert_int_equal (failures, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_removed_during_cut, efx_set_up,
                                     efx_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
