#include "peer/handshake.h"

#include "core/config.h"

#include <string.h>
#include <sys/random.h>

/* Fills NONCE with random bytes from the kernel.  */
void
hsk_new_nonce (uint8_t nonce[HSK_NONCE_BYTES])
{
  const ssize_t filled = getrandom (nonce, HSK_NONCE_BYTES, 0);
  g_assert (filled == HSK_NONCE_BYTES);
}

/* Adds a field to HMAC, preceded by its length, so that no two sequences of
   fields have the same HMAC input.  */
static void
update_field (GHmac *hmac, const void *bytes, size_t size)
{
  const uint32_t length = GUINT32_TO_BE ((uint32_t)size);
  g_hmac_update (hmac, (const guchar *)&length, sizeof length);
  g_hmac_update (hmac, bytes, (gssize)size);
}

/* Computes the PROOF that PROVER, on SIDE of the connection, sends for the
   other side's NONCE: an HMAC-SHA256 with SECRET over side, nonce and
   identity.  */
void
hsk_compute_proof (const char *secret, enum hsk_side side,
                   const struct hsk_identity *prover, const uint8_t *nonce,
                   size_t nonce_bytes, uint8_t proof[HSK_PROOF_BYTES])
{
  const char *role = side == HSK_DIALLER ? "dialler" : "listener";
  const uint64_t incarnation = GUINT64_TO_BE (prover->incarnation);
  gsize size = HSK_PROOF_BYTES;
  GHmac *hmac = g_hmac_new (G_CHECKSUM_SHA256, (const guchar *)secret,
                            strlen (secret));
  update_field (hmac, role, strlen (role));
  update_field (hmac, nonce, nonce_bytes);
  update_field (hmac, prover->name, strlen (prover->name));
  update_field (hmac, prover->address, strlen (prover->address));
  update_field (hmac, &incarnation, sizeof incarnation);
  g_hmac_get_digest (hmac, proof, &size);
  g_hmac_unref (hmac);
}

/* Returns true when PROOF is the correct proof of PROVER, on SIDE of the
   connection, for NONCE, which has HSK_NONCE_BYTES bytes.  The comparison
   takes the same time wherever a wrong proof differs, so that the time reveals
   nothing about the correct one.  */
bool
hsk_verify_proof (const char *secret, enum hsk_side side,
                  const struct hsk_identity *prover, const uint8_t *nonce,
                  const ProtobufCBinaryData *proof)
{
  uint8_t expected[HSK_PROOF_BYTES];
  uint8_t difference = 0;
  if (proof->len != HSK_PROOF_BYTES)
    {
      return false;
    }
  hsk_compute_proof (secret, side, prover, nonce, HSK_NONCE_BYTES, expected);
  for (size_t i = 0; i < HSK_PROOF_BYTES; i++)
    {
      difference |= (uint8_t)(expected[i] ^ proof->data[i]);
    }
  return difference == 0;
}

/* Returns NULL when HELLO is valid, else the name of the error for a log line.
   Versions above HSK_VERSION are accepted, because later versions keep the
   fields of this one.  */
const char *
hsk_check_hello (const Peer__Hello *hello)
{
  if (hello->version < HSK_VERSION)
    {
      return "old_version";
    }
  if (hello->nonce.len != HSK_NONCE_BYTES)
    {
      return "bad_nonce";
    }
  const size_t name_bytes = strlen (hello->name);
  const size_t address_bytes = strlen (hello->address);
  if (name_bytes == 0 || name_bytes >= CFG_NAME_BYTES || address_bytes == 0
      || address_bytes >= CFG_ADDRESS_BYTES)
    {
      return "bad_identity";
    }
  return NULL;
}
