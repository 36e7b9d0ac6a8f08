/* Relays what this daemon reads in the store to other daemons, so that only
   few daemons call the store.  Records that don't matter for routing aren't
   relayed.  Readers that ask for it also learn which endpoints said, to this
   daemon or to one that it learned from, that they leave. */
#ifndef ENTRY_RELAY_H
#define ENTRY_RELAY_H

#include "entry/verdicts.h"
#include "platform/store.h"

#include <uv.h>

/* What a reader states of departures that doesn't want any, and what one that
   knows none; any other value is from the head of a relay's page. */
#define RLY_NO_DEPARTURES 0
#define RLY_ALL_DEPARTURES 1

/* The lead of the proof in a page without any: older than every limit. */
#define RLY_NO_PROOF_US (-INT64_C (365) * 24 * 60 * 60 * 1000000)

/* Limit on the departures in a page; later pages have the rest. */
#define RLY_DEPARTURES_MAX 512

/* A request to a relay for a topic. */
struct rly_request
{
  const char *topic;
  uint64_t era;        /* of the store, to which `from' belongs; 0: unknown */
  uint64_t from;       /* changes from this offset on are asked for */
  uint32_t wait_ms;    /* for changes */
  uint32_t age_max_ms; /* of the relay's proof */
  bool whole;          /* asks for all that the relay holds, at once and
                          whatever its era and its proof are */
  uint64_t departures_mark; /* those that the reader knows */
};

struct rly_relay;

/* What a relay tells its readers about the group of all daemons. */
struct rly_hint
{
  uint32_t partitions; /* of the group's topic that its daemon owns */
  uint32_t readers;    /* daemons that read from it */
};

/* What a page of a relay tells beside its records. */
struct rly_head
{
  uint64_t era;          /* of the store, to which the offsets belong; 0:
                            unknown */
  bool whole;            /* the records are all that the topic has */
  int64_t proof_lead_us; /* from the arrival of the request at the relay to the
                            relay's proof; negative if the proof is older;
                            RLY_NO_PROOF_US without one */
  struct rly_hint hint;
  GPtrArray *departures;    /* struct dep_departure: endpoints that leave */
  uint64_t departures_mark; /* for the next request; 0: none */
};

struct rly_relay *rly_create (uv_loop_t *loop, const char *address,
                              GError **error);
void rly_destroy (struct rly_relay *relay);
char *rly_address (const struct rly_relay *relay);
bool rly_has_readers (const struct rly_relay *relay);
uint32_t rly_readers (const struct rly_relay *relay);
void rly_serve_departures (struct rly_relay *relay,
                           struct vdt_verdicts *verdicts);
void rly_departures_changed (struct rly_relay *relay);
void rly_set_partitions (struct rly_relay *relay, uint32_t partitions);
void rly_set_era (struct rly_relay *relay, const char *topic, uint64_t era);
bool rly_find_key (struct rly_relay *relay, const char *topic, const char *key,
                   uint64_t *offset);
void rly_add_record (struct rly_relay *relay, const char *topic,
                     const struct pfs_record *record);
void rly_begin_snapshot (struct rly_relay *relay, const char *topic);
void rly_name_key (struct rly_relay *relay, const char *topic,
                   const char *key);
void rly_end_snapshot (struct rly_relay *relay, const char *topic,
                       uint64_t end);
void rly_set_current (struct rly_relay *relay, const char *topic, uint64_t end,
                      int64_t proved_us);

char *rly_path (const struct rly_request *request);
bool rly_decode (const void *body, size_t body_bytes, struct pfs_page *page,
                 struct rly_head *head, GError **error);
void rly_clear_head (struct rly_head *head);

#endif
