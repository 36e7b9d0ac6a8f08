/* Tests of the findings on values of the operator's configuration that daemons
   replace or ignore. */
#include "core/fleet_check.h"
#include "platform/configuration_format.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

/* Guards against a check that passes what can't be meant: a time-out of "10s"
   counts as none, and a misspelt kind as one that may not be repeated.  */
static void
test_values (void **state)
{
  (void)state;
  static const struct
  {
    const char *text;
    const char *findings; /* severities and entries */
  } cases[] = {
    { "", "" },
    { "[]", "error configuration\n" },
    { "{}", "" },
    { "{\"Version\":7,\"Mode\":\"x\",\"Routes\":[],\"Tenants\":[]}", "" },
    { "{\"Routes\":{}}", "error configuration\n" },
    { "{\"Routes\":[7]}", "error configuration, Routes 1\n" },
    { "{\"Routes\":[{\"Name\":\"a\",\"TimeoutMs\":10,\"Kind\":\"stream\","
      "\"Public\":true,\"Sticky\":true}]}",
      "" },
    { "{\"Routes\":[{\"Name\":\"a\",\"TimeoutMs\":\"10s\"}]}",
      "error route a\n" },
    { "{\"Routes\":[{\"Name\":\"a\",\"TimeoutMs\":-1}]}", "error route a\n" },
    { "{\"Routes\":[{\"Name\":\"a\",\"TimeoutMs\":0.5}]}", "" },
    { "{\"Routes\":[{\"Name\":\"a\",\"TimeoutMs\":null}]}", "" },
    { "{\"Routes\":[{\"Name\":\"a\",\"MaxAttempts\":1.5}]}",
      "error route a\n" },
    { "{\"Routes\":[{\"Name\":\"a\",\"Kind\":\"streem\"}]}",
      "error route a\n" },
    { "{\"Routes\":[{\"Name\":\"a\",\"Kind\":1,\"Public\":\"true\"}]}",
      "error route a\nerror route a\n" },
    { "{\"Routes\":[{\"Name\":\"a\",\"TimeoutMz\":10}]}",
      "warning route a\n" },
    { "{\"Routes\":[{\"Name\":\"a\",\"timeoutms\":10}]}",
      "warning route a\n" },
    { "{\"Routes\":[{\"Name\":\"a\"},{\"Name\":\"b\"},{\"Name\":\"a\"}]}",
      "error route a\n" },
    { "{\"Routes\":[{\"Name\":\"a\",\"TrafficSplit\":[{\"Service\":\"s\","
      "\"Weight\":-1}]}]}",
      "error route a, TrafficSplit 1\n" },
    { "{\"Services\":[{\"Name\":\"a\"},{\"Name\":\"a\"}]}",
      "error service a\n" },
    { "{\"Services\":[{\"Name\":\"a\",\"Engine\":{\"Layers\":\"8\","
      "\"Kinds\":[{\"Name\":\"k\",\"Mb\":\"460\"}],\"usual\":[]}}]}",
      "error service a\nerror kind k\nerror service a\n" },
    { "{\"Limits\":{\"MaxBodyBytes\":\"4 MB\"}}", "error configuration\n" },
    { "{\"Tenants\":[{\"Name\":\"a\",\"ApiKeys\":[\"k\",7,\"l\"]},"
      "{\"Name\":\"a\",\"ApiKey\":[]}]}",
      "error account a\nwarning account a\nerror account a\n" },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      GPtrArray *findings = pff_check (cases[i].text, strlen (cases[i].text));
      g_autoptr (GString) found = g_string_new (NULL);
      for (guint n = 0; n < findings->len; n++)
        {
          const struct fck_finding *finding = g_ptr_array_index (findings, n);
          g_string_append_printf (found, "%s %s\n",
                                  finding->severity == FCK_ERROR ? "error"
                                                                 : "warning",
                                  finding->entry);
          assert_null (strstr (finding->text, "\"k\""));
        }
      if (strcmp (found->str, cases[i].findings) != 0)
        {
          fail_msg ("%s: %s", cases[i].text, found->str);
        }
      g_ptr_array_free (findings, TRUE);
    }
}

/* An unknown key is compared with the known ones, however long it is.  */
static void
test_unknown_keys (void **state)
{
  (void)state;
  static const struct
  {
    const char *key;
    const char *nearest; /* NULL: no finding */
  } cases[] = {
    { "Hostnam", "Hostname" },
    { "HostName", "Hostname" },
    { "Path Prefix", "PathPrefix" },
    { "Naem", "Name" },
    { "Nothing", NULL },
    { "N", NULL },
    { "", NULL },
    { "NameNameNameNameNameNameNameNameNameNameNameNameNameNameNameNameNameN",
      NULL },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      g_autofree char *text = g_strdup_printf (
          "{\"Routes\":[{\"Name\":\"a\",\"%s\":1}]}", cases[i].key);
      GPtrArray *findings = pff_check (text, strlen (text));
      const struct fck_finding *only
          = findings->len == 1 ? g_ptr_array_index (findings, 0) : NULL;
      bool named = only != NULL && cases[i].nearest != NULL
                   && strstr (only->text, cases[i].nearest) != NULL;
      if (findings->len > 1 || named != (cases[i].nearest != NULL)
          || (only != NULL) != named)
        {
          fail_msg ("%s: %s", cases[i].key, only == NULL ? "-" : only->text);
        }
      g_ptr_array_free (findings, TRUE);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_values),
    cmocka_unit_test (test_unknown_keys),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
