/* Passive health check of one endpoint, a circuit breaker driven by the
   results of this daemon's requests.  It detects endpoints that crash, hang,
   fail part of their requests or flap while their own health check and the
   list of endpoints report them as healthy.  After a conclusive failure, or at
   a high rate of others, an endpoint gets no requests for a backoff period
   that grows exponentially, and then one probe request at a time: a success
   makes the endpoint healthy, any failure starts the next backoff. */
#ifndef CORE_EVIDENCE_H
#define CORE_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

/* State of the circuit breaker. */
enum evd_state
{
  EVD_HEALTHY, /* gets requests without limit */
  EVD_BACKOFF, /* in backoff, gets no requests */
  EVD_PROBING  /* backoff is over, gets one request at a time */
};

/* What a failure shows about the endpoint. */
enum evd_failure_kind
{
  EVD_INCONCLUSIVE, /* nothing by itself; starts a backoff only when the
                       failure rate is high or the request was a probe */
  EVD_REFUSING,     /* alive, but can't serve requests now */
  EVD_UNAVAILABLE,  /* can't serve requests now; may be alive or dead */
  EVD_DEAD          /* dead: doesn't respond to any caller */
};

struct evd_evidence
{
  enum evd_state state;
  bool dead;         /* according to the last result that shows whether the
                        endpoint is dead or alive */
  uint32_t backoffs; /* consecutive backoffs; 0 again at a low failure rate */
  int64_t backoff_until_us; /* monotonic end of the backoff */
  double failure_rate;      /* moving average, 0 to 1 */
  double latency_us;        /* of successes, moving average; 0: none */
  uint32_t in_flight;       /* requests without a result yet */
};

bool evd_usable (struct evd_evidence *evidence, int64_t now_us);
void evd_begin (struct evd_evidence *evidence);
void evd_end (struct evd_evidence *evidence);
void evd_success (struct evd_evidence *evidence, int64_t latency_us);
bool evd_failure (struct evd_evidence *evidence, enum evd_failure_kind kind,
                  int64_t now_us);

#endif
