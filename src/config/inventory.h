/* Imports the asset register, a CSV file with one row per host, into the
   fleet's configuration. */
#ifndef CONFIG_INVENTORY_H
#define CONFIG_INVENTORY_H

#include "core/config.h"

#include <glib.h>
#include <stddef.h>

/* The content of a file, and its name for error messages. */
struct inv_file
{
  const char *name;
  const char *text;
  size_t text_bytes;
};

struct cfg_config *inv_import (const struct inv_file *csv,
                               const struct inv_file *base, GString *messages,
                               GError **error);

#endif
