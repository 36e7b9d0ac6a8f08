#include "standin/engine.h"
#include "standin/program.h"

#include <argtable2.h>
#include <stdio.h>
#include <string.h>

#define CONNECTIONS_DEFAULT 128

/* The command line arguments. */
struct arguments
{
  struct arg_int *port;
  struct arg_int *connections;
  struct arg_str *journal;
  struct arg_str *name;
  struct arg_str *models;
  struct arg_int *layers;
  struct arg_str *range;
  struct arg_int *rate;
  struct arg_int *overhead;
  struct arg_int *batch;
  struct arg_int *prefill;
  struct arg_str *fencing;
  struct arg_str *platform;
  struct arg_int *kv;
  struct arg_int *lag;
  struct arg_int *load;
  struct arg_int *cache;
  struct arg_int *event_lag;
  struct arg_int *event_drop;
};

/* Defines the arguments A with their default values and lists them in TABLE
   for argtable.  */
static void
define_arguments (struct arguments *a, void **table)
{
  a->port = arg_int0 (NULL, "port", "N", "0: chosen by the kernel");
  a->connections = arg_int0 (NULL, "connections", "N", "open at one time");
  a->journal = arg_str0 (NULL, "journal", "FILE", "events are appended");
  a->name = arg_str1 (NULL, "name", "NAME", "of the host");
  a->models = arg_strn (NULL, "model", "NAME", 1, FE_MODELS_MAX, "known");
  a->layers = arg_intn (NULL, "layers", "N", 1, FE_MODELS_MAX,
                        "of each model, in the same order");
  a->range = arg_str0 (NULL, "range", "FIRST-END", "loaded at the start");
  a->rate = arg_int0 (NULL, "layer-tokens-per-s", "N", "layers x tokens");
  a->overhead = arg_int0 (NULL, "step-overhead-us", "N", "of each batch");
  a->batch = arg_int0 (NULL, "batch", "N", "steps in one batch");
  a->prefill = arg_int0 (NULL, "prefill-positions", "N",
                         "of a first step, cost as much as one");
  a->fencing = arg_str0 (NULL, "fencing", "checked|ignored", "of orders");
  a->platform = arg_str0 (NULL, "platform", "URL", "of the weight store");
  a->kv = arg_int0 (NULL, "kv-mib", "N", "memory of the KV cache");
  a->lag = arg_int0 (NULL, "report-lag-ms", "N", "of the load report");
  a->load = arg_int0 (NULL, "layer-load-ms", "N", "to load one layer");
  a->cache = arg_int0 (NULL, "cache-blocks", "N", "of the prefix cache");
  a->event_lag = arg_int0 (NULL, "event-lag-ms", "N", "of cache events");
  a->event_drop = arg_int0 (NULL, "event-drop", "N", "one in N is lost");
  void *entries[] = {
    a->port,    a->connections, a->journal,   a->name,       a->models,
    a->layers,  a->range,       a->rate,      a->overhead,   a->batch,
    a->prefill, a->fencing,     a->platform,  a->kv,         a->lag,
    a->load,    a->cache,       a->event_lag, a->event_drop, arg_end (8),
  };
  memcpy (table, entries, sizeof entries);
  a->connections->ival[0] = CONNECTIONS_DEFAULT;
  a->rate->ival[0] = 100000;
  a->overhead->ival[0] = 1000;
  a->batch->ival[0] = 32;
  a->prefill->ival[0] = 1;
  a->fencing->sval[0] = "checked";
  a->kv->ival[0] = 8192;
  a->lag->ival[0] = 100;
  a->load->ival[0] = 20;
  a->cache->ival[0] = 256;
  a->event_lag->ival[0] = 200;
  a->event_drop->ival[0] = 16;
}

/* Converts the parsed arguments A to OPTIONS.  Returns false when the range is
   malformed or the numbers of models and of layer counts differ.  */
static gboolean
read_options (const struct arguments *a, struct fe_options *options)
{
  *options = (struct fe_options){
    .port = (uint16_t)a->port->ival[0],
    .connections = (uint32_t)a->connections->ival[0],
    .name = a->name->sval[0],
    .model_count = (uint32_t)a->models->count,
    .layer_tokens_per_s = (uint32_t)a->rate->ival[0],
    .step_overhead_us = (uint32_t)a->overhead->ival[0],
    .batch = (uint32_t)a->batch->ival[0],
    .prefill_positions = (uint32_t)MAX (a->prefill->ival[0], 1),
    .fencing_checked = strcmp (a->fencing->sval[0], "ignored") != 0,
    .platform_url = a->platform->count > 0 ? a->platform->sval[0] : NULL,
    .kv_mib = (uint32_t)a->kv->ival[0],
    .report_lag_ms = (uint32_t)a->lag->ival[0],
    .layer_load_ms = (uint32_t)a->load->ival[0],
    .cache_blocks = (uint32_t)a->cache->ival[0],
    .event_lag_ms = (uint32_t)a->event_lag->ival[0],
    .event_drop_one_in = (uint32_t)a->event_drop->ival[0],
  };
  if (a->models->count != a->layers->count)
    {
      return FALSE;
    }
  for (int i = 0; i < a->models->count; i++)
    {
      options->models[i].name = a->models->sval[i];
      options->models[i].layers = (uint32_t)a->layers->ival[i];
    }
  if (a->range->count == 0)
    {
      return TRUE;
    }
  gchar **parts = g_strsplit (a->range->sval[0], "-", 2);
  gboolean valid = g_strv_length (parts) == 2;
  if (valid)
    {
      options->first = (uint32_t)g_ascii_strtoull (parts[0], NULL, 10);
      options->end = (uint32_t)g_ascii_strtoull (parts[1], NULL, 10);
    }
  g_strfreev (parts);
  return valid;
}

int
main (int argc, char **argv)
{
  struct arguments arguments;
  void *table[sizeof arguments / sizeof (void *) + 1];
  define_arguments (&arguments, table);
  int status = prg_parse (argc, argv, table);
  if (status != 0)
    {
      return status;
    }
  struct fe_options options;
  if (!read_options (&arguments, &options))
    {
      fputs ("give each --model its --layers, and --range as FIRST-END\n",
             stderr);
      return 2;
    }
  GError *error = NULL;
  const char *journal
      = arguments.journal->count > 0 ? arguments.journal->sval[0] : NULL;
  options.journal = jn_create (journal, &error);
  if (options.journal == NULL)
    {
      return prg_fail (argv[0], error);
    }
  prg_block_signals ();
  struct fe_engine *engine = fe_create (&options, &error);
  if (engine == NULL)
    {
      return prg_fail (argv[0], error);
    }
  prg_serve (fe_port (engine));
}
