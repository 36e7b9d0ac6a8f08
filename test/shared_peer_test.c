/* Peer hubs (peer/hub.h) on separate threads, each with a main loop of its
   own, send messages to each other.  The only mutable state that hubs share is
   the diagnostic log.  In a build with the thread sanitizer, this test guards
   against data races between hubs.  */
#include "peer/hub.h"

#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stddef.h>

#include <cmocka.h>

#define THREAD_COUNT 3
#define MESSAGE_COUNT 50

struct worker
{
  pthread_t thread;
  GMainContext *context;
  struct peer_hub *hub;
  const char *next_address; /* of the next worker's hub */
  uint32_t received;
  _Atomic uint32_t *finished; /* number of workers that have received all */
};

static void
on_message (void *user_data, const struct hsk_identity *sender,
            const Peer__Envelope *envelope)
{
  (void)sender;
  (void)envelope;
  struct worker *worker = user_data;
  worker->received++;
}

/* Sends the messages to the next worker and receives those of the previous
   one.  Runs the main loop until all workers have finished, so that the
   messages that are still queued are sent.  */
static void *
run_worker (void *data)
{
  struct worker *worker = data;
  Peer__ConfigRequest request = PEER__CONFIG_REQUEST__INIT;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  envelope.body_case = PEER__ENVELOPE__BODY_CONFIG_REQUEST;
  envelope.config_request = &request;
  for (int i = 0; i < MESSAGE_COUNT; i++)
    {
      peer_hub_send (worker->hub, worker->next_address, &envelope);
    }
  while (worker->received < MESSAGE_COUNT)
    {
      g_main_context_iteration (worker->context, FALSE);
    }
  atomic_fetch_add (worker->finished, 1);
  while (atomic_load (worker->finished) < THREAD_COUNT)
    {
      g_main_context_iteration (worker->context, FALSE);
    }
  return NULL;
}

static void
hubs_on_separate_threads_exchange_messages (void **state)
{
  (void)state;
  struct worker workers[THREAD_COUNT] = { 0 };
  _Atomic uint32_t finished = 0;
  const struct peer_callbacks callbacks = { .on_message = on_message };
  const struct peer_settings settings = { .name = "entry-a",
                                          .address = "127.0.0.1:0",
                                          .secret = "secret",
                                          .incarnation = 1 };
  for (int i = 0; i < THREAD_COUNT; i++)
    {
      workers[i].context = g_main_context_new ();
      workers[i].finished = &finished;
      workers[i].hub = peer_hub_create (workers[i].context, &settings,
                                        &callbacks, &workers[i], NULL);
      assert_non_null (workers[i].hub);
    }
  for (int i = 0; i < THREAD_COUNT; i++)
    {
      workers[i].next_address
          = peer_hub_address (workers[(i + 1) % THREAD_COUNT].hub);
    }
  for (int i = 0; i < THREAD_COUNT; i++)
    {
      pthread_create (&workers[i].thread, NULL, run_worker, &workers[i]);
    }
  for (int i = 0; i < THREAD_COUNT; i++)
    {
      pthread_join (workers[i].thread, NULL);
    }
  for (int i = 0; i < THREAD_COUNT; i++)
    {
      assert_int_equal (workers[i].received, MESSAGE_COUNT);
      peer_hub_destroy (workers[i].hub);
      g_main_context_unref (workers[i].context);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (hubs_on_separate_threads_exchange_messages),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
