/* Runs each call that carries an idempotency key at most once across all
   daemons.

   A daemon that receives such a call appends a claim for its account and key
   to a claims stream of the platform's log.  Every daemon reads the stream,
   and the first claim in log order wins.  Only the daemon that made this
   claim, its holder, may send the call.  It then appends the outcome, which
   every daemon returns to repeats of the key; a release, which frees the key,
   when the call was not run; or an entry that says that it is unknown whether
   the call ran.

   This is a state machine without I/O: the daemon's control thread passes
   events in with the current monotonic time, and carries out the actions that
   come back in a struct act_list. */
#ifndef CORE_CLAIMS_H
#define CORE_CLAIMS_H

#include "core/action.h"
#include "core/keytable.h"

/* Number of claims streams; a key belongs to one of them by the hash of
   account and key. */
#define CLM_PARTITIONS 1

struct clm_params
{
  uint64_t incarnation;        /* random, unique for each start; not 0 */
  int64_t lifetime_us;         /* a key expires this long after its outcome */
  int64_t key_retention_us;    /* readers keep settled keys this long; the log
                                  has to keep records for longer */
  uint32_t appends_per_s;      /* limit for all daemons together */
  int64_t queue_wait_us;       /* maximum wait of a claim for its append */
  int64_t read_back_wait_us;   /* maximum wait until a claim is read back */
  int64_t dispatch_window_us;  /* maximum time from winning to the send */
  int64_t max_reader_lag_us;   /* new claims are refused once the reader has
                                  not been at the end of the log for longer */
  int64_t outage_margin_us;    /* maximum duration of a read, and maximum age
                                  of what peers report */
  int64_t unknown_age_us;      /* an older claim counts as unknown */
  int64_t settle_age_us;       /* operators may settle an older claim */
  uint32_t claims_per_account; /* maximum claims waiting for an append */
  uint32_t batch_entries;      /* maximum entries of one append */
  uint32_t batch_bytes;        /* maximum size of one append */
  uint32_t appends_in_flight;  /* limit for this daemon */
};

/* A call with an idempotency key. */
struct clm_call
{
  uint64_t request_id; /* unique in this daemon */
  const char *account;
  const char *key;
  uint64_t body_hash; /* of method, path and body */
};

/* What is known of a key, in the terms of an answer to its caller. */
struct clm_info
{
  enum err_kind kind; /* ERR_NONE: status and body are the recorded answer;
                         ERR_NOT_FOUND: no such key, or it was released */
  enum err_ran ran;   /* whether the call ran */
  uint32_t status;    /* HTTP status of the recorded answer */
  GBytes *body;       /* borrowed; may be NULL */
  bool body_omitted;  /* the recorded answer was too large to keep */
};

struct clm_stats
{
  uint32_t active;    /* claims of this daemon that are in progress */
  uint32_t waiting;   /* entries that wait for an append */
  uint32_t keys;      /* keys in the table, settled or not */
  uint32_t malformed; /* records and entries that were skipped; total */
  uint32_t conflicts; /* outcomes of claims that had lost the key */
  uint64_t appends;   /* total */
};

struct clm;

struct clm_params clm_params_default (uint64_t incarnation,
                                      int64_t lifetime_us);
struct clm *clm_create (const struct clm_params *params);
void clm_destroy (struct clm *clm);

void clm_request (struct clm *clm, const struct clm_call *call, int64_t now_us,
                  struct act_list *actions);
void clm_caller_gone (struct clm *clm, uint64_t request_id, int64_t now_us,
                      struct act_list *actions);
bool clm_begin_send (struct clm *clm, uint64_t request_id, int64_t now_us);
void clm_not_run (struct clm *clm, uint64_t request_id, enum err_kind kind,
                  int64_t now_us, struct act_list *actions);
void clm_outcome (struct clm *clm, uint64_t request_id, uint32_t status,
                  GBytes *body, int64_t now_us, struct act_list *actions);
void clm_unknown (struct clm *clm, uint64_t request_id, enum err_kind kind,
                  int64_t now_us, struct act_list *actions);

void clm_append_done (struct clm *clm, uint64_t token, uint64_t offset,
                      int64_t now_us, struct act_list *actions);
void clm_append_refused (struct clm *clm, uint64_t token, int64_t now_us,
                         struct act_list *actions);
void clm_append_unknown (struct clm *clm, uint64_t token, int64_t now_us,
                         struct act_list *actions);
void clm_log_record (struct clm *clm, const char *stream, uint64_t offset,
                     int64_t time_us, GBytes *bytes, int64_t now_us,
                     struct act_list *actions);
void clm_log_position (struct clm *clm, const char *stream, uint64_t first,
                       uint64_t next, int64_t now_us);
void clm_log_unavailable (struct clm *clm, int64_t now_us);
void clm_tick (struct clm *clm, int64_t now_us, struct act_list *actions);

void clm_set_share (struct clm *clm, uint32_t daemons, uint32_t rank);
void clm_set_weight (struct clm *clm, const char *account, uint32_t weight);
void clm_set_peers_reach_log (struct clm *clm, bool reach, int64_t now_us);
void clm_holder_dead (struct clm *clm, uint64_t incarnation);
void clm_accept_full_history (struct clm *clm);

struct clm_info clm_lookup (struct clm *clm, const char *account,
                            const char *key, int64_t now_us);
void clm_list_unknown (struct clm *clm, const char *account, int64_t now_us,
                       void (*visit) (const struct key_state *state,
                                      void *user_data),
                       void *user_data);
enum err_ran clm_refusal_ran (struct clm *clm, const char *account,
                              const char *key, int64_t now_us);
void clm_settle (struct clm *clm, uint64_t request_id, const char *account,
                 const char *key, bool ran, uint32_t status, GBytes *body,
                 int64_t now_us, struct act_list *actions);

bool clm_ready (const struct clm *clm, int64_t now_us);
struct clm_stats clm_stats (const struct clm *clm);

#endif
