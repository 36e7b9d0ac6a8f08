#include "peer/frame.h"

#include <string.h>

struct frm_reader
{
  GByteArray *buffer;
  guint consumed; /* bytes at the start of BUFFER that were returned */
  uint32_t frame_bytes_max;
};

/* Creates a reader that accepts envelopes of up to FRAME_BYTES_MAX bytes.  */
struct frm_reader *
frm_reader_create (uint32_t frame_bytes_max)
{
  struct frm_reader *reader = g_new0 (struct frm_reader, 1);
  reader->buffer = g_byte_array_new ();
  reader->frame_bytes_max = frame_bytes_max;
  return reader;
}

/* Frees READER; NULL is allowed.  */
void
frm_reader_destroy (struct frm_reader *reader)
{
  if (reader == NULL)
    {
      return;
    }
  g_byte_array_free (reader->buffer, TRUE);
  g_free (reader);
}

/* Sets the size limit, in bytes, of the envelopes that are read from now
   on.  */
void
frm_reader_set_max (struct frm_reader *reader, uint32_t frame_bytes_max)
{
  reader->frame_bytes_max = frame_bytes_max;
}

/* Appends SIZE received bytes to the buffer of READER.  If frm_next is called
   until it returns FRM_INCOMPLETE after each push, the buffer never holds more
   than one frame and the bytes that were pushed together with its end.  */
void
frm_push (struct frm_reader *reader, const uint8_t *bytes, size_t size)
{
  if (reader->consumed > 0)
    {
      g_byte_array_remove_range (reader->buffer, 0, reader->consumed);
      reader->consumed = 0;
    }
  g_byte_array_append (reader->buffer, bytes, (guint)size);
}

/* Unpacks the next frame.  Sets ENVELOPE to a valid message only on
   FRM_COMPLETE; the caller frees it with peer__envelope__free_unpacked.  An
   envelope with a body that only later versions know has the body_case
   PEER__ENVELOPE__BODY__NOT_SET.  After FRM_OVERSIZED or FRM_MALFORMED no
   further frame can be read from the stream.  */
enum frm_status
frm_next (struct frm_reader *reader, Peer__Envelope **envelope)
{
  const guint unread_bytes = reader->buffer->len - reader->consumed;
  uint32_t size;
  if (unread_bytes < FRM_HEADER_BYTES)
    {
      return FRM_INCOMPLETE;
    }
  const uint8_t *start = reader->buffer->data + reader->consumed;
  memcpy (&size, start, sizeof size);
  size = GUINT32_FROM_BE (size);
  if (size > reader->frame_bytes_max)
    {
      return FRM_OVERSIZED;
    }
  if (unread_bytes - FRM_HEADER_BYTES < size)
    {
      return FRM_INCOMPLETE;
    }
  *envelope = peer__envelope__unpack (NULL, size, start + FRM_HEADER_BYTES);
  reader->consumed += FRM_HEADER_BYTES + size;
  return *envelope != NULL ? FRM_COMPLETE : FRM_MALFORMED;
}

/* Packs ENVELOPE and appends it to OUT as a frame.  */
void
frm_append (GByteArray *out, const Peer__Envelope *envelope)
{
  const size_t size = peer__envelope__get_packed_size (envelope);
  const uint32_t header = GUINT32_TO_BE ((uint32_t)size);
  const guint start = out->len;
  g_byte_array_append (out, (const guint8 *)&header, sizeof header);
  g_byte_array_set_size (out, start + FRM_HEADER_BYTES + (guint)size);
  peer__envelope__pack (envelope, out->data + start + FRM_HEADER_BYTES);
}

/* Returns the name of STATUS as written to log lines.  */
const char *
frm_status_name (enum frm_status status)
{
  static const char *const names[] = {
    [FRM_COMPLETE] = "complete",
    [FRM_INCOMPLETE] = "incomplete",
    [FRM_OVERSIZED] = "oversized_frame",
    [FRM_MALFORMED] = "malformed_frame",
  };
  return names[status];
}
