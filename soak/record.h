/* The record of a soak run: the requests, with what their callers and the
   endpoints observed, orders, the published configurations, the drained and
   removed endpoints, the daemons' processes, and the injected faults, each
   list in order of time.  The judge checks it after the run.  All times are of
   the monotonic clock. */
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
  uint32_t harm;   /* number of what crashes the endpoints that run it; 0: none
                    */
  uint32_t daemon; /* index of the daemon that the request was sent to */
  uint32_t start_number;     /* of the daemon's process, from 1 */
  int64_t daemon_started_us; /* start of that process */
  uint32_t sender; /* index of the daemon that sent it to endpoints: another
                      one if that daemon passed it on */
  uint32_t status; /* HTTP status of the answer; 0: no answer */
  bool complete;   /* the answer is complete by its framing */
  bool correct;    /* the body is the one expected of this request */
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
  guint answer;            /* index of its last answer in the record, + 1; 0:
                              that answer states nothing of its endpoint */
};

/* The arrival of a request at an endpoint. */
struct srd_arrival
{
  const struct srd_request *request;
  uint32_t endpoint; /* index */
  uint32_t instance; /* of the endpoint, from 0 */
  uint32_t number;   /* among the request's arrivals, from 1 */
  int64_t at_us;
};

/* An endpoint's answer that states something of the endpoint. */
struct srd_answer
{
  const struct srd_request *request;
  uint32_t endpoint; /* index */
  uint32_t instance;
  bool leaving;         /* the endpoint leaves */
  int64_t at_us;        /* when the endpoint answered */
  int64_t turn_away_us; /* how long it wants no requests; 0: not stated */
  int64_t passed_on_us; /* when the caller got it; SRD_NEVER: it didn't */
};

/* An order of a daemon to an engine. */
struct srd_order
{
  uint32_t endpoint; /* index */
  uint32_t instance;
  uint64_t fence; /* fencing token */
  bool refused;   /* the engine had seen a higher token */
  int64_t at_us;
};

/* The publication of a configuration. */
struct srd_change
{
  uint64_t version;
  uint32_t extra_key; /* index of the key besides the permanent one; 0: none */
  int64_t acked_us;   /* when the store acknowledged the publication */
};

/* A restore of the store from an older copy. */
struct srd_restore
{
  int64_t copied_us;  /* what was written later is lost */
  int64_t at_us;      /* of the restore */
  int64_t written_us; /* when what was lost was written again */
};

/* A process of a daemon. */
struct srd_process
{
  uint32_t daemon;       /* index */
  uint32_t start_number; /* among the daemon's processes, from 1 */
  int64_t started_us;
  int64_t ended_us; /* when it was told to stop, was killed or exited */
};

/* The removal of an endpoint from the list; the endpoint goes on running and
   isn't listed again. */
struct srd_removal
{
  uint32_t endpoint; /* index */
  uint32_t instance;
  int64_t acked_us; /* when the store acknowledged it */
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

/* Stands for all daemons or all endpoints. */
#define SRD_ALL UINT32_MAX

/* An interval during which a daemon was frozen, or its connections to an
   endpoint were disturbed. */
struct srd_interruption
{
  uint32_t daemon;   /* index, or SRD_ALL */
  uint32_t endpoint; /* index, or SRD_ALL */
  int64_t begin_us;
  int64_t end_us;
};

/* An interval during which a daemon couldn't rely on the store: the store
   failed, or the way to it did. */
struct srd_outage
{
  uint32_t daemon; /* index, or SRD_ALL */
  int64_t begin_us;
  int64_t end_us;
};

/* What crashes the endpoints that run requests with it: a part of prompts, or
   a repeated request. */
struct srd_harm
{
  uint32_t number;
  int64_t begin_us;   /* requests with it were sent from then on */
  int64_t crashed_us; /* when it had crashed as many endpoints as daemons must
                         learn from */
};

struct srd_record
{
  GPtrArray *requests;   /* struct srd_request */
  GHashTable *by_id;     /* id of a request -> its srd_request */
  GArray *arrivals;      /* struct srd_arrival */
  GArray *answers;       /* struct srd_answer */
  GArray *orders;        /* struct srd_order */
  GArray *interruptions; /* struct srd_interruption */
  GArray *changes;       /* struct srd_change */
  GArray *drains;        /* struct srd_drain */
  GArray *faults;        /* struct srd_fault */
  GArray *restores;      /* struct srd_restore */
  GArray *processes;     /* struct srd_process */
  GArray *removals;      /* struct srd_removal */
  GArray *outages;       /* struct srd_outage */
  GArray *harms;         /* struct srd_harm */
  int64_t recovered_us;  /* requests sent from then on must all be served */
  int64_t ended_us;      /* nothing was observed from then on */
};

char *srd_harm_text (uint32_t number);
struct srd_record *srd_create (void);
void srd_destroy (struct srd_record *record);
struct srd_request *srd_add_request (struct srd_record *record,
                                     const char *id);
char *srd_describe_request (const struct srd_record *record, const char *id);
void srd_add_arrival (struct srd_record *record, const char *id,
                      uint32_t endpoint, uint32_t instance, int64_t now_us);
void srd_add_answer (struct srd_record *record, const char *id,
                     const struct srd_answer *answer);
void srd_pass_on (struct srd_record *record, const struct srd_request *request,
                  int64_t now_us);
guint srd_begin_interruption (struct srd_record *record, uint32_t daemon,
                              uint32_t endpoint, int64_t now_us);
void srd_end_interruption (struct srd_record *record, guint interruption,
                           int64_t now_us);
guint srd_begin_outage (struct srd_record *record, uint32_t daemon,
                        int64_t now_us);
void srd_end_outage (struct srd_record *record, guint outage, int64_t now_us);
void srd_begin_process (struct srd_record *record, uint32_t daemon,
                        uint32_t start_number, int64_t now_us);
void srd_end_process (struct srd_record *record, uint32_t daemon,
                      int64_t now_us);
const struct srd_process *srd_find_process (const struct srd_record *record,
                                            uint32_t daemon, int64_t at_us);
void srd_begin_run (struct srd_record *record, const char *id, int64_t now_us);
void srd_end_run (struct srd_record *record, const char *id, int64_t now_us);
guint srd_begin_fault (struct srd_record *record, int64_t now_us);
void srd_end_fault (struct srd_record *record, guint fault, int64_t now_us);

#endif
