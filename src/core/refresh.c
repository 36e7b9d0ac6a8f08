#include "core/refresh.h"

#include "core/roster.h"

#define MIN_OF(a, b) ((a) < (b) ? (a) : (b))
#define MAX_OF(a, b) ((a) > (b) ? (a) : (b))

/* Lower bound of every wait and interval, so that a bound near 0 doesn't turn
   into a flood of calls. */
#define INTERVAL_MIN_US 50000

/* Age limit of a reader's proof, as a share of the topic's bound.  The rest is
   for the reader's own call to the store. */
#define AGE_MAX_SHARE 0.75

/* The same as a share of the bound of revocations: requests with keys are
   served until a proof is as old as that bound, so the age at the start of an
   outage of the store is missing at its end. */
#define REVOKE_AGE_SHARE 0.3

/* Wait of a relay's store read, as a share of the age limit.  A proof gets as
   old as two waits until the next one arrives. */
#define RELAY_WAIT_SHARE 0.36

/* Wait of a daemon's store read for itself, as a share of the bound of
   revocations and of configurations.  The latter limits the time that is lost
   on a connection that has gone silent. */
#define REVOKE_WAIT_SHARE 0.2
#define CONFIG_WAIT_SHARE 0.5

/* Interval of reading the list of endpoints, as a share of its bound.  A
   waiting read would return at each heartbeat of an endpoint. */
#define LIST_INTERVAL_SHARE 0.5

/* Wait of a daemon's read of the quarantine for itself, as a share of its
   bound.  It limits the time that is lost on a connection that has gone
   silent. */
#define QUARANTINE_WAIT_SHARE 0.55

/* Limit of the time-out of the store's answers, as a share of the time in
   which a change must be in force: after an outage, calls that the store never
   answered must time out soon enough for another one. */
#define ANSWER_TIMEOUT_SHARE 0.6

/* Limit of the pause after a failed call, and its share of the time in which a
   change must be in force: shorter than the time-out of an answer, so that the
   next call follows at once when an outage ends during one without an
   answer. */
#define RETRY_MAX_US 1000000
#define RETRY_MAX_SHARE 0.35

/* Lower bound of the interval of probes. */
#define PROBE_MIN_US 250000

/* How long no proof may arrive, beyond the age limit, before it counts as an
   outage. */
#define OUTAGE_US 1500000

/* Lifetime of a membership, unless the store's lower bound is longer, and the
   shares of it that the other times take. */
#define LIFETIME_US 2500000
#define RENEW_SHARE 0.28
#define RETRY_SHARE 0.08
#define CALL_TIMEOUT_SHARE 0.24
#define MARGIN_SHARE 0.12

/* Returns SHARE of TIME_US, at least INTERVAL_MIN_US.  */
static int64_t
share_of (int64_t time_us, double share)
{
  return MAX_OF ((int64_t)((double)time_us * share), INTERVAL_MIN_US);
}

/* Returns what the topics have in common: how old a proof may get,
   AGE_MAX_US, and how failures are handled.  */
static struct rfs_topic
plan_topic (const struct rfs_bounds *bounds, int64_t age_max_us)
{
  return (struct rfs_topic){
    .age_max_us = age_max_us,
    .gap_max_us = age_max_us + OUTAGE_US,
    .answer_timeout_max_us
    = share_of (bounds->config_us, ANSWER_TIMEOUT_SHARE),
    .retry_max_us
    = MIN_OF (share_of (bounds->config_us, RETRY_MAX_SHARE), RETRY_MAX_US),
  };
}

/* Sets TOPIC to how the configuration and its API keys are followed.  */
void
rfs_plan_config (const struct rfs_bounds *bounds, struct rfs_topic *topic)
{
  *topic = plan_topic (
      bounds, MIN_OF (share_of (bounds->config_us, AGE_MAX_SHARE),
                      share_of (bounds->revoke_us, REVOKE_AGE_SHARE)));
  topic->wait_us = MIN_OF (share_of (bounds->revoke_us, REVOKE_WAIT_SHARE),
                           share_of (bounds->config_us, CONFIG_WAIT_SHARE));
  topic->relay_wait_us = share_of (topic->age_max_us, RELAY_WAIT_SHARE);
}

/* Sets TOPIC to how the list of endpoints is followed.  Removals are delayed
   after an outage, but must be in effect when the other bounds hold again.  So
   the end of the outage must be noticed soon enough for the list to name
   running endpoints again before that.  */
void
rfs_plan_list (const struct rfs_bounds *bounds, struct rfs_topic *topic)
{
  *topic = plan_topic (bounds, share_of (bounds->drain_us, AGE_MAX_SHARE));
  topic->interval_us = share_of (bounds->drain_us, LIST_INTERVAL_SHARE);
  topic->probe_us = MAX_OF (
      bounds->settle_us - RST_RELIST_US - RST_REMOVAL_MARGIN_US, PROBE_MIN_US);
}

/* Sets TOPIC to how the evidence of the quarantine is followed.  */
void
rfs_plan_quarantine (const struct rfs_bounds *bounds, struct rfs_topic *topic)
{
  *topic
      = plan_topic (bounds, share_of (bounds->quarantine_us, AGE_MAX_SHARE));
  topic->wait_us = share_of (bounds->quarantine_us, QUARANTINE_WAIT_SHARE);
  topic->relay_wait_us = share_of (topic->age_max_us, RELAY_WAIT_SHARE);
}

/* Sets MEMBERSHIP to how a membership is kept in a store that accepts
   lifetimes from LIFETIME_MIN_US on.  */
void
rfs_plan_membership (int64_t lifetime_min_us,
                     struct rfs_membership *membership)
{
  int64_t lifetime_us = MAX_OF (lifetime_min_us, LIFETIME_US);
  *membership = (struct rfs_membership){
    .lifetime_us = lifetime_us,
    .renew_interval_us = share_of (lifetime_us, RENEW_SHARE),
    .retry_interval_us = share_of (lifetime_us, RETRY_SHARE),
    .timeout_us = share_of (lifetime_us, CALL_TIMEOUT_SHARE),
    .margin_us = share_of (lifetime_us, MARGIN_SHARE),
  };
}

/* Returns whom a daemon in SITUATION asks next for TOPIC.  A daemon that
   prefers relays asks the store only when its proof has reached the age limit;
   any other asks a relay only while the store fails.  While both fail, they
   are asked by turns.  */
struct rfs_call
rfs_next_call (const struct rfs_topic *topic,
               const struct rfs_situation *situation)
{
  int64_t left_us = topic->age_max_us - situation->proof_age_us;
  bool wanted = situation->store_failed
                    ? !situation->relay_failed
                    : situation->prefers_relays && left_us > 0;
  bool holds = situation->store_failed && situation->prefers_relays;
  return (struct rfs_call){
    .to_relay = wanted && situation->has_relays && !situation->needs_snapshot,
    .wait_us = holds ? topic->age_max_us : MAX_OF (left_us, 0),
    .holds = holds,
  };
}

/* Returns whether the fleet is crowded.  A relay knows best, by the number of
   its readers.  Without one, an owner of a single partition takes the fleet
   for crowded; an owner of several may be among few members of a large fleet,
   so that changes nothing.  */
bool
rfs_is_crowded (const struct rfs_crowd *crowd)
{
  if (crowd->relays == 0)
    {
      return false;
    }
  if (crowd->has_hint)
    {
      return (crowd->relay_readers + 1) * crowd->relays > crowd->partitions;
    }
  return crowd->was_crowded
         || (crowd->is_member && crowd->owned_partitions == 1);
}

/* Returns whether a daemon with PART is to be a member of the group.  One that
   isn't joins when a relay owns several partitions, with a chance that makes
   about as many readers of that relay join as it has partitions to spare; or
   without a relay for RELAYLESS_MAX_US, since all members may be gone.  One
   that is leaves when it has owned nothing for IDLE_MAX_US: the store gives a
   partition to a new member only after its former owner has renewed.  */
bool
rfs_needs_membership (const struct rfs_part *part, int64_t idle_max_us,
                      int64_t relayless_max_us)
{
  if (part->is_relay || part->relayless_us > relayless_max_us)
    {
      return true;
    }
  if (part->is_member)
    {
      return part->idle_us < idle_max_us;
    }
  return part->has_hint && part->relay_partitions > 1
         && part->chance * part->relay_readers < part->relay_partitions - 1;
}
