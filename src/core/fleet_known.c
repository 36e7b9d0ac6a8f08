#include "core/fleet_known.h"

#include <string.h>

/* An answer that counts fewer daemons than this part of the known one comes
   from an aggregator that hasn't heard the others yet. */
#define FULLER_FACTOR 2

/* The other daemons' requests at one engine. */
struct entry
{
  int64_t born_ms;
  struct flo_total total;
};

struct fkn_known
{
  GHashTable *entries; /* engine id to struct entry */
  uint32_t daemons;
  uint32_t requests; /* of other daemons, at all engines */
  double per_s[FLT_RANKS_MAX];
  int64_t received_us; /* 0: nothing is known */
};

/* Returns the state of a daemon that knows nothing.  The caller frees it with
   fkn_destroy.  */
struct fkn_known *
fkn_create (void)
{
  struct fkn_known *known = g_new0 (struct fkn_known, 1);
  known->entries
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return known;
}

/* Frees KNOWN.  */
void
fkn_destroy (struct fkn_known *known)
{
  g_hash_table_destroy (known->entries);
  g_free (known);
}

/* Returns the part of OWN at the engine of SUM, or NULL.  */
static const struct flo_part *
find_own (const struct flo_part *own, size_t own_count,
          const struct flo_sum *sum)
{
  for (size_t i = 0; i < own_count; i++)
    {
      if (own[i].born_ms == sum->born_ms && strcmp (own[i].id, sum->id) == 0)
        {
          return &own[i];
        }
    }
  return NULL;
}

/* Takes OWN off TOTAL.  The aggregator may have dropped what it states.  */
static void
subtract (struct flo_total *total, const struct flo_part *own)
{
  total->requests -= MIN (total->requests, own->requests);
  total->daemons -= MIN (total->daemons, 1);
  for (uint32_t rank = 0; rank < FLT_RANKS_MAX; rank++)
    {
      total->waiting[rank] -= MIN (total->waiting[rank], own->waiting[rank]);
    }
}

/* Replaces what KNOWN has by ANSWER, which came at NOW_US, less OWN, which
   this daemon had stated in the request.  Returns false when a fuller answer
   that isn't too old is kept.  */
bool
fkn_apply (struct fkn_known *known, const struct fkn_answer *answer,
           const struct flo_part *own, size_t own_count, int64_t now_us)
{
  if (answer->daemons < known->daemons / FULLER_FACTOR
      && fkn_is_current (known, now_us))
    {
      return false;
    }
  known->daemons = answer->daemons;
  known->received_us = now_us;
  known->requests = 0;
  memcpy (known->per_s, answer->per_s, sizeof known->per_s);
  g_hash_table_remove_all (known->entries);
  for (size_t i = 0; i < answer->sum_count; i++)
    {
      const struct flo_sum *sum = &answer->sums[i];
      const struct flo_part *part = find_own (own, own_count, sum);
      struct entry *entry = g_new (struct entry, 1);
      *entry = (struct entry){
        .born_ms = sum->born_ms,
        .total = sum->total,
      };
      if (part != NULL)
        {
          subtract (&entry->total, part);
        }
      known->requests += entry->total.requests;
      const struct entry *other
          = g_hash_table_lookup (known->entries, sum->id);
      if (other == NULL || other->born_ms < entry->born_ms)
        {
          g_hash_table_replace (known->entries, g_strdup (sum->id), entry);
        }
      else
        {
          g_free (entry);
        }
    }
  return true;
}

/* Returns whether KNOWN has an answer that isn't too old at NOW_US.  */
bool
fkn_is_current (const struct fkn_known *known, int64_t now_us)
{
  return known->received_us != 0
         && now_us - known->received_us < FKN_AGE_MAX_US;
}

/* Returns the time since the answer in use came, or -1 without any.  */
int64_t
fkn_age_us (const struct fkn_known *known, int64_t now_us)
{
  return known->received_us == 0 ? -1 : now_us - known->received_us;
}

/* Returns the number of daemons that the answer in use counts.  */
uint32_t
fkn_daemons (const struct fkn_known *known)
{
  return known->daemons;
}

/* Returns the requests of the other daemons at all engines.  */
uint32_t
fkn_requests (const struct fkn_known *known)
{
  return known->requests;
}

/* Sets TOTAL to the other daemons' requests at the engine ID, in its
   incarnation that started at BORN_MS.  Its age is that of the oldest part.
   Returns false when there is no answer that isn't too old; an engine that
   the answer doesn't name has no requests.  */
bool
fkn_total (const struct fkn_known *known, const char *id, int64_t born_ms,
           int64_t now_us, struct flo_total *total)
{
  *total = (struct flo_total){ 0 };
  if (!fkn_is_current (known, now_us))
    {
      return false;
    }
  const struct entry *entry = g_hash_table_lookup (known->entries, id);
  if (entry != NULL && entry->born_ms == born_ms)
    {
      *total = entry->total;
    }
  total->age_us += now_us - known->received_us;
  return true;
}

/* Sets PER_S to the arrivals a second at all daemons, by rank index.  Returns
   false when there is no answer that isn't too old.  */
bool
fkn_rates (const struct fkn_known *known, int64_t now_us,
           double per_s[FLT_RANKS_MAX])
{
  memcpy (per_s, known->per_s, sizeof known->per_s);
  return fkn_is_current (known, now_us);
}

/* Returns whether this daemon's own calls show that the engine of REPORT was
   alive after it was found dead.  */
bool
fkn_is_disproved (const struct fkn_report *report)
{
  return report->answered_us > report->found_us
         || report->progressed_us > report->found_us + FKN_PROGRESS_US;
}

/* Returns what this daemon makes of REPORT at NOW_US.  An event that came just
   now may have passed the engine before it failed: it doesn't clear the engine
   of suspicion, since streams over it would fall silent for too long
   meanwhile.  */
enum fkn_verdict
fkn_judge (const struct fkn_report *report, int64_t now_us)
{
  bool progresses = report->progressed_us != 0
                    && now_us - report->progressed_us < FKN_PROGRESS_US;
  if (report->cut_off || report->reporters == 0 || fkn_is_disproved (report))
    {
      return FKN_IGNORED;
    }
  return report->reporters >= FLO_REPORTERS_MIN && !progresses ? FKN_CONFIRMED
                                                               : FKN_SUSPECT;
}
