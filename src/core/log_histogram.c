#include "core/log_histogram.h"

#include <math.h>

/* Half-lives of a sample. */
#define HALF_LIFE_US 60e6
#define HALF_LIFE_SAMPLES 500.0

/* Returns the class of VALUE.  */
static uint32_t
class_of (double value)
{
  double position = (log2 (value) + LHG_DOUBLINGS) * (double)LHG_PER_DOUBLING;
  return position > 0 ? (uint32_t)MIN (position, LHG_CLASSES - 1) : 0;
}

/* Returns the lower bound of the class INDEX.  */
static double
lower_bound (uint32_t index)
{
  return exp2 ((double)index / LHG_PER_DOUBLING - LHG_DOUBLINGS);
}

/* Returns the part of the weight of a sample of SINCE_US that is left at
   NOW_US.  */
static double
remaining_part (int64_t since_us, int64_t now_us)
{
  return exp2 (-(double)MAX (now_us - since_us, 0) / HALF_LIFE_US);
}

/* Returns the factor by which the weights of samples decay from SINCE_US, when
   the newest was added, until another one is added at NOW_US.  */
double
lhg_decay (int64_t since_us, int64_t now_us)
{
  return remaining_part (since_us, now_us) * exp2 (-1 / HALF_LIFE_SAMPLES);
}

/* Decays the samples of HISTOGRAM up to NOW_US, before a new one is added.  */
static void
decay (struct lhg_histogram *histogram, int64_t now_us)
{
  double factor = lhg_decay (histogram->updated_us, now_us);
  histogram->weight = 0;
  for (uint32_t i = 0; i < LHG_CLASSES; i++)
    {
      histogram->counts[i] *= (float)factor;
      histogram->weight += histogram->counts[i];
    }
  histogram->updated_us = MAX (now_us, histogram->updated_us);
}

/* Adds the sample VALUE, above 0, at NOW_US.  */
void
lhg_add (struct lhg_histogram *histogram, double value, int64_t now_us)
{
  decay (histogram, now_us);
  histogram->counts[class_of (value)] += 1;
  histogram->weight += 1;
}

/* Adds a sample at NOW_US of which only the lower BOUND is known.  It is
   divided among the classes from that of BOUND on in proportion to their
   samples, as the estimator of Kaplan and Meier does; without any samples
   there it counts as BOUND itself.  */
void
lhg_add_lower_bound (struct lhg_histogram *histogram, double bound,
                     int64_t now_us)
{
  uint32_t first = class_of (bound);
  double above = 0;
  decay (histogram, now_us);
  for (uint32_t i = first; i < LHG_CLASSES; i++)
    {
      above += histogram->counts[i];
    }
  /* A few decayed samples don't describe the tail. */
  if (above < 1)
    {
      histogram->counts[first] += 1;
    }
  for (uint32_t i = first; above >= 1 && i < LHG_CLASSES; i++)
    {
      histogram->counts[i] *= (float)(1 + 1 / above);
    }
  histogram->weight += 1;
}

/* Returns the decayed number of samples at NOW_US.  */
double
lhg_weight (const struct lhg_histogram *histogram, int64_t now_us)
{
  return histogram->weight * remaining_part (histogram->updated_us, now_us);
}

/* Returns the part of the class INDEX that lies above FROM, in logarithmic
   measure.  */
static double
part_above (uint32_t index, double from)
{
  double part = index + 1 - (log2 (from) + LHG_DOUBLINGS) * LHG_PER_DOUBLING;
  return from <= 0 || index == LHG_CLASSES - 1 ? 1 : CLAMP (part, 0, 1);
}

/* Returns the mean of the samples above FROM, each limited to MOST.  Without
   such samples it is FROM.  */
double
lhg_mean (const struct lhg_histogram *histogram, double from, double most)
{
  double weight = 0;
  double sum = 0;
  for (uint32_t i = 0; i < LHG_CLASSES; i++)
    {
      double count = histogram->counts[i];
      if (count > 0)
        {
          /* A class that FROM divides counts with its upper part. */
          double part = part_above (i, from);
          double middle
              = lower_bound (i) * exp2 ((1 - part / 2) / LHG_PER_DOUBLING);
          weight += count * part;
          sum += count * part * MIN (MAX (middle, from), most);
        }
    }
  return weight > 0 ? sum / weight : from;
}

/* Returns the value that the part QUANTILE of the samples above FROM doesn't
   exceed.  Without such samples it is FROM.  */
double
lhg_quantile (const struct lhg_histogram *histogram, double from,
              double quantile)
{
  double weight = 0;
  for (uint32_t i = 0; i < LHG_CLASSES; i++)
    {
      weight += histogram->counts[i] * part_above (i, from);
    }
  double rest = weight * quantile;
  for (uint32_t i = 0; weight > 0 && i < LHG_CLASSES; i++)
    {
      double part = part_above (i, from);
      double count = histogram->counts[i] * part;
      if (count > 0 && rest <= count)
        {
          double position = i + 1 - part + part * rest / count;
          return exp2 (position / LHG_PER_DOUBLING - LHG_DOUBLINGS);
        }
      rest -= count;
    }
  return weight > 0 ? lower_bound (LHG_CLASSES) : from;
}

/* Adds WEIGHT samples in the proportions of a log-normal distribution with
   MEDIAN and SPREAD, the standard deviation of the natural logarithm.  */
void
lhg_add_log_normal (struct lhg_histogram *histogram, double median,
                    double spread, double weight)
{
  const double width = G_LN2 / LHG_PER_DOUBLING / spread;
  double position = (log (lower_bound (0)) - log (median)) / spread;
  double below = 0;
  for (uint32_t i = 0; i < LHG_CLASSES; i++)
    {
      position += width;
      double until = i == LHG_CLASSES - 1 ? 1 : erfc (-position / G_SQRT2) / 2;
      histogram->counts[i] += (float)(weight * (until - below));
      below = until;
    }
  histogram->weight += weight;
}
