#include "daemon/gate.h"

#include "base/clock.h"

#include <glib.h>
#include <pthread.h>

/* Threads that stay free for what is answered at once: health, refusals. */
#define THREADS_RESERVED 16

struct gt_gate
{
  pthread_mutex_t lock;
  struct adm *admission;
  GHashTable *waiters; /* id to struct waiter, on the stacks of the waiting */
  uint32_t places;     /* threads that may be inside at one time */
  uint32_t inside;     /* queued or admitted */
};

/* A thread in the queue. */
struct waiter
{
  uint64_t id;
  pthread_cond_t decided_changed;
  bool decided;
  enum adm_decision decision;
  struct adm_verdict verdict;
};

/* Creates the gate of a daemon with so many traffic THREADS.  Nothing is
   admitted before gt_configure.  */
struct gt_gate *
gt_create (uint32_t threads)
{
  struct gt_gate *gate = g_new0 (struct gt_gate, 1);
  pthread_mutex_init (&gate->lock, NULL);
  gate->admission = adm_create ();
  gate->waiters = g_hash_table_new (g_int64_hash, g_int64_equal);
  gate->places
      = threads > 2 * THREADS_RESERVED ? threads - THREADS_RESERVED : threads;
  return gate;
}

/* Frees GATE; no thread may be inside.  */
void
gt_destroy (struct gt_gate *gate)
{
  if (gate == NULL)
    {
      return;
    }
  g_hash_table_destroy (gate->waiters);
  adm_destroy (gate->admission);
  pthread_mutex_destroy (&gate->lock);
  g_free (gate);
}

/* Tells every queued thread what is decided by now.  */
static void
pump_locked (struct gt_gate *gate)
{
  uint64_t id = 0;
  struct adm_verdict verdict;
  int64_t now_us = clk_monotonic_us ();
  enum adm_decision decision
      = adm_next (gate->admission, now_us, &id, &verdict);
  while (decision != ADM_NOTHING)
    {
      struct waiter *waiter = g_hash_table_lookup (gate->waiters, &id);
      if (waiter != NULL)
        {
          waiter->decided = true;
          waiter->decision = decision;
          waiter->verdict = verdict;
          pthread_cond_signal (&waiter->decided_changed);
        }
      decision = adm_next (gate->admission, now_us, &id, &verdict);
    }
}

/* Puts limits and capacity in force: those of CONFIG shared by DAEMONS, and
   the tokens a second of the whole fleet.  */
void
gt_configure (struct gt_gate *gate, const struct cfg_config *config,
              uint32_t daemons, double capacity_tokens_per_s)
{
  pthread_mutex_lock (&gate->lock);
  adm_configure (gate->admission, config, daemons, capacity_tokens_per_s,
                 clk_monotonic_us ());
  pump_locked (gate);
  pthread_mutex_unlock (&gate->lock);
}

/* Admits from the queue what time allows; called now and then.  */
void
gt_process_queue (struct gt_gate *gate)
{
  pthread_mutex_lock (&gate->lock);
  pump_locked (gate);
  pthread_mutex_unlock (&gate->lock);
}

/* Waits in the queue, with the lock held, until the machine has decided.  The
   machine refuses a request whose deadline it cannot meet, so that the wait
   ends by then.  */
static enum adm_decision
wait_in_queue (struct gt_gate *gate, uint64_t id, struct adm_verdict *verdict)
{
  struct waiter waiter = { .id = id };
  pthread_cond_init (&waiter.decided_changed, NULL);
  g_hash_table_insert (gate->waiters, &waiter.id, &waiter);
  pump_locked (gate);
  while (!waiter.decided)
    {
      pthread_cond_wait (&waiter.decided_changed, &gate->lock);
    }
  g_hash_table_remove (gate->waiters, &waiter.id);
  pthread_cond_destroy (&waiter.decided_changed);
  *verdict = waiter.verdict;
  return waiter.decision;
}

/* Admits REQUEST, waiting in the queue where that is of use.  True: gt_finish
   must follow.  FAILURE: ERR_OVERLOADED, ERR_RATE_LIMITED,
   ERR_DEADLINE_UNMEETABLE, ERR_NO_CAPACITY; nothing has run.  */
bool
gt_admit (struct gt_gate *gate, const struct adm_request *request,
          struct adm_verdict *verdict, struct err_failure *failure)
{
  enum adm_decision decision = ADM_REFUSED;
  pthread_mutex_lock (&gate->lock);
  *verdict = (struct adm_verdict){ .error = ERR_OVERLOADED };
  verdict->retry_after_s = err_answer (ERR_OVERLOADED)->retry_after_s;
  if (gate->inside < gate->places)
    {
      gate->inside++;
      decision = adm_arrive (gate->admission, request, clk_monotonic_us (),
                             verdict);
      if (decision == ADM_QUEUED)
        {
          decision = wait_in_queue (gate, request->id, verdict);
        }
      if (decision != ADM_ADMITTED)
        {
          gate->inside--;
        }
    }
  pthread_mutex_unlock (&gate->lock);
  if (decision != ADM_ADMITTED)
    {
      err_fail (failure, verdict->error, NULL);
      failure->ran = ERR_RAN_NO;
      failure->retry_after_s = verdict->retry_after_s;
    }
  return decision == ADM_ADMITTED;
}

/* Request ID has ended after TOKENS tokens.  */
void
gt_finish (struct gt_gate *gate, uint64_t id, uint32_t tokens)
{
  pthread_mutex_lock (&gate->lock);
  gate->inside--;
  adm_finish (gate->admission, id, tokens, clk_monotonic_us ());
  pump_locked (gate);
  pthread_mutex_unlock (&gate->lock);
}

/* A stream has waited so long between two tokens.  */
void
gt_observe_token_interval (struct gt_gate *gate, int64_t between_tokens_us)
{
  pthread_mutex_lock (&gate->lock);
  adm_observe_step (gate->admission, between_tokens_us);
  pthread_mutex_unlock (&gate->lock);
}

/* Returns whether the budgets of ACCOUNT and ENDPOINT (indices in the
   configuration) allow one more retry, and takes it from them.  */
bool
gt_retry_allowed (struct gt_gate *gate, uint32_t account, uint32_t endpoint)
{
  pthread_mutex_lock (&gate->lock);
  bool allowed = adm_retry_allowed (gate->admission, account, endpoint,
                                    clk_monotonic_us ());
  pthread_mutex_unlock (&gate->lock);
  return allowed;
}

/* Reads the state of the admission machine.  */
void
gt_read_state (struct gt_gate *gate, struct adm_state *state)
{
  pthread_mutex_lock (&gate->lock);
  adm_read_state (gate->admission, state);
  pthread_mutex_unlock (&gate->lock);
}
