/* Tests of appending records to a log that fails: each request has to be
   counted exactly once by the readers of the log. */
#include "burn_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define TICK_US (10 * SECOND_US)
#define RUN_US (30 * HOUR_US)
#define NEVER INT64_MAX

/* How the log handles appends between two times after START_US. */
struct fault_case
{
  const char *name;
  int64_t from_us;
  int64_t to_us;
  enum err_kind result;
  bool appended; /* the record is stored in spite of the result */
  bool drops;    /* records are dropped, as the outage is too long */
};

static const struct fault_case fault_cases[] = {
  { "no fault", NEVER, NEVER, ERR_NONE, true, false },
  { "refused for an hour", HOUR_US, 2 * HOUR_US, ERR_LOG_UNAVAILABLE, false,
    false },
  { "refused for eleven hours", HOUR_US, 12 * HOUR_US, ERR_LOG_UNAVAILABLE,
    false, false },
  { "answers lost, records stored", HOUR_US, 9 * HOUR_US, ERR_APPEND_UNKNOWN,
    true, false },
  { "answers lost, records not stored", HOUR_US, 9 * HOUR_US,
    ERR_APPEND_UNKNOWN, false, false },
  { "refused for twenty hours", HOUR_US, 21 * HOUR_US, ERR_LOG_UNAVAILABLE,
    false, true },
};

/* A log with a fault, and a daemon that reads its records. */
struct fake_log
{
  const struct fault_case *fault;
  struct brn_state *reader;
  uint32_t appends;
};

/* Performs ACTION with the fault of LOG, and reports the result to WRITER.  */
static void
append (struct fake_log *log, struct brn_state *writer,
        const struct act_append *action, int64_t now_us)
{
  int64_t elapsed_us = now_us - START_US;
  bool faulty
      = elapsed_us >= log->fault->from_us && elapsed_us < log->fault->to_us;
  log->appends++;
  if (!faulty || log->fault->appended)
    {
      struct brn_record *record = brn_unpack (action->bytes);
      assert_non_null (record);
      enum brn_merge_result merge = brn_merge (log->reader, record, now_us);
      assert_in_range (merge, BRN_MERGED, BRN_DUPLICATE);
      brn_record_destroy (record);
    }
  brn_append_result (writer, action->token,
                     faulty ? log->fault->result : ERR_NONE, now_us);
}

/* Runs WRITER for RUN_US with one draft in each tick, and flushes it at the
   end as at a planned stop.  Returns the number of drafts.  */
static uint32_t
run_writer (struct fake_log *log, struct brn_state *writer)
{
  struct act_list *actions = act_list_create ();
  uint32_t observed = 0;
  int64_t now_us = START_US;
  for (; now_us <= START_US + RUN_US; now_us += TICK_US)
    {
      bool last = now_us == START_US + RUN_US;
      bfx_observe (writer, bfx_draft_outcome (0, ERR_NONE), now_us, 1);
      observed++;
      brn_tick (writer, now_us, now_us, last, actions);
      while (act_list_length (actions) > 0)
        {
          const struct act *action = act_list_get (actions, 0);
          assert_string_equal (action->append.stream, BRN_STREAM);
          append (log, writer, &action->append, now_us);
          act_list_clear (actions);
          brn_tick (writer, now_us, now_us, last, actions);
        }
    }
  act_list_destroy (actions);
  return observed;
}

/* A reader counts each draft once, whether appends fail or only their answers
   are lost.  Records are dropped only in an outage of more than 12 hours, the
   oldest first, and the writer counts how many.  */
static void
counts_survive_log_faults (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (fault_cases); i++)
    {
      const struct fault_case *c = &fault_cases[i];
      struct fake_log log = { .fault = c, .reader = bfx_create (1) };
      struct brn_state *writer = bfx_create (2);
      uint32_t observed = run_writer (&log, writer);
      int64_t now_us = START_US + RUN_US;
      struct brn_report_line line = bfx_find_line (
          log.reader, "trust", BRN_DRAFT, BRN_AVAILABILITY, now_us);
      struct brn_report *report = brn_report (writer, &bfx_config, now_us);
      uint64_t drafts_per_record = BUCKET_US / TICK_US;
      uint64_t lost = observed - line.total;
      uint64_t max_lost = report->dropped_records * drafts_per_record;
      /* the bucket in which the outage begins has two records, each shorter */
      if (line.total > observed || lost > max_lost
          || lost + 2 * drafts_per_record < max_lost || (lost > 0) != c->drops
          || (report->dropped_records > 0) != c->drops)
        {
          fail_msg ("%s: %u observed, %u read, %u records dropped", c->name,
                    observed, (unsigned)line.total,
                    (unsigned)report->dropped_records);
        }
      /* one append a minute, and one for each record kept in the outage */
      assert_in_range (log.appends, 1, RUN_US / (60 * SECOND_US) + 200);
      brn_report_destroy (report);
      brn_destroy (writer);
      brn_destroy (log.reader);
    }
}

/* Only one append is in progress at a time, and results with another token are
   ignored.  */
static void
one_append_at_a_time (void **state)
{
  (void)state;
  struct brn_state *writer = bfx_create (2);
  struct act_list *actions = act_list_create ();
  bfx_observe (writer, bfx_draft_outcome (0, ERR_NONE), START_US, 1);
  brn_tick (writer, START_US, START_US, true, actions);
  bfx_observe (writer, bfx_draft_outcome (0, ERR_NONE), START_US + BUCKET_US,
               1);
  brn_tick (writer, START_US + BUCKET_US, START_US + BUCKET_US, true, actions);
  assert_int_equal (act_list_length (actions), 1);
  uint64_t token = act_list_get (actions, 0)->append.token;
  brn_append_result (writer, token + 1, ERR_NONE, START_US);
  brn_append_result (writer, 0, ERR_NONE, START_US);
  brn_tick (writer, START_US + BUCKET_US, START_US + BUCKET_US, true, actions);
  assert_int_equal (act_list_length (actions), 1);
  brn_append_result (writer, token, ERR_NONE, START_US);
  brn_tick (writer, START_US + BUCKET_US, START_US + BUCKET_US, true, actions);
  assert_int_equal (act_list_length (actions), 2);
  act_list_destroy (actions);
  brn_destroy (writer);
}

/* When too many records are kept, the one whose append is still in progress is
   not among those dropped.  */
static void
a_pending_append_keeps_its_record (void **state)
{
  (void)state;
  const uint32_t buckets = 200;
  struct fake_log log = { .fault = &fault_cases[0], .reader = bfx_create (1) };
  struct brn_state *writer = bfx_create (2);
  struct act_list *actions = act_list_create ();
  int64_t now_us = START_US;
  for (uint32_t i = 0; i < buckets; i++)
    {
      bfx_observe (writer, bfx_draft_outcome (0, ERR_NONE), now_us, 1);
      brn_tick (writer, now_us, now_us, true, actions);
      now_us += BUCKET_US;
    }
  assert_int_equal (act_list_length (actions), 1);
  while (act_list_length (actions) > 0)
    {
      append (&log, writer, &act_list_get (actions, 0)->append, now_us);
      act_list_clear (actions);
      brn_tick (writer, now_us, now_us, true, actions);
    }
  struct brn_report *report = brn_report (writer, &bfx_config, now_us);
  struct brn_report_line line = bfx_find_line (log.reader, "trust", BRN_DRAFT,
                                               BRN_AVAILABILITY, now_us);
  assert_int_equal (line.total + report->dropped_records, buckets);
  assert_in_range (report->dropped_records, 1, buckets / 2);
  brn_report_destroy (report);
  act_list_destroy (actions);
  brn_destroy (writer);
  brn_destroy (log.reader);
}

struct retry_case
{
  uint32_t failures; /* in succession */
  int64_t delay_us;  /* expected after the last of them */
};

static const struct retry_case retry_cases[] = {
  { 1, 1 * SECOND_US },  { 2, 2 * SECOND_US },   { 5, 16 * SECOND_US },
  { 7, 60 * SECOND_US }, { 20, 60 * SECOND_US },
};

/* Returns true when WRITER appends at NOW_US; the append then fails.  */
static bool
appends_at (struct brn_state *writer, int64_t now_us)
{
  struct act_list *actions = act_list_create ();
  brn_tick (writer, now_us, START_US, true, actions);
  bool appends = act_list_length (actions) > 0;
  if (appends)
    {
      brn_append_result (writer, act_list_get (actions, 0)->append.token,
                         ERR_LOG_UNAVAILABLE, now_us);
    }
  act_list_destroy (actions);
  return appends;
}

/* A failed append is retried after an exponentially growing delay, up to a
   minute.  */
static void
retries_back_off (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (retry_cases); i++)
    {
      struct brn_state *writer = bfx_create (2);
      int64_t now_us = START_US;
      bfx_observe (writer, bfx_draft_outcome (0, ERR_NONE), START_US, 1);
      for (uint32_t j = 0; j < retry_cases[i].failures; j++)
        {
          now_us += 60 * SECOND_US;
          assert_true (appends_at (writer, now_us));
        }
      now_us += retry_cases[i].delay_us;
      assert_false (appends_at (writer, now_us - 1));
      assert_true (appends_at (writer, now_us));
      brn_destroy (writer);
    }
}

/* A clock that goes back after records were flushed. */
struct clock_case
{
  const char *name;
  uint32_t flushes;   /* before and after, with one request each */
  int64_t last_us;    /* when the clock goes back, after START_US */
  int64_t stepped_us; /* where to, after START_US */
};

/* Flushes the records of WRITER to READER.  Returns false when one isn't valid
   or was merged before.  */
static bool
flush_to_reader (struct brn_state *writer, struct brn_state *reader,
                 int64_t now_us)
{
  GPtrArray *flushed = bfx_flush_records (writer, now_us);
  bool merged = true;
  for (guint i = 0; i < flushed->len && merged; i++)
    {
      const struct brn_record *record = g_ptr_array_index (flushed, i);
      merged = record != NULL
               && brn_merge (reader, record, LATER_US) == BRN_MERGED;
    }
  g_ptr_array_free (flushed, TRUE);
  return merged;
}

/* Each request is counted once, whatever the clock does.  Guards against a
   record whose sequence was out of range, which no reader accepted.  */
static void
counts_survive_clock_steps (void **state)
{
  (void)state;
  static const struct clock_case cases[] = {
    { "steady", 10, BUCKET_US, BUCKET_US },
    { "back over the end of a bucket", 10, BUCKET_US, BUCKET_US - 1 },
    { "back with one sequence left", 63, BUCKET_US - 1, 0 },
    { "back without a sequence left", 64, BUCKET_US, BUCKET_US - 1 },
    { "back by hours without a sequence left", 70, BUCKET_US, -3 * HOUR_US },
    { "sequences of several buckets", 200, BUCKET_US, -DAY_US },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct clock_case *c = &cases[i];
      struct brn_state *writer = bfx_create (1);
      struct brn_state *reader = bfx_create (2);
      const uint32_t requests = 2 * c->flushes;
      bool merged = true;
      for (uint32_t j = 0; j < requests; j++)
        {
          int64_t now_us = START_US + (j < c->flushes ? 0 : c->stepped_us);
          bfx_observe (writer, bfx_draft_outcome (0, ERR_NONE), now_us, 1);
          merged &= flush_to_reader (writer, reader, now_us);
          if (j + 1 == c->flushes)
            {
              merged
                  &= flush_to_reader (writer, reader, START_US + c->last_us);
            }
        }
      int64_t end_us = START_US + HOUR_US;
      merged &= flush_to_reader (writer, reader, end_us);
      struct brn_report_line line = bfx_find_line (reader, "trust", BRN_DRAFT,
                                                   BRN_AVAILABILITY, end_us);
      if (!merged || line.total != requests)
        {
          fail_msg ("%s: %u requests, %u read, %s", c->name, requests,
                    (unsigned)line.total,
                    merged ? "all records merged" : "a record rejected");
        }
      brn_destroy (writer);
      brn_destroy (reader);
    }
}

/* How a planned stop goes.  Ticks are 1 s apart, with one draft each. */
struct stop_case
{
  const char *name;
  uint32_t drafts;
  uint32_t refused_from; /* the first draft that the log is out at */
  uint32_t refused_to;   /* and the first at which it is back */
  uint32_t lost;         /* drafts that no reader of the log counts */
  uint32_t records_lost;
};

/* Ticks WRITER while the log answers each append with RESULT at once.  Records
   that are appended are merged into READER.  */
static void
tick_with_result (struct brn_state *writer, struct brn_state *reader,
                  enum err_kind result, int64_t now_us)
{
  struct act_list *actions = act_list_create ();
  brn_tick (writer, now_us, now_us, true, actions);
  while (act_list_length (actions) > 0)
    {
      const struct act_append *append = &act_list_get (actions, 0)->append;
      uint64_t token = append->token;
      if (result == ERR_NONE)
        {
          struct brn_record *record = brn_unpack (append->bytes);
          assert_non_null (record);
          assert_int_equal (brn_merge (reader, record, LATER_US), BRN_MERGED);
          brn_record_destroy (record);
        }
      act_list_clear (actions);
      brn_append_result (writer, token, result, now_us);
      brn_tick (writer, now_us, now_us, true, actions);
    }
  act_list_destroy (actions);
}

/* A daemon that stops appends what it counts at once, and the rest when its
   last request has ended, however often it has flushed before.  What it
   couldn't append it can name.  Guards against the rest of a bucket with only
   its last sequence left: of 300 drafts of a stopping daemon, 63 were read. */
static void
planned_stop_loses_nothing (void **state)
{
  (void)state;
  static const struct stop_case cases[] = {
    { "no draft", 0, 0, 0, 0, 0 },
    { "one draft", 1, 9, 9, 0, 0 },
    { "two sequences left", 62, 99, 99, 0, 0 },
    { "the last sequence left", 63, 99, 99, 0, 0 },
    { "no sequence left", 64, 99, 99, 0, 0 },
    { "a long stop", 300, 999, 999, 0, 0 },
    { "the log was out until the last draft", 250, 20, 250, 0, 0 },
    { "the log is out", 250, 20, 999, 230, 2 },
    { "the log is out at the end of a long stop", 300, 299, 999, 237, 1 },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct stop_case *c = &cases[i];
      struct brn_state *writer = bfx_create (1);
      struct brn_state *reader = bfx_create (2);
      int64_t now_us = START_US;
      enum err_kind result = ERR_NONE;
      for (uint32_t j = 0; j <= c->drafts; j++)
        {
          result = j >= c->refused_from && j < c->refused_to
                       ? ERR_LOG_UNAVAILABLE
                       : ERR_NONE;
          if (j < c->drafts)
            {
              now_us = START_US + j * SECOND_US * 99 / 100;
              bfx_observe (writer, bfx_draft_outcome (0, ERR_NONE), now_us, 1);
              tick_with_result (writer, reader, result, now_us);
            }
        }
      brn_finish (writer);
      tick_with_result (writer, reader, result, now_us);
      struct brn_unconfirmed left = brn_unconfirmed (writer);
      struct brn_report_line line = bfx_find_line (
          reader, "trust", BRN_DRAFT, BRN_AVAILABILITY, START_US + BUCKET_US);
      if (line.total + c->lost != c->drafts || left.requests != c->lost
          || left.records != c->records_lost)
        {
          fail_msg ("%s: %u drafts, %u read, %u records of %u not confirmed",
                    c->name, c->drafts, (unsigned)line.total, left.records,
                    (unsigned)left.requests);
        }
      brn_destroy (writer);
      brn_destroy (reader);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (counts_survive_log_faults),
    cmocka_unit_test (counts_survive_clock_steps),
    cmocka_unit_test (planned_stop_loses_nothing),
    cmocka_unit_test (one_append_at_a_time),
    cmocka_unit_test (a_pending_append_keeps_its_record),
    cmocka_unit_test (retries_back_off),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
