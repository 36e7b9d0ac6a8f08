/* kumquatthread entry */
#include "entry/entry.h"
#include "cli/cli.h"
#include "cli/options.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>

/* Names the settings where no argument does. */
#define SETTINGS_VARIABLE "KUMQUATTHREAD_CONFIG"

static int
run_entry (const char *path)
{
  /* A change of settings while the daemon starts must not end it; it reads the
     new ones, or is told again. */
  signal (SIGHUP, SIG_IGN);
  g_autoptr (GError) error = NULL;
  GString *complaints = g_string_new (NULL);
  struct ens_settings *settings = ens_load (path, complaints, &error);
  fputs (complaints->str, stderr);
  g_string_free (complaints, TRUE);
  if (settings == NULL)
    {
      fprintf (stderr, "kumquatthread: %s\n", error->message);
      return CLI_BAD_USAGE;
    }
  bool good = ent_run (path, settings, &error);
  if (!good)
    {
      fprintf (stderr, "kumquatthread: %s\n", error->message);
    }
  ens_destroy (settings);
  return good ? CLI_FINE : CLI_FAILED;
}

/* `entry [SETTINGS]': runs an entry daemon on the users' platform.  */
int
cli_entry_run (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_file *file = arg_file0 (
      NULL, NULL, "SETTINGS",
      "of this process, YAML; else the file that " SETTINGS_VARIABLE " names");
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
  if (status == OPT_GO_ON)
    {
      const char *path
          = file->count > 0 ? file->filename[0] : g_getenv (SETTINGS_VARIABLE);
      if (path == NULL)
        {
          fputs ("kumquatthread entry: no settings; name a file or "
                 "set " SETTINGS_VARIABLE "\n",
                 stderr);
          status = CLI_BAD_USAGE;
        }
      else
        {
          status = run_entry (path);
        }
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
