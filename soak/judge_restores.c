/* The rules on a store that is restored from an older copy: a daemon that
   knew what the store has lost keeps to it, and one that didn't know learns of
   it from another daemon that did, if one was in reach. */
#include "soak/judge_private.h"

enum store_event
{
  STORE_RESTORED,
  STORE_WRITTEN_AGAIN,
  STORE_CHANGED,
};

/* Something that happened to the configurations in the store. */
struct event
{
  int64_t at_us;
  enum store_event kind;
  guint index; /* of the restore or the change */
};

/* A configuration in the store. */
struct stored
{
  int change; /* index */
  int64_t at_us;
};

/* What the newest configuration in the store is, from a time on. */
struct state
{
  int64_t from_us;
  int change;    /* index; -1: there is no configuration */
  bool restored; /* by a restore, whose index is the next field */
  guint restore;
};

static gint
compare_events (gconstpointer a, gconstpointer b)
{
  const struct event *left = a;
  const struct event *right = b;
  return left->at_us != right->at_us
             ? (left->at_us > right->at_us) - (left->at_us < right->at_us)
             : (gint)left->kind - (gint)right->kind;
}

/* Returns what happened to the configurations in the store, in order of time;
   the caller frees the array.  */
static GArray *
list_events (const struct srd_record *record)
{
  GArray *events = g_array_new (FALSE, FALSE, sizeof (struct event));
  for (guint i = 0; i < record->restores->len; i++)
    {
      const struct srd_restore *restore
          = &g_array_index (record->restores, struct srd_restore, i);
      const struct event restored
          = { .at_us = restore->at_us, .kind = STORE_RESTORED, .index = i };
      const struct event written = { .at_us = restore->written_us,
                                     .kind = STORE_WRITTEN_AGAIN,
                                     .index = i };
      g_array_append_val (events, restored);
      g_array_append_val (events, written);
    }
  for (guint i = 0; i < record->changes->len; i++)
    {
      const struct event changed = {
        .at_us
        = g_array_index (record->changes, struct srd_change, i).acked_us,
        .kind = STORE_CHANGED,
        .index = i,
      };
      g_array_append_val (events, changed);
    }
  g_array_sort (events, compare_events);
  return events;
}

/* Moves the configurations in STORED that were written after COPIED_US to
   LOST.  */
static void
lose (GArray *stored, GArray *lost, int64_t copied_us)
{
  guint kept = 0;
  while (kept < stored->len
         && g_array_index (stored, struct stored, kept).at_us <= copied_us)
    {
      kept++;
    }
  g_array_append_vals (lost, &g_array_index (stored, struct stored, kept),
                       stored->len - kept);
  g_array_set_size (stored, kept);
}

/* Writes the newest configuration in LOST to STORED again at NOW_US, unless
   that has one that was written later.  */
static void
write_again (GArray *stored, GArray *lost, int64_t now_us)
{
  if (lost->len > 0)
    {
      struct stored newest
          = g_array_index (lost, struct stored, lost->len - 1);
      bool outdated
          = stored->len > 0
            && g_array_index (stored, struct stored, stored->len - 1).at_us
                   > newest.at_us;
      newest.at_us = now_us;
      if (!outdated)
        {
          g_array_append_val (stored, newest);
        }
    }
  g_array_set_size (lost, 0);
}

/* Returns which configuration was the newest in the store of RECORD at each
   time, struct state in order of time; the caller frees the array.  */
GArray *
sjd_store_states (const struct srd_record *record)
{
  GArray *states = g_array_new (FALSE, FALSE, sizeof (struct state));
  GArray *events = list_events (record);
  GArray *stored = g_array_new (FALSE, FALSE, sizeof (struct stored));
  GArray *lost = g_array_new (FALSE, FALSE, sizeof (struct stored));
  for (guint i = 0; i < events->len; i++)
    {
      const struct event *event = &g_array_index (events, struct event, i);
      const struct stored changed
          = { .change = (int)event->index, .at_us = event->at_us };
      switch (event->kind)
        {
        case STORE_RESTORED:
          lose (stored, lost,
                g_array_index (record->restores, struct srd_restore,
                               event->index)
                    .copied_us);
          break;
        case STORE_WRITTEN_AGAIN:
          write_again (stored, lost, event->at_us);
          break;
        case STORE_CHANGED:
          g_array_append_val (stored, changed);
          break;
        }
      const struct state state = {
        .from_us = event->at_us,
        .change
        = stored->len == 0
              ? -1
              : g_array_index (stored, struct stored, stored->len - 1).change,
        .restored = event->kind == STORE_RESTORED,
        .restore = event->index,
      };
      g_array_append_val (states, state);
    }
  g_array_free (events, TRUE);
  g_array_free (stored, TRUE);
  g_array_free (lost, TRUE);
  return states;
}

/* Returns the latest time from FROM_US to TO_US at which the store had neither
   CHANGE nor a later one; 0: there is none.  */
static int64_t
lacked_until (const struct judge *judge, int change, int64_t from_us,
              int64_t to_us)
{
  const GArray *states = judge->store_states;
  int64_t latest_us = 0;
  for (guint i = 0; i < states->len; i++)
    {
      const struct state *state = &g_array_index (states, struct state, i);
      int64_t end_us
          = i + 1 < states->len
                ? g_array_index (states, struct state, i + 1).from_us
                : SRD_NEVER;
      if (state->change < change && state->from_us <= to_us
          && end_us > from_us)
        {
          latest_us = MIN (end_us, to_us);
        }
    }
  return latest_us;
}

/* Returns when the latest restore from FROM_US to TO_US was; 0: there is none.
 */
static int64_t
restored_at (const struct judge *judge, int64_t from_us, int64_t to_us)
{
  const GArray *restores = judge->record->restores;
  int64_t latest_us = 0;
  for (guint i = 0; i < restores->len; i++)
    {
      int64_t at_us = g_array_index (restores, struct srd_restore, i).at_us;
      if (at_us >= from_us && at_us <= to_us)
        {
          latest_us = MAX (latest_us, at_us);
        }
    }
  return latest_us;
}

/* Returns the end of the latest time in which DAEMON was frozen or couldn't
   rely on the store, if that overlaps the time from FROM_US to TO_US; 0: there
   is none.  */
static int64_t
disturbed_until (const struct judge *judge, uint32_t daemon, int64_t from_us,
                 int64_t to_us)
{
  const GArray *freezes = judge->record->interruptions;
  const GArray *outages = judge->record->outages;
  int64_t latest_us = 0;
  for (guint i = 0; i < freezes->len; i++)
    {
      const struct srd_interruption *freeze
          = &g_array_index (freezes, struct srd_interruption, i);
      if (freeze->endpoint == SRD_ALL
          && (freeze->daemon == daemon || freeze->daemon == SRD_ALL)
          && freeze->begin_us <= to_us && freeze->end_us >= from_us)
        {
          latest_us = MAX (latest_us, freeze->end_us);
        }
    }
  for (guint i = 0; i < outages->len; i++)
    {
      const struct srd_outage *outage
          = &g_array_index (outages, struct srd_outage, i);
      if ((outage->daemon == daemon || outage->daemon == SRD_ALL)
          && outage->begin_us <= to_us && outage->end_us >= from_us)
        {
          latest_us = MAX (latest_us, outage->end_us);
        }
    }
  return latest_us;
}

/* Returns from when on PROCESS must know CHANGE: it has run undisturbed for
   the configuration bound while the store had CHANGE.  SRD_NEVER: it need not
   know it at AT_US.  */
static int64_t
known_from (const struct judge *judge, const struct srd_process *process,
            int change, int64_t at_us)
{
  const struct sjd_bounds *bounds = judge->bounds;
  int64_t acked_us
      = g_array_index (judge->record->changes, struct srd_change, change)
            .acked_us;
  int64_t begin_us = MAX (acked_us, process->started_us + bounds->settle_us);
  int64_t latest_us
      = MIN (at_us, process->ended_us) - judge->bounds->config_us;
  while (begin_us < latest_us)
    {
      int64_t end_us = begin_us + bounds->config_us;
      int64_t disturbed_us = disturbed_until (
          judge, process->daemon, begin_us - bounds->settle_us, end_us);
      int64_t resumed_us = MIN (disturbed_us, latest_us) + bounds->settle_us;
      int64_t again_us = MAX (lacked_until (judge, change, begin_us, end_us),
                              restored_at (judge, begin_us, end_us));
      if (disturbed_us == 0 && again_us == 0)
        {
          return end_us;
        }
      begin_us = MAX (again_us, disturbed_us == 0 ? 0 : resumed_us) + 1;
    }
  return SRD_NEVER;
}

/* Returns the latest restore up to AT_US that left the store without CHANGE;
   NULL if there is none.  */
static const struct srd_restore *
find_loss (const struct judge *judge, int change, int64_t at_us)
{
  const GArray *states = judge->store_states;
  const struct srd_restore *loss = NULL;
  for (guint i = 0; i < states->len; i++)
    {
      const struct state *state = &g_array_index (states, struct state, i);
      if (state->restored && state->change < change && state->from_us <= at_us)
        {
          loss = &g_array_index (judge->record->restores, struct srd_restore,
                                 state->restore);
        }
    }
  return loss;
}

/* Returns whether the store lists PROCESS as a member of the group at ASKED_US
   after RESTORE: as the copy does, or since the process has joined again.  */
static bool
is_listed (const struct judge *judge, const struct srd_process *process,
           const struct srd_restore *restore, int64_t asked_us)
{
  const struct sjd_bounds *bounds = judge->bounds;
  int64_t joined_us = restore->copied_us - bounds->settle_us;
  bool by_copy = process->started_us <= joined_us
                 && restored_at (judge, joined_us, restore->at_us - 1) == 0
                 && disturbed_until (judge, process->daemon, joined_us,
                                     restore->copied_us)
                        == 0;
  bool again
      = asked_us >= restore->at_us + bounds->config_us
        && disturbed_until (judge, process->daemon,
                            restore->at_us - bounds->settle_us, asked_us)
               == 0;
  return by_copy || again;
}

/* Returns whether the daemon of REQUEST must have learnt from PROCESS, of
   another daemon, what RESTORE has lost: it asks when it sees the restore, or
   before it serves keys if it starts later.  */
static bool
must_have_told (const struct judge *judge, const struct srd_process *process,
                const struct srd_request *request,
                const struct srd_restore *restore)
{
  const struct sjd_bounds *bounds = judge->bounds;
  int64_t asked_us = MAX (restore->at_us, request->daemon_started_us);
  int64_t until_us = asked_us + bounds->config_us;
  if (request->daemon_started_us > restore->at_us)
    {
      until_us = MIN (until_us, request->sent_us);
    }
  int64_t from_us = asked_us - bounds->settle_us;
  return process->daemon != request->daemon && process->ended_us > until_us
         && request->sent_us >= until_us
         && is_listed (judge, process, restore, asked_us)
         && restored_at (judge, asked_us + 1, until_us) == 0
         && disturbed_until (judge, process->daemon, from_us, until_us) == 0
         && disturbed_until (judge, request->daemon,
                             MAX (from_us, request->daemon_started_us),
                             until_us)
                == 0;
}

/* Returns whether the daemon of REQUEST may not know CHANGE yet, which was
   acknowledged longer than the revocation bound ago: the store had lost it in
   a restore, and neither this process nor one in its reach knew it before.  */
bool
sjd_may_not_know (const struct judge *judge, const struct srd_request *request,
                  int change)
{
  const GArray *processes = judge->record->processes;
  int64_t acked_us
      = g_array_index (judge->record->changes, struct srd_change, change)
            .acked_us;
  int64_t lacked_us = lacked_until (judge, change, acked_us, request->sent_us);
  const struct srd_restore *loss = find_loss (judge, change, request->sent_us);
  if (loss == NULL || lacked_us == 0
      || request->sent_us > lacked_us + judge->bounds->revoke_us)
    {
      return false;
    }
  int64_t asked_us = MAX (loss->at_us, request->daemon_started_us);
  for (guint i = 0; i < processes->len; i++)
    {
      const struct srd_process *process
          = &g_array_index (processes, struct srd_process, i);
      bool own = process->daemon == request->daemon
                 && process->start_number == request->start_number;
      int64_t known_us = known_from (judge, process, change, request->sent_us);
      if (own ? known_us < request->sent_us
              : known_us < asked_us
                    && must_have_told (judge, process, request, loss))
        {
          return false;
        }
    }
  return true;
}

/* Returns whether the sender of ARRIVAL must know REMOVAL: its process has run
   undisturbed from before REMOVAL until the drain bound.  */
static bool
must_know_removal (const struct judge *judge,
                   const struct srd_arrival *arrival,
                   const struct srd_removal *removal)
{
  const struct sjd_bounds *bounds = judge->bounds;
  const struct srd_request *request = arrival->request;
  int64_t started_us
      = request->sender == request->daemon
            ? request->daemon_started_us
            : srd_find_process (judge->record, request->sender, arrival->at_us)
                  ->started_us;
  int64_t from_us = removal->acked_us - bounds->settle_us;
  int64_t known_us = removal->acked_us + bounds->drain_us;
  return started_us < from_us && request->sent_us > known_us
         && restored_at (judge, from_us, known_us) == 0
         && disturbed_until (judge, request->sender, from_us, known_us) == 0;
}

/* An endpoint that was removed from the list, and that isn't listed again,
   gets no request from a daemon that knows it, with or without faults.  That
   the store lists it again after a restore doesn't count.  */
void
sjd_check_removed_endpoints (struct judge *judge)
{
  const GArray *arrivals = judge->record->arrivals;
  const GArray *removals = judge->record->removals;
  for (guint i = 0; i < arrivals->len * removals->len; i++)
    {
      const struct srd_arrival *arrival
          = &g_array_index (arrivals, struct srd_arrival, i / removals->len);
      const struct srd_removal *removal
          = &g_array_index (removals, struct srd_removal, i % removals->len);
      if (arrival->endpoint == removal->endpoint
          && arrival->instance == removal->instance
          && must_know_removal (judge, arrival, removal))
        {
          sjd_add_violation (judge, "%s reached endpoint %u, which had left",
                             arrival->request->id, arrival->endpoint);
        }
    }
}
