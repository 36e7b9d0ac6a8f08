/* Chooses the paths of requests in a crowded fleet, where the load of the
   other daemons is known, and keeps what this needs to know of the daemon's
   own streams.  Without that knowledge, and in other fleets, the daemon's own
   streams decide alone, see fst_choose_path. */
#ifndef ENTRY_PATH_CHOOSING_H
#define ENTRY_PATH_CHOOSING_H

#include "core/fleet_load.h"
#include "entry/fleet_state.h"

struct emt_metrics;

/* Where the load of all other daemons is known from.  Both return false when
   nothing recent is known. */
struct pcs_source
{
  /* The requests at a first engine. */
  bool (*load) (void *context, const struct fst_endpoint *engine,
                int64_t now_us, struct flo_total *load);
  /* Requests that arrive at all daemons in a second, by rank index. */
  bool (*rates) (void *context, double per_s[FLT_RANKS_MAX]);
  void *context;
};

struct pcs_request
{
  const char *id;
  uint32_t service;
  double tokens; /* memory that it needs in an engine */
  double length; /* see struct pch_request */
  int64_t target_us;
  int64_t target_gap_us;
  uint32_t rank;
  bool is_resumed;
  bool came_back;
};

struct pcs_result
{
  double excess_us; /* by which the wait for the first event is too long; 0: it
                       isn't */
  bool by_load;     /* `choice' is set */
  struct pch_choice choice;
};

void pcs_set_source (struct fst_fleet *fleet, const struct pcs_source *source);
struct fst_path *pcs_choose (struct fst_fleet *fleet,
                             struct emt_metrics *metrics,
                             const struct pcs_request *request, int64_t now_us,
                             struct pcs_result *result);
double pcs_refuse (struct emt_metrics *metrics, struct fwt_refusals *refusals,
                   const struct pcs_request *request,
                   const struct fst_endpoint *engine,
                   const struct pcs_result *result, int64_t now_us);
void pcs_begin_wait (struct fst_endpoint *engine, uint32_t rank);
void pcs_end_wait (struct fst_endpoint *engine, uint32_t rank);
void pcs_count_waiting (const struct fst_endpoint *engine,
                        uint32_t waiting[FLT_RANKS_MAX]);
void pcs_observe_first_event (struct fst_fleet *fleet,
                              struct fst_endpoint *engine, int64_t wait_us,
                              int64_t now_us);
void pcs_observe_interval (struct fst_fleet *fleet,
                           struct fst_endpoint *engine, double interval_us,
                           int64_t now_us);
void pcs_observe_end (struct fst_fleet *fleet, struct fst_endpoint *engine,
                      int64_t first_wait_us, int64_t run_us, int64_t now_us);

#endif
