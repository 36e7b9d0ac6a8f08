/* Tests the look-up of an idempotency key, for calls of plain services (those
   that don't run models), with a real control thread. */
#include "daemon/service_call.h"

#include <curl/curl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* The parts of a daemon.  The daemon cannot reach the log, since nothing
   listens at the log's address. */
struct daemon_parts
{
  struct set_settings settings;
  char *log_urls[2];
  char *seeds[1];
  struct cnt_set *counters;
  struct ctl_params params;
  struct ctl_control *control;
};

static int
set_up (void **state)
{
  struct daemon_parts *parts = g_new0 (struct daemon_parts, 1);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  parts->log_urls[0] = "http://127.0.0.1:1";
  parts->settings = (struct set_settings){
    .name = "entry-1",
    .data_centre = "kingston-1",
    .peer_address = "127.0.0.1:0",
    .log_urls = parts->log_urls,
    .seeds = parts->seeds,
    .peer_secret = "secret",
  };
  parts->counters = cnt_set_create ();
  parts->params = (struct ctl_params){
    .settings = &parts->settings,
    .views = vw_store_create (),
    .gate = gt_create (16),
    .metrics = met_create (parts->counters),
  };
  parts->control = ctl_create (&parts->params, NULL);
  *state = parts;
  return parts->control == NULL;
}

static int
tear_down (void **state)
{
  struct daemon_parts *parts = *state;
  ctl_destroy (parts->control);
  vw_store_destroy (parts->params.views);
  gt_destroy (parts->params.gate);
  met_destroy (parts->params.metrics);
  cnt_set_destroy (parts->counters);
  g_free (parts);
  return 0;
}

/* A daemon that has not read the log does not know the idempotency key, though
   another daemon may have run its call.  It has to answer that it is unknown
   whether the call ran.  Guards against the wrong answer that it did not.  */
static void
unknown_key_without_log_may_have_run (void **state)
{
  struct daemon_parts *parts = *state;
  const struct cal_account account = { .name = "clerks" };
  struct err_failure failure = { .kind = ERR_NONE };
  char *outcome = NULL;
  assert_false (
      sc_lookup_key (parts->control, &account, "visit-1", &outcome, &failure));
  assert_null (outcome);
  assert_int_equal (failure.kind, ERR_NOT_FOUND);
  assert_int_equal (failure.ran, ERR_RAN_UNKNOWN);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (unknown_key_without_log_may_have_run),
  };
  return cmocka_run_group_tests (tests, set_up, tear_down);
}
