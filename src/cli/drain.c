/* kumquatthread drain: excludes a host from new work, or readmits it. */
#include "cli/admin.h"
#include "cli/cli.h"

#include <stdio.h>
#include <string.h>

#define USAGE "drain HOST [off] [OPTIONS]"

/* Runs `drain HOST', after which HOST gets no new work, or `drain HOST off',
   which reverts that.  Returns the exit code.  */
int
cli_drain_run (int argc, char **argv)
{
  struct cli_admin_args args;
  int result = cli_admin_parse (argc, argv, USAGE, &args);
  if (result >= 0)
    {
      return result;
    }
  bool off
      = args.positional_count == 2 && strcmp (args.positionals[1], "off") == 0;
  if (args.positional_count != 1 && !off)
    {
      fputs ("usage: kumquatthread " USAGE "\n", stderr);
      return CLI_INVALID_INPUT;
    }
  json_t *body = json_pack ("{s:s, s:b}", "host", args.positionals[0],
                            "draining", !off);
  char *text = json_dumps (body, JSON_COMPACT);
  json_t *response = cli_call (&args.api, "POST", "/v1/drain", text,
                               (uint32_t)strlen (text));
  free (text);
  json_decref (body);
  if (response == NULL)
    {
      return CLI_FAILED;
    }
  printf ("%s %s, configuration %" JSON_INTEGER_FORMAT "\n",
          args.positionals[0], off ? "takes work" : "drains",
          json_integer_value (json_object_get (response, "version")));
  json_decref (response);
  return CLI_OK;
}
