/* Tests of the encoding of log records: intact, truncated and malformed ones.
   A batch is a record that holds entries. */
#include "core/record.h"
#include "record.pb-c.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

static GPtrArray *
one_entry (void)
{
  GPtrArray *entries
      = g_ptr_array_new_with_free_func ((GDestroyNotify)rec_entry_destroy);
  struct rec_entry *entry = rec_entry_create (REC_OUTCOME, "acme", "key-1");
  entry->body_hash = 11;
  entry->generation = 2;
  entry->incarnation = UINT64_MAX;
  entry->nonce = 13;
  entry->status = 201;
  entry->body = g_bytes_new ("a\0b", 3);
  entry->claimed_us = INT64_C (1700000000000000);
  g_ptr_array_add (entries, entry);
  return entries;
}

static void
batch_round_trip (void **state)
{
  (void)state;
  GPtrArray *entries = one_entry ();
  GBytes *bytes = rec_pack_batch (5, 6, entries);
  struct rec_batch *batch = rec_unpack_batch (bytes);
  assert_non_null (batch);
  assert_int_equal (batch->incarnation, 5);
  assert_int_equal (batch->sequence, 6);
  assert_int_equal (batch->entries->len, 1);
  assert_int_equal (batch->skipped, 0);
  const struct rec_entry *in = g_ptr_array_index (entries, 0);
  const struct rec_entry *out = g_ptr_array_index (batch->entries, 0);
  assert_int_equal (out->kind, in->kind);
  assert_string_equal (out->account, in->account);
  assert_string_equal (out->key, in->key);
  assert_int_equal (out->body_hash, in->body_hash);
  assert_int_equal (out->generation, in->generation);
  assert_true (out->incarnation == in->incarnation);
  assert_int_equal (out->nonce, in->nonce);
  assert_int_equal (out->status, in->status);
  assert_int_equal (out->claimed_us, in->claimed_us);
  assert_true (g_bytes_equal (out->body, in->body));
  rec_batch_destroy (batch);
  g_bytes_unref (bytes);
  g_ptr_array_free (entries, TRUE);
}

/* A truncated record is rejected, or unpacked without the truncated entry.  */
static void
truncated_records_are_rejected (void **state)
{
  (void)state;
  GPtrArray *entries = one_entry ();
  GBytes *bytes = rec_pack_batch (5, 6, entries);
  gsize size = 0;
  const uint8_t *data = g_bytes_get_data (bytes, &size);
  for (gsize i = 0; i < size; i++)
    {
      GBytes *truncated = g_bytes_new (data, i);
      struct rec_batch *batch = rec_unpack_batch (truncated);
      assert_true (batch == NULL || batch->entries->len == 0);
      rec_batch_destroy (batch);
      g_bytes_unref (truncated);
    }
  g_bytes_unref (bytes);
  g_ptr_array_free (entries, TRUE);
}

struct entry_row
{
  const char *name;
  const char *account;
  const char *key;
  uint64_t incarnation;
  uint32_t kind;
  uint32_t generation;
  uint32_t state;
  bool valid;
};

static const struct entry_row entry_rows[] = {
  { "claim", "a", "k", 1, REC_CLAIM, 1, 0, true },
  { "kind of a later version", "a", "k", 1, REC_NOOP + 1, 1, 0, false },
  { "no kind", "a", "k", 1, REC_NONE, 1, 0, false },
  { "no account", "", "k", 1, REC_CLAIM, 1, 0, false },
  { "no key", "a", "", 1, REC_CLAIM, 1, 0, false },
  { "no generation", "a", "k", 1, REC_CLAIM, 0, 0, false },
  { "no holder", "a", "k", 0, REC_CLAIM, 1, 0, false },
  { "unknown state", "a", "k", 1, REC_REFRESH, 1, REC_STATE_DONE + 1, false },
  { "no-op", "", "", 0, REC_NOOP, 0, 0, true },
};

/* A malformed entry is skipped; the other entries of the record are kept.  */
static void
malformed_entries_are_skipped (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof entry_rows / sizeof entry_rows[0]; i++)
    {
      const struct entry_row *row = &entry_rows[i];
      print_message ("row: %s\n", row->name);
      Record__Entry messages[2];
      Record__Entry *pointers[2] = { &messages[0], &messages[1] };
      record__entry__init (&messages[0]);
      record__entry__init (&messages[1]);
      messages[0].kind = row->kind;
      messages[0].account = (char *)row->account;
      messages[0].key = (char *)row->key;
      messages[0].generation = row->generation;
      messages[0].incarnation = row->incarnation;
      messages[0].state = row->state;
      messages[1].kind = REC_NOOP;
      Record__Batch batch = RECORD__BATCH__INIT;
      batch.format = REC_FORMAT;
      batch.incarnation = 1;
      batch.n_entries = 2;
      batch.entries = pointers;
      size_t size = record__batch__get_packed_size (&batch);
      uint8_t *data = g_malloc (size);
      record__batch__pack (&batch, data);
      GBytes *bytes = g_bytes_new_take (data, size);
      struct rec_batch *read = rec_unpack_batch (bytes);
      assert_non_null (read);
      assert_int_equal (read->entries->len, row->valid ? 2 : 1);
      assert_int_equal (read->skipped, row->valid ? 0 : 1);
      rec_batch_destroy (read);
      g_bytes_unref (bytes);
    }
}

struct bytes_row
{
  const char *name;
  const char *data;
  size_t size;
  bool valid;
};

static const struct bytes_row bytes_rows[] = {
  { "empty: no format", "", 0, false },
  { "text", "not a record", 12, false },
  { "format 1", "\x08\x01", 2, true },
  { "format 2", "\x08\x02", 2, false },
  { "unknown field 15", "\x08\x01\x78\x05", 4, true },
  { "length beyond the end", "\x08\x01\x22\x7f", 4, false },
};

static void
malformed_records_are_rejected (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof bytes_rows / sizeof bytes_rows[0]; i++)
    {
      const struct bytes_row *row = &bytes_rows[i];
      print_message ("row: %s\n", row->name);
      GBytes *bytes = g_bytes_new (row->data, row->size);
      struct rec_batch *batch = rec_unpack_batch (bytes);
      assert_int_equal (batch != NULL, row->valid);
      rec_batch_destroy (batch);
      g_bytes_unref (bytes);
    }
}

static void
configuration_round_trip (void **state)
{
  (void)state;
  GBytes *yaml = g_bytes_new_static ("accounts: []\n", 13);
  const struct rec_configuration in = { .incarnation = 3,
                                        .nonce = 4,
                                        .base_version = 16,
                                        .version = 17,
                                        .publisher = (char *)"ops",
                                        .yaml = yaml,
                                        .published_us = 99 };
  GBytes *bytes = rec_pack_configuration (&in);
  struct rec_configuration *out = rec_unpack_configuration (bytes);
  assert_non_null (out);
  assert_int_equal (out->incarnation, 3);
  assert_int_equal (out->nonce, 4);
  assert_int_equal (out->base_version, 16);
  assert_int_equal (out->version, 17);
  assert_int_equal (out->published_us, 99);
  assert_string_equal (out->publisher, "ops");
  assert_true (g_bytes_equal (out->yaml, yaml));
  rec_configuration_destroy (out);
  g_bytes_unref (bytes);
  g_bytes_unref (yaml);
}

static void
lease_round_trip (void **state)
{
  (void)state;
  const struct rec_lease in = { .incarnation = 3,
                                .nonce = 4,
                                .fence = 5,
                                .after = 6,
                                .holder = (char *)"entry-1",
                                .duration_us = 7,
                                .operation = REC_LEASE_RENEW };
  GBytes *bytes = rec_pack_lease (&in);
  struct rec_lease *out = rec_unpack_lease (bytes);
  assert_non_null (out);
  assert_int_equal (out->incarnation, 3);
  assert_int_equal (out->nonce, 4);
  assert_int_equal (out->fence, 5);
  assert_int_equal (out->after, 6);
  assert_int_equal (out->duration_us, 7);
  assert_int_equal (out->operation, REC_LEASE_RENEW);
  assert_string_equal (out->holder, "entry-1");
  rec_lease_destroy (out);
  g_bytes_unref (bytes);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (batch_round_trip),
    cmocka_unit_test (truncated_records_are_rejected),
    cmocka_unit_test (malformed_entries_are_skipped),
    cmocka_unit_test (malformed_records_are_rejected),
    cmocka_unit_test (configuration_round_trip),
    cmocka_unit_test (lease_round_trip),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
