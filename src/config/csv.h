/* Parser for comma-separated values as in RFC 4180, in bounded memory.  Unlike
   in RFC 4180, a quoted field cannot contain a line break. */
#ifndef CONFIG_CSV_H
#define CONFIG_CSV_H

#include "config/error_list.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

/* A row of the text. */
struct csv_row
{
  uint32_t line;     /* in the text, from 1 */
  GPtrArray *fields; /* char * */
};

GPtrArray *csv_parse (const char *text, size_t text_bytes,
                      struct cmp_list *errors);

#endif
