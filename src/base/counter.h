/* Counters, gauges and histograms of durations, and their output in the
   Prometheus text exposition format. */
#ifndef BASE_COUNTER_H
#define BASE_COUNTER_H

#include <glib.h>
#include <stdint.h>

/* All series of a process. */
struct cnt_set;

/* One metric name with one set of labels. */
struct cnt_series;

enum cnt_type
{
  CNT_COUNTER,
  CNT_GAUGE,
  CNT_HISTOGRAM
};

struct cnt_set *cnt_set_create (void);
void cnt_set_destroy (struct cnt_set *set);
struct cnt_series *cnt_series (struct cnt_set *set, enum cnt_type type,
                               const char *name, const char *labels,
                               const char *help);
struct cnt_series *cnt_histogram (struct cnt_set *set, const char *name,
                                  const char *labels, const char *help);
void cnt_observe_us (struct cnt_series *histogram, int64_t duration_us);
void cnt_add (struct cnt_series *series, int64_t amount);
void cnt_set_gauge (struct cnt_series *series, int64_t value);
int64_t cnt_get (const struct cnt_series *series);
void cnt_render (struct cnt_set *set, GString *out);

#endif
