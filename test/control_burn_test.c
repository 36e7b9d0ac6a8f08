/* Tests how the control thread of a daemon exchanges the counts of its error
   budgets with a log: nothing that it has counted may be missing there when it
   stops. */
#include "base/clock.h"
#include "base/log.h"
#include "daemon/control_burn.h"
#include "daemon/control_config.h"
#include "platform/log_client.h"
#include "standin/platform.h"
#include "standin_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define DRAFTS 300
#define PAGE_RECORDS_MAX 100
#define HOUR_MS 3600000
#define START_MAX_US (20 * CLK_S_US)
#define STOP_MAX_US (8 * CLK_S_US)

static const char config_yaml[]
    = "version: 1\n"
      "accounts: [{name: trust, token_sha256: "
      "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef}]\n";

/* The control thread of a daemon, and a platform that it uses. */
struct fixture
{
  struct jn_journal *journal;
  struct fp_platform *platform;
  char *url;
  char *urls[2];
  char *seeds[1];
  struct set_settings settings;
  struct cnt_set *counters;
  struct ctl_params params;
  struct ctl_control *control;
};

/* Publishes the configuration, once the daemon has read the log, and waits
   until it is in force.  */
static void
publish_config (struct ctl_control *control)
{
  static const struct opr_publish publish = {
    .yaml = config_yaml,
    .yaml_bytes = sizeof config_yaml - 1,
    .publisher = "test",
  };
  int64_t end_us = clk_monotonic_us () + START_MAX_US;
  bool accepted = false;
  while (!ctl_ready (control))
    {
      uint64_t version = 0;
      struct err_failure failure = { .kind = ERR_NONE };
      assert_true (clk_monotonic_us () < end_us);
      accepted = accepted
                 || ctl_config_publish (control, &publish, &version, &failure);
      g_usleep ((gulong)(20 * CLK_MS_US));
    }
}

static void
start (struct fixture *fixture)
{
  *fixture = (struct fixture){ .journal = jn_create (NULL, NULL) };
  const struct fp_options options = {
    .connections = 32,
    .appends_per_s = 1000,
    .retention_ms = HOUR_MS,
    .weights_per_min = 600,
    .journal = fixture->journal,
  };
  fixture->platform = fp_create (&options, NULL);
  assert_non_null (fixture->platform);
  fixture->url
      = g_strdup_printf ("http://127.0.0.1:%u", fp_port (fixture->platform));
  fixture->urls[0] = fixture->url;
  fixture->settings = (struct set_settings){
    .name = "daemon",
    .data_centre = "a",
    .peer_address = "127.0.0.1:0",
    .log_urls = fixture->urls,
    .host_list_url = fixture->url,
    .seeds = fixture->seeds,
    .peer_secret = "secret",
    .traffic_threads = 4,
  };
  fixture->counters = cnt_set_create ();
  fixture->params = (struct ctl_params){
    .settings = &fixture->settings,
    .views = vw_store_create (),
    .gate = gt_create (4),
    .metrics = met_create (fixture->counters),
  };
  fixture->control = ctl_create (&fixture->params, NULL);
  assert_non_null (fixture->control);
  publish_config (fixture->control);
}

/* Ends what start began, apart from the control thread.  */
static void
clean_up (struct fixture *fixture)
{
  gt_destroy (fixture->params.gate);
  vw_store_destroy (fixture->params.views);
  met_destroy (fixture->params.metrics);
  cnt_set_destroy (fixture->counters);
  fp_destroy (fixture->platform);
  jn_destroy (fixture->journal);
  g_free (fixture->url);
}

static void
observe_drafts (struct ctl_control *control, uint32_t count)
{
  static const struct brn_event draft = {
    .account = "trust",
    .endpoint = "engine-1",
    .work = BRN_DRAFT,
    .first_token_us = 300000,
    .between_tokens_us = 20000,
    .settled_us = -1,
  };
  for (uint32_t i = 0; i < count; i++)
    {
      ctl_burn_observe (control, &draft);
    }
}

static void
inject_fault (const struct fixture *fixture, const char *fault)
{
  struct client *client = client_create (fp_port (fixture->platform));
  GString *answer = g_string_new (NULL);
  assert_int_equal (client_call (client, "/fault", fault, answer), 200);
  g_string_free (answer, TRUE);
  client_destroy (client);
}

/* Returns the number of requests in the burn stream of the log.  */
static uint64_t
count_requests_in_log (struct fixture *fixture)
{
  struct plog_client *client = plog_create (fixture->urls);
  struct plog_page page;
  uint64_t requests = 0;
  assert_int_equal (
      plog_read (client, BRN_STREAM, 0, PAGE_RECORDS_MAX, 0, &page), ERR_NONE);
  for (size_t i = 0; i < page.record_count; i++)
    {
      GBytes *bytes
          = g_bytes_new (page.records[i].bytes, page.records[i].byte_count);
      struct brn_record *record = brn_unpack (bytes);
      assert_non_null (record);
      for (guint j = 0; j < record->entries->len; j++)
        {
          const struct brn_entry *entry
              = g_ptr_array_index (record->entries, j);
          requests += entry->counts[BRN_AVAILABILITY].total;
        }
      brn_record_destroy (record);
      g_bytes_unref (bytes);
    }
  plog_page_clear (&page);
  plog_destroy (client);
  return requests;
}

/* Destroys the control thread of FIXTURE.  Sets LOG to the lines that it
   logged meanwhile, allocated.  */
static void
destroy_and_get_log (struct fixture *fixture, char **log)
{
  char *path = NULL;
  int file = g_file_open_tmp (NULL, &path, NULL);
  int output = dup (STDOUT_FILENO);
  dup2 (file, STDOUT_FILENO);
  ctl_destroy (fixture->control);
  lg_flush ();
  dup2 (output, STDOUT_FILENO);
  assert_true (g_file_get_contents (path, log, NULL, NULL));
  close (output);
  close (file);
  unlink (path);
  g_free (path);
}

/* A daemon that stops appends what it has counted until its last request, and
   logs what it couldn't append, within a bounded time.  Guards against counts
   of the last moments that were dropped without a line.  */
static void
planned_stop_appends_all_counts (void **state)
{
  (void)state;
  static const struct
  {
    const char *name;
    const char *fault; /* injected just before the stop; NULL: none */
    uint64_t appended;
    const char *line; /* expected; NULL: none */
  } cases[] = {
    { "no fault", NULL, DRAFTS, NULL },
    { "log out", "{\"down_ms\":3600000}", 0, "records=1 requests=300" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct fixture fixture;
      start (&fixture);
      if (cases[i].fault != NULL)
        {
          inject_fault (&fixture, cases[i].fault);
        }
      ctl_begin_stop (fixture.control);
      observe_drafts (fixture.control, DRAFTS);
      int64_t stop_us = clk_monotonic_us ();
      char *log = NULL;
      destroy_and_get_log (&fixture, &log);
      stop_us = clk_monotonic_us () - stop_us;
      if (cases[i].fault != NULL)
        {
          inject_fault (&fixture, "{\"down_ms\":0}");
        }
      uint64_t appended = count_requests_in_log (&fixture);
      const char *line = strstr (log, "event=burn-records-unconfirmed");
      if (appended != cases[i].appended || stop_us > STOP_MAX_US
          || (line != NULL) != (cases[i].line != NULL)
          || (line != NULL && strstr (line, cases[i].line) == NULL))
        {
          fail_msg ("%s: %u of %u drafts in the log after %.1f s; log:\n%s",
                    cases[i].name, (unsigned)appended, DRAFTS,
                    (double)stop_us / CLK_S_US, log);
        }
      g_free (log);
      clean_up (&fixture);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (planned_stop_appends_all_counts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
