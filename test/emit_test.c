#include "config/parse.h"

#include "base/error.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define EXAMPLE "examples/configuration.yaml"

/* Parses TEXT, which must be a valid configuration.  */
static struct cfg_config *
parse (const char *text)
{
  GString *messages = g_string_new (NULL);
  struct cfg_config *config
      = cfg_parse ("f.yaml", text, strlen (text), messages, NULL);
  assert_string_equal (messages->str, "");
  assert_non_null (config);
  g_string_free (messages, TRUE);
  return config;
}

/* Returns the example configuration with the first occurrence of OLD replaced
   by NEW, or unchanged when OLD is NULL.  */
static struct cfg_config *
example_with (const char *old, const char *new)
{
  char *text = NULL;
  assert_true (g_file_get_contents (EXAMPLE, &text, NULL, NULL));
  if (old != NULL)
    {
      assert_non_null (strstr (text, old));
      GString *changed = g_string_new (text);
      g_string_replace (changed, old, new, 1);
      g_free (text);
      text = g_string_free (changed, FALSE);
    }
  struct cfg_config *config = parse (text);
  g_free (text);
  return config;
}

/* A configuration that is emitted and parsed again has no changes and is
   emitted as the same text, also when values need quotes.  */
static void
emitted_yaml_parses_to_the_same_configuration (void **state)
{
  (void)state;
  static const char *const texts[] = {
    NULL, /* the example */
    "version: 1\n",
    "version: 2\ndata_centres: [{name: 'null', region: '123'}, {name: yes, "
    "region: '-'}]\n",
    "version: 9\nservices: [{name: s, idempotent: [{method: GET, "
    "path_prefix: '/a,]}\"''[{&*!|>%@`:b\\'}]}]\n",
  };
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      struct cfg_config *first
          = texts[i] == NULL ? example_with (NULL, NULL) : parse (texts[i]);
      char *text = cfg_emit (first);
      struct cfg_config *second = parse (text);
      char *again = cfg_emit (second);
      char *changes = cfg_diff (first, second);
      assert_string_equal (text, again);
      assert_string_equal (changes, "");
      g_free (text);
      g_free (again);
      g_free (changes);
      cfg_config_destroy (first);
      cfg_config_destroy (second);
    }
}

static void
emitted_yaml_is_canonical (void **state)
{
  (void)state;
  struct cfg_config *config = parse (
      "version: 2\ndata_centres: [{region: r, name: a}, {name: '12', region: "
      "r}]\nlinks: [{from: '12', to: a, delay_us: 5, mbit_per_s: 7}]\n"
      "services: [{name: s, idempotent: [{method: GET, path_prefix: /x}]}]\n"
      "hosts: [{name: h, address: '1.2.3.4:5', role: service, data_centre: a,"
      " service: s}]\n");
  char *text = cfg_emit (config);
  assert_string_equal (
      text, "version: 2\n"
            "accounts: []\n"
            "models: []\n"
            "data_centres:\n"
            "- {name: a, region: r}\n"
            "- {name: \"12\", region: r}\n"
            "links:\n"
            "- {from: a, to: \"12\", delay_us: 5, mbit_per_s: 7}\n"
            "hosts:\n"
            "- {name: h, address: \"1.2.3.4:5\", role: service, data_centre: "
            "a, fencing: ignored, service: s}\n"
            "services:\n"
            "- {name: s, idempotent: [{method: GET, path_prefix: /x}]}\n"
            "rules:\n"
            "  profile: throughput\n"
            "  placement: automatic\n"
            "  spare_hosts: 1\n"
            "  key_lifetime_s: 86400\n"
            "  queue_length: 256\n"
            "  default_deadline_ms: 60000\n"
            "  max_tokens: 1024\n"
            "  prompt_bytes: 65536\n");
  g_free (text);
  cfg_config_destroy (config);
}

/* A replacement in the example configuration and the changes it makes. */
struct diff_case
{
  const char *old; /* in the example */
  const char *new;
  const char *changes; /* expected from cfg_diff */
};

static const struct diff_case diff_cases[] = {
  { "version: 1\n", "version: 2\n", "version: 1 -> 2\n" },
  { "weight: 3", "weight: 4", "accounts.brightwell.weight: 3 -> 4\n" },
  { "availability: 0.999,", "availability: 0.99,",
    "accounts.brightwell.objective.availability: 0.999 -> 0.99\n" },
  { "token_sha256: 0", "token_sha256: 7",
    "accounts.brightwell.token_sha256: changed\n" },
  { "name: engine-3,", "name: engine-4,",
    "hosts.engine-4: added\nhosts.engine-3: removed\n" },
  { "kind: small", "draining: true, kind: small",
    "hosts.engine-3.draining: none -> true\n" },
  { "service: booking}", "service: booking, draining: true}",
    "hosts.booking-1.draining: none -> true\n" },
  { "from: kingston-1, to: kingston-2, delay_us: 500",
    "from: kingston-2, to: kingston-1, delay_us: 600",
    "links.kingston-1-kingston-2.delay_us: 500 -> 600\n" },
  { "path_prefix: /lookup}", "path_prefix: /find}",
    "services.booking.idempotent: GET /lookup -> GET /find\n" },
  { "profile: throughput", "profile: recovery",
    "rules.profile: throughput -> recovery\n" },
  { "mbit_per_s: 1000}", "mbit_per_s: 1000} # same", "" },
};

static void
diff_lists_changes (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (diff_cases); i++)
    {
      struct cfg_config *from = example_with (NULL, NULL);
      struct cfg_config *to
          = example_with (diff_cases[i].old, diff_cases[i].new);
      char *changes = cfg_diff (from, to);
      assert_string_equal (changes, diff_cases[i].changes);
      g_free (changes);
      cfg_config_destroy (from);
      cfg_config_destroy (to);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (emitted_yaml_parses_to_the_same_configuration),
    cmocka_unit_test (emitted_yaml_is_canonical),
    cmocka_unit_test (diff_lists_changes),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
