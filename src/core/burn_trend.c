/* The trend of one objective over days: a slow slide shows as a slope that is
   larger than its error. */
#include "core/burn_private.h"

#include <math.h>

#define DAYS_MIN 8
#define DAYS_FOR_WEEKDAYS 21
#define DAY_TOTAL_MIN 5
#define WEEK_DAYS 7
#define LOG_UNITS 1024.0

/* The value of one day. */
struct point
{
  double day;
  double value;
  uint32_t weekday;
};

/* Sets POINT to the value of CELL: the mean of log2 of the time, or the
   fraction of bad work.  Returns false when there was too little work.  */
static bool
read_point (const struct brn_period_counts *cell, enum brn_objective objective,
            struct point *point)
{
  const struct brn_count *count = &cell->counts[brn_count_slot (objective)];
  if (count->total < DAY_TOTAL_MIN)
    {
      return false;
    }
  double sum = objective == BRN_AVAILABILITY
                   ? (double)count->bad
                   : (double)count->log_sum / LOG_UNITS;
  *point = (struct point){ .day = cell->period,
                           .value = sum / count->total,
                           .weekday = cell->period % WEEK_DAYS };
  return true;
}

/* Fills POINTS with the days before TODAY.  Returns how many there are.  */
static uint32_t
read_points (const struct brn_series *series, enum brn_objective objective,
             uint32_t today, struct point *points)
{
  uint32_t count = 0;
  for (int i = 0; i < BRN_DAY_RING_LENGTH; i++)
    {
      const struct brn_period_counts *cell = &series->days[i];
      if (cell->period < today && cell->period + BRN_TREND_WINDOW_DAYS >= today
          && read_point (cell, objective, &points[count]))
        {
          count++;
        }
    }
  return count;
}

/* Takes the mean of each group off the points of it: of each weekday, so that
   the pattern of a week does not pass for a trend, or of all.  Returns the
   number of groups.  */
static uint32_t
subtract_means (struct point *points, uint32_t count, uint32_t groups)
{
  uint32_t used = 0;
  for (uint32_t group = 0; group < groups; group++)
    {
      double day = 0;
      double value = 0;
      uint32_t members = 0;
      for (uint32_t i = 0; i < count; i++)
        {
          if (points[i].weekday % groups == group)
            {
              day += points[i].day;
              value += points[i].value;
              members++;
            }
        }
      for (uint32_t i = 0; i < count; i++)
        {
          if (points[i].weekday % groups == group)
            {
              points[i].day -= day / members;
              points[i].value -= value / members;
            }
        }
      used += members > 0;
    }
  return used;
}

/* Fits a line through the values of the days before TODAY by least squares.
   The change for each week is relative for times (0.02: 2 % longer) and
   absolute for the fraction of bad work.  With three weeks of days the means
   of the weekdays are fitted as well.  `days' is 0 when there are too few.  */
struct brn_trend
brn_fit_trend (const struct brn_series *series, enum brn_objective objective,
               uint32_t today)
{
  struct point points[BRN_DAY_RING_LENGTH];
  uint32_t count = read_points (series, objective, today, points);
  if (count < DAYS_MIN)
    {
      return (struct brn_trend){ 0 };
    }
  uint32_t groups = subtract_means (
      points, count, count >= DAYS_FOR_WEEKDAYS ? WEEK_DAYS : 1);
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      xx += points[i].day * points[i].day;
      xy += points[i].day * points[i].value;
      yy += points[i].value * points[i].value;
    }
  if (xx <= 0)
    {
      return (struct brn_trend){ 0 };
    }
  double slope = xy / xx;
  double residual = MAX (yy - slope * xy, 0);
  double error = sqrt (residual / (count - groups - 1) / xx);
  struct brn_trend trend = { .days = count,
                             .change_weekly = slope * WEEK_DAYS,
                             .standard_error = error * WEEK_DAYS };
  if (objective != BRN_AVAILABILITY)
    {
      trend.standard_error *= M_LN2 * exp2 (trend.change_weekly);
      trend.change_weekly = exp2 (trend.change_weekly) - 1;
    }
  return trend;
}
