/* Fuzzes the import of the asset register, a CSV file.  The configuration made
   from an accepted register must be valid when it is written and parsed. */
#include "fuzz.h"

#include "config/inventory.h"
#include "config/parse.h"

#include <stdint.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  char *text = g_strndup ((const char *)data, bytes);
  struct inv_file csv = { "input", text, bytes };
  GString *complaints = g_string_new (NULL);
  struct cfg_config *config = inv_import (&csv, NULL, complaints, NULL);
  if (config != NULL)
    {
      char *yaml = cfg_emit (config);
      struct cfg_config *reparsed
          = cfg_parse ("again", yaml, strlen (yaml), complaints, NULL);
      if (reparsed == NULL)
        {
          fz_fail (complaints->str);
        }
      cfg_config_destroy (reparsed);
      g_free (yaml);
    }
  cfg_config_destroy (config);
  g_string_free (complaints, TRUE);
  g_free (text);
  return 0;
}
