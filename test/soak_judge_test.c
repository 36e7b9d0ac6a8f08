/* Checks that the judge of the soak reports a violation of each guarantee, and
   none for a run that keeps to it.  */
#include "soak/judge.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#define S_US INT64_C (1000000)

static const struct sjd_bounds bounds = {
  .settle_us = 3 * S_US,
  .config_us = 2 * S_US,
  .rollback_us = S_US / 4,
  .revoke_us = 5 * S_US,
  .stable_us = S_US,
  .drain_us = 2 * S_US,
  .turn_away_max_us = 6 * S_US,
  .lease_us = S_US,
  .cancel_us = S_US / 2,
  .answer_slack_us = S_US,
  .retry_window_us = 10 * S_US,
  .retry_ratio = 0.2,
  .retry_slack = 2,
};

enum event
{
  EVENT_NONE,
  EVENT_REQUEST, /* value: index of the key */
  EVENT_ARRIVAL, /* value: endpoint */
  EVENT_RUN_BEGIN,
  EVENT_RUN_END,
  EVENT_ANSWER,            /* value: status; complete and correct */
  EVENT_WRONG_ANSWER,      /* value: status; complete but wrong */
  EVENT_CONNECTION_CLOSED, /* value: status; the answer is incomplete */
  EVENT_CALLER_LEFT,
  EVENT_CONFIG_CHANGE,  /* value: index of the extra key */
  EVENT_DRAIN,          /* value: endpoint */
  EVENT_LEAVING_ANSWER, /* of the endpoint value */
  EVENT_TURNED_AWAY, /* by ENDPOINT; value: for this many tenths of a second */
  EVENT_PASSED_ON,   /* the last answer, to the caller */
  EVENT_SENT_BY,     /* value: daemon that the request was passed on to */
  EVENT_ORDER,       /* value: fencing token */
  EVENT_REFUSED_ORDER, /* value: fencing token */
  EVENT_FREEZE,        /* of the daemon; value: duration in seconds */
  EVENT_CUT,           /* of ENDPOINT; value: duration in seconds */
  EVENT_RESTART,       /* of the daemon */
  EVENT_REPLACE,       /* of every endpoint by a new instance */
  EVENT_NEXT_DAEMON,   /* gets the later requests */
  EVENT_CUT_OFF,       /* from the store; value: duration in seconds */
  EVENT_OTHER_FREEZES, /* the next daemon; value: duration in seconds */
  EVENT_OTHER_CUT_OFF, /* from the store; value: duration in seconds */
  EVENT_OTHER_RESTARTS,
  EVENT_REMOVAL,       /* of ENDPOINT from the list */
  EVENT_RESTORE,       /* value: age of the copy in tenths of a second */
  EVENT_WRITTEN_AGAIN, /* what the restores have lost */
  EVENT_CRASHED,       /* endpoints, by the harm 1 */
  EVENT_FAULT,         /* value: duration in seconds */
  EVENT_RECOVERED,
  EVENT_END /* of the run */
};

/* An event at a time, of the request ID if the event has one. */
struct step
{
  double at_s;
  enum event event;
  uint32_t value;
  const char *id; /* kind by the first letter: b booking, l lookup, d draft,
                     p draft with the harm 1 */
};

#define STEPS_MAX 14
#define ENDPOINT 3
#define DAEMONS 2

/* The steps of a run, and the prefix of the only violation that the judge must
   report; NULL: none. */
static const struct
{
  const char *name;
  struct step steps[STEPS_MAX];
  const char *expected;
} cases[] = {
  { "a booking is served",
    { { 1, EVENT_REQUEST, 0, "b1" },
      { 1.1, EVENT_ARRIVAL, 0, "b1" },
      { 1.1, EVENT_RUN_BEGIN, 0, "b1" },
      { 1.2, EVENT_RUN_END, 0, "b1" },
      { 1.2, EVENT_ANSWER, 200, "b1" } },
    NULL },
  { "a wrong answer",
    { { 1, EVENT_REQUEST, 0, "b1" }, { 1.2, EVENT_WRONG_ANSWER, 200, "b1" } },
    "b1 got a wrong answer" },
  { "a booking runs twice",
    { { 1, EVENT_REQUEST, 0, "b1" },
      { 1.1, EVENT_RUN_BEGIN, 0, "b1" },
      { 1.3, EVENT_RUN_BEGIN, 0, "b1" },
      { 1.4, EVENT_ANSWER, 200, "b1" } },
    "b1 ran 2 times" },
  { "a lookup runs twice",
    { { 1, EVENT_REQUEST, 0, "l1" },
      { 1.1, EVENT_RUN_BEGIN, 0, "l1" },
      { 1.3, EVENT_RUN_BEGIN, 0, "l1" },
      { 1.4, EVENT_ANSWER, 200, "l1" } },
    NULL },
  { "a booking that was refused runs",
    { { 1, EVENT_REQUEST, 0, "b1" },
      { 1.1, EVENT_ANSWER, 503, "b1" },
      { 2, EVENT_RUN_BEGIN, 0, "b1" } },
    "b1 was told 503 and ran" },
  { "a booking that ran and failed",
    { { 1, EVENT_REQUEST, 0, "b1" },
      { 1.1, EVENT_RUN_BEGIN, 0, "b1" },
      { 1.2, EVENT_ANSWER, 502, "b1" } },
    NULL },
  { "no answer",
    { { 1, EVENT_REQUEST, 0, "b1" }, { 9, EVENT_NONE, 0, NULL } },
    "b1 had no answer in time" },
  { "no answer during a fault",
    { { 1, EVENT_REQUEST, 0, "b1" }, { 2, EVENT_FAULT, 1, NULL } },
    NULL },
  { "a stream is cut off",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.1, EVENT_RUN_BEGIN, 0, "d1" },
      { 2, EVENT_CONNECTION_CLOSED, 200, "d1" } },
    "d1 was cut off" },
  { "a stream is cut off shortly after a fault",
    { { 1, EVENT_FAULT, 1, NULL },
      { 3, EVENT_REQUEST, 0, "d1" },
      { 3.1, EVENT_RUN_BEGIN, 0, "d1" },
      { 4, EVENT_CONNECTION_CLOSED, 200, "d1" } },
    NULL },
  { "a connection closes before the request runs",
    { { 1, EVENT_REQUEST, 0, "d1" }, { 2, EVENT_CONNECTION_CLOSED, 0, "d1" } },
    NULL },
  { "work continues after the caller has left",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.1, EVENT_RUN_BEGIN, 0, "d1" },
      { 2, EVENT_CALLER_LEFT, 0, "d1" },
      { 2.8, EVENT_RUN_END, 0, "d1" } },
    "d1 was worked on" },
  { "work stops soon after the caller has left",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.1, EVENT_RUN_BEGIN, 0, "d1" },
      { 2, EVENT_CALLER_LEFT, 0, "d1" },
      { 2.2, EVENT_RUN_END, 0, "d1" } },
    NULL },
  { "work continues until the end of the run",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.1, EVENT_RUN_BEGIN, 0, "d1" },
      { 2, EVENT_CALLER_LEFT, 0, "d1" },
      { 2.6, EVENT_END, 0, NULL } },
    "d1 was worked on" },
  /* Guards against a run that ends with the last caller, before the daemon
     could cancel its work. */
  { "the run ends before work had to stop",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.1, EVENT_RUN_BEGIN, 0, "d1" },
      { 2, EVENT_CALLER_LEFT, 0, "d1" },
      { 2.3, EVENT_END, 0, NULL } },
    "the run ended too soon to judge the work for d1" },
  { "a removed key after the revocation bound, during a fault",
    { { 1, EVENT_CONFIG_CHANGE, 7, NULL },
      { 2, EVENT_CONFIG_CHANGE, 0, NULL },
      { 3, EVENT_FAULT, 9, NULL },
      { 7.5, EVENT_REQUEST, 7, "b1" },
      { 7.6, EVENT_RUN_BEGIN, 0, "b1" },
      { 7.7, EVENT_ANSWER, 200, "b1" } },
    "b1 ran with a key that was removed" },
  { "a removed key within the revocation bound, during a fault",
    { { 1, EVENT_CONFIG_CHANGE, 7, NULL },
      { 2, EVENT_CONFIG_CHANGE, 0, NULL },
      { 3, EVENT_FAULT, 9, NULL },
      { 6.5, EVENT_REQUEST, 7, "b1" },
      { 6.6, EVENT_RUN_BEGIN, 0, "b1" },
      { 6.7, EVENT_ANSWER, 200, "b1" } },
    NULL },
  { "a removed key after the configuration bound, without faults",
    { { 1, EVENT_CONFIG_CHANGE, 7, NULL },
      { 2, EVENT_CONFIG_CHANGE, 0, NULL },
      { 4.5, EVENT_REQUEST, 7, "b1" },
      { 4.6, EVENT_RUN_BEGIN, 0, "b1" },
      { 4.7, EVENT_ANSWER, 200, "b1" } },
    "b1 ran by an older configuration" },
  { "a new key is denied after the configuration bound",
    { { 1, EVENT_CONFIG_CHANGE, 7, NULL },
      { 3.5, EVENT_REQUEST, 7, "b1" },
      { 3.6, EVENT_ANSWER, 401, "b1" } },
    "b1 was denied by an older configuration" },
  { "a new key is denied within the configuration bound",
    { { 1, EVENT_CONFIG_CHANGE, 7, NULL },
      { 2.5, EVENT_REQUEST, 7, "b1" },
      { 2.6, EVENT_ANSWER, 401, "b1" } },
    NULL },
  { "a configuration rolls back",
    { { 1, EVENT_CONFIG_CHANGE, 7, NULL },
      { 1.2, EVENT_REQUEST, 7, "b1" },
      { 1.3, EVENT_RUN_BEGIN, 0, "b1" },
      { 1.4, EVENT_ANSWER, 200, "b1" },
      { 1.7, EVENT_REQUEST, 7, "b2" },
      { 1.8, EVENT_ANSWER, 401, "b2" } },
    "b2 was denied after b1 had run" },
  { "a request to a leaving endpoint after the drain bound",
    { { 1, EVENT_DRAIN, 3, NULL },
      { 4, EVENT_REQUEST, 0, "d1" },
      { 4, EVENT_ARRIVAL, 3, "d1" },
      { 4, EVENT_RUN_BEGIN, 0, "d1" },
      { 5, EVENT_ANSWER, 200, "d1" } },
    "d1 was sent to a leaving endpoint" },
  { "a request to a leaving endpoint within the drain bound",
    { { 1, EVENT_DRAIN, 3, NULL },
      { 2.5, EVENT_REQUEST, 0, "d1" },
      { 2.5, EVENT_ARRIVAL, 3, "d1" },
      { 2.5, EVENT_RUN_BEGIN, 0, "d1" },
      { 5, EVENT_ANSWER, 200, "d1" } },
    NULL },
  { "a leaving endpoint gets a request during a fault, from a daemon that had "
    "time to learn of it",
    { { 1, EVENT_DRAIN, 3, NULL },
      { 3.5, EVENT_FAULT, 9, NULL },
      { 4, EVENT_REQUEST, 0, "d1" },
      { 4, EVENT_ARRIVAL, 3, "d1" } },
    "d1 was sent to a leaving endpoint" },
  { "a leaving endpoint gets a request during a fault, from a daemon that was "
    "started since",
    { { 1, EVENT_DRAIN, 3, NULL },
      { 3.5, EVENT_FAULT, 9, NULL },
      { 3.6, EVENT_RESTART, 0, NULL },
      { 4, EVENT_REQUEST, 0, "d1" },
      { 4, EVENT_ARRIVAL, 3, "d1" } },
    NULL },
  { "an endpoint that said that it leaves gets a later request",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.1, EVENT_ARRIVAL, 3, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 1.3, EVENT_PASSED_ON, 0, "d1" },
      { 2, EVENT_ANSWER, 200, "d1" },
      { 3, EVENT_FAULT, 9, NULL },
      { 3.4, EVENT_REQUEST, 0, "d2" },
      { 3.5, EVENT_ARRIVAL, 3, "d2" },
      { 4, EVENT_ANSWER, 200, "d2" } },
    "d2 reached endpoint 3, which had said in the answer to d1" },
  { "a request sent within the drain bound arrives later",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 1.3, EVENT_PASSED_ON, 0, "d1" },
      { 2, EVENT_ANSWER, 200, "d1" },
      { 3.2, EVENT_REQUEST, 0, "d2" },
      { 3.9, EVENT_ARRIVAL, 3, "d2" },
      { 4, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "an answer that wasn't passed on",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 2, EVENT_ANSWER, 503, "d1" },
      { 4, EVENT_REQUEST, 0, "d2" },
      { 4.1, EVENT_ARRIVAL, 3, "d2" },
      { 4.2, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "an answer of another endpoint was passed on",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 1.3, EVENT_LEAVING_ANSWER, 4, "d1" },
      { 1.4, EVENT_PASSED_ON, 0, "d1" },
      { 2, EVENT_ANSWER, 200, "d1" },
      { 4, EVENT_REQUEST, 0, "d2" },
      { 4.1, EVENT_ARRIVAL, 3, "d2" },
      { 4.2, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "a new instance gets requests",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 1.3, EVENT_PASSED_ON, 0, "d1" },
      { 2, EVENT_ANSWER, 200, "d1" },
      { 3, EVENT_REPLACE, 0, NULL },
      { 4, EVENT_REQUEST, 0, "d2" },
      { 4.1, EVENT_ARRIVAL, 3, "d2" },
      { 4.2, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "another daemon doesn't know that the endpoint leaves",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 1.3, EVENT_PASSED_ON, 0, "d1" },
      { 2, EVENT_ANSWER, 200, "d1" },
      { 3, EVENT_NEXT_DAEMON, 0, NULL },
      { 4, EVENT_REQUEST, 0, "d2" },
      { 4.1, EVENT_ARRIVAL, 3, "d2" },
      { 4.2, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "a neighbour that a request was passed on to doesn't know it",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 1.3, EVENT_PASSED_ON, 0, "d1" },
      { 2, EVENT_ANSWER, 200, "d1" },
      { 4, EVENT_REQUEST, 0, "d2" },
      { 4, EVENT_SENT_BY, 1, "d2" },
      { 4.1, EVENT_ARRIVAL, 3, "d2" },
      { 4.2, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "a neighbour knows it by a request that was passed on",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1, EVENT_SENT_BY, 1, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 1.3, EVENT_PASSED_ON, 0, "d1" },
      { 2, EVENT_ANSWER, 200, "d1" },
      { 3, EVENT_NEXT_DAEMON, 0, NULL },
      { 4, EVENT_REQUEST, 0, "d2" },
      { 4.1, EVENT_ARRIVAL, 3, "d2" },
      { 4.2, EVENT_ANSWER, 200, "d2" } },
    "d2 reached endpoint 3, which had said in the answer to d1 that it "
    "leaves" },
  { "and so does the daemon that passed it on",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1, EVENT_SENT_BY, 1, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 1.3, EVENT_PASSED_ON, 0, "d1" },
      { 2, EVENT_ANSWER, 200, "d1" },
      { 4, EVENT_REQUEST, 0, "d2" },
      { 4.1, EVENT_ARRIVAL, 3, "d2" },
      { 4.2, EVENT_ANSWER, 200, "d2" } },
    "d2 reached endpoint 3, which had said in the answer to d1 that it "
    "leaves" },
  { "a restarted daemon doesn't know that the endpoint leaves",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 1.3, EVENT_PASSED_ON, 0, "d1" },
      { 2, EVENT_ANSWER, 200, "d1" },
      { 3, EVENT_RESTART, 0, NULL },
      { 4, EVENT_REQUEST, 0, "d2" },
      { 4.1, EVENT_ARRIVAL, 3, "d2" },
      { 4.2, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "a daemon was frozen since the endpoint said that it leaves",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 1.3, EVENT_PASSED_ON, 0, "d1" },
      { 2, EVENT_ANSWER, 200, "d1" },
      { 2.5, EVENT_FREEZE, 1, NULL },
      { 4, EVENT_REQUEST, 0, "d2" },
      { 4.1, EVENT_ARRIVAL, 3, "d2" },
      { 4.2, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "a cut doesn't excuse requests to a leaving endpoint",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1.2, EVENT_LEAVING_ANSWER, 3, "d1" },
      { 1.3, EVENT_PASSED_ON, 0, "d1" },
      { 2, EVENT_ANSWER, 200, "d1" },
      { 2.5, EVENT_CUT, 1, NULL },
      { 4, EVENT_REQUEST, 0, "d2" },
      { 4.1, EVENT_ARRIVAL, 3, "d2" },
      { 4.2, EVENT_ANSWER, 200, "d2" } },
    "d2 reached endpoint 3" },
  { "three late requests to an endpoint that turned one away",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1, EVENT_TURNED_AWAY, 20, "d1" },
      { 1.1, EVENT_ANSWER, 503, "d1" },
      { 1.4, EVENT_REQUEST, 0, "d2" },
      { 1.6, EVENT_ARRIVAL, 3, "d2" },
      { 1.6, EVENT_REQUEST, 0, "d3" },
      { 1.7, EVENT_ARRIVAL, 3, "d3" },
      { 1.8, EVENT_REQUEST, 0, "d4" },
      { 2.9, EVENT_ARRIVAL, 3, "d4" },
      { 3, EVENT_ANSWER, 200, "d2" },
      { 3, EVENT_ANSWER, 200, "d3" },
      { 3, EVENT_ANSWER, 200, "d4" } },
    "3 requests reached endpoint 3, the last one d4, though it had turned d1 "
    "away" },
  { "two late requests, one in the first half second, one after the time",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1, EVENT_TURNED_AWAY, 20, "d1" },
      { 1.1, EVENT_ANSWER, 503, "d1" },
      { 1.4, EVENT_REQUEST, 0, "d2" },
      { 1.45, EVENT_ARRIVAL, 3, "d2" },
      { 1.6, EVENT_ARRIVAL, 3, "d2" },
      { 1.6, EVENT_REQUEST, 0, "d3" },
      { 1.7, EVENT_ARRIVAL, 3, "d3" },
      { 3, EVENT_REQUEST, 0, "d4" },
      { 3.1, EVENT_ARRIVAL, 3, "d4" },
      { 3.2, EVENT_ANSWER, 200, "d2" },
      { 3.2, EVENT_ANSWER, 200, "d3" },
      { 3.2, EVENT_ANSWER, 200, "d4" } },
    NULL },
  { "late requests at another endpoint",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1, EVENT_TURNED_AWAY, 20, "d1" },
      { 1.1, EVENT_ANSWER, 503, "d1" },
      { 1.4, EVENT_REQUEST, 0, "d2" },
      { 1.6, EVENT_ARRIVAL, 4, "d2" },
      { 1.7, EVENT_ARRIVAL, 4, "d2" },
      { 2, EVENT_ARRIVAL, 4, "d2" },
      { 3, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "late requests during a cut",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1, EVENT_TURNED_AWAY, 20, "d1" },
      { 1.1, EVENT_CUT, 1, NULL },
      { 1.1, EVENT_ANSWER, 503, "d1" },
      { 1.4, EVENT_REQUEST, 0, "d2" },
      { 1.6, EVENT_ARRIVAL, 3, "d2" },
      { 1.7, EVENT_ARRIVAL, 3, "d2" },
      { 2, EVENT_ARRIVAL, 3, "d2" },
      { 3, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "late requests of a restarted daemon",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1, EVENT_TURNED_AWAY, 20, "d1" },
      { 1.1, EVENT_ANSWER, 503, "d1" },
      { 1.2, EVENT_RESTART, 0, NULL },
      { 1.4, EVENT_REQUEST, 0, "d2" },
      { 1.6, EVENT_ARRIVAL, 3, "d2" },
      { 1.7, EVENT_ARRIVAL, 3, "d2" },
      { 2, EVENT_ARRIVAL, 3, "d2" },
      { 3, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "requests after the longest time, of an absurd one",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1, EVENT_TURNED_AWAY, 900000, "d1" },
      { 1.1, EVENT_ANSWER, 503, "d1" },
      { 7.1, EVENT_REQUEST, 0, "d2" },
      { 7.2, EVENT_ARRIVAL, 3, "d2" },
      { 7.3, EVENT_ARRIVAL, 3, "d2" },
      { 7.4, EVENT_ARRIVAL, 3, "d2" },
      { 8, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "requests within the longest time, of an absurd one",
    { { 1, EVENT_REQUEST, 0, "d1" },
      { 1, EVENT_TURNED_AWAY, 900000, "d1" },
      { 1.1, EVENT_ANSWER, 503, "d1" },
      { 6.1, EVENT_REQUEST, 0, "d2" },
      { 6.2, EVENT_ARRIVAL, 3, "d2" },
      { 6.3, EVENT_ARRIVAL, 3, "d2" },
      { 6.4, EVENT_ARRIVAL, 3, "d2" },
      { 8, EVENT_ANSWER, 200, "d2" } },
    "3 requests reached endpoint 3" },
  { "a fencing token goes back",
    { { 1, EVENT_REFUSED_ORDER, 4, NULL } },
    "the fencing token of an order to endpoint 3 went back to 4" },
  { "a fencing token goes back soon after a fault",
    { { 1, EVENT_FAULT, 1, NULL }, { 4, EVENT_REFUSED_ORDER, 4, NULL } },
    NULL },
  { "a token is given out after a higher one, during a fault",
    { { 1, EVENT_FAULT, 9, NULL },
      { 4, EVENT_ORDER, 4, NULL },
      { 4.5, EVENT_ORDER, 6, NULL },
      { 5.6, EVENT_ORDER, 5, NULL } },
    "an order to endpoint 3 had the fencing token 5 after a higher one" },
  { "a token that was given out before a higher one is used again",
    { { 4, EVENT_ORDER, 4, NULL },
      { 4.5, EVENT_ORDER, 6, NULL },
      { 5.6, EVENT_ORDER, 4, NULL } },
    "an order to endpoint 3 had the fencing token 4 after a higher one" },
  { "a lower token within the lease",
    { { 4, EVENT_ORDER, 4, NULL },
      { 4.5, EVENT_ORDER, 6, NULL },
      { 5.4, EVENT_ORDER, 5, NULL } },
    NULL },
  { "a lower token in an order that a cut held up",
    { { 4, EVENT_ORDER, 6, NULL },
      { 4.1, EVENT_CUT, 2, NULL },
      { 6.2, EVENT_ORDER, 5, NULL } },
    NULL },
  { "a token is given out after a higher one, by a daemon that was frozen",
    { { 4, EVENT_ORDER, 6, NULL },
      { 4.1, EVENT_FREEZE, 2, NULL },
      { 6.2, EVENT_ORDER, 5, NULL } },
    NULL },
  { "orders go on with a refused token during a fault",
    { { 1, EVENT_FAULT, 9, NULL },
      { 4, EVENT_REFUSED_ORDER, 4, NULL },
      { 5.1, EVENT_REFUSED_ORDER, 4, NULL },
      { 5.2, EVENT_REFUSED_ORDER, 4, NULL },
      { 5.3, EVENT_REFUSED_ORDER, 4, NULL },
      { 5.4, EVENT_REFUSED_ORDER, 4, NULL } },
    "orders go on with the fencing token 4" },
  { "orders with other tokens and within the lease during a fault",
    { { 1, EVENT_FAULT, 9, NULL },
      { 4, EVENT_REFUSED_ORDER, 4, NULL },
      { 4.1, EVENT_REFUSED_ORDER, 4, NULL },
      { 4.2, EVENT_REFUSED_ORDER, 4, NULL },
      { 4.3, EVENT_REFUSED_ORDER, 4, NULL },
      { 5.1, EVENT_REFUSED_ORDER, 4, NULL },
      { 5.2, EVENT_REFUSED_ORDER, 5, NULL },
      { 5.3, EVENT_REFUSED_ORDER, 4, NULL },
      { 5.4, EVENT_REFUSED_ORDER, 4, NULL } },
    NULL },
  { "a key before the one that a daemon knew",
    { { 1, EVENT_CONFIG_CHANGE, 7, NULL },
      { 1.5, EVENT_CONFIG_CHANGE, 8, NULL },
      { 2, EVENT_FAULT, 9, NULL },
      { 2.1, EVENT_REQUEST, 8, "b1" },
      { 2.2, EVENT_RUN_BEGIN, 0, "b1" },
      { 2.2, EVENT_ANSWER, 200, "b1" },
      { 3, EVENT_REQUEST, 7, "b2" },
      { 3.1, EVENT_RUN_BEGIN, 0, "b2" },
      { 3.2, EVENT_ANSWER, 200, "b2" } },
    "b2 ran with an older key after b1 had run" },
  { "a key before the one that another daemon knew",
    { { 1, EVENT_CONFIG_CHANGE, 7, NULL },
      { 1.5, EVENT_CONFIG_CHANGE, 8, NULL },
      { 2, EVENT_FAULT, 9, NULL },
      { 2.1, EVENT_REQUEST, 8, "b1" },
      { 2.2, EVENT_RUN_BEGIN, 0, "b1" },
      { 2.2, EVENT_ANSWER, 200, "b1" },
      { 2.5, EVENT_NEXT_DAEMON, 0, NULL },
      { 3, EVENT_REQUEST, 7, "b2" },
      { 3.1, EVENT_RUN_BEGIN, 0, "b2" },
      { 3.2, EVENT_ANSWER, 200, "b2" } },
    NULL },
  { "a daemon forgets a removal that the store has lost",
    { { 1, EVENT_FAULT, 30, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 8, EVENT_RESTORE, 35, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    "b1 ran with a key that was removed" },
  { "a daemon forgets a removal that the store still has",
    { { 1, EVENT_FAULT, 30, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 8, EVENT_RESTORE, 10, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    "b1 ran with a key that was removed" },
  { "a daemon reads on at an offset that was given out again",
    { { 1, EVENT_FAULT, 30, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 5.5, EVENT_RESTORE, 20, NULL },
      { 5.6, EVENT_CONFIG_CHANGE, 0, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    "b1 ran with a key that was removed" },
  { "a daemon starts after a loss and another one knew",
    { { 1, EVENT_FAULT, 30, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 8, EVENT_RESTORE, 35, NULL },
      { 8.1, EVENT_RESTART, 0, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    "b1 ran with a key that was removed" },
  { "all daemons start after a loss",
    { { 1, EVENT_FAULT, 30, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 8, EVENT_RESTORE, 35, NULL },
      { 8.1, EVENT_RESTART, 0, NULL },
      { 8.2, EVENT_OTHER_RESTARTS, 0, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    NULL },
  { "all daemons started, and the loss was made good long ago",
    { { 1, EVENT_FAULT, 30, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 8, EVENT_RESTORE, 35, NULL },
      { 8.1, EVENT_RESTART, 0, NULL },
      { 8.2, EVENT_OTHER_RESTARTS, 0, NULL },
      { 8.5, EVENT_WRITTEN_AGAIN, 0, NULL },
      { 14, EVENT_REQUEST, 7, "b1" },
      { 14, EVENT_RUN_BEGIN, 0, "b1" },
      { 14, EVENT_ANSWER, 200, "b1" } },
    "b1 ran with a key that was removed" },
  { "all daemons started, and the loss was made good just now",
    { { 1, EVENT_FAULT, 30, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 8, EVENT_RESTORE, 35, NULL },
      { 8.1, EVENT_RESTART, 0, NULL },
      { 8.2, EVENT_OTHER_RESTARTS, 0, NULL },
      { 9, EVENT_WRITTEN_AGAIN, 0, NULL },
      { 13, EVENT_REQUEST, 7, "b1" },
      { 13, EVENT_RUN_BEGIN, 0, "b1" },
      { 13, EVENT_ANSWER, 200, "b1" } },
    NULL },
  { "a daemon starts while the one that knew is frozen",
    { { 1, EVENT_FAULT, 30, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 7.5, EVENT_OTHER_FREEZES, 2, NULL },
      { 8, EVENT_RESTORE, 35, NULL },
      { 8.1, EVENT_RESTART, 0, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    NULL },
  { "a daemon starts and the one that knew was frozen long before",
    { { 1, EVENT_FAULT, 30, NULL },
      { 0.2, EVENT_OTHER_FREEZES, 1, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 9, EVENT_RESTORE, 45, NULL },
      { 9.1, EVENT_RESTART, 0, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    "b1 ran with a key that was removed" },
  { "a daemon starts and the other one was cut off before the loss",
    { { 1, EVENT_FAULT, 30, NULL },
      { 4, EVENT_OTHER_CUT_OFF, 4, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 8, EVENT_RESTORE, 35, NULL },
      { 8.1, EVENT_RESTART, 0, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    NULL },
  { "a daemon that starts after a loss is cut off",
    { { 1, EVENT_FAULT, 30, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 8, EVENT_RESTORE, 35, NULL },
      { 8.1, EVENT_RESTART, 0, NULL },
      { 8.2, EVENT_CUT_OFF, 1, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    NULL },
  { "a daemon that knew is cut off after a loss",
    { { 1, EVENT_FAULT, 30, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 8, EVENT_RESTORE, 35, NULL },
      { 8.2, EVENT_CUT_OFF, 1, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    "b1 ran with a key that was removed" },
  { "a daemon starts before the one that knew has joined again",
    { { 1, EVENT_FAULT, 30, NULL },
      { 2, EVENT_OTHER_RESTARTS, 0, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 8, EVENT_RESTORE, 35, NULL },
      { 8.1, EVENT_RESTART, 0, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    NULL },
  { "a daemon starts after the one that knew has joined again",
    { { 1, EVENT_FAULT, 30, NULL },
      { 2, EVENT_OTHER_RESTARTS, 0, NULL },
      { 4, EVENT_CONFIG_CHANGE, 7, NULL },
      { 5, EVENT_CONFIG_CHANGE, 0, NULL },
      { 8, EVENT_RESTORE, 35, NULL },
      { 10.5, EVENT_RESTART, 0, NULL },
      { 11, EVENT_REQUEST, 7, "b1" },
      { 11, EVENT_RUN_BEGIN, 0, "b1" },
      { 11, EVENT_ANSWER, 200, "b1" } },
    "b1 ran with a key that was removed" },
  { "an endpoint that left comes back after a restore",
    { { 4, EVENT_REMOVAL, 0, NULL },
      { 7, EVENT_RESTORE, 35, NULL },
      { 8, EVENT_REQUEST, 0, "d2" },
      { 8.1, EVENT_ARRIVAL, 3, "d2" },
      { 8.2, EVENT_ANSWER, 200, "d2" } },
    "d2 reached endpoint 3, which had left" },
  { "a new instance of an endpoint that left",
    { { 4, EVENT_REMOVAL, 0, NULL },
      { 7, EVENT_RESTORE, 35, NULL },
      { 7.5, EVENT_REPLACE, 0, NULL },
      { 8, EVENT_REQUEST, 0, "d2" },
      { 8.1, EVENT_ARRIVAL, 3, "d2" },
      { 8.2, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "an endpoint left before the daemon started",
    { { 4, EVENT_REMOVAL, 0, NULL },
      { 5, EVENT_RESTART, 0, NULL },
      { 7, EVENT_RESTORE, 35, NULL },
      { 8, EVENT_REQUEST, 0, "d2" },
      { 8.1, EVENT_ARRIVAL, 3, "d2" },
      { 8.2, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "an endpoint left while the daemon was cut off",
    { { 4, EVENT_REMOVAL, 0, NULL },
      { 5, EVENT_CUT_OFF, 2, NULL },
      { 7, EVENT_RESTORE, 35, NULL },
      { 8, EVENT_REQUEST, 0, "d2" },
      { 8.1, EVENT_ARRIVAL, 3, "d2" },
      { 8.2, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "an endpoint left shortly after a restore",
    { { 4, EVENT_REMOVAL, 0, NULL },
      { 5, EVENT_RESTORE, 5, NULL },
      { 8, EVENT_REQUEST, 0, "d2" },
      { 8.1, EVENT_ARRIVAL, 3, "d2" },
      { 8.2, EVENT_ANSWER, 200, "d2" } },
    NULL },
  { "too many retries",
    { { 1, EVENT_REQUEST, 0, "l1" },
      { 1, EVENT_ARRIVAL, 0, "l1" },
      { 1.1, EVENT_ARRIVAL, 0, "l1" },
      { 1.2, EVENT_ARRIVAL, 0, "l1" },
      { 1.3, EVENT_ARRIVAL, 0, "l1" },
      { 1.4, EVENT_ANSWER, 502, "l1" } },
    "3 retries for 1 requests" },
  { "retries in different windows",
    { { 1, EVENT_REQUEST, 0, "l1" },
      { 1, EVENT_ARRIVAL, 0, "l1" },
      { 1.1, EVENT_ARRIVAL, 0, "l1" },
      { 1.2, EVENT_ARRIVAL, 0, "l1" },
      { 1.4, EVENT_ANSWER, 502, "l1" },
      { 21, EVENT_REQUEST, 0, "l2" },
      { 21, EVENT_ARRIVAL, 0, "l2" },
      { 21.3, EVENT_ARRIVAL, 0, "l2" },
      { 21.4, EVENT_ANSWER, 502, "l2" } },
    NULL },
  { "many requests reach engines that a part of them has crashed",
    { { 1, EVENT_CRASHED, 0, NULL },
      { 2.2, EVENT_REQUEST, 0, "p1" },
      { 2.3, EVENT_ARRIVAL, 0, "p1" },
      { 2.4, EVENT_ANSWER, 502, "p1" },
      { 2.5, EVENT_REQUEST, 0, "p2" },
      { 2.6, EVENT_ARRIVAL, 1, "p2" },
      { 2.7, EVENT_ANSWER, 502, "p2" },
      { 2.8, EVENT_REQUEST, 0, "p3" },
      { 2.9, EVENT_ARRIVAL, 2, "p3" },
      { 3.0, EVENT_ANSWER, 502, "p3" },
      { 3.1, EVENT_REQUEST, 0, "p4" },
      { 3.2, EVENT_ARRIVAL, 3, "p4" },
      { 3.3, EVENT_ANSWER, 502, "p4" } },
    "4 requests with the harm 1 reached endpoints" },
  { "requests reach engines before daemons must know the part",
    { { 1, EVENT_CRASHED, 0, NULL },
      { 1.2, EVENT_REQUEST, 0, "p1" },
      { 1.3, EVENT_ARRIVAL, 0, "p1" },
      { 1.4, EVENT_ANSWER, 502, "p1" },
      { 1.5, EVENT_REQUEST, 0, "p2" },
      { 1.6, EVENT_ARRIVAL, 1, "p2" },
      { 1.7, EVENT_ANSWER, 502, "p2" },
      { 1.8, EVENT_REQUEST, 0, "p3" },
      { 1.9, EVENT_ARRIVAL, 2, "p3" },
      { 2.0, EVENT_ANSWER, 502, "p3" },
      { 2.1, EVENT_REQUEST, 0, "p4" },
      { 2.2, EVENT_ARRIVAL, 3, "p4" },
      { 2.3, EVENT_ANSWER, 502, "p4" } },
    NULL },
  { "a daemon that is cut off doesn't know the part",
    { { 1, EVENT_CRASHED, 0, NULL },
      { 1.2, EVENT_CUT_OFF, 4, NULL },
      { 2.2, EVENT_REQUEST, 0, "p1" },
      { 2.3, EVENT_ARRIVAL, 0, "p1" },
      { 2.4, EVENT_ANSWER, 502, "p1" },
      { 2.5, EVENT_REQUEST, 0, "p2" },
      { 2.6, EVENT_ARRIVAL, 1, "p2" },
      { 2.7, EVENT_ANSWER, 502, "p2" },
      { 2.8, EVENT_REQUEST, 0, "p3" },
      { 2.9, EVENT_ARRIVAL, 2, "p3" },
      { 3.0, EVENT_ANSWER, 502, "p3" },
      { 3.1, EVENT_REQUEST, 0, "p4" },
      { 3.2, EVENT_ARRIVAL, 3, "p4" },
      { 3.3, EVENT_ANSWER, 502, "p4" } },
    NULL },
  { "a request is refused after the recovery",
    { { 1, EVENT_FAULT, 1, NULL },
      { 5, EVENT_RECOVERED, 0, NULL },
      { 6, EVENT_REQUEST, 0, "b1" },
      { 6.1, EVENT_ANSWER, 503, "b1" } },
    "b1 wasn't served after the last fault" },
};

/* The record of a run, and which daemon, process and instances the next steps
   concern. */
struct run
{
  struct srd_record *record;
  uint32_t daemon;
  uint32_t start_number;
  int64_t started_us;
  uint32_t instance;
};

/* Records STEP, an event of REQUEST other than its start.  */
static void
record_request_event (const struct run *run, const struct step *step,
                      struct srd_request *request, int64_t now_us)
{
  struct srd_record *record = run->record;
  bool leaving = step->event == EVENT_LEAVING_ANSWER;
  const struct srd_answer answer = {
    .endpoint = leaving ? step->value : ENDPOINT,
    .instance = run->instance,
    .leaving = leaving,
    .at_us = now_us,
    .turn_away_us = leaving ? 0 : step->value * S_US / 10,
  };
  switch (step->event)
    {
    case EVENT_ARRIVAL:
      srd_add_arrival (record, step->id, step->value, run->instance, now_us);
      break;
    case EVENT_LEAVING_ANSWER:
    case EVENT_TURNED_AWAY:
      srd_add_answer (record, step->id, &answer);
      break;
    case EVENT_PASSED_ON:
      srd_pass_on (record, request, now_us);
      break;
    case EVENT_SENT_BY:
      request->sender = step->value;
      break;
    case EVENT_RUN_BEGIN:
      srd_begin_run (record, step->id, now_us);
      break;
    case EVENT_RUN_END:
      srd_end_run (record, step->id, now_us);
      break;
    case EVENT_CALLER_LEFT:
      request->caller_left_us = now_us;
      break;
    case EVENT_ANSWER:
    case EVENT_WRONG_ANSWER:
    case EVENT_CONNECTION_CLOSED:
      request->status = step->value;
      request->complete = step->event != EVENT_CONNECTION_CLOSED;
      request->correct = step->event == EVENT_ANSWER;
      request->ended_us = now_us;
      break;
    default:
      break;
    }
}

static void
add_request (const struct run *run, const struct step *step, int64_t now_us)
{
  struct srd_request *request = srd_add_request (run->record, step->id);
  request->daemon = run->daemon;
  request->sender = run->daemon;
  request->start_number = run->start_number;
  request->daemon_started_us = run->started_us;
  request->kind = step->id[0] == 'b'   ? SRD_BOOK
                  : step->id[0] == 'l' ? SRD_LOOK
                                       : SRD_DRAFT;
  request->key = step->value;
  request->harm = step->id[0] == 'p';
  request->sent_us = now_us;
  request->deadline_us = now_us + 5 * S_US;
}

/* Records that DAEMON was frozen, or was cut off from the store, between
   BEGIN_US and END_US.  */
static void
record_disturbance (struct srd_record *record, uint32_t daemon, bool frozen,
                    int64_t begin_us, int64_t end_us)
{
  if (frozen)
    {
      srd_end_interruption (
          record, srd_begin_interruption (record, daemon, SRD_ALL, begin_us),
          end_us);
      return;
    }
  srd_end_outage (record, srd_begin_outage (record, daemon, begin_us), end_us);
}

/* Records STEP, which concerns the store or another daemon.  */
static void
record_store_step (const struct run *run, const struct step *step,
                   int64_t now_us)
{
  struct srd_record *record = run->record;
  const struct srd_restore restore = {
    .copied_us = now_us - step->value * S_US / 10,
    .at_us = now_us,
    .written_us = SRD_NEVER,
  };
  const struct srd_harm harm
      = { .number = 1, .begin_us = now_us, .crashed_us = now_us };
  const struct srd_removal removal = { .endpoint = ENDPOINT,
                                       .instance = run->instance,
                                       .acked_us = now_us };
  bool own = step->event == EVENT_CUT_OFF;
  switch (step->event)
    {
    case EVENT_CUT_OFF:
    case EVENT_OTHER_CUT_OFF:
    case EVENT_OTHER_FREEZES:
      record_disturbance (record, own ? run->daemon : run->daemon + 1,
                          step->event == EVENT_OTHER_FREEZES, now_us,
                          now_us + step->value * S_US);
      break;
    case EVENT_OTHER_RESTARTS:
      srd_end_process (record, run->daemon + 1, now_us);
      srd_begin_process (record, run->daemon + 1, 2, now_us);
      break;
    case EVENT_REMOVAL:
      g_array_append_val (record->removals, removal);
      break;
    case EVENT_CRASHED:
      g_array_append_val (record->harms, harm);
      break;
    case EVENT_RESTORE:
      g_array_append_val (record->restores, restore);
      break;
    case EVENT_WRITTEN_AGAIN:
      for (guint i = 0; i < record->restores->len; i++)
        {
          g_array_index (record->restores, struct srd_restore, i).written_us
              = now_us;
        }
      break;
    default:
      break;
    }
}

static void
record_step (struct run *run, const struct step *step)
{
  struct srd_record *record = run->record;
  int64_t now_us = (int64_t)(step->at_s * S_US);
  struct srd_change change = { .version = record->changes->len + 1,
                               .extra_key = step->value,
                               .acked_us = now_us };
  struct srd_drain drain
      = { .endpoint = step->value, .acked_us = now_us, .ended_us = SRD_NEVER };
  struct srd_order order = { .endpoint = ENDPOINT,
                             .fence = step->value,
                             .refused = step->event == EVENT_REFUSED_ORDER,
                             .at_us = now_us };
  bool freeze = step->event == EVENT_FREEZE;
  switch (step->event)
    {
    case EVENT_REQUEST:
      add_request (run, step, now_us);
      break;
    case EVENT_CONFIG_CHANGE:
      g_array_append_val (record->changes, change);
      break;
    case EVENT_DRAIN:
      g_array_append_val (record->drains, drain);
      break;
    case EVENT_ORDER:
    case EVENT_REFUSED_ORDER:
      g_array_append_val (record->orders, order);
      break;
    case EVENT_FREEZE:
    case EVENT_CUT:
      srd_end_interruption (
          record,
          srd_begin_interruption (record, freeze ? run->daemon : SRD_ALL,
                                  freeze ? SRD_ALL : ENDPOINT, now_us),
          now_us + step->value * S_US);
      break;
    case EVENT_RESTART:
      run->start_number++;
      run->started_us = now_us;
      srd_end_process (record, run->daemon, now_us);
      srd_begin_process (record, run->daemon, run->start_number, now_us);
      break;
    case EVENT_REPLACE:
      run->instance++;
      break;
    case EVENT_NEXT_DAEMON:
      run->daemon++;
      break;
    case EVENT_FAULT:
      srd_end_fault (record, srd_begin_fault (record, now_us),
                     now_us + step->value * S_US);
      break;
    case EVENT_RECOVERED:
      record->recovered_us = now_us;
      break;
    case EVENT_END:
      record->ended_us = now_us;
      break;
    case EVENT_CUT_OFF:
    case EVENT_OTHER_FREEZES:
    case EVENT_OTHER_CUT_OFF:
    case EVENT_OTHER_RESTARTS:
    case EVENT_REMOVAL:
    case EVENT_CRASHED:
    case EVENT_RESTORE:
    case EVENT_WRITTEN_AGAIN:
      record_store_step (run, step, now_us);
      break;
    default:
      if (step->id != NULL)
        {
          record_request_event (run, step,
                                g_hash_table_lookup (record->by_id, step->id),
                                now_us);
        }
      break;
    }
}

static void
test_violations (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct srd_record *record = srd_create ();
      struct run run = { .record = record, .start_number = 1 };
      for (uint32_t daemon = 0; daemon < DAEMONS; daemon++)
        {
          srd_begin_process (record, daemon, 1, 0);
        }
      for (size_t n = 0; n < STEPS_MAX; n++)
        {
          record_step (&run, &cases[i].steps[n]);
        }
      GPtrArray *violations = sjd_check (record, &bounds);
      const char *got
          = violations->len == 0 ? NULL : g_ptr_array_index (violations, 0);
      bool as_expected
          = cases[i].expected == NULL
                ? got == NULL
                : got != NULL && g_str_has_prefix (got, cases[i].expected);
      if (!as_expected || violations->len > 1)
        {
          fail_msg ("%s: %u violations, %s", cases[i].name, violations->len,
                    got);
        }
      g_ptr_array_free (violations, TRUE);
      srd_destroy (record);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_violations) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
