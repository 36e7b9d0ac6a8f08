/* Finds out soon when a store that doesn't answer is back.  A call that was
   sent during an outage may never be answered, and its time-out must be long
   enough for a slow store, so meanwhile short calls are sent at an interval.
   For the control thread. */
#ifndef ENTRY_STORE_PROBE_H
#define ENTRY_STORE_PROBE_H

#include "net/client.h"

struct spr_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *address;              /* of the store */
  const char *topic;                /* that is read */
  int64_t interval_us;              /* between two calls; 0: never probes */
  uint32_t timeout_ms;              /* of a probe's answer */
  void (*answered) (void *context); /* the store is back */
  void *context;
};

struct spr_probe;

struct spr_probe *spr_create (const struct spr_params *params);
void spr_destroy (struct spr_probe *probe);
int64_t spr_add_call (struct spr_probe *probe, int64_t sent_us);
void spr_start (struct spr_probe *probe, uint64_t offset);
void spr_stop (struct spr_probe *probe);

#endif
