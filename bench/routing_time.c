/* Measures the time to choose a chain at the largest size: 720 engines, 7
   models and 8 stages.  Prints lines `name value unit target'.

     build/release/bench/routing_time  */

#include "base/clock.h"
#include "core/routing.h"

#include <glib.h>
#include <stdio.h>

#define ENGINES 720
#define MODELS 7
#define LAYERS 80
#define STAGES 8
#define CHOICES 20000

int
main (void)
{
  struct cfg_config *config = cfg_config_create ();
  config->models = g_new0 (struct cfg_model, MODELS);
  config->model_count = MODELS;
  config->hosts = g_new0 (struct cfg_host, ENGINES);
  config->host_count = ENGINES;
  for (int i = 0; i < MODELS; i++)
    {
      config->models[i].layers = LAYERS;
      config->models[i].activation_bytes = 8192;
    }
  struct snap_endpoint *endpoints = g_new0 (struct snap_endpoint, ENGINES);
  struct ld_load *loads = g_new0 (struct ld_load, ENGINES);
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      uint32_t stage = i / MODELS % STAGES;
      config->hosts[i].layer_tokens_per_s = 10000 + i % 4 * 5000;
      endpoints[i] = (struct snap_endpoint){
        .host = i,
        .takes_work = true,
        .ranges = { { .model = i % MODELS,
                      .first = stage * LAYERS / STAGES,
                      .end = (stage + 1) * LAYERS / STAGES } },
        .range_count = 1,
        .link_delay_us = 500,
        .link_bytes_per_s = 1000000000,
        .load = &loads[i],
      };
    }
  const struct snap snap = {
    .config = config,
    .endpoints = endpoints,
    .endpoint_count = ENGINES,
    .daemons = 340,
  };
  uint32_t found = 0;
  int64_t start_us = clk_monotonic_us ();
  for (uint32_t i = 0; i < CHOICES; i++)
    {
      const struct rt_query query = {
        .model = i % MODELS,
        .positions = 100,
        .seed = i,
        .now_us = start_us,
      };
      struct rt_chain chain;
      found += rt_choose_chain (&snap, &query, &chain) == ERR_NONE;
    }
  double elapsed_us = (double)(clk_monotonic_us () - start_us);
  printf ("routing.large.time_per_choice %.2f us -\n", elapsed_us / CHOICES);
  printf ("routing.large.found %u chains >=%d\n", found, CHOICES);
  printf ("routing.large.load_state %zu B -\n", sizeof (struct ld_load));
  printf ("routing.large.snapshot %zu KiB -\n",
          ENGINES * sizeof (struct snap_endpoint) / 1024);
  g_free (endpoints);
  g_free (loads);
  cfg_config_destroy (config);
  return 0;
}
