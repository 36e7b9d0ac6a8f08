#include "daemon/gate.h"

#include "base/clock.h"

#include <glib.h>
#include <pthread.h>

/* Traffic threads that admitted and queued requests leave free, so that health
   checks and refusals are answered at once.  None are reserved when there are
   no more than twice as many threads. */
#define RESERVED_THREADS 16

struct gt_gate
{
  pthread_mutex_t lock;
  struct adm *admission;
  GHashTable *waiters; /* id to struct waiter, on the waiting thread's stack */
  uint32_t max_inside; /* limit of `inside' */
  uint32_t inside;     /* requests that are queued or admitted */
};

/* A thread whose request is queued.  The gate's lock protects it. */
struct waiter
{
  uint64_t id;
  pthread_cond_t decided_cond;
  bool decided;
  enum adm_decision decision;
  struct adm_verdict verdict;
};

/* Creates the gate of a daemon with the given number of traffic THREADS.
   Nothing is admitted before gt_configure.  */
struct gt_gate *
gt_create (uint32_t threads)
{
  struct gt_gate *gate = g_new0 (struct gt_gate, 1);
  pthread_mutex_init (&gate->lock, NULL);
  gate->admission = adm_create ();
  gate->waiters = g_hash_table_new (g_int64_hash, g_int64_equal);
  gate->max_inside
      = threads > 2 * RESERVED_THREADS ? threads - RESERVED_THREADS : threads;
  return gate;
}

/* Frees GATE, which may be NULL; no request may be queued or admitted.  */
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

/* Collects the decisions on queued requests that are due, and wakes their
   threads.  Called with the lock held.  */
static void
process_queue_locked (struct gt_gate *gate)
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
          pthread_cond_signal (&waiter->decided_cond);
        }
      decision = adm_next (gate->admission, now_us, &id, &verdict);
    }
}

/* Applies the limits of CONFIG, of which this daemon gets one share in
   DAEMONS, and the capacity of the whole fleet in tokens per second.  */
void
gt_configure (struct gt_gate *gate, const struct cfg_config *config,
              uint32_t daemons, double capacity_tokens_per_s)
{
  pthread_mutex_lock (&gate->lock);
  adm_configure (gate->admission, config, daemons, capacity_tokens_per_s,
                 clk_monotonic_us ());
  process_queue_locked (gate);
  pthread_mutex_unlock (&gate->lock);
}

/* Admits or refuses the queued requests that are due by now.  Called
   periodically, since limits refill and deadlines come closer with time.  */
void
gt_process_queue (struct gt_gate *gate)
{
  pthread_mutex_lock (&gate->lock);
  process_queue_locked (gate);
  pthread_mutex_unlock (&gate->lock);
}

/* Waits, with the lock held, until the queued request ID is admitted or
   refused.  The wait ends by the request's deadline at the latest, since the
   state machine refuses a request whose deadline it cannot meet.  */
static enum adm_decision
wait_in_queue (struct gt_gate *gate, uint64_t id, struct adm_verdict *verdict)
{
  struct waiter waiter = { .id = id };
  pthread_cond_init (&waiter.decided_cond, NULL);
  g_hash_table_insert (gate->waiters, &waiter.id, &waiter);
  process_queue_locked (gate);
  while (!waiter.decided)
    {
      pthread_cond_wait (&waiter.decided_cond, &gate->lock);
    }
  g_hash_table_remove (gate->waiters, &waiter.id);
  pthread_cond_destroy (&waiter.decided_cond);
  *verdict = waiter.verdict;
  return waiter.decision;
}

/* Admits REQUEST, if need be after a wait in the queue.  Returns whether it
   was admitted, in which case the caller must call gt_finish.  FAILURE:
   ERR_OVERLOADED, ERR_RATE_LIMITED, ERR_DEADLINE_UNMEETABLE, ERR_NO_CAPACITY;
   `ran' is ERR_RAN_NO.  */
bool
gt_admit (struct gt_gate *gate, const struct adm_request *request,
          struct adm_verdict *verdict, struct err_failure *failure)
{
  enum adm_decision decision = ADM_REFUSED;
  pthread_mutex_lock (&gate->lock);
  *verdict = (struct adm_verdict){ .error = ERR_OVERLOADED };
  verdict->retry_after_s = err_info (ERR_OVERLOADED)->retry_after_s;
  if (gate->inside < gate->max_inside)
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
      err_set_failure (failure, verdict->error, NULL);
      failure->ran = ERR_RAN_NO;
      failure->retry_after_s = verdict->retry_after_s;
    }
  return decision == ADM_ADMITTED;
}

/* Releases the place of the admitted request ID, which has generated TOKENS
   tokens.  */
void
gt_finish (struct gt_gate *gate, uint64_t id, uint32_t tokens)
{
  pthread_mutex_lock (&gate->lock);
  gate->inside--;
  adm_finish (gate->admission, id, tokens, clk_monotonic_us ());
  process_queue_locked (gate);
  pthread_mutex_unlock (&gate->lock);
}

/* Records the time between two tokens of a stream.  */
void
gt_observe_token_interval (struct gt_gate *gate, int64_t between_tokens_us)
{
  pthread_mutex_lock (&gate->lock);
  adm_observe_token_interval (gate->admission, between_tokens_us);
  pthread_mutex_unlock (&gate->lock);
}

/* Returns whether the retry budgets of ACCOUNT and ENDPOINT (indices in the
   configuration) allow one more retry, and deducts it if so.  */
bool
gt_retry_allowed (struct gt_gate *gate, uint32_t account, uint32_t endpoint)
{
  pthread_mutex_lock (&gate->lock);
  bool allowed = adm_retry_allowed (gate->admission, account, endpoint,
                                    clk_monotonic_us ());
  pthread_mutex_unlock (&gate->lock);
  return allowed;
}

/* Sets STATE to the current limit and load, for metrics and status.  */
void
gt_read_state (struct gt_gate *gate, struct adm_state *state)
{
  pthread_mutex_lock (&gate->lock);
  adm_read_state (gate->admission, state);
  pthread_mutex_unlock (&gate->lock);
}
