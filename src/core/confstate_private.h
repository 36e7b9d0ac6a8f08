/* Internals shared by confstate.c and confstate_log.c. */
#ifndef CORE_CONFSTATE_PRIVATE_H
#define CORE_CONFSTATE_PRIVATE_H

#include "core/confstate.h"
#include "core/record.h"

/* A publication through this daemon that isn't answered yet. */
struct cst_pending
{
  uint64_t request_id;
  uint64_t nonce;
  uint64_t token;          /* of its append */
  uint64_t withdraw_token; /* of the withdrawal's append; 0: not withdrawn */
  int64_t started_us;
  int64_t withdrawn_us; /* when the withdrawal was appended */
  bool may_be_in_gap;   /* its record may be among records never read */
};

/* Identifies a publication across all daemons. */
struct cst_publication_id
{
  uint64_t incarnation;
  uint64_t nonce;
};

struct cst
{
  struct cst_params params;
  /* State of the log up to the record before NEXT_OFFSET.  */
  bool position_known;    /* NEXT_OFFSET is set */
  bool log_version_known; /* all readers get the same LOG_VERSION */
  uint64_t next_offset;
  uint64_t log_version;
  int64_t checkpoint_us;  /* log time of the newest checkpoint, else of the
                             first record that was read */
  int64_t newest_us;      /* log time of the newest record */
  int64_t newest_read_us; /* monotonic time when the newest record was read */
  bool caught_up;         /* the end of the log was reached at least once */
  int64_t caught_up_us;   /* when it was reached last */
  GArray *withdrawn;      /* struct cst_publication_id of publications whose
                             withdrawal was read */
  GPtrArray *history;     /* struct cst_version, the newest one last */
  uint32_t conflicts;     /* between the log and peers or checkpoints */
  /* The configuration in force: the highest version of log and peers.  */
  uint64_t version;
  GBytes *yaml;
  char *publisher;
  int64_t published_us;
  /* Peers.  */
  uint32_t daemons;
  uint32_t rank;
  uint64_t peer_version; /* highest version that a peer has reported */
  int64_t behind_us;     /* since when PEER_VERSION is higher than VERSION */
  int64_t peer_heard_us; /* when a peer was last heard from */
  bool peer_heard;       /* PEER_HEARD_US is set */
  /* This daemon's own appends.  */
  GPtrArray *publications; /* struct cst_pending */
  uint64_t next_token;
  uint64_t checkpoint_token; /* of the checkpoint in flight; 0: none */
  int64_t checkpoint_started_us;
};

bool cst_is_valid (const struct cst *cst, GBytes *yaml);
bool cst_log_fresh (const struct cst *cst, int64_t now_us);
struct cst_pending *cst_find_publication (const struct cst *cst,
                                          uint64_t nonce);
void cst_finish_publication (struct cst *cst, struct cst_pending *pending,
                             enum err_kind kind, uint64_t version,
                             struct act_list *actions);
void cst_apply_version (struct cst *cst, uint64_t version, GBytes *yaml,
                        const char *publisher, int64_t published_us,
                        bool from_log, struct act_list *actions);

#endif
