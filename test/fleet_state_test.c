/* Tests of the choice of endpoints and paths while some of them leave or want
   no requests.  */
#include "base/clock.h"
#include "core/turned_away.h"
#include "entry/announcement.h"
#include "entry/exchange_private.h"
#include "platform/headers.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define S INT64_C (1000000)

/* Engines "a" and "b" hold the first half of the model, "c" and "d" the
   second; "x" and "y" are plain services. */
static const struct
{
  const char *id;
  const char *service;
  struct rst_layers layers;
} endpoints[] = {
  { "a", "draft", { 0, 4 } }, { "b", "draft", { 0, 4 } },
  { "c", "draft", { 4, 8 } }, { "d", "draft", { 4, 8 } },
  { "x", "book", { 0, 0 } },  { "y", "book", { 0, 0 } },
};

struct fixture
{
  struct vdt_verdicts *verdicts;
  struct fst_fleet *fleet;
  struct flt_config *config;
};

/* Puts a view in force that names the endpoints whose ids are in IDS, started
   at BORN_MS.  */
static void
set_view (struct fixture *fixture, const char *ids, int64_t born_ms)
{
  GPtrArray *list
      = g_ptr_array_new_with_free_func ((GDestroyNotify)rst_endpoint_destroy);
  for (size_t i = 0; i < G_N_ELEMENTS (endpoints); i++)
    {
      if (strstr (ids, endpoints[i].id) == NULL)
        {
          continue;
        }
      struct rst_endpoint *endpoint = g_new0 (struct rst_endpoint, 1);
      endpoint->id = g_strdup (endpoints[i].id);
      endpoint->service = g_strdup (endpoints[i].service);
      endpoint->address = g_strdup_printf ("127.0.0.1:%zu", 9000 + i);
      endpoint->data_centre = g_strdup ("east");
      endpoint->kind = g_strdup ("small");
      endpoint->slots = 8;
      endpoint->started_ms = born_ms;
      endpoint->layers = endpoints[i].layers;
      g_ptr_array_add (list, endpoint);
    }
  fst_set_view (fixture->fleet, fvw_view_create (fixture->config, list, 1, 1));
}

static void
open_fixture (struct fixture *fixture)
{
  const struct rbg_params budget = { .ratio = 0.2, .window_us = S };
  fixture->config = flt_create (0, 2, 0);
  struct flt_service *draft = &fixture->config->services[0];
  draft->name = g_strdup ("draft");
  draft->has_engine = true;
  draft->engine.layers = 8;
  draft->engine.step_ms = 1;
  draft->engine.slots = 8;
  fixture->config->services[1].name = g_strdup ("book");
  flt_index (fixture->config);
  fixture->verdicts = vdt_create ();
  fixture->fleet = fst_create ("east", &budget, fixture->verdicts);
  set_view (fixture, "abcdxy", 1);
}

static void
close_fixture (struct fixture *fixture)
{
  fst_destroy (fixture->fleet);
  flt_release (fixture->config);
  vdt_destroy (fixture->verdicts);
}

/* Returns the endpoint ID of the view in force.  */
static struct fst_endpoint *
find (struct fixture *fixture, const char *id)
{
  for (size_t i = 0; i < G_N_ELEMENTS (endpoints); i++)
    {
      if (strcmp (endpoints[i].id, id) == 0)
        {
          g_autofree char *address
              = g_strdup_printf ("127.0.0.1:%zu", 9000 + i);
          return fst_find_address (fixture->fleet, i < 4 ? 0 : 1, address);
        }
    }
  return NULL;
}

/* Returns the ids of the endpoints that requests at NOW_US are sent to or
   over, in order.  */
static char *
list_used (struct fixture *fixture, int64_t now_us)
{
  GString *used = g_string_new (NULL);
  bool is_used[G_N_ELEMENTS (endpoints)] = { false };
  for (uint32_t n = 0; n < 100; n++)
    {
      double excess_us = 0;
      struct fst_path *path
          = fst_choose_path (fixture->fleet, 0, 100, S, now_us, &excess_us);
      struct fst_endpoint *plain
          = epc_choose (fixture->fleet, 1, NULL, NULL, NULL, now_us);
      for (size_t i = 0; i < G_N_ELEMENTS (endpoints); i++)
        {
          const char *id = endpoints[i].id;
          for (uint32_t part = 0; path != NULL && part < path->count; part++)
            {
              is_used[i] |= strcmp (path->parts[part]->id, id) == 0;
            }
          is_used[i] |= plain != NULL && strcmp (plain->id, id) == 0;
        }
      if (path != NULL)
        {
          fst_release_path (path);
        }
      if (plain != NULL)
        {
          fst_release (plain);
        }
    }
  for (size_t i = 0; i < G_N_ELEMENTS (endpoints); i++)
    {
      g_string_append (used, is_used[i] ? endpoints[i].id : "");
    }
  return g_string_free (used, FALSE);
}

/* An endpoint that says that it leaves, or that turns requests away, is out of
   use as a first engine, as a later part of paths and as a plain service,
   through changes of the view, until a newer incarnation is listed.  */
static void
closed_endpoints_are_not_used (void **state)
{
  (void)state;
  enum report
  {
    REPORT_NONE,
    REPORT_LEAVING,
    REPORT_TURNED_AWAY /* for 3 s */
  };
  static const struct
  {
    const char *name;
    const char *view; /* put in force first; NULL: none */
    int64_t born_ms;
    enum report report;
    const char *id; /* of the endpoint that the report is of */
    const char *used_now;
    const char *used_later; /* after 4 s */
  } steps[] = {
    { "at first", NULL, 0, REPORT_NONE, NULL, "abcdxy", "abcdxy" },
    { "a first engine leaves", NULL, 0, REPORT_LEAVING, "a", "bcdxy",
      "bcdxy" },
    { "a later part is full", NULL, 0, REPORT_TURNED_AWAY, "d", "bcxy",
      "bcdxy" },
    { "a service is full", NULL, 0, REPORT_TURNED_AWAY, "y", "bcx", "bcdxy" },
    { "listed as ready again", "abcdxy", 1, REPORT_NONE, NULL, "bcx",
      "bcdxy" },
    { "dropped", "bcx", 1, REPORT_NONE, NULL, "bcx", "bcx" },
    { "and listed again", "abcdxy", 1, REPORT_NONE, NULL, "bcx", "bcdxy" },
    { "an older record", "abcdxy", 0, REPORT_NONE, NULL, "bcx", "bcdxy" },
    { "no second half is left", "abcdxy", 1, REPORT_TURNED_AWAY, "c", "x",
      "bcdxy" },
    { "the other service leaves", NULL, 0, REPORT_LEAVING, "x", "", "bcdy" },
    { "new incarnations", "abcdxy", 2, REPORT_NONE, NULL, "abcdxy", "abcdxy" },
  };
  struct fixture fixture;
  open_fixture (&fixture);
  int64_t now_us = clk_monotonic_us ();
  for (size_t i = 0; i < G_N_ELEMENTS (steps); i++)
    {
      if (steps[i].view != NULL)
        {
          set_view (&fixture, steps[i].view, steps[i].born_ms);
        }
      if (steps[i].report == REPORT_LEAVING)
        {
          assert_true (fst_report_leaving (fixture.fleet,
                                           find (&fixture, steps[i].id)));
        }
      if (steps[i].report == REPORT_TURNED_AWAY)
        {
          assert_true (fst_report_turned_away (
              fixture.fleet, find (&fixture, steps[i].id), 3 * S, now_us));
        }
      g_autofree char *used_later = list_used (&fixture, now_us + 4 * S);
      /* Paths are kept until a later time; the view is put in force anew. */
      fst_set_view (fixture.fleet, fvw_reference ((struct fvw_view *)fst_view (
                                       fixture.fleet)));
      g_autofree char *used_now = list_used (&fixture, now_us);
      if (strcmp (used_now, steps[i].used_now) != 0
          || strcmp (used_later, steps[i].used_later) != 0)
        {
          fail_msg ("%s: '%s', later '%s'", steps[i].name, used_now,
                    used_later);
        }
    }
  close_fixture (&fixture);
}

/* What the control thread learns from an answer to an order holds for requests
   from the next view on.  */
static void
closure_by_an_order_counts (void **state)
{
  (void)state;
  struct fixture fixture;
  open_fixture (&fixture);
  int64_t now_us = clk_monotonic_us ();
  g_autofree char *before = list_used (&fixture, now_us);
  assert_non_null (strchr (before, 'x'));
  vdt_turn_away (fixture.verdicts, "x", find (&fixture, "x")->born_ms, 3 * S,
                 now_us);
  fst_set_view (fixture.fleet,
                fvw_reference ((struct fvw_view *)fst_view (fixture.fleet)));
  g_autofree char *after = list_used (&fixture, now_us);
  assert_null (strchr (after, 'x'));
  assert_true (find (&fixture, "x")->opens_us >= now_us + 3 * S);
  close_fixture (&fixture);
}

/* The first opening is that of the first endpoint, or of the first path, all
   of whose parts are open.  */
static void
first_opening_is_found (void **state)
{
  (void)state;
  struct fixture fixture;
  open_fixture (&fixture);
  struct fst_fleet *fleet = fixture.fleet;
  int64_t now_us = clk_monotonic_us ();
  fst_report_turned_away (fleet, find (&fixture, "a"), 2 * S, now_us);
  fst_report_turned_away (fleet, find (&fixture, "x"), 3 * S, now_us);
  assert_int_equal (fst_opens_us (fleet, 0, now_us), 0);
  assert_int_equal (fst_opens_us (fleet, 1, now_us), 0);
  fst_report_turned_away (fleet, find (&fixture, "b"), 8 * S, now_us);
  assert_int_equal (fst_opens_us (fleet, 0, now_us),
                    find (&fixture, "a")->opens_us);
  fst_report_turned_away (fleet, find (&fixture, "c"), 4 * S, now_us);
  fst_report_turned_away (fleet, find (&fixture, "d"), 20 * S, now_us);
  assert_int_equal (fst_opens_us (fleet, 0, now_us),
                    find (&fixture, "c")->opens_us);
  fst_report_turned_away (fleet, find (&fixture, "y"), S, now_us);
  assert_int_equal (fst_opens_us (fleet, 1, now_us),
                    find (&fixture, "y")->opens_us);
  fst_report_leaving (fleet, find (&fixture, "y"));
  assert_int_equal (fst_opens_us (fleet, 1, now_us),
                    find (&fixture, "x")->opens_us);
  fst_report_leaving (fleet, find (&fixture, "x"));
  assert_int_equal (fst_opens_us (fleet, 1, now_us), 0);
  assert_true (find (&fixture, "a")->evidence.state == EVD_HEALTHY);
  close_fixture (&fixture);
}

/* Adds the header NAME unless VALUE is NULL.  */
static void
add_header (struct msg_message *message, const char *name, const char *value)
{
  if (value != NULL)
    {
      msg_add_name (message, name, strlen (name));
      msg_add_value (message, value, strlen (value));
    }
}

/* True when ENDPOINT is closed from NOW_US on for DURATION_US and at most a
   quarter or 5 s more, or open if that is 0.  */
static bool
is_closed_for (const struct fst_endpoint *endpoint, int64_t duration_us,
               int64_t now_us)
{
  int64_t closed_us = endpoint->opens_us - now_us;
  return duration_us == 0
             ? endpoint->opens_us == 0
             : closed_us >= duration_us
                   && closed_us <= duration_us + S / 10
                                       + MIN (duration_us / 4, 5 * S);
}

/* What the heads of answers announce holds for the endpoint that answered, and
   a time for the engine at fault as well.  */
static void
heads_of_answers_are_read (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    const char *leaving;
    const char *retry_after;
    const char *at_fault;
    int64_t closed_us;          /* "a", which answers, at least */
    int64_t at_fault_closed_us; /* "d", at least */
    uint32_t status;
    bool turned_away;
    bool leaves;
  } cases[] = {
    { "a success", NULL, NULL, NULL, 0, 0, 200, false, false },
    { "leaves, success", "1", NULL, NULL, 0, 0, 200, false, true },
    { "leaves, refusal", "1", NULL, NULL, 0, 0, 503, false, true },
    { "leaves, wrong incarnation", "1", NULL, NULL, 0, 0, 421, false, true },
    { "doesn't leave", "0", NULL, NULL, 0, 0, 200, false, false },
    { "a time", NULL, "2", NULL, 2 * S, 0, 503, true, false },
    { "a time of another status", NULL, "2", NULL, 0, 0, 429, false, false },
    { "a time, itself at fault", NULL, "0.5", "127.0.0.1:9000", S / 2, 0, 503,
      true, false },
    { "a time, another at fault", NULL, "0.5", "127.0.0.1:9003", S / 2, S / 2,
      503, true, false },
    { "a time, unknown at fault", NULL, "0.5", "127.0.0.1:1", S / 2, 0, 503,
      true, false },
    { "a time longer than a request may take", NULL, "3600", NULL, 3600 * S, 0,
      503, true, false },
    { "a time that is too long", NULL, "1e9", NULL, TNA_LONGEST_US, 0, 503,
      true, false },
    { "no time", NULL, "soon", NULL, 0, 0, 503, false, false },
    { "both", "1", "2", NULL, 2 * S, 0, 503, true, true },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture;
      struct msg_message answer;
      struct ens_settings settings = { .stop_us = 6 * S };
      open_fixture (&fixture);
      struct cnt_set *series = cnt_set_create ();
      struct trf_traffic traffic = {
        .settings = &settings,
        .fleet = fixture.fleet,
        .metrics = emt_create (series),
        .exchanges = g_hash_table_new (NULL, NULL),
      };
      msg_init (&answer);
      add_header (&answer, PFH_LEAVING, cases[i].leaving);
      add_header (&answer, PFH_RETRY_AFTER, cases[i].retry_after);
      add_header (&answer, PFH_ENDPOINT_AT_FAULT, cases[i].at_fault);
      msg_end_headers (&answer);
      struct fst_endpoint *a = find (&fixture, "a");
      struct fst_endpoint *d = find (&fixture, "d");
      int64_t now_us = clk_monotonic_us ();
      bool turned_away = anc_handle (&traffic, a, cases[i].status, &answer);
      if (turned_away != cases[i].turned_away || a->listed == cases[i].leaves
          || !is_closed_for (a, cases[i].closed_us, now_us)
          || !is_closed_for (d, cases[i].at_fault_closed_us, now_us))
        {
          fail_msg ("%s: turned away %d, listed %d, %ld and %ld us",
                    cases[i].name, turned_away, a->listed,
                    (long)(a->opens_us - now_us),
                    (long)(d->opens_us - now_us));
        }
      msg_clear (&answer);
      g_hash_table_destroy (traffic.exchanges);
      emt_destroy (traffic.metrics);
      cnt_set_destroy (series);
      close_fixture (&fixture);
    }
}

/* The memory in use of the engines of a path returns to nothing as claims are
   raised and end, and is never negative: a rest, or a claim that isn't a
   number, would keep requests off the path for good.  */
static void
claims_return_to_nothing (void **state)
{
  (void)state;
  static const double claims[][2] = {
    { 1000, 0 },  { 1, 4096 },   { 1e9, 1e9 },
    { 777, 333 }, { 123457, 1 }, { 4611, 3e8 },
  };
  struct fixture fixture;
  double excess_us = 0;
  open_fixture (&fixture);
  struct fst_path *path = fst_choose_path (fixture.fleet, 0, 100, S,
                                           clk_monotonic_us (), &excess_us);
  for (size_t i = 0; i < G_N_ELEMENTS (claims); i++)
    {
      fst_begin_request (path, claims[i][0]);
      fst_change_request (path, claims[i][1]);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (claims); i++)
    {
      assert_true (path->parts[0]->used_tokens > 0);
      assert_true (path->parts[1]->used_tokens > 0);
      fst_end_request (path, claims[i][0] + claims[i][1]);
    }
  assert_true (path->parts[0]->used_tokens == 0);
  assert_true (path->parts[1]->used_tokens == 0);
  fst_release_path (path);
  close_fixture (&fixture);
}

/* What a request claims in a crowded fleet follows from what its caller states
   and is raised when the answer exceeds that; elsewhere it is all that the
   request may need.  What isn't a number of tokens counts as none, so that it
   doesn't take the memory of others in this daemon's account.  */
static void
claims_follow_the_expected_output (void **state)
{
  (void)state;
  static const struct
  {
    const char *counts;
    const char *hint;
    bool crowded;
    bool bad;
    double least; /* claimed */
    double most;
  } rows[] = {
    { "1000,4000", "300", false, false, 5000, 5000 },
    { NULL, "300", false, false, 1000, 1000 },
    { "nan,nan", NULL, false, true, 1000, 1000 },
    { "1000,4000", "300", true, false, 1900, 2000 },
    { "1000,4000", NULL, true, false, 1800, 1900 },
    { "1000,100", "300", true, false, 1100, 1100 },
    { NULL, NULL, true, false, 1600, 1700 },
    { "-5,100", NULL, true, true, 900, 900 },
    { "1e8,100", NULL, true, true, 900, 900 },
    { "1000,inf", NULL, true, true, 1800, 1900 },
    { "1000,1e9", NULL, true, true, 1800, 1900 },
    { "1000,4000", "1e6", true, true, 1800, 1900 },
    { "1000,4000", "-300", true, true, 1800, 1900 },
    { "1000,4000", "many", true, true, 1800, 1900 },
  };
  struct flt_route route = { .name = (char *)"letters" };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct fixture fixture;
      struct msg_message request;
      double excess_us = 0;
      open_fixture (&fixture);
      struct flt_service *service = &fixture.config->services[0];
      service->engine.usual_prompt_tokens = 800;
      service->engine.usual_answer_tokens = 400;
      service->engine.event_tokens = 5;
      struct fvw_view *view = (struct fvw_view *)fst_view (fixture.fleet);
      view->crowded = rows[i].crowded;
      struct cnt_set *series = cnt_set_create ();
      struct trf_traffic traffic = { .fleet = fixture.fleet,
                                     .metrics = emt_create (series),
                                     .costs = cos_create () };
      struct exchange exchange = { .traffic = &traffic,
                                   .route = &route,
                                   .arrived_us = S,
                                   .scanner.last_id = -1 };
      msg_init (&request);
      add_header (&request, PFH_TOKENS, rows[i].counts);
      add_header (&request, PFH_OUTPUT_HINT, rows[i].hint);
      msg_end_headers (&request);
      exg_start_cost (&exchange, &request, "POST", service);
      bool bad = !cos_report_first (traffic.costs, NULL);
      if (exchange.tokens < rows[i].least || exchange.tokens > rows[i].most
          || bad != rows[i].bad)
        {
          fail_msg ("row %zu: %g tokens, bad %d", i, exchange.tokens, bad);
        }
      exchange.path = fst_choose_path (fixture.fleet, 0, 100, S,
                                       clk_monotonic_us (), &excess_us);
      fst_begin_request (exchange.path, exchange.tokens);
      exchange.events = 700;
      exg_update_claim (&exchange);
      assert_true (!rows[i].crowded || exchange.tokens >= 800 + 3500);
      assert_true (exchange.path->parts[1]->used_tokens == exchange.tokens);
      fst_end_request (exchange.path, exchange.tokens);
      assert_true (exchange.path->parts[1]->used_tokens == 0);
      fst_release_path (exchange.path);
      msg_clear (&request);
      cos_destroy (traffic.costs);
      emt_destroy (traffic.metrics);
      cnt_set_destroy (series);
      close_fixture (&fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (closed_endpoints_are_not_used),
    cmocka_unit_test (closure_by_an_order_counts),
    cmocka_unit_test (first_opening_is_found),
    cmocka_unit_test (heads_of_answers_are_read),
    cmocka_unit_test (claims_return_to_nothing),
    cmocka_unit_test (claims_follow_the_expected_output),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
