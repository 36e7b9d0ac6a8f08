/* Tests of what callers are told when an endpoint's answer looks like a
   refusal although the request has run. */
#include "test/entry_fixture.h"

/* Guards against 408, 421, 429 and 503, which promise that a request hasn't
   run and never will, for a booking that an endpoint runs.  */
static void
test_bookings_that_ran (void **state)
{
  static const struct
  {
    const char *name;
    enum sfl_fault fault;
  } cases[] = {
    { "503 that doesn't state that it wasn't executed", SFL_SHEDS },
    { "a refusal without an id", SFL_REFUSES_AGAIN },
  };
  struct efx_fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *id = g_strdup_printf ("book-%u", fixture->next_id);
      sfl_set_fault (fixture->fleet, false, cases[i].fault, 1);
      uint32_t status = efx_send_booking (fixture, "key-1");
      uint32_t runs = sfl_run_count (fixture->fleet, id);
      print_message ("%s: status %u, %u runs\n", cases[i].name, status, runs);
      if (status != 502 || runs != 1)
        {
          fail_msg ("%s: status %u, %u runs", cases[i].name, status, runs);
        }
    }
  assert_int_equal (efx_send_booking (fixture, "key-1"), 200);
}

/* Guards against a request that is refused although it runs, or runs twice: a
   second copy of the refusal of its first attempt, which has its id, was taken
   for the answer to the next attempt on the same connection.  */
static void
test_refusal_comes_again (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call call;
  g_autofree char *id = g_strdup_printf ("late-%u", fixture->next_id);
  GString *expected = efx_expected_stream (id);
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      sfl_turn_away (fixture->fleet, i, "0.1", 1);
      sfl_repeat_refusals (fixture->fleet, i);
    }
  efx_start_stream (fixture, &call, SFL_STREAM_EVENTS);
  efx_await_call (fixture, &call);
  uint32_t runs = sfl_run_count (fixture->fleet, id);
  print_message ("status %u, %u runs\n", call.status, runs);
  assert_int_equal (runs, 1);
  assert_int_equal (call.status, 200);
  assert_string_equal (call.body->str, expected->str);
  g_string_free (expected, TRUE);
  efx_clear_call (&call);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_refusal_comes_again),
    cmocka_unit_test (test_bookings_that_ran),
  };
  return cmocka_run_group_tests (tests, efx_set_up, efx_tear_down);
}
