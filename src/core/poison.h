/* Finds the part of prompts that crashes engines, and keeps requests with it
   away from them.

   The load: requests whose prompts share a part, otherwise all different,
   arrive at every daemon, and each engine that begins to write on one of them
   crashes.  Streams of sound requests break off with it and go on elsewhere,
   so the next engine to crash has more of them.  Every daemon sees only a few
   of these ends.

   Each end of an engine is evidence against the parts of all prompts on which
   it had just begun to write, or was about to.  Daemons share their evidence.
   A part is quarantined when several engines have ended under it and no other
   part explains these ends as well; a part on which any daemon has seen an
   engine write lately is sound.  Where several parts explain about as many
   ends, the one that the fewest requests have is taken: the parts that most
   prompts share are in all of them.  Evidence is dropped when the engine turns
   out to be alive.  From time to time one request with a quarantined part is
   let through, to find out whether it still crashes engines. */
#ifndef CORE_POISON_H
#define CORE_POISON_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Engines that must have ended under a part before it is quarantined. */
#define PSN_ENDS_MIN 3

/* Share of the ends that the best part explains from which another one
   explains about as many. */
#define PSN_ENDS_SHARE 0.8

/* How long a part counts as sound after an engine has written on it. */
#define PSN_SOUND_US INT64_C (300000000)

/* Interval at which a request with a quarantined part is let through. */
#define PSN_TRIAL_US INT64_C (300000000)

/* How long evidence is kept without any more of it. */
#define PSN_KEPT_MS INT64_C (3600000)

/* Limits on the parts that are under suspicion, on the ends that a daemon
   reports of each, and on the parts that are known otherwise. */
#define PSN_SUSPECTS_MAX 256
#define PSN_ENDS_MAX 16
#define PSN_SEEN_MAX 4096

/* A part that more than this share of the requests of its service have isn't
   quarantined; the share is known after so many requests. */
#define PSN_PREVALENT_SHARE 0.9
#define PSN_PREVALENT_MIN 20

/* A time on both clocks: evidence that is shared states Unix time. */
struct psn_time
{
  int64_t monotonic_us;
  int64_t unix_ms;
};

/* A part was quarantined or released. */
struct psn_transition
{
  char *part;
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
                  char *const parts[], struct psn_time now);
void psn_report_end (struct psn_set *set, char *const parts[],
                     const char *engine, struct psn_time now);
void psn_report_alive (struct psn_set *set, const char *engine,
                       struct psn_time now);
void psn_report_sound (struct psn_set *set, char *const parts[],
                       struct psn_time now);

const char *psn_find (struct psn_set *set, char *const parts[],
                      struct psn_time now);
bool psn_take_trial (struct psn_set *set, const char *part,
                     struct psn_time now);
int64_t psn_trial_wait_us (const struct psn_set *set, const char *part,
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
