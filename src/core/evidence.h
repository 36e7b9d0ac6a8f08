/* What the requests of this daemon prove about one endpoint.  Answers the
   loads of endpoints that crash, hang, fail part of their requests or go up
   and down while their health check and the list call them good: one that
   fails gets no work for a growing time, then a single request as proof. */
#ifndef CORE_EVIDENCE_H
#define CORE_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

enum evd_state
{
  EVD_GOOD,
  EVD_RESTING, /* gets no work */
  EVD_PROVING  /* gets one request at a time */
};

/* What a failure proves. */
enum evd_proof
{
  EVD_DOUBT,   /* little by itself */
  EVD_REFUSAL, /* the endpoint lives, and can't serve now */
  EVD_UNABLE,  /* it can't serve now; whether it lives isn't known */
  EVD_DEATH    /* it doesn't answer anybody */
};

struct evd_evidence
{
  enum evd_state state;
  bool dead;        /* since the last proof of either */
  uint32_t strikes; /* failures in a row that ended a good time */
  int64_t rest_until_us;
  double failure_rate; /* moving average, 0 to 1 */
  double latency_us;   /* moving average of successes; 0: none */
  uint32_t in_flight;
};

bool evd_usable (struct evd_evidence *evidence, int64_t now_us);
void evd_begin (struct evd_evidence *evidence);
void evd_end (struct evd_evidence *evidence);
void evd_success (struct evd_evidence *evidence, int64_t latency_us);
bool evd_failure (struct evd_evidence *evidence, enum evd_proof proof,
                  int64_t now_us);

#endif
