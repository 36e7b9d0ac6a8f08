/* Counts the requests of this daemon into its open record. */
#include "core/burn_private.h"

#define SECOND_US INT64_C (1000000)
#define NAMED_CAUSES_MAX 64   /* in one entry, with an endpoint's name */
#define LOG2_FRACTION_BITS 10 /* log_sum is in 1024ths */

/* Errors that the caller is responsible for; these use no error budget. */
static const bool is_caller_error[ERR_KIND_COUNT] = {
  [ERR_BAD_REQUEST] = true,  [ERR_UNAUTHORIZED] = true,
  [ERR_NOT_FOUND] = true,    [ERR_TOO_LARGE] = true,
  [ERR_RATE_LIMITED] = true, [ERR_KEY_CONFLICT] = true,
  [ERR_KEY_EXPIRED] = true,  [ERR_KEY_IN_PROGRESS] = true,
  [ERR_CALLER_GONE] = true,
};

/* Returns log2 of VALUE in 1024ths, or 0 for values below 1.  Computed with
   integers only, so that the result is the same on every host.  */
static int64_t
log2_fixed (int64_t value)
{
  if (value <= 1)
    {
      return 0;
    }
  int whole = 63 - __builtin_clzll ((unsigned long long)value);
  uint64_t mantissa = whole > 31
                          ? (uint64_t)value >> (whole - 31)
                          : (uint64_t)value << (31 - whole); /* 1.0 is 2^31 */
  int64_t result = whole;
  for (int i = 0; i < LOG2_FRACTION_BITS; i++)
    {
      mantissa = (mantissa * mantissa) >> 31;
      uint64_t bit = mantissa >> 32;
      mantissa >>= bit;
      result = 2 * result + (int64_t)bit;
    }
  return result;
}

/* Ensures that a record of the bucket of NOW_US is open; one of an earlier
   bucket is closed first.  When the clock goes backwards, counting continues
   in the newest bucket, and in the next one once that has BRN_SEQUENCES_MAX
   records.  */
static void
ensure_open_record (struct brn_state *state, int64_t now_us)
{
  uint32_t bucket = (uint32_t)(now_us / (BRN_BUCKET_S * SECOND_US));
  bool exhausted
      = state->open == NULL && state->next_sequence >= BRN_SEQUENCES_MAX;
  if (bucket > state->open_bucket || exhausted)
    {
      brn_close_record (state);
      state->open_bucket = MAX (bucket, state->open_bucket + 1);
      state->next_sequence = 0;
      brn_advance_day (state, state->open_bucket);
    }
  if (state->open == NULL)
    {
      state->open = brn_record_create (
          state->params.incarnation, state->open_bucket, state->next_sequence);
      brn_register_sequence (state, state->params.incarnation,
                             state->open_bucket, state->next_sequence);
    }
}

/* Returns the entry of ACCOUNT and WORK in the open record, which is created
   if it is missing.  */
static struct brn_entry *
get_open_entry (struct brn_state *state, const char *account,
                enum brn_work work)
{
  struct brn_key key = { .work = work };
  g_strlcpy (key.account, account, sizeof key.account);
  struct brn_entry *entry = g_hash_table_lookup (state->open_entries, &key);
  if (entry == NULL)
    {
      entry = brn_entry_create (account, work);
      g_ptr_array_add (state->open->entries, entry);
      g_hash_table_add (state->open_entries, entry);
    }
  return entry;
}

/* Adds CAUSE to those of ENTRY.  When there are too many already, a new one is
   counted without the names of its endpoint and data centre.  */
static void
add_entry_cause (struct brn_entry *entry, struct brn_cause cause)
{
  for (guint i = 0; i < entry->causes->len; i++)
    {
      struct brn_cause *existing
          = &g_array_index (entry->causes, struct brn_cause, i);
      if (brn_same_cause (existing, &cause))
        {
          existing->count += cause.count;
          return;
        }
    }
  if (entry->causes->len >= NAMED_CAUSES_MAX && cause.endpoint[0] != '\0')
    {
      cause.endpoint[0] = '\0';
      cause.data_centre[0] = '\0';
      add_entry_cause (entry, cause);
      return;
    }
  g_array_append_val (entry->causes, cause);
}

/* Returns the time of OUTCOME that OBJECTIVE is about, or a time below 0 when
   there is none.  Sets LIMIT_US to the longest time that is good.  */
static int64_t
get_time (const struct brn_outcome *outcome, enum brn_objective objective,
          int64_t *limit_us)
{
  switch (objective)
    {
    case BRN_FIRST_TOKEN:
      *limit_us = outcome->objective->first_token_us;
      return outcome->first_token_us;
    case BRN_BETWEEN_TOKENS:
      *limit_us = outcome->objective->between_tokens_us;
      return outcome->between_tokens_us;
    case BRN_SETTLED:
      *limit_us = outcome->objective->settled_us;
      return outcome->settled_us;
    default:
      return -1;
    }
}

/* Sets COUNT to what OUTCOME adds to the counts of OBJECTIVE.  Returns false
   when OUTCOME isn't counted for OBJECTIVE.  */
static bool
count_outcome (const struct brn_outcome *outcome, enum brn_objective objective,
               struct brn_count *count)
{
  if (objective == BRN_AVAILABILITY)
    {
      *count = (struct brn_count){ .total = 1,
                                   .bad = outcome->error != ERR_NONE };
      return true;
    }
  int64_t limit_us = 0;
  int64_t time_us = get_time (outcome, objective, &limit_us);
  if (time_us < 0)
    {
      return false;
    }
  *count = (struct brn_count){ .total = 1,
                               .bad = time_us > limit_us,
                               .log_sum = log2_fixed (time_us) };
  return true;
}

/* Counts one request of this daemon, which ended with OUTCOME.  A request that
   failed by an error of the caller isn't counted.  NOW_US is the time since
   1970.  */
void
brn_observe (struct brn_state *state, const struct brn_outcome *outcome,
             int64_t now_us)
{
  if (is_caller_error[outcome->error])
    {
      return;
    }
  ensure_open_record (state, now_us);
  struct brn_entry *entry
      = get_open_entry (state, outcome->account, outcome->work);
  struct brn_entry *increment
      = brn_entry_create (outcome->account, outcome->work);
  for (int i = 0; i < BRN_OBJECTIVE_COUNT; i++)
    {
      struct brn_count *count = &increment->counts[i];
      if (!brn_objective_applies (outcome->work, (enum brn_objective)i)
          || !count_outcome (outcome, (enum brn_objective)i, count))
        {
          continue;
        }
      entry->counts[i].total += count->total;
      entry->counts[i].bad += count->bad;
      entry->counts[i].log_sum += count->log_sum;
      if (count->bad > 0)
        {
          struct brn_cause cause
              = { .objective = (enum brn_objective)i, .count = 1 };
          cause.error = i == BRN_AVAILABILITY ? outcome->error : ERR_NONE;
          g_strlcpy (cause.endpoint, outcome->endpoint, sizeof cause.endpoint);
          g_strlcpy (cause.data_centre, outcome->data_centre,
                     sizeof cause.data_centre);
          add_entry_cause (entry, cause);
          add_entry_cause (increment, cause);
        }
    }
  brn_add_entry (state, state->open_bucket, increment);
  g_array_free (increment->causes, TRUE);
  g_free (increment);
}
