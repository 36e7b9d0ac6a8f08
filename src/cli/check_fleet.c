/* kumquatthread check-fleet: checks a configuration that the platform's
   operator publishes. */
#include "cli/cli.h"
#include "cli/options.h"
#include "config/file.h"
#include "config/parse.h"
#include "core/fleet_check.h"
#include "platform/configuration.h"
#include "platform/configuration_format.h"

#include <stdio.h>
#include <string.h>

static const char *const severity_names[] = {
  [FCK_ERROR] = "error",
  [FCK_WARNING] = "warning",
  [FCK_CHANGE] = "change",
};

/* Reads the configuration in the file PATH.  Sets KEYS, unless it is NULL, to
   the keys that the file declares, and FORMAT to findings on its values; the
   caller frees both.  Returns NULL after printing why the file can't be read
   or decoded.  */
static struct flt_config *
load_fleet (const char *path, GArray **keys, GPtrArray **format)
{
  char *text = NULL;
  size_t text_bytes = 0;
  g_autoptr (GError) error = NULL;
  if (!cfg_read_file (path, CFG_TEXT_BYTES_MAX, &text, &text_bytes, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      return NULL;
    }
  struct flt_config *config = pfc_decode (text, text_bytes, &error);
  if (config == NULL)
    {
      /* The JSON library quotes the text near the error, which may be a key.
       */
      char *quoted = strstr (error->message, " near '");
      fprintf (stderr, "%s: %.*s\n", path,
               (int)(quoted == NULL ? strlen (error->message)
                                    : (size_t)(quoted - error->message)),
               error->message);
    }
  else if (keys != NULL)
    {
      *keys = pfc_list_keys (text, text_bytes);
      *format = pff_check (text, text_bytes);
    }
  g_free (text);
  return config;
}

/* Prints FINDINGS on the file PATH, a line each, and adds their numbers by
   severity to COUNTS.  Frees FINDINGS.  */
static void
print_findings (const char *path, GPtrArray *findings, guint *counts)
{
  for (guint i = 0; i < findings->len; i++)
    {
      const struct fck_finding *finding = g_ptr_array_index (findings, i);
      g_autofree char *line
          = g_strdup_printf ("%s: %s: %s", severity_names[finding->severity],
                             finding->entry, finding->text);
      /* Names of the file may have line breaks or control sequences.  */
      for (char *c = line; *c != '\0'; c++)
        {
          *c = g_ascii_iscntrl (*c) ? '?' : *c;
        }
      printf ("%s: %s\n", path, line);
      counts[finding->severity]++;
    }
  g_ptr_array_free (findings, TRUE);
}

/* Checks the file PATH, and compares it with the file AGAINST unless that is
   NULL.  Returns the exit code.  */
static int
check_fleet (const char *path, const char *against, bool strict)
{
  GArray *keys = NULL;
  GPtrArray *format = NULL;
  struct flt_config *config = load_fleet (path, &keys, &format);
  struct flt_config *old
      = against == NULL ? NULL : load_fleet (against, NULL, NULL);
  guint counts[G_N_ELEMENTS (severity_names)] = { 0 };
  bool failed = config == NULL || (against != NULL && old == NULL);
  if (config != NULL)
    {
      print_findings (path, format, counts);
      print_findings (path, fck_check (config, keys), counts);
      g_array_free (keys, TRUE);
    }
  if (config != NULL && old != NULL)
    {
      print_findings (path, fck_compare (old, config), counts);
    }
  if (config != NULL)
    {
      printf ("%s: configuration %" G_GUINT64_FORMAT
              ", %u errors, %u warnings, %u changes\n",
              path, config->version, counts[FCK_ERROR], counts[FCK_WARNING],
              counts[FCK_CHANGE]);
    }
  flt_release (config);
  flt_release (old);
  if (failed || counts[FCK_ERROR] > 0)
    {
      return CLI_INVALID_INPUT;
    }
  return strict && counts[FCK_WARNING] > 0 ? CLI_FAILED : CLI_OK;
}

/* Runs `check-fleet FILE': prints every finding on a configuration of the
   platform.  Returns the exit code: 2 when there are errors, 1 when there are
   warnings and --strict is given, else 0.  */
int
cli_check_fleet_run (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_file *against = arg_file0 (
      NULL, "against", "FILE", "the configuration in force, to compare with");
  struct arg_lit *strict
      = arg_lit0 (NULL, "strict", "exit with 1 when there are warnings");
  struct arg_file *file
      = arg_file1 (NULL, NULL, "FILE", "the platform's configuration, JSON");
  struct arg_end *end = arg_end (20);
  void *table[] = { help, against, strict, file, end };
  struct opt_usage usage = {
    .command = "kumquatthread check-fleet",
    .summary = "Checks a configuration of the users' platform before it is "
               "published.",
    .table = table,
    .help = help,
    .end = end,
  };
  int status = opt_parse (&usage, argc, argv);
  if (status == OPT_CONTINUE)
    {
      status = check_fleet (file->filename[0],
                            against->count > 0 ? against->filename[0] : NULL,
                            strict->count > 0);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
