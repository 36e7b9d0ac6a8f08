/* The configuration of the fleet, as the platform's operator publishes it:
   routes, services with their engines, client accounts, and limits on callers.

   A configuration is built with flt_create, flt_add_key and flt_index and must
   not be changed afterwards.  Threads share it by reference count. */
#ifndef CORE_FLEET_H
#define CORE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FLT_NO_INDEX UINT32_MAX /* stands for a missing index or value */
#define FLT_KINDS_MAX 16        /* kinds of accelerators in a service */
#define FLT_SPLIT_MAX 8         /* services that share a route */
#define FLT_RANKS_MAX 5         /* rank indexes, see core/precedence.h */

/* Whether a request that an endpoint may have run may be sent to another. */
enum flt_repeat
{
  FLT_REPEAT_NEVER,
  FLT_REPEAT_IDEMPOTENT,
  FLT_REPEAT_STREAM /* answers are event streams: only if resumable */
};

/* A kind of accelerator.  The factors multiply the times that follow from
   struct flt_engine_spec; lower is faster. */
struct flt_kind
{
  char *name;
  double memory_mb;
  double step_factor;
  double prefill_factor;
};

/* Capacity and speed of the engines of one service, and the model that they
   run together, each engine some of its layers. */
struct flt_engine_spec
{
  uint32_t slots;             /* requests that an engine runs at once */
  double cache_tokens_max;    /* KV cache of one engine */
  double cache_token_bytes;   /* KV cache of one token, for all layers */
  double step_ms;             /* time of one decoding step, for all layers */
  double step_per_stream_ms;  /* added for each stream that is decoding */
  double step_per_context_ms; /* added for each 1,000 tokens of context */
  double prefill_tokens_per_s;
  uint32_t event_tokens; /* tokens in one event of a stream */
  uint32_t layers;
  double layer_mb;              /* memory for the weights of one layer */
  double activation_bytes;      /* of one token, between two parts of a path */
  double data_centre_link_mbps; /* between two data centres */
  double engine_link_mbps;      /* of each engine */
  double load_s;                /* time to load all layers */
  double usual_prompt_tokens;
  double usual_answer_tokens;
  struct flt_kind kinds[FLT_KINDS_MAX];
  uint32_t kind_count;
};

struct flt_service
{
  char *name;
  char *health_path;
  uint32_t connections_max; /* to one endpoint, from all daemons together */
  bool has_engine;          /* `engine' is set */
  struct flt_engine_spec engine;
  uint32_t ranks[FLT_RANKS_MAX]; /* lowest priorities of its requests in
                                    ascending order; computed by flt_index */
  uint32_t rank_count;
};

/* The part of a route's requests that goes to one service. */
struct flt_share
{
  uint32_t service; /* index in the configuration */
  uint32_t weight;
};

struct flt_route
{
  char *name;
  char *host;
  char *path_prefix;
  enum flt_repeat repeat;
  int64_t timeout_us;
  int64_t target_latency_us;
  int64_t target_gap_us;
  uint32_t priority; /* 0 is the highest */
  struct flt_share split[FLT_SPLIT_MAX];
  uint32_t split_count;
  uint32_t attempts_max; /* endpoints that may run one request */
  bool is_public;        /* needs no account */
  bool resumable;        /* broken streams may be resumed */
};

struct flt_account
{
  char *name;
  uint32_t priority; /* FLT_NO_INDEX: the route's priority applies */
};

/* Limits on the requests and connections of callers. */
struct flt_limits
{
  uint32_t header_bytes_max;
  uint64_t body_bytes_max;
  int64_t header_timeout_us;
  int64_t idle_timeout_us;
};

struct flt_config
{
  gint references;
  uint64_t version;
  struct flt_route *routes;
  uint32_t route_count;
  struct flt_service *services;
  uint32_t service_count;
  struct flt_account *accounts;
  uint32_t account_count;
  bool has_accounts;          /* routes that aren't public need an account */
  GHashTable *account_by_key; /* API key to index + 1 */
  GHashTable *routes_by_host; /* host name in lower case to GArray of route
                                 indexes */
  struct flt_limits limits;
};

struct flt_config *flt_create (uint32_t routes, uint32_t services,
                               uint32_t accounts);
struct flt_config *flt_reference (struct flt_config *config);
void flt_release (struct flt_config *config);
void flt_add_key (struct flt_config *config, const char *key,
                  uint32_t account);
void flt_index (struct flt_config *config);
const struct flt_route *flt_find_route (const struct flt_config *config,
                                        const char *host, const char *path);
const struct flt_account *flt_find_account (const struct flt_config *config,
                                            const char *key);
uint32_t flt_find_service (const struct flt_config *config, const char *name);
const struct flt_kind *flt_find_kind (const struct flt_engine_spec *engine,
                                      const char *name);
uint32_t flt_choose_service (const struct flt_route *route, uint32_t draw);
bool flt_needs_account (const struct flt_config *config,
                        const struct flt_route *route);
bool flt_has_paths (const struct flt_service *service);

#endif
