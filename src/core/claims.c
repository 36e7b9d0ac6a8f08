/* Claims: calls of this daemon, from the request to its outcome. */
#include "core/claims_private.h"

#include <string.h>
#include <xxhash.h>

#define S_US INT64_C (1000000)

/* Returns the default parameters for keys that expire LIFETIME_US after their
   outcome.  The log has to keep records for at least 3 times as long.
   INCARNATION has to differ for every start of every daemon and must not be
   0.  */
struct clm_params
clm_params_default (uint64_t incarnation, int64_t lifetime_us)
{
  return (struct clm_params){
    .incarnation = incarnation,
    .lifetime_us = lifetime_us,
    .key_retention_us = 2 * lifetime_us,
    .appends_per_s = 300,
    .queue_wait_us = 3 * S_US,
    .read_back_wait_us = 2 * S_US,
    .dispatch_window_us = 5 * S_US,
    .max_reader_lag_us = 3 * S_US,
    .outage_margin_us = 3 * S_US / 2,
    .unknown_age_us = 120 * S_US,
    .settle_age_us = 120 * S_US,
    .claims_per_account = 256,
    .batch_entries = 256,
    .batch_bytes = 256 * 1024,
    .appends_in_flight = 4,
  };
}

static void
destroy_claim (gpointer data)
{
  struct clm_claim *claim = data;
  rec_entry_destroy (claim->entry);
  g_free (claim);
}

static void
destroy_settlement (gpointer data)
{
  struct clm_settlement *settlement = data;
  rec_entry_destroy (settlement->entry);
  g_free (settlement);
}

static void
destroy_pending_append (gpointer data)
{
  clm_pending_append_destroy (data);
}

/* Creates the state machine of one daemon.  It refuses calls with unknown keys
   until its readers have reached the end of the claims streams.  */
struct clm *
clm_create (const struct clm_params *params)
{
  struct clm *clm = g_new0 (struct clm, 1);
  clm->params = *params;
  for (uint32_t i = 0; i < CLM_PARTITIONS; i++)
    {
      struct clm_partition *partition = &clm->partitions[i];
      g_snprintf (partition->stream, sizeof partition->stream, "claims-%u", i);
      partition->table = key_table_create (params->key_retention_us);
      partition->queue = bat_queue_create (params->claims_per_account);
    }
  clm->by_request = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL,
                                           destroy_claim);
  clm->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  clm->by_nonce = g_hash_table_new (g_int64_hash, g_int64_equal);
  clm->settlements = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            destroy_settlement);
  clm->pending_appends = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                                NULL, destroy_pending_append);
  clm->dead_incarnations
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  clm->next_nonce = 1;
  clm->next_sequence = 1;
  clm_set_share (clm, 1, 0);
  return clm;
}

/* Frees CLM; NULL is allowed.  */
void
clm_destroy (struct clm *clm)
{
  if (clm == NULL)
    {
      return;
    }
  for (uint32_t i = 0; i < CLM_PARTITIONS; i++)
    {
      key_table_destroy (clm->partitions[i].table);
      bat_queue_destroy (clm->partitions[i].queue);
    }
  g_hash_table_destroy (clm->by_nonce);
  g_hash_table_destroy (clm->by_key);
  g_hash_table_destroy (clm->by_request);
  g_hash_table_destroy (clm->settlements);
  g_hash_table_destroy (clm->pending_appends);
  g_hash_table_destroy (clm->dead_incarnations);
  g_free (clm);
}

/* Returns the partition of a key and stores its index in INDEX.  */
struct clm_partition *
clm_partition_of (struct clm *clm, const char *account, const char *key,
                  uint32_t *index)
{
  uint64_t hash
      = XXH64 (key, strlen (key), XXH64 (account, strlen (account), 0));
  *index = (uint32_t)(hash % CLM_PARTITIONS);
  return &clm->partitions[*index];
}

/* Returns an estimate of the current log time in microseconds, 0 before the
   first record.  The estimate is ahead of the log's clock by no more than the
   drift between that clock and the monotonic one.  */
int64_t
clm_log_now (const struct clm_partition *partition, int64_t now_us)
{
  if (!partition->has_records)
    {
      return 0;
    }
  return partition->latest_us + (now_us - partition->latest_read_us);
}

/* Returns whether the reader has seen every record that still matters: all
   records from the first one on, or all of the last key_retention_us.  */
bool
clm_history_complete (const struct clm *clm,
                      const struct clm_partition *partition)
{
  return partition->has_full_history
         || (partition->has_records
             && partition->gapless_since_us + clm->params.key_retention_us
                    <= partition->latest_us);
}

/* Returns whether the reader has been at the end of the log within the last
   max_reader_lag_us, and the log has reported no outage since.  */
bool
clm_reader_fresh (const struct clm *clm, const struct clm_partition *partition,
                  int64_t now_us)
{
  return partition->has_caught_up && !partition->log_down
         && now_us - partition->caught_up_us <= clm->params.max_reader_lag_us;
}

/* Returns the claim in progress of REQUEST_ID, or NULL.  */
struct clm_claim *
clm_find (const struct clm *clm, uint64_t request_id)
{
  return g_hash_table_lookup (clm->by_request, &request_id);
}

/* Removes CLAIM from every index and frees it.  */
void
clm_remove (struct clm *clm, struct clm_claim *claim)
{
  char *joined = key_join (claim->entry->account, claim->entry->key);
  g_hash_table_remove (clm->by_key, joined);
  g_free (joined);
  g_hash_table_remove (clm->by_nonce, &claim->entry->nonce);
  g_hash_table_remove (clm->by_request, &claim->request_id);
}

void
clm_set_phase (struct clm_claim *claim, enum clm_phase phase, int64_t now_us)
{
  claim->phase = phase;
  claim->phase_us = now_us;
}

static void
add_answer (uint64_t request_id, const struct clm_info *info,
            struct act_list *actions)
{
  struct act action = { .kind = ACT_ANSWER };
  action.answer = (struct act_answer){
    .request_id = request_id,
    .kind = info->kind,
    .ran = info->ran,
    .retry_after_s = err_info (info->kind)->retry_after_s,
    .status = info->status,
    .body = info->body == NULL ? NULL : g_bytes_ref (info->body),
    .body_omitted = info->body_omitted,
  };
  act_list_add (actions, &action);
}

/* Answers the request of CLAIM with an error, unless it has been answered. */
void
clm_answer_error (struct clm_claim *claim, enum err_kind kind,
                  enum err_ran ran, struct act_list *actions)
{
  struct clm_info info = { .kind = kind, .ran = ran };
  if (!claim->answered)
    {
      add_answer (claim->request_id, &info, actions);
    }
  claim->answered = true;
}

/* Answers the request of CLAIM, which is certainly not in the log, with the
   error KIND and with what is known of earlier calls with its key.  */
void
clm_answer_refusal (struct clm *clm, struct clm_claim *claim,
                    enum err_kind kind, int64_t now_us,
                    struct act_list *actions)
{
  enum err_ran ran = clm_refusal_ran (clm, claim->entry->account,
                                      claim->entry->key, now_us);
  clm_answer_error (claim, kind, ran, actions);
}

/* Returns the answer that STATE gives to a call with its key.  The kind is
   ERR_NOT_FOUND when the key may be claimed; STATE may be NULL.  */
struct clm_info
clm_state_info (const struct clm *clm, const struct clm_partition *partition,
                const struct key_state *state, int64_t now_us)
{
  if (state == NULL || state->state == REC_STATE_RELEASED)
    {
      return (struct clm_info){ .kind = ERR_NOT_FOUND, .ran = ERR_RAN_NO };
    }
  int64_t log_now_us = clm_log_now (partition, now_us);
  if (state->state == REC_STATE_DONE)
    {
      if (log_now_us - state->refreshed_us > clm->params.lifetime_us)
        {
          return (struct clm_info){ .kind = ERR_KEY_EXPIRED,
                                    .ran = ERR_RAN_YES };
        }
      return (struct clm_info){ .ran = ERR_RAN_YES,
                                .status = state->status,
                                .body = state->body,
                                .body_omitted = state->body_omitted };
    }
  bool holder_dead
      = g_hash_table_contains (clm->dead_incarnations, &state->incarnation);
  bool unknown
      = state->state == REC_STATE_UNKNOWN || holder_dead
        || log_now_us - state->claimed_us > clm->params.unknown_age_us;
  return (struct clm_info){ .kind
                            = unknown ? ERR_KEY_UNKNOWN : ERR_KEY_IN_PROGRESS,
                            .ran = ERR_RAN_UNKNOWN };
}

/* Answers REQUEST_ID from STATE, which may be NULL.  Returns false, without an
   answer, when the key may be claimed.  */
bool
clm_answer_from_state (struct clm *clm, uint64_t request_id,
                       uint64_t body_hash, const struct key_state *state,
                       int64_t now_us, struct act_list *actions)
{
  if (state == NULL)
    {
      return false;
    }
  uint32_t index;
  const struct clm_partition *partition
      = clm_partition_of (clm, state->account, state->key, &index);
  struct clm_info info = clm_state_info (clm, partition, state, now_us);
  if (state->body_hash != body_hash)
    {
      info = (struct clm_info){ .kind = ERR_KEY_CONFLICT, .ran = ERR_RAN_NO };
    }
  if (info.kind == ERR_NOT_FOUND)
    {
      return false;
    }
  add_answer (request_id, &info, actions);
  return true;
}

/* Returns the answer to a repeated call whose key this daemon has a claim in
   progress for.  */
struct clm_info
clm_claim_info (const struct clm_claim *claim)
{
  const struct rec_entry *entry = claim->entry;
  if (claim->phase == CLM_RECORDING && entry->state == REC_STATE_DONE)
    {
      return (struct clm_info){ .ran = ERR_RAN_YES,
                                .status = entry->status,
                                .body = entry->body,
                                .body_omitted = entry->body_omitted };
    }
  return (struct clm_info){ .kind = claim->phase == CLM_RECORDING
                                        ? ERR_KEY_UNKNOWN
                                        : ERR_KEY_IN_PROGRESS,
                            .ran = ERR_RAN_UNKNOWN };
}

/* Returns why a key that is not in the table can't be claimed now, or
   ERR_NONE.  */
static enum err_kind
refusal_kind (const struct clm *clm, const struct clm_partition *partition,
              const char *key, int64_t now_us)
{
  int64_t created_us = key_uuid_time_us (key);
  if (created_us >= 0 && partition->has_records
      && clm_log_now (partition, now_us) - created_us
             > clm->params.lifetime_us)
    {
      return ERR_KEY_EXPIRED;
    }
  if (!clm_reader_fresh (clm, partition, now_us))
    {
      return ERR_LOG_UNAVAILABLE;
    }
  return clm_history_complete (clm, partition) ? ERR_NONE : ERR_NOT_READY;
}

/* Gives CLAIM a new nonce and the generation after the key's latest known one,
   and queues it for an append.  Returns false when the account has too many
   claims waiting.  */
bool
clm_queue_claim (struct clm *clm, struct clm_claim *claim, int64_t now_us)
{
  struct rec_entry *entry = claim->entry;
  struct clm_partition *partition = &clm->partitions[claim->partition];
  const struct key_state *state
      = key_table_find (partition->table, entry->account, entry->key,
                        clm_log_now (partition, now_us));
  g_hash_table_remove (clm->by_nonce, &entry->nonce);
  entry->generation = state == NULL ? 1 : state->generation + 1;
  entry->nonce = clm->next_nonce++;
  struct rec_entry *queued = rec_entry_copy (entry);
  if (!bat_add_claim (partition->queue, queued))
    {
      rec_entry_destroy (queued);
      return false;
    }
  g_hash_table_insert (clm->by_nonce, &entry->nonce, claim);
  claim->attempts++;
  claim->queued_us = now_us;
  clm_set_phase (claim, CLM_QUEUED, now_us);
  return true;
}

static void
start_claim (struct clm *clm, const struct clm_call *call, uint32_t partition,
             int64_t now_us, struct act_list *actions)
{
  struct clm_claim *claim = g_new0 (struct clm_claim, 1);
  claim->request_id = call->request_id;
  claim->partition = partition;
  claim->release_kind = ERR_LOG_UNAVAILABLE;
  claim->entry = rec_entry_create (REC_CLAIM, call->account, call->key);
  claim->entry->body_hash = call->body_hash;
  claim->entry->incarnation = clm->params.incarnation;
  g_hash_table_insert (clm->by_request, &claim->request_id, claim);
  g_hash_table_insert (clm->by_key, key_join (call->account, call->key),
                       claim);
  if (!clm_queue_claim (clm, claim, now_us))
    {
      clm_answer_refusal (clm, claim, ERR_RATE_LIMITED, now_us, actions);
      clm_remove (clm, claim);
    }
}

static void
refuse (uint64_t request_id, enum err_kind kind, enum err_ran ran,
        struct act_list *actions)
{
  struct clm_info info = { .kind = kind, .ran = ran };
  add_answer (request_id, &info, actions);
}

/* Starts CALL.  The result is ACT_ANSWER, or ACT_DISPATCH once its claim has
   won.  After ACT_DISPATCH the control thread has to call clm_begin_send ()
   just before the first byte is sent, and clm_not_run (), clm_outcome () or
   clm_unknown () afterwards, which give the ACT_ANSWER.  Error kinds:
   ERR_BAD_REQUEST, ERR_KEY_CONFLICT, ERR_KEY_IN_PROGRESS, ERR_KEY_UNKNOWN,
   ERR_KEY_EXPIRED, ERR_LOG_UNAVAILABLE, ERR_APPEND_UNKNOWN, ERR_NOT_READY,
   ERR_RATE_LIMITED.  */
void
clm_request (struct clm *clm, const struct clm_call *call, int64_t now_us,
             struct act_list *actions)
{
  size_t length = strlen (call->key);
  if (length == 0 || length > REC_KEY_BYTES_MAX)
    {
      refuse (call->request_id, ERR_BAD_REQUEST, ERR_RAN_NO, actions);
      return;
    }
  uint32_t index;
  struct clm_partition *partition
      = clm_partition_of (clm, call->account, call->key, &index);
  char *joined = key_join (call->account, call->key);
  const struct clm_claim *claim = g_hash_table_lookup (clm->by_key, joined);
  g_free (joined);
  if (claim != NULL)
    {
      struct clm_info info = clm_claim_info (claim);
      if (claim->entry->body_hash != call->body_hash)
        {
          info = (struct clm_info){ .kind = ERR_KEY_CONFLICT };
        }
      add_answer (call->request_id, &info, actions);
      return;
    }
  const struct key_state *state
      = key_table_find (partition->table, call->account, call->key,
                        clm_log_now (partition, now_us));
  if (clm_answer_from_state (clm, call->request_id, call->body_hash, state,
                             now_us, actions))
    {
      return;
    }
  enum err_kind kind = refusal_kind (clm, partition, call->key, now_us);
  if (kind != ERR_NONE)
    {
      enum err_ran ran
          = kind == ERR_KEY_EXPIRED
                ? ERR_RAN_UNKNOWN
                : clm_refusal_ran (clm, call->account, call->key, now_us);
      refuse (call->request_id, kind, ran, actions);
      return;
    }
  start_claim (clm, call, index, now_us, actions);
  clm_flush (clm, now_us, actions);
}

/* Queues a release of CLAIM, whose call was not run and won't be.  The request
   is answered with KIND and ran "no" once the release has been read back.  */
void
clm_start_release (struct clm *clm, struct clm_claim *claim,
                   enum err_kind kind, int64_t now_us)
{
  clm_set_phase (claim, CLM_RELEASING, now_us);
  claim->release_kind = kind;
  clm_queue_durable (clm, claim->entry, REC_RELEASE, claim->partition);
}

/* Takes CLAIM out of the append queue.  Returns false when it is not there. */
static bool
remove_queued (struct clm *clm, struct clm_claim *claim)
{
  return claim->phase == CLM_QUEUED
         && bat_remove_claim (clm->partitions[claim->partition].queue,
                              claim->entry->account, claim->entry->nonce);
}

/* Handles that the caller closed its connection.  A call that was not sent yet
   is released; one that was sent continues, so that its outcome is recorded.
   */
void
clm_caller_gone (struct clm *clm, uint64_t request_id, int64_t now_us,
                 struct act_list *actions)
{
  struct clm_claim *claim = clm_find (clm, request_id);
  if (claim == NULL)
    {
      return;
    }
  claim->answered = true;
  if (remove_queued (clm, claim))
    {
      clm_remove (clm, claim);
    }
  else if (claim->phase == CLM_APPENDING || claim->phase == CLM_WON)
    {
      clm_start_release (clm, claim, ERR_CALLER_GONE, now_us);
    }
  clm_flush (clm, now_us, actions);
}

/* Returns whether the call may still be sent, and if so marks it as sent.  Has
   to be called just before the first byte is sent.  When the result is false
   the call must not be sent, and clm_not_run () has to be called.  */
bool
clm_begin_send (struct clm *clm, uint64_t request_id, int64_t now_us)
{
  struct clm_claim *claim = clm_find (clm, request_id);
  if (claim == NULL || claim->phase != CLM_WON)
    {
      return false;
    }
  const struct clm_partition *partition = &clm->partitions[claim->partition];
  const struct key_state *state
      = key_table_find (partition->table, claim->entry->account,
                        claim->entry->key, clm_log_now (partition, now_us));
  bool holds_key = state != NULL && state->state == REC_STATE_CLAIMED
                   && state->incarnation == claim->entry->incarnation
                   && state->nonce == claim->entry->nonce;
  if (!holds_key || now_us - claim->phase_us > clm->params.dispatch_window_us)
    {
      return false;
    }
  clm_set_phase (claim, CLM_SENT, now_us);
  return true;
}

/* Records that the call was not run: nothing was sent, or the endpoint
   explicitly said that it did not run.  KIND is the error for the caller.  */
void
clm_not_run (struct clm *clm, uint64_t request_id, enum err_kind kind,
             int64_t now_us, struct act_list *actions)
{
  struct clm_claim *claim = clm_find (clm, request_id);
  if (claim == NULL)
    {
      return;
    }
  if (remove_queued (clm, claim))
    {
      clm_set_phase (claim, CLM_REFUSED, now_us);
      claim->release_kind = kind;
      clm_finish_refused (clm, claim, now_us, actions);
    }
  else if (claim->phase == CLM_APPENDING || claim->phase == CLM_WON
           || claim->phase == CLM_SENT)
    {
      clm_start_release (clm, claim, kind, now_us);
    }
  clm_flush (clm, now_us, actions);
}

/* Records the answer of the endpoint, and passes it to the caller at once.
   BODY may be NULL; a reference to it is kept.  */
void
clm_outcome (struct clm *clm, uint64_t request_id, uint32_t status,
             GBytes *body, int64_t now_us, struct act_list *actions)
{
  struct clm_claim *claim = clm_find (clm, request_id);
  if (claim == NULL || claim->phase != CLM_SENT)
    {
      return;
    }
  struct clm_info info = { .ran = ERR_RAN_YES, .status = status };
  info.body = body;
  if (!claim->answered)
    {
      add_answer (request_id, &info, actions);
      claim->answered = true;
    }
  struct rec_entry *entry = claim->entry;
  entry->state = REC_STATE_DONE;
  entry->status = status;
  entry->body_omitted
      = body != NULL && g_bytes_get_size (body) > REC_BODY_BYTES_MAX;
  if (body != NULL && !entry->body_omitted)
    {
      entry->body = g_bytes_ref (body);
    }
  clm_set_phase (claim, CLM_RECORDING, now_us);
  clm_queue_durable (clm, entry, REC_OUTCOME, claim->partition);
  clm_flush (clm, now_us, actions);
}

/* Records that the call was sent and not answered, so that it is unknown
   whether it ran.  KIND is the error for the caller.  */
void
clm_unknown (struct clm *clm, uint64_t request_id, enum err_kind kind,
             int64_t now_us, struct act_list *actions)
{
  struct clm_claim *claim = clm_find (clm, request_id);
  if (claim == NULL || claim->phase != CLM_SENT)
    {
      return;
    }
  clm_answer_error (claim, kind, ERR_RAN_UNKNOWN, actions);
  claim->entry->state = REC_STATE_UNKNOWN;
  clm_set_phase (claim, CLM_RECORDING, now_us);
  clm_queue_durable (clm, claim->entry, REC_UNKNOWN, claim->partition);
  clm_flush (clm, now_us, actions);
}
