#include "core/confstate_private.h"

#define S_US INT64_C (1000000)
#define CHECKPOINTS_PER_RETENTION 4
#define HISTORY_MAX 32 /* versions */

/* The daemon of rank N appends a checkpoint when the checkpoint is overdue by
   N steps, each 1/RANK_STEPS of the checkpoint interval.  Ranks above RANK_MAX
   count as RANK_MAX. */
#define RANK_STEPS 16
#define RANK_MAX 15

/* Returns the default parameters for a log that keeps records for
   RETENTION_US.  The caller sets VALID and USER_DATA.  */
struct cst_params
cst_params_default (uint64_t incarnation, int64_t retention_us)
{
  return (struct cst_params){
    .incarnation = incarnation,
    .checkpoint_interval_us = retention_us / CHECKPOINTS_PER_RETENTION,
    .log_stale_us = 3 * S_US,
    .isolation_limit_us = 10 * S_US,
    .read_back_timeout_us = 2 * S_US,
    .history_max = HISTORY_MAX,
  };
}

static void
destroy_version (gpointer data)
{
  struct cst_version *version = data;
  g_free (version->publisher);
  g_bytes_unref (version->yaml);
  g_free (version);
}

/* Returns a state machine without a configuration.  It gets one from the log
   or from a peer.  Copies PARAMS.  */
struct cst *
cst_create (const struct cst_params *params)
{
  struct cst *cst = g_new0 (struct cst, 1);
  cst->params = *params;
  cst->withdrawn
      = g_array_new (FALSE, FALSE, sizeof (struct cst_publication_id));
  cst->history = g_ptr_array_new_with_free_func (destroy_version);
  cst->publications = g_ptr_array_new_with_free_func (g_free);
  cst->daemons = 1;
  cst->next_token = 1;
  return cst;
}

/* Frees CST; NULL is allowed.  */
void
cst_destroy (struct cst *cst)
{
  if (cst == NULL)
    {
      return;
    }
  g_array_free (cst->withdrawn, TRUE);
  g_ptr_array_free (cst->history, TRUE);
  g_ptr_array_free (cst->publications, TRUE);
  g_bytes_unref (cst->yaml);
  g_free (cst->publisher);
  g_free (cst);
}

/* Returns whether YAML is a valid configuration according to the VALID
   callback.  */
bool
cst_is_valid (const struct cst *cst, GBytes *yaml)
{
  gsize size = 0;
  const char *text = g_bytes_get_data (yaml, &size);
  return text != NULL && cst->params.valid (text, size, cst->params.user_data);
}

/* Returns whether the reader has reached the end of the log recently.  */
bool
cst_log_fresh (const struct cst *cst, int64_t now_us)
{
  return cst->caught_up
         && now_us - cst->caught_up_us <= cst->params.log_stale_us;
}

static void
queue_answer (uint64_t request_id, enum err_kind kind, uint64_t version,
              struct act_list *actions)
{
  struct act action = { .kind = ACT_ANSWER_PUBLISH };
  action.publish = (struct act_answer_publish){ .request_id = request_id,
                                                .kind = kind,
                                                .version = version };
  act_list_add (actions, &action);
}

/* Queues an append of RECORD to the log.  Returns its token.  */
static uint64_t
queue_append (struct cst *cst, const struct rec_configuration *record,
              struct act_list *actions)
{
  struct act action = { .kind = ACT_APPEND };
  action.append.owner = ACT_OWNER_CONFIG;
  g_strlcpy (action.append.stream, CST_STREAM, sizeof action.append.stream);
  action.append.token = cst->next_token++;
  action.append.bytes = rec_pack_configuration (record);
  act_list_add (actions, &action);
  return action.append.token;
}

/* Returns why PUBLICATION can't be appended now, or ERR_NONE.  */
static enum err_kind
check_publication (const struct cst *cst,
                   const struct cst_publication *publication, int64_t now_us)
{
  if (!cst_is_valid (cst, publication->yaml))
    {
      return ERR_CONFIG_INVALID;
    }
  if (!cst_log_fresh (cst, now_us))
    {
      return ERR_LOG_UNAVAILABLE;
    }
  uint64_t newest_version = MAX (cst->version, cst->peer_version);
  if (publication->restore_version > 0)
    {
      return cst->log_version_known
                     || publication->restore_version <= newest_version
                 ? ERR_CONFIG_STALE_BASE
                 : ERR_NONE;
    }
  if (!cst->log_version_known)
    {
      return ERR_NOT_READY;
    }
  return publication->base_version == cst->log_version ? ERR_NONE
                                                       : ERR_CONFIG_STALE_BASE;
}

/* Publishes an operator's configuration.  The action ACT_ANSWER_PUBLISH
   reports the result, at once, when the log rejects the append, when the
   record is read back from the log or when it isn't read back in time:
   ERR_NONE, ERR_CONFIG_INVALID, ERR_CONFIG_STALE_BASE, ERR_LOG_UNAVAILABLE
   (not published and never will be), ERR_NOT_READY (the log's version isn't
   known yet) or ERR_APPEND_UNKNOWN (may or may not be published).  */
void
cst_publish (struct cst *cst, const struct cst_publication *publication,
             int64_t now_us, struct act_list *actions)
{
  enum err_kind kind = check_publication (cst, publication, now_us);
  if (kind != ERR_NONE)
    {
      queue_answer (publication->request_id, kind, cst->version, actions);
      return;
    }
  struct cst_pending *pending = g_new0 (struct cst_pending, 1);
  pending->request_id = publication->request_id;
  pending->nonce = cst->next_token;
  pending->started_us = now_us;
  struct rec_configuration record = {
    .incarnation = cst->params.incarnation,
    .nonce = pending->nonce,
    .base_version = publication->base_version,
    .version = publication->restore_version,
    .publisher = (char *)publication->publisher,
    .yaml = publication->yaml,
    .after = cst->next_offset,
  };
  pending->token = queue_append (cst, &record, actions);
  g_ptr_array_add (cst->publications, pending);
}

/* Returns this daemon's pending publication with NONCE, or NULL.  */
struct cst_pending *
cst_find_publication (const struct cst *cst, uint64_t nonce)
{
  for (guint i = 0; i < cst->publications->len; i++)
    {
      struct cst_pending *pending = g_ptr_array_index (cst->publications, i);
      if (pending->nonce == nonce)
        {
          return pending;
        }
    }
  return NULL;
}

/* Queues the answer to the publisher and frees PENDING.  */
void
cst_finish_publication (struct cst *cst, struct cst_pending *pending,
                        enum err_kind kind, uint64_t version,
                        struct act_list *actions)
{
  queue_answer (pending->request_id, kind, version, actions);
  g_ptr_array_remove (cst->publications, pending);
}

/* Queues the append of a withdrawal, which makes every reader ignore the
   publication PENDING unless the publication's record precedes the withdrawal
   in the log.  */
static void
append_withdrawal (struct cst *cst, struct cst_pending *pending,
                   int64_t now_us, struct act_list *actions)
{
  struct rec_configuration record = { .incarnation = cst->params.incarnation,
                                      .nonce = pending->nonce,
                                      .withdrawn = true };
  pending->withdrawn_us = now_us;
  pending->withdraw_token = queue_append (cst, &record, actions);
}

/* Handles the end of the append that TOKEN identifies.  A publication isn't
   answered here, but when its record is read back from the log, or by cst_tick
   when that takes too long.  */
void
cst_append_done (struct cst *cst, uint64_t token, uint64_t offset,
                 int64_t now_us, struct act_list *actions)
{
  (void)offset;
  (void)now_us;
  (void)actions;
  if (token == cst->checkpoint_token)
    {
      cst->checkpoint_token = 0;
    }
}

/* Handles the rejection by the log of the append that TOKEN identifies: its
   record is certainly not in the log.  */
void
cst_append_refused (struct cst *cst, uint64_t token, int64_t now_us,
                    struct act_list *actions)
{
  cst_append_done (cst, token, 0, now_us, actions);
  for (guint i = 0; i < cst->publications->len; i++)
    {
      struct cst_pending *pending = g_ptr_array_index (cst->publications, i);
      if (pending->token == token)
        {
          cst_finish_publication (cst, pending, ERR_LOG_UNAVAILABLE,
                                  cst->version, actions);
          return;
        }
    }
}

/* Handles the append that TOKEN identifies, whose result is unknown.  A
   publication is answered when its record is read back from the log; if that
   takes longer than read_back_timeout_us, cst_tick withdraws the
   publication.  */
void
cst_append_unknown (struct cst *cst, uint64_t token, int64_t now_us,
                    struct act_list *actions)
{
  cst_append_done (cst, token, 0, now_us, actions);
}

/* Returns whether this daemon has to append a checkpoint now.  Daemons of a
   higher rank wait longer, so that usually only one of them appends it.  The
   current log time is extrapolated from that of the newest record.  */
static bool
checkpoint_is_due (const struct cst *cst, int64_t now_us)
{
  int64_t step_us = cst->params.checkpoint_interval_us / RANK_STEPS;
  int64_t log_now_us = cst->newest_us + (now_us - cst->newest_read_us);
  int64_t due_us = cst->checkpoint_us + cst->params.checkpoint_interval_us
                   + step_us * MIN (cst->rank, RANK_MAX);
  return cst->log_version_known && cst->log_version > 0
         && cst->log_version == cst->version && cst_log_fresh (cst, now_us)
         && log_now_us >= due_us && cst->checkpoint_token == 0
         && now_us - cst->checkpoint_started_us
                >= cst->params.read_back_timeout_us;
}

/* Queues the append of a checkpoint: a copy of the current version, which the
   log still holds after the original record's retention has ended.  Readers
   accept it only at the offset NEXT_OFFSET, so that no record precedes it that
   this daemon has not read.  */
static void
append_checkpoint (struct cst *cst, int64_t now_us, struct act_list *actions)
{
  struct rec_configuration record = { .incarnation = cst->params.incarnation,
                                      .nonce = cst->next_token,
                                      .version = cst->version,
                                      .publisher = cst->publisher,
                                      .yaml = cst->yaml,
                                      .published_us = cst->published_us,
                                      .after = cst->next_offset };
  cst->checkpoint_started_us = now_us;
  cst->checkpoint_token = queue_append (cst, &record, actions);
}

/* Withdraws or gives up publications that weren't read back in time, and
   appends a checkpoint when one is due.  To be called every few tens of
   milliseconds.  */
void
cst_tick (struct cst *cst, int64_t now_us, struct act_list *actions)
{
  for (guint i = cst->publications->len; i > 0; i--)
    {
      struct cst_pending *pending
          = g_ptr_array_index (cst->publications, i - 1);
      if (pending->withdraw_token == 0)
        {
          if (now_us - pending->started_us > cst->params.read_back_timeout_us)
            {
              append_withdrawal (cst, pending, now_us, actions);
            }
        }
      else if (now_us - pending->withdrawn_us
               > cst->params.read_back_timeout_us)
        {
          cst_finish_publication (cst, pending, ERR_APPEND_UNKNOWN,
                                  cst->version, actions);
        }
    }
  if (checkpoint_is_due (cst, now_us))
    {
      append_checkpoint (cst, now_us, actions);
    }
}

/* Sets the number of live daemons, this one included, and this daemon's rank
   among them, which decides when it appends a checkpoint.  */
void
cst_set_daemons (struct cst *cst, uint32_t daemons, uint32_t rank)
{
  cst->daemons = MAX (daemons, 1);
  cst->rank = rank;
}

/* Handles a message of a peer that has VERSION in force.  */
void
cst_peer_version (struct cst *cst, uint64_t version, int64_t now_us)
{
  cst->peer_heard = true;
  cst->peer_heard_us = now_us;
  if (version > cst->peer_version)
    {
      if (cst->peer_version <= cst->version)
        {
          cst->behind_us = now_us;
        }
      cst->peer_version = version;
    }
}

/* Handles a peer's configuration.  It is applied when it is valid and its
   version is higher, unless this daemon can read the log, which takes
   precedence over peers.  */
void
cst_peer_config (struct cst *cst, uint64_t version, GBytes *yaml,
                 int64_t now_us, struct act_list *actions)
{
  cst_peer_version (cst, version, now_us);
  bool reads_log = cst->log_version_known && cst_log_fresh (cst, now_us);
  if (version > cst->version && !reads_log && cst_is_valid (cst, yaml))
    {
      cst_apply_version (cst, version, yaml, "", 0, false, actions);
    }
}

/* Returns the version to request from peers, or 0 when none has a higher one
   than this daemon.  */
uint64_t
cst_wanted_version (const struct cst *cst)
{
  return cst->peer_version > cst->version ? cst->peer_version : 0;
}

/* Returns whether this daemon may serve requests with its configuration.  It
   needs one, and one of these: it has read to the end of the log within the
   isolation limit; or it has heard a peer within the limit, and no peer has
   had a higher version for longer than the limit; or it has never had a peer
   and is the only daemon.  A daemon that has had peers isn't exempt when its
   membership declares all of them dead: it may be partitioned.  */
bool
cst_serving_allowed (const struct cst *cst, int64_t now_us)
{
  if (cst->version == 0)
    {
      return false;
    }
  int64_t limit_us = cst->params.isolation_limit_us;
  bool log_reachable
      = cst->caught_up && now_us - cst->caught_up_us <= limit_us;
  bool peers_reachable
      = cst->peer_heard && now_us - cst->peer_heard_us <= limit_us;
  bool behind
      = cst->peer_version > cst->version && now_us - cst->behind_us > limit_us;
  bool single_daemon = !cst->peer_heard && cst->daemons <= 1;
  return log_reachable || (peers_reachable && !behind) || single_daemon;
}

/* Returns the version in force, or 0 when there is none.  */
uint64_t
cst_current_version (const struct cst *cst)
{
  return cst->version;
}

/* Returns the configuration in force, owned by CST, or NULL when there is
   none.  */
GBytes *
cst_current_yaml (const struct cst *cst)
{
  return cst->yaml;
}

/* Returns the number of versions in the history.  */
uint32_t
cst_history_length (const struct cst *cst)
{
  return cst->history->len;
}

/* Returns version INDEX of the history, owned by CST; 0 is the newest.  */
const struct cst_version *
cst_history_get (const struct cst *cst, uint32_t index)
{
  return g_ptr_array_index (cst->history, cst->history->len - 1 - index);
}

/* Returns how often the configuration in the log differed from a peer's copy
   or from a checkpoint.  */
uint32_t
cst_conflict_count (const struct cst *cst)
{
  return cst->conflicts;
}
