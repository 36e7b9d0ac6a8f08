#include "core/lease.h"

#include "core/record.h"

#define S_US INT64_C (1000000)

/* A reader that has read for this many lease durations without a gap knows
   every lease that may still be in force. */
#define HISTORY_DURATIONS 3

struct lse
{
  struct lse_params params;
  char *name;
  uint32_t rank;
  bool candidate; /* this daemon wants the lease */

  /* State of the stream, as far as it was read.  */
  bool started;             /* a record or a position has been read */
  bool has_full_history;    /* read from the very first record on */
  bool has_records;         /* at least one was read since the last gap */
  uint64_t next_offset;     /* of the next record to read */
  int64_t gapless_log_us;   /* log time of the first record after the gap */
  int64_t gapless_since_us; /* monotonic; when reading without a gap began */
  int64_t latest_us;        /* log time of the newest record */
  int64_t latest_read_us;   /* monotonic; when the newest record was read */
  bool has_caught_up;       /* the reader has reached the end of the stream */
  int64_t caught_up_us;     /* monotonic; when it was last there */
  bool live;                /* a lease was acquired and not released; it may
                               have expired */
  bool fence_known;
  uint64_t fence;        /* fencing token: the offset of the acquisition */
  uint64_t incarnation;  /* of the holder */
  char *holder;          /* its name */
  int64_t expires_us;    /* log time */
  int64_t free_since_us; /* monotonic; when this daemon first saw the lease
                            free; 0: it is not */

  /* State of this daemon as a holder or candidate.  */
  bool acquired; /* it acquired the lease with full knowledge of the stream,
                    and holds it since */
  uint64_t next_token;
  uint64_t pending_token; /* of the append in progress; 0: none */
  int64_t sent_us;        /* monotonic; when that append was sent */
  int64_t retry_at_us;    /* monotonic; no append before */
  int64_t valid_until_us; /* monotonic; the lease must not be used after */
};

/* Returns the default parameters for the daemon NAME.  INCARNATION has to
   differ for every start of every daemon and must not be 0.  */
struct lse_params
lse_params_default (uint64_t incarnation, const char *name)
{
  return (struct lse_params){
    .incarnation = incarnation,
    .name = name,
    .duration_us = 15 * S_US,
    .renew_interval_us = 5 * S_US,
    .safety_margin_us = 4 * S_US,
    .rank_step_us = S_US / 2,
    .retry_interval_us = S_US,
  };
}

/* Creates the state machine of one daemon, which is a candidate.  */
struct lse *
lse_create (const struct lse_params *params)
{
  struct lse *lse = g_new0 (struct lse, 1);
  lse->params = *params;
  lse->name = g_strdup (params->name);
  lse->params.name = lse->name;
  lse->candidate = true;
  lse->next_token = 1;
  return lse;
}

/* Frees LSE; NULL is allowed.  */
void
lse_destroy (struct lse *lse)
{
  if (lse == NULL)
    {
      return;
    }
  g_free (lse->name);
  g_free (lse->holder);
  g_free (lse);
}

/* Sets this daemon's rank among the live ones, counted from 0.  Daemons of a
   lower rank acquire a free lease earlier.  */
void
lse_set_rank (struct lse *lse, uint32_t rank)
{
  lse->rank = rank;
}

/* Sets whether this daemon wants the lease.  Has to be false while the daemon
   is stopping or not ready; a holder then releases the lease.  */
void
lse_set_candidate (struct lse *lse, bool willing)
{
  lse->candidate = willing;
}

/* Returns an estimate of the current log time.  */
static int64_t
log_now_us (const struct lse *lse, int64_t now_us)
{
  return lse->latest_us + (now_us - lse->latest_read_us);
}

/* Returns whether this reader has read enough of the stream to know the same
   lease as every other reader.  */
static bool
history_complete (const struct lse *lse, int64_t now_us)
{
  int64_t bound_us = HISTORY_DURATIONS * lse->params.duration_us;
  return lse->has_full_history || now_us - lse->gapless_since_us > bound_us
         || (lse->has_records
             && log_now_us (lse, now_us) - lse->gapless_log_us > bound_us);
}

static void
set_holder (struct lse *lse, const struct rec_lease *record, uint64_t fence,
            int64_t time_us)
{
  lse->live = true;
  lse->fence_known = true;
  lse->fence = fence;
  lse->incarnation = record->incarnation;
  lse->expires_us = time_us + record->duration_us;
  g_free (lse->holder);
  lse->holder = g_strdup (record->holder);
}

/* Returns whether RECORD, a renewal, proves that the lease known here is not
   the one in force.  Only a reader that started late can be wrong about the
   lease: it may have missed the acquisition, or may have accepted a later one
   that had no effect.  The writer of RECORD had read that later acquisition,
   and rejected it.  */
static bool
supersedes (const struct lse *lse, const struct rec_lease *record)
{
  return !lse->fence_known || record->fence > lse->fence
         || record->after > lse->fence;
}

/* Applies RECORD and returns whether it takes effect.  An acquisition does if
   no lease is in force at the log time of the record, a renewal as long as no
   other daemon has acquired the lease, a release if its lease is the current
   one.  */
static bool
apply_record (struct lse *lse, const struct rec_lease *record, uint64_t offset,
              int64_t time_us)
{
  bool current = lse->live && record->fence == lse->fence;
  switch (record->operation)
    {
    case REC_LEASE_ACQUIRE:
      if (lse->live && time_us <= lse->expires_us)
        {
          return false;
        }
      set_holder (lse, record, offset, time_us);
      return true;
    case REC_LEASE_RENEW:
      if (!current && !supersedes (lse, record))
        {
          return false;
        }
      set_holder (lse, record, record->fence, time_us);
      return true;
    case REC_LEASE_RELEASE:
      lse->live = lse->live && !current;
      return current;
    }
  return false;
}

/* Discards the state that was read before a gap, in which a lease may have
   been acquired.  */
static void
reset_state (struct lse *lse, bool has_full_history, int64_t now_us)
{
  lse->has_full_history = has_full_history;
  lse->has_records = false;
  lse->gapless_since_us = now_us;
  lse->live = false;
  lse->fence_known = false;
  lse->acquired = false;
  lse->pending_token = 0;
}

/* Updates the read position for the record at OFFSET.  Returns false when the
   record was read before.  */
static bool
accept_record (struct lse *lse, uint64_t offset, int64_t time_us,
               int64_t now_us)
{
  if (lse->started && offset < lse->next_offset)
    {
      return false;
    }
  if (!lse->started || offset > lse->next_offset)
    {
      reset_state (lse, offset == 0 && !lse->started, now_us);
    }
  if (!lse->has_records)
    {
      lse->gapless_log_us = time_us;
    }
  lse->started = true;
  lse->has_records = true;
  lse->next_offset = offset + 1;
  lse->latest_us = time_us;
  lse->latest_read_us = now_us;
  return true;
}

/* Handles that the latest append of this daemon was read back.  Its duration
   counts from the send, which came before the record's log time, so that this
   daemon stops before the lease expires at the other readers.  */
static void
handle_own_record (struct lse *lse, const struct rec_lease *record,
                   bool in_force)
{
  lse->pending_token = 0;
  if (!in_force || record->operation == REC_LEASE_RELEASE)
    {
      return;
    }
  lse->acquired = lse->acquired || record->operation == REC_LEASE_ACQUIRE;
  lse->valid_until_us = lse->sent_us + record->duration_us;
}

/* Applies the record BYTES of the stream `lease'.  Records have to be passed
   in the order of their offsets; one that was passed before or is malformed is
   ignored.  TIME_US is the log time of the record.  */
void
lse_log_record (struct lse *lse, uint64_t offset, int64_t time_us,
                GBytes *bytes, int64_t now_us)
{
  if (!accept_record (lse, offset, time_us, now_us))
    {
      return;
    }
  struct rec_lease *record = rec_unpack_lease (bytes);
  if (record == NULL)
    {
      return;
    }
  bool in_force = apply_record (lse, record, offset, time_us);
  lse->free_since_us = 0;
  if (record->incarnation == lse->params.incarnation
      && record->nonce == lse->pending_token)
    {
      handle_own_record (lse, record, in_force);
    }
  if (lse->incarnation != lse->params.incarnation || !lse->live)
    {
      lse->acquired = false;
    }
  rec_lease_destroy (record);
}

/* Sets the bounds of the stream after each successful read, once the records
   of that read have been passed to lse_log_record (): FIRST is the oldest
   offset that the log still has, NEXT the offset of the next append.  */
void
lse_log_position (struct lse *lse, uint64_t first, uint64_t next,
                  int64_t now_us)
{
  if (!lse->started)
    {
      reset_state (lse, first == 0, now_us);
      lse->started = true;
      lse->next_offset = first;
    }
  if (first > lse->next_offset)
    {
      reset_state (lse, false, now_us);
      lse->next_offset = first;
    }
  if (lse->next_offset == next)
    {
      lse->has_caught_up = true;
      lse->caught_up_us = now_us;
    }
}

/* Handles the log's answer that the append TOKEN is in the log.  Does nothing:
   the append takes effect when it is read back.  */
void
lse_append_done (struct lse *lse, uint64_t token, uint64_t offset,
                 int64_t now_us)
{
  (void)lse;
  (void)token;
  (void)offset;
  (void)now_us;
}

/* Handles the log's refusal of the append TOKEN.  */
void
lse_append_refused (struct lse *lse, uint64_t token, int64_t now_us)
{
  if (token == lse->pending_token)
    {
      lse->pending_token = 0;
      lse->retry_at_us = now_us + lse->params.retry_interval_us;
    }
}

/* Handles the loss of the answer to the append TOKEN, which takes effect if it
   is read back.  */
void
lse_append_lost (struct lse *lse, uint64_t token, int64_t now_us)
{
  if (token == lse->pending_token)
    {
      lse->retry_at_us = now_us + lse->params.retry_interval_us;
    }
}

/* Returns whether this daemon may give an order now, and stores the fencing
   token for it in FENCE.  Has to be called just before each order.  */
bool
lse_held (const struct lse *lse, int64_t now_us, uint64_t *fence)
{
  *fence = lse->fence;
  return lse->acquired
         && now_us + lse->params.safety_margin_us < lse->valid_until_us;
}

static void
append_record (struct lse *lse, enum rec_lease_operation operation,
               int64_t now_us, struct act_list *actions)
{
  struct rec_lease record = { .incarnation = lse->params.incarnation,
                              .nonce = lse->next_token,
                              .fence = lse->fence,
                              .after = lse->next_offset,
                              .holder = lse->name,
                              .duration_us = lse->params.duration_us,
                              .operation = operation };
  lse->pending_token = lse->next_token++;
  lse->sent_us = now_us;
  lse->retry_at_us = now_us + lse->params.renew_interval_us;
  struct act action = { .kind = ACT_APPEND };
  action.append.owner = ACT_OWNER_LEASE;
  g_strlcpy (action.append.stream, LSE_STREAM, sizeof action.append.stream);
  action.append.token = lse->pending_token;
  action.append.bytes = rec_pack_lease (&record);
  act_list_add (actions, &action);
}

/* Returns whether the lease is free and it is this daemon's turn to acquire
   it.  */
static bool
may_acquire (struct lse *lse, int64_t now_us)
{
  bool fresh = lse->has_caught_up
               && now_us - lse->caught_up_us <= lse->params.safety_margin_us;
  bool lease_free = !lse->live || log_now_us (lse, now_us) > lse->expires_us;
  if (!fresh || !lease_free || !history_complete (lse, now_us))
    {
      lse->free_since_us = 0;
      return false;
    }
  if (lse->free_since_us == 0)
    {
      lse->free_since_us = now_us;
    }
  return now_us - lse->free_since_us >= lse->rank * lse->params.rank_step_us;
}

/* Acquires, renews or releases the lease when that is due.  Has to be called
   every few hundredths of a second.  */
void
lse_tick (struct lse *lse, int64_t now_us, struct act_list *actions)
{
  if (now_us < lse->retry_at_us)
    {
      return;
    }
  if (lse->acquired && !lse->candidate)
    {
      lse->valid_until_us = 0;
      append_record (lse, REC_LEASE_RELEASE, now_us, actions);
    }
  else if (lse->acquired)
    {
      append_record (lse, REC_LEASE_RENEW, now_us, actions);
    }
  else if (lse->candidate && may_acquire (lse, now_us))
    {
      append_record (lse, REC_LEASE_ACQUIRE, now_us, actions);
    }
}

/* Returns the name of the holder, or NULL when the lease is free.  The result
   is valid until the next event is passed to LSE.  */
const char *
lse_holder (const struct lse *lse, int64_t now_us)
{
  bool live = lse->live && log_now_us (lse, now_us) <= lse->expires_us;
  return live ? lse->holder : NULL;
}
