#include "standin/load.h"
#include "standin/program.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The command line arguments. */
struct arguments
{
  struct arg_str *callers;
  struct arg_str *accounts;
  struct arg_str *model;
  struct arg_int *layers;
  struct arg_str *prompt_bytes;
  struct arg_int *prefixes;
  struct arg_int *prefix_bytes;
  struct arg_str *tokens;
  struct arg_str *service;
  struct arg_dbl *bookings;
  struct arg_dbl *lookups;
  struct arg_int *attempts;
  struct arg_int *twins;
  struct arg_int *repeats;
  struct arg_int *deadline;
  struct arg_dbl *warmup;
  struct arg_dbl *seconds;
  struct arg_dbl *drain;
  struct arg_int *threads;
  struct arg_int *seed;
  struct arg_str *journal;
  struct arg_str *summary;
};

/* Defines the arguments A with their default values and lists them in TABLE
   for argtable.  */
static void
define_arguments (struct arguments *a, void **table)
{
  a->callers = arg_strn (NULL, "caller", "URL", 1, LT_DAEMONS_MAX,
                         "of a daemon; they are used in turn");
  a->accounts = arg_strn (NULL, "account", "NAME,TOKEN,open=R|closed=N", 1,
                          LT_ACCOUNTS_MAX, "R drafts a second or N streams");
  a->model = arg_str1 (NULL, "model", "NAME", "of the drafts");
  a->layers = arg_int1 (NULL, "layers", "N", "of the model");
  a->prompt_bytes = arg_str0 (NULL, "prompt-bytes", "MIN-MAX", "of a prompt");
  a->prefixes = arg_int0 (NULL, "prefixes", "N", "that prompts share");
  a->prefix_bytes = arg_int0 (NULL, "prefix-bytes", "N", "of each of these");
  a->tokens = arg_str0 (NULL, "tokens", "MIN-MAX", "max_tokens of a draft");
  a->service = arg_str0 (NULL, "service", "NAME", "for the calls below");
  a->bookings = arg_dbl0 (NULL, "bookings-per-s", "R", "each with a key");
  a->lookups = arg_dbl0 (NULL, "lookups-per-s", "R", "repeatable calls");
  a->attempts = arg_int0 (NULL, "attempts", "N", "of a booking, same key");
  a->twins = arg_int0 (NULL, "twins", "PERCENT", "sent to two at once");
  a->repeats
      = arg_int0 (NULL, "repeats", "PERCENT", "asked again once answered");
  a->deadline = arg_int0 (NULL, "deadline-ms", "N", "of each draft");
  a->warmup = arg_dbl0 (NULL, "warmup-s", "S", "not measured");
  a->seconds = arg_dbl0 (NULL, "seconds", "S", "measured");
  a->drain = arg_dbl0 (NULL, "drain-s", "S", "for calls under way");
  a->threads = arg_int0 (NULL, "threads", "N", "of the tool");
  a->seed = arg_int0 (NULL, "seed", "N", "of arrivals and prompts");
  a->journal = arg_str0 (NULL, "journal", "FILE", "events are appended");
  a->summary = arg_str0 (NULL, "summary", "FILE", "JSON; standard output");
  void *entries[] = {
    a->callers,  a->accounts,     a->model,    a->layers,  a->prompt_bytes,
    a->prefixes, a->prefix_bytes, a->tokens,   a->service, a->bookings,
    a->lookups,  a->attempts,     a->twins,    a->repeats, a->deadline,
    a->warmup,   a->seconds,      a->drain,    a->threads, a->seed,
    a->journal,  a->summary,      arg_end (8),
  };
  memcpy (table, entries, sizeof entries);
  a->prompt_bytes->sval[0] = "40-200";
  a->prefixes->ival[0] = 0;
  a->prefix_bytes->ival[0] = 512;
  a->tokens->sval[0] = "20-60";
  a->bookings->dval[0] = 0;
  a->lookups->dval[0] = 0;
  a->attempts->ival[0] = 10;
  a->twins->ival[0] = 0;
  a->repeats->ival[0] = 0;
  a->deadline->ival[0] = 0;
  a->warmup->dval[0] = 1;
  a->seconds->dval[0] = 10;
  a->drain->dval[0] = 30;
  a->threads->ival[0] = 2;
  a->seed->ival[0] = 1;
}

/* Parses `MIN-MAX'.  Returns false when TEXT is malformed.  */
static gboolean
read_range (const char *text, uint32_t *low, uint32_t *high)
{
  return sscanf (text, "%u-%u", low, high) == 2 && *low <= *high; // NOLINT
}

/* Parses `NAME,TOKEN,open=R' or `NAME,TOKEN,closed=N'.  Returns false when
   TEXT is malformed.  */
static gboolean
read_account (const char *text, struct lt_account *account)
{
  gchar **parts = g_strsplit (text, ",", 3);
  gboolean valid = g_strv_length (parts) == 3;
  if (valid)
    {
      account->name = g_strdup (parts[0]);
      account->token = g_strdup (parts[1]);
      if (g_str_has_prefix (parts[2], "open="))
        {
          account->drafts_per_s = g_ascii_strtod (parts[2] + 5, NULL);
        }
      else if (g_str_has_prefix (parts[2], "closed="))
        {
          account->streams
              = (uint32_t)g_ascii_strtoull (parts[2] + 7, NULL, 10);
        }
      else
        {
          valid = FALSE;
        }
    }
  g_strfreev (parts);
  return valid;
}

/* Converts the parsed arguments A to OPTIONS.  Returns false when a value is
   malformed.  */
static gboolean
read_options (const struct arguments *a, struct lt_options *options)
{
  *options = (struct lt_options){
    .daemon_count = (uint32_t)a->callers->count,
    .account_count = (uint32_t)a->accounts->count,
    .model = a->model->sval[0],
    .layers = (uint32_t)a->layers->ival[0],
    .shared_prefixes = (uint32_t)a->prefixes->ival[0],
    .shared_prefix_bytes = (uint32_t)a->prefix_bytes->ival[0],
    .service = a->service->count > 0 ? a->service->sval[0] : NULL,
    .bookings_per_s = a->bookings->dval[0],
    .lookups_per_s = a->lookups->dval[0],
    .booking_attempts = (uint32_t)a->attempts->ival[0],
    .duplicate_percent = (uint32_t)a->twins->ival[0],
    .repeat_percent = (uint32_t)a->repeats->ival[0],
    .deadline_ms = (uint32_t)a->deadline->ival[0],
    .warmup_s = a->warmup->dval[0],
    .measure_s = a->seconds->dval[0],
    .drain_s = a->drain->dval[0],
    .threads = (uint32_t)a->threads->ival[0],
    .seed = (uint32_t)a->seed->ival[0],
  };
  for (int i = 0; i < a->callers->count; i++)
    {
      options->daemon_urls[i] = a->callers->sval[i];
    }
  gboolean valid = TRUE;
  for (int i = 0; i < a->accounts->count; i++)
    {
      valid = valid
              && read_account (a->accounts->sval[i], &options->accounts[i]);
    }
  return valid && options->threads > 0
         && read_range (a->prompt_bytes->sval[0], &options->prompt_bytes_min,
                        &options->prompt_bytes_max)
         && read_range (a->tokens->sval[0], &options->tokens_min,
                        &options->tokens_max);
}

/* Writes SUMMARY to PATH, or to standard output when PATH is NULL.  Returns
   the exit status.  */
static int
write_summary (const char *path, const char *summary)
{
  FILE *file = path == NULL ? stdout : fopen (path, "we");
  if (file == NULL)
    {
      perror (path);
      return 1;
    }
  fprintf (file, "%s\n", summary);
  fclose (file);
  return 0;
}

int
main (int argc, char **argv)
{
  struct arguments arguments;
  void *table[sizeof arguments / sizeof (void *) + 1];
  define_arguments (&arguments, table);
  int status = prg_parse (argc, argv, table);
  if (status != 0)
    {
      return status;
    }
  struct lt_options options;
  if (!read_options (&arguments, &options))
    {
      fputs ("a range is MIN-MAX, an account NAME,TOKEN,open=R or closed=N\n",
             stderr);
      return 2;
    }
  GError *error = NULL;
  const char *journal
      = arguments.journal->count > 0 ? arguments.journal->sval[0] : NULL;
  options.journal = jn_create (journal, &error);
  if (options.journal == NULL)
    {
      return prg_fail (argv[0], error);
    }
  char *summary = lt_run (&options);
  status = write_summary (
      arguments.summary->count > 0 ? arguments.summary->sval[0] : NULL,
      summary);
  free (summary);
  jn_destroy (options.journal);
  return status;
}
