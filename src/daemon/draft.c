#include "daemon/draft.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/load.h"
#include "core/request.h"
#include "endpoint/endpoint.h"
#include "endpoint/engine.h"

#include <string.h>
#include <xxhash.h>

/* For estimating the number of positions of a prompt, which only the engine
   knows exactly. */
#define BYTES_PER_POSITION 4

#define PREFILL_TIMEOUT_MAX_US (3 * CLK_S_US)

/* A prefill of N positions gets 1 + N / PREFILL_POSITIONS_PER_TIMEOUT times
   the timeout of a step. */
#define PREFILL_POSITIONS_PER_TIMEOUT 32

/* A draft in progress. */
struct run
{
  const struct dft_env *env;
  const struct dft_draft *draft;
  struct req_machine *machine;
  struct dft_run_result *result;
  dft_on_token on_token;
  void *user_data;
};

/* Passes EVENT to the request state machine, with the current time and view,
   and sets ACTION to what has to be done next.  */
static void
feed_event (struct run *run, struct req_event *event,
            struct req_action *action)
{
  event->now_us = clk_monotonic_us ();
  const struct vw_view *view = vw_read_begin (run->env->views);
  event->model = vw_find_index (view->model_by_name, run->draft->model);
  req_feed (run->machine, event, &view->snap, action);
  vw_read_end ();
}

static uint32_t
estimate_prompt_positions (const struct dft_draft *draft)
{
  return (uint32_t)(strlen (draft->prompt) / BYTES_PER_POSITION) + 1;
}

/* Returns how long to wait for the answer to a step: until the deadline of the
   draft at most, but 1 ms or more.  The endpoint's bound comes from steps of
   one position; step 0, a prefill of many positions, gets a higher one.  */
static int64_t
step_timeout_us (struct run *run, const struct req_stage *stage, uint32_t step,
                 int64_t now_us)
{
  int64_t timeout_us = ld_step_timeout_us (stage->load);
  if (step == 0)
    {
      uint32_t delivered = 0;
      req_tokens (run->machine, &delivered);
      uint32_t positions = estimate_prompt_positions (run->draft) + delivered;
      timeout_us *= 1 + positions / PREFILL_POSITIONS_PER_TIMEOUT;
      timeout_us = MIN (timeout_us, PREFILL_TIMEOUT_MAX_US);
    }
  int64_t left_us = run->draft->deadline_us - now_us;
  return MAX (MIN (timeout_us, left_us), CLK_MS_US);
}

/* Records an answered step in LOAD.  The time of a prefill isn't recorded,
   since it says nothing about the time of later steps.  */
static void
record_step_done (struct ld_load *load, const struct req_action *action,
                  const struct eng_step_answer *answer, int64_t step_us)
{
  int64_t now_us = clk_monotonic_us ();
  ld_step_done (load, action->step > 0 ? step_us : 0, now_us);
  ld_report (load, answer->running, answer->queued, answer->leaving, now_us);
}

/* Sends the step that ACTION asks for and waits for its answer.  Updates the
   endpoint's counters, and on failure sets the fields of EVENT about it.  */
static void
send_step (struct run *run, const struct req_action *action,
           struct eng_step_answer *answer, struct req_event *event)
{
  const struct req_stage *stage = req_stage (run->machine, action->stage);
  struct ept_endpoint *endpoint = ept_of_load (stage->load);
  int64_t sent_us = clk_monotonic_us ();
  struct eng_step step = {
    .request = run->draft->request_id,
    .attempt = action->attempt,
    .step = action->step,
    .model = run->draft->model,
    .first = stage->first,
    .end = stage->end,
    .priority = run->draft->priority,
    .prompt = run->draft->prompt,
    .activation = req_activation (run->machine),
    .new_connection = action->new_connection,
    .timeout_us = step_timeout_us (run, stage, action->step, sent_us),
  };
  step.tokens = req_tokens (run->machine, &step.token_count);
  ld_step_sent (stage->load);
  cnt_add (run->env->metrics->steps, 1);
  event->error = eng_step_run (endpoint->pool, &step, answer);
  int64_t now_us = clk_monotonic_us ();
  if (event->error == ERR_NONE)
    {
      record_step_done (stage->load, action, answer, now_us - sent_us);
      return;
    }
  cnt_add (run->env->metrics->steps_failed, 1);
  bool connection_failed = event->error == ERR_ENDPOINT_SILENT
                           || event->error == ERR_ENDPOINT_FAILED;
  event->endpoint_alive = connection_failed && eng_is_alive (endpoint->pool);
  if (connection_failed)
    {
      ld_set_reachable (stage->load, event->endpoint_alive);
    }
  if (event->endpoint_alive)
    {
      bool timed_out = event->error == ERR_ENDPOINT_SILENT && action->step > 0;
      ld_step_abandoned (stage->load, timed_out ? now_us - sent_us : 0,
                         now_us);
    }
  else
    {
      ld_step_failed (stage->load, now_us);
      g_strlcpy (run->result->failed_host, stage->host,
                 sizeof run->result->failed_host);
      event->retry_allowed = gt_retry_allowed (
          run->env->gate, run->env->account, stage->host_index);
    }
  lg_line (event->endpoint_alive ? LOG_INFO : LOG_WARNING, "step-failed",
           "request=%s attempt=%u step=%u host=%s kind=%s alive=%d "
           "after_us=%ld",
           run->draft->request_id, action->attempt, action->step, stage->host,
           err_info (event->error)->name, event->endpoint_alive,
           (long)(now_us - sent_us));
}

/* Tells the engines that ACTION lists to drop its cancelled attempt.  */
static void
cancel_attempt_on_engines (struct run *run, const struct req_action *action)
{
  for (uint32_t i = 0; i < action->cancelled_count; i++)
    {
      struct ld_load *load = action->cancelled[i].load;
      ld_stream_removed (load);
      can_cancel (run->env->canceller, ept_of_load (load),
                  run->draft->request_id, action->cancel_attempt);
    }
}

/* If ACTION is the first step of a new attempt, records the chain of the
   attempt in the result and counts the stream at its endpoints.  */
static void
record_new_chain (struct run *run, const struct req_action *action)
{
  if (action->kind != REQ_ACTION_SEND_STEP || action->step != 0
      || action->stage != 0 || action->new_connection)
    {
      return;
    }
  run->result->attempts = action->attempt;
  g_string_truncate (run->result->path, 0);
  for (uint32_t i = 0; i < req_stage_count (run->machine); i++)
    {
      const struct req_stage *stage = req_stage (run->machine, i);
      ld_stream_added (stage->load);
      g_string_append_printf (run->result->path, "%s%s", i > 0 ? "," : "",
                              stage->host);
    }
}

/* Sends the step that ACTION asks for, passes its result to the state machine,
   and the token, if there is one, to the callback.  Sets ACTION to what has to
   be done next.  */
static void
perform_step (struct run *run, struct req_action *action)
{
  struct eng_step_answer answer;
  struct req_event event = {
    .attempt = action->attempt,
    .step = action->step,
    .stage = action->stage,
  };
  send_step (run, action, &answer, &event);
  event.kind
      = event.error == ERR_NONE ? REQ_EVENT_STEP_DONE : REQ_EVENT_STEP_FAILED;
  event.activation = answer.activation != NULL ? answer.activation : "";
  event.token = answer.token;
  event.end = answer.end;
  feed_event (run, &event, action);
  if (action->emit)
    {
      run->result->tokens++;
      run->result->ended = answer.end;
      const char *text = answer.text != NULL ? answer.text : "";
      if (!run->on_token (text, event.now_us, run->user_data)
          && action->kind != REQ_ACTION_FINISH)
        {
          struct req_event gone = { .kind = REQ_EVENT_CALLER_GONE };
          feed_event (run, &gone, action);
        }
    }
  eng_step_answer_clear (&answer);
}

/* Runs DRAFT until it is complete or has failed, calling ON_TOKEN for each
   token in order.  Blocks for that time.  The path of RESULT is freed by the
   caller.  Errors in RESULT: those of req_feed.  */
void
dft_run (const struct dft_env *env, const struct dft_draft *draft,
         dft_on_token on_token, void *user_data, struct dft_run_result *result)
{
  *result = (struct dft_run_result){ .path = g_string_new (NULL) };
  struct req_params params = {
    .prompt_positions = estimate_prompt_positions (draft),
    .max_tokens = draft->max_tokens,
    .priority = draft->priority,
    /* Drafts with the same first 256 bytes share a prefix. */
    .prefix_hash = XXH64 (draft->prompt, MIN (strlen (draft->prompt), 256), 0),
    .seed = XXH64 (draft->request_id, strlen (draft->request_id), 0),
    .deadline_us = draft->deadline_us,
  };
  struct run run = {
    .env = env,
    .draft = draft,
    .machine = req_create (&params),
    .result = result,
    .on_token = on_token,
    .user_data = user_data,
  };
  struct req_event start = { .kind = REQ_EVENT_START };
  struct req_action action;
  feed_event (&run, &start, &action);
  while (action.kind != REQ_ACTION_FINISH)
    {
      cancel_attempt_on_engines (&run, &action);
      record_new_chain (&run, &action);
      if (action.kind == REQ_ACTION_WAIT)
        {
          struct req_event waited = {
            .kind = REQ_EVENT_WAITED,
            .retry_allowed = true,
          };
          g_usleep ((gulong)action.wait_us);
          feed_event (&run, &waited, &action);
          continue;
        }
      perform_step (&run, &action);
    }
  cancel_attempt_on_engines (&run, &action);
  result->error = action.error;
  req_destroy (run.machine);
}
