/* Claims: events from peers and membership, lookups, and settlements by
   operators. */
#include "core/claims_private.h"

#define S_US INT64_C (1000000)

/* Sets this daemon's share of the log's append rate: it has the rank RANK,
   counted from 0, among DAEMONS ready ones.  */
void
clm_set_share (struct clm *clm, uint32_t daemons, uint32_t rank)
{
  uint32_t budget = MAX (clm->params.appends_per_s, 1);
  clm->append_interval_us = S_US * MAX (daemons, 1) / budget;
  clm->rank = rank;
}

/* Lets ACCOUNT place up to WEIGHT entries into a batch before it is the next
   account's turn.  */
void
clm_set_weight (struct clm *clm, const char *account, uint32_t weight)
{
  for (uint32_t i = 0; i < CLM_PARTITIONS; i++)
    {
      bat_set_weight (clm->partitions[i].queue, account, weight);
    }
}

/* Sets whether a peer reports that it reaches the log.  While no peer does, a
   daemon that can't read the log knows that nobody has claimed a key since.
   Has to be called on every heartbeat.  When two calls are further apart than
   outage_margin_us, a peer is assumed to have reached the log in between.  */
void
clm_set_peers_reach_log (struct clm *clm, bool reach, int64_t now_us)
{
  bool late = now_us - clm->peers_updated_us > clm->params.outage_margin_us;
  if (reach || late)
    {
      clm->peers_last_reached_us = now_us;
    }
  clm->peers_reach_log = reach;
  clm->peers_updated_us = now_us;
}

/* Records that the daemon of INCARNATION is dead, so that its claims without
   an outcome count as unknown.  */
void
clm_holder_dead (struct clm *clm, uint64_t incarnation)
{
  uint64_t *copy = g_new (uint64_t, 1);
  *copy = incarnation;
  g_hash_table_add (clm->dead_incarnations, copy);
}

/* Treats the records in the log as the full history of keys.  For an operator
   to confirm that no older key is in use, after all daemons were down for
   longer than the log keeps records.  */
void
clm_accept_full_history (struct clm *clm)
{
  for (uint32_t i = 0; i < CLM_PARTITIONS; i++)
    {
      clm->partitions[i].has_full_history = true;
    }
}

/* Returns whether new keys can be claimed.  */
bool
clm_ready (const struct clm *clm, int64_t now_us)
{
  for (uint32_t i = 0; i < CLM_PARTITIONS; i++)
    {
      const struct clm_partition *partition = &clm->partitions[i];
      if (!clm_reader_fresh (clm, partition, now_us)
          || !clm_history_complete (clm, partition))
        {
          return false;
        }
    }
  return true;
}

/* Returns the counters of the state machine.  */
struct clm_stats
clm_stats (const struct clm *clm)
{
  struct clm_stats stats = { .active = g_hash_table_size (clm->by_request),
                             .malformed = clm->malformed,
                             .appends = clm->appends };
  for (uint32_t i = 0; i < CLM_PARTITIONS; i++)
    {
      stats.waiting += bat_length (clm->partitions[i].queue);
      stats.keys += key_table_size (clm->partitions[i].table);
      stats.conflicts += key_table_conflicts (clm->partitions[i].table);
    }
  return stats;
}

/* Returns whether this daemon has certainly read every record in the log: its
   reader is at the end, or was there when the log became unreachable for all
   daemons.  */
static bool
log_fully_read (const struct clm *clm, const struct clm_partition *partition,
                int64_t now_us)
{
  if (!partition->has_caught_up)
    {
      return false;
    }
  if (clm_reader_fresh (clm, partition, now_us))
    {
      return true;
    }
  int64_t margin_us = clm->params.outage_margin_us;
  if (partition->log_down
      && now_us - partition->log_down_reported_us <= margin_us)
    {
      return partition->log_down_since_us - partition->caught_up_us
             <= margin_us;
    }
  return !clm->peers_reach_log && now_us - clm->peers_updated_us <= margin_us
         && clm->peers_last_reached_us - partition->caught_up_us <= margin_us;
}

/* Returns whether an earlier call with this key ran, for the answer to a call
   that is refused before it is claimed.  "No" is returned only when no other
   call with the key can have run.  A daemon that can't read the log while
   others can doesn't know that.  */
enum err_ran
clm_refusal_ran (struct clm *clm, const char *account, const char *key,
                 int64_t now_us)
{
  uint32_t index;
  const struct clm_partition *partition
      = clm_partition_of (clm, account, key, &index);
  const struct key_state *state = key_table_find (
      partition->table, account, key, clm_log_now (partition, now_us));
  if (state != NULL && state->state == REC_STATE_DONE)
    {
      return ERR_RAN_YES;
    }
  if (state != NULL && key_state_open (state))
    {
      return ERR_RAN_UNKNOWN;
    }
  bool certain = clm_history_complete (clm, partition)
                 && log_fully_read (clm, partition, now_us);
  return certain ? ERR_RAN_NO : ERR_RAN_UNKNOWN;
}

/* Returns the state of a key of ACCOUNT.  Kinds: ERR_NONE with the recorded
   answer, ERR_NOT_FOUND, ERR_KEY_IN_PROGRESS, ERR_KEY_UNKNOWN,
   ERR_KEY_EXPIRED.  With ERR_NOT_FOUND, `ran' is "no" only when that is
   certain.  The body is valid until the next event is passed to CLM.  */
struct clm_info
clm_lookup (struct clm *clm, const char *account, const char *key,
            int64_t now_us)
{
  uint32_t index;
  const struct clm_partition *partition
      = clm_partition_of (clm, account, key, &index);
  char *joined = key_join (account, key);
  const struct clm_claim *claim = g_hash_table_lookup (clm->by_key, joined);
  g_free (joined);
  if (claim != NULL)
    {
      return clm_claim_info (claim);
    }
  const struct key_state *state = key_table_find (
      partition->table, account, key, clm_log_now (partition, now_us));
  struct clm_info info = clm_state_info (clm, partition, state, now_us);
  if (info.kind == ERR_NOT_FOUND)
    {
      info.ran = clm_refusal_ran (clm, account, key, now_us);
    }
  return info;
}

struct unknown_context
{
  const struct clm *clm;
  const struct clm_partition *partition;
  const char *account;
  int64_t now_us;
  void (*callback) (const struct key_state *state, void *user_data);
  void *user_data;
};

static void
visit_unknown (const struct key_state *state, void *user_data)
{
  const struct unknown_context *context = user_data;
  if (context->account != NULL
      && !g_str_equal (context->account, state->account))
    {
      return;
    }
  struct clm_info info = clm_state_info (context->clm, context->partition,
                                         state, context->now_us);
  if (info.kind == ERR_KEY_UNKNOWN)
    {
      context->callback (state, context->user_data);
    }
}

/* Calls VISIT for every key of ACCOUNT, or of all accounts when it is NULL,
   whose call may or may not have run.  */
void
clm_list_unknown (struct clm *clm, const char *account, int64_t now_us,
                  void (*visit) (const struct key_state *state,
                                 void *user_data),
                  void *user_data)
{
  for (uint32_t i = 0; i < CLM_PARTITIONS; i++)
    {
      struct unknown_context context = { .clm = clm,
                                         .partition = &clm->partitions[i],
                                         .account = account,
                                         .now_us = now_us,
                                         .callback = visit,
                                         .user_data = user_data };
      key_table_foreach (context.partition->table, visit_unknown, &context);
    }
}

static void
answer_operator (uint64_t request_id, enum err_kind kind,
                 struct act_list *actions)
{
  const struct err_info *answer = err_info (kind);
  struct act action = { .kind = ACT_ANSWER };
  action.answer
      = (struct act_answer){ .request_id = request_id,
                             .kind = kind,
                             .ran = answer->ran,
                             .retry_after_s = answer->retry_after_s };
  act_list_add (actions, &action);
}

/* Returns whether operators may settle STATE, which is open: its holder
   recorded the outcome as unknown, or the claim is so old that no holder sends
   its call any more.  */
static bool
may_settle (const struct clm *clm, const struct clm_partition *partition,
            const struct key_state *state, int64_t now_us)
{
  if (state->state == REC_STATE_UNKNOWN)
    {
      return true;
    }
  return clm_log_now (partition, now_us) - state->claimed_us
         >= clm->params.settle_age_us;
}

static struct rec_entry *
settle_entry (const struct key_state *state, bool ran, uint32_t status,
              GBytes *body)
{
  struct rec_entry *entry
      = rec_entry_create (REC_SETTLE, state->account, state->key);
  entry->body_hash = state->body_hash;
  entry->generation = state->generation;
  entry->incarnation = state->incarnation;
  entry->nonce = state->nonce;
  entry->claimed_us = state->claimed_us;
  entry->state = ran ? REC_STATE_DONE : REC_STATE_RELEASED;
  entry->status = status;
  entry->body_omitted
      = body != NULL && g_bytes_get_size (body) > REC_BODY_BYTES_MAX;
  if (body != NULL && !entry->body_omitted)
    {
      entry->body = g_bytes_ref (body);
    }
  return entry;
}

/* Returns why the key of STATE can't be settled now, or ERR_NONE.  JOINED is
   the key_join () of the key.  */
static enum err_kind
settle_error (const struct clm *clm, const struct clm_partition *partition,
              const struct key_state *state, const char *joined,
              int64_t now_us)
{
  if (!key_state_open (state))
    {
      return ERR_NOT_FOUND;
    }
  if (!may_settle (clm, partition, state, now_us)
      || g_hash_table_contains (clm->settlements, joined))
    {
      return ERR_KEY_IN_PROGRESS;
    }
  return ERR_NONE;
}

/* Appends an operator's statement of whether the call of a key ran.  STATUS
   and BODY, which may be NULL, are the answer to repeats if it did.  Gives
   ACT_ANSWER once the record has been read back.  Kinds: ERR_NONE,
   ERR_NOT_FOUND when the key is not open, ERR_KEY_IN_PROGRESS when its holder
   may still send the call or another settlement is in progress,
   ERR_LOG_UNAVAILABLE, ERR_APPEND_UNKNOWN.  */
void
clm_settle (struct clm *clm, uint64_t request_id, const char *account,
            const char *key, bool ran, uint32_t status, GBytes *body,
            int64_t now_us, struct act_list *actions)
{
  uint32_t index;
  struct clm_partition *partition
      = clm_partition_of (clm, account, key, &index);
  if (!clm_reader_fresh (clm, partition, now_us))
    {
      answer_operator (request_id, ERR_LOG_UNAVAILABLE, actions);
      return;
    }
  const struct key_state *state = key_table_find (
      partition->table, account, key, clm_log_now (partition, now_us));
  if (state == NULL)
    {
      answer_operator (request_id, ERR_NOT_FOUND, actions);
      return;
    }
  char *joined = key_join (account, key);
  enum err_kind kind = settle_error (clm, partition, state, joined, now_us);
  if (kind != ERR_NONE)
    {
      answer_operator (request_id, kind, actions);
      g_free (joined);
      return;
    }
  struct clm_settlement *settlement = g_new0 (struct clm_settlement, 1);
  settlement->request_id = request_id;
  settlement->started_us = now_us;
  settlement->entry = settle_entry (state, ran, status, body);
  bat_add_durable (partition->queue, rec_entry_copy (settlement->entry));
  g_hash_table_insert (clm->settlements, joined, settlement);
  clm_flush (clm, now_us, actions);
}

/* Handles that a settlement was read, of this or another daemon.  An operator
   who settles the same key at this daemon is answered with ERR_NONE if the
   settlement took effect and is the stated one, else with ERR_NOT_FOUND.  */
void
clm_settlement_read (struct clm *clm, const struct rec_entry *entry,
                     enum key_result result, struct act_list *actions)
{
  char *joined = key_join (entry->account, entry->key);
  const struct clm_settlement *settlement
      = g_hash_table_lookup (clm->settlements, joined);
  if (settlement != NULL)
    {
      bool same = result == KEY_CHANGED
                  && settlement->entry->state == entry->state
                  && settlement->entry->status == entry->status;
      answer_operator (settlement->request_id, same ? ERR_NONE : ERR_NOT_FOUND,
                       actions);
      g_hash_table_remove (clm->settlements, joined);
    }
  g_free (joined);
}

/* Answers the operators whose settlement was not read back in time with
   ERR_APPEND_UNKNOWN.  */
void
clm_expire_settlements (struct clm *clm, int64_t now_us,
                        struct act_list *actions)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, clm->settlements);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct clm_settlement *settlement = value;
      if (now_us - settlement->started_us > 2 * clm->params.read_back_wait_us)
        {
          answer_operator (settlement->request_id, ERR_APPEND_UNKNOWN,
                           actions);
          g_hash_table_iter_remove (&iter);
        }
    }
}
