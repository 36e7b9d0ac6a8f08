/* Chooses the daemon for each call. */
#include "standin/load_private.h"

#include <pthread.h>
#include <unistd.h>

#define PROBE_INTERVAL_US 100000
#define PROBE_TIMEOUT_MS 500L

/* Failed probes in a row after which a daemon counts as not ready. */
#define FAILURES_UNREADY 2

/* A round-robin load balancer over the daemons that are ready, as the
   platform's balancer is. */
struct lt_balancer
{
  const struct lt_options *options;
  pthread_t thread;
  _Atomic bool stopping;
  _Atomic bool ready[LT_DAEMONS_MAX];
  _Atomic uint32_t next;
};

static size_t
discard_body (char *data, size_t size, size_t count, void *user)
{
  (void)data;
  (void)user;
  return size * count;
}

/* Returns whether the daemon at URL answers the readiness check with
   success.  */
static bool
probe_ready (const char *url)
{
  char *path = g_strconcat (url, "/readyz", NULL);
  CURL *curl = curl_easy_init ();
  curl_easy_setopt (curl, CURLOPT_URL, path);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, PROBE_TIMEOUT_MS);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, discard_body);
  curl_easy_setopt (curl, CURLOPT_FAILONERROR, 1L);
  bool ready = curl_easy_perform (curl) == CURLE_OK;
  curl_easy_cleanup (curl);
  g_free (path);
  return ready;
}

/* The thread that probes every daemon, with a pause of PROBE_INTERVAL_US after
   each round.  */
static void *
probe_loop (void *data)
{
  struct lt_balancer *balancer = data;
  uint32_t failures[LT_DAEMONS_MAX] = { 0 };
  while (!atomic_load (&balancer->stopping))
    {
      for (uint32_t i = 0; i < balancer->options->daemon_count; i++)
        {
          bool ready = probe_ready (balancer->options->daemon_urls[i]);
          failures[i] = ready ? 0 : failures[i] + 1;
          atomic_store (&balancer->ready[i], failures[i] < FAILURES_UNREADY);
        }
      usleep (PROBE_INTERVAL_US);
    }
  return NULL;
}

/* Creates a balancer over the daemons of OPTIONS and starts its probes.  All
   daemons count as ready at first.  */
struct lt_balancer *
lt_balancer_create (const struct lt_options *options)
{
  struct lt_balancer *balancer = g_new0 (struct lt_balancer, 1);
  balancer->options = options;
  for (uint32_t i = 0; i < options->daemon_count; i++)
    {
      atomic_store (&balancer->ready[i], true);
    }
  pthread_create (&balancer->thread, NULL, probe_loop, balancer);
  return balancer;
}

/* Stops the probes and frees BALANCER.  */
void
lt_balancer_destroy (struct lt_balancer *balancer)
{
  atomic_store (&balancer->stopping, true);
  pthread_join (balancer->thread, NULL);
  g_free (balancer);
}

/* Returns the index of the daemon for the next call: the next one that is
   ready, or any one when none is.  */
uint32_t
lt_balancer_pick (struct lt_balancer *balancer)
{
  uint32_t count = balancer->options->daemon_count;
  uint32_t picked = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      picked = atomic_fetch_add (&balancer->next, 1) % count;
      if (atomic_load (&balancer->ready[picked]))
        {
          break;
        }
    }
  return picked;
}
