#include "core/burn_private.h"

#include <string.h>

#define SECOND_US INT64_C (1000000)

#define SERIES_MAX_DEFAULT 8192
#define CAUSES_MAX_DEFAULT 16384

/* Duplicates are recognised for this many buckets of an incarnation of a
   daemon: two hours. */
#define DUPLICATE_WINDOW_BUCKETS 24

/* Buckets that a record may be ahead of this daemon's clock: a day.  A record
   evicts at most a day of older counts then. */
#define FUTURE_BUCKETS_MAX (BRN_DAY_S / BRN_BUCKET_S)

/* Records of one bucket that were merged from one incarnation. */
struct merged_bucket
{
  uint32_t bucket;
  uint64_t sequences; /* bit N: the record with sequence N */
};

/* The merged records of one incarnation of a daemon. */
struct brn_source
{
  uint64_t incarnation; /* first, as the hash table uses it as the key */
  uint32_t newest_bucket;
  struct merged_bucket merged[DUPLICATE_WINDOW_BUCKETS];
};

static const bool objective_applies[BRN_WORK_COUNT][BRN_OBJECTIVE_COUNT] = {
  [BRN_DRAFT] = { [BRN_AVAILABILITY] = true,
                  [BRN_FIRST_TOKEN] = true,
                  [BRN_BETWEEN_TOKENS] = true },
  [BRN_KEYED] = { [BRN_AVAILABILITY] = true, [BRN_SETTLED] = true },
  [BRN_LOOKUP] = { [BRN_AVAILABILITY] = true },
};

/* Returns true when OBJECTIVE is counted for WORK.  */
bool
brn_objective_applies (enum brn_work work, enum brn_objective objective)
{
  return objective_applies[work][objective];
}

/* Returns the index of OBJECTIVE in the counts of a period (see
   BRN_COUNT_SLOTS).  */
uint32_t
brn_count_slot (enum brn_objective objective)
{
  return objective == BRN_SETTLED ? BRN_FIRST_TOKEN : objective;
}

static guint
hash_key (gconstpointer data)
{
  const struct brn_key *key = data;
  return g_str_hash (key->account) * BRN_WORK_COUNT + key->work;
}

static gboolean
equal_keys (gconstpointer a, gconstpointer b)
{
  const struct brn_key *left = a;
  const struct brn_key *right = b;
  return left->work == right->work
         && strcmp (left->account, right->account) == 0;
}

static guint
hash_day_cause (gconstpointer data)
{
  const struct brn_day_cause *cause = data;
  return g_str_hash (cause->cause.endpoint) ^ (cause->day << 16)
         ^ (cause->cause.objective << 8) ^ cause->cause.error;
}

/* Returns true when LEFT and RIGHT are equal, their counts aside.  */
bool
brn_same_cause (const struct brn_cause *left, const struct brn_cause *right)
{
  return left->objective == right->objective && left->error == right->error
         && strcmp (left->endpoint, right->endpoint) == 0
         && strcmp (left->data_centre, right->data_centre) == 0;
}

static gboolean
equal_day_causes (gconstpointer a, gconstpointer b)
{
  const struct brn_day_cause *left = a;
  const struct brn_day_cause *right = b;
  return left->day == right->day
         && brn_same_cause (&left->cause, &right->cause);
}

static void
destroy_series (gpointer data)
{
  struct brn_series *series = data;
  g_hash_table_destroy (series->causes);
  g_free (series);
}

/* Returns an empty state.  The caller frees it with brn_destroy.  */
struct brn_state *
brn_create (const struct brn_params *params)
{
  struct brn_state *state = g_new0 (struct brn_state, 1);
  state->params = *params;
  if (state->params.series_max == 0)
    {
      state->params.series_max = SERIES_MAX_DEFAULT;
    }
  if (state->params.causes_max == 0)
    {
      state->params.causes_max = CAUSES_MAX_DEFAULT;
    }
  state->series
      = g_hash_table_new_full (hash_key, equal_keys, NULL, destroy_series);
  state->sources
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  state->closed = brn_records_create ();
  state->open_entries = g_hash_table_new (hash_key, equal_keys);
  return state;
}

/* Frees STATE; NULL is allowed.  */
void
brn_destroy (struct brn_state *state)
{
  if (state == NULL)
    {
      return;
    }
  g_hash_table_destroy (state->open_entries);
  brn_record_destroy (state->open);
  g_ptr_array_free (state->closed, TRUE);
  g_hash_table_destroy (state->series);
  g_hash_table_destroy (state->sources);
  g_free (state);
}

/* Returns true for a cause that is older than the budget window before the
   newest day.  As the caller then removes the cause from its set, this
   decrements the count of causes of the state in DATA.  */
static gboolean
is_expired_cause (gpointer key, gpointer value, gpointer data)
{
  (void)value;
  const struct brn_day_cause *cause = key;
  struct brn_state *state = data;
  bool expired = cause->day + BRN_BUDGET_WINDOW_DAYS < state->newest_day;
  state->cause_count -= expired;
  return expired;
}

/* Removes the expired causes of a series.  Returns true when the whole series
   is older than every window.  */
static gboolean
is_expired_series (gpointer key, gpointer value, gpointer data)
{
  (void)value;
  const struct brn_series *series = key;
  struct brn_state *state = data;
  g_hash_table_foreach_remove (series->causes, is_expired_cause, state);
  uint32_t newest = 0;
  for (int i = 0; i < BRN_DAY_RING_LENGTH; i++)
    {
      newest = MAX (newest, series->days[i].period);
    }
  return newest + BRN_DAY_RING_LENGTH < state->newest_day;
}

/* Returns true when no record of a source can be in any window any more.  */
static gboolean
is_expired_source (gpointer key, gpointer value, gpointer data)
{
  (void)value;
  const struct brn_source *source = key;
  const struct brn_state *state = data;
  uint32_t day = source->newest_bucket / (BRN_DAY_S / BRN_BUCKET_S);
  return day + BRN_DAY_RING_LENGTH < state->newest_day;
}

/* Advances STATE to the day of BUCKET when that day is later than its newest
   one, and evicts what is then too old for every report.  */
void
brn_advance_day (struct brn_state *state, uint32_t bucket)
{
  uint32_t day = bucket / (BRN_DAY_S / BRN_BUCKET_S);
  if (day <= state->newest_day)
    {
      return;
    }
  state->newest_day = day;
  g_hash_table_foreach_remove (state->series, is_expired_series, state);
  g_hash_table_foreach_remove (state->sources, is_expired_source, state);
}

/* Returns the series of KEY, which is created if it is missing.  Returns NULL
   when there are too many series already.  */
static struct brn_series *
get_series (struct brn_state *state, const struct brn_key *key)
{
  struct brn_series *series = g_hash_table_lookup (state->series, key);
  if (series != NULL)
    {
      return series;
    }
  if (g_hash_table_size (state->series) >= state->params.series_max)
    {
      state->dropped_series++;
      return NULL;
    }
  series = g_new0 (struct brn_series, 1);
  series->key = *key;
  series->causes
      = g_hash_table_new_full (hash_day_cause, equal_day_causes, g_free, NULL);
  g_hash_table_add (state->series, series);
  return series;
}

/* Adds COUNTS to PERIOD in a ring buffer of LENGTH periods, unless the
   element of PERIOD already counts a later period.  */
static void
add_to_ring (struct brn_period_counts *ring, uint32_t length, uint32_t period,
             enum brn_work work, const struct brn_count *counts)
{
  struct brn_period_counts *element = &ring[period % length];
  if (element->period > period)
    {
      return;
    }
  if (element->period < period)
    {
      *element = (struct brn_period_counts){ .period = period };
    }
  for (int i = 0; i < BRN_OBJECTIVE_COUNT; i++)
    {
      if (brn_objective_applies (work, (enum brn_objective)i))
        {
          struct brn_count *count
              = &element->counts[brn_count_slot ((enum brn_objective)i)];
          count->total += counts[i].total;
          count->bad += counts[i].bad;
          count->log_sum += counts[i].log_sum;
        }
    }
}

/* Adds CAUSE, of DAY, to SERIES, if reports still include that day.
   A new cause is dropped and counted when there are too many already.  */
static void
add_cause (struct brn_state *state, struct brn_series *series, uint32_t day,
           const struct brn_cause *cause)
{
  struct brn_day_cause day_cause = { .day = day, .cause = *cause };
  struct brn_day_cause *existing = NULL;
  if (day + BRN_BUDGET_WINDOW_DAYS < state->newest_day)
    {
      return;
    }
  if (g_hash_table_lookup_extended (series->causes, &day_cause,
                                    (gpointer *)&existing, NULL))
    {
      existing->cause.count += cause->count;
      return;
    }
  if (state->cause_count >= state->params.causes_max)
    {
      state->dropped_causes++;
      return;
    }
  state->cause_count++;
  g_hash_table_add (series->causes, g_memdup2 (&day_cause, sizeof day_cause));
}

/* Adds ENTRY, of BUCKET, to the ring buffers and causes of its series.  */
void
brn_add_entry (struct brn_state *state, uint32_t bucket,
               const struct brn_entry *entry)
{
  struct brn_series *series = get_series (state, &entry->key);
  if (series == NULL)
    {
      return;
    }
  uint32_t day = bucket / (BRN_DAY_S / BRN_BUCKET_S);
  enum brn_work work = entry->key.work;
  add_to_ring (series->buckets, BRN_BUCKET_RING_LENGTH, bucket, work,
               entry->counts);
  add_to_ring (series->hours, BRN_HOUR_RING_LENGTH,
               bucket / (BRN_HOUR_S / BRN_BUCKET_S), work, entry->counts);
  add_to_ring (series->days, BRN_DAY_RING_LENGTH, day, work, entry->counts);
  for (guint i = 0; i < entry->causes->len; i++)
    {
      add_cause (state, series, day,
                 &g_array_index (entry->causes, struct brn_cause, i));
    }
}

/* Registers record SEQUENCE of BUCKET by INCARNATION as merged.  Returns
   BRN_MERGED when it was not registered before, BRN_DUPLICATE when it was, or
   BRN_TOO_OLD when the sequences of BUCKET are no longer kept.  SEQUENCE has
   to be below BRN_SEQUENCES_MAX.  */
enum brn_merge_result
brn_register_sequence (struct brn_state *state, uint64_t incarnation,
                       uint32_t bucket, uint32_t sequence)
{
  struct brn_source *source
      = g_hash_table_lookup (state->sources, &incarnation);
  if (source == NULL)
    {
      source = g_new0 (struct brn_source, 1);
      source->incarnation = incarnation;
      g_hash_table_add (state->sources, source);
    }
  struct merged_bucket *merged
      = &source->merged[bucket % DUPLICATE_WINDOW_BUCKETS];
  if (merged->bucket > bucket)
    {
      return BRN_TOO_OLD;
    }
  if (merged->bucket < bucket)
    {
      *merged = (struct merged_bucket){ .bucket = bucket };
    }
  source->newest_bucket = MAX (source->newest_bucket, bucket);
  uint64_t bit = UINT64_C (1) << sequence;
  if ((merged->sequences & bit) != 0)
    {
      return BRN_DUPLICATE;
    }
  merged->sequences |= bit;
  return BRN_MERGED;
}

/* Adds RECORD, of any daemon, to STATE.  Merging is commutative and
   idempotent: neither the order of records nor duplicates change the report,
   with two exceptions.  A record that is two hours or more older than another
   one of the same incarnation may be rejected as too old, since duplicates are
   recognised for two hours only; and at the limits on series and causes, those
   that came first are kept.  A record that is more than a day ahead of
   REAL_US, the time since 1970, is rejected, as it would evict the counts of
   the time before it.  Returns BRN_MERGED, or why the record was not merged.
 */
enum brn_merge_result
brn_merge (struct brn_state *state, const struct brn_record *record,
           int64_t real_us)
{
  if (record->sequence >= BRN_SEQUENCES_MAX)
    {
      return BRN_MALFORMED;
    }
  if (record->bucket
      > real_us / (BRN_BUCKET_S * SECOND_US) + FUTURE_BUCKETS_MAX)
    {
      state->too_new++;
      return BRN_TOO_NEW;
    }
  enum brn_merge_result result = brn_register_sequence (
      state, record->incarnation, record->bucket, record->sequence);
  if (result != BRN_MERGED)
    {
      state->duplicates += result == BRN_DUPLICATE;
      state->too_old += result == BRN_TOO_OLD;
      return result;
    }
  state->merged++;
  brn_advance_day (state, record->bucket);
  for (guint i = 0; i < record->entries->len; i++)
    {
      brn_add_entry (state, record->bucket,
                     g_ptr_array_index (record->entries, i));
    }
  return BRN_MERGED;
}

/* Returns the name of RESULT as written to log lines.  */
const char *
brn_merge_result_name (enum brn_merge_result result)
{
  static const char *const names[] = {
    [BRN_MERGED] = "merged",       [BRN_DUPLICATE] = "duplicate",
    [BRN_TOO_OLD] = "too_old",     [BRN_TOO_NEW] = "too_new",
    [BRN_MALFORMED] = "malformed",
  };
  return names[result];
}
