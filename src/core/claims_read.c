/* Claims: records and positions read from the log, and timeouts. */
#include "core/claims_private.h"

/* Claims that are appended for one call.  A claim that lost to another one,
   which has been released since, is retried. */
#define CLAIM_ATTEMPTS_MAX 3

static const struct key_state *
find_state (const struct clm *clm, const struct rec_entry *entry,
            uint32_t partition, int64_t now_us)
{
  const struct clm_partition *owner = &clm->partitions[partition];
  return key_table_find (owner->table, entry->account, entry->key,
                         clm_log_now (owner, now_us));
}

/* Handles that CLAIM was read back and has won.  A claim that is read back
   late, for instance because this daemon was paused, is released instead: an
   operator may have settled it.  */
static void
claim_won (struct clm *clm, struct clm_claim *claim, int64_t now_us,
           struct act_list *actions)
{
  if (claim->phase != CLM_APPENDING)
    {
      return;
    }
  if (now_us - claim->phase_us > clm->params.read_back_wait_us)
    {
      clm_start_release (clm, claim, ERR_LOG_UNAVAILABLE, now_us);
      return;
    }
  clm_set_phase (claim, CLM_WON, now_us);
  struct act action = { .kind = ACT_DISPATCH };
  action.dispatch.request_id = claim->request_id;
  act_list_add (actions, &action);
}

/* Handles that CLAIM was read back and has lost: answers from the state of the
   key, or retries when the winner has been released.  */
static void
claim_lost (struct clm *clm, struct clm_claim *claim, int64_t now_us,
            struct act_list *actions)
{
  if (claim->phase != CLM_APPENDING)
    {
      return;
    }
  const struct key_state *state
      = find_state (clm, claim->entry, claim->partition, now_us);
  if (claim->answered
      || clm_answer_from_state (clm, claim->request_id,
                                claim->entry->body_hash, state, now_us,
                                actions))
    {
      clm_remove (clm, claim);
      return;
    }
  if (claim->attempts < CLAIM_ATTEMPTS_MAX
      && clm_queue_claim (clm, claim, now_us))
    {
      return;
    }
  clm_answer_refusal (clm, claim, ERR_LOG_UNAVAILABLE, now_us, actions);
  clm_remove (clm, claim);
}

static void
handle_claim (struct clm *clm, const struct rec_entry *entry,
              uint32_t partition, enum key_result result, int64_t now_us,
              struct act_list *actions)
{
  struct clm_claim *claim = g_hash_table_lookup (clm->by_nonce, &entry->nonce);
  if (claim == NULL)
    {
      /* Nothing was sent, since no request waits for the claim.  */
      if (result == KEY_WON)
        {
          clm_queue_durable (clm, entry, REC_RELEASE, partition);
        }
      return;
    }
  if (result == KEY_WON)
    {
      claim->entry->claimed_us = clm->partitions[partition].latest_us;
      claim_won (clm, claim, now_us, actions);
    }
  else
    {
      claim_lost (clm, claim, now_us, actions);
    }
}

/* Handles that a release of this daemon was read back.  The call was not run,
   unless another claim holds the key.  */
static void
handle_release (struct clm *clm, const struct rec_entry *entry,
                uint32_t partition, int64_t now_us, struct act_list *actions)
{
  struct clm_claim *claim = g_hash_table_lookup (clm->by_nonce, &entry->nonce);
  if (claim == NULL || claim->phase != CLM_RELEASING)
    {
      return;
    }
  const struct key_state *state = find_state (clm, entry, partition, now_us);
  if (!claim->answered
      && !clm_answer_from_state (clm, claim->request_id,
                                 claim->entry->body_hash, state, now_us,
                                 actions))
    {
      /* If records were missed, another daemon may have run the call.  */
      bool complete = clm_history_complete (clm, &clm->partitions[partition]);
      clm_answer_error (claim, claim->release_kind,
                        complete ? ERR_RAN_NO : ERR_RAN_UNKNOWN, actions);
    }
  clm_remove (clm, claim);
}

/* Handles that an outcome or unknown of this daemon was read back.  */
static void
handle_resolution (struct clm *clm, const struct rec_entry *entry)
{
  struct clm_claim *claim = g_hash_table_lookup (clm->by_nonce, &entry->nonce);
  if (claim != NULL && claim->phase == CLM_RECORDING)
    {
      clm_remove (clm, claim);
    }
}

static void
handle_entry (struct clm *clm, const struct rec_entry *entry,
              uint32_t partition, int64_t time_us, int64_t now_us,
              struct act_list *actions)
{
  enum key_result result
      = key_table_apply (clm->partitions[partition].table, entry, time_us);
  if (entry->kind == REC_SETTLE)
    {
      clm_settlement_read (clm, entry, result, actions);
    }
  if (entry->incarnation != clm->params.incarnation)
    {
      return;
    }
  switch (entry->kind)
    {
    case REC_CLAIM:
      handle_claim (clm, entry, partition, result, now_us, actions);
      break;
    case REC_RELEASE:
      handle_release (clm, entry, partition, now_us, actions);
      break;
    case REC_OUTCOME:
    case REC_UNKNOWN:
      handle_resolution (clm, entry);
      break;
    case REC_SETTLE:
    case REC_REFRESH:
    case REC_NOOP:
    case REC_NONE:
      break;
    }
}

static bool
find_stream (const struct clm *clm, const char *stream, uint32_t *index)
{
  for (uint32_t i = 0; i < CLM_PARTITIONS; i++)
    {
      if (g_str_equal (clm->partitions[i].stream, stream))
        {
          *index = i;
          return true;
        }
    }
  return false;
}

/* Updates the read position for the record at OFFSET.  Returns false when the
   record was read before.  A gap between two records means that the log
   deleted the records in between unread, so that the reader knows the full
   state only from this record on.  */
static bool
accept_record (struct clm *clm, uint32_t index, uint64_t offset,
               int64_t time_us, int64_t now_us)
{
  struct clm_partition *partition = &clm->partitions[index];
  if (partition->started && offset < partition->next_offset)
    {
      return false;
    }
  bool gap = partition->started ? offset > partition->next_offset : offset > 0;
  if (gap && partition->started)
    {
      clm_appends_skipped (clm, index, offset, now_us);
    }
  if (gap || !partition->has_records)
    {
      partition->gapless_since_us = time_us;
    }
  partition->has_full_history
      = !gap && (partition->has_full_history || !partition->started);
  partition->started = true;
  partition->has_records = true;
  partition->next_offset = offset + 1;
  partition->latest_us = time_us;
  partition->latest_read_us = now_us;
  return true;
}

/* Applies the record BYTES of a claims stream.  Records have to be passed in
   the order of their offsets; one that was passed before is ignored, a
   malformed one is skipped and counted.  TIME_US is the log time of the
   record.  */
void
clm_log_record (struct clm *clm, const char *stream, uint64_t offset,
                int64_t time_us, GBytes *bytes, int64_t now_us,
                struct act_list *actions)
{
  uint32_t index;
  if (!find_stream (clm, stream, &index)
      || !accept_record (clm, index, offset, time_us, now_us))
    {
      return;
    }
  struct rec_batch *batch = rec_unpack_batch (bytes);
  if (batch == NULL)
    {
      clm->malformed++;
      return;
    }
  clm->malformed += batch->skipped;
  for (guint i = 0; i < batch->entries->len; i++)
    {
      handle_entry (clm, g_ptr_array_index (batch->entries, i), index, time_us,
                    now_us, actions);
    }
  if (batch->incarnation == clm->params.incarnation)
    {
      clm_append_read (clm, batch->sequence);
    }
  rec_batch_destroy (batch);
  clm_flush (clm, now_us, actions);
}

/* Sets the bounds of a claims stream after each successful read, once the
   records of that read have been passed to clm_log_record (): FIRST is the
   oldest offset that the log still has, NEXT the offset of the next append.
   */
void
clm_log_position (struct clm *clm, const char *stream, uint64_t first,
                  uint64_t next, int64_t now_us)
{
  uint32_t index;
  if (!find_stream (clm, stream, &index))
    {
      return;
    }
  struct clm_partition *partition = &clm->partitions[index];
  if (!partition->started)
    {
      partition->started = true;
      partition->has_full_history = first == 0;
      partition->next_offset = first;
    }
  if (first > partition->next_offset)
    {
      clm_appends_skipped (clm, index, first, now_us);
      partition->next_offset = first;
      partition->has_full_history = false;
      partition->has_records = false;
    }
  partition->log_down = false;
  if (partition->next_offset == next)
    {
      partition->has_caught_up = true;
      partition->caught_up_us = now_us;
    }
}

/* Records that the log itself has reported an outage, during which no daemon
   can claim a key.  Has to be called for every such report.  A report is valid
   for outage_margin_us, and ends at the next clm_log_position ().  */
void
clm_log_unavailable (struct clm *clm, int64_t now_us)
{
  for (uint32_t i = 0; i < CLM_PARTITIONS; i++)
    {
      struct clm_partition *partition = &clm->partitions[i];
      bool continues = partition->log_down
                       && now_us - partition->log_down_reported_us
                              <= clm->params.outage_margin_us;
      partition->log_down_since_us
          = continues ? partition->log_down_since_us : now_us;
      partition->log_down_reported_us = now_us;
      partition->log_down = true;
    }
}

/* Answers a request whose claim was refused, and is not in the log, once the
   reader has read everything that was in the log at the time of the refusal,
   or when it can't read.  Without this wait, an earlier call with the key that
   another daemon ran could be missed.  */
void
clm_finish_refused (struct clm *clm, struct clm_claim *claim, int64_t now_us,
                    struct act_list *actions)
{
  const struct clm_partition *partition = &clm->partitions[claim->partition];
  bool read_since_refusal = partition->caught_up_us > claim->phase_us;
  if (!read_since_refusal && clm_reader_fresh (clm, partition, now_us))
    {
      return;
    }
  const struct key_state *state
      = find_state (clm, claim->entry, claim->partition, now_us);
  if (!claim->answered
      && !clm_answer_from_state (clm, claim->request_id,
                                 claim->entry->body_hash, state, now_us,
                                 actions))
    {
      clm_answer_refusal (clm, claim, claim->release_kind, now_us, actions);
    }
  clm_remove (clm, claim);
}

/* Ends the current wait of CLAIM if it has taken too long.  */
static void
expire_claim (struct clm *clm, struct clm_claim *claim, int64_t now_us,
              struct act_list *actions)
{
  const struct clm_params *params = &clm->params;
  int64_t waited_us = now_us - claim->phase_us;
  if (claim->phase == CLM_QUEUED && waited_us > params->queue_wait_us)
    {
      clm_not_run (clm, claim->request_id, ERR_LOG_UNAVAILABLE, now_us,
                   actions);
    }
  else if (claim->phase == CLM_REFUSED)
    {
      clm_finish_refused (clm, claim, now_us, actions);
    }
  else if (claim->phase == CLM_APPENDING
           && waited_us > params->read_back_wait_us)
    {
      clm_start_release (clm, claim, ERR_LOG_UNAVAILABLE, now_us);
    }
  else if (claim->phase == CLM_RELEASING
           && waited_us > params->read_back_wait_us)
    {
      clm_answer_error (claim, ERR_APPEND_UNKNOWN, ERR_RAN_UNKNOWN, actions);
    }
}

/* Ends waits that have taken too long, refreshes open keys and appends waiting
   entries.  Has to be called every few hundredths of a second.  */
void
clm_tick (struct clm *clm, int64_t now_us, struct act_list *actions)
{
  GList *claims = g_hash_table_get_values (clm->by_request);
  for (GList *link = claims; link != NULL; link = link->next)
    {
      expire_claim (clm, link->data, now_us, actions);
    }
  g_list_free (claims);
  clm_expire_appends (clm, now_us);
  clm_expire_settlements (clm, now_us, actions);
  for (uint32_t i = 0; i < CLM_PARTITIONS; i++)
    {
      clm_refresh_keys (clm, i, now_us);
    }
  clm_flush (clm, now_us, actions);
}
