#include "daemon/view.h"

#include <stddef.h>

struct vw_store
{
  struct vw_view *current; /* by rcu_dereference; NULL before the first */
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

/* Frees STORE and its view; no thread may read it any more.  */
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

/* Returns a table from the string at the start of each item to its index
   + 1.  */
static GHashTable *
index_by_string (const char *items, size_t item_bytes, uint32_t count)
{
  GHashTable *table = g_hash_table_new (g_str_hash, g_str_equal);
  for (uint32_t i = 0; i < count; i++)
    {
      const char *key = items + i * item_bytes;
      g_hash_table_insert (table, (gpointer)key, GUINT_TO_POINTER (i + 1));
    }
  return table;
}

/* Creates a view of CONFIG, which it owns from now on, with room for one
   endpoint a host.  The caller fills `snap'.  */
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
  view->account_by_token = index_by_string (accounts, sizeof *config->accounts,
                                            config->account_count);
  view->model_by_name
      = index_by_string ((const char *)config->models, sizeof *config->models,
                         config->model_count);
  view->service_by_name
      = index_by_string ((const char *)config->services,
                         sizeof *config->services, config->service_count);
  return view;
}

/* Puts VIEW in place of the one in force, which is freed once no thread reads
   it.  Called by the control thread only.  */
void
vw_publish (struct vw_store *store, struct vw_view *view)
{
  struct vw_view *old = rcu_xchg_pointer (&store->current, view);
  if (old != NULL)
    {
      call_rcu (&old->head, free_after_grace_period);
    }
}

/* Registers the calling thread as a reader.  */
void
vw_thread_register (void)
{
  rcu_register_thread ();
}

/* Ends what vw_thread_register began.  */
void
vw_thread_unregister (void)
{
  rcu_unregister_thread ();
}

/* Returns the view in force, or NULL before the first.  It stays valid until
   vw_read_end, which must follow soon and in every case.  */
const struct vw_view *
vw_read_begin (struct vw_store *store)
{
  rcu_read_lock ();
  return rcu_dereference (store->current);
}

/* Ends the reading that vw_read_begin began.  */
void
vw_read_end (void)
{
  rcu_read_unlock ();
}

/* Returns the index that TABLE of a view has for NAME, or CFG_NO_INDEX.  */
uint32_t
vw_find_index (GHashTable *table, const char *name)
{
  guint stored = GPOINTER_TO_UINT (g_hash_table_lookup (table, name));
  return stored == 0 ? CFG_NO_INDEX : stored - 1;
}
