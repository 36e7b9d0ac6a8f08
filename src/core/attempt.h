/* What becomes of a request after one attempt at an endpoint failed.  Answers
   the loads of crashes, lost answers and endpoints that are full: a request
   that may have run is never run again unless it may be repeated, and an
   answer says "not run" only where that is certain. */
#ifndef CORE_ATTEMPT_H
#define CORE_ATTEMPT_H

#include "core/fleet.h"

/* How an attempt ended, other than by a whole success. */
enum att_end
{
  ATT_NOT_SENT, /* no connection; nothing arrived */
  ATT_NOT_RUN,  /* the endpoint states that it didn't run the request */
  ATT_FAILED,   /* the endpoint answered with a failure of its own */
  ATT_CUT_OFF,  /* no whole answer came; it may have run */
  ATT_SPOILED,  /* an answer that isn't this request's whole answer */
  ATT_SILENT,   /* given up after a silence; it may have run */
  ATT_TIMED_OUT /* the request's time is over */
};

enum att_next
{
  ATT_RETRY,        /* send the request again */
  ATT_RESUME,       /* go on after the last event that was delivered */
  ATT_PASS_FAILURE, /* deliver the endpoint's own failure */
  ATT_ANSWER,       /* deliver an answer of our own */
  ATT_BREAK_OFF     /* end the caller's connection: an answer was begun */
};

struct att_request
{
  enum flt_repeat repeat;
  bool resumable;
  bool answer_begun;     /* the caller has the headers of a stream */
  uint32_t attempts_max; /* endpoints that may run it */
  uint32_t may_have_run; /* attempts so far that may have run, this one too */
  uint32_t sent;         /* attempts so far that arrived or may have */
  int64_t left_us;       /* until the request's deadline */
};

struct att_verdict
{
  enum att_next next;
  bool needs_budget; /* ATT_RETRY, ATT_RESUME: counts as a repeat */
  uint32_t status;   /* ATT_ANSWER */
};

/* Attempts that were refused before they ran don't count against the route's
   limit; this many arrivals end a request in any case. */
#define ATT_ARRIVALS_MAX 5

/* With less time left than this, another attempt can't be of use. */
#define ATT_LEAST_LEFT_US 20000

void att_decide (const struct att_request *request, enum att_end end,
                 struct att_verdict *verdict);
bool att_may_abandon (const struct att_request *request);
void att_decide_unpaid (const struct att_request *request, enum att_end end,
                        struct att_verdict *verdict);

#endif
