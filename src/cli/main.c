/* Program entry point: dispatches to the subcommands. */
#include "cli/cli.h"
#include "cli/options.h"

#include <stdio.h>
#include <string.h>

#define VERSION "0.1.0"

static const struct cli_command commands[] = {
  { .name = "serve", .summary = "run the daemon", .run = cli_serve_run },
  { .name = "entry",
    .summary = "run an entry daemon on the users' platform",
    .run = cli_entry_run },
  { .name = "config",
    .summary = "publish or show the fleet's configuration",
    .run = cli_config_run },
  { .name = "status",
    .summary = "show the state of the fleet as one daemon sees it",
    .run = cli_status_run },
  { .name = "check",
    .summary = "check a settings or configuration file",
    .run = cli_check_run },
  { .name = "check-fleet",
    .summary = "check a configuration of the users' platform",
    .run = cli_check_fleet_run },
  { .name = "inventory",
    .summary = "convert an asset register (CSV) to a configuration",
    .run = cli_inventory_run },
  { .name = "plan",
    .summary = "print a configuration's placement and throughput bound",
    .run = cli_plan_run },
  { .name = "drain",
    .summary = "stop assigning new work to a host",
    .run = cli_drain_run },
  { .name = "keys",
    .summary = "list and settle calls whose outcome is unknown",
    .run = cli_keys_run },
  { .name = "report",
    .summary = "show the remaining error budgets",
    .run = cli_report_run },
};

#define COMMAND_COUNT (sizeof commands / sizeof commands[0])

static void
print_help (FILE *out)
{
  fputs ("usage: kumquatthread COMMAND [ARGUMENTS]\n\n", out);
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    {
      fprintf (out, "  %-11s %s\n", commands[i].name, commands[i].summary);
    }
  fputs ("\n`kumquatthread COMMAND --help' shows usage\n", out);
}

/* Prints that WORD is an unknown command or option, and suggests the most
   similar known one.  */
static void
print_unknown_command (const char *word)
{
  const char *known_words[COMMAND_COUNT + 2] = { "--help", "--version" };
  for (size_t i = 0; i < COMMAND_COUNT; i++)
    {
      known_words[i + 2] = commands[i].name;
    }
  opt_print_unknown ("kumquatthread", word[0] == '-' ? "option" : "command",
                     word, known_words, COMMAND_COUNT + 2);
}

int
main (int argc, char **argv)
{
  if (argc >= 2 && strcmp (argv[1], "--version") == 0)
    {
      puts ("kumquatthread " VERSION);
      return CLI_OK;
    }
  if (argc >= 2 && strcmp (argv[1], "--help") == 0)
    {
      print_help (stdout);
      return CLI_OK;
    }
  for (size_t i = 0; argc >= 2 && i < COMMAND_COUNT; i++)
    {
      if (strcmp (commands[i].name, argv[1]) == 0)
        {
          return commands[i].run (argc - 1, argv + 1);
        }
    }
  if (argc >= 2)
    {
      print_unknown_command (argv[1]);
    }
  print_help (stderr);
  return CLI_INVALID_INPUT;
}
