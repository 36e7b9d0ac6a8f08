/* State and functions that the source files of exchanges share. */
#ifndef ENTRY_EXCHANGE_PRIVATE_H
#define ENTRY_EXCHANGE_PRIVATE_H

#include "core/attempt.h"
#include "entry/endpoint_choosing.h"
#include "entry/exchange.h"
#include "entry/path_choosing.h"
#include "entry/request_id.h"
#include "net/event_scan.h"

/* What the answer to a stream is expected to be.  All zero: the request isn't
   for engines. */
struct exg_cost
{
  struct cos_request stated; /* by the caller */
  struct cos_request used;   /* the part of it that is believed */
  uint32_t event_tokens;
  double prompt;         /* tokens */
  double before;         /* tokens of the answer that the caller had before */
  double expected;       /* tokens of the answer, on arrival */
  double claimed_output; /* tokens of the answer that a claim covers */
  bool is_claimed;       /* `tokens' holds that claim */
  bool is_over;          /* the answer has exceeded its first claim */
};

/* Points in time are monotonic. */
struct exchange
{
  const struct trf_request_events *request_events; /* first: see traffic.c */
  struct trf_traffic *traffic;
  struct nsv_connection *caller; /* NULL once it is answered or disconnected */
  struct flt_config *config; /* reference; owns the route and the account */
  const struct flt_route *route;
  const struct flt_account *account; /* NULL: the route is public */
  char *service;              /* name of the service that the route chose */
  char *id;                   /* as the caller sent it */
  char log_id[RQI_LOG_BYTES]; /* its form for the log */
  GString *head; /* start line and forwarded headers of the request */
  GBytes *body;  /* of the request */
  char *key;     /* the caller's API key; NULL: none */
  bool has_body;
  bool is_head;        /* the method: the answer has no body */
  bool is_passed;      /* another daemon has passed the request on */
  uint32_t ran_before; /* attempts in which it may have run there */

  char **traits;  /* names of what the request has in common with others, see
                     entry/quarantine.h */
  double tokens;  /* memory that the request claims in an engine */
  uint32_t rank;  /* rank index in its service, see core/precedence.h */
  bool came_back; /* less of its time is left than of a new request */
  bool is_ranked; /* the service has more than one rank */
  struct exg_cost cost;
  struct clt_class *call_class; /* reference; NULL: not for a plain service */
  int64_t arrived_us;
  int64_t deadline_us;
  uv_timer_t timer; /* for the next check, see exg_schedule_check */

  /* State of the current attempt. */
  struct ncl_exchange *attempt;  /* NULL: ended */
  struct fst_endpoint *endpoint; /* reference; the request is sent to it */
  struct fst_path *path;         /* NULL for plain services */
  uint32_t status;               /* of the answer; 0: none yet */
  bool is_resumed;       /* the attempt goes on with a stream that was begun */
  bool expects_no_queue; /* by the load of the fleet */
  struct epc_call call;  /* at the endpoint of a plain service */
  bool is_waiting;   /* for the first event on a path: `wait_link' is in use */
  bool not_executed; /* the endpoint states that it didn't run the request */
  bool turned_away;  /* the endpoint closed before or since it was sent the
                        request: that isn't a failed attempt there */
  bool misdirected; /* a neighbour refused the request since it can't reach the
                       endpoints either */
  bool failed_by_neighbour; /* its answer is that daemon's own */
  bool is_stream;
  bool ends_with_connection; /* neither a length nor chunks mark the end of the
                                answer, so a cut one looks complete */
  int64_t sent_us;
  GList wait_link;          /* in the engine's queue; its data is `sent_us' */
  int64_t first_written_us; /* when the first event of this attempt arrived; 0:
                               not yet */
  double event_interval_us; /* moving average of the time between events; 0:
                               none yet */
  double event_deviation_us; /* moving mean absolute deviation from it */
  int64_t last_received_us;  /* when the newest bytes of the answer arrived */
  int64_t progress_us;   /* when the newest events or the head arrived, or the
                            reading went on after a slow caller's pause */
  char *failed_address;  /* address of the failed engine as the endpoint stated
                            it, or NULL */
  GString *answer_head;  /* headers for the caller */
  GByteArray *answer;    /* the buffered body, or the events to deliver next */
  size_t buffered_bytes; /* of memory that a buffered body takes */

  /* State between attempts. */
  int64_t room_wait_end_us; /* when the next attempt is made without room; 0:
                               hasn't waited */
  int64_t opens_us; /* when the endpoint that the next attempt waits for opens;
                       0: it waits for room */
  enum att_end end_before_wait; /* of the previous attempt */
  bool waits_for_room; /* the next attempt waits for a path with room */
  bool owes_repeat;    /* and for a repeat of the retry budget */

  /* State over all attempts. */
  GPtrArray *tried_endpoints; /* references to struct fst_endpoint */
  uint32_t attempts;          /* started */
  uint32_t sent;         /* ended attempts whose request arrived or may have */
  uint32_t unsent;       /* attempts in a row that found no connection */
  uint32_t may_have_run; /* ended attempts in which the request may have run */
  bool has_repeat;       /* one was taken from the retry budget for an attempt
                            that hasn't reached an endpoint */
  uint32_t denials;      /* repeats and checks of a silent attempt that the
                            retry budget has denied */
  bool answer_begun;     /* the caller has the headers of a stream */
  bool proved_sound;     /* an endpoint has answered it without ending */
  bool is_trial;         /* the next attempt is made though the request has a
                            quarantined trait */
  double neighbour_wait_s; /* after which a neighbour wants its caller back; 0:
                              it doesn't say */
  bool neighbour_refused;  /* one that may be able to reach the endpoints */
  bool ran_elsewhere;      /* a neighbour may have run it as often as it may */
  bool served;             /* the answer is complete and a success */
  bool answer_chunked;     /* sent to the caller in chunks, whose end marks a
                              complete answer */
  struct evs_scanner scanner;
  uint32_t events;           /* delivered to the caller */
  int64_t first_event_us;    /* when the answer began; 0: not yet */
  int64_t last_delivered_us; /* when the newest event was sent to the caller */
  int64_t longest_gap_us;    /* longest between two deliveries to the caller */
};

extern const struct ncl_events exg_attempt_events;
extern const struct trf_request_events exg_events;

GPtrArray *exg_list (struct trf_traffic *traffic,
                     bool (*matches) (const struct exchange *,
                                      const struct fst_endpoint *),
                     const struct fst_endpoint *endpoint);
void exg_copy_head (const struct msg_message *request, const char *method,
                    GString *head);
bool exg_fits_neighbour (const struct exchange *exchange);
GString *exg_build_head (const struct exchange *exchange);
void exg_answer_without_body (struct trf_traffic *traffic,
                              struct nsv_connection *caller, uint32_t status,
                              const char *id, double retry_after_s);
double exg_retry_after_s (void);
void exg_count_answers (struct trf_traffic *traffic);
void exg_end_wait (struct exchange *exchange, bool answered);
bool exg_choose_path (struct exchange *exchange, struct pcs_result *result);
bool exg_path_has_dead_engine (const struct exchange *exchange);
bool exg_awaits_live_path (const struct exchange *exchange);
double exg_refuse_for_room (struct exchange *exchange,
                            const struct pcs_result *result);
void exg_observe_wait (struct exchange *exchange, int64_t wait_us,
                       bool answered);
void exg_observe_interval (struct exchange *exchange);
void exg_observe_end (struct exchange *exchange);
void exg_end_room_wait (struct exchange *exchange);
void exg_give_up_wait (struct exchange *exchange);
void exg_deliver_buffered (struct exchange *exchange);
void exg_finish (struct exchange *exchange, uint32_t status,
                 const char *outcome);
void exg_describe_times (const struct exchange *exchange,
                         struct spn_times *times);
struct spn_history *exg_history (struct trf_traffic *traffic,
                                 const struct flt_route *route,
                                 const char *service);
bool exg_is_written_safely (const struct exchange *exchange);
uint32_t exg_service_index (const struct exchange *exchange);
void exg_describe_request (const struct exchange *exchange,
                           struct att_request *request);
void exg_start_attempt (struct exchange *exchange, enum att_end before);
void exg_end_attempt (struct exchange *exchange, enum att_end end);
void exg_report_unanswered (struct exchange *exchange);
void exg_report_failure (struct exchange *exchange, enum evd_failure_kind kind,
                         const char *reason);
void exg_schedule_check (struct exchange *exchange);
void exg_start_cost (struct exchange *exchange,
                     const struct msg_message *request, const char *method,
                     const struct flt_service *service);
double exg_written_tokens (const struct exchange *exchange);
void exg_update_claim (struct exchange *exchange);
void exg_learn_cost (struct exchange *exchange);
void exg_begin_call (struct exchange *exchange);
void exg_end_call (struct exchange *exchange, enum epc_end end);

#endif
