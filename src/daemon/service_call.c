#include "daemon/service_call.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/load.h"
#include "daemon/control_keyed.h"
#include "endpoint/service.h"

#include <string.h>
#include <xxhash.h>

/* Of an idempotent call, and for one attempt of it. */
#define IDEMPOTENT_ATTEMPTS_MAX 3
#define IDEMPOTENT_TIMEOUT_US (2 * CLK_S_US)

/* The longest wait of a call with a key for its claim. */
#define KEYED_CLAIM_WAIT_MAX_US (60 * CLK_S_US)

/* For sending a call with a key. */
#define KEYED_TIMEOUT_US (10 * CLK_S_US)

/* The endpoints that an idempotent call was sent to. */
struct tried_endpoints
{
  struct ept_endpoint *endpoints[IDEMPOTENT_ATTEMPTS_MAX];
  uint32_t count;
};

static bool
was_tried (const struct tried_endpoints *tried,
           const struct ept_endpoint *endpoint)
{
  for (uint32_t i = 0; i < tried->count; i++)
    {
      if (tried->endpoints[i] == endpoint)
        {
          return true;
        }
    }
  return false;
}

/* Returns the cost of ENDPOINT, by which the endpoint of a call is chosen:
   failures in a row come first, then the calls in flight; a hash of SEED and
   INDEX breaks ties.  */
static int64_t
endpoint_cost (const struct snap_endpoint *endpoint, uint64_t seed,
               uint32_t index)
{
  int64_t failures = endpoint->load->failures;
  int64_t in_flight = endpoint->load->steps_in_flight;
  uint64_t tie = XXH64 (&index, sizeof index, seed) & 0xff;
  return MIN (failures, 1000) * 1000000 + in_flight * 256 + (int64_t)tie;
}

/* Returns the endpoint of SERVICE with the lowest cost among those that take
   work and are not in TRIED, or NULL.  */
static struct ept_endpoint *
choose_endpoint (const struct snap *snap, uint32_t service,
                 const struct tried_endpoints *tried, uint64_t seed)
{
  struct ept_endpoint *best = NULL;
  int64_t best_cost = INT64_MAX;
  for (uint32_t i = 0; i < snap->endpoint_count; i++)
    {
      const struct snap_endpoint *endpoint = &snap->endpoints[i];
      const struct cfg_host *host = &snap->config->hosts[endpoint->host];
      struct ept_endpoint *known = ept_of_load (endpoint->load);
      if (host->role != CFG_HOST_SERVICE || host->service != service
          || !endpoint->takes_work || was_tried (tried, known))
        {
          continue;
        }
      int64_t cost = endpoint_cost (endpoint, seed, i);
      if (cost < best_cost)
        {
          best = known;
          best_cost = cost;
        }
    }
  return best;
}

/* Chooses an endpoint of the named service in the current view, or returns
   NULL.  */
static struct ept_endpoint *
find_endpoint (const struct sc_env *env, const char *service_name,
               const struct tried_endpoints *tried)
{
  struct ept_endpoint *endpoint = NULL;
  const struct vw_view *view = vw_read_begin (env->views);
  uint32_t service = vw_find_index (view->service_by_name, service_name);
  if (service != CFG_NO_INDEX)
    {
      endpoint = choose_endpoint (&view->snap, service, tried, env->call_id);
    }
  vw_read_end ();
  return endpoint;
}

/* Sets KNOWN to whether the service of CALL is configured, and IDEMPOTENT to
   whether CALL matches the service's list of idempotent calls.  */
static void
classify_call (const struct sc_env *env, const struct cal_service_call *call,
               bool *known, bool *idempotent)
{
  const struct vw_view *view = vw_read_begin (env->views);
  uint32_t index = vw_find_index (view->service_by_name, call->service);
  *known = index != CFG_NO_INDEX;
  *idempotent = false;
  if (*known)
    {
      const struct cfg_service *service = &view->snap.config->services[index];
      for (uint32_t i = 0; i < service->idempotent_count; i++)
        {
          const struct cfg_idempotent_call *entry = &service->idempotent[i];
          *idempotent |= strcmp (entry->method, call->method) == 0
                         && g_str_has_prefix (call->path, entry->path_prefix);
        }
    }
  vw_read_end ();
}

/* Sends CALL to ENDPOINT once and waits for the answer, for TIMEOUT_US at most
   and no longer than the deadline, but 1 ms or more.  Updates the counters of
   ENDPOINT.  */
static enum svc_result
send_once (struct ept_endpoint *endpoint,
           const struct cal_request_options *terms,
           const struct cal_service_call *call, int64_t timeout_us,
           struct con_answer *answer)
{
  struct svc_call once = {
    .request_id = terms->request_id,
    .method = call->method,
    .path = call->path,
    .body = call->body,
    .body_bytes = call->body_bytes,
    .content_type = call->content_type,
    .timeout_us = MAX (
        MIN (timeout_us, terms->deadline_us - clk_monotonic_us ()), CLK_MS_US),
  };
  int64_t sent_us = clk_monotonic_us ();
  ld_step_sent (&endpoint->load);
  enum svc_result result = svc_run_once (endpoint, &once, answer);
  int64_t now_us = clk_monotonic_us ();
  if (result == SVC_ANSWERED)
    {
      ld_step_done (&endpoint->load, now_us - sent_us, now_us);
    }
  else
    {
      ld_step_failed (&endpoint->load, now_us);
      lg_line (LOG_WARNING, "call-failed",
               "request=%s service=%s host=%s not_run=%d after_us=%ld",
               terms->request_id, call->service, endpoint->host,
               result == SVC_NOT_RUN, (long)(now_us - sent_us));
    }
  return result;
}

/* Moves the service's answer to ANSWER, which then owns the body and the
   content type.  */
static void
move_answer (struct con_answer *from, struct cal_service_answer *answer)
{
  answer->status = from->status;
  answer->body = g_steal_pointer (&from->body);
  answer->content_type = g_steal_pointer (&from->content_type);
}

/* Runs an idempotent call: sends it to one endpoint after another, until one
   answers, the deadline passes or IDEMPOTENT_ATTEMPTS_MAX have failed.  */
static bool
run_idempotent (const struct sc_env *env,
                const struct cal_request_options *terms,
                const struct cal_service_call *call,
                struct cal_service_answer *answer, struct err_failure *failure)
{
  struct tried_endpoints tried = { .count = 0 };
  enum err_kind kind = ERR_NO_CAPACITY;
  while (tried.count < IDEMPOTENT_ATTEMPTS_MAX)
    {
      struct ept_endpoint *endpoint
          = find_endpoint (env, call->service, &tried);
      if (endpoint == NULL)
        {
          break;
        }
      struct con_answer got;
      tried.endpoints[tried.count++] = endpoint;
      enum svc_result result
          = send_once (endpoint, terms, call, IDEMPOTENT_TIMEOUT_US, &got);
      if (result == SVC_ANSWERED)
        {
          move_answer (&got, answer);
        }
      con_answer_clear (&got);
      if (result == SVC_ANSWERED)
        {
          return true;
        }
      kind = ERR_ENDPOINT_FAILED;
      if (clk_monotonic_us () >= terms->deadline_us)
        {
          kind = ERR_DEADLINE_EXCEEDED;
          break;
        }
    }
  err_set_failure (failure, kind, NULL);
  return false;
}

/* Returns a hash of service, method, path and body, which are the same in
   every repeat of CALL.  */
static uint64_t
hash_call (const struct cal_service_call *call)
{
  g_autofree char *head = g_strdup_printf ("%s %s %s\n", call->service,
                                           call->method, call->path);
  uint64_t seed = XXH64 (head, strlen (head), 0);
  return call->body != NULL ? XXH64 (call->body, call->body_bytes, seed)
                            : seed;
}

/* Turns the answer of the claims state machine into ANSWER, or into FAILURE
   and a result of false.  */
static bool
copy_claim_answer (const struct act_answer *claim,
                   struct cal_service_answer *answer,
                   struct err_failure *failure)
{
  if (claim->kind != ERR_NONE)
    {
      err_set_failure (failure, claim->kind, NULL);
      failure->ran = claim->ran;
      failure->retry_after_s = claim->retry_after_s;
      return false;
    }
  gsize bytes = 0;
  const char *data
      = claim->body != NULL ? g_bytes_get_data (claim->body, &bytes) : "";
  answer->status = (uint16_t)claim->status;
  answer->body = g_string_new_len (data, (gssize)bytes);
  answer->content_type = g_strdup ("application/json");
  return true;
}

/* Sends the call whose claim this daemon holds, at most once, and reports the
   result to the claims state machine.  */
static void
send_claimed (const struct sc_env *env, struct kc_call *claim,
              const struct cal_request_options *terms,
              const struct cal_service_call *call)
{
  const struct tried_endpoints none = { .count = 0 };
  struct kc_result result
      = { .kind = KC_RESULT_NOT_RUN, .error = ERR_NO_CAPACITY };
  struct ept_endpoint *endpoint = find_endpoint (env, call->service, &none);
  struct con_answer got = { .body = NULL };
  kc_rearm (claim);
  if (endpoint != NULL && ctl_keyed_begin_send (env->control, claim))
    {
      enum svc_result sent
          = send_once (endpoint, terms, call, KEYED_TIMEOUT_US, &got);
      result.error = ERR_ENDPOINT_FAILED;
      result.kind
          = sent == SVC_NOT_RUN ? KC_RESULT_NOT_RUN : KC_RESULT_UNKNOWN;
      if (sent == SVC_ANSWERED)
        {
          result.kind = KC_RESULT_ANSWERED;
          result.status = got.status;
          result.body = g_bytes_new (got.body->str, got.body->len);
        }
    }
  ctl_keyed_finish (env->control, claim, &result);
  if (result.body != NULL)
    {
      g_bytes_unref (result.body);
    }
  con_answer_clear (&got);
}

/* Runs a call with an idempotency key: claims the key, sends the call at most
   once if the claim wins, and answers with the outcome that is recorded in the
   log.  */
static bool
run_keyed (const struct sc_env *env, const struct cal_account *account,
           const struct cal_request_options *terms,
           const struct cal_service_call *call,
           struct cal_service_answer *answer, struct err_failure *failure)
{
  struct kc_call *claim
      = kc_create (env->call_id, account->name, call->key, hash_call (call));
  bool answered = false;
  /* Operators may settle a claim once it is older than any call can be, which
     this limit ensures. */
  int64_t until_us = MIN (terms->deadline_us,
                          clk_monotonic_us () + KEYED_CLAIM_WAIT_MAX_US);
  ctl_keyed_request_claim (env->control, claim);
  enum kc_state state = kc_wait (claim, until_us);
  if (state == KC_DISPATCHED)
    {
      send_claimed (env, claim, terms, call);
      state = kc_wait (
          claim, MAX (terms->deadline_us, clk_monotonic_us () + CLK_S_US));
    }
  if (state == KC_ANSWERED)
    {
      answered = copy_claim_answer (&claim->answer, answer, failure);
    }
  else
    {
      ctl_keyed_abandon (env->control, claim);
      err_set_failure (failure, ERR_DEADLINE_EXCEEDED, NULL);
    }
  kc_unref (claim);
  return answered;
}

/* Runs CALL for ACCOUNT.  Returns whether it was answered, in which case the
   body of ANSWER is freed by the caller.  FAILURE: ERR_NOT_FOUND for an
   unknown service, ERR_BAD_REQUEST for a missing key, ERR_NO_CAPACITY,
   ERR_ENDPOINT_FAILED, ERR_DEADLINE_EXCEEDED, and the kinds of the claims
   state machine; `ran' says whether the call ran, if that is known.  */
bool
sc_run (const struct sc_env *env, const struct cal_account *account,
        const struct cal_request_options *terms,
        const struct cal_service_call *call, struct cal_service_answer *answer,
        struct err_failure *failure)
{
  bool known;
  bool idempotent;
  classify_call (env, call, &known, &idempotent);
  if (!known)
    {
      err_set_failure (failure, ERR_NOT_FOUND, "no such service");
      return false;
    }
  if (idempotent)
    {
      return run_idempotent (env, terms, call, answer, failure);
    }
  if (call->key == NULL || call->key[0] == '\0')
    {
      err_set_failure (
          failure, ERR_BAD_REQUEST,
          "Idempotency-Key: needed for a call that may not be repeated");
      return false;
    }
  return run_keyed (env, account, terms, call, answer, failure);
}

/* Sets OUTCOME to the recorded outcome of KEY of ACCOUNT as JSON text, freed
   by the caller.  FAILURE: ERR_NOT_FOUND for an unknown key, with `ran' as far
   as this daemon has read the log: a call with the key may have run at another
   daemon.  */
bool
sc_lookup_key (struct ctl_control *control, const struct cal_account *account,
               const char *key, char **outcome, struct err_failure *failure)
{
  *outcome = ctl_keyed_lookup (control, account->name, key);
  if (*outcome == NULL)
    {
      err_set_failure (failure, ERR_NOT_FOUND, "no such key of this account");
      failure->ran = ctl_keyed_refusal_ran (control, account->name, key);
      return false;
    }
  return true;
}
