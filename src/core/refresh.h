/* Decides how a daemon keeps its copy of a topic of the platform's store up to
   date: how often the store is read, by whom, and when a relay is relied on.

   The load: hundreds of daemons follow the same topics, and the store can't
   serve all of them at the rate that the freshness bounds ask for.  A few
   daemons, the relays, read the store for all.  Any of them may be killed,
   frozen or cut off from the store at any time, also all at once, while the
   readers must act on a change within the topic's bound.  Every wait, interval
   and age below is therefore a share of that bound:

     0                 a change is stored just after a relay's read
     interval + wait   the relay reads it and answers its waiting readers
     age limit         a reader without a newer proof reads the store itself
     bound             the change is in force

   A proof is the time at which a read was sent that showed no newer change.
   Readers of relays know the age of their proofs, so a relay that is slow,
   silent or out of touch costs freshness up to the age limit and one call.

   The group of the daemons has as many members as there are partitions to own,
   since a renewal has its price too: the relays, and of the others about as
   many as the relays own partitions too many.  In a small fleet, that is all.

   While the store is out for all, hundreds of readers would call it again and
   again.  They wait at the relays instead, which answer as soon as one of them
   reads the store, and call it themselves once for each age limit. */
#ifndef CORE_REFRESH_H
#define CORE_REFRESH_H

#include <stdbool.h>
#include <stdint.h>

/* Bounds of a deployment. */
struct rfs_bounds
{
  int64_t drain_us;      /* until a leaving endpoint gets no new requests */
  int64_t config_us;     /* until a new configuration is in force */
  int64_t revoke_us;     /* until a removed key is rejected */
  int64_t quarantine_us; /* until a part of prompts that crashes engines is
                            kept away from them */
  int64_t settle_us;     /* after an outage of the store, until the other
                            bounds hold */
};

/* How a topic is followed. */
struct rfs_topic
{
  int64_t wait_us;       /* of a store read for a record, by a daemon for
                            itself */
  int64_t relay_wait_us; /* the same by a relay */
  int64_t interval_us;   /* pause between store reads */
  int64_t age_max_us;    /* of a reader's newest proof, before it reads the
                            store itself */
  int64_t gap_max_us;    /* between two proofs; a longer gap means that neither
                            the store nor a relay could be read */
  int64_t answer_timeout_max_us; /* of the store, beyond the wait */
  int64_t retry_max_us;          /* between two calls of the store that fail */
  int64_t probe_us; /* without an answer of a store that has failed, until a
                       further call finds out whether it is back; 0: none */
};

/* How the membership in the group of all daemons is kept. */
struct rfs_membership
{
  int64_t lifetime_us;       /* without a renewal */
  int64_t renew_interval_us; /* after a renewal */
  int64_t retry_interval_us; /* after a failed one */
  int64_t timeout_us;        /* of a call */
  int64_t margin_us;         /* the lead is given up this long before the
                                membership may end */
};

/* What the choice of the next call depends on. */
struct rfs_situation
{
  int64_t proof_age_us;
  bool prefers_relays; /* few daemons are to read the store */
  bool has_relays;     /* addresses of relays are known */
  bool needs_snapshot; /* which only the store has */
  bool store_failed;   /* the newest call of the store failed */
  bool relay_failed;   /* the newest call of all was to a relay and failed */
};

/* The next call. */
struct rfs_call
{
  bool to_relay;
  int64_t wait_us; /* how long a relay waits for news */
  bool holds;      /* a relay without a recent proof waits for one */
};

/* A daemon's part in the group. */
struct rfs_part
{
  bool is_relay;   /* the settings name it as such, or it took the part over */
  bool is_member;  /* has joined */
  int64_t idle_us; /* for how long it has been a member without owning a
                      partition of the group's topic: it neither leads nor
                      may spend slack */
  int64_t relayless_us; /* for how long no relay has answered, although the
                           store does; INT64_MAX: none is known */
  bool has_hint;        /* a relay has told the next two just now */
  uint32_t relay_partitions; /* that its daemon owns */
  uint32_t relay_readers;    /* daemons that read from it */
  double chance;             /* random, 0 to 1 */
};

/* What shows whether a fleet is crowded: whether it has so many daemons that
   only relays are to read the store. */
struct rfs_crowd
{
  bool was_crowded;
  bool is_member;
  uint32_t partitions;       /* of the group's topic */
  uint32_t owned_partitions; /* by this daemon */
  bool has_hint;             /* a relay has told the next just now */
  uint32_t relay_readers;    /* daemons that read from it */
  uint32_t relays;           /* known */
};

bool rfs_is_crowded (const struct rfs_crowd *crowd);
void rfs_plan_config (const struct rfs_bounds *bounds,
                      struct rfs_topic *topic);
void rfs_plan_list (const struct rfs_bounds *bounds, struct rfs_topic *topic);
void rfs_plan_quarantine (const struct rfs_bounds *bounds,
                          struct rfs_topic *topic);
void rfs_plan_membership (int64_t lifetime_min_us,
                          struct rfs_membership *membership);
struct rfs_call rfs_next_call (const struct rfs_topic *topic,
                               const struct rfs_situation *situation);
bool rfs_needs_membership (const struct rfs_part *part, int64_t idle_max_us,
                           int64_t relayless_max_us);

#endif
