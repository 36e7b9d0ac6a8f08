/* Encoding of the records that daemons append to the platform's log, as
   protobuf messages of proto/record.proto: batches of entries in the claims
   streams, and one configuration or lease operation per record in the streams
   `config' and `lease'. */
#ifndef CORE_RECORD_H
#define CORE_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define REC_FORMAT 1 /* version of the encoding */
#define REC_KEY_BYTES_MAX 256
#define REC_BODY_BYTES_MAX 65536

/* Kind of an entry in a claims stream.  The values are stored. */
enum rec_kind
{
  REC_NONE = 0,
  REC_CLAIM = 1,   /* its daemon requests the key, to send the call */
  REC_RELEASE = 2, /* by the holder: nothing was run, nor will be */
  REC_OUTCOME = 3, /* by the holder: the call ran; contains its answer */
  REC_UNKNOWN = 4, /* by the holder: whether the call ran is unknown */
  REC_SETTLE = 5,  /* by an operator: the state is DONE or RELEASED */
  REC_REFRESH = 6, /* the state of an open key, repeated before the log deletes
                      the earlier record */
  REC_NOOP = 7     /* without a key; keeps records in an idle stream, from
                      which readers learn how far back they have read */
};

/* State of a key.  Within one generation a state is replaced only by one that
   comes later in this list.  The values are stored. */
enum rec_state
{
  REC_STATE_CLAIMED = 0,
  REC_STATE_UNKNOWN = 1,
  REC_STATE_RELEASED = 2,
  REC_STATE_DONE = 3
};

/* An entry in a claims stream. */
struct rec_entry
{
  enum rec_kind kind;
  char *account;
  char *key;
  uint64_t body_hash;
  uint32_t generation;  /* 1, or 1 more than that of the released claim */
  uint64_t incarnation; /* of the claim's holder */
  uint64_t nonce;       /* of the claim, unique within the incarnation */
  enum rec_state state; /* for REC_SETTLE and REC_REFRESH */
  uint32_t status;      /* HTTP status of the recorded answer */
  GBytes *body;         /* may be NULL */
  bool body_omitted;    /* the answer was larger than REC_BODY_BYTES_MAX */
  int64_t claimed_us;   /* log time of the claim; 0 when not read yet */
};

/* A record of a claims stream. */
struct rec_batch
{
  uint64_t incarnation; /* of the writer */
  uint64_t sequence;    /* of the writer's records; increases */
  GPtrArray *entries;   /* struct rec_entry */
  uint32_t skipped;     /* number of malformed entries that were left out */
};

/* A record of the stream `config'.  A carried record repeats the current
   version before the log deletes the record that published it. */
struct rec_configuration
{
  uint64_t incarnation;  /* of the writer */
  uint64_t nonce;        /* of the publication, unique in the incarnation */
  uint64_t base_version; /* version that the publication replaces */
  uint64_t version;      /* of a carried record; else 0 */
  char *publisher;
  GBytes *yaml;
  int64_t published_us; /* log time of a carried record's publication */
  uint64_t after;       /* offset that a carried record has to get */
  bool withdrawn;       /* cancels the publication with this nonce */
};

/* The values are stored. */
enum rec_lease_operation
{
  REC_LEASE_ACQUIRE = 0,
  REC_LEASE_RENEW = 1,
  REC_LEASE_RELEASE = 2
};

/* A record of the stream `lease'. */
struct rec_lease
{
  uint64_t incarnation; /* of the writer */
  uint64_t nonce;       /* of the writer's append */
  uint64_t fence; /* fencing token of the lease that is renewed or released:
                     the offset of its acquisition */
  uint64_t after; /* offset of the newest lease record that the writer had
                     read, plus 1 */
  char *holder;   /* name of the writer */
  int64_t duration_us; /* from the log time of the record */
  enum rec_lease_operation operation;
};

struct rec_entry *rec_entry_create (enum rec_kind kind, const char *account,
                                    const char *key);
struct rec_entry *rec_entry_copy (const struct rec_entry *entry);
void rec_entry_destroy (struct rec_entry *entry);

GBytes *rec_pack_batch (uint64_t incarnation, uint64_t sequence,
                        const GPtrArray *entries);
struct rec_batch *rec_unpack_batch (GBytes *bytes);
void rec_batch_destroy (struct rec_batch *batch);

GBytes *rec_pack_configuration (const struct rec_configuration *record);
struct rec_configuration *rec_unpack_configuration (GBytes *bytes);
void rec_configuration_destroy (struct rec_configuration *record);

GBytes *rec_pack_lease (const struct rec_lease *record);
struct rec_lease *rec_unpack_lease (GBytes *bytes);
void rec_lease_destroy (struct rec_lease *record);

#endif
