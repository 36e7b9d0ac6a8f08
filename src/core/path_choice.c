#include "core/path_choice.h"

#include <math.h>

/* Weight of the newest sample in moving averages, and the time in which an
   average without new samples loses half of its difference from the usual
   value.  A daemon sends a stream to a first engine each 2.5 s. */
#define NEWEST_WEIGHT 0.2
#define HALF_LIFE_US 5000000.0

/* Limit of the expected first event, as a share of its target, and the least
   limit of the wait in a queue.  Where the time without a queue is near the
   target or above, refusing for a short queue gains nothing. */
#define TARGET_SHARE 0.8
#define WAIT_SHARE_MIN 0.2

/* Lower bound of each factor of a path's weight. */
#define FACTOR_MIN 0.02

/* Bounds of the expected length of an answer, relative to the usual one, that
   count in a path's weight. */
#define LENGTH_MIN 0.25
#define LENGTH_MAX 4.0

/* Slots are reserved for the more urgent requests of this time. */
#define RESERVED_S 0.5

/* Bound of the load of engines, in requests a slot, and the number of steps in
   which it is found. */
#define LEVEL_MAX 16.0
#define LEVEL_STEPS 20

/* Bounds of the expected time after which a refused caller may return. */
#define RETURN_MIN_S 0.5
#define RETURN_MAX_S 5.0

/* Bounds of what is taken for true of an engine. */
#define SLOTS_MAX 1e6
#define TIME_MAX_US 3600e6
#define RATE_MAX_PER_S 1e6

/* Returns VALUE within MIN and MAX; MIN if it isn't a number.  */
static double
bounded (double value, double min, double max)
{
  return isnan (value) ? min : fmin (fmax (value, min), max);
}

/* Adds the sample VALUE, seen at NOW_US, to AVERAGE.  */
void
pch_observe (struct pch_average *average, double value, int64_t now_us)
{
  if (!isfinite (value) || value < 0)
    {
      return;
    }
  average->value
      = average->at_us == 0
            ? value
            : average->value + NEWEST_WEIGHT * (value - average->value);
  average->at_us = now_us;
}

/* Returns what AVERAGE says at NOW_US of a quantity whose usual value is
   USUAL.  Without new samples the result returns to USUAL, so that a path that
   isn't used since it was slow gets a chance again.  */
double
pch_value (const struct pch_average *average, double usual, int64_t now_us)
{
  if (average->at_us == 0)
    {
      return usual;
    }
  double age_us = fmax ((double)(now_us - average->at_us), 0);
  return usual + (average->value - usual) * exp2 (-age_us / HALF_LIFE_US);
}

static bool
is_path_known (const struct pch_path *path)
{
  return path->age_us >= 0 && path->age_us <= PCH_KNOWLEDGE_MAX_US;
}

/* Returns whether the load at the first engine of one of the COUNT PATHS is
   known, and recently enough, for pch_choose.  */
bool
pch_is_known (const struct pch_path *paths, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      if (is_path_known (&paths[i]))
        {
          return true;
        }
    }
  return false;
}

/* What follows for a request from what is known of a path. */
struct outlook
{
  double slots;
  double per_s;    /* slots that become free */
  double part;     /* of the engine that is for this path */
  double left;     /* requests that are still there of those that were known */
  double requests; /* with those that have come since */
  double queue;    /* of ranks that are served before the request */
  double reserved; /* slots for more urgent requests */
  double room;     /* places for more requests, see find_level */
  double places;   /* for requests of this rank, by which paths are drawn */
  double first_event_us; /* expected, without a queue */
  double wait_us;        /* expected in a queue */
  double limit_us;       /* of wait_us */
  double drain_us;       /* until a request of this rank is within the limit */
  double excess_us;
  double weight;
};

/* Returns the age of the knowledge of PATH, in seconds.  */
static double
age_s (const struct pch_path *path)
{
  return bounded ((double)path->age_us, 0, PCH_KNOWLEDGE_MAX_US) / 1e6;
}

/* Returns the requests that arrive in a second, of all daemons and of the
   first RANKS ranks.  */
static double
count_arrivals (const struct pch_request *request, uint32_t ranks)
{
  double per_s = 0;
  for (uint32_t i = 0; i < MIN (ranks, FLT_RANKS_MAX); i++)
    {
      per_s += bounded (request->arrivals_per_s[i], 0, RATE_MAX_PER_S);
    }
  return per_s;
}

/* Begins the OUTLOOK of PATH.  */
static void
begin_outlook (const struct pch_path *path, struct outlook *outlook)
{
  double slots = bounded (path->slots, 1, SLOTS_MAX);
  double requests = bounded (path->requests, 0, SLOTS_MAX);
  double per_s = slots / (bounded (path->hold_us, 1e3, TIME_MAX_US) / 1e6);
  double ended = per_s * fmin (requests / slots, 1) * age_s (path);
  *outlook = (struct outlook){
    .slots = slots,
    .per_s = per_s,
    .part = bounded (path->part, 1e-6, 1),
    .left = fmax (requests - ended, 0),
    .first_event_us = bounded (path->first_event_us, 0, TIME_MAX_US),
  };
}

/* Returns how many more requests fit the paths of the COUNT OUTLOOKS if each
   engine has up to LEVEL requests a slot.  */
static double
count_room (const struct outlook *outlooks, uint32_t count, double level)
{
  double room = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      room += fmax (level * outlooks[i].slots - outlooks[i].left, 0)
              * outlooks[i].part;
    }
  return room;
}

/* Returns the load, in requests a slot, up to which engines are filled when
   PLACED requests have come: 1 while there are free slots for these.  Daemons
   get to know of each other's requests late.  If they all chose the few
   engines with free slots until then, these would have long queues.  */
static double
find_level (const struct outlook *outlooks, uint32_t count, double placed)
{
  double low = 1;
  double high = LEVEL_MAX;
  if (count_room (outlooks, count, low) >= placed)
    {
      return low;
    }
  for (uint32_t i = 0; i < LEVEL_STEPS; i++)
    {
      double middle = (low + high) / 2;
      if (count_room (outlooks, count, middle) < placed)
        {
          low = middle;
        }
      else
        {
          high = middle;
        }
    }
  return high;
}

/* Returns the requests of ranks that are served before one of REQUEST that
   wait at PATH's engine, which has got ARRIVED of these since they were
   counted.  Streams that run wait for their first event too, while their
   prompts are read.  */
static double
count_queue (const struct pch_path *path, const struct pch_request *request,
             const struct outlook *outlook, double arrived)
{
  uint32_t ranks = request->rank + (request->is_resumed ? 0 : 1);
  double waiting = arrived;
  for (uint32_t i = 0; i < MIN (ranks, FLT_RANKS_MAX); i++)
    {
      waiting += bounded (path->waiting[i], 0, SLOTS_MAX);
    }
  return fmin (waiting, fmax (outlook->requests - outlook->slots, 0));
}

/* Returns the requests a second of the fleet that are sent before one of
   REQUEST: those of more urgent ranks, and PLACE, 0 to 1, of its own.  Less
   urgent ones are the first to be refused.  */
static double
count_earlier (const struct pch_request *request, double place)
{
  double more_urgent_per_s = count_arrivals (request, request->rank);
  double per_s = count_arrivals (request, request->rank + 1);
  return more_urgent_per_s + place * (per_s - more_urgent_per_s);
}

/* Returns 1 less the share that TIME_US is of TARGET_US, a factor of a path's
   weight; 1 if there is no target.  */
static double
slack (double time_us, double target_us)
{
  return target_us > 0 ? fmax (1 - time_us / target_us, FACTOR_MIN) : 1;
}

/* Sets the times in OUTLOOK that REQUEST would wait at PATH, and by how much
   they are over the limit.  */
static void
judge_wait (const struct pch_path *path, const struct pch_request *request,
            struct outlook *outlook)
{
  double target_us = bounded (request->target_us, 0, TIME_MAX_US);
  outlook->wait_us = outlook->queue / outlook->per_s * 1e6;
  outlook->limit_us = fmax (target_us * TARGET_SHARE - outlook->first_event_us,
                            target_us * WAIT_SHARE_MIN);
  double lacking
      = outlook->reserved > 0
            ? outlook->requests + 1 + outlook->reserved - outlook->slots
            : 0;
  double excess_us
      = target_us > 0 ? fmax (outlook->wait_us - outlook->limit_us, 0) : 0;
  excess_us = fmax (excess_us, lacking / outlook->per_s * 1e6);
  excess_us = request->is_resumed ? 0 : excess_us;
  outlook->drain_us = fmax (outlook->wait_us, excess_us);
  outlook->excess_us
      = fmax (excess_us, bounded (path->closed_us, 0, TIME_MAX_US));
}

/* Sets the weight in OUTLOOK of PATH in the draw for REQUEST: its room, by how
   soon events are expected there.  A long answer has more events that must be
   in time, and holds its slot and delays others for each of them, so the time
   between events counts for more.  */
static void
weigh (const struct pch_path *path, const struct pch_request *request,
       struct outlook *outlook)
{
  double length = request->length > 0
                      ? bounded (request->length, LENGTH_MIN, LENGTH_MAX)
                      : 1;
  outlook->weight = fmax (outlook->places, FACTOR_MIN) * outlook->part
                    * slack (outlook->first_event_us + outlook->wait_us,
                             request->target_us)
                    * pow (slack (bounded (path->interval_us, 0, TIME_MAX_US),
                                  request->target_gap_us),
                           length)
                    * (path->is_home ? PCH_HOME_WEIGHT : 1);
}

/* Fills OUTLOOKS with what follows for REQUEST at each of the COUNT PATHS.
   All daemons choose by the same knowledge as this one, so that what they have
   sent since it was taken has filled the free slots in proportion, and then
   raised the shortest queues evenly.  PLACE is the random place of REQUEST
   among those of its rank that come until then.  So just the part of them is
   refused that is too much, rather than all in turn with none.  */
static void
look_ahead (const struct pch_path *paths, uint32_t count,
            const struct pch_request *request, double place,
            struct outlook *outlooks)
{
  double age = 0;
  double slots = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      begin_outlook (&paths[i], &outlooks[i]);
      slots += outlooks[i].slots * outlooks[i].part;
      age = fmax (age, age_s (&paths[i]));
    }
  double placed = count_earlier (request, place) * age;
  double level = find_level (outlooks, count, placed);
  double room = fmax (count_room (outlooks, count, level), FACTOR_MIN);
  double reserved_per_slot
      = request->is_resumed || request->came_back
            ? 0
            : count_arrivals (request, request->rank) * RESERVED_S / slots;
  for (uint32_t i = 0; i < count; i++)
    {
      struct outlook *outlook = &outlooks[i];
      outlook->room = fmax (level * outlook->slots - outlook->left, 0);
      double arrived = placed * outlook->room / room;
      outlook->requests = outlook->left + arrived;
      outlook->reserved = reserved_per_slot * outlook->slots;
      outlook->queue = count_queue (&paths[i], request, outlook, arrived);
      judge_wait (&paths[i], request, outlook);
      outlook->places = level > 1 && outlook->room > 0
                            ? outlook->slots
                            : outlook->room - outlook->reserved;
      weigh (&paths[i], request, outlook);
    }
}

/* Returns the index of the one of COUNT OUTLOOKS within its limit that DRAW,
   from 0 to 1, selects in proportion to the weights; COUNT if there is none.
 */
static uint32_t
draw_path (const struct outlook *outlooks, uint32_t count, double draw)
{
  double total = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      total += outlooks[i].excess_us > 0 ? 0 : outlooks[i].weight;
    }
  double left = bounded (draw, 0, 1) * total;
  uint32_t chosen = count;
  for (uint32_t i = 0; i < count; i++)
    {
      if (outlooks[i].excess_us > 0)
        {
          continue;
        }
      chosen = i;
      left -= outlooks[i].weight;
      if (left < 0)
        {
          break;
        }
    }
  return chosen;
}

/* Returns the index of the one of COUNT OUTLOOKS with the least excess.  */
static uint32_t
least_excess (const struct outlook *outlooks, uint32_t count)
{
  uint32_t best = 0;
  for (uint32_t i = 1; i < count; i++)
    {
      if (outlooks[i].excess_us < outlooks[best].excess_us)
        {
          best = i;
        }
    }
  return best;
}

/* Chooses one of the COUNT PATHS for REQUEST.  DRAW and PLACE are random from
   0 to 1.  When all paths are over the limit, CHOICE has the one that is the
   least so, and when a refused caller may return: when the shortest queue of
   its rank is expected to be gone, with a random part as long again. Returns
   false if nothing recent is known of any engine, or there is no path; CHOICE
   isn't set then.  */
bool
pch_choose (const struct pch_path *paths, uint32_t count,
            const struct pch_request *request, double draw, double place,
            struct pch_choice *choice)
{
  if (!pch_is_known (paths, count))
    {
      return false;
    }
  struct outlook *outlooks = g_new (struct outlook, count);
  double free_slots = 0;
  double drain_us = INFINITY;
  look_ahead (paths, count, request, bounded (place, 0, 1), outlooks);
  for (uint32_t i = 0; i < count; i++)
    {
      double left
          = outlooks[i].slots - outlooks[i].requests - outlooks[i].reserved;
      free_slots += fmax (left, 0) * outlooks[i].part;
      drain_us = fmin (drain_us, outlooks[i].drain_us);
    }
  uint32_t chosen = draw_path (outlooks, count, draw);
  chosen = chosen < count ? chosen : least_excess (outlooks, count);
  const struct outlook *outlook = &outlooks[chosen];
  *choice = (struct pch_choice){
    .path = chosen,
    .first_event_us = outlook->first_event_us + outlook->wait_us,
    .wait_us = outlook->wait_us,
    .limit_us = outlook->limit_us,
    .excess_us = outlook->excess_us,
    .free_slots = free_slots,
    .age_us = paths[chosen].age_us,
    .retry_after_s = bounded (drain_us / 1e6, RETURN_MIN_S, RETURN_MAX_S)
                     * (1 + bounded (draw, 0, 1)),
  };
  g_free (outlooks);
  return true;
}
