#include "config/config_schema.h"
#include "config/parse.h"

#include <string.h>

/* The state of comparing two configurations. */
struct comparison
{
  const struct cfg_config *from;
  const struct cfg_config *to;
  GString *path; /* of the current value, such as `hosts.NAME' */
  GString *out;  /* one line per change */
};

/* An item of a list, with the key by which it is matched. */
struct entry
{
  char *key;
  const void *item;
};

static void compare_map (struct comparison *comparison,
                         const struct sch_schema *schema, const void *from,
                         const void *to);

/* Appends the values of ITEM, which are scalars, separated by spaces.  */
static void
append_item (const struct cfg_config *config, const struct sch_schema *schema,
             const void *item, GString *value)
{
  for (size_t i = 0; i < schema->field_count; i++)
    {
      g_string_append (value, i == 0 ? "" : " ");
      sch_print (&cfg_schema, config, &schema->fields[i], item, value);
    }
}

/* Returns the key of ITEM: its name or, for a link, its two data centres in
   alphabetical order, so that the direction in which it is listed does not
   matter.  */
static char *
create_item_key (const struct cfg_config *config,
                 const struct sch_schema *schema, const void *item)
{
  GString *key = g_string_new (NULL);
  sch_print (&cfg_schema, config, &schema->fields[0], item, key);
  if (schema->unique_key != NULL)
    {
      return g_string_free (key, FALSE);
    }
  GString *other = g_string_new (NULL);
  sch_print (&cfg_schema, config, &schema->fields[1], item, other);
  bool ordered = strcmp (key->str, other->str) < 0;
  char *pair = g_strdup_printf ("%s-%s", ordered ? key->str : other->str,
                                ordered ? other->str : key->str);
  g_string_free (key, TRUE);
  g_string_free (other, TRUE);
  return pair;
}

static void
destroy_entry (gpointer data)
{
  struct entry *entry = data;
  g_free (entry->key);
  g_free (entry);
}

/* Returns the items of the list FIELD of ITEM in their order, as an array of
   struct entry.  */
static GPtrArray *
list_entries (const struct cfg_config *config, const struct sch_field *field,
              const void *item)
{
  GPtrArray *entries = g_ptr_array_new_with_free_func (destroy_entry);
  const char *items = NULL;
  uint32_t count = 0;
  memcpy (&items, (const char *)item + field->offset, sizeof items);
  memcpy (&count, (const char *)item + field->count_offset, sizeof count);
  for (uint32_t i = 0; i < count; i++)
    {
      struct entry *entry = g_new (struct entry, 1);
      entry->item = items + i * field->child->bytes;
      entry->key = create_item_key (config, field->child, entry->item);
      g_ptr_array_add (entries, entry);
    }
  return entries;
}

static GHashTable *
index_by_key (GPtrArray *entries)
{
  GHashTable *by_key = g_hash_table_new (g_str_hash, g_str_equal);
  for (guint i = 0; i < entries->len; i++)
    {
      struct entry *entry = g_ptr_array_index (entries, i);
      g_hash_table_insert (by_key, entry->key, entry);
    }
  return by_key;
}

/* Compares the list FIELD, whose items are matched by their keys.  Reports
   changed and added items in the order of TO, then removed items in the order
   of FROM.  */
static void
compare_list (struct comparison *comparison, /* NOLINT(misc-no-recursion) */
              const struct sch_field *field, const void *from, const void *to)
{
  GPtrArray *old = list_entries (comparison->from, field, from);
  GPtrArray *new = list_entries (comparison->to, field, to);
  GHashTable *old_by_key = index_by_key (old);
  GHashTable *new_by_key = index_by_key (new);
  gsize path_bytes = comparison->path->len;
  for (guint i = 0; i < new->len; i++)
    {
      const struct entry *entry = g_ptr_array_index (new, i);
      const struct entry *earlier
          = g_hash_table_lookup (old_by_key, entry->key);
      g_string_append_printf (comparison->path, ".%s", entry->key);
      if (earlier == NULL)
        {
          g_string_append_printf (comparison->out, "%s: added\n",
                                  comparison->path->str);
        }
      else
        {
          compare_map (comparison, field->child, earlier->item, entry->item);
        }
      g_string_truncate (comparison->path, path_bytes);
    }
  for (guint i = 0; i < old->len; i++)
    {
      const struct entry *entry = g_ptr_array_index (old, i);
      if (!g_hash_table_contains (new_by_key, entry->key))
        {
          g_string_append_printf (comparison->out, "%s.%s: removed\n",
                                  comparison->path->str, entry->key);
        }
    }
  g_hash_table_destroy (old_by_key);
  g_hash_table_destroy (new_by_key);
  g_ptr_array_free (old, TRUE);
  g_ptr_array_free (new, TRUE);
}

/* Returns the value of FIELD in ITEM as text, or "" when it is omitted.  A
   list becomes one line, its items separated by commas.  */
static char *
print_value (const struct cfg_config *config, const struct sch_field *field,
             const void *item)
{
  GString *value = g_string_new (NULL);
  if (field->type != SCH_LIST)
    {
      if (!sch_is_omitted (field, item))
        {
          sch_print (&cfg_schema, config, field, item, value);
        }
      return g_string_free (value, FALSE);
    }
  const char *items = NULL;
  uint32_t count = 0;
  memcpy (&items, (const char *)item + field->offset, sizeof items);
  memcpy (&count, (const char *)item + field->count_offset, sizeof count);
  for (uint32_t i = 0; i < count; i++)
    {
      g_string_append (value, i == 0 ? "" : ", ");
      append_item (config, field->child, items + i * field->child->bytes,
                   value);
    }
  return g_string_free (value, FALSE);
}

/* Compares one value.  For a secret, reports only that it changed.  */
static void
compare_value (struct comparison *comparison, const struct sch_field *field,
               const void *from, const void *to)
{
  char *old = print_value (comparison->from, field, from);
  char *new = print_value (comparison->to, field, to);
  if (strcmp (old, new) != 0 && field->secret)
    {
      g_string_append_printf (comparison->out, "%s: changed\n",
                              comparison->path->str);
    }
  else if (strcmp (old, new) != 0)
    {
      g_string_append_printf (
          comparison->out, "%s: %s -> %s\n", comparison->path->str,
          old[0] == '\0' ? "none" : old, new[0] == '\0' ? "none" : new);
    }
  g_free (old);
  g_free (new);
}

static void
compare_map (struct comparison *comparison, /* NOLINT(misc-no-recursion) */
             const struct sch_schema *schema, const void *from, const void *to)
{
  gsize path_bytes = comparison->path->len;
  for (size_t i = 0; i < schema->field_count; i++)
    {
      const struct sch_field *field = &schema->fields[i];
      g_string_append_printf (comparison->path, "%s%s",
                              path_bytes == 0 ? "" : ".", field->key);
      if (field->type == SCH_MAP)
        {
          compare_map (comparison, field->child,
                       (const char *)from + field->offset,
                       (const char *)to + field->offset);
        }
      else if (field->type == SCH_LIST && schema == &cfg_schema)
        {
          compare_list (comparison, field, from, to);
        }
      else
        {
          compare_value (comparison, field, from, to);
        }
      g_string_truncate (comparison->path, path_bytes);
    }
}

/* Returns the changes from configuration FROM to TO, one line each:
   `hosts.NAME: added', `hosts.NAME: removed', `hosts.NAME.key: old -> new'.
   The order of items is ignored.  The caller frees the result with g_free.  */
char *
cfg_diff (const struct cfg_config *from, const struct cfg_config *to)
{
  struct cfg_config undirected_from = *from;
  struct cfg_config undirected_to = *to;
  undirected_from.links
      = cfg_undirected_links (from, &undirected_from.link_count);
  undirected_to.links = cfg_undirected_links (to, &undirected_to.link_count);
  struct comparison comparison = {
    .from = &undirected_from,
    .to = &undirected_to,
    .path = g_string_new (NULL),
    .out = g_string_new (NULL),
  };
  compare_map (&comparison, &cfg_schema, &undirected_from, &undirected_to);
  g_free (undirected_from.links);
  g_free (undirected_to.links);
  g_string_free (comparison.path, TRUE);
  return g_string_free (comparison.out, FALSE);
}
