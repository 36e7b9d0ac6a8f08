/* Merges the measurements and renders the summary. */
#include "standin/load_private.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

static const char *const outcome_names[LT_OUTCOMES] = {
  [LT_WHOLE] = "whole",
  [LT_WRONG] = "wrong",
  [LT_CUT] = "cut",
  [LT_FAILED] = "failed",
  [LT_REFUSED] = "refused",
  [LT_UNCONNECTED] = "unconnected",
  [LT_UNFINISHED] = "unfinished",
};

static const char *const type_names[] = {
  [LT_DRAFT] = "drafts",
  [LT_BOOKING] = "booking_calls",
  [LT_LOOKUP] = "lookups",
};

/* Returns the name of OUTCOME in the journal and the summary.  */
const char *
lt_outcome_name (enum lt_outcome outcome)
{
  return outcome_names[outcome];
}

static GArray *
create_samples (void)
{
  return g_array_new (FALSE, FALSE, sizeof (int64_t));
}

/* Creates empty statistics with WINDOW_COUNT windows of LT_WINDOW_US.  */
struct lt_stats *
lt_stats_create (uint32_t window_count)
{
  struct lt_stats *stats = g_new0 (struct lt_stats, 1);
  stats->first_token_us = create_samples ();
  stats->gap_us = create_samples ();
  stats->longest_gap_us = create_samples ();
  stats->booking_latency_us = create_samples ();
  for (int i = 0; i < LT_ACCOUNTS_MAX; i++)
    {
      stats->account_latency_us[i] = create_samples ();
    }
  stats->window_tokens = g_new0 (uint32_t, window_count);
  stats->window_count = window_count;
  stats->error_kinds
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return stats;
}

/* Frees STATS.  */
void
lt_stats_destroy (struct lt_stats *stats)
{
  g_array_free (stats->first_token_us, TRUE);
  g_array_free (stats->gap_us, TRUE);
  g_array_free (stats->longest_gap_us, TRUE);
  g_array_free (stats->booking_latency_us, TRUE);
  for (int i = 0; i < LT_ACCOUNTS_MAX; i++)
    {
      g_array_free (stats->account_latency_us[i], TRUE);
    }
  g_free (stats->window_tokens);
  g_hash_table_destroy (stats->error_kinds);
  g_free (stats);
}

/* Counts AMOUNT errors of KIND.  */
static void
count_errors (struct lt_stats *stats, const char *kind, gsize amount)
{
  gsize count
      = GPOINTER_TO_SIZE (g_hash_table_lookup (stats->error_kinds, kind));
  g_hash_table_replace (stats->error_kinds, g_strdup (kind),
                        GSIZE_TO_POINTER (count + amount));
}

/* Counts one error of KIND; "" counts nothing.  */
void
lt_stats_count_error (struct lt_stats *stats, const char *kind)
{
  if (kind[0] != '\0')
    {
      count_errors (stats, kind, 1);
    }
}

static void
merge_samples (GArray *samples, const GArray *more)
{
  g_array_append_vals (samples, more->data, more->len);
}

/* Adds the figures of MORE to STATS.  Both must have the same number of
   windows.  */
void
lt_stats_merge (struct lt_stats *stats, const struct lt_stats *more)
{
  merge_samples (stats->first_token_us, more->first_token_us);
  merge_samples (stats->gap_us, more->gap_us);
  merge_samples (stats->longest_gap_us, more->longest_gap_us);
  merge_samples (stats->booking_latency_us, more->booking_latency_us);
  for (int i = 0; i < LT_ACCOUNTS_MAX; i++)
    {
      merge_samples (stats->account_latency_us[i],
                     more->account_latency_us[i]);
    }
  for (uint32_t i = 0; i < stats->window_count; i++)
    {
      stats->window_tokens[i] += more->window_tokens[i];
    }
  for (int type = 0; type <= LT_LOOKUP; type++)
    {
      for (int i = 0; i < LT_OUTCOMES; i++)
        {
          stats->outcomes[type][i] += more->outcomes[type][i];
        }
    }
  GHashTableIter iterator;
  gpointer kind;
  gpointer count;
  g_hash_table_iter_init (&iterator, more->error_kinds);
  while (g_hash_table_iter_next (&iterator, &kind, &count))
    {
      count_errors (stats, kind, GPOINTER_TO_SIZE (count));
    }
  stats->tokens += more->tokens;
  stats->goodput_tokens += more->goodput_tokens;
  stats->abandoned_bookings += more->abandoned_bookings;
}

static gint
compare_samples (gconstpointer a, gconstpointer b)
{
  int64_t left = *(const int64_t *)a;
  int64_t right = *(const int64_t *)b;
  return left < right ? -1 : left > right;
}

/* Returns the quantile FRACTION, from 0 to 1, of the sorted SAMPLES in
   milliseconds, or 0 without samples.  SAMPLES are in microseconds.  */
static double
quantile_ms (const GArray *samples, double fraction)
{
  if (samples->len == 0)
    {
      return 0;
    }
  guint index = (guint)(fraction * (samples->len - 1) + 0.5);
  return (double)g_array_index (samples, int64_t, index) / 1000;
}

/* Sorts SAMPLES and returns their count and quantiles in milliseconds.  */
static json_t *
quantiles (GArray *samples)
{
  g_array_sort (samples, compare_samples);
  return json_pack (
      "{s:I,s:f,s:f,s:f,s:f}", "count", (json_int_t)samples->len, "p50",
      quantile_ms (samples, 0.5), "p95", quantile_ms (samples, 0.95), "p99",
      quantile_ms (samples, 0.99), "max", quantile_ms (samples, 1));
}

static json_t *
outcome_counts (const uint64_t *outcomes)
{
  json_t *object = json_object ();
  for (int i = 0; i < LT_OUTCOMES; i++)
    {
      json_object_set_new (object, outcome_names[i],
                           json_integer ((json_int_t)outcomes[i]));
    }
  return object;
}

static json_t *
error_kind_counts (GHashTable *error_kinds)
{
  json_t *object = json_object ();
  GHashTableIter iterator;
  gpointer kind;
  gpointer count;
  g_hash_table_iter_init (&iterator, error_kinds);
  while (g_hash_table_iter_next (&iterator, &kind, &count))
    {
      json_object_set_new (
          object, kind, json_integer ((json_int_t)GPOINTER_TO_SIZE (count)));
    }
  return object;
}

/* Returns the summary of STATS as JSON, to be freed by the caller.  START_US
   is the monotonic time at which the load started.  */
char *
lt_stats_summary (const struct lt_stats *stats,
                  const struct lt_options *options, int64_t start_us)
{
  json_t *root = json_object ();
  json_object_set_new (root, "start_us", json_integer (start_us));
  json_object_set_new (root, "warmup_s", json_real (options->warmup_s));
  json_object_set_new (root, "seconds", json_real (options->measure_s));
  json_object_set_new (root, "tokens_per_s",
                       json_real ((double)stats->tokens / options->measure_s));
  json_object_set_new (
      root, "goodput_tokens_per_s",
      json_real ((double)stats->goodput_tokens / options->measure_s));
  for (int type = 0; type <= LT_LOOKUP; type++)
    {
      json_object_set_new (root, type_names[type],
                           outcome_counts (stats->outcomes[type]));
    }
  json_object_set_new (root, "bookings_given_up",
                       json_integer ((json_int_t)stats->abandoned_bookings));
  json_object_set_new (root, "kinds", error_kind_counts (stats->error_kinds));
  json_object_set_new (root, "first_token_ms",
                       quantiles (stats->first_token_us));
  json_object_set_new (root, "between_tokens_ms", quantiles (stats->gap_us));
  json_object_set_new (root, "pause_ms", quantiles (stats->longest_gap_us));
  json_object_set_new (root, "booking_ms",
                       quantiles (stats->booking_latency_us));
  json_t *accounts = json_object ();
  for (uint32_t i = 0; i < options->account_count; i++)
    {
      json_object_set_new (accounts, options->accounts[i].name,
                           quantiles (stats->account_latency_us[i]));
    }
  json_object_set_new (root, "account_draft_ms", accounts);
  json_t *window_tokens = json_array ();
  for (uint32_t i = 0; i < stats->window_count; i++)
    {
      json_array_append_new (window_tokens,
                             json_integer (stats->window_tokens[i]));
    }
  json_object_set_new (root, "window_ms", json_integer (LT_WINDOW_US / 1000));
  json_object_set_new (root, "windows", window_tokens);
  char *text = json_dumps (root, JSON_COMPACT | JSON_REAL_PRECISION (9));
  json_decref (root);
  return text;
}
