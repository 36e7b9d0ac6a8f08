/* Admission control of a daemon that is shutting down.  During a rolling
   restart, callers keep arriving while few daemons are left.  A daemon that is
   shutting down accepts the requests that it can finish before it is killed,
   and rejects the others at once.

   How long a request takes is estimated from those that the daemon has seen.
   Requests in progress count with the time that they have taken so far, since
   those that have ended are the short ones while the daemon is young.  What
   isn't known is taken to last until the request's deadline. */
#ifndef CORE_STOPPING_H
#define CORE_STOPPING_H

#include <stdbool.h>
#include <stdint.h>

/* Requests that arrive within this time of the start of the shutdown are
   accepted whatever they take, unless the stop is short: the load balancer
   keeps sending requests until two of its readiness checks, one a second, have
   failed. */
#define SPN_ACCEPT_ALL_US 2800000

/* The times that a request has taken until now or until its end. */
struct spn_times
{
  bool is_stream;
  uint32_t events;        /* of a stream, so far */
  int64_t first_event_us; /* from the arrival to the first event, or until now
                             if none has come */
  int64_t run_us;         /* from the arrival */
};

/* Peaks of the times of like requests.  All zero: nothing was seen. */
struct spn_peaks
{
  double first_event_us; /* from a stream's arrival to its first event */
  double event_us;       /* a stream's mean time between two events */
  double call_us;        /* of requests that aren't streams */
  uint32_t streams;      /* seen with several events */
  uint32_t calls;        /* seen */
};

/* What was seen lately of like requests.  All zero at first.  Time is divided
   into windows (spn_advance); what was seen before the last two is
   forgotten. */
struct spn_history
{
  struct spn_peaks lately; /* in the current window and the one before */
  struct spn_peaks recent; /* in the current window alone */
  int64_t window_began_us; /* monotonic; 0: no window has begun */
};

/* What a request states of itself, and its route of it. */
struct spn_request
{
  bool is_stream;
  uint32_t events_max;       /* of a stream; 0: it states none */
  int64_t left_us;           /* until its deadline */
  int64_t target_latency_us; /* declared time to the first event; 0: none */
  int64_t target_gap_us;     /* declared time between two events; 0: none */
};

void spn_update_peak (double *peak_us, double run_us);
void spn_advance (struct spn_history *history, int64_t now_us,
                  int64_t window_us);
void spn_observe_success (struct spn_history *history,
                          const struct spn_times *times);
void spn_observe_partial (struct spn_history *history,
                          const struct spn_times *times);
int64_t spn_longest_us (const struct spn_history *history,
                        const struct spn_request *request);
bool spn_accepts (int64_t age_us, int64_t stop_us, int64_t longest_us,
                  int64_t left_us);

#endif
