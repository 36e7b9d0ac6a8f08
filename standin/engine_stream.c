/* Requests and their streams: steps, KV memory, cancel, export and import. */
#include "standin/engine_private.h"

#include "base/clock.h"
#include "standin/model.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define KV_BYTES_PER_LAYER_POSITION 4096
#define MIB_BYTES (UINT64_C (1024) * 1024)

/* Time without a call after which a request is evicted. */
#define REQUEST_IDLE_MAX_US (60 * CLK_S_US)

/* Idle requests are evicted whenever the number of all requests reaches a
   multiple of this. */
#define REQUESTS_PER_SWEEP 256

#define HEX_DIGITS_PER_VALUE 16

/* Releases one reference to JOB.  The engine's lock is held.  */
void
fe_unref_job (struct fe_job *job)
{
  if (job == NULL || --job->references > 0)
    {
      return;
    }
  pthread_cond_destroy (&job->finished);
  g_free (job->hidden);
  g_string_free (job->output, TRUE);
  g_free (job);
}

/* Frees a stream and drops its job that has not run yet.  */
static void
free_stream (gpointer data)
{
  struct fe_stream *stream = data;
  struct fe_job *job = stream->last_job;
  if (job != NULL && job->state != FE_JOB_DONE)
    {
      job->state = FE_JOB_DROPPED;
      pthread_cond_broadcast (&job->finished);
    }
  if (job != NULL)
    {
      job->stream = NULL;
    }
  fe_unref_job (job);
  g_free (stream->kv);
  g_free (stream);
}

/* Frees a struct fe_request with its streams.  */
void
fe_free_request (gpointer data)
{
  struct fe_request *request = data;
  g_ptr_array_free (request->streams, TRUE);
  g_free (request->id);
  g_free (request);
}

/* Returns the KV state that STREAM uses, in positions times layers.  */
static uint64_t
stream_layer_positions (const struct fe_stream *stream)
{
  return (uint64_t)stream->positions
         * (stream->range.end - stream->range.first);
}

/* Drops every stream of REQUEST.  */
static void
drop_streams (struct fe_engine *engine, struct fe_request *request)
{
  for (guint i = 0; i < request->streams->len; i++)
    {
      engine->kv_layer_positions
          -= stream_layer_positions (g_ptr_array_index (request->streams, i));
    }
  g_ptr_array_set_size (request->streams, 0);
}

/* Evicts the requests without a call for REQUEST_IDLE_MAX_US.  */
static void
evict_idle_requests (struct fe_engine *engine, int64_t now_us)
{
  GHashTableIter iterator;
  gpointer value;
  g_hash_table_iter_init (&iterator, engine->requests);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      struct fe_request *request = value;
      if (request->last_used_us + REQUEST_IDLE_MAX_US < now_us)
        {
          drop_streams (engine, request);
          g_hash_table_iter_remove (&iterator);
        }
    }
}

/* Sets *FOUND to request ID, which is created if necessary.  An ATTEMPT higher
   than the request's drops the streams of the earlier one.  Returns
   ERR_OUT_OF_ORDER for a lower attempt, ERR_NOT_FOUND for a cancelled one.  */
static enum err_kind
get_request (struct fe_engine *engine, const char *id, uint32_t attempt,
             struct fe_request **found)
{
  int64_t now_us = clk_monotonic_us ();
  struct fe_request *request = g_hash_table_lookup (engine->requests, id);
  if (request == NULL)
    {
      if (g_hash_table_size (engine->requests) % REQUESTS_PER_SWEEP
          == REQUESTS_PER_SWEEP - 1)
        {
          evict_idle_requests (engine, now_us);
        }
      request = g_new0 (struct fe_request, 1);
      request->id = g_strdup (id);
      request->attempt = attempt;
      request->streams = g_ptr_array_new_with_free_func (free_stream);
      g_hash_table_insert (engine->requests, request->id, request);
    }
  if (attempt < request->attempt)
    {
      return ERR_OUT_OF_ORDER;
    }
  if (attempt > request->attempt)
    {
      drop_streams (engine, request);
      request->attempt = attempt;
      request->cancelled = false;
    }
  request->last_used_us = now_us;
  *found = request;
  return request->cancelled ? ERR_NOT_FOUND : ERR_NONE;
}

static struct fe_stream *
find_stream (const struct fe_request *request, const struct fe_range *range)
{
  for (guint i = 0; i < request->streams->len; i++)
    {
      struct fe_stream *stream = g_ptr_array_index (request->streams, i);
      if (memcmp (&stream->range, range, sizeof *range) == 0)
        {
          return stream;
        }
    }
  return NULL;
}

/* Adds a stream without positions to REQUEST, on RANGE.  */
static struct fe_stream *
add_stream (const struct fe_engine *engine, struct fe_request *request,
            const struct fe_range *range)
{
  struct fe_stream *stream = g_new0 (struct fe_stream, 1);
  stream->request = request;
  stream->range = *range;
  stream->kv = g_new (uint64_t, range->end - range->first);
  const char *model = engine->options.models[range->model].name;
  for (uint32_t layer = range->first; layer < range->end; layer++)
    {
      stream->kv[layer - range->first] = md_initial_kv (model, layer);
    }
  g_ptr_array_add (request->streams, stream);
  return stream;
}

/* Returns whether the KV memory has room for POSITIONS more on RANGE.  */
static bool
kv_fits (const struct fe_engine *engine, const struct fe_range *range,
         uint32_t positions)
{
  uint64_t limit
      = engine->options.kv_mib * MIB_BYTES / KV_BYTES_PER_LAYER_POSITION;
  uint64_t more = (uint64_t)positions * (range->end - range->first);
  return engine->kv_layer_positions + more <= limit;
}

/* Journals EVENT, the opening of a stream or its refusal.  */
static void
journal_open (const struct fe_engine *engine, const struct fe_step *step,
              const char *event)
{
  jn_write (engine->options.journal, event,
            ",\"host\":\"%s\",\"request\":\"%s\",\"attempt\":%u,"
            "\"first\":%u,\"end\":%u,\"leaving\":%s",
            engine->options.name, step->request, step->attempt,
            step->range.first, step->range.end,
            engine->leaving ? "true" : "false");
}

/* Opens a stream for step 0 or an import.  Returns ERR_ENDPOINT_REFUSED when
   the host leaves or the range is not loaded, ERR_NO_CAPACITY when the KV
   memory is full.  */
static enum err_kind
open_stream (struct fe_engine *engine, struct fe_request *request,
             const struct fe_step *step, struct fe_stream **opened)
{
  if (engine->leaving || !fe_has_range (engine, &step->range))
    {
      journal_open (engine, step, "open_refused");
      return ERR_ENDPOINT_REFUSED;
    }
  if (!kv_fits (engine, &step->range, step->positions))
    {
      evict_idle_requests (engine, clk_monotonic_us ());
      if (!kv_fits (engine, &step->range, step->positions))
        {
          return ERR_NO_CAPACITY;
        }
    }
  *opened = add_stream (engine, request, &step->range);
  journal_open (engine, step, "open");
  return ERR_NONE;
}

/* Returns how many positions of a first step are in the prefix cache, in whole
   blocks.  At least one position is left to run.  Adds the blocks of the step
   to the cache.  */
static uint32_t
cached_positions (struct fe_engine *engine, const struct fe_step *step)
{
  const char *model = engine->options.models[step->range.model].name;
  const char *bytes = (const char *)step->hidden;
  size_t position_bytes = sizeof step->hidden[0];
  size_t total_positions = step->positions;
  if (step->prompt != NULL)
    {
      bytes = step->prompt;
      position_bytes = MD_PROMPT_BYTES_PER_POSITION;
      total_positions = step->prompt_bytes / MD_PROMPT_BYTES_PER_POSITION;
    }
  uint32_t blocks = (uint32_t)(total_positions / PFX_BLOCK_POSITIONS);
  if (blocks == 0)
    {
      return 0;
    }
  uint64_t seed = XXH64 (model, strlen (model), 0);
  uint64_t *prefixes = g_new (uint64_t, blocks);
  for (uint32_t i = 0; i < blocks; i++)
    {
      size_t length = (size_t)(i + 1) * PFX_BLOCK_POSITIONS * position_bytes;
      prefixes[i] = XXH64 (bytes, length, seed);
    }
  uint32_t found
      = pfx_use (engine->cache, prefixes, blocks, clk_monotonic_us ());
  g_free (prefixes);
  return MIN (found * PFX_BLOCK_POSITIONS, step->positions - 1);
}

/* Embeds the prompt and the tokens of a step on the first range as the hidden
   state of each position.  FROM is the number of positions that the stream has
   already.  */
static void
embed_tokens (struct fe_step *step, uint32_t from)
{
  uint32_t prompt_positions
      = step->prompt == NULL ? 0 : md_prompt_positions (step->prompt_bytes);
  step->positions = prompt_positions + step->token_count;
  step->hidden = g_new (uint64_t, step->positions);
  uint32_t *tokens = g_new (uint32_t, step->positions);
  if (prompt_positions > 0)
    {
      md_prompt_tokens (step->prompt, step->prompt_bytes, tokens);
    }
  for (uint32_t i = 0; i < step->token_count; i++)
    {
      tokens[prompt_positions + i] = step->tokens[i];
    }
  for (uint32_t i = 0; i < step->positions; i++)
    {
      step->hidden[i] = md_embed (tokens[i], from + i);
    }
  g_free (tokens);
}

/* Queues a job for the next step of STREAM and returns the job.  Takes over
   the hidden state of STEP.  */
static struct fe_job *
queue_job (struct fe_engine *engine, struct fe_stream *stream,
           struct fe_step *step)
{
  struct fe_job *job = g_new0 (struct fe_job, 1);
  job->references = 2; /* the stream and the queue */
  job->stream = stream;
  job->step = step->step;
  job->priority = step->priority;
  job->arrival = engine->next_arrival++;
  job->positions = step->positions;
  job->cached_positions
      = step->step == 0 ? cached_positions (engine, step) : 0;
  job->hidden = step->hidden;
  step->hidden = NULL;
  job->output = g_string_new (NULL);
  pthread_cond_init (&job->finished, NULL);
  fe_unref_job (stream->last_job);
  stream->last_job = job;
  stream->next_step = step->step + 1;
  stream->positions += job->positions;
  engine->kv_layer_positions
      += (uint64_t)job->positions * (stream->range.end - stream->range.first);
  g_ptr_array_add (engine->queue, job);
  pthread_cond_signal (&engine->work_ready);
  return job;
}

/* Waits until JOB has run and appends its answer to OUTPUT.  Returns
   ERR_NOT_FOUND when JOB was dropped.  */
static enum err_kind
wait_job (struct fe_engine *engine, struct fe_job *job, GString *output)
{
  job->references++;
  while (job->state == FE_JOB_WAITING || job->state == FE_JOB_RUNNING)
    {
      pthread_cond_wait (&job->finished, &engine->lock);
    }
  enum err_kind kind = job->state == FE_JOB_DONE ? ERR_NONE : ERR_NOT_FOUND;
  if (kind == ERR_NONE)
    {
      g_string_append_len (output, job->output->str, (gssize)job->output->len);
      fe_render_load (engine, output);
    }
  fe_unref_job (job);
  return kind;
}

/* Sets *JOB to the job that answers STEP: the last one of the stream when the
   step is repeated, else a new one.  Returns the errors of fe_run_step.  */
static enum err_kind
find_or_queue_job (struct fe_engine *engine, struct fe_step *step,
                   uint32_t *expected, struct fe_job **job)
{
  struct fe_request *request;
  enum err_kind kind
      = get_request (engine, step->request, step->attempt, &request);
  if (kind != ERR_NONE)
    {
      return kind;
    }
  struct fe_stream *stream = find_stream (request, &step->range);
  if (stream != NULL && stream->last_job != NULL
      && stream->last_job->step == step->step)
    {
      *job = stream->last_job;
      return ERR_NONE;
    }
  if (stream == NULL && step->step != 0)
    {
      return ERR_NOT_FOUND;
    }
  if (stream != NULL
      && (step->step != stream->next_step
          || (stream->last_job != NULL
              && stream->last_job->state != FE_JOB_DONE)))
    {
      *expected = stream->next_step;
      return ERR_OUT_OF_ORDER;
    }
  if (step->range.first == 0)
    {
      embed_tokens (step, stream == NULL ? 0 : stream->positions);
    }
  if (stream == NULL)
    {
      kind = open_stream (engine, request, step, &stream);
    }
  if (kind == ERR_NONE)
    {
      *job = queue_job (engine, stream, step);
    }
  return kind;
}

/* Runs STEP, or reuses the output of the last step when that is repeated, and
   appends the answer to OUTPUT without its closing brace.  Returns
   ERR_NOT_FOUND for an unknown stream, a cancelled attempt or a dropped job,
   ERR_OUT_OF_ORDER for a lower attempt or for another step than *EXPECTED,
   ERR_ENDPOINT_REFUSED when the engine refuses, or ERR_NO_CAPACITY.  */
enum err_kind
fe_run_step (struct fe_engine *engine, struct fe_step *step,
             uint32_t *expected, GString *output)
{
  struct fe_job *job = NULL;
  pthread_mutex_lock (&engine->lock);
  enum err_kind kind = ERR_ENDPOINT_REFUSED;
  if (!engine->refusing_steps && !engine->stopping)
    {
      kind = find_or_queue_job (engine, step, expected, &job);
    }
  if (kind == ERR_NONE)
    {
      kind = wait_job (engine, job, output);
    }
  pthread_mutex_unlock (&engine->lock);
  return kind;
}

/* Drops the streams of REQUEST up to ATTEMPT and marks the attempt as
   cancelled, so that its later steps are rejected.  Always returns ERR_NONE: a
   cancel of a lower or a cancelled attempt has no effect.  */
enum err_kind
fe_cancel (struct fe_engine *engine, const char *request, uint32_t attempt)
{
  struct fe_request *found;
  pthread_mutex_lock (&engine->lock);
  enum err_kind kind = get_request (engine, request, attempt, &found);
  if (kind == ERR_NONE)
    {
      drop_streams (engine, found);
      found->cancelled = true;
      jn_write (engine->options.journal, "cancel",
                ",\"host\":\"%s\",\"request\":\"%s\",\"attempt\":%u",
                engine->options.name, request, attempt);
    }
  pthread_mutex_unlock (&engine->lock);
  return ERR_NONE;
}

/* Appends `{"step": N, "kv": HEX}' of an idle stream to OUTPUT.  HEX has the
   number of positions and the state of each layer.  Returns ERR_NOT_FOUND, or
   ERR_OUT_OF_ORDER while a step runs.  */
enum err_kind
fe_export (struct fe_engine *engine, const char *request, uint32_t attempt,
           const struct fe_range *range, GString *output)
{
  enum err_kind kind = ERR_NOT_FOUND;
  pthread_mutex_lock (&engine->lock);
  struct fe_request *found = g_hash_table_lookup (engine->requests, request);
  struct fe_stream *stream = NULL;
  if (found != NULL && found->attempt == attempt)
    {
      stream = find_stream (found, range);
    }
  if (stream != NULL)
    {
      bool idle
          = stream->last_job == NULL || stream->last_job->state == FE_JOB_DONE;
      kind = idle ? ERR_NONE : ERR_OUT_OF_ORDER;
    }
  if (kind == ERR_NONE)
    {
      g_string_append_printf (output, "{\"step\":%u,\"kv\":\"%016" PRIx64,
                              stream->next_step - 1,
                              (uint64_t)stream->positions);
      for (uint32_t i = 0; i < range->end - range->first; i++)
        {
          g_string_append_printf (output, "%016" PRIx64, stream->kv[i]);
        }
      g_string_append (output, "\"}");
    }
  pthread_mutex_unlock (&engine->lock);
  return kind;
}

/* Returns value INDEX of HEX.  */
static uint64_t
hex_value (const char *hex, size_t index)
{
  char digits[HEX_DIGITS_PER_VALUE + 1];
  memcpy (digits, hex + index * HEX_DIGITS_PER_VALUE, HEX_DIGITS_PER_VALUE);
  digits[HEX_DIGITS_PER_VALUE] = '\0';
  return strtoull (digits, NULL, 16);
}

/* Opens a stream from KV_HEX, the `kv' of an fe_export; STEP is the last step
   that ran.  Returns ERR_BAD_REQUEST when KV_HEX has the wrong length,
   ERR_OUT_OF_ORDER for a lower attempt or when the stream exists,
   ERR_NOT_FOUND for a cancelled attempt, ERR_ENDPOINT_REFUSED or
   ERR_NO_CAPACITY.  */
enum err_kind
fe_import (struct fe_engine *engine, const char *request, uint32_t attempt,
           const struct fe_range *range, uint32_t step, const char *kv_hex)
{
  uint32_t layers = range->end - range->first;
  if (strlen (kv_hex) != (size_t)(layers + 1) * HEX_DIGITS_PER_VALUE)
    {
      return ERR_BAD_REQUEST;
    }
  struct fe_request *found;
  struct fe_stream *stream = NULL;
  const struct fe_step opening = {
    .request = request,
    .attempt = attempt,
    .range = *range,
    .positions = (uint32_t)hex_value (kv_hex, 0),
  };
  pthread_mutex_lock (&engine->lock);
  enum err_kind kind = get_request (engine, request, attempt, &found);
  if (kind == ERR_NONE && find_stream (found, range) != NULL)
    {
      kind = ERR_OUT_OF_ORDER;
    }
  if (kind == ERR_NONE)
    {
      kind = open_stream (engine, found, &opening, &stream);
    }
  if (kind == ERR_NONE)
    {
      stream->positions = opening.positions;
      stream->next_step = step + 1;
      engine->kv_layer_positions += stream_layer_positions (stream);
      for (uint32_t i = 0; i < layers; i++)
        {
          stream->kv[i] = hex_value (kv_hex, i + 1);
        }
    }
  pthread_mutex_unlock (&engine->lock);
  return kind;
}
