#include "core/confstate_private.h"

static void
add_history (struct cst *cst, uint64_t version, int64_t published_us,
             const char *publisher, GBytes *yaml)
{
  struct cst_version *entry = g_new0 (struct cst_version, 1);
  entry->version = version;
  entry->published_us = published_us;
  entry->publisher = g_strdup (publisher);
  entry->yaml = g_bytes_ref (yaml);
  g_ptr_array_add (cst->history, entry);
  if (cst->history->len > cst->params.history_max)
    {
      g_ptr_array_remove_index (cst->history, 0);
    }
}

/* Puts VERSION in force when it is higher than the version in force.  When
   both are the same but the YAML differs, the log's copy replaces the one from
   a peer.  */
void
cst_apply_version (struct cst *cst, uint64_t version, GBytes *yaml,
                   const char *publisher, int64_t published_us, bool from_log,
                   struct act_list *actions)
{
  bool replaces_copy = from_log && version == cst->version
                       && !g_bytes_equal (yaml, cst->yaml);
  cst->conflicts += replaces_copy ? 1 : 0;
  if (version <= cst->version && !replaces_copy)
    {
      return;
    }
  GBytes *old_yaml = cst->yaml;
  cst->yaml = g_bytes_ref (yaml);
  g_bytes_unref (old_yaml);
  g_free (cst->publisher);
  cst->publisher = g_strdup (publisher);
  cst->published_us = published_us;
  cst->version = version;
  struct act action = { .kind = ACT_APPLY };
  action.apply.version = version;
  action.apply.yaml = g_bytes_ref (yaml);
  act_list_add (actions, &action);
}

static bool
is_withdrawn (const struct cst *cst, const struct rec_configuration *record)
{
  for (guint i = 0; i < cst->withdrawn->len; i++)
    {
      const struct cst_publication_id *id
          = &g_array_index (cst->withdrawn, struct cst_publication_id, i);
      if (id->incarnation == record->incarnation && id->nonce == record->nonce)
        {
          return true;
        }
    }
  return false;
}

/* Applies a publication read from the log.  Of several publications based on
   the current version, only the first valid one in the log is accepted.
   Returns ERR_NONE or the reason for rejecting it.  */
static enum err_kind
apply_publication (struct cst *cst, const struct rec_configuration *record,
                   int64_t time_us, struct act_list *actions)
{
  if (!cst->log_version_known)
    {
      return ERR_NOT_READY;
    }
  if (is_withdrawn (cst, record))
    {
      return ERR_LOG_UNAVAILABLE;
    }
  if (record->base_version != cst->log_version)
    {
      return ERR_CONFIG_STALE_BASE;
    }
  if (!cst_is_valid (cst, record->yaml))
    {
      return ERR_CONFIG_INVALID;
    }
  cst->log_version++;
  add_history (cst, cst->log_version, time_us, record->publisher,
               record->yaml);
  cst_apply_version (cst, cst->log_version, record->yaml, record->publisher,
                     time_us, true, actions);
  return ERR_NONE;
}

/* Applies a checkpoint or a restored configuration read from the log.  It
   counts only at the offset that its writer expected, so that no record
   precedes it that its writer had not read.  Returns ERR_NONE or the reason
   for rejecting it.  */
static enum err_kind
apply_checkpoint (struct cst *cst, const struct rec_configuration *record,
                  uint64_t offset, int64_t time_us, struct act_list *actions)
{
  if (record->after != offset)
    {
      return ERR_CONFIG_STALE_BASE;
    }
  if (cst->log_version_known && record->version != cst->log_version)
    {
      cst->conflicts++;
      return ERR_CONFIG_STALE_BASE;
    }
  if (record->version < cst->log_version || !cst_is_valid (cst, record->yaml))
    {
      return ERR_CONFIG_INVALID;
    }
  int64_t published_us
      = record->published_us > 0 ? record->published_us : time_us;
  cst->checkpoint_us = time_us;
  if (!cst->log_version_known)
    {
      cst->log_version_known = true;
      cst->log_version = record->version;
      add_history (cst, record->version, published_us, record->publisher,
                   record->yaml);
    }
  cst_apply_version (cst, record->version, record->yaml, record->publisher,
                     published_us, true, actions);
  return ERR_NONE;
}

/* Applies a withdrawal read from the log: the publication is ignored if its
   record follows.  If the publication is still pending at this daemon, its
   record doesn't precede the withdrawal, and the publisher is told that it
   failed, or that the result is unknown after a gap.  */
static void
apply_withdrawal (struct cst *cst, const struct rec_configuration *record,
                  struct act_list *actions)
{
  struct cst_publication_id id = { record->incarnation, record->nonce };
  g_array_append_val (cst->withdrawn, id);
  if (cst->withdrawn->len > cst->params.history_max)
    {
      g_array_remove_index (cst->withdrawn, 0);
    }
  struct cst_pending *pending = cst_find_publication (cst, record->nonce);
  if (record->incarnation == cst->params.incarnation && pending != NULL)
    {
      enum err_kind kind
          = pending->may_be_in_gap ? ERR_APPEND_UNKNOWN : ERR_LOG_UNAVAILABLE;
      cst_finish_publication (cst, pending, kind, cst->version, actions);
    }
}

/* Handles a gap: records have expired from the log before this daemon read
   them.  The version is unknown until the next checkpoint.  Records of this
   daemon's pending publications may be among the lost ones.  */
static void
handle_gap (struct cst *cst)
{
  cst->log_version_known = false;
  for (guint i = 0; i < cst->publications->len; i++)
    {
      struct cst_pending *pending = g_ptr_array_index (cst->publications, i);
      pending->may_be_in_gap = true;
    }
}

/* Moves the read position past the record at OFFSET.  Returns false when that
   record has already been read.  A daemon that reads from offset 0 starts with
   the known version 0; any other waits for a checkpoint.  */
static bool
advance_position (struct cst *cst, uint64_t offset, int64_t time_us,
                  int64_t now_us)
{
  if (cst->position_known && offset < cst->next_offset)
    {
      return false;
    }
  if (!cst->position_known && offset == 0)
    {
      cst->log_version_known = true;
      cst->checkpoint_us = time_us;
    }
  if (cst->position_known && offset > cst->next_offset)
    {
      handle_gap (cst);
    }
  if (cst->checkpoint_us == 0)
    {
      cst->checkpoint_us = time_us;
    }
  cst->position_known = true;
  cst->next_offset = offset + 1;
  cst->newest_us = time_us;
  cst->newest_read_us = now_us;
  return true;
}

/* Handles a record of the stream CST_STREAM.  Records come in ascending order
   of OFFSET, possibly with gaps and repetitions.  TIME_US is the time that the
   log gave the record.  */
void
cst_log_record (struct cst *cst, uint64_t offset, int64_t time_us,
                GBytes *bytes, int64_t now_us, struct act_list *actions)
{
  if (!advance_position (cst, offset, time_us, now_us))
    {
      return;
    }
  struct rec_configuration *record = rec_unpack_configuration (bytes);
  if (record == NULL)
    {
      return;
    }
  if (record->withdrawn)
    {
      apply_withdrawal (cst, record, actions);
      rec_configuration_destroy (record);
      return;
    }
  enum err_kind kind
      = record->version > 0
            ? apply_checkpoint (cst, record, offset, time_us, actions)
            : apply_publication (cst, record, time_us, actions);
  struct cst_pending *pending = cst_find_publication (cst, record->nonce);
  if (record->incarnation == cst->params.incarnation && pending != NULL)
    {
      uint64_t version = kind == ERR_NONE ? cst->log_version : cst->version;
      cst_finish_publication (cst, pending, kind, version, actions);
    }
  rec_configuration_destroy (record);
}

/* Handles the end of a read of the stream, after its records were passed to
   cst_log_record.  The log holds the offsets from FIRST up to, but not
   including, NEXT.  NOW_US is when the read began.  */
void
cst_log_position (struct cst *cst, uint64_t first, uint64_t next,
                  int64_t now_us)
{
  if (!cst->position_known)
    {
      cst->position_known = true;
      cst->log_version_known = first == 0;
      cst->next_offset = first;
    }
  if (first > cst->next_offset)
    {
      handle_gap (cst);
      cst->next_offset = first;
    }
  if (cst->next_offset == next)
    {
      cst->caught_up = true;
      cst->caught_up_us = now_us;
    }
}
