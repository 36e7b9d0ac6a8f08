/* Adaptive limit on the concurrent streams of one daemon.  The limit starts
   from Little's law and then follows the observed time between tokens: it
   grows by small steps while the target is met, and shrinks when too many
   steps exceed the target. */
#ifndef CORE_CONCURRENCY_H
#define CORE_CONCURRENCY_H

#include <stdint.h>

struct con_limit
{
  double max_streams;         /* the limit; fractional between adjustments */
  double tokens_per_s;        /* share of the fleet's capacity; 0: unknown */
  int64_t target_us;          /* between tokens, for 95 % of the steps */
  int64_t average_us;         /* between tokens, moving average; 0: none */
  int64_t deviation_us;       /* moving mean absolute deviation from it */
  int64_t unloaded_us;        /* lowest recent `average_us'; 0: none */
  double served_tokens_per_s; /* rate observed in the last round; 0: none */
  uint32_t observed;          /* steps observed in this round */
  uint32_t over_target;       /* of these, steps over `target_us' */
};

void con_init (struct con_limit *limit, double tokens_per_s,
               int64_t target_us);
void con_set_capacity (struct con_limit *limit, double tokens_per_s,
                       int64_t target_us);
void con_observe (struct con_limit *limit, int64_t between_tokens_us,
                  uint32_t running_streams);
uint32_t con_max_streams (const struct con_limit *limit);
int64_t con_upper_estimate_us (const struct con_limit *limit);
double con_unloaded_streams (const struct con_limit *limit);
double con_throughput_per_s (const struct con_limit *limit);

#endif
