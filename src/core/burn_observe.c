/* Counting of one daemon's own work. */
#include "core/burn_private.h"

#define SECOND_US INT64_C (1000000)
#define ENTRY_CAUSES_MAX 64
#define LOG_FRACTION_BITS 10

/* Errors that are the caller's own and burn no budget. */
static const bool callers_own[ERR_KIND_COUNT] = {
  [ERR_BAD_REQUEST] = true,  [ERR_UNAUTHORIZED] = true,
  [ERR_NOT_FOUND] = true,    [ERR_TOO_LARGE] = true,
  [ERR_RATE_LIMITED] = true, [ERR_KEY_CONFLICT] = true,
  [ERR_KEY_EXPIRED] = true,  [ERR_KEY_IN_PROGRESS] = true,
  [ERR_CALLER_GONE] = true,
};

/* Returns log2 of VALUE in 1024ths; of values below 1 it is 0.  Integers only,
   so that every host computes the same.  */
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
  for (int i = 0; i < LOG_FRACTION_BITS; i++)
    {
      mantissa = (mantissa * mantissa) >> 31;
      uint64_t bit = mantissa >> 32;
      mantissa >>= bit;
      result = 2 * result + (int64_t)bit;
    }
  return result;
}

/* Makes the open record one of the bucket of NOW_US.  A clock that goes back
   stays in the bucket it was in.  */
static void
open_record (struct brn_state *state, int64_t now_us)
{
  uint32_t bucket = (uint32_t)(now_us / (BRN_BUCKET_S * SECOND_US));
  if (bucket > state->open_bucket)
    {
      brn_close_record (state);
      state->open_bucket = bucket;
      state->next_sequence = 0;
      brn_advance_day (state, bucket);
    }
  if (state->open == NULL)
    {
      state->open = brn_record_create (
          state->params.incarnation, state->open_bucket, state->next_sequence);
      brn_register_sequence (state, state->params.incarnation,
                             state->open_bucket, state->next_sequence);
    }
}

/* Returns the entry of KEY in the open record.  */
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

/* Adds CAUSE to those of ENTRY; when there are too many, without its names. */
static void
note_cause (struct brn_entry *entry, struct brn_cause cause)
{
  for (guint i = 0; i < entry->causes->len; i++)
    {
      struct brn_cause *known
          = &g_array_index (entry->causes, struct brn_cause, i);
      if (brn_same_cause (known, &cause))
        {
          known->count += cause.count;
          return;
        }
    }
  if (entry->causes->len >= ENTRY_CAUSES_MAX && cause.endpoint[0] != '\0')
    {
      cause.endpoint[0] = '\0';
      cause.data_centre[0] = '\0';
      note_cause (entry, cause);
      return;
    }
  g_array_append_val (entry->causes, cause);
}

/* Returns the time that OUTCOME has for OBJECTIVE and sets BOUND_US; below 0
   when it has none.  */
static int64_t
time_of (const struct brn_outcome *outcome, enum brn_objective objective,
         int64_t *bound_us)
{
  switch (objective)
    {
    case BRN_FIRST_TOKEN:
      *bound_us = outcome->objective->first_token_us;
      return outcome->first_token_us;
    case BRN_BETWEEN_TOKENS:
      *bound_us = outcome->objective->between_tokens_us;
      return outcome->between_tokens_us;
    case BRN_SETTLED:
      *bound_us = outcome->objective->settled_us;
      return outcome->settled_us;
    default:
      return -1;
    }
}

/* Sets COUNT to what OUTCOME adds to OBJECTIVE.  Returns false when it adds
   nothing.  */
static bool
judge (const struct brn_outcome *outcome, enum brn_objective objective,
       struct brn_count *count)
{
  if (objective == BRN_AVAILABILITY)
    {
      *count = (struct brn_count){ .total = 1,
                                   .bad = outcome->error != ERR_NONE };
      return true;
    }
  int64_t bound_us = 0;
  int64_t time_us = time_of (outcome, objective, &bound_us);
  if (time_us < 0)
    {
      return false;
    }
  *count = (struct brn_count){ .total = 1,
                               .bad = time_us > bound_us,
                               .log_sum = log2_fixed (time_us) };
  return true;
}

/* Counts how one request of this daemon ended.  Errors that are the caller's
   own count as nothing.  NOW_US is the time since 1970.  */
void
brn_observe (struct brn_state *state, const struct brn_outcome *outcome,
             int64_t now_us)
{
  if (callers_own[outcome->error])
    {
      return;
    }
  open_record (state, now_us);
  struct brn_entry *entry
      = get_open_entry (state, outcome->account, outcome->work);
  struct brn_entry *single
      = brn_entry_create (outcome->account, outcome->work);
  for (int i = 0; i < BRN_OBJECTIVE_COUNT; i++)
    {
      struct brn_count *count = &single->counts[i];
      if (!brn_objective_applies (outcome->work, (enum brn_objective)i)
          || !judge (outcome, (enum brn_objective)i, count))
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
          note_cause (entry, cause);
          note_cause (single, cause);
        }
    }
  brn_add_entry (state, state->open_bucket, single);
  g_array_free (single->causes, TRUE);
  g_free (single);
}
