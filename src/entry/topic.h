/* Follows a keyed topic of the platform's store: reads a snapshot, the newest
   record of each key, and then the records that are appended.  Reads from
   relays of other daemons instead when the store fails or when they are
   preferred.

   After a restore of the store, offsets mean other records, so a new snapshot
   is read.  It shows an older copy of the topic: before it counts as current,
   other daemons are asked for what they hold. */
#ifndef ENTRY_TOPIC_H
#define ENTRY_TOPIC_H

#include "core/refresh.h"
#include "entry/relay.h"
#include "net/client.h"
#include "platform/store.h"

/* Callbacks of a topic. */
struct tpc_events
{
  /* All later records are of ERA of the store.  If RESTORED, those before were
     of another era, which the store has lost in part; a snapshot follows.  It
     doesn't count as current before a call of tpc_set_holders. */
  void (*era) (void *context, uint64_t era, bool restored);
  /* A snapshot begins, or ends and holds up to the offset END. */
  void (*snapshot_begin) (void *context);
  void (*snapshot_end) (void *context, uint64_t end);
  void (*record) (void *context, const struct pfs_record *record);
  /* Another daemon holds RECORD, which the store may have lost in a
     restore.  Its offset belongs to the topic only if SAME_ERA. */
  void (*held) (void *context, const struct pfs_record *record, bool same_era);
  /* None of the daemons that were asked for what the store may have lost knows
     the topic.  It doesn't count as current before a call of tpc_set_members.
     NULL: nobody else is asked. */
  void (*unknown) (void *context);
  /* All records that were in the topic at the monotonic time PROVED_US, up to
     the offset END, have been passed to `record'. */
  void (*current) (void *context, int64_t proved_us, uint64_t end);
  /* The endpoint ID said to another daemon that it leaves, in its incarnation
     that started at BORN_MS.  NULL: relays aren't asked for that. */
  void (*departure) (void *context, const char *id, int64_t born_ms);
  /* The topic can't be read, for the reason WHY, and a call that was sent at
     the monotonic time AWAY_US has shown that; `current' ends the outage. Also
     called for each later call that shows it, until then. */
  void (*outage) (void *context, int64_t away_us, const char *why);
};

struct tpc_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *address; /* address of the store */
  const char *topic;
  struct rfs_topic plan;
  bool prefers_relays; /* see tpc_prefer_relays */
  const struct tpc_events *events;
  void *context;
};

struct tpc_topic;

struct tpc_topic *tpc_create (const struct tpc_params *params);
void tpc_set_relays (struct tpc_topic *topic, const GPtrArray *addresses);
void tpc_set_holders (struct tpc_topic *topic, const GPtrArray *addresses);
void tpc_set_members (struct tpc_topic *topic, const GPtrArray *addresses);
void tpc_set_siblings (struct tpc_topic *topic,
                       struct tpc_topic *const *siblings, uint32_t count);
void tpc_prefer_relays (struct tpc_topic *topic, bool prefer);
void tpc_serve_relay (struct tpc_topic *topic, bool serves);
bool tpc_reads_relays (const struct tpc_topic *topic);
void tpc_read_now (struct tpc_topic *topic);
bool tpc_take_hint (struct tpc_topic *topic, struct rly_hint *hint);
int64_t tpc_relayless_us (const struct tpc_topic *topic, int64_t now_us);
void tpc_destroy (struct tpc_topic *topic);

#endif
