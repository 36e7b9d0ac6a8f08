#include "core/reach.h"

#include <glib.h>

/* First and longest pause of a neighbour that refused a request. */
#define REFUSED_FIRST_US INT64_C (400000)
#define REFUSED_MAX_US INT64_C (6400000)

/* Records that an endpoint has answered a call that was sent at SENT_US.  */
void
rch_report_answer (struct rch_reach *reach, int64_t sent_us)
{
  uint32_t kept = 0;
  if (sent_us <= reach->answered_us || reach->cut_off)
    {
      return;
    }
  reach->answered_us = sent_us;
  for (uint32_t i = 0; i < reach->failure_count; i++)
    {
      if (reach->failures[i].sent_us > sent_us)
        {
          reach->failures[kept++] = reach->failures[i];
        }
    }
  reach->failure_count = kept;
}

/* Records that the daemon was found to be cut off.  Endpoints that have
   answered calls that were sent after SINCE_US are in reach.  */
static void
set_cut_off (struct rch_reach *reach, int64_t since_us, int64_t now_us)
{
  reach->cut_off = true;
  reach->since_us = since_us;
  reach->cut_us = now_us;
  reach->round_us = now_us;
  reach->neighbour_serves = false;
  reach->neighbour_refuses = false;
}

/* Records that a call to ENDPOINT, sent at SENT_US, had no answer.  ENDPOINTS
   is the number of endpoints that the daemon knows; a single one may just be
   dead.  */
void
rch_report_failure (struct rch_reach *reach, uint32_t endpoints,
                    uint64_t endpoint, int64_t sent_us, int64_t now_us)
{
  if (reach->cut_off || endpoints <= 1 || sent_us <= reach->answered_us)
    {
      return;
    }
  reach->round_wanted = true;
  uint32_t i = 0;
  while (i < reach->failure_count && reach->failures[i].endpoint != endpoint)
    {
      i++;
    }
  if (i == RCH_ENDPOINTS_MIN)
    {
      return;
    }
  reach->failures[i] = (struct rch_failure){ endpoint, sent_us };
  reach->failure_count = MAX (reach->failure_count, i + 1);
  if (reach->failure_count < MIN (RCH_ENDPOINTS_MIN, endpoints))
    {
      return;
    }
  int64_t first_us = reach->failures[0].sent_us;
  for (uint32_t j = 1; j < reach->failure_count; j++)
    {
      first_us = MIN (first_us, reach->failures[j].sent_us);
    }
  set_cut_off (reach, first_us, now_us);
}

/* Returns whether the daemon serves new callers as well as others do.  Where
   neighbours refuse requests and none serves them, the endpoints are dead or
   out of reach for all.  */
bool
rch_is_ready (const struct rch_reach *reach, int64_t now_us)
{
  return !reach->cut_off || now_us - reach->cut_us < RCH_READY_DELAY_US
         || (reach->neighbour_refuses && !reach->neighbour_serves);
}

/* Returns whether a round of probes begins at NOW_US.  */
bool
rch_begin_round (struct rch_reach *reach, int64_t now_us)
{
  if (now_us < reach->round_us || !(reach->cut_off || reach->round_wanted))
    {
      return false;
    }
  reach->round_wanted = false;
  reach->round_us = now_us + RCH_PROBE_US;
  return true;
}

/* Records that of so many PROBES, to different endpoints and begun at
   BEGAN_US, so many got ANSWERS.  Where none did the daemon is cut off; where
   most did it isn't.  */
void
rch_end_round (struct rch_reach *reach, uint32_t probes, uint32_t answers,
               int64_t began_us, int64_t now_us)
{
  if (reach->cut_off && probes > 0 && answers * 2 >= probes)
    {
      reach->cut_off = false;
      reach->failure_count = 0;
    }
  else if (!reach->cut_off && probes >= 2 && answers == 0
           && began_us > reach->answered_us)
    {
      set_cut_off (reach, began_us, now_us);
    }
}

/* Records that a neighbour SERVES a request that was passed on to it, or has
   refused it since it can't reach the endpoints either.  */
void
rch_report_neighbour (struct rch_reach *reach, struct rch_standing *standing,
                      bool serves, int64_t now_us)
{
  reach->neighbour_serves |= serves;
  reach->neighbour_refuses |= !serves;
  standing->serves = serves;
  if (serves)
    {
      standing->refusals = 0;
      standing->refused_until_us = 0;
      return;
    }
  int64_t pause_us = REFUSED_FIRST_US;
  for (uint32_t i = 0; i < standing->refusals && pause_us < REFUSED_MAX_US;
       i++)
    {
      pause_us *= 2;
    }
  standing->refusals++;
  standing->refused_until_us = now_us + pause_us;
}

/* Returns the relative cost of passing a request on to NEIGHBOUR: one that
   serves is preferred until it has another request of this daemon.  */
static uint32_t
neighbour_cost (const struct rch_neighbour *neighbour)
{
  return 2 * neighbour->in_flight + (neighbour->serves ? 0 : 3);
}

/* Returns the index of the neighbour to pass a request on to: of the COUNT
   NEIGHBOURS that can be used and weren't tried the one with the lowest cost,
   of several one by TIE, a random number.  -1: none.  */
int32_t
rch_choose_neighbour (const struct rch_neighbour neighbours[], uint32_t count,
                      uint32_t tie)
{
  int32_t best = -1;
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t index = (uint32_t)(((uint64_t)tie + i) % count);
      const struct rch_neighbour *neighbour = &neighbours[index];
      if (neighbour->usable && !neighbour->tried
          && (best < 0
              || neighbour_cost (neighbour)
                     < neighbour_cost (&neighbours[best])))
        {
          best = (int32_t)index;
        }
    }
  return best;
}
