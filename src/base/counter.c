#include "base/counter.h"

#include <pthread.h>
#include <stdatomic.h>

/* Inclusive upper bounds of the buckets of every histogram.  One more bucket,
   without an upper bound, counts longer durations. */
static const int64_t bucket_bounds_us[] = {
  1000,   2000,   5000,    10000,   20000,   50000,    100000,
  200000, 500000, 1000000, 2000000, 5000000, 10000000, 20000000,
};

#define BUCKET_COUNT (G_N_ELEMENTS (bucket_bounds_us) + 1)

struct cnt_series
{
  enum cnt_type type;
  char *name;
  char *labels;
  const char *help;
  _Atomic int64_t value;    /* of a histogram: sum, in microseconds */
  _Atomic int64_t *buckets; /* BUCKET_COUNT counts; NULL: no histogram */
};

static const char *const type_names[] = {
  [CNT_COUNTER] = "counter",
  [CNT_GAUGE] = "gauge",
  [CNT_HISTOGRAM] = "histogram",
};

struct cnt_set
{
  pthread_mutex_t lock;
  GPtrArray *series; /* struct cnt_series, in order of creation */
};

static void
destroy_series (gpointer data)
{
  struct cnt_series *series = data;
  g_free (series->name);
  g_free (series->labels);
  g_free (series->buckets);
  g_free (series);
}

/* Creates an empty set of series, which the caller frees with
   cnt_set_destroy.  */
struct cnt_set *
cnt_set_create (void)
{
  struct cnt_set *set = g_new0 (struct cnt_set, 1);
  pthread_mutex_init (&set->lock, NULL);
  set->series = g_ptr_array_new_with_free_func (destroy_series);
  return set;
}

/* Frees SET and all its series.  SET may be NULL.  */
void
cnt_set_destroy (struct cnt_set *set)
{
  if (set == NULL)
    {
      return;
    }
  g_ptr_array_free (set->series, TRUE);
  pthread_mutex_destroy (&set->lock);
  g_free (set);
}

/* Returns the series of SET with NAME and LABELS (`a="b",c="d"' or ""), and
   creates it if it does not exist.  HELP is static.  Callers keep the pointer,
   which is valid until cnt_set_destroy, because the look-up takes a lock and
   scans all series.  Thread-safe.  */
struct cnt_series *
cnt_series (struct cnt_set *set, enum cnt_type type, const char *name,
            const char *labels, const char *help)
{
  struct cnt_series *found = NULL;
  pthread_mutex_lock (&set->lock);
  for (guint i = 0; i < set->series->len && found == NULL; i++)
    {
      struct cnt_series *series = g_ptr_array_index (set->series, i);
      if (g_str_equal (series->name, name)
          && g_str_equal (series->labels, labels))
        {
          found = series;
        }
    }
  if (found == NULL)
    {
      found = g_new0 (struct cnt_series, 1);
      found->type = type;
      found->name = g_strdup (name);
      found->labels = g_strdup (labels);
      found->help = help;
      g_ptr_array_add (set->series, found);
    }
  pthread_mutex_unlock (&set->lock);
  return found;
}

/* Returns the histogram of durations of SET with NAME, which ends in
   `_seconds', and LABELS, and creates it if it does not exist.  HELP is
   static.  Thread-safe.  */
struct cnt_series *
cnt_histogram (struct cnt_set *set, const char *name, const char *labels,
               const char *help)
{
  struct cnt_series *series
      = cnt_series (set, CNT_HISTOGRAM, name, labels, help);
  pthread_mutex_lock (&set->lock);
  if (series->buckets == NULL)
    {
      series->buckets = g_malloc0 (BUCKET_COUNT * sizeof *series->buckets);
    }
  pthread_mutex_unlock (&set->lock);
  return series;
}

/* Records DURATION_US in HISTOGRAM.  Thread-safe and lock-free.  */
void
cnt_observe_us (struct cnt_series *histogram, int64_t duration_us)
{
  size_t bucket = 0;
  while (bucket < G_N_ELEMENTS (bucket_bounds_us)
         && duration_us > bucket_bounds_us[bucket])
    {
      bucket++;
    }
  atomic_fetch_add_explicit (&histogram->buckets[bucket], 1,
                             memory_order_relaxed);
  cnt_add (histogram, duration_us);
}

/* Adds AMOUNT to SERIES.  Thread-safe and lock-free.  */
void
cnt_add (struct cnt_series *series, int64_t amount)
{
  atomic_fetch_add_explicit (&series->value, amount, memory_order_relaxed);
}

/* Sets SERIES, a gauge, to VALUE.  Thread-safe and lock-free.  */
void
cnt_set_gauge (struct cnt_series *series, int64_t value)
{
  atomic_store_explicit (&series->value, value, memory_order_relaxed);
}

/* Returns the value of SERIES; of a histogram, the sum of its durations in
   microseconds.  Thread-safe and lock-free.  */
int64_t
cnt_get (const struct cnt_series *series)
{
  return atomic_load_explicit (&series->value, memory_order_relaxed);
}

/* Returns whether a series of SET before series INDEX has the same name.  */
static gboolean
has_earlier_name (const struct cnt_set *set, guint index)
{
  const struct cnt_series *series = g_ptr_array_index (set->series, index);
  for (guint i = 0; i < index; i++)
    {
      const struct cnt_series *earlier = g_ptr_array_index (set->series, i);
      if (g_str_equal (earlier->name, series->name))
        {
          return TRUE;
        }
    }
  return FALSE;
}

/* Appends the buckets, sum and count of SERIES, a histogram, to OUT.  The
   bounds and the sum are written in seconds.  */
static void
render_histogram (const struct cnt_series *series, GString *out)
{
  int64_t count = 0;
  const char *comma = series->labels[0] == '\0' ? "" : ",";
  for (size_t i = 0; i < BUCKET_COUNT; i++)
    {
      count
          += atomic_load_explicit (&series->buckets[i], memory_order_relaxed);
      char bound[32] = "+Inf";
      if (i < G_N_ELEMENTS (bucket_bounds_us))
        {
          g_snprintf (bound, sizeof bound, "%g",
                      (double)bucket_bounds_us[i] / G_USEC_PER_SEC);
        }
      g_string_append_printf (
          out, "%s_bucket{%s%sle=\"%s\"} %" G_GINT64_FORMAT "\n", series->name,
          series->labels, comma, bound, count);
    }
  const char *open = comma[0] == '\0' ? "" : "{";
  const char *close = comma[0] == '\0' ? "" : "}";
  g_string_append_printf (out, "%s_sum%s%s%s %g\n", series->name, open,
                          series->labels, close,
                          (double)cnt_get (series) / G_USEC_PER_SEC);
  g_string_append_printf (out, "%s_count%s%s%s %" G_GINT64_FORMAT "\n",
                          series->name, open, series->labels, close, count);
}

/* Appends every series of SET named NAME to OUT.  */
static void
render_family (const struct cnt_set *set, const char *name, GString *out)
{
  for (guint i = 0; i < set->series->len; i++)
    {
      const struct cnt_series *series = g_ptr_array_index (set->series, i);
      if (!g_str_equal (series->name, name))
        {
          continue;
        }
      if (series->type == CNT_HISTOGRAM)
        {
          render_histogram (series, out);
          continue;
        }
      g_string_append (out, name);
      if (series->labels[0] != '\0')
        {
          g_string_append_printf (out, "{%s}", series->labels);
        }
      g_string_append_printf (out, " %" G_GINT64_FORMAT "\n",
                              cnt_get (series));
    }
}

/* Appends SET to OUT in the Prometheus text exposition format, grouped by
   metric name as the format requires.  Thread-safe.  */
void
cnt_render (struct cnt_set *set, GString *out)
{
  pthread_mutex_lock (&set->lock);
  for (guint i = 0; i < set->series->len; i++)
    {
      const struct cnt_series *series = g_ptr_array_index (set->series, i);
      if (has_earlier_name (set, i))
        {
          continue;
        }
      g_string_append_printf (out, "# HELP %s %s\n# TYPE %s %s\n",
                              series->name, series->help, series->name,
                              type_names[series->type]);
      render_family (set, series->name, out);
    }
  pthread_mutex_unlock (&set->lock);
}
