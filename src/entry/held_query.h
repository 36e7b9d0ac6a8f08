/* Asks other daemons, one after another, for what they hold of a topic, since
   the store may have lost it in a restore. */
#ifndef ENTRY_HELD_QUERY_H
#define ENTRY_HELD_QUERY_H

#include "entry/relay.h"
#include "net/client.h"

struct hqr_events
{
  /* A daemon holds RECORD, whose offset belongs to ERA of the store. */
  void (*held) (void *context, const struct pfs_record *record, uint64_t era);
  /* Nobody else is asked; the query may be started again.  KNOWN: one of the
     daemons has a recent proof of what it holds. */
  void (*ended) (void *context, bool known);
};

struct hqr_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *topic;
  int64_t age_max_us; /* of a recent proof */
  const struct hqr_events *events;
  void *context;
};

/* Whom a query asks. */
struct hqr_question
{
  uint64_t era;               /* of the store, as this daemon knows it */
  const GPtrArray *addresses; /* of daemons, the last one is asked first */
  bool until_known; /* asks nobody else after a recent proof was found */
  int64_t until_us; /* monotonic; nobody is asked later */
};

struct hqr_query;

struct hqr_query *hqr_create (const struct hqr_params *params);
void hqr_destroy (struct hqr_query *query);
void hqr_start (struct hqr_query *query, const struct hqr_question *question);
void hqr_stop (struct hqr_query *query);
bool hqr_is_active (const struct hqr_query *query);

#endif
