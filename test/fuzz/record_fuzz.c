/* Fuzzes the unpacking of the log's records.  The first byte selects the kind
   of record.  An accepted record must pack again, and a batch must read
   back. */
#include "fuzz.h"

#include "core/record.h"

#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes);

static void
check_batch (GBytes *bytes)
{
  struct rec_batch *batch = rec_unpack_batch (bytes);
  if (batch != NULL)
    {
      GBytes *repacked = rec_pack_batch (batch->incarnation, batch->sequence,
                                         batch->entries);
      struct rec_batch *reread = rec_unpack_batch (repacked);
      if (reread == NULL || reread->entries->len != batch->entries->len)
        {
          fz_fail ("the packed batch does not read back");
        }
      rec_batch_destroy (reread);
      g_bytes_unref (repacked);
      rec_batch_destroy (batch);
    }
}

static void
check_configuration (GBytes *bytes)
{
  struct rec_configuration *record = rec_unpack_configuration (bytes);
  if (record != NULL)
    {
      g_bytes_unref (rec_pack_configuration (record));
      rec_configuration_destroy (record);
    }
}

static void
check_lease (GBytes *bytes)
{
  struct rec_lease *record = rec_unpack_lease (bytes);
  if (record != NULL)
    {
      g_bytes_unref (rec_pack_lease (record));
      rec_lease_destroy (record);
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t bytes)
{
  if (bytes == 0)
    {
      return 0;
    }
  GBytes *record = g_bytes_new (data + 1, bytes - 1);
  switch (data[0] % 3)
    {
    case 0:
      check_batch (record);
      break;
    case 1:
      check_configuration (record);
      break;
    default:
      check_lease (record);
      break;
    }
  g_bytes_unref (record);
  return 0;
}
