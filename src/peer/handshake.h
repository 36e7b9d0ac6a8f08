/* Authentication of the two daemons at the start of a connection.  The dialler
   sends a hello with a random nonce.  The listener answers with a hello that
   contains its own nonce and a proof for the dialler's nonce; the dialler then
   sends a proof for the listener's nonce.  A proof is an HMAC that only a
   holder of the fleet's secret can compute. */
#ifndef PEER_HANDSHAKE_H
#define PEER_HANDSHAKE_H

#include "peer.pb-c.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define HSK_VERSION 1 /* of the handshake */
#define HSK_NONCE_BYTES 16
#define HSK_PROOF_BYTES 32

enum hsk_side
{
  HSK_DIALLER, /* opens the connection */
  HSK_LISTENER /* accepts the connection */
};

/* Identity of a daemon's process. */
struct hsk_identity
{
  char *name;
  char *address; /* on which the daemon listens, IP:PORT */
  uint64_t incarnation;
};

void hsk_new_nonce (uint8_t nonce[HSK_NONCE_BYTES]);
void hsk_compute_proof (const char *secret, enum hsk_side side,
                        const struct hsk_identity *prover,
                        const uint8_t *nonce, size_t nonce_bytes,
                        uint8_t proof[HSK_PROOF_BYTES]);
bool hsk_verify_proof (const char *secret, enum hsk_side side,
                       const struct hsk_identity *prover, const uint8_t *nonce,
                       const ProtobufCBinaryData *proof);
const char *hsk_check_hello (const Peer__Hello *hello);

#endif
