/* Randomised tests of the claims state machine: callers repeat calls against
   simulated daemons while random faults start and end.  No call may run twice,
   and every final answer has to be true. */
#include "schedule.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define SCHEDULES 200
#define NODES 4
#define CALLERS 6
#define ROUNDS 60
#define ROUND_US INT64_C (400000)
#define RECOVERY_US (INT64_C (30) * SCH_S_US)
#define LIFETIME_US (INT64_C (3600) * SCH_S_US)
#define SHORT_LIFETIME_US (INT64_C (10) * SCH_S_US)
#define ATTEMPTS_MAX 8
#define KEYS_MAX 512
/* Maximum delay between the start of a call and its send: queue_wait_us,
   read_back_wait_us and dispatch_window_us.  A call whose caller closed its
   connection may still be sent within this time.  */
#define SEND_DELAY_MAX_US (INT64_C (10) * SCH_S_US + 10 * SCH_STEP_US)
#define NO_CALL UINT32_MAX

/* A caller repeats the call of one key until it gets a final answer, and then
   uses the next key.  */
struct caller
{
  uint32_t key;
  uint32_t call; /* in progress, or NO_CALL */
  uint32_t attempts;
};

/* What the answers to the calls of a key say.  */
struct key_knowledge
{
  bool answered;    /* at least one call has ended */
  enum err_ran ran; /* latest answer; ERR_RAN_UNKNOWN if it was lost */
  int64_t abandoned_call_us; /* start of the latest call whose caller closed
                                its connection; 0: none */
};

/* Callers and the daemons that they call. */
struct simulation
{
  struct sch *sch;
  struct caller callers[CALLERS];
  struct key_knowledge keys[KEYS_MAX];
  uint32_t key_count;
  int64_t paused_us[NODES]; /* not used */
};

static const char *
account_of (uint32_t key)
{
  return key % 2 == 0 ? "acme" : "globex";
}

static void
key_name (uint32_t key, char *name, size_t size)
{
  g_snprintf (name, size, "key-%u", key);
}

/* Returns a random daemon that is alive and not paused, or NODES when there is
   none.  */
static uint32_t
pick_node (struct sch *sch)
{
  uint32_t start = sch_random (sch, NODES);
  for (uint32_t i = 0; i < NODES; i++)
    {
      uint32_t node = (start + i) % NODES;
      if (sch->nodes[node].clm != NULL && !sch->nodes[node].paused)
        {
          return node;
        }
    }
  return NODES;
}

static void
start_call (struct simulation *sim, struct caller *caller)
{
  struct sch *sch = sim->sch;
  uint32_t node = pick_node (sch);
  if (node == NODES)
    {
      return;
    }
  char name[16];
  key_name (caller->key, name, sizeof name);
  caller->attempts++;
  caller->call = sch_call (sch, node, account_of (caller->key), name, 1);
}

/* Records the end of CALLER's call, if it has ended, and decides whether
   CALLER repeats the call or uses the next key.  */
static void
take_answer (struct simulation *sim, struct caller *caller)
{
  const struct sch_call *call = sch_get (sim->sch, caller->call);
  if (call->pending)
    {
      return;
    }
  struct key_knowledge *known = &sim->keys[caller->key];
  known->answered = true;
  known->ran = call->connection_lost ? ERR_RAN_UNKNOWN : call->ran;
  if (known->ran == ERR_RAN_NO && known->abandoned_call_us > 0
      && call->answered_us < known->abandoned_call_us + SEND_DELAY_MAX_US)
    {
      known->ran = ERR_RAN_UNKNOWN;
    }
  caller->call = NO_CALL;
  if (known->ran == ERR_RAN_YES || caller->attempts >= ATTEMPTS_MAX
      || (known->ran == ERR_RAN_NO && sch_random (sim->sch, 3) == 0))
    {
      caller->key = sim->key_count++;
      caller->attempts = 0;
      g_assert (sim->key_count <= KEYS_MAX);
    }
}

static void
step_callers (struct simulation *sim, bool start_calls)
{
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      struct caller *caller = &sim->callers[i];
      if (caller->call != NO_CALL && sch_random (sim->sch, 100) < 3)
        {
          const struct sch_call *call = sch_get (sim->sch, caller->call);
          sim->keys[caller->key].abandoned_call_us = call->started_us;
          sch_caller_gone (sim->sch, caller->call);
        }
      if (caller->call != NO_CALL)
        {
          take_answer (sim, caller);
        }
      if (caller->call == NO_CALL && start_calls)
        {
          start_call (sim, caller);
        }
    }
}

static void
pause_or_resume (struct simulation *sim, uint32_t index)
{
  struct sch_node *node = &sim->sch->nodes[index];
  node->paused = node->clm != NULL && !node->paused;
}

static void
kill_or_start (struct simulation *sim, uint32_t index)
{
  if (sim->sch->nodes[index].clm != NULL)
    {
      sch_kill (sim->sch, index);
    }
  else
    {
      sch_start (sim->sch, index);
    }
}

/* Starts or ends one random fault.  */
static void
toggle_fault (struct simulation *sim)
{
  struct sch *sch = sim->sch;
  uint32_t node = sch_random (sch, NODES);
  switch (sch_random (sch, 8))
    {
    case 0:
      kill_or_start (sim, node);
      break;
    case 1:
    case 2:
      pause_or_resume (sim, node);
      break;
    case 3:
      sch->nodes[node].disconnected = !sch->nodes[node].disconnected;
      break;
    case 4:
      sch->log_down = !sch->log_down;
      break;
    case 5:
      sch->append_fault_percent = sch_random (sch, 2) * 40;
      break;
    case 6:
      sch->service_fault_percent = sch_random (sch, 2) * 50;
      break;
    case 7:
      sch->dispatch_delay_us = sch_random (sch, 300) * INT64_C (1000);
      sch->reads_per_step = 1 + sch_random (sch, 4);
      break;
    default:
      fail ();
    }
}

static void
end_faults (struct sch *sch)
{
  sch->log_down = false;
  sch->append_fault_percent = 0;
  sch->service_fault_percent = 0;
  sch->reads_per_step = 64;
  for (uint32_t i = 0; i < NODES; i++)
    {
      sch->nodes[i].paused = false;
      sch->nodes[i].disconnected = false;
      if (sch->nodes[i].clm == NULL)
        {
          sch_start (sch, i);
        }
    }
}

/* Checks that no key ran twice, and that each ran or did not run as the latest
   answer to its caller says.  */
static void
check_keys (const struct simulation *sim)
{
  for (uint32_t i = 0; i < sim->key_count; i++)
    {
      char name[16];
      key_name (i, name, sizeof name);
      uint32_t effects = sch_effects (sim->sch, account_of (i), name);
      const struct key_knowledge *known = &sim->keys[i];
      assert_in_range (effects, 0, 1);
      if (known->answered && known->ran == ERR_RAN_NO)
        {
          assert_int_equal (effects, 0);
        }
      if (known->answered && known->ran == ERR_RAN_YES)
        {
          assert_int_equal (effects, 1);
        }
    }
}

/* Checks that every call whose connection was kept got exactly one answer, and
   that no daemon has a claim in progress.  */
static void
check_calls (const struct simulation *sim)
{
  const struct sch *sch = sim->sch;
  for (guint i = 0; i < sch->calls->len; i++)
    {
      const struct sch_call *call = sch_get (sch, i);
      assert_false (call->pending);
      if (!call->connection_lost)
        {
          assert_int_equal (call->answers, 1);
        }
    }
  for (uint32_t i = 0; i < NODES; i++)
    {
      assert_int_equal (clm_stats (sch->nodes[i].clm).active, 0);
      assert_int_equal (clm_stats (sch->nodes[i].clm).conflicts, 0);
      assert_true (clm_ready (sch->nodes[i].clm, sch->now_us));
    }
}

/* Checks that all daemons have the same state of every key.  */
static void
check_same_state (const struct simulation *sim)
{
  struct sch *sch = sim->sch;
  for (uint32_t key = 0; key < sim->key_count; key++)
    {
      char name[16];
      key_name (key, name, sizeof name);
      struct clm_info first = clm_lookup (sch->nodes[0].clm, account_of (key),
                                          name, sch->now_us);
      for (uint32_t i = 1; i < NODES; i++)
        {
          struct clm_info other = clm_lookup (
              sch->nodes[i].clm, account_of (key), name, sch->now_us);
          assert_int_equal (first.kind, other.kind);
          assert_int_equal (first.ran, other.ran);
        }
    }
}

/* Runs callers against daemons with random faults, ends the faults, and checks
   the results after a recovery time.  */
static void
run_schedule (uint64_t seed, int64_t lifetime_us)
{
  struct simulation sim = { .sch = sch_create (seed, NODES, lifetime_us) };
  sim.sch->log_retention_us = 3 * lifetime_us;
  sch_run (sim.sch, SCH_S_US);
  for (uint32_t i = 0; i < CALLERS; i++)
    {
      sim.callers[i]
          = (struct caller){ .key = sim.key_count++, .call = NO_CALL };
    }
  for (uint32_t round = 0; round < ROUNDS; round++)
    {
      toggle_fault (&sim);
      sch_run (sim.sch, ROUND_US / 2);
      step_callers (&sim, true);
      sch_run (sim.sch, ROUND_US / 2);
      step_callers (&sim, true);
    }
  end_faults (sim.sch);
  for (uint32_t i = 0; i < 10; i++)
    {
      sch_run (sim.sch, RECOVERY_US / 10);
      step_callers (&sim, false);
    }
  check_keys (&sim);
  check_calls (&sim);
  check_same_state (&sim);
  sch_destroy (sim.sch);
}

/* Seeds above SCHEDULES that have failed before.  */
static const uint64_t regression_seeds[] = { 2661 };

static void
regression_schedules (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof regression_seeds / sizeof regression_seeds[0];
       i++)
    {
      run_schedule (regression_seeds[i], LIFETIME_US);
    }
}

static void
random_schedules (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= SCHEDULES; seed++)
    {
      print_message ("seed %u\n", (unsigned)seed);
      run_schedule (seed, seed % 2 == 0 ? LIFETIME_US : SHORT_LIFETIME_US);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (random_schedules),
    cmocka_unit_test (regression_schedules),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
