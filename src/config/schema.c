#include "config/schema.h"

#include "base/nearest.h"
#include "config/schema_value.h"

#include <string.h>

#define KEYS_MAX 64           /* of one schema */
#define QUOTED_BYTES 64       /* buffer for a quoted value */
#define KEY_CHARACTERS_MAX 40 /* of a key in a message */

static void read_map (struct sch_reader *reader,
                      const struct sch_schema *schema,
                      const struct yt_node *node, void *out);

/* Appends KEY, cut to KEY_CHARACTERS_MAX, to the path of the value that is
   being read.  */
static void
append_key (struct sch_reader *reader, const char *key)
{
  if (reader->path->len > 0)
    {
      g_string_append_c (reader->path, '.');
    }
  const char *end = key;
  for (int i = 0; i < KEY_CHARACTERS_MAX && *end != '\0'; i++)
    {
      end = g_utf8_next_char (end);
    }
  g_string_append_len (reader->path, key, end - key);
}

/* Adds an error for KEY, which SCHEMA does not have.  Suggests the known key
   that is nearest in spelling.  */
static void
report_unknown_key (struct sch_reader *reader, const struct sch_schema *schema,
                    const struct yt_node *key)
{
  if (cmp_is_full (reader->errors))
    {
      /* The message would not be kept: skip the search for the nearest key. */
      reader->errors->count++;
      return;
    }
  const char *known[KEYS_MAX];
  GString *allowed = g_string_new (NULL);
  for (size_t i = 0; i < schema->field_count; i++)
    {
      known[i] = schema->fields[i].key;
      g_string_append_printf (allowed, "%s%s", i == 0 ? "" : ", ", known[i]);
    }
  const char *nearest = near_word (key->text, known, schema->field_count);
  append_key (reader, key->text);
  if (nearest != NULL)
    {
      cmp_add (reader->errors, key->line,
               "%s: unknown key, did you mean '%s'; allowed: %s",
               reader->path->str, nearest, allowed->str);
    }
  else
    {
      cmp_add (reader->errors, key->line, "%s: unknown key; allowed: %s",
               reader->path->str, allowed->str);
    }
  g_string_free (allowed, TRUE);
}

/* Returns the index of the field with the key KEY, or the number of fields
   when there is none.  */
static size_t
find_field (const struct sch_schema *schema, const char *key)
{
  size_t i = 0;
  while (i < schema->field_count && strcmp (schema->fields[i].key, key) != 0)
    {
      i++;
    }
  return i;
}

/* Adds an error when an earlier item of the list has the same value of the
   unique key as ITEM.  SEEN maps each value to the node of the first item with
   it.  */
static void
check_unique_key (struct sch_reader *reader, const struct sch_schema *schema,
                  const struct yt_node *item, GHashTable *seen)
{
  const struct yt_node *name = yt_get (item, schema->unique_key);
  if (name == NULL || name->type != YT_SCALAR)
    {
      return;
    }
  const struct yt_node *earlier = g_hash_table_lookup (seen, name->text);
  if (earlier == NULL)
    {
      g_hash_table_insert (seen, name->text, (gpointer)name);
      return;
    }
  static const struct sch_field quotable = { .type = SCH_CHAR_ARRAY };
  char quoted[QUOTED_BYTES];
  cmp_add (reader->errors, name->line,
           "%s.%s: %s is already used on line %u; allowed: once",
           reader->path->str, schema->unique_key,
           sch_quote (&quotable, name->text, quoted, sizeof quoted),
           earlier->line);
}

/* Reads the list NODE into a new array of structs, and stores the array and
   its length in OUT.  */
static void
read_list (struct sch_reader *reader, /* NOLINT(misc-no-recursion) */
           const struct sch_field *field, const struct yt_node *node,
           void *out)
{
  if (node->type != YT_LIST)
    {
      cmp_add (reader->errors, node->line,
               "%s: is not a list; allowed: a list of maps",
               reader->path->str);
      return;
    }
  if (node->items->len > field->max)
    {
      cmp_add (reader->errors, node->line,
               "%s: %u items; allowed: up to %" G_GUINT64_FORMAT,
               reader->path->str, node->items->len, field->max);
      return;
    }
  const struct sch_schema *schema = field->child;
  char *items = g_malloc0_n (MAX (node->items->len, 1), schema->bytes);
  uint32_t count = node->items->len;
  memcpy ((char *)out + field->offset, &items, sizeof items);
  memcpy ((char *)out + field->count_offset, &count, sizeof count);
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  gsize path_bytes = reader->path->len;
  for (uint32_t i = 0; i < count; i++)
    {
      const struct yt_node *item = g_ptr_array_index (node->items, i);
      g_string_append_printf (reader->path, "[%u]", i);
      read_map (reader, schema, item, items + i * schema->bytes);
      if (schema->unique_key != NULL)
        {
          check_unique_key (reader, schema, item, seen);
        }
      g_string_truncate (reader->path, path_bytes);
    }
  g_hash_table_destroy (seen);
}

/* Reads NODE into the member of OUT that FIELD describes.  */
static void
read_field (struct sch_reader *reader, /* NOLINT(misc-no-recursion) */
            const struct sch_field *field, const struct yt_node *node,
            void *out)
{
  char *member = (char *)out + field->offset;
  switch (field->type)
    {
    case SCH_MAP:
      read_map (reader, field->child, node, member);
      break;
    case SCH_LIST:
      read_list (reader, field, node, out);
      break;
    case SCH_STRING_LIST:
      sch_read_strings (reader, field, node, member);
      break;
    default:
      sch_read_scalar (reader, field, node, member);
      break;
    }
}

/* Reads one key and its value into OUT.  SEEN has the line of each field that
   was read before, or 0.  */
static void
read_pair (struct sch_reader *reader, /* NOLINT(misc-no-recursion) */
           const struct sch_schema *schema, const struct yt_node *key,
           const struct yt_node *value, uint32_t *seen, void *out)
{
  if (key->type != YT_SCALAR)
    {
      cmp_add (reader->errors, key->line, "%s: a key is a %s; allowed: text",
               reader->path->str, key->type == YT_LIST ? "list" : "map");
      return;
    }
  size_t index = find_field (schema, key->text);
  if (index == schema->field_count)
    {
      report_unknown_key (reader, schema, key);
      return;
    }
  append_key (reader, key->text);
  if (seen[index] != 0)
    {
      cmp_add (reader->errors, key->line,
               "%s: duplicate key, first set on line %u; allowed: once",
               reader->path->str, seen[index]);
      return;
    }
  seen[index] = key->line;
  read_field (reader, &schema->fields[index], value, out);
}

/* Sets the struct OUT to the defaults of SCHEMA, if it has any, and reads the
   map NODE into OUT.  Members whose keys are missing keep their values.  */
static void
read_map (struct sch_reader *reader, /* NOLINT(misc-no-recursion) */
          const struct sch_schema *schema, const struct yt_node *node,
          void *out)
{
  if (schema->defaults != NULL)
    {
      memcpy (out, schema->defaults, schema->bytes);
    }
  if (node->type != YT_MAP)
    {
      cmp_add (reader->errors, node->line,
               "%s: is not a map; allowed: keys with values",
               reader->path->len == 0 ? "the file" : reader->path->str);
      return;
    }
  uint32_t seen[KEYS_MAX] = { 0 };
  gsize path_bytes = reader->path->len;
  for (guint i = 0; i + 1 < node->items->len; i += 2)
    {
      read_pair (reader, schema, g_ptr_array_index (node->items, i),
                 g_ptr_array_index (node->items, i + 1), seen, out);
      g_string_truncate (reader->path, path_bytes);
    }
  for (size_t i = 0; i < schema->field_count; i++)
    {
      if (schema->fields[i].required && seen[i] == 0)
        {
          cmp_add (reader->errors, node->line, "%s%s%s: is missing",
                   reader->path->str, path_bytes == 0 ? "" : ".",
                   schema->fields[i].key);
        }
    }
}

static void
destroy_indices (gpointer data)
{
  g_hash_table_destroy (data);
}

/* Reads ROOT into OUT, a struct that SCHEMA describes.  Adds every error to
   ERRORS and returns true if there was none.  The caller initialises OUT, as a
   key that is missing and has no default leaves its member unchanged.  OUT
   owns the memory allocated for its values, also after an error; the caller
   frees it.  */
bool
sch_read (const struct sch_schema *schema, const struct yt_node *root,
          void *out, struct cmp_list *errors)
{
  struct sch_reader reader = {
    .root = root,
    .errors = errors,
    .path = g_string_new (NULL),
    .indices_by_list
    = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_indices),
  };
  uint32_t before = errors->count;
  read_map (&reader, schema, root, out);
  g_hash_table_destroy (reader.indices_by_list);
  g_string_free (reader.path, TRUE);
  return errors->count == before;
}
