/* A stand-in for a model engine.  Runs the steps of streams in continuous
   batches at a configured rate, has a prefix cache, carries out orders with
   fencing numbers and injects faults on request. */
#ifndef STANDIN_ENGINE_H
#define STANDIN_ENGINE_H

#include "standin/journal.h"

#include <stdbool.h>
#include <stdint.h>

#define FE_MODELS_MAX 8

struct fe_engine;

/* A model that the engine knows. */
struct fe_model
{
  const char *name;
  uint32_t layers;
};

struct fe_options
{
  uint16_t port;        /* 0: chosen by the kernel */
  uint32_t connections; /* open at one time */
  const char *name;     /* of the host */
  struct fe_model models[FE_MODELS_MAX];
  uint32_t model_count;
  uint32_t first; /* layers of the first model loaded at the start */
  uint32_t end;   /* one past the last layer; equal to FIRST: none */
  uint32_t layer_tokens_per_s; /* layers times positions */
  uint32_t step_overhead_us;   /* of each batch */
  uint32_t batch;              /* most steps in one batch */
  uint32_t prefill_positions;  /* positions of a first step that cost as
                                  much as one */
  bool fencing_checked;        /* rejects orders with an old fencing number */
  const char *platform_url; /* of the weight store; NULL: loads without one */
  uint32_t kv_mib;          /* memory for KV state */
  uint32_t report_lag_ms;   /* interval of the load report; at least 10 */
  uint32_t layer_load_ms;   /* to load one layer */
  uint32_t cache_blocks;    /* of the prefix cache */
  uint32_t event_lag_ms;    /* of the cache events */
  uint32_t event_drop_one_in; /* cache events lost; 0: none */
  struct jn_journal *journal; /* NULL: none */
};

struct fe_engine *fe_create (const struct fe_options *options, GError **error);
void fe_destroy (struct fe_engine *engine);
uint16_t fe_port (const struct fe_engine *engine);

#endif
