/* Follows a keyed topic of the platform's store: reads a snapshot, the newest
   record of each key, and then the records that are appended.  Reads from
   relays of other daemons instead when the store fails or when they are
   preferred. */
#ifndef ENTRY_TOPIC_H
#define ENTRY_TOPIC_H

#include "net/client.h"
#include "platform/store.h"

/* Callbacks of a topic. */
struct tpc_events
{
  /* A snapshot begins, or ends and holds up to the offset END. */
  void (*snapshot_begin) (void *context);
  void (*snapshot_end) (void *context, uint64_t end);
  void (*record) (void *context, const struct pfs_record *record);
  /* All records that were in the topic at the monotonic time PROVED_US, up to
     the offset END, have been passed to `record'. */
  void (*current) (void *context, int64_t proved_us, uint64_t end);
  /* The topic can't be read, for the reason WHY; `current' ends the outage. */
  void (*outage) (void *context, const char *why);
};

struct tpc_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *address; /* address of the store */
  const char *topic;
  const char *const *relays; /* addresses of other daemons' relays,
                                NULL-terminated; not copied */
  bool prefer_relays;        /* use relays even while the store works */
  uint32_t wait_ms; /* how long a read of the store waits for a record */
  uint32_t answer_timeout_max_ms; /* limit of the time-out beyond that wait */
  uint32_t poll_interval_ms; /* pause between an answer and the next call */
  const struct tpc_events *events;
  void *context;
};

struct tpc_topic;

struct tpc_topic *tpc_create (const struct tpc_params *params);
void tpc_prefer_relays (struct tpc_topic *topic, bool prefer);
void tpc_set_wait (struct tpc_topic *topic, uint32_t wait_ms);
void tpc_destroy (struct tpc_topic *topic);

#endif
