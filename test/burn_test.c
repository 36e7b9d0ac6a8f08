#include "burn_fixture.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define DAEMONS 3

/* Lets three daemons work through some buckets.  Returns the records that they
   appended, and sets UNFLUSHED to the drafts of the last daemon that it never
   did.  */
static GPtrArray *
work (uint32_t *unflushed)
{
  GPtrArray *log
      = g_ptr_array_new_with_free_func ((GDestroyNotify)brn_record_destroy);
  for (uint64_t daemon = 0; daemon < DAEMONS; daemon++)
    {
      struct brn_state *burn = bfx_create (100 + daemon);
      for (int step = 0; step < 6; step++)
        {
          int64_t now_us = START_US + step * BUCKET_US / 2;
          uint32_t amount = (uint32_t)(daemon * 10 + (uint64_t)step + 1);
          bfx_observe (burn, bfx_draft_outcome (step % 2, ERR_NONE), now_us,
                       amount);
          bfx_observe (burn, bfx_draft_outcome (0, ERR_ENDPOINT_FAILED),
                       now_us, 1);
          if (daemon + 1 == DAEMONS && step == 5)
            {
              *unflushed = amount + 1;
              break;
            }
          GPtrArray *taken = bfx_flush_records (burn, now_us);
          g_ptr_array_extend_and_steal (log, taken);
        }
      brn_destroy (burn);
    }
  return log;
}

/* Returns the report of STATE as text, without the numbers of records.  */
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

/* What is packed is read back whole.  */
static void
records_read_back (void **state)
{
  (void)state;
  uint32_t unflushed = 0;
  GPtrArray *log = work (&unflushed);
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

/* Records of daemons that are hours and weeks apart merge the same in both
   orders, though the older ones no longer fit every window.  */
static void
distant_records_merge_in_any_order (void **state)
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
          GPtrArray *taken = bfx_flush_records (writer, at_us);
          brn_merge (reader, g_ptr_array_index (taken, 0));
          g_ptr_array_free (taken, TRUE);
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

/* Records merge to the same report in any order, repeated or not, packed or
   not.  */
static void
merging_is_commutative_and_idempotent (void **state)
{
  (void)state;
  uint32_t unflushed = 0;
  GPtrArray *log = work (&unflushed);
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
          assert_int_equal (brn_merge (reader, record),
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

/* A daemon that is lost takes only what it had not appended with it.  */
static void
a_lost_daemon_loses_its_unflushed_bucket (void **state)
{
  (void)state;
  uint32_t unflushed = 0;
  GPtrArray *log = work (&unflushed);
  struct brn_state *reader = bfx_create (1);
  for (guint i = 0; i < log->len; i++)
    {
      brn_merge (reader, g_ptr_array_index (log, i));
    }
  uint64_t total = 0;
  for (size_t i = 0; i < BFX_ACCOUNTS; i++)
    {
      total += bfx_find_line (reader, bfx_accounts[i].name, BRN_DRAFT,
                              BRN_AVAILABILITY, START_US + 4 * BUCKET_US)
                   .total;
    }
  /* steps 1 to 6 of each daemon, 10 more for each daemon, and a failure */
  uint32_t all = DAEMONS * (21 + 6) + (0 + 10 + 20) * 6;
  assert_int_equal (total, all - unflushed);
  assert_in_range (unflushed, 1, all / 3);
  brn_destroy (reader);
  g_ptr_array_free (log, TRUE);
}

/* A daemon counts its own work once, also when it reads its own record.  */
static void
own_records_count_once (void **state)
{
  (void)state;
  struct brn_state *burn = bfx_create (1);
  bfx_observe (burn, bfx_draft_outcome (0, ERR_NONE), START_US, 3);
  GPtrArray *taken = bfx_flush_records (burn, START_US);
  assert_int_equal (taken->len, 1);
  assert_int_equal (brn_merge (burn, g_ptr_array_index (taken, 0)),
                    BRN_DUPLICATE);
  struct brn_report_line line
      = bfx_find_line (burn, "trust", BRN_DRAFT, BRN_AVAILABILITY, START_US);
  assert_int_equal (line.total, 3);
  g_ptr_array_free (taken, TRUE);
  taken = bfx_flush_records (burn, START_US);
  assert_int_equal (taken->len, 0);
  g_ptr_array_free (taken, TRUE);
  brn_destroy (burn);
}

/* One bucket gives a bounded number of records and none of the work is
   lost.  */
static void
sequences_are_bounded (void **state)
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
      GPtrArray *taken = bfx_flush_records (burn, now_us);
      records += taken->len;
      for (guint j = 0; j < taken->len; j++)
        {
          assert_int_equal (brn_merge (reader, g_ptr_array_index (taken, j)),
                            BRN_MERGED);
        }
      g_ptr_array_free (taken, TRUE);
    }
  assert_int_equal (records, BRN_SEQUENCES_MAX);
  assert_int_equal (bfx_find_line (reader, "trust", BRN_DRAFT,
                                   BRN_AVAILABILITY, START_US + BUCKET_US)
                        .total,
                    200);
  brn_destroy (burn);
  brn_destroy (reader);
}

/* Records of any age are read in order; one far behind its daemon's newest is
   refused, as a repeat could not be told.  */
static void
late_records_are_refused (void **state)
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
      assert_int_equal (brn_merge (reader, &record), cases[i].merge);
      g_ptr_array_free (record.entries, TRUE);
    }
  brn_destroy (reader);
}

/* Series and causes are bounded; what is left out is counted.  */
static void
state_is_bounded (void **state)
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

/* Causes that no report reaches take no room from new ones.  */
static void
old_causes_take_no_room (void **state)
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
      GPtrArray *taken = bfx_flush_records (writer, now_us);
      brn_merge (reader, g_ptr_array_index (taken, 0));
      g_ptr_array_free (taken, TRUE);
      brn_destroy (writer);
    }
  struct brn_report *report
      = brn_report (reader, &bfx_config, START_US + 29 * DAY_US);
  assert_int_equal (report->dropped_causes, 0);
  brn_report_destroy (report);
  brn_destroy (reader);
}

/* Cut and altered bytes are refused or read, without a fault.  */
static void
malformed_bytes_are_refused (void **state)
{
  (void)state;
  uint32_t unflushed = 0;
  GPtrArray *log = work (&unflushed);
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

/* The size for the log: docs/interfaces/report.md states it.  */
static void
records_are_small (void **state)
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
  GPtrArray *taken = bfx_flush_records (burn, START_US);
  GBytes *bytes = brn_pack (g_ptr_array_index (taken, 0));
  gsize per_account = g_bytes_get_size (bytes) / 100;
  print_message ("%zu bytes for an account in a bucket\n", per_account);
  assert_in_range (per_account, 1, 100);
  g_bytes_unref (bytes);
  g_ptr_array_free (taken, TRUE);
  brn_destroy (burn);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (records_read_back),
    cmocka_unit_test (distant_records_merge_in_any_order),
    cmocka_unit_test (merging_is_commutative_and_idempotent),
    cmocka_unit_test (a_lost_daemon_loses_its_unflushed_bucket),
    cmocka_unit_test (own_records_count_once),
    cmocka_unit_test (sequences_are_bounded),
    cmocka_unit_test (late_records_are_refused),
    cmocka_unit_test (state_is_bounded),
    cmocka_unit_test (old_causes_take_no_room),
    cmocka_unit_test (malformed_bytes_are_refused),
    cmocka_unit_test (records_are_small),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
