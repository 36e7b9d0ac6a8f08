/* The counters and gauges that a daemon exports, except for those of its HTTP
   servers. */
#ifndef DAEMON_METRICS_H
#define DAEMON_METRICS_H

#include "base/counter.h"

struct met_metrics
{
  struct cnt_series *tokens;
  struct cnt_series *attempts;
  struct cnt_series *steps;
  struct cnt_series *steps_failed;
  struct cnt_series *streams;
  struct cnt_series *queued;
  struct cnt_series *stream_limit;
  struct cnt_series *capacity; /* tokens per second of the whole fleet */
  struct cnt_series *config_version;
  struct cnt_series *daemons_ready;
  struct cnt_series *ready;
  struct cnt_series *claims_active;
  struct cnt_series *keys;
  struct cnt_series *burn_rejected;
};

struct met_metrics *met_create (struct cnt_set *set);
void met_destroy (struct met_metrics *metrics);

#endif
