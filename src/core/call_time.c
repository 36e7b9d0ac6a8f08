#include "core/call_time.h"

#include "core/log_histogram.h"
#include "core/oldest.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Limit on the classes that are kept; one takes 0.5 KB. */
#define CLASSES_MAX 256

/* Time, in microseconds, at the middle of the histograms: they cover 64
   microseconds to 67 s. */
#define TIME_UNIT_US 65536.0

/* Samples from which the times of a class count. */
#define KNOWN_SAMPLES 20.0

/* Ratio of the means of two classes of a service from which its calls
   differ. */
#define DIFFERENT_FACTOR 1.25

/* Time assumed for a call of a service of which nothing is known. */
#define DEFAULT_TIME_US 100e3

/* Bodies are classed by the power of 16 of their size in KiB. */
#define BODY_UNIT_BYTES 1024
#define BODY_CLASS_FACTOR 16
#define BODY_CLASSES_MAX 5

struct clt_class
{
  guint references;
  char *service;
  struct clt_class *route; /* reference to the class of all calls on its route;
                              NULL: this is one */
  struct lhg_histogram histogram; /* in TIME_UNIT_US */
  double mean_us;                 /* of the histogram */
  uint64_t used;                  /* number of the newest use */
};

struct clt_times
{
  GHashTable *classes; /* key to struct clt_class, references */
  uint64_t uses;
};

/* Creates estimates without samples.  The caller frees them with
   clt_destroy.  */
struct clt_times *
clt_create (void)
{
  struct clt_times *times = g_new0 (struct clt_times, 1);
  times->classes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)clt_release);
  return times;
}

/* Frees TIMES; classes that calls use stay until these are released.  */
void
clt_destroy (struct clt_times *times)
{
  g_hash_table_destroy (times->classes);
  g_free (times);
}

/* Releases a reference to CALL_CLASS; the last one frees it.  */
void
clt_release (struct clt_class *call_class)
{
  if (--call_class->references > 0)
    {
      return;
    }
  if (call_class->route != NULL)
    {
      clt_release (call_class->route);
    }
  g_free (call_class->service);
  g_free (call_class);
}

static uint64_t
class_used (gconstpointer entry)
{
  return ((const struct clt_class *)entry)->used;
}

/* Returns a reference to the class KEY of SERVICE, created within that of
   ROUTE, NULL for none, if it is new.  Takes KEY over.  */
static struct clt_class *
find_key (struct clt_times *times, char *key, const char *service,
          struct clt_class *route)
{
  struct clt_class *call_class = g_hash_table_lookup (times->classes, key);
  if (call_class == NULL)
    {
      if (g_hash_table_size (times->classes) >= CLASSES_MAX)
        {
          old_remove (times->classes, class_used);
        }
      call_class = g_new0 (struct clt_class, 1);
      call_class->references = 1;
      call_class->service = g_strdup (service);
      if (route != NULL)
        {
          route->references++;
          call_class->route = route;
        }
      g_hash_table_insert (times->classes, key, call_class);
    }
  else
    {
      g_free (key);
    }
  call_class->used = ++times->uses;
  call_class->references++;
  return call_class;
}

/* Returns the size class of a body of BYTES.  */
static uint32_t
body_class (size_t bytes)
{
  uint32_t index = bytes > 0;
  for (size_t limit = BODY_UNIT_BYTES;
       bytes > limit && index < BODY_CLASSES_MAX; limit *= BODY_CLASS_FACTOR)
    {
      index++;
    }
  return index;
}

/* Returns a reference to the class of a call of SERVICE on ROUTE with METHOD
   and a body of BODY_BYTES.  The caller releases it with clt_release.  */
struct clt_class *
clt_find (struct clt_times *times, const char *service, const char *route,
          const char *method, size_t body_bytes)
{
  struct clt_class *on_route = find_key (
      times, g_strdup_printf ("%s\n%s", service, route), service, NULL);
  struct clt_class *call_class
      = find_key (times,
                  g_strdup_printf ("%s\n%s\n%s %u", service, route, method,
                                   body_class (body_bytes)),
                  service, on_route);
  clt_release (on_route);
  return call_class;
}

static void
add_sample (struct clt_class *call_class, double time_us, bool is_complete,
            int64_t now_us)
{
  double value = MAX (time_us, 1) / TIME_UNIT_US;
  (is_complete ? lhg_add : lhg_add_lower_bound) (&call_class->histogram, value,
                                                 now_us);
  call_class->mean_us
      = lhg_mean (&call_class->histogram, 0, INFINITY) * TIME_UNIT_US;
}

/* Records that a call of CALL_CLASS took TIME_US, or at least that if it isn't
   complete.  */
void
clt_learn (struct clt_class *call_class, int64_t time_us, bool is_complete,
           int64_t now_us)
{
  add_sample (call_class, (double)time_us, is_complete, now_us);
  if (call_class->route != NULL)
    {
      add_sample (call_class->route, (double)time_us, is_complete, now_us);
    }
}

/* Returns whether CALL_CLASS has enough samples at NOW_US for its mean to
   count.  */
bool
clt_is_known (const struct clt_class *call_class, int64_t now_us)
{
  return lhg_weight (&call_class->histogram, now_us) >= KNOWN_SAMPLES;
}

/* Returns whether the calls of the service of CALL_CLASS differ in their mean
   times by a quarter or more, between routes or other classes.  */
bool
clt_differs (const struct clt_times *times, const struct clt_class *call_class,
             int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  double least_us = INFINITY;
  double most_us = 0;
  g_hash_table_iter_init (&iter, times->classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct clt_class *other = value;
      if (strcmp (other->service, call_class->service) == 0
          && clt_is_known (other, now_us))
        {
          least_us = MIN (least_us, other->mean_us);
          most_us = MAX (most_us, other->mean_us);
        }
    }
  return most_us >= least_us * DIFFERENT_FACTOR;
}

/* Returns the time that a call of CALL_CLASS is expected to take still when it
   has run for ELAPSED_US.  One that has run longer than any sample is expected
   to take as long again.  */
double
clt_remaining_us (const struct clt_class *call_class, int64_t elapsed_us,
                  int64_t now_us)
{
  const struct clt_class *known = call_class;
  if (!clt_is_known (known, now_us) && known->route != NULL)
    {
      known = known->route;
    }
  double elapsed = (double)MAX (elapsed_us, 0);
  if (lhg_weight (&known->histogram, now_us) < 1)
    {
      return MAX (DEFAULT_TIME_US - elapsed, elapsed);
    }
  if (elapsed == 0)
    {
      return known->mean_us;
    }
  double total_us
      = lhg_mean (&known->histogram, elapsed / TIME_UNIT_US, INFINITY)
        * TIME_UNIT_US;
  return total_us > elapsed ? total_us - elapsed : elapsed;
}

/* Returns the mean time of a call of the service of CALL_CLASS.  */
double
clt_service_mean_us (const struct clt_times *times,
                     const struct clt_class *call_class, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  double weight = 0;
  double sum_us = 0;
  g_hash_table_iter_init (&iter, times->classes);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct clt_class *other = value;
      if (other->route == NULL
          && strcmp (other->service, call_class->service) == 0)
        {
          double count = lhg_weight (&other->histogram, now_us);
          weight += count;
          sum_us += count * other->mean_us;
        }
    }
  return weight > 0 ? sum_us / weight : DEFAULT_TIME_US;
}
