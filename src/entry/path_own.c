/* The choice of paths by this daemon's own streams, where the load of the
   other daemons isn't known. */
#include "entry/fleet_state_private.h"

#include <math.h>

/* Lower bound of the random number whose logarithm is taken in path_load. */
#define RANDOM_MIN 1e-6

/* One of this many streams that wait at an engine may be stuck for reasons of
   its own, and says nothing of new ones. */
#define STUCK_DIVISOR 8

/* Multiplies the cost of a path whose expected first wait is over its limit,
   so that such a path is chosen only if there is no other. */
#define CLOSED_FACTOR 1e6

/* Fill of a path above which others are preferred, and the factor by which the
   excess over it raises the path's cost. */
#define FULL_FILL 0.9
#define OVERLOAD_FACTOR 10.0

/* Returns for how long the streams that wait at ENGINE have done so: all but
   the few that may be stuck for reasons of their own.  */
static int64_t
oldest_wait_us (const struct fst_endpoint *engine, int64_t now_us)
{
  const int64_t *sent_us = g_queue_peek_nth (
      (GQueue *)&engine->waiting, engine->waiting.length / STUCK_DIVISOR);
  return sent_us == NULL ? 0 : now_us - *sent_us;
}

/* Returns how full PATH would be with a request of TOKENS more, as a share of
   the part of its capacity that is this daemon's: the greater of the fill of
   its fullest engine's memory and that of the first engine's slots.  */
static double
path_fill (const struct fst_fleet *fleet, const struct fst_path *path,
           double tokens)
{
  double share = MAX (fleet->view->share, SHARE_MIN);
  const struct fst_endpoint *first = path->parts[0];
  double fill = (first->first_requests + 1) / MAX (first->slots * share, 1);
  for (uint32_t i = 0; i < path->count; i++)
    {
      const struct fst_endpoint *part = path->parts[i];
      double room = MAX (part->cache_tokens * share, 1);
      fill = MAX (fill, (part->used_tokens + tokens) / room);
    }
  return fill;
}

/* Returns this daemon's load on PATH: the tokens on its fullest engine, and a
   random part for the request to be placed, which needs TOKENS.  The random
   part makes daemons with few or no requests in progress choose paths in
   proportion to their capacities, rather than all the same one.  */
static double
path_load (const struct fst_path *path, double tokens)
{
  double used = 0;
  for (uint32_t i = 0; i < path->count; i++)
    {
      used = MAX (used, path->parts[i]->used_tokens);
    }
  return used - tokens * log (g_random_double_range (RANDOM_MIN, 1));
}

/* Returns by how much the wait for a first event on PATH is expected to exceed
   the limit for a request that targets TARGET_US, in microseconds, or for how
   long one of its engines still counts as full; 0 if neither.  */
static double
wait_excess_us (const struct fst_path *path, int64_t target_us, int64_t now_us)
{
  const struct fst_endpoint *first = path->parts[0];
  double excess_us = fwt_expected_us (&first->first_wait,
                                      oldest_wait_us (first, now_us), now_us)
                     - fwt_limit_us (&first->first_wait, target_us, now_us);
  return MAX (excess_us, (double)fst_path_full_us (path, now_us));
}

/* Chooses a path of SERVICE for a request that needs memory for TOKENS and
   targets a first event within TARGET_US: of the open paths with room and
   without a queue that is too long for this, the one with the least load for
   its capacity and speed, with a preference for the daemon's own data centre.
   Sets EXCESS_US to the time, in microseconds, by which the expected wait on
   that path is too long; 0 if it isn't.  Returns a reference, or NULL when
   there is no path.  */
struct fst_path *
fst_choose_path (struct fst_fleet *fleet, uint32_t service, double tokens,
                 int64_t target_us, int64_t now_us, double *excess_us)
{
  struct service_state *state
      = fst_service_with_paths (fleet, service, now_us);
  uint32_t home = fst_data_centre_index (fleet, fleet->data_centre);
  struct fst_path *best = NULL;
  double best_cost = INFINITY;
  *excess_us = 0;
  for (guint i = 0; i < state->paths->len; i++)
    {
      struct fst_path *path = g_ptr_array_index (state->paths, i);
      if (!fst_path_is_open (state, path, now_us))
        {
          continue;
        }
      double excess = wait_excess_us (path, target_us, now_us);
      double fill = path_fill (fleet, path, tokens);
      double overload = MAX (fill - FULL_FILL, 0);
      double weight
          = (path->parts[0]->data_centre == home ? PCH_HOME_WEIGHT : 1)
            * path->capacity_tokens / path->token_ms;
      double cost = path_load (path, tokens) * (1 + OVERLOAD_FACTOR * overload)
                    / weight;
      if (excess > 0)
        {
          cost *= CLOSED_FACTOR * (1 + excess);
        }
      if (cost < best_cost)
        {
          best = path;
          best_cost = cost;
          *excess_us = excess;
        }
    }
  return best == NULL ? NULL : fst_reference_path (best);
}
