/* Schemas of the fleet's configuration and of a daemon's settings, and the two
   steps of parsing a configuration: text to a YAML tree, and tree to struct
   cfg_config.  Private to src/config. */
#ifndef CONFIG_CONFIG_SCHEMA_H
#define CONFIG_CONFIG_SCHEMA_H

#include "config/schema.h"
#include "core/config.h"

extern const struct sch_schema cfg_schema; /* of the configuration */
extern const struct sch_schema set_schema; /* of a daemon's settings */

struct yt_node *cfg_parse_tree (const char *text, size_t text_bytes,
                                struct cmp_list *errors);
struct cfg_config *cfg_read_tree (const struct yt_node *root,
                                  struct cmp_list *errors);

struct cfg_link *cfg_undirected_links (const struct cfg_config *config,
                                       uint32_t *count);

#endif
