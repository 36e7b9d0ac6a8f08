/* The fleet's configuration as the platform's operator publishes it: routes,
   services with their engines, tenants of client accounts and limits on
   callers.  Immutable once built; shared by reference count. */
#ifndef CORE_FLEET_H
#define CORE_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define FLT_NO_INDEX UINT32_MAX
#define FLT_KINDS_MAX 16
#define FLT_SPLIT_MAX 8

/* What of a request may be repeated. */
enum flt_repeat
{
  FLT_REPEAT_NEVER,
  FLT_REPEAT_FREELY,
  FLT_REPEAT_STREAM /* answers are event streams */
};

/* A kind of accelerator; factors are over the engine's own figures. */
struct flt_kind
{
  char *name;
  double memory_mb;
  double step_factor;
  double prefill_factor;
};

/* How the engines of one service compute, and the model that they share. */
struct flt_engine
{
  uint32_t slots;
  double cache_tokens_max;    /* of one engine */
  double cache_token_bytes;   /* of one token through all layers */
  double step_ms;             /* of all layers */
  double step_per_stream_ms;  /* added for each stream that is writing */
  double step_per_context_ms; /* added for 1,000 tokens of context */
  double prefill_tokens_per_s;
  uint32_t layers;
  double layer_mb;
  double activation_bytes; /* of one token, from part to part */
  double zone_link_mbps;   /* between two data centres */
  double load_s;           /* of all layers */
  double usual_prompt_tokens;
  double usual_answer_tokens;
  struct flt_kind kinds[FLT_KINDS_MAX];
  uint32_t kind_count;
};

struct flt_service
{
  char *name;
  char *health_path;
  uint32_t connections_max; /* of one endpoint, from all daemons */
  bool has_engine;
  struct flt_engine engine;
};

struct flt_share
{
  uint32_t service; /* index */
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
  uint32_t attempts_max;
  bool is_public;
  bool resumable;
};

struct flt_account
{
  char *name;
  uint32_t priority; /* FLT_NO_INDEX: that of the route */
};

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
  bool has_accounts;
  GHashTable *account_by_key; /* to index + 1 */
  GHashTable *routes_by_host; /* to GArray of route indexes */
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
const struct flt_kind *flt_find_kind (const struct flt_engine *engine,
                                      const char *name);
uint32_t flt_choose_service (const struct flt_route *route, uint32_t draw);

#endif
