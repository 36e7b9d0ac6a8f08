#include "config/settings.h"

#include "base/error.h"
#include "base/log.h"
#include "config/parse.h"

#include <glib/gstdio.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define ADDRESSES                                                             \
  "caller_address: 127.0.0.1:0\noperator_address: 127.0.0.1:0\n"              \
  "peer_address: '[::1]:0'\n"
#define URLS "log_urls: [http://127.0.0.1:1]\nhost_list_url: http://[::1]:2\n"
#define SECRETS "operator_token_file: token\npeer_secret_file: ./secret\n"
#define NAMES "name: d\ndata_centre: a\n"

/* A temporary folder with the settings and the files with secrets. */
struct folder
{
  char *path;
};

static void
write_file (const struct folder *folder, const char *name, const char *text)
{
  char *path = g_build_filename (folder->path, name, NULL);
  assert_true (g_file_set_contents (path, text, -1, NULL));
  g_free (path);
}

static void
remove_file (const struct folder *folder, const char *name)
{
  char *path = g_build_filename (folder->path, name, NULL);
  g_unlink (path);
  g_free (path);
}

static int
create_folder (void **state)
{
  struct folder *folder = g_new0 (struct folder, 1);
  folder->path = g_dir_make_tmp ("settings-XXXXXX", NULL);
  write_file (folder, "token", "operator secret\n");
  write_file (folder, "secret", "peer secret");
  write_file (folder, "empty", "\n");
  *state = folder;
  return 0;
}

static int
remove_folder (void **state)
{
  struct folder *folder = *state;
  static const char *const names[]
      = { "token", "secret", "empty", "settings.yaml" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      remove_file (folder, names[i]);
    }
  g_rmdir (folder->path);
  g_free (folder->path);
  g_free (folder);
  return 0;
}

/* Writes TEXT to settings.yaml in FOLDER and loads it.  */
static struct set_settings *
load (const struct folder *folder, const char *text, GString *messages,
      GError **error)
{
  write_file (folder, "settings.yaml", text);
  char *path = g_build_filename (folder->path, "settings.yaml", NULL);
  struct set_settings *settings = set_load (path, messages, error);
  g_free (path);
  return settings;
}

/* Settings with errors. */
struct invalid_case
{
  const char *text;
  const char *messages[3]; /* part of each line, in order */
};

static const struct invalid_case invalid_cases[] = {
  { "name: d\n" ADDRESSES URLS SECRETS, { ":1: data_centre: is missing" } },
  { NAMES ADDRESSES URLS SECRETS "trafic_threads: 1\n",
    { ":10: trafic_threads: unknown key, did you mean 'traffic_threads'" } },
  { NAMES ADDRESSES URLS SECRETS "traffic_threads: 0\n",
    { ":10: traffic_threads: '0' is out of range; allowed: a whole number, 1 "
      "to 1024" } },
  { NAMES ADDRESSES URLS SECRETS "log_level: loud\n",
    { ":10: log_level: 'loud' is unknown; allowed: emerg, alert, crit, err, "
      "warning, notice, info, debug" } },
  { NAMES ADDRESSES SECRETS "log_urls: []\nhost_list_url: db:1\n",
    { ":8: log_urls: 0 values; allowed: 1 to 64",
      ":9: host_list_url: 'db:1' is not allowed; allowed: http://IP:PORT" } },
  { NAMES ADDRESSES URLS SECRETS "seeds: [127.0.0.1:1, 127.0.0.1:0]\n",
    { ":10: seeds: '127.0.0.1:0' is not allowed; allowed: IP:PORT" } },
  { NAMES ADDRESSES URLS
    "operator_token_file: none\npeer_secret_file: empty\n",
    { ":8: operator_token_file: ",
      ":9: peer_secret_file: 'empty' holds no" } },
  { "name: d\nname: d\n", { ":2: name: duplicate key, first set on line 1" } },
  { "name: [[[[[[[d]]]]]]]\n", { ":1: nested too deeply" } },
  { "", { ":1: empty" } },
};

static void
invalid_settings_are_rejected (void **state)
{
  const struct folder *folder = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_cases); i++)
    {
      const struct invalid_case *c = &invalid_cases[i];
      GString *messages = g_string_new (NULL);
      GError *error = NULL;
      assert_null (load (folder, c->text, messages, &error));
      assert_int_equal (err_kind_of (error), ERR_SETTINGS);
      char **lines = g_strsplit (messages->str, "\n", 0);
      for (size_t j = 0; j < G_N_ELEMENTS (c->messages); j++)
        {
          const char *expected = c->messages[j];
          if (expected != NULL && strstr (lines[j], expected) == NULL)
            {
              fail_msg ("case %zu: `%s' is without `%s'", i, lines[j],
                        expected);
            }
        }
      g_strfreev (lines);
      g_clear_error (&error);
      g_string_free (messages, TRUE);
    }
}

static void
settings_are_read (void **state)
{
  const struct folder *folder = *state;
  GString *messages = g_string_new (NULL);
  GError *error = NULL;
  struct set_settings *settings
      = load (folder,
              NAMES ADDRESSES URLS SECRETS
              "seeds: [127.0.0.1:1, 127.0.0.1:2]\nlog_level: warning\n"
              "traffic_threads: 3\ncaller_timeout_ms: 500\n",
              messages, &error);
  assert_string_equal (messages->str, "");
  assert_non_null (settings);
  assert_string_equal (settings->name, "d");
  assert_string_equal (settings->data_centre, "a");
  assert_string_equal (settings->caller_address, "127.0.0.1:0");
  assert_string_equal (settings->peer_address, "[::1]:0");
  assert_string_equal (settings->log_urls[0], "http://127.0.0.1:1");
  assert_null (settings->log_urls[1]);
  assert_string_equal (settings->host_list_url, "http://[::1]:2");
  assert_string_equal (settings->seeds[1], "127.0.0.1:2");
  assert_null (settings->seeds[2]);
  assert_string_equal (settings->operator_token, "operator secret");
  assert_string_equal (settings->peer_secret, "peer secret");
  assert_int_equal (settings->log_level, LOG_WARNING);
  assert_int_equal (settings->traffic_threads, 3);
  assert_int_equal (settings->caller_timeout_ms, 500);
  set_destroy (settings);
  g_string_free (messages, TRUE);
}

static void
missing_keys_get_defaults (void **state)
{
  const struct folder *folder = *state;
  GString *messages = g_string_new (NULL);
  struct set_settings *settings
      = load (folder, NAMES ADDRESSES URLS SECRETS, messages, NULL);
  assert_non_null (settings);
  assert_null (settings->seeds[0]);
  assert_int_equal (settings->log_level, LOG_INFO);
  assert_int_equal (settings->traffic_threads, 8);
  assert_int_equal (settings->caller_timeout_ms, 10000);
  set_destroy (settings);
  g_string_free (messages, TRUE);
}

/* The message for a missing file has its path, and the message for a file over
   the size limit has the limit.  */
static void
unreadable_files_are_rejected (void **state)
{
  const struct folder *folder = *state;
  GString *messages = g_string_new (NULL);
  GError *error = NULL;
  assert_null (set_load ("/nonexistent/settings.yaml", messages, &error));
  assert_int_equal (err_kind_of (error), ERR_SETTINGS);
  assert_non_null (strstr (messages->str, "/nonexistent/settings.yaml:1:"));
  g_clear_error (&error);
  g_string_truncate (messages, 0);
  char *huge = g_strnfill ((gsize)1 << 20, '#');
  assert_null (load (folder, huge, messages, &error));
  assert_non_null (strstr (messages->str, "too long; allowed: up to 65536"));
  g_free (huge);
  g_clear_error (&error);
  g_string_free (messages, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (invalid_settings_are_rejected),
    cmocka_unit_test (settings_are_read),
    cmocka_unit_test (missing_keys_get_defaults),
    cmocka_unit_test (unreadable_files_are_rejected),
  };
  return cmocka_run_group_tests (tests, create_folder, remove_folder);
}
