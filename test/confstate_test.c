#include "core/confstate.h"
#include "core/record.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* Steps set only the operands that their operation has.  */
#pragma GCC diagnostic ignored "-Wmissing-field-initializers"

#define NODES 4
#define STEP_US INT64_C (10000)
#define S_US INT64_C (1000000)
#define APPEND_DELAY_US INT64_C (20000)
#define APPEND_TIMEOUT_US INT64_C (300000)
#define APPEND_LATE_US INT64_C (3500000)
#define RETENTION_US (400 * S_US)
#define SHORT_RETENTION_US (40 * S_US)
#define VERSIONS_MAX 512
#define CALLS_MAX 512
#define STEPS_MAX 24

/* What happens to an append. */
enum append_fault
{
  APPEND_OK,
  APPEND_REJECTED,
  APPEND_STORED_NO_REPLY,  /* stored, but the reply is lost */
  APPEND_DROPPED_NO_REPLY, /* neither stored nor replied to */
  APPEND_LATE_NO_REPLY     /* stored after APPEND_LATE_US; no reply */
};

/* A record of the simulated log. */
struct record
{
  int64_t time_us;
  GBytes *bytes;
};

/* An append, or its result, in transit. */
struct event
{
  int64_t due_us;
  bool result;
  enum append_fault fault;
  uint32_t node;
  uint64_t incarnation;
  uint64_t token;
  GBytes *bytes;
};

/* A simulated daemon. */
struct node
{
  struct cst *cst; /* NULL: not running */
  uint64_t incarnation;
  bool paused;
  bool cut_from_log;
  bool cut_from_peers;
  uint64_t read_from; /* next offset to read */
  uint64_t version;
  struct act_list *actions;
};

/* A publication and its answer. */
struct call
{
  uint32_t answers; /* number received */
  enum err_kind kind;
  uint64_t version;
  char yaml[32];
};

struct fleet
{
  int64_t now_us;
  struct node nodes[NODES];
  GArray *log;
  uint64_t first; /* lowest offset that hasn't expired */
  int64_t retention_us;
  bool log_down;
  bool no_fetch; /* peers report versions but send no configuration */
  enum append_fault fault; /* of appends from now on */
  GArray *events;
  char *texts[VERSIONS_MAX]; /* expected text of each version, once applied */
  struct call calls[CALLS_MAX];
  uint32_t call_count;
  uint32_t appends;
};

static bool
is_valid_text (const char *yaml, size_t bytes, void *user_data)
{
  (void)user_data;
  return bytes > 2 && memcmp (yaml, "ok", 2) == 0;
}

static void
start_node (struct fleet *fleet, uint32_t index)
{
  struct node *node = &fleet->nodes[index];
  node->incarnation += 0x100 + index;
  struct cst_params params
      = cst_params_default (node->incarnation, fleet->retention_us);
  params.valid = is_valid_text;
  node->cst = cst_create (&params);
  node->read_from = 0;
  node->version = 0;
  node->paused = false;
  cst_set_daemons (node->cst, NODES, index);
}

static void
clear_record (gpointer data)
{
  struct record *record = data;
  g_bytes_unref (record->bytes);
}

static void
clear_event (gpointer data)
{
  struct event *event = data;
  g_bytes_unref (event->bytes);
}

static struct fleet *
fleet_create (int64_t retention_us)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);
  fleet->now_us = S_US;
  fleet->log = g_array_new (FALSE, FALSE, sizeof (struct record));
  g_array_set_clear_func (fleet->log, clear_record);
  fleet->events = g_array_new (FALSE, FALSE, sizeof (struct event));
  g_array_set_clear_func (fleet->events, clear_event);
  fleet->retention_us = retention_us;
  for (uint32_t i = 0; i < NODES; i++)
    {
      fleet->nodes[i].actions = act_list_create ();
      start_node (fleet, i);
    }
  return fleet;
}

static void
fleet_destroy (struct fleet *fleet)
{
  for (uint32_t i = 0; i < NODES; i++)
    {
      cst_destroy (fleet->nodes[i].cst);
      act_list_destroy (fleet->nodes[i].actions);
    }
  for (uint32_t i = 0; i < VERSIONS_MAX; i++)
    {
      g_free (fleet->texts[i]);
    }
  g_array_free (fleet->log, TRUE);
  g_array_free (fleet->events, TRUE);
  g_free (fleet);
}

/* Checks that a version has the same text at every daemon, and that versions
   only rise.  */
static void
check_apply (struct fleet *fleet, struct node *node,
             const struct act_apply *apply)
{
  gsize size = 0;
  const char *data = g_bytes_get_data (apply->yaml, &size);
  char *text = g_strndup (data, size);
  assert_true (is_valid_text (data, size, NULL));
  assert_true (apply->version > node->version);
  assert_in_range (apply->version, 1, VERSIONS_MAX - 1);
  node->version = apply->version;
  if (fleet->texts[apply->version] == NULL)
    {
      fleet->texts[apply->version] = g_strdup (text);
    }
  assert_string_equal (fleet->texts[apply->version], text);
  g_free (text);
}

static void
perform_actions (struct fleet *fleet, uint32_t index)
{
  struct node *node = &fleet->nodes[index];
  for (uint32_t i = 0; i < act_list_length (node->actions); i++)
    {
      const struct act *action = act_list_get (node->actions, i);
      if (action->kind == ACT_APPLY)
        {
          check_apply (fleet, node, &action->apply);
        }
      else if (action->kind == ACT_ANSWER_PUBLISH)
        {
          struct call *call = &fleet->calls[action->publish.request_id];
          call->answers++;
          call->kind = action->publish.kind;
          call->version = action->publish.version;
        }
      else
        {
          assert_int_equal (action->kind, ACT_APPEND);
          enum append_fault fault
              = node->cut_from_log ? APPEND_REJECTED : fleet->fault;
          struct event event = { .due_us = fleet->now_us
                                           + (fault == APPEND_LATE_NO_REPLY
                                                  ? APPEND_LATE_US
                                                  : APPEND_DELAY_US),
                                 .fault = fault,
                                 .node = index,
                                 .incarnation = node->incarnation,
                                 .token = action->append.token,
                                 .bytes = g_bytes_ref (action->append.bytes) };
          g_array_append_val (fleet->events, event);
          fleet->appends++;
        }
    }
  act_list_clear (node->actions);
}

static void
deliver_result (struct fleet *fleet, const struct event *event)
{
  struct node *node = &fleet->nodes[event->node];
  if (node->cst == NULL || node->incarnation != event->incarnation)
    {
      return;
    }
  if (event->fault == APPEND_OK)
    {
      cst_append_done (node->cst, event->token, 0, fleet->now_us,
                       node->actions);
    }
  else if (event->fault == APPEND_REJECTED)
    {
      cst_append_refused (node->cst, event->token, fleet->now_us,
                          node->actions);
    }
  else
    {
      cst_append_unknown (node->cst, event->token, fleet->now_us,
                          node->actions);
    }
  perform_actions (fleet, event->node);
}

/* Stores the append in the log, unless its fault says otherwise, and sends the
   result back.  */
static void
deliver_append (struct fleet *fleet, const struct event *event)
{
  struct event result = *event;
  result.result = true;
  result.bytes = NULL;
  result.due_us = fleet->now_us + APPEND_DELAY_US;
  if (fleet->log_down && event->fault != APPEND_DROPPED_NO_REPLY)
    {
      result.fault = APPEND_REJECTED;
    }
  if (result.fault == APPEND_OK || result.fault == APPEND_STORED_NO_REPLY
      || result.fault == APPEND_LATE_NO_REPLY)
    {
      struct record record = { fleet->now_us, g_bytes_ref (event->bytes) };
      g_array_append_val (fleet->log, record);
    }
  if (result.fault != APPEND_OK && result.fault != APPEND_REJECTED)
    {
      result.due_us = fleet->now_us + APPEND_TIMEOUT_US;
    }
  g_array_append_val (fleet->events, result);
}

static void
run_events (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->events->len;)
    {
      struct event event = g_array_index (fleet->events, struct event, i);
      if (event.due_us > fleet->now_us
          || (event.result && fleet->nodes[event.node].paused))
        {
          i++;
          continue;
        }
      if (event.bytes != NULL)
        {
          g_bytes_ref (event.bytes);
        }
      g_array_remove_index (fleet->events, i);
      if (event.result)
        {
          deliver_result (fleet, &event);
        }
      else
        {
          deliver_append (fleet, &event);
        }
      g_bytes_unref (event.bytes);
    }
}

static void
read_log (struct fleet *fleet, struct node *node)
{
  node->read_from = MAX (node->read_from, fleet->first);
  for (; node->read_from < fleet->log->len; node->read_from++)
    {
      const struct record *record
          = &g_array_index (fleet->log, struct record, node->read_from);
      cst_log_record (node->cst, node->read_from, record->time_us,
                      record->bytes, fleet->now_us, node->actions);
    }
  cst_log_position (node->cst, fleet->first, fleet->log->len, fleet->now_us);
}

/* Returns whether NODE is started and not paused.  */
static bool
is_running (const struct node *node)
{
  return node->cst != NULL && !node->paused;
}

static void
exchange_with_peers (struct fleet *fleet, struct node *node)
{
  for (uint32_t i = 0; i < NODES; i++)
    {
      const struct node *peer = &fleet->nodes[i];
      if (peer == node || !is_running (peer) || peer->cut_from_peers
          || node->cut_from_peers)
        {
          continue;
        }
      uint64_t version = cst_current_version (peer->cst);
      cst_peer_version (node->cst, version, fleet->now_us);
      if (version > 0 && !fleet->no_fetch
          && cst_wanted_version (node->cst) == version)
        {
          cst_peer_config (node->cst, version, cst_current_yaml (peer->cst),
                           fleet->now_us, node->actions);
        }
    }
}

static void
run_fleet (struct fleet *fleet, int64_t duration_us)
{
  int64_t end_us = fleet->now_us + duration_us;
  while (fleet->now_us < end_us)
    {
      fleet->now_us += STEP_US;
      while (fleet->first < fleet->log->len
             && g_array_index (fleet->log, struct record, fleet->first).time_us
                    < fleet->now_us - fleet->retention_us)
        {
          fleet->first++;
        }
      run_events (fleet);
      for (uint32_t i = 0; i < NODES; i++)
        {
          struct node *node = &fleet->nodes[i];
          if (!is_running (node))
            {
              continue;
            }
          if (!node->cut_from_log && !fleet->log_down)
            {
              read_log (fleet, node);
            }
          exchange_with_peers (fleet, node);
          cst_tick (node->cst, fleet->now_us, node->actions);
          perform_actions (fleet, i);
        }
    }
}

static uint32_t
publish (struct fleet *fleet, uint32_t index, uint64_t base, bool valid)
{
  uint32_t number = fleet->call_count++;
  struct call *call = &fleet->calls[number];
  g_snprintf (call->yaml, sizeof call->yaml, "%s %u", valid ? "ok" : "bad",
              number);
  GBytes *yaml = g_bytes_new (call->yaml, strlen (call->yaml));
  const struct cst_publication publication = { .request_id = number,
                                               .base_version = base,
                                               .publisher = "ops",
                                               .yaml = yaml };
  struct node *node = &fleet->nodes[index];
  cst_publish (node->cst, &publication, fleet->now_us, node->actions);
  perform_actions (fleet, index);
  g_bytes_unref (yaml);
  return number;
}

/* Appends RECORD to the log without the checks that a daemon makes.  */
static void
append_raw (struct fleet *fleet, const struct rec_configuration *record)
{
  struct record raw = { fleet->now_us, rec_pack_configuration (record) };
  g_array_append_val (fleet->log, raw);
}

/* Operations and checks of a scenario; the comments list the operands. */
enum op
{
  END,
  PUBLISH,         /* node, base; calls are numbered from 0 */
  PUBLISH_INVALID, /* node, base */
  LOG_INVALID,     /* base; logs an invalid publication without checks */
  LOG_VALID,       /* base; logs a valid publication without checks */
  NO_FETCH,        /* whether peers withhold their configuration */
  RUN,             /* ms */
  FAULT,           /* enum append_fault of appends from now on */
  LOG_DOWN,
  LOG_UP,
  CUT_FROM_LOG,   /* node */
  REJOIN_LOG,     /* node */
  CUT_FROM_PEERS, /* node */
  REJOIN_PEERS,   /* node */
  KILL,           /* node */
  START,          /* node */
  PAUSE,          /* node */
  RESUME,         /* node */
  DAEMONS,        /* node, number of live daemons in its membership */
  ANSWER,         /* call, kind, version; checks the only answer */
  UNANSWERED,     /* call; checks that it has no answer yet */
  VERSION,        /* node, version; checks the version in force */
  SERVES,         /* node, expected; checks whether it may serve */
  APPENDS         /* minimum, maximum; checks the appends of all daemons */
};

/* An operation or check with its operands. */
struct step
{
  enum op op;
  uint32_t a;
  uint32_t b;
  uint32_t c;
};

struct scenario
{
  const char *name;
  struct step steps[STEPS_MAX];
};

static const struct scenario scenarios[] = {
  { "a publication is applied everywhere",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { ANSWER, 0, ERR_NONE, 1 },
      { VERSION, 0, 1 },
      { VERSION, 3, 1 },
      { SERVES, 3, true } } },
  { "of two concurrent publications the first in the log is accepted",
    { { PUBLISH, 0, 0 },
      { PUBLISH, 1, 0 },
      { RUN, 200 },
      { ANSWER, 0, ERR_NONE, 1 },
      { ANSWER, 1, ERR_CONFIG_STALE_BASE, 1 },
      { VERSION, 2, 1 } } },
  { "an invalid publication is rejected at once",
    { { PUBLISH_INVALID, 0, 0 },
      { ANSWER, 0, ERR_CONFIG_INVALID, 0 },
      { RUN, 200 },
      { VERSION, 0, 0 },
      { SERVES, 0, false } } },
  { "an invalid publication in the log is rejected by every reader",
    { { LOG_INVALID, 0 },
      { PUBLISH, 0, 0 },
      { RUN, 200 },
      { ANSWER, 0, ERR_NONE, 1 },
      { VERSION, 3, 1 } } },
  { "a publication with an old base is rejected at once",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { PUBLISH, 1, 0 },
      { ANSWER, 1, ERR_CONFIG_STALE_BASE, 1 } } },
  { "append reply lost, record stored",
    { { FAULT, APPEND_STORED_NO_REPLY },
      { PUBLISH, 0, 0 },
      { RUN, 1000 },
      { ANSWER, 0, ERR_NONE, 1 } } },
  { "append reply lost, record not stored",
    { { FAULT, APPEND_DROPPED_NO_REPLY },
      { PUBLISH, 0, 0 },
      { RUN, 1000 },
      { FAULT, APPEND_OK },
      { UNANSWERED, 0 },
      { RUN, 2000 },
      { ANSWER, 0, ERR_LOG_UNAVAILABLE, 0 },
      { RUN, 5000 },
      { VERSION, 1, 0 } } },
  { "append reply lost, record stored after its withdrawal",
    { { FAULT, APPEND_LATE_NO_REPLY },
      { PUBLISH, 0, 0 },
      { RUN, 1000 },
      { FAULT, APPEND_OK },
      { RUN, 2000 },
      { ANSWER, 0, ERR_LOG_UNAVAILABLE, 0 },
      { RUN, 5000 },
      { VERSION, 0, 0 },
      { VERSION, 1, 0 } } },
  { "append reply lost, another publication accepted meanwhile",
    { { FAULT, APPEND_LATE_NO_REPLY },
      { PUBLISH, 0, 0 },
      { RUN, 100 },
      { FAULT, APPEND_OK },
      { PUBLISH, 1, 0 },
      { RUN, 8000 },
      { ANSWER, 0, ERR_LOG_UNAVAILABLE, 1 },
      { ANSWER, 1, ERR_NONE, 1 },
      { VERSION, 0, 1 } } },
  { "publisher's daemon paused until the record has expired: unknown",
    { { FAULT, APPEND_LATE_NO_REPLY },
      { PUBLISH, 0, 0 },
      { RUN, 100 },
      { FAULT, APPEND_OK },
      { PAUSE, 0 },
      { CUT_FROM_PEERS, 0 },
      { RUN, 900000 },
      { VERSION, 1, 1 },
      { RESUME, 0 },
      { RUN, 200 },
      { VERSION, 0, 1 },
      { RUN, 5000 },
      { ANSWER, 0, ERR_APPEND_UNKNOWN, 1 } } },
  { "appends of publication and withdrawal both lost: unknown",
    { { FAULT, APPEND_DROPPED_NO_REPLY },
      { PUBLISH, 0, 0 },
      { RUN, 5000 },
      { ANSWER, 0, ERR_APPEND_UNKNOWN, 0 } } },
  { "log outage: not published",
    { { LOG_DOWN },
      { RUN, 5000 },
      { PUBLISH, 0, 0 },
      { ANSWER, 0, ERR_LOG_UNAVAILABLE, 0 } } },
  { "append rejected: not published",
    { { FAULT, APPEND_REJECTED },
      { PUBLISH, 0, 0 },
      { RUN, 1000 },
      { ANSWER, 0, ERR_LOG_UNAVAILABLE, 0 } } },
  { "a daemon without the log gets versions from peers",
    { { CUT_FROM_LOG, 3 },
      { PUBLISH, 0, 0 },
      { RUN, 20000 },
      { VERSION, 3, 1 },
      { SERVES, 3, true },
      { PUBLISH, 0, 1 },
      { RUN, 200 },
      { VERSION, 3, 2 },
      { REJOIN_LOG, 3 },
      { RUN, 200 },
      { VERSION, 3, 2 } } },
  { "a daemon without log and peers stops serving within 12 s",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { CUT_FROM_LOG, 3 },
      { CUT_FROM_PEERS, 3 },
      { RUN, 9000 },
      { SERVES, 3, true },
      { RUN, 2000 },
      { SERVES, 3, false },
      { PUBLISH, 0, 1 },
      { RUN, 1000 },
      { REJOIN_PEERS, 3 },
      { RUN, 100 },
      { SERVES, 3, true },
      { VERSION, 3, 2 } } },
  { "a daemon that declared its peers dead stops serving, too",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { CUT_FROM_LOG, 3 },
      { CUT_FROM_PEERS, 3 },
      { RUN, 5000 },
      { DAEMONS, 3, 1 },
      { RUN, 6000 },
      { SERVES, 3, false } } },
  { "a daemon that never had peers serves through an outage",
    { { CUT_FROM_PEERS, 0 },
      { CUT_FROM_PEERS, 1 },
      { CUT_FROM_PEERS, 2 },
      { KILL, 3 },
      { START, 3 },
      { DAEMONS, 3, 1 },
      { RUN, 200 },
      { PUBLISH, 3, 0 },
      { RUN, 200 },
      { LOG_DOWN },
      { RUN, 60000 },
      { SERVES, 3, true } } },
  { "a log outage for all daemons stops none from serving",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { LOG_DOWN },
      { RUN, 600000 },
      { SERVES, 0, true },
      { SERVES, 3, true },
      { LOG_UP },
      { RUN, 200 },
      { PUBLISH, 0, 1 },
      { RUN, 1000 },
      { ANSWER, 1, ERR_NONE, 2 } } },
  { "a replaced daemon gets its version from peers during an outage",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { LOG_DOWN },
      { RUN, 20000 },
      { KILL, 3 },
      { START, 3 },
      { SERVES, 3, false },
      { RUN, 100 },
      { VERSION, 3, 1 },
      { SERVES, 3, true } } },
  { "a replaced daemon without log and peers never serves",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { KILL, 3 },
      { START, 3 },
      { CUT_FROM_LOG, 3 },
      { CUT_FROM_PEERS, 3 },
      { RUN, 30000 },
      { VERSION, 3, 0 },
      { SERVES, 3, false } } },
  { "a resumed daemon doesn't serve an old version",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { PAUSE, 3 },
      { PUBLISH, 0, 1 },
      { RUN, 200 },
      { PUBLISH, 0, 2 },
      { RUN, 20000 },
      { RESUME, 3 },
      { SERVES, 3, false },
      { RUN, 20 },
      { VERSION, 3, 3 },
      { SERVES, 3, true } } },
  { "one daemon's checkpoints keep the version beyond retention",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { RUN, 2000000 },
      { APPENDS, 18, 24 },
      { KILL, 3 },
      { START, 3 },
      { CUT_FROM_PEERS, 3 },
      { RUN, 200 },
      { VERSION, 3, 1 },
      { PUBLISH, 3, 1 },
      { RUN, 200 },
      { ANSWER, 1, ERR_NONE, 2 },
      { VERSION, 0, 2 } } },
  { "a late starter agrees although older versions have expired",
    { { PUBLISH, 0, 0 },
      { RUN, 90000 },
      { PUBLISH, 0, 1 },
      { RUN, 90000 },
      { PUBLISH, 0, 2 },
      { RUN, 90000 },
      { PUBLISH, 0, 3 },
      { RUN, 290000 },
      { KILL, 3 },
      { START, 3 },
      { CUT_FROM_PEERS, 3 },
      { RUN, 200 },
      { VERSION, 3, 4 },
      { PUBLISH, 3, 4 },
      { RUN, 200 },
      { ANSWER, 4, ERR_NONE, 5 },
      { VERSION, 0, 5 } } },
  { "a reader with a gap ignores a publication with an old base",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { PAUSE, 3 },
      { CUT_FROM_PEERS, 3 },
      { RUN, 10000 },
      { PUBLISH, 0, 1 },
      { RUN, 295000 },
      { LOG_VALID, 1 },
      { RUN, 397500 },
      { RESUME, 3 },
      { RUN, 200 },
      { VERSION, 3, 2 } } },
  { "a daemon that can't fetch its peers' newer version stops serving",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { CUT_FROM_LOG, 3 },
      { NO_FETCH, true },
      { PUBLISH, 0, 1 },
      { RUN, 9000 },
      { SERVES, 3, true },
      { RUN, 2000 },
      { VERSION, 3, 1 },
      { SERVES, 3, false },
      { NO_FETCH, false },
      { RUN, 100 },
      { SERVES, 3, true } } },
  { "a daemon paused past retention catches up",
    { { PUBLISH, 0, 0 },
      { RUN, 200 },
      { PAUSE, 3 },
      { CUT_FROM_PEERS, 3 },
      { RUN, 10000 },
      { PUBLISH, 0, 1 },
      { RUN, 900000 },
      { RESUME, 3 },
      { RUN, 200 },
      { VERSION, 3, 2 },
      { PUBLISH, 3, 2 },
      { RUN, 200 },
      { ANSWER, 2, ERR_NONE, 3 } } },
};

/* Logs a publication of a daemon outside the simulated fleet.  */
static void
append_foreign_publication (struct fleet *fleet, uint64_t base, bool valid)
{
  GBytes *yaml = g_bytes_new_static (valid ? "ok raw" : "bad raw", 6);
  const struct rec_configuration record
      = { .incarnation = 99, .nonce = 1, .base_version = base, .yaml = yaml };
  append_raw (fleet, &record);
  g_bytes_unref (yaml);
}

static void
check_step (const struct fleet *fleet, const struct step *step)
{
  const struct call *call = &fleet->calls[step->a];
  switch (step->op)
    {
    case ANSWER:
      assert_int_equal (call->answers, 1);
      assert_string_equal (err_info (call->kind)->name,
                           err_info ((enum err_kind)step->b)->name);
      assert_int_equal (call->version, step->c);
      break;
    case UNANSWERED:
      assert_int_equal (call->answers, 0);
      break;
    case VERSION:
      assert_int_equal (cst_current_version (fleet->nodes[step->a].cst),
                        step->b);
      break;
    case SERVES:
      assert_int_equal (
          cst_serving_allowed (fleet->nodes[step->a].cst, fleet->now_us),
          step->b);
      break;
    case APPENDS:
      assert_in_range (fleet->appends, step->a, step->b);
      break;
    default:
      fail ();
    }
}

static void
do_step (struct fleet *fleet, const struct step *step)
{
  struct node *node = &fleet->nodes[step->a % NODES];
  switch (step->op)
    {
    case PUBLISH:
    case PUBLISH_INVALID:
      publish (fleet, step->a, step->b, step->op == PUBLISH);
      break;
    case LOG_INVALID:
    case LOG_VALID:
      append_foreign_publication (fleet, step->a, step->op == LOG_VALID);
      break;
    case DAEMONS:
      cst_set_daemons (node->cst, step->b, 0);
      break;
    case NO_FETCH:
      fleet->no_fetch = step->a;
      break;
    case RUN:
      run_fleet (fleet, step->a * INT64_C (1000));
      break;
    case FAULT:
      fleet->fault = (enum append_fault)step->a;
      break;
    case LOG_DOWN:
    case LOG_UP:
      fleet->log_down = step->op == LOG_DOWN;
      break;
    case CUT_FROM_LOG:
    case REJOIN_LOG:
      node->cut_from_log = step->op == CUT_FROM_LOG;
      break;
    case CUT_FROM_PEERS:
    case REJOIN_PEERS:
      node->cut_from_peers = step->op == CUT_FROM_PEERS;
      break;
    case KILL:
      cst_destroy (node->cst);
      node->cst = NULL;
      break;
    case START:
      start_node (fleet, step->a);
      break;
    case PAUSE:
    case RESUME:
      node->paused = step->op == PAUSE;
      break;
    default:
      check_step (fleet, step);
    }
}

static void
fault_scenarios (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    {
      print_message ("scenario: %s\n", scenarios[i].name);
      struct fleet *fleet = fleet_create (RETENTION_US);
      run_fleet (fleet, S_US);
      for (const struct step *step = scenarios[i].steps; step->op != END;
           step++)
        {
          do_step (fleet, step);
        }
      fleet_destroy (fleet);
    }
}

#define SCHEDULES 200
#define ROUNDS 80

static uint32_t
next_random (uint64_t *random, uint32_t bound)
{
  *random = *random * 6364136223846793005u + 1442695040888963407u;
  return (uint32_t)((*random >> 33) % bound);
}

static void
random_step (struct fleet *fleet, uint64_t *random)
{
  uint32_t index = next_random (random, NODES);
  struct node *node = &fleet->nodes[index];
  switch (next_random (random, 10))
    {
    case 0:
      node->cut_from_log = !node->cut_from_log;
      break;
    case 1:
      node->cut_from_peers = !node->cut_from_peers;
      break;
    case 2:
      node->paused = node->cst != NULL && !node->paused;
      break;
    case 3:
      if (node->cst == NULL)
        {
          start_node (fleet, index);
        }
      else
        {
          cst_destroy (node->cst);
          node->cst = NULL;
          node->paused = false;
        }
      break;
    case 4:
      fleet->log_down = !fleet->log_down;
      break;
    case 5:
      fleet->fault
          = (enum append_fault)next_random (random, APPEND_LATE_NO_REPLY + 1);
      break;
    default:
      if (is_running (node))
        {
          publish (fleet, index, cst_current_version (node->cst),
                   next_random (random, 8) > 0);
        }
    }
}

static void
end_faults (struct fleet *fleet)
{
  fleet->log_down = false;
  fleet->fault = APPEND_OK;
  for (uint32_t i = 0; i < NODES; i++)
    {
      struct node *node = &fleet->nodes[i];
      node->cut_from_log = false;
      node->cut_from_peers = false;
      node->paused = false;
      if (node->cst == NULL)
        {
          start_node (fleet, i);
        }
    }
}

static bool
was_in_force (const struct fleet *fleet, const char *yaml)
{
  for (uint32_t i = 0; i < VERSIONS_MAX; i++)
    {
      if (g_strcmp0 (fleet->texts[i], yaml) == 0)
        {
          return true;
        }
    }
  return false;
}

/* Checks that every answer to a publisher is correct and that all daemons have
   the same version.  */
static void
check_final_state (const struct fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->call_count; i++)
    {
      const struct call *call = &fleet->calls[i];
      assert_in_range (call->answers, 0, 1);
      if (call->answers == 0 || call->kind == ERR_APPEND_UNKNOWN)
        {
          continue;
        }
      assert_int_equal (was_in_force (fleet, call->yaml),
                        call->kind == ERR_NONE);
      if (call->kind == ERR_NONE)
        {
          assert_string_equal (fleet->texts[call->version], call->yaml);
        }
    }
  uint64_t version = cst_current_version (fleet->nodes[0].cst);
  for (uint32_t i = 0; i < NODES; i++)
    {
      const struct cst *cst = fleet->nodes[i].cst;
      assert_int_equal (cst_current_version (cst), version);
      assert_int_equal (cst_conflict_count (cst), 0);
      assert_int_equal (cst_serving_allowed (cst, fleet->now_us), version > 0);
    }
}

static void
run_schedule (uint64_t seed, int64_t retention_us)
{
  print_message ("seed %u\n", (unsigned)seed);
  uint64_t random = seed;
  struct fleet *fleet = fleet_create (retention_us);
  run_fleet (fleet, S_US);
  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      random_step (fleet, &random);
      run_fleet (fleet, (1 + next_random (&random, 300)) * STEP_US);
      if (next_random (&random, 10) == 0)
        {
          run_fleet (fleet, next_random (&random, 60) * S_US);
        }
    }
  end_faults (fleet);
  run_fleet (fleet, 20 * S_US);
  check_final_state (fleet);
  fleet_destroy (fleet);
}

static void
random_schedules (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= SCHEDULES; seed++)
    {
      run_schedule (seed, seed % 2 == 0 ? RETENTION_US : SHORT_RETENTION_US);
    }
}

/* Seeds above SCHEDULES that once exposed a fault.  */
static const uint64_t regression_seeds[] = { 908 };

static void
regression_schedules (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof regression_seeds / sizeof regression_seeds[0];
       i++)
    {
      run_schedule (regression_seeds[i], SHORT_RETENTION_US);
    }
}

/* Guards against a peer's copy that overrides the log: a copy is ignored while
   the daemon itself reads the log, when the copy is invalid, and when its
   version isn't higher.  */
static void
copies_from_peers (void **state)
{
  (void)state;
  struct fleet *fleet = fleet_create (RETENTION_US);
  run_fleet (fleet, S_US);
  publish (fleet, 0, 0, true);
  run_fleet (fleet, S_US);
  struct node *node = &fleet->nodes[3];
  GBytes *good = g_bytes_new_static ("ok peer", 7);
  GBytes *bad = g_bytes_new_static ("bad", 3);
  cst_peer_config (node->cst, 5, good, fleet->now_us, node->actions);
  assert_int_equal (cst_current_version (node->cst), 1);
  run_fleet (fleet, 20 * S_US);
  assert_true (cst_serving_allowed (node->cst, fleet->now_us));
  node->cut_from_log = true;
  run_fleet (fleet, 5 * S_US);
  cst_peer_config (node->cst, 5, bad, fleet->now_us, node->actions);
  cst_peer_config (node->cst, 1, good, fleet->now_us, node->actions);
  cst_peer_config (node->cst, 0, good, fleet->now_us, node->actions);
  assert_int_equal (cst_current_version (node->cst), 1);
  assert_int_equal (act_list_length (node->actions), 0);
  g_bytes_unref (good);
  g_bytes_unref (bad);
  fleet_destroy (fleet);
}

/* An operator can restore a version after all configurations have expired from
   the log, but not while the version in the log is known.  */
static void
restore_after_loss (void **state)
{
  (void)state;
  struct fleet *fleet = fleet_create (RETENTION_US);
  GBytes *yaml = g_bytes_new_static ("ok restored", 11);
  struct cst_publication publication = {
    .request_id = 0, .restore_version = 7, .publisher = "ops", .yaml = yaml
  };
  struct node *node = &fleet->nodes[0];
  run_fleet (fleet, S_US);
  cst_publish (node->cst, &publication, fleet->now_us, node->actions);
  perform_actions (fleet, 0);
  assert_int_equal (fleet->calls[0].kind, ERR_CONFIG_STALE_BASE);
  publish (fleet, 0, 0, true);
  run_fleet (fleet, S_US);
  for (uint32_t i = 0; i < NODES; i++)
    {
      cst_destroy (fleet->nodes[i].cst);
      fleet->nodes[i].cst = NULL;
    }
  run_fleet (fleet, 2 * RETENTION_US);
  for (uint32_t i = 0; i < NODES; i++)
    {
      start_node (fleet, i);
    }
  run_fleet (fleet, S_US);
  assert_int_equal (cst_current_version (node->cst), 0);
  publication.request_id = 2;
  fleet->calls[2].answers = 0;
  cst_publish (node->cst, &publication, fleet->now_us, node->actions);
  perform_actions (fleet, 0);
  run_fleet (fleet, S_US);
  assert_int_equal (fleet->calls[2].kind, ERR_NONE);
  for (uint32_t i = 0; i < NODES; i++)
    {
      assert_int_equal (cst_current_version (fleet->nodes[i].cst), 7);
    }
  g_bytes_unref (yaml);
  fleet_destroy (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (fault_scenarios),
    cmocka_unit_test (random_schedules),
    cmocka_unit_test (regression_schedules),
    cmocka_unit_test (copies_from_peers),
    cmocka_unit_test (restore_after_loss),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
