/* Weighted fair queue with priorities and deadlines.  A flow stands for one
   account.  Backlogged flows are served in proportion to their weights,
   regardless of how much they offer.  Within a flow, items are served by
   priority, then in order of arrival. */
#ifndef CORE_FAIR_H
#define CORE_FAIR_H

#include <stdbool.h>
#include <stdint.h>

/* Number of priorities within a flow. */
#define FQ_PRIORITIES 4

struct fq_queue;

struct fq_item
{
  uint64_t id;             /* unique within the queue */
  uint32_t flow;           /* index of the flow, any number */
  uint32_t priority;       /* 0 is the highest; limited to FQ_PRIORITIES - 1 */
  double cost;             /* expected work, in any unit, above 0 */
  int64_t latest_start_us; /* the item expires after this time */
};

struct fq_queue *fq_create (void);
void fq_destroy (struct fq_queue *queue);
void fq_set_weight (struct fq_queue *queue, uint32_t index, uint32_t weight);
void fq_push (struct fq_queue *queue, const struct fq_item *item);
bool fq_pop (struct fq_queue *queue, struct fq_item *item);
bool fq_pop_expired (struct fq_queue *queue, int64_t now_us,
                     struct fq_item *item);
bool fq_evict (struct fq_queue *queue, struct fq_item *item);
bool fq_remove (struct fq_queue *queue, uint64_t id, struct fq_item *item);
uint32_t fq_length (const struct fq_queue *queue);
double fq_total_cost (const struct fq_queue *queue);
double fq_cost_ahead (const struct fq_queue *queue, uint32_t index,
                      uint32_t priority);
bool fq_has_longest_backlog (const struct fq_queue *queue, uint32_t index);

#endif
