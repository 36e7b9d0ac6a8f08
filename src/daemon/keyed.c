#include "daemon/keyed.h"

#include "base/clock.h"

#include <errno.h>
#include <time.h>

/* Creates a call in the state KC_WAITING, with one reference.  ACCOUNT and KEY
   are copied.  */
struct kc_call *
kc_create (uint64_t id, const char *account, const char *key,
           uint64_t body_hash)
{
  struct kc_call *call = g_new0 (struct kc_call, 1);
  pthread_condattr_t attributes;
  call->id = id;
  call->account = g_strdup (account);
  call->key = g_strdup (key);
  call->body_hash = body_hash;
  g_atomic_ref_count_init (&call->references);
  pthread_mutex_init (&call->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&call->state_cond, &attributes);
  pthread_condattr_destroy (&attributes);
  return call;
}

/* Adds a reference to CALL and returns CALL.  */
struct kc_call *
kc_ref (struct kc_call *call)
{
  g_atomic_ref_count_inc (&call->references);
  return call;
}

/* Drops a reference to CALL, and frees CALL when it was the last one.  */
void
kc_unref (struct kc_call *call)
{
  if (!g_atomic_ref_count_dec (&call->references))
    {
      return;
    }
  if (call->answer.body != NULL)
    {
      g_bytes_unref (call->answer.body);
    }
  pthread_cond_destroy (&call->state_cond);
  pthread_mutex_destroy (&call->lock);
  g_free (call->account);
  g_free (call->key);
  g_free (call);
}

/* Waits until CALL is dispatched or answered, or until the monotonic time
   UNTIL_US.  Returns the state at the end of the wait.  */
enum kc_state
kc_wait (struct kc_call *call, int64_t until_us)
{
  struct timespec until;
  int64_t left_us = MAX (until_us - clk_monotonic_us (), 0);
  clock_gettime (CLOCK_MONOTONIC, &until);
  int64_t total_ns = until.tv_nsec + left_us % CLK_S_US * 1000;
  until.tv_sec += left_us / CLK_S_US + total_ns / 1000000000;
  until.tv_nsec = total_ns % 1000000000;
  int result = 0;
  pthread_mutex_lock (&call->lock);
  while (call->state == KC_WAITING && result != ETIMEDOUT)
    {
      result = pthread_cond_timedwait (&call->state_cond, &call->lock, &until);
    }
  enum kc_state state = call->state;
  pthread_mutex_unlock (&call->lock);
  return state;
}

/* Sets the state of a dispatched CALL back to KC_WAITING, so that the next
   kc_wait waits for the answer.  Called before the call is sent.  */
void
kc_rearm (struct kc_call *call)
{
  pthread_mutex_lock (&call->lock);
  if (call->state == KC_DISPATCHED)
    {
      call->state = KC_WAITING;
    }
  pthread_mutex_unlock (&call->lock);
}

/* Sets the state KC_DISPATCHED: this daemon holds the claim.  Wakes the
   traffic thread, which then sends CALL.  */
void
kc_dispatch (struct kc_call *call)
{
  pthread_mutex_lock (&call->lock);
  call->state = KC_DISPATCHED;
  pthread_cond_signal (&call->state_cond);
  pthread_mutex_unlock (&call->lock);
}

/* Sets the final answer of CALL and wakes the traffic thread.  Later answers
   are ignored.  */
void
kc_answer (struct kc_call *call, const struct act_answer *answer)
{
  pthread_mutex_lock (&call->lock);
  if (call->state != KC_ANSWERED)
    {
      call->state = KC_ANSWERED;
      call->answer = *answer;
      if (answer->body != NULL)
        {
          g_bytes_ref (answer->body);
        }
      pthread_cond_signal (&call->state_cond);
    }
  pthread_mutex_unlock (&call->lock);
}
