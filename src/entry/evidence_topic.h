/* Shares the evidence of the quarantine with the other daemons: publishes this
   daemon's records in a topic of the platform's store and follows the topic.
   For the control thread. */
#ifndef ENTRY_EVIDENCE_TOPIC_H
#define ENTRY_EVIDENCE_TOPIC_H

#include "core/refresh.h"
#include "entry/quarantine.h"
#include "entry/relay.h"
#include "entry/topic.h"

struct evt_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *store_address;
  struct rfs_topic plan;
  bool prefers_relays;
  struct rly_relay *relay;
  struct qrn_quarantine *quarantine;
  /* The store is in ERA; if RESTORED, it has lost records. */
  void (*era) (void *context, const char *topic, uint64_t era, bool restored);
  void (*changed) (void *context); /* evidence has arrived */
  void *context;
};

struct evt_topic;

struct evt_topic *evt_create (const struct evt_params *params);
void evt_destroy (struct evt_topic *evidence);
struct tpc_topic *evt_source (const struct evt_topic *evidence);
void evt_step (struct evt_topic *evidence, bool leads, int64_t now_us);

#endif
