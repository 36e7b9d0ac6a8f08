#include "endpoint/canceller.h"

#include "endpoint/engine.h"

#include <pthread.h>
#include <stdbool.h>

#define THREAD_COUNT 2
#define QUEUED_CANCELS_MAX 4096

struct can_canceller
{
  GAsyncQueue *queue; /* struct cancel, owned */
  pthread_t threads[THREAD_COUNT];
};

struct cancel
{
  struct ept_endpoint *endpoint; /* NULL: tells a thread to exit */
  char *request;
  uint32_t attempt;
};

static void
destroy_cancel (gpointer data)
{
  struct cancel *cancel = data;
  g_free (cancel->request);
  g_free (cancel);
}

static void *
run_thread (void *user_data)
{
  struct can_canceller *canceller = user_data;
  bool running = true;
  while (running)
    {
      struct cancel *cancel = g_async_queue_pop (canceller->queue);
      running = cancel->endpoint != NULL;
      if (running)
        {
          eng_cancel (cancel->endpoint->pool, cancel->request,
                      cancel->attempt);
        }
      destroy_cancel (cancel);
    }
  return NULL;
}

/* Creates a canceller and starts its threads.  */
struct can_canceller *
can_create (void)
{
  struct can_canceller *canceller = g_new0 (struct can_canceller, 1);
  canceller->queue = g_async_queue_new_full (destroy_cancel);
  for (int i = 0; i < THREAD_COUNT; i++)
    {
      pthread_create (&canceller->threads[i], NULL, run_thread, canceller);
    }
  return canceller;
}

/* Sends the queued cancels, stops the threads and frees CANCELLER; NULL is
   allowed.  Blocks until all of that is done.  */
void
can_destroy (struct can_canceller *canceller)
{
  if (canceller == NULL)
    {
      return;
    }
  for (int i = 0; i < THREAD_COUNT; i++)
    {
      g_async_queue_push (canceller->queue, g_new0 (struct cancel, 1));
    }
  for (int i = 0; i < THREAD_COUNT; i++)
    {
      pthread_join (canceller->threads[i], NULL);
    }
  g_async_queue_unref (canceller->queue);
  g_free (canceller);
}

/* Queues a cancel of ATTEMPT of REQUEST, to be sent to ENDPOINT, which must
   outlive CANCELLER.  Doesn't block.  Cancels only save work and aren't
   guaranteed to be sent: when QUEUED_CANCELS_MAX are queued, further ones are
   dropped, and the engine drops the stream according to its own limits.  */
void
can_cancel (struct can_canceller *canceller, struct ept_endpoint *endpoint,
            const char *request, uint32_t attempt)
{
  if (g_async_queue_length (canceller->queue) >= QUEUED_CANCELS_MAX)
    {
      return;
    }
  struct cancel *cancel = g_new0 (struct cancel, 1);
  cancel->endpoint = endpoint;
  cancel->request = g_strdup (request);
  cancel->attempt = attempt;
  g_async_queue_push (canceller->queue, cancel);
}
