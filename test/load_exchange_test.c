/* Tests of the exchange of load between entry daemons: what one of them does
   is known to another.  The first daemon is the aggregator, the second one
   takes over from it, and all read the store over its relay as in a crowded
   fleet.  */
#include "test/entry_fixture.h"

#include "base/clock.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Streams that are in progress at once at each of the two daemons. */
#define STREAMS_SECOND 5
#define STREAMS_THIRD 3
#define STREAMS (STREAMS_SECOND + STREAMS_THIRD)

/* Events of a stream, which lasts for 3 s then: long enough to be seen. */
#define EVENTS 200

/* Gauges and counters of a daemon. */
#define ELSEWHERE "kumquatthread_load_elsewhere"
#define CHANGES "kumquatthread_load_aggregator_changes_total"
#define CONFIRMED "kumquatthread_load_deaths_heard_total{state=\"confirmed\"}"
#define TOLD "kumquatthread_load_deaths_told_total"
#define SUSPECTED "kumquatthread_load_deaths_heard_total{state=\"suspect\"}"

/* The daemons beside the first one. */
struct pair
{
  struct sep_process *second;
  struct sep_process *third;
};

/* Returns the value of SERIES in the metrics of the daemon NAME, or -1.  */
static int64_t
read_metric (struct efx_fixture *fixture, const char *name, const char *series)
{
  static const char request[] = "GET /metrics HTTP/1.1\r\nHost: x\r\n"
                                "Connection: close\r\n\r\n";
  struct efx_call call;
  g_autofree char *address
      = efx_read_setting (fixture, name, "metrics_address");
  g_autofree char *line = g_strdup_printf ("\n%s ", series);
  efx_start_call (fixture, &call, address, request, strlen (request));
  efx_await_call (fixture, &call);
  const char *found = strstr (call.body->str, line);
  int64_t value
      = found == NULL ? -1 : g_ascii_strtoll (found + strlen (line), NULL, 10);
  efx_clear_call (&call);
  return value;
}

/* Adds the relays of the first two daemons to the settings of NAME.  */
static void
add_relays (struct efx_fixture *fixture, const char *name)
{
  g_autofree char *first
      = efx_read_setting (fixture, "entry-1", "relay_address");
  g_autofree char *second
      = efx_read_setting (fixture, "entry-2", "relay_address");
  g_autofree char *file = g_strdup_printf ("%s.yaml", name);
  g_autofree char *path = g_build_filename (fixture->folder, file, NULL);
  FILE *settings = fopen (path, "a");
  assert_non_null (settings);
  fprintf (settings, "relays: [\"%s\", \"%s\"]\n", first, second);
  fclose (settings);
}

/* Starts the second and the third daemon.  */
static struct pair
start_pair (struct efx_fixture *fixture)
{
  struct pair pair = {
    .second = efx_create_daemon (fixture, "entry-2", NULL, 1),
    .third = efx_create_daemon (fixture, "entry-3", NULL, 1),
  };
  add_relays (fixture, "entry-2");
  add_relays (fixture, "entry-3");
  efx_start_second (fixture, pair.second);
  efx_start_second (fixture, pair.third);
  return pair;
}

static void
destroy_pair (const struct pair *pair)
{
  sep_remove_files (pair->second);
  sep_destroy (pair->second);
  sep_remove_files (pair->third);
  sep_destroy (pair->third);
}

/* Sends a stream to DAEMON.  */
static void
start_stream (struct efx_fixture *fixture, struct efx_call *call,
              const struct sep_process *daemon)
{
  char id[32];
  g_snprintf (id, sizeof id, "load-%u", fixture->next_id++);
  g_autofree char *request = efx_build_request ("POST", EFX_FLEET_HOST,
                                                "/draft/a", "key-1", id, "");
  efx_start_call (fixture, call, sep_caller_address (daemon), request,
                  strlen (request));
}

/* Sends streams to both daemons of PAIR until each one knows how many the
   other has in progress, and the third has changed its aggregator CHANGES
   times.  Fails when that doesn't happen, or when a stream isn't served.  */
static void
await_known (struct efx_fixture *fixture, const struct pair *pair,
             int64_t changes)
{
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  bool known = false;
  while (!known && clk_monotonic_us () < end_us)
    {
      struct efx_call calls[STREAMS];
      for (uint32_t i = 0; i < STREAMS; i++)
        {
          start_stream (fixture, &calls[i],
                        i < STREAMS_SECOND ? pair->second : pair->third);
        }
      while (!known && !calls[0].done && clk_monotonic_us () < end_us)
        {
          efx_run_for (fixture, 20 * CLK_MS_US);
          known = read_metric (fixture, "entry-3", CHANGES) >= changes
                  && read_metric (fixture, "entry-3", ELSEWHERE)
                         == STREAMS_SECOND
                  && read_metric (fixture, "entry-2", ELSEWHERE)
                         == STREAMS_THIRD;
        }
      for (uint32_t i = 0; i < STREAMS; i++)
        {
          efx_await_call (fixture, &calls[i]);
          assert_true (calls[i].status == 200 && calls[i].complete);
          efx_clear_call (&calls[i]);
        }
    }
  assert_true (known);
}

/* Guards against daemons that don't learn of each other's streams, also while
   and after the aggregator is dead or frozen.  */
static void
test_aggregator_fails (void **state)
{
  static const int signals[] = { SIGKILL, SIGSTOP };
  struct efx_fixture *fixture = *state;
  sfl_set_stream_events (fixture->fleet, EVENTS);
  struct pair pair = start_pair (fixture);
  await_known (fixture, &pair, 1);
  for (size_t i = 0; i < G_N_ELEMENTS (signals); i++)
    {
      int64_t before = read_metric (fixture, "entry-3", CHANGES);
      if (signals[i] == SIGKILL)
        {
          efx_kill_daemon (fixture);
        }
      else
        {
          sep_signal (fixture->daemon, signals[i]);
        }
      await_known (fixture, &pair, before + 1);
      if (signals[i] == SIGKILL)
        {
          sep_start (fixture->daemon);
        }
      else
        {
          sep_signal (fixture->daemon, SIGCONT);
        }
      await_known (fixture, &pair, before + 2);
    }
  destroy_pair (&pair);
}

/* Notes how many requests each engine has got in COUNTS.  */
static void
count_arrivals (const struct efx_fixture *fixture,
                uint32_t counts[EFX_ENGINES_LARGE])
{
  for (uint32_t i = 0; i < EFX_ENGINES_LARGE; i++)
    {
      counts[i] = sfl_arrival_count (fixture->fleet, i);
    }
}

/* Sends a stream to DAEMON, whose caller leaves when it has begun.  */
static void
begin_stream (struct efx_fixture *fixture, const struct sep_process *daemon)
{
  struct efx_call call;
  start_stream (fixture, &call, daemon);
  efx_await_begun (fixture, &call);
  assert_int_equal (call.status, 200);
  ncl_cancel (call.exchange);
  efx_clear_call (&call);
}

/* Starts CALL, a long stream, at the third daemon of PAIR, and kills an engine
   at which a path of the second one begins that CALL doesn't use: engines
   begin paths or end them.  */
static void
kill_other_engine (struct efx_fixture *fixture, struct efx_call *call,
                   const struct pair *pair)
{
  uint32_t before[EFX_ENGINES_LARGE];
  uint32_t after[EFX_ENGINES_LARGE];
  count_arrivals (fixture, before);
  start_stream (fixture, call, pair->third);
  efx_await_begun (fixture, call);
  count_arrivals (fixture, after);
  while (!call->done)
    {
      begin_stream (fixture, pair->second);
      for (uint32_t i = 0; i < EFX_ENGINES_LARGE; i++)
        {
          if (sfl_arrival_count (fixture->fleet, i) > after[i]
              && after[i] == before[i])
            {
              sfl_kill (fixture->fleet, i);
              return;
            }
        }
    }
  fail_msg ("the second daemon uses no other path");
}

/* Begins streams at DAEMON until SERIES of the daemon NAME has become 1.  */
static void
await_one (struct efx_fixture *fixture, const struct sep_process *daemon,
           const char *name, const char *series)
{
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  while (read_metric (fixture, name, series) < 1
         && clk_monotonic_us () < end_us)
    {
      begin_stream (fixture, daemon);
    }
  assert_true (read_metric (fixture, name, series) >= 1);
}

/* Guards against a daemon that must run into a dead engine itself: the third
   one hears of the engine that the second one has found dead.  When the third
   one has found it dead too, the second one hears that it is confirmed.  */
static void
test_engine_dies (void **state)
{
  struct efx_fixture *fixture = *state;
  struct pair pair = start_pair (fixture);
  sfl_set_stream_events (fixture->fleet, EVENTS);
  await_known (fixture, &pair, 1);
  struct efx_call call;
  kill_other_engine (fixture, &call, &pair);
  await_one (fixture, pair.second, "entry-2", TOLD);
  await_one (fixture, pair.second, "entry-3", SUSPECTED);
  assert_int_equal (read_metric (fixture, "entry-3", TOLD), 0);
  await_one (fixture, pair.third, "entry-2", CONFIRMED);
  efx_await_call (fixture, &call);
  assert_true (call.complete);
  efx_clear_call (&call);
  destroy_pair (&pair);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_aggregator_fails, efx_set_up_large,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_engine_dies, efx_set_up_large,
                                     efx_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
