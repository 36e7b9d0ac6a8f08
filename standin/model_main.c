#include "standin/model.h"

#include <argtable2.h>
#include <stdio.h>

/* Prints the answer of the model to a prompt, as the simulated engines
   generate it.  */
int
main (int argc, char **argv)
{
  struct arg_str *model = arg_str1 (NULL, "model", "NAME", NULL);
  struct arg_int *layers = arg_int1 (NULL, "layers", "N", NULL);
  struct arg_int *tokens = arg_int1 (NULL, "max-tokens", "N", NULL);
  struct arg_str *prompt = arg_str1 (NULL, "prompt", "TEXT", NULL);
  struct arg_end *end = arg_end (4);
  void *table[] = { model, layers, tokens, prompt, end };
  int errors = arg_parse (argc, argv, table);
  if (errors > 0)
    {
      arg_print_errors (stderr, end, argv[0]);
    }
  else
    {
      GString *answer = g_string_new (NULL);
      md_answer (model->sval[0], (uint32_t)layers->ival[0], prompt->sval[0],
                 (uint32_t)tokens->ival[0], answer);
      puts (answer->str);
      g_string_free (answer, TRUE);
    }
  arg_freetable (table, sizeof table / sizeof table[0]);
  return errors > 0 ? 2 : 0;
}
