/* Tests of the estimate of first waits: by tables, and by replaying the loss
   of a path on a model of the engines. */
#include "core/first_wait.h"

#include <glib.h>
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define MS INT64_C (1000)
#define S INT64_C (1000000)

/* The model: paths whose first engines run SLOTS streams at once and queue the
   others, several daemons that share the load at random, and callers that
   leave after PATIENCE_US without an event. */
#define PATHS 3
#define DAEMONS 6
#define SLOTS 192
#define RUN_US (4400 * MS)
#define READING_US (70 * MS)
#define PATIENCE_US (2 * S)
#define TARGET_US (500 * MS)
#define TICK_US (5 * MS)
#define LOST_FROM_US (10 * S)
#define LOST_UNTIL_US (22 * S)
#define END_US (34 * S)

struct stream
{
  int64_t sent_us;
  int64_t run_from_us; /* 0: queued */
  uint32_t daemon;
  bool answered; /* its first event has come */
  bool late;
};

/* Counts of the streams that arrived in an interval. */
struct count
{
  uint32_t arrived;
  uint32_t refused;
  uint32_t in_time;
};

struct model
{
  GRand *random;
  bool refuses;            /* the policy under test */
  GPtrArray *paths[PATHS]; /* streams, in the order of sending */
  struct fwt_estimate estimates[DAEMONS][PATHS];
  struct count lost;  /* while a path is lost, from 3 s after on */
  struct count after; /* from 5 s after its return on */
};

/* Returns the count that a stream sent at SENT_US belongs to, or NULL.  */
static struct count *
find_count (struct model *model, int64_t sent_us)
{
  if (sent_us >= LOST_FROM_US + 3 * S && sent_us < LOST_UNTIL_US)
    {
      return &model->lost;
    }
  return sent_us >= LOST_UNTIL_US + 5 * S ? &model->after : NULL;
}

static bool
is_lost (uint32_t path, int64_t now_us)
{
  return path == 0 && now_us >= LOST_FROM_US && now_us < LOST_UNTIL_US;
}

/* Returns for how long the oldest stream of DAEMON at PATH waits.  */
static int64_t
oldest_wait (const struct model *model, uint32_t daemon, uint32_t path,
             int64_t now_us)
{
  for (guint i = 0; i < model->paths[path]->len; i++)
    {
      const struct stream *stream = g_ptr_array_index (model->paths[path], i);
      if (stream->daemon == daemon && !stream->answered)
        {
          return now_us - stream->sent_us;
        }
    }
  return 0;
}

/* Sends a new stream by the policy: to the usable path with the fewest
   streams whose expected wait is within its limit.  */
static void
send_stream (struct model *model, int64_t now_us)
{
  uint32_t daemon = (uint32_t)g_rand_int_range (model->random, 0, DAEMONS);
  struct count *count = find_count (model, now_us);
  int best = -1;
  for (int path = 0; path < PATHS; path++)
    {
      const struct fwt_estimate *estimate = &model->estimates[daemon][path];
      bool open
          = fwt_expected_us (
                estimate, oldest_wait (model, daemon, (uint32_t)path, now_us),
                now_us)
            <= fwt_limit_us (estimate, TARGET_US, now_us);
      if (!is_lost ((uint32_t)path, now_us) && (open || !model->refuses)
          && (best < 0 || model->paths[path]->len < model->paths[best]->len))
        {
          best = path;
        }
    }
  if (count != NULL)
    {
      count->arrived++;
      count->refused += best < 0;
    }
  if (best >= 0)
    {
      struct stream *stream = g_new0 (struct stream, 1);
      stream->sent_us = now_us;
      stream->daemon = daemon;
      g_ptr_array_add (model->paths[best], stream);
    }
}

/* Moves the streams of PATH on.  */
static void
run_path (struct model *model, uint32_t path, int64_t now_us)
{
  GPtrArray *streams = model->paths[path];
  uint32_t running = 0;
  for (guint i = 0; i < streams->len;)
    {
      struct stream *stream = g_ptr_array_index (streams, i);
      int64_t waited_us = now_us - stream->sent_us;
      if (stream->run_from_us == 0 && running < SLOTS)
        {
          stream->run_from_us = now_us;
        }
      running += stream->run_from_us > 0;
      if (!stream->answered && stream->run_from_us > 0
          && now_us >= stream->run_from_us + READING_US)
        {
          struct count *count = find_count (model, stream->sent_us);
          stream->answered = true;
          fwt_observe (&model->estimates[stream->daemon][path], waited_us,
                       now_us);
          if (count != NULL)
            {
              count->in_time += waited_us <= TARGET_US;
            }
        }
      bool done
          = stream->run_from_us > 0 && now_us >= stream->run_from_us + RUN_US;
      bool left = !stream->answered && waited_us >= PATIENCE_US;
      if (left)
        {
          fwt_observe_end (&model->estimates[stream->daemon][path], waited_us,
                           now_us);
        }
      if (done || left || is_lost (path, now_us))
        {
          g_ptr_array_remove_index (streams, i);
          continue;
        }
      i++;
    }
}

/* Plays Poisson arrivals of RATE_PER_S with SEED.  */
static void
play (struct model *model, double rate_per_s, guint32 seed, bool refuses)
{
  memset (model, 0, sizeof *model);
  model->random = g_rand_new_with_seed (seed);
  model->refuses = refuses;
  for (uint32_t path = 0; path < PATHS; path++)
    {
      model->paths[path] = g_ptr_array_new_with_free_func (g_free);
    }
  double next_us = 0;
  for (int64_t now_us = TICK_US; now_us < END_US; now_us += TICK_US)
    {
      for (uint32_t path = 0; path < PATHS; path++)
        {
          run_path (model, path, now_us);
        }
      while (next_us <= (double)now_us)
        {
          send_stream (model, now_us);
          next_us -= log (1 - g_rand_double (model->random)) / rate_per_s
                     * (double)S;
        }
    }
  for (uint32_t path = 0; path < PATHS; path++)
    {
      g_ptr_array_free (model->paths[path], TRUE);
    }
  g_rand_free (model->random);
}

/* While one of three paths is lost, the others carry what they can in time,
   and the rest is refused.  Without refusals nearly every stream is late: the
   first events came after 1.3 s and more on days with such a loss.  */
static void
lost_path_leaves_the_others_in_time (void **state)
{
  (void)state;
  static const struct
  {
    double rate_per_s;
    guint32 seed;
  } rows[] = { { 100, 1 }, { 110, 2 }, { 125, 3 }, { 125, 4 } };
  const double capacity_per_s = (PATHS - 1) * SLOTS / ((double)RUN_US / S);
  const double lost_s = (double)(LOST_UNTIL_US - LOST_FROM_US - 3 * S) / S;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct model taken_all;
      struct model model;
      play (&taken_all, rows[i].rate_per_s, rows[i].seed, false);
      play (&model, rows[i].rate_per_s, rows[i].seed, true);
      double goodput_per_s = model.lost.in_time / lost_s;
      assert_true (taken_all.lost.in_time < model.lost.in_time / 2);
      if (goodput_per_s < 0.9 * capacity_per_s)
        {
          fail_msg ("%g a second: %g in time of %g that are possible",
                    rows[i].rate_per_s, goodput_per_s, capacity_per_s);
        }
      /* Back in time within 5 s of the return. */
      assert_true (model.after.in_time > 0.97 * model.after.arrived);
    }
}

/* Nothing is refused while every path has room.  */
static void
usual_load_is_not_refused (void **state)
{
  (void)state;
  struct model model;
  play (&model, 80, 5, true);
  assert_int_equal (model.lost.refused, 0);
  assert_int_equal (model.after.refused, 0);
}

/* Latency without a queue: a path over slow links answers after 1.2 s,
   whatever is refused, so it stays open.  */
static void
slow_links_are_not_a_queue (void **state)
{
  (void)state;
  struct fwt_estimate estimate = { 0 };
  for (int64_t now_us = S; now_us < 20 * S; now_us += 200 * MS)
    {
      fwt_observe (&estimate, 1200 * MS + now_us % (300 * MS), now_us);
      assert_true (fwt_expected_us (&estimate, 0, now_us)
                   <= fwt_limit_us (&estimate, TARGET_US, now_us));
    }
}

/* An estimate that was long falls without streams, so that the path is tried
   again, and a stream that waits now raises it at once.  */
static void
estimate_follows_the_streams (void **state)
{
  (void)state;
  struct fwt_estimate estimate = { 0 };
  assert_true (fwt_expected_us (&estimate, 0, S) < (double)MS);
  assert_true (fwt_expected_us (&estimate, 900 * MS, S) > 899e3);
  fwt_observe (&estimate, 80 * MS, S);
  fwt_observe (&estimate, 2000 * MS, S + MS);
  fwt_observe (&estimate, 2000 * MS, S + 2 * MS);
  double limit_us = fwt_limit_us (&estimate, TARGET_US, S + 2 * MS);
  assert_true (limit_us > 199e3 && limit_us < 201e3);
  assert_true (fwt_expected_us (&estimate, 0, S + 2 * MS) > limit_us);
  assert_true (fwt_expected_us (&estimate, 0, 3 * S) < limit_us);
}

/* Streams whose callers left without an event count too.  Guards against a
   path that answers nobody: its queue emptied as callers left, and it got the
   next streams.  */
static void
unanswered_streams_count (void **state)
{
  (void)state;
  struct fwt_estimate estimate = { 0 };
  fwt_observe (&estimate, 80 * MS, S);
  fwt_observe_end (&estimate, 2000 * MS, 4 * S);
  double limit_us = fwt_limit_us (&estimate, TARGET_US, 4 * S);
  assert_true (fwt_expected_us (&estimate, 0, 4 * S) > limit_us);
  /* One that ended early says nothing. */
  double before_us = fwt_expected_us (&estimate, 0, 4 * S);
  fwt_observe_end (&estimate, 10 * MS, 4 * S);
  assert_true (fwt_expected_us (&estimate, 0, 4 * S) == before_us);
}

static void
refused_callers_return_spread (void **state)
{
  (void)state;
  struct fwt_refusals refusals = { 0 };
  fwt_count_refusal (&refusals, S);
  double first_s = fwt_retry_after_s (&refusals, 0, 0, S);
  assert_true (first_s >= 0.5);
  assert_true (fwt_retry_after_s (&refusals, 0, 1, S) - first_s >= 2);
  assert_true (fwt_retry_after_s (&refusals, 3e6, 0, S) >= first_s + 3);
  /* A shortage that goes on lasts longer; a new one is judged anew. */
  fwt_count_refusal (&refusals, 3 * S / 2);
  fwt_count_refusal (&refusals, 2 * S);
  assert_true (fwt_retry_after_s (&refusals, 0, 0, 2 * S) >= first_s + 0.9);
  fwt_count_refusal (&refusals, 9 * S);
  assert_true (fwt_retry_after_s (&refusals, 0, 0, 9 * S) < first_s + 0.1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (lost_path_leaves_the_others_in_time),
    cmocka_unit_test (usual_load_is_not_refused),
    cmocka_unit_test (slow_links_are_not_a_queue),
    cmocka_unit_test (estimate_follows_the_streams),
    cmocka_unit_test (unanswered_streams_count),
    cmocka_unit_test (refused_callers_return_spread),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
