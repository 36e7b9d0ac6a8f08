/* Claims: appending entries to the log, within this daemon's share of the
   log's rate, and following each append until its record is read back. */
#include "core/claims_private.h"

/* Maximum burst: an idle daemon may send this many appends at once before its
   rate limit applies. */
#define BURST_APPENDS 4
/* Pause of a daemon's appends after the log refused one. */
#define REFUSED_BACKOFF_US INT64_C (500000)
/* Daemons refresh another holder's key in order of rank, one step apart; a
   step is this fraction of key_retention_us. */
#define REFRESH_STEPS 64
/* Higher ranks share the last turn, which comes at 3/4 of key_retention_us. */
#define REFRESH_RANKS_MAX 15
/* Number of no-ops that an idle stream gets in key_retention_us. */
#define NOOPS_PER_RETENTION 16
#define SWEEP_INTERVAL_MIN_US INT64_C (1000000)

/* Frees APPEND and the entries that it still owns.  */
void
clm_pending_append_destroy (struct clm_pending_append *append)
{
  if (append->entries != NULL)
    {
      g_ptr_array_free (append->entries, TRUE);
    }
  g_free (append);
}

/* Queues an entry of KIND for the claim of IDENTITY.  It is queued again until
   it has been read back.  */
void
clm_queue_durable (struct clm *clm, const struct rec_entry *identity,
                   enum rec_kind kind, uint32_t partition)
{
  struct rec_entry *entry = rec_entry_copy (identity);
  entry->kind = kind;
  bat_add_durable (clm->partitions[partition].queue, entry);
}

static bool
may_append (const struct clm *clm, int64_t now_us)
{
  int64_t burst_us = (BURST_APPENDS - 1) * clm->append_interval_us;
  return clm->in_flight_appends < clm->params.appends_in_flight
         && now_us >= clm->backoff_until_us
         && now_us + burst_us >= clm->next_append_us;
}

/* Moves the claims among ENTRIES to the phase CLM_APPENDING.  */
static void
mark_appending (struct clm *clm, const GPtrArray *entries, int64_t now_us)
{
  for (guint i = 0; i < entries->len; i++)
    {
      const struct rec_entry *entry = g_ptr_array_index (entries, i);
      struct clm_claim *claim
          = g_hash_table_lookup (clm->by_nonce, &entry->nonce);
      if (entry->kind == REC_CLAIM && claim != NULL)
        {
          clm_set_phase (claim, CLM_APPENDING, now_us);
        }
    }
}

/* Removes the claims from ENTRIES that have waited for longer than
   queue_wait_us, for instance because this daemon was paused.  Their callers
   may have repeated the call at another daemon and been told that the key was
   not run.  */
static void
drop_expired_claims (struct clm *clm, GPtrArray *entries, int64_t now_us)
{
  for (guint i = entries->len; i > 0; i--)
    {
      const struct rec_entry *entry = g_ptr_array_index (entries, i - 1);
      struct clm_claim *claim
          = g_hash_table_lookup (clm->by_nonce, &entry->nonce);
      if (entry->kind == REC_CLAIM && claim != NULL
          && now_us - claim->queued_us > clm->params.queue_wait_us)
        {
          clm_set_phase (claim, CLM_REFUSED, now_us);
          g_ptr_array_remove_index (entries, i - 1);
        }
    }
}

/* Takes over ENTRIES and appends them as one record.  */
static void
append_batch (struct clm *clm, uint32_t index, GPtrArray *entries,
              int64_t now_us, struct act_list *actions)
{
  struct clm_pending_append *append = g_new0 (struct clm_pending_append, 1);
  append->sequence = clm->next_sequence++;
  append->partition = index;
  append->entries = entries;
  g_hash_table_insert (clm->pending_appends, &append->sequence, append);
  clm->in_flight_appends++;
  clm->appends++;
  clm->next_append_us
      = MAX (clm->next_append_us, now_us) + clm->append_interval_us;
  mark_appending (clm, entries, now_us);

  struct act action = { .kind = ACT_APPEND };
  action.append.owner = ACT_OWNER_CLAIMS;
  g_strlcpy (action.append.stream, clm->partitions[index].stream,
             sizeof action.append.stream);
  action.append.token = append->sequence;
  action.append.bytes
      = rec_pack_batch (clm->params.incarnation, append->sequence, entries);
  act_list_add (actions, &action);
}

/* Appends waiting entries, as far as this daemon's rate and the limit of
   appends in flight allow.  */
void
clm_flush (struct clm *clm, int64_t now_us, struct act_list *actions)
{
  for (uint32_t i = 0; i < CLM_PARTITIONS; i++)
    {
      struct bat_queue *queue = clm->partitions[i].queue;
      while (bat_length (queue) > 0 && may_append (clm, now_us))
        {
          GPtrArray *entries = bat_take (queue, clm->params.batch_entries,
                                         clm->params.batch_bytes);
          drop_expired_claims (clm, entries, now_us);
          if (entries->len > 0)
            {
              append_batch (clm, i, entries, now_us, actions);
            }
          else
            {
              g_ptr_array_free (entries, TRUE);
            }
        }
    }
}

/* Takes APPEND off the count of appends in flight, if it is one of them.  */
static void
leave_in_flight (struct clm *clm, struct clm_pending_append *append)
{
  if (append->state == CLM_APPEND_IN_FLIGHT)
    {
      clm->in_flight_appends--;
    }
}

/* Queues the releases, outcomes, unknowns and settlements of APPEND again.
   Claims are not retried here; refreshes and no-ops are generated anew when
   they are due.  */
static void
requeue_entries (struct clm *clm, const struct clm_pending_append *append)
{
  for (guint i = 0; i < append->entries->len; i++)
    {
      const struct rec_entry *entry = g_ptr_array_index (append->entries, i);
      if (entry->kind != REC_CLAIM && entry->kind != REC_NOOP
          && entry->kind != REC_REFRESH)
        {
          clm_queue_durable (clm, entry, entry->kind, append->partition);
        }
    }
}

/* Handles the log's answer that the append TOKEN is in the log at OFFSET.  Its
   claims still wait until they are read back.  */
void
clm_append_done (struct clm *clm, uint64_t token, uint64_t offset,
                 int64_t now_us, struct act_list *actions)
{
  struct clm_pending_append *append
      = g_hash_table_lookup (clm->pending_appends, &token);
  if (append != NULL && append->state == CLM_APPEND_IN_FLIGHT)
    {
      leave_in_flight (clm, append);
      append->state = CLM_APPEND_ACKNOWLEDGED;
      append->offset = offset;
    }
  clm_flush (clm, now_us, actions);
}

/* Handles the log's refusal of the append TOKEN, which certainly is not in the
   log.  */
void
clm_append_refused (struct clm *clm, uint64_t token, int64_t now_us,
                    struct act_list *actions)
{
  struct clm_pending_append *append
      = g_hash_table_lookup (clm->pending_appends, &token);
  if (append == NULL || append->state != CLM_APPEND_IN_FLIGHT)
    {
      return;
    }
  clm->backoff_until_us = now_us + REFUSED_BACKOFF_US;
  for (guint i = 0; i < append->entries->len; i++)
    {
      const struct rec_entry *entry = g_ptr_array_index (append->entries, i);
      struct clm_claim *claim
          = g_hash_table_lookup (clm->by_nonce, &entry->nonce);
      if (entry->kind != REC_CLAIM || claim == NULL)
        {
          continue;
        }
      if (claim->phase == CLM_APPENDING)
        {
          clm_set_phase (claim, CLM_REFUSED, now_us);
          clm_finish_refused (clm, claim, now_us, actions);
        }
    }
  requeue_entries (clm, append);
  leave_in_flight (clm, append);
  g_hash_table_remove (clm->pending_appends, &token);
}

/* Handles the loss of the answer to the append TOKEN.  Reading the stream
   shows whether the record is there; a claim that is not read back within
   read_back_wait_us is released.  */
void
clm_append_unknown (struct clm *clm, uint64_t token, int64_t now_us,
                    struct act_list *actions)
{
  struct clm_pending_append *append
      = g_hash_table_lookup (clm->pending_appends, &token);
  if (append != NULL && append->state == CLM_APPEND_IN_FLIGHT)
    {
      leave_in_flight (clm, append);
      append->state = CLM_APPEND_UNANSWERED;
      append->unanswered_since_us = now_us;
    }
  clm_flush (clm, now_us, actions);
}

/* Handles that this daemon's record SEQUENCE was read back.  */
void
clm_append_read (struct clm *clm, uint64_t sequence)
{
  struct clm_pending_append *append
      = g_hash_table_lookup (clm->pending_appends, &sequence);
  if (append != NULL)
    {
      leave_in_flight (clm, append);
      g_hash_table_remove (clm->pending_appends, &sequence);
    }
}

/* Handles that the log deleted unread records below OFFSET.  Entries that this
   daemon appended there are queued again once read_back_wait_us has passed,
   since other readers may have missed them as well.  */
void
clm_appends_skipped (struct clm *clm, uint32_t partition, uint64_t offset,
                     int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, clm->pending_appends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct clm_pending_append *append = value;
      if (append->partition == partition
          && append->state == CLM_APPEND_ACKNOWLEDGED
          && append->offset < offset)
        {
          append->state = CLM_APPEND_UNANSWERED;
          append->unanswered_since_us = now_us;
        }
    }
}

/* Queues the entries of unanswered appends again that were not read back in
   time.  Applying an entry a second time has no effect.  */
void
clm_expire_appends (struct clm *clm, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, clm->pending_appends);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct clm_pending_append *append = value;
      if (append->state == CLM_APPEND_UNANSWERED
          && now_us - append->unanswered_since_us
                 > clm->params.read_back_wait_us)
        {
          requeue_entries (clm, append);
          g_hash_table_iter_remove (&iter);
        }
    }
}

struct refresh_context
{
  const struct clm *clm;
  int64_t log_now_us;
  int64_t step_us;    /* between the turns of two ranks */
  GPtrArray *entries; /* struct rec_entry */
};

/* Returns the additional delay of this daemon's rank.  With it a single daemon
   refreshes a key whose holder is dead.  */
static int64_t
rank_delay_us (const struct clm *clm, int64_t step_us)
{
  return step_us * MIN (clm->rank, REFRESH_RANKS_MAX);
}

/* Adds a refresh of STATE to the entries of USER_DATA when its key is open and
   it is this daemon's turn.  The holder comes first.  */
static void
collect_due_key (const struct key_state *state, void *user_data)
{
  struct refresh_context *context = user_data;
  const struct clm *clm = context->clm;
  int64_t due_us = clm->params.key_retention_us / 2;
  if (state->incarnation != clm->params.incarnation)
    {
      due_us += context->step_us + rank_delay_us (clm, context->step_us);
    }
  if (!key_state_open (state)
      || context->log_now_us - state->refreshed_us < due_us)
    {
      return;
    }
  struct rec_entry *entry
      = rec_entry_create (REC_REFRESH, state->account, state->key);
  entry->body_hash = state->body_hash;
  entry->generation = state->generation;
  entry->incarnation = state->incarnation;
  entry->nonce = state->nonce;
  entry->state = state->state;
  entry->claimed_us = state->claimed_us;
  g_ptr_array_add (context->entries, entry);
}

/* Returns whether it is this daemon's turn to append a no-op to an idle
   stream.  Without records a reader that starts later could not show that it
   has read the last key_retention_us.  */
static bool
noop_due (const struct clm *clm, const struct clm_partition *partition,
          int64_t step_us, int64_t now_us)
{
  if (!partition->has_records)
    {
      return clm->rank == 0;
    }
  return clm_log_now (partition, now_us) - partition->latest_us
         >= clm->params.key_retention_us / NOOPS_PER_RETENTION
                + rank_delay_us (clm, step_us / 2);
}

/* Queues the open keys of a partition to be appended again before the log
   deletes their records, and a no-op when one is due.  Also sweeps the table
   of keys.  */
void
clm_refresh_keys (struct clm *clm, uint32_t index, int64_t now_us)
{
  struct clm_partition *partition = &clm->partitions[index];
  if (now_us < partition->next_sweep_us
      || !clm_reader_fresh (clm, partition, now_us)
      || bat_length (partition->queue) > 0)
    {
      return;
    }
  int64_t step_us = clm->params.key_retention_us / REFRESH_STEPS;
  partition->next_sweep_us = now_us + MAX (step_us / 2, SWEEP_INTERVAL_MIN_US);
  key_table_sweep (partition->table, partition->latest_us);
  struct refresh_context context
      = { .clm = clm,
          .log_now_us = clm_log_now (partition, now_us),
          .step_us = step_us };
  context.entries = g_ptr_array_new ();
  key_table_foreach (partition->table, collect_due_key, &context);
  if (noop_due (clm, partition, step_us, now_us))
    {
      g_ptr_array_add (context.entries, rec_entry_create (REC_NOOP, "", ""));
    }
  for (guint i = 0; i < context.entries->len; i++)
    {
      bat_add_durable (partition->queue,
                       g_ptr_array_index (context.entries, i));
    }
  g_ptr_array_free (context.entries, TRUE);
}
