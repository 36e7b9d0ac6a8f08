/* The batch thread: runs queued jobs at the configured rate. */
#include "standin/engine_private.h"

#include "base/clock.h"
#include "standin/model.h"

#include <inttypes.h>
#include <time.h>

/* Largest lateness of a batch that the next one makes up for. */
#define CATCH_UP_MAX_US (20 * CLK_MS_US)

/* Each batch moves the average by the difference divided by this. */
#define AVERAGE_DIVISOR 8

/* Orders queued jobs by priority, lowest number first, then by arrival.  */
static gint
compare_jobs (gconstpointer a, gconstpointer b)
{
  const struct fe_job *left = *(const struct fe_job *const *)a;
  const struct fe_job *right = *(const struct fe_job *const *)b;
  if (left->priority != right->priority)
    {
      return left->priority < right->priority ? -1 : 1;
    }
  return left->arrival < right->arrival ? -1 : 1;
}

/* Removes the dropped jobs, whose stream has been freed, from the queue.  */
static void
remove_dropped_jobs (struct fe_engine *engine)
{
  for (guint i = engine->queue->len; i > 0; i--)
    {
      struct fe_job *job = g_ptr_array_index (engine->queue, i - 1);
      if (job->state == FE_JOB_DROPPED)
        {
          g_ptr_array_remove_index (engine->queue, i - 1);
          fe_unref_job (job);
        }
    }
}

/* Returns the number of positions that the time of JOB is computed from.
   Cached positions cost nothing, and groups of prefill_positions run in
   parallel.  */
static uint32_t
charged_positions (const struct fe_engine *engine, const struct fe_job *job)
{
  uint32_t positions = job->positions - job->cached_positions;
  uint32_t parallel = MAX (engine->options.prefill_positions, 1);
  return (positions + parallel - 1) / parallel;
}

/* Moves the jobs of the next batch from the queue to BATCH.  Returns the time
   that the batch takes, in microseconds.  */
static int64_t
form_batch (struct fe_engine *engine, GPtrArray *batch)
{
  remove_dropped_jobs (engine);
  g_ptr_array_sort (engine->queue, compare_jobs);
  guint count = MIN (engine->queue->len, engine->options.batch);
  uint64_t layer_positions = 0;
  for (guint i = 0; i < count; i++)
    {
      struct fe_job *job = g_ptr_array_index (engine->queue, i);
      const struct fe_range *range = &job->stream->range;
      job->state = FE_JOB_RUNNING;
      layer_positions += (uint64_t)charged_positions (engine, job)
                         * (range->end - range->first);
      g_ptr_array_add (batch, job);
    }
  if (count > 0)
    {
      g_ptr_array_remove_range (engine->queue, 0, count);
    }
  engine->running_jobs = count;
  double work_us = (double)layer_positions * CLK_S_US
                   / engine->options.layer_tokens_per_s;
  return (int64_t)((engine->options.step_overhead_us + work_us)
                   * engine->slow_factor);
}

/* Appends the answer of the last range: the token decoded from HIDDEN.  */
static void
render_token (uint64_t hidden, GString *out)
{
  struct md_output output;
  md_decode (hidden, &output);
  g_string_append_printf (
      out, "\"token\":%u,\"text\":\"%s\",\"end\":%s,\"load\":", output.token,
      output.text, output.end ? "true" : "false");
}

/* Appends the answer of any other range: the activation of each position.  */
static void
render_activation (const uint64_t *hidden, uint32_t positions, GString *out)
{
  static const char digits[] = "0123456789abcdef";
  g_string_append (out, "\"activation\":\"");
  for (uint32_t i = 0; i < positions; i++)
    {
      char text[MD_ACTIVATION_HEX];
      for (int digit = 0; digit < MD_ACTIVATION_HEX; digit++)
        {
          text[digit] = digits[hidden[i] >> (60 - 4 * digit) & 15];
        }
      g_string_append_len (out, text, MD_ACTIVATION_HEX);
    }
  g_string_append (out, "\",\"load\":");
}

/* Runs JOB through its layers, stores the output and wakes the threads that
   wait for it.  */
static void
run_job (struct fe_engine *engine, struct fe_job *job)
{
  struct fe_stream *stream = job->stream;
  const struct fe_range *range = &stream->range;
  for (uint32_t i = 0; i < job->positions; i++)
    {
      uint64_t hidden = job->hidden[i];
      for (uint32_t layer = range->first; layer < range->end; layer++)
        {
          hidden = md_run_layer (&stream->kv[layer - range->first], hidden,
                                 layer);
        }
      job->hidden[i] = hidden;
    }
  const struct fe_model *model = &engine->options.models[range->model];
  g_string_append_printf (
      job->output,
      "{\"request\":\"%s\",\"attempt\":%u,\"step\":%u,\"first\":%u,",
      stream->request->id, stream->request->attempt, job->step, range->first);
  if (range->end == model->layers)
    {
      render_token (job->hidden[job->positions - 1], job->output);
    }
  else
    {
      render_activation (job->hidden, job->positions, job->output);
    }
  jn_write (engine->options.journal, "step",
            ",\"host\":\"%s\",\"request\":\"%s\",\"attempt\":%u,\"step\":%u,"
            "\"model\":\"%s\",\"first\":%u,\"end\":%u,\"layers\":%u,"
            "\"positions\":%u,\"cached\":%u",
            engine->options.name, stream->request->id,
            stream->request->attempt, job->step, model->name, range->first,
            range->end, model->layers, job->positions, job->cached_positions);
  g_free (job->hidden);
  job->hidden = NULL;
  job->state = FE_JOB_DONE;
  pthread_cond_broadcast (&job->finished);
}

/* Runs the jobs of BATCH that still have a stream, and empties BATCH.  Drops
   the jobs instead when the engine stops.  */
static void
finish_batch (struct fe_engine *engine, GPtrArray *batch)
{
  for (guint i = 0; i < batch->len; i++)
    {
      struct fe_job *job = g_ptr_array_index (batch, i);
      if (job->state == FE_JOB_RUNNING && !engine->stopping)
        {
          run_job (engine, job);
        }
      else if (job->state == FE_JOB_RUNNING)
        {
          job->state = FE_JOB_DROPPED;
          pthread_cond_broadcast (&job->finished);
        }
      fe_unref_job (job);
    }
  g_ptr_array_set_size (batch, 0);
  engine->running_jobs = 0;
}

/* Sleeps until the monotonic time UNTIL_US.  */
static void
sleep_until (int64_t until_us)
{
  const struct timespec until = {
    .tv_sec = until_us / CLK_S_US,
    .tv_nsec = until_us % CLK_S_US * 1000,
  };
  while (clock_nanosleep (CLOCK_BOOTTIME, TIMER_ABSTIME, &until, NULL) != 0)
    {
    }
}

/* The batch thread: forms a batch of queued jobs, sleeps for its duration and
   runs the jobs.  A batch that follows another at once counts from the planned
   end of that one, up to CATCH_UP_MAX_US ago, so that the engine keeps its
   rate although sleeps end late.  */
void *
fe_batch_loop (void *data)
{
  struct fe_engine *engine = data;
  GPtrArray *batch = g_ptr_array_new ();
  int64_t end_us = 0;
  pthread_mutex_lock (&engine->lock);
  while (!engine->stopping)
    {
      if (engine->queue->len == 0)
        {
          end_us = 0;
          pthread_cond_wait (&engine->work_ready, &engine->lock);
          continue;
        }
      int64_t now_us = clk_monotonic_us ();
      int64_t start_us = end_us + CATCH_UP_MAX_US > now_us ? end_us : now_us;
      int64_t duration_us = form_batch (engine, batch);
      if (batch->len == 0)
        {
          continue;
        }
      end_us = start_us + duration_us;
      pthread_mutex_unlock (&engine->lock);
      sleep_until (end_us);
      pthread_mutex_lock (&engine->lock);
      engine->average_batch_us
          += (duration_us - engine->average_batch_us) / AVERAGE_DIVISOR;
      finish_batch (engine, batch);
    }
  pthread_mutex_unlock (&engine->lock);
  g_ptr_array_free (batch, TRUE);
  return NULL;
}
