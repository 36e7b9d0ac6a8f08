/* Decimal numbers in the headers of endpoints. */
#ifndef CORE_DECIMAL_H
#define CORE_DECIMAL_H

#include <stdbool.h>

bool dcm_read (const char *text, double *value);

#endif
