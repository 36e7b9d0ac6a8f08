/* kumquatthread keys: lists and settles idempotency keys whose call has an
   unknown outcome. */
#include "cli/admin.h"
#include "cli/cli.h"

#include <stdio.h>
#include <string.h>

#define USAGE "keys list | settle ACCOUNT KEY ran|not-run [ANSWER] [OPTIONS]"

/* Prints each unsettled key with its account and the time of its claim in
   seconds since 1970, by the log's clock, one key a line.  */
static int
list_keys (const struct cli_admin_args *args)
{
  json_t *response = cli_call (&args->api, "GET", "/v1/keys/unknown", NULL, 0);
  if (response == NULL)
    {
      return CLI_FAILED;
    }
  size_t index;
  const json_t *key;
  json_array_foreach (json_object_get (response, "keys"), index, key)
  {
    printf ("%s %s claimed_s=%" JSON_INTEGER_FORMAT "\n",
            json_string_value (json_object_get (key, "account")),
            json_string_value (json_object_get (key, "key")),
            json_integer_value (json_object_get (key, "claimed_s")));
  }
  json_decref (response);
  return CLI_OK;
}

/* Records whether the call of a key ran, and optionally the answer that later
   calls with the key get: JSON, or else a plain string.  */
static int
settle_key (const struct cli_admin_args *args)
{
  bool ran = strcmp (args->positionals[3], "ran") == 0;
  if (!ran && strcmp (args->positionals[3], "not-run") != 0)
    {
      fputs ("usage: kumquatthread " USAGE "\n", stderr);
      return CLI_INVALID_INPUT;
    }
  json_t *body = json_pack ("{s:s, s:s, s:b}", "account", args->positionals[1],
                            "key", args->positionals[2], "ran", ran);
  if (ran && args->positional_count == 5)
    {
      json_t *recorded
          = json_loads (args->positionals[4], JSON_DECODE_ANY, NULL);
      json_object_set_new (
          body, "answer",
          recorded != NULL ? recorded : json_string (args->positionals[4]));
    }
  char *text = json_dumps (body, JSON_COMPACT);
  json_t *response = cli_call (&args->api, "POST", "/v1/keys/settle", text,
                               (uint32_t)strlen (text));
  free (text);
  json_decref (body);
  if (response == NULL)
    {
      return CLI_FAILED;
    }
  puts ("settled");
  json_decref (response);
  return CLI_OK;
}

/* Runs `keys list|settle', which lists the calls whose outcome is unknown or
   settles one.  Returns the exit code.  */
int
cli_keys_run (int argc, char **argv)
{
  struct cli_admin_args args;
  int result = cli_admin_parse (argc, argv, USAGE, &args);
  if (result >= 0)
    {
      return result;
    }
  const char *action = args.positional_count > 0 ? args.positionals[0] : "";
  if (strcmp (action, "list") == 0 && args.positional_count == 1)
    {
      return list_keys (&args);
    }
  if (strcmp (action, "settle") == 0 && args.positional_count >= 4
      && args.positional_count <= 5)
    {
      return settle_key (&args);
    }
  fputs ("usage: kumquatthread " USAGE "\n", stderr);
  return CLI_INVALID_INPUT;
}
