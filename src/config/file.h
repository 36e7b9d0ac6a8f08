/* Reads a whole file into memory, up to a maximum size. */
#ifndef CONFIG_FILE_H
#define CONFIG_FILE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

bool cfg_read_file (const char *path, size_t bytes_max, char **text,
                    size_t *text_bytes, GError **error);

#endif
