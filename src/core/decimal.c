#include "core/decimal.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Sets VALUE to the number in TEXT, which blanks may follow.  Returns false
   when TEXT is anything else.  */
bool
dcm_read (const char *text, double *value)
{
  char *end = NULL;
  *value = g_ascii_strtod (text, &end);
  return end != text && end[strspn (end, " \t")] == '\0' && !isnan (*value);
}
