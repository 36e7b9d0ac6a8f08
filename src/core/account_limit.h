/* Rate and stream limits of one client account on one daemon.  The limits
   apply to the whole fleet and are divided among the daemons: a fixed fraction
   evenly, the rest in proportion to demand.  Daemons exchange their demand in
   the background, so a request never waits for another daemon. */
#ifndef CORE_ACCOUNT_LIMIT_H
#define CORE_ACCOUNT_LIMIT_H

#include "core/admission.h"
#include "core/bucket.h"

#include <glib.h>

/* A stream that is running. */
struct acc_stream
{
  GList link;         /* in `under_way' of its account */
  int64_t started_us; /* monotonic */
  uint32_t allowed;   /* tokens that it may generate */
};

/* State of one account. */
struct acc_account
{
  struct cfg_account limits; /* for the whole fleet */
  uint32_t flow;             /* flow index in the fair queue */
  uint32_t daemons;          /* ready daemons that share the limits */
  double share;              /* this daemon's fraction of the limits */
  uint32_t streams;          /* open on this daemon, queued or running */
  uint32_t running_streams;  /* of `streams', those that aren't queued */
  GQueue under_way;          /* struct acc_stream, the running ones */
  uint64_t ended_streams;    /* observed by acc_observe_length */
  double generated_ratio;    /* generated per allowed token, moving average */
  uint32_t ratio_samples;    /* streams that `generated_ratio' covers */
  uint32_t fleet_streams;    /* open on all daemons, as last reported */
  uint32_t local_streams_at_report; /* `streams' at the time of that report */
  struct bkt_bucket requests;       /* rate limit of requests */
  struct bkt_bucket tokens;         /* rate limit of tokens */
  struct bkt_bucket retries;        /* retry budget */
  struct bkt_bucket hedges;         /* hedge budget */
  struct adm_demand demand; /* only the rates, which decay exponentially */
  int64_t demand_at_us;     /* monotonic time that `demand' is valid for */
};

struct acc_account *acc_create (const struct cfg_account *limits,
                                uint32_t flow, uint32_t daemons,
                                int64_t now_us);
void acc_configure (struct acc_account *account,
                    const struct cfg_account *limits, uint32_t daemons,
                    int64_t now_us);
void acc_count_arrival (struct acc_account *account, uint32_t tokens,
                        int64_t now_us);
int64_t acc_wait_us (struct acc_account *account, uint32_t tokens,
                     int64_t now_us);
void acc_charge (struct acc_account *account, uint32_t tokens);
void acc_open_stream (struct acc_account *account, uint32_t tokens);
void acc_close_stream (struct acc_account *account, uint32_t charged,
                       uint32_t tokens);
uint32_t acc_weight (const struct acc_account *account);
void acc_start_stream (struct acc_account *account, struct acc_stream *stream,
                       uint32_t allowed, int64_t now_us);
void acc_end_stream (struct acc_account *account, struct acc_stream *stream);
double acc_expected_tokens (const struct acc_account *account,
                            uint32_t allowed);
double acc_service_time_us (const struct acc_account *account,
                            uint32_t allowed, int64_t between_tokens_us,
                            int64_t now_us);
void acc_observe_length (struct acc_account *account, uint32_t allowed,
                         uint32_t tokens);
void acc_lower_estimate (struct acc_account *account, uint32_t allowed,
                         int64_t between_tokens_us, int64_t left_us);
bool acc_take_retry (struct acc_account *account, int64_t now_us);
bool acc_take_hedge (struct acc_account *account, int64_t now_us);
void acc_local_demand (struct acc_account *account, int64_t now_us,
                       struct adm_demand *demand);
void acc_apply_fleet_demand (struct acc_account *account,
                             const struct adm_demand *fleet, int64_t now_us);

#endif
