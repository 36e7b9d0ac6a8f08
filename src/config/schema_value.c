#include "config/schema_value.h"

#include "base/nearest.h"

#include <errno.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define QUOTED_BYTES 64      /* buffer for a quoted value or valid values */
#define QUOTED_TEXT_BYTES 40 /* of a value shown in a message */

/* Converts the text of the scalar NODE and stores the value in MEMBER, or adds
   an error.  */
typedef void (*scalar_reader) (struct sch_reader *reader,
                               const struct sch_field *field,
                               const struct yt_node *node, void *member);

/* Writes TEXT in quotes to BUFFER, cut to QUOTED_TEXT_BYTES; in place of the
   value of a secret FIELD, writes `the value'.  Returns BUFFER.  */
const char *
sch_quote (const struct sch_field *field, const char *text, char *buffer,
           size_t buffer_bytes)
{
  if (field->secret)
    {
      g_strlcpy (buffer, "the value", buffer_bytes);
      return buffer;
    }
  size_t kept = strlen (text);
  const char *mark = "";
  if (kept > QUOTED_TEXT_BYTES)
    {
      const char *end = g_utf8_find_prev_char (text, text + QUOTED_TEXT_BYTES);
      kept = end == NULL ? 0 : (size_t)(end - text);
      mark = "...";
    }
  g_snprintf (buffer, buffer_bytes, "'%.*s'%s", (int)kept, text, mark);
  return buffer;
}

/* Adds an error: the value of NODE, what is WRONG with it, and the ALLOWED
   values.  */
static void
report_invalid_value (struct sch_reader *reader, const struct sch_field *field,
                      const struct yt_node *node, const char *wrong,
                      const char *allowed)
{
  char quoted[QUOTED_BYTES];
  cmp_add (
      reader->errors, node->line, "%s: %s %s; allowed: %s", reader->path->str,
      sch_quote (field, node->text, quoted, sizeof quoted), wrong, allowed);
}

static void
store_unsigned (const struct sch_field *field, uint64_t value, void *member)
{
  if (field->bytes == sizeof (uint32_t))
    {
      uint32_t narrow = (uint32_t)value;
      memcpy (member, &narrow, sizeof narrow);
      return;
    }
  memcpy (member, &value, sizeof value);
}

/* Parses the number in NODE, from MIN to MAX, into VALUE.  Returns false, and
   adds an error that names the ALLOWED values, when it isn't one.  */
static bool
parse_number (struct sch_reader *reader, const struct sch_field *field,
              const struct yt_node *node, double min, double max,
              const char *allowed, double *value)
{
  char *end = NULL;
  *value = g_ascii_strtod (node->text, &end);
  if (!node->plain || end == node->text || *end != '\0' || !isfinite (*value))
    {
      report_invalid_value (reader, field, node, "is not a number", allowed);
      return false;
    }
  if (*value < min || *value > max)
    {
      report_invalid_value (reader, field, node, "is out of range", allowed);
      return false;
    }
  return true;
}

/* Reads a number that may have decimals, such as 40.75 or 4e+06.  */
static void
read_decimal (struct sch_reader *reader, const struct sch_field *field,
              const struct yt_node *node, void *member)
{
  char allowed[QUOTED_BYTES];
  double value = 0;
  g_snprintf (allowed, sizeof allowed,
              "a number, %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
              field->min, field->max);
  if (parse_number (reader, field, node, (double)field->min,
                    (double)field->max, allowed, &value))
    {
      store_unsigned (field, (uint64_t)(value * (double)MAX (field->scale, 1)),
                      member);
    }
}

static void
read_unsigned (struct sch_reader *reader, const struct sch_field *field,
               const struct yt_node *node, void *member)
{
  if (field->decimal)
    {
      read_decimal (reader, field, node, member);
      return;
    }
  char allowed[QUOTED_BYTES];
  g_snprintf (allowed, sizeof allowed,
              "a whole number, %" G_GUINT64_FORMAT " to %" G_GUINT64_FORMAT,
              field->min, field->max);
  guint64 value = 0;
  GError *error = NULL;
  if (!node->plain
      || !g_ascii_string_to_unsigned (node->text, 10, field->min, field->max,
                                      &value, &error))
    {
      bool out_of_range = g_error_matches (
          error, G_NUMBER_PARSER_ERROR, G_NUMBER_PARSER_ERROR_OUT_OF_BOUNDS);
      report_invalid_value (
          reader, field, node,
          out_of_range ? "is out of range" : "is not a whole number", allowed);
      g_clear_error (&error);
      return;
    }
  store_unsigned (field, value * MAX (field->scale, 1), member);
}

static void
read_fraction (struct sch_reader *reader, const struct sch_field *field,
               const struct yt_node *node, void *member)
{
  char allowed[QUOTED_BYTES];
  double value = 0;
  g_snprintf (allowed, sizeof allowed, "a number, %g to %g",
              field->min_fraction, field->max_fraction);
  if (parse_number (reader, field, node, field->min_fraction,
                    field->max_fraction, allowed, &value))
    {
      memcpy (member, &value, sizeof value);
    }
}

static void
read_bool (struct sch_reader *reader, const struct sch_field *field,
           const struct yt_node *node, void *member)
{
  bool value = strcmp (node->text, "true") == 0;
  if (!node->plain || (!value && strcmp (node->text, "false") != 0))
    {
      report_invalid_value (reader, field, node, "is not a boolean",
                            "true or false");
      return;
    }
  memcpy (member, &value, sizeof value);
}

static void
read_choice (struct sch_reader *reader, const struct sch_field *field,
             const struct yt_node *node, void *member)
{
  size_t count = g_strv_length ((gchar **)field->choices);
  for (size_t i = 0; i < count; i++)
    {
      if (strcmp (field->choices[i], node->text) == 0)
        {
          int choice = (int)i;
          memcpy (member, &choice, sizeof choice);
          return;
        }
    }
  char *allowed = g_strjoinv (", ", (gchar **)field->choices);
  report_invalid_value (reader, field, node, "is unknown", allowed);
  g_free (allowed);
}

/* Returns true when the text of NODE passes the check of FIELD and fits in the
   member; else adds an error.  */
static bool
check_text (struct sch_reader *reader, const struct sch_field *field,
            const struct yt_node *node)
{
  const char *allowed
      = field->check == NULL ? NULL : field->check (node->text);
  char size_limit[QUOTED_BYTES];
  if (allowed == NULL && field->type == SCH_CHAR_ARRAY
      && strlen (node->text) >= field->bytes)
    {
      g_snprintf (size_limit, sizeof size_limit, "up to %zu bytes",
                  field->bytes - 1);
      allowed = size_limit;
    }
  if (allowed != NULL)
    {
      report_invalid_value (reader, field, node, "is not allowed", allowed);
    }
  return allowed == NULL;
}

static void
read_text (struct sch_reader *reader, const struct sch_field *field,
           const struct yt_node *node, void *member)
{
  if (check_text (reader, field, node))
    {
      g_strlcpy (member, node->text, field->bytes);
    }
}

static void
read_string (struct sch_reader *reader, const struct sch_field *field,
             const struct yt_node *node, void *member)
{
  if (check_text (reader, field, node))
    {
      char **string = member;
      g_free (*string);
      *string = g_strdup (node->text);
    }
}

/* Returns a new hash table from the `name' of each item in the list
   TARGET_LIST of ROOT to the item's index plus one.  */
static GHashTable *
index_names (const struct yt_node *root, const char *target_list)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  const struct yt_node *list = yt_get (root, target_list);
  if (list == NULL || list->type != YT_LIST)
    {
      return names;
    }
  for (guint i = 0; i < list->items->len; i++)
    {
      const struct yt_node *name
          = yt_get (g_ptr_array_index (list->items, i), "name");
      if (name != NULL && name->type == YT_SCALAR)
        {
          g_hash_table_insert (names, name->text, GUINT_TO_POINTER (i + 1));
        }
    }
  return names;
}

static void
read_reference (struct sch_reader *reader, const struct sch_field *field,
                const struct yt_node *node, void *member)
{
  GHashTable *names = g_hash_table_lookup (reader->indices_by_list,
                                           (gpointer)field->target_list);
  if (names == NULL)
    {
      names = index_names (reader->root, field->target_list);
      g_hash_table_insert (reader->indices_by_list,
                           (gpointer)field->target_list, names);
    }
  guint found = GPOINTER_TO_UINT (g_hash_table_lookup (names, node->text));
  if (found == 0)
    {
      char allowed[QUOTED_BYTES];
      g_snprintf (allowed, sizeof allowed, "a name listed under %s",
                  field->target_list);
      report_invalid_value (reader, field, node, "is not listed", allowed);
      return;
    }
  uint32_t index = found - 1;
  memcpy (member, &index, sizeof index);
}

static const scalar_reader scalar_readers[SCH_TYPE_COUNT] = {
  [SCH_UNSIGNED] = read_unsigned,   [SCH_FRACTION] = read_fraction,
  [SCH_BOOL] = read_bool,           [SCH_CHOICE] = read_choice,
  [SCH_CHAR_ARRAY] = read_text,     [SCH_STRING] = read_string,
  [SCH_REFERENCE] = read_reference,
};

/* Converts the scalar NODE to the type of FIELD and stores the value in
   MEMBER, or adds an error and leaves MEMBER unchanged when the value is
   invalid.  */
void
sch_read_scalar (struct sch_reader *reader, const struct sch_field *field,
                 const struct yt_node *node, void *member)
{
  if (node->type != YT_SCALAR)
    {
      cmp_add (reader->errors, node->line,
               "%s: is a %s; allowed: a single value", reader->path->str,
               node->type == YT_LIST ? "list" : "map");
      return;
    }
  bool empty = node->text[0] == '\0' || strcmp (node->text, "~") == 0
               || strcmp (node->text, "null") == 0;
  if (node->plain && empty)
    {
      cmp_add (reader->errors, node->line,
               "%s: has no value; omit the key or give it a value",
               reader->path->str);
      return;
    }
  scalar_readers[field->type](reader, field, node, member);
}

/* Reads the list of scalars NODE into a new NULL-terminated array, which
   replaces the one in MEMBER, a char **.  When NODE is no list of a valid
   length, adds an error and leaves MEMBER unchanged.  When an item is invalid,
   adds an error and stores an empty array.  */
void
sch_read_strings (struct sch_reader *reader, const struct sch_field *field,
                  const struct yt_node *node, void *member)
{
  if (node->type != YT_LIST)
    {
      cmp_add (reader->errors, node->line,
               "%s: is not a list; allowed: a list of values",
               reader->path->str);
      return;
    }
  if (node->items->len < field->min || node->items->len > field->max)
    {
      cmp_add (reader->errors, node->line,
               "%s: %u values; allowed: %" G_GUINT64_FORMAT
               " to %" G_GUINT64_FORMAT,
               reader->path->str, node->items->len, field->min, field->max);
      return;
    }
  struct sch_field element = *field;
  element.type = SCH_STRING;
  char **strings = g_new0 (char *, node->items->len + 1);
  bool all_valid = true;
  for (guint i = 0; i < node->items->len; i++)
    {
      sch_read_scalar (reader, &element, g_ptr_array_index (node->items, i),
                       &strings[i]);
      all_valid = all_valid && strings[i] != NULL;
    }
  char ***vector = member;
  for (guint i = 0; !all_valid && i < node->items->len; i++)
    {
      g_free (strings[i]);
      strings[i] = NULL;
    }
  g_strfreev (*vector);
  *vector = strings;
}
