/* Retry policy: decides how a request continues after a failed attempt at an
   endpoint, for example because the endpoint crashed, the response was lost or
   the endpoint is full.  A request that may have run is sent again only if its
   repeat rule allows that, and a response states "not run" only when that is
   certain. */
#ifndef CORE_ATTEMPT_H
#define CORE_ATTEMPT_H

#include "core/fleet.h"

/* Ways in which an attempt ends, other than with a complete response. */
enum att_end
{
  ATT_NOT_SENT, /* no connection; the request wasn't sent */
  ATT_NOT_RUN,  /* the endpoint stated that it didn't run the request */
  ATT_FAILED,   /* the endpoint responded with an error of its own */
  ATT_CUT_OFF,  /* the response was incomplete; the request may have run */
  ATT_INVALID_ANSWER, /* the response is invalid or belongs to another request
                       */
  ATT_NO_RESPONSE, /* abandoned without a response; the request may have run */
  ATT_TIMED_OUT    /* the request's deadline has passed */
};

/* Next action for a request. */
enum att_next
{
  ATT_RETRY,  /* send the request again */
  ATT_RESUME, /* send it again, to continue after the last delivered event */
  ATT_PASS_FAILURE, /* deliver the endpoint's error response */
  ATT_ANSWER,       /* deliver an error response generated here */
  ATT_ABORT_ANSWER  /* the response has begun: close the caller's connection */
};

/* State of a request after its latest attempt. */
struct att_request
{
  enum flt_repeat repeat; /* repeat rule of the request's route */
  bool resumable;         /* the stream can continue after its last event */
  bool answer_begun;      /* response headers were sent to the caller */
  uint32_t attempts_max;  /* attempts that may run the request */
  uint32_t may_have_run;  /* attempts that may have run, the latest included */
  uint32_t sent;   /* attempts that reached or may have reached an endpoint */
  uint32_t unsent; /* attempts without a connection since the last one with
                      one, the latest included */
  uint32_t status; /* ATT_FAILED: of the endpoint's response */
  int64_t remaining_us; /* time until the request's deadline */
};

struct att_verdict
{
  enum att_next next;
  bool needs_budget; /* ATT_RETRY, ATT_RESUME: only if the budget allows it */
  bool pauses; /* ATT_RESUME: only after a pause, if there is time for one */
  uint32_t status; /* ATT_ANSWER: HTTP status code */
};

/* Limit on the attempts of a request that reach an endpoint.  Attempts that an
   endpoint refused without running them count only against this limit, not
   against the route's `attempts_max'. */
#define ATT_SENT_MAX 5

/* Limit on the attempts of a request in a row that find no connection.  Where
   no endpoint can be connected to, the next one finds none either. */
#define ATT_UNSENT_MAX 8

/* Least remaining time for another attempt to be useful. */
#define ATT_MIN_LEFT_US 20000

void att_decide (const struct att_request *request, enum att_end end,
                 struct att_verdict *verdict);
bool att_may_abandon (const struct att_request *request);
void att_decide_without_budget (const struct att_request *request,
                                enum att_end end, struct att_verdict *verdict);

#endif
