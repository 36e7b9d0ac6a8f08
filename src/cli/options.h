/* Command line parsing, help and usage errors of all subcommands. */
#ifndef CLI_OPTIONS_H
#define CLI_OPTIONS_H

#include <argtable2.h>
#include <stddef.h>

/* Result of opt_parse when the subcommand is to run.  Any other result is the
   exit code with which the process is to end. */
#define OPT_CONTINUE (-1)

/* The command line of a subcommand, for the parser and for `--help'. */
struct opt_usage
{
  const char *command; /* `kumquatthread check' */
  const char *summary; /* the first line of the help; NULL: none */
  const char *syntax;  /* of the arguments; NULL: derived from the table */
  void **table;        /* argtable2 entries, the last of which is END */
  const struct arg_lit *help;
  struct arg_end *end; /* collects the errors */
};

int opt_parse (const struct opt_usage *usage, int argc, char **argv);
int opt_print_unknown (const char *command, const char *word_type,
                       const char *word, const char *const *known,
                       size_t known_count);

#endif
