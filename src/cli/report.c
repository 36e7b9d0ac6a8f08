/* kumquatthread report: shows error budgets and burn rates. */
#include "cli/admin.h"
#include "cli/cli.h"

#include <stdio.h>
#include <string.h>

#define PERCENT 100.0

/* Returns the string KEY of OBJECT, or "" when there is none.  */
static const char *
get_string (const json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));
  return text == NULL ? "" : text;
}

/* Returns the number KEY of OBJECT, or 0 when there is none.  */
static double
get_number (const json_t *object, const char *key)
{
  return json_number_value (json_object_get (object, key));
}

/* Prints the most frequent value of KEY among the causes of LINE, and its
   share; nothing when LINE has none.  */
static void
print_top_cause (const json_t *line, const char *key)
{
  const json_t *top = json_object_get (line, key);
  if (json_is_object (top))
    {
      printf (" %s %.0f%%", get_string (top, "name"),
              PERCENT * get_number (top, "share"));
    }
}

/* Prints the change per week and its standard error, in per cent.  */
static void
print_trend (const json_t *trend)
{
  if (get_number (trend, "days") == 0)
    {
      printf (" %16s", "-");
      return;
    }
  printf (" %+8.2f +- %4.2f", PERCENT * get_number (trend, "change_weekly"),
          PERCENT * get_number (trend, "standard_error"));
}

/* Prints LINE, one objective of an account, as a row of the table.  */
static void
print_line (const json_t *line)
{
  printf ("%-20s %-6s %-14s %-9s %7.1f %8.2f %8.2f",
          get_string (line, "account"), get_string (line, "work"),
          get_string (line, "objective"), get_string (line, "verdict"),
          PERCENT * get_number (line, "budget_left"),
          get_number (line, "short_burn"), get_number (line, "long_burn"));
  print_trend (json_object_get (line, "trend"));
  printf (" %6" JSON_INTEGER_FORMAT "/%-9" JSON_INTEGER_FORMAT,
          json_integer_value (json_object_get (line, "bad")),
          json_integer_value (json_object_get (line, "total")));
  print_top_cause (line, "error");
  print_top_cause (line, "endpoint");
  print_top_cause (line, "data_centre");
  putchar ('\n');
}

/* Prints the report as a table.  */
static void
print_table (const json_t *report)
{
  size_t index;
  const json_t *line;
  printf ("%-20s %-6s %-14s %-9s %7s %8s %8s %16s %16s %s\n", "account",
          "work", "objective", "verdict", "left %", "burn 1h", "burn 24h",
          "week %", "bad/total 28d", "causes");
  json_array_foreach (json_object_get (report, "lines"), index, line)
  {
    print_line (line);
  }
}

/* Runs `report': prints the error budgets and burn rates that one daemon
   measured.  Returns the exit code.  */
int
cli_report_run (int argc, char **argv)
{
  struct cli_admin_args args;
  int result = cli_admin_parse (argc, argv, "report [OPTIONS]", &args);
  if (result >= 0)
    {
      return result;
    }
  json_t *report = cli_call (&args.api, "GET", "/v1/report", NULL, 0);
  if (report == NULL)
    {
      return CLI_FAILED;
    }
  if (args.json)
    {
      json_dumpf (report, stdout, JSON_INDENT (2));
      putchar ('\n');
    }
  else
    {
      print_table (report);
    }
  json_decref (report);
  return CLI_OK;
}
