#include "standin/fleet_private.h"

#include "platform/headers.h"

#include <arpa/inet.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#define CONNECTIONS_MAX 512 /* for each server */
#define UNSENT_BYTES_MAX 1048576
#define TIMEOUT_US 30000000
#define BODY_BYTES_MAX 65536 /* of the configuration, unless chosen */

/* Ports are below the ephemeral range, so that outgoing connections don't take
   them.  Each process uses a block of ports that its process id selects. */
#define PORT_FIRST 10000
#define PORT_END 30000
#define PORT_BLOCK_SIZE 200

/* Number of the newest ports that stay reserved. */
#define PORTS_RESERVED 64

/* An engine with 460 MB holds half of the model (4 of 8 layers, 100 MB each)
   and has room for requests.  The %u take MaxHeaderBytes and MaxBodyBytes;
   the %s take the quotes and the name of a second API key, or are empty. */
#define CONFIGURATION                                                         \
  "{\"Version\":%" G_GUINT64_FORMAT ",\"Routes\":["                           \
  "{\"Name\":\"draft\",\"Hostname\":\"fleet.example\","                       \
  "\"PathPrefix\":\"/draft/\",\"Kind\":\"stream\",\"TimeoutMs\":10000,"       \
  "\"TargetLatencyMs\":500,\"TargetGapMs\":200,\"Service\":\"draft\","        \
  "\"MaxAttempts\":2,\"Resumable\":true},"                                    \
  "{\"Name\":\"book\",\"Hostname\":\"fleet.example\","                        \
  "\"PathPrefix\":\"/book/\",\"Kind\":\"non_idempotent\","                    \
  "\"TimeoutMs\":600,\"Service\":\"book\",\"MaxAttempts\":1},"                \
  "{\"Name\":\"look\",\"Hostname\":\"fleet.example\","                        \
  "\"PathPrefix\":\"/look/\",\"Kind\":\"idempotent\",\"TimeoutMs\":600,"      \
  "\"Service\":\"book\",\"MaxAttempts\":2},"                                  \
  "{\"Name\":\"sum\",\"Hostname\":\"fleet.example\","                         \
  "\"PathPrefix\":\"/sum/\",\"Kind\":\"idempotent\",\"TimeoutMs\":10000,"     \
  "\"Service\":\"book\",\"MaxAttempts\":2}],"                                 \
  "\"Services\":[{\"Name\":\"draft\",\"Engine\":{\"Slots\":16,"               \
  "\"KvTokenBytes\":80000,\"step_ms\":1,\"Layers\":8,\"LayerMb\":100,"        \
  "\"Kinds\":[{\"Name\":\"small\",\"Mb\":460,\"pace\":1}],"                   \
  "\"usual\":{\"prompt\":50,\"answer\":50}}},{\"Name\":\"book\"}],"           \
  "\"Limits\":{\"MaxHeaderBytes\":%u,\"MaxBodyBytes\":%u,"                    \
  "\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"                        \
  "\"Tenants\":[{\"Name\":\"account-1\",\"ApiKeys\":[\"key-1\"%s%s%s]}%s]}"

/* A further account, with another priority than that of the routes. */
#define RANKED_ACCOUNT                                                        \
  ",{\"Name\":\"account-2\",\"ApiKeys\":[\"key-ranked\"],\"Priority\":4}"

/* Records a violation of the protocol by the daemon.  Only the first one is
   kept.  */
void
sfl_record_violation (struct sfl_fleet *fleet, const char *format, ...)
{
  if (fleet->violation != NULL)
    {
      return;
    }
  va_list arguments;
  va_start (arguments, format);
  fleet->violation = g_strdup_vprintf (format, arguments);
  va_end (arguments);
}

/* Returns a free loopback port.  Successive calls return different ports,
   because a caller may listen on its port only later.  Until then a socket
   that is bound to the port, but doesn't listen, keeps other processes that
   look for a port from taking it; servers set SO_REUSEADDR and may listen
   beside it. The newest PORTS_RESERVED ports are kept so.  A process begins in
   a block of its own and goes on in the next ones once that is used up.  */
uint16_t
sfl_free_port (void)
{
  static guint next_offset = 0;
  static int reserved[PORTS_RESERVED]; /* descriptors; 0: none yet */
  guint ports = PORT_END - PORT_FIRST;
  guint block = (guint)getpid () % (ports / PORT_BLOCK_SIZE);
  for (;;)
    {
      guint number = (guint)g_atomic_int_add (&next_offset, 1);
      guint offset = (block * PORT_BLOCK_SIZE + number) % ports;
      uint16_t port = (uint16_t)(PORT_FIRST + offset);
      struct sockaddr_in address
          = { .sin_family = AF_INET, .sin_port = htons (port) };
      address.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
      int descriptor = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      if (bind (descriptor, (struct sockaddr *)&address, sizeof address) == 0)
        {
          int reuse = 1;
          setsockopt (descriptor, SOL_SOCKET, SO_REUSEADDR, &reuse,
                      sizeof reuse);
          int *slot = &reserved[number % PORTS_RESERVED];
          if (*slot != 0)
            {
              close (*slot);
            }
          *slot = descriptor;
          return port;
        }
      close (descriptor);
    }
}

/* Starts a server of FLEET on a free loopback port and sets ADDRESS to its
   address, allocated.  Aborts when the server can't listen.  */
struct nsv_server *
sfl_listen (struct sfl_fleet *fleet, const struct nsv_events *events,
            void *context, char **address)
{
  const struct nsv_limits limits = {
    .header_bytes_max = 65536,
    .body_bytes_max = 1048576,
    .header_timeout_us = TIMEOUT_US,
    .idle_timeout_us = TIMEOUT_US,
    .unsent_bytes_max = UNSENT_BYTES_MAX,
    .user_timeout_ms = 10000,
    .connections_max = CONNECTIONS_MAX,
  };
  g_autoptr (GError) error = NULL;
  *address = g_strdup_printf ("127.0.0.1:%u", sfl_free_port ());
  struct nsv_server *server = nsv_create (fleet->params.loop, *address,
                                          &limits, events, context, &error);
  if (server == NULL)
    {
      g_error ("%s", error->message);
    }
  return server;
}

static void
add_endpoint (struct sfl_fleet *fleet, bool is_engine)
{
  struct sfl_endpoint *endpoint = g_new0 (struct sfl_endpoint, 1);
  endpoint->fleet = fleet;
  endpoint->index = fleet->endpoints->len;
  endpoint->is_engine = is_engine;
  endpoint->id = g_strdup_printf ("%s-%u", is_engine ? "engine" : "service",
                                  endpoint->index);
  g_ptr_array_add (fleet->endpoints, endpoint);
  sfl_endpoint_open (endpoint);
}

static void
destroy_harm (gpointer data)
{
  struct sfl_harm *harm = data;
  g_free (harm->text);
  g_free (harm);
}

/* Creates a fleet and publishes its configuration as version 1.  Endpoints are
   numbered from 0, engines first.  */
struct sfl_fleet *
sfl_create (const struct sfl_params *params)
{
  struct sfl_fleet *fleet = g_new0 (struct sfl_fleet, 1);
  fleet->params = *params;
  fleet->stream_events = SFL_STREAM_EVENTS;
  fleet->call_ms = SFL_CALL_MS;
  fleet->runs = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  fleet->endpoints = g_ptr_array_new ();
  fleet->harms = g_ptr_array_new_with_free_func (destroy_harm);
  sfl_store_open (fleet);
  sfl_publish (fleet, 1, NULL);
  for (uint32_t i = 0; i < params->engines + params->services; i++)
    {
      add_endpoint (fleet, i < params->engines);
    }
  return fleet;
}

/* Closes and frees FLEET.  The loop must run afterwards until all handles are
   closed.  */
void
sfl_destroy (struct sfl_fleet *fleet)
{
  sfl_set_store (fleet, SFL_STORE_REFUSES);
  sfl_store_close (fleet);
  for (guint i = 0; i < fleet->endpoints->len; i++)
    {
      struct sfl_endpoint *endpoint = g_ptr_array_index (fleet->endpoints, i);
      nsv_destroy (endpoint->server);
    }
  uv_run (fleet->params.loop, UV_RUN_NOWAIT);
  uv_run (fleet->params.loop, UV_RUN_NOWAIT);
  for (guint i = 0; i < fleet->endpoints->len; i++)
    {
      struct sfl_endpoint *endpoint = g_ptr_array_index (fleet->endpoints, i);
      g_free (endpoint->id);
      g_free (endpoint->address);
      g_free (endpoint->detour);
      g_free (endpoint->rate_limit);
      g_free (endpoint->headers);
      g_free (endpoint->retry_after);
      g_free (endpoint->order_retry_after);
      g_free (endpoint->refused_id);
      g_free (endpoint);
    }
  g_ptr_array_free (fleet->endpoints, TRUE);
  g_hash_table_destroy (fleet->runs);
  g_ptr_array_free (fleet->harms, TRUE);
  g_free (fleet->violation);
  g_free (fleet);
}

/* Returns the address that the store listens on.  */
const char *
sfl_store_address (const struct sfl_fleet *fleet)
{
  return fleet->store_address;
}

/* Publishes the configuration as VERSION.  The account has the key `key-1',
   and EXTRA_KEY as well unless EXTRA_KEY is NULL; ACCOUNTS are further ones.
 */
static void
publish (struct sfl_fleet *fleet, uint64_t version, const char *extra_key,
         const char *accounts)
{
  bool extra = extra_key != NULL;
  uint32_t body_bytes_max = fleet->params.body_bytes_max == 0
                                ? BODY_BYTES_MAX
                                : fleet->params.body_bytes_max;
  uint32_t header_bytes_max = fleet->params.header_bytes_max == 0
                                  ? SFL_HEADER_BYTES_MAX
                                  : fleet->params.header_bytes_max;
  char *text = g_strdup_printf (
      CONFIGURATION, version, header_bytes_max, body_bytes_max,
      extra ? ",\"" : "", extra ? extra_key : "", extra ? "\"" : "", accounts);
  sfl_append (fleet, &fleet->operator_topic, "config", text);
  g_free (text);
}

/* Publishes the configuration as VERSION.  The account has the key `key-1',
   and EXTRA_KEY as well unless EXTRA_KEY is NULL.  */
void
sfl_publish (struct sfl_fleet *fleet, uint64_t version, const char *extra_key)
{
  publish (fleet, version, extra_key, "");
}

/* Publishes the configuration as VERSION with a second account, which has the
   key `key-ranked' and the priority 4.  */
void
sfl_publish_ranked (struct sfl_fleet *fleet, uint64_t version)
{
  fleet->has_ranked_account = true;
  publish (fleet, version, NULL, RANKED_ACCOUNT);
}

/* Returns the engine priority that the newest request to an engine named, or
   an empty string if it named none.  */
const char *
sfl_engine_priority (const struct sfl_fleet *fleet)
{
  return fleet->engine_priority;
}

static struct sfl_endpoint *
endpoint_at (const struct sfl_fleet *fleet, uint32_t index)
{
  return g_ptr_array_index (fleet->endpoints, index);
}

/* Removes the endpoint INDEX from the endpoint list.  The endpoint continues
   to serve requests.  */
void
sfl_unlist (struct sfl_fleet *fleet, uint32_t index)
{
  sfl_endpoint_publish (endpoint_at (fleet, index), NULL);
}

/* Sets the headers of all answers of ENDPOINT.  */
static void
update_headers (struct sfl_endpoint *endpoint)
{
  GString *headers = g_string_new (NULL);
  if (endpoint->leaving)
    {
      g_string_append (headers, PFH_LEAVING ": 1\r\n");
    }
  if (endpoint->rate_limit != NULL)
    {
      g_string_append_printf (headers, PFH_RATE_LIMIT ": %s\r\n",
                              endpoint->rate_limit);
    }
  g_free (endpoint->headers);
  endpoint->headers = g_string_free (headers, FALSE);
}

/* Makes all answers of the endpoint INDEX say that it leaves if LEAVING.  Its
   entry in the endpoint list stays; it continues to serve requests.  */
void
sfl_set_leaving (struct sfl_fleet *fleet, uint32_t index, bool leaving)
{
  endpoint_at (fleet, index)->leaving = leaving;
  update_headers (endpoint_at (fleet, index));
}

/* Makes all answers of the endpoint INDEX say that it takes PER_S requests a
   second; NULL: no limit.  It serves all requests nevertheless.  */
void
sfl_set_rate_limit (struct sfl_fleet *fleet, uint32_t index, const char *per_s)
{
  struct sfl_endpoint *endpoint = endpoint_at (fleet, index);
  g_free (endpoint->rate_limit);
  endpoint->rate_limit = g_strdup (per_s);
  update_headers (endpoint);
}

/* Restarts the endpoint INDEX, which was killed, with a new id and address and
   without layers.  */
void
sfl_restart (struct sfl_fleet *fleet, uint32_t index)
{
  struct sfl_endpoint *endpoint = endpoint_at (fleet, index);
  g_free (endpoint->id);
  g_free (endpoint->address);
  g_clear_pointer (&endpoint->detour, g_free);
  endpoint->restarts++;
  endpoint->id = g_strdup_printf ("%s-%u-%u",
                                  endpoint->is_engine ? "engine" : "service",
                                  index, endpoint->restarts);
  endpoint->dead = false;
  endpoint->first_layer = 0;
  endpoint->end_layer = 0;
  endpoint->fencing_token = 0;
  sfl_set_leaving (fleet, index, false);
  sfl_set_rate_limit (fleet, index, NULL);
  endpoint->turned_away = 0;
  endpoint->orders_turned_away = 0;
  sfl_endpoint_open (endpoint);
}

/* Returns true unless the endpoint INDEX is killed.  */
bool
sfl_is_alive (const struct sfl_fleet *fleet, uint32_t index)
{
  return !endpoint_at (fleet, index)->dead;
}

/* Lets the store listen on another address too, which the result names.  Those
   that read it there get other addresses of the endpoints: those that
   ANNOUNCE, with CONTEXT, returns for the listed ones, allocated.  */
const char *
sfl_open_detour (struct sfl_fleet *fleet,
                 char *(*announce) (void *context, const char *address),
                 void *context)
{
  fleet->announce_detour = announce;
  fleet->detour_context = context;
  for (guint i = 0; i < fleet->endpoints->len; i++)
    {
      struct sfl_endpoint *endpoint = endpoint_at (fleet, i);
      endpoint->detour = announce (context, endpoint->address);
    }
  sfl_store_open_detour (fleet);
  return fleet->detour_address;
}

/* Returns the address that the endpoint INDEX is listed with.  */
const char *
sfl_address (const struct sfl_fleet *fleet, uint32_t index)
{
  return endpoint_at (fleet, index)->address;
}

/* Returns the number of times that the endpoint INDEX was restarted.  */
uint32_t
sfl_restart_count (const struct sfl_fleet *fleet, uint32_t index)
{
  return endpoint_at (fleet, index)->restarts;
}

/* Makes the endpoint INDEX answer its next REQUESTS requests with status 503,
   not executed, and with RETRY_AFTER in the header of that name, unless it is
   NULL.  */
void
sfl_turn_away (struct sfl_fleet *fleet, uint32_t index,
               const char *retry_after, uint32_t requests)
{
  struct sfl_endpoint *endpoint = endpoint_at (fleet, index);
  g_free (endpoint->retry_after);
  endpoint->retry_after = g_strdup (retry_after);
  endpoint->turned_away = requests;
}

/* Makes the endpoint INDEX write each refusal of sfl_turn_away a second time,
   where the answer to the next request on its connection is expected.  It runs
   that request.  */
void
sfl_repeat_refusals (struct sfl_fleet *fleet, uint32_t index)
{
  endpoint_at (fleet, index)->repeats_refusals = true;
}

/* Makes the engine INDEX answer its next ORDERS orders with status 503 and
   with RETRY_AFTER in the header of that name, unless it is NULL.  */
void
sfl_turn_orders_away (struct sfl_fleet *fleet, uint32_t index,
                      const char *retry_after, uint32_t orders)
{
  struct sfl_endpoint *endpoint = endpoint_at (fleet, index);
  g_free (endpoint->order_retry_after);
  endpoint->order_retry_after = g_strdup (retry_after);
  endpoint->orders_turned_away = orders;
}

/* Lists the endpoint INDEX as draining.  The endpoint continues to serve
   requests.  */
void
sfl_list_draining (struct sfl_fleet *fleet, uint32_t index)
{
  sfl_endpoint_publish (endpoint_at (fleet, index), "draining");
}

/* Publishes the endpoint INDEX as ready, whatever its entry says now.  */
void
sfl_list_ready (struct sfl_fleet *fleet, uint32_t index)
{
  sfl_endpoint_publish (endpoint_at (fleet, index), "ready");
}

/* Kills the endpoint INDEX.  Its entry in the endpoint list stays.  */
void
sfl_kill (struct sfl_fleet *fleet, uint32_t index)
{
  struct sfl_endpoint *endpoint = endpoint_at (fleet, index);
  endpoint->dead = true;
  nsv_destroy (endpoint->server);
  endpoint->server = NULL;
}

/* Returns whether the endpoint INDEX is an engine that lives and doesn't begin
   paths.  */
bool
sfl_holds_later_layers (const struct sfl_fleet *fleet, uint32_t index)
{
  const struct sfl_endpoint *endpoint = endpoint_at (fleet, index);
  return endpoint->is_engine && !endpoint->dead && endpoint->first_layer > 0;
}

/* Returns the index of an engine that doesn't begin paths.  There must be one.
 */
uint32_t
sfl_find_later_engine (const struct sfl_fleet *fleet)
{
  uint32_t index = 0;
  while (!sfl_holds_later_layers (fleet, index))
    {
      index++;
    }
  return index;
}

/* Ends streams that are in progress or start later after EVENTS events.  */
void
sfl_set_stream_events (struct sfl_fleet *fleet, uint32_t events)
{
  fleet->stream_events = events;
}

/* Makes services answer the calls that arrive from now on after CALL_MS.  */
void
sfl_set_call_ms (struct sfl_fleet *fleet, uint32_t call_ms)
{
  fleet->call_ms = call_ms;
}

/* Sets whether the endpoint INDEX runs requests without ever answering
   them.  */
void
sfl_set_silent (struct sfl_fleet *fleet, uint32_t index, bool silent)
{
  endpoint_at (fleet, index)->silent = silent;
}

/* Injects FAULT into the next REQUESTS requests to engines when ENGINES is
   true, else to services.  */
void
sfl_set_fault (struct sfl_fleet *fleet, bool engines, enum sfl_fault fault,
               uint32_t requests)
{
  fleet->faults[engines] = fault;
  fleet->fault_requests[engines] = requests;
}

/* Returns whether a fault is injected into the next requests to engines when
   ENGINES is true, else to services.  */
bool
sfl_has_fault (const struct sfl_fleet *fleet, bool engines)
{
  return fleet->fault_requests[engines] > 0;
}

/* Injects FAULT into no further requests.  Another fault that was set since
   stays.  */
void
sfl_end_fault (struct sfl_fleet *fleet, bool engines, enum sfl_fault fault)
{
  if (fleet->faults[engines] == fault)
    {
      fleet->fault_requests[engines] = 0;
    }
}

/* Returns the harm TEXT, or NULL.  */
static struct sfl_harm *
find_harm (const struct sfl_fleet *fleet, const char *text)
{
  for (guint i = 0; i < fleet->harms->len; i++)
    {
      struct sfl_harm *harm = g_ptr_array_index (fleet->harms, i);
      if (strcmp (harm->text, text) == 0)
        {
          return harm;
        }
    }
  return NULL;
}

/* Makes each endpoint crash as it begins to answer a request with the part or
   body TEXT, until sfl_end_harm.  An ended harm goes on.  */
void
sfl_add_harm (struct sfl_fleet *fleet, enum sfl_harm_kind kind,
              const char *text)
{
  struct sfl_harm *harm = find_harm (fleet, text);
  if (harm != NULL)
    {
      harm->ended = false;
      return;
    }
  harm = g_new0 (struct sfl_harm, 1);
  harm->kind = kind;
  harm->text = g_strdup (text);
  g_ptr_array_add (fleet->harms, harm);
}

/* Ends the harm TEXT; what it has done stays known.  */
void
sfl_end_harm (struct sfl_fleet *fleet, const char *text)
{
  struct sfl_harm *harm = find_harm (fleet, text);
  if (harm != NULL)
    {
      harm->ended = true;
    }
}

/* Returns how many endpoints the harm TEXT has crashed.  */
uint32_t
sfl_crash_count (const struct sfl_fleet *fleet, const char *text)
{
  const struct sfl_harm *harm = find_harm (fleet, text);
  return harm == NULL ? 0 : harm->crashes;
}

/* Returns how many times endpoints began to run requests with the harm TEXT.
 */
uint32_t
sfl_crash_run_count (const struct sfl_fleet *fleet, const char *text)
{
  const struct sfl_harm *harm = find_harm (fleet, text);
  return harm == NULL ? 0 : harm->runs;
}

/* Returns how many times the request REQUEST_ID was run.  */
uint32_t
sfl_run_count (const struct sfl_fleet *fleet, const char *request_id)
{
  return GPOINTER_TO_UINT (g_hash_table_lookup (fleet->runs, request_id));
}

/* Returns the number of requests that the endpoint INDEX has received.  */
uint32_t
sfl_arrival_count (const struct sfl_fleet *fleet, uint32_t index)
{
  return endpoint_at (fleet, index)->arrivals;
}

/* Returns the number of answers that the daemon cancelled by closing the
   connection.  */
uint32_t
sfl_cancelled_count (const struct sfl_fleet *fleet)
{
  return fleet->cancelled;
}

/* Returns true when each layer is held by at least one engine that isn't
   killed.  */
bool
sfl_is_placed (const struct sfl_fleet *fleet)
{
  uint32_t held = 0;
  for (guint i = 0; i < fleet->endpoints->len; i++)
    {
      const struct sfl_endpoint *endpoint = endpoint_at (fleet, i);
      for (uint32_t layer = endpoint->first_layer;
           !endpoint->dead && layer < endpoint->end_layer; layer++)
        {
          held |= 1U << layer;
        }
    }
  return held == (1U << SFL_LAYERS) - 1;
}

/* Returns a description of the first violation of the protocol, or NULL.  */
const char *
sfl_violation (const struct sfl_fleet *fleet)
{
  return fleet->violation;
}
