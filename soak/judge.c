#include "soak/judge_private.h"

#include <stdarg.h>

#define STATUS_UNAUTHORIZED 401

/* How many violations of one rule are reported. */
#define VIOLATIONS_PER_RULE_MAX 5

/* Adds a violation of the rule that is being checked; of each rule only the
   first ones are kept.  */
void
sjd_add_violation (struct judge *judge, const char *format, ...)
{
  if (judge->rule_violations++ >= VIOLATIONS_PER_RULE_MAX)
    {
      return;
    }
  va_list arguments;
  va_start (arguments, format);
  g_ptr_array_add (judge->violations, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

/* Returns whether no fault was active between FROM_US and TO_US, nor in the
   settle time before FROM_US.  */
bool
sjd_is_fault_free (const struct judge *judge, int64_t from_us, int64_t to_us)
{
  const GArray *faults = judge->record->faults;
  int64_t begin_us = from_us - judge->bounds->settle_us;
  for (guint i = 0; i < faults->len; i++)
    {
      const struct srd_fault *fault
          = &g_array_index (faults, struct srd_fault, i);
      if (fault->begin_us <= to_us && fault->end_us >= begin_us)
        {
          return false;
        }
    }
  return true;
}

static bool
is_success (const struct srd_request *request)
{
  return request->status >= 200 && request->status < 300;
}

/* Returns whether STATUS tells the caller that the request hasn't run.  */
static bool
is_not_run_status (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Returns the index of the change that added KEY, or of the one that removed
   it if REMOVED; -1 if there is none.  A key is added only once.  */
static int
find_change (const struct judge *judge, uint32_t key, bool removed)
{
  const GArray *changes = judge->record->changes;
  bool published = false;
  for (guint i = 0; i < changes->len; i++)
    {
      const struct srd_change *change
          = &g_array_index (changes, struct srd_change, i);
      bool contained = change->extra_key == key;
      if (contained != published && published == removed)
        {
          return (int)i;
        }
      published = contained;
    }
  return -1;
}

/* Returns when the change INDEX was acknowledged; SRD_NEVER for -1.  */
static int64_t
acked_us (const struct judge *judge, int index)
{
  return index < 0
             ? SRD_NEVER
             : g_array_index (judge->record->changes, struct srd_change, index)
                   .acked_us;
}

/* A complete successful answer is the one expected for the request.  A booking
   runs at most once, and not at all if its answer says that it hasn't run.  */
static void
check_answer (struct judge *judge, const struct srd_request *request)
{
  if (is_success (request) && request->complete && !request->correct)
    {
      sjd_add_violation (judge, "%s got a wrong answer", request->id);
    }
  if (request->kind == SRD_BOOK && request->runs > 1)
    {
      sjd_add_violation (judge, "%s ran %u times", request->id, request->runs);
    }
  if (request->kind == SRD_BOOK && request->runs > 0
      && is_not_run_status (request->status))
    {
      sjd_add_violation (judge, "%s was told %u and ran", request->id,
                         request->status);
    }
}

/* Without faults, every request is answered within the slack after its
   deadline.  Once an endpoint has run the request, the connection isn't closed
   before the answer is complete or the deadline has passed.  */
static void
check_completion (struct judge *judge, const struct srd_request *request)
{
  int64_t latest_us = request->deadline_us + judge->bounds->answer_slack_us;
  if (request->caller_left_us != SRD_NEVER)
    {
      return;
    }
  if (request->ended_us > latest_us
      && sjd_is_fault_free (judge, request->sent_us, latest_us))
    {
      sjd_add_violation (judge, "%s had no answer in time", request->id);
    }
  if (request->ended_us < request->deadline_us && !request->complete
      && request->runs > 0
      && sjd_is_fault_free (judge, request->sent_us, request->ended_us))
    {
      sjd_add_violation (judge, "%s was cut off", request->id);
    }
}

/* Endpoints stop the work for a caller that has closed its connection.  The
   run must last long enough to observe this.  */
static void
check_abandoned_work (struct judge *judge, const struct srd_request *request)
{
  if (request->caller_left_us == SRD_NEVER)
    {
      return;
    }
  int64_t latest_us = request->caller_left_us + judge->bounds->cancel_us;
  if (judge->record->ended_us < latest_us)
    {
      sjd_add_violation (judge,
                         "the run ended too soon to judge the work for %s",
                         request->id);
      return;
    }
  bool still_runs = request->active_runs > 0
                    || request->last_run_end_us > latest_us
                    || request->last_arrival_us > latest_us;
  if (still_runs
      && sjd_is_fault_free (judge, request->caller_left_us, latest_us))
    {
      sjd_add_violation (judge, "%s was worked on after its caller had left",
                         request->id);
    }
}

/* Without faults, a new key is accepted and a removed key is rejected within
   the configuration bound.  Within the revocation bound, a removed key is
   rejected also by daemons that have lost contact with the store, and by those
   that can know of the removal although the store has lost it.  */
static void
check_key (struct judge *judge, const struct srd_request *request)
{
  const struct sjd_bounds *bounds = judge->bounds;
  if (request->key == 0)
    {
      return;
    }
  int64_t added_us
      = acked_us (judge, find_change (judge, request->key, false));
  int removal = find_change (judge, request->key, true);
  int64_t removed_us = acked_us (judge, removal);
  bool ran = request->runs > 0;
  if (removed_us != SRD_NEVER
      && request->sent_us > removed_us + bounds->revoke_us && ran
      && !sjd_may_not_know (judge, request, removal))
    {
      sjd_add_violation (judge, "%s ran with a key that was removed",
                         request->id);
    }
  if (removed_us != SRD_NEVER
      && request->sent_us > removed_us + bounds->config_us && ran
      && sjd_is_fault_free (judge, removed_us, request->sent_us))
    {
      sjd_add_violation (judge, "%s ran by an older configuration",
                         request->id);
    }
  if (added_us != SRD_NEVER && request->sent_us > added_us + bounds->config_us
      && request->ended_us < removed_us
      && request->status == STATUS_UNAUTHORIZED
      && sjd_is_fault_free (judge, added_us, request->sent_us))
    {
      sjd_add_violation (judge, "%s was denied by an older configuration",
                         request->id);
    }
}

/* Returns the index of the change that added the key with which REQUEST ran;
   -1 if REQUEST hasn't run or has the permanent key.  */
static int
effective_change (const struct judge *judge, const struct srd_request *request)
{
  return request->key > 0 && request->runs > 0
             ? find_change (judge, request->key, false)
             : -1;
}

/* A daemon's configuration never rolls back: once a daemon's process has run a
   request with a key, it doesn't deny later requests with this key before the
   key's removal is acknowledged.  */
static void
check_no_rollback (struct judge *judge)
{
  const GPtrArray *requests = judge->record->requests;
  for (guint i = 0; i < requests->len; i++)
    {
      const struct srd_request *before = g_ptr_array_index (requests, i);
      int change = effective_change (judge, before);
      for (guint n = i + 1; change >= 0 && n < requests->len; n++)
        {
          const struct srd_request *after = g_ptr_array_index (requests, n);
          bool same_daemon_and_key
              = after->daemon == before->daemon
                && after->start_number == before->start_number
                && after->key == before->key;
          int removed = find_change (judge, before->key, true);
          if (same_daemon_and_key
              && after->sent_us
                     > before->first_run_us + judge->bounds->rollback_us
              && after->status == STATUS_UNAUTHORIZED
              && after->ended_us < acked_us (judge, removed))
            {
              sjd_add_violation (judge, "%s was denied after %s had run",
                                 after->id, before->id);
            }
        }
    }
}

/* Returns whether the daemon of REQUEST must know DRAIN: its process has run
   without a fault from before DRAIN until the drain bound, and REQUEST was
   sent later.  */
static bool
must_know_drain (const struct judge *judge, const struct srd_request *request,
                 const struct srd_drain *drain)
{
  int64_t known_us = drain->acked_us + judge->bounds->drain_us;
  return request->daemon_started_us < drain->acked_us
         && request->sent_us > known_us
         && sjd_is_fault_free (judge, drain->acked_us, known_us);
}

/* An endpoint gets no request once it has been listed as leaving for longer
   than the drain bound, without faults in between or from a daemon that must
   know.  */
static void
check_drained_endpoints (struct judge *judge)
{
  const GArray *arrivals = judge->record->arrivals;
  const GArray *drains = judge->record->drains;
  for (guint i = 0; i < arrivals->len * drains->len; i++)
    {
      const struct srd_arrival *arrival
          = &g_array_index (arrivals, struct srd_arrival, i / drains->len);
      const struct srd_drain *drain
          = &g_array_index (drains, struct srd_drain, i % drains->len);
      if (arrival->endpoint == drain->endpoint
          && arrival->at_us > drain->acked_us + judge->bounds->drain_us
          && arrival->at_us < drain->ended_us
          && (sjd_is_fault_free (judge, drain->acked_us, arrival->at_us)
              || must_know_drain (judge, arrival->request, drain)))
        {
          sjd_add_violation (judge, "%s was sent to a leaving endpoint",
                             arrival->request->id);
        }
    }
}

/* A configuration doesn't revert to one before a later one: once a daemon's
   process has run a request with a key, it runs none with a key that was
   removed before.  */
static void
check_older_keys (struct judge *judge)
{
  const GPtrArray *requests = judge->record->requests;
  for (guint i = 0; i < requests->len; i++)
    {
      const struct srd_request *before = g_ptr_array_index (requests, i);
      for (guint n = i + 1; before->runs > 0 && n < requests->len; n++)
        {
          const struct srd_request *after = g_ptr_array_index (requests, n);
          if (after->daemon == before->daemon
              && after->start_number == before->start_number && after->key > 0
              && after->key < before->key && after->runs > 0
              && after->sent_us
                     > before->first_run_us + judge->bounds->rollback_us)
            {
              sjd_add_violation (judge,
                                 "%s ran with an older key after %s had run",
                                 after->id, before->id);
            }
        }
    }
}

static bool
is_draft (const struct srd_request *request)
{
  return request->kind == SRD_DRAFT;
}

/* Returns the number of requests sent from FROM_US to TO_US: those to engines
   if DRAFTS, else those to services.  */
static uint32_t
count_requests (const struct judge *judge, bool drafts, int64_t from_us,
                int64_t to_us)
{
  const GPtrArray *requests = judge->record->requests;
  uint32_t count = 0;
  for (guint i = 0; i < requests->len; i++)
    {
      const struct srd_request *request = g_ptr_array_index (requests, i);
      count += is_draft (request) == drafts && request->sent_us >= from_us
               && request->sent_us <= to_us;
    }
  return count;
}

/* Retries in any window keep to the retry budget; engines (if DRAFTS) and
   services have a budget each.  The requests are counted in the window that
   ends at the retry and in those that end half a window and a whole window
   earlier; the largest number sets the budget.  */
static void
check_retry_budget (struct judge *judge, bool drafts)
{
  const GArray *arrivals = judge->record->arrivals;
  int64_t retry_window_us = judge->bounds->retry_window_us;
  guint oldest = 0;
  uint32_t retries = 0;
  for (guint i = 0; i < arrivals->len; i++)
    {
      const struct srd_arrival *arrival
          = &g_array_index (arrivals, struct srd_arrival, i);
      if (is_draft (arrival->request) != drafts || arrival->number == 1)
        {
          continue;
        }
      retries++;
      for (; g_array_index (arrivals, struct srd_arrival, oldest).at_us
             < arrival->at_us - retry_window_us;
           oldest++)
        {
          const struct srd_arrival *old
              = &g_array_index (arrivals, struct srd_arrival, oldest);
          retries -= is_draft (old->request) == drafts && old->number > 1;
        }
      uint32_t requests = 0;
      for (int64_t lag_us = 0; lag_us <= retry_window_us;
           lag_us += retry_window_us / 2)
        {
          int64_t to_us = arrival->at_us - lag_us;
          requests = MAX (
              requests,
              count_requests (judge, drafts, to_us - retry_window_us, to_us));
        }
      if (retries
          > judge->bounds->retry_ratio * requests + judge->bounds->retry_slack)
        {
          sjd_add_violation (judge, "%u retries for %u requests at %s",
                             retries, requests, arrival->request->id);
        }
    }
}

static void
check_draft_retries (struct judge *judge)
{
  check_retry_budget (judge, true);
}

static void
check_call_retries (struct judge *judge)
{
  check_retry_budget (judge, false);
}

/* After the last fault and the recovery time, every request with the permanent
   key is served, unless its caller has left.  */
static void
check_recovery (struct judge *judge, const struct srd_request *request)
{
  if (request->sent_us >= judge->record->recovered_us && request->key == 0
      && request->caller_left_us == SRD_NEVER
      && !(is_success (request) && request->correct)
      && sjd_is_fault_free (judge, request->sent_us,
                            MIN (request->ended_us, request->deadline_us)))
    {
      sjd_add_violation (judge,
                         "%s wasn't served after the last fault: status %u",
                         request->id, request->status);
    }
}

/* Checks RECORD against every rule within BOUNDS.  Returns the violations as
   texts, at most VIOLATIONS_PER_RULE_MAX for each rule; the caller frees the
   array, which owns the texts.  */
GPtrArray *
sjd_check (const struct srd_record *record, const struct sjd_bounds *bounds)
{
  static void (*const request_rules[]) (struct judge *,
                                        const struct srd_request *)
      = { check_answer, check_completion, check_abandoned_work, check_key,
          check_recovery };
  static void (*const rules[]) (struct judge *)
      = { check_no_rollback,        check_older_keys,
          check_drained_endpoints,  check_draft_retries,
          check_call_retries,       sjd_check_leaving_endpoints,
          sjd_check_turned_away,    sjd_check_fences,
          sjd_check_harms,          sjd_check_lower_fences,
          sjd_check_refused_orders, sjd_check_removed_endpoints };
  struct judge judge = {
    .record = record,
    .bounds = bounds,
    .violations = g_ptr_array_new_with_free_func (g_free),
    .store_states = sjd_store_states (record),
  };
  for (size_t rule = 0; rule < G_N_ELEMENTS (request_rules); rule++)
    {
      judge.rule_violations = 0;
      for (guint i = 0; i < record->requests->len; i++)
        {
          request_rules[rule](&judge, g_ptr_array_index (record->requests, i));
        }
    }
  for (size_t rule = 0; rule < G_N_ELEMENTS (rules); rule++)
    {
      judge.rule_violations = 0;
      rules[rule](&judge);
    }
  g_array_free (judge.store_states, TRUE);
  return judge.violations;
}
