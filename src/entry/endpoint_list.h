/* Follows the list of endpoints in the platform's store and passes it on to
   the readers of this daemon's relay.  For the control thread. */
#ifndef ENTRY_ENDPOINT_LIST_H
#define ENTRY_ENDPOINT_LIST_H

#include "core/refresh.h"
#include "entry/relay.h"
#include "entry/topic.h"
#include "entry/verdicts.h"

struct epl_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *store_address;
  struct rfs_topic plan;
  bool prefers_relays;
  struct rly_relay *relay;
  struct vdt_verdicts *verdicts;
  int64_t settle_us; /* see rst_create */
  /* The store is in ERA; if RESTORED, it has lost records. */
  void (*era) (void *context, const char *topic, uint64_t era, bool restored);
  void (*read) (void *context); /* the list was read, or removals are due */
  void *context;
};

struct epl_list;

struct epl_list *epl_create (const struct epl_params *params);
void epl_destroy (struct epl_list *list);
struct tpc_topic *epl_source (const struct epl_list *list);
bool epl_take_changed (struct epl_list *list);
GPtrArray *epl_endpoints (struct epl_list *list);

#endif
