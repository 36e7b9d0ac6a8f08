/* Tests of the state behind the error budgets: records have to survive
   packing, merge to the same report on every daemon, and stay within their
   limits. */
#include "burn_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define DAEMONS 3

/* Counts drafts on DAEMONS daemons over three buckets.  Returns the records
   that they append.  The last daemon is lost before its last flush: UNFLUSHED
   is set to the number of drafts that it counted but did not append.  */
static GPtrArray *
append_records (uint32_t *unflushed)
{
  GPtrArray *log
      = g_ptr_array_new_with_free_func ((GDestroyNotify)brn_record_destroy);
  for (uint64_t daemon = 0; daemon < DAEMONS; daemon++)
    {
      struct brn_state *burn = bfx_create (100 + daemon);
      for (int step = 0; step < 6; step++)
        {
          int64_t now_us = START_US + step * BUCKET_US / 2;
          uint32_t drafts = (uint32_t)(daemon * 10 + (uint64_t)step + 1);
          bfx_observe (burn, bfx_draft_outcome (step % 2, ERR_NONE), now_us,
                       drafts);
          bfx_observe (burn, bfx_draft_outcome (0, ERR_ENDPOINT_FAILED),
                       now_us, 1);
          if (daemon + 1 == DAEMONS && step == 5)
            {
              *unflushed = drafts + 1;
              break;
            }
          GPtrArray *flushed = bfx_flush_records (burn, now_us);
          g_ptr_array_extend_and_steal (log, flushed);
        }
      brn_destroy (burn);
    }
  return log;
}

/* Returns the report of STATE as JSON text, without the counters of records,
   which depend on duplicates.  */
static char *
report_text (const struct brn_state *state)
{
  struct brn_report *report
      = brn_report (state, &bfx_config, START_US + 4 * BUCKET_US);
  json_t *json = brn_report_to_json (report);
  assert_non_null (json);
  json_object_del (json, "records");
  char *text = json_dumps (json, JSON_SORT_KEYS);
  json_decref (json);
  brn_report_destroy (report);
  return text;
}

/* Unpacking a packed record gives the same record.  */
static void
packed_records_unpack_unchanged (void **state)
{
  (void)state;
  uint32_t unflushed = 0;
  GPtrArray *log = append_records (&unflushed);
  for (guint i = 0; i < log->len; i++)
    {
      const struct brn_record *record = g_ptr_array_index (log, i);
      GBytes *bytes = brn_pack (record);
      struct brn_record *read = brn_unpack (bytes);
      assert_int_equal (read->incarnation, record->incarnation);
      assert_int_equal (read->bucket, record->bucket);
      assert_int_equal (read->sequence, record->sequence);
      assert_int_equal (read->entries->len, record->entries->len);
      for (guint j = 0; j < record->entries->len; j++)
        {
          const struct brn_entry *a = g_ptr_array_index (record->entries, j);
          const struct brn_entry *b = g_ptr_array_index (read->entries, j);
          assert_string_equal (a->key.account, b->key.account);
          assert_int_equal (a->key.work, b->key.work);
          assert_memory_equal (a->counts, b->counts, sizeof a->counts);
          assert_int_equal (a->causes->len, b->causes->len);
          assert_memory_equal (a->causes->data, b->causes->data,
                               a->causes->len * sizeof (struct brn_cause));
        }
      brn_record_destroy (read);
      g_bytes_unref (bytes);
    }
  g_ptr_array_free (log, TRUE);
}

/* Records that are hours to weeks apart give the same report in both orders.
   Merged last, the older ones no longer fit into every ring buffer.  */
static void
records_weeks_apart_merge_in_any_order (void **state)
{
  (void)state;
  static const int64_t after_us[]
      = { 0, 13 * BUCKET_US, 25 * HOUR_US, 27 * DAY_US, 36 * DAY_US };
  int64_t now_us = START_US + 36 * DAY_US;
  char *texts[2];
  for (size_t order = 0; order < G_N_ELEMENTS (texts); order++)
    {
      struct brn_state *reader = bfx_create (1);
      for (size_t i = 0; i < G_N_ELEMENTS (after_us); i++)
        {
          size_t place = order == 0 ? i : G_N_ELEMENTS (after_us) - 1 - i;
          struct brn_state *writer = bfx_create (10 + place);
          int64_t at_us = START_US + after_us[place];
          bfx_observe (writer, bfx_draft_outcome (0, ERR_ENDPOINT_FAILED),
                       at_us, 1);
          bfx_observe (writer, bfx_draft_outcome (0, ERR_NONE), at_us,
                       1 + (uint32_t)place);
          GPtrArray *flushed = bfx_flush_records (writer, at_us);
          brn_merge (reader, g_ptr_array_index (flushed, 0), LATER_US);
          g_ptr_array_free (flushed, TRUE);
          brn_destroy (writer);
        }
      struct brn_report *report = brn_report (reader, &bfx_config, now_us);
      json_t *json = brn_report_to_json (report);
      texts[order] = json_dumps (json, JSON_SORT_KEYS);
      json_decref (json);
      brn_report_destroy (report);
      brn_destroy (reader);
    }
  assert_string_equal (texts[0], texts[1]);
  free (texts[0]);
  free (texts[1]);
}

/* Records merge to the same report in any order, and merging all of them a
   second time changes nothing.  */
static void
merging_is_commutative_and_idempotent (void **state)
{
  (void)state;
  uint32_t unflushed = 0;
  GPtrArray *log = append_records (&unflushed);
  char *wanted = NULL;
  for (guint shift = 0; shift < log->len; shift++)
    {
      struct brn_state *reader = bfx_create (1);
      for (guint i = 0; i < 2 * log->len; i++)
        {
          /* 7 and the number of records have no common factor */
          guint place = (7 * i + shift) % log->len;
          GBytes *bytes = brn_pack (g_ptr_array_index (log, place));
          struct brn_record *record = brn_unpack (bytes);
          assert_non_null (record);
          assert_int_equal (brn_merge (reader, record, LATER_US),
                            i < log->len ? BRN_MERGED : BRN_DUPLICATE);
          brn_record_destroy (record);
          g_bytes_unref (bytes);
        }
      char *text = report_text (reader);
      if (wanted == NULL)
        {
          wanted = g_strdup (text);
        }
      assert_string_equal (text, wanted);
      free (text);
      brn_destroy (reader);
    }
  g_free (wanted);
  g_ptr_array_free (log, TRUE);
}

/* When a daemon is lost, only the counts that it has not appended yet are
   missing from the report.  */
static void
a_lost_daemon_loses_only_unflushed_counts (void **state)
{
  (void)state;
  uint32_t unflushed = 0;
  GPtrArray *log = append_records (&unflushed);
  struct brn_state *reader = bfx_create (1);
  for (guint i = 0; i < log->len; i++)
    {
      brn_merge (reader, g_ptr_array_index (log, i), LATER_US);
    }
  uint64_t total = 0;
  for (size_t i = 0; i < BFX_ACCOUNTS; i++)
    {
      total += bfx_find_line (reader, bfx_accounts[i].name, BRN_DRAFT,
                              BRN_AVAILABILITY, START_US + 4 * BUCKET_US)
                   .total;
    }
  /* each daemon counts 1 to 6 drafts in its six steps, 10 more a step than the
     daemon before it, and a failure in each step */
  uint32_t all = DAEMONS * (21 + 6) + (0 + 10 + 20) * 6;
  assert_int_equal (total, all - unflushed);
  assert_in_range (unflushed, 1, all / 3);
  brn_destroy (reader);
  g_ptr_array_free (log, TRUE);
}

/* A daemon that reads its own record from the log does not count its requests
   again.  */
static void
own_records_count_once (void **state)
{
  (void)state;
  struct brn_state *burn = bfx_create (1);
  bfx_observe (burn, bfx_draft_outcome (0, ERR_NONE), START_US, 3);
  GPtrArray *flushed = bfx_flush_records (burn, START_US);
  assert_int_equal (flushed->len, 1);
  assert_int_equal (brn_merge (burn, g_ptr_array_index (flushed, 0), LATER_US),
                    BRN_DUPLICATE);
  struct brn_report_line line
      = bfx_find_line (burn, "trust", BRN_DRAFT, BRN_AVAILABILITY, START_US);
  assert_int_equal (line.total, 3);
  g_ptr_array_free (flushed, TRUE);
  flushed = bfx_flush_records (burn, START_US);
  assert_int_equal (flushed->len, 0);
  g_ptr_array_free (flushed, TRUE);
  brn_destroy (burn);
}

/* However often a bucket is flushed, it gives at most BRN_SEQUENCES_MAX
   records, and no request is lost.  */
static void
records_per_bucket_are_bounded (void **state)
{
  (void)state;
  struct brn_state *burn = bfx_create (1);
  struct brn_state *reader = bfx_create (2);
  uint32_t records = 0;
  for (int i = 0; i < 201; i++)
    {
      bool over = i == 200;
      int64_t now_us = START_US + (over ? BUCKET_US : 0);
      if (!over)
        {
          bfx_observe (burn, bfx_draft_outcome (0, ERR_NONE), now_us, 1);
        }
      GPtrArray *flushed = bfx_flush_records (burn, now_us);
      records += flushed->len;
      for (guint j = 0; j < flushed->len; j++)
        {
          assert_int_equal (
              brn_merge (reader, g_ptr_array_index (flushed, j), LATER_US),
              BRN_MERGED);
        }
      g_ptr_array_free (flushed, TRUE);
    }
  assert_int_equal (records, BRN_SEQUENCES_MAX);
  assert_int_equal (bfx_find_line (reader, "trust", BRN_DRAFT,
                                   BRN_AVAILABILITY, START_US + BUCKET_US)
                        .total,
                    200);
  brn_destroy (burn);
  brn_destroy (reader);
}

/* Older records of a daemon are merged while their bucket is tracked.  Once a
   bucket two hours later has replaced it, they are rejected, as they may have
   been merged before.  */
static void
too_old_records_are_rejected (void **state)
{
  (void)state;
  struct brn_state *reader = bfx_create (1);
  static const struct
  {
    uint32_t bucket;
    enum brn_merge_result merge;
  } cases[] = {
    { 1000, BRN_MERGED },    { 1000, BRN_DUPLICATE }, { 1001, BRN_MERGED },
    { 1024, BRN_MERGED },    { 1000, BRN_TOO_OLD },   { 1002, BRN_MERGED },
    { 1001, BRN_DUPLICATE },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct brn_record record = { .incarnation = 9,
                                   .bucket = cases[i].bucket,
                                   .entries = g_ptr_array_new () };
      assert_int_equal (brn_merge (reader, &record, LATER_US), cases[i].merge);
      g_ptr_array_free (record.entries, TRUE);
    }
  brn_destroy (reader);
}

/* A record of another daemon, and whether it is merged. */
struct future_case
{
  const char *name;
  int64_t ahead_us; /* of the reader's clock */
  enum brn_merge_result merge;
};

/* A record from far in the future is rejected, and the counts of the past are
   kept.  Guards against one daemon with a wrong clock, or one damaged record,
   that erased the error budgets of the fleet.  */
static void
records_of_the_future_are_rejected (void **state)
{
  (void)state;
  const int64_t now_us = START_US + 20 * DAY_US;
  static const struct future_case cases[] = {
    { "a record of the past", -DAY_US, BRN_MERGED },
    { "a clock ahead by an hour", HOUR_US, BRN_MERGED },
    { "a clock ahead by a day", DAY_US, BRN_MERGED },
    { "a clock ahead by a day and a bucket", DAY_US + BUCKET_US, BRN_TOO_NEW },
    { "a clock ahead by a month", 31 * DAY_US, BRN_TOO_NEW },
    { "the last bucket", UINT32_MAX * BUCKET_US - now_us, BRN_TOO_NEW },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct brn_state *reader = bfx_create (1);
      struct brn_record record
          = { .incarnation = 9,
              .bucket = (uint32_t)((now_us + cases[i].ahead_us) / BUCKET_US),
              .entries = g_ptr_array_new () };
      bfx_observe (reader, bfx_draft_outcome (0, ERR_NONE), START_US, 7);
      enum brn_merge_result merge = brn_merge (reader, &record, now_us);
      struct brn_report_line line = bfx_find_line (reader, "trust", BRN_DRAFT,
                                                   BRN_AVAILABILITY, now_us);
      struct brn_report *report = brn_report (reader, &bfx_config, now_us);
      if (merge != cases[i].merge || line.total != 7
          || report->too_new != (merge == BRN_TOO_NEW))
        {
          fail_msg ("%s: result %d, %u of 7 requests left", cases[i].name,
                    merge, (unsigned)line.total);
        }
      brn_report_destroy (report);
      g_ptr_array_free (record.entries, TRUE);
      brn_destroy (reader);
    }
}

/* The numbers of series and causes are limited, and what is dropped is
   counted.  */
static void
series_and_causes_are_bounded (void **state)
{
  (void)state;
  struct brn_state *burn = brn_create (&(struct brn_params){
      .incarnation = 1, .series_max = 1, .causes_max = 2 });
  for (int i = 0; i < 5; i++)
    {
      char name[16];
      g_snprintf (name, sizeof name, "engine-%d", i);
      struct brn_outcome outcome = bfx_draft_outcome (0, ERR_ENDPOINT_FAILED);
      outcome.endpoint = name;
      brn_observe (burn, &outcome, START_US);
    }
  bfx_observe (burn, bfx_draft_outcome (1, ERR_NONE), START_US, 1);
  struct brn_report *report = brn_report (burn, &bfx_config, START_US);
  assert_int_equal (report->dropped_causes, 3);
  assert_int_equal (report->dropped_series, 1);
  brn_report_destroy (report);
  assert_int_equal (
      bfx_find_line (burn, "trust", BRN_DRAFT, BRN_AVAILABILITY, START_US).bad,
      5);
  brn_destroy (burn);
}

/* Causes older than the budget window do not count towards the limit on
   causes.  */
static void
expired_causes_do_not_use_the_limit (void **state)
{
  (void)state;
  struct brn_state *reader
      = brn_create (&(struct brn_params){ .incarnation = 1, .causes_max = 1 });
  static const int64_t after_us[] = { 29 * DAY_US, 0, 29 * DAY_US };
  for (size_t i = 0; i < G_N_ELEMENTS (after_us); i++)
    {
      int64_t now_us = START_US + after_us[i];
      struct brn_state *writer = bfx_create (10 + i);
      bfx_observe (
          writer,
          bfx_draft_outcome (0, i == 0 ? ERR_NONE : ERR_ENDPOINT_FAILED),
          now_us, 1);
      GPtrArray *flushed = bfx_flush_records (writer, now_us);
      brn_merge (reader, g_ptr_array_index (flushed, 0), LATER_US);
      g_ptr_array_free (flushed, TRUE);
      brn_destroy (writer);
    }
  struct brn_report *report
      = brn_report (reader, &bfx_config, START_US + 29 * DAY_US);
  assert_int_equal (report->dropped_causes, 0);
  brn_report_destroy (report);
  brn_destroy (reader);
}

/* Truncated and altered bytes are either rejected or decoded, without invalid
   memory accesses.  */
static void
malformed_bytes_are_rejected (void **state)
{
  (void)state;
  uint32_t unflushed = 0;
  GPtrArray *log = append_records (&unflushed);
  GBytes *bytes = brn_pack (g_ptr_array_index (log, 0));
  gsize size = 0;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  for (gsize i = 0; i < size; i++)
    {
      uint8_t *altered = g_memdup2 (data, size);
      altered[i] ^= 0xff;
      GBytes *wrong = g_bytes_new_take (altered, size);
      brn_record_destroy (brn_unpack (wrong));
      g_bytes_unref (wrong);
      GBytes *cut = g_bytes_new_from_bytes (bytes, 0, i);
      brn_record_destroy (brn_unpack (cut));
      g_bytes_unref (cut);
    }
  GBytes *empty = g_bytes_new (NULL, 0);
  assert_null (brn_unpack (empty));
  g_bytes_unref (empty);
  g_bytes_unref (bytes);
  g_ptr_array_free (log, TRUE);
}

/* The packed size of an account in a bucket, which docs/interfaces/report.md
   states, keeps its limit.  */
static void
packed_records_are_small (void **state)
{
  (void)state;
  struct brn_state *burn = bfx_create (UINT64_MAX);
  for (int i = 0; i < 100; i++)
    {
      char name[CFG_NAME_BYTES];
      g_snprintf (name, sizeof name, "account-%05d", i);
      struct brn_outcome outcome = bfx_draft_outcome (0, ERR_NONE);
      outcome.account = name;
      bfx_observe (burn, outcome, START_US, 500);
      outcome.work = BRN_KEYED;
      outcome.settled_us = 100000;
      bfx_observe (burn, outcome, START_US, 50);
      outcome.work = BRN_LOOKUP;
      bfx_observe (burn, outcome, START_US, 200);
    }
  GPtrArray *flushed = bfx_flush_records (burn, START_US);
  GBytes *bytes = brn_pack (g_ptr_array_index (flushed, 0));
  gsize per_account = g_bytes_get_size (bytes) / 100;
  print_message ("%zu bytes for an account in a bucket\n", per_account);
  assert_in_range (per_account, 1, 100);
  g_bytes_unref (bytes);
  g_ptr_array_free (flushed, TRUE);
  brn_destroy (burn);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (packed_records_unpack_unchanged),
    cmocka_unit_test (records_weeks_apart_merge_in_any_order),
    cmocka_unit_test (merging_is_commutative_and_idempotent),
    cmocka_unit_test (a_lost_daemon_loses_only_unflushed_counts),
    cmocka_unit_test (own_records_count_once),
    cmocka_unit_test (records_per_bucket_are_bounded),
    cmocka_unit_test (too_old_records_are_rejected),
    cmocka_unit_test (records_of_the_future_are_rejected),
    cmocka_unit_test (series_and_causes_are_bounded),
    cmocka_unit_test (expired_causes_do_not_use_the_limit),
    cmocka_unit_test (malformed_bytes_are_rejected),
    cmocka_unit_test (packed_records_are_small),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
