/* Tests that a daemon accepts what the platform may write into its settings:
   bounds may be whole numbers or decimals, zero or large. */
#include "config/entry_settings.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define TEMPLATE "platform/settings.yaml.in"

/* A placeholder of the template and its value. */
struct value
{
  const char *name;
  const char *text;
};

static const struct value usual[] = {
  { "NodeName", "front-kgn-1" },
  { "Zone", "kgn" },
  { "Ip", "10.1.0.40" },
  { "Listen.Front", "10.1.0.40:8227" },
  { "Listen.Ready", "10.1.0.40:8220" },
  { "Listen.Control", "10.1.0.40:8229" },
  { "Provider.Address", "10.200.1.7:8223" },
  { "Provider.parts", "16" },
  { "Provider.TtlMinMs", "1000" },
  { "Limits.MaxFds", "4200" },
  { "Limits.MemoryMb", "260" },
  { "Bounds.DrainMs", "2000" },
  { "Bounds.ConfigMs", "2000" },
  { "Bounds.RevokeMs", "5000" },
  { "Bounds.StableMs", "3000" },
  { "Bounds.GraceS", "8" },
  { "Bounds.BudgetWindowS", "10" },
  { "Bounds.RetryBudgetRatio", "0.2" },
  { "Bounds.BudgetSlack", "196" },
};

/* A member of the settings. */
#define I64(member) offsetof (struct ens_settings, member), false, 0
#define U32(member) offsetof (struct ens_settings, member), false, 4
#define DOUBLE(member) offsetof (struct ens_settings, member), true, 0

/* A placeholder with another value, and what the daemon makes of it. */
static const struct
{
  struct value value;
  size_t offset;
  bool is_double;
  size_t bytes; /* 4: uint32_t */
  double expected;
} rows[] = {
  { { "Bounds.BudgetSlack", "40.73684210526316" },
    DOUBLE (retry_slack),
    40.73684210526316 },
  { { "Bounds.BudgetSlack", "0" }, DOUBLE (retry_slack), 0 },
  { { "Bounds.BudgetSlack", "1e+06" }, DOUBLE (retry_slack), 1e6 },
  { { "Bounds.RetryBudgetRatio", "1.5" }, DOUBLE (retry_ratio), 1.5 },
  { { "Bounds.RetryBudgetRatio", "0" }, DOUBLE (retry_ratio), 0 },
  { { "Bounds.DrainMs", "1500.75" }, I64 (drain_us), 1500750 },
  { { "Bounds.DrainMs", "0" }, I64 (drain_us), 0 },
  { { "Bounds.DrainMs", "7.2e+06" }, I64 (drain_us), 7.2e9 },
  { { "Bounds.ConfigMs", "2500.5" }, I64 (config_apply_max_us), 2500500 },
  { { "Bounds.RevokeMs", "4999.999" }, I64 (revoke_us), 4999999 },
  { { "Bounds.GraceS", "7.5" }, I64 (stop_us), 7500000 },
  { { "Bounds.BudgetWindowS", "0.5" }, I64 (retry_window_us), 500000 },
  { { "Bounds.BudgetWindowS", "0" }, I64 (retry_window_us), 0 },
  { { "Provider.TtlMinMs", "1500.5" }, I64 (membership_min_us), 1500500 },
  { { "Provider.TtlMinMs", NULL }, I64 (membership_min_us), 1000000 },
  { { "Bounds.StableMs", "5000.5" }, I64 (quarantine_us), 5000500 },
  { { "Bounds.StableMs", "0" }, I64 (quarantine_us), 0 },
  { { "Bounds.StableMs", NULL }, I64 (quarantine_us), 3000000 },
  { { "Bounds.StableMs", "4000.5" }, I64 (settle_us), 4000500 },
  { { "Bounds.StableMs", "0" }, I64 (settle_us), 0 },
  { { "Bounds.StableMs", NULL }, I64 (settle_us), 3000000 },
  { { "Provider.parts", "16.0" }, U32 (store_partitions), 16 },
  { { "Limits.MemoryMb", "112" }, U32 (memory_mb), 112 },
  { { "Limits.MemoryMb", "160.5" }, U32 (memory_mb), 160 },
  { { "Limits.MemoryMb", NULL }, U32 (memory_mb), 256 },
  { { "Limits.MaxFds", "300.9" }, U32 (descriptors), 300 },
  { { "Limits.MaxFds", "1048576" }, U32 (descriptors), 1048576 },
};

/* Replaces each section of NAME in TEXT by its content, or by nothing when
   VALUE is NULL, and each placeholder by VALUE, as the platform does.  */
static char *
substitute (char *text, const char *name, const char *value)
{
  g_autofree char *begin = g_strdup_printf ("{{#%s}}", name);
  g_autofree char *end = g_strdup_printf ("{{/%s}}", name);
  g_autofree char *placeholder = g_strdup_printf ("{{%s}}", name);
  GString *result = g_string_new (text);
  const char *section = strstr (result->str, begin);
  if (section != NULL)
    {
      gssize at = section - result->str;
      gssize length = strstr (section, end) + strlen (end) - section;
      g_autofree char *content
          = g_strndup (section + strlen (begin),
                       (gsize)length - strlen (begin) - strlen (end));
      g_string_erase (result, at, length);
      if (value != NULL)
        {
          g_string_insert (result, at, content);
          g_string_replace (result, "{{.}}", value, 0);
        }
    }
  g_string_replace (result, placeholder, value == NULL ? "" : value, 0);
  g_free (text);
  return g_string_free (result, FALSE);
}

/* Returns the settings that the platform makes of its template with the usual
   values and OTHER instead of one of them.  */
static char *
render (const struct value *other)
{
  char *text = NULL;
  assert_true (g_file_get_contents (TEMPLATE, &text, NULL, NULL));
  text = substitute (text, "Seeds", "10.1.0.40:8229");
  text = substitute (text, ",", "");
  for (size_t i = 0; i < G_N_ELEMENTS (usual); i++)
    {
      bool replaced = strcmp (usual[i].name, other->name) == 0;
      text = substitute (text, usual[i].name,
                         replaced ? other->text : usual[i].text);
    }
  assert_null (strstr (text, "{{"));
  return text;
}

static double
member_value (const struct ens_settings *settings, size_t row)
{
  const char *member = (const char *)settings + rows[row].offset;
  if (rows[row].is_double)
    {
      return *(const double *)(const void *)member;
    }
  return rows[row].bytes == sizeof (uint32_t)
             ? *(const uint32_t *)(const void *)member
             : (double)*(const int64_t *)(const void *)member;
}

static void
values_of_the_platform_are_read (void **state)
{
  (void)state;
  g_autofree char *folder = g_dir_make_tmp ("settings-XXXXXX", NULL);
  g_autofree char *path = g_build_filename (folder, "settings.yaml", NULL);
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *text = render (&rows[i].value);
      assert_true (g_file_set_contents (path, text, -1, NULL));
      GString *messages = g_string_new (NULL);
      struct ens_settings *settings = ens_load (path, messages, NULL);
      if (settings == NULL)
        {
          fail_msg ("%s = %s: %s", rows[i].value.name, rows[i].value.text,
                    messages->str);
          return;
        }
      if (member_value (settings, i) != rows[i].expected)
        {
          fail_msg ("%s = %s: read as %f", rows[i].value.name,
                    rows[i].value.text, member_value (settings, i));
        }
      ens_destroy (settings);
      g_string_free (messages, TRUE);
    }
  g_unlink (path);
  g_rmdir (folder);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (values_of_the_platform_are_read) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
