/* Framing of the messages between daemons.  A frame consists of the length as
   four bytes, big-endian, and one packed Envelope of that many bytes. */
#ifndef PEER_FRAME_H
#define PEER_FRAME_H

#include "peer.pb-c.h"

#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#define FRM_HEADER_BYTES 4
/* Largest envelope after the handshake: the largest text of a configuration,
   and 64 KiB for the fields around it. */
#define FRM_BYTES_MAX ((UINT32_C (4) << 20) + (UINT32_C (64) << 10))
#define FRM_HELLO_BYTES_MAX UINT32_C (4096) /* during the handshake */

enum frm_status
{
  FRM_COMPLETE,
  FRM_INCOMPLETE, /* more bytes are needed */
  FRM_OVERSIZED,  /* the length exceeds the reader's limit */
  FRM_MALFORMED   /* the envelope can't be unpacked */
};

/* Splits a received byte stream into frames. */
struct frm_reader;

struct frm_reader *frm_reader_create (uint32_t frame_bytes_max);
void frm_reader_destroy (struct frm_reader *reader);
void frm_reader_set_max (struct frm_reader *reader, uint32_t frame_bytes_max);
void frm_push (struct frm_reader *reader, const uint8_t *bytes, size_t size);
enum frm_status frm_next (struct frm_reader *reader,
                          Peer__Envelope **envelope);
void frm_append (GByteArray *out, const Peer__Envelope *envelope);
const char *frm_status_name (enum frm_status status);

#endif
