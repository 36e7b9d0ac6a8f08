/* Replays the loss of one of three paths through the engines on a model of
   their queues, and measures what the rest of the fleet serves in time.  It
   shows which part of the load after a loss is the daemons' own, and what the
   gate for new requests (core/first_wait) costs:

     today    the gate as it is; cut streams go on at once on the other paths
     dropped  cut streams aren't continued: their whole load is taken away
     exact    the gate knows each path's queue, instead of estimating it
     both     dropped and exact

   An engine admits streams in order while it has slots, reads the prompts of
   those admitted in order, at most a chunk in each pass, and then makes one
   token of every stream in each loop over the path.  One of the paths that
   stay reads at a third of the speed.  Callers leave after two seconds without
   an event; those that had got one return at once, the refused ones after
   Retry-After.  Prints lines `name value unit target' for the median of the
   seeds; a target of `-' is none.

     build/release/bench/loss [--seed N]  */

#include "core/first_wait.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MS INT64_C (1000)
#define S INT64_C (1000000)

#define PATHS 3
#define LOST_PATH 2
#define SLOW_PATH 0
#define DAEMONS 6
#define SEEDS 5

#define SLOTS 192
#define CHUNK_TOKENS 512.0
#define PASS_US (7 * MS)
#define SLOW_FACTOR 3.0
#define LOOP_US (65 * MS)
#define PROMPT_TOKENS 760.0
#define ANSWER_TOKENS 57.0

#define ARRIVALS_PER_S 90.0
#define TARGET_US (500 * MS)
#define PATIENCE_US (2 * S)
#define DEADLINE_US (20 * S)
#define RETURNS_MAX 2

#define TICK_US (5 * MS)
#define LOST_FROM_US (10 * S)
#define DETECTED_US (LOST_FROM_US + 600 * MS)
#define LOST_UNTIL_US (LOST_FROM_US + 2400 * MS)
#define JUDGED_US (3 * S)
#define END_US (24 * S)

/* How long the continuation of a cut stream waits for a path with room. */
#define ROOM_WAIT_US (1 * S)

enum policy
{
  POLICY_TODAY,
  POLICY_DROPPED,
  POLICY_EXACT,
  POLICY_BOTH,
  POLICY_COUNT
};

static const char *const policy_names[POLICY_COUNT]
    = { "today", "dropped", "exact", "both" };

struct stream
{
  uint32_t daemon;
  uint32_t path;
  int64_t arrived_us; /* its caller's first attempt */
  int64_t due_us;     /* when it is sent, or sent again */
  int64_t room_wait_end_us;
  int64_t sent_us;
  int64_t last_event_us; /* or when its caller began to wait */
  int64_t next_token_us; /* 0: its prompt isn't read yet */
  double prompt_tokens;
  double unread_tokens;
  double tokens_left;
  uint32_t returns_left;
  bool has_slot;
  bool is_waiting; /* for the first event of this attempt */
  bool is_cut;     /* it goes on with an answer */
};

/* What is measured of one replay. */
enum measure
{
  MEASURE_IN_TIME,      /* of the callers in JUDGED_US from the loss on */
  MEASURE_MEDIAN,       /* of the first events of these */
  MEASURE_CUT_FINISHED, /* of the streams that the loss cut */
  MEASURE_STALE,        /* refusals while a path was within the limit */
  MEASURE_IN_VAIN,      /* of the tokens read from the loss on: for attempts
                           that ended before their first event */
  MEASURE_RECOVERY,     /* until the median of a second stays within twice that
                           before the loss, after the path is back */
  MEASURE_COUNT
};

static const struct
{
  const char *name;
  const char *unit;
} measures[MEASURE_COUNT] = {
  [MEASURE_IN_TIME] = { "in_time", "1" },
  [MEASURE_MEDIAN] = { "first_event_median", "ms" },
  [MEASURE_CUT_FINISHED] = { "cut_finished", "1" },
  [MEASURE_STALE] = { "stale_refusals", "requests" },
  [MEASURE_IN_VAIN] = { "read_in_vain", "1" },
  [MEASURE_RECOVERY] = { "recovery", "s" },
};

struct model
{
  GRand *random;
  enum policy policy;
  GPtrArray *paths[PATHS]; /* streams, in the order of sending */
  GPtrArray *callers;      /* streams that are to be sent */
  struct fwt_estimate estimates[DAEMONS][PATHS];
  struct fwt_refusals refusals[DAEMONS];
  GArray *first_events[END_US / S]; /* double, ms, by second of arrival */
  uint32_t arrived;
  uint32_t in_time;
  uint32_t cut;
  uint32_t cut_finished;
  uint32_t stale_refusals;
  double read_tokens;
  double vain_tokens;
};

static bool
is_lost (uint32_t path, int64_t now_us)
{
  return path == LOST_PATH && now_us >= LOST_FROM_US && now_us < LOST_UNTIL_US;
}

/* True when the daemons know that PATH is lost.  */
static bool
is_closed (uint32_t path, int64_t now_us)
{
  return is_lost (path, now_us) && now_us >= DETECTED_US;
}

static double
tokens_per_tick (uint32_t path)
{
  double pass_us = (double)PASS_US * (path == SLOW_PATH ? SLOW_FACTOR : 1);
  return CHUNK_TOKENS * (double)TICK_US / pass_us;
}

static double
draw_exponential (struct model *model, double mean)
{
  return -mean * log (1 - g_rand_double (model->random));
}

/* Returns for how long a stream that is sent to PATH now waits for its first
   event.  */
static double
exact_wait_us (const struct model *model, uint32_t path)
{
  const GPtrArray *streams = model->paths[path];
  double unread_tokens = 0;
  double queued = 0;
  for (guint i = 0; i < streams->len; i++)
    {
      const struct stream *stream = g_ptr_array_index (streams, i);
      unread_tokens += stream->unread_tokens;
      queued += !stream->has_slot;
    }
  double slot_us = ANSWER_TOKENS * (double)LOOP_US / SLOTS;
  return fmax (unread_tokens / tokens_per_tick (path) * (double)TICK_US,
               queued * slot_us)
         + (double)LOOP_US;
}

/* Returns by how much a wait on PATH is expected to exceed its limit.  */
static double
excess_us (const struct model *model, uint32_t daemon, uint32_t path,
           bool is_exact, int64_t now_us)
{
  const struct fwt_estimate *estimate = &model->estimates[daemon][path];
  int64_t oldest_us = 0;
  double limit_us = fwt_limit_us (estimate, TARGET_US, now_us);
  if (is_exact)
    {
      return exact_wait_us (model, path) - limit_us;
    }
  for (guint i = 0; i < model->paths[path]->len && oldest_us == 0; i++)
    {
      const struct stream *stream = g_ptr_array_index (model->paths[path], i);
      if (stream->daemon == daemon && stream->is_waiting)
        {
          oldest_us = now_us - stream->sent_us;
        }
    }
  return fwt_expected_us (estimate, oldest_us, now_us) - limit_us;
}

/* Returns the path for a stream of DAEMON: the one with the fewest of its
   streams, up to a random part, among those within the limit; without any, the
   one that exceeds it least.  Sets LEAST_US to by how much; at most 0 if it
   is within.  */
static uint32_t
choose_path (struct model *model, uint32_t daemon, bool is_exact,
             int64_t now_us, double *least_us)
{
  uint32_t best = 0;
  double best_load = INFINITY;
  *least_us = INFINITY;
  for (uint32_t path = 0; path < PATHS; path++)
    {
      double excess = excess_us (model, daemon, path, is_exact, now_us);
      double load = draw_exponential (model, 1);
      if (is_closed (path, now_us))
        {
          continue;
        }
      for (guint i = 0; i < model->paths[path]->len; i++)
        {
          const struct stream *stream
              = g_ptr_array_index (model->paths[path], i);
          load += stream->daemon == daemon;
        }
      if (excess <= 0 ? *least_us > 0 || load < best_load : excess < *least_us)
        {
          best = path;
          best_load = load;
          *least_us = excess;
        }
    }
  return best;
}

/* Makes CALLER return at DUE_US, or frees it when it doesn't.  */
static void
return_or_leave (struct model *model, struct stream *caller, int64_t due_us)
{
  if (caller->returns_left == 0 || due_us > caller->arrived_us + DEADLINE_US)
    {
      g_free (caller);
      return;
    }
  caller->returns_left--;
  caller->due_us = due_us;
  caller->last_event_us = due_us;
  caller->room_wait_end_us = 0;
  g_ptr_array_add (model->callers, caller);
}

/* Sends CALLER, lets it wait for room, or refuses it.  */
static void
send_caller (struct model *model, struct stream *caller, int64_t now_us)
{
  bool is_exact
      = model->policy == POLICY_EXACT || model->policy == POLICY_BOTH;
  double least_us = 0;
  uint32_t path
      = choose_path (model, caller->daemon, is_exact, now_us, &least_us);
  if (least_us > 0 && !caller->is_cut)
    {
      struct fwt_refusals *refusals = &model->refusals[caller->daemon];
      double true_us = 0;
      choose_path (model, caller->daemon, true, now_us, &true_us);
      model->stale_refusals += true_us <= 0;
      fwt_count_refusal (refusals, now_us);
      double after_s = fwt_retry_after_s (
          refusals, least_us, g_rand_double (model->random), now_us);
      return_or_leave (model, caller, now_us + (int64_t)(after_s * (double)S));
      return;
    }
  if (caller->room_wait_end_us == 0)
    {
      caller->room_wait_end_us = now_us + ROOM_WAIT_US;
    }
  if (least_us > 0 && now_us < caller->room_wait_end_us)
    {
      caller->due_us = now_us + 60 * MS;
      g_ptr_array_add (model->callers, caller);
      return;
    }
  caller->path = path;
  caller->sent_us = now_us;
  caller->unread_tokens = caller->prompt_tokens;
  caller->next_token_us = 0;
  caller->has_slot = false;
  caller->is_waiting = true;
  g_ptr_array_add (model->paths[path], caller);
}

/* Sends the callers that are due.  Those of cut streams don't wait for
   longer than PATIENCE_US.  */
static void
send_due (struct model *model, int64_t now_us)
{
  GPtrArray *callers = model->callers;
  model->callers = g_ptr_array_new ();
  for (guint i = 0; i < callers->len; i++)
    {
      struct stream *caller = g_ptr_array_index (callers, i);
      if (caller->is_cut && now_us - caller->last_event_us > PATIENCE_US)
        {
          return_or_leave (model, caller, now_us);
        }
      else if (now_us < caller->due_us)
        {
          g_ptr_array_add (model->callers, caller);
        }
      else
        {
          send_caller (model, caller, now_us);
        }
    }
  g_ptr_array_free (callers, TRUE);
}

/* Records the first event of STREAM's current attempt.  */
static void
record_first_event (struct model *model, struct stream *stream, int64_t now_us)
{
  fwt_observe (&model->estimates[stream->daemon][stream->path],
               now_us - stream->sent_us, now_us);
  stream->is_waiting = false;
  if (!stream->is_cut)
    {
      double wait_ms = (double)(now_us - stream->arrived_us) / (double)MS;
      int64_t age_us = stream->arrived_us - LOST_FROM_US;
      g_array_append_val (model->first_events[stream->arrived_us / S],
                          wait_ms);
      model->in_time += age_us >= 0 && age_us < JUDGED_US
                        && now_us - stream->arrived_us <= TARGET_US;
    }
}

/* Moves STREAM, which has a slot, on by the tick that ends at NOW_US.  BUDGET
   is how many prompt tokens its path still reads in this tick.  */
static void
run_stream (struct model *model, struct stream *stream, double *budget,
            int64_t now_us)
{
  if (stream->unread_tokens > 0)
    {
      double read = fmin (stream->unread_tokens, *budget);
      *budget -= read;
      stream->unread_tokens -= read;
      model->read_tokens += now_us >= LOST_FROM_US ? read : 0;
    }
  if (stream->unread_tokens > 0)
    {
      return;
    }
  if (stream->next_token_us == 0)
    {
      stream->next_token_us = now_us + LOOP_US;
    }
  while (stream->next_token_us <= now_us && stream->tokens_left > 0)
    {
      if (stream->is_waiting)
        {
          record_first_event (model, stream, now_us);
        }
      stream->last_event_us = now_us;
      stream->next_token_us += LOOP_US;
      stream->tokens_left--;
      stream->prompt_tokens++;
    }
}

/* Ends the attempt of STREAM: its caller has left at NOW_US, or its path is
   lost.  */
static void
end_attempt (struct model *model, struct stream *stream, int64_t now_us)
{
  if (stream->is_waiting)
    {
      fwt_observe_end (&model->estimates[stream->daemon][stream->path],
                       now_us - stream->sent_us, now_us);
      model->vain_tokens += now_us >= LOST_FROM_US
                                ? stream->prompt_tokens - stream->unread_tokens
                                : 0;
    }
}

/* Continues STREAM, whose path is lost, or drops it.  */
static void
cut_stream (struct model *model, struct stream *stream, int64_t now_us)
{
  bool drops = model->policy == POLICY_DROPPED || model->policy == POLICY_BOTH;
  end_attempt (model, stream, now_us);
  if (!stream->is_waiting)
    {
      stream->is_cut = true;
      model->cut++;
    }
  if (stream->is_cut && drops)
    {
      g_free (stream);
      return;
    }
  stream->due_us = now_us;
  stream->room_wait_end_us = 0;
  g_ptr_array_add (model->callers, stream);
}

/* Moves the streams of PATH on.  */
static void
run_path (struct model *model, uint32_t path, int64_t now_us)
{
  GPtrArray *streams = model->paths[path];
  double budget = tokens_per_tick (path);
  uint32_t running = 0;
  for (guint i = 0; i < streams->len;)
    {
      struct stream *stream = g_ptr_array_index (streams, i);
      stream->has_slot = stream->has_slot || running < SLOTS;
      running += stream->has_slot;
      if (stream->has_slot && !is_lost (path, now_us))
        {
          run_stream (model, stream, &budget, now_us);
        }
      bool has_left = now_us - stream->last_event_us > PATIENCE_US;
      if (stream->tokens_left <= 0)
        {
          model->cut_finished += stream->is_cut;
          g_free (stream);
        }
      else if (is_closed (path, now_us))
        {
          cut_stream (model, stream, now_us);
        }
      else if (has_left)
        {
          end_attempt (model, stream, now_us);
          return_or_leave (model, stream, now_us);
        }
      else
        {
          i++;
          continue;
        }
      g_ptr_array_remove_index (streams, i);
    }
}

/* Adds a caller that arrives at NOW_US.  */
static void
add_caller (struct model *model, int64_t now_us)
{
  struct stream *caller = g_new0 (struct stream, 1);
  *caller = (struct stream){
    .daemon = (uint32_t)g_rand_int_range (model->random, 0, DAEMONS),
    .arrived_us = now_us,
    .due_us = now_us,
    .last_event_us = now_us,
    .prompt_tokens = draw_exponential (model, PROMPT_TOKENS),
    .tokens_left = ceil (draw_exponential (model, ANSWER_TOKENS)),
    .returns_left = RETURNS_MAX,
  };
  int64_t age_us = now_us - LOST_FROM_US;
  model->arrived += age_us >= 0 && age_us < JUDGED_US;
  g_ptr_array_add (model->callers, caller);
}

static gint
compare_doubles (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;
  return (left > right) - (left < right);
}

/* Returns the median of VALUES, which are sorted; infinite if there are
   none.  */
static double
median (GArray *values)
{
  g_array_sort (values, compare_doubles);
  return values->len == 0 ? INFINITY
                          : g_array_index (values, double, values->len / 2);
}

/* Returns how long after the return of the path the median first event of each
   second stays within twice that before the loss.  */
static double
recovery_s (const struct model *model)
{
  const int64_t lost_s = LOST_FROM_US / S;
  const int64_t back_s = LOST_UNTIL_US / S;
  double usual_ms = median (model->first_events[lost_s - 2]);
  int64_t second = END_US / S - 3;
  while (second > back_s
         && median (model->first_events[second - 1]) <= 2 * usual_ms)
    {
      second--;
    }
  return (double)(second - back_s);
}

/* Sets RESULTS to the measures of MODEL.  */
static void
measure (const struct model *model, double *results)
{
  g_autoptr (GArray) firsts = g_array_new (FALSE, FALSE, sizeof (double));
  for (int64_t second = LOST_FROM_US / S;
       second < (LOST_FROM_US + JUDGED_US) / S; second++)
    {
      const GArray *values = model->first_events[second];
      g_array_append_vals (firsts, values->data, values->len);
    }
  results[MEASURE_IN_TIME] = (double)model->in_time / model->arrived;
  results[MEASURE_MEDIAN] = median (firsts);
  results[MEASURE_CUT_FINISHED]
      = (double)model->cut_finished / MAX (model->cut, 1);
  results[MEASURE_STALE] = model->stale_refusals;
  results[MEASURE_IN_VAIN] = model->vain_tokens / model->read_tokens;
  results[MEASURE_RECOVERY] = recovery_s (model);
}

/* Replays the loss by POLICY with SEED.  */
static void
play (enum policy policy, guint32 seed, double *results)
{
  struct model model = { .policy = policy };
  model.random = g_rand_new_with_seed (seed);
  model.callers = g_ptr_array_new ();
  for (uint32_t path = 0; path < PATHS; path++)
    {
      model.paths[path] = g_ptr_array_new ();
    }
  for (size_t i = 0; i < G_N_ELEMENTS (model.first_events); i++)
    {
      model.first_events[i] = g_array_new (FALSE, FALSE, sizeof (double));
    }
  double next_us = 0;
  for (int64_t now_us = TICK_US; now_us < END_US; now_us += TICK_US)
    {
      while (next_us <= (double)now_us)
        {
          add_caller (&model, now_us);
          next_us += draw_exponential (&model, (double)S / ARRIVALS_PER_S);
        }
      for (uint32_t path = 0; path < PATHS; path++)
        {
          run_path (&model, path, now_us);
        }
      send_due (&model, now_us);
    }
  measure (&model, results);
  for (uint32_t path = 0; path < PATHS; path++)
    {
      g_ptr_array_set_free_func (model.paths[path], g_free);
      g_ptr_array_free (model.paths[path], TRUE);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (model.first_events); i++)
    {
      g_array_free (model.first_events[i], TRUE);
    }
  g_ptr_array_set_free_func (model.callers, g_free);
  g_ptr_array_free (model.callers, TRUE);
  g_rand_free (model.random);
}

int
main (int argc, char **argv)
{
  guint32 seed = 1;
  if (argc == 3 && strcmp (argv[1], "--seed") == 0)
    {
      seed = (guint32)strtoul (argv[2], NULL, 10);
    }
  for (enum policy policy = 0; policy < POLICY_COUNT; policy++)
    {
      double results[SEEDS][MEASURE_COUNT];
      for (guint32 i = 0; i < SEEDS; i++)
        {
          play (policy, seed + i, results[i]);
        }
      for (size_t i = 0; i < MEASURE_COUNT; i++)
        {
          g_autoptr (GArray) values
              = g_array_new (FALSE, FALSE, sizeof (double));
          for (size_t n = 0; n < SEEDS; n++)
            {
              g_array_append_val (values, results[n][i]);
            }
          printf ("loss.%s.%s %.3f %s -\n", policy_names[policy],
                  measures[i].name, median (values), measures[i].unit);
        }
    }
  return 0;
}
