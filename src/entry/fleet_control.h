/* The control thread of an entry daemon: follows the configuration and the
   list of endpoints in the store, relays them to other daemons, keeps the
   daemon in its group, places layers while the daemon is the leader, and
   publishes views to the traffic thread. */
#ifndef ENTRY_FLEET_CONTROL_H
#define ENTRY_FLEET_CONTROL_H

#include "config/entry_settings.h"
#include "entry/fleet_view.h"
#include "entry/neighbours.h"
#include "entry/quarantine.h"
#include "entry/verdicts.h"

struct fct_control;

/* Called on the control thread after a view was published; must notify the
   reader in a thread-safe way.  */
typedef void (*fct_notify) (void *context);

struct fct_control *
fct_create (const struct ens_settings *settings, struct fvw_store *views,
            struct vdt_verdicts *verdicts, struct qrn_quarantine *quarantine,
            struct nbr_neighbours *neighbours, fct_notify notify,
            void *context, GError **error);
void fct_leave_group (struct fct_control *control);
void fct_destroy (struct fct_control *control);

#endif
