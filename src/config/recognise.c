#include "config/config_schema.h"
#include "config/parse.h"

#include <string.h>

/* Returns how many fields of SCHEMA have their key in ROOT.  */
static uint32_t
count_known_keys (const struct yt_node *root, const struct sch_schema *schema)
{
  uint32_t known = 0;
  for (size_t i = 0; i < schema->field_count; i++)
    {
      known += yt_get (root, schema->fields[i].key) != NULL;
    }
  return known;
}

/* Returns true when the file TEXT is a daemon's settings rather than a
   configuration: when more of its top-level keys are known in settings than in
   a configuration.  Text that is not valid YAML counts as a configuration.  */
bool
cfg_is_settings (const char *text, size_t text_bytes)
{
  struct cmp_list ignored = {
    .file_name = "",
    .text = g_string_new (NULL),
  };
  struct yt_node *root = cfg_parse_tree (text, text_bytes, &ignored);
  bool settings = count_known_keys (root, &set_schema)
                  > count_known_keys (root, &cfg_schema);
  yt_destroy (root);
  g_string_free (ignored.text, TRUE);
  return settings;
}
