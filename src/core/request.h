/* State machine of one request for a draft.  It generates the draft token by
   token over a chain of engines, and moves the stream to another chain after a
   failure.  It does no I/O: the code that drives it performs each action and
   passes the result in as the next event. */
#ifndef CORE_REQUEST_H
#define CORE_REQUEST_H

#include "core/routing.h"

#include <stddef.h>

/* Limit on the chains that one request tries. */
#define REQ_ATTEMPTS_MAX 16

/* One engine of the current chain, which runs layers `first' up to `end'. */
struct req_stage
{
  char host[CFG_NAME_BYTES];
  uint32_t host_index;  /* in the configuration when the chain was chosen */
  struct ld_load *load; /* identifies the endpoint across snapshots */
  uint32_t first;
  uint32_t end;
};

/* Events that the state machine processes. */
enum req_event_kind
{
  REQ_EVENT_START,
  REQ_EVENT_STEP_DONE,
  REQ_EVENT_STEP_FAILED,
  REQ_EVENT_WAITED,     /* the delay of a REQ_ACTION_WAIT is over */
  REQ_EVENT_CALLER_GONE /* the caller has disconnected */
};

struct req_event
{
  enum req_event_kind kind;
  int64_t now_us;
  uint32_t model;   /* index in the snapshot; CFG_NO_INDEX: none */
  uint32_t attempt; /* with `step' and `stage': the step that has ended */
  uint32_t step;
  uint32_t stage;
  enum err_kind error;    /* REQ_EVENT_STEP_FAILED */
  bool retry_allowed;     /* REQ_EVENT_STEP_FAILED, REQ_EVENT_WAITED: the
                             retry budgets allow another attempt */
  bool endpoint_alive;    /* after a timeout or a broken connection: the
                             endpoint answers on another connection */
  const char *activation; /* REQ_EVENT_STEP_DONE, except from the last stage */
  uint32_t token;         /* REQ_EVENT_STEP_DONE from the last stage */
  bool end;               /* the token is the draft's last one */
};

enum req_action_kind
{
  REQ_ACTION_NONE, /* the event was outdated; wait for the next one */
  REQ_ACTION_SEND_STEP,
  REQ_ACTION_WAIT,
  REQ_ACTION_FINISH
};

/* What to do next.  If `emit' is set, the event's token must first be
   delivered to the caller.  If `cancel_attempt' isn't 0, that attempt must be
   cancelled at the engines in `cancelled'. */
struct req_action
{
  enum req_action_kind kind;
  bool emit;
  uint32_t attempt;
  uint32_t step;
  uint32_t stage;
  bool new_connection; /* send on a newly opened connection */
  int64_t wait_us;
  enum err_kind error; /* REQ_ACTION_FINISH: ERR_NONE if complete */
  uint32_t cancel_attempt;
  struct req_stage cancelled[RT_CHAIN_MAX];
  uint32_t cancelled_count;
};

struct req_params
{
  uint32_t prompt_positions; /* length of the prompt */
  uint32_t max_tokens;
  uint32_t priority;    /* 0 is the highest */
  uint64_t prefix_hash; /* 0: none */
  uint64_t seed;        /* for the choice of chains */
  int64_t deadline_us;  /* monotonic */
};

struct req_machine;

struct req_machine *req_create (const struct req_params *params);
void req_destroy (struct req_machine *machine);
void req_feed (struct req_machine *machine, const struct req_event *event,
               const struct snap *snap, struct req_action *action);
const struct req_stage *req_stage (const struct req_machine *machine,
                                   uint32_t stage);
uint32_t req_stage_count (const struct req_machine *machine);
const uint32_t *req_tokens (const struct req_machine *machine,
                            uint32_t *count);
const char *req_activation (const struct req_machine *machine);

#endif
