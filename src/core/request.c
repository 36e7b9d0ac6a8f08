#include "core/request.h"

#include <glib.h>
#include <string.h>

/* First and longest delay between two searches for capacity. */
#define WAIT_MIN_US INT64_C (20000)
#define WAIT_MAX_US INT64_C (320000)
/* Time for which a stream that has delivered tokens waits for capacity. */
#define CAPACITY_WAIT_MAX_US INT64_C (5000000)

/* Limit on the repeats of a step at an endpoint that is alive but doesn't
   answer in time. */
#define TIMEOUT_REPEATS_MAX 8

struct req_machine
{
  struct req_params params;
  struct req_stage chain[RT_CHAIN_MAX]; /* the current chain */
  uint32_t chain_length;                /* 0: no current chain */
  GArray *tokens;                       /* uint32_t, delivered to the caller */
  uint32_t attempt; /* number of the current chain, from 1 */
  uint32_t step;    /* the step in flight, from 0 in each attempt */
  uint32_t stage;   /* the stage that runs the step in flight */
  uint32_t repeats; /* of the step in flight, each on a new connection */
  bool finished;
  GString *activation;                       /* input of the stage in flight */
  int64_t waiting_since_us;                  /* 0: not waiting for capacity */
  int64_t wait_us;                           /* next delay */
  struct ld_load *excluded[RT_EXCLUDED_MAX]; /* ring buffer of endpoints not to
                                                use again */
  uint32_t excluded_count; /* exclusions so far, may exceed the ring's size */
};

/* Creates the state machine of one request.  PARAMS is copied.  */
struct req_machine *
req_create (const struct req_params *params)
{
  struct req_machine *machine = g_new0 (struct req_machine, 1);
  machine->params = *params;
  machine->tokens = g_array_new (FALSE, FALSE, sizeof (uint32_t));
  machine->activation = g_string_new (NULL);
  return machine;
}

/* Frees MACHINE; NULL is allowed.  */
void
req_destroy (struct req_machine *machine)
{
  if (machine == NULL)
    {
      return;
    }
  g_array_free (machine->tokens, TRUE);
  g_string_free (machine->activation, TRUE);
  g_free (machine);
}

/* Returns stage STAGE of the current chain.  */
const struct req_stage *
req_stage (const struct req_machine *machine, uint32_t stage)
{
  return &machine->chain[stage];
}

/* Returns the number of stages of the current chain.  */
uint32_t
req_stage_count (const struct req_machine *machine)
{
  return machine->chain_length;
}

/* Returns the tokens delivered so far and sets COUNT to their number.  The
   array is valid until the next req_feed.  */
const uint32_t *
req_tokens (const struct req_machine *machine, uint32_t *count)
{
  *count = machine->tokens->len;
  return (const uint32_t *)(void *)machine->tokens->data;
}

/* Returns the input activation of the stage in flight; "" for the first
   stage.  */
const char *
req_activation (const struct req_machine *machine)
{
  return machine->activation->str;
}

static void
finish (struct req_machine *machine, enum err_kind error,
        struct req_action *action)
{
  machine->finished = true;
  action->kind = REQ_ACTION_FINISH;
  action->error = error;
}

/* Adds to ACTION the cancellation of the current attempt at all engines of its
   chain, and drops the chain.  */
static void
cancel_chain (struct req_machine *machine, struct req_action *action)
{
  action->cancel_attempt = machine->attempt;
  action->cancelled_count = machine->chain_length;
  memcpy (action->cancelled, machine->chain,
          sizeof machine->chain[0] * machine->chain_length);
  machine->chain_length = 0;
}

static void
send_step (struct req_machine *machine, uint32_t stage, bool new_connection,
           struct req_action *action)
{
  machine->stage = stage;
  machine->repeats = new_connection ? machine->repeats + 1 : 0;
  action->kind = REQ_ACTION_SEND_STEP;
  action->attempt = machine->attempt;
  action->step = machine->step;
  action->stage = stage;
  action->new_connection = new_connection;
}

static void
exclude_endpoint (struct req_machine *machine, struct ld_load *load)
{
  uint32_t slot = machine->excluded_count % RT_EXCLUDED_MAX;
  machine->excluded[slot] = load;
  machine->excluded_count++;
}

/* Adds the excluded endpoints to QUERY, as indices in SNAP.  */
static void
fill_excluded (const struct req_machine *machine, const struct snap *snap,
               struct rt_query *query)
{
  uint32_t valid_count = MIN (machine->excluded_count, RT_EXCLUDED_MAX);
  for (uint32_t i = 0; i < snap->endpoint_count; i++)
    {
      for (uint32_t j = 0; j < valid_count; j++)
        {
          if (snap->endpoints[i].load == machine->excluded[j]
              && query->excluded_count < RT_EXCLUDED_MAX)
            {
              query->excluded[query->excluded_count++] = i;
              break;
            }
        }
    }
}

/* Makes CHAIN, chosen from SNAP, the current chain.  */
static void
set_chain (struct req_machine *machine, const struct snap *snap,
           const struct rt_chain *chain)
{
  machine->chain_length = chain->length;
  for (uint32_t i = 0; i < chain->length; i++)
    {
      const struct snap_endpoint *endpoint
          = &snap->endpoints[chain->stages[i].endpoint];
      struct req_stage *stage = &machine->chain[i];
      *stage = (struct req_stage){
        .host_index = endpoint->host,
        .load = endpoint->load,
        .first = chain->stages[i].first,
        .end = chain->stages[i].end,
      };
      g_strlcpy (stage->host, snap->config->hosts[endpoint->host].name,
                 sizeof stage->host);
    }
}

/* Waits for capacity with exponentially growing delays, but only if the stream
   has delivered tokens.  Any other request fails at once with
   ERR_NO_CAPACITY.  */
static void
wait_for_capacity (struct req_machine *machine, int64_t now_us,
                   struct req_action *action)
{
  if (machine->waiting_since_us == 0)
    {
      machine->waiting_since_us = now_us;
      machine->wait_us = WAIT_MIN_US;
    }
  int64_t until_us = machine->waiting_since_us + CAPACITY_WAIT_MAX_US;
  if (machine->tokens->len == 0 || now_us >= until_us)
    {
      finish (machine, ERR_NO_CAPACITY, action);
      return;
    }
  /* The other endpoints have been tried: allow the excluded ones again. */
  machine->excluded_count = 0;
  action->kind = REQ_ACTION_WAIT;
  action->wait_us = machine->wait_us;
  machine->wait_us = MIN (machine->wait_us * 2, WAIT_MAX_US);
}

/* Begins the next attempt: chooses a chain and sends its first stage a step
   for all positions so far, those of the prompt and of the delivered
   tokens.  */
static void
begin_attempt (struct req_machine *machine, const struct req_event *event,
               const struct snap *snap, struct req_action *action)
{
  if (machine->attempt >= REQ_ATTEMPTS_MAX)
    {
      finish (machine, ERR_ENDPOINT_FAILED, action);
      return;
    }
  struct rt_query query = {
    .model = event->model,
    .positions = machine->params.prompt_positions + machine->tokens->len,
    .priority = machine->params.priority,
    .prefix_hash = machine->params.prefix_hash,
    .seed = machine->params.seed + machine->attempt,
    .now_us = event->now_us,
  };
  fill_excluded (machine, snap, &query);
  struct rt_chain chain = { .length = 0 };
  enum err_kind error = ERR_NO_CAPACITY;
  if (event->model != CFG_NO_INDEX)
    {
      error = rt_choose_chain (snap, &query, &chain);
    }
  if (error != ERR_NONE)
    {
      wait_for_capacity (machine, event->now_us, action);
      return;
    }
  machine->waiting_since_us = 0;
  machine->attempt++;
  machine->step = 0;
  g_string_truncate (machine->activation, 0);
  set_chain (machine, snap, &chain);
  send_step (machine, 0, false, action);
}

/* Returns whether EVENT belongs to the step in flight.  Events of earlier
   attempts or steps are outdated and must be ignored.  */
static bool
is_for_step_in_flight (const struct req_machine *machine,
                       const struct req_event *event)
{
  return event->attempt == machine->attempt && event->step == machine->step
         && event->stage == machine->stage && machine->chain_length > 0;
}

/* Sends the step on to the next stage.  After the last stage, emits the token
   and begins the next step, or finishes the request.  */
static void
step_done (struct req_machine *machine, const struct req_event *event,
           struct req_action *action)
{
  if (machine->stage + 1 < machine->chain_length)
    {
      g_string_assign (machine->activation, event->activation);
      send_step (machine, machine->stage + 1, false, action);
      return;
    }
  g_array_append_val (machine->tokens, event->token);
  action->emit = true;
  if (event->end || machine->tokens->len >= machine->params.max_tokens)
    {
      cancel_chain (machine, action);
      finish (machine, ERR_NONE, action);
      return;
    }
  if (event->now_us >= machine->params.deadline_us)
    {
      cancel_chain (machine, action);
      finish (machine, ERR_DEADLINE_EXCEEDED, action);
      return;
    }
  machine->step++;
  g_string_truncate (machine->activation, 0);
  send_step (machine, 0, false, action);
}

/* Begins the next attempt if the retry budgets allow it; the budgets keep a
   fault from multiplying the load.  Otherwise a stream that has delivered
   tokens waits for the budgets, and any other request fails at once.  */
static void
retry (struct req_machine *machine, const struct req_event *event,
       const struct snap *snap, struct req_action *action)
{
  if (event->retry_allowed)
    {
      begin_attempt (machine, event, snap, action);
      return;
    }
  wait_for_capacity (machine, event->now_us, action);
}

/* Returns whether the step in flight is sent again to the same endpoint.  A
   single broken connection doesn't mean that the host is dead.  An endpoint
   that answers on other connections is only slow, and moving its streams to
   other engines would add load.  */
static bool
should_repeat_step (const struct req_machine *machine,
                    const struct req_event *event)
{
  if (!event->endpoint_alive)
    {
      return false;
    }
  if (event->error == ERR_ENDPOINT_SILENT)
    {
      return machine->repeats < TIMEOUT_REPEATS_MAX;
    }
  return event->error == ERR_ENDPOINT_FAILED && machine->repeats == 0;
}

/* Sends the failed step again on a new connection, or moves the stream to
   another chain.  */
static void
step_failed (struct req_machine *machine, const struct req_event *event,
             const struct snap *snap, struct req_action *action)
{
  if (event->now_us >= machine->params.deadline_us)
    {
      cancel_chain (machine, action);
      finish (machine, ERR_DEADLINE_EXCEEDED, action);
      return;
    }
  if (should_repeat_step (machine, event))
    {
      send_step (machine, machine->stage, true, action);
      return;
    }
  exclude_endpoint (machine, machine->chain[machine->stage].load);
  cancel_chain (machine, action);
  retry (machine, event, snap, action);
}

/* Processes EVENT and sets ACTION to what must be done next.  SNAP is
   only used during the call.  The error of REQ_ACTION_FINISH is ERR_NONE,
   ERR_NO_CAPACITY, ERR_ENDPOINT_FAILED (after REQ_ATTEMPTS_MAX attempts),
   ERR_DEADLINE_EXCEEDED or ERR_CALLER_GONE.  */
void
req_feed (struct req_machine *machine, const struct req_event *event,
          const struct snap *snap, struct req_action *action)
{
  memset (action, 0, sizeof *action);
  if (machine->finished)
    {
      return;
    }
  switch (event->kind)
    {
    case REQ_EVENT_START:
      begin_attempt (machine, event, snap, action);
      return;
    case REQ_EVENT_WAITED:
      if (event->now_us >= machine->params.deadline_us)
        {
          finish (machine, ERR_DEADLINE_EXCEEDED, action);
          return;
        }
      retry (machine, event, snap, action);
      return;
    case REQ_EVENT_CALLER_GONE:
      cancel_chain (machine, action);
      finish (machine, ERR_CALLER_GONE, action);
      return;
    case REQ_EVENT_STEP_DONE:
      if (is_for_step_in_flight (machine, event))
        {
          step_done (machine, event, action);
        }
      return;
    case REQ_EVENT_STEP_FAILED:
      if (is_for_step_in_flight (machine, event))
        {
          step_failed (machine, event, snap, action);
        }
      return;
    }
}
