/* The report on error budgets as JSON. */
#include "core/burn_private.h"

static json_t *
top_cause_to_json (const struct brn_top_cause *top)
{
  return top->name[0] == '\0' ? json_null ()
                              : json_pack ("{s:s, s:f}", "name", top->name,
                                           "share", top->share);
}

static json_t *
line_to_json (const struct brn_report_line *line)
{
  return json_pack (
      "{s:s, s:s, s:s, s:f, s:I, s:I, s:f, s:f, s:f, s:s, s:{s:i, s:f, s:f},"
      " s:o, s:o, s:o}",
      "account", line->account, "work", brn_work_name (line->work),
      "objective", brn_objective_name (line->objective), "target",
      line->target, "total", (json_int_t)line->total, "bad",
      (json_int_t)line->bad, "budget_left", line->budget_left, "short_burn",
      line->short_burn, "long_burn", line->long_burn, "verdict",
      brn_verdict_name (line->verdict), "trend", "days", (int)line->trend.days,
      "change_weekly", line->trend.change_weekly, "standard_error",
      line->trend.standard_error, "error", top_cause_to_json (&line->error),
      "endpoint", top_cause_to_json (&line->endpoint), "data_centre",
      top_cause_to_json (&line->data_centre));
}

/* Returns REPORT as JSON, owned by the caller.  docs/interfaces/report.md
   describes its fields.  */
json_t *
brn_report_to_json (const struct brn_report *report)
{
  json_t *lines = json_array ();
  for (guint i = 0; i < report->lines->len; i++)
    {
      json_array_append_new (
          lines, line_to_json (&g_array_index (report->lines,
                                               struct brn_report_line, i)));
    }
  return json_pack ("{s:I, s:{s:i, s:i, s:i, s:i}, s:{s:I, s:I, s:I, s:I, "
                    "s:I, s:I, s:I}, s:o}",
                    "at_us", (json_int_t)report->at_us, "windows", "short_s",
                    BRN_SHORT_WINDOW_BUCKETS * BRN_BUCKET_S, "long_s",
                    BRN_LONG_WINDOW_HOURS * BRN_HOUR_S, "budget_s",
                    BRN_BUDGET_WINDOW_DAYS * BRN_DAY_S, "trend_s",
                    BRN_TREND_WINDOW_DAYS * BRN_DAY_S, "records", "merged",
                    (json_int_t)report->merged, "duplicates",
                    (json_int_t)report->duplicates, "too_old",
                    (json_int_t)report->too_old, "too_new",
                    (json_int_t)report->too_new, "dropped_causes",
                    (json_int_t)report->dropped_causes, "dropped_series",
                    (json_int_t)report->dropped_series, "dropped_records",
                    (json_int_t)report->dropped_records, "lines", lines);
}
