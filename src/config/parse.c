#include "config/parse.h"

#include "base/error.h"
#include "config/config_schema.h"
#include "config/yaml_tree.h"

#define DEPTH_MAX 8
#define NODES_MAX 200000

static const struct yt_limits limits = {
  .text_bytes_max = CFG_TEXT_BYTES_MAX,
  .depth_max = DEPTH_MAX,
  .nodes_max = NODES_MAX,
};

/* Returns the line of item INDEX of the list SECTION in ROOT.  */
static uint32_t
item_line (const struct yt_node *root, const char *section, uint32_t index)
{
  const struct yt_node *list = yt_get (root, section);
  const struct yt_node *item = g_ptr_array_index (list->items, index);
  return item->line;
}

/* Adds errors for links from a data centre to itself and for pairs of data
   centres that are listed more than once.  */
static void
check_links (const struct cfg_config *config, const struct yt_node *root,
             struct cmp_list *errors)
{
  GHashTable *seen
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL);
  for (uint32_t i = 0; i < config->link_count; i++)
    {
      const struct cfg_link *link = &config->links[i];
      uint32_t line = item_line (root, "links", i);
      gint64 pair = ((gint64)MIN (link->from, link->to) << 32)
                    | MAX (link->from, link->to);
      if (link->from == link->to)
        {
          cmp_add (errors, line,
                   "links[%u].to: the same data centre as from; allowed: "
                   "another one",
                   i);
        }
      else if (g_hash_table_contains (seen, &pair))
        {
          cmp_add (errors, line,
                   "links[%u]: the pair is listed already; allowed: once, for "
                   "both directions",
                   i);
        }
      g_hash_table_add (seen, g_memdup2 (&pair, sizeof pair));
    }
  g_hash_table_destroy (seen);
}

/* Adds errors for keys that host INDEX lacks although its role needs them, and
   for keys that its role does not allow.  A value of 0 or "" counts as a
   lacking key.  */
static void
check_host_role (const struct cfg_config *config, uint32_t index,
                 uint32_t line, struct cmp_list *errors)
{
  const struct cfg_host *host = &config->hosts[index];
  const struct
  {
    const char *key;
    bool present;
    enum cfg_host_role role;
  } role_keys[] = {
    { "kind", host->kind[0] != '\0', CFG_HOST_ENGINE },
    { "accelerators", host->accelerators > 0, CFG_HOST_ENGINE },
    { "memory_mib", host->memory_mib > 0, CFG_HOST_ENGINE },
    { "layer_tokens_per_s", host->layer_tokens_per_s > 0, CFG_HOST_ENGINE },
    { "service", host->service != CFG_NO_INDEX, CFG_HOST_SERVICE },
  };
  for (size_t i = 0; i < G_N_ELEMENTS (role_keys); i++)
    {
      const char *role
          = role_keys[i].role == CFG_HOST_ENGINE ? "engine" : "service";
      if (role_keys[i].role == host->role && !role_keys[i].present)
        {
          cmp_add (errors, line, "hosts[%u].%s: is missing; role %s needs it",
                   index, role_keys[i].key, role);
        }
      else if (role_keys[i].role != host->role && role_keys[i].present)
        {
          cmp_add (errors, line,
                   "hosts[%u].%s: does not fit the role; allowed: only for "
                   "role %s",
                   index, role_keys[i].key, role);
        }
    }
}

/* Adds an error when TEXT, the value of KEY in item INDEX of SECTION, is in
   SEEN already; else adds TEXT to SEEN.  */
static void
check_unique (GHashTable *seen, const char *text, const char *section,
              uint32_t index, const char *key, uint32_t line,
              struct cmp_list *errors)
{
  if (!g_hash_table_add (seen, (gpointer)text))
    {
      cmp_add (errors, line,
               "%s[%u].%s: an earlier item has the same value; allowed: once",
               section, index, key);
    }
}

/* Checks what the schema cannot express: addresses of hosts and hashes of
   the accounts' tokens are unique, links are listed once, and the keys of a
   host fit its role.  */
static void
check_consistency (const struct cfg_config *config, const struct yt_node *root,
                   struct cmp_list *errors)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < config->host_count; i++)
    {
      uint32_t line = item_line (root, "hosts", i);
      check_host_role (config, i, line, errors);
      check_unique (seen, config->hosts[i].address, "hosts", i, "address",
                    line, errors);
    }
  g_hash_table_remove_all (seen);
  for (uint32_t i = 0; i < config->account_count; i++)
    {
      check_unique (seen, config->accounts[i].token_sha256, "accounts", i,
                    "token_sha256", item_line (root, "accounts", i), errors);
    }
  g_hash_table_destroy (seen);
  check_links (config, root, errors);
}

/* Replaces each link by two, one for each direction.  */
static void
add_reverse_links (struct cfg_config *config)
{
  size_t pairs = config->link_count;
  struct cfg_link *links = g_new (struct cfg_link, 2 * pairs);
  for (size_t i = 0; i < pairs; i++)
    {
      struct cfg_link *forward = &links[2 * i];
      struct cfg_link *reverse = &links[2 * i + 1];
      *forward = config->links[i];
      *reverse = config->links[i];
      reverse->from = forward->to;
      reverse->to = forward->from;
    }
  g_free (config->links);
  config->links = links;
  config->link_count *= 2;
}

/* Parses the YAML text of a configuration, without checking its keys.  Returns
   the tree, which the caller frees with yt_destroy, or NULL with an error
   added.  */
struct yt_node *
cfg_parse_tree (const char *text, size_t text_bytes, struct cmp_list *errors)
{
  return yt_parse (text, text_bytes, &limits, errors);
}

/* Reads a configuration from the tree ROOT, which is NULL after a failed
   parse.  Returns NULL when ERRORS has an error, added here or earlier.
   The caller frees the result with cfg_config_destroy.  */
struct cfg_config *
cfg_read_tree (const struct yt_node *root, struct cmp_list *errors)
{
  struct cfg_config *config = cfg_config_create ();
  if (root != NULL && sch_read (&cfg_schema, root, config, errors))
    {
      check_consistency (config, root, errors);
    }
  if (errors->count > 0)
    {
      cfg_config_destroy (config);
      return NULL;
    }
  config->base_version = config->version - 1;
  add_reverse_links (config);
  return config;
}

/* Parses the configuration in the YAML text TEXT, TEXT_BYTES long.  Returns
   NULL with ERR_CONFIG_INVALID when it is invalid, and adds one line for each
   error to MESSAGES: `FILE_NAME:line: key: problem', for most errors followed
   by `; allowed: ...'.  The caller frees the result with
   cfg_config_destroy.  */
struct cfg_config *
cfg_parse (const char *file_name, const char *text, size_t text_bytes,
           GString *messages, GError **error)
{
  struct cmp_list errors = { .file_name = file_name, .text = messages };
  struct yt_node *root = cfg_parse_tree (text, text_bytes, &errors);
  struct cfg_config *config = cfg_read_tree (root, &errors);
  yt_destroy (root);
  cmp_set_error (&errors, ERR_CONFIG_INVALID, error);
  return config;
}
