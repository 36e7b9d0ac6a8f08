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
  uint64_t first;     /* offset of the oldest record that is kept */
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
  char *address; /* that is listed */
  uint32_t starts;
  bool is_engine;
  bool dead;
  struct nsv_server *server;
  uint32_t first; /* layers */
  uint32_t end;
  uint64_t fence;
  uint64_t orders;
  uint32_t arrivals;
};

/* A member of the group. */
struct sfl_member
{
  char *name;
  int64_t heard_us;
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
  GPtrArray *members; /* struct sfl_member, of the group */
  uint64_t generation;
  GPtrArray *endpoints;     /* struct sfl_endpoint; engines first */
  GHashTable *runs;         /* request id to number of runs */
  enum sfl_fault faults[2]; /* of services, and of engines */
  uint32_t fault_requests[2];
  uint32_t cancelled;
  char *violation; /* the first broken promise; NULL: none */
};

void sfl_group_open (struct sfl_fleet *fleet);
void sfl_group_close (struct sfl_fleet *fleet);
void sfl_group_note (struct sfl_fleet *fleet,
                     const struct msg_message *request);
void sfl_group_call (struct sfl_fleet *fleet,
                     struct nsv_connection *connection,
                     const struct msg_message *request, bool leaves);
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
