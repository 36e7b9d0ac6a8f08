/* Creates and stops the engine. */
#include "standin/engine_private.h"

#include <curl/curl.h>
#include <string.h>

/* Copies OPTIONS with its strings to ENGINE.  */
static void
copy_options (struct fe_engine *engine, const struct fe_options *options)
{
  engine->options = *options;
  engine->options.name = g_strdup (options->name);
  engine->options.platform_url = g_strdup (options->platform_url);
  for (uint32_t i = 0; i < options->model_count; i++)
    {
      engine->options.models[i].name = g_strdup (options->models[i].name);
    }
}

static void
free_options (struct fe_options *options)
{
  g_free ((char *)options->name);
  g_free ((char *)options->platform_url);
  for (uint32_t i = 0; i < options->model_count; i++)
    {
      g_free ((char *)options->models[i].name);
    }
}

/* Allocates an engine without its threads and server.  */
static struct fe_engine *
create_state (const struct fe_options *options)
{
  struct fe_engine *engine = g_new0 (struct fe_engine, 1);
  copy_options (engine, options);
  pthread_mutex_init (&engine->lock, NULL);
  pthread_cond_init (&engine->work_ready, NULL);
  pthread_cond_init (&engine->control_ready, NULL);
  pthread_cond_init (&engine->answer_swapped, NULL);
  engine->requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, fe_free_request);
  engine->queue = g_ptr_array_new ();
  engine->loaded_ranges = g_array_new (FALSE, FALSE, sizeof (struct fe_range));
  engine->loading_ranges
      = g_array_new (FALSE, FALSE, sizeof (struct fe_range));
  engine->slow_factor = 1;
  engine->report = g_string_new (NULL);
  engine->cache = pfx_create (options->cache_blocks,
                              (int64_t)options->event_lag_ms * 1000,
                              options->event_drop_one_in);
  if (options->end > options->first)
    {
      const struct fe_range range = {
        .first = options->first,
        .end = options->end,
      };
      g_array_append_val (engine->loaded_ranges, range);
    }
  fe_render_report (engine, engine->report);
  return engine;
}

static void
free_state (struct fe_engine *engine)
{
  g_ptr_array_free (engine->queue, TRUE);
  g_hash_table_destroy (engine->requests);
  g_array_free (engine->loaded_ranges, TRUE);
  g_array_free (engine->loading_ranges, TRUE);
  g_string_free (engine->report, TRUE);
  pfx_destroy (engine->cache);
  pthread_cond_destroy (&engine->answer_swapped);
  pthread_cond_destroy (&engine->control_ready);
  pthread_cond_destroy (&engine->work_ready);
  pthread_mutex_destroy (&engine->lock);
  free_options (&engine->options);
  g_free (engine);
}

/* Starts an engine with OPTIONS.  Returns NULL and sets ERROR, to ERR_SETTINGS
   when OPTIONS are invalid.  */
struct fe_engine *
fe_create (const struct fe_options *options, GError **error)
{
  if (options->model_count == 0 || options->layer_tokens_per_s == 0
      || options->batch == 0 || options->end > options->models[0].layers
      || options->first > options->end)
    {
      g_set_error (error, ERR_DOMAIN, ERR_SETTINGS,
                   "an engine needs a model, a rate, a batch and a range "
                   "within the model");
      return NULL;
    }
  curl_global_init (CURL_GLOBAL_DEFAULT);
  struct fe_engine *engine = create_state (options);
  const struct hs_options server = {
    .port = options->port,
    .connections = options->connections,
    .handler = fe_handle_request,
    .user = engine,
  };
  engine->server = hs_create (&server, error);
  if (engine->server == NULL)
    {
      free_state (engine);
      return NULL;
    }
  jn_write (options->journal, "started", ",\"host\":\"%s\"", options->name);
  pthread_create (&engine->batch_thread, NULL, fe_batch_loop, engine);
  pthread_create (&engine->control_thread, NULL, fe_control_loop, engine);
  return engine;
}

/* Drops every queued job, so that the threads that wait for it return.  */
static void
drop_queued_jobs (struct fe_engine *engine)
{
  for (guint i = 0; i < engine->queue->len; i++)
    {
      struct fe_job *job = g_ptr_array_index (engine->queue, i);
      job->state = FE_JOB_DROPPED;
      pthread_cond_broadcast (&job->finished);
      fe_unref_job (job);
    }
  g_ptr_array_set_size (engine->queue, 0);
}

/* Stops and frees ENGINE; NULL is allowed.  */
void
fe_destroy (struct fe_engine *engine)
{
  if (engine == NULL)
    {
      return;
    }
  pthread_mutex_lock (&engine->lock);
  engine->stopping = true;
  drop_queued_jobs (engine);
  pthread_cond_broadcast (&engine->work_ready);
  pthread_cond_broadcast (&engine->control_ready);
  pthread_mutex_unlock (&engine->lock);
  pthread_join (engine->batch_thread, NULL);
  pthread_join (engine->control_thread, NULL);
  hs_destroy (engine->server);
  free_state (engine);
}

/* Returns the TCP port that ENGINE listens on.  */
uint16_t
fe_port (const struct fe_engine *engine)
{
  return hs_port (engine->server);
}
