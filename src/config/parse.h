/* Parses the fleet's configuration from YAML, writes it as YAML, and compares
   two configurations. */
#ifndef CONFIG_PARSE_H
#define CONFIG_PARSE_H

#include "core/config.h"

#include <glib.h>
#include <stddef.h>

/* Maximum length of a configuration's text. */
#define CFG_TEXT_BYTES_MAX ((size_t)4 * 1024 * 1024)

struct cfg_config *cfg_parse (const char *file_name, const char *text,
                              size_t text_bytes, GString *messages,
                              GError **error);
bool cfg_is_settings (const char *text, size_t text_bytes);
char *cfg_emit (const struct cfg_config *config);
char *cfg_diff (const struct cfg_config *from, const struct cfg_config *to);

#endif
