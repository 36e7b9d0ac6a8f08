/* Tests of names, read from the host list and from engines' load reports, that
   are longer than any name that the configuration may have. */
#include "endpoint/engine.h"
#include "platform/host_list.h"
#include "standin/http_server.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

/* The longest name that the configuration may have. */
#define LONGEST                                                               \
  "a23456789-123456789-123456789-123456789-123456789-123456789-123"

G_STATIC_ASSERT (sizeof LONGEST == CFG_NAME_BYTES);

/* A name in the answers, and whether the entry with it is read. */
static const struct
{
  const char *name;
  bool is_read;
} names[] = {
  { "a", true },
  { LONGEST, true },
  { LONGEST "4", false },
  { LONGEST LONGEST, false },
};

/* Answers with a list of hosts or a load report that has all of `names'.  */
static void
answer (void *user, const struct hs_request *request, struct hs_answer *answer)
{
  (void)user;
  bool hosts = g_str_has_prefix (request->path, "/v1/hosts");
  answer->status = 200;
  g_string_assign (answer->body,
                   hosts ? "{\"version\":1,\"hosts\":[" : "{\"ranges\":[");
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      g_string_append_printf (
          answer->body,
          hosts ? "%s{\"name\":\"%s\",\"address\":\"127.0.0.1:1\","
                  "\"state\":\"leaving\",\"role\":\"engine\"}"
                : "%s{\"model\":\"%s\",\"first\":0,\"end\":4}",
          i == 0 ? "" : ",", names[i].name);
    }
  g_string_append (answer->body, "]}");
}

/* Returns the number of names that are read.  */
static uint32_t
count_read (void)
{
  uint32_t count = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      count += names[i].is_read;
    }
  return count;
}

/* Guards against a host that is taken for another one whose name its own
   begins with, and so against draining the wrong host.  */
static void
test_hosts (void **state)
{
  struct con_pool *pool = *state;
  struct hl_list list;
  bool changed = false;
  assert_int_equal (hl_get (pool, 0, &list, &changed), ERR_NONE);
  assert_true (changed);
  assert_int_equal (list.host_count, count_read ());
  for (uint32_t i = 0; i < list.host_count; i++)
    {
      assert_string_equal (list.hosts[i].name, names[i].name);
    }
  hl_clear (&list);
}

/* Guards against layers of a model that are taken for those of another one
   whose name its own begins with, and so against sending requests to an engine
   without their model.  */
static void
test_models (void **state)
{
  struct con_pool *pool = *state;
  struct eng_load_report load;
  assert_int_equal (eng_load_report_get (pool, &load), ERR_NONE);
  assert_int_equal (load.range_count, count_read ());
  for (uint32_t i = 0; i < load.range_count; i++)
    {
      assert_string_equal (load.ranges[i].model, names[i].name);
    }
}

int
main (void)
{
  const struct hs_options options = { .connections = 4, .handler = answer };
  struct hs_server *server = hs_create (&options, NULL);
  g_autofree char *url
      = g_strdup_printf ("http://127.0.0.1:%u", hs_port (server));
  struct con_pool *pool = con_pool_create (url);
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_prestate (test_hosts, pool),
    cmocka_unit_test_prestate (test_models, pool),
  };
  int failed = cmocka_run_group_tests (tests, NULL, NULL);
  con_pool_destroy (pool);
  hs_destroy (server);
  return failed;
}
