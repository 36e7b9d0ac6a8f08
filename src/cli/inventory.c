/* kumquatthread inventory: converts an asset register to a configuration. */
#include "config/inventory.h"
#include "cli/cli.h"
#include "cli/options.h"
#include "config/file.h"
#include "config/parse.h"

#include <stdio.h>
#include <string.h>

/* Reads the file PATH into FILE.  TEXT is set to the content, which FILE
   refers to and the caller frees.  Prints the error and returns false when the
   file cannot be read.  */
static bool
read_file (const char *path, struct inv_file *file, char **text)
{
  GError *error = NULL;
  file->name = path;
  if (!cfg_read_file (path, CFG_TEXT_BYTES_MAX, text, &file->text_bytes,
                      &error))
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      return false;
    }
  file->text = *text;
  return true;
}

/* Prints the configuration BASE, which may be NULL, with its hosts replaced by
   those of CSV.  Returns the exit code.  */
static int
print_imported (const struct inv_file *csv, const struct inv_file *base)
{
  GString *diagnostics = g_string_new (NULL);
  struct cfg_config *config = inv_import (csv, base, diagnostics, NULL);
  fputs (diagnostics->str, stderr);
  g_string_free (diagnostics, TRUE);
  if (config == NULL)
    {
      return CLI_INVALID_INPUT;
    }
  char *text = cfg_emit (config);
  fputs (text, stdout);
  g_free (text);
  cfg_config_destroy (config);
  return CLI_OK;
}

/* Imports the register CSV_PATH into the configuration BASE_PATH, which may be
   NULL.  Returns the exit code.  */
static int
import_files (const char *csv_path, const char *base_path)
{
  struct inv_file csv = { 0 };
  struct inv_file base = { 0 };
  char *csv_text = NULL;
  char *base_text = NULL;
  bool all_read = read_file (csv_path, &csv, &csv_text);
  if (base_path != NULL)
    {
      all_read = read_file (base_path, &base, &base_text) && all_read;
    }
  int status = CLI_INVALID_INPUT;
  if (all_read)
    {
      status = print_imported (&csv, base_path == NULL ? NULL : &base);
    }
  g_free (csv_text);
  g_free (base_text);
  return status;
}

/* Runs `inventory import FILE [--base CONFIG]': prints the configuration with
   the hosts of the asset register.  Returns the exit code: 0 when both files
   are valid, else 2.  */
int
cli_inventory_run (int argc, char **argv)
{
  static const char *const actions[] = { "import" };
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_str *action
      = arg_str1 (NULL, NULL, "import", "read an asset register");
  struct arg_file *csv = arg_file1 (NULL, NULL, "FILE", "the register, CSV");
  struct arg_file *base = arg_file0 (
      NULL, "base", "CONFIG", "configuration whose hosts are replaced, YAML");
  struct arg_end *end = arg_end (20);
  void *table[] = { help, base, action, csv, end };
  struct opt_usage usage = {
    .command = "kumquatthread inventory",
    .summary = "Converts an asset register to a configuration, printed as "
               "YAML.",
    .table = table,
    .help = help,
    .end = end,
  };
  int status = opt_parse (&usage, argc, argv);
  if (status == OPT_CONTINUE && strcmp (action->sval[0], actions[0]) != 0)
    {
      status = opt_print_unknown (usage.command, "action", action->sval[0],
                                  actions, G_N_ELEMENTS (actions));
    }
  if (status == OPT_CONTINUE)
    {
      status = import_files (csv->filename[0],
                             base->count > 0 ? base->filename[0] : NULL);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
