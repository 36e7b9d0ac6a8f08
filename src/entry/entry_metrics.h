/* The counters, gauges and histograms of an entry daemon. */
#ifndef ENTRY_ENTRY_METRICS_H
#define ENTRY_ENTRY_METRICS_H

#include "base/counter.h"

struct emt_metrics
{
  struct cnt_series *requests;
  struct cnt_series *answers_2xx;
  struct cnt_series *answers_4xx;
  struct cnt_series *answers_5xx;
  struct cnt_series *refused; /* 503 of our own: not run */
  struct cnt_series *unknown; /* 502 and 504 of our own */
  struct cnt_series *broken_off;
  struct cnt_series *callers_gone;
  struct cnt_series *attempts;
  struct cnt_series *repeats;
  struct cnt_series *resumed;
  struct cnt_series *budget_spent;
  struct cnt_series *events;
  struct cnt_series *under_way;
  struct cnt_series *config_version;
  struct cnt_series *endpoints;
  struct cnt_series *connections_opened;
  struct cnt_series *log_dropped;
  struct cnt_series *proof_age_ms;
  struct cnt_series *first_byte;
  struct cnt_series *whole;
};

struct emt_metrics *emt_create (struct cnt_set *set);
void emt_count_answer (struct emt_metrics *metrics, uint32_t status);
void emt_destroy (struct emt_metrics *metrics);

#endif
