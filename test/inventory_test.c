#include "config/inventory.h"

#include "base/error.h"
#include "config/parse.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define HEADER                                                                \
  "host,address,data_centre,kind,accelerators,memory_gib,layer_tokens_per_s," \
  "fencing\n"
#define BASE                                                                  \
  "version: 4\n"                                                              \
  "data_centres: [{name: a, region: r}, {name: b, region: r}]\n"              \
  "services: [{name: s}]\n"                                                   \
  "hosts:\n"                                                                  \
  "  - {name: old, address: '10.0.0.9:1', role: engine, data_centre: a, "     \
  "kind: k, accelerators: 1, memory_mib: 1, layer_tokens_per_s: 1}\n"         \
  "  - {name: e1, address: '10.0.0.1:1', role: engine, data_centre: a, "      \
  "kind: k, accelerators: 1, memory_mib: 1, layer_tokens_per_s: 1, "          \
  "draining: true}\n"                                                         \
  "  - {name: s1, address: '10.0.0.8:1', role: service, data_centre: a, "     \
  "service: s}\n"

static struct cfg_config *
import (const char *csv, const char *base, GString *messages, GError **error)
{
  struct inv_file csv_file = { "r.csv", csv, strlen (csv) };
  struct inv_file base_file
      = { "b.yaml", base, base == NULL ? 0 : strlen (base) };
  return inv_import (&csv_file, base == NULL ? NULL : &base_file, messages,
                     error);
}

/* A register with errors, and its base or NULL. */
struct invalid_case
{
  const char *csv;
  const char *base;
  const char *messages[3]; /* in order; text that each line starts with */
};

static const struct invalid_case invalid_cases[] = {
  /* header */
  { "", NULL, { "r.csv:1: empty" } },
  { "host,address\n",
    NULL,
    { "r.csv:1: data_centre: the column is missing",
      "r.csv:1: kind: the column is missing" } },
  { "hots," HEADER,
    NULL,
    { "r.csv:1: hots: unknown column, did you mean 'host'; allowed: "
      "host, " } },
  { "host," HEADER,
    NULL,
    { "r.csv:1: host: the column appears 2 times; allowed: once" } },
  { "host,address,data_centre,kind,accelerators,memory_mb,layer_tokens_per_s"
    "\n",
    NULL,
    { "r.csv:1: memory_mb: unknown unit; allowed: memory_mib, memory_gib, "
      "memory_tib, memory_gb",
      "r.csv:1: memory: the column is missing" } },
  { "host,address,data_centre,kind,accelerators,memory,layer_tokens_per_s\n",
    NULL,
    { "r.csv:1: memory: unknown unit" } },
  { "host,address,data_centre,kind,accelerators,memory_gib,"
    "layer_tokens_per_day\n",
    NULL,
    { "r.csv:1: layer_tokens_per_day: unknown unit; allowed: "
      "layer_tokens_per_s, layer_tokens_per_ms, layer_tokens_per_min" } },
  /* rows */
  { HEADER "e1,10.0.0.1:1,a,k,1\n",
    NULL,
    { "r.csv:2: 5 fields; allowed: 8" } },
  { HEADER "\"e1,10.0.0.1:1,a,k,1,1,1,checked\n",
    NULL,
    { "r.csv:2: a quote is not closed on its line" } },
  { HEADER "\"e1\"x,10.0.0.1:1,a,k,1,1,1,checked\n",
    NULL,
    { "r.csv:2: text after a closing quote" } },
  { HEADER "e\x01,10.0.0.1:1,a,k,1,1,1,checked\n",
    NULL,
    { "r.csv:2: control character" } },
  { HEADER "\xff,10.0.0.1:1,a,k,1,1,1,checked\n",
    NULL,
    { "r.csv:1: not valid UTF-8 text" } },
  { HEADER "\ne1,db:1,a,k,0,x,1,maybe\n",
    NULL,
    { "r.csv:3: memory: 'x' is not a number; allowed: a number, 0 or more",
      "r.csv:3: hosts[0].address: 'db:1' is not allowed; allowed: IP:PORT",
      "r.csv:3: hosts[0].accelerators: '0' is out of range" } },
  { HEADER "e1,10.0.0.1:1,a,,1,1,1,checked\n",
    NULL,
    { "r.csv:2: hosts[0].kind: is missing; role engine needs it" } },
  { HEADER "e1,10.0.0.1:1,a,k,1,1,1,checked\n"
           "e1,10.0.0.2:1,a,k,1,1,1,checked\n"
           "e2,10.0.0.1:1,a,k,1,1,1,checked\n",
    NULL,
    { "r.csv:3: hosts[1].name: 'e1' is already used on line 2" } },
  /* with a base */
  { HEADER "e1,10.0.0.1:1,c,k,1,1,1,checked\n",
    BASE,
    { "r.csv:2: hosts[1].data_centre: 'c' is not listed; allowed: a name "
      "listed under data_centres" } },
  { HEADER "e1,10.0.0.8:1,a,k,1,1,1,checked\n",
    BASE,
    { "r.csv:2: hosts[1].address: an earlier item has the same value" } },
  { HEADER, "version: 0\n", { "b.yaml:1: version: '0' is out of range" } },
};

static void
invalid_registers_are_rejected (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_cases); i++)
    {
      const struct invalid_case *c = &invalid_cases[i];
      GString *messages = g_string_new (NULL);
      GError *error = NULL;
      assert_null (import (c->csv, c->base, messages, &error));
      assert_int_equal (err_kind_of (error), ERR_CONFIG_INVALID);
      char **lines = g_strsplit (messages->str, "\n", 0);
      for (size_t j = 0; j < G_N_ELEMENTS (c->messages); j++)
        {
          if (c->messages[j] != NULL
              && !g_str_has_prefix (lines[j], c->messages[j]))
            {
              fail_msg ("case %zu: `%s' does not start with `%s'", i, lines[j],
                        c->messages[j]);
            }
        }
      g_strfreev (lines);
      g_clear_error (&error);
      g_string_free (messages, TRUE);
    }
}

/* Units and values of two columns, and the expected members of the host. */
struct unit_case
{
  const char *memory_column;
  const char *memory;
  const char *tokens_column;
  const char *tokens;
  uint32_t memory_mib;
  uint32_t layer_tokens_per_s;
};

static const struct unit_case unit_cases[] = {
  { "memory_mib", "1024", "layer_tokens_per_s", "7", 1024, 7 },
  { "memory_gib", "48", "layer_tokens_per_ms", "24", 49152, 24000 },
  { "memory_gib", "0.5", "layer_tokens_per_min", "600", 512, 10 },
  { "memory_tib", "1", "layer_tokens_per_s", "1e3", 1048576, 1000 },
  { "memory_gb", "80", "layer_tokens_per_min", "119", 76293, 1 },
};

static void
units_are_converted (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (unit_cases); i++)
    {
      const struct unit_case *c = &unit_cases[i];
      char *csv = g_strdup_printf (
          "host,address,data_centre,kind,accelerators,%s,%s\r\n"
          "e,10.0.0.1:1,a,k,1,%s,%s\r\n",
          c->memory_column, c->tokens_column, c->memory, c->tokens);
      GString *messages = g_string_new (NULL);
      struct cfg_config *config = import (csv, NULL, messages, NULL);
      assert_string_equal (messages->str, "");
      assert_int_equal (config->hosts[0].memory_mib, c->memory_mib);
      assert_int_equal (config->hosts[0].layer_tokens_per_s,
                        c->layer_tokens_per_s);
      cfg_config_destroy (config);
      g_string_free (messages, TRUE);
      g_free (csv);
    }
}

/* The hosts of the base are replaced, but a host that stays keeps its
   `draining' flag, and hosts of services are kept.  */
static void
hosts_of_base_are_replaced (void **state)
{
  (void)state;
  GString *messages = g_string_new (NULL);
  struct cfg_config *config = import (
      "\xef\xbb\xbf" HEADER "\"e1\", 10.0.0.1:1 ,b,\"k\",2,2,5,checked\n"
      "e2,10.0.0.2:1,a,k,1,1,1,\n",
      BASE, messages, NULL);
  assert_string_equal (messages->str, "");
  assert_int_equal (config->version, 5);
  assert_int_equal (config->base_version, 4);
  assert_int_equal (config->host_count, 3);
  assert_string_equal (config->hosts[0].name, "s1");
  const struct cfg_host *e1 = cfg_find_host (config, "e1");
  const struct cfg_host *e2 = cfg_find_host (config, "e2");
  assert_true (e1->draining);
  assert_int_equal (e1->data_centre, 1);
  assert_int_equal (e1->accelerators, 2);
  assert_int_equal (e1->fencing, CFG_FENCING_CHECKED);
  assert_false (e2->draining);
  assert_int_equal (e2->fencing, CFG_FENCING_IGNORED);
  assert_null (cfg_find_host (config, "old"));
  cfg_config_destroy (config);
  g_string_free (messages, TRUE);
}

/* If the register has the column `service', its hosts replace the hosts of
   services too.  */
static void
register_may_list_service_hosts (void **state)
{
  (void)state;
  GString *messages = g_string_new (NULL);
  struct cfg_config *config
      = import ("host,address,data_centre,kind,accelerators,memory_gib,"
                "layer_tokens_per_s,service\n"
                "e1,10.0.0.1:1,b,k,2,2,5,\n"
                "s2,10.0.0.2:1,a,,,,,s\n",
                BASE, messages, NULL);
  assert_string_equal (messages->str, "");
  assert_int_equal (config->host_count, 2);
  assert_int_equal (config->hosts[1].role, CFG_HOST_SERVICE);
  assert_int_equal (config->hosts[1].service, 0);
  cfg_config_destroy (config);
  g_string_free (messages, TRUE);
}

/* Without a base, the configuration has the data centres that the register
   names, and its YAML text is valid.  */
static void
register_without_base_creates_configuration (void **state)
{
  (void)state;
  GString *messages = g_string_new (NULL);
  struct cfg_config *config
      = import (HEADER "e1,10.0.0.1:1,b,k,2,2,5,checked\n"
                       "e2,10.0.0.2:1,a,k,2,2,5,checked\n"
                       "e3,10.0.0.3:1,b,k,2,2,5,checked\n",
                NULL, messages, NULL);
  assert_string_equal (messages->str, "");
  assert_int_equal (config->data_centre_count, 2);
  assert_string_equal (config->data_centres[0].name, "b");
  char *text = cfg_emit (config);
  struct cfg_config *again
      = cfg_parse ("again", text, strlen (text), messages, NULL);
  assert_non_null (again);
  g_free (text);
  cfg_config_destroy (again);
  cfg_config_destroy (config);
  g_string_free (messages, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (invalid_registers_are_rejected),
    cmocka_unit_test (units_are_converted),
    cmocka_unit_test (hosts_of_base_are_replaced),
    cmocka_unit_test (register_may_list_service_hosts),
    cmocka_unit_test (register_without_base_creates_configuration),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
