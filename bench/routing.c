/* Compares the router's choice of chains with baseline policies in a
   discrete-event simulation: 6 daemons choose among 40 engines of four kinds
   in three data centres, from load reports that lag.  Each daemon keeps a
   fixed number of streams open.  All policies get the same placement, load and
   timeout.  Prints lines `name value unit target'.

     build/release/bench/routing [--seed N]  */

#include "core/routing.h"
#include "base/clock.h"
#include "core/placement.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DAEMONS 6
#define ENGINES 40
#define ENGINE_KINDS 4
#define DATA_CENTRES 3
#define LAYERS 80
#define BATCH_MAX 8       /* steps in one batch of an engine */
#define STREAM_TOKENS 100 /* mean length of a stream */
#define REPORT_INTERVAL_US (500 * CLK_MS_US)
#define TIMEOUT_US (1000 * CLK_MS_US)
#define WARM_UP_US (5 * CLK_S_US)
#define END_US (25 * CLK_S_US)
#define SEEDS 5        /* runs of each policy */
#define SLOW_FACTOR 10 /* slowdown of the slow engine */

enum policy
{
  POLICY_ROUTER, /* rt_choose_chain */
  POLICY_ROUND_ROBIN,
  POLICY_NEAREST,        /* the least link delay */
  POLICY_LEAST_REPORTED, /* the least reported load */
  POLICY_TWO_CHOICES,    /* the less loaded of two random engines */
  POLICY_COUNT
};

static const char *const policy_names[] = {
  "ours", "round_robin", "nearest", "least_reported", "two_choices",
};

enum event_kind
{
  EVENT_STEP,       /* a step arrives at an engine */
  EVENT_BATCH_DONE, /* an engine completes a batch */
  EVENT_ANSWER,     /* the answer to a step arrives at a daemon */
  EVENT_REPORT      /* the daemons receive the engines' load */
};

struct event
{
  int64_t at_us;
  uint64_t order; /* of creation, among events of the same time */
  enum event_kind kind;
  uint32_t index; /* of the stream; EVENT_BATCH_DONE: of the engine */
};

struct stream
{
  uint32_t daemon;
  struct rt_chain chain;
  uint32_t stage; /* current stage of the chain */
  uint32_t tokens_left;
  int64_t sent_us; /* when the step was sent */
  int64_t last_token_us;
};

struct engine
{
  GQueue waiting; /* indices of streams */
  GQueue batch;   /* indices of streams, in execution */
  double rate;    /* layer tokens a second */
};

struct simulation
{
  enum policy policy;
  struct cfg_config *config;
  struct snap_endpoint endpoints[DAEMONS][ENGINES];
  struct ld_load loads[DAEMONS][ENGINES];
  struct snap snaps[DAEMONS];
  uint32_t next_turn[DAEMONS]; /* of POLICY_ROUND_ROBIN */
  struct engine engines[ENGINES];
  struct stream *streams;
  uint32_t stream_count;
  GTree *events;
  uint64_t order;
  int64_t now_us;
  GRand *rand;
  uint64_t tokens;       /* after the warm-up */
  GArray *token_gaps_us; /* int64_t */
};

static gint
compare_events (gconstpointer left, gconstpointer right, gpointer unused)
{
  (void)unused;
  const struct event *a = left;
  const struct event *b = right;
  if (a->at_us != b->at_us)
    {
      return a->at_us < b->at_us ? -1 : 1;
    }
  return a->order < b->order ? -1 : a->order > b->order;
}

static void
schedule (struct simulation *simulation, int64_t at_us, enum event_kind kind,
          uint32_t index)
{
  struct event *event = g_new0 (struct event, 1);
  *event = (struct event){ at_us, simulation->order++, kind, index };
  g_tree_insert (simulation->events, event, NULL);
}

static struct cfg_config *
make_config (GRand *rand)
{
  static const uint32_t rates[ENGINE_KINDS] = { 6000, 12000, 18000, 30000 };
  static const uint32_t memories[ENGINE_KINDS] = { 16, 20, 27, 40 };
  struct cfg_config *config = cfg_config_create ();
  config->models = g_new0 (struct cfg_model, 1);
  config->model_count = 1;
  config->models[0] = (struct cfg_model){
    .layers = LAYERS,
    .layer_memory_mib = 1,
    .activation_bytes = 8192,
  };
  config->data_centres = g_new0 (struct cfg_data_centre, DATA_CENTRES);
  config->data_centre_count = DATA_CENTRES;
  config->hosts = g_new0 (struct cfg_host, ENGINES);
  config->host_count = ENGINES;
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      int kind = g_rand_int_range (rand, 0, ENGINE_KINDS);
      config->hosts[i].layer_tokens_per_s = rates[kind];
      config->hosts[i].memory_mib = memories[kind];
      config->hosts[i].data_centre = i % DATA_CENTRES;
    }
  return config;
}

/* Sets the delay and bandwidth of the link between the data centres FROM and
   TO, which differ up to a hundredfold.  */
static void
set_link (struct snap_endpoint *endpoint, uint32_t from, uint32_t to)
{
  static const int64_t delays_us[] = { 50, 500, 5000 };
  static const uint64_t bytes_per_s[] = { 1000000000, 100000000, 10000000 };
  uint32_t distance = from == to ? 0 : from + to == 1 ? 1 : 2;
  endpoint->link_delay_us = delays_us[distance];
  endpoint->link_bytes_per_s = bytes_per_s[distance];
}

/* Returns the cost that the baseline policy assigns to the endpoint INDEX from
   DAEMON's view; the lowest is chosen.  */
static double
cost (struct simulation *simulation, uint32_t daemon, uint32_t index)
{
  const struct ld_load *load = &simulation->loads[daemon][index];
  switch (simulation->policy)
    {
    case POLICY_NEAREST:
      return (double)simulation->endpoints[daemon][index].link_delay_us
             + g_rand_double (simulation->rand);
    case POLICY_LEAST_REPORTED:
    case POLICY_TWO_CHOICES:
      return load->reported_running + load->reported_queued
             + g_rand_double (simulation->rand);
    default:
      return 0.0;
    }
}

/* Returns the engine of HOLDERS that the baseline policy chooses.  */
static uint32_t
choose_holder (struct simulation *simulation, uint32_t daemon,
               const GArray *holders)
{
  uint32_t best = UINT32_MAX;
  double best_cost = 0.0;
  if (simulation->policy == POLICY_ROUND_ROBIN)
    {
      uint32_t next_turn = simulation->next_turn[daemon]++;
      return g_array_index (holders, uint32_t, next_turn % holders->len);
    }
  bool two = simulation->policy == POLICY_TWO_CHOICES;
  for (uint32_t i = 0; i < (two ? 2 : holders->len); i++)
    {
      uint32_t at = two ? (uint32_t)g_rand_int_range (simulation->rand, 0,
                                                      (gint32)holders->len)
                        : i;
      uint32_t index = g_array_index (holders, uint32_t, at);
      double value = cost (simulation, daemon, index);
      if (best == UINT32_MAX || value < best_cost)
        {
          best = index;
          best_cost = value;
        }
    }
  return best;
}

/* Builds CHAIN stage by stage by the baseline policy.  Ranges that begin at
   the same layer also end at the same layer, as the placement's boundaries are
   common.  */
static void
choose_by_baseline (struct simulation *simulation, uint32_t daemon,
                    struct rt_chain *chain)
{
  GArray *holders = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  chain->length = 0;
  for (uint32_t first = 0; first < LAYERS;)
    {
      uint32_t end = 0;
      g_array_set_size (holders, 0);
      for (uint32_t i = 0; i < ENGINES; i++)
        {
          const struct snap_endpoint *endpoint
              = &simulation->endpoints[daemon][i];
          for (uint32_t j = 0; j < endpoint->range_count; j++)
            {
              if (endpoint->ranges[j].first == first
                  && ld_standing (endpoint->load, simulation->now_us)
                         == LD_OPEN)
                {
                  end = endpoint->ranges[j].end;
                  g_array_append_val (holders, i);
                }
            }
        }
      if (holders->len == 0)
        {
          break;
        }
      uint32_t chosen = choose_holder (simulation, daemon, holders);
      chain->stages[chain->length++]
          = (struct rt_stage){ .endpoint = chosen, first, end };
      first = end;
    }
  g_array_free (holders, TRUE);
}

/* Sends the step of the stream INDEX at its current stage to the engine.  */
static void
send_step (struct simulation *simulation, uint32_t index)
{
  struct stream *stream = &simulation->streams[index];
  uint32_t engine = stream->chain.stages[stream->stage].endpoint;
  const struct snap_endpoint *endpoint
      = &simulation->endpoints[stream->daemon][engine];
  int64_t link_us = endpoint->link_delay_us
                    + (int64_t)(8192 * (double)CLK_S_US
                                / (double)endpoint->link_bytes_per_s);
  stream->sent_us = simulation->now_us;
  ld_step_sent (endpoint->load);
  schedule (simulation, simulation->now_us + link_us, EVENT_STEP, index);
}

/* Chooses a chain for the stream INDEX and sends its first step.  */
static void
start_stream (struct simulation *simulation, uint32_t index)
{
  struct stream *stream = &simulation->streams[index];
  struct rt_query query = {
    .positions = 1,
    .seed = ((uint64_t)g_rand_int (simulation->rand) << 32)
            | g_rand_int (simulation->rand),
    .now_us = simulation->now_us,
  };
  if (simulation->policy == POLICY_ROUTER)
    {
      (void)rt_choose_chain (&simulation->snaps[stream->daemon], &query,
                             &stream->chain);
    }
  else
    {
      choose_by_baseline (simulation, stream->daemon, &stream->chain);
    }
  for (uint32_t i = 0; i < stream->chain.length; i++)
    {
      uint32_t engine = stream->chain.stages[i].endpoint;
      ld_stream_added (&simulation->loads[stream->daemon][engine]);
    }
  stream->stage = 0;
  send_step (simulation, index);
}

static void
release_chain (struct simulation *simulation, struct stream *stream)
{
  for (uint32_t i = 0; i < stream->chain.length; i++)
    {
      uint32_t engine = stream->chain.stages[i].endpoint;
      ld_stream_removed (&simulation->loads[stream->daemon][engine]);
    }
}

/* Starts the next batch of the idle engine INDEX, if steps wait there.  */
static void
run_batch (struct simulation *simulation, uint32_t index)
{
  struct engine *engine = &simulation->engines[index];
  double layers = 0.0;
  while (engine->waiting.length > 0 && engine->batch.length < BATCH_MAX)
    {
      gpointer stream_index = g_queue_pop_head (&engine->waiting);
      const struct stream *stream
          = &simulation->streams[GPOINTER_TO_UINT (stream_index)];
      const struct rt_stage *stage = &stream->chain.stages[stream->stage];
      layers += stage->end - stage->first;
      g_queue_push_tail (&engine->batch, stream_index);
    }
  if (engine->batch.length > 0)
    {
      int64_t elapsed_us = (int64_t)(layers * CLK_S_US / engine->rate);
      schedule (simulation, simulation->now_us + elapsed_us, EVENT_BATCH_DONE,
                index);
    }
}

/* Answers the steps in the batch of the engine INDEX and starts the next
   batch.  */
static void
finish_batch (struct simulation *simulation, uint32_t index)
{
  struct engine *engine = &simulation->engines[index];
  while (engine->batch.length > 0)
    {
      uint32_t stream_index
          = GPOINTER_TO_UINT (g_queue_pop_head (&engine->batch));
      uint32_t daemon = simulation->streams[stream_index].daemon;
      schedule (simulation,
                simulation->now_us
                    + simulation->endpoints[daemon][index].link_delay_us,
                EVENT_ANSWER, stream_index);
    }
  run_batch (simulation, index);
}

/* Receives the answer to a step of the stream INDEX.  A stream whose step took
   longer than the timeout moves to another chain.  */
static void
receive_answer (struct simulation *simulation, uint32_t index)
{
  struct stream *stream = &simulation->streams[index];
  const struct rt_stage *stage = &stream->chain.stages[stream->stage];
  struct ld_load *load = &simulation->loads[stream->daemon][stage->endpoint];
  int64_t elapsed_us = simulation->now_us - stream->sent_us;
  if (elapsed_us > TIMEOUT_US)
    {
      ld_step_failed (load, simulation->now_us);
      release_chain (simulation, stream);
      start_stream (simulation, index);
      return;
    }
  ld_step_done (load, elapsed_us, simulation->now_us);
  stream->stage++;
  if (stream->stage < stream->chain.length)
    {
      send_step (simulation, index);
      return;
    }
  if (simulation->now_us > WARM_UP_US)
    {
      int64_t gap_us = simulation->now_us - stream->last_token_us;
      simulation->tokens++;
      g_array_append_val (simulation->token_gaps_us, gap_us);
    }
  stream->last_token_us = simulation->now_us;
  stream->stage = 0;
  if (--stream->tokens_left > 0)
    {
      send_step (simulation, index);
      return;
    }
  release_chain (simulation, stream);
  stream->tokens_left
      = (uint32_t)g_rand_int_range (simulation->rand, 1, 2 * STREAM_TOKENS);
  start_stream (simulation, index);
}

/* Updates the daemons' view of every engine's load, and schedules the next
   report.  */
static void
deliver_reports (struct simulation *simulation)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      for (uint32_t j = 0; j < ENGINES; j++)
        {
          ld_report (&simulation->loads[i][j],
                     (int32_t)simulation->engines[j].batch.length,
                     (int32_t)simulation->engines[j].waiting.length, false,
                     simulation->now_us);
        }
    }
  schedule (simulation, simulation->now_us + REPORT_INTERVAL_US, EVENT_REPORT,
            0);
}

/* Creates the snapshot of the fleet that each daemon routes by.  */
static void
create_snapshots (struct simulation *simulation,
                  const struct pl_placement *placement)
{
  for (uint32_t i = 0; i < DAEMONS; i++)
    {
      for (uint32_t j = 0; j < ENGINES; j++)
        {
          struct snap_endpoint *endpoint = &simulation->endpoints[i][j];
          *endpoint = (struct snap_endpoint){
            .host = j,
            .takes_work = true,
            .range_count = placement->hosts[j].range_count,
            .load = &simulation->loads[i][j],
          };
          memcpy (endpoint->ranges, placement->hosts[j].ranges,
                  sizeof endpoint->ranges);
          set_link (endpoint, i % DATA_CENTRES,
                    simulation->config->hosts[j].data_centre);
        }
      simulation->snaps[i] = (struct snap){
        .config = simulation->config,
        .endpoints = simulation->endpoints[i],
        .endpoint_count = ENGINES,
        .daemons = DAEMONS,
      };
    }
}

static int
compare_times (const void *left, const void *right)
{
  int64_t a = *(const int64_t *)left;
  int64_t b = *(const int64_t *)right;
  return a < b ? -1 : a > b;
}

/* Simulates POLICY with STREAMS open streams, and with a slow engine 0 if
   SLOW. Returns the tokens a second after the warm-up and sets P95_US to the
   95th percentile of the time between two tokens.  */
static double
run_policy (enum policy policy, struct cfg_config *config,
            const struct pl_placement *placement, double streams, bool slow,
            uint32_t seed, double *p95_us)
{
  struct simulation *simulation = g_new0 (struct simulation, 1);
  simulation->policy = policy;
  simulation->config = config;
  simulation->rand = g_rand_new_with_seed (seed);
  simulation->events = g_tree_new_full (compare_events, NULL, g_free, NULL);
  simulation->token_gaps_us = g_array_new (FALSE, FALSE, sizeof (int64_t));
  simulation->stream_count = (uint32_t)streams;
  simulation->streams = g_new0 (struct stream, simulation->stream_count);
  create_snapshots (simulation, placement);
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      simulation->engines[i].rate = config->hosts[i].layer_tokens_per_s;
    }
  simulation->engines[0].rate /= slow ? SLOW_FACTOR : 1;
  deliver_reports (simulation);
  for (uint32_t i = 0; i < simulation->stream_count; i++)
    {
      simulation->streams[i].daemon = i % DAEMONS;
      simulation->streams[i].tokens_left = (uint32_t)g_rand_int_range (
          simulation->rand, 1, 2 * STREAM_TOKENS);
      start_stream (simulation, i);
    }
  while (simulation->now_us < END_US)
    {
      GTreeNode *node = g_tree_node_first (simulation->events);
      struct event event = *(struct event *)g_tree_node_key (node);
      g_tree_remove (simulation->events, g_tree_node_key (node));
      simulation->now_us = event.at_us;
      switch (event.kind)
        {
        case EVENT_STEP:
          {
            const struct stream *stream = &simulation->streams[event.index];
            uint32_t engine = stream->chain.stages[stream->stage].endpoint;
            g_queue_push_tail (&simulation->engines[engine].waiting,
                               GUINT_TO_POINTER (event.index));
            if (simulation->engines[engine].batch.length == 0)
              {
                run_batch (simulation, engine);
              }
            break;
          }
        case EVENT_BATCH_DONE:
          finish_batch (simulation, event.index);
          break;
        case EVENT_ANSWER:
          receive_answer (simulation, event.index);
          break;
        case EVENT_REPORT:
          deliver_reports (simulation);
          break;
        }
    }
  g_array_sort (simulation->token_gaps_us, compare_times);
  guint rank = simulation->token_gaps_us->len * 95 / 100;
  *p95_us = (double)g_array_index (simulation->token_gaps_us, int64_t, rank);
  double rate
      = (double)simulation->tokens * CLK_S_US / (double)(END_US - WARM_UP_US);
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      g_queue_clear (&simulation->engines[i].waiting);
      g_queue_clear (&simulation->engines[i].batch);
    }
  g_tree_destroy (simulation->events);
  g_array_free (simulation->token_gaps_us, TRUE);
  g_rand_free (simulation->rand);
  g_free (simulation->streams);
  g_free (simulation);
  return rate;
}

static int
compare_doubles (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;
  return a < b ? -1 : a > b;
}

/* Prints the median, the least and the greatest of VALUES.  */
static void
print_values (const char *load, const char *policy, const char *name,
              double *values, const char *unit, const char *target)
{
  qsort (values, SEEDS, sizeof values[0], compare_doubles);
  printf ("routing.%s.%s.%s %.4g %s %s\n", load, policy, name,
          values[SEEDS / 2], unit, target);
  printf ("routing.%s.%s.%s_min %.4g %s -\n", load, policy, name, values[0],
          unit);
  printf ("routing.%s.%s.%s_max %.4g %s -\n", load, policy, name,
          values[SEEDS - 1], unit);
}

/* Compares all policies at LOAD_SHARE of the placement's bound.  The number of
   streams follows from Little's law with 39 ms between two tokens.  */
static void
compare_policies (const char *load, double load_share, bool slow,
                  uint32_t seed)
{
  double shares[POLICY_COUNT][SEEDS];
  double p95s[POLICY_COUNT][SEEDS];
  for (uint32_t i = 0; i < SEEDS; i++)
    {
      GRand *rand = g_rand_new_with_seed (seed + i);
      struct cfg_config *config = make_config (rand);
      struct pl_placement *placement = pl_plan (config, NULL, NULL);
      struct pl_bound bound;
      pl_find_bound (config, NULL, placement, &bound);
      double streams = bound.tokens_per_s * 0.039 * load_share;
      for (int policy = 0; policy < POLICY_COUNT; policy++)
        {
          double p95_us;
          double rate = run_policy ((enum policy)policy, config, placement,
                                    streams, slow, seed + i, &p95_us);
          shares[policy][i] = rate / bound.tokens_per_s;
          p95s[policy][i] = p95_us / CLK_MS_US;
        }
      pl_destroy (placement);
      cfg_config_destroy (config);
      g_rand_free (rand);
    }
  for (int policy = 0; policy < POLICY_COUNT; policy++)
    {
      bool is_router = policy == POLICY_ROUTER;
      print_values (load, policy_names[policy], "bound_share", shares[policy],
                    "1", is_router && load_share > 1.0 ? ">=0.92" : "-");
      print_values (load, policy_names[policy], "between_tokens_p95",
                    p95s[policy], "ms",
                    is_router && load_share < 1.0 ? "<=39" : "-");
    }
}

int
main (int argc, char **argv)
{
  uint32_t seed = 1;
  if (argc == 3 && strcmp (argv[1], "--seed") == 0)
    {
      seed = (uint32_t)strtoul (argv[2], NULL, 10);
    }
  compare_policies ("moderate", 0.6, false, seed);
  compare_policies ("heavy", 1.5, false, seed);
  compare_policies ("one_slow", 0.6, true, seed);
  return 0;
}
