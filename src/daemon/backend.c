#include "daemon/backend.h"

#include "base/clock.h"
#include "base/log.h"
#include "daemon/control_burn.h"
#include "daemon/control_keyed.h"
#include "daemon/draft.h"
#include "daemon/service_call.h"

#include <string.h>

static bool
is_ready (void *user_data)
{
  const struct bk_backend *backend = user_data;
  return ctl_ready (backend->control);
}

static bool
authorize (void *user_data, const char *token_sha256,
           struct cal_account *account, struct err_failure *failure)
{
  struct bk_backend *backend = user_data;
  const struct vw_view *view = vw_read_begin (backend->views);
  enum err_kind kind = ERR_NOT_READY;
  if (view != NULL)
    {
      account->index = vw_find_index (view->account_by_token, token_sha256);
      kind = account->index == CFG_NO_INDEX ? ERR_UNAUTHORIZED : ERR_NONE;
    }
  if (kind == ERR_NONE)
    {
      g_strlcpy (account->name,
                 view->snap.config->accounts[account->index].name,
                 sizeof account->name);
      account->default_deadline_us
          = view->snap.config->rules.default_deadline_ms * CLK_MS_US;
    }
  vw_read_end ();
  if (kind != ERR_NONE)
    {
      err_set_failure (failure, kind, NULL);
    }
  return kind == ERR_NONE;
}

/* Checks DRAFT against the rules of the configuration in force, and sets the
   model, prompt and max_tokens of OUT; max_tokens is limited by the rules.
   FAILURE: ERR_NOT_FOUND for the model, ERR_TOO_LARGE for the prompt.  */
static bool
check_draft (struct bk_backend *backend, const struct cal_draft *draft,
             struct dft_draft *out, struct err_failure *failure)
{
  const struct vw_view *view = vw_read_begin (backend->views);
  const struct cfg_rules rules = view->snap.config->rules;
  bool known
      = vw_find_index (view->model_by_name, draft->model) != CFG_NO_INDEX;
  vw_read_end ();
  if (!known)
    {
      err_set_failure (failure, ERR_NOT_FOUND, "model: no such model");
      return false;
    }
  if (strlen (draft->prompt) > rules.prompt_bytes)
    {
      err_set_failure (failure, ERR_TOO_LARGE, "the prompt is too long");
      return false;
    }
  out->model = draft->model;
  out->prompt = draft->prompt;
  out->max_tokens = rules.max_tokens;
  if (draft->max_tokens > 0)
    {
      out->max_tokens = MIN (draft->max_tokens, rules.max_tokens);
    }
  return true;
}

/* Passes tokens on to the caller's callback and measures the time between
   them. */
struct token_forwarder
{
  struct gt_gate *gate;
  struct met_metrics *metrics;
  cal_on_token on_token;
  void *token_data;
  int64_t first_us; /* monotonic time of the first token; 0: none yet */
  int64_t last_us;  /* monotonic time of the last token; 0: none yet */
};

static bool
forward_token (const char *text, int64_t now_us, void *user_data)
{
  struct token_forwarder *forwarder = user_data;
  if (forwarder->last_us != 0)
    {
      gt_observe_token_interval (forwarder->gate, now_us - forwarder->last_us);
    }
  else
    {
      forwarder->first_us = now_us;
    }
  forwarder->last_us = now_us;
  cnt_add (forwarder->metrics->tokens, 1);
  return forwarder->on_token (text, now_us, forwarder->token_data);
}

/* Passes EVENT of ACCOUNT to the service-level report.  */
static void
record_event (struct bk_backend *backend, const struct cal_account *account,
              struct brn_event *event)
{
  g_strlcpy (event->account, account->name, sizeof event->account);
  ctl_burn_observe (backend->control, event);
}

/* Records a request that the admission gate refused with KIND.  */
static void
record_refusal (struct bk_backend *backend, const struct cal_account *account,
                enum brn_work work, enum err_kind kind)
{
  struct brn_event event = {
    .work = work,
    .error = kind,
    .first_token_us = -1,
    .between_tokens_us = -1,
    .settled_us = -1,
  };
  record_event (backend, account, &event);
}

static void
record_draft (struct bk_backend *backend, const struct cal_account *account,
              const struct dft_run_result *run,
              const struct token_forwarder *forwarder, int64_t start_us)
{
  struct brn_event event = {
    .work = BRN_DRAFT,
    .error = run->error,
    .first_token_us = run->tokens > 0 ? forwarder->first_us - start_us : -1,
    .between_tokens_us = -1,
    .settled_us = -1,
  };
  if (run->tokens > 1)
    {
      event.between_tokens_us
          = (forwarder->last_us - forwarder->first_us) / (run->tokens - 1);
    }
  g_strlcpy (event.endpoint, run->failed_host, sizeof event.endpoint);
  record_event (backend, account, &event);
}

/* Logs a draft that failed or took more than one attempt.  */
static void
log_draft (const struct dft_run_result *run, const struct cal_account *account,
           const struct cal_request_options *terms)
{
  if (run->attempts <= 1 && run->error == ERR_NONE)
    {
      return;
    }
  lg_line (LOG_NOTICE, "draft",
           "request=%s account=%s attempts=%u tokens=%u kind=%s path=%s",
           terms->request_id, account->name, run->attempts, run->tokens,
           err_info (run->error)->name, run->path->str);
}

static bool
run_draft (void *user_data, const struct cal_account *account,
           const struct cal_request_options *terms,
           const struct cal_draft *draft, cal_on_token on_token,
           void *token_data, struct cal_draft_result *result,
           struct err_failure *failure)
{
  struct bk_backend *backend = user_data;
  struct dft_run_result run;
  struct adm_verdict verdict;
  struct dft_draft accepted = {
    .request_id = terms->request_id,
    .deadline_us = terms->deadline_us,
  };
  const struct dft_env env = {
    .gate = backend->gate,
    .metrics = backend->metrics,
    .account = account->index,
    .views = backend->views,
    .canceller = backend->canceller,
  };
  int64_t start_us = clk_monotonic_us ();
  struct token_forwarder forwarder = {
    .gate = backend->gate,
    .metrics = backend->metrics,
    .on_token = on_token,
    .token_data = token_data,
  };
  if (!check_draft (backend, draft, &accepted, failure))
    {
      return false;
    }
  const struct adm_request request = {
    .id = ctl_new_id (backend->control),
    .account = account->index,
    .priority = terms->priority,
    .tokens = accepted.max_tokens,
    .deadline_us = terms->deadline_us,
  };
  if (!gt_admit (backend->gate, &request, &verdict, failure))
    {
      record_refusal (backend, account, BRN_DRAFT, failure->kind);
      return false;
    }
  accepted.priority = verdict.step_priority;
  dft_run (&env, &accepted, forward_token, &forwarder, &run);
  gt_finish (backend->gate, request.id, run.tokens);
  cnt_add (backend->metrics->attempts, run.attempts);
  log_draft (&run, account, terms);
  record_draft (backend, account, &run, &forwarder, start_us);
  *result = (struct cal_draft_result){
    /* An estimate, with BYTES_PER_POSITION of draft.c. */
    .prompt_tokens = (uint32_t)(strlen (draft->prompt) / 4),
    .tokens = run.tokens,
    .ended_by_model = run.ended,
    .attempts = run.attempts,
    .path = g_string_free (run.path, FALSE),
  };
  if (run.error != ERR_NONE)
    {
      err_set_failure (failure, run.error, NULL);
      failure->ran = run.tokens > 0 ? ERR_RAN_YES : failure->ran;
    }
  return run.error == ERR_NONE;
}

static bool
call_service (void *user_data, const struct cal_account *account,
              const struct cal_request_options *terms,
              const struct cal_service_call *call,
              struct cal_service_answer *answer, struct err_failure *failure)
{
  struct bk_backend *backend = user_data;
  struct adm_verdict verdict;
  const struct sc_env env = {
    .control = backend->control,
    .views = backend->views,
    .call_id = ctl_new_id (backend->control),
  };
  const struct adm_request request = {
    .id = env.call_id,
    .account = account->index,
    .priority = terms->priority,
    .deadline_us = terms->deadline_us,
  };
  enum brn_work work = call->key != NULL ? BRN_KEYED : BRN_LOOKUP;
  int64_t start_us = clk_monotonic_us ();
  if (!gt_admit (backend->gate, &request, &verdict, failure))
    {
      record_refusal (backend, account, work, failure->kind);
      if (call->key != NULL)
        {
          failure->ran = ctl_keyed_refusal_ran (backend->control,
                                                account->name, call->key);
        }
      return false;
    }
  bool answered = sc_run (&env, account, terms, call, answer, failure);
  gt_finish (backend->gate, request.id, 0);
  struct brn_event event = {
    .work = work,
    .error = answered ? ERR_NONE : failure->kind,
    .first_token_us = -1,
    .between_tokens_us = -1,
    .settled_us = answered ? clk_monotonic_us () - start_us : -1,
  };
  record_event (backend, account, &event);
  return answered;
}

static bool
lookup_key (void *user_data, const struct cal_account *account,
            const char *key, char **outcome, struct err_failure *failure)
{
  struct bk_backend *backend = user_data;
  return sc_lookup_key (backend->control, account, key, outcome, failure);
}

static bool
list_models (void *user_data, char **models, struct err_failure *failure)
{
  struct bk_backend *backend = user_data;
  json_t *data = json_array ();
  (void)failure;
  const struct vw_view *view = vw_read_begin (backend->views);
  for (uint32_t i = 0; i < view->snap.config->model_count; i++)
    {
      json_array_append_new (data,
                             json_pack ("{s:s, s:s}", "id",
                                        view->snap.config->models[i].name,
                                        "object", "model"));
    }
  vw_read_end ();
  json_t *body = json_pack ("{s:s, s:o}", "object", "list", "data", data);
  *models = json_dumps (body, JSON_COMPACT);
  json_decref (body);
  return true;
}

static void
thread_begins (void *user_data)
{
  (void)user_data;
  vw_thread_register ();
}

static void
thread_ends (void *user_data)
{
  (void)user_data;
  vw_thread_unregister ();
}

const struct cal_backend bk_caller_backend = {
  .ready = is_ready,
  .authorize = authorize,
  .run_draft = run_draft,
  .call_service = call_service,
  .lookup_key = lookup_key,
  .list_models = list_models,
  .thread_begins = thread_begins,
  .thread_ends = thread_ends,
};
