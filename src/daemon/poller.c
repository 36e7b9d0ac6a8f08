#include "daemon/poller.h"

#include "base/clock.h"
#include "base/log.h"

#include <pthread.h>
#include <stdatomic.h>

#define LOAD_THREADS 8

/* Between two reads of the host list. */
#define HOST_LIST_INTERVAL_US CLK_S_US

/* How often the host list thread checks whether it has to stop. */
#define STOP_CHECK_INTERVAL_US (100 * CLK_MS_US)

struct pol_poller
{
  struct pol_callbacks callbacks;
  void *user_data;
  struct con_pool *host_list_pool; /* NULL: no host list */
  GThreadPool *load_threads;
  pthread_t host_list_thread;
  _Atomic bool stopping;
};

static void
poll_load (gpointer data, gpointer user_data)
{
  struct ept_endpoint *endpoint = data;
  struct pol_poller *poller = user_data;
  struct eng_load_report load;
  enum err_kind error = eng_load_report_get (endpoint->pool, &load);
  poller->callbacks.on_load (endpoint, error, &load, poller->user_data);
}

/* Reads the host list and passes it on when its VERSION has changed.  Logs the
   outcome when it differs from LAST, that of the previous read.  */
static void
read_host_list (struct pol_poller *poller, uint64_t *version,
                enum err_kind *last)
{
  struct hl_list list;
  bool changed;
  enum err_kind error
      = hl_get (poller->host_list_pool, *version, &list, &changed);
  if (error != *last)
    {
      lg_line (error != ERR_NONE ? LOG_WARNING : LOG_NOTICE, "host-list-read",
               "kind=%s", err_info (error)->name);
      *last = error;
    }
  if (changed)
    {
      *version = list.version;
      poller->callbacks.on_host_list (&list, poller->user_data);
    }
  hl_clear (&list);
}

static void *
run_host_list_thread (void *user_data)
{
  struct pol_poller *poller = user_data;
  uint64_t version = 0;
  enum err_kind last = ERR_NONE;
  int64_t next_us = 0;
  while (!atomic_load (&poller->stopping))
    {
      if (clk_monotonic_us () < next_us)
        {
          g_usleep (STOP_CHECK_INTERVAL_US);
          continue;
        }
      read_host_list (poller, &version, &last);
      next_us = clk_monotonic_us () + HOST_LIST_INTERVAL_US;
    }
  return NULL;
}

/* Starts the threads.  HOST_LIST_URL may be NULL, in which case no host list
   is read.  */
struct pol_poller *
pol_create (const char *host_list_url, const struct pol_callbacks *callbacks,
            void *user_data)
{
  struct pol_poller *poller = g_new0 (struct pol_poller, 1);
  poller->callbacks = *callbacks;
  poller->user_data = user_data;
  poller->load_threads
      = g_thread_pool_new (poll_load, poller, LOAD_THREADS, TRUE, NULL);
  if (host_list_url != NULL)
    {
      poller->host_list_pool = con_pool_create (host_list_url);
      pthread_create (&poller->host_list_thread, NULL, run_host_list_thread,
                      poller);
    }
  return poller;
}

/* Waits for the queued polls, stops the threads and frees POLLER, which may be
   NULL.  */
void
pol_destroy (struct pol_poller *poller)
{
  if (poller == NULL)
    {
      return;
    }
  atomic_store (&poller->stopping, true);
  g_thread_pool_free (poller->load_threads, FALSE, TRUE);
  if (poller->host_list_pool != NULL)
    {
      pthread_join (poller->host_list_thread, NULL);
      con_pool_destroy (poller->host_list_pool);
    }
  g_free (poller);
}

/* Queues a read of ENDPOINT's load report and returns at once; on_load reports
   the result.  Thread-safe.  */
void
pol_poll_load (struct pol_poller *poller, struct ept_endpoint *endpoint)
{
  g_thread_pool_push (poller->load_threads, endpoint, NULL);
}
