/* Tests of the key table: each row applies several entries to one key. */
#include "core/keytable.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Steps set only the operands that they use.  */
#pragma GCC diagnostic ignored "-Wmissing-field-initializers"

#define KEY_RETENTION_US 1000
#define NO_STATE 99
#define ENTRIES_MAX 8

/* An entry of nonce 7 that is applied to the key, and the expected result. */
struct step
{
  enum rec_kind kind;
  uint64_t incarnation;
  uint32_t generation;
  int64_t time_us;
  enum key_result result;
  enum rec_state state; /* of settlements and refreshes */
};

struct row
{
  const char *name;
  struct step steps[ENTRIES_MAX];
  uint32_t state;  /* expected after the last step, or NO_STATE */
  uint64_t holder; /* expected incarnation */
};

static const struct row rows[] = {
  { "the first claim wins",
    { { REC_CLAIM, 1, 1, 10, KEY_WON }, { REC_CLAIM, 2, 1, 11, KEY_LOST } },
    REC_STATE_CLAIMED,
    1 },
  { "a claim that is in the log twice wins once",
    { { REC_CLAIM, 1, 1, 10, KEY_WON }, { REC_CLAIM, 1, 1, 11, KEY_LOST } },
    REC_STATE_CLAIMED,
    1 },
  { "after a release the next generation wins",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_RELEASE, 1, 1, 11, KEY_CHANGED },
      { REC_CLAIM, 2, 2, 12, KEY_WON },
      { REC_CLAIM, 3, 2, 13, KEY_LOST } },
    REC_STATE_CLAIMED,
    2 },
  { "after a release a claim made before it loses",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_RELEASE, 1, 1, 11, KEY_CHANGED },
      { REC_CLAIM, 2, 1, 12, KEY_LOST } },
    REC_STATE_RELEASED,
    1 },
  { "a release cancels its claim when that comes later in the log",
    { { REC_RELEASE, 1, 1, 10, KEY_IGNORED },
      { REC_CLAIM, 1, 1, 11, KEY_LOST },
      { REC_CLAIM, 2, 1, 12, KEY_WON } },
    REC_STATE_CLAIMED,
    2 },
  { "a release ends only its own claim",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_RELEASE, 2, 1, 11, KEY_IGNORED } },
    REC_STATE_CLAIMED,
    1 },
  { "a release after the outcome is ignored",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_OUTCOME, 1, 1, 11, KEY_CHANGED },
      { REC_RELEASE, 1, 1, 12, KEY_IGNORED } },
    REC_STATE_DONE,
    1 },
  { "an unknown key can't be claimed by another holder",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_UNKNOWN, 1, 1, 11, KEY_CHANGED },
      { REC_CLAIM, 2, 1, 12, KEY_LOST },
      { REC_CLAIM, 2, 2, 13, KEY_LOST } },
    REC_STATE_UNKNOWN,
    1 },
  { "the first settlement counts",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_SETTLE, 1, 1, 11, KEY_CHANGED, REC_STATE_DONE },
      { REC_SETTLE, 1, 1, 12, KEY_IGNORED, REC_STATE_RELEASED } },
    REC_STATE_DONE,
    1 },
  { "a settlement of an earlier claim is ignored",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_RELEASE, 1, 1, 11, KEY_CHANGED },
      { REC_CLAIM, 2, 2, 12, KEY_WON },
      { REC_SETTLE, 1, 1, 13, KEY_IGNORED, REC_STATE_RELEASED } },
    REC_STATE_CLAIMED,
    2 },
  { "an outcome overrides a settlement as not run",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_SETTLE, 1, 1, 11, KEY_CHANGED, REC_STATE_RELEASED },
      { REC_OUTCOME, 1, 1, 12, KEY_CHANGED } },
    REC_STATE_DONE,
    1 },
  { "a late outcome doesn't override a later claim",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_SETTLE, 1, 1, 11, KEY_CHANGED, REC_STATE_RELEASED },
      { REC_CLAIM, 2, 2, 12, KEY_WON },
      { REC_OUTCOME, 1, 1, 13, KEY_IGNORED } },
    REC_STATE_CLAIMED,
    2 },
  { "a refresh adds the key at a reader that started late",
    { { REC_REFRESH, 1, 3, 10, KEY_CHANGED, REC_STATE_UNKNOWN },
      { REC_CLAIM, 2, 1, 11, KEY_LOST } },
    REC_STATE_UNKNOWN,
    1 },
  { "a late refresh doesn't override a release",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_RELEASE, 1, 1, 11, KEY_CHANGED },
      { REC_REFRESH, 1, 1, 12, KEY_IGNORED, REC_STATE_CLAIMED } },
    REC_STATE_RELEASED,
    1 },
  { "a late refresh doesn't override a later claim",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_RELEASE, 1, 1, 11, KEY_CHANGED },
      { REC_CLAIM, 2, 2, 12, KEY_WON },
      { REC_REFRESH, 1, 1, 13, KEY_IGNORED, REC_STATE_CLAIMED } },
    REC_STATE_CLAIMED,
    2 },
  { "a key that is done is kept for the retention",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_OUTCOME, 1, 1, 11, KEY_CHANGED },
      { REC_CLAIM, 2, 1, 11 + KEY_RETENTION_US, KEY_LOST } },
    REC_STATE_DONE,
    1 },
  { "a key that is done expires by log time",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_OUTCOME, 1, 1, 11, KEY_CHANGED },
      { REC_CLAIM, 2, 1, 12 + KEY_RETENTION_US, KEY_WON } },
    REC_STATE_CLAIMED,
    2 },
  { "the retention of a claim that is settled late starts at the settlement",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_REFRESH, 1, 1, 10 + KEY_RETENTION_US, KEY_IGNORED,
        REC_STATE_CLAIMED },
      { REC_SETTLE, 1, 1, 10 + 2 * KEY_RETENTION_US, KEY_CHANGED,
        REC_STATE_DONE },
      { REC_CLAIM, 2, 1, 11 + 2 * KEY_RETENTION_US, KEY_LOST } },
    REC_STATE_DONE,
    1 },
  { "an open key never expires",
    { { REC_CLAIM, 1, 1, 10, KEY_WON },
      { REC_CLAIM, 2, 1, 10 + 10 * KEY_RETENTION_US, KEY_LOST } },
    REC_STATE_CLAIMED,
    1 },
  { "an outcome adds the key at a reader that started late",
    { { REC_OUTCOME, 1, 1, 10, KEY_CHANGED },
      { REC_CLAIM, 2, 1, 11, KEY_LOST } },
    REC_STATE_DONE,
    1 },
  { "a no-op changes nothing",
    { { REC_NOOP, 1, 1, 10, KEY_IGNORED } },
    NO_STATE,
    0 },
};

static enum key_result
apply (struct key_table *table, const struct step *step)
{
  struct rec_entry *entry = rec_entry_create (step->kind, "acme", "key");
  entry->incarnation = step->incarnation;
  entry->nonce = 7;
  entry->generation = step->generation;
  entry->state = step->state;
  enum key_result result = key_table_apply (table, entry, step->time_us);
  rec_entry_destroy (entry);
  return result;
}

static void
entry_sequences (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const struct row *row = &rows[i];
      print_message ("row: %s\n", row->name);
      struct key_table *table = key_table_create (KEY_RETENTION_US);
      int64_t last_us = 0;
      for (const struct step *step = row->steps; step->kind != REC_NONE;
           step++)
        {
          assert_int_equal (apply (table, step), step->result);
          last_us = step->time_us;
        }
      const struct key_state *found
          = key_table_find (table, "acme", "key", last_us);
      assert_int_equal (found == NULL ? NO_STATE : found->state, row->state);
      assert_int_equal (found == NULL ? 0 : found->incarnation, row->holder);
      key_table_destroy (table);
    }
}

/* The same key of two accounts is two keys.  */
static void
keys_are_per_account (void **state)
{
  (void)state;
  struct key_table *table = key_table_create (KEY_RETENTION_US);
  struct rec_entry *entry = rec_entry_create (REC_CLAIM, "acme", "key");
  entry->generation = 1;
  entry->incarnation = 1;
  assert_int_equal (key_table_apply (table, entry, 10), KEY_WON);
  assert_null (key_table_find (table, "other", "key", 10));
  assert_non_null (key_table_find (table, "acme", "key", 10));
  rec_entry_destroy (entry);
  key_table_destroy (table);
}

/* A sweep removes a key that is done after its retention, and no open key.  */
static void
sweep_removes_expired_keys (void **state)
{
  (void)state;
  struct key_table *table = key_table_create (KEY_RETENTION_US);
  const struct step steps[] = { { REC_CLAIM, 1, 1, 10, KEY_WON },
                                { REC_OUTCOME, 1, 1, 11, KEY_CHANGED } };
  apply (table, &steps[0]);
  key_table_sweep (table, 20 + 5 * KEY_RETENTION_US);
  assert_int_equal (key_table_size (table), 1);
  apply (table, &steps[1]);
  key_table_sweep (table, 11 + KEY_RETENTION_US);
  assert_int_equal (key_table_size (table), 1);
  key_table_sweep (table, 12 + KEY_RETENTION_US);
  assert_int_equal (key_table_size (table), 0);
  key_table_destroy (table);
}

static void
time_of_a_uuid_key (void **state)
{
  (void)state;
  static const struct
  {
    const char *key;
    int64_t time_us;
  } keys[] = {
    { "017f22e2-79b0-7cc3-98c4-dc0c0c07398f", INT64_C (1645557742000000) },
    { "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", -1 },
    { "017f22e2-79g0-7cc3-98c4-dc0c0c07398f", -1 },
    { "booking-17", -1 },
    { "", -1 },
  };
  for (size_t i = 0; i < sizeof keys / sizeof keys[0]; i++)
    {
      assert_int_equal (key_uuid_time_us (keys[i].key), keys[i].time_us);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (entry_sequences),
    cmocka_unit_test (keys_are_per_account),
    cmocka_unit_test (sweep_removes_expired_keys),
    cmocka_unit_test (time_of_a_uuid_key),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
