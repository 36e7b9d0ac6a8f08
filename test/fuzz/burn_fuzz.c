/* Fuzzes the unpacking of burn records.  An accepted record must merge only
   once, give a report in JSON, and read back after packing. */
#include "fuzz.h"

#include "core/burn.h"

#include <stdint.h>

/* Time of the report on a record without a bucket. */
#define NOW_US INT64_C (1700000000000000)

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

/* Merges RECORD twice and reports on the account of its first entry.  */
static void
check_merge_and_report (const struct brn_record *record)
{
  struct cfg_account account = { .objective = { .availability = 0.999 } };
  const struct brn_entry *entry = g_ptr_array_index (record->entries, 0);
  g_strlcpy (account.name, entry->key.account, sizeof account.name);
  const struct cfg_config config
      = { .accounts = &account, .account_count = 1 };
  struct brn_state *state
      = brn_create (&(struct brn_params){ .incarnation = 1 });
  int64_t now_us = NOW_US;
  if (record->bucket > 0)
    {
      now_us = (int64_t)record->bucket * BRN_BUCKET_S * 1000000;
    }
  brn_merge (state, record, now_us);
  if (brn_merge (state, record, now_us) == BRN_MERGED)
    {
      fz_fail ("the same record merged twice");
    }
  struct brn_report *report = brn_report (state, &config, now_us);
  json_t *json = brn_report_to_json (report);
  if (json == NULL)
    {
      fz_fail ("the report could not be converted to JSON");
    }
  json_decref (json);
  brn_report_destroy (report);
  brn_destroy (state);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  GBytes *packed = g_bytes_new (data, bytes);
  struct brn_record *record = brn_unpack (packed);
  g_bytes_unref (packed);
  if (record == NULL)
    {
      return 0;
    }
  if (record->entries->len > 0)
    {
      check_merge_and_report (record);
    }
  GBytes *repacked = brn_pack (record);
  struct brn_record *reread = brn_unpack (repacked);
  if (reread == NULL || reread->entries->len != record->entries->len)
    {
      fz_fail ("the packed record does not read back");
    }
  g_bytes_unref (repacked);
  brn_record_destroy (reread);
  brn_record_destroy (record);
  return 0;
}
