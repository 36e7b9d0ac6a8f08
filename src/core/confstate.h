/* State machine that decides which configuration version is in force at this
   daemon.  Operators publish configurations by appending them to the stream
   CST_STREAM of the platform's log; the order of the log decides between
   concurrent publications.  A daemon that can't read the log takes copies from
   its peers.  The machine also decides whether the daemon may serve requests
   with the configuration that it has.  It does no I/O: callers pass in events
   and perform the queued actions. */
#ifndef CORE_CONFSTATE_H
#define CORE_CONFSTATE_H

#include "core/action.h"

#define CST_STREAM "config"

struct cst_params
{
  uint64_t incarnation; /* random, unique for each start; not 0 */
  /* Log time between two checkpoints, which repeat the current version so that
     it outlives the log's retention.  */
  int64_t checkpoint_interval_us;
  /* Publications are rejected when the end of the log was last reached longer
     ago than this.  */
  int64_t log_stale_us;
  /* The daemon stops serving after this time without log and peers.  */
  int64_t isolation_limit_us;
  /* Time-out for reading back an append of this daemon from the log.  */
  int64_t read_back_timeout_us;
  uint32_t history_max; /* versions kept for operators */
  bool (*valid) (const char *yaml, size_t bytes, void *user_data);
  void *user_data; /* passed to VALID */
};

/* A configuration that an operator publishes. */
struct cst_publication
{
  uint64_t request_id;   /* repeated in the answer */
  uint64_t base_version; /* the version that YAML was derived from */
  /* Version to restore YAML as, after the log has lost every configuration;
     0 for an ordinary publication.  */
  uint64_t restore_version;
  const char *publisher;
  GBytes *yaml;
};

/* An accepted version in the history. */
struct cst_version
{
  uint64_t version;
  int64_t published_us; /* log time */
  char *publisher;
  GBytes *yaml;
};

struct cst;

struct cst_params cst_params_default (uint64_t incarnation,
                                      int64_t retention_us);
struct cst *cst_create (const struct cst_params *params);
void cst_destroy (struct cst *cst);

void cst_publish (struct cst *cst, const struct cst_publication *publication,
                  int64_t now_us, struct act_list *actions);
void cst_append_done (struct cst *cst, uint64_t token, uint64_t offset,
                      int64_t now_us, struct act_list *actions);
void cst_append_refused (struct cst *cst, uint64_t token, int64_t now_us,
                         struct act_list *actions);
void cst_append_unknown (struct cst *cst, uint64_t token, int64_t now_us,
                         struct act_list *actions);
void cst_log_record (struct cst *cst, uint64_t offset, int64_t time_us,
                     GBytes *bytes, int64_t now_us, struct act_list *actions);
void cst_log_position (struct cst *cst, uint64_t first, uint64_t next,
                       int64_t now_us);
void cst_tick (struct cst *cst, int64_t now_us, struct act_list *actions);

void cst_set_daemons (struct cst *cst, uint32_t daemons, uint32_t rank);
void cst_peer_version (struct cst *cst, uint64_t version, int64_t now_us);
void cst_peer_config (struct cst *cst, uint64_t version, GBytes *yaml,
                      int64_t now_us, struct act_list *actions);
uint64_t cst_wanted_version (const struct cst *cst);

bool cst_serving_allowed (const struct cst *cst, int64_t now_us);
uint64_t cst_current_version (const struct cst *cst);
GBytes *cst_current_yaml (const struct cst *cst);
uint32_t cst_history_length (const struct cst *cst);
const struct cst_version *cst_history_get (const struct cst *cst,
                                           uint32_t index);
uint32_t cst_conflict_count (const struct cst *cst);

#endif
