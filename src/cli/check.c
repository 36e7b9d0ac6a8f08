/* kumquatthread check: validates a settings or configuration file. */
#include "cli/cli.h"
#include "cli/options.h"
#include "config/file.h"
#include "config/parse.h"
#include "config/settings.h"

#include <stdio.h>

/* Checks the settings file PATH and prints its errors.  Returns the exit
   code.  */
static int
check_settings (const char *path)
{
  GString *diagnostics = g_string_new (NULL);
  struct set_settings *settings = set_load (path, diagnostics, NULL);
  fputs (diagnostics->str, stderr);
  g_string_free (diagnostics, TRUE);
  if (settings == NULL)
    {
      return CLI_INVALID_INPUT;
    }
  printf ("%s: settings of %s in %s, no errors\n", path, settings->name,
          settings->data_centre);
  set_destroy (settings);
  return CLI_OK;
}

/* Checks the configuration TEXT, read from PATH, and prints the errors.
   Returns the exit code.  */
static int
check_configuration (const char *path, const char *text, size_t text_bytes)
{
  GString *diagnostics = g_string_new (NULL);
  struct cfg_config *config
      = cfg_parse (path, text, text_bytes, diagnostics, NULL);
  fputs (diagnostics->str, stderr);
  g_string_free (diagnostics, TRUE);
  if (config == NULL)
    {
      return CLI_INVALID_INPUT;
    }
  printf ("%s: configuration %" G_GUINT64_FORMAT
          ", %u accounts, %u models, %u hosts, %u services, no errors\n",
          path, config->version, config->account_count, config->model_count,
          config->host_count, config->service_count);
  cfg_config_destroy (config);
  return CLI_OK;
}

/* Checks the file PATH as settings or as a configuration, whichever its keys
   suggest.  Returns the exit code.  */
static int
check_file (const char *path)
{
  char *text = NULL;
  size_t text_bytes = 0;
  GError *error = NULL;
  if (!cfg_read_file (path, CFG_TEXT_BYTES_MAX, &text, &text_bytes, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      return CLI_INVALID_INPUT;
    }
  int status = cfg_is_settings (text, text_bytes)
                   ? check_settings (path)
                   : check_configuration (path, text, text_bytes);
  g_free (text);
  return status;
}

/* Runs `check FILE': prints every error of a settings or configuration file.
   Returns the exit code: 0 when the file is valid, else 2.  */
int
cli_check_run (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_file *file
      = arg_file1 (NULL, NULL, "FILE", "settings or configuration, YAML");
  struct arg_end *end = arg_end (20);
  void *table[] = { help, file, end };
  struct opt_usage usage = {
    .command = "kumquatthread check",
    .summary = "Checks a settings or configuration file without applying "
               "it.",
    .table = table,
    .help = help,
    .end = end,
  };
  int status = opt_parse (&usage, argc, argv);
  if (status == OPT_CONTINUE)
    {
      status = check_file (file->filename[0]);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
