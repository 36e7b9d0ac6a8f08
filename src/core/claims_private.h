/* Types and functions shared by the source files of the claims state machine:
   claims.c (calls), claims_append.c (writing the log), claims_read.c (reading
   the log) and claims_operator.c (peers, lookups and settlements). */
#ifndef CORE_CLAIMS_PRIVATE_H
#define CORE_CLAIMS_PRIVATE_H

#include "core/batch.h"
#include "core/claims.h"

/* Progress of one claim of this daemon. */
enum clm_phase
{
  CLM_QUEUED,    /* waits for an append */
  CLM_APPENDING, /* append sent; its record has not been read back yet */
  CLM_REFUSED,   /* not in the log; waits until the reader has read what was
                    in the log when the claim was refused */
  CLM_WON,       /* ACT_DISPATCH was given: the call may be sent */
  CLM_SENT,      /* the first byte may have been sent */
  CLM_RELEASING, /* nothing was run, nor will be; waits until its release is
                    read back */
  CLM_RECORDING  /* answered; waits until its outcome is read back */
};

/* A claim of this daemon that is in progress. */
struct clm_claim
{
  uint64_t request_id;
  struct rec_entry *entry; /* identifies the claim in the log */
  uint32_t partition;      /* index */
  enum clm_phase phase;
  int64_t queued_us;
  int64_t phase_us;           /* when it entered its phase */
  uint32_t attempts;          /* entries queued for this call so far */
  bool answered;              /* or the caller closed its connection */
  enum err_kind release_kind; /* the error to answer with once the release is
                                 read back */
};

/* An operator's settlement that has not been read back yet. */
struct clm_settlement
{
  uint64_t request_id;
  struct rec_entry *entry;
  int64_t started_us;
};

enum clm_append_state
{
  CLM_APPEND_IN_FLIGHT,
  CLM_APPEND_ACKNOWLEDGED, /* in the log */
  CLM_APPEND_UNANSWERED    /* the answer was lost, or the log deleted the
                              record before it was read back */
};

/* An append whose record has not been read back yet. */
struct clm_pending_append
{
  uint64_t sequence;
  uint32_t partition; /* index */
  enum clm_append_state state;
  uint64_t offset;             /* when acknowledged */
  int64_t unanswered_since_us; /* when unanswered */
  GPtrArray *entries;          /* struct rec_entry */
};

/* One claims stream as read by this daemon.  Log times come from the log's
   clock, the other times are monotonic. */
struct clm_partition
{
  char stream[ACT_STREAM_BYTES];
  struct key_table *table;
  struct bat_queue *queue;
  bool started;              /* a record or a position has been read */
  bool has_full_history;     /* read from the very first record on */
  bool has_records;          /* at least one was read */
  uint64_t next_offset;      /* of the next record to read */
  int64_t gapless_since_us;  /* log time of the oldest record after which none
                                was missed */
  int64_t latest_us;         /* log time of the newest record */
  int64_t latest_read_us;    /* when the newest record was read */
  int64_t caught_up_us;      /* when the reader last reached the end */
  bool has_caught_up;        /* the reader has been there at least once */
  int64_t log_down_since_us; /* first report of the current outage */
  int64_t log_down_reported_us; /* latest report of the outage */
  bool log_down; /* the log reported an outage, and no read succeeded since */
  int64_t next_sweep_us;
  int64_t noop_us; /* not used */
};

struct clm
{
  struct clm_params params;
  struct clm_partition partitions[CLM_PARTITIONS];
  GHashTable *by_request;  /* request id to struct clm_claim, which it owns */
  GHashTable *by_key;      /* key_join () to struct clm_claim */
  GHashTable *by_nonce;    /* nonce to struct clm_claim */
  GHashTable *settlements; /* key_join () to struct clm_settlement */
  GHashTable *pending_appends;   /* sequence to struct clm_pending_append */
  GHashTable *dead_incarnations; /* set of incarnations */
  uint64_t next_nonce;
  uint64_t next_sequence;
  uint32_t in_flight_appends;
  int64_t append_interval_us; /* between two appends of this daemon */
  int64_t next_append_us;     /* when the next append is due at that rate */
  int64_t backoff_until_us;   /* no append before, after a refused one */
  uint32_t rank;              /* of this daemon among the ready ones */
  bool peers_reach_log;
  int64_t peers_updated_us;      /* when peers_reach_log was last set */
  int64_t peers_last_reached_us; /* when a peer last reached the log */
  uint32_t malformed;
  uint64_t appends;
};

struct clm_partition *clm_partition_of (struct clm *clm, const char *account,
                                        const char *key, uint32_t *index);
int64_t clm_log_now (const struct clm_partition *partition, int64_t now_us);
bool clm_history_complete (const struct clm *clm,
                           const struct clm_partition *partition);
struct clm_claim *clm_find (const struct clm *clm, uint64_t request_id);
void clm_remove (struct clm *clm, struct clm_claim *claim);
void clm_set_phase (struct clm_claim *claim, enum clm_phase phase,
                    int64_t now_us);
void clm_answer_error (struct clm_claim *claim, enum err_kind kind,
                       enum err_ran ran, struct act_list *actions);
void clm_answer_refusal (struct clm *clm, struct clm_claim *claim,
                         enum err_kind kind, int64_t now_us,
                         struct act_list *actions);
bool clm_answer_from_state (struct clm *clm, uint64_t request_id,
                            uint64_t body_hash, const struct key_state *state,
                            int64_t now_us, struct act_list *actions);
void clm_finish_refused (struct clm *clm, struct clm_claim *claim,
                         int64_t now_us, struct act_list *actions);
struct clm_info clm_state_info (const struct clm *clm,
                                const struct clm_partition *partition,
                                const struct key_state *state, int64_t now_us);
struct clm_info clm_claim_info (const struct clm_claim *claim);
bool clm_reader_fresh (const struct clm *clm,
                       const struct clm_partition *partition, int64_t now_us);
bool clm_queue_claim (struct clm *clm, struct clm_claim *claim,
                      int64_t now_us);
void clm_queue_durable (struct clm *clm, const struct rec_entry *identity,
                        enum rec_kind kind, uint32_t partition);
void clm_start_release (struct clm *clm, struct clm_claim *claim,
                        enum err_kind kind, int64_t now_us);
void clm_flush (struct clm *clm, int64_t now_us, struct act_list *actions);
void clm_append_read (struct clm *clm, uint64_t sequence);
void clm_appends_skipped (struct clm *clm, uint32_t partition, uint64_t offset,
                          int64_t now_us);
void clm_expire_appends (struct clm *clm, int64_t now_us);
void clm_refresh_keys (struct clm *clm, uint32_t partition, int64_t now_us);
void clm_settlement_read (struct clm *clm, const struct rec_entry *entry,
                          enum key_result result, struct act_list *actions);
void clm_expire_settlements (struct clm *clm, int64_t now_us,
                             struct act_list *actions);
void clm_pending_append_destroy (struct clm_pending_append *append);

#endif
