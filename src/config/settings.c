#include "config/settings.h"

#include "base/error.h"
#include "base/log.h"
#include "base/memory.h"
#include "config/config_schema.h"
#include "config/file.h"

#include <string.h>

#define SETTINGS_BYTES_MAX ((size_t)64 * 1024)
#define SECRET_BYTES_MAX ((size_t)4 * 1024)
#define DEPTH_MAX 4
#define NODES_MAX 1000
#define LIST_LENGTH_MAX 64
#define TRAFFIC_THREADS_MAX 1024
#define CALLER_TIMEOUT_MIN_MS 100
#define CALLER_TIMEOUT_MAX_MS 600000

#define DEFAULT_TRAFFIC_THREADS 8
#define DEFAULT_CALLER_TIMEOUT_MS 10000

/* The content of the settings file, which names the files with the secrets
   instead of having the secrets.  */
struct file_settings
{
  struct set_settings settings;
  char *operator_token_file;
  char *peer_secret_file;
};

static const char *const log_levels[]
    = { "emerg",  "alert", "crit",  "err", "warning",
        "notice", "info",  "debug", NULL };

static const struct file_settings defaults = {
  .settings = { .log_level = LOG_INFO,
                .traffic_threads = DEFAULT_TRAFFIC_THREADS,
                .memory_mb = MEM_DEFAULT_MB,
                .caller_timeout_ms = DEFAULT_CALLER_TIMEOUT_MS },
};

static const struct sch_field fields[] = {
  { .key = "name",
    .type = SCH_STRING,
    SCH_MEMBER (struct file_settings, settings.name),
    .required = true,
    .check = sch_check_name },
  { .key = "data_centre",
    .type = SCH_STRING,
    SCH_MEMBER (struct file_settings, settings.data_centre),
    .required = true,
    .check = sch_check_name },
  { .key = "caller_address",
    .type = SCH_STRING,
    SCH_MEMBER (struct file_settings, settings.caller_address),
    .required = true,
    .check = sch_check_listen_address },
  { .key = "operator_address",
    .type = SCH_STRING,
    SCH_MEMBER (struct file_settings, settings.operator_address),
    .required = true,
    .check = sch_check_listen_address },
  { .key = "peer_address",
    .type = SCH_STRING,
    SCH_MEMBER (struct file_settings, settings.peer_address),
    .required = true,
    .check = sch_check_listen_address },
  { .key = "log_urls",
    .type = SCH_STRING_LIST,
    SCH_MEMBER (struct file_settings, settings.log_urls),
    .required = true,
    .min = 1,
    .max = LIST_LENGTH_MAX,
    .check = sch_check_url },
  { .key = "host_list_url",
    .type = SCH_STRING,
    SCH_MEMBER (struct file_settings, settings.host_list_url),
    .required = true,
    .check = sch_check_url },
  { .key = "seeds",
    .type = SCH_STRING_LIST,
    SCH_MEMBER (struct file_settings, settings.seeds),
    .max = LIST_LENGTH_MAX,
    .check = sch_check_address },
  { .key = "operator_token_file",
    .type = SCH_STRING,
    SCH_MEMBER (struct file_settings, operator_token_file),
    .required = true,
    .check = sch_check_file },
  { .key = "peer_secret_file",
    .type = SCH_STRING,
    SCH_MEMBER (struct file_settings, peer_secret_file),
    .required = true,
    .check = sch_check_file },
  { .key = "log_level",
    .type = SCH_CHOICE,
    SCH_MEMBER (struct file_settings, settings.log_level),
    .choices = log_levels },
  { .key = "traffic_threads",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct file_settings, settings.traffic_threads),
    .min = 1,
    .max = TRAFFIC_THREADS_MAX },
  { .key = "memory_mb",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct file_settings, settings.memory_mb),
    .min = 1,
    .max = MEM_MAX_MB },
  { .key = "caller_timeout_ms",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct file_settings, settings.caller_timeout_ms),
    .min = CALLER_TIMEOUT_MIN_MS,
    .max = CALLER_TIMEOUT_MAX_MS },
};

const struct sch_schema set_schema = {
  .bytes = sizeof (struct file_settings),
  .defaults = &defaults,
  .fields = fields,
  .field_count = G_N_ELEMENTS (fields),
};

static const struct yt_limits limits = {
  .text_bytes_max = SETTINGS_BYTES_MAX,
  .depth_max = DEPTH_MAX,
  .nodes_max = NODES_MAX,
};

/* Reads the secret from the file NAME, relative to FOLDER, and removes
   trailing white space.  KEY is the setting that names the file.  Returns
   NULL, with an error for LINE added, when the file cannot be read or has no
   secret.  The caller frees the result with g_free.  */
static char *
read_secret (const char *folder, const char *name, const char *key,
             uint32_t line, struct cmp_list *errors)
{
  char *path = g_path_is_absolute (name)
                   ? g_strdup (name)
                   : g_build_filename (folder, name, NULL);
  char *secret = NULL;
  GError *error = NULL;
  size_t bytes = 0;
  if (!cfg_read_file (path, SECRET_BYTES_MAX, &secret, &bytes, &error))
    {
      cmp_add (errors, line, "%s: %s", key, error->message);
      g_clear_error (&error);
    }
  else if (strlen (secret) != bytes || g_strchomp (secret)[0] == '\0')
    {
      cmp_add (errors, line,
               "%s: '%s' holds no secret; allowed: one line of text", key,
               name);
      g_clear_pointer (&secret, g_free);
    }
  g_free (path);
  return secret;
}

/* Returns the line of the value of KEY in ROOT, or 1 when ROOT does not have
   KEY.  */
static uint32_t
key_line (const struct yt_node *root, const char *key)
{
  const struct yt_node *node = yt_get (root, key);
  return node == NULL ? 1 : node->line;
}

/* Reads the files with secrets that FILE names into its settings.  PATH is the
   settings file, to whose folder their names are relative.  */
static void
read_secrets (const char *path, const struct yt_node *root,
              struct file_settings *file, struct cmp_list *errors)
{
  char *folder = g_path_get_dirname (path);
  if (file->operator_token_file != NULL)
    {
      file->settings.operator_token = read_secret (
          folder, file->operator_token_file, "operator_token_file",
          key_line (root, "operator_token_file"), errors);
    }
  if (file->peer_secret_file != NULL)
    {
      file->settings.peer_secret
          = read_secret (folder, file->peer_secret_file, "peer_secret_file",
                         key_line (root, "peer_secret_file"), errors);
    }
  g_free (folder);
}

/* Reads the settings of a daemon from the YAML file PATH and the files with
   secrets that it names, relative to its folder.  Returns NULL with
   ERR_SETTINGS when a file cannot be read or has errors, and adds one line for
   each error to MESSAGES: `file:line: key: problem; allowed: ...'.  The caller
   frees the result with set_destroy.  */
struct set_settings *
set_load (const char *path, GString *messages, GError **error)
{
  struct cmp_list errors = { .file_name = path, .text = messages };
  char *text = NULL;
  size_t bytes = 0;
  GError *read_error = NULL;
  if (!cfg_read_file (path, SETTINGS_BYTES_MAX, &text, &bytes, &read_error))
    {
      g_string_append_printf (messages, "%s\n", read_error->message);
      g_propagate_error (error, read_error);
      return NULL;
    }
  struct file_settings file = { 0 };
  struct yt_node *root = yt_parse (text, bytes, &limits, &errors);
  if (root != NULL)
    {
      sch_read (&set_schema, root, &file, &errors);
      read_secrets (path, root, &file, &errors);
    }
  yt_destroy (root);
  g_free (text);
  g_free (file.operator_token_file);
  g_free (file.peer_secret_file);
  struct set_settings *settings = g_new (struct set_settings, 1);
  *settings = file.settings;
  if (settings->seeds == NULL)
    {
      settings->seeds = g_new0 (char *, 1);
    }
  cmp_set_error (&errors, ERR_SETTINGS, error);
  if (errors.count > 0)
    {
      set_destroy (settings);
      return NULL;
    }
  return settings;
}

/* Frees SETTINGS; NULL is allowed.  */
void
set_destroy (struct set_settings *settings)
{
  if (settings == NULL)
    {
      return;
    }
  g_free (settings->name);
  g_free (settings->data_centre);
  g_free (settings->caller_address);
  g_free (settings->operator_address);
  g_free (settings->peer_address);
  g_strfreev (settings->log_urls);
  g_free (settings->host_list_url);
  g_strfreev (settings->seeds);
  g_free (settings->operator_token);
  g_free (settings->peer_secret);
  g_free (settings);
}
