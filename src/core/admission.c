#include "core/admission.h"

#include "base/clock.h"
#include "core/account_limit.h"
#include "core/concurrency.h"
#include "core/fair.h"

#include <glib.h>

/* Target for the time between tokens when no account sets an objective. */
#define DEFAULT_BETWEEN_TOKENS_TARGET_US (39 * CLK_MS_US)
/* Upper limit of a refusal's `retry_after_s'. */
#define RETRY_AFTER_MAX_S 60
/* Fraction of the capacity that the recovery profile keeps free, so that the
   capacity left after a fault can carry the running streams. */
#define RECOVERY_HEADROOM 0.15

/* Retry budget for the failures of one endpoint: burst and refill rate, in
   retries. */
#define ENDPOINT_RETRY_DEPTH 64.0
#define ENDPOINT_RETRIES_PER_S 2.0

/* Largest fraction of the capacity for prioritized streams, those of accounts
   within their share.  The rest keeps other streams from starving. */
#define PRIORITIZED_FRACTION 0.5

/* State of a known request. */
enum stage
{
  STAGE_QUEUED,
  STAGE_STREAMING,
  STAGE_SERVICE /* running call of a plain service */
};

/* A request that is queued or running. */
struct record
{
  struct adm_request request;
  struct acc_account *account;
  enum stage stage;
  struct acc_stream stream; /* in STAGE_STREAMING */
  bool prioritized;         /* counted in adm.prioritized */
};

/* Refusal of a queued request, to be returned by adm_next. */
struct refusal
{
  uint64_t id;
  struct adm_verdict verdict;
};

struct adm
{
  GHashTable *by_name; /* account name to struct acc_account, owned */
  GPtrArray *accounts; /* struct acc_account by index in the configuration */
  GHashTable *records; /* request id to struct record, owned */
  GQueue refusals;     /* struct refusal, not yet returned by adm_next */
  GHashTable *endpoint_retries; /* endpoint index to struct bkt_bucket */
  struct fq_queue *queue;
  struct con_limit limit;
  uint32_t queue_length;  /* limit on queued requests */
  uint32_t streams;       /* running */
  uint32_t prioritized;   /* of `streams', those with engine priority */
  uint32_t next_flow;     /* next unused flow index */
  uint32_t active_weight; /* sum over the accounts with running streams */
};

/* Creates the admission state.  No request is admitted before
   adm_configure.  */
struct adm *
adm_create (void)
{
  struct adm *adm = g_new0 (struct adm, 1);
  adm->by_name = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  adm->accounts = g_ptr_array_new ();
  adm->records
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  adm->endpoint_retries = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  adm->queue = fq_create ();
  con_init (&adm->limit, 0.0, DEFAULT_BETWEEN_TOKENS_TARGET_US);
  return adm;
}

/* Frees ADM; NULL is allowed.  */
void
adm_destroy (struct adm *adm)
{
  if (adm == NULL)
    {
      return;
    }
  g_queue_clear_full (&adm->refusals, g_free);
  fq_destroy (adm->queue);
  g_hash_table_destroy (adm->endpoint_retries);
  g_hash_table_destroy (adm->records);
  g_ptr_array_free (adm->accounts, TRUE);
  g_hash_table_destroy (adm->by_name);
  g_free (adm);
}

/* Returns the strictest objective of all accounts for the time between tokens,
   or the default if no account has one.  */
static int64_t
between_tokens_target_us (const struct cfg_config *config)
{
  int64_t target_us = 0;
  for (uint32_t i = 0; i < config->account_count; i++)
    {
      int64_t objective_us = config->accounts[i].objective.between_tokens_us;
      if (objective_us > 0 && (target_us == 0 || objective_us < target_us))
        {
          target_us = objective_us;
        }
    }
  return target_us > 0 ? target_us : DEFAULT_BETWEEN_TOKENS_TARGET_US;
}

/* Recomputes `active_weight', since a new configuration may change the weights
   of accounts with running streams.  */
static void
update_active_weight (struct adm *adm)
{
  GHashTableIter iterator;
  gpointer value;
  adm->active_weight = 0;
  g_hash_table_iter_init (&iterator, adm->by_name);
  while (g_hash_table_iter_next (&iterator, NULL, &value))
    {
      const struct acc_account *account = value;
      adm->active_weight
          += account->running_streams > 0 ? acc_weight (account) : 0;
    }
}

/* Applies CONFIG, for DAEMONS ready daemons and a fleet capacity of
   CAPACITY_TOKENS_PER_S (0: unknown).  Accounts are matched by name, so that a
   new configuration doesn't refill their buckets.  */
void
adm_configure (struct adm *adm, const struct cfg_config *config,
               uint32_t daemons, double capacity_tokens_per_s, int64_t now_us)
{
  daemons = MAX (daemons, 1);
  g_ptr_array_set_size (adm->accounts, 0);
  for (uint32_t i = 0; i < config->account_count; i++)
    {
      const struct cfg_account *limits = &config->accounts[i];
      struct acc_account *account
          = g_hash_table_lookup (adm->by_name, limits->name);
      if (account == NULL)
        {
          account = acc_create (limits, adm->next_flow++, daemons, now_us);
          g_hash_table_insert (adm->by_name, account->limits.name, account);
        }
      else
        {
          acc_configure (account, limits, daemons, now_us);
        }
      fq_set_weight (adm->queue, account->flow, limits->weight);
      g_ptr_array_add (adm->accounts, account);
    }
  update_active_weight (adm);
  adm->queue_length = MAX (config->rules.queue_length, 1);
  double share = capacity_tokens_per_s / daemons;
  if (config->rules.profile == CFG_PROFILE_RECOVERY)
    {
      share *= 1.0 - RECOVERY_HEADROOM;
    }
  con_set_capacity (&adm->limit, share, between_tokens_target_us (config));
}

/* Returns the account at INDEX of the configuration, or NULL.  */
static struct acc_account *
account_at (const struct adm *adm, uint32_t index)
{
  return index < adm->accounts->len ? g_ptr_array_index (adm->accounts, index)
                                    : NULL;
}

/* Returns WAIT_US in seconds, rounded up and limited to RETRY_AFTER_MAX_S.  */
static uint32_t
retry_after_s (int64_t wait_us)
{
  int64_t wait_s = wait_us / CLK_S_US + (wait_us % CLK_S_US > 0 ? 1 : 0);
  return (uint32_t)CLAMP (wait_s, 1, RETRY_AFTER_MAX_S);
}

/* Sets VERDICT to a refusal for which a retry makes sense after WAIT_US.  */
static enum adm_decision
set_refusal (struct adm_verdict *verdict, enum err_kind error, int64_t wait_us)
{
  *verdict = (struct adm_verdict){
    .error = error,
    .retry_after_s = retry_after_s (wait_us),
  };
  return ADM_REFUSED;
}

/* Returns the time in which this daemon's streams generate TOKENS, or 0 if the
   rate isn't known.  */
static int64_t
drain_time_us (const struct adm *adm, double tokens)
{
  double rate = con_throughput_per_s (&adm->limit);
  return rate > 0.0 ? (int64_t)(tokens / rate * CLK_S_US) : 0;
}

/* Returns the expected duration of REQUEST's stream once it runs, as known at
   NOW_US.  */
static int64_t
service_time_us (const struct adm *adm, const struct acc_account *account,
                 const struct adm_request *request, int64_t now_us)
{
  return (int64_t)acc_service_time_us (
      account, request->tokens, con_upper_estimate_us (&adm->limit), now_us);
}

static bool
has_free_slot (const struct adm *adm)
{
  return adm->streams < con_max_streams (&adm->limit);
}

/* Stores REQUEST and counts it as an open stream of ACCOUNT.  */
static struct record *
add_record (struct adm *adm, const struct adm_request *request,
            struct acc_account *account, enum stage stage)
{
  struct record *record = g_new0 (struct record, 1);
  record->request = *request;
  record->account = account;
  record->stage = stage;
  g_hash_table_insert (adm->records, &record->request.id, record);
  acc_open_stream (account, request->tokens);
  return record;
}

/* Returns whether one more stream of ACCOUNT may take precedence over the
   streams of accounts that exceed their share: ACCOUNT must stay within its
   share by weight, and all prioritized streams within
   PRIORITIZED_FRACTION.  */
static bool
may_be_prioritized (const struct adm *adm, const struct acc_account *account)
{
  uint32_t weight = acc_weight (account);
  uint32_t others
      = adm->active_weight - (account->running_streams > 0 ? weight : 0);
  double share
      = (double)con_max_streams (&adm->limit) * weight / (others + weight);
  double prioritized_max
      = PRIORITIZED_FRACTION * con_unloaded_streams (&adm->limit);
  return account->running_streams + 1 <= MAX (share, 1.0)
         && adm->prioritized + 1 <= prioritized_max;
}

/* Starts the stream of RECORD at NOW_US and sets its engine priority in
   VERDICT.  */
static enum adm_decision
start_stream (struct adm *adm, struct record *record, int64_t now_us,
              struct adm_verdict *verdict)
{
  struct acc_account *account = record->account;
  acc_start_stream (account, &record->stream, record->request.tokens, now_us);
  record->stage = STAGE_STREAMING;
  record->prioritized = may_be_prioritized (adm, account);
  adm->streams++;
  adm->prioritized += record->prioritized ? 1 : 0;
  if (account->running_streams++ == 0)
    {
      adm->active_weight += acc_weight (account);
    }
  verdict->step_priority = MIN (record->request.priority, FQ_PRIORITIES - 1);
  verdict->step_priority += record->prioritized ? 0 : FQ_PRIORITIES;
  return ADM_ADMITTED;
}

static void
end_stream (struct adm *adm, struct record *record)
{
  struct acc_account *account = record->account;
  acc_end_stream (account, &record->stream);
  adm->streams--;
  adm->prioritized -= record->prioritized ? 1 : 0;
  if (--account->running_streams == 0)
    {
      adm->active_weight -= acc_weight (account);
    }
}

/* Reverses add_record.  Charged tokens in excess of TOKENS are refunded.  */
static void
remove_record (struct adm *adm, struct record *record, uint32_t tokens)
{
  acc_close_stream (record->account, record->request.tokens, tokens);
  if (record->stage == STAGE_STREAMING)
    {
      end_stream (adm, record);
    }
  g_hash_table_remove (adm->records, &record->request.id);
}

/* Removes the record of request ID, which has left the queue, and stores its
   refusal for adm_next.  */
static void
refuse_queued (struct adm *adm, uint64_t id, enum err_kind error,
               int64_t wait_us)
{
  struct refusal *refusal = g_new0 (struct refusal, 1);
  refusal->id = id;
  (void)set_refusal (&refusal->verdict, error, wait_us);
  g_queue_push_tail (&adm->refusals, refusal);
  struct record *record = g_hash_table_lookup (adm->records, &id);
  if (record != NULL)
    {
      remove_record (adm, record, 0);
    }
}

/* Queues REQUEST.  If the queue is full, the newest request of the account
   with the longest backlog relative to its weight is evicted.  If that is the
   request's own account, REQUEST is refused instead.  SERVICE_US is the
   expected duration of its stream.  */
static enum adm_decision
enqueue (struct adm *adm, const struct adm_request *request,
         struct acc_account *account, int64_t service_us,
         struct adm_verdict *verdict)
{
  int64_t drain_us = drain_time_us (adm, fq_total_cost (adm->queue));
  if (fq_length (adm->queue) >= adm->queue_length)
    {
      struct fq_item evicted;
      if (fq_has_longest_backlog (adm->queue, account->flow)
          || !fq_evict (adm->queue, &evicted))
        {
          return set_refusal (verdict, ERR_OVERLOADED, drain_us);
        }
      refuse_queued (adm, evicted.id, ERR_OVERLOADED, drain_us);
    }
  const struct fq_item item = {
    .id = request->id,
    .flow = account->flow,
    .priority = request->priority,
    .cost = acc_expected_tokens (account, request->tokens),
    .latest_start_us = request->deadline_us - service_us,
  };
  (void)add_record (adm, request, account, STAGE_QUEUED);
  fq_push (adm->queue, &item);
  return ADM_QUEUED;
}

/* Admits, queues or refuses REQUEST without delay.  The error of a refusal is
   ERR_UNAUTHORIZED (no such account), ERR_RATE_LIMITED,
   ERR_DEADLINE_UNMEETABLE or ERR_OVERLOADED.  VERDICT's `retry_after_s' is the
   time until, in this order, the account's limit allows the request, the queue
   is expected to have drained far enough for its deadline, or all queued
   requests are expected to have been served.  */
enum adm_decision
adm_arrive (struct adm *adm, const struct adm_request *request, int64_t now_us,
            struct adm_verdict *verdict)
{
  *verdict = (struct adm_verdict){ .error = ERR_NONE };
  struct acc_account *account = account_at (adm, request->account);
  if (account == NULL)
    {
      verdict->error = ERR_UNAUTHORIZED;
      return ADM_REFUSED;
    }
  acc_count_arrival (account, request->tokens, now_us);
  int64_t wait_us = acc_wait_us (account, request->tokens, now_us);
  if (wait_us > 0)
    {
      return set_refusal (verdict, ERR_RATE_LIMITED, wait_us);
    }
  if (request->tokens == 0)
    {
      acc_charge (account, 0);
      (void)add_record (adm, request, account, STAGE_SERVICE);
      return ADM_ADMITTED;
    }
  int64_t service_us = service_time_us (adm, account, request, now_us);
  int64_t slack_us = request->deadline_us - now_us - service_us;
  if (slack_us < 0)
    {
      acc_lower_estimate (account, request->tokens,
                          con_upper_estimate_us (&adm->limit),
                          request->deadline_us - now_us);
      verdict->error = ERR_DEADLINE_UNMEETABLE;
      return ADM_REFUSED;
    }
  double ahead = fq_cost_ahead (adm->queue, account->flow, request->priority);
  bool free_slot = has_free_slot (adm) && fq_length (adm->queue) == 0;
  /* Prioritized streams are few and don't wait for a free slot. */
  if (free_slot || (ahead <= 0.0 && may_be_prioritized (adm, account)))
    {
      acc_charge (account, request->tokens);
      return start_stream (adm,
                           add_record (adm, request, account, STAGE_QUEUED),
                           now_us, verdict);
    }
  int64_t queueing_us = drain_time_us (adm, ahead);
  if (queueing_us > slack_us)
    {
      return set_refusal (verdict, ERR_DEADLINE_UNMEETABLE,
                          queueing_us - slack_us);
    }
  enum adm_decision decision
      = enqueue (adm, request, account, service_us, verdict);
  if (decision == ADM_QUEUED)
    {
      acc_charge (account, request->tokens);
    }
  return decision;
}

/* Returns the next change of a queued request at NOW_US and sets ID to the
   request: it is admitted because a slot is free, or refused because its
   deadline can no longer be met or it was evicted from the full queue.  Call
   until it returns ADM_NOTHING, after each adm_arrive, adm_finish and
   adm_cancel and when a deadline may have passed.  */
enum adm_decision
adm_next (struct adm *adm, int64_t now_us, uint64_t *id,
          struct adm_verdict *verdict)
{
  struct fq_item item;
  *verdict = (struct adm_verdict){ .error = ERR_NONE };
  if (fq_pop_expired (adm->queue, now_us, &item))
    {
      refuse_queued (adm, item.id, ERR_DEADLINE_UNMEETABLE,
                     drain_time_us (adm, fq_total_cost (adm->queue)));
    }
  struct refusal *refusal = g_queue_pop_head (&adm->refusals);
  if (refusal != NULL)
    {
      *id = refusal->id;
      *verdict = refusal->verdict;
      g_free (refusal);
      return ADM_REFUSED;
    }
  if (!has_free_slot (adm) || !fq_pop (adm->queue, &item))
    {
      return ADM_NOTHING;
    }
  *id = item.id;
  return start_stream (adm, g_hash_table_lookup (adm->records, &item.id),
                       now_us, verdict);
}

/* Ends an admitted request that generated TOKENS.  A request that is still
   queued is cancelled.  Unknown ids are ignored.  */
void
adm_finish (struct adm *adm, uint64_t id, uint32_t tokens, int64_t now_us)
{
  struct record *record = g_hash_table_lookup (adm->records, &id);
  if (record == NULL)
    {
      return;
    }
  if (record->stage == STAGE_QUEUED)
    {
      adm_cancel (adm, id, now_us);
      return;
    }
  if (record->stage == STAGE_STREAMING && tokens > 0)
    {
      acc_observe_length (record->account, record->request.tokens, tokens);
    }
  remove_record (adm, record, tokens);
}

/* Cancels a queued or running request whose caller has disconnected.  Unknown
   ids are ignored.  */
void
adm_cancel (struct adm *adm, uint64_t id, int64_t now_us)
{
  (void)now_us;
  struct fq_item item;
  struct record *record = g_hash_table_lookup (adm->records, &id);
  if (record == NULL)
    {
      return;
    }
  if (record->stage == STAGE_QUEUED)
    {
      (void)fq_remove (adm->queue, id, &item);
    }
  remove_record (adm, record, 0);
}

/* Returns the retry budget of ENDPOINT, which is created on first use.  */
static struct bkt_bucket *
endpoint_retry_budget (struct adm *adm, uint32_t endpoint, int64_t now_us)
{
  struct bkt_bucket *bucket = g_hash_table_lookup (
      adm->endpoint_retries, GUINT_TO_POINTER (endpoint));
  if (bucket == NULL)
    {
      bucket = g_new0 (struct bkt_bucket, 1);
      bkt_init (bucket, ENDPOINT_RETRIES_PER_S, ENDPOINT_RETRY_DEPTH, now_us);
      g_hash_table_insert (adm->endpoint_retries, GUINT_TO_POINTER (endpoint),
                           bucket);
    }
  /* All running streams may pass through one endpoint. */
  bkt_set_depth (bucket, ENDPOINT_RETRY_DEPTH + adm->streams, now_us);
  return bucket;
}

/* Returns whether a request of account INDEX that failed at ENDPOINT may be
   retried.  If so, one retry is taken from the account's and the endpoint's
   budget.  */
bool
adm_retry_allowed (struct adm *adm, uint32_t index, uint32_t endpoint,
                   int64_t now_us)
{
  struct acc_account *account = account_at (adm, index);
  struct bkt_bucket *budget = endpoint_retry_budget (adm, endpoint, now_us);
  if (account == NULL || bkt_level (budget, now_us) < 1.0
      || !acc_take_retry (account, now_us))
    {
      return false;
    }
  bkt_take (budget, 1.0);
  return true;
}

/* Returns whether a hedge, a second copy of an unanswered request of account
   INDEX, may be sent.  If so, it is taken from the account's budgets.
   Requests that aren't idempotent are never hedged.  */
bool
adm_hedge_allowed (struct adm *adm, uint32_t index, bool idempotent,
                   int64_t now_us)
{
  struct acc_account *account = account_at (adm, index);
  return account != NULL && idempotent && acc_take_hedge (account, now_us);
}

/* Reports the time between two tokens of a running stream.  */
void
adm_observe_token_interval (struct adm *adm, int64_t between_tokens_us)
{
  con_observe (&adm->limit, between_tokens_us, adm->streams);
}

/* Sets DEMAND to the demand of account INDEX on this daemon, to be reported to
   the other daemons; zero if there is no such account.  */
void
adm_local_demand (struct adm *adm, uint32_t index, int64_t now_us,
                  struct adm_demand *demand)
{
  struct acc_account *account = account_at (adm, index);
  *demand = (struct adm_demand){ .streams = 0 };
  if (account != NULL)
    {
      acc_local_demand (account, now_us, demand);
    }
}

/* Divides the limits of account INDEX according to FLEET, its demand on all
   daemons, this one included.  */
void
adm_apply_fleet_demand (struct adm *adm, uint32_t index,
                        const struct adm_demand *fleet, int64_t now_us)
{
  struct acc_account *account = account_at (adm, index);
  if (account != NULL)
    {
      acc_apply_fleet_demand (account, fleet, now_us);
    }
}

/* Sets STATE to the current load, for metrics and reports.  */
void
adm_read_state (const struct adm *adm, struct adm_state *state)
{
  *state = (struct adm_state){
    .limit = con_max_streams (&adm->limit),
    .streams = adm->streams,
    .queued = fq_length (adm->queue),
    .between_tokens_us = adm->limit.average_us,
  };
}
