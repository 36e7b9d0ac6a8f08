/* The report on error budgets: burn rates, top causes and verdicts. */
#include "core/burn_private.h"

#include <string.h>

#define SECOND_US INT64_C (1000000)

/* Fraction of requests that have to keep the limit of an objective on times.
   The limit itself comes from the configuration. */
#define TIME_TARGET 0.95

/* A short-window burn rate of this much is BRN_BURNING when that of the long
   window is at least half of it.  At 14 the budget of 28 days is spent in two
   days. */
#define BURN_RATE_MAX 14.0

/* A weekly change is BRN_SLIDING when it is at least this many of its standard
   errors, so that noise is not taken for a trend... */
#define SLIDING_STANDARD_ERRORS_MIN 3.0

/* ...and large enough to matter: for times 1 % a week, for availability a
   tenth of the error budget a week. */
#define SLIDING_RELATIVE_MIN 0.01
#define SLIDING_BUDGET_MIN 0.1

static const char *const work_names[BRN_WORK_COUNT] = {
  [BRN_DRAFT] = "draft",
  [BRN_KEYED] = "keyed",
  [BRN_LOOKUP] = "lookup",
};

static const char *const objective_names[BRN_OBJECTIVE_COUNT] = {
  [BRN_AVAILABILITY] = "availability",
  [BRN_FIRST_TOKEN] = "first_token",
  [BRN_BETWEEN_TOKENS] = "between_tokens",
  [BRN_SETTLED] = "settled",
};

static const char *const verdict_names[BRN_VERDICT_COUNT] = {
  [BRN_FINE] = "fine",
  [BRN_SLIDING] = "sliding",
  [BRN_BURNING] = "burning",
  [BRN_EXHAUSTED] = "exhausted",
};

/* Returns the name of WORK in the report.  */
const char *
brn_work_name (enum brn_work work)
{
  return work_names[work];
}

/* Returns the name of OBJECTIVE in the report.  */
const char *
brn_objective_name (enum brn_objective objective)
{
  return objective_names[objective];
}

/* Returns the name of VERDICT in the report.  */
const char *
brn_verdict_name (enum brn_verdict verdict)
{
  return verdict_names[verdict];
}

/* Sets TOTAL and BAD to the sums over the COUNT periods that end with LAST,
   from SLOT of the counts in RING of LENGTH periods.  */
static void
sum_ring (const struct brn_period_counts *ring, uint32_t length, uint32_t last,
          uint32_t count, uint32_t slot, uint64_t *total, uint64_t *bad)
{
  *total = 0;
  *bad = 0;
  for (uint32_t i = 0; i < length; i++)
    {
      if (ring[i].period <= last && ring[i].period + count > last)
        {
          *total += ring[i].counts[slot].total;
          *bad += ring[i].counts[slot].bad;
        }
    }
}

/* Returns the burn rate: the fraction of bad requests, as a multiple of the
   fraction that TARGET allows.  */
static double
burn_rate (uint64_t total, uint64_t bad, double target)
{
  return total == 0 ? 0 : (double)bad / (double)total / (1 - target);
}

/* Returns one name out of a cause: of its error, endpoint or data centre. */
typedef const char *(*cause_name_getter) (const struct brn_cause *cause);

static const char *
get_error_name (const struct brn_cause *cause)
{
  return cause->error == ERR_NONE ? "late" : err_info (cause->error)->name;
}

static const char *
get_endpoint_name (const struct brn_cause *cause)
{
  return cause->endpoint;
}

static const char *
get_data_centre_name (const struct brn_cause *cause)
{
  return cause->data_centre;
}

/* Returns the name, as GET_NAME takes it from the causes, that is most
   frequent among the BAD requests of OBJECTIVE in the budget window up to
   TODAY.  Of equally frequent names the first in byte order is returned, so
   that all hosts report the same.  */
static struct brn_top_cause
find_top_cause (const struct brn_series *series, enum brn_objective objective,
                uint64_t bad, uint32_t today, cause_name_getter get_name)
{
  GHashTable *counts = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iterator;
  const struct brn_day_cause *cause = NULL;
  struct brn_top_cause top = { 0 };
  gsize max_count = 0;
  g_hash_table_iter_init (&iterator, series->causes);
  while (g_hash_table_iter_next (&iterator, (gpointer *)&cause, NULL))
    {
      const char *name = get_name (&cause->cause);
      if (cause->cause.objective != objective || name[0] == '\0'
          || cause->day + BRN_BUDGET_WINDOW_DAYS <= today
          || cause->day > today)
        {
          continue;
        }
      gsize count = GPOINTER_TO_SIZE (g_hash_table_lookup (counts, name))
                    + cause->cause.count;
      g_hash_table_insert (counts, (gpointer)name, GSIZE_TO_POINTER (count));
    }
  gpointer name = NULL;
  gpointer count = NULL;
  g_hash_table_iter_init (&iterator, counts);
  while (g_hash_table_iter_next (&iterator, &name, &count))
    {
      gsize name_count = GPOINTER_TO_SIZE (count);
      if (name_count > max_count
          || (name_count == max_count && strcmp (name, top.name) < 0))
        {
          max_count = name_count;
          g_strlcpy (top.name, name, sizeof top.name);
        }
    }
  g_hash_table_destroy (counts);
  top.share = bad == 0 ? 0 : (double)max_count / (double)bad;
  return top;
}

/* Returns true when the trend of LINE shows a significant degradation.  */
static bool
is_sliding (const struct brn_report_line *line)
{
  const struct brn_trend *trend = &line->trend;
  double change_min = line->objective == BRN_AVAILABILITY
                          ? SLIDING_BUDGET_MIN * (1 - line->target)
                          : SLIDING_RELATIVE_MIN;
  return trend->days > 0 && trend->change_weekly >= change_min
         && trend->change_weekly
                >= SLIDING_STANDARD_ERRORS_MIN * trend->standard_error;
}

static enum brn_verdict
get_verdict (const struct brn_report_line *line)
{
  if (line->budget_left <= 0)
    {
      return BRN_EXHAUSTED;
    }
  if (line->short_burn >= BURN_RATE_MAX
      && line->long_burn >= BURN_RATE_MAX / 2)
    {
      return BRN_BURNING;
    }
  return is_sliding (line) ? BRN_SLIDING : BRN_FINE;
}

/* Returns the line of one OBJECTIVE of SERIES.  TARGET is the fraction of
   requests that have to be good, NOW_S the time since 1970.  */
static struct brn_report_line
build_line (const struct brn_series *series, enum brn_objective objective,
            double target, uint32_t now_s)
{
  uint32_t slot = brn_count_slot (objective);
  uint32_t today = now_s / BRN_DAY_S;
  uint64_t total = 0;
  uint64_t bad = 0;
  struct brn_report_line line = {
    .work = series->key.work,
    .objective = objective,
    .target = target,
  };
  g_strlcpy (line.account, series->key.account, sizeof line.account);
  sum_ring (series->buckets, BRN_BUCKET_RING_LENGTH, now_s / BRN_BUCKET_S,
            BRN_SHORT_WINDOW_BUCKETS, slot, &total, &bad);
  line.short_burn = burn_rate (total, bad, target);
  sum_ring (series->hours, BRN_HOUR_RING_LENGTH, now_s / BRN_HOUR_S,
            BRN_LONG_WINDOW_HOURS, slot, &total, &bad);
  line.long_burn = burn_rate (total, bad, target);
  sum_ring (series->days, BRN_DAY_RING_LENGTH, today, BRN_BUDGET_WINDOW_DAYS,
            slot, &line.total, &line.bad);
  line.budget_left = 1 - burn_rate (line.total, line.bad, target);
  line.trend = brn_fit_trend (series, objective, today);
  line.error
      = find_top_cause (series, objective, line.bad, today, get_error_name);
  line.endpoint
      = find_top_cause (series, objective, line.bad, today, get_endpoint_name);
  line.data_centre = find_top_cause (series, objective, line.bad, today,
                                     get_data_centre_name);
  line.verdict = get_verdict (&line);
  return line;
}

static gint
compare_series (gconstpointer a, gconstpointer b)
{
  const struct brn_key *left = a;
  const struct brn_key *right = b;
  int order = strcmp (left->account, right->account);
  return order != 0 ? order : (int)left->work - (int)right->work;
}

/* Adds a line to LINES for each objective of SERIES with requests in the
   budget window.  */
static void
add_lines (const struct brn_series *series, const struct cfg_account *account,
           uint32_t now_s, GArray *lines)
{
  for (int i = 0; i < BRN_OBJECTIVE_COUNT; i++)
    {
      enum brn_objective objective = (enum brn_objective)i;
      if (!brn_objective_applies (series->key.work, objective))
        {
          continue;
        }
      double target = objective == BRN_AVAILABILITY
                          ? account->objective.availability
                          : TIME_TARGET;
      struct brn_report_line line
          = build_line (series, objective, target, now_s);
      if (line.total > 0)
        {
          g_array_append_val (lines, line);
        }
    }
}

/* Reports on the accounts of CONFIG at NOW_US, the time since 1970: what is
   left of the error budget of 28 days, the burn rates over the last hour and
   the last 24 hours, the most frequent causes of bad requests, and the trend
   over 35 days.  Accounts that are not in CONFIG are left out.  The caller
   frees the result with brn_report_destroy.  */
struct brn_report *
brn_report (const struct brn_state *state, const struct cfg_config *config,
            int64_t now_us)
{
  struct brn_report *report = g_new (struct brn_report, 1);
  *report = (struct brn_report){
    .at_us = now_us,
    .lines = g_array_new (FALSE, TRUE, sizeof (struct brn_report_line)),
    .merged = state->merged,
    .duplicates = state->duplicates,
    .too_old = state->too_old,
    .too_new = state->too_new,
    .dropped_causes = state->dropped_causes,
    .dropped_series = state->dropped_series,
    .dropped_records = state->dropped_records,
  };
  GList *all
      = g_list_sort (g_hash_table_get_keys (state->series), compare_series);
  for (const GList *item = all; item != NULL; item = item->next)
    {
      const struct brn_series *series = item->data;
      const struct cfg_account *account
          = cfg_find_account (config, series->key.account);
      if (account != NULL)
        {
          add_lines (series, account, (uint32_t)(now_us / SECOND_US),
                     report->lines);
        }
    }
  g_list_free (all);
  return report;
}

/* Frees REPORT; NULL is allowed.  */
void
brn_report_destroy (struct brn_report *report)
{
  if (report == NULL)
    {
      return;
    }
  g_array_free (report->lines, TRUE);
  g_free (report);
}
