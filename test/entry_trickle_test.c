/* Tests of the entry daemon: streams that send something but make no progress.
 */
#include "test/entry_fixture.h"

#include "base/clock.h"

#include <string.h>

#define STREAMS 8

/* Limit on the time of a stream that is resumed; its deadline is at 9 s. */
#define RESUMED_US (3 * CLK_S_US)

/* Guards against a stalled stream that goes on to its deadline, since its
   engine sends a byte of a comment now and then: only a new event is
   progress.  */
static void
test_stalled_stream_sends_comments (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call calls[STREAMS];
  uint32_t first = fixture->next_id;
  uint32_t resumed = 0;
  sfl_set_fault (fixture->fleet, true, SFL_KEEPS_ALIVE, STREAMS);
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      efx_start_stream (fixture, &calls[i], SFL_STREAM_EVENTS);
    }
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      efx_await_begun (fixture, &calls[i]);
    }
  sfl_kill (fixture->fleet, sfl_find_later_engine (fixture->fleet));
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("late-%u", first + i);
      GString *expected = efx_expected_stream (id);
      efx_await_call (fixture, &calls[i]);
      resumed += sfl_run_count (fixture->fleet, id) == 2;
      GString *events = g_string_new (calls[i].body->str);
      g_string_replace (events, ": a\n\n", "", 0);
      if (!calls[i].complete || strcmp (events->str, expected->str) != 0
          || calls[i].took_us > RESUMED_US)
        {
          fail_msg ("%s: status %u, complete %d, %ld ms, '%s'", id,
                    calls[i].status, calls[i].complete,
                    (long)(calls[i].took_us / CLK_MS_US), calls[i].body->str);
        }
      g_string_free (events, TRUE);
      g_string_free (expected, TRUE);
      efx_clear_call (&calls[i]);
    }
  assert_true (resumed > 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stalled_stream_sends_comments),
  };
  return cmocka_run_group_tests (tests, efx_set_up, efx_tear_down);
}
