#include "config/csv.h"

#include <stdbool.h>
#include <string.h>

#define TEXT_BYTES_MAX ((size_t)4 * 1024 * 1024)
#define FIELDS_MAX 64
#define BYTE_ORDER_MARK "\xef\xbb\xbf"

/* Position in the text being parsed. */
struct reader
{
  const char *next; /* first byte not yet read */
  const char *end;
  uint32_t line; /* of `next', from 1 */
  struct cmp_list *errors;
};

static void
destroy_row (gpointer data)
{
  struct csv_row *row = data;
  g_ptr_array_free (row->fields, TRUE);
  g_free (row);
}

/* Appends the quoted part of a field to FIELD, starting after the opening
   quote.  Returns false, with an error added, when the closing quote is not on
   the same line or when other text follows it.  */
static bool
read_quoted_part (struct reader *reader, GString *field)
{
  while (reader->next < reader->end && strchr ("\r\n", *reader->next) == NULL)
    {
      char c = *reader->next++;
      bool more = reader->next < reader->end;
      if (c != '"')
        {
          g_string_append_c (field, c);
        }
      else if (more && *reader->next == '"')
        {
          reader->next++;
          g_string_append_c (field, c);
        }
      else if (!more || strchr (",\r\n", *reader->next) != NULL)
        {
          return true;
        }
      else
        {
          cmp_add (reader->errors, reader->line,
                   "text after a closing quote; allowed: a comma, or \"\" for "
                   "a quote inside");
          return false;
        }
    }
  cmp_add (reader->errors, reader->line, "a quote is not closed on its line");
  return false;
}

/* Returns true when FIELD has no control characters other than tabs; else adds
   an error.  */
static bool
check_printable (const struct reader *reader, const GString *field)
{
  for (gsize i = 0; i < field->len; i++)
    {
      if (g_ascii_iscntrl (field->str[i]) && field->str[i] != '\t')
        {
          cmp_add (reader->errors, reader->line,
                   "control character in a field; allowed: printable text");
          return false;
        }
    }
  return true;
}

/* Reads one field up to the comma or line break after it and adds it to
   FIELDS, with white space trimmed at both ends.  Returns false, with an error
   added, when the field is malformed.  */
static bool
read_field (struct reader *reader, GPtrArray *fields)
{
  GString *field = g_string_new (NULL);
  bool ok = true;
  if (reader->next < reader->end && *reader->next == '"')
    {
      reader->next++;
      ok = read_quoted_part (reader, field);
    }
  while (ok && reader->next < reader->end
         && strchr (",\r\n", *reader->next) == NULL)
    {
      g_string_append_c (field, *reader->next++);
    }
  ok = ok && check_printable (reader, field);
  g_ptr_array_add (fields, g_strstrip (g_string_free (field, FALSE)));
  return ok;
}

/* Reads one row and the line break after it.  Returns false, with an error
   added, when the row is malformed or has too many fields; the rows after it
   cannot be read then.  */
static bool
read_row (struct reader *reader, struct csv_row *row)
{
  bool more = true;
  while (more)
    {
      if (!read_field (reader, row->fields))
        {
          return false;
        }
      if (row->fields->len > FIELDS_MAX)
        {
          cmp_add (reader->errors, row->line,
                   "too many columns; allowed: up to %d", FIELDS_MAX);
          return false;
        }
      more = reader->next < reader->end && *reader->next == ',';
      reader->next += more;
    }
  if (reader->next < reader->end && *reader->next == '\r')
    {
      reader->next++;
    }
  if (reader->next < reader->end && *reader->next == '\n')
    {
      reader->next++;
      reader->line++;
    }
  return true;
}

/* Returns true when ROW is an empty line.  */
static bool
is_blank (const struct csv_row *row)
{
  return row->fields->len == 1
         && *(const char *)g_ptr_array_index (row->fields, 0) == '\0';
}

/* Returns true when TEXT is UTF-8 and not too long; else adds an error.  */
static bool
check_text (const char *text, size_t text_bytes, struct cmp_list *errors)
{
  if (text_bytes > TEXT_BYTES_MAX)
    {
      cmp_add (errors, 1, "%zu bytes long; allowed: up to %zu bytes",
               text_bytes, TEXT_BYTES_MAX);
      return false;
    }
  if (!g_utf8_validate (text, (gssize)text_bytes, NULL))
    {
      cmp_add (errors, 1, "not valid UTF-8 text");
      return false;
    }
  return true;
}

/* Returns the rows of TEXT as an array of struct csv_row, without empty lines.
   White space around fields is trimmed, and a byte order mark is skipped.
   Parsing stops at the first malformed row: the result then has only the rows
   before it, and the reason is added to ERRORS.  The caller frees the result
   with g_ptr_array_free.  */
GPtrArray *
csv_parse (const char *text, size_t text_bytes, struct cmp_list *errors)
{
  GPtrArray *rows = g_ptr_array_new_with_free_func (destroy_row);
  if (!check_text (text, text_bytes, errors))
    {
      return rows;
    }
  struct reader reader = {
    .next = text,
    .end = text + text_bytes,
    .line = 1,
    .errors = errors,
  };
  if (g_str_has_prefix (text, BYTE_ORDER_MARK))
    {
      reader.next += strlen (BYTE_ORDER_MARK);
    }
  bool ok = true;
  while (ok && reader.next < reader.end)
    {
      struct csv_row *row = g_new0 (struct csv_row, 1);
      row->line = reader.line;
      row->fields = g_ptr_array_new_with_free_func (g_free);
      ok = read_row (&reader, row);
      if (ok && !is_blank (row))
        {
          g_ptr_array_add (rows, row);
        }
      else
        {
          destroy_row (row);
        }
    }
  return rows;
}
