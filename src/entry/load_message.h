/* The messages of the exchange of load between daemons, proto/load.proto. */
#ifndef ENTRY_LOAD_MESSAGE_H
#define ENTRY_LOAD_MESSAGE_H

#include "core/fleet_known.h"
#include "proto/load.pb-c.h"

#define LMG_PATH "/load"

/* A statement with what its daemon expects of the answer. */
struct lmg_request
{
  struct flo_statement statement;
  uint32_t wait_ms;        /* for a new death; 0: the answer comes at once */
  uint64_t deaths_version; /* of the newest answer */
  LoadStatement *message;  /* that `statement' refers to, as read; or NULL */
};

/* An answer, as read. */
struct lmg_answer
{
  struct fkn_answer known;
  GArray *sums;   /* struct flo_sum, of `known' */
  GArray *deaths; /* struct flo_death */
  uint64_t deaths_version;
  LoadAnswer *message; /* that the others refer to */
};

GByteArray *lmg_pack_request (const struct lmg_request *request);
bool lmg_read_request (const void *bytes, size_t count,
                       struct lmg_request *request);
void lmg_clear_request (struct lmg_request *request);
GByteArray *lmg_pack_answer (struct flo_table *table, int64_t now_us);
bool lmg_read_answer (const void *bytes, size_t count,
                      struct lmg_answer *answer);
void lmg_clear_answer (struct lmg_answer *answer);

#endif
