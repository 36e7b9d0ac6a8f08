/* Tests what the server for callers learns of the configuration. */
#include "base/clock.h"
#include "daemon/backend.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define TOKEN "0123"

/* The rule and what the account of a caller has then. */
struct deadline_case
{
  uint32_t rule_ms;
  int64_t deadline_us;
};

/* Publishes a view of one account with the token TOKEN.  */
static void
publish (struct vw_store *views, uint32_t default_deadline_ms)
{
  struct cfg_config *config = cfg_config_create ();
  config->accounts = g_new0 (struct cfg_account, 1);
  config->account_count = 1;
  g_strlcpy (config->accounts[0].name, "clerks",
             sizeof config->accounts[0].name);
  g_strlcpy (config->accounts[0].token_sha256, TOKEN,
             sizeof config->accounts[0].token_sha256);
  config->rules.default_deadline_ms = default_deadline_ms;
  vw_publish (views, vw_view_create (config));
}

/* A request without a deadline has that of the rules in force.  Guards against
   a constant that the rules couldn't change.  */
static void
default_deadline_is_that_of_the_rules (void **state)
{
  (void)state;
  static const struct deadline_case cases[] = {
    { 60000, 60 * CLK_S_US },
    { 1, CLK_MS_US },
    { 86400000, 86400 * CLK_S_US },
    { UINT32_MAX, UINT32_MAX * CLK_MS_US },
  };
  struct bk_backend backend = { .views = vw_store_create () };
  vw_thread_register ();
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct cal_account account = { .index = CFG_NO_INDEX };
      struct err_failure failure = { .kind = ERR_NONE };
      publish (backend.views, cases[i].rule_ms);
      assert_true (
          bk_caller_backend.authorize (&backend, TOKEN, &account, &failure));
      assert_string_equal (account.name, "clerks");
      assert_int_equal (account.default_deadline_us, cases[i].deadline_us);
    }
  vw_thread_unregister ();
  vw_store_destroy (backend.views);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (default_deadline_is_that_of_the_rules),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
