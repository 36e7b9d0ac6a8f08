/* Parses a YAML document into a tree of nodes with line numbers, in bounded
   memory.  Anchors, aliases and tags are rejected. */
#ifndef CONFIG_YAML_TREE_H
#define CONFIG_YAML_TREE_H

#include "config/error_list.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum yt_type
{
  YT_SCALAR,
  YT_LIST,
  YT_MAP
};

/* A value; the document's root is a node as well. */
struct yt_node
{
  enum yt_type type;
  bool plain;       /* a scalar that is not quoted */
  uint32_t line;    /* in the file, from 1 */
  char *text;       /* of a scalar; else NULL */
  GPtrArray *items; /* of a list; of a map: key, value, key, value...;
                       NULL for a scalar */
};

/* Limits that a document must not exceed. */
struct yt_limits
{
  size_t text_bytes_max;
  uint32_t depth_max; /* of nested lists and maps */
  uint32_t nodes_max; /* keys count too */
};

struct yt_node *yt_parse (const char *text, size_t text_bytes,
                          const struct yt_limits *limits,
                          struct cmp_list *errors);
struct yt_node *yt_create_scalar (uint32_t line, bool plain, const char *text,
                                  size_t text_bytes);
struct yt_node *yt_create_container (enum yt_type type, uint32_t line);
void yt_destroy (struct yt_node *node);
struct yt_node *yt_get (const struct yt_node *map, const char *key);
void yt_put (struct yt_node *map, const char *key, struct yt_node *value);

#endif
