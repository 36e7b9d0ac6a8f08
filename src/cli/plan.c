/* kumquatthread plan: prints the placement of a configuration and its
   throughput bound. */
#include "cli/plan.h"

#include "cli/cli.h"
#include "cli/options.h"
#include "config/file.h"
#include "config/parse.h"
#include "core/placement.h"

#include <stdio.h>

/* Prints the layer ranges that each engine holds.  */
static void
print_placement (const struct cfg_config *config,
                 const struct pl_placement *placement)
{
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      const struct cfg_host *host = &config->hosts[i];
      if (host->role != CFG_HOST_ENGINE)
        {
          continue;
        }
      printf ("host %s %s %s", host->name,
              config->data_centres[host->data_centre].name, host->kind);
      for (uint32_t j = 0; j < placement->hosts[i].range_count; j++)
        {
          const struct snap_range *range = &placement->hosts[i].ranges[j];
          printf (" %s:%u-%u", config->models[range->model].name, range->first,
                  range->end);
        }
      puts (host->draining ? " draining" : "");
    }
}

/* Prints the throughput bound of PLACEMENT, its bottleneck, and the layer
   ranges to load.  */
static void
print_bound (const struct cfg_config *config,
             const struct pl_placement *placement)
{
  struct pl_bound bound;
  struct pl_moves moves;
  pl_find_bound (config, NULL, placement, &bound);
  pl_count_moves (config, NULL, placement, &moves);
  printf ("bound %.1f tokens/s\n", bound.tokens_per_s);
  printf ("compute-only %.1f tokens/s\n", bound.compute_only_tokens_per_s);
  if (bound.compute_only_tokens_per_s > 0.0)
    {
      printf ("share %.4f\n",
              bound.tokens_per_s / bound.compute_only_tokens_per_s);
    }
  if (bound.end > bound.first)
    {
      printf ("bottleneck %s:%u-%u\n", config->models[bound.model].name,
              bound.first, bound.end);
    }
  printf ("without-spare %u ranges\n", bound.under_replicated);
  printf ("loads %u ranges %" G_GUINT64_FORMAT " MiB\n", moves.loads,
          moves.load_mib);
}

/* Prints the token rate that one more host of each kind would add.  */
static void
print_gains (const struct cfg_config *config,
             const struct pl_placement *placement)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      const struct cfg_host *host = &config->hosts[i];
      if (host->role == CFG_HOST_ENGINE
          && g_hash_table_add (seen, (gpointer)host->kind))
        {
          printf ("one-more %s %.1f tokens/s\n", host->kind,
                  pl_gain_of_kind (config, NULL, placement, host->kind));
        }
    }
  g_hash_table_destroy (seen);
}

/* Plans the placement of the configuration in PATH and prints the result.
   Returns the exit code.  */
static int
plan_file (const char *path)
{
  char *text = NULL;
  size_t text_bytes = 0;
  GError *error = NULL;
  if (!cfg_read_file (path, CFG_TEXT_BYTES_MAX, &text, &text_bytes, &error))
    {
      fprintf (stderr, "%s\n", error->message);
      g_error_free (error);
      return CLI_INVALID_INPUT;
    }
  GString *diagnostics = g_string_new (NULL);
  struct cfg_config *config
      = cfg_parse (path, text, text_bytes, diagnostics, NULL);
  fputs (diagnostics->str, stderr);
  g_string_free (diagnostics, TRUE);
  g_free (text);
  if (config == NULL)
    {
      return CLI_INVALID_INPUT;
    }
  struct pl_placement *placement = pl_plan (config, NULL, NULL);
  print_placement (config, placement);
  print_bound (config, placement);
  print_gains (config, placement);
  pl_destroy (placement);
  cfg_config_destroy (config);
  return CLI_OK;
}

/* Runs `plan CONFIG': prints the placement, its throughput bound, the
   bottleneck and the gain of one more host of each kind.  Returns the exit
   code: 0, or 2 when the file is invalid.  */
int
cli_plan_run (int argc, char **argv)
{
  struct arg_lit *help = arg_lit0 ("h", "help", "show this help");
  struct arg_file *file
      = arg_file1 (NULL, NULL, "CONFIG", "configuration, YAML");
  struct arg_end *end = arg_end (20);
  void *table[] = { help, file, end };
  struct opt_usage usage = {
    .command = "kumquatthread plan",
    .summary = "Prints which layers each engine would hold, the resulting "
               "token rate and its bottleneck.",
    .table = table,
    .help = help,
    .end = end,
  };
  int status = opt_parse (&usage, argc, argv);
  if (status == OPT_CONTINUE)
    {
      status = plan_file (file->filename[0]);
    }
  arg_freetable (table, G_N_ELEMENTS (table));
  return status;
}
