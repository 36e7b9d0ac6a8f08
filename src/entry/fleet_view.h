/* What the control thread knows of the fleet, published to the traffic thread
   with liburcu.  A view is immutable and shared by reference count. */
#ifndef ENTRY_FLEET_VIEW_H
#define ENTRY_FLEET_VIEW_H

#include "core/fleet.h"

#include <glib.h>
#include <urcu.h>

struct fvw_view
{
  gint references;
  struct flt_config *config; /* NULL: none is known */
  GPtrArray *endpoints;      /* struct rst_endpoint, sorted by id; owned */
  double share;              /* of what all daemons divide, 0 to 1 */
  struct rcu_head head;
};

struct fvw_store;

struct fvw_store *fvw_store_create (void);
void fvw_store_destroy (struct fvw_store *store);
struct fvw_view *fvw_view_create (struct flt_config *config,
                                  GPtrArray *endpoints, double share);
void fvw_publish (struct fvw_store *store, struct fvw_view *view);
struct fvw_view *fvw_acquire_newer (struct fvw_store *store,
                                    const struct fvw_view *known,
                                    int64_t *proved_us);
struct fvw_view *fvw_reference (struct fvw_view *view);
void fvw_release (struct fvw_view *view);
void fvw_set_proved (struct fvw_store *store, int64_t proved_us);
int64_t fvw_proved_us (struct fvw_store *store);

#endif
