/* Error budgets of the accounts' service-level objectives.

   Each daemon counts its own requests by account, kind of work and objective
   as good or bad (brn_observe).  Every minute it appends the new counts as a
   record to a stream of the log (brn_tick), and it merges the records of all
   daemons (brn_merge).  The report (brn_report) states for each objective what
   is left of its error budget, how fast the budget is being spent (the burn
   rate) and whether the service degrades from week to week.

   This is a state machine without I/O: the daemon's control thread passes
   events in with the current time, and carries out the appends that come
   back. */
#ifndef CORE_BURN_H
#define CORE_BURN_H

#include "base/error.h"
#include "core/action.h"
#include "core/config.h"

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define BRN_STREAM "burn" /* stream of the log */
#define BRN_BUCKET_S 300  /* requests are counted by buckets of time */
#define BRN_SHORT_WINDOW_BUCKETS 12 /* one hour */
#define BRN_LONG_WINDOW_HOURS 24
#define BRN_BUDGET_WINDOW_DAYS 28
#define BRN_TREND_WINDOW_DAYS 35
#define BRN_SEQUENCES_MAX 64 /* records of one daemon for one bucket */

/* Kinds of work, as requests are grouped in the report. */
enum brn_work
{
  BRN_DRAFT,  /* a request that generates tokens */
  BRN_KEYED,  /* a call of a service with an idempotency key */
  BRN_LOOKUP, /* a call of a service without a key */
  BRN_WORK_COUNT
};

enum brn_objective
{
  BRN_AVAILABILITY,   /* the request is answered without an error */
  BRN_FIRST_TOKEN,    /* time to the first token */
  BRN_BETWEEN_TOKENS, /* mean time between two tokens */
  BRN_SETTLED,        /* time to the answer of a keyed call */
  BRN_OBJECTIVE_COUNT
};

/* How one request ended.  A time below 0 is not counted. */
struct brn_outcome
{
  const char *account;
  enum brn_work work;
  enum err_kind error;
  int64_t first_token_us;    /* from the start to the first token */
  int64_t between_tokens_us; /* mean over this request */
  int64_t settled_us;        /* from the start to the answer */
  const char *endpoint;      /* the last one that was tried; "": none */
  const char *data_centre;   /* of that endpoint; "": not known */
  const struct cfg_objective *objective; /* of the account */
};

/* Counts of requests for one objective. */
struct brn_count
{
  uint32_t total;
  uint32_t bad;    /* missed the objective */
  int64_t log_sum; /* of log2 of the time in us, in 1024ths; gives the
                      geometric mean */
};

/* Number of requests that missed an objective with the same error, endpoint
   and data centre. */
struct brn_cause
{
  enum brn_objective objective;
  enum err_kind error; /* ERR_NONE: answered, but too late */
  char endpoint[CFG_NAME_BYTES];
  char data_centre[CFG_NAME_BYTES];
  uint32_t count;
};

/* What requests are counted by. */
struct brn_key
{
  char account[CFG_NAME_BYTES];
  enum brn_work work;
};

/* Counts of one account and kind of work in a record. */
struct brn_entry
{
  struct brn_key key; /* first, as hash tables use the entry as its key */
  struct brn_count counts[BRN_OBJECTIVE_COUNT];
  GArray *causes; /* struct brn_cause */
};

/* What one daemon counted in one bucket since its previous record.
   Incarnation, bucket and sequence together identify the record. */
struct brn_record
{
  uint64_t incarnation; /* of the daemon */
  uint32_t bucket;      /* number of the bucket since 1970 */
  uint32_t sequence;    /* counts from 0 in each bucket; below
                           BRN_SEQUENCES_MAX */
  GPtrArray *entries;   /* struct brn_entry */
};

enum brn_merge_result
{
  BRN_MERGED,
  BRN_DUPLICATE, /* merged before */
  BRN_TOO_OLD,   /* rejected: whether it was merged is no longer known */
  BRN_TOO_NEW,   /* rejected: from a clock that is far ahead */
  BRN_MALFORMED
};

struct brn_params
{
  uint64_t incarnation; /* of this daemon; differs for every start */
  uint32_t series_max;  /* pairs of account and kind of work; 0: default */
  uint32_t causes_max;  /* distinct causes by day, over all series; 0:
                           default */
};

/* What a daemon has counted and the log hasn't confirmed. */
struct brn_unconfirmed
{
  uint32_t records;
  uint64_t requests; /* counted in these records */
};

struct brn_state;

struct brn_state *brn_create (const struct brn_params *params);
void brn_destroy (struct brn_state *state);
void brn_observe (struct brn_state *state, const struct brn_outcome *outcome,
                  int64_t now_us);
void brn_tick (struct brn_state *state, int64_t now_us, int64_t real_us,
               bool flush, struct act_list *actions);
void brn_append_result (struct brn_state *state, uint64_t token,
                        enum err_kind result, int64_t now_us);
void brn_finish (struct brn_state *state);
struct brn_unconfirmed brn_unconfirmed (const struct brn_state *state);
enum brn_merge_result brn_merge (struct brn_state *state,
                                 const struct brn_record *record,
                                 int64_t real_us);
const char *brn_merge_result_name (enum brn_merge_result result);

GBytes *brn_pack (const struct brn_record *record);
struct brn_record *brn_unpack (GBytes *bytes);
void brn_record_destroy (struct brn_record *record);

/* The state of one objective, best first. */
enum brn_verdict
{
  BRN_FINE,
  BRN_SLIDING,   /* degrades from week to week, by more than noise */
  BRN_BURNING,   /* burn rate too high over the short and the long window */
  BRN_EXHAUSTED, /* nothing is left of the budget */
  BRN_VERDICT_COUNT
};

/* The most frequent error, endpoint or data centre among the causes of one
   line. */
struct brn_top_cause
{
  char name[CFG_NAME_BYTES]; /* "": none */
  double share;              /* fraction of the bad requests of the line */
};

/* Change of an objective over the trend window. */
struct brn_trend
{
  uint32_t days;         /* with enough requests to use; 0: no trend */
  double change_weekly;  /* times: relative, 0.02 is 2 % longer; availability:
                            absolute change of the fraction of bad requests */
  double standard_error; /* of change_weekly */
};

/* The state of one objective of one account and kind of work.  Totals, causes
   and budget are those of the budget window. */
struct brn_report_line
{
  char account[CFG_NAME_BYTES];
  enum brn_work work;
  enum brn_objective objective;
  double target;  /* fraction of requests that have to be good */
  uint64_t total; /* requests */
  uint64_t bad;
  double budget_left; /* fraction; 1: nothing used; below 0: exceeded */
  double short_burn;  /* burn rate over the short window; at 1 the budget lasts
                         exactly the budget window */
  double long_burn;   /* burn rate over the long window */
  struct brn_trend trend;
  struct brn_top_cause error;
  struct brn_top_cause endpoint;
  struct brn_top_cause data_centre;
  enum brn_verdict verdict;
};

/* The state of all objectives.  The counters are totals since the daemon
   started. */
struct brn_report
{
  int64_t at_us;   /* since 1970 */
  GArray *lines;   /* struct brn_report_line, by account, work and objective */
  uint64_t merged; /* records; this daemon counts its own requests directly */
  uint64_t duplicates;      /* records that were merged before */
  uint64_t too_old;         /* records that were rejected */
  uint64_t too_new;         /* records that were rejected */
  uint64_t dropped_causes;  /* over causes_max */
  uint64_t dropped_series;  /* entries not counted, over series_max */
  uint64_t dropped_records; /* of this daemon, in an outage of the log */
};

struct brn_report *brn_report (const struct brn_state *state,
                               const struct cfg_config *config,
                               int64_t now_us);
void brn_report_destroy (struct brn_report *report);
json_t *brn_report_to_json (const struct brn_report *report);
const char *brn_work_name (enum brn_work work);
const char *brn_objective_name (enum brn_objective objective);
const char *brn_verdict_name (enum brn_verdict verdict);

#endif
