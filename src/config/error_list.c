#include "config/error_list.h"

#include "base/error.h"

#include <stdarg.h>

/* Maximum number of errors kept as text.  Bounds the memory that a malicious
   file with many errors costs. */
#define MESSAGES_KEPT_MAX 200

/* Adds the line `FILE_NAME:LINE: message' to ERRORS, with the message
   formatted as by printf.  Once MESSAGES_KEPT_MAX errors are kept as text,
   further ones are only counted.  */
void
cmp_add (struct cmp_list *errors, uint32_t line, const char *format, ...)
{
  errors->count++;
  if (errors->count > MESSAGES_KEPT_MAX)
    {
      return;
    }
  va_list arguments;
  va_start (arguments, format);
  g_string_append_printf (errors->text, "%s:%u: ", errors->file_name, line);
  g_string_append_vprintf (errors->text, format, arguments);
  g_string_append_c (errors->text, '\n');
  va_end (arguments);
}

/* Returns true when ERRORS keeps no further messages as text, but only counts
   them.  */
bool
cmp_is_full (const struct cmp_list *errors)
{
  return errors->count >= MESSAGES_KEPT_MAX;
}

/* Sets ERROR to an error of ERROR_KIND that says how many errors ERRORS has,
   or leaves it unset when there are none.  If some errors were only counted,
   also adds a last line to the text with their number.  Call this once, after
   the last cmp_add.  */
void
cmp_set_error (struct cmp_list *errors, int error_kind, GError **error)
{
  if (errors->count == 0)
    {
      return;
    }
  if (errors->count > MESSAGES_KEPT_MAX)
    {
      g_string_append_printf (
          errors->text, "%s: %u more errors are not shown\n",
          errors->file_name, errors->count - MESSAGES_KEPT_MAX);
    }
  g_set_error (error, ERR_DOMAIN, error_kind, "%s: %u %s", errors->file_name,
               errors->count, errors->count == 1 ? "error" : "errors");
}
