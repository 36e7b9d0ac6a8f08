/* The users' platform on loopback: the store with the configuration and the
   list of endpoints, engines that pass work on along a path, and a plain
   service; with faults.  Runs on the event loop of the calling thread. */
#ifndef STANDIN_FLEET_H
#define STANDIN_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#define SFL_LAYERS 8
#define SFL_STREAM_EVENTS 12

/* What an endpoint does with the next requests. */
enum sfl_fault
{
  SFL_SOUND,
  SFL_REFUSES,     /* says that it didn't run the request */
  SFL_FAILS,       /* runs it and answers with a failure */
  SFL_CUTS,        /* runs it and closes the connection */
  SFL_CUTS_MIDWAY, /* streams: closes within the third event */
  SFL_TEARS,       /* ends its answer too early, with a longer length */
  SFL_WITHOUT_LENGTH,
  SFL_FOREIGN, /* answers for another request */
  SFL_UNSIGNED,
  SFL_MUTE,  /* runs it and says nothing */
  SFL_STALLS /* engines: depends on the engine that is named dead */
};

/* What the store does with calls. */
enum sfl_store_state
{
  SFL_STORE_SOUND,
  SFL_STORE_REFUSES,
  SFL_STORE_SILENT, /* never answers those that come now */
  SFL_STORE_LOSES   /* does what is asked and closes the connection */
};

struct sfl_fleet;

/* What an endpoint sees, told as it happens.  */
struct sfl_observer
{
  /* A request has reached it, and begins to run.  */
  void (*arrived) (void *context, uint32_t endpoint, const char *request_id);
  void (*runs) (void *context, uint32_t endpoint, const char *request_id);
  /* It no longer works on the request.  */
  void (*rests) (void *context, const char *request_id);
};

struct sfl_params
{
  uv_loop_t *loop;
  uint32_t engines; /* each with memory for half the model */
  uint32_t services;
  uint32_t event_ms;     /* between two events of a stream */
  uint64_t group_ttl_ms; /* a member that is silent for longer is gone */
  const struct sfl_observer *observer; /* NULL: none */
  /* Returns the address to list in place of ADDRESS, allocated; NULL: the
     same.  */
  char *(*announce) (void *context, const char *address);
  void *context;
};

struct sfl_fleet *sfl_create (const struct sfl_params *params);
void sfl_destroy (struct sfl_fleet *fleet);
const char *sfl_store_address (const struct sfl_fleet *fleet);
void sfl_publish (struct sfl_fleet *fleet, uint64_t version,
                  const char *extra_key);
void sfl_set_store (struct sfl_fleet *fleet, enum sfl_store_state state);
void sfl_forget_history (struct sfl_fleet *fleet);
void sfl_deal_anew (struct sfl_fleet *fleet);
void sfl_leave (struct sfl_fleet *fleet, uint32_t endpoint);
void sfl_remove (struct sfl_fleet *fleet, uint32_t endpoint);
void sfl_kill (struct sfl_fleet *fleet, uint32_t endpoint);
void sfl_restart (struct sfl_fleet *fleet, uint32_t endpoint);
bool sfl_is_alive (const struct sfl_fleet *fleet, uint32_t endpoint);
void sfl_set_fault (struct sfl_fleet *fleet, bool engines,
                    enum sfl_fault fault, uint32_t requests);
uint32_t sfl_runs (const struct sfl_fleet *fleet, const char *request_id);
uint32_t sfl_arrivals (const struct sfl_fleet *fleet, uint32_t endpoint);
uint32_t sfl_cancelled (const struct sfl_fleet *fleet);
bool sfl_is_placed (const struct sfl_fleet *fleet);
const char *sfl_violation (const struct sfl_fleet *fleet);
uint16_t sfl_free_port (void);

#endif
