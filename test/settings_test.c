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

/* A folder with files of secrets. */
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

/* Loads settings from TEXT.  */
static struct set_settings *
load (const struct folder *folder, const char *text, GString *complaints,
      GError **error)
{
  write_file (folder, "settings.yaml", text);
  char *path = g_build_filename (folder->path, "settings.yaml", NULL);
  struct set_settings *settings = set_load (path, complaints, error);
  g_free (path);
  return settings;
}

struct refused_case
{
  const char *text;
  const char *complaints[3]; /* after the file's name, in order */
};

static const struct refused_case refused_cases[] = {
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
wrong_settings_are_refused (void **state)
{
  const struct folder *folder = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (refused_cases); i++)
    {
      const struct refused_case *c = &refused_cases[i];
      GString *complaints = g_string_new (NULL);
      GError *error = NULL;
      assert_null (load (folder, c->text, complaints, &error));
      assert_int_equal (err_kind_of (error), ERR_SETTINGS);
      char **lines = g_strsplit (complaints->str, "\n", 0);
      for (size_t j = 0; j < G_N_ELEMENTS (c->complaints); j++)
        {
          const char *wanted = c->complaints[j];
          if (wanted != NULL && strstr (lines[j], wanted) == NULL)
            {
              fail_msg ("case %zu: `%s' is without `%s'", i, lines[j], wanted);
            }
        }
      g_strfreev (lines);
      g_clear_error (&error);
      g_string_free (complaints, TRUE);
    }
}

static void
settings_are_read (void **state)
{
  const struct folder *folder = *state;
  GString *complaints = g_string_new (NULL);
  GError *error = NULL;
  struct set_settings *settings
      = load (folder,
              NAMES ADDRESSES URLS SECRETS
              "seeds: [127.0.0.1:1, 127.0.0.1:2]\nlog_level: warning\n"
              "traffic_threads: 3\ncaller_timeout_ms: 500\n",
              complaints, &error);
  assert_string_equal (complaints->str, "");
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
  g_string_free (complaints, TRUE);
}

static void
defaults_fill_what_is_left_out (void **state)
{
  const struct folder *folder = *state;
  GString *complaints = g_string_new (NULL);
  struct set_settings *settings
      = load (folder, NAMES ADDRESSES URLS SECRETS, complaints, NULL);
  assert_non_null (settings);
  assert_null (settings->seeds[0]);
  assert_int_equal (settings->log_level, LOG_INFO);
  assert_int_equal (settings->traffic_threads, 8);
  assert_int_equal (settings->caller_timeout_ms, 10000);
  set_destroy (settings);
  g_string_free (complaints, TRUE);
}

/* A missing file and one over the size bound are named.  */
static void
unreadable_files_are_refused (void **state)
{
  const struct folder *folder = *state;
  GString *complaints = g_string_new (NULL);
  GError *error = NULL;
  assert_null (set_load ("/nonexistent/settings.yaml", complaints, &error));
  assert_int_equal (err_kind_of (error), ERR_SETTINGS);
  assert_non_null (strstr (complaints->str, "/nonexistent/settings.yaml:1:"));
  g_clear_error (&error);
  g_string_truncate (complaints, 0);
  char *huge = g_strnfill ((gsize)1 << 20, '#');
  assert_null (load (folder, huge, complaints, &error));
  assert_non_null (strstr (complaints->str, "too long; allowed: up to 65536"));
  g_free (huge);
  g_clear_error (&error);
  g_string_free (complaints, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (wrong_settings_are_refused),
    cmocka_unit_test (settings_are_read),
    cmocka_unit_test (defaults_fill_what_is_left_out),
    cmocka_unit_test (unreadable_files_are_refused),
  };
  return cmocka_run_group_tests (tests, create_folder, remove_folder);
}
