/* The admission gate: makes the admission state machine (core/admission.h)
   thread-safe, and blocks the traffic threads whose requests are queued.  All
   functions but gt_create and gt_destroy are thread-safe. */
#ifndef DAEMON_GATE_H
#define DAEMON_GATE_H

#include "core/admission.h"

struct gt_gate;

struct gt_gate *gt_create (uint32_t threads);
void gt_destroy (struct gt_gate *gate);
void gt_configure (struct gt_gate *gate, const struct cfg_config *config,
                   uint32_t daemons, double capacity_tokens_per_s);
bool gt_admit (struct gt_gate *gate, const struct adm_request *request,
               struct adm_verdict *verdict, struct err_failure *failure);
void gt_finish (struct gt_gate *gate, uint64_t id, uint32_t tokens);
void gt_process_queue (struct gt_gate *gate);
void gt_observe_token_interval (struct gt_gate *gate,
                                int64_t between_tokens_us);
bool gt_retry_allowed (struct gt_gate *gate, uint32_t account,
                       uint32_t endpoint);
void gt_read_state (struct gt_gate *gate, struct adm_state *state);

#endif
