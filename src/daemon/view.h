/* The view that traffic threads read without locks: the routing snapshot and
   tables to look up accounts, models and services.  The control thread
   publishes each new view by RCU (liburcu); the previous one is freed once no
   thread reads it any more.  A published view doesn't change, except for the
   load counters that its snapshot points to. */
#ifndef DAEMON_VIEW_H
#define DAEMON_VIEW_H

#include "core/snapshot.h"

#include <glib.h>
#include <stdbool.h>
#include <urcu.h>

/* The tables are used with vw_find_index. */
struct vw_view
{
  struct snap snap;
  GHashTable *account_by_token; /* by the SHA-256 of the token, in lower-case
                                   hexadecimal */
  GHashTable *model_by_name;
  GHashTable *service_by_name;
  struct rcu_head head;
};

struct vw_store;

struct vw_store *vw_store_create (void);
void vw_store_destroy (struct vw_store *store);
struct vw_view *vw_view_create (struct cfg_config *config);
void vw_publish (struct vw_store *store, struct vw_view *view);
void vw_thread_register (void);
void vw_thread_unregister (void);
const struct vw_view *vw_read_begin (struct vw_store *store);
void vw_read_end (void);
uint32_t vw_find_index (GHashTable *table, const char *name);

#endif
