#include "core/poison_private.h"

#include <math.h>
#include <string.h>

/* Time in which the count of arrivals is halved. */
#define ARRIVALS_HALF_US 30e6

/* Interval of decisions without new evidence: proofs and counts grow old. */
#define DECIDE_US INT64_C (1000000)

static void
destroy_report (gpointer data)
{
  struct psn_report *report = data;
  g_ptr_array_free (report->ends, TRUE);
  g_free (report);
}

static void
destroy_suspect (gpointer data)
{
  struct psn_suspect *suspect = data;
  g_hash_table_destroy (suspect->reports);
  g_hash_table_destroy (suspect->cleared);
  if (suspect->common_parts != NULL)
    {
      g_hash_table_destroy (suspect->common_parts);
    }
  g_free (suspect->trait);
  g_free (suspect);
}

/* Creates a set without evidence for the daemon that reports under the name
   REPORTER, which differs for each start.  A trait must be the best
   explanation for SETTLE_US before it is quarantined, so that another daemon's
   evidence for it arrives first.  The caller frees the set with psn_destroy.
 */
struct psn_set *
psn_create (const char *reporter, int64_t settle_us)
{
  struct psn_set *set = g_new0 (struct psn_set, 1);
  set->reporter = g_strdup (reporter);
  set->settle_us = settle_us;
  set->suspects
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_suspect);
  set->seen_parts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  set->seen_requests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  set->changed = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_queue_init (&set->transitions);
  return set;
}

/* Frees TRANSITION.  */
void
psn_transition_free (struct psn_transition *transition)
{
  g_free (transition->trait);
  g_free (transition);
}

/* Frees SET.  */
void
psn_destroy (struct psn_set *set)
{
  g_queue_clear_full (&set->transitions, (GDestroyNotify)psn_transition_free);
  g_hash_table_destroy (set->suspects);
  g_hash_table_destroy (set->seen_parts);
  g_hash_table_destroy (set->seen_requests);
  g_hash_table_destroy (set->changed);
  g_free (set->reporter);
  g_free (set);
}

/* Returns the name of the part ID of prompts for SERVICE.  The caller frees
   it.  */
char *
psn_part_name (const char *service, const char *id)
{
  return g_strdup_printf ("%s%c%s", service, PSN_MARK, id);
}

/* Returns the name of the requests, for any service, whose digest is DIGEST.
   The caller frees it.  */
char *
psn_request_name (const char *digest)
{
  return psn_part_name ("", digest);
}

/* Returns true if TRAIT is that of the repeats of one request.  */
bool
psn_is_request (const char *trait)
{
  return trait[0] == PSN_MARK;
}

/* Returns true if ENDS has ENDPOINT.  */
static bool
has_end (const GPtrArray *ends, const char *endpoint)
{
  return g_ptr_array_find_with_equal_func ((GPtrArray *)ends, endpoint,
                                           g_str_equal, NULL);
}

/* Returns true if REPORT says nothing.  */
bool
psn_is_empty (const struct psn_report *report)
{
  return report->ends->len == 0 && report->sound_ms == 0;
}

/* Makes the next psn_take_changes return what REPORTER reports of SUSPECT.  */
void
psn_mark_changed (struct psn_set *set, const struct psn_suspect *suspect,
                  const char *reporter)
{
  g_hash_table_add (set->changed, g_strdup_printf ("%s%c%s", suspect->trait,
                                                   PSN_MARK, reporter));
}

/* Returns the number of ends that are evidence against SUSPECT; with CLEARED
   also those from before an endpoint wrote on it.  Adds them to INTO unless it
   is NULL, and leaves out those in EXCEPT unless that is NULL.  */
static uint32_t
collect_ends (const struct psn_suspect *suspect, bool cleared,
              const GHashTable *except, GHashTable *into)
{
  g_autoptr (GHashTable) found = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, suspect->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct psn_report *report = value;
      for (guint i = 0; i < report->ends->len; i++)
        {
          char *end = g_ptr_array_index (report->ends, i);
          bool counts
              = (cleared || !g_hash_table_contains (suspect->cleared, end))
                && (except == NULL
                    || !g_hash_table_contains ((GHashTable *)except, end));
          if (counts)
            {
              g_hash_table_add (found, end);
            }
          if (counts && into != NULL)
            {
              g_hash_table_add (into, end);
            }
        }
    }
  return g_hash_table_size (found);
}

/* Drops what REPORTER reports of SUSPECT, and SUSPECT when nothing is left of
   it; SUSPECT may be invalid then.  */
void
psn_drop_report (struct psn_set *set, struct psn_suspect *suspect,
                 const char *reporter)
{
  g_hash_table_remove (suspect->reports, reporter);
  set->outdated = true;
  if (g_hash_table_size (suspect->reports) == 0 && !suspect->quarantined)
    {
      g_hash_table_remove (set->suspects, suspect->trait);
    }
}

/* Returns how many ends the daemons have reported of SUSPECT; one that several
   of them have seen counts for each.  */
static uint32_t
reported_ends (const struct psn_suspect *suspect)
{
  uint32_t ends = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, suspect->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      ends += ((const struct psn_report *)value)->ends->len;
    }
  return ends;
}

/* Removes the suspect with the least evidence from SET, of several the one
   that was first suspected.  */
static void
remove_weakest (struct psn_set *set)
{
  struct psn_suspect *weakest = NULL;
  uint32_t least = UINT32_MAX;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, set->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct psn_suspect *suspect = value;
      uint32_t ends = reported_ends (suspect);
      bool weaker = weakest == NULL || ends < least
                    || (ends == least && suspect->serial < weakest->serial);
      if (!suspect->quarantined && weaker)
        {
          least = ends;
          weakest = suspect;
        }
    }
  if (weakest == NULL)
    {
      return;
    }
  if (g_hash_table_contains (weakest->reports, set->reporter))
    {
      psn_mark_changed (set, weakest, set->reporter);
    }
  g_hash_table_remove (set->suspects, weakest->trait);
}

/* Returns the suspect TRAIT of SET, created if it is new.  */
struct psn_suspect *
psn_suspect_of (struct psn_set *set, const char *trait)
{
  struct psn_suspect *suspect = g_hash_table_lookup (set->suspects, trait);
  if (suspect != NULL)
    {
      return suspect;
    }
  if (g_hash_table_size (set->suspects) >= PSN_SUSPECTS_MAX)
    {
      remove_weakest (set);
    }
  suspect = g_new0 (struct psn_suspect, 1);
  suspect->trait = g_strdup (trait);
  suspect->serial = set->next_serial++;
  suspect->trial_interval_us = PSN_TRIAL_FIRST_US;
  suspect->reports = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            destroy_report);
  suspect->cleared
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  g_hash_table_insert (set->suspects, suspect->trait, suspect);
  return suspect;
}

/* Returns what REPORTER reports of SUSPECT, created if it is new.  */
struct psn_report *
psn_report_of (struct psn_suspect *suspect, const char *reporter)
{
  struct psn_report *report = g_hash_table_lookup (suspect->reports, reporter);
  if (report == NULL)
    {
      report = g_new0 (struct psn_report, 1);
      report->ends = g_ptr_array_new_with_free_func (g_free);
      g_hash_table_insert (suspect->reports, g_strdup (reporter), report);
    }
  return report;
}

/* Returns the number of arrivals that SEEN counts at NOW_US.  */
static double
arrivals_at (const struct psn_seen *seen, int64_t now_us)
{
  return seen->arrivals
         * exp2 (-(double)(now_us - seen->arrived_us) / ARRIVALS_HALF_US);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  const int64_t *left = a;
  const int64_t *right = b;
  return (*left > *right) - (*left < *right);
}

/* Returns where SET keeps what it has seen of TRAIT.  */
static GHashTable *
seen_with (const struct psn_set *set, const char *trait)
{
  return psn_is_request (trait) ? set->seen_requests : set->seen_parts;
}

/* Forgets the half of TABLE that wasn't seen for longest.  */
static void
forget_oldest_seen (GHashTable *table)
{
  g_autoptr (GArray) times = g_array_new (FALSE, FALSE, sizeof (int64_t));
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct psn_seen *seen = value;
      g_array_append_val (times, seen->arrived_us);
    }
  g_array_sort (times, compare_times);
  int64_t median_us = g_array_index (times, int64_t, times->len / 2);
  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      if (((const struct psn_seen *)value)->arrived_us < median_us)
        {
          g_hash_table_iter_remove (&iter);
        }
    }
}

/* Returns what SET has seen of TRAIT, created if it is new.  */
static struct psn_seen *
seen_of (struct psn_set *set, const char *trait, int64_t now_us)
{
  GHashTable *table = seen_with (set, trait);
  struct psn_seen *seen = g_hash_table_lookup (table, trait);
  if (seen == NULL)
    {
      if (g_hash_table_size (table) >= PSN_SEEN_MAX)
        {
          forget_oldest_seen (table);
        }
      seen = g_new0 (struct psn_seen, 1);
      seen->arrived_us = now_us;
      g_hash_table_insert (table, g_strdup (trait), seen);
    }
  return seen;
}

static void
count_arrival (struct psn_set *set, const char *trait, int64_t now_us)
{
  struct psn_seen *seen = seen_of (set, trait, now_us);
  seen->arrivals = arrivals_at (seen, now_us) + 1;
  seen->arrived_us = now_us;
}

/* Counts a request for SERVICE with the named TRAITS.  */
void
psn_arrived (struct psn_set *set, const char *service, char *const traits[],
             struct psn_time now)
{
  g_autofree char *all = psn_part_name (service, "");
  count_arrival (set, all, now.monotonic_us);
  for (size_t i = 0; traits[i] != NULL; i++)
    {
      count_arrival (set, traits[i], now.monotonic_us);
    }
}

/* Returns the number of requests with TRAIT that have arrived lately.  */
static double
arrivals_of (const struct psn_set *set, const char *trait, int64_t now_us)
{
  const struct psn_seen *seen
      = g_hash_table_lookup (seen_with (set, trait), trait);
  return seen == NULL ? 0 : arrivals_at (seen, now_us);
}

/* Returns true if TRAIT is a part that more than PSN_PREVALENT_SHARE of the
   requests of its service have had lately: without it there would hardly be a
   service.  */
static bool
is_prevalent (const struct psn_set *set, const char *trait, int64_t now_us)
{
  if (psn_is_request (trait))
    {
      return false;
    }
  g_autofree char *all
      = g_strndup (trait, (gsize)(strrchr (trait, PSN_MARK) - trait) + 1);
  const struct psn_seen *service = g_hash_table_lookup (set->seen_parts, all);
  if (service == NULL)
    {
      return false;
    }
  double arrivals = arrivals_at (service, now_us);
  return arrivals >= PSN_PREVALENT_MIN
         && arrivals_of (set, trait, now_us) > PSN_PREVALENT_SHARE * arrivals;
}

/* Returns true if this daemon itself has seen an endpoint write on TRAIT
   lately.  */
static bool
is_proven (const struct psn_set *set, const char *trait, int64_t now_us)
{
  const struct psn_seen *seen
      = g_hash_table_lookup (seen_with (set, trait), trait);
  return seen != NULL && seen->sound_us > 0
         && now_us - seen->sound_us < PSN_SOUND_US;
}

/* Keeps those of SUSPECT's common parts that are among TRAITS, too, those of a
   repeat under which an endpoint has ended.  */
static void
restrict_common_parts (struct psn_suspect *suspect, char *const traits[])
{
  g_autoptr (GHashTable) before = suspect->common_parts;
  suspect->common_parts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (size_t i = 0; traits[i] != NULL; i++)
    {
      if (!psn_is_request (traits[i])
          && (before == NULL || g_hash_table_contains (before, traits[i])))
        {
          g_hash_table_add (suspect->common_parts, g_strdup (traits[i]));
        }
    }
}

/* Records that ENDPOINT, an incarnation, ended under a request with the named
   TRAITS before it had written much of the answer.  */
void
psn_report_end (struct psn_set *set, char *const traits[],
                const char *endpoint, struct psn_time now)
{
  for (uint32_t i = 0; traits[i] != NULL; i++)
    {
      if (is_proven (set, traits[i], now.monotonic_us))
        {
          continue;
        }
      struct psn_suspect *suspect = psn_suspect_of (set, traits[i]);
      struct psn_report *report = psn_report_of (suspect, set->reporter);
      if (has_end (report->ends, endpoint))
        {
          continue;
        }
      if (report->ends->len >= PSN_ENDS_MAX)
        {
          g_ptr_array_remove_index (report->ends, 0);
        }
      g_ptr_array_add (report->ends, g_strdup (endpoint));
      if (psn_is_request (traits[i]))
        {
          restrict_common_parts (suspect, traits);
        }
      report->position = i;
      report->updated_ms = now.unix_ms;
      psn_mark_changed (set, suspect, set->reporter);
      set->outdated = true;
    }
}

/* Withdraws this daemon's evidence of the end of ENDPOINT, which has answered
   since.  */
void
psn_report_alive (struct psn_set *set, const char *endpoint,
                  struct psn_time now)
{
  g_autoptr (GPtrArray) emptied = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, set->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct psn_suspect *suspect = value;
      struct psn_report *report
          = g_hash_table_lookup (suspect->reports, set->reporter);
      guint index = 0;
      if (report == NULL
          || !g_ptr_array_find_with_equal_func (report->ends, endpoint,
                                                g_str_equal, &index))
        {
          continue;
        }
      g_ptr_array_remove_index (report->ends, index);
      report->updated_ms = now.unix_ms;
      psn_mark_changed (set, suspect, set->reporter);
      set->outdated = true;
      if (psn_is_empty (report))
        {
          g_ptr_array_add (emptied, suspect);
        }
    }
  for (guint i = 0; i < emptied->len; i++)
    {
      psn_drop_report (set, g_ptr_array_index (emptied, i), set->reporter);
    }
}

/* Makes the present evidence against SUSPECT void, since an endpoint has
   written on it, and withdraws this daemon's own.  */
void
psn_clear_evidence (struct psn_set *set, struct psn_suspect *suspect,
                    struct psn_time now)
{
  g_autoptr (GHashTable) ends = g_hash_table_new (g_str_hash, g_str_equal);
  bool changed = collect_ends (suspect, false, NULL, ends) > 0;
  GHashTableIter iter;
  gpointer end;
  g_hash_table_iter_init (&iter, ends);
  while (g_hash_table_iter_next (&iter, &end, NULL))
    {
      g_hash_table_add (suspect->cleared, g_strdup (end));
    }
  suspect->trial_interval_us = PSN_TRIAL_FIRST_US;
  struct psn_report *own
      = g_hash_table_lookup (suspect->reports, set->reporter);
  if (own != NULL && own->ends->len > 0)
    {
      g_ptr_array_set_size (own->ends, 0);
      own->updated_ms = now.unix_ms;
      psn_mark_changed (set, suspect, set->reporter);
      changed = true;
    }
  set->outdated |= changed;
}

/* Records that an endpoint has answered a request with the named TRAITS
   without ending.  */
void
psn_report_sound (struct psn_set *set, char *const traits[],
                  struct psn_time now)
{
  for (size_t i = 0; traits[i] != NULL; i++)
    {
      seen_of (set, traits[i], now.monotonic_us)->sound_us = now.monotonic_us;
      struct psn_suspect *suspect
          = g_hash_table_lookup (set->suspects, traits[i]);
      if (suspect != NULL)
        {
          psn_clear_evidence (set, suspect, now);
        }
    }
}

/* Tells the other daemons that SUSPECT, which they may be about to quarantine,
   is sound, unless one of them has told so already.  */
static void
share_proof (struct psn_set *set, struct psn_suspect *suspect,
             struct psn_time now)
{
  if (suspect->sound_until_us > now.monotonic_us
      || collect_ends (suspect, true, NULL, NULL) < PSN_ENDS_MIN)
    {
      return;
    }
  struct psn_report *own = psn_report_of (suspect, set->reporter);
  psn_clear_evidence (set, suspect, now);
  own->sound_ms = now.unix_ms;
  own->updated_ms = now.unix_ms;
  suspect->sound_ms = now.unix_ms;
  suspect->sound_until_us = now.monotonic_us + PSN_SOUND_US;
  psn_mark_changed (set, suspect, set->reporter);
}

/* Returns the highest position at which SUSPECT was reported.  */
static uint32_t
position_of (const struct psn_suspect *suspect)
{
  uint32_t position = 0;
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, suspect->reports);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      position = MAX (position, ((const struct psn_report *)value)->position);
    }
  return position;
}

/* Returns true if fewer requests have the trait SUSPECT than OTHER.  Of traits
   that this daemon has seen as often, those at the start of prompts are shared
   most.  The order of names makes all daemons decide alike.  */
static bool
is_more_special (const struct psn_set *set, const struct psn_suspect *suspect,
                 const struct psn_suspect *other, int64_t now_us)
{
  double arrivals = arrivals_of (set, suspect->trait, now_us);
  double other_arrivals = arrivals_of (set, other->trait, now_us);
  if (arrivals != other_arrivals)
    {
      return arrivals < other_arrivals;
    }
  uint32_t position = position_of (suspect);
  uint32_t other_position = position_of (other);
  return position != other_position
             ? position > other_position
             : strcmp (suspect->trait, other->trait) < 0;
}

/* Returns how many of the ends that aren't EXPLAINED yet SUSPECT explains; 0
   if it has too few to tell.  A part must explain PSN_ENDS_MIN that no other
   cause does.  A request must have as many in all: two that crash endpoints
   run beside each other, so each explains some of the other's.  */
static uint32_t
count_explained (const struct psn_suspect *suspect,
                 const GHashTable *explained)
{
  uint32_t ends = collect_ends (suspect, false, explained, NULL);
  bool tells
      = ends >= PSN_ENDS_MIN
        || (psn_is_request (suspect->trait)
            && collect_ends (suspect, false, NULL, NULL) >= PSN_ENDS_MIN);
  return tells ? ends : 0;
}

/* Adds those of the CANDIDATES to SELECTED that best explain the ends that
   aren't EXPLAINED yet, and their ends to EXPLAINED: of those that explain
   about as many as any does the most special one, or all requests if that is
   one.  A request must explain as many as any.  Returns false if none explains
   enough of them.  */
static bool
select_best (const struct psn_set *set, const GPtrArray *candidates,
             GHashTable *selected, GHashTable *explained, int64_t now_us)
{
  g_autoptr (GArray) counts = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  uint32_t most = 0;
  for (guint i = 0; i < candidates->len; i++)
    {
      uint32_t ends
          = count_explained (g_ptr_array_index (candidates, i), explained);
      g_array_append_val (counts, ends);
      most = MAX (most, ends);
    }
  struct psn_suspect *best = NULL;
  for (guint i = 0; most > 0 && i < candidates->len; i++)
    {
      struct psn_suspect *suspect = g_ptr_array_index (candidates, i);
      double enough
          = psn_is_request (suspect->trait) ? most : PSN_ENDS_SHARE * most;
      uint32_t ends = g_array_index (counts, uint32_t, i);
      if (ends > 0 && ends >= enough
          && (best == NULL || is_more_special (set, suspect, best, now_us)))
        {
          best = suspect;
        }
    }
  bool all_requests = best != NULL && psn_is_request (best->trait);
  for (guint i = 0; best != NULL && i < candidates->len; i++)
    {
      struct psn_suspect *suspect = g_ptr_array_index (candidates, i);
      if (suspect == best
          || (all_requests && psn_is_request (suspect->trait)
              && g_array_index (counts, uint32_t, i) == most))
        {
          g_hash_table_add (selected, suspect);
          collect_ends (suspect, false, NULL, explained);
        }
    }
  return best != NULL;
}

/* Returns the suspects that aren't known to be sound, and shares the proofs
   for others.  The caller frees the array.  */
static GPtrArray *
list_candidates (struct psn_set *set, struct psn_time now)
{
  GPtrArray *candidates = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, set->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct psn_suspect *suspect = value;
      if (is_proven (set, suspect->trait, now.monotonic_us))
        {
          share_proof (set, suspect, now);
        }
      else if (reported_ends (suspect) >= PSN_ENDS_MIN
               && suspect->sound_until_us <= now.monotonic_us
               && !is_prevalent (set, suspect->trait, now.monotonic_us))
        {
          g_ptr_array_add (candidates, suspect);
        }
    }
  return candidates;
}

/* Quarantines or releases SUSPECT according to whether it is the best
   explanation, and for how long.  */
static void
set_quarantined (struct psn_set *set, struct psn_suspect *suspect,
                 int64_t now_us)
{
  bool quarantined = suspect->selected_us != 0
                     && now_us - suspect->selected_us >= set->settle_us;
  if (quarantined == suspect->quarantined)
    {
      return;
    }
  suspect->quarantined = quarantined;
  suspect->trial_us = now_us + suspect->trial_interval_us;
  set->quarantined += quarantined ? 1 : -1U;
  struct psn_transition *transition = g_new0 (struct psn_transition, 1);
  transition->trait = g_strdup (suspect->trait);
  transition->quarantined = quarantined;
  transition->ends = collect_ends (suspect, false, NULL, NULL);
  g_queue_push_tail (&set->transitions, transition);
}

/* Decides which traits are quarantined, if the evidence has changed or some
   time has passed.  */
static void
decide (struct psn_set *set, struct psn_time now)
{
  if (g_hash_table_size (set->suspects) == 0
      || (!set->outdated && now.monotonic_us < set->decide_us))
    {
      return;
    }
  set->decide_us = now.monotonic_us + DECIDE_US;
  g_autoptr (GPtrArray) candidates = list_candidates (set, now);
  g_autoptr (GHashTable) explained
      = g_hash_table_new (g_str_hash, g_str_equal);
  g_autoptr (GHashTable) selected = g_hash_table_new (NULL, NULL);
  while (select_best (set, candidates, selected, explained, now.monotonic_us))
    {
    }
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, set->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct psn_suspect *suspect = value;
      if (!g_hash_table_contains (selected, suspect))
        {
          suspect->selected_us = 0;
        }
      else if (suspect->selected_us == 0)
        {
          suspect->selected_us = now.monotonic_us;
        }
      set_quarantined (set, suspect, now.monotonic_us);
      if (suspect->selected_us != 0 && !suspect->quarantined)
        {
          set->decide_us
              = MIN (set->decide_us, suspect->selected_us + set->settle_us);
        }
      if (g_hash_table_size (suspect->reports) == 0 && !suspect->quarantined)
        {
          g_hash_table_iter_remove (&iter);
        }
    }
  set->outdated = false;
}

/* Returns whether the part of prompts PART explains all ends that the request
   SUSPECT does.  */
static bool
explains_as_much (const struct psn_set *set, const char *part,
                  const struct psn_suspect *suspect, int64_t now_us)
{
  const struct psn_suspect *other = g_hash_table_lookup (set->suspects, part);
  if (other == NULL || is_proven (set, part, now_us)
      || other->sound_until_us > now_us)
    {
      return false;
    }
  g_autoptr (GHashTable) ends = g_hash_table_new (g_str_hash, g_str_equal);
  collect_ends (other, false, NULL, ends);
  return collect_ends (suspect, false, ends, NULL) == 0;
}

/* Returns whether the quarantine of SUSPECT concerns a request with the named
   TRAITS.  One that is the same as those that crash endpoints but for a part
   which may be the cause isn't a repeat of them.  */
static bool
concerns (const struct psn_set *set, const struct psn_suspect *suspect,
          char *const traits[], int64_t now_us)
{
  if (suspect->common_parts == NULL)
    {
      return true;
    }
  GHashTableIter iter;
  gpointer part;
  g_hash_table_iter_init (&iter, suspect->common_parts);
  while (g_hash_table_iter_next (&iter, &part, NULL))
    {
      if (!g_strv_contains ((const char *const *)traits, part)
          && explains_as_much (set, part, suspect, now_us))
        {
          return false;
        }
    }
  return true;
}

/* Returns the first of the named TRAITS, all of a request, that keeps it from
   endpoints, or NULL.  The result is valid until the next call for SET.  */
const char *
psn_find (struct psn_set *set, char *const traits[], struct psn_time now)
{
  decide (set, now);
  for (size_t i = 0; set->quarantined > 0 && traits[i] != NULL; i++)
    {
      const struct psn_suspect *suspect
          = g_hash_table_lookup (set->suspects, traits[i]);
      if (suspect != NULL && suspect->quarantined
          && concerns (set, suspect, traits, now.monotonic_us))
        {
          return suspect->trait;
        }
    }
  return NULL;
}

/* Returns the interval between trials that follows INTERVAL_US.  */
static int64_t
next_trial_interval (int64_t interval_us)
{
  return MIN (interval_us * PSN_TRIAL_GROWTH, PSN_TRIAL_MAX_US);
}

/* Returns true if a request with the quarantined TRAIT is let through now; the
   intervals between those grow.  Only one daemon of the fleet may call this.
 */
bool
psn_take_trial (struct psn_set *set, const char *trait, struct psn_time now)
{
  struct psn_suspect *suspect = g_hash_table_lookup (set->suspects, trait);
  if (suspect == NULL || now.monotonic_us < suspect->trial_us)
    {
      return false;
    }
  suspect->trial_interval_us
      = next_trial_interval (suspect->trial_interval_us);
  suspect->trial_us = now.monotonic_us + suspect->trial_interval_us;
  return true;
}

/* Returns the time until the next request with the quarantined TRAIT may be
   let through.  Trials that were due are taken for done, by the daemon that
   lets requests through.  */
int64_t
psn_trial_wait_us (const struct psn_set *set, const char *trait,
                   struct psn_time now)
{
  const struct psn_suspect *suspect
      = g_hash_table_lookup (set->suspects, trait);
  if (suspect == NULL)
    {
      return 0;
    }
  int64_t trial_us = suspect->trial_us;
  int64_t interval_us = suspect->trial_interval_us;
  while (trial_us <= now.monotonic_us)
    {
      interval_us = next_trial_interval (interval_us);
      trial_us += interval_us;
    }
  return trial_us - now.monotonic_us;
}

/* Returns the next trait that was quarantined or released since the last call,
   or NULL.  The caller frees it with psn_transition_free.  */
struct psn_transition *
psn_next_transition (struct psn_set *set, struct psn_time now)
{
  decide (set, now);
  return g_queue_pop_head (&set->transitions);
}

/* Returns the number of traits that are quarantined.  */
uint32_t
psn_quarantined_count (const struct psn_set *set)
{
  return set->quarantined;
}
