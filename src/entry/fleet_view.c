#include "entry/fleet_view.h"

#include "base/sanitizer.h"

#include <stdatomic.h>

struct fvw_store
{
  struct fvw_view *current; /* read with rcu_dereference; NULL before the first
                                fvw_publish */
  _Atomic int64_t proved_us; /* monotonic time of the newest proof; 0: none
                                yet */
  _Atomic int64_t restores;  /* of the platform's store, since the start */
};

/* Creates a store without a view.  */
struct fvw_store *
fvw_store_create (void)
{
  return g_new0 (struct fvw_store, 1);
}

/* Creates a view with one reference.  It adds a reference to CONFIG, which may
   be NULL, and takes ownership of ENDPOINTS.  */
struct fvw_view *
fvw_view_create (struct flt_config *config, GPtrArray *endpoints, double share,
                 double rate_share)
{
  struct fvw_view *view = g_new0 (struct fvw_view, 1);
  view->references = 1;
  view->config = config == NULL ? NULL : flt_reference (config);
  view->endpoints = endpoints;
  view->share = share;
  view->rate_share = rate_share;
  return view;
}

/* Adds a reference to VIEW and returns it.  Thread-safe.  */
struct fvw_view *
fvw_reference (struct fvw_view *view)
{
  g_atomic_int_inc (&view->references);
  return view;
}

/* Releases a reference to VIEW, which may be NULL.  Frees VIEW when no
   reference is left.  Thread-safe.  */
void
fvw_release (struct fvw_view *view)
{
  if (view != NULL && g_atomic_int_dec_and_test (&view->references))
    {
      flt_release (view->config);
      g_ptr_array_free (view->endpoints, TRUE);
      g_free (view);
    }
}

static void
release_after_grace_period (struct rcu_head *head)
{
  san_acquire (head);
  fvw_release (caa_container_of (head, struct fvw_view, head));
}

/* Frees STORE and its reference to the view; no thread may use the store any
   more.  */
void
fvw_store_destroy (struct fvw_store *store)
{
  rcu_barrier ();
  fvw_release (store->current);
  g_free (store);
}

/* Replaces the view in force by VIEW, whose reference is taken over.  May be
   called by the control thread only.  */
void
fvw_publish (struct fvw_store *store, struct fvw_view *view)
{
  san_release (view);
  struct fvw_view *old = rcu_xchg_pointer (&store->current, view);
  if (old != NULL)
    {
      san_release (&old->head);
      call_rcu (&old->head, release_after_grace_period);
    }
}

/* Returns a reference to the view in force, or NULL if that view is KNOWN or
   if there is none yet.  KNOWN is the view that the caller uses, or NULL; the
   caller must hold a reference to it, so that no newer view can have its
   address.  Sets PROVED_US to the newest proof, 0 if there is none yet: at
   that time, no configuration newer than that of the returned view, or of
   KNOWN, existed.  The calling thread must be registered with liburcu.  */
struct fvw_view *
fvw_acquire_newer (struct fvw_store *store, const struct fvw_view *known,
                   int64_t *proved_us)
{
  /* A proof is set after its view is published, so it must be read before the
     view: read afterwards, it could belong to a view that the caller doesn't
     have yet. */
  *proved_us = atomic_load (&store->proved_us);
  rcu_read_lock ();
  struct fvw_view *view = rcu_dereference (store->current);
  if (view == known)
    {
      view = NULL;
    }
  if (view != NULL)
    {
      san_acquire (view);
      fvw_reference (view);
    }
  rcu_read_unlock ();
  return view;
}

/* Records that the configuration of the view in force was the newest at
   PROVED_US.  May be called by the control thread only, after fvw_publish.  */
void
fvw_set_proved (struct fvw_store *store, int64_t proved_us)
{
  if (proved_us > atomic_load (&store->proved_us))
    {
      atomic_store (&store->proved_us, proved_us);
    }
}

/* Returns the time of the newest proof, or 0 if there is none yet.  For logs
   and metrics only: the proof may belong to a newer view than the one that the
   calling thread has acquired.  */
int64_t
fvw_proved_us (struct fvw_store *store)
{
  return atomic_load (&store->proved_us);
}

/* Counts a restore of the platform's store from an older copy.  */
void
fvw_count_restore (struct fvw_store *store)
{
  atomic_fetch_add (&store->restores, 1);
}

/* Returns how often the platform's store was restored from an older copy since
   the start of this daemon.  */
int64_t
fvw_restores (struct fvw_store *store)
{
  return atomic_load (&store->restores);
}
