/* Tests of the entry daemon: streams whose only paths lead over a dead engine
   for a while. */
#include "test/entry_fixture.h"

#include "base/clock.h"

#include <string.h>

#define STREAMS 8

/* Time without a path, which is shorter than a caller waits for the next
   event. */
#define WITHOUT_PATH_US (1200 * CLK_MS_US)

/* Kills the engines that hold the last layers.  */
static void
kill_later_engines (struct efx_fixture *fixture, bool *killed)
{
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      killed[i] = sfl_holds_later_layers (fixture->fleet, i);
    }
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      if (killed[i])
        {
          sfl_kill (fixture->fleet, i);
        }
    }
}

/* Guards against a stream that is broken off while its engine's layers are
   loaded again: it spent all its attempts within half a second on the path
   over the engine that the first one had named as dead.  */
static void
test_stream_waits_for_path (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call calls[STREAMS];
  bool killed[EFX_ENGINES];
  uint32_t first = fixture->next_id;
  uint32_t broken = 0;
  /* A stream that has begun goes on, or stalls, as its first engine does. */
  sfl_set_fault (fixture->fleet, true, SFL_KEEPS_ALIVE, STREAMS);
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      efx_start_stream (fixture, &calls[i], SFL_STREAM_EVENTS);
    }
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      efx_await_begun (fixture, &calls[i]);
    }
  kill_later_engines (fixture, killed);
  efx_run_for (fixture, WITHOUT_PATH_US);
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      if (killed[i])
        {
          sfl_unlist (fixture->fleet, i);
          sfl_restart (fixture->fleet, i);
        }
    }
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      g_autofree char *id = g_strdup_printf ("late-%u", first + i);
      GString *expected = efx_expected_stream (id);
      efx_await_call (fixture, &calls[i]);
      g_string_replace (calls[i].body, ": a\n\n", "", 0);
      bool whole = calls[i].complete
                   && strcmp (calls[i].body->str, expected->str) == 0;
      print_message ("%s: whole %d after %ld ms, %u runs\n", id, whole,
                     (long)(calls[i].took_us / CLK_MS_US),
                     sfl_run_count (fixture->fleet, id));
      broken += !whole;
      g_string_free (expected, TRUE);
      efx_clear_call (&calls[i]);
    }
  assert_int_equal (broken, 0);
  assert_null (sfl_violation (fixture->fleet));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_stream_waits_for_path),
  };
  return cmocka_run_group_tests (tests, efx_set_up, efx_tear_down);
}
