/* The counters, gauges and histograms that an entry daemon exports. */
#ifndef ENTRY_ENTRY_METRICS_H
#define ENTRY_ENTRY_METRICS_H

#include "base/counter.h"

struct emt_metrics
{
  struct cnt_series *requests;
  struct cnt_series *answers_2xx; /* status below 400 */
  struct cnt_series *answers_4xx;
  struct cnt_series *answers_5xx;
  struct cnt_series *refused; /* answered 503 by the daemon itself: not run */
  struct cnt_series *outcome_unknown;      /* answered 502 or 504 by the daemon
                                              itself: may have run */
  struct cnt_series *aborted;              /* answers begun and not finished */
  struct cnt_series *callers_disconnected; /* before the end of the answer;
                                              not counted in `aborted' */
  struct cnt_series *attempts;             /* requests sent to endpoints */
  struct cnt_series *retries; /* repeats taken from the retry budget */
  struct cnt_series *resumed; /* streams continued by another endpoint */
  struct cnt_series *retries_denied; /* by the retry budget */
  struct cnt_series *leaving_said;   /* endpoints that said that they leave */
  struct cnt_series *turned_away; /* times that an endpoint was closed since it
                                     turned a request away */
  struct cnt_series *quarantine_refused; /* requests refused for a part of
                                            their prompt */
  struct cnt_series *quarantined_traits; /* of prompts, now */
  struct cnt_series *passed_on;          /* attempts at another daemon */
  struct cnt_series *cut_off;            /* services whose endpoints this
                                         daemon can't reach now */
  struct cnt_series *events;
  struct cnt_series *in_progress;
  struct cnt_series *config_version;
  struct cnt_series *endpoints; /* in the view in force */
  struct cnt_series *connections_opened;
  struct cnt_series *store_restores;  /* from an older copy */
  struct cnt_series *log_dropped;     /* log lines over the rate limit */
  struct cnt_series *proof_age_ms;    /* age of the newest proof that the
                                         configuration is current */
  struct cnt_series *memory_max;      /* bytes for connections */
  struct cnt_series *memory_used;     /* of these */
  struct cnt_series *memory_bodies;   /* of these, large bodies of requests */
  struct cnt_series *memory_refused;  /* requests and connections, for want of
                                         memory */
  struct cnt_series *memory_evicted;  /* stalled requests and unread answers
                                         that were ended */
  struct cnt_series *first_byte_time; /* histogram; this and the next one: from
                                         the complete arrival of the request */
  struct cnt_series *total_time;      /* histogram */
};

struct emt_metrics *emt_create (struct cnt_set *set);
void emt_count_answer (struct emt_metrics *metrics, uint32_t status);
void emt_destroy (struct emt_metrics *metrics);

#endif
