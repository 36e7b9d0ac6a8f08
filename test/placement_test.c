#include "core/placement.h"

#include <glib.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define KINDS_MAX 4
#define MODELS_MAX 3
#define DATA_CENTRES 3

/* Hosts with the same speed and memory. */
struct kind
{
  uint32_t count;
  uint32_t layer_tokens_per_s;
  uint32_t memory_mib;
};

/* A fleet whose hosts are spread evenly over the data centres, and what a plan
   for it must reach. */
struct fleet_case
{
  const char *name;
  struct cfg_model models[MODELS_MAX];
  struct kind kinds[KINDS_MAX];
  double bound_share_min; /* fraction of the compute-only bound */
  uint32_t loads_max;     /* ranges loaded after the loss of any one host */
  bool survives_data_centre_loss;
};

static const struct fleet_case fleet_cases[] = {
  { "six equal hosts that hold a third each",
    { { .layers = 24, .layer_memory_mib = 100 } },
    { { 6, 24000, 800 } },
    0.999,
    0,
    true },
  { "each host can hold the whole model",
    { { .layers = 24, .layer_memory_mib = 100 } },
    { { 3, 24000, 2400 } },
    0.999,
    0,
    true },
  { "forty hosts of four kinds",
    { { .layers = 80, .layer_memory_mib = 1000 } },
    { { 10, 4000, 10000 },
      { 10, 8000, 16000 },
      { 10, 14000, 24000 },
      { 10, 20000, 40000 } },
    0.95,
    4,
    true },
  { "kinds that differ widely in memory",
    { { .layers = 49, .layer_memory_mib = 1155 } },
    { { 8, 1246, 3300 },
      { 8, 2491, 4000 },
      { 14, 4435, 7900 },
      { 16, 7395, 11500 } },
    0.95,
    4,
    true },
  { "three models with different demand weights",
    { { .layers = 40, .layer_memory_mib = 500, .demand_weight = 3 },
      { .layers = 64, .layer_memory_mib = 800, .demand_weight = 1 },
      { .layers = 24, .layer_memory_mib = 300, .demand_weight = 2 } },
    { { 12, 6000, 24000 }, { 12, 15000, 32000 } },
    0.95,
    8,
    true },
};

/* Returns a configuration with the models and hosts of ROW.  */
static struct cfg_config *
build_config (const struct fleet_case *row)
{
  struct cfg_config *config = cfg_config_create ();
  config->models = g_new0 (struct cfg_model, MODELS_MAX);
  config->data_centres = g_new0 (struct cfg_data_centre, DATA_CENTRES);
  config->data_centre_count = DATA_CENTRES;
  while (config->model_count < MODELS_MAX
         && row->models[config->model_count].layers > 0)
    {
      config->models[config->model_count] = row->models[config->model_count];
      config->model_count++;
    }
  for (int i = 0; i < KINDS_MAX; i++)
    {
      config->host_count += row->kinds[i].count;
    }
  config->hosts = g_new0 (struct cfg_host, config->host_count);
  uint32_t host = 0;
  for (int i = 0; i < KINDS_MAX; i++)
    {
      for (uint32_t j = 0; j < row->kinds[i].count; j++, host++)
        {
          config->hosts[host] = (struct cfg_host){
            .data_centre = j % DATA_CENTRES,
            .layer_tokens_per_s = row->kinds[i].layer_tokens_per_s,
            .memory_mib = row->kinds[i].memory_mib,
            .service = CFG_NO_INDEX,
          };
          g_snprintf (config->hosts[host].kind, CFG_NAME_BYTES, "kind-%d", i);
        }
    }
  return config;
}

/* Asserts that the ranges in PLACEMENT are valid and that no host holds more
   than its memory.  */
static void
assert_within_memory (const struct cfg_config *config,
                      const struct pl_placement *placement)
{
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      uint64_t mib = 0;
      const struct pl_host *host = &placement->hosts[i];
      for (uint32_t j = 0; j < host->range_count; j++)
        {
          const struct snap_range *range = &host->ranges[j];
          assert_true (range->first < range->end);
          assert_true (range->end <= config->models[range->model].layers);
          mib += (uint64_t)(range->end - range->first)
                 * config->models[range->model].layer_memory_mib;
        }
      assert_true (mib <= config->hosts[i].memory_mib);
    }
}

/* Returns the rate that PLACEMENT allows as a fraction of the compute-only
   bound, which it must not exceed.  */
static double
share_of_bound (const struct cfg_config *config, const bool *usable,
                const struct pl_placement *placement)
{
  struct pl_bound bound;
  pl_find_bound (config, usable, placement, &bound);
  assert_true (bound.tokens_per_s
               <= bound.compute_only_tokens_per_s * (1.0 + 1e-6));
  return bound.tokens_per_s / bound.compute_only_tokens_per_s;
}

/* A plan reaches the required fraction of the compute-only bound, fits into
   memory and gives each layer its spare holders.  */
static void
test_plan_reaches_bound (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof fleet_cases / sizeof fleet_cases[0]; i++)
    {
      const struct fleet_case *row = &fleet_cases[i];
      struct cfg_config *config = build_config (row);
      struct pl_placement *placement = pl_plan (config, NULL, NULL);
      struct pl_bound bound;
      pl_find_bound (config, NULL, placement, &bound);
      double share = share_of_bound (config, NULL, placement);
      print_message ("row: %s (%.4f)\n", row->name, share);
      assert_within_memory (config, placement);
      assert_int_equal (bound.under_replicated, 0);
      assert_true (share >= row->bound_share_min);
      pl_destroy (placement);
      cfg_config_destroy (config);
    }
}

/* When any one host is lost, the remaining hosts still hold every layer, and a
   new plan loads few ranges.  */
static void
test_host_loss (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof fleet_cases / sizeof fleet_cases[0]; i++)
    {
      const struct fleet_case *row = &fleet_cases[i];
      struct cfg_config *config = build_config (row);
      struct pl_placement *placement = pl_plan (config, NULL, NULL);
      bool *usable = g_new (bool, config->host_count);
      print_message ("row: %s\n", row->name);
      for (uint32_t lost = 0; lost < config->host_count; lost++)
        {
          memset (usable, true, config->host_count * sizeof usable[0]);
          usable[lost] = false;
          assert_true (share_of_bound (config, usable, placement) > 0.0);
          struct pl_placement *after = pl_plan (config, usable, placement);
          struct pl_moves moves;
          pl_count_moves (config, placement, after, &moves);
          assert_int_equal (after->hosts[lost].range_count, 0);
          assert_within_memory (config, after);
          assert_true (moves.loads <= row->loads_max);
          pl_destroy (after);
        }
      g_free (usable);
      pl_destroy (placement);
      cfg_config_destroy (config);
    }
}

/* When any one data centre is lost, the others still hold every layer.  */
static void
test_data_centre_loss (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof fleet_cases / sizeof fleet_cases[0]; i++)
    {
      const struct fleet_case *row = &fleet_cases[i];
      struct cfg_config *config = build_config (row);
      struct pl_placement *placement = pl_plan (config, NULL, NULL);
      bool *usable = g_new (bool, config->host_count);
      print_message ("row: %s\n", row->name);
      for (uint32_t lost = 0;
           lost < DATA_CENTRES && row->survives_data_centre_loss; lost++)
        {
          for (uint32_t j = 0; j < config->host_count; j++)
            {
              usable[j] = config->hosts[j].data_centre != lost;
            }
          assert_true (share_of_bound (config, usable, placement) > 0.0);
        }
      g_free (usable);
      pl_destroy (placement);
      cfg_config_destroy (config);
    }
}

/* Planning again from a plan moves nothing, and a draining host holds
   nothing.  */
static void
test_plan_is_stable (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof fleet_cases / sizeof fleet_cases[0]; i++)
    {
      struct cfg_config *config = build_config (&fleet_cases[i]);
      struct pl_placement *placement = pl_plan (config, NULL, NULL);
      struct pl_placement *again = pl_plan (config, NULL, placement);
      struct pl_moves moves;
      pl_count_moves (config, placement, again, &moves);
      assert_int_equal (moves.hosts, 0);
      config->hosts[0].draining = true;
      struct pl_placement *drained = pl_plan (config, NULL, placement);
      assert_int_equal (drained->hosts[0].range_count, 0);
      pl_destroy (drained);
      pl_destroy (again);
      pl_destroy (placement);
      cfg_config_destroy (config);
    }
}

/* The bound of ranges that extend across each other's boundaries is that of
   the maximum flow.  A plan that is clearly better replaces them.  */
static void
test_unaligned_ranges (void **state)
{
  (void)state;
  struct cfg_config *config = build_config (&fleet_cases[0]);
  struct pl_placement *placement = pl_create (config->host_count);
  static const uint32_t held[6][2]
      = { { 0, 8 }, { 8, 16 }, { 16, 24 }, { 0, 6 }, { 6, 12 }, { 12, 24 } };
  for (int i = 0; i < 6; i++)
    {
      placement->hosts[i] = (struct pl_host){
        .ranges = { { .first = held[i][0], .end = held[i][1] } },
        .range_count = 1,
      };
    }
  struct pl_bound bound;
  pl_find_bound (config, NULL, placement, &bound);
  /* 24000 layer-tokens/s give 3000 tokens/s over 8 layers and 2000 over the
     last 12. */
  assert_true (fabs (bound.tokens_per_s - 5000.0) < 1e-3);
  struct pl_placement *planned = pl_plan (config, NULL, placement);
  assert_true (share_of_bound (config, NULL, planned) > 0.999);
  pl_destroy (planned);
  pl_destroy (placement);
  cfg_config_destroy (config);
}

/* A fleet that lacks the memory for the model gets a rate of 0.  */
static void
test_insufficient_memory (void **state)
{
  (void)state;
  static const struct fleet_case rows[] = {
    { "no engines",
      { { .layers = 8, .layer_memory_mib = 100 } },
      { { 0 } },
      0,
      0,
      false },
    { "a layer that fits on no host",
      { { .layers = 8, .layer_memory_mib = 1000 } },
      { { 4, 1000, 900 } },
      0,
      0,
      false },
    { "too little memory in total",
      { { .layers = 64, .layer_memory_mib = 1000 } },
      { { 3, 1000, 8000 } },
      0,
      0,
      false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct cfg_config *config = build_config (&rows[i]);
      struct pl_placement *placement = pl_plan (config, NULL, NULL);
      struct pl_bound bound;
      print_message ("row: %s\n", rows[i].name);
      pl_find_bound (config, NULL, placement, &bound);
      assert_true (bound.tokens_per_s == 0.0);
      assert_within_memory (config, placement);
      pl_destroy (placement);
      cfg_config_destroy (config);
    }
}

/* One more host raises the rate by no more than its own rate, and a fast host
   raises it at least as much as a slow one.  */
static void
test_gain_of_kind (void **state)
{
  (void)state;
  struct cfg_config *config = build_config (&fleet_cases[2]);
  struct pl_placement *placement = pl_plan (config, NULL, NULL);
  double slow = pl_gain_of_kind (config, NULL, placement, "kind-0");
  double fast = pl_gain_of_kind (config, NULL, placement, "kind-3");
  assert_true (fast > 0.0);
  assert_true (fast >= slow);
  assert_true (fast <= 20000.0 / 80 * 1.05);
  assert_true (pl_gain_of_kind (config, NULL, placement, "other") == 0.0);
  pl_destroy (placement);
  cfg_config_destroy (config);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_plan_reaches_bound),
    cmocka_unit_test (test_host_loss),
    cmocka_unit_test (test_data_centre_loss),
    cmocka_unit_test (test_plan_is_stable),
    cmocka_unit_test (test_unaligned_ranges),
    cmocka_unit_test (test_insufficient_memory),
    cmocka_unit_test (test_gain_of_kind),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
