/* Orders to load and unload layer ranges or to keep just one (a role order),
   and the load report. */
#include "standin/engine_private.h"

#include "base/clock.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define HTTP_OK 200
#define HTTP_TOO_MANY_REQUESTS 429

/* Requests to the weight store.  WEIGHT_RETRY_MS applies unless the store
   answers 429 with Retry-After. */
#define WEIGHT_RETRY_MS 1000
#define WEIGHT_TIMEOUT_MS 5000

#define REPORT_INTERVAL_MIN_MS 10

static bool
same_range (const struct fe_range *a, const struct fe_range *b)
{
  return a->model == b->model && a->first == b->first && a->end == b->end;
}

/* Returns the index of RANGE in RANGES, or -1.  */
static int
find_range (const GArray *ranges, const struct fe_range *range)
{
  for (guint i = 0; i < ranges->len; i++)
    {
      if (same_range (&g_array_index (ranges, struct fe_range, i), range))
        {
          return (int)i;
        }
    }
  return -1;
}

/* Returns whether a loaded range of the same model covers RANGE.  */
bool
fe_has_range (const struct fe_engine *engine, const struct fe_range *range)
{
  for (guint i = 0; i < engine->loaded_ranges->len; i++)
    {
      const struct fe_range *loaded
          = &g_array_index (engine->loaded_ranges, struct fe_range, i);
      if (loaded->model == range->model && loaded->first <= range->first
          && range->end <= loaded->end)
        {
          return true;
        }
    }
  return false;
}

static void
remove_range (GArray *ranges, const struct fe_range *range)
{
  int index = find_range (ranges, range);
  if (index >= 0)
    {
      g_array_remove_index (ranges, (guint)index);
    }
}

/* Removes every range but RANGE from RANGES.  */
static void
keep_only (GArray *ranges, const struct fe_range *range)
{
  bool kept = find_range (ranges, range) >= 0;
  g_array_set_size (ranges, 0);
  if (kept)
    {
      g_array_append_val (ranges, *range);
    }
}

/* Queues RANGE to be loaded unless it is loaded or queued already.  */
static void
queue_load (struct fe_engine *engine, const struct fe_range *range)
{
  if (find_range (engine->loaded_ranges, range) < 0
      && find_range (engine->loading_ranges, range) < 0)
    {
      g_array_append_val (engine->loading_ranges, *range);
      pthread_cond_broadcast (&engine->control_ready);
    }
}

/* Carries out and journals an order; the control thread does the loading.
   Returns ERR_STALE_FENCE when the engine checks fencing numbers and FENCE is
   lower than the highest one seen.  */
enum err_kind
fe_accept_order (struct fe_engine *engine, enum fe_order_type type,
                 const struct fe_range *range, int64_t fence)
{
  static const char *const names[] = { "load", "unload", "role" };
  pthread_mutex_lock (&engine->lock);
  if (engine->options.fencing_checked && fence < engine->newest_fence)
    {
      pthread_mutex_unlock (&engine->lock);
      return ERR_STALE_FENCE;
    }
  engine->newest_fence = engine->options.fencing_checked
                             ? fence
                             : MAX (fence, engine->newest_fence);
  if (type == FE_ORDER_ROLE)
    {
      keep_only (engine->loaded_ranges, range);
      keep_only (engine->loading_ranges, range);
    }
  if (type == FE_ORDER_UNLOAD)
    {
      remove_range (engine->loaded_ranges, range);
      remove_range (engine->loading_ranges, range);
    }
  else
    {
      queue_load (engine, range);
    }
  jn_write (engine->options.journal, "order",
            ",\"host\":\"%s\",\"order\":\"%s\",\"model\":\"%s\",\"first\":%u,"
            "\"end\":%u,\"fence\":%" PRId64,
            engine->options.name, names[type],
            engine->options.models[range->model].name, range->first,
            range->end, fence);
  pthread_mutex_unlock (&engine->lock);
  return ERR_NONE;
}

static size_t
discard_body (char *data, size_t size, size_t count, void *user)
{
  (void)data;
  (void)user;
  return size * count;
}

/* Requests the weights of RANGE from the weight store.  Returns 0 on success
   or without a weight store, else the time in milliseconds after which to
   retry.  */
static int64_t
fetch_weights (const struct fe_engine *engine, const struct fe_range *range)
{
  if (engine->options.platform_url == NULL)
    {
      return 0;
    }
  char *url = g_strdup_printf (
      "%s/v1/weights/%s/%u-%u", engine->options.platform_url,
      engine->options.models[range->model].name, range->first, range->end);
  CURL *curl = curl_easy_init ();
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, (long)WEIGHT_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard_body);
  long status = 0;
  curl_off_t retry_after_s = 0;
  if (curl_easy_perform (curl) == CURLE_OK)
    {
      curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
      curl_easy_getinfo (curl, CURLINFO_RETRY_AFTER, &retry_after_s);
    }
  curl_easy_cleanup (curl);
  g_free (url);
  if (status == HTTP_OK)
    {
      return 0;
    }
  return status == HTTP_TOO_MANY_REQUESTS && retry_after_s > 0
             ? retry_after_s * 1000
             : WEIGHT_RETRY_MS;
}

/* Waits at most WAIT_MS for a queued load or the stop of the engine.  The lock
   is held, but released during the wait.  */
static void
wait_for_control (struct fe_engine *engine, int64_t wait_ms)
{
  struct timespec until;
  clock_gettime (CLOCK_REALTIME, &until);
  int64_t nanoseconds = until.tv_nsec + wait_ms * 1000000;
  until.tv_sec += nanoseconds / 1000000000;
  until.tv_nsec = nanoseconds % 1000000000;
  pthread_cond_timedwait (&engine->control_ready, &engine->lock, &until);
}

/* Renders the load report anew.  The lock is held.  */
static void
refresh_report (struct fe_engine *engine)
{
  g_string_truncate (engine->report, 0);
  fe_render_report (engine, engine->report);
}

/* Waits DELAY_MS or until the engine stops.  Refreshes the load report at its
   interval and whenever a load is queued.  The lock is held, but released
   during the waits.  */
static void
wait_and_refresh (struct fe_engine *engine, int64_t delay_ms)
{
  int64_t interval_ms
      = MAX (engine->options.report_lag_ms, REPORT_INTERVAL_MIN_MS);
  int64_t end_us = clk_monotonic_us () + delay_ms * CLK_MS_US;
  while (!engine->stopping)
    {
      refresh_report (engine);
      int64_t left_us = end_us - clk_monotonic_us ();
      if (left_us <= 0)
        {
          return;
        }
      wait_for_control (engine, MIN (left_us / CLK_MS_US + 1, interval_ms));
    }
}

/* Loads the first queued range, or waits for the retry when its weights can't
   be fetched.  A range that an order removes meanwhile is not loaded.  The
   lock is held, but released while the weights are fetched and during the
   waits.  */
static void
load_first_queued (struct fe_engine *engine)
{
  const struct fe_range range
      = g_array_index (engine->loading_ranges, struct fe_range, 0);
  pthread_mutex_unlock (&engine->lock);
  int64_t retry_ms = fetch_weights (engine, &range);
  pthread_mutex_lock (&engine->lock);
  if (retry_ms > 0)
    {
      wait_and_refresh (engine, retry_ms);
      return;
    }
  wait_and_refresh (engine, (int64_t)engine->options.layer_load_ms
                                * (range.end - range.first));
  if (!engine->stopping && find_range (engine->loading_ranges, &range) >= 0)
    {
      remove_range (engine->loading_ranges, &range);
      g_array_append_val (engine->loaded_ranges, range);
      jn_write (engine->options.journal, "loaded",
                ",\"host\":\"%s\",\"model\":\"%s\",\"first\":%u,\"end\":%u",
                engine->options.name, engine->options.models[range.model].name,
                range.first, range.end);
    }
}

/* The control thread: loads the queued ranges and refreshes the load
   report.  */
void *
fe_control_loop (void *data)
{
  struct fe_engine *engine = data;
  int64_t interval_ms
      = MAX (engine->options.report_lag_ms, REPORT_INTERVAL_MIN_MS);
  pthread_mutex_lock (&engine->lock);
  while (!engine->stopping)
    {
      refresh_report (engine);
      if (engine->loading_ranges->len > 0)
        {
          load_first_queued (engine);
        }
      else
        {
          wait_for_control (engine, interval_ms);
        }
    }
  pthread_mutex_unlock (&engine->lock);
  return NULL;
}

/* Appends RANGES as a JSON array.  */
static void
render_ranges (const struct fe_engine *engine, const GArray *ranges,
               GString *out)
{
  g_string_append_c (out, '[');
  for (guint i = 0; i < ranges->len; i++)
    {
      const struct fe_range *range
          = &g_array_index (ranges, struct fe_range, i);
      g_string_append_printf (
          out, "%s{\"model\":\"%s\",\"first\":%u,\"end\":%u}",
          i == 0 ? "" : ",", engine->options.models[range->model].name,
          range->first, range->end);
    }
  g_string_append_c (out, ']');
}

/* Appends the short load report that is part of the answer to each step.  */
void
fe_render_load (const struct fe_engine *engine, GString *out)
{
  g_string_append_printf (
      out,
      "{\"running\":%u,\"queued\":%u,\"step_us\":%" PRId64 ",\"leaving\":%s}",
      engine->running_jobs, engine->queue->len, engine->average_batch_us,
      engine->leaving ? "true" : "false");
}

/* Appends the full load report.  */
void
fe_render_report (const struct fe_engine *engine, GString *out)
{
  fe_render_load (engine, out);
  g_string_truncate (out, out->len - 1);
  g_string_append_printf (
      out, ",\"fence\":%" PRId64 ",\"ranges\":", engine->newest_fence);
  render_ranges (engine, engine->loaded_ranges, out);
  g_string_append_printf (
      out, ",\"memory_mib\":%u,\"loading\":", engine->options.kv_mib);
  render_ranges (engine, engine->loading_ranges, out);
  g_string_append_c (out, '}');
}
