/* Tests of the orders state machine against simulated engines. */
#include "core/orders.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Steps set only the operands that they use.  */
#pragma GCC diagnostic ignored "-Wmissing-field-initializers"

#define HOSTS 4
#define S_US INT64_C (1000000)
#define STEP_US INT64_C (100000)
#define REPORT_STEPS 10
#define LOAD_US (3 * S_US)
#define WANTED_MAX 16
#define STEPS_MAX 24

struct engine
{
  GArray *held;  /* struct ord_held_range */
  GArray *since; /* int64_t: when each load began, in the order of held */
  bool silent;   /* sends no reports */
  bool leaving;
};

/* The state machine under test, engines that carry out its orders, and the
   orders seen so far. */

struct fixture
{
  struct ord *ord;
  struct act_list *actions;
  struct engine engines[HOSTS];
  struct ord_range wanted[WANTED_MAX];
  uint32_t wanted_count;
  int64_t now_us;
  uint32_t step;
  bool lease;
  uint64_t fence;
  bool lose_orders;
  bool refuse_orders;
  uint32_t layers_kept_ready; /* layers 0 to this one less 1 have to be ready
                                 at every step */
  uint32_t loads;
  uint32_t unloads;
  int64_t last_load_us;
};

enum op
{
  END,
  START_WITH,     /* host, first, end: ready there from the start */
  WANT,           /* host, first, end: added to the wanted placement */
  WANT_NOTHING,   /* empties the wanted placement */
  LEASE,          /* fencing token; 0: the lease is lost */
  RUN,            /* ms */
  KEEP_READY,     /* layers that have to be ready at every step */
  LATE_LOAD,      /* host, first, end: executes another daemon's late order */
  LATE_UNLOAD,    /* host, first, end: executes another daemon's late order */
  LOSE_ORDERS,    /* true or false */
  REFUSE_ORDERS,  /* true or false */
  STOP_REPORTS,   /* host */
  RESUME_REPORTS, /* host */
  LEAVE,          /* host */
  HOLDS,          /* host, first, end */
  LACKS,          /* host, first, end */
  LOADS,          /* minimum and maximum of orders so far */
  UNLOADS,        /* minimum and maximum of orders so far */
  BLOCKED,        /* number of unloads */
  LOST_RANGES     /* number */
};

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
  { "loads are rate-limited",
    { { WANT, 0, 0, 8 },
      { WANT, 1, 8, 16 },
      { WANT, 2, 0, 8 },
      { WANT, 3, 8, 16 },
      { LEASE, 7 },
      { RUN, 3500 },
      { LOADS, 1, 1 },
      { RUN, 2000 },
      { LOADS, 2, 2 },
      { RUN, 20000 },
      { LOADS, 4, 4 },
      { HOLDS, 0, 0, 8 },
      { HOLDS, 3, 8, 16 } } },
  { "a daemon without the lease gives no orders",
    { { WANT, 0, 0, 8 }, { RUN, 20000 }, { LOADS, 0, 0 } } },
  { "no orders are given before the wanted placement is set",
    { { START_WITH, 0, 0, 8 },
      { LEASE, 7 },
      { RUN, 20000 },
      { UNLOADS, 0, 0 } } },
  { "no orders are given after the lease is lost",
    { { WANT, 0, 0, 8 },
      { LEASE, 7 },
      { RUN, 1000 },
      { LEASE, 0 },
      { RUN, 20000 },
      { LOADS, 0, 0 },
      { LEASE, 8 },
      { RUN, 20000 },
      { LOADS, 1, 1 } } },
  { "the last copy is not unloaded before its replacement is ready",
    { { START_WITH, 0, 0, 16 },
      { KEEP_READY, 16 },
      { WANT, 1, 0, 8 },
      { WANT, 2, 8, 16 },
      { LEASE, 7 },
      { RUN, 6000 },
      { UNLOADS, 0, 0 },
      { BLOCKED, 1 },
      { HOLDS, 0, 0, 16 },
      { RUN, 20000 },
      { LACKS, 0, 0, 16 },
      { HOLDS, 1, 0, 8 },
      { HOLDS, 2, 8, 16 } } },
  { "a copy on an engine that has never reported is no replacement",
    { { START_WITH, 0, 0, 16 },
      { START_WITH, 1, 0, 16 },
      { KEEP_READY, 16 },
      { WANT, 1, 0, 16 },
      { STOP_REPORTS, 1 },
      { LEASE, 7 },
      { RUN, 30000 },
      { UNLOADS, 0, 0 },
      { RESUME_REPORTS, 1 },
      { RUN, 5000 },
      { UNLOADS, 1, 1 } } },
  { "a copy on an engine that stopped reporting is no replacement",
    { { START_WITH, 0, 0, 16 },
      { START_WITH, 1, 0, 16 },
      { KEEP_READY, 16 },
      { WANT, 0, 0, 16 },
      { WANT, 1, 0, 16 },
      { LEASE, 7 },
      { RUN, 5000 },
      { STOP_REPORTS, 1 },
      { RUN, 15000 },
      { WANT_NOTHING },
      { WANT, 1, 0, 16 },
      { RUN, 20000 },
      { UNLOADS, 0, 0 },
      { RESUME_REPORTS, 1 },
      { RUN, 5000 },
      { UNLOADS, 1, 1 } } },
  { "a copy on an engine that is leaving is no replacement",
    { { START_WITH, 0, 0, 16 },
      { START_WITH, 1, 0, 16 },
      { WANT, 1, 0, 16 },
      { LEAVE, 1 },
      { LEASE, 7 },
      { RUN, 30000 },
      { UNLOADS, 0, 0 },
      { LOADS, 0, 0 } } },
  { "a host that is leaving gets no orders",
    { { START_WITH, 0, 0, 16 },
      { START_WITH, 1, 0, 16 },
      { WANT, 1, 0, 16 },
      { WANT, 0, 16, 32 },
      { LEAVE, 0 },
      { LEASE, 7 },
      { RUN, 30000 },
      { UNLOADS, 0, 0 },
      { LOADS, 0, 0 } } },
  { "a late unload order of a former lease holder is corrected",
    { { START_WITH, 0, 0, 8 },
      { WANT, 0, 0, 8 },
      { LEASE, 7 },
      { RUN, 5000 },
      { LOADS, 0, 0 },
      { LATE_UNLOAD, 0, 0, 8 },
      { RUN, 10000 },
      { LOADS, 1, 1 },
      { LOST_RANGES, 1 },
      { HOLDS, 0, 0, 8 } } },
  { "a late load order of a former lease holder is corrected",
    { { START_WITH, 0, 0, 8 },
      { WANT, 0, 0, 8 },
      { KEEP_READY, 8 },
      { LEASE, 7 },
      { RUN, 5000 },
      { LATE_LOAD, 1, 0, 8 },
      { RUN, 10000 },
      { UNLOADS, 1, 1 },
      { LACKS, 1, 0, 8 },
      { HOLDS, 0, 0, 8 } } },
  { "a model that is no longer wanted is unloaded",
    { { START_WITH, 0, 0, 8 },
      { START_WITH, 1, 8, 16 },
      { WANT_NOTHING },
      { LEASE, 7 },
      { RUN, 5000 },
      { UNLOADS, 2, 2 } } },
  { "an order that was lost is sent again",
    { { WANT, 0, 0, 8 },
      { LOSE_ORDERS, true },
      { LEASE, 7 },
      { RUN, 5000 },
      { LOADS, 1, 1 },
      { LOSE_ORDERS, false },
      { RUN, 20000 },
      { LOADS, 2, 2 },
      { HOLDS, 0, 0, 8 } } },
  { "an order that was refused is retried after a pause",
    { { WANT, 0, 0, 8 },
      { REFUSE_ORDERS, true },
      { LEASE, 7 },
      { RUN, 20000 },
      { LOADS, 3, 4 },
      { REFUSE_ORDERS, false },
      { RUN, 20000 },
      { HOLDS, 0, 0, 8 } } },
  { "a new holder waits for reports made under its lease",
    { { WANT, 0, 0, 8 },
      { LEASE, 7 },
      { RUN, 3000 },
      { LOADS, 1, 1 },
      { LEASE, 9 },
      { RUN, 1500 },
      { LOADS, 1, 1 },
      { RUN, 20000 },
      { LOADS, 1, 1 },
      { HOLDS, 0, 0, 8 } } },
};

static struct fixture *
fixture_create (void)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  const struct ord_params params = ord_params_default ();
  fixture->ord = ord_create (&params);
  fixture->actions = act_list_create ();
  fixture->now_us = 100 * S_US;
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      fixture->engines[i].held
          = g_array_new (FALSE, FALSE, sizeof (struct ord_held_range));
      fixture->engines[i].since = g_array_new (FALSE, FALSE, sizeof (int64_t));
    }
  return fixture;
}

static void
fixture_destroy (struct fixture *fixture)
{
  ord_destroy (fixture->ord);
  act_list_destroy (fixture->actions);
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      g_array_free (fixture->engines[i].held, TRUE);
      g_array_free (fixture->engines[i].since, TRUE);
    }
  g_free (fixture);
}

static int
find_range (const struct engine *engine, uint32_t first, uint32_t end)
{
  for (guint i = 0; i < engine->held->len; i++)
    {
      const struct ord_held_range *held
          = &g_array_index (engine->held, struct ord_held_range, i);
      if (held->range.first == first && held->range.end == end)
        {
          return (int)i;
        }
    }
  return -1;
}

static void
load (struct fixture *fixture, uint32_t host, uint32_t first, uint32_t end,
      bool ready)
{
  struct engine *engine = &fixture->engines[host];
  if (find_range (engine, first, end) >= 0)
    {
      return;
    }
  struct ord_held_range held = { { host, 0, first, end }, ready };
  g_array_append_val (engine->held, held);
  g_array_append_val (engine->since, fixture->now_us);
}

static void
unload (struct fixture *fixture, uint32_t host, uint32_t first, uint32_t end)
{
  struct engine *engine = &fixture->engines[host];
  int index = find_range (engine, first, end);
  if (index >= 0)
    {
      g_array_remove_index (engine->held, (guint)index);
      g_array_remove_index (engine->since, (guint)index);
    }
}

/* Checks ORDER, and executes it unless orders are to be lost or refused.  */
static void
take_order (struct fixture *fixture, const struct act_order *order)
{
  assert_true (fixture->lease);
  assert_int_equal (order->fence, fixture->fence);
  bool is_load = order->verb == ACT_ORDER_LOAD;
  if (is_load)
    {
      assert_true (fixture->loads == 0
                   || fixture->now_us - fixture->last_load_us >= 2 * S_US);
      fixture->last_load_us = fixture->now_us;
    }
  fixture->loads += is_load ? 1 : 0;
  fixture->unloads += is_load ? 0 : 1;
  if (fixture->lose_orders)
    {
      return;
    }
  if (fixture->refuse_orders)
    {
      ord_refused (fixture->ord, order, fixture->now_us);
    }
  else if (is_load)
    {
      load (fixture, order->host, order->first, order->end, false);
    }
  else
    {
      unload (fixture, order->host, order->first, order->end);
    }
}

/* Finishes the loads of HOST that are due, and sends its report when it is its
   turn.  */
static void
report (struct fixture *fixture, uint32_t host)
{
  struct engine *engine = &fixture->engines[host];
  for (guint i = 0; i < engine->held->len; i++)
    {
      struct ord_held_range *held
          = &g_array_index (engine->held, struct ord_held_range, i);
      int64_t since_us = g_array_index (engine->since, int64_t, i);
      held->ready = held->ready || fixture->now_us - since_us >= LOAD_US;
    }
  if (!engine->silent && fixture->step % REPORT_STEPS == host)
    {
      ord_report (fixture->ord, host,
                  (const struct ord_held_range *)engine->held->data,
                  engine->held->len, !engine->leaving, fixture->now_us);
    }
}

static bool
layer_ready (const struct fixture *fixture, uint32_t layer)
{
  for (uint32_t i = 0; i < HOSTS; i++)
    {
      for (guint j = 0; j < fixture->engines[i].held->len; j++)
        {
          const struct ord_held_range *held = &g_array_index (
              fixture->engines[i].held, struct ord_held_range, j);
          if (held->ready && layer >= held->range.first
              && layer < held->range.end)
            {
              return true;
            }
        }
    }
  return false;
}

static void
run (struct fixture *fixture, int64_t duration_us)
{
  int64_t end_us = fixture->now_us + duration_us;
  while (fixture->now_us < end_us)
    {
      fixture->now_us += STEP_US;
      fixture->step++;
      for (uint32_t i = 0; i < HOSTS; i++)
        {
          report (fixture, i);
        }
      ord_set_lease (fixture->ord, fixture->lease, fixture->fence,
                     fixture->now_us);
      ord_tick (fixture->ord, fixture->now_us, fixture->actions);
      for (uint32_t i = 0; i < act_list_length (fixture->actions); i++)
        {
          const struct act *action = act_list_get (fixture->actions, i);
          assert_int_equal (action->kind, ACT_ORDER);
          take_order (fixture, &action->order);
        }
      act_list_clear (fixture->actions);
      for (uint32_t layer = 0; layer < fixture->layers_kept_ready; layer++)
        {
          assert_true (layer_ready (fixture, layer));
        }
    }
}

static void
want (struct fixture *fixture, const struct step *step)
{
  fixture->wanted[fixture->wanted_count++]
      = (struct ord_range){ step->a, 0, step->b, step->c };
  ord_set_wanted (fixture->ord, fixture->wanted, fixture->wanted_count);
}

static void
check_step (const struct fixture *fixture, const struct step *step)
{
  struct ord_stats stats = ord_stats (fixture->ord);
  switch (step->op)
    {
    case HOLDS:
    case LACKS:
      assert_int_equal (
          find_range (&fixture->engines[step->a], step->b, step->c) >= 0,
          step->op == HOLDS);
      break;
    case LOADS:
      assert_in_range (fixture->loads, step->a, step->b);
      break;
    case UNLOADS:
      assert_in_range (fixture->unloads, step->a, step->b);
      break;
    case BLOCKED:
      assert_int_equal (stats.unloads_blocked, step->a);
      break;
    case LOST_RANGES:
      assert_int_equal (stats.lost_ranges, step->a);
      break;
    default:
      fail ();
    }
}

static void
do_step (struct fixture *fixture, const struct step *step)
{
  struct engine *engine = &fixture->engines[step->a % HOSTS];
  switch (step->op)
    {
    case START_WITH:
      load (fixture, step->a, step->b, step->c, true);
      break;
    case LATE_LOAD:
      load (fixture, step->a, step->b, step->c, false);
      break;
    case LATE_UNLOAD:
      unload (fixture, step->a, step->b, step->c);
      break;
    case WANT:
      want (fixture, step);
      break;
    case WANT_NOTHING:
      fixture->wanted_count = 0;
      ord_set_wanted (fixture->ord, fixture->wanted, 0);
      break;
    case LEASE:
      fixture->lease = step->a > 0;
      fixture->fence = step->a;
      break;
    case RUN:
      run (fixture, step->a * INT64_C (1000));
      break;
    case KEEP_READY:
      fixture->layers_kept_ready = step->a;
      break;
    case LOSE_ORDERS:
      fixture->lose_orders = step->a;
      break;
    case REFUSE_ORDERS:
      fixture->refuse_orders = step->a;
      break;
    case STOP_REPORTS:
    case RESUME_REPORTS:
      engine->silent = step->op == STOP_REPORTS;
      break;
    case LEAVE:
      engine->leaving = true;
      break;
    default:
      check_step (fixture, step);
    }
}

static void
order_scenarios (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    {
      print_message ("scenario: %s\n", scenarios[i].name);
      struct fixture *fixture = fixture_create ();
      for (const struct step *step = scenarios[i].steps; step->op != END;
           step++)
        {
          do_step (fixture, step);
        }
      fixture_destroy (fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (order_scenarios),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
