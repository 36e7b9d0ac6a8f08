#include "core/reach.h"

#include <glib.h>

/* Records that an endpoint has answered a call that was sent at SENT_US.  */
void
rch_report_answer (struct rch_reach *reach, int64_t sent_us)
{
  uint32_t kept = 0;
  if (sent_us <= reach->answered_us)
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
  if (kept == 0)
    {
      reach->cut_us = 0;
    }
}

/* Records that a call to ENDPOINT, sent at SENT_US, had no answer.  */
void
rch_report_failure (struct rch_reach *reach, uint64_t endpoint,
                    int64_t sent_us, int64_t now_us)
{
  if (sent_us <= reach->answered_us)
    {
      return;
    }
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
  if (i == reach->failure_count)
    {
      reach->failure_count++;
      reach->cut_us = now_us;
      reach->probe_us = now_us + RCH_PROBE_US;
    }
}

/* Returns whether the daemon, which knows so many ENDPOINTS, is cut off from
   them.  A single one may just be dead.  */
bool
rch_is_cut_off (const struct rch_reach *reach, uint32_t endpoints)
{
  return endpoints > 1
         && reach->failure_count >= MIN (RCH_ENDPOINTS_MIN, endpoints);
}

/* Returns whether the daemon, which knows so many ENDPOINTS, serves new
   callers as well as others do.  */
bool
rch_is_ready (const struct rch_reach *reach, uint32_t endpoints,
              int64_t now_us)
{
  return !rch_is_cut_off (reach, endpoints)
         || now_us - reach->cut_us < RCH_READY_DELAY_US;
}

/* Returns whether a request tries the own way at NOW_US though the daemon is
   cut off; the next one does RCH_PROBE_US later.  */
bool
rch_take_probe (struct rch_reach *reach, int64_t now_us)
{
  if (now_us < reach->probe_us)
    {
      return false;
    }
  reach->probe_us = now_us + RCH_PROBE_US;
  return true;
}

/* Returns the index of the neighbour to pass a request on to: of the COUNT
   NEIGHBOURS that can be used and weren't tried the one with the fewest
   requests in flight, of several one by TIE, a random number.  -1: none.  */
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
          && (best < 0 || neighbour->in_flight < neighbours[best].in_flight))
        {
          best = (int32_t)index;
        }
    }
  return best;
}
