/* Measures the quality of placements as the rate that they allow, as a share
   of the compute-only bound: for random inventories, and after the loss of a
   host.  Also measures the ranges to load after a loss, and the time to plan
   and to repair the placement of the largest fleet.  Prints lines `name value
   unit target'.

     build/release/bench/placement [--seed N]  */

#include "core/placement.h"
#include "base/clock.h"

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INVENTORIES 50
#define HOST_KINDS 4
#define LARGE_RUNNERS 720
#define LARGE_MODELS 7
#define LARGE_DATA_CENTRES 7

/* Returns a configuration with empty entries for the given numbers of models,
   hosts and data centres.  */
static struct cfg_config *
make_config (uint32_t models, uint32_t hosts, uint32_t data_centres)
{
  struct cfg_config *config = cfg_config_create ();
  config->models = g_new0 (struct cfg_model, models);
  config->model_count = models;
  config->hosts = g_new0 (struct cfg_host, hosts);
  config->host_count = hosts;
  config->data_centres = g_new0 (struct cfg_data_centre, data_centres);
  config->data_centre_count = data_centres;
  return config;
}

/* Returns a random fleet with hosts of four kinds.  A host of mean size holds
   from an eighth to a half of a mean model, and all hosts together hold every
   model at least 2.2 times.  */
static struct cfg_config *
random_config (GRand *rand, uint32_t models, uint32_t hosts,
               uint32_t data_centres)
{
  struct cfg_config *config = make_config (models, hosts, data_centres);
  uint64_t models_mib = 0;
  for (uint32_t i = 0; i < models; i++)
    {
      struct cfg_model *model = &config->models[i];
      model->layers = g_rand_int_range (rand, 24, 97);
      model->layer_memory_mib = g_rand_int_range (rand, 400, 2000);
      model->activation_bytes = 8192;
      model->demand_weight = g_rand_int_range (rand, 1, 6);
      models_mib += (uint64_t)model->layers * model->layer_memory_mib;
    }
  uint32_t rates[HOST_KINDS];
  double sizes[HOST_KINDS];
  double rate = g_rand_int_range (rand, 1000, 4000);
  double size = 1.0;
  for (int i = 0; i < HOST_KINDS; i++)
    {
      rates[i] = (uint32_t)rate;
      sizes[i] = size;
      rate *= g_rand_double_range (rand, 1.2, 2.5);
      size *= g_rand_double_range (rand, 1.0, 2.0);
    }
  double total_size = 0.0;
  for (uint32_t i = 0; i < hosts; i++)
    {
      int kind = g_rand_int_range (rand, 0, HOST_KINDS);
      struct cfg_host *host = &config->hosts[i];
      g_snprintf (host->kind, sizeof host->kind, "kind-%d", kind);
      host->layer_tokens_per_s = rates[kind];
      host->data_centre = g_rand_int_range (rand, 0, data_centres);
      host->service = CFG_NO_INDEX;
      total_size += sizes[kind];
    }
  double mean_model = (double)models_mib / models;
  double host_share = g_rand_double_range (rand, 1.0 / 8, 1.0 / 2);
  double total_mib = MAX (mean_model * host_share * hosts, models_mib * 2.2);
  double mib_per_size = total_mib / total_size;
  for (uint32_t i = 0; i < hosts; i++)
    {
      struct cfg_host *host = &config->hosts[i];
      int kind = host->kind[strlen ("kind-")] - '0';
      host->memory_mib = (uint32_t)(mib_per_size * sizes[kind]);
    }
  return config;
}

static int
compare_doubles (const void *left, const void *right)
{
  double a = *(const double *)left;
  double b = *(const double *)right;
  return a < b ? -1 : a > b;
}

/* Removes one random host from the placement, four times independently, and
   returns the mean number of ranges that the repaired placement loads.  Adds
   the mean rate of the repaired placements, as a share of the compute-only
   bound, to RATE_AFTER_LOSS.  */
static double
loads_after_loss (const struct cfg_config *config,
                  const struct pl_placement *placement, GRand *rand,
                  double *rate_after_loss)
{
  const int losses = 4;
  double loads = 0.0;
  bool *usable = g_new (bool, config->host_count);
  for (int i = 0; i < losses; i++)
    {
      memset (usable, true, config->host_count * sizeof usable[0]);
      usable[g_rand_int_range (rand, 0, config->host_count)] = false;
      struct pl_placement *after = pl_plan (config, usable, placement);
      struct pl_moves moves;
      pl_count_moves (config, placement, after, &moves);
      loads += (double)moves.loads / losses;
      struct pl_bound bound;
      pl_find_bound (config, usable, after, &bound);
      *rate_after_loss
          += bound.tokens_per_s / bound.compute_only_tokens_per_s / losses;
      pl_destroy (after);
    }
  g_free (usable);
  return loads;
}

/* Measures placements for INVENTORIES random fleets of the given sizes and
   prints the results under NAME.  */
static void
measure_random (uint32_t seed, uint32_t hosts_min, uint32_t hosts_max,
                uint32_t models_max, const char *name)
{
  double fractions[INVENTORIES];
  double loads = 0.0;
  double rate_after_loss = 0.0;
  int uncovered = 0;
  GRand *rand = g_rand_new_with_seed (seed);
  for (int i = 0; i < INVENTORIES; i++)
    {
      uint32_t models = g_rand_int_range (rand, 1, (int)models_max + 1);
      uint32_t hosts
          = g_rand_int_range (rand, (int)hosts_min, (int)hosts_max + 1);
      struct cfg_config *config = random_config (rand, models, hosts, 3);
      struct pl_placement *placement = pl_plan (config, NULL, NULL);
      struct pl_bound bound;
      pl_find_bound (config, NULL, placement, &bound);
      fractions[i] = bound.tokens_per_s / bound.compute_only_tokens_per_s;
      uncovered += bound.under_replicated > 0;
      loads += loads_after_loss (config, placement, rand, &rate_after_loss)
               / INVENTORIES;
      pl_destroy (placement);
      cfg_config_destroy (config);
    }
  g_rand_free (rand);
  qsort (fractions, INVENTORIES, sizeof fractions[0], compare_doubles);
  printf ("placement.%s.bound_share_median %.4f 1 >=0.95\n", name,
          fractions[INVENTORIES / 2]);
  printf ("placement.%s.bound_share_p10 %.4f 1 -\n", name,
          fractions[INVENTORIES / 10]);
  printf ("placement.%s.bound_share_min %.4f 1 >=0.95\n", name, fractions[0]);
  printf ("placement.%s.without_spare %d inventories -\n", name, uncovered);
  printf ("placement.%s.loads_after_loss %.2f ranges -\n", name, loads);
  printf ("placement.%s.bound_share_after_loss %.4f 1 -\n", name,
          rate_after_loss / INVENTORIES);
}

/* Measures the planning and the repair for the largest fleet.  */
static void
measure_largest (uint32_t seed)
{
  GRand *rand = g_rand_new_with_seed (seed);
  struct cfg_config *config
      = random_config (rand, LARGE_MODELS, LARGE_RUNNERS, LARGE_DATA_CENTRES);
  int64_t start_us = clk_monotonic_us ();
  struct pl_placement *placement = pl_plan (config, NULL, NULL);
  int64_t planned_us = clk_monotonic_us ();
  bool *usable = g_new (bool, LARGE_RUNNERS);
  memset (usable, true, LARGE_RUNNERS * sizeof usable[0]);
  usable[0] = false;
  struct pl_placement *after = pl_plan (config, usable, placement);
  int64_t repaired_us = clk_monotonic_us ();
  struct pl_bound bound;
  pl_find_bound (config, NULL, placement, &bound);
  struct pl_moves moves;
  pl_count_moves (config, placement, after, &moves);
  printf ("placement.large.bound_share %.4f 1 >=0.95\n",
          bound.tokens_per_s / bound.compute_only_tokens_per_s);
  printf ("placement.large.plan_time %.1f ms -\n",
          (double)(planned_us - start_us) / CLK_MS_US);
  printf ("placement.large.repair_time %.1f ms -\n",
          (double)(repaired_us - planned_us) / CLK_MS_US);
  printf ("placement.large.loads_after_loss %u ranges -\n", moves.loads);
  pl_destroy (placement);
  pl_destroy (after);
  g_free (usable);
  cfg_config_destroy (config);
  g_rand_free (rand);
}

int
main (int argc, char **argv)
{
  uint32_t seed = 1;
  if (argc == 3 && strcmp (argv[1], "--seed") == 0)
    {
      seed = (uint32_t)strtoul (argv[2], NULL, 10);
    }
  measure_random (seed, 30, 60, 1, "today");
  measure_random (seed, 12, 80, 7, "mixed");
  measure_largest (seed);
  return 0;
}
