#include "standin/platform.h"
#include "standin_client.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define FAULT "/fault"
#define NEVER_MS "3600000"

/* Exchanges with one platform, and the options that the platform gets. */
struct platform_case
{
  const char *name;
  uint32_t appends_per_s; /* 0: 1000 */
  uint32_t retention_ms;  /* 0: one hour */
  uint32_t list_lag_ms;
  uint32_t weights_per_min; /* 0: 600 */
  struct exchange exchanges[EXCHANGES_MAX];
};

static const struct platform_case platform_cases[] = {
  { .name = "append and read",
    .exchanges
    = { { "/v1/log/a", "{\"record\":\"YQ==\"}", 200, "{\"offset\":0}" },
        { "/v1/log/a", "{\"record\":\"Yg==\"}", 200, "{\"offset\":1}" },
        { "/v1/log/b", "{\"record\":\"Yw==\"}", 200, "{\"offset\":0}" },
        { "/v1/log/a?from=1", NULL, 200, "{\"offset\":1,\"time_us\":" },
        { "/v1/log/a?from=0&max=1", NULL, 200, "\"record\":\"YQ==\"}]}" },
        { "/v1/log/a?from=2", NULL, 200,
          "{\"first\":0,\"next\":2,\"records\":[]}" },
        { "/v1/log/none", NULL, 200,
          "{\"first\":0,\"next\":0,\"records\":[]}" } } },
  { .name = "malformed requests are rejected",
    .exchanges
    = { { "/v1/log/a", "{\"record\":\"a b\"}", 400, "\"bad_request\"" },
        { "/v1/log/a", "{\"record\":7}", 400, NULL },
        { "/v1/log/a", "nonsense", 400, NULL },
        { "/v1/log/a%20b", "{\"record\":\"YQ==\"}", 400, NULL },
        { "/v1/other", NULL, 404, NULL } } },
  { .name = "outage: appends and reads fail",
    .exchanges
    = { { FAULT, "{\"down_ms\":" NEVER_MS "}", 200, NULL },
        { "/v1/log/a", "{\"record\":\"YQ==\"}", 503, "\"log_unavailable\"" },
        { "/v1/log/a?from=0", NULL, 503, NULL },
        { "/v1/weights/draft/0-4", NULL, 503, NULL },
        { "/v1/hosts", NULL, 200, NULL },
        { FAULT, "{\"down_ms\":0}", 200, NULL },
        { "/v1/log/a", "{\"record\":\"YQ==\"}", 200, "{\"offset\":0}" } } },
  { .name = "lost answer: the record is stored",
    .exchanges
    = { { FAULT, "{\"lose_answers\":1}", 200, NULL },
        { "/v1/log/a", "{\"record\":\"YQ==\"}", STATUS_NONE, NULL },
        { "/v1/log/a", "{\"record\":\"Yg==\"}", 200, "{\"offset\":1}" },
        { "/v1/log/a", NULL, 200, "\"record\":\"YQ==\"" } } },
  { .name = "append rate is limited",
    .appends_per_s = 1,
    .exchanges
    = { { "/v1/log/a", "{\"record\":\"YQ==\"}", 200, NULL },
        { "/v1/log/a", "{\"record\":\"YQ==\"}", 429, "\"rate_limited\"" },
        { "/v1/log/a", NULL, 200, "\"next\":1" } } },
  { .name = "host list",
    .exchanges
    = { { "/v1/hosts", NULL, 200,
          "{\"version\":1,\"hosts\":[{\"name\":\"a\",\"address\":"
          "\"127.0.0.1:1\",\"state\":\"live\",\"role\":\"engine\"}]}" },
        { "/v1/hosts?than=1", NULL, 304, NULL },
        { FAULT, "{\"leaving\":\"a\"}", 200, NULL },
        { "/v1/hosts?than=1", NULL, 200, "\"state\":\"leaving\"" },
        { FAULT,
          "{\"live\":{\"name\":\"d\",\"address\":\"127.0.0.1:2\","
          "\"role\":\"daemon\"}}",
          200, NULL },
        { "/v1/hosts", NULL, 200, "\"role\":\"daemon\"" },
        { FAULT, "{\"gone\":\"a\"}", 200, NULL },
        { "/v1/hosts", NULL, 200,
          "{\"version\":4,\"hosts\":[{\"name\":\"d\"" },
        { FAULT, "{\"list_down_ms\":" NEVER_MS "}", 200, NULL },
        { "/v1/hosts", NULL, 503, NULL } } },
  { .name = "the host list shows changes after the lag",
    .list_lag_ms = 3600000,
    .exchanges = { { FAULT, "{\"leaving\":\"a\"}", 200, NULL },
                   { "/v1/hosts", NULL, 200, "\"state\":\"live\"" },
                   { FAULT, "{\"list_lag_ms\":0}", 200, NULL },
                   { "/v1/hosts", NULL, 200, "\"state\":\"leaving\"" } } },
  { .name = "the rate of the weight store is limited",
    .weights_per_min = 1,
    .exchanges
    = { { "/v1/weights/draft/0-4", NULL, 200, NULL },
        { "/v1/weights/draft/0-4", NULL, 429, "\"rate_limited\"" } } },
  { .name = "silent connections; new connections are answered",
    .exchanges = { { FAULT, "{\"silent_connections\":true}", 200, NULL },
                   { "/v1/hosts", NULL, STATUS_SILENT, NULL },
                   { "/v1/hosts", NULL, 200, NULL } } },
};

/* Starts a platform with the options of TEST_CASE and one host.  */
static struct fp_platform *
start_platform (const struct platform_case *test_case)
{
  const struct fp_options options = {
    .connections = 8,
    .appends_per_s
    = test_case->appends_per_s == 0 ? 1000 : test_case->appends_per_s,
    .retention_ms
    = test_case->retention_ms == 0 ? 3600000 : test_case->retention_ms,
    .list_lag_ms = test_case->list_lag_ms,
    .weights_per_min
    = test_case->weights_per_min == 0 ? 600 : test_case->weights_per_min,
  };
  const struct hl_host host = {
    .name = "a",
    .address = "127.0.0.1:1",
    .role = "engine",
  };
  GError *error = NULL;
  struct fp_platform *platform = fp_create (&options, &error);
  assert_non_null (platform);
  fp_add_host (platform, &host);
  return platform;
}

static void
platform_answers_as_specified (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (platform_cases); i++)
    {
      const struct platform_case *test_case = &platform_cases[i];
      struct fp_platform *platform = start_platform (test_case);
      struct client *client = client_create (fp_port (platform));
      client_run (client, test_case->name, test_case->exchanges);
      client_destroy (client);
      fp_destroy (platform);
    }
}

/* Guards against offsets that change when records expire: a read from an
   expired offset starts at the oldest record left, and the next append gets
   the next offset.  */
static void
records_expire (void **state)
{
  (void)state;
  const struct platform_case test_case = { .retention_ms = 1 };
  struct fp_platform *platform = start_platform (&test_case);
  struct client *client = client_create (fp_port (platform));
  GString *answer = g_string_new (NULL);
  client_call (client, "/v1/log/a", "{\"record\":\"YQ==\"}", answer);
  do
    {
      g_usleep (1000);
      client_call (client, "/v1/log/a?from=0", NULL, answer);
    }
  while (strcmp (answer->str, "{\"first\":1,\"next\":1,\"records\":[]}") != 0);
  client_call (client, "/v1/log/a", "{\"record\":\"YQ==\"}", answer);
  assert_string_equal (answer->str, "{\"offset\":1}");
  g_string_free (answer, TRUE);
  client_destroy (client);
  fp_destroy (platform);
}

/* Argument of append_record. */
struct append
{
  uint16_t port;
};

/* Thread function: appends one record.  */
static gpointer
append_record (gpointer data)
{
  const struct append *append = data;
  struct client *client = client_create (append->port);
  GString *answer = g_string_new (NULL);
  client_call (client, "/v1/log/a", "{\"record\":\"YQ==\"}", answer);
  g_string_free (answer, TRUE);
  client_destroy (client);
  return NULL;
}

/* Guards against a waiting read that misses a record appended during the wait,
   which is long enough for another thread to append one.  */
static void
waiting_read_returns_new_record (void **state)
{
  (void)state;
  const struct platform_case test_case = { .name = "wait" };
  struct fp_platform *platform = start_platform (&test_case);
  struct append append = { .port = fp_port (platform) };
  struct client *client = client_create (append.port);
  GString *answer = g_string_new (NULL);
  GThread *thread = g_thread_new ("append", append_record, &append);
  int status
      = client_call (client, "/v1/log/a?from=0&wait_ms=9000", NULL, answer);
  g_thread_join (thread);
  assert_int_equal (status, 200);
  assert_non_null (strstr (answer->str, "\"record\":\"YQ==\""));
  g_string_free (answer, TRUE);
  client_destroy (client);
  fp_destroy (platform);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (platform_answers_as_specified),
    cmocka_unit_test (records_expire),
    cmocka_unit_test (waiting_read_returns_new_record),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
