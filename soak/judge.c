#include "soak/judge.h"

#include <stdarg.h>

#define STATUS_UNAUTHORIZED 401

/* Of one promise, so many violations are told. */
#define TOLD_MAX 5

struct judge
{
  const struct srd_record *record;
  const struct sjd_bounds *bounds;
  GPtrArray *violations; /* text, owned */
  uint32_t told;         /* of the promise that is looked at */
};

static void violate (struct judge *judge, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
violate (struct judge *judge, const char *format, ...)
{
  if (judge->told++ >= TOLD_MAX)
    {
      return;
    }
  va_list arguments;
  va_start (arguments, format);
  g_ptr_array_add (judge->violations, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

/* True when nothing was wrong from FROM_US to TO_US, nor shortly before.  */
static bool
is_calm (const struct judge *judge, int64_t from_us, int64_t to_us)
{
  const GArray *troubles = judge->record->troubles;
  int64_t begin_us = from_us - judge->bounds->stable_us;
  for (guint i = 0; i < troubles->len; i++)
    {
      const struct srd_trouble *trouble
          = &g_array_index (troubles, struct srd_trouble, i);
      if (trouble->begin_us <= to_us && trouble->end_us >= begin_us)
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

/* True for the statuses that say that a request hasn't run.  */
static bool
says_not_run (uint32_t status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Returns the index of the change that added KEY, or that removed it when
   REMOVED; or -1.  A key is added once.  */
static int
find_change (const struct judge *judge, uint32_t key, bool removed)
{
  const GArray *changes = judge->record->changes;
  bool there = false;
  for (guint i = 0; i < changes->len; i++)
    {
      const struct srd_change *change
          = &g_array_index (changes, struct srd_change, i);
      bool has_key = change->extra_key == key;
      if (has_key != there && there == removed)
        {
          return (int)i;
        }
      there = has_key;
    }
  return -1;
}

/* Returns when the change INDEX was acknowledged, never for -1.  */
static int64_t
acked_us (const struct judge *judge, int index)
{
  return index < 0
             ? SRD_NEVER
             : g_array_index (judge->record->changes, struct srd_change, index)
                   .acked_us;
}

/* Each caller gets its own whole answer; what can't be repeated runs once, and
   not after an answer that says it hasn't.  */
static void
judge_answer (struct judge *judge, const struct srd_request *request)
{
  if (is_success (request) && request->complete && !request->right)
    {
      violate (judge, "%s got a wrong answer", request->id);
    }
  if (request->kind == SRD_BOOK && request->runs > 1)
    {
      violate (judge, "%s ran %u times", request->id, request->runs);
    }
  if (request->kind == SRD_BOOK && request->runs > 0
      && says_not_run (request->status))
    {
      violate (judge, "%s was told %u and ran", request->id, request->status);
    }
}

/* In calm, every request has an answer in time, and none is cut off once it
   has reached an endpoint.  */
static void
judge_end (struct judge *judge, const struct srd_request *request)
{
  int64_t latest_us = request->deadline_us + judge->bounds->answer_us;
  if (request->left_us != SRD_NEVER)
    {
      return;
    }
  if (request->ended_us > latest_us
      && is_calm (judge, request->sent_us, latest_us))
    {
      violate (judge, "%s had no answer in time", request->id);
    }
  if (request->ended_us < request->deadline_us && !request->complete
      && request->runs > 0
      && is_calm (judge, request->sent_us, request->ended_us))
    {
      violate (judge, "%s was cut off", request->id);
    }
}

/* Work for callers that left stops.  */
static void
judge_gone (struct judge *judge, const struct srd_request *request)
{
  if (request->left_us == SRD_NEVER)
    {
      return;
    }
  int64_t latest_us = request->left_us + judge->bounds->gone_us;
  bool works = request->at_work > 0 || request->rested_us > latest_us
               || request->last_arrival_us > latest_us;
  if (works && is_calm (judge, request->left_us, latest_us))
    {
      violate (judge, "%s was worked on after its caller had left",
               request->id);
    }
}

/* A key that was added is accepted in time, and one that was removed isn't;
   the latter also by daemons that are out of touch, a little later.  */
static void
judge_key (struct judge *judge, const struct srd_request *request)
{
  const struct sjd_bounds *bounds = judge->bounds;
  if (request->key == 0)
    {
      return;
    }
  int64_t added_us
      = acked_us (judge, find_change (judge, request->key, false));
  int64_t removed_us
      = acked_us (judge, find_change (judge, request->key, true));
  bool ran = request->runs > 0;
  if (removed_us != SRD_NEVER
      && request->sent_us > removed_us + bounds->revoke_us && ran)
    {
      violate (judge, "%s ran with a key that was removed", request->id);
    }
  if (removed_us != SRD_NEVER
      && request->sent_us > removed_us + bounds->config_us && ran
      && is_calm (judge, removed_us, request->sent_us))
    {
      violate (judge, "%s ran by an older configuration", request->id);
    }
  if (added_us != SRD_NEVER && request->sent_us > added_us + bounds->config_us
      && request->ended_us < removed_us
      && request->status == STATUS_UNAUTHORIZED
      && is_calm (judge, added_us, request->sent_us))
    {
      violate (judge, "%s was denied by an older configuration", request->id);
    }
}

/* Returns the index of the newest change whose effect REQUEST showed, or
   -1.  */
static int
shown_change (const struct judge *judge, const struct srd_request *request)
{
  return request->key > 0 && request->runs > 0
             ? find_change (judge, request->key, false)
             : -1;
}

/* A daemon's configuration never reverts: once a request has run with a key,
   later ones aren't denied for want of this key or an earlier change.  */
static void
judge_reverts (struct judge *judge)
{
  const GPtrArray *requests = judge->record->requests;
  for (guint i = 0; i < requests->len; i++)
    {
      const struct srd_request *before = g_ptr_array_index (requests, i);
      int shown = shown_change (judge, before);
      for (guint n = i + 1; shown >= 0 && n < requests->len; n++)
        {
          const struct srd_request *after = g_ptr_array_index (requests, n);
          bool same = after->daemon == before->daemon
                      && after->start == before->start
                      && after->key == before->key;
          int removed = find_change (judge, before->key, true);
          if (same
              && after->sent_us
                     > before->first_run_us + judge->bounds->rollback_us
              && after->status == STATUS_UNAUTHORIZED
              && after->ended_us < acked_us (judge, removed))
            {
              violate (judge, "%s was denied after %s had run", after->id,
                       before->id);
            }
        }
    }
}

/* A leaving endpoint gets no new work.  */
static void
judge_leaving (struct judge *judge)
{
  const GArray *arrivals = judge->record->arrivals;
  const GArray *leavings = judge->record->leavings;
  for (guint i = 0; i < arrivals->len * leavings->len; i++)
    {
      const struct srd_arrival *arrival
          = &g_array_index (arrivals, struct srd_arrival, i / leavings->len);
      const struct srd_leaving *leaving
          = &g_array_index (leavings, struct srd_leaving, i % leavings->len);
      if (arrival->endpoint == leaving->endpoint
          && arrival->at_us > leaving->acked_us + judge->bounds->drain_us
          && arrival->at_us < leaving->gone_us
          && is_calm (judge, leaving->acked_us, arrival->at_us))
        {
          violate (judge, "%s was sent to a leaving endpoint",
                   arrival->request->id);
        }
    }
}

static bool
is_draft (const struct srd_request *request)
{
  return request->kind == SRD_DRAFT;
}

/* Returns the number of requests from FROM_US to TO_US to engines, or to
   services unless DRAFTS.  */
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

/* Repeats in any window keep to the budget, for engines and services by
   themselves.  */
static void
judge_budget (struct judge *judge, bool drafts)
{
  const GArray *arrivals = judge->record->arrivals;
  int64_t window_us = judge->bounds->window_us;
  guint first = 0;
  uint32_t repeats = 0;
  for (guint i = 0; i < arrivals->len; i++)
    {
      const struct srd_arrival *arrival
          = &g_array_index (arrivals, struct srd_arrival, i);
      if (is_draft (arrival->request) != drafts || arrival->number == 1)
        {
          continue;
        }
      repeats++;
      for (; g_array_index (arrivals, struct srd_arrival, first).at_us
             < arrival->at_us - window_us;
           first++)
        {
          const struct srd_arrival *old
              = &g_array_index (arrivals, struct srd_arrival, first);
          repeats -= is_draft (old->request) == drafts && old->number > 1;
        }
      uint32_t requests = 0;
      for (int64_t back_us = 0; back_us <= window_us; back_us += window_us / 2)
        {
          int64_t to_us = arrival->at_us - back_us;
          requests = MAX (requests, count_requests (judge, drafts,
                                                    to_us - window_us, to_us));
        }
      if (repeats
          > judge->bounds->retry_ratio * requests + judge->bounds->retry_slack)
        {
          violate (judge, "%u repeats for %u requests at %s", repeats,
                   requests, arrival->request->id);
        }
    }
}

/* After all troubles everything is served again.  */
static void
judge_recovery (struct judge *judge, const struct srd_request *request)
{
  if (request->sent_us >= judge->record->settled_us && request->key == 0
      && request->left_us == SRD_NEVER
      && !(is_success (request) && request->right)
      && is_calm (judge, request->sent_us,
                  MIN (request->ended_us, request->deadline_us)))
    {
      violate (judge, "%s wasn't served after the last trouble: status %u",
               request->id, request->status);
    }
}

/* Returns what RECORD shows of broken promises, one text each, at most a few
   of each kind.  */
GPtrArray *
sjd_judge (const struct srd_record *record, const struct sjd_bounds *bounds)
{
  static void (*const by_request[]) (struct judge *,
                                     const struct srd_request *)
      = { judge_answer, judge_end, judge_gone, judge_key, judge_recovery };
  struct judge judge = {
    .record = record,
    .bounds = bounds,
    .violations = g_ptr_array_new_with_free_func (g_free),
  };
  for (size_t promise = 0; promise < G_N_ELEMENTS (by_request); promise++)
    {
      judge.told = 0;
      for (guint i = 0; i < record->requests->len; i++)
        {
          by_request[promise](&judge, g_ptr_array_index (record->requests, i));
        }
    }
  judge.told = 0;
  judge_reverts (&judge);
  judge.told = 0;
  judge_leaving (&judge);
  judge.told = 0;
  judge_budget (&judge, true);
  judge.told = 0;
  judge_budget (&judge, false);
  return judge.violations;
}
