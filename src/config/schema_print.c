/* Formats one value of a struct that a schema describes as text. */
#include "config/schema.h"

#include <stdlib.h>
#include <string.h>

/* Significant digits that represent any double exactly. */
#define DOUBLE_DIGITS_MAX 17

/* Returns the value of FIELD in ITEM, in the unit that the file uses.  */
static uint64_t
load_unsigned (const struct sch_field *field, const void *item)
{
  const char *member = (const char *)item + field->offset;
  uint64_t value = 0;
  if (field->bytes == sizeof (uint32_t))
    {
      uint32_t narrow = 0;
      memcpy (&narrow, member, sizeof narrow);
      value = narrow;
    }
  else
    {
      memcpy (&value, member, sizeof value);
    }
  return value / MAX (field->scale, 1);
}

/* Appends VALUE with the fewest digits from which the same double is read
   back.  */
static void
print_fraction (double value, GString *out)
{
  char text[G_ASCII_DTOSTR_BUF_SIZE];
  char format[] = "%.00g";
  for (int digits = 1; digits <= DOUBLE_DIGITS_MAX; digits++)
    {
      g_snprintf (format, sizeof format, "%%.%dg", digits);
      g_ascii_formatd (text, sizeof text, format, value);
      if (g_ascii_strtod (text, NULL) == value)
        {
          break;
        }
    }
  g_string_append (out, text);
}

/* Appends the name of item INDEX of the list TARGET_LIST of ROOT.  */
static void
print_reference (const struct sch_schema *root_schema, const void *root,
                 const char *target_list, uint32_t index, GString *out)
{
  const struct sch_field *list = root_schema->fields;
  while (strcmp (list->key, target_list) != 0)
    {
      list++;
    }
  const struct sch_field *name = list->child->fields;
  while (strcmp (name->key, "name") != 0)
    {
      name++;
    }
  const char *items = NULL;
  memcpy (&items, (const char *)root + list->offset, sizeof items);
  g_string_append (out, items + index * list->child->bytes + name->offset);
}

static uint32_t
load_index (const struct sch_field *field, const void *item)
{
  uint32_t index = 0;
  memcpy (&index, (const char *)item + field->offset, sizeof index);
  return index;
}

/* Returns true when the key of FIELD is not written because of the value in
   ITEM: an empty text, a reference that is not set, or a zero or false with
   `omit_zero'.  */
bool
sch_is_omitted (const struct sch_field *field, const void *item)
{
  const char *member = (const char *)item + field->offset;
  switch (field->type)
    {
    case SCH_UNSIGNED:
      return field->omit_zero && load_unsigned (field, item) == 0;
    case SCH_BOOL:
      return field->omit_zero && *member == 0;
    case SCH_CHAR_ARRAY:
      return *member == '\0';
    case SCH_REFERENCE:
      return load_index (field, item) == SCH_NO_INDEX;
    default:
      return false;
    }
}

/* Appends the value of FIELD in ITEM to VALUE as it is written in a file.
   ROOT, which ROOT_SCHEMA describes, has the lists that references point to.
   Nothing is appended for maps, lists and allocated strings.  */
void
sch_print (const struct sch_schema *root_schema, const void *root,
           const struct sch_field *field, const void *item, GString *value)
{
  const char *member = (const char *)item + field->offset;
  double fraction = 0;
  unsigned int choice = 0;
  switch (field->type)
    {
    case SCH_UNSIGNED:
      g_string_append_printf (value, "%" G_GUINT64_FORMAT,
                              load_unsigned (field, item));
      break;
    case SCH_FRACTION:
      memcpy (&fraction, member, sizeof fraction);
      print_fraction (fraction, value);
      break;
    case SCH_BOOL:
      g_string_append (value, *member == 0 ? "false" : "true");
      break;
    case SCH_CHOICE:
      memcpy (&choice, member, sizeof choice);
      g_string_append (value, field->choices[choice]);
      break;
    case SCH_CHAR_ARRAY:
      g_string_append (value, member);
      break;
    case SCH_REFERENCE:
      print_reference (root_schema, root, field->target_list,
                       load_index (field, item), value);
      break;
    default:
      break;
    }
}
