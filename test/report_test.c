/* Tests of the report on error budgets as operators get it: the page, the API
   call with its authorization, and the fields of the JSON. */
#include "base/clock.h"
#include "core/burn.h"
#include "endpoint/connection.h"
#include "operator/operator.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define TOKEN "operator-token"
#define TIMEOUT_US (10 * CLK_S_US)

/* An operators' server that reports on one account, and a client of it. */
struct fixture
{
  struct cfg_account account;
  struct cfg_config config;
  struct brn_state *burn;
  struct cnt_set *counters;
  struct opr_server *server;
  struct con_pool *pool;
};

/* Returns the report as the daemon's callback does, owned by the caller.  */
static json_t *
report (void *user_data)
{
  const struct fixture *fixture = user_data;
  struct brn_report *burn
      = brn_report (fixture->burn, &fixture->config, CLK_S_US * 1000000);
  json_t *json = brn_report_to_json (burn);
  brn_report_destroy (burn);
  return json;
}

static const struct opr_backend backend = { .report = report };

/* Counts one good and one failed keyed call.  */
static void
count_outcomes (struct fixture *fixture)
{
  struct brn_outcome outcome = {
    .account = fixture->account.name,
    .work = BRN_KEYED,
    .first_token_us = -1,
    .between_tokens_us = -1,
    .settled_us = 1000,
    .endpoint = "booking-1",
    .data_centre = "kingston-1",
    .objective = &fixture->account.objective,
  };
  brn_observe (fixture->burn, &outcome, CLK_S_US * 1000000);
  outcome.error = ERR_KEY_UNKNOWN;
  brn_observe (fixture->burn, &outcome, CLK_S_US * 1000000);
}

static int
create_fixture (void **state)
{
  struct fixture *fixture = g_new0 (struct fixture, 1);
  fixture->account = (struct cfg_account){
    .name = "trust",
    .objective = { .availability = 0.5, .settled_us = 2000 },
  };
  fixture->config = (struct cfg_config){ .accounts = &fixture->account,
                                         .account_count = 1 };
  fixture->burn = brn_create (&(struct brn_params){ .incarnation = 1 });
  count_outcomes (fixture);
  fixture->counters = cnt_set_create ();
  const struct opr_params params = { .address = "127.0.0.1:0",
                                     .token = TOKEN,
                                     .counters = fixture->counters,
                                     .backend = &backend,
                                     .user_data = fixture };
  fixture->server = opr_server_create (&params, NULL);
  assert_non_null (fixture->server);
  g_autofree char *url = g_strdup_printf ("http://127.0.0.1:%u",
                                          opr_server_port (fixture->server));
  fixture->pool = con_pool_create (url);
  *state = fixture;
  return 0;
}

static int
destroy_fixture (void **state)
{
  struct fixture *fixture = *state;
  con_pool_destroy (fixture->pool);
  opr_server_destroy (fixture->server);
  cnt_set_destroy (fixture->counters);
  brn_destroy (fixture->burn);
  g_free (fixture);
  return 0;
}

struct request_case
{
  const char *path;
  const char *token;
  uint16_t status;
  const char *part; /* that the body has to contain */
};

static const struct request_case request_cases[] = {
  { "/report", NULL, 200, "fetch('/v1/report'" },
  { "/report", TOKEN, 200, "Service-level burn" },
  { "/report/x", TOKEN, 404, "not_found" },
  { "/v1/report", NULL, 401, "unauthorized" },
  { "/v1/report", "wrong", 401, "unauthorized" },
  { "/v1/report", TOKEN, 200, "\"account\":\"trust\"" },
};

/* The page needs no token, the API does.  */
static void
requests_are_answered (void **state)
{
  const struct fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (request_cases); i++)
    {
      const struct request_case *c = &request_cases[i];
      struct con_answer answer;
      const struct con_call call = {
        .method = "GET",
        .path = c->path,
        .bearer = c->token,
        .timeout_us = TIMEOUT_US,
      };
      assert_int_equal (con_call_run (fixture->pool, &call, &answer),
                        ERR_NONE);
      if (answer.status != c->status
          || strstr (answer.body->str, c->part) == NULL)
        {
          fail_msg ("case %zu: %u, %.300s", i, answer.status,
                    answer.body->str);
        }
      con_answer_clear (&answer);
    }
}

/* A line of the report has every field that docs/interfaces/report.md
   names.  */
static void
the_report_has_every_field (void **state)
{
  json_t *json = report (*state);
  assert_non_null (json);
  const json_t *lines = json_object_get (json, "lines");
  assert_int_equal (json_array_size (lines), 2);
  const json_t *line = json_array_get (lines, 0);
  const char *account = NULL;
  const char *work = NULL;
  const char *objective = NULL;
  const char *verdict = NULL;
  const char *error = NULL;
  const char *endpoint = NULL;
  const char *data_centre = NULL;
  double target;
  double left;
  double short_burn;
  double long_burn;
  double share;
  double change;
  double change_error;
  int total;
  int bad;
  int days;
  assert_int_equal (
      json_unpack ((json_t *)line,
                   "{s:s, s:s, s:s, s:s, s:F, s:F, s:F, s:F, s:i, s:i,"
                   " s:{s:i, s:F, s:F}, s:{s:s, s:F}, s:{s:s}, s:{s:s}}",
                   "account", &account, "work", &work, "objective", &objective,
                   "verdict", &verdict, "target", &target, "budget_left",
                   &left, "short_burn", &short_burn, "long_burn", &long_burn,
                   "total", &total, "bad", &bad, "trend", "days", &days,
                   "change_weekly", &change, "standard_error", &change_error,
                   "error", "name", &error, "share", &share, "endpoint",
                   "name", &endpoint, "data_centre", "name", &data_centre),
      0);
  assert_string_equal (account, "trust");
  assert_string_equal (work, "keyed");
  assert_string_equal (objective, "availability");
  assert_string_equal (verdict, "exhausted");
  assert_string_equal (error, "key_unknown");
  assert_string_equal (endpoint, "booking-1");
  assert_string_equal (data_centre, "kingston-1");
  assert_int_equal (total, 2);
  assert_int_equal (bad, 1);
  assert_int_equal (days, 0);
  assert_true (target == 0.5 && left == 0 && short_burn == 1);
  assert_true (share == 1 && long_burn == 1 && change == 0);
  assert_true (change_error == 0);
  json_decref (json);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (requests_are_answered),
    cmocka_unit_test (the_report_has_every_field),
  };
  return cmocka_run_group_tests (tests, create_fixture, destroy_fixture);
}
