/* Tests of the entry daemon: endpoints that name in their answers how many
   requests a second they take from all daemons together. */
#include "test/entry_fixture.h"

#include "base/clock.h"

#include <string.h>

/* The sliding window in which arrivals are counted, and the interval of the
   counts. */
#define WINDOW_US (4 * CLK_S_US)
#define COUNT_US (100 * CLK_MS_US)
#define WINDOW_COUNTS (WINDOW_US / COUNT_US)

/* Time for which a load is sent; a limit holds from SETTLE_US after it was
   named first. */
#define LOAD_US (6500 * CLK_MS_US)
#define LOAD_AFTER_US (1500 * CLK_MS_US)
#define SETTLE_US (1 * CLK_S_US)

/* Requests that arrive more than the limit allows, as the platform tells. */
#define ALLOWED_FACTOR 1.5
#define ALLOWED_MORE 5

/* Requests that are sent at each count, to each daemon. */
#define REQUESTS 3

/* What a load has shown. */
struct outcome
{
  uint32_t most; /* arrivals at the endpoint in a window */
  uint32_t sent;
  uint32_t served;
  uint32_t refused; /* with a time to come back */
  uint32_t others;
  int64_t refused_late_us; /* longest time until a refusal */
};

static void
free_call (gpointer call)
{
  efx_clear_call (call);
  g_free (call);
}

/* Sends one request for PATH to DAEMON and adds it to CALLS.  */
static void
send_call (struct efx_fixture *fixture, GPtrArray *calls,
           const struct sep_process *daemon, const char *path)
{
  struct efx_call *call = g_new0 (struct efx_call, 1);
  g_autofree char *id = g_strdup_printf ("rate-%u", fixture->next_id++);
  g_autofree char *request
      = efx_build_request ("POST", EFX_FLEET_HOST, path, "key-1", id, "");
  efx_start_call (fixture, call, sep_caller_address (daemon), request,
                  strlen (request));
  g_ptr_array_add (calls, call);
}

/* Sends a load for PATH to both DAEMONS for LOAD_US and counts what arrives at
   ENDPOINT.  */
static void
send_load (struct efx_fixture *fixture, struct sep_process *const daemons[2],
           const char *path, uint32_t endpoint, int64_t load_us,
           struct outcome *outcome)
{
  g_autoptr (GPtrArray) calls = g_ptr_array_new_with_free_func (free_call);
  uint32_t counts[LOAD_US / COUNT_US];
  *outcome = (struct outcome){ 0 };
  for (uint32_t i = 0; i < load_us / COUNT_US; i++)
    {
      for (uint32_t n = 0; n < REQUESTS; n++)
        {
          send_call (fixture, calls, daemons[0], path);
          send_call (fixture, calls, daemons[1], path);
        }
      efx_run_for (fixture, COUNT_US);
      counts[i] = sfl_arrival_count (fixture->fleet, endpoint);
      uint32_t first = SETTLE_US / COUNT_US;
      if (i >= first + WINDOW_COUNTS)
        {
          outcome->most
              = MAX (outcome->most, counts[i] - counts[i - WINDOW_COUNTS]);
        }
    }
  for (guint i = 0; i < calls->len; i++)
    {
      struct efx_call *call = g_ptr_array_index (calls, i);
      efx_await_call (fixture, call);
      bool refused = call->status == 503 && call->has_retry_after;
      outcome->sent++;
      outcome->served += call->status == 200 && call->complete;
      outcome->refused += refused;
      outcome->others += call->status != 200 && !refused;
      if (refused)
        {
          outcome->refused_late_us
              = MAX (outcome->refused_late_us, call->took_us);
        }
    }
}

/* Guards against more requests to an endpoint than it takes: the daemons
   together keep to the rate that it names, other endpoints serve the rest, and
   what none can serve in time is refused soon.  Once it names no limit any
   more, all is served again.  */
static void
test_rate_limit (void **state)
{
  static const struct
  {
    const char *name;
    const char *path;
    const char *per_s;
    uint32_t endpoint; /* whose arrivals are counted */
    bool limits_all;   /* of its kind */
  } cases[] = {
    { "one service", "/look/a", "6", EFX_ENGINES, false },
    { "one service, with a fraction", "/look/a", "0.75", EFX_ENGINES, false },
    { "all services", "/look/a", "5", EFX_ENGINES + 1, true },
    { "all engines", "/draft/a", "4.5", 0, true },
  };
  struct efx_fixture *fixture = *state;
  struct sep_process *second = efx_create_second (fixture, NULL, 0, false);
  efx_start_second (fixture, second);
  efx_run_for (fixture, 2 * CLK_S_US);
  struct sep_process *const daemons[] = { fixture->daemon, second };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      bool engines = cases[i].endpoint < EFX_ENGINES;
      uint32_t first = engines ? 0 : EFX_ENGINES;
      uint32_t end = engines ? EFX_ENGINES : EFX_ENGINES + EFX_SERVICES;
      for (uint32_t n = first; n < end; n++)
        {
          bool limits = cases[i].limits_all || n == cases[i].endpoint;
          sfl_set_rate_limit (fixture->fleet, n,
                              limits ? cases[i].per_s : NULL);
        }
      struct outcome outcome;
      send_load (fixture, daemons, cases[i].path, cases[i].endpoint, LOAD_US,
                 &outcome);
      for (uint32_t n = first; n < end; n++)
        {
          sfl_set_rate_limit (fixture->fleet, n, NULL);
        }
      efx_run_for (fixture, 3 * CLK_S_US);
      struct outcome after;
      send_load (fixture, daemons, cases[i].path, cases[i].endpoint,
                 LOAD_AFTER_US, &after);
      double limit = g_ascii_strtod (cases[i].per_s, NULL);
      double window_s = (double)WINDOW_US / CLK_S_US;
      double allowed = ALLOWED_FACTOR * window_s * limit + ALLOWED_MORE;
      print_message ("%s: %u of %.0f allowed; %u of %u served, %u refused; "
                     "after: %u of %u served\n",
                     cases[i].name, outcome.most, allowed, outcome.served,
                     outcome.sent, outcome.refused, after.served, after.sent);
      bool served
          = cases[i].limits_all
                ? outcome.served > limit * (double)LOAD_US / CLK_S_US / 2
                : outcome.served == outcome.sent;
      if (outcome.most > allowed || !served || outcome.others > 0
          || outcome.refused_late_us > CLK_S_US
          || after.served * 20 < after.sent * 19)
        {
          fail_msg ("%s: %u of %.0f allowed; %u of %u served, %u refused "
                    "after up to %ld ms, %u others; after: %u of %u served",
                    cases[i].name, outcome.most, allowed, outcome.served,
                    outcome.sent, outcome.refused,
                    (long)(outcome.refused_late_us / CLK_MS_US),
                    outcome.others, after.served, after.sent);
        }
    }
  sep_remove_files (second);
  sep_destroy (second);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rate_limit),
  };
  return cmocka_run_group_tests (tests, efx_set_up, efx_tear_down);
}
