/* Measures how the cost of membership grows with the fleet: first the state
   machines alone, in a simulated network without sockets, then with real
   connections on loopback, one thread for each daemon.  Fits a line to each
   quantity by least squares and prints its intercept, its slope with the
   standard error, and its value at the full size, as lines `name value unit
   target'.

     build/release/bench/control [--seed N]  */

#include "base/clock.h"
#include "peer/hub.h"
#include "standin/peer_net.h"

#include <glib.h>
#include <malloc.h>
#include <math.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FULL_SIZE 340 /* daemons */
#define POINTS_MAX 8
#define SETTLE_US (180 * CLK_S_US)
#define MEASURE_US (60 * CLK_S_US)
#define LIVE_WARM_UP_US (45 * CLK_S_US)
#define LIVE_MEASURE_US (20 * CLK_S_US)
#define LIVE_TICK_MS 50

/* A quantity, measured for rising sizes of the fleet. */
struct series
{
  const char *name;
  const char *unit;
  double target_at_full; /* upper limit at FULL_SIZE; 0: none */
  double x[POINTS_MAX];  /* members */
  double y[POINTS_MAX];  /* the quantity, in the unit */
  uint32_t count;
};

struct fit
{
  double intercept;
  double slope;
  double slope_error; /* standard error */
};

/* Adds a point to SERIES and prints it.  */
static void
add_point (struct series *series, double x, double y)
{
  series->x[series->count] = x;
  series->y[series->count] = y;
  series->count++;
  printf ("%s.%.0f %.2f %s -\n", series->name, x, y, series->unit);
  fflush (stdout);
}

/* Fits a line through SERIES, which has three points or more.  */
static struct fit
fit_line (const struct series *series)
{
  const double n = series->count;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  for (uint32_t i = 0; i < series->count; i++)
    {
      sum_x += series->x[i];
      sum_y += series->y[i];
      sum_xx += series->x[i] * series->x[i];
      sum_xy += series->x[i] * series->y[i];
    }
  const double spread = sum_xx - sum_x * sum_x / n;
  struct fit fit = { .slope = (sum_xy - sum_x * sum_y / n) / spread };
  fit.intercept = (sum_y - fit.slope * sum_x) / n;
  double squares = 0;
  for (uint32_t i = 0; i < series->count; i++)
    {
      const double predicted = fit.intercept + fit.slope * series->x[i];
      squares += (series->y[i] - predicted) * (series->y[i] - predicted);
    }
  fit.slope_error = sqrt (squares / (n - 2) / spread);
  return fit;
}

static void
print_fit (const struct series *series)
{
  const struct fit fit = fit_line (series);
  printf ("%s.intercept %.3f %s -\n", series->name, fit.intercept,
          series->unit);
  printf ("%s.slope %.5f %s/member -\n", series->name, fit.slope,
          series->unit);
  printf ("%s.slope_error %.5f %s/member -\n", series->name, fit.slope_error,
          series->unit);
  printf ("%s.at_%d %.2f %s ", series->name, FULL_SIZE,
          fit.intercept + fit.slope * FULL_SIZE, series->unit);
  if (series->target_at_full > 0)
    {
      printf ("<=%.0f\n", series->target_at_full);
    }
  else
    {
      printf ("-\n");
    }
}

/* Returns the processor time of the calling thread.  */
static int64_t
thread_cpu_us (void)
{
  struct timespec time;
  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &time);
  return time.tv_sec * CLK_S_US + time.tv_nsec / 1000;
}

/* Returns the bytes that all members have sent and received.  */
static double
total_bytes (const struct pn_net *net, uint32_t members)
{
  double bytes = 0;
  for (uint32_t i = 0; i < members; i++)
    {
      const struct pn_usage usage = pn_usage (net, i);
      bytes += (double)(usage.bytes + usage.received_bytes);
    }
  return bytes;
}

/* Runs the network until every member sees ALIVE members as alive, at most two
   minutes.  Returns the seconds that took, in steps of 0.1 s.  */
static double
seconds_until_all_see (struct pn_net *net, uint32_t alive)
{
  const int64_t start_us = pn_now_us (net);
  while (!pn_all_see (net, alive)
         && pn_now_us (net) - start_us < 120 * CLK_S_US)
    {
      pn_run (net, 100 * CLK_MS_US);
    }
  return (double)(pn_now_us (net) - start_us) / (double)CLK_S_US;
}

/* The quantities of the simulated network. */
struct simulated
{
  struct series cpu;
  struct series bytes;
  struct series memory;
  struct series join;
  struct series join_bytes;
  struct series death;
};

static void
measure_simulated (struct simulated *out, uint32_t members, uint32_t seed)
{
  const double seconds = (double)MEASURE_US / (double)CLK_S_US;
  struct pn_net *net = pn_create (members, seed);
  const size_t network_bytes = mallinfo2 ().uordblks;
  pn_start_all (net);
  const double join_s = seconds_until_all_see (net, members);
  const double join_bytes = total_bytes (net, members) / members / join_s;
  pn_run (net, SETTLE_US);
  const size_t after = mallinfo2 ().uordblks;
  pn_reset_usage (net);
  const int64_t start_us = thread_cpu_us ();
  pn_run (net, MEASURE_US);
  const double cpu_us = (double)(thread_cpu_us () - start_us);
  add_point (&out->cpu, members, cpu_us / members / seconds);
  add_point (&out->bytes, members,
             total_bytes (net, members) / members / seconds);
  add_point (&out->memory, members,
             (double)(after - network_bytes) / members / 1024.0);
  add_point (&out->join, members, join_s);
  add_point (&out->join_bytes, members, join_bytes);
  pn_kill (net, members - 1);
  add_point (&out->death, members, seconds_until_all_see (net, members - 1));
  pn_destroy (net);
}

static void
bench_simulated (uint32_t seed)
{
  static const uint32_t sizes[] = { 10, 40, 85, 170, 340 };
  struct simulated out = {
    .cpu = { .name = "membership.cpu", .unit = "us/s" },
    .bytes
    = { .name = "membership.bytes", .unit = "B/s", .target_at_full = 12000 },
    .memory = { .name = "membership.memory", .unit = "KiB" },
    .join = { .name = "membership.restart_of_all", .unit = "s" },
    .join_bytes = { .name = "membership.restart_bytes",
                    .unit = "B/s",
                    .target_at_full = 12000 },
    .death = { .name = "membership.death_seen_by_all", .unit = "s" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      measure_simulated (&out, sizes[i], seed);
    }
  print_fit (&out.cpu);
  print_fit (&out.bytes);
  print_fit (&out.memory);
  print_fit (&out.join);
  print_fit (&out.join_bytes);
  print_fit (&out.death);
}

/* One daemon's control thread, which runs membership only. */
struct live_daemon
{
  pthread_t thread;
  GMainContext *context;
  struct peer_hub *hub;
  struct mem_fleet *fleet;
  double cpu_us_per_s;
  double bytes_per_s;
  double connections;
};

static void
perform_actions (struct live_daemon *daemon)
{
  struct mem_action action;
  while (mem_next_action (daemon->fleet, &action))
    {
      if (action.kind == MEM_SEND)
        {
          Peer__Envelope envelope = PEER__ENVELOPE__INIT;
          envelope.body_case = PEER__ENVELOPE__BODY_MEMBERSHIP;
          envelope.membership = action.message;
          peer_hub_send (daemon->hub, action.address, &envelope);
        }
      mem_action_clear (&action);
    }
}

static void
on_message (void *user_data, const struct hsk_identity *sender,
            const Peer__Envelope *envelope)
{
  (void)sender;
  struct live_daemon *daemon = user_data;
  if (envelope->body_case == PEER__ENVELOPE__BODY_MEMBERSHIP)
    {
      mem_receive (daemon->fleet, envelope->membership, clk_monotonic_us ());
      perform_actions (daemon);
    }
}

static gboolean
on_tick (gpointer data)
{
  struct live_daemon *daemon = data;
  mem_tick (daemon->fleet, clk_monotonic_us ());
  perform_actions (daemon);
  return G_SOURCE_CONTINUE;
}

static void
run_for (struct live_daemon *daemon, int64_t duration_us)
{
  const int64_t end_us = clk_monotonic_us () + duration_us;
  while (clk_monotonic_us () < end_us)
    {
      g_main_context_iteration (daemon->context, TRUE);
    }
}

static void *
run_live_daemon (void *data)
{
  struct live_daemon *daemon = data;
  const double seconds = (double)LIVE_MEASURE_US / (double)CLK_S_US;
  GSource *timer = g_timeout_source_new (LIVE_TICK_MS);
  g_source_set_callback (timer, on_tick, daemon, NULL);
  g_source_attach (timer, daemon->context);
  run_for (daemon, LIVE_WARM_UP_US);
  const struct peer_stats before = peer_hub_stats (daemon->hub);
  const int64_t start_us = thread_cpu_us ();
  run_for (daemon, LIVE_MEASURE_US);
  const struct peer_stats after = peer_hub_stats (daemon->hub);
  daemon->cpu_us_per_s = (double)(thread_cpu_us () - start_us) / seconds;
  daemon->bytes_per_s = (double)(after.sent_bytes + after.received_bytes
                                 - before.sent_bytes - before.received_bytes)
                        / seconds;
  daemon->connections = after.open;
  run_for (daemon, CLK_S_US);
  g_source_destroy (timer);
  g_source_unref (timer);
  return NULL;
}

static void
create_live_daemon (struct live_daemon *daemon, uint32_t index, uint32_t seed)
{
  char *name = g_strdup_printf ("entry-%03u", index);
  const struct peer_callbacks callbacks = { .on_message = on_message };
  const struct peer_settings settings = {
    .name = name, .address = "127.0.0.1:0", .secret = "bench", .incarnation = 1
  };
  GError *error = NULL;
  daemon->context = g_main_context_new ();
  daemon->hub = peer_hub_create (daemon->context, &settings, &callbacks,
                                 daemon, &error);
  if (daemon->hub == NULL)
    {
      g_error ("%s", error->message);
    }
  const struct mem_settings member
      = { .name = name,
          .address = peer_hub_address (daemon->hub),
          .data_centre = "dc-a",
          .incarnation = 1,
          .seed = seed + index };
  daemon->fleet = mem_create (&member, clk_monotonic_us ());
  g_free (name);
}

/* The quantities of the daemons with real connections. */
struct live_series
{
  struct series cpu;
  struct series bytes;
  struct series connections;
};

static void
measure_live (struct live_series *out, uint32_t daemons, uint32_t seed)
{
  struct live_daemon *live = g_new0 (struct live_daemon, daemons);
  const char **addresses = g_new0 (const char *, daemons + 1);
  for (uint32_t i = 0; i < daemons; i++)
    {
      create_live_daemon (&live[i], i, seed);
      addresses[i] = peer_hub_address (live[i].hub);
    }
  for (uint32_t i = 0; i < daemons; i++)
    {
      mem_set_candidates (live[i].fleet, addresses);
      pthread_create (&live[i].thread, NULL, run_live_daemon, &live[i]);
    }
  struct live_daemon mean = { 0 };
  for (uint32_t i = 0; i < daemons; i++)
    {
      pthread_join (live[i].thread, NULL);
      mean.cpu_us_per_s += live[i].cpu_us_per_s / daemons;
      mean.bytes_per_s += live[i].bytes_per_s / daemons;
      mean.connections += live[i].connections / daemons;
    }
  add_point (&out->cpu, daemons, mean.cpu_us_per_s);
  add_point (&out->bytes, daemons, mean.bytes_per_s);
  add_point (&out->connections, daemons, mean.connections);
  for (uint32_t i = 0; i < daemons; i++)
    {
      peer_hub_destroy (live[i].hub);
      mem_destroy (live[i].fleet);
      g_main_context_unref (live[i].context);
    }
  g_free (addresses);
  g_free (live);
}

static void
bench_live (uint32_t seed)
{
  static const uint32_t sizes[] = { 10, 20, 40, 85, 170 };
  struct live_series out = {
    .cpu
    = { .name = "connected.cpu", .unit = "us/s", .target_at_full = 13000 },
    .bytes
    = { .name = "connected.bytes", .unit = "B/s", .target_at_full = 12000 },
    .connections = { .name = "connected.connections", .unit = "count" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (sizes); i++)
    {
      measure_live (&out, sizes[i], seed);
    }
  print_fit (&out.cpu);
  print_fit (&out.bytes);
  print_fit (&out.connections);
}

int
main (int argc, char **argv)
{
  uint32_t seed = 1;
  if (argc == 3 && strcmp (argv[1], "--seed") == 0)
    {
      seed = (uint32_t)strtoul (argv[2], NULL, 10);
    }
  else if (argc != 1)
    {
      fprintf (stderr, "usage: control [--seed N]\n");
      return 2;
    }
  bench_simulated (seed);
  bench_live (seed);
  return 0;
}
