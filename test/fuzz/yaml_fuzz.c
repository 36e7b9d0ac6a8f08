/* Fuzzes the parser of configurations.  An accepted configuration must be the
   same after it is written and parsed again; a rejected one must give an error
   and complaints. */
#include "fuzz.h"

#include "config/parse.h"

#include <stdint.h>
#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

/* Writes CONFIG, parses the text and compares the two configurations.  */
static void
check_round_trip (const struct cfg_config *config)
{
  char *text = cfg_emit (config);
  GString *complaints = g_string_new (NULL);
  struct cfg_config *reparsed
      = cfg_parse ("again", text, strlen (text), complaints, NULL);
  if (reparsed == NULL)
    {
      fz_fail (complaints->str);
    }
  char *changes = cfg_diff (config, reparsed);
  if (changes[0] != '\0')
    {
      fz_fail (changes);
    }
  g_free (changes);
  g_free (text);
  g_string_free (complaints, TRUE);
  cfg_config_destroy (reparsed);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  GString *complaints = g_string_new (NULL);
  GError *error = NULL;
  struct cfg_config *config
      = cfg_parse ("input", (const char *)data, bytes, complaints, &error);
  if ((config == NULL) != (error != NULL)
      || (config == NULL) != (complaints->len > 0))
    {
      fz_fail (
          "the parser returned both a configuration and an error, or neither");
    }
  if (config != NULL)
    {
      check_round_trip (config);
      cfg_config_destroy (config);
    }
  g_clear_error (&error);
  g_string_free (complaints, TRUE);
  return 0;
}
