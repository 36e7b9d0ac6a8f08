/* A call with an idempotency key, shared by the traffic thread that sends the
   call and the control thread that manages the claims.  A claim, recorded in
   the log, gives one daemon the right to send the call (core/claims.h).  The
   traffic thread waits with kc_wait, first for the claim and then for the
   answer; the control thread wakes it with kc_dispatch or kc_answer.
   All functions are thread-safe. */
#ifndef DAEMON_KEYED_H
#define DAEMON_KEYED_H

#include "core/action.h"

#include <pthread.h>

struct ctl_control;

enum kc_state
{
  KC_WAITING,    /* for the claim, or for the answer after kc_rearm */
  KC_DISPATCHED, /* this daemon holds the claim: send the call, once */
  KC_ANSWERED
};

struct kc_call
{
  uint64_t id; /* unique in this daemon */
  char *account;
  char *key;
  uint64_t body_hash;   /* hash of all that must be equal in repeats of the
                           call */
  pthread_mutex_t lock; /* protects STATE and ANSWER */
  pthread_cond_t state_cond;
  enum kc_state state;
  struct act_answer answer; /* KC_ANSWERED; holds a reference to its body */
  gatomicrefcount references;
};

/* How a dispatched call ended. */
enum kc_result_kind
{
  KC_RESULT_ANSWERED, /* by the service */
  KC_RESULT_NOT_RUN,  /* certainly not run */
  KC_RESULT_UNKNOWN   /* may have run */
};

struct kc_call *kc_create (uint64_t id, const char *account, const char *key,
                           uint64_t body_hash);
void kc_unref (struct kc_call *call);
struct kc_call *kc_ref (struct kc_call *call);
enum kc_state kc_wait (struct kc_call *call, int64_t until_us);
void kc_dispatch (struct kc_call *call);
void kc_answer (struct kc_call *call, const struct act_answer *answer);
void kc_rearm (struct kc_call *call);

#endif
