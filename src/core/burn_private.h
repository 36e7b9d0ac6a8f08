/* State behind the error budgets.  Private to burn*.c. */
#ifndef CORE_BURN_PRIVATE_H
#define CORE_BURN_PRIVATE_H

#include "core/burn.h"

#define BRN_HOUR_S 3600
#define BRN_DAY_S 86400

/* Ring buffers hold one period more than their window: the current one. */
#define BRN_BUCKET_RING_LENGTH (BRN_SHORT_WINDOW_BUCKETS + 1)
#define BRN_HOUR_RING_LENGTH (BRN_LONG_WINDOW_HOURS + 1)
#define BRN_DAY_RING_LENGTH (BRN_TREND_WINDOW_DAYS + 1)

/* BRN_SETTLED and BRN_FIRST_TOKEN share a slot, as no kind of work has
   both. */
#define BRN_COUNT_SLOTS (BRN_OBJECTIVE_COUNT - 1)

/* Counts of one period: a bucket, hour or day. */
struct brn_period_counts
{
  uint32_t period; /* its number since 1970 */
  struct brn_count counts[BRN_COUNT_SLOTS];
};

/* Counts of one account and kind of work, in ring buffers by period. */
struct brn_series
{
  struct brn_key key; /* first, as hash tables use the series as its key */
  struct brn_period_counts buckets[BRN_BUCKET_RING_LENGTH];
  struct brn_period_counts hours[BRN_HOUR_RING_LENGTH];
  struct brn_period_counts days[BRN_DAY_RING_LENGTH];
  GHashTable *causes; /* set of struct brn_day_cause */
};

/* A cause, counted over one day. */
struct brn_day_cause
{
  uint32_t day;
  struct brn_cause cause;
};

struct brn_state
{
  struct brn_params params;
  GHashTable *series;  /* set of struct brn_series */
  GHashTable *sources; /* set of struct brn_source, by incarnation */

  /* Records of this daemon.  */
  GPtrArray *closed; /* struct brn_record, oldest first; not confirmed by the
                        log yet */
  struct brn_record *open;  /* the one being counted in; NULL: none */
  GHashTable *open_entries; /* set of struct brn_entry, those of `open' */
  uint32_t open_bucket;     /* never decreases */
  uint32_t next_sequence;   /* in open_bucket */
  uint64_t append_token;    /* of the append of the first of `closed' that is
                               in progress; 0: none */
  uint64_t last_token;
  int64_t next_flush_us;  /* monotonic */
  int64_t retry_at_us;    /* monotonic; no append before */
  int64_t retry_delay_us; /* 0: the last append was confirmed */

  uint32_t newest_day;  /* since 1970 */
  uint32_t cause_count; /* over all series */
  uint64_t merged;
  uint64_t duplicates;
  uint64_t too_old;
  uint64_t too_new;
  uint64_t dropped_causes;
  uint64_t dropped_series;
  uint64_t dropped_records;
};

void brn_advance_day (struct brn_state *state, uint32_t bucket);
void brn_add_entry (struct brn_state *state, uint32_t bucket,
                    const struct brn_entry *entry);
enum brn_merge_result brn_register_sequence (struct brn_state *state,
                                             uint64_t incarnation,
                                             uint32_t bucket,
                                             uint32_t sequence);
bool brn_same_cause (const struct brn_cause *left,
                     const struct brn_cause *right);
void brn_close_record (struct brn_state *state);
bool brn_objective_applies (enum brn_work work, enum brn_objective objective);
uint32_t brn_count_slot (enum brn_objective objective);
struct brn_record *brn_record_create (uint64_t incarnation, uint32_t bucket,
                                      uint32_t sequence);
GPtrArray *brn_records_create (void);
struct brn_entry *brn_entry_create (const char *account, enum brn_work work);
struct brn_trend brn_fit_trend (const struct brn_series *series,
                                enum brn_objective objective, uint32_t today);

#endif
