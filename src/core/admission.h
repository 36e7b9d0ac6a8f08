/* Admission control for requests: enforces the account limits and the limit on
   concurrent streams, queues excess requests in a weighted fair queue, and
   keeps the retry and hedge budgets.  It isn't thread-safe: one lock must be
   held around every call. */
#ifndef CORE_ADMISSION_H
#define CORE_ADMISSION_H

#include "base/error.h"
#include "core/config.h"

struct adm;

/* Result of adm_arrive and adm_next. */
enum adm_decision
{
  ADM_NOTHING, /* adm_next only: no request is due */
  ADM_ADMITTED,
  ADM_QUEUED,
  ADM_REFUSED
};

struct adm_request
{
  uint64_t id;       /* unique within the daemon */
  uint32_t account;  /* index in the configuration */
  uint32_t priority; /* 0 is the highest */
  uint32_t tokens;   /* most tokens to generate; 0: a call of a plain service,
                        which is rate limited but uses no engine capacity */
  int64_t deadline_us; /* monotonic */
};

struct adm_verdict
{
  enum err_kind error;    /* reason for a refusal; otherwise ERR_NONE */
  uint32_t retry_after_s; /* wait before a retry; 0: waiting doesn't help */
  /* Priority of the stream's steps in engines; 0 is the highest.  Streams of
     accounts within their share precede all others, as long as half of the
     capacity is left to the others. */
  uint32_t step_priority;
};

/* Demand of an account on one daemon or on the whole fleet. */
struct adm_demand
{
  double requests_per_s;
  double tokens_per_s;
  uint32_t streams; /* open, queued or running */
};

/* Current load, for metrics and reports. */
struct adm_state
{
  uint32_t limit;   /* on concurrent streams */
  uint32_t streams; /* running */
  uint32_t queued;
  int64_t between_tokens_us; /* time between tokens, moving average */
};

struct adm *adm_create (void);
void adm_destroy (struct adm *adm);
void adm_configure (struct adm *adm, const struct cfg_config *config,
                    uint32_t daemons, double capacity_tokens_per_s,
                    int64_t now_us);
enum adm_decision adm_arrive (struct adm *adm,
                              const struct adm_request *request,
                              int64_t now_us, struct adm_verdict *verdict);
enum adm_decision adm_next (struct adm *adm, int64_t now_us, uint64_t *id,
                            struct adm_verdict *verdict);
void adm_finish (struct adm *adm, uint64_t id, uint32_t tokens,
                 int64_t now_us);
void adm_cancel (struct adm *adm, uint64_t id, int64_t now_us);
bool adm_retry_allowed (struct adm *adm, uint32_t index, uint32_t endpoint,
                        int64_t now_us);
bool adm_hedge_allowed (struct adm *adm, uint32_t index, bool idempotent,
                        int64_t now_us);
void adm_observe_token_interval (struct adm *adm, int64_t between_tokens_us);
void adm_local_demand (struct adm *adm, uint32_t index, int64_t now_us,
                       struct adm_demand *demand);
void adm_apply_fleet_demand (struct adm *adm, uint32_t index,
                             const struct adm_demand *fleet, int64_t now_us);
void adm_read_state (const struct adm *adm, struct adm_state *state);

#endif
