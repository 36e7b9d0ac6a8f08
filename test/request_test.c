#include "core/load.h"
#include "core/request.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define LAYERS 6
#define ENGINES 4
#define DEADLINE_US INT64_C (60000000)

/* A fleet with two engines for each half of the model. */
struct fleet
{
  struct cfg_config *config;
  struct snap snap;
  struct snap_endpoint endpoints[ENGINES];
  struct ld_load loads[ENGINES];
  struct cfg_host hosts[ENGINES];
  struct cfg_model model;
};

static void
fleet_init (struct fleet *fleet)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->model = (struct cfg_model){ .name = "draft", .layers = LAYERS };
  fleet->config = cfg_config_create ();
  fleet->config->models = g_memdup2 (&fleet->model, sizeof fleet->model);
  fleet->config->model_count = 1;
  fleet->config->hosts = g_new0 (struct cfg_host, ENGINES);
  fleet->config->host_count = ENGINES;
  for (uint32_t i = 0; i < ENGINES; i++)
    {
      uint32_t first = i < 2 ? 0 : LAYERS / 2;
      g_snprintf (fleet->config->hosts[i].name, CFG_NAME_BYTES, "e%u", i);
      fleet->endpoints[i] = (struct snap_endpoint){
        .host = i,
        .takes_work = true,
        .ranges = { { .first = first, .end = first + LAYERS / 2 } },
        .range_count = 1,
        .link_delay_us = 50,
        .link_bytes_per_s = 1000000000,
        .load = &fleet->loads[i],
      };
    }
  fleet->snap = (struct snap){
    .config = fleet->config,
    .endpoints = fleet->endpoints,
    .endpoint_count = ENGINES,
    .daemons = 1,
  };
}

/* Starts a request for MAX_TOKENS and sets ACTION to the first action.  */
static struct req_machine *
start (struct fleet *fleet, uint32_t max_tokens, struct req_action *action)
{
  struct req_params params = {
    .prompt_positions = 4,
    .max_tokens = max_tokens,
    .seed = 7,
    .deadline_us = DEADLINE_US,
  };
  struct req_event event = { .kind = REQ_EVENT_START, .now_us = 1 };
  struct req_machine *machine = req_create (&params);
  req_feed (machine, &event, &fleet->snap, action);
  return machine;
}

/* Answers the step of ACTION and sets ACTION to the next one.  */
static void
answer_step (struct req_machine *machine, const struct snap *snap,
             uint32_t token, struct req_action *action)
{
  struct req_event event = {
    .kind = REQ_EVENT_STEP_DONE,
    .now_us = 10,
    .attempt = action->attempt,
    .step = action->step,
    .stage = action->stage,
    .activation = "00",
    .token = token,
  };
  req_feed (machine, &event, snap, action);
}

/* Fails the step of ACTION with ERROR and sets ACTION to the next one.  ALIVE
   tells whether the endpoint answers on another connection.  */
static void
fail_step (struct req_machine *machine, const struct snap *snap,
           enum err_kind error, bool alive, struct req_action *action)
{
  struct req_event event = {
    .kind = REQ_EVENT_STEP_FAILED,
    .now_us = 10,
    .attempt = action->attempt,
    .step = action->step,
    .stage = action->stage,
    .error = error,
    .endpoint_alive = alive,
    .retry_allowed = true,
  };
  req_feed (machine, &event, snap, action);
}

/* Every stage runs once for each token, in order.  */
static void
runs_each_stage_once_for_each_token (void **state)
{
  (void)state;
  struct fleet fleet;
  struct req_action action;
  fleet_init (&fleet);
  struct req_machine *machine = start (&fleet, 3, &action);
  for (uint32_t token = 0; token < 3; token++)
    {
      for (uint32_t stage = 0; stage < 2; stage++)
        {
          assert_int_equal (action.kind, REQ_ACTION_SEND_STEP);
          assert_int_equal (action.step, token);
          assert_int_equal (action.stage, stage);
          answer_step (machine, &fleet.snap, token + 100, &action);
          assert_int_equal (action.emit, stage == 1);
        }
    }
  assert_int_equal (action.kind, REQ_ACTION_FINISH);
  assert_int_equal (action.error, ERR_NONE);
  assert_int_equal (action.cancelled_count, 2);
  req_destroy (machine);
  cfg_config_destroy (fleet.config);
}

/* A failed step, and whether it is sent again to the same endpoint. */
struct failure_case
{
  const char *name;
  enum err_kind first;  /* error of the step */
  bool alive;           /* the endpoint answers on another connection */
  bool repeated;        /* expected: the step is sent on a new connection */
  enum err_kind second; /* error of the repeated step */
};

static const struct failure_case failure_cases[] = {
  { .name = "connection broke, step repeated",
    .first = ERR_ENDPOINT_FAILED,
    .alive = true,
    .repeated = true,
    .second = ERR_ENDPOINT_FAILED },
  { .name = "engine dead", .first = ERR_ENDPOINT_FAILED },
  { .name = "engine silent on all connections", .first = ERR_ENDPOINT_SILENT },
  { .name = "engine leaving", .first = ERR_ENDPOINT_REFUSED },
  { .name = "engine lost the stream", .first = ERR_OUT_OF_ORDER },
  { .name = "engine full", .first = ERR_NO_CAPACITY },
  { .name = "invalid answer", .first = ERR_PROTOCOL },
};

/* After a failure the stream continues after the last delivered token, as a
   new attempt over another engine.  */
static void
failure_moves_stream_to_another_chain (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (failure_cases); i++)
    {
      const struct failure_case *row = &failure_cases[i];
      struct fleet fleet;
      struct req_action action;
      fleet_init (&fleet);
      struct req_machine *machine = start (&fleet, 5, &action);
      answer_step (machine, &fleet.snap, 0, &action);
      answer_step (machine, &fleet.snap, 41, &action);
      assert_true (action.emit);
      struct ld_load *failed = req_stage (machine, 0)->load;
      fail_step (machine, &fleet.snap, row->first, row->alive, &action);
      if (row->repeated)
        {
          assert_int_equal (action.kind, REQ_ACTION_SEND_STEP);
          assert_true (action.new_connection);
          assert_int_equal (action.step, 1);
          assert_int_equal (action.attempt, 1);
          fail_step (machine, &fleet.snap, row->second, row->alive, &action);
        }
      assert_int_equal (action.kind, REQ_ACTION_SEND_STEP);
      assert_int_equal (action.attempt, 2);
      assert_int_equal (action.step, 0);
      assert_int_equal (action.cancel_attempt, 1);
      assert_int_equal (action.cancelled_count, 2);
      assert_ptr_not_equal (req_stage (machine, 0)->load, failed);
      uint32_t count;
      const uint32_t *tokens = req_tokens (machine, &count);
      assert_int_equal (count, 1);
      assert_int_equal (tokens[0], 41);
      req_destroy (machine);
      cfg_config_destroy (fleet.config);
    }
}

/* A step that a slow engine doesn't answer in time is sent to that engine
   again, since another engine would have to run all positions again.  The
   number of repeats is limited.  */
static void
step_is_repeated_at_a_slow_engine (void **state)
{
  (void)state;
  struct fleet fleet;
  struct req_action action;
  fleet_init (&fleet);
  struct req_machine *machine = start (&fleet, 5, &action);
  uint32_t timeouts = 0;
  while (action.attempt == 1)
    {
      struct req_event silent = {
        .kind = REQ_EVENT_STEP_FAILED,
        .now_us = 10,
        .attempt = action.attempt,
        .step = action.step,
        .stage = action.stage,
        .error = ERR_ENDPOINT_SILENT,
        .endpoint_alive = true,
        .retry_allowed = true,
      };
      req_feed (machine, &silent, &fleet.snap, &action);
      timeouts++;
    }
  assert_in_range (timeouts, 4, 20);
  assert_int_equal (action.step, 0);
  req_destroy (machine);
  cfg_config_destroy (fleet.config);
}

/* Answers to an earlier attempt are ignored.  */
static void
ignores_outdated_answers (void **state)
{
  (void)state;
  struct fleet fleet;
  struct req_action action;
  struct req_action outdated;
  fleet_init (&fleet);
  struct req_machine *machine = start (&fleet, 5, &action);
  struct req_action first = action;
  fail_step (machine, &fleet.snap, ERR_ENDPOINT_REFUSED, false, &action);
  assert_int_equal (action.attempt, 2);
  outdated = first;
  answer_step (machine, &fleet.snap, 7, &outdated);
  assert_int_equal (outdated.kind, REQ_ACTION_NONE);
  assert_false (outdated.emit);
  answer_step (machine, &fleet.snap, 7, &action);
  assert_int_equal (action.stage, 1);
  req_destroy (machine);
  cfg_config_destroy (fleet.config);
}

/* Without a chain, a request that hasn't delivered a token fails at once.  One
   that has waits for capacity, for a limited time.  */
static void
waits_for_capacity_only_with_tokens (void **state)
{
  (void)state;
  struct fleet fleet;
  struct req_action action;
  fleet_init (&fleet);
  fleet.endpoints[0].takes_work = false;
  fleet.endpoints[1].takes_work = false;
  struct req_machine *machine = start (&fleet, 5, &action);
  assert_int_equal (action.kind, REQ_ACTION_FINISH);
  assert_int_equal (action.error, ERR_NO_CAPACITY);
  req_destroy (machine);
  fleet.endpoints[0].takes_work = true;
  machine = start (&fleet, 5, &action);
  answer_step (machine, &fleet.snap, 0, &action);
  answer_step (machine, &fleet.snap, 1, &action);
  fleet.endpoints[0].takes_work = false;
  fail_step (machine, &fleet.snap, ERR_ENDPOINT_REFUSED, false, &action);
  int64_t now_us = 10;
  uint32_t waits = 0;
  while (action.kind == REQ_ACTION_WAIT)
    {
      now_us += action.wait_us;
      struct req_event waited = { .kind = REQ_EVENT_WAITED, .now_us = now_us };
      req_feed (machine, &waited, &fleet.snap, &action);
      waits++;
    }
  assert_in_range (waits, 2, 100);
  assert_int_equal (action.kind, REQ_ACTION_FINISH);
  assert_int_equal (action.error, ERR_NO_CAPACITY);
  req_destroy (machine);
  cfg_config_destroy (fleet.config);
}

static void
finishes_when_the_caller_disconnects (void **state)
{
  (void)state;
  struct fleet fleet;
  struct req_action action;
  fleet_init (&fleet);
  struct req_machine *machine = start (&fleet, 5, &action);
  struct req_event disconnected
      = { .kind = REQ_EVENT_CALLER_GONE, .now_us = 2 };
  req_feed (machine, &disconnected, &fleet.snap, &action);
  assert_int_equal (action.kind, REQ_ACTION_FINISH);
  assert_int_equal (action.error, ERR_CALLER_GONE);
  assert_int_equal (action.cancelled_count, 2);
  req_destroy (machine);
  cfg_config_destroy (fleet.config);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (runs_each_stage_once_for_each_token),
    cmocka_unit_test (failure_moves_stream_to_another_chain),
    cmocka_unit_test (step_is_repeated_at_a_slow_engine),
    cmocka_unit_test (ignores_outdated_answers),
    cmocka_unit_test (waits_for_capacity_only_with_tokens),
    cmocka_unit_test (finishes_when_the_caller_disconnects),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
