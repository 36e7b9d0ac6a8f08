/* Tests of peer/frame: streams of complete, truncated, oversized and malformed
   frames, received in pieces of any size, and reading what was packed.  */
#include "peer/frame.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define LENGTH(table) (sizeof (table) / sizeof (table)[0])
#define ENVELOPE_BYTES_MAX 64

struct stream
{
  const char *name;
  const char *bytes;
  size_t size;
  uint32_t frames;        /* complete frames that can be read */
  enum frm_status status; /* after these frames */
};

#define STREAM(text) (text), sizeof (text) - 1

static const struct stream streams[] = {
  { "empty stream", STREAM (""), 0, FRM_INCOMPLETE },
  { "part of a length", STREAM ("\0\0\0"), 0, FRM_INCOMPLETE },
  { "length only", STREAM ("\0\0\0\x05"), 0, FRM_INCOMPLETE },
  { "part of a frame", STREAM ("\0\0\0\x05\x6a"), 0, FRM_INCOMPLETE },
  { "empty frame", STREAM ("\0\0\0\0"), 1, FRM_INCOMPLETE },
  { "heartbeat", STREAM ("\0\0\0\x02\x1a\x00"), 1, FRM_INCOMPLETE },
  { "two heartbeats", STREAM ("\0\0\0\x02\x1a\0\0\0\0\x02\x1a\0"), 2,
    FRM_INCOMPLETE },
  { "unknown body", STREAM ("\0\0\0\x04\xfa\x7f\x01\x61"), 1, FRM_INCOMPLETE },
  { "unknown field in a known body", STREAM ("\0\0\0\x05\x1a\x03\xf8\x07\x01"),
    1, FRM_INCOMPLETE },
  { "length at the limit", STREAM ("\0\0\0\x40"), 0, FRM_INCOMPLETE },
  { "length over the limit by one", STREAM ("\0\0\0\x41"), 0, FRM_OVERSIZED },
  { "largest length", STREAM ("\xff\xff\xff\xff"), 0, FRM_OVERSIZED },
  { "HTTP request", STREAM ("GET / HTTP/1.1\r\n\r\n"), 0, FRM_OVERSIZED },
  { "field longer than the frame", STREAM ("\0\0\0\x02\x1a\x7f"), 0,
    FRM_MALFORMED },
  { "varint of more than ten bytes",
    STREAM ("\0\0\0\x0b\xff\xff\xff\xff\xff\xff\xff\xff"
            "\xff\xff\xff"),
    0, FRM_MALFORMED },
  { "wrong wire type", STREAM ("\0\0\0\x02\x18\x01"), 0, FRM_MALFORMED },
  { "malformed frame after a valid one",
    STREAM ("\0\0\0\x02\x1a\0\0\0\0\x01\x1a"), 1, FRM_MALFORMED },
};

/* Reads STREAM, received CHUNK bytes at a time, and checks the number of
   frames and the last status.  */
static void
read_stream (const struct stream *stream, size_t chunk)
{
  struct frm_reader *reader = frm_reader_create (ENVELOPE_BYTES_MAX);
  uint32_t frames = 0;
  enum frm_status status = FRM_INCOMPLETE;
  for (size_t start = 0; start < stream->size && status == FRM_INCOMPLETE;
       start += chunk)
    {
      const size_t size = MIN (chunk, stream->size - start);
      frm_push (reader, (const uint8_t *)stream->bytes + start, size);
      do
        {
          Peer__Envelope *envelope;
          status = frm_next (reader, &envelope);
          if (status == FRM_COMPLETE)
            {
              frames++;
              peer__envelope__free_unpacked (envelope, NULL);
            }
        }
      while (status == FRM_COMPLETE);
    }
  if (status != stream->status || frames != stream->frames)
    {
      fail_msg ("%s, %zu bytes at a time: %u frames, then %s", stream->name,
                chunk, frames, frm_status_name (status));
    }
  frm_reader_destroy (reader);
}

static void
streams_are_read_in_pieces_of_any_size (void **state)
{
  (void)state;
  for (size_t i = 0; i < LENGTH (streams); i++)
    {
      for (size_t chunk = 1; chunk <= 16; chunk++)
        {
          read_stream (&streams[i], chunk);
        }
    }
}

/* A reader that hasn't received any bytes must return FRM_INCOMPLETE.  Its
   buffer has no address yet; the fuzzer found that frm_next must not use it.
 */
static void
a_new_reader_is_incomplete (void **state)
{
  (void)state;
  struct frm_reader *reader = frm_reader_create (ENVELOPE_BYTES_MAX);
  Peer__Envelope *envelope;
  assert_int_equal (frm_next (reader, &envelope), FRM_INCOMPLETE);
  frm_push (reader, (const uint8_t *)"", 0);
  assert_int_equal (frm_next (reader, &envelope), FRM_INCOMPLETE);
  frm_reader_destroy (reader);
}

static void
packed_envelopes_are_read_back (void **state)
{
  (void)state;
  Peer__ConfigReply reply = PEER__CONFIG_REPLY__INIT;
  reply.version = 12;
  reply.yaml.data = (uint8_t *)"rules: {}\n";
  reply.yaml.len = 10;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  envelope.body_case = PEER__ENVELOPE__BODY_CONFIG_REPLY;
  envelope.config_reply = &reply;
  GByteArray *out = g_byte_array_new ();
  frm_append (out, &envelope);
  frm_append (out, &envelope);
  struct frm_reader *reader = frm_reader_create (FRM_BYTES_MAX);
  frm_push (reader, out->data, out->len);
  for (int i = 0; i < 2; i++)
    {
      Peer__Envelope *read;
      assert_int_equal (frm_next (reader, &read), FRM_COMPLETE);
      assert_int_equal (read->body_case, PEER__ENVELOPE__BODY_CONFIG_REPLY);
      assert_int_equal (read->config_reply->version, 12);
      assert_memory_equal (read->config_reply->yaml.data, "rules: {}\n", 10);
      peer__envelope__free_unpacked (read, NULL);
    }
  frm_reader_destroy (reader);
  g_byte_array_free (out, TRUE);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (streams_are_read_in_pieces_of_any_size),
    cmocka_unit_test (a_new_reader_is_incomplete),
    cmocka_unit_test (packed_envelopes_are_read_back),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
