/* The record of a soak run: the requests, with what their callers and the
   endpoints observed, the published configurations, the drained endpoints and
   the injected faults, each list in order of time.  The judge checks it after
   the run.  All times are of the monotonic clock. */
#ifndef SOAK_RECORD_H
#define SOAK_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SRD_ID_BYTES 24

/* The time of an event that hasn't happened. */
#define SRD_NEVER INT64_MAX

enum srd_kind
{
  SRD_DRAFT, /* a stream, which may be resumed on another engine */
  SRD_BOOK,  /* not idempotent: runs once at most */
  SRD_LOOK,  /* idempotent: may be retried */
  SRD_KINDS
};

/* A request of a caller. */
struct srd_request
{
  char id[SRD_ID_BYTES];
  enum srd_kind kind;
  uint32_t key;    /* index of the API key; 0: the account's permanent key */
  uint32_t daemon; /* index of the daemon that the request was sent to */
  uint32_t start_number; /* of the daemon's process, from 1 */
  uint32_t status;       /* HTTP status of the answer; 0: no answer */
  bool complete;         /* the answer is complete by its framing */
  bool correct;          /* the body is the one expected of this request */
  int64_t sent_us;
  int64_t deadline_us;
  int64_t ended_us; /* the answer was complete, or the connection closed */
  int64_t caller_left_us; /* the caller closed the connection early */
  uint32_t arrivals;      /* at any endpoint */
  uint32_t runs;          /* started on any endpoint */
  uint32_t active_runs;   /* endpoints that run the request now */
  int64_t first_run_us;
  int64_t last_arrival_us;
  int64_t last_run_end_us; /* 0: no run has ended */
};

/* The arrival of a request at an endpoint. */
struct srd_arrival
{
  const struct srd_request *request;
  uint32_t endpoint; /* index */
  uint32_t number;   /* among the request's arrivals, from 1 */
  int64_t at_us;
};

/* The publication of a configuration. */
struct srd_change
{
  uint64_t version;
  uint32_t extra_key; /* index of the key besides the permanent one; 0: none */
  int64_t acked_us;   /* when the store acknowledged the publication */
};

/* The drain of an endpoint. */
struct srd_drain
{
  uint32_t endpoint; /* index */
  int64_t acked_us;  /* when the endpoint was listed as leaving */
  int64_t ended_us;  /* the endpoint ended; a new one may take its index */
};

/* An interval during which the daemons' environment failed, or a daemon was
   killed or paused. */
struct srd_fault
{
  int64_t begin_us;
  int64_t end_us;
};

struct srd_record
{
  GPtrArray *requests;  /* struct srd_request */
  GHashTable *by_id;    /* id of a request -> its srd_request */
  GArray *arrivals;     /* struct srd_arrival */
  GArray *changes;      /* struct srd_change */
  GArray *drains;       /* struct srd_drain */
  GArray *faults;       /* struct srd_fault */
  int64_t recovered_us; /* requests sent from then on must all be served */
  int64_t ended_us;     /* nothing was observed from then on */
};

struct srd_record *srd_create (void);
void srd_destroy (struct srd_record *record);
struct srd_request *srd_add_request (struct srd_record *record,
                                     const char *id);
void srd_add_arrival (struct srd_record *record, const char *id,
                      uint32_t endpoint, int64_t now_us);
void srd_begin_run (struct srd_record *record, const char *id, int64_t now_us);
void srd_end_run (struct srd_record *record, const char *id, int64_t now_us);
guint srd_begin_fault (struct srd_record *record, int64_t now_us);
void srd_end_fault (struct srd_record *record, guint fault, int64_t now_us);

#endif
