/* A proof must not be newer than the view that is acquired with it.  Guards
   against reading the proof after the view: found by the soak, seed 131, where
   after a pause of the process requests with a removed key were accepted by an
   old view with a newer proof.  In the thread sanitizer's build the test also
   guards against reports of the order that liburcu makes.  */
#include "entry/fleet_view.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <pthread.h>

#define VIEWS 20000

/* Publishes views whose shares are consecutive numbers, and the same numbers
   as proofs.  */
static void *
publish (void *context)
{
  struct fvw_store *store = context;
  rcu_register_thread ();
  for (int64_t number = 1; number <= VIEWS; number++)
    {
      fvw_publish (store, fvw_view_create (NULL, g_ptr_array_new (),
                                           (double)number, 1));
      fvw_set_proved (store, number);
    }
  rcu_unregister_thread ();
  return NULL;
}

static void
test_proofs (void **state)
{
  (void)state;
  struct fvw_store *store = fvw_store_create ();
  struct fvw_view *known = NULL;
  pthread_t thread;
  int64_t proved_us = 0;
  rcu_register_thread ();
  assert_int_equal (pthread_create (&thread, NULL, publish, store), 0);
  while (proved_us < VIEWS)
    {
      struct fvw_view *newer = fvw_acquire_newer (store, known, &proved_us);
      if (newer != NULL)
        {
          fvw_release (known);
          known = newer;
        }
      assert_true (proved_us == 0
                   || (known != NULL && (double)proved_us <= known->share));
    }
  pthread_join (thread, NULL);
  fvw_release (known);
  fvw_store_destroy (store);
  rcu_unregister_thread ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_proofs) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
