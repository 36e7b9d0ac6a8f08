/* The fleet's configuration, as stored in the platform's log: accounts,
   models, data centres and links, hosts, services and rules.  Configurations
   are reference-counted and immutable once built; src/config parses them from
   YAML. */
#ifndef CORE_CONFIG_H
#define CORE_CONFIG_H

#include <stdbool.h>
#include <stdint.h>

#define CFG_NAME_BYTES 64
#define CFG_ADDRESS_BYTES 64
#define CFG_SHA256_HEX_BYTES 65 /* with the terminating NUL */
#define CFG_NO_INDEX UINT32_MAX /* no data centre, or no service */

enum cfg_profile
{
  CFG_PROFILE_THROUGHPUT,
  CFG_PROFILE_RECOVERY
};

enum cfg_host_role
{
  CFG_HOST_ENGINE,
  CFG_HOST_SERVICE
};

/* Whether the system assigns model layers to engines. */
enum cfg_placement
{
  CFG_PLACEMENT_AUTOMATIC,
  CFG_PLACEMENT_FIXED /* engines keep the layers that they started with */
};

/* Whether an engine rejects orders with an outdated fencing token. */
enum cfg_fencing
{
  CFG_FENCING_CHECKED,
  CFG_FENCING_IGNORED
};

/* Service-level objective of an account. */
struct cfg_objective
{
  double availability;       /* fraction of requests served, e.g. 0.999 */
  int64_t first_token_us;    /* 95th percentile, time to first token */
  int64_t between_tokens_us; /* 95th percentile, time between tokens */
  int64_t settled_us;        /* 95th percentile, calls with a key */
};

struct cfg_account
{
  char name[CFG_NAME_BYTES];
  char token_sha256[CFG_SHA256_HEX_BYTES]; /* lower-case hexadecimal */
  uint32_t requests_per_s;
  uint32_t tokens_per_s;
  uint32_t streams; /* limit of concurrent streams in the whole fleet */
  uint32_t weight;  /* relative share in fair queueing */
  struct cfg_objective objective;
};

struct cfg_model
{
  char name[CFG_NAME_BYTES];
  uint32_t layers;
  uint32_t layer_memory_mib;
  uint32_t activation_bytes; /* per token position, between two stages */
  uint32_t demand_weight;    /* relative share of the fleet's capacity */
};

struct cfg_data_centre
{
  char name[CFG_NAME_BYTES];
  char region[CFG_NAME_BYTES];
};

/* A network link in one direction. */
struct cfg_link
{
  uint32_t from;    /* index of the source data centre */
  uint32_t to;      /* index of the destination data centre */
  int64_t delay_us; /* one way */
  uint64_t bytes_per_s;
};

struct cfg_host
{
  char name[CFG_NAME_BYTES];
  char address[CFG_ADDRESS_BYTES]; /* IP:PORT */
  enum cfg_host_role role;
  uint32_t data_centre;      /* index of its data centre */
  char kind[CFG_NAME_BYTES]; /* accelerator model; "" for services */
  uint32_t accelerators;
  uint32_t memory_mib;         /* total of all accelerators */
  uint32_t layer_tokens_per_s; /* measured throughput, layers * tokens/s */
  enum cfg_fencing fencing;
  uint32_t service; /* index of the service; CFG_NO_INDEX for engines */
  bool draining;    /* an operator drains the host */
};

/* Calls to a plain service that may be retried without an idempotency key. */
struct cfg_idempotent_call
{
  char method[8];
  char path_prefix[CFG_NAME_BYTES];
};

struct cfg_service
{
  char name[CFG_NAME_BYTES];
  struct cfg_idempotent_call *idempotent;
  uint32_t idempotent_count;
};

struct cfg_rules
{
  enum cfg_profile profile;
  enum cfg_placement placement;
  uint32_t spare_hosts;    /* hosts that may fail without losing a layer */
  uint32_t key_lifetime_s; /* of idempotency keys */
  uint32_t queue_length;   /* most requests queued at one daemon */
  uint32_t default_deadline_ms;
  uint32_t max_tokens;
  uint32_t prompt_bytes;
};

struct cfg_config
{
  _Atomic uint32_t references;
  uint64_t version; /* base_version + 1; 0: no configuration */
  uint64_t base_version;
  struct cfg_account *accounts;
  uint32_t account_count;
  struct cfg_model *models;
  uint32_t model_count;
  struct cfg_data_centre *data_centres;
  uint32_t data_centre_count;
  struct cfg_link *links; /* each direction has its own entry */
  uint32_t link_count;
  struct cfg_host *hosts;
  uint32_t host_count;
  struct cfg_service *services;
  uint32_t service_count;
  struct cfg_rules rules;
};

struct cfg_config *cfg_config_create (void);
struct cfg_config *cfg_config_ref (struct cfg_config *config);
void cfg_config_destroy (struct cfg_config *config);
const struct cfg_link *cfg_link_between (const struct cfg_config *config,
                                         uint32_t from, uint32_t to);
struct cfg_link cfg_path_between (const struct cfg_config *config,
                                  uint32_t from, uint32_t to);
const struct cfg_account *cfg_find_account (const struct cfg_config *config,
                                            const char *name);
const struct cfg_host *cfg_find_host (const struct cfg_config *config,
                                      const char *name);

#endif
