/* Internals of the load generator: calls, bookings, workers and statistics. */
#ifndef STANDIN_LOAD_PRIVATE_H
#define STANDIN_LOAD_PRIVATE_H

#include "standin/load.h"

#include <curl/curl.h>
#include <stdatomic.h>
#include <stdbool.h>

/* Sizes of strings with their terminating NUL. */
#define LT_ERROR_KIND_BYTES 32
#define LT_KEY_BYTES 64

/* Length of the windows in which the summary counts tokens. */
#define LT_WINDOW_US 100000

/* The types of call. */
enum lt_type
{
  LT_DRAFT,   /* a chat completion, answered as a stream */
  LT_BOOKING, /* a call with an idempotency key */
  LT_LOOKUP   /* a GET request without a key */
};

/* How a call ended. */
enum lt_outcome
{
  LT_WHOLE,       /* a complete and right answer */
  LT_WRONG,       /* not the answer that the model or service gives */
  LT_CUT,         /* the connection ended before the answer did */
  LT_FAILED,      /* an error event in the stream */
  LT_REFUSED,     /* an error status */
  LT_UNCONNECTED, /* no connection, so nothing was sent */
  LT_UNFINISHED,  /* still open when the load generator ended */
  LT_OUTCOMES     /* number of outcomes */
};

/* A booking with its idempotency key, over all its attempts. */
struct lt_booking
{
  char key[LT_KEY_BYTES]; /* idempotency key, and the slot that is booked */
  uint32_t account;
  uint32_t attempts;
  uint32_t open_calls; /* not answered yet */
  int64_t started_us;
  bool succeeded;         /* a call had the outcome LT_WHOLE */
  bool repeat_drawn;      /* draw_repeat was called */
  int64_t booking_number; /* returned by the service; 0: none yet */
};

/* One HTTP call. */
struct lt_call
{
  struct lt_worker *worker;
  CURL *curl;
  struct curl_slist *headers;
  enum lt_type type;
  uint32_t account; /* index in the options */
  uint32_t daemon;  /* index in the options */
  bool closed_loop; /* starts the next draft when this one ends */
  char *body;
  int64_t sent_us;
  GString *received; /* of a draft, what is not parsed yet; else the body */
  char request_id[LT_KEY_BYTES];
  char error_kind[LT_ERROR_KIND_BYTES]; /* "" without an error */
  char ran[LT_ERROR_KIND_BYTES]; /* whether the call took effect: "yes", "no",
                                    "unknown" or "unsent" */
  int64_t retry_after_us;        /* from the error body; 0: none */
  /* drafts */
  char *prompt;
  uint32_t max_tokens;
  GString *text; /* of the tokens so far */
  bool done;     /* the end event was received */
  uint32_t tokens;
  uint32_t measured_tokens;
  int64_t first_token_us; /* monotonic time; 0: no token yet */
  int64_t last_us;        /* monotonic time of the latest token */
  int64_t longest_gap_us; /* between two tokens */
  /* bookings */
  struct lt_booking *booking;
};

/* The measurements of one worker, or of all once merged. */
struct lt_stats
{
  GArray *first_token_us; /* int64_t, one for each draft */
  GArray *gap_us;         /* one for each pair of successive tokens */
  GArray *longest_gap_us; /* one for each draft */
  GArray *account_latency_us[LT_ACCOUNTS_MAX]; /* one for each whole draft */
  GArray *booking_latency_us; /* one for each successful booking */
  uint32_t *window_tokens;    /* tokens in each window */
  uint32_t window_count;
  uint64_t outcomes[LT_LOOKUP + 1][LT_OUTCOMES];
  uint64_t tokens;             /* in the measured time */
  uint64_t goodput_tokens;     /* those of whole answers */
  GHashTable *error_kinds;     /* kind to count */
  uint64_t abandoned_bookings; /* that never succeeded */
};

struct lt_balancer;

/* One thread with its own event queue and transfers. */
struct lt_worker
{
  const struct lt_options *options;
  struct lt_balancer *balancer;
  uint32_t index;
  GRand *random;
  CURLM *multi;
  GSequence *events; /* scheduled, by due time */
  GHashTable *calls; /* set of open struct lt_call */
  struct lt_stats *stats;
  int64_t start_us;         /* of the warm-up */
  int64_t measure_start_us; /* of the measured time */
  int64_t end_us;           /* of the measured time */
  uint32_t next_number;     /* in the keys and look-ups */
};

struct lt_balancer *lt_balancer_create (const struct lt_options *options);
void lt_balancer_destroy (struct lt_balancer *balancer);
uint32_t lt_balancer_pick (struct lt_balancer *balancer);

void lt_start_draft (struct lt_worker *worker, uint32_t account,
                     bool closed_loop);
void lt_finish_draft (struct lt_call *call, CURLcode result);
void lt_start_booking (struct lt_worker *worker);
void lt_retry_booking (struct lt_worker *worker, struct lt_booking *booking);
void lt_finish_booking (struct lt_call *call, CURLcode result);
void lt_start_lookup (struct lt_worker *worker);
void lt_finish_lookup (struct lt_call *call, CURLcode result);

struct lt_call *lt_call_create (struct lt_worker *worker, enum lt_type type,
                                uint32_t account);
void lt_call_send (struct lt_call *call, const char *path);
void lt_call_destroy (struct lt_call *call);
long lt_call_status (const struct lt_call *call);
void lt_call_read_error (struct lt_call *call, const char *text);
size_t lt_receive_events (char *data, size_t size, size_t count, void *user);

/* What a worker does when an event is due. */
enum lt_event_type
{
  LT_EVENT_DRAFT,      /* starts an open-loop draft */
  LT_EVENT_NEXT_DRAFT, /* starts a closed-loop draft */
  LT_EVENT_BOOKING,
  LT_EVENT_LOOKUP,
  LT_EVENT_RETRY /* sends a booking again */
};

void lt_schedule (struct lt_worker *worker, enum lt_event_type type,
                  int64_t due_us, uint32_t account,
                  struct lt_booking *booking);

struct lt_stats *lt_stats_create (uint32_t window_count);
void lt_stats_destroy (struct lt_stats *stats);
void lt_stats_merge (struct lt_stats *stats, const struct lt_stats *more);
void lt_stats_count_error (struct lt_stats *stats, const char *error_kind);
char *lt_stats_summary (const struct lt_stats *stats,
                        const struct lt_options *options, int64_t start_us);
const char *lt_outcome_name (enum lt_outcome outcome);

#endif
