/* kumquatthread serve: runs the daemon. */
#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "cli/cli.h"
#include "cli/options.h"
#include "daemon/daemon.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <time.h>

/* Time until the load balancer has seen that /readyz reports not ready. */
#define READYZ_LAG_US (2 * CLK_S_US)

/* How often a stopping daemon checks whether its last request has ended. */
#define POLL_INTERVAL_NS 50000000

/* Prints the addresses that DAEMON listens on, for the program that started
   it.  */
static void
print_addresses (const struct dmn_daemon *daemon)
{
  printf ("caller 127.0.0.1:%u\noperator 127.0.0.1:%u\n",
          dmn_caller_port (daemon), dmn_operator_port (daemon));
  fflush (stdout);
}

/* Waits for one of SIGNALS for at most POLL_INTERVAL_NS.  Returns its number,
   or -1 when none arrived.  */
static int
wait_for_signal (const sigset_t *signals)
{
  const struct timespec wait = { .tv_nsec = POLL_INTERVAL_NS };
  return sigtimedwait (signals, NULL, &wait);
}

/* Serves until a first signal, and then until the last request has ended, but
   for at least READYZ_LAG_US.  A second signal logs how many requests a third
   one would abort.  */
static void
serve_until_stopped (struct dmn_daemon *daemon, const sigset_t *signals)
{
  int received = 0;
  while (sigwait (signals, &received) != 0)
    {
    }
  dmn_begin_stop (daemon);
  int64_t stop_began_us = clk_monotonic_us ();
  lg_line (LOG_NOTICE, "stopping", "under_way=%ld",
           (long)dmn_requests_in_progress (daemon));
  uint32_t signal_count = 1;
  while (clk_monotonic_us () < stop_began_us + READYZ_LAG_US
         || dmn_requests_in_progress (daemon) > 0)
    {
      if (wait_for_signal (signals) < 0)
        {
          continue;
        }
      signal_count++;
      lg_line (
          LOG_WARNING, "stopping",
          "under_way=%ld message=\"another signal aborts these requests\"",
          (long)dmn_requests_in_progress (daemon));
      if (signal_count > 2)
        {
          return;
        }
    }
}

/* Runs the daemon with the settings in PATH.  Returns the exit code.  */
static int
run_daemon (const char *path)
{
  g_autoptr (GError) error = NULL;
  GString *diagnostics = g_string_new (NULL);
  sigset_t signals;
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  mem_return_large_blocks ();
  struct set_settings *settings = set_load (path, diagnostics, &error);
  if (settings == NULL)
    {
      fputs (diagnostics->str, stderr);
      fprintf (stderr, "kumquatthread: %s\n", error->message);
      g_string_free (diagnostics, TRUE);
      return CLI_INVALID_INPUT;
    }
  g_string_free (diagnostics, TRUE);
  lg_set_level (settings->log_level);
  struct dmn_daemon *daemon = dmn_create (settings, &error);
  if (daemon == NULL)
    {
      fprintf (stderr, "kumquatthread: %s\n", error->message);
      set_destroy (settings);
      return CLI_FAILED;
    }
  print_addresses (daemon);
  serve_until_stopped (daemon, &signals);
  dmn_destroy (daemon);
  lg_line (LOG_NOTICE, "stopped", "name=%s", settings->name);
  set_destroy (settings);
  return CLI_OK;
}

/* Runs `serve SETTINGS': the daemon.  Returns the exit code.  */
int
cli_serve_run (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_file *file
      = arg_file1 (NULL, NULL, "SETTINGS", "settings of this process, YAML");
  struct arg_end *end = arg_end (20);
  void *table[] = { help, file, end };
  const struct opt_usage usage = {
    .command = "kumquatthread serve",
    .summary = "Runs the daemon until SIGTERM or SIGINT.",
    .table = table,
    .help = help,
    .end = end,
  };
  int status = opt_parse (&usage, argc, argv);
  if (status == OPT_CONTINUE)
    {
      status = run_daemon (file->filename[0]);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
