/* kumquatthread entry: runs an entry daemon. */
#include "entry/entry.h"
#include "cli/cli.h"
#include "cli/options.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

/* Environment variable with the path of the settings, for a command line
   without that argument. */
#define SETTINGS_VARIABLE "KUMQUATTHREAD_CONFIG"

/* Runs the daemon with the settings in PATH.  Returns the exit code.  */
static int
run_entry (const char *path)
{
  /* SIGHUP announces changed settings.  While the daemon starts, the signal
     must not terminate it: either it still reads the new settings, or the
     change is announced again. */
  signal (SIGHUP, SIG_IGN);
  g_autoptr (GError) error = NULL;
  GString *diagnostics = g_string_new (NULL);
  struct ens_settings *settings = ens_load (path, diagnostics, &error);
  fputs (diagnostics->str, stderr);
  g_string_free (diagnostics, TRUE);
  if (settings == NULL)
    {
      fprintf (stderr, "kumquatthread: %s\n", error->message);
      return CLI_INVALID_INPUT;
    }
  bool succeeded = ent_run (path, settings, &error);
  if (!succeeded)
    {
      fprintf (stderr, "kumquatthread: %s\n", error->message);
    }
  ens_destroy (settings);
  return succeeded ? CLI_OK : CLI_FAILED;
}

/* Runs `entry [SETTINGS]': an entry daemon on the users' platform.  Returns
   the exit code.  */
int
cli_entry_run (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_file *file = arg_file0 (
      NULL, NULL, "SETTINGS", "settings, YAML; default $" SETTINGS_VARIABLE);
  struct arg_end *end = arg_end (20);
  void *table[] = { help, file, end };
  const struct opt_usage usage = {
    .command = "kumquatthread entry",
    .summary = "Runs an entry daemon on the platform until SIGTERM or SIGINT.",
    .table = table,
    .help = help,
    .end = end,
  };
  int status = opt_parse (&usage, argc, argv);
  if (status == OPT_CONTINUE)
    {
      const char *path
          = file->count > 0 ? file->filename[0] : g_getenv (SETTINGS_VARIABLE);
      if (path == NULL)
        {
          fputs ("kumquatthread entry: no settings; pass a file or "
                 "set " SETTINGS_VARIABLE "\n",
                 stderr);
          status = CLI_INVALID_INPUT;
        }
      else
        {
          status = run_entry (path);
        }
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
