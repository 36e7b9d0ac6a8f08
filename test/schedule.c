#include "schedule.h"

#include <string.h>

#define APPEND_DELAY_US 5000
#define APPEND_TIMEOUT_US 300000
#define APPEND_DELAYED_US INT64_C (3500000)
#define SERVICE_DELAY_US 20000
#define SERVICE_SLOW_US INT64_C (1000000)
#define LOG_CLOCK_US INT64_C (1700000000000000)
#define READS_PER_STEP_DEFAULT 64

enum event_kind
{
  EVENT_APPEND_ARRIVES, /* an append at the log */
  EVENT_APPEND_DONE,    /* results of an append, at the daemon */
  EVENT_APPEND_REFUSED,
  EVENT_APPEND_LOST,
  EVENT_CALL_SEND,    /* the daemon sends a call to the service */
  EVENT_CALL_OUTCOME, /* results of a call, at the daemon */
  EVENT_CALL_NOT_RUN,
  EVENT_CALL_UNKNOWN
};

struct event
{
  enum event_kind kind;
  int64_t due_us;
  uint32_t node;
  uint64_t incarnation; /* of the daemon; another one gets no events */
  uint64_t id;          /* token or request id */
  uint64_t offset;
  enum sch_append_fault fault;
  GBytes *bytes;
};

static void
clear_event (gpointer data)
{
  struct event *event = data;
  g_bytes_unref (event->bytes);
}

static void
clear_record (gpointer data)
{
  struct sch_record *record = data;
  g_bytes_unref (record->bytes);
}

static void
destroy_call (gpointer data)
{
  struct sch_call *call = data;
  g_free (call->account);
  g_free (call->key);
  g_free (call);
}

/* Creates NODES daemons and an empty log.  LIFETIME_US is the lifetime of
   keys.  */
struct sch *
sch_create (uint64_t seed, uint32_t nodes, int64_t lifetime_us)
{
  struct sch *sch = g_new0 (struct sch, 1);
  sch->random_state = seed * 2654435761u + 1;
  sch->now_us = SCH_S_US;
  sch->reads_per_step = READS_PER_STEP_DEFAULT;
  sch->log_clock_us = LOG_CLOCK_US;
  sch->log = g_array_new (FALSE, FALSE, sizeof (struct sch_record));
  g_array_set_clear_func (sch->log, clear_record);
  sch->events = g_array_new (FALSE, FALSE, sizeof (struct event));
  g_array_set_clear_func (sch->events, clear_event);
  sch->calls = g_ptr_array_new_with_free_func (destroy_call);
  sch->effects = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  sch->params = clm_params_default (1, lifetime_us);
  sch->params.outage_margin_us = 3 * SCH_STEP_US;
  sch->node_count = nodes;
  for (uint32_t i = 0; i < nodes; i++)
    {
      sch->nodes[i].actions = act_list_create ();
      sch_start (sch, i);
    }
  return sch;
}

void
sch_destroy (struct sch *sch)
{
  for (uint32_t i = 0; i < sch->node_count; i++)
    {
      clm_destroy (sch->nodes[i].clm);
      act_list_destroy (sch->nodes[i].actions);
    }
  g_array_free (sch->events, TRUE);
  g_array_free (sch->log, TRUE);
  g_ptr_array_free (sch->calls, TRUE);
  g_hash_table_destroy (sch->effects);
  g_free (sch);
}

/* Returns a number below BOUND.  */
uint32_t
sch_random (struct sch *sch, uint32_t bound)
{
  sch->random_state
      = sch->random_state * 6364136223846793005u + 1442695040888963407u;
  return (uint32_t)((sch->random_state >> 33) % bound);
}

static void
add_event (struct sch *sch, struct event event, int64_t delay_us)
{
  event.due_us = sch->now_us + delay_us;
  g_array_append_val (sch->events, event);
}

static void
start_append (struct sch *sch, uint32_t node, const struct act_append *append)
{
  enum sch_append_fault fault = sch->append_fault;
  if (sch_random (sch, 100) < sch->append_fault_percent)
    {
      fault = (enum sch_append_fault)sch_random (sch, SCH_APPEND_DELAYED + 1);
    }
  if (sch->nodes[node].disconnected)
    {
      fault = SCH_APPEND_REFUSED;
    }
  struct event event = { .kind = EVENT_APPEND_ARRIVES,
                         .node = node,
                         .incarnation = sch->nodes[node].incarnation,
                         .id = append->token,
                         .fault = fault,
                         .bytes = g_bytes_ref (append->bytes) };
  sch->nodes[node].appends++;
  add_event (sch, event,
             fault == SCH_APPEND_DELAYED ? APPEND_DELAYED_US
                                         : APPEND_DELAY_US);
  if (fault == SCH_APPEND_DELAYED)
    {
      event.kind = EVENT_APPEND_LOST;
      event.bytes = NULL;
      add_event (sch, event, APPEND_TIMEOUT_US);
    }
}

static void
record_answer (struct sch *sch, const struct act_answer *answer)
{
  struct sch_call *call
      = g_ptr_array_index (sch->calls, answer->request_id - 1);
  call->answers++;
  call->pending = false;
  call->answered_us = sch->now_us;
  call->kind = answer->kind;
  call->ran = answer->ran;
  call->status = answer->status;
  if (answer->body != NULL)
    {
      gsize size = 0;
      const char *body = g_bytes_get_data (answer->body, &size);
      size = MIN (size, sizeof call->body - 1);
      memcpy (call->body, body, size);
      call->body[size] = '\0';
    }
}

/* Executes the actions of the state machine of NODE.  */
static void
take_actions (struct sch *sch, uint32_t node)
{
  struct act_list *actions = sch->nodes[node].actions;
  for (uint32_t i = 0; i < act_list_length (actions); i++)
    {
      const struct act *action = act_list_get (actions, i);
      struct event event = { .kind = EVENT_CALL_SEND,
                             .node = node,
                             .incarnation = sch->nodes[node].incarnation };
      switch (action->kind)
        {
        case ACT_APPEND:
          start_append (sch, node, &action->append);
          break;
        case ACT_ANSWER:
          record_answer (sch, &action->answer);
          break;
        case ACT_DISPATCH:
          event.id = action->dispatch.request_id;
          add_event (sch, event, sch->dispatch_delay_us);
          break;
        case ACT_APPLY:
        case ACT_ANSWER_PUBLISH:
        case ACT_ORDER:
          g_assert_not_reached ();
        }
    }
  act_list_clear (actions);
}

/* Handles the arrival of an append at the log.  */
static void
append_arrives (struct sch *sch, const struct event *arrived)
{
  struct event result = { .kind = EVENT_APPEND_DONE,
                          .node = arrived->node,
                          .incarnation = arrived->incarnation,
                          .id = arrived->id };
  bool stored = arrived->fault != SCH_APPEND_REFUSED
                && arrived->fault != SCH_APPEND_REQUEST_LOST && !sch->log_down;
  if (stored)
    {
      struct sch_record record = { .time_us = sch->now_us + sch->log_clock_us,
                                   .bytes = g_bytes_ref (arrived->bytes) };
      result.offset = sch->log->len;
      g_array_append_val (sch->log, record);
    }
  if (arrived->fault == SCH_APPEND_DELAYED)
    {
      return;
    }
  if (arrived->fault == SCH_APPEND_REPLY_LOST
      || arrived->fault == SCH_APPEND_REQUEST_LOST)
    {
      result.kind = EVENT_APPEND_LOST;
      add_event (sch, result, APPEND_TIMEOUT_US);
      return;
    }
  if (!stored)
    {
      result.kind = EVENT_APPEND_REFUSED;
    }
  add_event (sch, result, APPEND_DELAY_US);
}

static void
count_effect (struct sch *sch, const struct sch_call *call)
{
  char *joined = key_join (call->account, call->key);
  guint count = GPOINTER_TO_UINT (g_hash_table_lookup (sch->effects, joined));
  g_hash_table_replace (sch->effects, joined, GUINT_TO_POINTER (count + 1));
}

/* Sends a call to the service, if the daemon's state machine allows it.  */
static void
send_call (struct sch *sch, const struct event *event)
{
  struct sch_node *node = &sch->nodes[event->node];
  const struct sch_call *call = g_ptr_array_index (sch->calls, event->id - 1);
  if (!clm_begin_send (node->clm, event->id, sch->now_us))
    {
      clm_not_run (node->clm, event->id, ERR_DEADLINE_EXCEEDED, sch->now_us,
                   node->actions);
      return;
    }
  enum sch_service_fault fault = sch->service_fault;
  if (sch_random (sch, 100) < sch->service_fault_percent)
    {
      fault = (enum sch_service_fault)sch_random (sch, SCH_SERVICE_SLOW + 1);
    }
  struct event result = *event;
  result.kind = EVENT_CALL_OUTCOME;
  if (fault == SCH_SERVICE_NOT_RUN)
    {
      result.kind = EVENT_CALL_NOT_RUN;
    }
  else if (fault == SCH_SERVICE_REPLY_LOST
           || fault == SCH_SERVICE_REQUEST_LOST)
    {
      result.kind = EVENT_CALL_UNKNOWN;
    }
  if (fault != SCH_SERVICE_NOT_RUN && fault != SCH_SERVICE_REQUEST_LOST)
    {
      count_effect (sch, call);
    }
  add_event (sch, result,
             fault == SCH_SERVICE_SLOW ? SERVICE_SLOW_US : SERVICE_DELAY_US);
}

/* Passes EVENT to the state machine of its daemon.  */
static void
handle_event (struct sch *sch, const struct event *event)
{
  struct sch_node *node = &sch->nodes[event->node];
  int64_t now_us = sch->now_us;
  GBytes *body = NULL;
  char text[32];
  switch (event->kind)
    {
    case EVENT_APPEND_ARRIVES:
      break;
    case EVENT_APPEND_DONE:
      clm_append_done (node->clm, event->id, event->offset, now_us,
                       node->actions);
      break;
    case EVENT_APPEND_REFUSED:
      if (sch->log_down && !node->disconnected)
        {
          clm_log_unavailable (node->clm, now_us);
        }
      clm_append_refused (node->clm, event->id, now_us, node->actions);
      break;
    case EVENT_APPEND_LOST:
      clm_append_unknown (node->clm, event->id, now_us, node->actions);
      break;
    case EVENT_CALL_SEND:
      send_call (sch, event);
      break;
    case EVENT_CALL_OUTCOME:
      g_snprintf (text, sizeof text, "booking %" G_GUINT64_FORMAT, event->id);
      body = g_bytes_new (text, strlen (text));
      clm_outcome (node->clm, event->id, 200, body, now_us, node->actions);
      g_bytes_unref (body);
      break;
    case EVENT_CALL_NOT_RUN:
      clm_not_run (node->clm, event->id, ERR_ENDPOINT_REFUSED, now_us,
                   node->actions);
      break;
    case EVENT_CALL_UNKNOWN:
      clm_unknown (node->clm, event->id, ERR_ENDPOINT_FAILED, now_us,
                   node->actions);
      break;
    }
  take_actions (sch, event->node);
}

/* Returns whether EVENT is due.  Events wait while their daemon is paused,
   except appends that are on their way to the log.  */
static bool
event_ready (const struct sch *sch, const struct event *event)
{
  const struct sch_node *node = &sch->nodes[event->node];
  return event->due_us <= sch->now_us
         && (event->kind == EVENT_APPEND_ARRIVES || !node->paused);
}

static void
run_events (struct sch *sch)
{
  for (guint i = 0; i < sch->events->len;)
    {
      struct event event = g_array_index (sch->events, struct event, i);
      if (!event_ready (sch, &event))
        {
          i++;
          continue;
        }
      if (event.bytes != NULL)
        {
          g_bytes_ref (event.bytes);
        }
      g_array_remove_index (sch->events, i);
      if (event.kind == EVENT_APPEND_ARRIVES)
        {
          append_arrives (sch, &event);
        }
      else if (sch->nodes[event.node].clm != NULL
               && sch->nodes[event.node].incarnation == event.incarnation)
        {
          handle_event (sch, &event);
        }
      g_bytes_unref (event.bytes);
    }
}

static bool
reaches_log (const struct sch *sch, const struct sch_node *node)
{
  return node->clm != NULL && !node->paused && !node->disconnected
         && !sch->log_down;
}

static void
read_log (struct sch *sch, struct sch_node *node)
{
  node->read_from = MAX (node->read_from, sch->first_offset);
  for (uint32_t i = 0;
       i < sch->reads_per_step && node->read_from < sch->log->len; i++)
    {
      const struct sch_record *record
          = &g_array_index (sch->log, struct sch_record, node->read_from);
      clm_log_record (node->clm, "claims-0", node->read_from, record->time_us,
                      record->bytes, sch->now_us, node->actions);
      node->read_from++;
    }
  clm_log_position (node->clm, "claims-0", sch->first_offset, sch->log->len,
                    sch->now_us);
}

static void
step_node (struct sch *sch, uint32_t index)
{
  struct sch_node *node = &sch->nodes[index];
  if (node->clm == NULL || node->paused)
    {
      return;
    }
  if (reaches_log (sch, node))
    {
      read_log (sch, node);
    }
  else if (sch->log_down && !node->disconnected)
    {
      clm_log_unavailable (node->clm, sch->now_us);
    }
  bool peers = false;
  for (uint32_t i = 0; i < sch->node_count; i++)
    {
      peers = peers || (i != index && reaches_log (sch, &sch->nodes[i]));
    }
  clm_set_peers_reach_log (node->clm, peers, sch->now_us);
  clm_tick (node->clm, sch->now_us, node->actions);
  take_actions (sch, index);
}

static void
delete_old_records (struct sch *sch)
{
  int64_t oldest_us = sch->now_us + sch->log_clock_us - sch->log_retention_us;
  while (
      sch->log_retention_us > 0 && sch->first_offset < sch->log->len
      && g_array_index (sch->log, struct sch_record, sch->first_offset).time_us
             < oldest_us)
    {
      sch->first_offset++;
    }
}

/* Runs the simulation for DURATION_US, in steps of SCH_STEP_US.  */
void
sch_run (struct sch *sch, int64_t duration_us)
{
  int64_t end_us = sch->now_us + duration_us;
  while (sch->now_us < end_us)
    {
      sch->now_us += SCH_STEP_US;
      delete_old_records (sch);
      run_events (sch);
      uint32_t start = sch_random (sch, sch->node_count);
      for (uint32_t i = 0; i < sch->node_count; i++)
        {
          step_node (sch, (start + i) % sch->node_count);
        }
    }
}

static struct sch_call *
new_call (struct sch *sch, uint32_t node, const char *account, const char *key)
{
  struct sch_call *call = g_new0 (struct sch_call, 1);
  call->node = node;
  call->account = g_strdup (account);
  call->key = g_strdup (key);
  call->pending = true;
  call->started_us = sch->now_us;
  g_ptr_array_add (sch->calls, call);
  return call;
}

/* Sends a call with a key to NODE, which has to be alive.  Returns the number
   of the call.  */
uint32_t
sch_call (struct sch *sch, uint32_t node, const char *account, const char *key,
          uint64_t body_hash)
{
  struct sch_call *call = new_call (sch, node, account, key);
  call->body_hash = body_hash;
  struct clm_call request = { .request_id = sch->calls->len,
                              .account = account,
                              .key = key,
                              .body_hash = body_hash };
  uint32_t number = sch->calls->len - 1;
  clm_request (sch->nodes[node].clm, &request, sch->now_us,
               sch->nodes[node].actions);
  take_actions (sch, node);
  return number;
}

/* Settles a key as an operator at NODE, and stores the number of this call in
   CALL.  */
void
sch_settle (struct sch *sch, uint32_t node, uint32_t *call,
            const char *account, const char *key, bool ran)
{
  new_call (sch, node, account, key);
  *call = sch->calls->len - 1;
  clm_settle (sch->nodes[node].clm, sch->calls->len, account, key, ran, 200,
              NULL, sch->now_us, sch->nodes[node].actions);
  take_actions (sch, node);
}

const struct sch_call *
sch_get (const struct sch *sch, uint32_t call)
{
  return g_ptr_array_index (sch->calls, call);
}

/* Closes the connection of a call at its caller.  */
void
sch_caller_gone (struct sch *sch, uint32_t number)
{
  struct sch_call *call = g_ptr_array_index (sch->calls, number);
  struct sch_node *node = &sch->nodes[call->node];
  call->pending = false;
  call->connection_lost = true;
  if (node->clm != NULL && !node->paused)
    {
      clm_caller_gone (node->clm, number + 1, sch->now_us, node->actions);
      take_actions (sch, call->node);
    }
}

/* Returns how many times the call of a key ran.  */
uint32_t
sch_effects (const struct sch *sch, const char *account, const char *key)
{
  char *joined = key_join (account, key);
  gpointer count = g_hash_table_lookup (sch->effects, joined);
  g_free (joined);
  return GPOINTER_TO_UINT (count);
}

/* Kills a daemon.  Its callers lose their connections; its appends in flight
   still reach the log.  */
void
sch_kill (struct sch *sch, uint32_t node)
{
  clm_destroy (sch->nodes[node].clm);
  sch->nodes[node].clm = NULL;
  sch->nodes[node].paused = false;
  act_list_clear (sch->nodes[node].actions);
  for (guint i = 0; i < sch->calls->len; i++)
    {
      struct sch_call *call = g_ptr_array_index (sch->calls, i);
      if (call->node == node && call->pending)
        {
          call->pending = false;
          call->connection_lost = true;
        }
    }
}

/* Starts the daemon INDEX with a new incarnation and no state.  */
void
sch_start (struct sch *sch, uint32_t index)
{
  struct sch_node *node = &sch->nodes[index];
  node->incarnation = (node->incarnation & ~(uint64_t)0xFF) + 0x100 + index;
  node->read_from = 0;
  node->paused = false;
  node->disconnected = false;
  struct clm_params params = sch->params;
  params.incarnation = node->incarnation;
  node->clm = clm_create (&params);
  clm_set_share (node->clm, sch->node_count, index);
}
