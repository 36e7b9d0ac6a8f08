/* The subcommands. */
#ifndef CLI_CLI_H
#define CLI_CLI_H

#define CLI_FINE 0
#define CLI_FAILED 1
#define CLI_BAD_USAGE 2

struct cli_command
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
};

int cli_serve_run (int argc, char **argv);
int cli_entry_run (int argc, char **argv);
int cli_check_run (int argc, char **argv);
int cli_inventory_run (int argc, char **argv);
int cli_plan_run (int argc, char **argv);
int cli_config_run (int argc, char **argv);
int cli_status_run (int argc, char **argv);
int cli_drain_run (int argc, char **argv);
int cli_keys_run (int argc, char **argv);
int cli_report_run (int argc, char **argv);
int cli_replay_run (int argc, char **argv);

#endif
