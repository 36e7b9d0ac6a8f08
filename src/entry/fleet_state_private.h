/* State of the fleet, for the source files that choose endpoints and paths. */
#ifndef ENTRY_FLEET_STATE_PRIVATE_H
#define ENTRY_FLEET_STATE_PRIVATE_H

#include "entry/fleet_state.h"
#include "entry/path_choosing.h"

/* Lower bound of this daemon's share of the fleet's capacity.  Used until the
   group reports the actual share. */
#define SHARE_MIN 0.02

/* What is kept for one service. */
struct service_state
{
  struct rbg_budget budget;
  GPtrArray *paths;       /* struct fst_path; NULL: to be computed */
  int64_t paths_until_us; /* when the paths expire */
  int64_t opens_us; /* when the first path opens that engines which turned
                       requests away close; 0: none will */
  bool cut_off; /* this daemon can't tell which of its endpoints are dead */
  int64_t cut_since_us; /* then only endpoints that have answered calls which
                           were sent later are used */
  struct pob_observed observed; /* of the streams at all first engines */
};

/* State of the fleet; used by the traffic thread alone. */
struct fst_fleet
{
  char *data_centre;
  struct rbg_params budget_params;
  struct vdt_verdicts *verdicts; /* read by the control thread */
  struct fvw_view *view;         /* in force; NULL before the first */
  GHashTable *endpoints;         /* id to struct fst_endpoint */
  GPtrArray *ordered;       /* the same endpoints, in the order of the view */
  GPtrArray *data_centres;  /* names, allocated; endpoints hold the index */
  GHashTable *services;     /* name to struct service_state */
  GHashTable *kept_rates;   /* endpoint id to struct kept_rate */
  struct pcs_source source; /* of the others' load; `load' is NULL: none */
  fst_failed failed;        /* NULL: failures aren't watched */
  void *failed_context;
};

uint32_t fst_data_centre_index (struct fst_fleet *fleet, const char *name);
struct service_state *fst_service_state (struct fst_fleet *fleet,
                                         uint32_t index);
struct service_state *fst_service_with_paths (struct fst_fleet *fleet,
                                              uint32_t index, int64_t now_us);
bool fst_is_in_reach (const struct service_state *service,
                      const struct fst_endpoint *endpoint);
bool fst_path_is_open (const struct service_state *service,
                       const struct fst_path *path, int64_t now_us);
int64_t fst_path_full_us (const struct fst_path *path, int64_t now_us);

/* Returns when ENDPOINT takes the next request of this daemon: it may have
   turned requests away or named a rate.  The result isn't after NOW_US if it
   takes one now.  */
static inline int64_t
opens_for_requests_us (const struct fst_endpoint *endpoint, int64_t now_us)
{
  return MAX (endpoint->opens_us, shr_opens_us (&endpoint->rate, now_us));
}

#endif
