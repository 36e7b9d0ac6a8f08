/* The view that traffic threads read: the routing snapshot and its look-up
   tables, published by the control thread with liburcu. */
#ifndef DAEMON_VIEW_H
#define DAEMON_VIEW_H

#include "core/snapshot.h"

#include <glib.h>
#include <stdbool.h>
#include <urcu.h>

struct vw_view
{
  struct snap snap;
  GHashTable *account_by_token; /* SHA-256 in hexadecimal to index + 1 */
  GHashTable *model_by_name;    /* to index + 1 */
  GHashTable *service_by_name;  /* to index + 1 */
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
