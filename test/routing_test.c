#include "core/routing.h"

#include "base/clock.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define LAYERS 24
#define ENDPOINTS_MAX 8
#define NOW_US (100 * CLK_S_US)

struct fleet
{
  struct cfg_model model;
  struct cfg_host hosts[ENDPOINTS_MAX];
  struct cfg_config config;
  struct snap_endpoint endpoints[ENDPOINTS_MAX];
  struct ld_load loads[ENDPOINTS_MAX];
  struct snap snap;
};

/* Adds an engine that holds layers FIRST up to END.  */
static uint32_t
add_engine (struct fleet *fleet, uint32_t first, uint32_t end)
{
  uint32_t index = fleet->snap.endpoint_count++;
  fleet->config.host_count = fleet->snap.endpoint_count;
  fleet->hosts[index].layer_tokens_per_s = 24000;
  fleet->endpoints[index] = (struct snap_endpoint){
    .host = index,
    .takes_work = true,
    .ranges = { { .model = 0, .first = first, .end = end } },
    .range_count = 1,
    .link_delay_us = 500,
    .link_bytes_per_s = 1000000000,
    .load = &fleet->loads[index],
  };
  return index;
}

static void
start_fleet (struct fleet *fleet)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->model = (struct cfg_model){
    .name = "draft",
    .layers = LAYERS,
    .activation_bytes = 8192,
  };
  fleet->config.models = &fleet->model;
  fleet->config.model_count = 1;
  fleet->config.hosts = fleet->hosts;
  fleet->snap.config = &fleet->config;
  fleet->snap.endpoints = fleet->endpoints;
  fleet->snap.daemons = 1;
}

static enum err_kind
choose (const struct fleet *fleet, uint64_t seed, struct rt_chain *chain)
{
  struct rt_query query = { .positions = 1, .seed = seed, .now_us = NOW_US };
  return rt_choose_chain (&fleet->snap, &query, chain);
}

/* Layer ranges that engines hold, one each, and the expected chain. */
struct cover_case
{
  const char *name;
  uint32_t ranges[5][2];
  enum err_kind error;
  uint32_t length; /* of the chain, in stages */
};

static const struct cover_case cover_cases[] = {
  { "one engine holds all layers", { { 0, 24 } }, ERR_NONE, 1 },
  { "three in order", { { 0, 8 }, { 8, 16 }, { 16, 24 } }, ERR_NONE, 3 },
  { "three in reverse order",
    { { 16, 24 }, { 8, 16 }, { 0, 8 } },
    ERR_NONE,
    3 },
  { "different boundaries",
    { { 0, 10 }, { 8, 24 }, { 0, 8 }, { 16, 24 } },
    ERR_NONE,
    2 },
  { "a gap in the middle", { { 0, 8 }, { 9, 24 } }, ERR_NO_CAPACITY, 0 },
  { "the last layer is missing", { { 0, 8 }, { 8, 23 } }, ERR_NO_CAPACITY, 0 },
  { "the first layer is missing", { { 1, 24 } }, ERR_NO_CAPACITY, 0 },
  { "overlapping ranges are no chain",
    { { 0, 16 }, { 8, 24 } },
    ERR_NO_CAPACITY,
    0 },
  { "a range beyond the model", { { 0, 25 } }, ERR_NO_CAPACITY, 0 },
  { "no ranges", { { 0, 0 } }, ERR_NO_CAPACITY, 0 },
};

/* Every chain covers each layer once, in order.  */
static void
chain_covers_every_layer_in_order (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cover_cases / sizeof cover_cases[0]; i++)
    {
      const struct cover_case *row = &cover_cases[i];
      struct fleet fleet;
      start_fleet (&fleet);
      for (int j = 0; j < 5 && row->ranges[j][1] > 0; j++)
        {
          add_engine (&fleet, row->ranges[j][0], row->ranges[j][1]);
        }
      struct rt_chain chain;
      print_message ("row: %s\n", row->name);
      assert_int_equal (choose (&fleet, 1, &chain), row->error);
      assert_int_equal (chain.length, row->length);
      uint32_t layer = 0;
      for (uint32_t j = 0; j < chain.length; j++)
        {
          assert_int_equal (chain.stages[j].first, layer);
          layer = chain.stages[j].end;
        }
      assert_int_equal (layer, row->error == ERR_NONE ? LAYERS : 0);
    }
}

static void
unknown_model_is_not_found (void **state)
{
  (void)state;
  struct fleet fleet;
  start_fleet (&fleet);
  struct rt_chain chain;
  struct rt_query query = { .model = 1, .now_us = NOW_US };
  assert_int_equal (rt_choose_chain (&fleet.snap, &query, &chain),
                    ERR_NOT_FOUND);
}

/* Condition of the engine under test. */
enum condition
{
  CONDITION_NORMAL,
  CONDITION_TAKES_NO_WORK,
  CONDITION_REFUSING,
  CONDITION_BACKOFF,
  CONDITION_PROBATION_BUSY,
  CONDITION_PROBATION_IDLE,
  CONDITION_RECOVERED,
  CONDITION_EXCLUDED,
  CONDITION_SLOW,
  CONDITION_BUSY,
  CONDITION_REPORTED_BUSY,
  CONDITION_LONG_DELAY,
  CONDITION_LOW_BANDWIDTH
};

/* A condition, and the share of the choices that the engine is expected to
   get. */
struct condition_case
{
  const char *name;
  enum condition condition;
  bool alone;    /* there is no second engine to choose */
  int share_min; /* choices, of 100, of the engine under test */
  int share_max;
};

static const struct condition_case condition_cases[] = {
  { "equal engines share the choices", CONDITION_NORMAL, false, 30, 70 },
  { "takes no work", CONDITION_TAKES_NO_WORK, true, 0, 0 },
  { "refuses new streams", CONDITION_REFUSING, true, 0, 0 },
  { "in backoff", CONDITION_BACKOFF, true, 0, 0 },
  { "excluded by the query", CONDITION_EXCLUDED, true, 0, 0 },
  { "only one stream at a time on probation", CONDITION_PROBATION_BUSY, true,
    0, 0 },
  { "one stream after the backoff", CONDITION_PROBATION_IDLE, true, 100, 100 },
  { "full share after recovery", CONDITION_RECOVERED, false, 30, 70 },
  { "a slow engine gets no share", CONDITION_SLOW, false, 0, 0 },
  { "a slow engine is used if there is no other", CONDITION_SLOW, true, 100,
    100 },
  { "streams of this daemon count", CONDITION_BUSY, false, 0, 0 },
  { "reported steps of other daemons count", CONDITION_REPORTED_BUSY, false, 0,
    0 },
  { "link delay counts", CONDITION_LONG_DELAY, false, 0, 0 },
  { "link bandwidth counts", CONDITION_LOW_BANDWIDTH, false, 0, 0 },
};

/* Records a failed step, BEFORE_US before NOW_US.  */
static void
fail_once (struct ld_load *load, int64_t before_us)
{
  ld_step_sent (load);
  ld_step_failed (load, NOW_US - before_us);
}

/* Records COUNT steps that were answered after STEP_US.  */
static void
answer_steps (struct ld_load *load, int count, int64_t step_us)
{
  for (int i = 0; i < count; i++)
    {
      ld_step_sent (load);
      ld_step_done (load, step_us, NOW_US);
    }
}

/* Puts endpoint INDEX into the condition CONDITION.  */
static void
set_condition (struct fleet *fleet, uint32_t index, enum condition condition)
{
  struct snap_endpoint *endpoint = &fleet->endpoints[index];
  struct ld_load *load = endpoint->load;
  switch (condition)
    {
    case CONDITION_NORMAL:
    case CONDITION_EXCLUDED:
      return;
    case CONDITION_TAKES_NO_WORK:
      endpoint->takes_work = false;
      return;
    case CONDITION_REFUSING:
      ld_set_refusing (load, true);
      return;
    case CONDITION_BACKOFF:
      fail_once (load, CLK_MS_US);
      return;
    case CONDITION_PROBATION_BUSY:
      fail_once (load, CLK_S_US);
      ld_stream_added (load);
      return;
    case CONDITION_PROBATION_IDLE:
      fail_once (load, CLK_S_US);
      return;
    case CONDITION_RECOVERED:
      fail_once (load, CLK_S_US);
      answer_steps (load, 8, 1000);
      return;
    case CONDITION_SLOW:
      answer_steps (load, 50, 20000);
      return;
    case CONDITION_BUSY:
      load->streams = 8;
      return;
    case CONDITION_REPORTED_BUSY:
      ld_report (load, 4, 4, false, NOW_US - 100 * CLK_MS_US);
      return;
    case CONDITION_LONG_DELAY:
      endpoint->link_delay_us = 50000;
      return;
    case CONDITION_LOW_BANDWIDTH:
      endpoint->link_bytes_per_s = 1000000;
      return;
    }
}

/* For each condition, the engine under test gets the expected share of a
   hundred choices with different seeds.  */
static void
condition_determines_share_of_choices (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof condition_cases / sizeof condition_cases[0];
       i++)
    {
      const struct condition_case *row = &condition_cases[i];
      struct fleet fleet;
      start_fleet (&fleet);
      uint32_t tested = add_engine (&fleet, 0, LAYERS);
      if (!row->alone)
        {
          add_engine (&fleet, 0, LAYERS);
        }
      set_condition (&fleet, tested, row->condition);
      int chosen = 0;
      for (uint64_t seed = 0; seed < 100; seed++)
        {
          struct rt_query query
              = { .positions = 1, .seed = seed, .now_us = NOW_US };
          if (row->condition == CONDITION_EXCLUDED)
            {
              query.excluded[0] = tested;
              query.excluded_count = 1;
            }
          struct rt_chain chain;
          enum err_kind error = rt_choose_chain (&fleet.snap, &query, &chain);
          chosen += error == ERR_NONE && chain.stages[0].endpoint == tested;
        }
      print_message ("row: %s (%d)\n", row->name, chosen);
      assert_in_range (chosen, row->share_min, row->share_max);
    }
}

/* The same seed and state give the same chain.  */
static void
choice_is_deterministic (void **state)
{
  (void)state;
  struct fleet fleet;
  start_fleet (&fleet);
  for (int i = 0; i < 4; i++)
    {
      add_engine (&fleet, 0, 12);
      add_engine (&fleet, 12, 24);
    }
  for (uint64_t seed = 0; seed < 20; seed++)
    {
      struct rt_chain one;
      struct rt_chain two;
      assert_int_equal (choose (&fleet, seed, &one), ERR_NONE);
      assert_int_equal (choose (&fleet, seed, &two), ERR_NONE);
      assert_int_equal (one.stages[0].endpoint, two.stages[0].endpoint);
      assert_int_equal (one.stages[1].endpoint, two.stages[1].endpoint);
      assert_int_equal (one.expected_step_us, two.expected_step_us);
    }
}

/* Many failures of streams over one dead endpoint start the same backoff as a
   single failure.  */
static void
simultaneous_failures_count_once (void **state)
{
  (void)state;
  struct ld_load load = { 0 };
  for (int i = 0; i < 50; i++)
    {
      ld_step_sent (&load);
    }
  for (int i = 0; i < 50; i++)
    {
      ld_step_failed (&load, NOW_US + i);
    }
  assert_int_equal (load.steps_in_flight, 0);
  assert_int_equal (load.failures, 1);
  assert_int_equal (ld_standing (&load, NOW_US + 100 * CLK_MS_US), LD_CLOSED);
  assert_int_equal (ld_standing (&load, NOW_US + CLK_S_US), LD_PROBATION);
}

/* Observed step times, and the expected range of the silence bound. */
struct silence_case
{
  const char *name;
  int64_t steps_us[4];
  int64_t min_us;
  int64_t max_us;
};

static const struct silence_case silence_cases[] = {
  { "nothing observed", { 0 }, CLK_S_US, CLK_S_US },
  { "fast steps: the minimum", { 900, 1000, 1100 }, 250000, 250000 },
  { "slow steps with little deviation",
    { 200000, 200000, 200000 },
    250001,
    999999 },
  { "slow steps: the maximum", { 5000000, 5000000 }, CLK_S_US, CLK_S_US },
};

static void
silence_bound_follows_observed_steps (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof silence_cases / sizeof silence_cases[0]; i++)
    {
      const struct silence_case *row = &silence_cases[i];
      struct ld_load load = { 0 };
      for (int j = 0; j < 4 && row->steps_us[j] > 0; j++)
        {
          ld_step_sent (&load);
          ld_step_done (&load, row->steps_us[j], NOW_US + j);
        }
      print_message ("row: %s\n", row->name);
      assert_in_range (ld_step_timeout_us (&load), row->min_us, row->max_us);
    }
}

/* The answer to a first step, of many positions, shows that the endpoint is
   alive, but isn't included in the observed step time.  */
static void
prefill_is_not_an_observation (void **state)
{
  (void)state;
  struct ld_load load = { 0 };
  for (int i = 0; i < 100; i++)
    {
      ld_step_sent (&load);
      ld_step_done (&load, i % 2 == 0 ? 0 : 300000, NOW_US);
    }
  assert_int_equal (load.step_us, 300000);
  assert_true (ld_step_timeout_us (&load) > 300000);
}

/* An endpoint whose steps have become slower, and after how many unanswered
   steps the silence bound may still be too short for it. */
struct slower_case
{
  const char *name;
  int64_t step_us; /* at first */
  int64_t slow_us; /* later on */
  int unanswered_max;
};

static const struct slower_case slower_cases[] = {
  { "as fast as before", 20000, 20000, 0 },
  { "over the minimum", 20000, 300000, 4 },
  { "under the maximum", 20000, 900000, 16 },
};

/* Guards against never waiting long enough for an endpoint that has become
   slower: steps that weren't answered within the silence bound left the bound
   as it was.  */
static void
silence_bound_follows_unanswered_steps (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof slower_cases / sizeof slower_cases[0]; i++)
    {
      const struct slower_case *row = &slower_cases[i];
      struct ld_load load = { 0 };
      for (int j = 0; j < 100; j++)
        {
          ld_step_sent (&load);
          ld_step_done (&load, row->step_us, NOW_US);
        }
      int unanswered = 0;
      while (ld_step_timeout_us (&load) < row->slow_us && unanswered < 100)
        {
          int64_t waited_us = ld_step_timeout_us (&load);
          ld_step_sent (&load);
          ld_step_abandoned (&load, waited_us, NOW_US);
          unanswered++;
        }
      print_message ("row: %s, %d unanswered\n", row->name, unanswered);
      assert_in_range (unanswered, 0, row->unanswered_max);
      assert_int_equal (load.steps_in_flight, 0);
    }
}

/* A step that is abandoned early says nothing of how long steps take.  */
static void
early_end_is_not_an_observation (void **state)
{
  (void)state;
  struct ld_load load = { 0 };
  ld_step_sent (&load);
  ld_step_abandoned (&load, 1000, NOW_US);
  assert_int_equal (ld_step_timeout_us (&load), CLK_S_US);
  ld_step_sent (&load);
  ld_step_done (&load, 20000, NOW_US);
  int64_t bound_us = ld_step_timeout_us (&load);
  ld_step_sent (&load);
  ld_step_abandoned (&load, 1000, NOW_US);
  ld_step_sent (&load);
  ld_step_abandoned (&load, 0, NOW_US);
  assert_int_equal (load.step_us, 20000);
  assert_int_equal (ld_step_timeout_us (&load), bound_us);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (chain_covers_every_layer_in_order),
    cmocka_unit_test (unknown_model_is_not_found),
    cmocka_unit_test (condition_determines_share_of_choices),
    cmocka_unit_test (choice_is_deterministic),
    cmocka_unit_test (simultaneous_failures_count_once),
    cmocka_unit_test (silence_bound_follows_observed_steps),
    cmocka_unit_test (prefill_is_not_an_observation),
    cmocka_unit_test (silence_bound_follows_unanswered_steps),
    cmocka_unit_test (early_end_is_not_an_observation),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
