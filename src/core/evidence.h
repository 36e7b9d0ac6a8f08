/* Passive health check of one endpoint, a circuit breaker driven by the
   results of this daemon's requests.  It detects endpoints that crash, hang,
   fail part of their requests or flap while their own health check and the
   list of endpoints report them as healthy.  After a conclusive failure, or at
   a high rate of others, an endpoint gets no requests for a backoff period
   that grows exponentially, and then one probe request at a time: a success
   makes the endpoint healthy, any failure starts the next backoff.

   An engine that refuses a stream while others on it go on is short of memory
   or slots, not ill.  A backoff would send its load to the other engines,
   which fill up and refuse in turn, until none is left; instead it counts as
   full for a moment. */
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
  EVD_MISDIRECTED,  /* alive, but isn't what the request was meant for */
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
  int64_t progressed_us; /* monotonic, when a stream on it last went on; 0: not
                            yet */
  int64_t failed_us;     /* monotonic, newest failure other than
                            EVD_INCONCLUSIVE and EVD_MISDIRECTED; 0: none */
  int64_t full_until_us; /* monotonic; it is short of room until then */
};

void evd_progress (struct evd_evidence *evidence, int64_t now_us);
bool evd_usable (struct evd_evidence *evidence, int64_t now_us);
void evd_begin (struct evd_evidence *evidence);
void evd_end (struct evd_evidence *evidence);
void evd_answered (struct evd_evidence *evidence);
void evd_success (struct evd_evidence *evidence, int64_t latency_us);
bool evd_failure (struct evd_evidence *evidence, enum evd_failure_kind kind,
                  int64_t now_us);
bool evd_is_overdue (const struct evd_evidence *evidence, int64_t waited_us);

#endif
