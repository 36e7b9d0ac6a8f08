/* kumquatthread status: shows the state of the fleet as one daemon sees it. */
#include "cli/admin.h"
#include "cli/cli.h"

#include <stdio.h>

/* Prints HOST, its address, whether it takes work, its load and its layer
   ranges on one line.  */
static void
print_host (const json_t *host)
{
  printf ("%-24s %-21s %-8s streams %3" JSON_INTEGER_FORMAT
          "  failures %3" JSON_INTEGER_FORMAT "  step %6" JSON_INTEGER_FORMAT
          " us",
          json_string_value (json_object_get (host, "host")),
          json_string_value (json_object_get (host, "address")),
          json_is_true (json_object_get (host, "takes_work")) ? "open"
                                                              : "closed",
          json_integer_value (json_object_get (host, "streams")),
          json_integer_value (json_object_get (host, "failures")),
          json_integer_value (json_object_get (host, "step_us")));
  size_t index;
  const json_t *range;
  json_array_foreach (json_object_get (host, "ranges"), index, range)
  {
    printf ("  %s %" JSON_INTEGER_FORMAT "-%" JSON_INTEGER_FORMAT,
            json_string_value (json_object_get (range, "model")),
            json_integer_value (json_object_get (range, "first")),
            json_integer_value (json_object_get (range, "end")));
  }
  putchar ('\n');
}

/* Runs `status': prints the state of the fleet as one daemon sees it.  Returns
   the exit code.  */
int
cli_status_run (int argc, char **argv)
{
  struct cli_admin_args args;
  int result = cli_admin_parse (argc, argv, "status [OPTIONS]", &args);
  if (result >= 0)
    {
      return result;
    }
  json_t *response = cli_call (&args.api, "GET", "/v1/status", NULL, 0);
  if (response == NULL)
    {
      return CLI_FAILED;
    }
  if (args.json)
    {
      json_dumpf (response, stdout, JSON_INDENT (2));
      putchar ('\n');
    }
  else
    {
      size_t index;
      const json_t *host;
      printf (
          "daemon %s, %s, configuration %" JSON_INTEGER_FORMAT "\n",
          json_string_value (json_object_get (response, "daemon")),
          json_is_true (json_object_get (response, "ready")) ? "ready"
                                                             : "not ready",
          json_integer_value (json_object_get (response, "config_version")));
      json_array_foreach (json_object_get (response, "hosts"), index, host)
      {
        print_host (host);
      }
    }
  json_decref (response);
  return CLI_OK;
}
