/* The subcommands of kumquatthread and their exit codes. */
#ifndef CLI_CLI_H
#define CLI_CLI_H

/* Exit codes: success; the operation failed; the command line or an input file
   is invalid. */
#define CLI_OK 0
#define CLI_FAILED 1
#define CLI_INVALID_INPUT 2

struct cli_command
{
  const char *name;
  const char *summary; /* one line for `kumquatthread --help' */

  /* Runs the command; ARGV starts with its name.  Returns the exit code. */
  int (*run) (int argc, char **argv);
};

int cli_serve_run (int argc, char **argv);
int cli_entry_run (int argc, char **argv);
int cli_check_run (int argc, char **argv);
int cli_check_fleet_run (int argc, char **argv);
int cli_inventory_run (int argc, char **argv);
int cli_plan_run (int argc, char **argv);
int cli_config_run (int argc, char **argv);
int cli_status_run (int argc, char **argv);
int cli_drain_run (int argc, char **argv);
int cli_keys_run (int argc, char **argv);
int cli_report_run (int argc, char **argv);
int cli_replay_run (int argc, char **argv);

#endif
