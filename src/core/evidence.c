#include "core/evidence.h"

#include <math.h>

/* First and longest backoff of an endpoint that failed. */
#define BACKOFF_FIRST_US 400000
#define BACKOFF_MAX_US 6400000

/* Weight of the newest result in the moving averages. */
#define NEWEST_WEIGHT 0.15

/* Failure rate at which the backoff starts even if no single failure is
   conclusive. */
#define FAILURE_RATE_MAX 0.5

/* A request without an answer counts as a failure after this many times the
   average latency, with a lower bound. */
#define OVERDUE_FACTOR 2.0
#define OVERDUE_MIN_US 100000.0

/* An engine on which a stream went on within this time is alive. */
#define PROGRESS_US 500000

/* How long an engine that was short of room counts as full. */
#define FULL_US 250000

/* Records that a stream on the endpoint went on at NOW_US.  */
void
evd_progress (struct evd_evidence *evidence, int64_t now_us)
{
  evidence->progressed_us = now_us;
}

/* Returns whether the endpoint may get a request at NOW_US.  Ends a backoff
   that has expired.  */
bool
evd_usable (struct evd_evidence *evidence, int64_t now_us)
{
  if (evidence->state == EVD_BACKOFF && now_us >= evidence->backoff_until_us)
    {
      evidence->state = EVD_PROBING;
    }
  return evidence->state == EVD_HEALTHY
         || (evidence->state == EVD_PROBING && evidence->in_flight == 0);
}

/* Counts a request that is sent to the endpoint.  */
void
evd_begin (struct evd_evidence *evidence)
{
  evidence->in_flight++;
}

/* Counts the end of a request that evd_begin counted.  */
void
evd_end (struct evd_evidence *evidence)
{
  evidence->in_flight--;
}

/* Records an answer that shows no more than that the endpoint is alive.  */
void
evd_answered (struct evd_evidence *evidence)
{
  evidence->dead = false;
}

/* Records a request that succeeded after LATENCY_US.  */
void
evd_success (struct evd_evidence *evidence, int64_t latency_us)
{
  evidence->dead = false;
  evidence->failure_rate *= 1 - NEWEST_WEIGHT;
  evidence->latency_us = evidence->latency_us == 0
                             ? (double)latency_us
                             : evidence->latency_us * (1 - NEWEST_WEIGHT)
                                   + (double)latency_us * NEWEST_WEIGHT;
  if (evidence->state == EVD_PROBING)
    {
      evidence->state = EVD_HEALTHY;
    }
  if (evidence->state == EVD_HEALTHY && evidence->backoffs > 0
      && evidence->failure_rate < NEWEST_WEIGHT)
    {
      evidence->backoffs = 0;
    }
}

/* Records a request that ended in a failure of KIND.  Returns whether the
   failure starts a backoff.  A refusal of an engine whose streams go on only
   shows that it is full.  */
bool
evd_failure (struct evd_evidence *evidence, enum evd_failure_kind kind,
             int64_t now_us)
{
  bool conclusive = kind != EVD_INCONCLUSIVE;
  if (conclusive && kind != EVD_MISDIRECTED)
    {
      evidence->failed_us = now_us;
    }
  if ((kind == EVD_REFUSING || kind == EVD_UNAVAILABLE)
      && evidence->progressed_us != 0
      && now_us - evidence->progressed_us < PROGRESS_US)
    {
      evidence->full_until_us = now_us + FULL_US;
      return false;
    }
  if (kind == EVD_DEAD || kind == EVD_REFUSING || kind == EVD_MISDIRECTED)
    {
      evidence->dead = kind == EVD_DEAD;
    }
  evidence->failure_rate
      = evidence->failure_rate * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
  if (evidence->state == EVD_BACKOFF)
    {
      return false;
    }
  if (!conclusive && evidence->state == EVD_HEALTHY
      && evidence->failure_rate < FAILURE_RATE_MAX)
    {
      return false;
    }
  int64_t backoff_us = BACKOFF_FIRST_US;
  for (uint32_t i = 0; i < evidence->backoffs && backoff_us < BACKOFF_MAX_US;
       i++)
    {
      backoff_us *= 2;
    }
  evidence->backoffs++;
  evidence->state = EVD_BACKOFF;
  evidence->backoff_until_us = now_us + backoff_us;
  return true;
}

/* True when a request that ends without an answer after WAITED_US, since its
   time was up or its caller has left, counts as a failure: it took longer than
   those that succeeded.  */
bool
evd_is_overdue (const struct evd_evidence *evidence, int64_t waited_us)
{
  return (double)waited_us
         >= fmax (evidence->latency_us * OVERDUE_FACTOR, OVERDUE_MIN_US);
}
