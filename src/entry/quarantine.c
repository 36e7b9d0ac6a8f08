#include "entry/quarantine.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/poison.h"

#include <pthread.h>
#include <string.h>
#include <xxhash.h>

/* Time for which a trait must be the best explanation before it is
   quarantined, as a share of the bound. */
#define SETTLE_SHARE 0.1

struct qrn_quarantine
{
  pthread_mutex_t mutex;
  struct psn_set *set;
  bool leads; /* this daemon lets requests through now and then */
};

static struct psn_time
now (void)
{
  return (struct psn_time){ .monotonic_us = clk_monotonic_us (),
                            .unix_ms = clk_real_us () / CLK_MS_US };
}

/* Creates a quarantine without evidence for DAEMON.  A trait that crashes
   endpoints must be quarantined at all daemons within BOUND_US.  */
struct qrn_quarantine *
qrn_create (const char *daemon, int64_t bound_us)
{
  struct qrn_quarantine *quarantine = g_new0 (struct qrn_quarantine, 1);
  g_autofree char *reporter
      = g_strdup_printf ("%s-%08x", daemon, g_random_int ());
  pthread_mutex_init (&quarantine->mutex, NULL);
  quarantine->set
      = psn_create (reporter, (int64_t)((double)bound_us * SETTLE_SHARE));
  return quarantine;
}

/* Frees QUARANTINE.  */
void
qrn_destroy (struct qrn_quarantine *quarantine)
{
  psn_destroy (quarantine->set);
  pthread_mutex_destroy (&quarantine->mutex);
  g_free (quarantine);
}

/* Returns the name of REQUEST, which its repeats have too.  The caller frees
   it.  */
static char *
name_request (const struct qrn_request *request)
{
  const char *const texts[]
      = { request->method, request->host, request->target,
          request->account == NULL ? "" : request->account };
  XXH3_state_t *state = XXH3_createState ();
  XXH3_128bits_reset (state);
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      /* With the final null character, which separates the texts. */
      XXH3_128bits_update (state, texts[i], strlen (texts[i]) + 1);
    }
  if (request->body_bytes > 0)
    {
      XXH3_128bits_update (state, request->body, request->body_bytes);
    }
  XXH128_hash_t hash = XXH3_128bits_digest (state);
  XXH3_freeState (state);
  g_autofree char *digest = g_strdup_printf ("%016" G_GINT64_MODIFIER
                                             "x%016" G_GINT64_MODIFIER "x",
                                             hash.high64, hash.low64);
  return psn_request_name (digest);
}

/* Returns the names of the traits of REQUEST, for the other functions.  The
   caller frees them with g_strfreev.  */
char **
qrn_name_traits (const struct qrn_request *request)
{
  g_autoptr (GStrvBuilder) names = g_strv_builder_new ();
  for (size_t i = 0; request->part_ids[i] != NULL; i++)
    {
      g_autofree char *name
          = psn_part_name (request->service, request->part_ids[i]);
      g_strv_builder_add (names, name);
    }
  g_autofree char *name = name_request (request);
  g_strv_builder_add (names, name);
  return g_strv_builder_end (names);
}

/* Counts a request for SERVICE with the named TRAITS.  */
void
qrn_report_arrival (struct qrn_quarantine *quarantine, const char *service,
                    char *const traits[])
{
  pthread_mutex_lock (&quarantine->mutex);
  psn_arrived (quarantine->set, service, traits, now ());
  pthread_mutex_unlock (&quarantine->mutex);
}

/* Returns the text that identifies the incarnation of ENDPOINT that started at
   BORN_MS.  The caller frees it.  */
static char *
incarnation (const char *endpoint, int64_t born_ms)
{
  return g_strdup_printf ("%s@%" G_GINT64_FORMAT, endpoint, born_ms);
}

/* Records that ENDPOINT, which started at BORN_MS, ended as it began to write
   on a request with the named TRAITS, or before.  */
void
qrn_report_end (struct qrn_quarantine *quarantine, char *const traits[],
                const char *endpoint, int64_t born_ms)
{
  g_autofree char *end = incarnation (endpoint, born_ms);
  pthread_mutex_lock (&quarantine->mutex);
  psn_report_end (quarantine->set, traits, end, now ());
  pthread_mutex_unlock (&quarantine->mutex);
}

/* Records that ENDPOINT, which started at BORN_MS, has answered a request that
   was sent after its connections had broken off: it hadn't ended.  */
void
qrn_report_alive (struct qrn_quarantine *quarantine, const char *endpoint,
                  int64_t born_ms)
{
  g_autofree char *end = incarnation (endpoint, born_ms);
  pthread_mutex_lock (&quarantine->mutex);
  psn_report_alive (quarantine->set, end, now ());
  pthread_mutex_unlock (&quarantine->mutex);
}

/* Records that an endpoint has written on a request with the named TRAITS.  */
void
qrn_report_sound (struct qrn_quarantine *quarantine, char *const traits[])
{
  pthread_mutex_lock (&quarantine->mutex);
  psn_report_sound (quarantine->set, traits, now ());
  pthread_mutex_unlock (&quarantine->mutex);
}

/* Decides whether a request that has arrived, with the named TRAITS, may be
   sent to an endpoint.  Now and then the leader lets one with a quarantined
   trait through.  */
struct qrn_verdict
qrn_check (struct qrn_quarantine *quarantine, char *const traits[])
{
  struct qrn_verdict verdict = { 0 };
  struct psn_time at = now ();
  pthread_mutex_lock (&quarantine->mutex);
  const char *trait = psn_find (quarantine->set, traits, at);
  verdict.trial = trait != NULL && quarantine->leads
                  && psn_take_trial (quarantine->set, trait, at);
  if (verdict.trial)
    {
      lg_line (LOG_NOTICE, "quarantine_trial", "trait=%s", trait);
    }
  else if (trait != NULL)
    {
      verdict.refused = true;
      verdict.wait_us = psn_trial_wait_us (quarantine->set, trait, at);
    }
  pthread_mutex_unlock (&quarantine->mutex);
  return verdict;
}

/* Returns true if one of the named TRAITS is quarantined.  Sets WAIT_US to the
   time until a request with it may be let through; 0 if none is.  */
bool
qrn_is_quarantined (struct qrn_quarantine *quarantine, char *const traits[],
                    int64_t *wait_us)
{
  struct psn_time at = now ();
  pthread_mutex_lock (&quarantine->mutex);
  const char *trait = psn_find (quarantine->set, traits, at);
  *wait_us
      = trait == NULL ? 0 : psn_trial_wait_us (quarantine->set, trait, at);
  pthread_mutex_unlock (&quarantine->mutex);
  return trait != NULL;
}

/* Logs which traits were quarantined or released since the last call, and sets
   COUNT to the number of those that are quarantined.  Returns true if traits
   were quarantined.  */
bool
qrn_log_changes (struct qrn_quarantine *quarantine, uint32_t *count)
{
  bool quarantined = false;
  pthread_mutex_lock (&quarantine->mutex);
  struct psn_transition *transition
      = psn_next_transition (quarantine->set, now ());
  while (transition != NULL)
    {
      lg_line (LOG_WARNING,
               transition->quarantined ? "trait_quarantined"
                                       : "trait_released",
               "trait=%s ends=%u", transition->trait, transition->ends);
      quarantined |= transition->quarantined;
      psn_transition_free (transition);
      transition = psn_next_transition (quarantine->set, now ());
    }
  *count = psn_quarantined_count (quarantine->set);
  pthread_mutex_unlock (&quarantine->mutex);
  return quarantined;
}

/* Records whether this daemon LEADS the fleet.  */
void
qrn_set_leader (struct qrn_quarantine *quarantine, bool leads)
{
  pthread_mutex_lock (&quarantine->mutex);
  quarantine->leads = leads;
  pthread_mutex_unlock (&quarantine->mutex);
}

/* Returns the records to publish, struct psn_record, and takes them for
   published.  The caller frees the array.  */
GPtrArray *
qrn_take_changes (struct qrn_quarantine *quarantine)
{
  pthread_mutex_lock (&quarantine->mutex);
  GPtrArray *records = psn_take_changes (quarantine->set);
  pthread_mutex_unlock (&quarantine->mutex);
  return records;
}

/* Takes RECORDS back, which couldn't be published.  */
void
qrn_return_changes (struct qrn_quarantine *quarantine,
                    const GPtrArray *records)
{
  pthread_mutex_lock (&quarantine->mutex);
  psn_return_changes (quarantine->set, records);
  pthread_mutex_unlock (&quarantine->mutex);
}

/* Makes the next qrn_take_changes return all records of this daemon; if
   OF_OTHERS and this daemon leads, those of other daemons too.  */
void
qrn_publish_again (struct qrn_quarantine *quarantine, bool of_others)
{
  pthread_mutex_lock (&quarantine->mutex);
  psn_publish_again (quarantine->set, of_others && quarantine->leads);
  pthread_mutex_unlock (&quarantine->mutex);
}

/* Drops evidence that is too old; the leader removes that of others from the
   store.  */
void
qrn_expire (struct qrn_quarantine *quarantine)
{
  pthread_mutex_lock (&quarantine->mutex);
  psn_expire (quarantine->set, quarantine->leads, now ());
  pthread_mutex_unlock (&quarantine->mutex);
}

/* Records that a snapshot of the published records begins.  */
void
qrn_begin_snapshot (struct qrn_quarantine *quarantine)
{
  pthread_mutex_lock (&quarantine->mutex);
  psn_begin_snapshot (quarantine->set);
  pthread_mutex_unlock (&quarantine->mutex);
}

/* Drops what the snapshot that has ended doesn't have.  */
void
qrn_end_snapshot (struct qrn_quarantine *quarantine)
{
  pthread_mutex_lock (&quarantine->mutex);
  psn_end_snapshot (quarantine->set);
  pthread_mutex_unlock (&quarantine->mutex);
}

/* Takes a published RECORD, of any daemon.  */
void
qrn_merge (struct qrn_quarantine *quarantine, const struct pfs_record *record)
{
  g_autoptr (GError) error = NULL;
  pthread_mutex_lock (&quarantine->mutex);
  bool valid = psn_merge (quarantine->set, record->key, record->value,
                          record->value_bytes, now (), &error);
  pthread_mutex_unlock (&quarantine->mutex);
  if (!valid)
    {
      lg_line (LOG_WARNING, "quarantine_record_refused",
               "offset=%lu why=\"%s\"", (unsigned long)record->offset,
               error->message);
    }
}
