/* Tells a daemon that can't reach the endpoints from endpoints that are dead,
   and chooses the neighbour that a request is passed on to.

   The load: a daemon, or most of a data centre's, is cut off from all
   endpoints for seconds, while callers, the store and the other daemons still
   reach it.  Each endpoint that it tries seems to be dead, though the others
   serve all their requests there.

   Endpoints don't die all at once: when calls to several of them have failed
   since any last answered, the daemon itself is cut off.  The state is kept
   for each service, since the ways to another service's endpoints may be
   whole.

   Probes of the daemon's own find out, so that no caller waits for that: a
   round goes to several endpoints as soon as one fails, and at intervals while
   the daemon is cut off.  Single answers don't end the state, as a few ways
   may be left; endpoints that have answered since it began can be used
   meanwhile. An answer counts by when its call was sent. */
#ifndef CORE_REACH_H
#define CORE_REACH_H

#include <stdbool.h>
#include <stdint.h>

/* Endpoints that must have failed since the last answer; fewer if there are no
   more. */
#define RCH_ENDPOINTS_MIN 3

/* Probes of a round at most, and the interval of rounds. */
#define RCH_ROUND_PROBES RCH_ENDPOINTS_MIN
#define RCH_PROBE_US INT64_C (500000)

/* A daemon isn't ready for new callers once it has been cut off for so long;
   endpoints may fall silent for a second and go on. */
#define RCH_READY_DELAY_US INT64_C (1000000)

/* A call to an endpoint that had no answer. */
struct rch_failure
{
  uint64_t endpoint; /* hash of its id */
  int64_t sent_us;   /* monotonic */
};

/* What the calls of a daemon have shown.  Points in time are monotonic; 0: not
   yet. */
struct rch_reach
{
  struct rch_failure failures[RCH_ENDPOINTS_MIN]; /* of different endpoints */
  uint32_t failure_count;
  int64_t answered_us; /* when the newest call that was answered was sent */
  bool cut_off;
  bool round_wanted; /* an endpoint has failed since the last round */
  int64_t since_us;  /* cut off: an endpoint that has answered a call which was
                        sent later is in reach */
  int64_t cut_us;    /* when it was found to be cut off */
  bool neighbour_serves;  /* one has had a request served since then */
  bool neighbour_refuses; /* one can't reach the endpoints either */
  int64_t round_us;       /* no round begins before */
};

/* Neighbours that a request is passed on to at most.  One that can't serve it
   says so within milliseconds. */
#define RCH_NEIGHBOURS_MAX 16

/* What a neighbour has shown of its ways to the endpoints of one service.  All
   zero: nothing yet. */
struct rch_standing
{
  bool serves;              /* it had the last request served that it took */
  uint32_t refusals;        /* in a row, since it can't reach them either */
  int64_t refused_until_us; /* monotonic; it isn't asked before */
};

/* What a daemon knows of a neighbour that it may pass a request on to. */
struct rch_neighbour
{
  bool usable;        /* answers, and may reach the endpoints */
  bool tried;         /* by this request */
  bool serves;        /* see struct rch_standing */
  uint32_t in_flight; /* requests passed on to it */
};

void rch_report_answer (struct rch_reach *reach, int64_t sent_us);
void rch_report_failure (struct rch_reach *reach, uint32_t endpoints,
                         uint64_t endpoint, int64_t sent_us, int64_t now_us);
bool rch_is_ready (const struct rch_reach *reach, int64_t now_us);
bool rch_begin_round (struct rch_reach *reach, int64_t now_us);
void rch_end_round (struct rch_reach *reach, uint32_t probes, uint32_t answers,
                    int64_t began_us, int64_t now_us);
void rch_report_neighbour (struct rch_reach *reach,
                           struct rch_standing *standing, bool serves,
                           int64_t now_us);
int32_t rch_choose_neighbour (const struct rch_neighbour neighbours[],
                              uint32_t count, uint32_t tie);

#endif
