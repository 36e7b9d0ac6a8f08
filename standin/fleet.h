/* Simulates on loopback what an entry daemon depends on, for tests and soak
   runs: a store with the configuration and the endpoint list, engines that
   run requests along a path of layers, and plain services, which run a request
   alone, without layers or a stream.  Faults can be
   injected into each of them.  Runs on the event loop of the calling thread
   and isn't thread-safe. */
#ifndef STANDIN_FLEET_H
#define STANDIN_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#define SFL_LAYERS 8         /* layers of the model */
#define SFL_STREAM_EVENTS 12 /* events in a complete stream, at first */
#define SFL_CALL_MS 5        /* time of a call to a service, at first */
#define SFL_HEADER_BYTES_MAX                                                  \
  4096 /* limit on heads, unless params say another */

/* How an endpoint handles the next requests. */
enum sfl_fault
{
  SFL_NO_FAULT,      /* no fault */
  SFL_REFUSES,       /* answers that the request wasn't executed */
  SFL_FAILS,         /* services: runs the request, answers with status 500 */
  SFL_SHEDS,         /* services: runs the request, answers with status 503 */
  SFL_REFUSES_AGAIN, /* services: runs the request, answers with a refusal that
                        bears no id, as if it were an earlier one */
  SFL_CLOSES,        /* services: runs the request, closes the connection */
  SFL_CLOSES_MIDWAY, /* streams: closes the connection within the third event
                      */
  SFL_TRUNCATES,     /* services: runs the request, closes the connection
                    within the body */
  SFL_WITHOUT_LENGTH,   /* answers with a body that only the end of the
                           connection delimits */
  SFL_WRONG_REQUEST_ID, /* answers with the id of another request */
  SFL_UNSIGNED,         /* answers without the signature header */
  SFL_HIDES_SIGNATURE,  /* names the signature as one of the connection's
                           headers, which aren't forwarded */
  SFL_NEVER_ANSWERS,    /* runs the request and never answers */
  SFL_ENDS_MIDWAY,  /* streams: like SFL_WITHOUT_LENGTH, but ends within the
                       third event */
  SFL_ENDLESS_HEAD, /* sends a head without end, until the caller closes */
  SFL_ENDLESS_BODY, /* the same of a body; streams: of an event */
  SFL_ERROR_TEXT,   /* streams: the head and text of an error as the body */
  SFL_NO_EVENTS,    /* streams: a complete body without an event */
  SFL_REPEATS,      /* streams: begins with the first event, whatever event it
                       is to resume after */
  SFL_KEEPS_ALIVE, /* streams: while an engine of the path is dead, sends parts
                      of comments instead of events */
  SFL_STATUS_000,  /* runs the request, answers with the status 000 */
  SFL_STALLS       /* engines: stalls, then closes; the engine's report
                      names the killed engines that its work waits for */
};

/* Which requests crash each endpoint that begins to answer them. */
enum sfl_harm_kind
{
  SFL_HARM_PART, /* at engines: those whose prompts have a part before the last
                    one */
  SFL_HARM_BODY  /* at any endpoint: those with a body */
};

/* How the store handles calls. */
enum sfl_store_state
{
  SFL_STORE_NO_FAULT,      /* no fault */
  SFL_STORE_REFUSES,       /* answers with status 503 */
  SFL_STORE_NEVER_ANSWERS, /* never answers calls that arrive in this state */
  SFL_STORE_LOSES_ANSWERS /* applies joins; closes the connection unanswered */
};

struct sfl_fleet;

/* Callbacks for the requests at an endpoint.  */
struct sfl_observer
{
  /* A request has reached the endpoint.  */
  void (*arrived) (void *context, uint32_t endpoint, const char *request_id);
  /* The endpoint has sent the head of its answer to the request.  LEAVING: it
     says that the endpoint leaves; RETRY_AFTER: its header, or NULL.  */
  void (*answered) (void *context, uint32_t endpoint, const char *request_id,
                    bool leaving, const char *retry_after);
  /* An order with FENCE has reached the engine, which may have refused it as
     outdated.  */
  void (*ordered) (void *context, uint32_t endpoint, uint64_t fence,
                   bool refused);
  /* The endpoint starts to run the request.  */
  void (*started) (void *context, uint32_t endpoint, const char *request_id);
  /* The endpoint has stopped working on the request: its answer is complete,
     cut off or cancelled.  */
  void (*stopped) (void *context, const char *request_id);
};

struct sfl_params
{
  uv_loop_t *loop;
  uint32_t engines; /* each has memory for half of the model */
  uint32_t services;
  uint32_t event_ms;         /* interval between two events of a stream */
  uint64_t group_ttl_ms;     /* a member expires this long after its last join;
                                0: 1000 */
  uint32_t header_bytes_max; /* MaxHeaderBytes of the configuration; 0:
                                SFL_HEADER_BYTES_MAX */
  uint32_t body_bytes_max;   /* MaxBodyBytes of the configuration; 0: 65536 */
  const struct sfl_observer *observer; /* NULL: none; gets CONTEXT */
  /* Returns the address to publish for an endpoint that listens on ADDRESS,
     allocated.  A NULL callback publishes ADDRESS.  */
  char *(*announce) (void *context, const char *address);
  void *context;
};

struct sfl_fleet *sfl_create (const struct sfl_params *params);
void sfl_destroy (struct sfl_fleet *fleet);
const char *sfl_store_address (const struct sfl_fleet *fleet);
const char *sfl_open_detour (struct sfl_fleet *fleet,
                             char *(*announce) (void *context,
                                                const char *address),
                             void *context);
void sfl_publish (struct sfl_fleet *fleet, uint64_t version,
                  const char *extra_key);
void sfl_publish_ranked (struct sfl_fleet *fleet, uint64_t version);
const char *sfl_engine_priority (const struct sfl_fleet *fleet);
void sfl_set_store (struct sfl_fleet *fleet, enum sfl_store_state state);
void sfl_truncate_history (struct sfl_fleet *fleet);
void sfl_restore_store (struct sfl_fleet *fleet, int64_t age_us,
                        int64_t rewrite_us);
uint64_t sfl_store_era (const struct sfl_fleet *fleet);
void sfl_rebalance (struct sfl_fleet *fleet);
void sfl_list_draining (struct sfl_fleet *fleet, uint32_t endpoint);
void sfl_list_ready (struct sfl_fleet *fleet, uint32_t endpoint);
void sfl_unlist (struct sfl_fleet *fleet, uint32_t endpoint);
void sfl_kill (struct sfl_fleet *fleet, uint32_t endpoint);
void sfl_restart (struct sfl_fleet *fleet, uint32_t endpoint);
const char *sfl_address (const struct sfl_fleet *fleet, uint32_t endpoint);
uint32_t sfl_restart_count (const struct sfl_fleet *fleet, uint32_t endpoint);
bool sfl_is_alive (const struct sfl_fleet *fleet, uint32_t endpoint);
void sfl_set_leaving (struct sfl_fleet *fleet, uint32_t endpoint,
                      bool leaving);
void sfl_set_rate_limit (struct sfl_fleet *fleet, uint32_t endpoint,
                         const char *per_s);
void sfl_turn_away (struct sfl_fleet *fleet, uint32_t endpoint,
                    const char *retry_after, uint32_t requests);
void sfl_repeat_refusals (struct sfl_fleet *fleet, uint32_t endpoint);
void sfl_turn_orders_away (struct sfl_fleet *fleet, uint32_t endpoint,
                           const char *retry_after, uint32_t orders);
void sfl_set_fault (struct sfl_fleet *fleet, bool engines,
                    enum sfl_fault fault, uint32_t requests);
bool sfl_has_fault (const struct sfl_fleet *fleet, bool engines);
void sfl_end_fault (struct sfl_fleet *fleet, bool engines,
                    enum sfl_fault fault);
void sfl_set_silent (struct sfl_fleet *fleet, uint32_t endpoint, bool silent);
void sfl_set_stream_events (struct sfl_fleet *fleet, uint32_t events);
void sfl_set_call_ms (struct sfl_fleet *fleet, uint32_t call_ms);
void sfl_add_harm (struct sfl_fleet *fleet, enum sfl_harm_kind kind,
                   const char *text);
void sfl_end_harm (struct sfl_fleet *fleet, const char *text);
uint32_t sfl_crash_count (const struct sfl_fleet *fleet, const char *text);
uint32_t sfl_crash_run_count (const struct sfl_fleet *fleet, const char *text);
uint32_t sfl_run_count (const struct sfl_fleet *fleet, const char *request_id);
uint32_t sfl_arrival_count (const struct sfl_fleet *fleet, uint32_t endpoint);
uint32_t sfl_find_later_engine (const struct sfl_fleet *fleet);
bool sfl_holds_later_layers (const struct sfl_fleet *fleet, uint32_t index);
uint32_t sfl_cancelled_count (const struct sfl_fleet *fleet);
bool sfl_is_placed (const struct sfl_fleet *fleet);
const char *sfl_violation (const struct sfl_fleet *fleet);
uint16_t sfl_free_port (void);

#endif
