#include "daemon/view.h"

#include <stddef.h>

struct vw_store
{
  struct vw_view *current; /* RCU-protected; NULL before the first */
};

/* Creates a store without a view.  */
struct vw_store *
vw_store_create (void)
{
  return g_new0 (struct vw_store, 1);
}

static void
destroy_view (struct vw_view *view)
{
  g_hash_table_destroy (view->account_by_token);
  g_hash_table_destroy (view->model_by_name);
  g_hash_table_destroy (view->service_by_name);
  g_free (view->snap.endpoints);
  cfg_config_destroy (view->snap.config);
  g_free (view);
}

static void
free_after_grace_period (struct rcu_head *head)
{
  destroy_view (caa_container_of (head, struct vw_view, head));
}

/* Frees STORE, which may be NULL, and its view, after views published earlier
   are freed.  No thread may read a view any more.  */
void
vw_store_destroy (struct vw_store *store)
{
  if (store == NULL)
    {
      return;
    }
  rcu_barrier ();
  if (store->current != NULL)
    {
      destroy_view (store->current);
    }
  g_free (store);
}

/* Returns a table for vw_find_index from the string at the start of each of
   the COUNT items, ITEM_BYTES apart, to the index of the item, plus 1 to tell
   index 0 from NULL.  The table refers to the strings.  */
static GHashTable *
create_index (const char *items, size_t item_bytes, uint32_t count)
{
  GHashTable *table = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < count; i++)
    {
      const char *key = items + i * item_bytes;
      g_hash_table_insert (table, (gpointer)key, GUINT_TO_POINTER (i + 1));
    }
  return table;
}

/* Creates a view of CONFIG, with one endpoint for each host, which the caller
   fills in.  Takes over the caller's reference to CONFIG.  */
struct vw_view *
vw_view_create (struct cfg_config *config)
{
  struct vw_view *view = g_new0 (struct vw_view, 1);
  const char *accounts = (const char *)config->accounts;
  view->snap.config = config;
  view->snap.endpoints = g_new0 (struct snap_endpoint, config->host_count);
  view->snap.endpoint_count = config->host_count;
  view->snap.daemons = 1;
  if (accounts != NULL)
    {
      accounts += offsetof (struct cfg_account, token_sha256);
    }
  view->account_by_token = create_index (accounts, sizeof *config->accounts,
                                         config->account_count);
  view->model_by_name
      = create_index ((const char *)config->models, sizeof *config->models,
                      config->model_count);
  view->service_by_name
      = create_index ((const char *)config->services, sizeof *config->services,
                      config->service_count);
  return view;
}

/* Replaces the current view by VIEW.  The previous view is freed once no
   thread reads it.  Called on the control thread only.  */
void
vw_publish (struct vw_store *store, struct vw_view *view)
{
  struct vw_view *old = rcu_xchg_pointer (&store->current, view);
  if (old != NULL)
    {
      call_rcu (&old->head, free_after_grace_period);
    }
}

/* Registers the calling thread as a reader, which it must be before it calls
   vw_read_begin.  */
void
vw_thread_register (void)
{
  rcu_register_thread ();
}

/* Unregisters the calling thread, which must call this before it ends.  */
void
vw_thread_unregister (void)
{
  rcu_unregister_thread ();
}

/* Returns the current view, or NULL before the first.  The view stays valid
   until vw_read_end, which must be called in either case, and soon, since no
   replaced view is freed before.  */
const struct vw_view *
vw_read_begin (struct vw_store *store)
{
  rcu_read_lock ();
  return rcu_dereference (store->current);
}

/* Ends the critical section that vw_read_begin began.  */
void
vw_read_end (void)
{
  rcu_read_unlock ();
}

/* Returns the index in the configuration that TABLE of a view has for NAME, or
   CFG_NO_INDEX.  */
uint32_t
vw_find_index (GHashTable *table, const char *name)
{
  guint index_plus_1 = GPOINTER_TO_UINT (g_hash_table_lookup (table, name));
  return index_plus_1 == 0 ? CFG_NO_INDEX : index_plus_1 - 1;
}
