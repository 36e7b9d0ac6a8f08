/* Tests of the ranks of requests. */
#include "core/precedence.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define NONE FLT_NO_INDEX
#define MANY_MAX 7

/* A configuration with one service, whose routes and accounts have these
   priorities, and what the ranks are to be. */
struct rank_case
{
  const char *name;
  uint32_t routes[MANY_MAX];
  uint32_t route_count;
  uint32_t accounts[MANY_MAX];
  uint32_t account_count;
  bool is_public; /* all routes */
  uint32_t count;
  uint32_t route_index[MANY_MAX];   /* of requests without a priority of
                                       their account */
  uint32_t account_index[MANY_MAX]; /* of requests on the first route */
};

static const struct rank_case cases[] = {
  { "routes far apart",
    { 0, 10, 700 },
    3,
    { 0 },
    0,
    false,
    3,
    { 0, 1, 2 },
    { 0 } },
  { "routes in any order",
    { 9, 2, 5 },
    3,
    { 0 },
    0,
    false,
    3,
    { 2, 0, 1 },
    { 0 } },
  { "equal routes", { 3, 3, 3 }, 3, { 0 }, 0, false, 1, { 0, 0, 0 }, { 0 } },
  { "later ranks share the last index",
    { 6, 5, 4, 3, 2, 1, 0 },
    7,
    { 0 },
    0,
    false,
    5,
    { 4, 4, 4, 3, 2, 1, 0 },
    { 0 } },
  { "accounts go before routes",
    { 1, 2 },
    2,
    { 0, NONE },
    2,
    false,
    3,
    { 1, 2 },
    { 0, 1 } },
  { "routes that no request's priority comes from",
    { 1, 2 },
    2,
    { 4, 7 },
    2,
    false,
    2,
    { 0, 0 },
    { 0, 1 } },
  { "public routes have no accounts",
    { 1 },
    1,
    { 4, 7 },
    2,
    true,
    1,
    { 0 },
    { 0, 0 } },
  { "accounts equal to the route",
    { 4 },
    1,
    { 4, NONE },
    2,
    false,
    1,
    { 0 },
    { 0, 0 } },
};

static struct flt_config *
make_config (const struct rank_case *c)
{
  struct flt_config *config = flt_create (c->route_count, 2, c->account_count);
  config->has_accounts = c->account_count > 0;
  config->services[0].name = g_strdup ("other");
  config->services[1].name = g_strdup ("draft");
  for (uint32_t i = 0; i < c->route_count; i++)
    {
      struct flt_route *route = &config->routes[i];
      route->host = g_strdup ("host");
      route->path_prefix = g_strdup ("/");
      route->priority = c->routes[i];
      route->is_public = c->is_public;
      route->split[0] = (struct flt_share){ .service = 1, .weight = 1 };
      route->split[1] = (struct flt_share){ .service = 0, .weight = 0 };
      route->split_count = 2;
    }
  for (uint32_t i = 0; i < c->account_count; i++)
    {
      config->accounts[i].name = g_strdup ("account");
      config->accounts[i].priority = c->accounts[i];
    }
  flt_index (config);
  return config;
}

/* Guards against ranks that follow the numbers of the configuration, which may
   be far apart, instead of their order, and against ranks of requests that
   can't occur.  */
static void
ranks_follow_the_order_of_priorities (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      const struct rank_case *c = &cases[i];
      print_message ("case: %s\n", c->name);
      struct flt_config *config = make_config (c);
      assert_int_equal (prc_count (config, 1), c->count);
      for (uint32_t r = 0; r < c->route_count; r++)
        {
          assert_int_equal (prc_index (config, 1, &config->routes[r], NULL),
                            c->route_index[r]);
        }
      for (uint32_t a = 0; a < c->account_count && !c->is_public; a++)
        {
          assert_int_equal (
              prc_index (config, 1, &config->routes[0], &config->accounts[a]),
              c->account_index[a]);
        }
      flt_release (config);
    }
}

/* A service that no route uses with a weight, or that has been removed, has
   one rank: guards against a read beyond the table.  */
static void
unused_services_have_one_rank (void **state)
{
  (void)state;
  struct flt_config *config = make_config (&cases[0]);
  assert_int_equal (prc_count (config, 0), 1);
  assert_int_equal (prc_index (config, 0, &config->routes[2], NULL), 0);
  assert_int_equal (prc_count (config, FLT_NO_INDEX), 1);
  assert_int_equal (prc_index (config, FLT_NO_INDEX, &config->routes[2], NULL),
                    0);
  flt_release (config);
}

/* Guards against values that engines refuse, and against a resumed stream that
   waits behind new ones of its rank or passes more urgent ones.  */
static void
engine_priorities_are_in_order (void **state)
{
  (void)state;
  uint32_t before = 0;
  for (uint32_t index = 0; index < FLT_RANKS_MAX; index++)
    {
      uint32_t resumed = prc_engine_priority (index, true);
      uint32_t fresh = prc_engine_priority (index, false);
      assert_true (resumed < fresh && fresh <= 9);
      assert_true (index == 0 ? resumed == 0 : resumed > before);
      before = fresh;
    }
  assert_int_equal (prc_engine_priority (77, false), 9);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (ranks_follow_the_order_of_priorities),
    cmocka_unit_test (unused_services_have_one_rank),
    cmocka_unit_test (engine_priorities_are_in_order),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
