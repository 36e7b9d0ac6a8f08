#include "standin/journal.h"

#include <stdio.h>

/* Appends one event to a journal, for use in scripts.  MEMBERS is JSON without
   the enclosing braces.  Returns 0, 1 when the journal can't be opened or 2
   for wrong arguments.  */
int
main (int argc, char **argv)
{
  if (argc != 3 && argc != 4)
    {
      fprintf (stderr, "usage: %s FILE EVENT [MEMBERS]\n", argv[0]);
      return 2;
    }
  GError *error = NULL;
  struct jn_journal *journal = jn_create (argv[1], &error);
  if (journal == NULL)
    {
      fprintf (stderr, "%s: %s\n", argv[0], error->message);
      g_error_free (error);
      return 1;
    }
  jn_write (journal, argv[2], "%s%s", argc == 4 ? "," : "",
            argc == 4 ? argv[3] : "");
  jn_destroy (journal);
  return 0;
}
