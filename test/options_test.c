/* Tests of the suggestions for misspelt words, and of the exit code and output
   of each subcommand for valid and invalid command lines. */
#include "cli/options.h"

#include "base/nearest.h"
#include "cli/cli.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

struct suggestion_case
{
  const char *word;
  const char *expected; /* NULL: no suggestion */
};

static const struct suggestion_case suggestion_cases[] = {
  { "--hepl", "--help" },   { "--vers", "--version" },
  { "--ver", "--version" }, { "--hlep", "--help" },
  { "--help", "--help" },   { "--bse", "--base" },
  { "-base", "--base" },    { "x", NULL },
  { "--zzzzzzzz", NULL },   { "", NULL },
};

static void
suggests_similar_word (void **state)
{
  (void)state;
  static const char *const known[]
      = { "--help", "--base", "--json", "--version" };
  for (size_t i = 0; i < G_N_ELEMENTS (suggestion_cases); i++)
    {
      const char *nearest
          = near_word (suggestion_cases[i].word, known, G_N_ELEMENTS (known));
      if (suggestion_cases[i].expected == NULL)
        {
          assert_null (nearest);
        }
      else
        {
          assert_non_null (nearest);
          assert_string_equal (nearest, suggestion_cases[i].expected);
        }
    }
}

struct command_case
{
  int (*run) (int argc, char **argv);
  const char *arguments[5];
  int status;         /* expected exit code */
  const char *output; /* expected part of standard output or standard error */
};

static const struct command_case command_cases[] = {
  { cli_check_run,
    { "check", "examples/configuration.yaml" },
    0,
    "examples/configuration.yaml: configuration 1, 2 accounts" },
  { cli_check_run,
    { "check", "examples/settings.yaml" },
    0,
    "examples/settings.yaml: settings of entry-1 in kingston-1" },
  { cli_check_run,
    { "check", "nowhere.yaml" },
    2,
    "nowhere.yaml:1: the file" },
  { cli_check_run, { "check" }, 2, "usage: kumquatthread check" },
  { cli_check_run,
    { "check", "--hepl" },
    2,
    "kumquatthread check: unknown option '--hepl', did you mean '--help'?" },
  { cli_check_run,
    { "check", "--hepl=3", "f" },
    2,
    "unknown option '--hepl', did you mean '--help'?" },
  { cli_check_run, { "check", "-x", "f" }, 2, "-x" },
  { cli_check_run, { "check", "--help" }, 0, "usage: kumquatthread check" },
  { cli_check_fleet_run,
    { "check-fleet", "--strict", "examples/fleet.json" },
    0,
    "examples/fleet.json: configuration 7, 0 errors, 0 warnings" },
  { cli_check_fleet_run,
    { "check-fleet", "nowhere.json" },
    2,
    "nowhere.json:1: the file" },
  { cli_check_fleet_run,
    { "check-fleet", "examples/fleet.json", "--against", "nowhere.json" },
    2,
    "nowhere.json:1: the file" },
  { cli_check_fleet_run,
    { "check-fleet", "examples/settings.yaml" },
    2,
    "examples/settings.yaml: invalid configuration: line 1" },
  { cli_check_fleet_run,
    { "check-fleet", "--strcit", "f" },
    2,
    "unknown option '--strcit', did you mean '--strict'?" },
  { cli_serve_run,
    { "serve", "--hlep" },
    2,
    "kumquatthread serve: unknown option '--hlep', did you mean '--help'?" },
  { cli_serve_run, { "serve" }, 2, "usage: kumquatthread serve" },
  { cli_serve_run,
    { "serve", "nowhere.yaml" },
    2,
    "nowhere.yaml:1: the file" },
  { cli_drain_run, { "drain", "--jsno" }, 2, "did you mean '--json'?" },
  { cli_keys_run, { "keys", "-h" }, 0, "usage: kumquatthread keys" },
  { cli_plan_run, { "plan", "--hlep" }, 2, "did you mean '--help'?" },
  { cli_report_run, { "report" }, 2, "--operator and --token-file" },
  { cli_report_run, { "report", "--help" }, 0, "usage: kumquatthread report" },
  { cli_status_run,
    { "status", "--oprator=x" },
    2,
    "kumquatthread status: unknown option '--oprator', did you mean "
    "'--operator'?" },
  { cli_config_run, { "config", "-h" }, 0, "diff FILE" },
  { cli_inventory_run,
    { "inventory", "-h" },
    0,
    "usage: kumquatthread inventory" },
  { cli_inventory_run,
    { "inventory", "imprt", "f.csv" },
    2,
    "unknown action 'imprt', did you mean 'import'?" },
  { cli_inventory_run,
    { "inventory", "import", "f.csv", "--bse=c" },
    2,
    "unknown option '--bse', did you mean '--base'?" },
  { cli_inventory_run,
    { "inventory", "import", "nowhere.csv" },
    2,
    "nowhere.csv:1: the file" },
};

/* Runs COMMAND and sets STATUS to its exit code.  Returns what was printed to
   standard output and standard error, which the caller frees.  */
static char *
run_command (const struct command_case *command, int *status)
{
  FILE *file = tmpfile ();
  char *argv[6] = { 0 };
  int argc = 0;
  while (argc < 5 && command->arguments[argc] != NULL)
    {
      argv[argc] = (char *)command->arguments[argc];
      argc++;
    }
  fflush (NULL);
  int out = dup (STDOUT_FILENO);
  int err = dup (STDERR_FILENO);
  dup2 (fileno (file), STDOUT_FILENO);
  dup2 (fileno (file), STDERR_FILENO);
  *status = command->run (argc, argv);
  fflush (NULL);
  dup2 (out, STDOUT_FILENO);
  dup2 (err, STDERR_FILENO);
  close (out);
  close (err);
  rewind (file);
  char *text = g_malloc0 (8192);
  size_t bytes = fread (text, 1, 8191, file);
  text[bytes] = '\0';
  fclose (file);
  return text;
}

static void
commands_print_and_exit_as_expected (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (command_cases); i++)
    {
      int status = -1;
      char *output = run_command (&command_cases[i], &status);
      if (status != command_cases[i].status
          || strstr (output, command_cases[i].output) == NULL)
        {
          fail_msg ("case %zu: status %d, output %s", i, status, output);
        }
      g_free (output);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (suggests_similar_word),
    cmocka_unit_test (commands_print_and_exit_as_expected),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
