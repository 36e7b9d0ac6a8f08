/* Table of the daemons (members) and endpoint marks that one daemon knows.
   Merges what other daemons report about them, so that all daemons converge to
   the same table. */
#ifndef CORE_MEMBERS_H
#define CORE_MEMBERS_H

#include "core/leaving.h"
#include "peer.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

enum mbr_state
{
  MBR_ALIVE,
  MBR_SUSPECT, /* failed a probe; declared dead unless it refutes */
  MBR_DEAD,
  MBR_LEFT /* shut down as planned */
};

/* How often and how a member or mark is still to be sent by gossip. */
struct mbr_gossip
{
  uint32_t sends_left;
  bool urgent;       /* sent at once, not only along with probes */
  bool with_address; /* send address and data centre, too */
};

/* A daemon.  Only the member itself sets READY, REACHES_LOG and
   CONFIG_VERSION; it increments REVISION with each change. */
struct mbr_member
{
  char *name;
  char *address; /* IP:PORT */
  char *data_centre;
  uint64_t incarnation;    /* raised by the member at restart or to refute */
  uint64_t config_version; /* in force at the member */
  uint32_t revision;       /* of READY, REACHES_LOG and CONFIG_VERSION */
  enum mbr_state state;
  bool ready;
  bool reaches_log;      /* the member can reach the platform's log */
  int64_t changed_at_us; /* last change of STATE */
  struct mbr_gossip gossip;
};

/* A mark and its gossip state. */
struct mbr_mark
{
  struct lv_mark mark;
  int64_t changed_at_us;
  struct mbr_gossip gossip;
};

/* What an update on a member has changed. */
enum mbr_change
{
  MBR_UNCHANGED,
  MBR_VERSION_CHANGED,   /* at most the configuration version */
  MBR_READINESS_CHANGED, /* READY or REACHES_LOG */
  MBR_STATE_CHANGED      /* state or incarnation, or the member is new */
};

struct mbr_table
{
  GPtrArray *members;  /* struct mbr_member; owned */
  GHashTable *by_name; /* name to struct mbr_member */
  GHashTable *marks;   /* cause and host to struct mbr_mark; owned */
  uint64_t digest;     /* of active members and marks of leaving endpoints */
  uint32_t count;      /* active members: alive and suspect ones */
  uint32_t suspects;
  uint32_t pending;  /* members and marks still to be sent by gossip */
  uint32_t rotation; /* member at which the next selection of updates starts */
};

struct mbr_table *mbr_create (void);
void mbr_destroy (struct mbr_table *table);
struct mbr_member *mbr_find (const struct mbr_table *table, const char *name);
enum mbr_change mbr_merge (struct mbr_table *table, const Peer__Member *update,
                           int64_t now_us, struct mbr_member **member);
void mbr_set_state (struct mbr_table *table, struct mbr_member *member,
                    enum mbr_state state, int64_t now_us);
void mbr_set_attributes (struct mbr_table *table, struct mbr_member *member,
                         bool ready, bool reaches_log,
                         uint64_t config_version);
void mbr_set_incarnation (struct mbr_table *table, struct mbr_member *member,
                          uint64_t incarnation);
bool mbr_is_active (const struct mbr_member *member);
void mbr_remove_expired (struct mbr_table *table, int64_t before_us);
struct mbr_mark *mbr_merge_mark (struct mbr_table *table,
                                 const struct lv_mark *mark, int64_t now_us);

Peer__Member *mbr_member_to_message (const struct mbr_member *member,
                                     bool with_address);
Peer__Mark *mbr_mark_to_message (const struct lv_mark *mark);
bool mbr_mark_from_message (const Peer__Mark *message, struct lv_mark *mark);

#endif
