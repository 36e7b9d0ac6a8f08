/* The counters, gauges and histograms that an entry daemon exports. */
#ifndef ENTRY_ENTRY_METRICS_H
#define ENTRY_ENTRY_METRICS_H

#include "base/counter.h"
#include "core/fleet.h"

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
  struct cnt_series *queue_refused[FLT_RANKS_MAX]; /* since queues are full,
                                                      by rank index */
  struct cnt_series *free_slots;   /* of all first engines, as far as known */
  struct cnt_series *passed_on;    /* attempts at another daemon */
  struct cnt_series *held;         /* requests, while the daemon starts */
  struct cnt_series *cut_off;      /* services whose endpoints this
                                   daemon can't reach now */
  struct cnt_series *load_age_ms;  /* of the other daemons' load; -1: never
                                      known */
  struct cnt_series *load_daemons; /* that state theirs */
  struct cnt_series *load_elsewhere;  /* other daemons' requests */
  struct cnt_series *exchange_losses; /* times that no relay answered */
  struct cnt_series *aggregator_changes;
  struct cnt_series *deaths_told;      /* engines found dead first here */
  struct cnt_series *deaths_suspected; /* engines that others found dead */
  struct cnt_series *deaths_confirmed; /* by several of them */
  struct cnt_series *events;
  struct cnt_series *output_expected; /* tokens of complete answers, as
                                         expected on arrival */
  struct cnt_series *output_real;     /* tokens of the same answers */
  struct cnt_series *outputs_over;    /* answers that exceeded their claim */
  struct cnt_series *bad_counts;      /* requests with ignored token counts */
  struct cnt_series *in_progress;
  struct cnt_series *config_version;
  struct cnt_series *endpoints; /* in the view in force */
  struct cnt_series *connections_opened;
  struct cnt_series *store_restores; /* from an older copy */
  struct cnt_series *log_dropped;    /* log lines over the rate limit */
  struct cnt_series *proof_age_ms;   /* age of the newest proof that the
                                        configuration is current */
  struct cnt_series *memory_max;     /* bytes for connections */
  struct cnt_series *memory_used;    /* of these */
  struct cnt_series *memory_bodies;  /* of these, large bodies of requests */
  struct cnt_series *memory_refused; /* requests and connections, for want of
                                        memory */
  struct cnt_series *memory_evicted; /* stalled requests and unread answers
                                        that were ended */
  struct cnt_series *connections;    /* of callers, now */
  struct cnt_series *connections_evicted; /* see nsv_counts */
  struct cnt_series *connections_reset;
  struct cnt_series *first_byte_time; /* histogram; this and the next one: from
                                         the complete arrival of the request */
  struct cnt_series *total_time;      /* histogram */
  struct cnt_series *loop_turns;      /* histogram: how long callbacks hold the
                                         event loop of the callers */
};

struct emt_metrics *emt_create (struct cnt_set *set);
void emt_count_answer (struct emt_metrics *metrics, uint32_t status);
void emt_destroy (struct emt_metrics *metrics);

#endif
