/* The trend of one objective over days.  A slow degradation shows as a slope
   that is larger than its standard error, while every request may still meet
   the objective. */
#include "core/burn_private.h"

#include <math.h>

#define DAYS_MIN 8               /* fewer give no trend */
#define WEEKDAYS_FIT_DAYS_MIN 21 /* weekdays are fitted from here on */
#define DAY_REQUESTS_MIN 5       /* days with fewer are left out */
#define WEEK_DAYS 7
#define LOG2_UNITS 1024.0 /* log_sum is in 1024ths */

/* The value of one day, for the fit. */
struct point
{
  double day;
  double value;
  uint32_t weekday;
};

/* Sets POINT to the value of DAY: for availability the fraction of bad
   requests, else the mean of log2 of the time.  Returns false when there were
   too few requests.  */
static bool
read_point (const struct brn_period_counts *day, enum brn_objective objective,
            struct point *point)
{
  const struct brn_count *count = &day->counts[brn_count_slot (objective)];
  if (count->total < DAY_REQUESTS_MIN)
    {
      return false;
    }
  double sum = objective == BRN_AVAILABILITY
                   ? (double)count->bad
                   : (double)count->log_sum / LOG2_UNITS;
  *point = (struct point){ .day = day->period,
                           .value = sum / count->total,
                           .weekday = day->period % WEEK_DAYS };
  return true;
}

/* Fills POINTS with the days of the trend window before TODAY, which is left
   out as it is incomplete.  Returns how many points there are.  */
static uint32_t
read_points (const struct brn_series *series, enum brn_objective objective,
             uint32_t today, struct point *points)
{
  uint32_t count = 0;
  for (int i = 0; i < BRN_DAY_RING_LENGTH; i++)
    {
      const struct brn_period_counts *day = &series->days[i];
      if (day->period < today && day->period + BRN_TREND_WINDOW_DAYS >= today
          && read_point (day, objective, &points[count]))
        {
          count++;
        }
    }
  return count;
}

/* Subtracts from each point the mean of its group.  With seven GROUPS the
   points are grouped by weekday, so that a weekly pattern is not taken for a
   trend; with one, all points are one group.  Returns the number of groups
   that have points.  */
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

/* Fits a line through the values of the days before TODAY by least squares,
   and returns the change a week.  The change is relative for times (0.02: 2 %
   longer) and absolute for the fraction of bad requests.  With 21 days or more
   the means of the weekdays are fitted as well.  `days' is 0 when there are
   too few days.  */
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
      points, count, count >= WEEKDAYS_FIT_DAYS_MIN ? WEEK_DAYS : 1);
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
