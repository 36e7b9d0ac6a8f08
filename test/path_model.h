/* A model of a fleet without a network: many daemons place streams on the
   first engines of paths, by the rule of core/path_choice or by the one that
   uses a daemon's own streams alone.  The same each run.  */
#ifndef TEST_PATH_MODEL_H
#define TEST_PATH_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#define PMD_ENGINES 11
#define PMD_DAEMONS 80
#define PMD_SLOTS 192
#define PMD_RANKS 3
#define PMD_WINDOW_MS 500
#define PMD_RUN_MS 32000
#define PMD_WINDOWS (PMD_RUN_MS / PMD_WINDOW_MS)

struct pmd_params
{
  bool knows_load;      /* the rule of core/path_choice */
  bool ranked;          /* three ranks; else all have rank 0 */
  double queue_s;       /* at engine 0 at the start, in seconds */
  uint32_t lost;        /* engines that are lost, the first ones */
  int64_t lost_from_ms; /* and until when */
  int64_t lost_until_ms;
  double burst; /* multiplies the arrivals */
  int64_t burst_from_ms;
  int64_t burst_until_ms;
};

/* Counts of the streams that arrived in each window, by kind.  Without ranks
   the kinds differ in their targets alone.  A refused stream isn't in time,
   whatever becomes of it when it returns.  */
struct pmd_result
{
  double arrived[PMD_WINDOWS][PMD_RANKS];
  double in_time[PMD_WINDOWS][PMD_RANKS];
  double refused[PMD_WINDOWS][PMD_RANKS];
  double median_ms[PMD_WINDOWS]; /* of the times to the first event */
  double queued[PMD_WINDOWS];    /* at engine 0, at the end of the window */
};

void pmd_run (const struct pmd_params *params, struct pmd_result *result);

#endif
