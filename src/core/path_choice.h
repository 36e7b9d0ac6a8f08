/* Chooses the path of a request from what the daemons of a fleet know together
   of the load at the first engines, and says when the request is to be
   refused.

   The load: more than a hundred daemons, each of which sends some four streams
   a second over a dozen first engines.  Its own streams tell a daemon too
   little and too late of a queue: one engine had a queue of 1.4 s for a minute
   while others had free slots.  Daemons that know the same must not choose the
   same engine either, so the path is drawn at random, in proportion to the
   room that each has.

   A request that can't be served in time at any path is refused at once.
   Requests of less urgent ranks leave the slots free that more urgent ones
   will need. */
#ifndef CORE_PATH_CHOICE_H
#define CORE_PATH_CHOICE_H

#include "core/fleet.h"

/* Older knowledge of the load isn't used. */
#define PCH_KNOWLEDGE_MAX_US 1500000

/* Weight of paths that begin in the daemon's own data centre, relative to 1
   for others; also where the load of the fleet isn't known. */
#define PCH_HOME_WEIGHT 1.15

/* A moving average, which counts for less the older it is.  All zero at first:
   nothing is known. */
struct pch_average
{
  double value;
  int64_t at_us; /* monotonic, of the newest sample; 0: none */
};

/* A path, and what is known of the engine at which it begins. */
struct pch_path
{
  bool is_home;    /* begins in the daemon's own data centre */
  double slots;    /* requests that the engine runs at once, bounded by the
                      capacity of its paths */
  double part;     /* share of these slots that is for this path, 0 to 1 */
  double requests; /* in progress at the engine, of all daemons */
  double waiting[FLT_RANKS_MAX]; /* those without a first event, by rank
                                    index */
  int64_t age_us;                /* of this knowledge; below 0: none */
  double hold_us;        /* for which a stream is expected to hold a slot */
  double first_event_us; /* expected time to the first event without a queue */
  double interval_us;    /* expected between two events */
  double closed_us; /* for which an engine of the path still counts as full; 0
                       or less: it doesn't */
};

struct pch_request
{
  double target_us;     /* for the first event; 0: none */
  double target_gap_us; /* between two events; 0: none */
  double length;        /* expected answer, relative to the usual one; 0:
                           unknown */
  uint32_t rank;        /* rank index, 0 for the most urgent */
  bool is_resumed;      /* goes on with a stream: engines admit it before new
                           ones of its rank, and it isn't refused */
  bool came_back;       /* was refused before: needs no reserved slots */
  double arrivals_per_s[FLT_RANKS_MAX]; /* of the fleet, by rank index; 0:
                                           unknown */
};

struct pch_choice
{
  uint32_t path; /* index of the path */
  double first_event_us;
  double wait_us;    /* the part of first_event_us that is due to a queue */
  double limit_us;   /* of wait_us */
  double excess_us;  /* over the limit, at the best path; 0: within it */
  double free_slots; /* of all first engines, for requests of this rank */
  int64_t age_us;    /* of the knowledge of that path */
  double retry_after_s;
};

void pch_observe (struct pch_average *average, double value, int64_t now_us);
double pch_value (const struct pch_average *average, double usual,
                  int64_t now_us);
bool pch_is_known (const struct pch_path *paths, uint32_t count);
bool pch_choose (const struct pch_path *paths, uint32_t count,
                 const struct pch_request *request, double draw, double place,
                 struct pch_choice *choice);

#endif
