#include "core/evidence.h"

/* First rest of an endpoint that failed, and the longest. */
#define REST_FIRST_US 400000
#define REST_LONGEST_US 6400000

/* Weight of the newest result in the moving averages. */
#define NEWEST_WEIGHT 0.15

/* Share of failures from which an endpoint rests although none of them proves
   that it is dead. */
#define FAILURE_RATE_MAX 0.5

/* Returns true when the endpoint may get a request now.  */
bool
evd_usable (struct evd_evidence *evidence, int64_t now_us)
{
  if (evidence->state == EVD_RESTING && now_us >= evidence->rest_until_us)
    {
      evidence->state = EVD_PROVING;
    }
  return evidence->state == EVD_GOOD
         || (evidence->state == EVD_PROVING && evidence->in_flight == 0);
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

/* Takes a success that took LATENCY_US.  */
void
evd_success (struct evd_evidence *evidence, int64_t latency_us)
{
  evidence->dead = false;
  evidence->failure_rate *= 1 - NEWEST_WEIGHT;
  evidence->latency_us = evidence->latency_us == 0
                             ? (double)latency_us
                             : evidence->latency_us * (1 - NEWEST_WEIGHT)
                                   + (double)latency_us * NEWEST_WEIGHT;
  if (evidence->state == EVD_PROVING)
    {
      evidence->state = EVD_GOOD;
    }
  if (evidence->state == EVD_GOOD && evidence->strikes > 0
      && evidence->failure_rate < NEWEST_WEIGHT)
    {
      evidence->strikes = 0;
    }
}

/* Takes a failure, which is worth PROOF.  Returns true when the endpoint stops
   being usable by it.  */
bool
evd_failure (struct evd_evidence *evidence, enum evd_proof proof,
             int64_t now_us)
{
  bool certain = proof != EVD_DOUBT;
  if (proof == EVD_DEATH || proof == EVD_REFUSAL)
    {
      evidence->dead = proof == EVD_DEATH;
    }
  evidence->failure_rate
      = evidence->failure_rate * (1 - NEWEST_WEIGHT) + NEWEST_WEIGHT;
  if (evidence->state == EVD_RESTING)
    {
      return false;
    }
  if (!certain && evidence->state == EVD_GOOD
      && evidence->failure_rate < FAILURE_RATE_MAX)
    {
      return false;
    }
  int64_t rest_us = REST_FIRST_US;
  for (uint32_t i = 0; i < evidence->strikes && rest_us < REST_LONGEST_US; i++)
    {
      rest_us *= 2;
    }
  evidence->strikes++;
  evidence->state = EVD_RESTING;
  evidence->rest_until_us = now_us + rest_us;
  return true;
}
