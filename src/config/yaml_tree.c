#include "config/yaml_tree.h"

#include <string.h>
#include <yaml.h>

/* The state of building a tree from parser events.  */
struct builder
{
  const struct yt_limits *limits;
  struct cmp_list *errors;
  struct yt_node *root;
  GPtrArray *open_containers; /* not yet ended, the innermost last */
  uint32_t node_count;
  uint32_t document_count;
};

static void
destroy_node (gpointer data)
{
  yt_destroy (data);
}

/* Frees NODE and all nodes below it; NULL is allowed.  */
void
yt_destroy (struct yt_node *node) /* NOLINT(misc-no-recursion) */
{
  if (node == NULL)
    {
      return;
    }
  if (node->items != NULL)
    {
      g_ptr_array_free (node->items, TRUE);
    }
  g_free (node->text);
  g_free (node);
}

/* Returns a new scalar with a copy of TEXT.  The caller frees it with
   yt_destroy or adds it to a container.  */
struct yt_node *
yt_create_scalar (uint32_t line, bool plain, const char *text,
                  size_t text_bytes)
{
  struct yt_node *node = g_new0 (struct yt_node, 1);
  node->type = YT_SCALAR;
  node->plain = plain;
  node->line = line;
  node->text = g_strndup (text, text_bytes);
  return node;
}

/* Returns a new empty list or map, as TYPE says.  The caller frees it with
   yt_destroy or adds it to a container.  */
struct yt_node *
yt_create_container (enum yt_type type, uint32_t line)
{
  struct yt_node *node = g_new0 (struct yt_node, 1);
  node->type = type;
  node->line = line;
  node->items = g_ptr_array_new_with_free_func (destroy_node);
  return node;
}

/* Returns the index of the value of KEY in the items of MAP, or 0 when MAP
   does not have KEY.  */
static guint
find_value (const struct yt_node *map, const char *key)
{
  for (guint i = 0; i + 1 < map->items->len; i += 2)
    {
      const struct yt_node *name = g_ptr_array_index (map->items, i);
      if (name->type == YT_SCALAR && strcmp (name->text, key) == 0)
        {
          return i + 1;
        }
    }
  return 0;
}

/* Returns the value of KEY in MAP, which owns it.  Returns NULL when MAP is
   NULL, is not a map, or does not have KEY.  */
struct yt_node *
yt_get (const struct yt_node *map, const char *key)
{
  if (map == NULL || map->type != YT_MAP)
    {
      return NULL;
    }
  guint index = find_value (map, key);
  return index == 0 ? NULL : g_ptr_array_index (map->items, index);
}

/* Sets KEY of MAP to VALUE, which MAP owns from then on.  Frees the previous
   value, if any.  */
void
yt_put (struct yt_node *map, const char *key, struct yt_node *value)
{
  guint index = find_value (map, key);
  if (index == 0)
    {
      g_ptr_array_add (
          map->items, yt_create_scalar (value->line, true, key, strlen (key)));
      g_ptr_array_add (map->items, value);
      return;
    }
  yt_destroy (g_ptr_array_index (map->items, index));
  g_ptr_array_index (map->items, index) = value;
}

/* Appends NODE to the innermost open container, or makes it the root.  When
   the document has too many nodes, frees NODE, adds an error and returns
   false.  */
static bool
append_node (struct builder *builder, struct yt_node *node)
{
  builder->node_count++;
  if (builder->node_count > builder->limits->nodes_max)
    {
      cmp_add (builder->errors, node->line,
               "too many values; allowed: up to %u",
               builder->limits->nodes_max);
      yt_destroy (node);
      return false;
    }
  if (builder->open_containers->len == 0)
    {
      builder->root = node;
      return true;
    }
  struct yt_node *container = g_ptr_array_index (
      builder->open_containers, builder->open_containers->len - 1);
  g_ptr_array_add (container->items, node);
  return true;
}

/* Adds a list or map, to which the following nodes are appended until its end.
   Returns false, with an error added, when a limit is exceeded.  */
static bool
open_container (struct builder *builder, enum yt_type type, uint32_t line)
{
  if (builder->open_containers->len >= builder->limits->depth_max)
    {
      cmp_add (builder->errors, line,
               "nested too deeply; allowed: up to %u levels",
               builder->limits->depth_max);
      return false;
    }
  struct yt_node *node = yt_create_container (type, line);
  if (!append_node (builder, node))
    {
      return false;
    }
  g_ptr_array_add (builder->open_containers, node);
  return true;
}

/* Returns true when TEXT holds no control characters.  */
static bool
is_printable (const unsigned char *text, size_t bytes)
{
  for (size_t i = 0; i < bytes; i++)
    {
      if (text[i] < ' ' || text[i] == 0x7f)
        {
          return false;
        }
    }
  return true;
}

static bool
add_scalar (struct builder *builder, const yaml_event_t *event, uint32_t line)
{
  if (!is_printable (event->data.scalar.value, event->data.scalar.length))
    {
      cmp_add (builder->errors, line,
               "control character in a value; allowed: printable text");
      return false;
    }
  struct yt_node *node = yt_create_scalar (
      line, event->data.scalar.style == YAML_PLAIN_SCALAR_STYLE,
      (const char *)event->data.scalar.value, event->data.scalar.length);
  return append_node (builder, node);
}

/* Returns true when EVENT is no alias and has no anchor or tag; else adds an
   error.  */
static bool
check_event (struct builder *builder, const yaml_event_t *event, uint32_t line)
{
  const yaml_char_t *anchor = NULL;
  const yaml_char_t *tag = NULL;
  switch (event->type)
    {
    case YAML_ALIAS_EVENT:
      anchor = event->data.alias.anchor;
      break;
    case YAML_SCALAR_EVENT:
      anchor = event->data.scalar.anchor;
      tag = event->data.scalar.tag;
      break;
    case YAML_SEQUENCE_START_EVENT:
      anchor = event->data.sequence_start.anchor;
      tag = event->data.sequence_start.tag;
      break;
    case YAML_MAPPING_START_EVENT:
      anchor = event->data.mapping_start.anchor;
      tag = event->data.mapping_start.tag;
      break;
    default:
      return true;
    }
  if (anchor != NULL)
    {
      cmp_add (builder->errors, line,
               "anchors and aliases are not allowed; write the value out");
    }
  else if (tag != NULL)
    {
      cmp_add (builder->errors, line,
               "tags are not allowed; write the value alone");
    }
  return anchor == NULL && tag == NULL;
}

/* Adds the content of EVENT to the tree.  Returns false, with an error added,
   when EVENT is rejected.  */
static bool
handle_event (struct builder *builder, const yaml_event_t *event)
{
  uint32_t line = (uint32_t)event->start_mark.line + 1;
  if (!check_event (builder, event, line))
    {
      return false;
    }
  switch (event->type)
    {
    case YAML_DOCUMENT_START_EVENT:
      builder->document_count++;
      if (builder->document_count > 1)
        {
          cmp_add (builder->errors, line,
                   "a second document; allowed: one document in a file");
        }
      return builder->document_count == 1;
    case YAML_SCALAR_EVENT:
      return add_scalar (builder, event, line);
    case YAML_SEQUENCE_START_EVENT:
      return open_container (builder, YT_LIST, line);
    case YAML_MAPPING_START_EVENT:
      return open_container (builder, YT_MAP, line);
    case YAML_SEQUENCE_END_EVENT:
    case YAML_MAPPING_END_EVENT:
      g_ptr_array_remove_index (builder->open_containers,
                                builder->open_containers->len - 1);
      return true;
    default:
      return true;
    }
}

/* Returns the line of the byte at OFFSET in TEXT, from 1.  */
static uint32_t
line_at_offset (const char *text, size_t text_bytes, size_t offset)
{
  uint32_t line = 1;
  for (size_t i = 0; i < MIN (offset, text_bytes); i++)
    {
      line += text[i] == '\n';
    }
  return line;
}

static void
report_syntax_error (const yaml_parser_t *parser, const char *text,
                     size_t text_bytes, struct cmp_list *errors)
{
  uint32_t line = (uint32_t)parser->problem_mark.line + 1;
  if (parser->error == YAML_READER_ERROR)
    {
      line = line_at_offset (text, text_bytes, parser->problem_offset);
    }
  cmp_add (errors, line, "not YAML in UTF-8: %s",
           parser->problem == NULL ? "malformed" : parser->problem);
}

/* Passes every event of PARSER to BUILDER.  Stops and returns false, with an
   error added, at a syntax error or the first event that is rejected.  */
static bool
parse_events (yaml_parser_t *parser, struct builder *builder, const char *text,
              size_t text_bytes)
{
  bool more = true;
  while (more)
    {
      yaml_event_t event;
      if (!yaml_parser_parse (parser, &event))
        {
          report_syntax_error (parser, text, text_bytes, builder->errors);
          return false;
        }
      more = event.type != YAML_STREAM_END_EVENT;
      bool accepted = handle_event (builder, &event);
      yaml_event_delete (&event);
      if (!accepted)
        {
          return false;
        }
    }
  return true;
}

/* Parses TEXT, which must have exactly one document.  Returns the root of its
   tree, which the caller frees with yt_destroy.  Returns NULL, with an error
   added, when TEXT is not YAML in UTF-8, is empty, exceeds LIMITS or has
   anchors, aliases, tags or control characters.  */
struct yt_node *
yt_parse (const char *text, size_t text_bytes, const struct yt_limits *limits,
          struct cmp_list *errors)
{
  if (text_bytes > limits->text_bytes_max)
    {
      cmp_add (errors, 1, "%zu bytes long; allowed: up to %zu bytes",
               text_bytes, limits->text_bytes_max);
      return NULL;
    }
  yaml_parser_t parser;
  if (!yaml_parser_initialize (&parser))
    {
      cmp_add (errors, 1, "out of memory");
      return NULL;
    }
  struct builder builder = {
    .limits = limits,
    .errors = errors,
    .open_containers = g_ptr_array_new (),
  };
  yaml_parser_set_encoding (&parser, YAML_UTF8_ENCODING);
  yaml_parser_set_input_string (&parser, (const unsigned char *)text,
                                text_bytes);
  bool parsed = parse_events (&parser, &builder, text, text_bytes);
  yaml_parser_delete (&parser);
  g_ptr_array_free (builder.open_containers, TRUE);
  if (parsed && builder.root == NULL)
    {
      cmp_add (errors, 1, "empty; a map of keys is needed");
    }
  if (!parsed)
    {
      yt_destroy (builder.root);
      return NULL;
    }
  return builder.root;
}
