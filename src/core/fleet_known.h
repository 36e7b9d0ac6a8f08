/* What a daemon knows of the requests of the other daemons, from the answers
   of an aggregator (core/fleet_load.h), and what it makes of reports that an
   engine is dead.

   The load: after an aggregator's death its successor has heard few daemons
   yet, and its low sums would send the streams of all daemons to engines that
   are full.  Until the newest fuller answer is too old, it counts.  A daemon
   that is cut off from engines reports all of them as dead, so a daemon whose
   own streams over the engine go on doesn't believe it. */
#ifndef CORE_FLEET_KNOWN_H
#define CORE_FLEET_KNOWN_H

#include "core/fleet_load.h"

/* Time from which on an answer is too old to be used. */
#define FKN_AGE_MAX_US INT64_C (1500000)

/* How long an engine that one daemon reported as dead is avoided. */
#define FKN_SUSPECT_US INT64_C (300000)

/* An event within this time shows that the engine isn't dead.  An event may
   have passed the engine this long before it arrives, so one shows that a
   report is wrong only if it comes later than that. */
#define FKN_PROGRESS_US INT64_C (150000)

/* An answer of an aggregator. */
struct fkn_answer
{
  const struct flo_sum *sums;
  size_t sum_count;
  uint32_t daemons; /* whose statements are in force */
  double per_s[FLT_RANKS_MAX];
};

/* A report, and what this daemon's own calls to the engine show.  Points in
   time are monotonic; 0: never. */
struct fkn_report
{
  uint32_t reporters;
  int64_t found_us;
  int64_t progressed_us; /* when a stream over the engine last went on */
  int64_t answered_us;   /* when the newest call was sent that it answered */
  bool cut_off;          /* this daemon is, from the engine's service */
};

enum fkn_verdict
{
  FKN_IGNORED,
  FKN_SUSPECT,  /* other engines are preferred for a while */
  FKN_CONFIRMED /* as if this daemon had found it dead itself */
};

struct fkn_known;

struct fkn_known *fkn_create (void);
void fkn_destroy (struct fkn_known *known);
bool fkn_apply (struct fkn_known *known, const struct fkn_answer *answer,
                const struct flo_part *own, size_t own_count, int64_t now_us);
bool fkn_is_current (const struct fkn_known *known, int64_t now_us);
int64_t fkn_age_us (const struct fkn_known *known, int64_t now_us);
uint32_t fkn_daemons (const struct fkn_known *known);
uint32_t fkn_requests (const struct fkn_known *known);
bool fkn_total (const struct fkn_known *known, const char *id, int64_t born_ms,
                int64_t now_us, struct flo_total *total);
bool fkn_rates (const struct fkn_known *known, int64_t now_us,
                double per_s[FLT_RANKS_MAX]);
bool fkn_is_disproved (const struct fkn_report *report);
enum fkn_verdict fkn_judge (const struct fkn_report *report, int64_t now_us);

#endif
