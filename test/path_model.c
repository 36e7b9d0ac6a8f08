#include "test/path_model.h"

#include "core/first_wait.h"
#include "core/path_choice.h"

#include <math.h>
#include <string.h>

#define MS INT64_C (1000)
#define S INT64_C (1000000)
#define TICK_US (10 * MS)
#define TICKS ((int64_t)PMD_RUN_MS * MS / TICK_US)

/* Streams, as the engines run them. */
#define PER_S 345.0
#define HOLD_US (3500 * MS)
#define READING_US (50 * MS)
#define INTERVAL_US 30000.0
#define PATIENCE_US (2 * S)
#define GAP_TARGET_US 250000.0

/* Age of what daemons know of the load, and of a loss. */
#define AGE_US (600 * MS)
#define AGE_TICKS (AGE_US / TICK_US)
#define DETECTION_US (200 * MS)

/* As in entry/path_own.c. */
#define FULL_FILL 0.9
#define OVERLOAD_FACTOR 10.0
#define CLOSED_FACTOR 1e6
#define SHARE_MIN 0.02

static const double target_us[PMD_RANKS] = { 500e3, 500e3, 1000e3 };
static const double kind_shares[PMD_RANKS] = { 0.54, 0.29, 0.17 };

/* Stated times of a token, of which those that engines need differ less. */
static const double token_ms[PMD_ENGINES]
    = { 2.8, 11, 5, 8, 11, 4, 11, 6, 9, 11, 7 };

struct stream
{
  uint32_t daemon;
  uint32_t engine;
  uint32_t kind;
  int64_t arrived_us;
  int64_t sent_us;
  int64_t run_from_us; /* 0: queued */
  int64_t left_us;     /* of the time that it holds a slot */
  bool answered;
  bool resumed;
  bool came_back;
};

/* What daemons know some time later. */
struct snapshot
{
  double requests[PMD_ENGINES];
  double waiting[PMD_ENGINES][FLT_RANKS_MAX];
  uint16_t own[PMD_DAEMONS][PMD_ENGINES];
};

struct model
{
  const struct pmd_params *params;
  struct pmd_result *result;
  GRand *random;
  int64_t now_us;
  GPtrArray *engines[PMD_ENGINES]; /* struct stream, in order of sending */
  GPtrArray *returning;            /* struct stream; sent_us: when */
  GArray *first_us[PMD_WINDOWS];   /* double */
  struct snapshot *snapshots;      /* AGE_TICKS, a ring */
  struct snapshot now;
  struct fwt_estimate estimates[PMD_DAEMONS][PMD_ENGINES];
  struct pch_average holds[PMD_DAEMONS][PMD_ENGINES];
  struct pch_average usual_holds[PMD_DAEMONS];
  struct fwt_refusals refusals[PMD_DAEMONS];
  double arrivals_per_s[FLT_RANKS_MAX];
};

static uint32_t
rank_of (const struct model *model, const struct stream *stream)
{
  return model->params->ranked ? stream->kind : 0;
}

static uint32_t
window_of (const struct stream *stream)
{
  return (uint32_t)MIN (stream->arrived_us / (PMD_WINDOW_MS * MS),
                        PMD_WINDOWS - 1);
}

/* Returns whether ENGINE is lost since LATER_US before now.  */
static bool
is_lost (const struct model *model, uint32_t engine, int64_t later_us)
{
  int64_t at_us = model->now_us - later_us;
  return engine < model->params->lost
         && at_us >= model->params->lost_from_ms * MS
         && at_us < model->params->lost_until_ms * MS;
}

/* Returns for how long DAEMON's oldest stream without an event at ENGINE has
   waited.  */
static int64_t
oldest_wait_us (const struct model *model, uint32_t daemon, uint32_t engine)
{
  const GPtrArray *streams = model->engines[engine];
  for (guint i = 0; i < streams->len; i++)
    {
      const struct stream *stream = g_ptr_array_index (streams, i);
      if (stream->daemon == daemon && !stream->answered)
        {
          return model->now_us - stream->sent_us;
        }
    }
  return 0;
}

/* Chooses an engine for STREAM from its daemon's own streams.  Returns the
   excess of the expected wait.  */
static double
choose_by_own (struct model *model, struct stream *stream)
{
  double best_cost = INFINITY;
  double best_excess_us = 0;
  for (uint32_t i = 0; i < PMD_ENGINES; i++)
    {
      const struct fwt_estimate *estimate
          = &model->estimates[stream->daemon][i];
      double own = model->now.own[stream->daemon][i];
      double fill
          = (own + 1) / (PMD_SLOTS * fmax (1.0 / PMD_DAEMONS, SHARE_MIN));
      double excess_us = fmax (
          fwt_expected_us (estimate, oldest_wait_us (model, stream->daemon, i),
                           model->now_us)
              - fwt_limit_us (estimate, (int64_t)target_us[stream->kind],
                              model->now_us),
          0);
      double cost = (own - log (g_rand_double_range (model->random, 1e-6, 1)))
                    * (1 + OVERLOAD_FACTOR * fmax (fill - FULL_FILL, 0))
                    * token_ms[i];
      cost *= excess_us > 0 ? CLOSED_FACTOR * (1 + excess_us) : 1;
      if (!is_lost (model, i, DETECTION_US) && cost < best_cost)
        {
          stream->engine = i;
          best_cost = cost;
          best_excess_us = excess_us;
        }
    }
  return best_excess_us;
}

/* Describes ENGINE to STREAM's daemon, which knows the others' load late.  */
static struct pch_path
describe_path (const struct model *model, const struct stream *stream,
               uint32_t engine)
{
  const struct snapshot *known
      = &model->snapshots[(model->now_us / TICK_US) % AGE_TICKS];
  double own = (double)model->now.own[stream->daemon][engine]
               - known->own[stream->daemon][engine];
  const struct pch_average *usual = &model->usual_holds[stream->daemon];
  double usual_us = usual->at_us > 0 ? usual->value : token_ms[engine] * 400e3;
  struct pch_path path = {
    .slots = PMD_SLOTS,
    .part = 1,
    .requests = known->requests[engine] + own,
    .age_us = AGE_US,
    .hold_us = pch_value (&model->holds[stream->daemon][engine], usual_us,
                          model->now_us),
    .first_event_us = 60e3,
    .interval_us = INTERVAL_US,
  };
  memcpy (path.waiting, known->waiting[engine], sizeof path.waiting);
  return path;
}

/* Chooses an engine for STREAM by core/path_choice.  Returns the excess of the
   expected wait and sets RETRY_AFTER_S.  */
static double
choose_by_load (struct model *model, struct stream *stream,
                double *retry_after_s)
{
  struct pch_path paths[PMD_ENGINES];
  uint32_t indexes[PMD_ENGINES] = { 0 };
  uint32_t count = 0;
  for (uint32_t i = 0; i < PMD_ENGINES; i++)
    {
      if (!is_lost (model, i, DETECTION_US))
        {
          indexes[count] = i;
          paths[count++] = describe_path (model, stream, i);
        }
    }
  struct pch_request request = {
    .target_us = target_us[stream->kind],
    .target_gap_us = GAP_TARGET_US,
    .rank = rank_of (model, stream),
    .is_resumed = stream->resumed,
    .came_back = stream->came_back,
  };
  memcpy (request.arrivals_per_s, model->arrivals_per_s,
          sizeof request.arrivals_per_s);
  struct pch_choice choice;
  pch_choose (paths, count, &request, g_rand_double (model->random),
              g_rand_double (model->random), &choice);
  stream->engine = indexes[choice.path];
  *retry_after_s = choice.retry_after_s;
  return choice.excess_us;
}

/* Sends STREAM, which is taken over, or refuses it if it is REFUSABLE and
   would wait for too long.  */
static void
send_stream (struct model *model, struct stream *stream, bool refusable)
{
  double retry_after_s = 0;
  double excess_us = model->params->knows_load
                         ? choose_by_load (model, stream, &retry_after_s)
                         : choose_by_own (model, stream);
  stream->sent_us = model->now_us;
  if (excess_us <= 0 || !refusable)
    {
      stream->run_from_us = 0;
      model->now.own[stream->daemon][stream->engine]++;
      g_ptr_array_add (model->engines[stream->engine], stream);
      return;
    }
  if (!model->params->knows_load)
    {
      struct fwt_refusals *refusals = &model->refusals[stream->daemon];
      fwt_count_refusal (refusals, model->now_us);
      retry_after_s = fwt_retry_after_s (
          refusals, excess_us, g_rand_double (model->random), model->now_us);
    }
  uint32_t window = window_of (stream);
  model->result->refused[window][stream->kind] += !stream->came_back;
  if (stream->came_back)
    {
      g_free (stream);
      return;
    }
  stream->came_back = true;
  stream->sent_us = model->now_us + (int64_t)(retry_after_s * 1e6);
  g_ptr_array_add (model->returning, stream);
}

/* Sends a new stream.  */
static void
send_new (struct model *model)
{
  double draw = g_rand_double (model->random);
  struct stream *stream = g_new0 (struct stream, 1);
  stream->kind = draw < kind_shares[0]                    ? 0
                 : draw < kind_shares[0] + kind_shares[1] ? 1
                                                          : 2;
  stream->daemon = (uint32_t)g_rand_int_range (model->random, 0, PMD_DAEMONS);
  stream->arrived_us = model->now_us;
  stream->left_us = HOLD_US;
  model->arrivals_per_s[rank_of (model, stream)] += 1;
  model->result->arrived[window_of (stream)][stream->kind]++;
  send_stream (model, stream, true);
}

/* Records the first event of STREAM.  */
static void
answer (struct model *model, struct stream *stream)
{
  double first_us = (double)(model->now_us - stream->arrived_us);
  uint32_t window = window_of (stream);
  stream->answered = true;
  fwt_observe (&model->estimates[stream->daemon][stream->engine],
               model->now_us - stream->sent_us, model->now_us);
  if (!stream->came_back)
    {
      g_array_append_val (model->first_us[window], first_us);
      model->result->in_time[window][stream->kind]
          += first_us <= target_us[stream->kind];
    }
}

/* Returns the queued stream of ENGINE that is to run next, or NULL.  */
static struct stream *
next_queued (const struct model *model, uint32_t engine)
{
  struct stream *next = NULL;
  uint32_t next_priority = 0;
  for (guint i = 0; i < model->engines[engine]->len; i++)
    {
      struct stream *stream = g_ptr_array_index (model->engines[engine], i);
      uint32_t priority = 2 * rank_of (model, stream) + !stream->resumed;
      if (stream->run_from_us == 0
          && (next == NULL || priority < next_priority))
        {
          next = stream;
          next_priority = priority;
        }
    }
  return next;
}

/* Removes STREAM, at INDEX, from its engine.  */
static void
remove_stream (struct model *model, struct stream *stream, guint index)
{
  model->now.own[stream->daemon][stream->engine]--;
  g_ptr_array_remove_index (model->engines[stream->engine], index);
}

/* Runs ENGINE until now.  */
static void
run_engine (struct model *model, uint32_t engine)
{
  GPtrArray *streams = model->engines[engine];
  uint32_t running = 0;
  for (guint i = streams->len; i-- > 0;)
    {
      struct stream *stream = g_ptr_array_index (streams, i);
      int64_t run_us
          = stream->run_from_us == 0 ? 0 : model->now_us - stream->run_from_us;
      if (run_us >= READING_US && !stream->answered)
        {
          answer (model, stream);
        }
      running += stream->run_from_us > 0 && run_us < stream->left_us;
      bool leaves = !stream->answered
                    && model->now_us - stream->sent_us >= PATIENCE_US;
      if (leaves)
        {
          fwt_observe_end (&model->estimates[stream->daemon][engine],
                           PATIENCE_US, model->now_us);
        }
      else if (run_us >= stream->left_us && stream->left_us == HOLD_US)
        {
          pch_observe (&model->holds[stream->daemon][engine], (double)run_us,
                       model->now_us);
          pch_observe (&model->usual_holds[stream->daemon], (double)run_us,
                       model->now_us);
        }
      if (leaves || run_us >= stream->left_us)
        {
          remove_stream (model, stream, i);
          g_free (stream);
        }
    }
  struct stream *next = NULL;
  while (running < PMD_SLOTS && (next = next_queued (model, engine)) != NULL)
    {
      next->run_from_us = model->now_us;
      running++;
    }
}

/* Sends the streams of the lost ENGINE to others.  */
static void
move_streams (struct model *model, uint32_t engine)
{
  while (model->engines[engine]->len > 0)
    {
      struct stream *stream = g_ptr_array_index (model->engines[engine], 0);
      remove_stream (model, stream, 0);
      if (stream->run_from_us > 0)
        {
          int64_t run_us
              = model->params->lost_from_ms * MS - stream->run_from_us;
          stream->left_us = MAX (stream->left_us - run_us, READING_US);
        }
      stream->resumed = stream->answered;
      send_stream (model, stream, false);
    }
}

/* Counts what daemons get to know later.  */
static void
take_snapshot (struct model *model)
{
  struct snapshot *now = &model->now;
  for (uint32_t i = 0; i < PMD_ENGINES; i++)
    {
      now->requests[i] = model->engines[i]->len;
      memset (now->waiting[i], 0, sizeof now->waiting[i]);
      for (guint n = 0; n < model->engines[i]->len; n++)
        {
          const struct stream *stream
              = g_ptr_array_index (model->engines[i], n);
          now->waiting[i][rank_of (model, stream)] += !stream->answered;
        }
    }
  model->snapshots[(model->now_us / TICK_US) % AGE_TICKS] = *now;
}

/* Fills engine 0 with streams and a queue.  */
static void
fill_first_engine (struct model *model)
{
  double per_us = (double)PMD_SLOTS / HOLD_US;
  uint32_t queued = (uint32_t)(model->params->queue_s * 1e6 * per_us);
  for (uint32_t i = 0; queued > 0 && i < PMD_SLOTS + queued; i++)
    {
      struct stream *stream = g_new0 (struct stream, 1);
      stream->daemon = i % PMD_DAEMONS;
      stream->left_us = HOLD_US * (i % PMD_SLOTS + 1) / PMD_SLOTS;
      stream->run_from_us = i < PMD_SLOTS ? 1 : 0;
      stream->answered = i < PMD_SLOTS;
      stream->came_back = true;
      stream->sent_us = -(int64_t)(i % PMD_SLOTS) * 5 * MS;
      model->now.own[stream->daemon][0]++;
      g_ptr_array_add (model->engines[0], stream);
    }
  for (uint32_t i = 0; queued > 0 && i < PMD_DAEMONS; i++)
    {
      fwt_observe (&model->estimates[i][0],
                   (int64_t)(model->params->queue_s * 1e6), 1);
    }
}

/* Advances MODEL by a tick.  */
static void
step (struct model *model)
{
  const struct pmd_params *params = model->params;
  int64_t now_ms = model->now_us / MS;
  bool in_burst
      = now_ms >= params->burst_from_ms && now_ms < params->burst_until_ms;
  double arrivals = PER_S * (in_burst ? params->burst : 1) * TICK_US / 1e6;
  for (uint32_t i = 0; i < FLT_RANKS_MAX; i++)
    {
      model->arrivals_per_s[i] *= 1 - (double)TICK_US / S;
    }
  for (uint32_t i = 0; i < PMD_ENGINES; i++)
    {
      if (!is_lost (model, i, 0))
        {
          run_engine (model, i);
        }
      else if (is_lost (model, i, DETECTION_US))
        {
          move_streams (model, i);
        }
    }
  while (arrivals > 1 || g_rand_double (model->random) < arrivals)
    {
      send_new (model);
      arrivals -= 1;
    }
  for (guint i = model->returning->len; i-- > 0;)
    {
      struct stream *stream = g_ptr_array_index (model->returning, i);
      if (stream->sent_us <= model->now_us)
        {
          g_ptr_array_remove_index (model->returning, i);
          model->arrivals_per_s[rank_of (model, stream)] += 1;
          send_stream (model, stream, true);
        }
    }
  take_snapshot (model);
  model->result->queued[now_ms / PMD_WINDOW_MS]
      = fmax (model->now.requests[0] - PMD_SLOTS, 0);
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return (left > right) - (left < right);
}

/* Runs the model with PARAMS and fills RESULT.  */
void
pmd_run (const struct pmd_params *params, struct pmd_result *result)
{
  struct model *model = g_new0 (struct model, 1);
  *result = (struct pmd_result){ 0 };
  model->params = params;
  model->result = result;
  model->random = g_rand_new_with_seed (7);
  model->snapshots = g_new0 (struct snapshot, AGE_TICKS);
  model->returning = g_ptr_array_new ();
  for (uint32_t i = 0; i < PMD_ENGINES; i++)
    {
      model->engines[i] = g_ptr_array_new_with_free_func (NULL);
    }
  for (uint32_t i = 0; i < PMD_WINDOWS; i++)
    {
      model->first_us[i] = g_array_new (FALSE, FALSE, sizeof (double));
    }
  fill_first_engine (model);
  for (int64_t tick = 0; tick < TICKS; tick++)
    {
      model->now_us = tick * TICK_US;
      step (model);
    }
  for (uint32_t i = 0; i < PMD_WINDOWS; i++)
    {
      GArray *times = model->first_us[i];
      g_array_sort (times, compare_doubles);
      result->median_ms[i]
          = times->len == 0
                ? INFINITY
                : g_array_index (times, double, times->len / 2) / 1e3;
      g_array_free (times, TRUE);
    }
  for (uint32_t i = 0; i < PMD_ENGINES; i++)
    {
      g_ptr_array_set_free_func (model->engines[i], g_free);
      g_ptr_array_free (model->engines[i], TRUE);
    }
  g_ptr_array_set_free_func (model->returning, g_free);
  g_ptr_array_free (model->returning, TRUE);
  g_rand_free (model->random);
  g_free (model->snapshots);
  g_free (model);
}
