/* Tells a daemon that can't reach the endpoints from endpoints that are dead,
   and chooses the neighbour that a request is passed on to.

   The load: a daemon, or most of a data centre's, is cut off from all
   endpoints for seconds, while callers, the store and the other daemons still
   reach it.  Each endpoint that it tries seems to be dead, though the others
   serve all their requests there.

   Endpoints don't die all at once: when calls to several of them have failed
   since any last answered, the daemon itself is cut off.  From time to time
   one request tries the daemon's own way; the first answer ends the state.  An
   answer counts by when its call was sent. */
#ifndef CORE_REACH_H
#define CORE_REACH_H

#include <stdbool.h>
#include <stdint.h>

/* Endpoints that must have failed since the last answer; fewer if there are no
   more. */
#define RCH_ENDPOINTS_MIN 3

/* Interval at which a request tries the daemon's own way while it is cut
   off. */
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
  int64_t cut_us;      /* since when it is cut off; 0: it isn't */
  int64_t probe_us;    /* no request tries the own way before */
};

/* What a daemon knows of a neighbour that it may pass a request on to. */
struct rch_neighbour
{
  bool usable;        /* hasn't failed or refused lately */
  bool tried;         /* by this request */
  uint32_t in_flight; /* requests passed on to it */
};

void rch_report_answer (struct rch_reach *reach, int64_t sent_us);
void rch_report_failure (struct rch_reach *reach, uint64_t endpoint,
                         int64_t sent_us, int64_t now_us);
bool rch_is_cut_off (const struct rch_reach *reach, uint32_t endpoints);
bool rch_is_ready (const struct rch_reach *reach, uint32_t endpoints,
                   int64_t now_us);
bool rch_take_probe (struct rch_reach *reach, int64_t now_us);
int32_t rch_choose_neighbour (const struct rch_neighbour neighbours[],
                              uint32_t count, uint32_t tie);

#endif
