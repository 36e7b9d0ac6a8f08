/* Finds what requests have in common that crash endpoints, and keeps such
   requests away from them.

   The load: requests arrive at every daemon, and each endpoint that begins to
   answer one of them crashes.  Either their prompts share a part and they are
   otherwise all different, or they are repeats of one request.  What runs
   beside them breaks off too and goes on elsewhere, so the next endpoint to
   crash has more of it.  Every daemon sees only a few of these ends.

   A trait is what requests may have in common: a part of their prompts, or all
   that repeats of one request share.  Each end of an endpoint is evidence
   against the traits of all requests that it had just begun to answer, or was
   about to.  Daemons share their evidence.  A trait is quarantined when
   several endpoints have ended under it and no other trait explains these ends
   as well; a trait on which any daemon has seen an endpoint write lately is
   sound.  Where several parts explain about as many ends, the one that the
   fewest requests have is taken: the parts that most prompts share are in all
   of them.  Repeats of a request explain ends only if no part explains more;
   where one explains as much, only those with that part are kept away.
   Evidence is dropped when the endpoint turns out to be alive.  From time to
   time one request with a quarantined trait is let through, to find out
   whether it still crashes endpoints: soon after the quarantine, since a trait
   that nobody has seen answered yet may be sound, and more and more rarely as
   the evidence stands. */
#ifndef CORE_POISON_H
#define CORE_POISON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Endpoints that must have ended under a trait before it is quarantined. */
#define PSN_ENDS_MIN 3

/* Share of the ends that the best trait explains from which another one
   explains about as many. */
#define PSN_ENDS_SHARE 0.8

/* How long a trait counts as sound after an endpoint has written on it. */
#define PSN_SOUND_US INT64_C (300000000)

/* Time from the quarantine of a trait until a request with it is let through,
   and what the interval to the next one is multiplied by, up to a maximum. */
#define PSN_TRIAL_FIRST_US INT64_C (5000000)
#define PSN_TRIAL_GROWTH 4
#define PSN_TRIAL_MAX_US INT64_C (300000000)

/* How long evidence is kept without any more of it. */
#define PSN_KEPT_MS INT64_C (3600000)

/* How long evidence against repeats of one request is kept while they aren't
   quarantined: most requests that break off are never repeated. */
#define PSN_REPEATS_KEPT_MS INT64_C (300000)

/* Limits on the traits that are under suspicion, on the ends that a daemon
   reports of each, and on the traits that are known otherwise. */
#define PSN_SUSPECTS_MAX 1024
#define PSN_ENDS_MAX 16
#define PSN_SEEN_MAX 4096

/* A trait that more than this share of the requests of its service have isn't
   quarantined; the share is known after so many requests. */
#define PSN_PREVALENT_SHARE 0.9
#define PSN_PREVALENT_MIN 20

/* A time on both clocks: evidence that is shared states Unix time. */
struct psn_time
{
  int64_t monotonic_us;
  int64_t unix_ms;
};

/* A trait was quarantined or released. */
struct psn_transition
{
  char *trait;
  bool quarantined;
  uint32_t ends;
};

/* A record for the other daemons; freed with its list. */
struct psn_record
{
  char *key;
  uint8_t *value; /* NULL: the record of this key is dropped */
  size_t value_bytes;
};

struct psn_set;

struct psn_set *psn_create (const char *reporter, int64_t settle_us);
void psn_destroy (struct psn_set *set);
char *psn_part_name (const char *service, const char *id);
char *psn_request_name (const char *digest);

void psn_arrived (struct psn_set *set, const char *service,
                  char *const traits[], struct psn_time now);
void psn_report_end (struct psn_set *set, char *const traits[],
                     const char *endpoint, struct psn_time now);
void psn_report_alive (struct psn_set *set, const char *endpoint,
                       struct psn_time now);
void psn_report_sound (struct psn_set *set, char *const traits[],
                       struct psn_time now);

const char *psn_find (struct psn_set *set, char *const traits[],
                      struct psn_time now);
bool psn_take_trial (struct psn_set *set, const char *trait,
                     struct psn_time now);
int64_t psn_trial_wait_us (const struct psn_set *set, const char *trait,
                           struct psn_time now);
struct psn_transition *psn_next_transition (struct psn_set *set,
                                            struct psn_time now);
void psn_transition_free (struct psn_transition *transition);
uint32_t psn_quarantined_count (const struct psn_set *set);

void psn_expire (struct psn_set *set, bool of_others, struct psn_time now);
GPtrArray *psn_take_changes (struct psn_set *set);
void psn_return_changes (struct psn_set *set, const GPtrArray *records);
void psn_publish_again (struct psn_set *set, bool of_others);
bool psn_merge (struct psn_set *set, const char *key, const uint8_t *value,
                size_t value_bytes, struct psn_time now, GError **error);
void psn_begin_snapshot (struct psn_set *set);
void psn_end_snapshot (struct psn_set *set);

#endif
