/* Calls that may not be repeated: the meeting point of the traffic thread,
   which sends the call, and the control thread, which holds the claims. */
#ifndef DAEMON_KEYED_H
#define DAEMON_KEYED_H

#include "core/action.h"

#include <pthread.h>

struct ctl_control;

enum kc_state
{
  KC_WAITING,
  KC_DISPATCHED, /* this daemon holds the claim: send, once */
  KC_ANSWERED
};

struct kc_call
{
  uint64_t id; /* unique in this daemon */
  char *account;
  char *key;
  uint64_t body_hash;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  enum kc_state state;
  struct act_answer answer; /* KC_ANSWERED; its body is owned */
  gatomicrefcount references;
};

/* How a dispatched call ended. */
enum kc_result_kind
{
  KC_RESULT_ANSWERED,
  KC_RESULT_NOT_RUN,
  KC_RESULT_UNKNOWN
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
