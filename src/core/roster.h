/* The endpoints that may get requests, as the platform's list describes them.
   The list is a log whose records have offsets.

   An endpoint that leaves, as in a release or a scale-in, is marked so that it
   gets no new requests.  An endpoint that is missing from the list shortly
   after an outage of the list stays in use until the list had time to name it
   again.  The outage may have ended long before the answer that shows its end,
   and a daemon that was cut off alone may have missed a removal.  So the delay
   is also limited from the newest call that showed that the list was out of
   reach.  The list may be out of reach again before that is noticed, so a
   removal that is due waits for a recent proof of the list.

   After a restore of the list from an older copy, the list may name endpoints
   that have left since, and describe others as they were.  An endpoint that
   was removed stays so until it shows that it runs: by a new incarnation, by a
   record with a higher sequence number than any known one, or, where these
   numbers don't tell, by a record that it appends after the time in which lost
   records are written again.  A record with a lower sequence number than a
   known one of the same incarnation names the endpoint, but doesn't change
   what is known of it. */
#ifndef CORE_ROSTER_H
#define CORE_ROSTER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Time that the list takes after an outage to name running endpoints again, as
   the platform states it. */
#define RST_RELIST_US INT64_C (2000000)

/* Time of a delayed removal beyond that. */
#define RST_RELIST_MARGIN_US INT64_C (300000)

/* A delayed removal takes effect this long before the bound, so that requests
   that were sent before it arrive in time. */
#define RST_REMOVAL_MARGIN_US INT64_C (250000)

/* A range of consecutive layers. */
struct rst_layers
{
  uint32_t first;
  uint32_t end; /* one past the last layer; equal to `first' if empty */
};

/* An endpoint as it describes itself in its record.  Owns its strings. */
struct rst_endpoint
{
  char *id;
  char *service;
  char *address; /* IP:PORT */
  char *data_centre;
  char *kind;         /* of accelerator; NULL for services without engines */
  uint32_t slots;     /* requests that it runs at once */
  bool leaving;       /* shuts down, and gets no new requests */
  int64_t started_ms; /* start time of this incarnation; 0: unknown */
  uint64_t sequence;  /* of its record; rises with each; 0: unknown */
  struct rst_layers layers; /* held */
  bool busy;                /* carries out an order to load layers */
};

/* All endpoints in use, and what is known of removed ones. */
struct rst;

struct rst *rst_create (int64_t settle_us);
void rst_destroy (struct rst *roster);
void rst_endpoint_destroy (struct rst_endpoint *endpoint);
struct rst_endpoint *rst_endpoint_copy (const struct rst_endpoint *endpoint);
void rst_restored (struct rst *roster, uint64_t era, int64_t now_us);
bool rst_update (struct rst *roster, struct rst_endpoint *endpoint,
                 uint64_t offset, int64_t now_us);
bool rst_is_gone (struct rst *roster, const char *id);
bool rst_remove (struct rst *roster, const char *id, uint64_t offset,
                 int64_t now_us);
void rst_begin_full (struct rst *roster);
bool rst_end_full (struct rst *roster, uint64_t offset, int64_t now_us);
void rst_outage (struct rst *roster, int64_t away_us);
void rst_list_read (struct rst *roster, int64_t proved_us, int64_t now_us);
int64_t rst_next_removal_us (const struct rst *roster);
bool rst_expire (struct rst *roster, int64_t now_us, int64_t proof_age_us,
                 GPtrArray *removed);
GPtrArray *rst_list (struct rst *roster);

#endif
