/* Fuzzes the reader of peer frames.  An accepted envelope is packed again, and
   a membership message is also passed to the membership state machine.  */
#include "core/membership.h"
#include "peer/frame.h"

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Passes MESSAGE to a daemon's membership repeatedly over five periods.  */
static void
check_membership (const Peer__Membership *message)
{
  const struct mem_settings settings = { .name = "entry-a",
                                         .address = "10.0.0.1:7000",
                                         .data_centre = "dc-a",
                                         .incarnation = 100,
                                         .seed = 1 };
  struct mem_fleet *fleet = mem_create (&settings, 0);
  struct mem_action action;
  mem_receive (fleet, message, 1);
  for (int64_t now_us = 1; now_us < 5 * MEM_PERIOD_US; now_us += MEM_PERIOD_US)
    {
      mem_tick (fleet, now_us);
      mem_receive (fleet, message, now_us);
    }
  while (mem_next_action (fleet, &action))
    {
      mem_action_clear (&action);
    }
  mem_destroy (fleet);
}

static void
check_envelope (const Peer__Envelope *envelope)
{
  GByteArray *out = g_byte_array_new ();
  frm_append (out, envelope);
  g_byte_array_free (out, TRUE);
  if (envelope->body_case == PEER__ENVELOPE__BODY_MEMBERSHIP)
    {
      check_membership (envelope->membership);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct frm_reader *reader = frm_reader_create (FRM_HELLO_BYTES_MAX);
  Peer__Envelope *envelope;
  frm_push (reader, data, size);
  while (frm_next (reader, &envelope) == FRM_COMPLETE)
    {
      check_envelope (envelope);
      peer__envelope__free_unpacked (envelope, NULL);
    }
  frm_reader_destroy (reader);
  return 0;
}
