#include "config/file.h"

#include "base/error.h"

#include <errno.h>
#include <stdio.h>

#define CHUNK_BYTES 65536

/* Reads the file PATH into TEXT, which the caller frees with g_free, and sets
   TEXT_BYTES to its length.  A null byte that TEXT_BYTES does not count
   follows the content.  Returns false with ERR_SETTINGS, and leaves TEXT
   unset, when the file cannot be read or is longer than BYTES_MAX.  */
bool
cfg_read_file (const char *path, size_t bytes_max, char **text,
               size_t *text_bytes, GError **error)
{
  FILE *file = fopen (path, "rbe");
  if (file == NULL)
    {
      g_set_error (error, ERR_DOMAIN, ERR_SETTINGS, "%s:1: the file: %s", path,
                   g_strerror (errno));
      return false;
    }
  GString *content = g_string_new (NULL);
  char chunk[CHUNK_BYTES];
  size_t chunk_bytes = fread (chunk, 1, sizeof chunk, file);
  while (chunk_bytes > 0 && content->len <= bytes_max)
    {
      g_string_append_len (content, chunk, (gssize)chunk_bytes);
      chunk_bytes = fread (chunk, 1, sizeof chunk, file);
    }
  bool failed = ferror (file) != 0;
  fclose (file);
  if (failed || content->len > bytes_max)
    {
      g_set_error (error, ERR_DOMAIN, ERR_SETTINGS,
                   failed ? "%s:1: the file: cannot be read"
                          : "%s:1: the file: too long; allowed: up to %zu "
                            "bytes",
                   path, bytes_max);
      g_string_free (content, TRUE);
      return false;
    }
  *text_bytes = content->len;
  *text = g_string_free (content, FALSE);
  return true;
}
