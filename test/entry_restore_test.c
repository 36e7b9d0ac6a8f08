/* Tests of the entry daemon while the store is restored from an older copy. */
#include "test/entry_fixture.h"

#include "base/clock.h"

#include <string.h>

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
  struct efx_fixture *fixture = *state;
  struct efx_call streams[STREAMS];
  struct efx_call bookings[BOOKINGS];
  char id[32];
  sfl_publish (fixture->fleet, 5, NULL);
  efx_run_for (fixture, 300 * CLK_MS_US);
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      efx_start_stream (fixture, &streams[i], SFL_STREAM_EVENTS);
    }
  for (uint32_t i = 0; i < BOOKINGS; i++)
    {
      if (i == 5 || i == 15)
        {
          sfl_restore_store (fixture->fleet, COPY_AGE_US, 400 * CLK_MS_US);
        }
      g_snprintf (id, sizeof id, "restore-%u", i);
      char *request = efx_build_request ("POST", EFX_FLEET_HOST, "/book/a",
                                         "key-1", id, "");
      efx_start_call (fixture, &bookings[i],
                      sep_caller_address (fixture->daemon), request,
                      strlen (request));
      g_free (request);
      efx_run_for (fixture, 50 * CLK_MS_US);
    }
  for (uint32_t i = 0; i < BOOKINGS; i++)
    {
      efx_await_call (fixture, &bookings[i]);
      g_snprintf (id, sizeof id, "restore-%u", i);
      assert_int_equal (bookings[i].status, 200);
      assert_int_equal (sfl_run_count (fixture->fleet, id), 1);
      efx_clear_call (&bookings[i]);
    }
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      efx_await_call (fixture, &streams[i]);
      assert_true (streams[i].complete);
      efx_clear_call (&streams[i]);
    }
  assert_null (sfl_violation (fixture->fleet));
}

/* A configuration that the store has lost stays in force, and so does the
   removal of a key, until the operator writes a newer one.  */
static void
test_lost_configuration (void **state)
{
  struct efx_fixture *fixture = *state;
  static const struct
  {
    uint64_t version; /* 0: none */
    const char *extra_key;
    int64_t copy_age_ms; /* of the copy to restore; 0: no restore */
    int64_t wait_ms;
    uint32_t extra_status; /* expected with key-2 */
  } steps[] = {
    { 5, "key-2", 0, 1500, 200 }, { 8, NULL, 0, 200, 401 },
    { 0, NULL, 1000, 200, 401 },  { 0, NULL, 0, EFX_REVOKE_MS, 401 },
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
      efx_run_for (fixture, steps[i].wait_ms * CLK_MS_US);
      uint32_t status = efx_send_booking (fixture, "key-1");
      uint32_t extra_status = efx_send_booking (fixture, "key-2");
      if (status != 200 || extra_status != steps[i].extra_status)
        {
          fail_msg ("step %zu: %u, %u", i, status, extra_status);
        }
    }
}

/* Guards against a position that is continued in another era: an offset that
   was given out again, to the record of an endpoint that leaves, was taken for
   one that had been read.  The second daemon reads from the first one's
   relay.  */
static void
test_reused_offset (void **state)
{
  struct efx_fixture *fixture = *state;
  uint32_t lost = EFX_ENGINES;
  uint32_t leaving = EFX_ENGINES + 1;
  struct sep_process *second = efx_create_second (fixture, NULL, 0, true);
  efx_start_second (fixture, second);
  /* Until the last engine has got its layers, so that no other record is
     lost. */
  efx_run_for (fixture, 2 * COPY_AGE_US);
  sfl_list_draining (fixture->fleet, lost);
  efx_run_for (fixture, EFX_DRAIN_MS * CLK_MS_US);
  sfl_restore_store (fixture->fleet, COPY_AGE_US, NEVER_US);
  sfl_list_draining (fixture->fleet, leaving);
  efx_run_for (fixture, (EFX_DRAIN_MS + 200) * CLK_MS_US);
  const struct sep_process *const daemons[] = { fixture->daemon, second };
  uint32_t arrivals[G_N_ELEMENTS (daemons)][2];
  for (size_t i = 0; i < G_N_ELEMENTS (daemons); i++)
    {
      uint32_t before = sfl_arrival_count (fixture->fleet, leaving);
      uint32_t lost_before = sfl_arrival_count (fixture->fleet, lost);
      for (uint32_t n = 0; n < 10; n++)
        {
          efx_send_booking_to (fixture, daemons[i], "key-1");
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

/* The fencing tokens of orders never fall, although a restore sets the
   generation of the group back.  */
static void
test_fence_after_restore (void **state)
{
  struct efx_fixture *fixture = *state;
  efx_run_for (fixture, CLK_S_US);
  int64_t start_us = clk_monotonic_us ();
  for (uint32_t i = 0; i < 5; i++)
    {
      sfl_rebalance (fixture->fleet);
    }
  efx_run_for (fixture, COPY_AGE_US);
  assert_true (efx_replace_engine (fixture));
  uint64_t before = fixture->highest_fence;
  sfl_restore_store (fixture->fleet,
                     clk_monotonic_us () - start_us + 500 * CLK_MS_US,
                     NEVER_US);
  efx_run_for (fixture, CLK_S_US);
  assert_true (efx_replace_engine (fixture));
  if (fixture->fence_fell || fixture->highest_fence <= before)
    {
      fail_msg ("before %lu, highest %lu, fell %d", (unsigned long)before,
                (unsigned long)fixture->highest_fence, fixture->fence_fell);
    }
}

/* What the settings of a daemon that starts after a restore name as relays. */
enum relays
{
  RELAYS_NONE,
  RELAYS_UP,  /* the other daemon */
  RELAYS_DOWN /* addresses at which nothing listens */
};

/* Makes the settings of entry-2 name relays that are down.  */
static void
add_relays_down (const struct efx_fixture *fixture)
{
  g_autofree char *path
      = g_build_filename (fixture->folder, "entry-2.yaml", NULL);
  FILE *settings = fopen (path, "a");
  assert_non_null (settings);
  fprintf (settings, "relays: [\"127.0.0.1:%u\", \"127.0.0.1:%u\"]\n",
           sfl_free_port (), sfl_free_port ());
  fclose (settings);
}

/* A daemon that starts after the store has lost the removal of a key learns of
   the removal from another daemon, and never serves the key, whatever RELAYS
   its settings name.  */
static void
check_restart_after_restore (struct efx_fixture *fixture, enum relays relays)
{
  struct sep_process *second
      = efx_create_second (fixture, NULL, 0, relays == RELAYS_UP);
  if (relays == RELAYS_DOWN)
    {
      add_relays_down (fixture);
    }
  sfl_publish (fixture->fleet, 5, "key-2");
  efx_run_for (fixture, COPY_AGE_US + 200 * CLK_MS_US);
  sfl_publish (fixture->fleet, 6, "key-2");
  sfl_publish (fixture->fleet, 8, NULL);
  efx_run_for (fixture, 500 * CLK_MS_US);
  assert_int_equal (efx_send_booking (fixture, "key-2"), 401);
  sfl_restore_store (fixture->fleet, 1000 * CLK_MS_US, NEVER_US);
  /* The operator writes the first of its lost versions again, several times,
     but not the second one yet. */
  for (uint32_t i = 0; i < 3; i++)
    {
      sfl_publish (fixture->fleet, 6, "key-2");
    }
  efx_run_for (fixture, 500 * CLK_MS_US);
  sep_start (second);
  uint32_t served = 0;
  uint32_t denied = 0;
  int64_t end_us = clk_monotonic_us () + 3 * CLK_S_US;
  while (clk_monotonic_us () < end_us)
    {
      efx_run_for (fixture, 10 * CLK_MS_US);
      uint32_t status = efx_send_booking_to (fixture, second, "key-2");
      served += status == 200;
      denied += status == 401;
    }
  uint32_t status = efx_send_booking_to (fixture, second, "key-1");
  sep_remove_files (second);
  sep_destroy (second);
  if (served > 0 || denied == 0 || status != 200)
    {
      fail_msg ("key-2 served %u times, denied %u times; key-1: %u", served,
                denied, status);
    }
}

static void
test_restart_after_restore (void **state)
{
  check_restart_after_restore (*state, RELAYS_UP);
}

/* Guards against a daemon that takes the older copy for the newest state when
   its settings name no relay, although the group has other members.  */
static void
test_restart_without_relays (void **state)
{
  check_restart_after_restore (*state, RELAYS_NONE);
}

/* Guards against the same when all relays that its settings name are down, a
   failed question being taken for an answer.  */
static void
test_restart_with_relays_down (void **state)
{
  check_restart_after_restore (*state, RELAYS_DOWN);
}

/* Each test changes the store in a way that outlasts it.  */
int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_restore_during_requests, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_lost_configuration, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_reused_offset, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_fence_after_restore, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_restart_after_restore, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_restart_without_relays, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_restart_with_relays_down, efx_set_up,
                                     efx_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
