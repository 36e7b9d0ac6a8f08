/* Collects the errors found in one input file, as text of one line per error.
   The number of lines is bounded, however many errors the file has. */
#ifndef CONFIG_ERROR_LIST_H
#define CONFIG_ERROR_LIST_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The errors in one file.  The caller sets `file_name' and `text' and leaves
   `count' 0. */
struct cmp_list
{
  const char *file_name;
  GString *text;  /* one line per error; not owned */
  uint32_t count; /* of all errors, also those not kept in `text' */
};

void cmp_add (struct cmp_list *errors, uint32_t line, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));
bool cmp_is_full (const struct cmp_list *errors);
void cmp_set_error (struct cmp_list *errors, int error_kind, GError **error);

#endif
