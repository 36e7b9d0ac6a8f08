/* The soak: runs daemons as separate processes against the stand-in fleet,
   injects disruptions drawn from a seed, and checks what callers and endpoints
   observed against the daemons' guarantees.  Prints each violation and a
   summary line, which `run' reads.  Exits with 1 if there was a violation.

   ./run soak --seed N --minutes M [--daemons D] [--rate R] [--verbose]
*/
#include "soak/callers.h"
#include "soak/injector.h"
#include "soak/logs.h"

#include "base/clock.h"

#include <argtable2.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#define ENGINES 6
#define SERVICES 3

/* Between two events of a stream. */
#define EVENT_MS 15

#define TICK_MS 10

/* For how long the daemons ask to be members of their group without a
   renewal. */
#define GROUP_TTL_MS 2500

/* A tick that comes later than this means that this process, with the
   stand-ins and callers, was stalled; the stall is recorded as a fault. */
#define STALL_US (150 * CLK_MS_US)
#define PROBE_INTERVAL_US (1 * CLK_S_US)
#define PROCESS_CHECK_US (50 * CLK_MS_US)

/* Requests a second, unless --rate is given. */
#define DEFAULT_RATE_PER_S 40

/* The time within which the layers must be placed and the daemons be ready. */
#define START_TIMEOUT_US (20 * CLK_S_US)

/* After the last disruption, the daemons get RECOVERY_US to recover; in
   SERVE_ALL_US after that, every request must be served. */
#define RECOVERY_US (8 * CLK_S_US)
#define SERVE_ALL_US (3 * CLK_S_US)

/* The memory limit of each daemon. */
#define MEMORY_MAX_KB 65536

#define STOP_TIMEOUT_S 5

/* Percentage of the requests with an extra key that have the one before the
   newest. */
#define OLDER_KEY_PERCENT 20

static const struct sjd_bounds bounds = {
  .settle_us = 3 * CLK_S_US,
  .config_us = 2 * CLK_S_US,
  .rollback_us = 250 * CLK_MS_US,
  .revoke_us = 3 * CLK_S_US,
  .stable_us = 1 * CLK_S_US,
  .drain_us = 1 * CLK_S_US,
  /* The longest time-out of the stand-in's routes: no request waits longer. */
  .turn_away_max_us = 10 * CLK_S_US,
  .lease_us = 1 * CLK_S_US,
  .cancel_us = 500 * CLK_MS_US,
  .answer_slack_us = 1 * CLK_S_US,
  .retry_window_us = 4 * CLK_S_US,
  .retry_ratio = 0.2,
  .retry_slack = 40,
};

struct options
{
  uint32_t seed;
  double minutes;
  uint32_t daemons;
  double rate;
  bool verbose;
};

struct soak
{
  struct options options;
  uv_loop_t loop;
  uv_timer_t tick;
  GRand *random;
  GRand *key_choice; /* draws whether a request has an older key */
  char *folder;
  GPtrArray *proxies; /* struct spx_proxy, in front of the endpoints */
  struct srd_record *record;
  struct sfl_fleet *fleet;
  struct sdm_daemons *daemons;
  struct scl_callers *callers;
  struct stb_injector *injector; /* NULL before the workload */
  int64_t ticked_us;             /* time of the last tick */
  uint32_t stalls;               /* of this process */
  int64_t next_request_us;
  int64_t next_probe_us;
  int64_t next_process_check_us;
  bool sending; /* false before and after the workload */
};

static void
on_arrival (void *context, uint32_t endpoint, const char *request_id)
{
  struct soak *soak = context;
  srd_add_arrival (soak->record, request_id, endpoint,
                   sfl_restart_count (soak->fleet, endpoint),
                   clk_monotonic_us ());
}

static void
on_run_begin (void *context, uint32_t endpoint, const char *request_id)
{
  (void)endpoint;
  struct soak *soak = context;
  srd_begin_run (soak->record, request_id, clk_monotonic_us ());
}

static void
on_run_end (void *context, const char *request_id)
{
  struct soak *soak = context;
  srd_end_run (soak->record, request_id, clk_monotonic_us ());
}

/* Returns for how long the Retry-After header TEXT asks; 0 unless it is a
   positive number of seconds.  */
static int64_t
read_retry_after (const char *text)
{
  char *end = NULL;
  double seconds = text == NULL ? 0 : g_ascii_strtod (text, &end);
  bool valid = text != NULL && g_ascii_isdigit (text[0]) && *end == '\0';
  return valid ? (int64_t)(MIN (seconds, 1e9) * CLK_S_US) : 0;
}

static void
on_answered (void *context, uint32_t endpoint, const char *request_id,
             bool leaving, const char *retry_after)
{
  struct soak *soak = context;
  struct srd_answer answer = {
    .endpoint = endpoint,
    .instance = sfl_restart_count (soak->fleet, endpoint),
    .leaving = leaving,
    .at_us = clk_monotonic_us (),
    .turn_away_us = read_retry_after (retry_after),
  };
  srd_add_answer (soak->record, request_id, &answer);
}

static void
on_ordered (void *context, uint32_t endpoint, uint64_t fence, bool refused)
{
  struct soak *soak = context;
  struct srd_order order = {
    .endpoint = endpoint,
    .instance = sfl_restart_count (soak->fleet, endpoint),
    .fence = fence,
    .refused = refused,
    .at_us = clk_monotonic_us (),
  };
  g_array_append_val (soak->record->orders, order);
}

static const struct sfl_observer observer = {
  .answered = on_answered,
  .ordered = on_ordered,
  .arrived = on_arrival,
  .started = on_run_begin,
  .stopped = on_run_end,
};

/* Creates a proxy in front of the endpoint at ADDRESS and returns the address
   of the proxy, which the fleet lists instead.  */
static char *
create_endpoint_proxy (void *context, const char *address)
{
  struct soak *soak = context;
  struct spx_proxy *proxy = spx_create (&soak->loop, address);
  g_ptr_array_add (soak->proxies, proxy);
  return g_strdup (spx_address (proxy));
}

/* Returns the index of the extra key for the next request: the newest one, now
   and then the one before; 0: none.  */
static uint32_t
choose_key (const struct soak *soak)
{
  uint32_t newest
      = soak->injector == NULL ? 0 : stb_newest_key (soak->injector);
  bool older
      = newest > 1
        && g_rand_int_range (soak->key_choice, 0, 100) < OLDER_KEY_PERCENT;
  return older ? newest - 1 : newest;
}

/* Sends the requests that are due, as a Poisson process.  */
static void
send_requests (struct soak *soak, int64_t now_us)
{
  while (soak->sending && now_us >= soak->next_request_us)
    {
      double pause_s
          = -log (1 - g_rand_double (soak->random)) / soak->options.rate;
      soak->next_request_us += (int64_t)(pause_s * CLK_S_US) + 1;
      uint32_t harms[SRD_KINDS] = { 0 };
      if (soak->injector != NULL)
        {
          harms[SRD_DRAFT] = stb_harm (soak->injector, SRD_DRAFT);
          harms[SRD_LOOK] = stb_harm (soak->injector, SRD_LOOK);
        }
      scl_send (soak->callers, choose_key (soak), harms);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  struct soak *soak = timer->data;
  int64_t now_us = clk_monotonic_us ();
  if (now_us - soak->ticked_us > STALL_US)
    {
      soak->stalls++;
      srd_end_fault (soak->record,
                     srd_begin_fault (soak->record, soak->ticked_us), now_us);
      srd_end_interruption (soak->record,
                            srd_begin_interruption (soak->record, SRD_ALL,
                                                    SRD_ALL, soak->ticked_us),
                            now_us);
    }
  soak->ticked_us = now_us;
  send_requests (soak, now_us);
  scl_expire (soak->callers, now_us);
  if (now_us >= soak->next_probe_us)
    {
      soak->next_probe_us = now_us + PROBE_INTERVAL_US;
      sdm_probe (soak->daemons);
    }
  if (now_us >= soak->next_process_check_us)
    {
      soak->next_process_check_us = now_us + PROCESS_CHECK_US;
      sdm_check_processes (soak->daemons, now_us);
    }
  if (soak->injector != NULL)
    {
      stb_tick (soak->injector, now_us);
    }
}

/* Runs the loop for DURATION_US.  */
static void
run_for (struct soak *soak, int64_t duration_us)
{
  int64_t end_us = clk_monotonic_us () + duration_us;
  while (clk_monotonic_us () < end_us)
    {
      uv_run (&soak->loop, UV_RUN_ONCE);
    }
}

/* Starts the stand-in fleet, the daemons and the callers.  */
static void
start (struct soak *soak)
{
  const struct sfl_params fleet = {
    .loop = &soak->loop,
    .engines = ENGINES,
    .services = SERVICES,
    .event_ms = EVENT_MS,
    .group_ttl_ms = GROUP_TTL_MS,
    .observer = &observer,
    .announce = create_endpoint_proxy,
    .context = soak,
  };
  uv_loop_init (&soak->loop);
  soak->random = g_rand_new_with_seed (soak->options.seed);
  soak->key_choice = g_rand_new_with_seed (soak->options.seed + 1);
  soak->folder = g_dir_make_tmp ("soak-XXXXXX", NULL);
  soak->proxies = g_ptr_array_new ();
  soak->record = srd_create ();
  soak->fleet = sfl_create (&fleet);
  struct srd_change first = { .version = 1, .acked_us = clk_monotonic_us () };
  g_array_append_val (soak->record->changes, first);
  const struct sdm_params daemons = {
    .loop = &soak->loop,
    .folder = soak->folder,
    .store_address = sfl_store_address (soak->fleet),
    .count = soak->options.daemons,
    .bounds = &bounds,
    .record = soak->record,
    .stop_s = STOP_TIMEOUT_S,
    .memory_max_kb = MEMORY_MAX_KB,
  };
  soak->daemons = sdm_create (&daemons);
  const struct scl_params callers = {
    .loop = &soak->loop,
    .random = soak->random,
    .daemons = soak->daemons,
    .record = soak->record,
  };
  soak->callers = scl_create (&callers);
  uv_timer_init (&soak->loop, &soak->tick);
  soak->tick.data = soak;
  soak->ticked_us = clk_monotonic_us ();
  uv_timer_start (&soak->tick, on_tick, TICK_MS, TICK_MS);
}

/* Waits until the engines hold every layer and all daemons are ready.  Returns
   false if that takes too long.  */
static bool
await_ready (struct soak *soak)
{
  int64_t end_us = clk_monotonic_us () + START_TIMEOUT_US;
  for (;;)
    {
      bool ready = sfl_is_placed (soak->fleet);
      for (guint i = 0; i < soak->daemons->list->len; i++)
        {
          ready &= sdm_at (soak->daemons, i)->in_rotation;
        }
      if (ready || clk_monotonic_us () >= end_us)
        {
          return ready;
        }
      run_for (soak, 50 * CLK_MS_US);
    }
}

/* Waits until the injector has ended.  */
static void
await_injector (struct soak *soak)
{
  while (!stb_has_ended (soak->injector))
    {
      run_for (soak, 50 * CLK_MS_US);
    }
}

/* Sends requests and injects disruptions for the given minutes, then sends
   requests alone until the daemons have recovered, rehearses a harm and
   restores of the store, and waits for the last answers and for the work of
   callers that left to stop.  */
static void
run_workload (struct soak *soak)
{
  const struct stb_params injector = {
    .loop = &soak->loop,
    .random = soak->random,
    .seed = soak->options.seed,
    .fleet = soak->fleet,
    .daemons = soak->daemons,
    .proxies = soak->proxies,
    .record = soak->record,
    .engines = ENGINES,
    .services = SERVICES,
    .verbose = soak->options.verbose,
  };
  soak->next_request_us = clk_monotonic_us ();
  soak->sending = true;
  soak->injector = stb_create (&injector);
  run_for (soak, (int64_t)(soak->options.minutes * 60 * CLK_S_US));
  stb_end (soak->injector, clk_monotonic_us ());
  await_injector (soak);
  run_for (soak, RECOVERY_US);
  soak->record->recovered_us = clk_monotonic_us ();
  run_for (soak, SERVE_ALL_US);
  stb_rehearse (soak->injector);
  await_injector (soak);
  soak->sending = false;
  while (scl_in_flight (soak->callers) > 0)
    {
      run_for (soak, 50 * CLK_MS_US);
    }
  /* The last caller may have left just now. */
  run_for (soak, bounds.cancel_us);
  soak->record->ended_us = clk_monotonic_us ();
}

/* Checks the record and prints the violations and the summary line.  Returns
   the number of violations.  */
static uint32_t
report_violations (struct soak *soak)
{
  GPtrArray *violations = sjd_check (soak->record, &bounds);
  const char *fleet = sfl_violation (soak->fleet);
  if (fleet != NULL)
    {
      g_ptr_array_add (violations, g_strdup (fleet));
    }
  for (guint i = 0; i < soak->daemons->violations->len; i++)
    {
      const char *text = g_ptr_array_index (soak->daemons->violations, i);
      g_ptr_array_add (violations, g_strdup (text));
    }
  uint32_t served = 0;
  for (guint i = 0; i < soak->record->requests->len; i++)
    {
      const struct srd_request *request
          = g_ptr_array_index (soak->record->requests, i);
      served += request->correct;
    }
  for (guint i = 0; i < violations->len; i++)
    {
      const char *violation = g_ptr_array_index (violations, i);
      g_autofree char *id = g_strndup (violation, strcspn (violation, " "));
      g_autofree char *request = srd_describe_request (soak->record, id);
      printf ("violation: %s\n", violation);
      if (request != NULL)
        {
          printf ("  %s\n", request);
        }
    }
  printf (
      "seed %u: %u requests, %u served, %u troubles, %u stalls of the soak "
      "itself, %u violations\n",
      soak->options.seed, soak->record->requests->len, served,
      soak->record->faults->len - soak->stalls, soak->stalls, violations->len);
  uint32_t count = violations->len;
  g_ptr_array_free (violations, TRUE);
  return count;
}

/* Stops and frees everything that start created.  Keeps the daemons' logs if
   KEEP_FILES, and prints their folder.  */
static void
end (struct soak *soak, bool keep_files)
{
  if (soak->injector != NULL)
    {
      stb_destroy (soak->injector);
    }
  scl_destroy (soak->callers);
  sdm_destroy (soak->daemons, keep_files);
  uv_close ((uv_handle_t *)&soak->tick, NULL);
  sfl_destroy (soak->fleet);
  for (guint i = 0; i < soak->proxies->len; i++)
    {
      spx_destroy (g_ptr_array_index (soak->proxies, i));
    }
  uv_run (&soak->loop, UV_RUN_DEFAULT);
  uv_loop_close (&soak->loop);
  g_ptr_array_free (soak->proxies, TRUE);
  srd_destroy (soak->record);
  g_rand_free (soak->random);
  g_rand_free (soak->key_choice);
  if (keep_files)
    {
      printf ("logs: %s\n", soak->folder);
    }
  else
    {
      rmdir (soak->folder);
    }
  g_free (soak->folder);
}

/* Reads the command line.  */
static bool
read_options (int argc, char **argv, struct options *options)
{
  struct arg_int *seed
      = arg_int0 (NULL, "seed", "N", "seed of the disruptions (1)");
  struct arg_dbl *minutes
      = arg_dbl0 (NULL, "minutes", "M", "duration in minutes (1)");
  struct arg_int *daemons
      = arg_int0 (NULL, "daemons", "D", "number of daemons (3)");
  struct arg_dbl *rate
      = arg_dbl0 (NULL, "rate", "R", "requests a second (40)");
  struct arg_lit *verbose
      = arg_lit0 (NULL, "verbose", "print each step of a disruption");
  struct arg_end *end = arg_end (8);
  void *table[] = { seed, minutes, daemons, rate, verbose, end };
  bool valid = arg_nullcheck (table) == 0;
  if (valid)
    {
      seed->ival[0] = 1;
      minutes->dval[0] = 1;
      daemons->ival[0] = 3;
      rate->dval[0] = DEFAULT_RATE_PER_S;
      int errors = arg_parse (argc, argv, table);
      valid = errors == 0 && daemons->ival[0] > 0 && rate->dval[0] > 0;
      if (errors > 0)
        {
          arg_print_errors (stderr, end, "soak");
        }
      *options = (struct options){
        .seed = (uint32_t)seed->ival[0],
        .minutes = minutes->dval[0],
        .daemons = (uint32_t)daemons->ival[0],
        .rate = rate->dval[0],
        .verbose = verbose->count > 0,
      };
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return valid;
}

int
main (int argc, char **argv)
{
  struct soak soak = { .sending = false };
  if (!read_options (argc, argv, &soak.options))
    {
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  /* The daemons are forked with what is in the buffer. */
  setvbuf (stdout, NULL, _IOLBF, 0);
  start (&soak);
  bool ready = await_ready (&soak);
  uint32_t violations = 1;
  if (ready)
    {
      run_workload (&soak);
      slg_read_senders (soak.daemons, soak.record);
      violations = report_violations (&soak);
    }
  else
    {
      printf ("violation: the daemons weren't ready in time\n");
    }
  end (&soak, violations > 0);
  return violations == 0 ? 0 : 1;
}
