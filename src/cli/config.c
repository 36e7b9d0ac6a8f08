/* kumquatthread config: publishes, shows and compares configurations. */
#include "cli/admin.h"
#include "cli/cli.h"
#include "config/file.h"
#include "config/parse.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

#define USAGE "config publish FILE | show | history | diff FILE [OPTIONS]"

/* Publishes the configuration FILE and prints its version.  */
static int
publish_file (const struct cli_admin_args *args, const char *file)
{
  g_autofree char *text = NULL;
  gsize bytes = 0;
  g_autoptr (GError) error = NULL;
  if (!g_file_get_contents (file, &text, &bytes, &error))
    {
      fprintf (stderr, "kumquatthread: %s\n", error->message);
      return CLI_INVALID_INPUT;
    }
  json_t *response
      = cli_call (&args->api, "POST", "/v1/config", text, (uint32_t)bytes);
  if (response == NULL)
    {
      return CLI_FAILED;
    }
  printf ("accepted as version %" JSON_INTEGER_FORMAT "\n",
          json_integer_value (json_object_get (response, "version")));
  json_decref (response);
  return CLI_OK;
}

/* Prints the configuration in force, and how many daemons apply it.  */
static int
show_config (const struct cli_admin_args *args)
{
  json_t *response = cli_call (&args->api, "GET", "/v1/config", NULL, 0);
  if (response == NULL)
    {
      return CLI_FAILED;
    }
  printf ("# version %" JSON_INTEGER_FORMAT
          ", in force at %" JSON_INTEGER_FORMAT " of %" JSON_INTEGER_FORMAT
          " daemons\n%s",
          json_integer_value (json_object_get (response, "version")),
          json_integer_value (json_object_get (response, "in_force")),
          json_integer_value (json_object_get (response, "daemons")),
          json_string_value (json_object_get (response, "yaml")));
  json_decref (response);
  return CLI_OK;
}

/* Prints the published versions as JSON.  */
static int
show_history (const struct cli_admin_args *args)
{
  json_t *response
      = cli_call (&args->api, "GET", "/v1/config/history", NULL, 0);
  if (response == NULL)
    {
      return CLI_FAILED;
    }
  json_dumpf (response, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (response);
  return CLI_OK;
}

/* Prints the changes from configuration OLD, which is in force, to NEW, read
   from NEW_PATH.  Returns the exit code.  */
static int
print_changes (const char *old, const char *new_path, const char *new)
{
  GString *diagnostics = g_string_new (NULL);
  struct cfg_config *from
      = cfg_parse ("in force", old, strlen (old), diagnostics, NULL);
  struct cfg_config *to
      = cfg_parse (new_path, new, strlen (new), diagnostics, NULL);
  fputs (diagnostics->str, stderr);
  int result = CLI_INVALID_INPUT;
  if (from != NULL && to != NULL)
    {
      g_autofree char *changes = cfg_diff (from, to);
      fputs (changes, stdout);
      result = CLI_OK;
    }
  cfg_config_destroy (from);
  cfg_config_destroy (to);
  g_string_free (diagnostics, TRUE);
  return result;
}

/* Prints how the configuration in PATH differs from the one in force.  */
static int
diff_file (const struct cli_admin_args *args, const char *path)
{
  g_autofree char *new = NULL;
  size_t new_bytes = 0;
  g_autoptr (GError) error = NULL;
  if (!cfg_read_file (path, CFG_TEXT_BYTES_MAX, &new, &new_bytes, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return CLI_INVALID_INPUT;
    }
  json_t *response = cli_call (&args->api, "GET", "/v1/config", NULL, 0);
  if (response == NULL)
    {
      return CLI_FAILED;
    }
  const char *old = json_string_value (json_object_get (response, "yaml"));
  int result = print_changes (old == NULL ? "" : old, path, new);
  json_decref (response);
  return result;
}

/* Runs `config publish|show|history|diff', which publishes a configuration of
   the fleet, shows the one in force, lists the versions, or prints what a file
   would change.  Returns the exit code.  */
int
cli_config_run (int argc, char **argv)
{
  struct cli_admin_args args;
  int result = cli_admin_parse (argc, argv, USAGE, &args);
  if (result >= 0)
    {
      return result;
    }
  const char *action = args.positional_count > 0 ? args.positionals[0] : "";
  if (strcmp (action, "publish") == 0 && args.positional_count == 2)
    {
      return publish_file (&args, args.positionals[1]);
    }
  if (strcmp (action, "show") == 0 && args.positional_count == 1)
    {
      return show_config (&args);
    }
  if (strcmp (action, "history") == 0 && args.positional_count == 1)
    {
      return show_history (&args);
    }
  if (strcmp (action, "diff") == 0 && args.positional_count == 2)
    {
      return diff_file (&args, args.positionals[1]);
    }
  fputs ("usage: kumquatthread " USAGE "\n", stderr);
  return CLI_INVALID_INPUT;
}
