#include "core/config.h"

#include <glib.h>
#include <stdatomic.h>

#define DEFAULT_KEY_LIFETIME_S 86400 /* 24 h */
#define DEFAULT_QUEUE_LENGTH 256
#define DEFAULT_DEADLINE_MS 60000
#define DEFAULT_MAX_TOKENS 1024
#define DEFAULT_PROMPT_BYTES 65536

/* Assumed inside a data centre when the configuration lists no link. */
#define LOCAL_DELAY_US 50
#define LOCAL_BYTES_PER_S UINT64_C (1250000000)

/* Assumed between two data centres when the configuration lists no link. */
#define UNLISTED_DELAY_US 200000
#define UNLISTED_BYTES_PER_S UINT64_C (1250000)

/* Returns an empty configuration of version 0 with the default rules.  The
   caller holds the only reference.  */
struct cfg_config *
cfg_config_create (void)
{
  struct cfg_config *config = g_new0 (struct cfg_config, 1);
  config->references = 1;
  config->rules = (struct cfg_rules){
    .profile = CFG_PROFILE_THROUGHPUT,
    .spare_hosts = 1,
    .key_lifetime_s = DEFAULT_KEY_LIFETIME_S,
    .queue_length = DEFAULT_QUEUE_LENGTH,
    .default_deadline_ms = DEFAULT_DEADLINE_MS,
    .max_tokens = DEFAULT_MAX_TOKENS,
    .prompt_bytes = DEFAULT_PROMPT_BYTES,
  };
  return config;
}

/* Adds a reference to CONFIG and returns CONFIG.  Thread-safe.  */
struct cfg_config *
cfg_config_ref (struct cfg_config *config)
{
  atomic_fetch_add (&config->references, 1);
  return config;
}

/* Drops a reference to CONFIG and frees it with the last one; NULL is
   allowed.  Thread-safe.  */
void
cfg_config_destroy (struct cfg_config *config)
{
  if (config == NULL || atomic_fetch_sub (&config->references, 1) > 1)
    {
      return;
    }
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      g_free (config->services[i].idempotent);
    }
  g_free (config->accounts);
  g_free (config->models);
  g_free (config->data_centres);
  g_free (config->links);
  g_free (config->hosts);
  g_free (config->services);
  g_free (config);
}

/* Returns the configured link from data centre FROM to data centre TO, both
   indices, or NULL when there is none.  A link from a data centre to itself is
   optional.  */
const struct cfg_link *
cfg_link_between (const struct cfg_config *config, uint32_t from, uint32_t to)
{
  for (uint32_t i = 0; i < config->link_count; i++)
    {
      const struct cfg_link *link = &config->links[i];
      if (link->from == from && link->to == to)
        {
          return link;
        }
    }
  return NULL;
}

/* Returns the delay and bandwidth from data centre FROM to data centre TO,
   both indices: those of the configured link, else local defaults when FROM
   equals TO.  Two data centres without a configured link get the slow
   UNLISTED_* values, so that a link missing from the configuration attracts no
   work. When FROM is CFG_NO_INDEX every data centre without a configured link
   counts as local.  */
struct cfg_link
cfg_path_between (const struct cfg_config *config, uint32_t from, uint32_t to)
{
  struct cfg_link path = {
    .from = from,
    .to = to,
    .delay_us = LOCAL_DELAY_US,
    .bytes_per_s = LOCAL_BYTES_PER_S,
  };
  const struct cfg_link *link = cfg_link_between (config, from, to);
  if (link != NULL)
    {
      return *link;
    }
  if (from != to && from != CFG_NO_INDEX)
    {
      path.delay_us = UNLISTED_DELAY_US;
      path.bytes_per_s = UNLISTED_BYTES_PER_S;
    }
  return path;
}

/* Returns the host called NAME, or NULL.  */
const struct cfg_host *
cfg_find_host (const struct cfg_config *config, const char *name)
{
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      if (g_str_equal (config->hosts[i].name, name))
        {
          return &config->hosts[i];
        }
    }
  return NULL;
}

/* Returns the account called NAME, or NULL.  */
const struct cfg_account *
cfg_find_account (const struct cfg_config *config, const char *name)
{
  for (uint32_t i = 0; i < config->account_count; i++)
    {
      if (g_str_equal (config->accounts[i].name, name))
        {
          return &config->accounts[i];
        }
    }
  return NULL;
}
