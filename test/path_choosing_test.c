/* Tests of the choice of paths by the load that other daemons state. */
#include "entry/path_choosing.h"

#include "base/clock.h"
#include "entry/entry_metrics.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define S INT64_C (1000000)
#define CHOICES 400
#define SLOTS 100

/* Engines "a" and "b" hold the first half of the model, "c" and "d" the
   second. */
static const struct
{
  const char *id;
  struct rst_layers layers;
} engines[] = {
  { "a", { 0, 4 } },
  { "b", { 0, 4 } },
  { "c", { 4, 8 } },
  { "d", { 4, 8 } },
};

struct fixture
{
  struct vdt_verdicts *verdicts;
  struct cnt_set *series;
  struct emt_metrics *metrics;
  struct fst_fleet *fleet;
  struct flt_config *config;
  bool known;            /* the source states loads */
  uint32_t requests[2];  /* at "a" and "b" */
  uint32_t waiting[2];   /* of these, with rank 0 */
  double arrivals_per_s; /* with rank 0 */
};

static bool
state_load (void *context, const struct fst_endpoint *engine, int64_t now_us,
            struct flo_total *load)
{
  const struct fixture *fixture = context;
  (void)now_us;
  uint32_t index = engine->id[0] == 'a' ? 0 : 1;
  *load = (struct flo_total){
    .requests = fixture->requests[index],
    .waiting = { fixture->waiting[index] },
    .daemons = 70,
    .age_us = 0,
  };
  return fixture->known;
}

static bool
state_rates (void *context, double per_s[FLT_RANKS_MAX])
{
  const struct fixture *fixture = context;
  per_s[0] = fixture->arrivals_per_s;
  return fixture->known;
}

static void
set_view (struct fixture *fixture, bool crowded)
{
  GPtrArray *list
      = g_ptr_array_new_with_free_func ((GDestroyNotify)rst_endpoint_destroy);
  for (size_t i = 0; i < G_N_ELEMENTS (engines); i++)
    {
      struct rst_endpoint *endpoint = g_new0 (struct rst_endpoint, 1);
      endpoint->id = g_strdup (engines[i].id);
      endpoint->service = g_strdup ("draft");
      endpoint->address = g_strdup_printf ("127.0.0.1:%zu", 9000 + i);
      endpoint->data_centre = g_strdup ("east");
      endpoint->kind = g_strdup ("small");
      endpoint->slots = SLOTS;
      endpoint->started_ms = 1;
      endpoint->layers = engines[i].layers;
      g_ptr_array_add (list, endpoint);
    }
  struct fvw_view *view = fvw_view_create (fixture->config, list, 1, 1);
  view->crowded = crowded;
  fst_set_view (fixture->fleet, view);
}

static void
open_fixture (struct fixture *fixture)
{
  const struct rbg_params budget = { .ratio = 0.2, .window_us = S };
  *fixture = (struct fixture){ .known = true };
  fixture->config = flt_create (0, 1, 0);
  struct flt_service *draft = &fixture->config->services[0];
  draft->name = g_strdup ("draft");
  draft->has_engine = true;
  draft->engine.layers = 8;
  draft->engine.step_ms = 1;
  draft->engine.slots = SLOTS;
  draft->engine.layer_mb = 1;
  draft->engine.cache_token_bytes = 1;
  draft->engine.usual_prompt_tokens = 100;
  draft->engine.usual_answer_tokens = 1000;
  draft->engine.kind_count = 1;
  draft->engine.kinds[0] = (struct flt_kind){
    .name = g_strdup ("small"),
    .memory_mb = 1000,
    .step_factor = 1,
    .prefill_factor = 1,
  };
  flt_index (fixture->config);
  fixture->series = cnt_set_create ();
  fixture->metrics = emt_create (fixture->series);
  fixture->verdicts = vdt_create ();
  fixture->fleet = fst_create ("east", &budget, fixture->verdicts);
  const struct pcs_source source
      = { .load = state_load, .rates = state_rates, .context = fixture };
  pcs_set_source (fixture->fleet, &source);
}

static void
close_fixture (struct fixture *fixture)
{
  fst_destroy (fixture->fleet);
  flt_release (fixture->config);
  vdt_destroy (fixture->verdicts);
  emt_destroy (fixture->metrics);
  cnt_set_destroy (fixture->series);
}

/* Returns the share of the paths chosen for REQUEST at NOW_US that begin at
   "a".  Fails unless all choices are BY_LOAD and REFUSED as expected.  */
static double
count_first (struct fixture *fixture, const struct pcs_request *request,
             int64_t now_us, bool by_load, bool refused)
{
  double first = 0;
  for (uint32_t n = 0; n < CHOICES; n++)
    {
      struct pcs_result result;
      struct fst_path *path = pcs_choose (fixture->fleet, fixture->metrics,
                                          request, now_us, &result);
      assert_non_null (path);
      assert_int_equal (result.by_load, by_load);
      assert_int_equal (result.excess_us > 0, refused);
      if (path != NULL)
        {
          first += path->parts[0]->id[0] == 'a';
          fst_release_path (path);
        }
    }
  return first / CHOICES;
}

struct load_case
{
  const char *name;
  bool crowded;
  bool known;
  uint32_t requests[2];
  uint32_t waiting[2];
  double arrivals_per_s;
  uint32_t rank;
  bool is_resumed;
  bool came_back;
  bool by_load;
  bool refused;
  double share_least; /* of the choices that begin at "a" */
  double share_most;
};

static const struct load_case load_cases[] = {
  { "equal loads",
    true,
    true,
    { 50, 50 },
    { 0 },
    0,
    0,
    false,
    false,
    true,
    false,
    0.4,
    0.6 },
  { "one is full",
    true,
    true,
    { 100, 50 },
    { 0 },
    0,
    0,
    false,
    false,
    true,
    false,
    0,
    0.05 },
  { "not crowded",
    false,
    true,
    { 100, 0 },
    { 0 },
    0,
    0,
    false,
    false,
    false,
    false,
    0.3,
    0.7 },
  { "nothing known",
    true,
    false,
    { 100, 0 },
    { 0 },
    0,
    0,
    false,
    false,
    false,
    false,
    0.3,
    0.7 },
  { "long queues",
    true,
    true,
    { 180, 190 },
    { 80, 90 },
    0,
    0,
    false,
    false,
    true,
    true,
    1,
    1 },
  { "begun streams at long queues",
    true,
    true,
    { 180, 190 },
    { 80, 90 },
    0,
    0,
    true,
    false,
    true,
    false,
    0.3,
    0.7 },
  { "reserved",
    true,
    true,
    { 98, 98 },
    { 0 },
    30,
    1,
    false,
    false,
    true,
    true,
    0,
    1 },
  { "reserved, came back",
    true,
    true,
    { 98, 98 },
    { 0 },
    30,
    1,
    false,
    true,
    true,
    false,
    0.4,
    0.6 },
};

/* Guards against a daemon that goes on to use its own streams alone in a
   crowded fleet, uses stated loads elsewhere, or refuses what it mustn't.  */
static void
choice_follows_stated_load (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (load_cases); i++)
    {
      const struct load_case *c = &load_cases[i];
      struct fixture fixture;
      open_fixture (&fixture);
      set_view (&fixture, c->crowded);
      fixture.known = c->known;
      memcpy (fixture.requests, c->requests, sizeof fixture.requests);
      memcpy (fixture.waiting, c->waiting, sizeof fixture.waiting);
      fixture.arrivals_per_s = c->arrivals_per_s;
      const struct pcs_request request = {
        .id = "r",
        .tokens = 100,
        .target_us = S / 2,
        .target_gap_us = S / 4,
        .rank = c->rank,
        .is_resumed = c->is_resumed,
        .came_back = c->came_back,
      };
      print_message ("case: %s\n", c->name);
      double share
          = count_first (&fixture, &request, S, c->by_load, c->refused);
      assert_true (share >= c->share_least && share <= c->share_most);
      close_fixture (&fixture);
    }
}

/* An engine whose streams have shown long intervals gets fewer, until that is
   long ago.  Guards against weights by the stated speed alone.  */
static void
choice_follows_own_intervals (void **state)
{
  (void)state;
  static const struct
  {
    int64_t age_us;
    double share_least;
    double share_most;
  } cases[] = { { 0, 0, 0.2 }, { 60 * S, 0.4, 0.6 } };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture;
      open_fixture (&fixture);
      set_view (&fixture, true);
      pcs_observe_interval (fixture.fleet, fst_find_id (fixture.fleet, "a"),
                            240000, S);
      pcs_observe_interval (fixture.fleet, fst_find_id (fixture.fleet, "b"),
                            20000, S + cases[i].age_us);
      for (uint32_t n = 0; n < 40; n++)
        {
          pcs_observe_interval (fixture.fleet,
                                fst_find_id (fixture.fleet, "b"), 20000,
                                S + cases[i].age_us);
        }
      const struct pcs_request request
          = { .id = "r", .target_us = S / 2, .target_gap_us = S / 4 };
      double share
          = count_first (&fixture, &request, S + cases[i].age_us, true, false);
      assert_true (share >= cases[i].share_least
                   && share <= cases[i].share_most);
      close_fixture (&fixture);
    }
}

/* Guards against waits that are counted under another rank than they were
   begun with, or for good.  */
static void
waits_are_counted_by_rank (void **state)
{
  (void)state;
  struct fst_endpoint *engine = fst_create_peer ("127.0.0.1:1");
  uint32_t waiting[FLT_RANKS_MAX];
  pcs_begin_wait (engine, 0);
  pcs_begin_wait (engine, 2);
  pcs_begin_wait (engine, 99);
  pcs_end_wait (engine, 0);
  pcs_count_waiting (engine, waiting);
  assert_int_equal (waiting[0], 0);
  assert_int_equal (waiting[2], 1);
  assert_int_equal (waiting[FLT_RANKS_MAX - 1], 1);
  pcs_end_wait (engine, 99);
  pcs_count_waiting (engine, waiting);
  assert_int_equal (waiting[FLT_RANKS_MAX - 1], 0);
  fst_release (engine);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (choice_follows_stated_load),
    cmocka_unit_test (choice_follows_own_intervals),
    cmocka_unit_test (waits_are_counted_by_rank),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
