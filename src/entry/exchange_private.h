/* What the files of an exchange share. */
#ifndef ENTRY_EXCHANGE_PRIVATE_H
#define ENTRY_EXCHANGE_PRIVATE_H

#include "core/attempt.h"
#include "entry/exchange.h"
#include "net/event_scan.h"

#define EXG_ID_BYTES 64

struct exchange
{
  struct trf_traffic *traffic;
  struct nsv_connection *caller; /* NULL once it is answered or gone */
  struct flt_config *config;     /* the route is part of it */
  const struct flt_route *route;
  const struct flt_account *account; /* NULL: a public route */
  char *service;                     /* name */
  char id[EXG_ID_BYTES];
  GString *head;    /* the request's start line and headers that stay */
  GByteArray *body; /* of the request */
  bool has_body;
  double tokens;        /* memory that it needs in an engine */
  double output_tokens; /* that it may write at most; 0: no stream */
  int64_t arrived_us;
  int64_t deadline_us;
  uv_timer_t timer;

  /* The attempt under way. */
  struct ncl_exchange *attempt;
  struct fst_endpoint *endpoint; /* the request was sent to it */
  struct fst_path *path;         /* NULL for plain services */
  uint32_t status;
  int64_t sent_us;
  double pause_us;   /* moving average between events; 0: none */
  int64_t heard_us;  /* last bytes of the answer */
  bool not_executed; /* the endpoint says so */
  bool is_stream;
  bool ends_with_connection; /* nothing tells a whole answer from a torn one */
  char *at_fault;            /* address of the engine that failed */
  GString *answer_head;
  GByteArray *answer;

  /* All attempts. */
  GPtrArray *tried; /* struct fst_endpoint, references */
  uint32_t attempts;
  uint32_t sent;         /* ended ones that arrived or may have */
  uint32_t may_have_run; /* ended ones */
  struct evs_scanner scanner;
  bool answer_begun;
  bool answer_chunked; /* its end says that it is whole */
  int64_t first_event_us;
  int64_t delivered_us;     /* when the caller got the newest event */
  int64_t longest_pause_us; /* between events that the caller got */
};

extern const struct ncl_events exg_attempt_events;

void exg_answer_plainly (struct trf_traffic *traffic,
                         struct nsv_connection *caller, uint32_t status,
                         const char *id, double retry_after_s);
double exg_retry_after_s (void);
void exg_deliver_kept (struct exchange *exchange);
void exg_finish (struct exchange *exchange, uint32_t status,
                 const char *outcome);
uint32_t exg_service_index (const struct exchange *exchange);
void exg_describe (const struct exchange *exchange,
                   struct att_request *request);
void exg_attempt (struct exchange *exchange, enum att_end before);
void exg_end_attempt (struct exchange *exchange, enum att_end end);
void exg_blame (struct exchange *exchange, enum evd_proof proof,
                const char *reason);
void exg_watch (struct exchange *exchange);

#endif
