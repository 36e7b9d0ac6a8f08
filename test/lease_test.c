/* Tests of the lease state machine: several simulated daemons share a log, in
   scenarios of faults and under random faults, and single readers that start
   late. */
#include "core/lease.h"
#include "core/record.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Steps set only the operands that they use.  */
#pragma GCC diagnostic ignored "-Wmissing-field-initializers"

#define NODES 4
#define NOBODY NODES
#define STEP_US INT64_C (10000)
#define S_US INT64_C (1000000)
#define LOG_CLOCK_US INT64_C (1700000000000000)
#define APPEND_DELAY_US INT64_C (20000)
#define APPEND_DELAYED_US (20 * S_US)
#define RETENTION_US (200 * S_US)
#define STEPS_MAX 24

enum append_fault
{
  APPEND_OK,
  APPEND_REFUSED,
  APPEND_REPLY_LOST,   /* stored, but reported as lost */
  APPEND_REQUEST_LOST, /* not stored, reported as lost */
  APPEND_DELAYED       /* stored after APPEND_DELAYED_US, reported as lost */
};

struct record
{
  int64_t time_us;
  GBytes *bytes;
};

struct event
{
  int64_t due_us;
  enum append_fault append_fault;
  uint32_t node;
  uint64_t token;
  GBytes *bytes;
};

struct node
{
  struct lse *lse; /* NULL: dead */
  uint64_t incarnation;
  bool paused;
  bool disconnected;
  uint64_t read_from;
};

/* Daemons that share one log, which applies append_fault to every append. */
struct fleet
{
  int64_t now_us;
  struct node nodes[NODES];
  GArray *log;
  uint64_t first_offset;
  bool log_down;
  enum append_fault append_fault;
  GArray *events;
  struct act_list *actions;
  uint32_t holder;         /* node, or NOBODY */
  uint64_t fence;          /* highest fencing token so far */
  uint32_t holder_changes; /* how often the holder changed */
  uint32_t appends;
};

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

static void
start_node (struct fleet *fleet, uint32_t index)
{
  struct node *node = &fleet->nodes[index];
  node->incarnation += 0x100 + index;
  const struct lse_params params
      = lse_params_default (node->incarnation, "entry");
  node->lse = lse_create (&params);
  node->read_from = 0;
  node->paused = false;
  lse_set_rank (node->lse, index);
}

static struct fleet *
fleet_create (void)
{
  struct fleet *fleet = g_new0 (struct fleet, 1);
  fleet->now_us = S_US;
  fleet->log = g_array_new (FALSE, FALSE, sizeof (struct record));
  g_array_set_clear_func (fleet->log, clear_record);
  fleet->events = g_array_new (FALSE, FALSE, sizeof (struct event));
  g_array_set_clear_func (fleet->events, clear_event);
  fleet->actions = act_list_create ();
  fleet->holder = NOBODY;
  for (uint32_t i = 0; i < NODES; i++)
    {
      start_node (fleet, i);
    }
  return fleet;
}

static void
fleet_destroy (struct fleet *fleet)
{
  for (uint32_t i = 0; i < NODES; i++)
    {
      lse_destroy (fleet->nodes[i].lse);
    }
  g_array_free (fleet->log, TRUE);
  g_array_free (fleet->events, TRUE);
  act_list_destroy (fleet->actions);
  g_free (fleet);
}

static void
take_actions (struct fleet *fleet, uint32_t index)
{
  for (uint32_t i = 0; i < act_list_length (fleet->actions); i++)
    {
      const struct act *action = act_list_get (fleet->actions, i);
      assert_int_equal (action->kind, ACT_APPEND);
      enum append_fault fault = fleet->nodes[index].disconnected
                                    ? APPEND_REFUSED
                                    : fleet->append_fault;
      struct event event
          = { .due_us = fleet->now_us
                        + (fault == APPEND_DELAYED ? APPEND_DELAYED_US
                                                   : APPEND_DELAY_US),
              .append_fault = fault,
              .node = index,
              .token = action->append.token,
              .bytes = g_bytes_ref (action->append.bytes) };
      g_array_append_val (fleet->events, event);
      fleet->appends++;
    }
  act_list_clear (fleet->actions);
}

/* Handles the arrival of an append at the log.  Its result goes back at the
   same time.  */
static void
deliver (struct fleet *fleet, const struct event *event)
{
  struct node *node = &fleet->nodes[event->node];
  bool stored = !fleet->log_down && event->append_fault != APPEND_REFUSED
                && event->append_fault != APPEND_REQUEST_LOST;
  if (stored)
    {
      struct record record
          = { fleet->now_us + LOG_CLOCK_US, g_bytes_ref (event->bytes) };
      g_array_append_val (fleet->log, record);
    }
  if (node->lse == NULL || node->paused)
    {
      return;
    }
  if (event->append_fault == APPEND_REFUSED || (fleet->log_down && !stored))
    {
      lse_append_refused (node->lse, event->token, fleet->now_us);
    }
  else if (event->append_fault == APPEND_OK)
    {
      lse_append_done (node->lse, event->token, fleet->log->len - 1,
                       fleet->now_us);
    }
  else
    {
      lse_append_lost (node->lse, event->token, fleet->now_us);
    }
}

static void
run_events (struct fleet *fleet)
{
  for (guint i = 0; i < fleet->events->len;)
    {
      struct event event = g_array_index (fleet->events, struct event, i);
      if (event.due_us > fleet->now_us)
        {
          i++;
          continue;
        }
      g_bytes_ref (event.bytes);
      g_array_remove_index (fleet->events, i);
      deliver (fleet, &event);
      g_bytes_unref (event.bytes);
    }
}

static void
read_log (struct fleet *fleet, struct node *node)
{
  node->read_from = MAX (node->read_from, fleet->first_offset);
  for (; node->read_from < fleet->log->len; node->read_from++)
    {
      const struct record *record
          = &g_array_index (fleet->log, struct record, node->read_from);
      lse_log_record (node->lse, node->read_from, record->time_us,
                      record->bytes, fleet->now_us);
    }
  lse_log_position (node->lse, fleet->first_offset, fleet->log->len,
                    fleet->now_us);
}

/* Checks that at most one daemon may give orders, and that fencing tokens
   never decrease.  Called before the daemons read the log, since a daemon that
   was paused may give an order before it has read.  */
static void
check_holder (struct fleet *fleet)
{
  uint32_t holder = NOBODY;
  for (uint32_t i = 0; i < NODES; i++)
    {
      const struct node *node = &fleet->nodes[i];
      uint64_t fence;
      if (node->lse == NULL || node->paused
          || !lse_held (node->lse, fleet->now_us, &fence))
        {
          continue;
        }
      assert_int_equal (holder, NOBODY);
      holder = i;
      assert_true (fence >= fleet->fence);
      fleet->holder_changes += fence > fleet->fence ? 1 : 0;
      fleet->fence = fence;
    }
  fleet->holder = holder;
}

static void
run_fleet (struct fleet *fleet, int64_t duration_us)
{
  int64_t end_us = fleet->now_us + duration_us;
  while (fleet->now_us < end_us)
    {
      fleet->now_us += STEP_US;
      int64_t oldest_us = fleet->now_us + LOG_CLOCK_US - RETENTION_US;
      while (fleet->first_offset < fleet->log->len
             && g_array_index (fleet->log, struct record, fleet->first_offset)
                        .time_us
                    < oldest_us)
        {
          fleet->first_offset++;
        }
      check_holder (fleet);
      run_events (fleet);
      for (uint32_t i = 0; i < NODES; i++)
        {
          struct node *node = &fleet->nodes[i];
          if (node->lse == NULL || node->paused)
            {
              continue;
            }
          if (!node->disconnected && !fleet->log_down)
            {
              read_log (fleet, node);
            }
          lse_tick (node->lse, fleet->now_us, fleet->actions);
          take_actions (fleet, i);
        }
    }
}

enum op
{
  END,
  RUN,          /* ms */
  APPEND_FAULT, /* enum append_fault, of appends from now on */
  LOG_DOWN,
  LOG_UP,
  DISCONNECT, /* node, from the log */
  RECONNECT,
  KILL,
  START,
  PAUSE,
  RESUME,
  CANDIDATE,      /* node, true or false */
  HOLDER,         /* node, or NOBODY: expected holder */
  HOLDER_CHANGES, /* minimum and maximum so far */
  APPENDS         /* minimum and maximum so far */
};

struct step
{
  enum op op;
  uint32_t a;
  uint32_t b;
};

struct scenario
{
  const char *name;
  struct step steps[STEPS_MAX];
};

static const struct scenario scenarios[] = {
  { "the lowest rank holds the lease, renewed every third of its duration",
    { { RUN, 2000 },
      { HOLDER, 0 },
      { RUN, 60000 },
      { HOLDER, 0 },
      { APPENDS, 10, 16 } } },
  { "another daemon acquires the lease after the holder dies",
    { { RUN, 2000 },
      { KILL, 0 },
      { RUN, 10000 },
      { HOLDER, NOBODY },
      { RUN, 10000 },
      { HOLDER, 1 } } },
  { "the holder releases the lease when it is no candidate any more",
    { { RUN, 2000 }, { CANDIDATE, 0, false }, { RUN, 6000 }, { HOLDER, 1 } } },
  { "a paused holder finds its lease expired and taken when it resumes",
    { { RUN, 2000 },
      { PAUSE, 0 },
      { RUN, 30000 },
      { HOLDER, 1 },
      { RESUME, 0 },
      { RUN, 30000 },
      { HOLDER, 1 } } },
  { "a paused holder finds its lease expired and free when it resumes",
    { { RUN, 2000 },
      { PAUSE, 0 },
      { PAUSE, 1 },
      { PAUSE, 2 },
      { PAUSE, 3 },
      { RUN, 60000 },
      { RESUME, 0 },
      { RUN, 10 },
      { HOLDER, NOBODY },
      { RUN, 1000 },
      { HOLDER, 0 } } },
  { "a disconnected holder stops before another daemon takes over",
    { { RUN, 2000 },
      { DISCONNECT, 0 },
      { RUN, 13000 },
      { HOLDER, NOBODY },
      { RUN, 10000 },
      { HOLDER, 1 },
      { RECONNECT, 0 },
      { RUN, 10000 },
      { HOLDER, 1 } } },
  { "a delayed renewal by a former holder is ignored",
    { { RUN, 4000 },
      { APPEND_FAULT, APPEND_DELAYED },
      { RUN, 2000 },
      { APPEND_FAULT, APPEND_OK },
      { DISCONNECT, 0 },
      { RUN, 60000 },
      { HOLDER, 1 },
      { RECONNECT, 0 },
      { RUN, 20000 },
      { HOLDER, 1 } } },
  { "the holder keeps the lease when replies to its renewals are lost",
    { { RUN, 2000 },
      { APPEND_FAULT, APPEND_REPLY_LOST },
      { RUN, 60000 },
      { HOLDER, 0 },
      { HOLDER_CHANGES, 0, 0 } } },
  { "nobody holds it during a log outage",
    { { RUN, 2000 },
      { LOG_DOWN },
      { RUN, 30000 },
      { HOLDER, NOBODY },
      { LOG_UP },
      { RUN, 20000 },
      { HOLDER, 1 } } },
  { "a daemon that starts late doesn't take a lease that is in force",
    { { RUN, 300000 },
      { KILL, 1 },
      { START, 1 },
      { CANDIDATE, 2, false },
      { CANDIDATE, 3, false },
      { RUN, 20000 },
      { HOLDER, 0 },
      { KILL, 0 },
      { RUN, 60000 },
      { HOLDER, 1 } } },
};

static void
do_step (struct fleet *fleet, const struct step *step)
{
  struct node *node = &fleet->nodes[step->a % NODES];
  switch (step->op)
    {
    case RUN:
      run_fleet (fleet, step->a * INT64_C (1000));
      break;
    case APPEND_FAULT:
      fleet->append_fault = (enum append_fault)step->a;
      break;
    case LOG_DOWN:
    case LOG_UP:
      fleet->log_down = step->op == LOG_DOWN;
      break;
    case DISCONNECT:
    case RECONNECT:
      node->disconnected = step->op == DISCONNECT;
      break;
    case KILL:
      lse_destroy (node->lse);
      node->lse = NULL;
      break;
    case START:
      start_node (fleet, step->a);
      break;
    case PAUSE:
    case RESUME:
      node->paused = step->op == PAUSE;
      break;
    case CANDIDATE:
      lse_set_candidate (node->lse, step->b);
      break;
    case HOLDER:
      assert_int_equal (fleet->holder, step->a);
      break;
    case HOLDER_CHANGES:
      assert_in_range (fleet->holder_changes, step->a, step->b);
      break;
    case APPENDS:
      assert_in_range (fleet->appends, step->a, step->b);
      break;
    case END:
      break;
    }
}

static void
lease_scenarios (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    {
      print_message ("scenario: %s\n", scenarios[i].name);
      struct fleet *fleet = fleet_create ();
      for (const struct step *step = scenarios[i].steps; step->op != END;
           step++)
        {
          do_step (fleet, step);
        }
      fleet_destroy (fleet);
    }
}

#define SCHEDULES 200
#define ROUNDS 60

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
  struct step step = { END, index };
  switch (next_random (random, 6))
    {
    case 0:
      step.op = node->disconnected ? RECONNECT : DISCONNECT;
      break;
    case 1:
    case 2:
      step.op = node->lse == NULL ? END : node->paused ? RESUME : PAUSE;
      break;
    case 3:
      step.op = node->lse == NULL ? START : KILL;
      break;
    case 4:
      step.op = fleet->log_down ? LOG_UP : LOG_DOWN;
      break;
    default:
      step = (struct step){ APPEND_FAULT,
                            next_random (random, APPEND_DELAYED + 1) };
    }
  do_step (fleet, &step);
}

/* Runs random faults.  There are never two holders, fencing tokens never
   decrease, and once the faults have ended there is a holder.  */
static void
run_schedule (uint64_t seed)
{
  uint64_t random = seed;
  struct fleet *fleet = fleet_create ();
  for (uint32_t i = 0; i < ROUNDS; i++)
    {
      random_step (fleet, &random);
      run_fleet (fleet, next_random (&random, 8000) * INT64_C (1000));
    }
  fleet->log_down = false;
  fleet->append_fault = APPEND_OK;
  for (uint32_t i = 0; i < NODES; i++)
    {
      fleet->nodes[i].paused = false;
      fleet->nodes[i].disconnected = false;
      if (fleet->nodes[i].lse == NULL)
        {
          start_node (fleet, i);
        }
    }
  run_fleet (fleet, 90 * S_US);
  assert_int_not_equal (fleet->holder, NOBODY);
  fleet_destroy (fleet);
}

static void
random_schedules (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= SCHEDULES; seed++)
    {
      print_message ("seed %u\n", (unsigned)seed);
      run_schedule (seed);
    }
}

/* Seeds above SCHEDULES that have failed before.  */
static const uint64_t regression_seeds[] = { 355, 1460 };

static void
regression_schedules (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof regression_seeds / sizeof regression_seeds[0];
       i++)
    {
      run_schedule (regression_seeds[i]);
    }
}

/* Passes a record of another daemon to LSE.  A renewal is for the lease with
   the fencing token FENCE, by a daemon that had read every earlier record.  */
static void
pass_record (struct lse *lse, uint64_t offset,
             enum rec_lease_operation operation, uint64_t fence,
             int64_t time_us)
{
  const struct rec_lease record = { .incarnation = 100 + offset,
                                    .nonce = 1,
                                    .fence = fence,
                                    .after = offset,
                                    .holder = (char *)"other",
                                    .duration_us = 15 * S_US,
                                    .operation = operation };
  GBytes *bytes = rec_pack_lease (&record);
  lse_log_record (lse, offset, LOG_CLOCK_US + time_us, bytes, time_us);
  lse_log_position (lse, 10, offset + 1, time_us);
  g_bytes_unref (bytes);
}

/* A reader that starts late can't know which acquisitions took effect.  Here
   the first one did not, since a lease that the reader missed was in force
   until 13 s.  The reader must not acquire the lease before every lease that
   it may have missed has expired.  */
static void
late_reader_waits_before_acquiring (void **state)
{
  (void)state;
  const struct lse_params params = lse_params_default (1, "entry");
  struct lse *lse = lse_create (&params);
  struct act_list *actions = act_list_create ();
  pass_record (lse, 10, REC_LEASE_ACQUIRE, 0, S_US / 10);
  pass_record (lse, 11, REC_LEASE_ACQUIRE, 0, 14 * S_US);
  int64_t until_us = 45 * S_US;
  for (int64_t now_us = 14 * S_US; now_us < until_us; now_us += STEP_US)
    {
      lse_log_position (lse, 10, 12, now_us);
      lse_tick (lse, now_us, actions);
      assert_int_equal (act_list_length (actions), 0);
    }
  lse_log_position (lse, 10, 12, until_us + S_US);
  lse_tick (lse, until_us + S_US, actions);
  assert_int_equal (act_list_length (actions), 1);
  act_list_destroy (actions);
  lse_destroy (lse);
}

/* A reader that starts late and accepts an acquisition that had no effect has
   to learn of the lease in force from its renewals, although that lease has a
   lower fencing token.  */
static void
late_reader_learns_lease_from_renewals (void **state)
{
  (void)state;
  const struct lse_params params = lse_params_default (1, "entry");
  struct lse *lse = lse_create (&params);
  struct act_list *actions = act_list_create ();
  pass_record (lse, 10, REC_LEASE_ACQUIRE, 0, S_US / 10);
  int64_t now_us = S_US / 10;
  for (uint64_t offset = 11; offset < 50; offset++)
    {
      pass_record (lse, offset, REC_LEASE_RENEW, 3, now_us);
      for (int64_t end_us = now_us + 5 * S_US; now_us < end_us;
           now_us += STEP_US)
        {
          lse_log_position (lse, 10, offset + 1, now_us);
          lse_tick (lse, now_us, actions);
          assert_int_equal (act_list_length (actions), 0);
        }
    }
  act_list_destroy (actions);
  lse_destroy (lse);
}

/* When two daemons acquire the lease at once, the first one in the log holds
   it.  */
static void
concurrent_acquisitions (void **state)
{
  (void)state;
  struct fleet *fleet = fleet_create ();
  lse_set_rank (fleet->nodes[1].lse, 0);
  run_fleet (fleet, 60 * S_US);
  assert_int_equal (fleet->holder, 0);
  assert_int_equal (fleet->holder_changes, 0);
  fleet_destroy (fleet);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (lease_scenarios),
    cmocka_unit_test (random_schedules),
    cmocka_unit_test (regression_schedules),
    cmocka_unit_test (late_reader_waits_before_acquiring),
    cmocka_unit_test (late_reader_learns_lease_from_renewals),
    cmocka_unit_test (concurrent_acquisitions),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
