/* Follows a keyed topic of the platform's store: reads the newest record of
   each key once, then what is appended. */
#ifndef ENTRY_TOPIC_H
#define ENTRY_TOPIC_H

#include "net/client.h"
#include "platform/store.h"

struct tpc_events
{
  /* A reading of all keys begins and ends; at the end the topic's END tells up
     to where it holds. */
  void (*begin_full) (void *context);
  void (*end_full) (void *context, uint64_t end);
  void (*record) (void *context, const struct pfs_record *record);
  /* All records that were there at PROVED_US, up to the offset END, have been
     told. */
  void (*current) (void *context, int64_t proved_us, uint64_t end);
  /* The topic can't be read; `current' ends this. */
  void (*outage) (void *context, const char *why);
};

struct tpc_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *address; /* of the store */
  const char *topic;
  const char *const *relays; /* addresses of daemons that may be asked in the
                                store's place, NULL-terminated */
  bool relays_first; /* asked by choice; else only while the store fails */
  uint32_t wait_ms;  /* an answer waits so long for a record */
  uint32_t answer_longest_ms; /* and may take at most so long beyond that */
  uint32_t pace_ms;           /* between an answer and the next call */
  const struct tpc_events *events;
  void *context;
};

struct tpc_topic;

struct tpc_topic *tpc_create (const struct tpc_params *params);
void tpc_ask_relays (struct tpc_topic *topic, bool first);
void tpc_set_wait (struct tpc_topic *topic, uint32_t wait_ms);
void tpc_destroy (struct tpc_topic *topic);

#endif
