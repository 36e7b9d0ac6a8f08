/* Tests of entry daemons whose processes are stopped for some seconds and then
   go on, while another one has taken their place. */
#include "test/entry_fixture.h"

#include "base/clock.h"

#include <signal.h>
#include <string.h>

/* Time for which a daemon that goes on is watched for orders. */
#define WATCH_US (2 * CLK_S_US)

/* Guards against two leaders after a hand-over: a daemon that was stopped
   while it led, with a change that it was to order under way, goes on to order
   with the permission that it had, and orders go out twice.  */
static void
test_paused_leader (void **state)
{
  struct efx_fixture *fixture = *state;
  struct sep_process *second = efx_create_second (fixture, NULL, 0, true);
  struct sep_process *daemons[] = { fixture->daemon, second };
  efx_start_second (fixture, second);
  efx_run_for (fixture, WATCH_US);
  for (size_t i = 0; i < G_N_ELEMENTS (daemons); i++)
    {
      sfl_kill (fixture->fleet, 0);
      efx_run_for (fixture, 50 * CLK_MS_US);
      sfl_restart (fixture->fleet, 0);
      assert_true (sep_signal (daemons[i], SIGSTOP));
      int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
      while (!sfl_is_placed (fixture->fleet) && clk_monotonic_us () < end_us)
        {
          efx_run_for (fixture, 50 * CLK_MS_US);
        }
      bool placed = sfl_is_placed (fixture->fleet);
      bool ordered = efx_replace_engine (fixture);
      efx_run_for (fixture, WATCH_US);
      uint32_t orders = fixture->orders;
      assert_true (sep_signal (daemons[i], SIGCONT));
      efx_run_for (fixture, WATCH_US);
      uint32_t more = fixture->orders - orders;
      uint32_t status = efx_send_booking_to (fixture, daemons[i], "key-1");
      print_message ("daemon %zu: placed %d, ordered %d, %u more orders, "
                     "status %u\n",
                     i + 1, placed, ordered, more, status);
      assert_true (placed);
      assert_true (ordered);
      assert_int_equal (more, 0);
      assert_false (fixture->fence_fell);
      assert_int_equal (status, 200);
    }
  sep_remove_files (second);
  sep_destroy (second);
}

/* Guards against a key that is served although the permission to do so ran out
   while the process was stopped: the request was in its socket buffer, and so
   were answers of the store from before.  */
static void
test_paused_with_request (void **state)
{
  struct efx_fixture *fixture = *state;
  sfl_publish (fixture->fleet, 5, "key-2");
  efx_run_for (fixture, CLK_S_US);
  assert_int_equal (efx_send_booking (fixture, "key-2"), 200);
  assert_true (sep_signal (fixture->daemon, SIGSTOP));
  sfl_publish (fixture->fleet, 6, NULL);
  struct efx_call call;
  g_autofree char *request = efx_build_request (
      "POST", EFX_FLEET_HOST, "/book/a", "key-2", "paused", "");
  efx_start_call (fixture, &call, sep_caller_address (fixture->daemon),
                  request, strlen (request));
  efx_run_for (fixture, (EFX_REVOKE_MS + 500) * CLK_MS_US);
  assert_true (sep_signal (fixture->daemon, SIGCONT));
  efx_await_call (fixture, &call);
  print_message ("status %u\n", call.status);
  assert_true (call.status == 401 || call.status == 503);
  assert_int_equal (sfl_run_count (fixture->fleet, "paused"), 0);
  efx_clear_call (&call);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_paused_with_request, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_paused_leader, efx_set_up,
                                     efx_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
