/* What the callers and endpoints of a soak have seen, in the order in which it
   happened; the judge reads it. */
#ifndef SOAK_RECORD_H
#define SOAK_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define SRD_ID_BYTES 24

/* Of things that haven't happened. */
#define SRD_NEVER INT64_MAX

enum srd_kind
{
  SRD_DRAFT, /* a stream that may be resumed */
  SRD_BOOK,  /* may run once */
  SRD_LOOK,  /* may run again */
  SRD_KINDS
};

/* One request of a caller. */
struct srd_request
{
  char id[SRD_ID_BYTES];
  enum srd_kind kind;
  uint32_t key;    /* 0: the one that the account always has */
  uint32_t daemon; /* that it was sent to */
  uint32_t start;  /* of this daemon, from 1 */
  uint32_t status; /* of the answer; 0: none */
  bool complete;   /* the answer is whole by its framing */
  bool right;      /* it is the answer to this request, all of it */
  int64_t sent_us;
  int64_t deadline_us;
  int64_t ended_us; /* the answer, or the end of the connection */
  int64_t left_us;  /* the caller closed the connection */
  uint32_t arrivals;
  uint32_t runs;
  uint32_t at_work; /* endpoints */
  int64_t first_run_us;
  int64_t last_arrival_us;
  int64_t rested_us; /* when the last endpoint stopped working on it */
};

/* A request reached an endpoint. */
struct srd_arrival
{
  const struct srd_request *request;
  uint32_t endpoint;
  uint32_t number; /* of the request's arrivals, from 1 */
  int64_t at_us;
};

/* A configuration was published. */
struct srd_change
{
  uint64_t version;
  uint32_t extra_key; /* beside the permanent one; 0: none */
  int64_t acked_us;
};

/* An endpoint was listed as leaving. */
struct srd_leaving
{
  uint32_t endpoint;
  int64_t acked_us;
  int64_t gone_us; /* it ended, and may come back as another one */
};

/* Something was wrong outside the daemons, or one of them was killed or
   paused. */
struct srd_trouble
{
  int64_t begin_us;
  int64_t end_us;
};

struct srd_record
{
  GPtrArray *requests; /* struct srd_request */
  GHashTable *by_id;
  GArray *arrivals;   /* struct srd_arrival */
  GArray *changes;    /* struct srd_change */
  GArray *leavings;   /* struct srd_leaving */
  GArray *troubles;   /* struct srd_trouble */
  int64_t settled_us; /* from here on everything must be served */
};

struct srd_record *srd_create (void);
void srd_destroy (struct srd_record *record);
struct srd_request *srd_add_request (struct srd_record *record,
                                     const char *id);
void srd_arrived (struct srd_record *record, const char *id, uint32_t endpoint,
                  int64_t now_us);
void srd_runs (struct srd_record *record, const char *id, int64_t now_us);
void srd_rests (struct srd_record *record, const char *id, int64_t now_us);
guint srd_begin_trouble (struct srd_record *record, int64_t now_us);
void srd_end_trouble (struct srd_record *record, guint trouble,
                      int64_t now_us);

#endif
