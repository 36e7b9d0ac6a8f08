#include "base/deflate.h"

#include "base/error.h"

#include <zlib.h>

/* The largest ratio of zlib's format: 258 bytes for 2 bits. */
#define RATIO_MAX 1032

/* Returns the compressed DATA.  */
GBytes *
dfl_compress (const uint8_t *data, size_t data_bytes)
{
  uLongf bytes = compressBound (data_bytes);
  uint8_t *compressed = g_malloc (bytes);
  int result = compress2 (compressed, &bytes, data, data_bytes, Z_BEST_SPEED);
  g_assert (result == Z_OK);
  return g_bytes_new_take (g_realloc (compressed, bytes), bytes);
}

/* Returns the bytes that dfl_compress was called with, EXPANDED_BYTES in
   number, for the result DATA.  The caller frees them.  Returns NULL with
   ERR_PROTOCOL when DATA isn't that result.  */
uint8_t *
dfl_expand (const uint8_t *data, size_t data_bytes, size_t expanded_bytes,
            GError **error)
{
  if (expanded_bytes / RATIO_MAX > data_bytes)
    {
      g_set_error (error, ERR_DOMAIN, ERR_PROTOCOL,
                   "%zu bytes can't be the compressed form of %zu", data_bytes,
                   expanded_bytes);
      return NULL;
    }
  uLongf bytes = expanded_bytes;
  uint8_t *expanded = g_malloc (expanded_bytes + 1);
  int result = uncompress (expanded, &bytes, data, data_bytes);
  if (result != Z_OK || bytes != expanded_bytes)
    {
      g_free (expanded);
      g_set_error (error, ERR_DOMAIN, ERR_PROTOCOL,
                   "can't expand %zu bytes to %zu", data_bytes,
                   expanded_bytes);
      return NULL;
    }
  return expanded;
}
