#include "standin/checker.h"

#include <stdio.h>

/* Checks the journals named on the command line.  Prints the count for each
   rule to standard output and the details to standard error.  Returns 0, also
   with violations, or 2 when a journal can't be read.  */
int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      fprintf (stderr, "usage: %s JOURNAL...\n", argv[0]);
      return 2;
    }
  struct ck_checker *checker = ck_create ();
  GError *error = NULL;
  for (int i = 1; i < argc; i++)
    {
      if (!ck_add_file (checker, argv[i], &error))
        {
          fprintf (stderr, "%s: %s\n", argv[0], error->message);
          g_error_free (error);
          ck_destroy (checker);
          return 2;
        }
    }
  uint32_t violations[CK_RULES];
  GString *details = g_string_new (NULL);
  ck_check (checker, violations, details);
  for (int rule = 0; rule < CK_RULES; rule++)
    {
      printf ("violations.%s %u count <=0\n", ck_rule_name (rule),
              violations[rule]);
    }
  fputs (details->str, stderr);
  g_string_free (details, TRUE);
  ck_destroy (checker);
  return 0;
}
