/* Types and functions that the source files of the simulated fleet share. */
#ifndef STANDIN_FLEET_PRIVATE_H
#define STANDIN_FLEET_PRIVATE_H

#include "net/server.h"
#include "standin/fleet.h"

/* A keyed topic of the store. */
struct sfl_topic
{
  GPtrArray *records;    /* GBytes, indexed by offset */
  GArray *times_us;      /* int64_t, of the appends; monotonic */
  GHashTable *newest;    /* key to offset + 1 of its newest record */
  uint64_t first_offset; /* oldest record that can be read */
};

/* A long-poll read that waits for a record. */
struct sfl_reader
{
  struct sfl_fleet *fleet;
  struct nsv_connection *connection;
  struct sfl_topic *topic;
  uint64_t from; /* offset */
  bool detours;  /* it gets the addresses of the detours */
  uv_timer_t timer;
  bool ended;
};

/* A simulated engine or plain service. */
struct sfl_endpoint
{
  struct sfl_fleet *fleet;
  uint32_t index;
  char *id;
  char *address; /* as published */
  char *detour;  /* as published to those that read the store at its detour;
                    NULL: the same */
  uint32_t restarts;
  bool is_engine;
  bool dead;
  bool silent;               /* never answers the requests that it runs */
  struct nsv_server *server; /* NULL: killed */
  uint32_t first_layer;
  uint32_t end_layer;       /* exclusive */
  uint64_t fencing_token;   /* of the newest order that was applied */
  uint64_t orders;          /* number applied */
  uint32_t arrivals;        /* number of requests received */
  bool leaving;             /* says in its answers that it leaves */
  const char *listed_state; /* in the endpoint list; NULL: not listed */
  char *rate_limit;         /* that it names in its answers; NULL: none */
  char *headers;            /* that all its answers have; NULL: none */
  char *retry_after;        /* of the answers to requests that are turned away;
                               NULL: none */
  uint32_t turned_away;     /* number of next requests to turn away */
  bool repeats_refusals;    /* see sfl_repeat_refusals */
  struct nsv_connection *refused_on; /* of the refusal that is to be repeated;
                                        NULL: none */
  char *refused_id;                  /* of its request */
  char *order_retry_after;     /* of the answers to orders that are turned
                                  away; NULL: none */
  uint32_t orders_turned_away; /* number of next orders to turn away */
};

/* A member of the consumer group. */
struct sfl_member
{
  char *name;
  int64_t last_join_us; /* monotonic */
};

/* The group at a time; one is kept for each generation. */
struct sfl_group_state
{
  int64_t at_us; /* monotonic */
  uint64_t generation;
  char **names; /* of the members, in order */
};

/* A record that a restore of the store has dropped. */
struct sfl_lost
{
  struct sfl_topic *topic;
  GBytes *record;
  int64_t at_us; /* when it was appended; monotonic */
};

/* The answer to a request that is running. */
struct sfl_answer
{
  struct sfl_endpoint *endpoint;
  struct nsv_connection *connection;
  uv_timer_t timer;
  char *id;               /* of the request */
  char *path;             /* through engines; NULL: none */
  uint32_t kept_alive;    /* bytes of comments sent */
  uint32_t last_event_id; /* of the last event sent; 0: none */
  bool is_stream;
  enum sfl_fault fault;
  bool headers_sent;
  struct sfl_harm *harm; /* crashes the endpoint when the answer is due; NULL:
                            none */
};

/* What crashes endpoints, see sfl_add_harm. */
struct sfl_harm
{
  enum sfl_harm_kind kind;
  char *text; /* the part, or the body */
  bool ended;
  uint32_t crashes; /* of endpoints that began to answer */
  uint32_t runs;    /* that endpoints began */
};

struct sfl_fleet
{
  struct sfl_params params;
  struct nsv_server *store;
  char *store_address;
  struct nsv_server *detour; /* of the store; NULL: none */
  char *detour_address;
  char *(*announce_detour) (void *context, const char *address);
  void *detour_context;
  bool detours; /* the present call gets the addresses of the detours */
  enum sfl_store_state store_state;
  struct sfl_topic operator_topic;
  struct sfl_topic endpoint_topic;
  struct sfl_topic daemon_topic;    /* of the daemons' own */
  struct sfl_topic directory_topic; /* of the daemons' own too */
  uint64_t era;                     /* rises with each restore, from 1 */
  GPtrArray *lost; /* struct sfl_lost, not written again yet, in the order
                      in which they were first written */
  uv_timer_t rewrite_timer;
  GPtrArray *readers;         /* struct sfl_reader */
  GPtrArray *members;         /* struct sfl_member */
  uint64_t generation;        /* of the group's partition assignment */
  GPtrArray *group_history;   /* struct sfl_group_state, in order of time */
  GPtrArray *endpoints;       /* struct sfl_endpoint; engines first */
  GHashTable *runs;           /* request id to number of runs */
  bool has_ranked_account;    /* it was published, see sfl_publish_ranked */
  char engine_priority[8];    /* that the newest request to an engine named;
                                 empty: none */
  uint32_t stream_events;     /* in a complete stream */
  uint32_t call_ms;           /* time of a call to a service */
  enum sfl_fault faults[2];   /* [0] of services, [1] of engines */
  uint32_t fault_requests[2]; /* that the faults still apply to */
  uint32_t cancelled;         /* answers that the daemon cancelled */
  GPtrArray *harms;           /* struct sfl_harm */
  char *violation;            /* first violation of the protocol; NULL: none */
};

void sfl_group_open (struct sfl_fleet *fleet);
void sfl_group_close (struct sfl_fleet *fleet);
void sfl_group_join_unanswered (struct sfl_fleet *fleet,
                                const struct msg_message *request);
void sfl_group_serve (struct sfl_fleet *fleet,
                      struct nsv_connection *connection,
                      const struct msg_message *request, bool leaves);
void sfl_group_list_owners (struct sfl_fleet *fleet,
                            struct nsv_connection *connection);
void sfl_group_restore (struct sfl_fleet *fleet, int64_t copied_us);
void sfl_restore_open (struct sfl_fleet *fleet);
void sfl_restore_close (struct sfl_fleet *fleet);
void sfl_store_respond (const struct sfl_fleet *fleet,
                        struct nsv_connection *connection, uint32_t status,
                        const void *body, size_t body_bytes);
void sfl_drop_readers (struct sfl_fleet *fleet, bool close_connections);
char *sfl_record_key (GBytes *record, bool *has_value);
void sfl_index_record (struct sfl_topic *topic, guint offset);
void sfl_append_record (struct sfl_fleet *fleet, struct sfl_topic *topic,
                        GBytes *record);
void sfl_store_open (struct sfl_fleet *fleet);
void sfl_store_open_detour (struct sfl_fleet *fleet);
void sfl_store_close (struct sfl_fleet *fleet);
void sfl_append (struct sfl_fleet *fleet, struct sfl_topic *topic,
                 const char *key, const char *value);
void sfl_endpoint_open (struct sfl_endpoint *endpoint);
void sfl_endpoint_publish (struct sfl_endpoint *endpoint, const char *state);
struct nsv_server *sfl_listen (struct sfl_fleet *fleet,
                               const struct nsv_events *events, void *context,
                               char **address);
void sfl_record_violation (struct sfl_fleet *fleet, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

#endif
