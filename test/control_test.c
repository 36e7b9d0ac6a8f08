/* Tests the control thread of a daemon with a platform: its stop, and the
   counts of the error budgets that it exchanges with the platform's log. */
#include "base/clock.h"
#include "base/log.h"
#include "daemon/control_burn.h"
#include "daemon/control_config.h"
#include "platform/log_client.h"
#include "standin/http_server.h"
#include "standin/platform.h"
#include "standin_client.h"

#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define EMPTY_PAGE "{\"first\":0,\"next\":0,\"records\":[]}"
#define STOPS 20
#define DRAFTS 300
#define PAGE_RECORDS_MAX 100
#define HOUR_MS 3600000
#define START_MAX_US (20 * CLK_S_US)
#define STOP_MAX_US (8 * CLK_S_US)

static const char config_yaml[]
    = "version: 1\n"
      "accounts: [{name: trust, token_sha256: "
      "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef}]\n";

/* The control thread of a daemon, and the settings and parts that it uses. */
struct fixture
{
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

/* Starts the control thread of a daemon whose platform listens on PORT.  */
static void
start (struct fixture *fixture, uint16_t port)
{
  *fixture = (struct fixture){
    .url = g_strdup_printf ("http://127.0.0.1:%u", port),
    .counters = cnt_set_create (),
  };
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
  fixture->params = (struct ctl_params){
    .settings = &fixture->settings,
    .views = vw_store_create (),
    .gate = gt_create (4),
    .metrics = met_create (fixture->counters),
  };
  fixture->control = ctl_create (&fixture->params, NULL);
  assert_non_null (fixture->control);
}

/* Ends what start began, apart from the control thread.  */
static void
clean_up (struct fixture *fixture)
{
  gt_destroy (fixture->params.gate);
  vw_store_destroy (fixture->params.views);
  met_destroy (fixture->params.metrics);
  cnt_set_destroy (fixture->counters);
  g_free (fixture->url);
}

static struct fp_platform *
create_platform (struct jn_journal *journal)
{
  const struct fp_options options = {
    .connections = 32,
    .appends_per_s = 1000,
    .retention_ms = HOUR_MS,
    .weights_per_min = 600,
    .journal = journal,
  };
  struct fp_platform *platform = fp_create (&options, NULL);
  assert_non_null (platform);
  return platform;
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
inject_fault (const struct fp_platform *platform, const char *fault)
{
  struct client *client = client_create (fp_port (platform));
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

/* Runs RUN with FIXTURE.  Sets LOG to the lines that are logged meanwhile,
   allocated.  */
static void
capture_log (void (*run) (struct fixture *fixture), struct fixture *fixture,
             char **log)
{
  char *path = NULL;
  int file = g_file_open_tmp (NULL, &path, NULL);
  int output = dup (STDOUT_FILENO);
  dup2 (file, STDOUT_FILENO);
  run (fixture);
  lg_flush ();
  dup2 (output, STDOUT_FILENO);
  assert_true (g_file_get_contents (path, log, NULL, NULL));
  close (output);
  close (file);
  unlink (path);
  g_free (path);
}

static void
destroy (struct fixture *fixture)
{
  ctl_destroy (fixture->control);
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
      struct jn_journal *journal = jn_create (NULL, NULL);
      struct fp_platform *platform = create_platform (journal);
      struct fixture fixture;
      start (&fixture, fp_port (platform));
      publish_config (fixture.control);
      if (cases[i].fault != NULL)
        {
          inject_fault (platform, cases[i].fault);
        }
      ctl_begin_stop (fixture.control);
      observe_drafts (fixture.control, DRAFTS);
      int64_t stop_us = clk_monotonic_us ();
      char *log = NULL;
      capture_log (destroy, &fixture, &log);
      stop_us = clk_monotonic_us () - stop_us;
      if (cases[i].fault != NULL)
        {
          inject_fault (platform, "{\"down_ms\":0}");
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
      fp_destroy (platform);
      jn_destroy (journal);
    }
}

/* Answers reads of the log with an empty page, and refuses appends.  */
static void
answer_without_appends (void *user, const struct hs_request *request,
                        struct hs_answer *answer)
{
  (void)user;
  bool append = strcmp (request->method, "POST") == 0;
  answer->status = append ? 503 : 200;
  g_string_assign (answer->body, append ? "{}" : EMPTY_PAGE);
}

/* A daemon ends while it tries to append, here to get the lease.  Guards
   against appends that were queued after their queue had been freed, so that
   the control thread never ended.  */
static void
control_thread_ends_while_it_appends (void **state)
{
  (void)state;
  const struct hs_options options
      = { .connections = 16, .handler = answer_without_appends };
  struct hs_server *server = hs_create (&options, NULL);
  for (uint32_t i = 0; i < STOPS; i++)
    {
      struct fixture fixture;
      start (&fixture, hs_port (server));
      g_usleep ((gulong)(i * 20 * CLK_MS_US));
      alarm (STOP_MAX_US / CLK_S_US); /* ends the test when the stop hangs */
      ctl_destroy (fixture.control);
      alarm (0);
      clean_up (&fixture);
    }
  hs_destroy (server);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (control_thread_ends_while_it_appends),
    cmocka_unit_test (planned_stop_appends_all_counts),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
