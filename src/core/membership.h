/* Membership and failure detection among the daemons, by a SWIM-like protocol.
   Once in each period a daemon probes another one at random.  When no
   acknowledgement arrives, it asks other members to probe the target.  When
   that fails as well, it suspects the target, and declares it dead unless the
   target refutes in time.  Changes are disseminated by gossip.  The protocol
   is a deterministic state machine without I/O: callers pass in messages and
   the time, and perform the queued actions.  */
#ifndef CORE_MEMBERSHIP_H
#define CORE_MEMBERSHIP_H

#include "core/leaving.h"
#include "core/members.h"
#include "peer.pb-c.h"

#include <stdbool.h>
#include <stdint.h>

#define MEM_PERIOD_US INT64_C (1000000)       /* between two probes */
#define MEM_PROBE_TIMEOUT_US INT64_C (500000) /* until indirect probes */
#define MEM_GOSSIP_INTERVAL_US INT64_C (200000)
#define MEM_GOSSIP_FANOUT 3 /* members that one round of gossip is sent to */

struct mem_settings
{
  const char *name;
  const char *address; /* at which peers reach this daemon, IP:PORT */
  const char *data_centre;
  uint64_t incarnation; /* higher than that of any earlier process of this
                           name, for instance its start time */
  uint32_t seed;        /* of the random number generator */
};

enum mem_action_kind
{
  MEM_SEND,           /* send MESSAGE to ADDRESS */
  MEM_MEMBER_CHANGED, /* NAME at ADDRESS now has STATE and READY */
  MEM_MARK_RECEIVED,  /* a peer has sent a newer MARK */
  MEM_NEWER_CONFIG,   /* CONFIG_VERSION is in force at ADDRESS */
  MEM_NAME_CONFLICT   /* another process at ADDRESS uses this NAME */
};

/* What the caller has to do.  The action owns its strings and MESSAGE;
   mem_action_clear frees them. */
struct mem_action
{
  enum mem_action_kind kind;
  char *address;
  char *name;
  Peer__Membership *message;
  enum mbr_state state;
  bool ready;
  uint64_t config_version;
  struct lv_mark mark;
};

struct mem_fleet;

struct mem_fleet *mem_create (const struct mem_settings *settings,
                              int64_t now_us);
void mem_destroy (struct mem_fleet *fleet);

void mem_set_candidates (struct mem_fleet *fleet,
                         const char *const *addresses);
void mem_set_ready (struct mem_fleet *fleet, bool ready, int64_t now_us);
void mem_set_reaches_log (struct mem_fleet *fleet, bool reaches_log,
                          int64_t now_us);
void mem_set_config_version (struct mem_fleet *fleet, uint64_t version,
                             int64_t now_us);
void mem_broadcast_mark (struct mem_fleet *fleet, const struct lv_mark *mark,
                         int64_t now_us);
void mem_leave (struct mem_fleet *fleet, int64_t now_us);
void mem_receive (struct mem_fleet *fleet, const Peer__Membership *message,
                  int64_t now_us);
int64_t mem_tick (struct mem_fleet *fleet, int64_t now_us);

bool mem_next_action (struct mem_fleet *fleet, struct mem_action *action);
void mem_action_clear (struct mem_action *action);

uint32_t mem_active_count (const struct mem_fleet *fleet);
uint32_t mem_ready_count (const struct mem_fleet *fleet);
uint32_t mem_reaching_log_count (const struct mem_fleet *fleet);
uint32_t mem_in_force_count (const struct mem_fleet *fleet, uint64_t version);
const struct mbr_member *mem_find (const struct mem_fleet *fleet,
                                   const char *name);
const struct mbr_member *mem_member_at (const struct mem_fleet *fleet,
                                        uint32_t index);

#endif
