/* Appends the records of this daemon to the log, oldest first.  One append is
   in progress at a time, and it is retried until the log confirms it.  A retry
   may append a record twice; readers recognise the duplicate by its
   incarnation, bucket and sequence. */
#include "core/burn_private.h"

#define SECOND_US INT64_C (1000000)
#define FLUSH_INTERVAL_US (60 * SECOND_US)
#define RETRY_MIN_US (1 * SECOND_US)
#define RETRY_MAX_US (60 * SECOND_US)

/* Records kept while the log is unavailable: 12 hours' worth, one for each
   five-minute bucket. */
#define CLOSED_RECORDS_MAX 144

/* Drops the oldest records when more than CLOSED_RECORDS_MAX are not confirmed
   yet.  The one whose append is in progress is kept.  */
static void
drop_excess_records (struct brn_state *state)
{
  guint first = state->append_token != 0 ? 1 : 0;
  while (state->closed->len > CLOSED_RECORDS_MAX)
    {
      g_ptr_array_remove_index (state->closed, first);
      state->dropped_records++;
    }
}

/* Closes the open record, if there is one, so that it can be appended.  */
void
brn_close_record (struct brn_state *state)
{
  if (state->open == NULL)
    {
      return;
    }
  g_hash_table_remove_all (state->open_entries);
  g_ptr_array_add (state->closed, g_steal_pointer (&state->open));
  state->next_sequence++;
  drop_excess_records (state);
}

/* Closes the open record when its bucket has ended, or earlier when a flush is
   due.  The last sequence of a bucket is never closed early, so that a bucket
   needs no more than BRN_SEQUENCES_MAX records.  No record is closed early
   either while others wait to be appended, so that only one record a bucket is
   kept while the log is unavailable.  */
static void
close_record_if_due (struct brn_state *state, int64_t now_us, int64_t real_us,
                     bool flush)
{
  bool bucket_ended
      = real_us / (BRN_BUCKET_S * SECOND_US) > state->open_bucket;
  bool due = flush || now_us >= state->next_flush_us;
  bool last_sequence = state->next_sequence + 1 >= BRN_SEQUENCES_MAX;
  if (bucket_ended || (due && !last_sequence && state->closed->len == 0))
    {
      brn_close_record (state);
    }
  if (due)
    {
      state->next_flush_us = now_us + FLUSH_INTERVAL_US;
    }
}

/* Adds an append of the oldest closed record to ACTIONS, unless an append is
   in progress or its retry is not due yet.  The open record is closed every
   minute, or at once when FLUSH is true, as during a planned stop; what the
   last sequence of a bucket holds then waits for brn_finish.  NOW_US is
   monotonic, REAL_US is the time since 1970.  The caller reports the result of
   the append with brn_append_result.  */
void
brn_tick (struct brn_state *state, int64_t now_us, int64_t real_us, bool flush,
          struct act_list *actions)
{
  close_record_if_due (state, now_us, real_us, flush);
  if (state->append_token != 0 || state->closed->len == 0
      || now_us < state->retry_at_us)
    {
      return;
    }
  state->last_token++;
  state->append_token = state->last_token;
  struct act action = { .kind = ACT_APPEND };
  action.append.owner = ACT_OWNER_BURN;
  action.append.token = state->append_token;
  action.append.bytes = brn_pack (g_ptr_array_index (state->closed, 0));
  g_strlcpy (action.append.stream, BRN_STREAM, sizeof action.append.stream);
  act_list_add (actions, &action);
}

/* Returns the number of requests that RECORD counts; the availability of each
   is counted.  */
static uint64_t
count_requests (const struct brn_record *record)
{
  uint64_t requests = 0;
  for (guint i = 0; i < record->entries->len; i++)
    {
      const struct brn_entry *entry = g_ptr_array_index (record->entries, i);
      requests += entry->counts[BRN_AVAILABILITY].total;
    }
  return requests;
}

/* Handles the RESULT of append TOKEN.  A record whose append failed, or may
   have failed, is appended again after an exponential backoff of 1 to 60 s.
   The result of any other append than the current one is ignored.  NOW_US is
   monotonic.  */
void
brn_append_result (struct brn_state *state, uint64_t token,
                   enum err_kind result, int64_t now_us)
{
  if (token == 0 || token != state->append_token)
    {
      return;
    }
  state->append_token = 0;
  if (result == ERR_NONE)
    {
      g_ptr_array_remove_index (state->closed, 0);
      state->retry_delay_us = 0;
      return;
    }
  state->retry_delay_us
      = CLAMP (2 * state->retry_delay_us, RETRY_MIN_US, RETRY_MAX_US);
  state->retry_at_us = now_us + state->retry_delay_us;
}

/* Closes the open record, for a daemon whose last request has ended, and makes
   the next append due at once.  brn_tick adds the appends as before.  */
void
brn_finish (struct brn_state *state)
{
  brn_close_record (state);
  state->retry_at_us = 0;
  state->retry_delay_us = 0;
}

/* Returns the number of records that the log hasn't confirmed, with the open
   one, and of the requests counted in them.  */
struct brn_unconfirmed
brn_unconfirmed (const struct brn_state *state)
{
  struct brn_unconfirmed result = { .records = state->closed->len };
  for (guint i = 0; i < state->closed->len; i++)
    {
      result.requests += count_requests (g_ptr_array_index (state->closed, i));
    }
  if (state->open != NULL)
    {
      result.records++;
      result.requests += count_requests (state->open);
    }
  return result;
}
