/* Tests of the decoding of the platform's messages. */
#include "platform/configuration.h"
#include "platform/prompt.h"
#include "platform/runner.h"
#include "platform/store.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

static const char config_text[]
    = "{\"Version\":7,\"Routes\":["
      "{\"Name\":\"r-1\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/x/\","
      "\"Kind\":\"stream\",\"TimeoutMs\":20000,\"TargetLatencyMs\":500,"
      "\"Priority\":1,\"TrafficSplit\":[{\"Service\":\"draft\",\"Weight\":90},"
      "{\"Service\":\"book\",\"Weight\":10}],\"MaxAttempts\":2,"
      "\"Resumable\":true,\"TargetGapMs\":200},"
      "{\"Name\":\"r-2\",\"Hostname\":\"a.example\",\"PathPrefix\":\"/x/y/\","
      "\"Kind\":\"non_idempotent\",\"TimeoutMs\":800,\"Service\":\"book\","
      "\"MaxAttempts\":1},"
      "{\"Name\":\"r-3\",\"Hostname\":\"b.example\",\"PathPrefix\":\"/x/\","
      "\"Kind\":\"idempotent\",\"Service\":\"book\",\"Public\":true},"
      "{\"Name\":\"r-4\",\"Hostname\":\"b.example\",\"PathPrefix\":\"/z/\","
      "\"Kind\":\"a kind of tomorrow\",\"Service\":\"nowhere\"}],"
      "\"Services\":[{\"Name\":\"draft\",\"Engine\":{\"Slots\":192,"
      "\"Layers\":80,\"LayerMb\":1750,\"Kinds\":[{\"Name\":\"l4\",\"Mb\":"
      "21600,"
      "\"pace\":16,\"ReadX\":8.2}],\"ActivationBytes\":21300,"
      "\"LinkMbps\":480000,\"PipeMbps\":4700,\"usual\":{\"prompt\":772,"
      "\"answer\":150}}}"
      ","
      "{\"Name\":\"book\",\"HealthPath\":\"/health\",\"MaxConns\":96}],"
      "\"Limits\":{\"MaxHeaderBytes\":100,\"IdleTimeoutMs\":9000},"
      "\"Tenants\":[{\"Name\":\"t-1\",\"ApiKeys\":[\"k1\",\"k2\"],"
      "\"Priority\":3},{\"Name\":\"t-2\",\"ApiKeys\":[]}]}";

static void
test_configuration (void **state)
{
  (void)state;
  struct flt_config *config
      = pfc_decode (config_text, strlen (config_text), NULL);
  assert_non_null (config);
  assert_int_equal (config->version, 7);
  assert_int_equal (config->routes[0].repeat, FLT_REPEAT_STREAM);
  assert_int_equal (config->routes[1].repeat, FLT_REPEAT_NEVER);
  assert_int_equal (config->routes[2].repeat, FLT_REPEAT_IDEMPOTENT);
  /* Requests of an unknown kind may not be retried. */
  assert_int_equal (config->routes[3].repeat, FLT_REPEAT_NEVER);
  assert_int_equal (config->routes[3].split_count, 0);
  assert_int_equal (config->routes[0].target_gap_us, 200000);
  assert_int_equal (config->limits.header_bytes_max, 100);
  assert_int_equal (config->limits.idle_timeout_us, 9000000);
  assert_int_equal (config->limits.body_bytes_max, 4194304);
  assert_int_equal (config->services[0].engine.layers, 80);
  assert_true (config->services[0].engine.kinds[0].prefill_factor == 8.2);
  assert_true (config->services[0].engine.activation_bytes == 21300);
  assert_true (config->services[0].engine.engine_link_mbps == 480000);
  assert_true (config->services[0].engine.data_centre_link_mbps == 4700);
  assert_false (config->services[1].has_engine);
  assert_string_equal (flt_find_account (config, "k2")->name, "t-1");
  assert_null (flt_find_account (config, "k3"));
  flt_release (config);
}

/* Guards against numbers of a configuration that don't fit their type: what
   the conversion makes of them depends on the processor.  */
static void
test_numbers_out_of_range (void **state)
{
  (void)state;
  static const int64_t longest_us = INT64_C (1000000000000000);
  static const struct
  {
    const char *number;
    int64_t duration_us;
    uint32_t count;
    uint64_t bytes;
  } rows[] = {
    { "1500", 1500000, 1500, 1500 },
    { "0.5", 500, 0, 0 },
    { "0", 0, 0, 0 },
    { "-1", 0, 0, 0 },
    { "-0.5", 0, 0, 0 },
    { "-1e300", 0, 0, 0 },
    { "-9223372036854775808", 0, 0, 0 },
    { "4294967295", INT64_C (4294967295000), UINT32_MAX, UINT32_MAX },
    { "4294967296", INT64_C (4294967296000), UINT32_MAX, 4294967296 },
    { "4294967296.5", INT64_C (4294967296500), UINT32_MAX, 4294967296 },
    { "9223372036854775807", longest_us, UINT32_MAX, INT64_MAX },
    { "1e19", longest_us, UINT32_MAX, UINT64_C (10000000000000000000) },
    { "1e300", longest_us, UINT32_MAX, UINT64_MAX },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"Version\":7,\"Routes\":[{\"Name\":\"r\",\"Hostname\":\"h\","
          "\"PathPrefix\":\"/\",\"TimeoutMs\":%s,\"MaxAttempts\":%s}],"
          "\"Limits\":{\"MaxHeaderBytes\":%s,\"MaxBodyBytes\":%s,"
          "\"IdleTimeoutMs\":%s}}",
          rows[i].number, rows[i].number, rows[i].number, rows[i].number,
          rows[i].number);
      struct flt_config *config = pfc_decode (text, strlen (text), NULL);
      assert_non_null (config);
      if (config->routes[0].timeout_us != rows[i].duration_us
          || config->routes[0].attempts_max != rows[i].count
          || config->limits.header_bytes_max != rows[i].count
          || config->limits.body_bytes_max != rows[i].bytes
          || config->limits.idle_timeout_us != rows[i].duration_us)
        {
          fail_msg ("%s: %ld us, %u, %u and %lu bytes, %ld us", rows[i].number,
                    (long)config->routes[0].timeout_us,
                    config->routes[0].attempts_max,
                    config->limits.header_bytes_max,
                    (unsigned long)config->limits.body_bytes_max,
                    (long)config->limits.idle_timeout_us);
        }
      flt_release (config);
    }
}

static void
test_routes (void **state)
{
  (void)state;
  static const struct
  {
    const char *host;
    const char *path;
    const char *expected;
  } rows[] = {
    { "a.example", "/x/1", "r-1" }, { "a.example", "/x/y/1", "r-2" },
    { "a.example", "/x/y", "r-1" }, { "b.example", "/x/y/1", "r-3" },
    { "a.example", "/q/1", NULL },  { "c.example", "/x/1", NULL },
    { "a.example", "/x", NULL },
  };
  struct flt_config *config
      = pfc_decode (config_text, strlen (config_text), NULL);
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      const struct flt_route *route
          = flt_find_route (config, rows[i].host, rows[i].path);
      assert_int_equal (route != NULL, rows[i].expected != NULL);
      if (route != NULL)
        {
          assert_string_equal (route->name, rows[i].expected);
        }
    }
  /* A split divides the requests by weight. */
  uint32_t draft = 0;
  for (uint32_t draw = 0; draw < 1000; draw++)
    {
      draft += flt_choose_service (&config->routes[0], draw) == 0;
    }
  assert_int_equal (draft, 900);
  assert_int_equal (flt_choose_service (&config->routes[3], 5), FLT_NO_INDEX);
  flt_release (config);
}

static void
test_configuration_invalid (void **state)
{
  (void)state;
  static const char *const rows[] = {
    "",
    "[]",
    "{\"Version\":\"7\"}",
    "{\"Version\":7,\"Routes\":[{}]}",
    "{\"Version\":7,\"Services\":[{\"HealthPath\":\"/\"}]}",
    "{\"Version\":7,\"Tenants\":[{\"ApiKeys\":[\"k\"]}]}",
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      g_autoptr (GError) error = NULL;
      assert_null (pfc_decode (rows[i], strlen (rows[i]), &error));
      assert_non_null (error);
    }
}

#define ENTRY                                                                 \
  "\"Service\":\"draft\",\"Address\":\"10.0.0.1:80\",\"Zone\":\"kgn\""

static void
test_endpoint_entries (void **state)
{
  (void)state;
  static const struct
  {
    const char *text;
    bool valid;
    bool leaving;
    uint32_t first;
    uint32_t end;
    bool busy;
  } rows[] = {
    { "{" ENTRY ",\"Slots\":6,\"State\":\"ready\"}", true, false, 0, 0,
      false },
    { "{" ENTRY ",\"Slots\":6,\"State\":\"draining\"}", true, true, 0, 0,
      false },
    { "{" ENTRY ",\"Slots\":6,\"State\":\"ready\",\"Layers\":{\"From\":20,"
      "\"Target\":31,\"Version\":1},\"Busy\":true,\"born\":17}",
      true, false, 20, 31, true },
    { "{" ENTRY ",\"Slots\":6,\"State\":\"asleep\"}", false, false, 0, 0,
      false },
    { "{" ENTRY ",\"Slots\":\"6\",\"State\":\"ready\"}", false, false, 0, 0,
      false },
    { "{" ENTRY ",\"Slots\":6,\"State\":\"ready\",\"born\":1.5}", false, false,
      0, 0, false },
    { "{\"Service\":\"draft\",\"Zone\":\"kgn\",\"Slots\":6,"
      "\"State\":\"ready\"}",
      false, false, 0, 0, false },
    { "{\"Service\":\"draft\",\"Zone\":\"kgn\",\"Slots\":6,"
      "\"State\":\"ready\",\"Address\":\"example.org:80\"}",
      false, false, 0, 0, false },
    { "{\"Service\":\"draft\",\"Zone\":\"kgn\",\"Slots\":6,"
      "\"State\":\"ready\",\"Address\":\"10.0.0.1:0\"}",
      false, false, 0, 0, false },
    { "{\"Service\":7,\"Address\":\"10.0.0.1:80\",\"Zone\":\"kgn\","
      "\"Slots\":6,\"State\":\"ready\"}",
      false, false, 0, 0, false },
    { "{\"Service\":\"draft\",\"Zone\":\"kgn\",\"Slots\":6,"
      "\"State\":\"ready\",\"Address\":\"10.0.0.1:70000\"}",
      false, false, 0, 0, false },
    { "{" ENTRY ",\"Slots\":1e300,\"State\":\"ready\"}", false, false, 0, 0,
      false },
    { "{" ENTRY ",\"Slots\":1e999,\"State\":\"ready\"}", false, false, 0, 0,
      false },
    { "{" ENTRY ",\"Slots\":-1,\"State\":\"ready\"}", false, false, 0, 0,
      false },
    { "{" ENTRY ",\"Slots\":6,\"State\":\"ready\","
      "\"born\":99999999999999999999}",
      false, false, 0, 0, false },
    { "{" ENTRY ",\"Slots\":6,\"State\":\"ready\","
      "\"Layers\":{\"From\":0,\"Target\":1e300}}",
      false, false, 0, 0, false },
    { "{" ENTRY ",\"Slots\":6,\"State\":\"ready\","
      "\"Layers\":{\"From\":-5,\"Target\":3}}",
      false, false, 0, 0, false },
    { "{" ENTRY ",\"Slots\":6,\"State\":\"ready\","
      "\"Layers\":{\"From\":9,\"Target\":3}}",
      false, false, 0, 0, false },
    { "not json", false, false, 0, 0, false },
    { "[1]", false, false, 0, 0, false },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      g_autoptr (GError) error = NULL;
      struct rst_endpoint *endpoint = pfr_decode_entry (
          "i-1", rows[i].text, strlen (rows[i].text), &error);
      if ((endpoint != NULL) != rows[i].valid)
        {
          fail_msg ("%s", rows[i].text);
        }
      assert_int_equal (error == NULL, rows[i].valid);
      if (endpoint != NULL)
        {
          assert_int_equal (endpoint->leaving, rows[i].leaving);
          assert_int_equal (endpoint->layers.first, rows[i].first);
          assert_int_equal (endpoint->layers.end, rows[i].end);
          assert_int_equal (endpoint->busy, rows[i].busy);
        }
      rst_endpoint_destroy (endpoint);
    }
}

/* Guards against entries that are nested deeply, or whose ids can't stand in a
   header.  */
static void
test_odd_entries (void **state)
{
  (void)state;
  enum
  {
    DEPTH = 1000000
  };
  static const char valid[] = "{" ENTRY ",\"Slots\":6,\"State\":\"ready\"}";
  static const char *const ids[] = { "", "i 1", "i-1\r\nHost: x", "i-\x7f" };
  g_autofree char *nested = g_malloc (DEPTH);
  memset (nested, '[', DEPTH);
  assert_null (pfr_decode_entry ("i-1", nested, DEPTH, NULL));
  for (size_t i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      assert_null (pfr_decode_entry (ids[i], valid, strlen (valid), NULL));
    }
}

static void
test_stalls (void **state)
{
  (void)state;
  static const struct
  {
    const char *text;
    int32_t expected; /* number of stalls; -1: invalid */
  } rows[] = {
    { "{\"Stalled\":[]}", 0 },
    { "{}", 0 },
    { "{\"Stalled\":[{\"Id\":\"a\",\"Address\":\"10.0.0.1:80\"},{}]}", 1 },
    { "[]", -1 },
    { "", -1 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      g_autoptr (GError) error = NULL;
      GPtrArray *stalls
          = pfr_decode_stalls (rows[i].text, strlen (rows[i].text), &error);
      assert_int_equal (stalls == NULL ? -1 : (int32_t)stalls->len,
                        rows[i].expected);
      if (stalls != NULL)
        {
          g_ptr_array_free (stalls, TRUE);
        }
    }
}

/* A page from offset 840 up to 842 with two records; the second is a
   removal.  */
static const char read_body[] = "\0\0\0\0\0\0\3\112\0\0\0\0\0\0\0\3"
                                "\0\0\0\4\1kab"
                                "\0\0\0\2\1q";

static void
test_read_page (void **state)
{
  (void)state;
  struct pfs_page page;
  assert_true (
      pfs_decode_read (read_body, sizeof read_body - 1, 840, &page, NULL));
  assert_int_equal (page.end, 842);
  assert_int_equal (page.first, 3);
  assert_false (page.more);
  assert_int_equal (page.records->len, 2);
  const struct pfs_record *record = g_ptr_array_index (page.records, 0);
  assert_string_equal (record->key, "k");
  assert_int_equal (record->value_bytes, 2);
  assert_memory_equal (record->value, "ab", 2);
  assert_int_equal (record->offset, 840);
  record = g_ptr_array_index (page.records, 1);
  assert_string_equal (record->key, "q");
  assert_null (record->value);
  assert_int_equal (record->offset, 841);
  pfs_clear_page (&page);
}

/* A truncated page is rejected unless it ends between two records.  A length
   that is cut off counts as not there yet.  */
static void
test_read_page_truncated (void **state)
{
  (void)state;
  for (size_t bytes = 0; bytes < sizeof read_body - 1; bytes++)
    {
      g_autoptr (GError) error = NULL;
      struct pfs_page page;
      bool at_length = bytes >= 16 && (bytes < 20 || bytes == 24);
      bool in_length = bytes > 24 && bytes < 28;
      bool valid = pfs_decode_read (read_body, bytes, 840, &page, &error);
      assert_int_equal (valid, at_length || in_length);
      assert_true (!valid || page.more);
      pfs_clear_page (&page);
    }
}

static void
test_newest_page (void **state)
{
  (void)state;
  static const char body[]
      = "{\"Items\":[{\"Key\":\"config\",\"Value\":\"YWI=\",\"Offset\":4},"
        "{\"Value\":\"YWI=\"}],\"HasMore\":true,\"End\":6}";
  struct pfs_page page;
  assert_true (pfs_decode_newest (body, strlen (body), &page, NULL));
  assert_int_equal (page.records->len, 1);
  const struct pfs_record *record = g_ptr_array_index (page.records, 0);
  assert_string_equal (record->key, "config");
  assert_memory_equal (record->value, "ab", 2);
  assert_int_equal (record->offset, 4);
  assert_int_equal (page.end, 6);
  assert_true (page.more);
  pfs_clear_page (&page);
  assert_false (pfs_decode_newest ("{}", 2, &page, NULL));
  pfs_clear_page (&page);
}

static void
test_join (void **state)
{
  (void)state;
  static const struct
  {
    const char *body;
    bool valid;
    bool leads;
    double share;
  } rows[] = {
    { "{\"Generation\":7,\"parts\":[[\"t\",0,-1],[\"t\",5,0]]}", true, true,
      0.125 },
    { "{\"Generation\":7,\"parts\":[[\"t\",3,0]]}", true, false, 0.0625 },
    { "{\"Generation\":7,\"parts\":[]}", true, false, 0 },
    { "{\"Generation\":7,\"parts\":[[]]}", true, false, 0.0625 },
    { "{\"parts\":[]}", false, false, 0 },
    { "", false, false, 0 },
  };
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct pfs_membership membership = { 0 };
      assert_int_equal (pfs_decode_join (rows[i].body, strlen (rows[i].body),
                                         16, &membership, NULL),
                        rows[i].valid);
      assert_int_equal (membership.leads, rows[i].leads);
      assert_true (membership.share == rows[i].share);
    }
}

/* The parts that other prompts may share: all but the last one.  */
static void
test_shared_parts (void **state)
{
  (void)state;
  static const struct
  {
    const char *text;
    const char *shared;
  } cases[] = {
    { "5c1e07a2:800,91BD3F06:410,e4402b7d:250", "5c1e07a2,91bd3f06" },
    { "5c1e07a2:800", "" },
    { " 1:2 , 3:4", "1" },
    { "5c1e07a2,e4402b7d", "5c1e07a2" },
    { "", "" },
    { NULL, "" },
    { "a/b:1,c d:2,,:3,f:4,0:5", "f" },
    { "0123456789abcdef0123456789abcdef0:1,1:2", "" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_auto (GStrv) parts = pfp_decode_shared_parts (cases[i].text);
      g_autofree char *joined = g_strjoinv (",", parts);
      assert_string_equal (joined, cases[i].shared);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_configuration),
    cmocka_unit_test (test_numbers_out_of_range),
    cmocka_unit_test (test_routes),
    cmocka_unit_test (test_configuration_invalid),
    cmocka_unit_test (test_endpoint_entries),
    cmocka_unit_test (test_odd_entries),
    cmocka_unit_test (test_stalls),
    cmocka_unit_test (test_shared_parts),
    cmocka_unit_test (test_read_page),
    cmocka_unit_test (test_read_page_truncated),
    cmocka_unit_test (test_newest_page),
    cmocka_unit_test (test_join),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
