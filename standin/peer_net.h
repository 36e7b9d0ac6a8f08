/* Simulates the membership protocol among many daemons, called peers here,
   without sockets and in simulated time.  All peers are advanced together in
   steps of PN_STEP_US.  Messages can be lost or blocked, peers paused and
   killed.  Peers are identified by their index, from 0.  */
#ifndef STANDIN_PEER_NET_H
#define STANDIN_PEER_NET_H

#include "core/membership.h"

#include <stdbool.h>
#include <stdint.h>

#define PN_STEP_US INT64_C (5000)

/* Called with every action of a peer other than MEM_SEND. */
typedef void (*pn_action_fn) (void *user_data, uint32_t peer, int64_t now_us,
                              const struct mem_action *action);

/* Traffic of a peer. */
struct pn_usage
{
  uint64_t messages;       /* sent */
  uint64_t bytes;          /* sent, including frame headers */
  uint64_t received_bytes; /* including frame headers */
};

struct pn_net;

struct pn_net *pn_create (uint32_t peers, uint32_t seed);
void pn_destroy (struct pn_net *net);
void pn_on_action (struct pn_net *net, pn_action_fn function, void *user_data);
void pn_set_latency (struct pn_net *net, int64_t latency_us);
void pn_set_loss (struct pn_net *net, uint32_t per_mille);
void pn_set_candidates (struct pn_net *net, uint32_t peer_count);
void pn_block (struct pn_net *net, uint32_t sender, uint32_t receiver,
               bool cut);
void pn_block_groups (struct pn_net *net, uint32_t first_of_second, bool cut);
void pn_start (struct pn_net *net, uint32_t peer);
void pn_start_all (struct pn_net *net);
void pn_kill (struct pn_net *net, uint32_t peer);
void pn_pause (struct pn_net *net, uint32_t peer, bool paused);
void pn_run (struct pn_net *net, int64_t duration_us);
int64_t pn_now_us (const struct pn_net *net);
struct mem_fleet *pn_fleet (struct pn_net *net, uint32_t peer);
const char *pn_name (const struct pn_net *net, uint32_t peer);
struct pn_usage pn_usage (const struct pn_net *net, uint32_t peer);
void pn_reset_usage (struct pn_net *net);
bool pn_all_see (struct pn_net *net, uint32_t alive);

#endif
