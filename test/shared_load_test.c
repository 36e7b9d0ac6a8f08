#include "core/load.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define THREADS 4
#define STEPS 20000
#define STEP_SHORT_US 900
#define STEP_LONG_US 1100

/* Sends and finishes STEPS steps, of which every tenth fails.  DATA is the
   shared load.  The loop index also serves as the current time in
   microseconds.  */
static gpointer
run_steps (gpointer data)
{
  struct ld_load *load = data;
  for (int64_t i = 1; i <= STEPS; i++)
    {
      ld_stream_added (load);
      ld_step_sent (load);
      if (i % 10 == 0)
        {
          ld_step_failed (load, i);
        }
      else
        {
          ld_step_done (load, i % 2 == 0 ? STEP_SHORT_US : STEP_LONG_US, i);
        }
      (void)ld_step_timeout_us (load);
      (void)ld_standing (load, i);
      ld_stream_removed (load);
    }
  return NULL;
}

/* With concurrent threads, no update of the counters is lost, and the average
   stays within the observed durations.  */
static void
concurrent_updates_keep_counters_exact (void **state)
{
  (void)state;
  struct ld_load load = { 0 };
  GThread *threads[THREADS];
  for (int i = 0; i < THREADS; i++)
    {
      threads[i] = g_thread_new ("steps", run_steps, &load);
    }
  for (int i = 0; i < THREADS; i++)
    {
      g_thread_join (threads[i]);
    }
  assert_int_equal (load.steps_in_flight, 0);
  assert_int_equal (load.streams, 0);
  assert_in_range (load.step_us, STEP_SHORT_US, STEP_LONG_US);
  assert_in_range (load.step_deviation_us, 0, STEP_LONG_US);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (concurrent_updates_keep_counters_exact),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
