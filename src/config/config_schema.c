#include "config/config_schema.h"

/* Limits of values, in the unit of the key in the file. */
#define RATE_MAX_PER_S 10000000
#define STREAMS_MAX 1000000
#define WEIGHT_MAX 10000
#define LAYERS_MAX 10000
#define MEMORY_MAX_MIB 100000000
#define ACTIVATION_MAX_BYTES 16777216
#define DELAY_MAX_US 10000000
#define BANDWIDTH_MAX_MBIT_PER_S 10000000
#define OBJECTIVE_MAX_MS 3600000
#define ACCELERATORS_MAX 1024
#define LAYER_TOKENS_MAX_PER_S 1000000000
#define SPARE_HOSTS_MAX 100
#define KEY_LIFETIME_MIN_S 60
#define KEY_LIFETIME_MAX_S UINT64_C (7776000) /* 90 days */
#define QUEUE_LENGTH_MAX 100000
#define DEADLINE_MIN_MS 100
#define DEADLINE_MAX_MS 3600000
#define TOKENS_PER_REQUEST_MAX 1000000
#define PROMPT_MAX_BYTES 16777216

/* Limits of list lengths. */
#define ACCOUNTS_MAX 20000
#define MODELS_MAX 1000
#define DATA_CENTRES_MAX 256
#define LINKS_MAX 32768
#define HOSTS_MAX 10000
#define SERVICES_MAX 1000
#define IDEMPOTENT_CALLS_MAX 100

/* Factors from the unit of a key in the file to the unit of the member. */
#define BYTES_PER_MBIT 125000
#define US_PER_MS INT64_C (1000)

/* The table of fields of a struct sch_schema. */
#define FIELDS(table) .fields = (table), .field_count = G_N_ELEMENTS (table)

static const char *const profiles[]
    = { [CFG_PROFILE_THROUGHPUT] = "throughput",
        [CFG_PROFILE_RECOVERY] = "recovery",
        NULL };
static const char *const placements[]
    = { [CFG_PLACEMENT_AUTOMATIC] = "automatic",
        [CFG_PLACEMENT_FIXED] = "fixed",
        NULL };
static const char *const roles[]
    = { [CFG_HOST_ENGINE] = "engine", [CFG_HOST_SERVICE] = "service", NULL };
static const char *const fencings[] = {
  [CFG_FENCING_CHECKED] = "checked", [CFG_FENCING_IGNORED] = "ignored", NULL
};

static const struct sch_field objective_fields[] = {
  { .key = "availability",
    .type = SCH_FRACTION,
    SCH_MEMBER (struct cfg_objective, availability),
    .min_fraction = 0.5,
    .max_fraction = 0.999999 },
  { .key = "first_token_ms",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_objective, first_token_us),
    .min = 1,
    .max = OBJECTIVE_MAX_MS,
    .scale = US_PER_MS },
  { .key = "between_tokens_ms",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_objective, between_tokens_us),
    .min = 1,
    .max = OBJECTIVE_MAX_MS,
    .scale = US_PER_MS },
  { .key = "settled_ms",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_objective, settled_us),
    .min = 1,
    .max = OBJECTIVE_MAX_MS,
    .scale = US_PER_MS },
};

#define DEFAULT_OBJECTIVE                                                     \
  {                                                                           \
    .availability = 0.999, .first_token_us = 660 * US_PER_MS,                 \
    .between_tokens_us = 39 * US_PER_MS, .settled_us = 2000 * US_PER_MS       \
  }

static const struct cfg_objective default_objective = DEFAULT_OBJECTIVE;

static const struct sch_schema objective_schema = {
  .bytes = sizeof (struct cfg_objective),
  .defaults = &default_objective,
  FIELDS (objective_fields),
};

static const struct cfg_account default_account = {
  .requests_per_s = 50,
  .tokens_per_s = 20000,
  .streams = 500,
  .weight = 1,
  .objective = DEFAULT_OBJECTIVE,
};

static const struct sch_field account_fields[] = {
  { .key = "name",
    .type = SCH_CHAR_ARRAY,
    SCH_MEMBER (struct cfg_account, name),
    .required = true,
    .check = sch_check_name },
  { .key = "token_sha256",
    .type = SCH_CHAR_ARRAY,
    SCH_MEMBER (struct cfg_account, token_sha256),
    .required = true,
    .secret = true,
    .check = sch_check_sha256 },
  { .key = "requests_per_s",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_account, requests_per_s),
    .min = 1,
    .max = RATE_MAX_PER_S },
  { .key = "tokens_per_s",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_account, tokens_per_s),
    .min = 1,
    .max = RATE_MAX_PER_S },
  { .key = "streams",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_account, streams),
    .min = 1,
    .max = STREAMS_MAX },
  { .key = "weight",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_account, weight),
    .min = 1,
    .max = WEIGHT_MAX },
  { .key = "objective",
    .type = SCH_MAP,
    SCH_MEMBER (struct cfg_account, objective),
    .child = &objective_schema },
};

static const struct sch_schema account_schema = {
  .bytes = sizeof (struct cfg_account),
  .defaults = &default_account,
  .unique_key = "name",
  FIELDS (account_fields),
};

static const struct cfg_model default_model = { .demand_weight = 1 };

static const struct sch_field model_fields[] = {
  { .key = "name",
    .type = SCH_CHAR_ARRAY,
    SCH_MEMBER (struct cfg_model, name),
    .required = true,
    .check = sch_check_name },
  { .key = "layers",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_model, layers),
    .required = true,
    .min = 1,
    .max = LAYERS_MAX },
  { .key = "layer_memory_mib",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_model, layer_memory_mib),
    .required = true,
    .min = 1,
    .max = MEMORY_MAX_MIB },
  { .key = "activation_bytes",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_model, activation_bytes),
    .required = true,
    .min = 1,
    .max = ACTIVATION_MAX_BYTES },
  { .key = "demand_weight",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_model, demand_weight),
    .min = 1,
    .max = WEIGHT_MAX },
};

static const struct sch_schema model_schema = {
  .bytes = sizeof (struct cfg_model),
  .defaults = &default_model,
  .unique_key = "name",
  FIELDS (model_fields),
};

static const struct sch_field data_centre_fields[] = {
  { .key = "name",
    .type = SCH_CHAR_ARRAY,
    SCH_MEMBER (struct cfg_data_centre, name),
    .required = true,
    .check = sch_check_name },
  { .key = "region",
    .type = SCH_CHAR_ARRAY,
    SCH_MEMBER (struct cfg_data_centre, region),
    .required = true,
    .check = sch_check_name },
};

static const struct sch_schema data_centre_schema = {
  .bytes = sizeof (struct cfg_data_centre),
  .unique_key = "name",
  FIELDS (data_centre_fields),
};

static const struct sch_field link_fields[] = {
  { .key = "from",
    .type = SCH_REFERENCE,
    SCH_MEMBER (struct cfg_link, from),
    .required = true,
    .target_list = "data_centres" },
  { .key = "to",
    .type = SCH_REFERENCE,
    SCH_MEMBER (struct cfg_link, to),
    .required = true,
    .target_list = "data_centres" },
  { .key = "delay_us",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_link, delay_us),
    .required = true,
    .min = 1,
    .max = DELAY_MAX_US },
  { .key = "mbit_per_s",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_link, bytes_per_s),
    .required = true,
    .min = 1,
    .max = BANDWIDTH_MAX_MBIT_PER_S,
    .scale = BYTES_PER_MBIT },
};

static const struct sch_schema link_schema = {
  .bytes = sizeof (struct cfg_link),
  FIELDS (link_fields),
};

static const struct cfg_host default_host = {
  .fencing = CFG_FENCING_IGNORED,
  .service = CFG_NO_INDEX,
};

static const struct sch_field host_fields[] = {
  { .key = "name",
    .type = SCH_CHAR_ARRAY,
    SCH_MEMBER (struct cfg_host, name),
    .required = true,
    .check = sch_check_name },
  { .key = "address",
    .type = SCH_CHAR_ARRAY,
    SCH_MEMBER (struct cfg_host, address),
    .required = true,
    .check = sch_check_address },
  { .key = "role",
    .type = SCH_CHOICE,
    SCH_MEMBER (struct cfg_host, role),
    .required = true,
    .choices = roles },
  { .key = "data_centre",
    .type = SCH_REFERENCE,
    SCH_MEMBER (struct cfg_host, data_centre),
    .required = true,
    .target_list = "data_centres" },
  { .key = "kind",
    .type = SCH_CHAR_ARRAY,
    SCH_MEMBER (struct cfg_host, kind),
    .check = sch_check_name },
  { .key = "accelerators",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_host, accelerators),
    .omit_zero = true,
    .min = 1,
    .max = ACCELERATORS_MAX },
  { .key = "memory_mib",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_host, memory_mib),
    .omit_zero = true,
    .min = 1,
    .max = MEMORY_MAX_MIB },
  { .key = "layer_tokens_per_s",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_host, layer_tokens_per_s),
    .omit_zero = true,
    .min = 1,
    .max = LAYER_TOKENS_MAX_PER_S },
  { .key = "fencing",
    .type = SCH_CHOICE,
    SCH_MEMBER (struct cfg_host, fencing),
    .choices = fencings },
  { .key = "service",
    .type = SCH_REFERENCE,
    SCH_MEMBER (struct cfg_host, service),
    .target_list = "services" },
  { .key = "draining",
    .type = SCH_BOOL,
    SCH_MEMBER (struct cfg_host, draining),
    .omit_zero = true },
};

static const struct sch_schema host_schema = {
  .bytes = sizeof (struct cfg_host),
  .defaults = &default_host,
  .unique_key = "name",
  FIELDS (host_fields),
};

static const struct sch_field call_fields[] = {
  { .key = "method",
    .type = SCH_CHAR_ARRAY,
    SCH_MEMBER (struct cfg_idempotent_call, method),
    .required = true,
    .check = sch_check_method },
  { .key = "path_prefix",
    .type = SCH_CHAR_ARRAY,
    SCH_MEMBER (struct cfg_idempotent_call, path_prefix),
    .required = true,
    .check = sch_check_path },
};

static const struct sch_schema call_schema = {
  .bytes = sizeof (struct cfg_idempotent_call),
  FIELDS (call_fields),
};

static const struct sch_field service_fields[] = {
  { .key = "name",
    .type = SCH_CHAR_ARRAY,
    SCH_MEMBER (struct cfg_service, name),
    .required = true,
    .check = sch_check_name },
  { .key = "idempotent",
    .type = SCH_LIST,
    .offset = offsetof (struct cfg_service, idempotent),
    .max = IDEMPOTENT_CALLS_MAX,
    .child = &call_schema,
    .count_offset = offsetof (struct cfg_service, idempotent_count) },
};

static const struct sch_schema service_schema = {
  .bytes = sizeof (struct cfg_service),
  .unique_key = "name",
  FIELDS (service_fields),
};

static const struct sch_field rules_fields[] = {
  { .key = "profile",
    .type = SCH_CHOICE,
    SCH_MEMBER (struct cfg_rules, profile),
    .choices = profiles },
  { .key = "placement",
    .type = SCH_CHOICE,
    SCH_MEMBER (struct cfg_rules, placement),
    .choices = placements },
  { .key = "spare_hosts",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_rules, spare_hosts),
    .max = SPARE_HOSTS_MAX },
  { .key = "key_lifetime_s",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_rules, key_lifetime_s),
    .min = KEY_LIFETIME_MIN_S,
    .max = KEY_LIFETIME_MAX_S },
  { .key = "queue_length",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_rules, queue_length),
    .min = 1,
    .max = QUEUE_LENGTH_MAX },
  { .key = "default_deadline_ms",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_rules, default_deadline_ms),
    .min = DEADLINE_MIN_MS,
    .max = DEADLINE_MAX_MS },
  { .key = "max_tokens",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_rules, max_tokens),
    .min = 1,
    .max = TOKENS_PER_REQUEST_MAX },
  { .key = "prompt_bytes",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_rules, prompt_bytes),
    .min = 1,
    .max = PROMPT_MAX_BYTES },
};

static const struct sch_schema rules_schema = {
  .bytes = sizeof (struct cfg_rules),
  FIELDS (rules_fields),
};

/* A top-level list of the configuration: its key SECTION, the members ARRAY
   and COUNT of struct cfg_config, and the schema of its items.  */
#define SECTION(section, array, count, schema, length_max)                    \
  {                                                                           \
    .key = (section), .type = SCH_LIST,                                       \
    .offset = offsetof (struct cfg_config, array), .max = (length_max),       \
    .child = &(schema), .count_offset = offsetof (struct cfg_config, count)   \
  }

static const struct sch_field config_fields[] = {
  { .key = "version",
    .type = SCH_UNSIGNED,
    SCH_MEMBER (struct cfg_config, version),
    .required = true,
    .min = 1,
    .max = INT64_MAX },
  SECTION ("accounts", accounts, account_count, account_schema, ACCOUNTS_MAX),
  SECTION ("models", models, model_count, model_schema, MODELS_MAX),
  SECTION ("data_centres", data_centres, data_centre_count, data_centre_schema,
           DATA_CENTRES_MAX),
  SECTION ("links", links, link_count, link_schema, LINKS_MAX),
  SECTION ("hosts", hosts, host_count, host_schema, HOSTS_MAX),
  SECTION ("services", services, service_count, service_schema, SERVICES_MAX),
  { .key = "rules",
    .type = SCH_MAP,
    SCH_MEMBER (struct cfg_config, rules),
    .child = &rules_schema },
};

const struct sch_schema cfg_schema = {
  .bytes = sizeof (struct cfg_config),
  FIELDS (config_fields),
};

/* Returns a new array with one link of CONFIG for each pair of data centres,
   as in the YAML file, instead of one for each direction.  Sets COUNT to its
   length.  The caller frees the array with g_free.  */
struct cfg_link *
cfg_undirected_links (const struct cfg_config *config, uint32_t *count)
{
  struct cfg_link *links = g_new (struct cfg_link, config->link_count);
  *count = 0;
  for (uint32_t i = 0; i < config->link_count; i++)
    {
      if (config->links[i].from < config->links[i].to)
        {
          links[*count] = config->links[i];
          (*count)++;
        }
    }
  return links;
}
