/* Internals shared by the source files of the membership protocol. */
#ifndef CORE_MEMBERSHIP_PRIVATE_H
#define CORE_MEMBERSHIP_PRIVATE_H

#include "core/gossip.h"
#include "core/membership.h"

#include <glib.h>

#define PROBES_MAX 4         /* probes in flight */
#define RELAYED_PINGS_MAX 32 /* pings in flight for other daemons */
#define INDIRECT_PROBES 3    /* members asked to ping a silent one */

/* The target of a probe is suspected after this time without an answer. */
#define PROBE_DEADLINE_US (2 * MEM_PERIOD_US)

/* Mean time between attempts to contact dead members and candidates. */
#define REJOIN_INTERVAL_US (10 * MEM_PERIOD_US)

/* Minimum time between requests for a full state after digests differed; a
   random time of up to the same length is added. */
#define SYNC_INTERVAL_US (30 * MEM_PERIOD_US)

/* Token buckets that limit the full states and the updates sent. */
#define FULL_STATE_BYTES_PER_S 3072
#define FULL_STATE_BURST_BYTES 24576
#define UPDATE_BYTES_PER_S 2560
#define UPDATE_BURST_BYTES 4096

/* Dead members and withdrawn marks are removed after 6 h. */
#define EXPIRE_AFTER_US (INT64_C (6 * 3600) * MEM_PERIOD_US)

/* A probe in flight; SEQUENCE 0: unused. */
struct probe
{
  uint64_t sequence;
  char *name; /* of the probed member */
  int64_t sent_at_us;
  bool indirect; /* other members were asked to ping */
};

/* A ping sent on request of another daemon; SEQUENCE 0: unused. */
struct relayed_ping
{
  uint64_t sequence;
  uint64_t requester_sequence; /* of the request */
  char *requester_address;
};

/* State of the membership protocol at one daemon. */
struct mem_fleet
{
  struct mbr_table *table;
  struct mbr_member *self; /* this daemon; owned by TABLE */
  GRand *random;
  GPtrArray *candidates;  /* addresses at which daemons may run */
  GQueue actions;         /* struct mem_action */
  GPtrArray *probe_queue; /* names to probe in this round, last one first */
  struct probe probes[PROBES_MAX];
  struct relayed_ping relayed_pings[RELAYED_PINGS_MAX];
  uint32_t next_relayed_ping;
  uint64_t sequence;               /* last one used */
  int64_t update_budget_bytes;     /* token bucket of updates */
  int64_t full_state_budget_bytes; /* token bucket of full states */
  uint32_t version_sends; /* gossip messages left for the new version */
  bool joined;            /* a full state has been received */
  int64_t last_tick_us;
  int64_t next_probe_us;
  int64_t next_gossip_us;
  int64_t next_rejoin_us;
  int64_t last_return_us; /* last return of a dead member; 0: none */
  int64_t next_sync_us;   /* no full state is requested earlier */
};

Peer__Membership *mem_create_message (struct mem_fleet *fleet,
                                      Peer__Membership__Kind kind,
                                      uint64_t sequence);
void mem_send (struct mem_fleet *fleet, const char *address,
               Peer__Membership *message);
void mem_send_join (struct mem_fleet *fleet, const char *address);
size_t mem_add_updates (struct mem_fleet *fleet, Peer__Membership *message,
                        bool urgent_only);
void mem_gossip (struct mem_fleet *fleet);
void mem_refute (struct mem_fleet *fleet, uint64_t incarnation);
struct mem_action *mem_add_action (struct mem_fleet *fleet,
                                   enum mem_action_kind kind);
void mem_queue_member_changed (struct mem_fleet *fleet,
                               const struct mbr_member *member);
struct mbr_member *mem_random_member (struct mem_fleet *fleet,
                                      const char *except);
void mem_start_probe (struct mem_fleet *fleet, int64_t now_us);
void mem_check_probes (struct mem_fleet *fleet, int64_t now_us);
void mem_check_suspicions (struct mem_fleet *fleet, int64_t now_us);
void mem_probe_answered (struct mem_fleet *fleet, uint64_t sequence);

#endif
