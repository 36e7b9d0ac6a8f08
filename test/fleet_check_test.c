/* Tests of the check of a configuration before it is published, and of the
   comparison with the one in force. */
#include "core/fleet_check.h"

#include "cli/cli.h"
#include "platform/configuration.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#define FINDINGS_MAX 4

/* Members of a sound configuration. */
#define AT(NAME, PREFIX)                                                      \
  "{\"Name\":\"" NAME "\",\"Hostname\":\"h\",\"PathPrefix\":\"" PREFIX "\","
#define GOOD AT ("r", "/r/") "\"TimeoutMs\":600,\"Service\":\"s\"}"
#define SERVICE "{\"Name\":\"s\"}"
#define ACCOUNT "{\"Name\":\"a\",\"ApiKeys\":[\"key-a\"]}"
#define LIMITS ""

/* Lists of a configuration's items, in JSON. */
struct fleet_text
{
  const char *routes;
  const char *services;
  const char *accounts;
  const char *limits;
};

static char *
compose (const struct fleet_text *text, int version)
{
  return g_strdup_printf ("{\"Version\":%d,\"Routes\":[%s],\"Services\":[%s],"
                          "\"Tenants\":[%s],\"Limits\":{%s}}",
                          version, text->routes, text->services,
                          text->accounts, text->limits);
}

static struct flt_config *
decode (const char *text)
{
  GError *error = NULL;
  struct flt_config *config = pfc_decode (text, strlen (text), &error);
  assert_null (error);
  assert_non_null (config);
  return config;
}

/* Checks that FINDINGS are the EXPECTED ones in any order, each `SEVERITY
   ENTRY: ' and a part of the text, and no others.  Frees FINDINGS.  */
static void
assert_findings (const char *name, GPtrArray *findings,
                 const char *const *expected)
{
  static const char *const severities[] = { "error", "warning", "change" };
  guint expected_count = 0;
  bool good = true;
  for (; expected_count < FINDINGS_MAX && expected[expected_count] != NULL;
       expected_count++)
    {
      const char *part = strstr (expected[expected_count], ": ") + 2;
      guint matches = 0;
      for (guint i = 0; i < findings->len; i++)
        {
          const struct fck_finding *finding = g_ptr_array_index (findings, i);
          g_autofree char *start = g_strdup_printf (
              "%s %s: ", severities[finding->severity], finding->entry);
          matches += g_str_has_prefix (expected[expected_count], start)
                     && strstr (finding->text, part) != NULL;
        }
      good = good && matches == 1;
    }
  if (!good || findings->len != expected_count)
    {
      for (guint i = 0; i < findings->len; i++)
        {
          const struct fck_finding *finding = g_ptr_array_index (findings, i);
          print_message ("found: %s %s: %s\n", severities[finding->severity],
                         finding->entry, finding->text);
        }
      fail_msg ("%s: other findings expected", name);
    }
  g_ptr_array_free (findings, TRUE);
}

struct check_case
{
  const char *name;
  struct fleet_text text;
  const char *expected[FINDINGS_MAX];
};

static const struct check_case check_cases[] = {
  { "sound", { GOOD, SERVICE, ACCOUNT, LIMITS }, { NULL } },
  { "a longer prefix hides nothing, in whatever order",
    { AT ("all", "/") "\"TimeoutMs\":600,\"Service\":\"s\"}," GOOD, SERVICE,
      ACCOUNT, LIMITS },
    { NULL } },
  { "the same prefix at another host hides nothing",
    { GOOD ",{\"Name\":\"r2\",\"Hostname\":\"h2\",\"PathPrefix\":\"/r/\","
           "\"TimeoutMs\":600,\"Service\":\"s\"}",
      SERVICE, ACCOUNT, LIMITS },
    { NULL } },
  { "the same prefix at the same host",
    { GOOD "," AT ("r2", "/r/") "\"TimeoutMs\":600,\"Service\":\"s\"}",
      SERVICE, ACCOUNT, LIMITS },
    { "error route r2: Never used: route r has" } },
  { "a prefix without a slash",
    { AT ("r", "r/") "\"TimeoutMs\":600,\"Service\":\"s\"}", SERVICE, ACCOUNT,
      LIMITS },
    { "error route r: doesn't begin with a slash" } },
  { "no service",
    { AT ("r", "/r/") "\"TimeoutMs\":600}," AT (
          "r2", "/r2/") "\"TimeoutMs\":"
                        "600,\"Service\":\"s\"}",
      SERVICE, ACCOUNT, LIMITS },
    { "error route r: It has no service" } },
  { "an unknown service, and so one that isn't used",
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"Service\":\"t\"}", SERVICE, ACCOUNT,
      LIMITS },
    { "error route r: names none of the configuration",
      "warning service s: No route uses it" } },
  { "all weights 0",
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"TrafficSplit\":[{\"Service\":\"s\","
                      "\"Weight\":0}]}",
      SERVICE, ACCOUNT, LIMITS },
    { "error route r: All weights" } },
  { "one weight 0",
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"TrafficSplit\":[{\"Service\":\"s\","
                      "\"Weight\":9},{\"Service\":\"t\",\"Weight\":0}]}",
      SERVICE ",{\"Name\":\"t\"}", ACCOUNT, LIMITS },
    { "warning route r: The weight of service t is 0" } },
  { "an account without keys",
    { GOOD, SERVICE, ACCOUNT ",{\"Name\":\"b\"}", LIMITS },
    { "warning account b: It has no key" } },
  { "a key of two accounts, of which the last one has it",
    { GOOD, SERVICE, ACCOUNT ",{\"Name\":\"b\",\"ApiKeys\":[\"key-a\"]}",
      LIMITS },
    { "error account a: Account b has one of its keys too" } },
  { "a key twice at one account",
    { GOOD, SERVICE, "{\"Name\":\"a\",\"ApiKeys\":[\"key-a\",\"key-a\"]}",
      LIMITS },
    { NULL } },
  { "attempts of a request that may not be repeated",
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"Service\":\"s\",\"Kind\":"
                      "\"non_idempotent\",\"MaxAttempts\":2}",
      SERVICE, ACCOUNT, LIMITS },
    { "warning route r: It allows 2 attempts" } },
  { "attempts of a request that may be repeated",
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"Service\":\"s\",\"Kind\":"
                      "\"idempotent\",\"MaxAttempts\":2}",
      SERVICE, ACCOUNT, LIMITS },
    { NULL } },
  { "no attempts",
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"Service\":\"s\","
                      "\"MaxAttempts\":0}",
      SERVICE, ACCOUNT, LIMITS },
    { "warning route r: 0 attempts" } },
  { "targets above the time-out",
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"Service\":\"s\","
                      "\"TargetLatencyMs\":601,\"TargetGapMs\":700}",
      SERVICE, ACCOUNT, LIMITS },
    { "warning route r: target latency of 601 ms",
      "warning route r: target pause between events of 700 ms" } },
  { "targets at the time-out",
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"Service\":\"s\","
                      "\"TargetLatencyMs\":600,\"TargetGapMs\":600}",
      SERVICE, ACCOUNT, LIMITS },
    { NULL } },
  { "no time-out",
    { AT ("r", "/r/") "\"Service\":\"s\",\"TargetLatencyMs\":500}", SERVICE,
      ACCOUNT, LIMITS },
    { "warning route r: It has no time-out" } },
  { "limits of 0",
    { GOOD, SERVICE, ACCOUNT,
      "\"MaxHeaderBytes\":0,\"MaxBodyBytes\":0,\"HeaderTimeoutMs\":0,"
      "\"IdleTimeoutMs\":0" },
    { "error limit MaxHeaderBytes: It is 0", "error limit MaxBodyBytes: It is",
      "error limit HeaderTimeoutMs: It is 0",
      "warning limit IdleTimeoutMs: It is 0" } },
  { "engines without slots",
    { GOOD, "{\"Name\":\"s\",\"Engine\":{\"Slots\":0}}", ACCOUNT, LIMITS },
    { "warning service s: 0 slots" } },
  { "layers that fit on some kinds",
    { GOOD,
      "{\"Name\":\"s\",\"Engine\":{\"Slots\":1,\"LayerMb\":100,\"Kinds\":[{"
      "\"Name\":\"a\",\"Mb\":50},{\"Name\":\"b\",\"Mb\":100}]}}",
      ACCOUNT, LIMITS },
    { NULL } },
  { "layers that fit on no kind",
    { GOOD,
      "{\"Name\":\"s\",\"Engine\":{\"Slots\":1,\"LayerMb\":101,\"Kinds\":[{"
      "\"Name\":\"a\",\"Mb\":50},{\"Name\":\"b\",\"Mb\":100}]}}",
      ACCOUNT, LIMITS },
    { "error service s: A layer has 101 MB" } },
};

/* Guards against a mistake that is published unnoticed, and against a finding
   on a sound entry, which would teach operators to ignore findings.  */
static void
mistakes_are_found (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (check_cases); i++)
    {
      const struct check_case *test = &check_cases[i];
      g_autofree char *text = compose (&test->text, 1);
      struct flt_config *config = decode (text);
      GArray *keys = pfc_list_keys (text, strlen (text));
      assert_findings (test->name, fck_check (config, keys), test->expected);
      g_array_free (keys, TRUE);
      flt_release (config);
    }
}

struct compare_case
{
  const char *name;
  struct fleet_text old;
  struct fleet_text new;
  const char *expected[FINDINGS_MAX];
};

#define TWO_SERVICES SERVICE ",{\"Name\":\"t\"}"
#define TWO_KEYS "{\"Name\":\"a\",\"ApiKeys\":[\"key-a\",\"key-2\"]}"

static const struct compare_case compare_cases[] = {
  { "equal",
    { GOOD, SERVICE, ACCOUNT, LIMITS },
    { GOOD, SERVICE, ACCOUNT, LIMITS },
    { NULL } },
  { "another order of services and accounts",
    { GOOD, TWO_SERVICES, ACCOUNT ",{\"Name\":\"b\"}", LIMITS },
    { GOOD, "{\"Name\":\"t\"}," SERVICE, "{\"Name\":\"b\"}," ACCOUNT, LIMITS },
    { NULL } },
  { "a route gone, one new",
    { GOOD, SERVICE, ACCOUNT, LIMITS },
    { AT ("r2", "/r2/") "\"TimeoutMs\":600,\"Service\":\"s\"}", SERVICE,
      ACCOUNT, LIMITS },
    { "change route r: It is gone. Callers of host h, path prefix /r/ get 404",
      "change route r2: It is new. Callers of host h, path prefix /r2/ get "
      "it with a key" } },
  { "a route gone, another has a shorter prefix",
    { GOOD "," AT ("all", "/") "\"TimeoutMs\":600,\"Service\":\"s\"}", SERVICE,
      ACCOUNT, LIMITS },
    { AT ("all", "/") "\"TimeoutMs\":600,\"Service\":\"s\"}", SERVICE, ACCOUNT,
      LIMITS },
    { "change route r: path prefix /r/ get route all" } },
  { "a hidden route gone",
    { GOOD "," AT ("r2", "/r/") "\"TimeoutMs\":600,\"Service\":\"s\"}",
      SERVICE, ACCOUNT, LIMITS },
    { GOOD, SERVICE, ACCOUNT, LIMITS },
    { "change route r2: It is gone. Another route hid it" } },
  { "a hidden route new",
    { GOOD, SERVICE, ACCOUNT, LIMITS },
    { GOOD "," AT ("r2", "/r/") "\"TimeoutMs\":600,\"Service\":\"s\"}",
      SERVICE, ACCOUNT, LIMITS },
    { "change route r2: It is new. Another route hides it" } },
  { "a route at another path",
    { GOOD, SERVICE, ACCOUNT, LIMITS },
    { AT ("r", "/q/") "\"TimeoutMs\":600,\"Service\":\"s\"}", SERVICE, ACCOUNT,
      LIMITS },
    { "change route r: path prefix /r/ to host h, path prefix /q/. "
      "Callers of the old address get 404" } },
  { "a route at another service",
    { GOOD, TWO_SERVICES, ACCOUNT, LIMITS },
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"Service\":\"t\"}", TWO_SERVICES,
      ACCOUNT, LIMITS },
    { "change route r: changes from s to t" } },
  { "other weights",
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"TrafficSplit\":[{\"Service\":\"s\","
                      "\"Weight\":9},{\"Service\":\"t\",\"Weight\":1}]}",
      TWO_SERVICES, ACCOUNT, LIMITS },
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"TrafficSplit\":[{\"Service\":\"s\","
                      "\"Weight\":5},{\"Service\":\"t\",\"Weight\":5}]}",
      TWO_SERVICES, ACCOUNT, LIMITS },
    { "change route r: from s 9, t 1 to s 5, t 5" } },
  { "a shorter time-out and a lower priority",
    { GOOD, SERVICE, ACCOUNT, LIMITS },
    { AT ("r", "/r/") "\"TimeoutMs\":500,\"Priority\":2,\"Service\":\"s\"}",
      SERVICE, ACCOUNT, LIMITS },
    { "change route r: from 600 to 500 ms. Callers get a time-out earlier",
      "change route r: priority changes from 0 to 2 (0 is the highest). Under "
      "overload its callers are refused earlier" } },
  { "no time-out any more",
    { GOOD, SERVICE, ACCOUNT, LIMITS },
    { AT ("r", "/r/") "\"Service\":\"s\"}", SERVICE, ACCOUNT, LIMITS },
    { "change route r: 600 to 0 ms (0: none). Callers get a time-out "
      "later" } },
  { "a route that is public no more",
    { AT ("r", "/r/") "\"TimeoutMs\":600,\"Service\":\"s\",\"Public\":true}",
      SERVICE, ACCOUNT, LIMITS },
    { GOOD, SERVICE, ACCOUNT, LIMITS },
    { "change route r: Callers without one get 401" } },
  { "a service gone, one new",
    { GOOD, SERVICE ",{\"Name\":\"t\"}", ACCOUNT, LIMITS },
    { GOOD, SERVICE ",{\"Name\":\"u\"}", ACCOUNT, LIMITS },
    { "change service t: It is gone", "change service u: It is new" } },
  { "a key taken away",
    { GOOD, SERVICE, TWO_KEYS, LIMITS },
    { GOOD, SERVICE, ACCOUNT, LIMITS },
    { "change account a: 1 of its keys is taken away. Callers with it get "
      "401" } },
  { "several keys of two accounts taken away",
    { GOOD, SERVICE,
      "{\"Name\":\"a\",\"ApiKeys\":[\"1\",\"3\",\"5\",\"7\",\"9\"]},"
      "{\"Name\":\"b\",\"ApiKeys\":[\"2\",\"4\",\"6\",\"8\",\"10\"]}",
      LIMITS },
    { GOOD, SERVICE,
      "{\"Name\":\"a\",\"ApiKeys\":[\"1\"]},"
      "{\"Name\":\"b\",\"ApiKeys\":[\"2\"]}",
      LIMITS },
    { "change account a: 4 of its keys are taken away. Callers with them get "
      "401",
      "change account b: 4 of its keys are taken away" } },
  { "an account gone, another has one of its keys",
    { GOOD, SERVICE, TWO_KEYS, LIMITS },
    { GOOD, SERVICE, "{\"Name\":\"b\",\"ApiKeys\":[\"key-a\"]}", LIMITS },
    { "change account a: It is gone", "change account b: It is new",
      "change account a: 1 of its keys is taken away",
      "change account a: 1 of its keys goes to account b" } },
  { "another priority of an account",
    { GOOD, SERVICE, ACCOUNT, LIMITS },
    { GOOD, SERVICE, "{\"Name\":\"a\",\"ApiKeys\":[\"key-a\"],\"Priority\":4}",
      LIMITS },
    { "change account a: priority changes from the route's to 4" } },
};

/* Guards against a change that callers notice but the operator wasn't told of,
   and against changes that are none, such as another order.  */
static void
differences_are_found (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (compare_cases); i++)
    {
      const struct compare_case *test = &compare_cases[i];
      g_autofree char *old_text = compose (&test->old, 2);
      g_autofree char *new_text = compose (&test->new, 3);
      struct flt_config *old = decode (old_text);
      struct flt_config *new = decode (new_text);
      assert_findings (test->name, fck_compare (old, new), test->expected);
      flt_release (old);
      flt_release (new);
    }
}

struct version_case
{
  const char *name;
  int version; /* the one in force is 2 */
  bool differs;
  const char *expected[FINDINGS_MAX];
};

static const struct version_case version_cases[] = {
  { "older", 1, false, { "error version 1: It isn't above 2" } },
  { "in force", 2, false, { NULL } },
  { "in force, with another text",
    2,
    true,
    { "error version 2: It isn't above 2", "change service t: It is new" } },
  { "newer", 3, true, { "change service t: It is new" } },
};

/* Guards against a configuration that daemons ignore for its version.  */
static void
ignored_versions_are_found (void **state)
{
  (void)state;
  const struct fleet_text sound = { GOOD, SERVICE, ACCOUNT, LIMITS };
  const struct fleet_text other = { GOOD, TWO_SERVICES, ACCOUNT, LIMITS };
  g_autofree char *old_text = compose (&sound, 2);
  for (size_t i = 0; i < G_N_ELEMENTS (version_cases); i++)
    {
      const struct version_case *test = &version_cases[i];
      g_autofree char *new_text
          = compose (test->differs ? &other : &sound, test->version);
      struct flt_config *old = decode (old_text);
      struct flt_config *new = decode (new_text);
      assert_findings (test->name, fck_compare (old, new), test->expected);
      flt_release (old);
      flt_release (new);
    }
}

/* Runs `check-fleet' with the files PATH and, unless it is NULL, AGAINST.
   Sets OUTPUT to what it prints, allocated.  Returns the exit code.  */
static int
run_command (const char *path, const char *against, bool strict, char **output)
{
  char *argv[6] = { (char *)"check-fleet", (char *)path };
  int argc = 2;
  if (against != NULL)
    {
      argv[argc++] = (char *)"--against";
      argv[argc++] = (char *)against;
    }
  if (strict)
    {
      argv[argc++] = (char *)"--strict";
    }
  FILE *file = tmpfile ();
  fflush (NULL);
  int out = dup (STDOUT_FILENO);
  int err = dup (STDERR_FILENO);
  dup2 (fileno (file), STDOUT_FILENO);
  dup2 (fileno (file), STDERR_FILENO);
  int status = cli_check_fleet_run (argc, argv);
  fflush (NULL);
  dup2 (out, STDOUT_FILENO);
  dup2 (err, STDERR_FILENO);
  close (out);
  close (err);
  rewind (file);
  *output = g_malloc0 (8192);
  size_t bytes = fread (*output, 1, 8191, file);
  (*output)[bytes] = '\0';
  fclose (file);
  return status;
}

struct command_case
{
  const char *name;
  const char *text; /* of the file; NULL: that of `fleet' */
  struct fleet_text fleet;
  bool strict;
  int status;
  guint lines;
};

static const struct command_case command_cases[] = {
  { "sound", NULL, { GOOD, SERVICE, ACCOUNT, LIMITS }, true, CLI_OK, 1 },
  { "warning",
    NULL,
    { GOOD, TWO_SERVICES, ACCOUNT, LIMITS },
    false,
    CLI_OK,
    3 },
  { "warning, strict",
    NULL,
    { GOOD, TWO_SERVICES, ACCOUNT, LIMITS },
    true,
    CLI_FAILED,
    3 },
  { "error",
    NULL,
    { GOOD, SERVICE, ACCOUNT ",{\"Name\":\"b\",\"ApiKeys\":[\"key-a\"]}",
      LIMITS },
    false,
    CLI_INVALID_INPUT,
    4 },
  { "a name with a line break",
    NULL,
    { GOOD, SERVICE ",{\"Name\":\"t\\nerror: x\"}", ACCOUNT, LIMITS },
    false,
    CLI_OK,
    3 },
  { "no JSON, broken at a key",
    "{\"Version\":1,\"Tenants\":[{\"ApiKeys\":[\"x\" \"key-a\"]}]}",
    { 0 },
    false,
    CLI_INVALID_INPUT,
    1 },
};

/* Guards against a deployment that goes on after errors, or stops because of
   changes; against a name that forges a line; and against keys in the output,
   which deployment systems keep.  */
static void
command_reports_without_keys (void **state)
{
  (void)state;
  g_autofree char *directory = g_dir_make_tmp ("fleet-check-XXXXXX", NULL);
  g_autofree char *path = g_build_filename (directory, "new.json", NULL);
  g_autofree char *against = g_build_filename (directory, "old.json", NULL);
  const struct fleet_text sound = { GOOD, SERVICE, ACCOUNT, LIMITS };
  g_autofree char *old_text = compose (&sound, 2);
  assert_true (g_file_set_contents (against, old_text, -1, NULL));
  for (size_t i = 0; i < G_N_ELEMENTS (command_cases); i++)
    {
      const struct command_case *test = &command_cases[i];
      g_autofree char *text = test->text == NULL ? compose (&test->fleet, 3)
                                                 : g_strdup (test->text);
      assert_true (g_file_set_contents (path, text, -1, NULL));
      g_autofree char *output = NULL;
      int status = run_command (path, against, test->strict, &output);
      guint lines = 0;
      for (const char *c = output; *c != '\0'; c++)
        {
          lines += *c == '\n';
        }
      if (status != test->status || lines != test->lines
          || strstr (output, "key-") != NULL)
        {
          fail_msg ("%s: exit code %d, output:\n%s", test->name, status,
                    output);
        }
    }
  g_unlink (path);
  g_unlink (against);
  g_rmdir (directory);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (mistakes_are_found),
    cmocka_unit_test (differences_are_found),
    cmocka_unit_test (ignored_versions_are_found),
    cmocka_unit_test (command_reports_without_keys),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
