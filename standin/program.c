#include "standin/program.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <unistd.h>

#define EXIT_USAGE 2

/* Parses the command line with TABLE, whose last entry is a struct arg_end.
   Returns 0, or 2 after it has printed the errors and the usage.  */
int
prg_parse (int argc, char **argv, void **table)
{
  int entries = 0;
  while (((struct arg_hdr *)table[entries])->flag != ARG_TERMINATOR)
    {
      entries++;
    }
  if (arg_parse (argc, argv, table) == 0)
    {
      return 0;
    }
  arg_print_errors (stderr, (struct arg_end *)table[entries], argv[0]);
  fprintf (stderr, "usage: %s", argv[0]);
  arg_print_syntaxv (stderr, table, "\n");
  return EXIT_USAGE;
}

static void
fill_signals (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
}

/* Blocks SIGTERM and SIGINT, which prg_serve waits for, in the calling thread
   and in threads that it starts later.  */
void
prg_block_signals (void)
{
  sigset_t signals;
  fill_signals (&signals);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
}

/* Prints the line `ready PORT' and waits for SIGTERM or SIGINT.  Then exits
   the process with status 0 and doesn't return.  */
void
prg_serve (uint16_t port)
{
  printf ("ready %u\n", port);
  fflush (stdout);
  sigset_t signals;
  fill_signals (&signals);
  int received;
  sigwait (&signals, &received);
  fflush (NULL);
  _exit (0);
}

/* Prints ERROR to standard error and frees it.  Returns the exit status 2.  */
int
prg_fail (const char *program, GError *error)
{
  fprintf (stderr, "%s: %s\n", program, error->message);
  g_error_free (error);
  return EXIT_USAGE;
}
