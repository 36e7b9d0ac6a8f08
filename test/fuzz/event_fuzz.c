/* Fuzzes the scanner of server-sent events.  The first byte selects the id of
   the last event that the caller has, and the second one says in steps of how
   many bytes the stream arrives: the same events must be passed on as when it
   arrives at once, and no more bytes than have arrived. */
#include "fuzz.h"

#include "net/event_scan.h"

#include <string.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

/* Feeds COUNT bytes, in steps of STEP, to a new scanner that goes on after
   LAST_ID.  Returns what is passed on.  The caller frees it.  */
static GByteArray *
scan (int64_t last_id, const uint8_t *data, size_t count, size_t step,
      struct evs_scanner *scanner)
{
  GByteArray *complete = g_byte_array_new ();
  evs_init (scanner);
  scanner->last_id = last_id;
  for (size_t at = 0; at < count; at += step)
    {
      evs_feed (scanner, data + at, MIN (step, count - at), complete);
    }
  return complete;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  if (bytes < 3)
    {
      return 0;
    }
  static const int64_t last_ids[] = { -1, 0, 4, INT64_MAX - 1, INT64_MAX };
  int64_t last_id = last_ids[data[0] % G_N_ELEMENTS (last_ids)];
  size_t step = (size_t)data[1] % 16 + 1;
  struct evs_scanner whole;
  struct evs_scanner split;
  GByteArray *expected
      = scan (last_id, data + 2, bytes - 2, bytes - 2, &whole);
  GByteArray *passed_on = scan (last_id, data + 2, bytes - 2, step, &split);
  if (expected->len != passed_on->len
      || (expected->len > 0
          && memcmp (expected->data, passed_on->data, expected->len) != 0)
      || whole.last_id != split.last_id
      || whole.out_of_order != split.out_of_order)
    {
      fz_fail ("a stream that is split has other events");
    }
  if (passed_on->len > bytes - 2)
    {
      fz_fail ("more bytes were passed on than have arrived");
    }
  evs_clear (&whole);
  evs_clear (&split);
  g_byte_array_free (expected, TRUE);
  g_byte_array_free (passed_on, TRUE);
  return 0;
}
