/* Views of the fleet: the configuration and the list of endpoints, published
   by the control thread to the traffic thread with liburcu.  A view is
   immutable and reference-counted.  A proof is a moment, in monotonic
   time, at which the configuration of a view was known to be the newest. */
#ifndef ENTRY_FLEET_VIEW_H
#define ENTRY_FLEET_VIEW_H

#include "core/fleet.h"

#include <glib.h>
#include <urcu.h>

struct fvw_view
{
  gint references;
  struct flt_config *config; /* reference; NULL: none is known yet */
  GPtrArray *endpoints;      /* struct rst_endpoint, sorted by id; owned */
  double
      share; /* this daemon's share of shared capacity and budgets, 0 to 1 */
  double rate_share; /* its share of the rates that endpoints name, of which
                        each daemon has one, 0 to 1 */
  bool crowded;      /* the fleet has more daemons than partitions, see
                        rfs_is_crowded */
  struct rcu_head head;
};

struct fvw_store;

struct fvw_store *fvw_store_create (void);
void fvw_store_destroy (struct fvw_store *store);
struct fvw_view *fvw_view_create (struct flt_config *config,
                                  GPtrArray *endpoints, double share,
                                  double rate_share);
void fvw_publish (struct fvw_store *store, struct fvw_view *view);
struct fvw_view *fvw_acquire_newer (struct fvw_store *store,
                                    const struct fvw_view *known,
                                    int64_t *proved_us);
struct fvw_view *fvw_reference (struct fvw_view *view);
void fvw_release (struct fvw_view *view);
void fvw_set_proved (struct fvw_store *store, int64_t proved_us);
int64_t fvw_proved_us (struct fvw_store *store);
void fvw_count_restore (struct fvw_store *store);
int64_t fvw_restores (struct fvw_store *store);

#endif
