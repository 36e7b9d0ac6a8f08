/* Compression of byte strings that daemons send to each other, in zlib's
   format. */
#ifndef BASE_DEFLATE_H
#define BASE_DEFLATE_H

#include <glib.h>
#include <stdint.h>

GBytes *dfl_compress (const uint8_t *data, size_t data_bytes);
uint8_t *dfl_expand (const uint8_t *data, size_t data_bytes,
                     size_t expanded_bytes, GError **error);

#endif
