/* What the files of the stand-in fleet share. */
#ifndef STANDIN_FLEET_PRIVATE_H
#define STANDIN_FLEET_PRIVATE_H

#include "net/server.h"
#include "standin/fleet.h"

/* One keyed topic of the store. */
struct sfl_topic
{
  GPtrArray *records; /* GBytes, by offset */
  GHashTable *newest; /* key to offset + 1 */
};

/* A read that waits for a record. */
struct sfl_reader
{
  struct sfl_fleet *fleet;
  struct nsv_connection *connection;
  struct sfl_topic *topic;
  uint64_t from;
  uv_timer_t timer;
  bool over;
};

struct sfl_endpoint
{
  struct sfl_fleet *fleet;
  uint32_t index;
  char *id;
  char *address;
  bool is_engine;
  bool dead;
  struct nsv_server *server;
  uint32_t first; /* layers */
  uint32_t end;
  uint64_t fence;
  uint64_t orders;
  uint32_t arrivals;
};

/* An answer under way. */
struct sfl_answer
{
  struct sfl_endpoint *endpoint;
  struct nsv_connection *connection;
  uv_timer_t timer;
  char *id;
  uint32_t next_event;
  bool is_stream;
  enum sfl_fault fault;
  bool begun;
};

struct sfl_fleet
{
  struct sfl_params params;
  struct nsv_server *store;
  char *store_address;
  enum sfl_store_state store_state;
  struct sfl_topic operator_topic;
  struct sfl_topic endpoint_topic;
  GPtrArray *readers; /* struct sfl_reader */
  char *leader;       /* member of the group that holds the partition */
  uint64_t generation;
  GPtrArray *endpoints;     /* struct sfl_endpoint; engines first */
  GHashTable *runs;         /* request id to number of runs */
  enum sfl_fault faults[2]; /* of services, and of engines */
  uint32_t fault_requests[2];
  uint32_t cancelled;
  char *violation; /* the first broken promise; NULL: none */
};

void sfl_store_open (struct sfl_fleet *fleet);
void sfl_store_close (struct sfl_fleet *fleet);
void sfl_append (struct sfl_fleet *fleet, struct sfl_topic *topic,
                 const char *key, const char *value);
void sfl_endpoint_open (struct sfl_endpoint *endpoint);
void sfl_endpoint_list (struct sfl_endpoint *endpoint, const char *state);
struct nsv_server *sfl_listen (struct sfl_fleet *fleet,
                               const struct nsv_events *events, void *context,
                               char **address);
void sfl_violate (struct sfl_fleet *fleet, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
