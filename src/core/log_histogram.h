/* A histogram with logarithmic classes and exponential decay.

   The load: a daemon serves a few requests a second of each kind, whose costs
   have heavy tails and shift during the day.  The decay is by time and by the
   number of samples, so that a frequent kind adapts within seconds and a rare
   one still forgets a former load. */
#ifndef CORE_LOG_HISTOGRAM_H
#define CORE_LOG_HISTOGRAM_H

#include <glib.h>
#include <stdint.h>

/* Classes for each doubling of the value, and doublings that are covered on
   either side of 1.  Values beyond them count in the outermost classes.  A
   class is 19% wide, which is less than the error of a 0.9 quantile from 100
   samples of a spread of 0.9. */
#define LHG_PER_DOUBLING 4
#define LHG_DOUBLINGS 10
#define LHG_CLASSES (2 * LHG_DOUBLINGS * LHG_PER_DOUBLING)

/* All zero: no samples. */
struct lhg_histogram
{
  float counts[LHG_CLASSES]; /* decayed numbers of samples */
  double weight;             /* sum of the counts */
  int64_t updated_us;        /* monotonic, of the newest sample */
};

void lhg_add (struct lhg_histogram *histogram, double value, int64_t now_us);
void lhg_add_lower_bound (struct lhg_histogram *histogram, double bound,
                          int64_t now_us);
double lhg_weight (const struct lhg_histogram *histogram, int64_t now_us);
double lhg_mean (const struct lhg_histogram *histogram, double from,
                 double most);
double lhg_quantile (const struct lhg_histogram *histogram, double from,
                     double quantile);
double lhg_decay (int64_t since_us, int64_t now_us);
void lhg_add_log_normal (struct lhg_histogram *histogram, double median,
                         double spread, double weight);

#endif
