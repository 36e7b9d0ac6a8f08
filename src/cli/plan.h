/* kumquatthread plan: prints the placement of a configuration. */
#ifndef CLI_PLAN_H
#define CLI_PLAN_H

int cli_plan_run (int argc, char **argv);

#endif
