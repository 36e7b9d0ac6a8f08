#include "cli/admin.h"

#include "cli/cli.h"
#include "cli/options.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Copies the parsed arguments to ARGS, which outlives the argument table: the
   strings are those of argv or the environment, not copies.  */
static void
copy_arguments (struct cli_admin_args *args, const struct arg_str *url,
                const struct arg_file *token,
                const struct arg_str *positionals, const struct arg_lit *json)
{
  const char *default_url = g_getenv ("KUMQUATTHREAD_OPERATOR");
  const char *default_token = g_getenv ("KUMQUATTHREAD_TOKEN_FILE");
  args->api.url = url->count > 0 ? url->sval[0] : default_url;
  args->api.token_file = token->count > 0 ? token->filename[0] : default_token;
  args->positional_count = positionals->count;
  args->json = json->count > 0;
  for (int i = 0; i < positionals->count; i++)
    {
      args->positionals[i] = positionals->sval[i];
    }
}

/* Parses ARGV, whose first word is the subcommand, into ARGS.  USAGE is the
   subcommand's name and the syntax of its arguments.  Returns OPT_CONTINUE
   when the command line is valid, else the exit code.  */
int
cli_admin_parse (int argc, char **argv, const char *usage,
                 struct cli_admin_args *args)
{
  struct arg_str *positionals
      = arg_strn (NULL, NULL, NULL, 0, CLI_POSITIONALS_MAX, NULL);
  struct arg_str *url = arg_str0 (NULL, "operator", "URL",
                                  "operator address; default "
                                  "$KUMQUATTHREAD_OPERATOR");
  struct arg_file *token = arg_file0 (NULL, "token-file", "FILE",
                                      "operators' token; default "
                                      "$KUMQUATTHREAD_TOKEN_FILE");
  struct arg_lit *json = arg_lit0 (NULL, "json", "print JSON");
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_end *end = arg_end (8);
  void *table[] = { url, token, json, help, positionals, end };
  g_autofree char *command = g_strconcat ("kumquatthread ", argv[0], NULL);
  const char *syntax = strchr (usage, ' ');
  const struct opt_usage options = {
    .command = command,
    .syntax = syntax == NULL ? "" : syntax + 1,
    .table = table,
    .help = help,
    .end = end,
  };
  memset (args, 0, sizeof *args);
  int result = opt_parse (&options, argc, argv);
  if (result == OPT_CONTINUE)
    {
      copy_arguments (args, url, token, positionals, json);
      if (args->api.url == NULL || args->api.token_file == NULL)
        {
          fputs ("kumquatthread: --operator and --token-file are needed\n",
                 stderr);
          result = CLI_INVALID_INPUT;
        }
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return result;
}
