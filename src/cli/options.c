#include "cli/options.h"

#include "base/nearest.h"
#include "cli/cli.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

/* Long options of a subcommand that suggestions consider. */
#define LONG_OPTIONS_MAX 64

/* Prints the usage line of USAGE to OUT.  */
static void
print_syntax (const struct opt_usage *usage, FILE *out)
{
  fprintf (out, "usage: %s", usage->command);
  if (usage->syntax == NULL)
    {
      arg_print_syntax (out, usage->table, "\n");
    }
  else
    {
      fprintf (out, " %s\n", usage->syntax);
    }
}

/* Prints the summary, the usage line and the options of USAGE.  */
static void
print_help (const struct opt_usage *usage)
{
  if (usage->summary != NULL)
    {
      printf ("%s\n\n", usage->summary);
    }
  print_syntax (usage, stdout);
  putchar ('\n');
  arg_print_glossary_gnu (stdout, usage->table);
}

/* Fills KNOWN, of LONG_OPTIONS_MAX entries, with the long options of TABLE as
   `--name'; the caller frees each.  Returns their number.  */
static size_t
list_long_options (void **table, char **known)
{
  size_t count = 0;
  for (size_t i = 0; count < LONG_OPTIONS_MAX; i++)
    {
      const struct arg_hdr *header = table[i];
      if (header->longopts != NULL)
        {
          known[count++] = g_strconcat ("--", header->longopts, NULL);
        }
      if ((header->flag & ARG_TERMINATOR) != 0)
        {
          break;
        }
    }
  return count;
}

/* Prints to standard error that COMMAND does not know WORD, which is of
   WORD_TYPE, as "option", and suggests the most similar of the KNOWN_COUNT
   words of KNOWN if one is similar enough.  Returns CLI_INVALID_INPUT.  */
int
opt_print_unknown (const char *command, const char *word_type,
                   const char *word, const char *const *known,
                   size_t known_count)
{
  const char *nearest = near_word (word, known, known_count);
  if (nearest != NULL)
    {
      fprintf (stderr, "%s: unknown %s '%s', did you mean '%s'?\n", command,
               word_type, word, nearest);
    }
  else
    {
      fprintf (stderr, "%s: unknown %s '%s'\n", command, word_type, word);
    }
  return CLI_INVALID_INPUT;
}

/* Prints error INDEX of the command line to standard error, with a suggestion
   for an unknown long option.  */
static void
print_error (const struct opt_usage *usage, int index)
{
  const char *word = usage->end->argval[index];
  if (usage->end->error[index] != ARG_ELONGOPT)
    {
      struct arg_hdr *header = usage->end->parent[index];
      header->errorfn (header->parent, stderr, usage->end->error[index],
                       word == NULL ? "" : word, usage->command);
      return;
    }
  char *known[LONG_OPTIONS_MAX];
  size_t count = list_long_options (usage->table, known);
  char *name = g_strndup (word, strcspn (word, "="));
  opt_print_unknown (usage->command, "option", name,
                     (const char *const *)known, count);
  g_free (name);
  for (size_t i = 0; i < count; i++)
    {
      g_free (known[i]);
    }
}

/* Parses ARGV, whose first word is the subcommand, as USAGE describes.
   Returns OPT_CONTINUE when the command line is valid, CLI_OK after printing
   the help, and CLI_INVALID_INPUT after printing the errors.  */
int
opt_parse (const struct opt_usage *usage, int argc, char **argv)
{
  int errors = arg_parse (argc, argv, usage->table);
  if (usage->help->count > 0)
    {
      print_help (usage);
      return CLI_OK;
    }
  for (int i = 0; i < usage->end->count; i++)
    {
      print_error (usage, i);
    }
  if (errors == 0)
    {
      return OPT_CONTINUE;
    }
  print_syntax (usage, stderr);
  return CLI_INVALID_INPUT;
}
