#include "config/parse.h"

#include "base/error.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define TOKEN_SHA256                                                          \
  "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define OTHER_TOKEN_SHA256                                                    \
  "1123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"
#define DATA_CENTRES                                                          \
  "data_centres: [{name: a, region: r}, {name: b, region: r}]\n"
#define ENGINE                                                                \
  "role: engine, data_centre: a, kind: k, accelerators: 1, memory_mib: 1, "   \
  "layer_tokens_per_s: 1"

static struct cfg_config *
parse (const char *text, GString *messages, GError **error)
{
  return cfg_parse ("f.yaml", text, strlen (text), messages, error);
}

/* A configuration with errors. */
struct invalid_case
{
  const char *text;
  const char *messages[4]; /* in order; text that each line starts with */
};

static const struct invalid_case invalid_cases[] = {
  /* the document */
  { "", { "f.yaml:1: empty" } },
  { "version: 1\n--- \nversion: 1\n", { "f.yaml:2: a second document" } },
  { "- 1\n", { "f.yaml:1: the file: is not a map" } },
  { "version: [1\n", { "f.yaml:2: not YAML" } },
  { "version: &a 1\n", { "f.yaml:1: anchors and aliases are not allowed" } },
  { "version: *a\n", { "f.yaml:1: anchors and aliases are not allowed" } },
  { "version: !!int 1\n", { "f.yaml:1: tags are not allowed" } },
  { "version: \"1\\0\"\n", { "f.yaml:1: control character" } },
  { "version: 1\nmodels: \xff\xfe\n", { "f.yaml:2: not YAML in UTF-8" } },
  { "version: 1\nmodels: \x01\n", { "f.yaml:2: not YAML in UTF-8" } },
  { "version: 1\nmodels: [[[[[[[[[[\n", { "f.yaml:2: nested too deeply" } },
  /* keys */
  { "models: []\n", { "f.yaml:1: version: is missing" } },
  { "version: 1\nversion: 1\n",
    { "f.yaml:2: version: duplicate key, first set on line 1" } },
  { "version: 1\nmodel: []\n",
    { "f.yaml:2: model: unknown key, did you mean 'models'; allowed: "
      "version, accounts" } },
  { "version: 1\nxyzzyxyzzyxyzzy: 1\n",
    { "f.yaml:2: xyzzyxyzzyxyzzy: unknown key; allowed: version" } },
  { "version: 1\n[a]: 1\n", { "f.yaml:2: : a key is a list" } },
  /* types and ranges */
  { "version: 0\n",
    { "f.yaml:1: version: '0' is out of range; allowed: a "
      "whole number, 1 to 9223372036854775807" } },
  { "version: -1\n", { "f.yaml:1: version: '-1' is not a whole number" } },
  { "version: 99999999999999999999\n",
    { "f.yaml:1: version: '99999999999999999999' is out of range" } },
  { "version: '1'\n", { "f.yaml:1: version: '1' is not a whole number" } },
  { "version:\n", { "f.yaml:1: version: has no value" } },
  { "version: [1]\n", { "f.yaml:1: version: is a list" } },
  { "version: 1\nmodels: 7\n", { "f.yaml:2: models: is not a list" } },
  { "version: 1\nmodels: [7]\n", { "f.yaml:2: models[0]: is not a map" } },
  { "version: 1\nrules: []\n", { "f.yaml:2: rules: is not a map" } },
  { "version: 1\nrules: {profile: fast}\n",
    { "f.yaml:2: rules.profile: 'fast' is unknown; allowed: throughput, "
      "recovery" } },
  /* several at once, each on its line */
  { "version: x\nmodels:\n  - {name: 'a b', layers: 0}\nrules: {spare: 1}\n",
    { "f.yaml:1: version: 'x' is not",
      "f.yaml:3: models[0].name: 'a b' is not allowed; allowed: 1 to 63",
      "f.yaml:3: models[0].layers: '0' is out of range",
      "f.yaml:3: models[0].layer_memory_mib: is missing" } },
  /* names, references */
  { "version: 1\ndata_centres:\n  - {name: a, region: r}\n  - {name: a, "
    "region: r}\n",
    { "f.yaml:4: data_centres[1].name: 'a' is already used on line 3" } },
  { "version: 1\n" DATA_CENTRES
    "links: [{from: a, to: c, delay_us: 1, mbit_per_s: 1}]\n",
    { "f.yaml:3: links[0].to: 'c' is not listed; allowed: a name listed under "
      "data_centres" } },
  { "version: 1\n" DATA_CENTRES
    "links: [{from: a, to: a, delay_us: 1, mbit_per_s: 1}]\n",
    { "f.yaml:3: links[0].to: the same data centre" } },
  { "version: 1\n" DATA_CENTRES "links:\n  - {from: a, to: b, delay_us: 1, "
    "mbit_per_s: 1}\n  - {from: b, to: a, delay_us: 1, mbit_per_s: 1}\n",
    { "f.yaml:5: links[1]: the pair is listed already" } },
  /* hosts */
  { "version: 1\n" DATA_CENTRES
    "hosts: [{name: h, address: '1.2.3.4:0', " ENGINE "}]\n",
    { "f.yaml:3: hosts[0].address: '1.2.3.4:0' is not allowed; allowed: "
      "IP:PORT" } },
  { "version: 1\n" DATA_CENTRES "hosts: [{name: h, address: 'db:80', " ENGINE
    "}]\n",
    { "f.yaml:3: hosts[0].address: 'db:80' is not allowed" } },
  { "version: 1\n" DATA_CENTRES
    "hosts:\n  - {name: h, address: '1.2.3.4:1', " ENGINE
    "}\n  - {name: i, address: '1.2.3.4:1', " ENGINE "}\n",
    { "f.yaml:5: hosts[1].address: an earlier item has the same value" } },
  { "version: 1\n" DATA_CENTRES
    "hosts: [{name: h, address: '1.2.3.4:1', role: "
    "service, data_centre: a, kind: k}]\n",
    { "f.yaml:3: hosts[0].kind: does not fit the role; allowed: only for role "
      "engine",
      "f.yaml:3: hosts[0].service: is missing; role service needs it" } },
  { "version: 1\n" DATA_CENTRES
    "hosts: [{name: h, address: '1.2.3.4:1', role: "
    "engine, data_centre: a, kind: k, accelerators: 1, memory_mib: 1}]\n",
    { "f.yaml:3: hosts[0].layer_tokens_per_s: is missing; role engine" } },
  /* accounts */
  { "version: 1\naccounts: [{name: a, token_sha256: my-secret}]\n",
    { "f.yaml:2: accounts[0].token_sha256: the value is not allowed; allowed: "
      "64 lower-case hexadecimal digits" } },
  { "version: 1\naccounts:\n  - {name: a, token_sha256: " TOKEN_SHA256
    "}\n  - {name: b, token_sha256: " TOKEN_SHA256 "}\n",
    { "f.yaml:4: accounts[1].token_sha256: an earlier item has the same "
      "value" } },
  { "version: 1\naccounts: [{name: a, token_sha256: " TOKEN_SHA256
    ", objective: {availability: 1.5}}]\n",
    { "f.yaml:2: accounts[0].objective.availability: '1.5' is out of range; "
      "allowed: a number, 0.5 to 0.999999" } },
  { "version: 1\naccounts: [{name: a, token_sha256: " TOKEN_SHA256
    ", objective: {availability: nan}}]\n",
    { "f.yaml:2: accounts[0].objective.availability: 'nan' is not a" } },
  /* services */
  { "version: 1\nservices: [{name: s, idempotent: [{method: get, "
    "path_prefix: x}]}]\n",
    { "f.yaml:2: services[0].idempotent[0].method: 'get' is not allowed",
      "f.yaml:2: services[0].idempotent[0].path_prefix: 'x' is not" } },
};

/* Each error is one line with the file, line and key, and cfg_parse returns
   NULL.  */
static void
invalid_configurations_are_rejected (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_cases); i++)
    {
      const struct invalid_case *c = &invalid_cases[i];
      GString *messages = g_string_new (NULL);
      GError *error = NULL;
      struct cfg_config *config = parse (c->text, messages, &error);
      assert_null (config);
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

/* A token that is given in place of its SHA-256 digest does not appear in the
   error message.  */
static void
secrets_are_not_shown (void **state)
{
  (void)state;
  GString *messages = g_string_new (NULL);
  struct cfg_config *config
      = parse ("version: 1\naccounts: [{name: a, token_sha256: my-secret}]\n",
               messages, NULL);
  assert_null (config);
  assert_null (strstr (messages->str, "my-secret"));
  g_string_free (messages, TRUE);
}

/* The value of each key is stored in its member, converted to the unit of the
   member.  */
static void
values_are_converted (void **state)
{
  (void)state;
  GString *messages = g_string_new (NULL);
  GError *error = NULL;
  struct cfg_config *config = parse (
      "version: 3\n"
      "hosts:\n"
      "  - {name: e, address: '[::1]:9', role: engine, data_centre: b, kind: "
      "k,"
      " accelerators: 2, memory_mib: 3, layer_tokens_per_s: 4, fencing: "
      "checked, draining: true}\n"
      "  - {name: s, address: '1.2.3.4:9', role: service, data_centre: a, "
      "service: t}\n"
      "accounts: [{name: x, token_sha256: " OTHER_TOKEN_SHA256
      ", requests_per_s: 5, tokens_per_s: 6, streams: 7, weight: 8, "
      "objective: {availability: 0.99, first_token_ms: 1, between_tokens_ms: "
      "2, settled_ms: 3}}]\n"
      "models: [{name: m, layers: 9, layer_memory_mib: 10, activation_bytes: "
      "11, demand_weight: 12}]\n" DATA_CENTRES
      "links: [{from: b, to: a, delay_us: 13, mbit_per_s: 8}]\n"
      "services: [{name: q}, {name: t, idempotent: [{method: GET, "
      "path_prefix: /l}]}]\n"
      "rules: {profile: recovery, spare_hosts: 0, max_tokens: 5}\n",
      messages, &error);
  assert_string_equal (messages->str, "");
  assert_non_null (config);
  assert_null (error);
  assert_int_equal (config->version, 3);
  assert_int_equal (config->base_version, 2);
  assert_int_equal (config->host_count, 2);
  const struct cfg_host *engine = &config->hosts[0];
  assert_string_equal (engine->address, "[::1]:9");
  assert_int_equal (engine->role, CFG_HOST_ENGINE);
  assert_int_equal (engine->data_centre, 1);
  assert_int_equal (engine->accelerators, 2);
  assert_int_equal (engine->memory_mib, 3);
  assert_int_equal (engine->layer_tokens_per_s, 4);
  assert_int_equal (engine->fencing, CFG_FENCING_CHECKED);
  assert_int_equal (engine->service, CFG_NO_INDEX);
  assert_true (engine->draining);
  assert_int_equal (config->hosts[1].service, 1);
  assert_false (config->hosts[1].draining);
  const struct cfg_account *account = &config->accounts[0];
  assert_string_equal (account->token_sha256, OTHER_TOKEN_SHA256);
  assert_int_equal (account->weight, 8);
  assert_true (account->objective.availability == 0.99);
  assert_int_equal (account->objective.first_token_us, 1000);
  assert_int_equal (account->objective.between_tokens_us, 2000);
  assert_int_equal (account->objective.settled_us, 3000);
  assert_int_equal (config->models[0].activation_bytes, 11);
  assert_int_equal (config->link_count, 2);
  assert_int_equal (cfg_link_between (config, 0, 1)->delay_us, 13);
  assert_int_equal (cfg_link_between (config, 1, 0)->bytes_per_s, 1000000);
  assert_int_equal (config->services[1].idempotent_count, 1);
  assert_string_equal (config->services[1].idempotent[0].path_prefix, "/l");
  assert_int_equal (config->rules.profile, CFG_PROFILE_RECOVERY);
  assert_int_equal (config->rules.spare_hosts, 0);
  assert_int_equal (config->rules.max_tokens, 5);
  assert_int_equal (config->rules.queue_length, 256);
  cfg_config_destroy (config);
  g_string_free (messages, TRUE);
}

/* Malicious text is rejected with a bounded amount of error messages: text
   that is too long, nested too deeply, or has very many errors or values.  */
static void
errors_of_malicious_text_are_bounded (void **state)
{
  (void)state;
  GString *big[4];
  for (size_t i = 0; i < G_N_ELEMENTS (big); i++)
    {
      big[i] = g_string_new (i == 0 ? "" : "version: 1\nhosts: [");
    }
  while (big[0]->len <= CFG_TEXT_BYTES_MAX)
    {
      g_string_append (big[0], "# filler\n");
    }
  while (big[3]->len < CFG_TEXT_BYTES_MAX - 8)
    {
      g_string_append (big[1], big[1]->len < 100000 ? "[" : "");
      g_string_append (big[2], big[2]->len < 15000 ? "1," : "");
      g_string_append (big[3], "1,");
    }
  for (size_t i = 0; i < G_N_ELEMENTS (big); i++)
    {
      GString *messages = g_string_new (NULL);
      GError *error = NULL;
      assert_null (parse (big[i]->str, messages, &error));
      assert_int_equal (err_kind_of (error), ERR_CONFIG_INVALID);
      assert_in_range (messages->len, 1, 100000);
      g_clear_error (&error);
      g_string_free (messages, TRUE);
      g_string_free (big[i], TRUE);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (invalid_configurations_are_rejected),
    cmocka_unit_test (secrets_are_not_shown),
    cmocka_unit_test (values_are_converted),
    cmocka_unit_test (errors_of_malicious_text_are_bounded),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
