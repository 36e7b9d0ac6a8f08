/* State that the source files of core/poison share. */
#ifndef CORE_POISON_PRIVATE_H
#define CORE_POISON_PRIVATE_H

#include "core/poison.h"

/* Separates the service, the trait and the reporter in names and keys. */
#define PSN_MARK '/'

/* What one daemon reports of one trait. */
struct psn_report
{
  GPtrArray *ends; /* char *, endpoints that ended */
  uint32_t position;
  int64_t sound_ms;   /* Unix time; 0: not lately */
  int64_t updated_ms; /* Unix time */
  bool named;         /* by the snapshot in progress */
};

/* A trait that is or was under suspicion. */
struct psn_suspect
{
  char *trait;         /* name */
  uint64_t serial;     /* of suspects, in the order of their creation */
  GHashTable *reports; /* reporter to struct psn_report */
  GHashTable *cleared; /* set of ends from before an endpoint wrote on it */
  GHashTable *common_parts; /* of a request: set of the parts that all its
                               repeats had under which this daemon has seen
                               endpoints end; NULL: none yet */
  int64_t sound_ms;       /* newest proof of any daemon, Unix time; 0: none */
  int64_t sound_until_us; /* according to any daemon; monotonic */
  int64_t selected_us; /* since when it is the best explanation, monotonic; 0:
                          it isn't */
  int64_t trial_us;    /* when the next request is let through, monotonic */
  int64_t trial_interval_us; /* from then to the one after it */
  bool quarantined;
};

/* What this daemon has seen of one trait, or of all traits of a service. */
struct psn_seen
{
  int64_t sound_us;   /* when an endpoint last wrote on it, monotonic; 0: not
                         yet */
  double arrivals;    /* of requests, halved at intervals */
  int64_t arrived_us; /* the newest one, monotonic */
};

struct psn_set
{
  char *reporter;
  int64_t settle_us;
  GHashTable *suspects;      /* trait to struct psn_suspect */
  GHashTable *seen_parts;    /* trait to struct psn_seen; the services too */
  GHashTable *seen_requests; /* the same of whole requests */
  GHashTable *changed;       /* set of keys of records to publish */
  GQueue transitions;        /* struct psn_transition */
  bool outdated;     /* the evidence has changed since the last decision */
  int64_t decide_us; /* when to decide again all the same, monotonic */
  uint32_t quarantined;
  uint64_t next_serial; /* of suspects */
};

bool psn_is_request (const char *trait);
struct psn_suspect *psn_suspect_of (struct psn_set *set, const char *trait);
struct psn_report *psn_report_of (struct psn_suspect *suspect,
                                  const char *reporter);
void psn_mark_changed (struct psn_set *set, const struct psn_suspect *suspect,
                       const char *reporter);
void psn_clear_evidence (struct psn_set *set, struct psn_suspect *suspect,
                         struct psn_time now);
bool psn_is_empty (const struct psn_report *report);
void psn_drop_report (struct psn_set *set, struct psn_suspect *suspect,
                      const char *reporter);

#endif
