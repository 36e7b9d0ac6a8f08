/* A queue of entries that wait for an append to the log.  Batches are taken by
   weighted round robin over the accounts.

   Each account has two queues.  Durable entries are those that have to reach
   the log, such as releases and outcomes; they come before claims, which are
   limited in number and can be removed again. */
#ifndef CORE_BATCH_H
#define CORE_BATCH_H

#include "core/record.h"

struct bat_queue;

struct bat_queue *bat_queue_create (uint32_t claims_per_account);
void bat_queue_destroy (struct bat_queue *queue);
void bat_set_weight (struct bat_queue *queue, const char *account,
                     uint32_t weight);
bool bat_add_claim (struct bat_queue *queue, struct rec_entry *entry);
void bat_add_durable (struct bat_queue *queue, struct rec_entry *entry);
bool bat_remove_claim (struct bat_queue *queue, const char *account,
                       uint64_t nonce);
GPtrArray *bat_take (struct bat_queue *queue, uint32_t max_entries,
                     uint32_t max_bytes);
uint32_t bat_length (const struct bat_queue *queue);

#endif
