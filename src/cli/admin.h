/* Command line parsing of the subcommands that call a daemon's administration
   API. */
#ifndef CLI_ADMIN_H
#define CLI_ADMIN_H

#include "cli/client.h"

#include <argtable2.h>
#include <stdbool.h>

/* Most positional arguments of a subcommand. */
#define CLI_POSITIONALS_MAX 8

/* The parsed command line.  Its strings belong to argv or the environment. */
struct cli_admin_args
{
  struct cli_api api;
  const char *positionals[CLI_POSITIONALS_MAX];
  int positional_count;
  bool json; /* --json: print the response as JSON */
};

int cli_admin_parse (int argc, char **argv, const char *usage,
                     struct cli_admin_args *args);

#endif
