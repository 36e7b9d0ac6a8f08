/* Assignment of model segments to engines.

   A segment is a range of consecutive layers of one model.  An engine may hold
   several segments and divides its rate among them.  The module builds
   assignments (as_fill, as_replicate), computes their token rate by maximum
   flow (as_evaluate) and raises that rate by local search (as_improve) and
   simulated annealing (as_anneal).  Data centres, engines and segments are
   given by their index.  */
#ifndef CORE_ASSIGN_H
#define CORE_ASSIGN_H

#include <stdbool.h>
#include <stdint.h>

struct as_engine
{
  double rate; /* layer-tokens per second */
  uint32_t memory_mib;
  uint32_t data_centre;
};

struct as_segment
{
  double demand; /* layers times the model's share of all tokens */
  uint32_t memory_mib;
};

struct as_problem
{
  const struct as_engine *engines;
  uint32_t engine_count;
  const struct as_segment *segments;
  uint32_t segment_count;
  uint32_t data_centre_count;
  uint32_t replicas_min;     /* engines to hold each segment */
  uint32_t data_centres_min; /* data centres to hold each segment */
  uint32_t segments_max;     /* segments that one engine may hold */
};

/* Which engine holds which segment.  as_evaluate sets the fields from
   `tokens_per_s' on; as_add and as_remove leave them out of date. */
struct as_assignment
{
  const struct as_problem *problem;
  bool *holds;              /* by engine, then segment */
  uint32_t *free_mib;       /* by engine */
  uint32_t *segment_counts; /* by engine: segments that it holds */
  uint32_t *holder_counts;  /* by segment: engines that hold it */
  uint32_t *local_holders;  /* by segment, then data centre: engines */
  double tokens_per_s;      /* highest rate that all segments sustain */
  bool *limiting;           /* by segment: is part of the bottleneck */
  double *used_rates;       /* by engine: layer-tokens/s used at that rate */
  double limiting_share;    /* share of all demand that is in the bottleneck */
};

struct as_assignment *as_create (const struct as_problem *problem);
struct as_assignment *as_copy (const struct as_assignment *assignment);
void as_destroy (struct as_assignment *assignment);
bool as_holds (const struct as_assignment *assignment, uint32_t engine,
               uint32_t segment);
bool as_fits (const struct as_assignment *assignment, uint32_t engine,
              uint32_t segment);
void as_add (struct as_assignment *assignment, uint32_t engine,
             uint32_t segment);
void as_remove (struct as_assignment *assignment, uint32_t engine,
                uint32_t segment);
void as_evaluate (struct as_assignment *assignment);
void as_fill (struct as_assignment *assignment, bool idle_only);
void as_replicate (struct as_assignment *assignment);
void as_improve (struct as_assignment *assignment, double least_gain);
uint32_t *as_local_holders (const struct as_assignment *assignment,
                            uint32_t engine, uint32_t segment);
uint32_t as_count_data_centres (const struct as_assignment *assignment,
                                uint32_t segment);
bool as_can_drop (const struct as_assignment *assignment, uint32_t engine,
                  uint32_t segment);
uint32_t as_find_droppable (const struct as_assignment *assignment,
                            uint32_t engine, uint32_t segment);
bool as_can_replace (const struct as_assignment *assignment, uint32_t engine,
                     uint32_t dropped, uint32_t added);
void as_swap (struct as_assignment *assignment, uint32_t a, uint32_t segment_a,
              uint32_t b, uint32_t segment_b);
uint32_t as_count_missing_data_centres (const struct as_assignment *assignment,
                                        uint32_t segment);
uint32_t as_count_under_replicated (const struct as_assignment *assignment);
struct as_assignment *as_anneal (const struct as_assignment *start,
                                 uint32_t steps);
double as_compute_only_bound (const struct as_problem *problem);

#endif
