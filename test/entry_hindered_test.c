/* Tests of entry daemons that are frozen, or cut off from the store, while it
   is restored from an older copy. */
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "soak/proxy.h"

#include <signal.h>
#include <string.h>

/* Time for which a restored store isn't written again by others, and age of
   the copy that it is restored from. */
#define NEVER_US (60 * CLK_S_US)
#define COPY_AGE_US (1500 * CLK_MS_US)

/* What keeps a daemon from seeing a restore. */
enum hindrance
{
  HINDER_FROZEN,
  HINDER_RESET,       /* its connections to the store are reset */
  HINDER_HOLD_REPLIES /* answers of the store arrive when it is over */
};

static const char *const hindrance_names[] = {
  [HINDER_FROZEN] = "frozen",
  [HINDER_RESET] = "cut off",
  [HINDER_HOLD_REPLIES] = "cut off, with late answers",
};

/* Begins HINDRANCE of DAEMON, which reaches the store through PROXY, or ends
   it if OVER.  */
static void
hinder (struct sep_process *daemon, struct spx_proxy *proxy,
        enum hindrance hindrance, bool over)
{
  static const enum spx_mode modes[] = {
    [HINDER_RESET] = SPX_RESET,
    [HINDER_HOLD_REPLIES] = SPX_HOLD_REPLIES,
  };
  if (hindrance == HINDER_FROZEN)
    {
      assert_true (sep_signal (daemon, over ? SIGCONT : SIGSTOP));
    }
  else
    {
      spx_set_mode (proxy, over ? SPX_PASS : modes[hindrance], 0);
    }
}

/* Sends bookings with key-2 to DAEMON for DURATION_US.  Adds the numbers of
   those that were served and denied to SERVED and DENIED.  */
static void
count_extra (struct efx_fixture *fixture, const struct sep_process *daemon,
             int64_t duration_us, uint32_t *served, uint32_t *denied)
{
  int64_t end_us = clk_monotonic_us () + duration_us;
  while (clk_monotonic_us () < end_us)
    {
      uint32_t status = efx_send_booking_to (fixture, daemon, "key-2");
      *served += status == 200;
      *denied += status == 401;
      efx_run_for (fixture, 10 * CLK_MS_US);
    }
}

/* A daemon that saw neither the removal of a key nor the restore in which the
   store lost it doesn't serve the key once the bound is over, since another
   daemon saw the removal.  If KNOWS_RELAY, its settings name that daemon.  */
static void
check_lost_removal (struct efx_fixture *fixture, enum hindrance hindrance,
                    bool knows_relay)
{
  struct spx_proxy *proxy
      = spx_create (&fixture->loop, sfl_store_address (fixture->fleet));
  struct sep_process *second
      = efx_create_second (fixture, spx_address (proxy), 0, knows_relay);
  efx_start_second (fixture, second);
  sfl_publish (fixture->fleet, 5, "key-2");
  efx_run_for (fixture, COPY_AGE_US);
  assert_int_equal (efx_send_booking_to (fixture, second, "key-2"), 200);
  hinder (second, proxy, hindrance, false);
  int64_t removed_us = clk_monotonic_us ();
  sfl_publish (fixture->fleet, 8, NULL);
  efx_run_for (fixture, EFX_REVOKE_MS * CLK_MS_US);
  uint32_t served = 0;
  uint32_t denied = 0;
  if (hindrance != HINDER_FROZEN)
    {
      count_extra (fixture, second, 300 * CLK_MS_US, &served, &denied);
    }
  sfl_restore_store (fixture->fleet,
                     clk_monotonic_us () - removed_us + 300 * CLK_MS_US,
                     NEVER_US);
  if (hindrance != HINDER_FROZEN)
    {
      count_extra (fixture, second, 300 * CLK_MS_US, &served, &denied);
    }
  efx_run_for (fixture, 300 * CLK_MS_US);
  hinder (second, proxy, hindrance, true);
  denied = 0;
  count_extra (fixture, second, 3 * CLK_S_US, &served, &denied);
  uint32_t status = efx_send_booking_to (fixture, second, "key-1");
  uint32_t first_status = efx_send_booking (fixture, "key-2");
  sep_remove_files (second);
  sep_destroy (second);
  spx_destroy (proxy);
  if (served > 0 || denied == 0 || status != 200 || first_status != 401)
    {
      fail_msg ("%s, relay %d: key-2 served %u times, denied %u times, key-1: "
                "%u, key-2 at the first daemon: %u",
                hindrance_names[hindrance], knows_relay, served, denied,
                status, first_status);
    }
}

static void
test_frozen_over_restore (void **state)
{
  check_lost_removal (*state, HINDER_FROZEN, false);
}

static void
test_frozen_reader_over_restore (void **state)
{
  check_lost_removal (*state, HINDER_FROZEN, true);
}

static void
test_cut_off_over_restore (void **state)
{
  check_lost_removal (*state, HINDER_RESET, false);
}

static void
test_cut_off_reader_over_restore (void **state)
{
  check_lost_removal (*state, HINDER_RESET, true);
}

static void
test_late_answers_after_restore (void **state)
{
  check_lost_removal (*state, HINDER_HOLD_REPLIES, false);
}

/* Time within which an order that has reached an engine is in the log. */
#define LOG_US (300 * CLK_MS_US)

/* Returns the fencing tokens of the orders that DAEMON has sent so far, in
   their order.  The caller frees the array.  */
static GArray *
read_fences (const struct efx_fixture *fixture, const char *daemon)
{
  g_autofree char *file = g_strdup_printf ("%s.log", daemon);
  g_autofree char *path = g_build_filename (fixture->folder, file, NULL);
  g_autofree char *text = NULL;
  GArray *fences = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  assert_true (g_file_get_contents (path, &text, NULL, NULL));
  const char *line = text;
  while ((line = strstr (line, "event=order_sent ")) != NULL)
    {
      const char *value = strstr (line, " fence=");
      assert_non_null (value);
      uint64_t fence = g_ascii_strtoull (value + strlen (" fence="), NULL, 10);
      g_array_append_val (fences, fence);
      line = value;
    }
  return fences;
}

/* True when FENCES never fall.  */
static bool
never_fall (const GArray *fences)
{
  for (guint i = 1; i < fences->len; i++)
    {
      if (g_array_index (fences, uint64_t, i)
          < g_array_index (fences, uint64_t, i - 1))
        {
          return false;
        }
    }
  return true;
}

/* Returns a token that both A and B have, or 0.  */
static uint64_t
common_fence (const GArray *a, const GArray *b)
{
  for (guint i = 0; i < a->len; i++)
    {
      for (guint j = 0; j < b->len; j++)
        {
          if (g_array_index (a, uint64_t, i) == g_array_index (b, uint64_t, j))
            {
              return g_array_index (a, uint64_t, i);
            }
        }
    }
  return 0;
}

/* The second daemon leads after the last rebalance, and is kept from seeing a
   restore that sets the generation back, until the first one has sent orders.
   Their tokens differ, and no order has a lower one than an order before.  */
static void
check_fences (struct efx_fixture *fixture, enum hindrance hindrance)
{
  uint32_t ordered = 0;
  struct spx_proxy *proxy
      = spx_create (&fixture->loop, sfl_store_address (fixture->fleet));
  struct sep_process *second
      = efx_create_second (fixture, spx_address (proxy), 0, false);
  efx_start_second (fixture, second);
  efx_run_for (fixture, 2 * CLK_S_US);
  int64_t start_us = clk_monotonic_us ();
  for (uint32_t i = 0; i < 5; i++)
    {
      sfl_rebalance (fixture->fleet);
    }
  efx_run_for (fixture, COPY_AGE_US);
  ordered += efx_replace_engine (fixture);
  efx_run_for (fixture, LOG_US);
  g_autoptr (GArray) second_before = read_fences (fixture, "entry-2");
  hinder (second, proxy, hindrance, false);
  sfl_restore_store (fixture->fleet,
                     clk_monotonic_us () - start_us + 500 * CLK_MS_US,
                     NEVER_US);
  ordered += efx_replace_engine (fixture);
  efx_run_for (fixture, LOG_US);
  g_autoptr (GArray) first_during = read_fences (fixture, "entry-1");
  hinder (second, proxy, hindrance, true);
  efx_run_for (fixture, 500 * CLK_MS_US);
  ordered += efx_replace_engine (fixture);
  efx_run_for (fixture, 2 * CLK_S_US);
  ordered += efx_replace_engine (fixture);
  efx_run_for (fixture, LOG_US);
  g_autoptr (GArray) first = read_fences (fixture, "entry-1");
  g_autoptr (GArray) all_of_second = read_fences (fixture, "entry-2");
  uint64_t common = common_fence (first, all_of_second);
  sep_remove_files (second);
  sep_destroy (second);
  spx_destroy (proxy);
  if (ordered < 4 || second_before->len == 0 || first_during->len == 0
      || common != 0 || !never_fall (first) || !never_fall (all_of_second)
      || fixture->fence_fell)
    {
      fail_msg ("%s: %u of 4 engines replaced, %u orders of the second daemon "
                "before, %u of the first "
                "one at the end of the hindrance, common token %lu, fell %d",
                hindrance_names[hindrance], ordered, second_before->len,
                first_during->len, (unsigned long)common, fixture->fence_fell);
    }
}

static void
test_fences_of_frozen_leader (void **state)
{
  check_fences (*state, HINDER_FROZEN);
}

static void
test_fences_of_cut_off_leader (void **state)
{
  check_fences (*state, HINDER_RESET);
}

static void
test_fences_with_late_answers (void **state)
{
  check_fences (*state, HINDER_HOLD_REPLIES);
}

/* Longest time without orders after a leader has been cut off.  Its membership
   is renewed for the last time as it ends, and ends again; then another member
   learns of its lead as it renews its own, and places the layers. */
#define LIFETIME_US (2500 * CLK_MS_US)
#define PLACE_US (2 * CLK_S_US)
#define ORDERLESS_US (3 * LIFETIME_US + PLACE_US)

/* Guards against a group without a leader for as long as the store's answers
   don't reach the member that is to lead: it renewed its membership without
   knowing of its lead.  */
static void
test_leader_without_answers (void **state)
{
  struct efx_fixture *fixture = *state;
  struct spx_proxy *proxy
      = spx_create (&fixture->loop, sfl_store_address (fixture->fleet));
  struct sep_process *second
      = efx_create_second (fixture, spx_address (proxy), 0, false);
  efx_start_second (fixture, second);
  efx_run_for (fixture, 2 * CLK_S_US);
  for (uint32_t i = 0; i < 5; i++)
    {
      sfl_rebalance (fixture->fleet);
    }
  efx_run_for (fixture, 2 * CLK_S_US);
  bool ordered = efx_replace_engine (fixture);
  efx_run_for (fixture, LOG_US);
  g_autoptr (GArray) fences = read_fences (fixture, "entry-2");
  hinder (second, proxy, HINDER_HOLD_REPLIES, false);
  int64_t start_us = clk_monotonic_us ();
  bool ordered_again = efx_replace_engine (fixture);
  int64_t took_us = clk_monotonic_us () - start_us;
  hinder (second, proxy, HINDER_HOLD_REPLIES, true);
  efx_run_for (fixture, 2 * CLK_S_US);
  uint32_t status = efx_send_booking_to (fixture, second, "key-1");
  bool ordered_last = efx_replace_engine (fixture);
  sep_remove_files (second);
  sep_destroy (second);
  spx_destroy (proxy);
  assert_true (ordered);
  assert_int_not_equal (fences->len, 0);
  print_message ("no order for %ld ms\n", (long)(took_us / CLK_MS_US));
  assert_true (ordered_again);
  assert_in_range (took_us, 0, ORDERLESS_US);
  assert_int_equal (status, 200);
  assert_true (ordered_last);
  assert_false (fixture->fence_fell);
}

/* Each test changes the store in a way that outlasts it.  */
int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_frozen_over_restore, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_frozen_reader_over_restore,
                                     efx_set_up, efx_tear_down),
    cmocka_unit_test_setup_teardown (test_cut_off_over_restore, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_cut_off_reader_over_restore,
                                     efx_set_up, efx_tear_down),
    cmocka_unit_test_setup_teardown (test_late_answers_after_restore,
                                     efx_set_up, efx_tear_down),
    cmocka_unit_test_setup_teardown (test_fences_of_frozen_leader, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_fences_of_cut_off_leader, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_fences_with_late_answers, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_leader_without_answers, efx_set_up,
                                     efx_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
