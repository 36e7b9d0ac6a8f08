#include "core/losses.h"

#include "base/clock.h"

/* Within this time of a loss, a new engine most likely replaces the lost
   one. */
#define RETURN_TIME_US (10 * CLK_S_US)

struct lss_losses
{
  GHashTable *active; /* id to struct rst_endpoint: those that were listed
                         and not leaving when last observed */
  /* Both of struct lss_engine, oldest first. */
  GPtrArray *engines;  /* lost, without a new one */
  GPtrArray *arrivals; /* new, without a lost one */
  int64_t last_us;     /* when an endpoint was last lost */
};

static void
destroy_endpoint (gpointer endpoint)
{
  rst_endpoint_destroy (endpoint);
}

static void
destroy_engine (gpointer data)
{
  struct lss_engine *engine = data;
  rst_endpoint_destroy (engine->endpoint);
  g_free (engine);
}

/* Creates a record without losses.  */
struct lss_losses *
lss_create (void)
{
  struct lss_losses *losses = g_new0 (struct lss_losses, 1);
  losses->active = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                          destroy_endpoint);
  losses->engines = g_ptr_array_new_with_free_func (destroy_engine);
  losses->arrivals = g_ptr_array_new_with_free_func (destroy_engine);
  losses->last_us = -RETURN_TIME_US;
  return losses;
}

/* Frees LOSSES.  */
void
lss_destroy (struct lss_losses *losses)
{
  g_hash_table_destroy (losses->active);
  g_ptr_array_free (losses->engines, TRUE);
  g_ptr_array_free (losses->arrivals, TRUE);
  g_free (losses);
}

/* Removes from ENGINES the oldest one that ENDPOINT can have replaced, or that
   can have replaced ENDPOINT: of the same kind, in the same data centre.
   Returns false when there is none.  */
static bool
remove_match (GPtrArray *engines, const struct rst_endpoint *endpoint)
{
  for (guint i = 0; i < engines->len; i++)
    {
      const struct lss_engine *engine = g_ptr_array_index (engines, i);
      const struct rst_endpoint *other = engine->endpoint;
      if (g_strcmp0 (other->service, endpoint->service) == 0
          && g_strcmp0 (other->data_centre, endpoint->data_centre) == 0
          && g_strcmp0 (other->kind, endpoint->kind) == 0)
        {
          g_ptr_array_remove_index (engines, i);
          return true;
        }
    }
  return false;
}

/* Records ENDPOINT in ENGINES unless it isn't an engine, or MATCHES has a
   match, which is removed.  */
static void
record_engine (GPtrArray *engines, GPtrArray *matches,
               const struct rst_endpoint *endpoint, int64_t now_us)
{
  if (endpoint->kind != NULL && !remove_match (matches, endpoint))
    {
      struct lss_engine *engine = g_new0 (struct lss_engine, 1);
      engine->endpoint = rst_endpoint_copy (endpoint);
      engine->since_us = now_us;
      g_ptr_array_add (engines, engine);
    }
}

/* Removes from ENGINES those that were recorded too long ago to belong to a
   change of now.  */
static void
remove_expired (GPtrArray *engines, int64_t now_us)
{
  while (engines->len > 0)
    {
      const struct lss_engine *oldest = g_ptr_array_index (engines, 0);
      if (now_us - oldest->since_us < RETURN_TIME_US)
        {
          return;
        }
      g_ptr_array_remove_index (engines, 0);
    }
}

/* Updates LOSSES from ENDPOINTS, all that are listed now and not known to be
   dead.  An endpoint that is missing is lost unless it had announced that it
   leaves.  It counts as lost until another replaces it, or for RETURN_TIME_US;
   not at all if its replacement came before it was missed.  */
void
lss_observe (struct lss_losses *losses, const GPtrArray *endpoints,
             int64_t now_us)
{
  bool is_first = g_hash_table_size (losses->active) == 0;
  GHashTable *active = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                              destroy_endpoint);
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct rst_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      gpointer known = NULL;
      g_hash_table_steal_extended (losses->active, endpoint->id, NULL, &known);
      if (endpoint->leaving)
        {
          rst_endpoint_destroy (known);
          continue;
        }
      if (known == NULL)
        {
          known = rst_endpoint_copy (endpoint);
          if (!is_first)
            {
              record_engine (losses->arrivals, losses->engines, known, now_us);
            }
        }
      g_hash_table_replace (active, ((struct rst_endpoint *)known)->id, known);
    }
  GHashTableIter iter;
  gpointer missing;
  g_hash_table_iter_init (&iter, losses->active);
  while (g_hash_table_iter_next (&iter, NULL, &missing))
    {
      losses->last_us = now_us;
      record_engine (losses->engines, losses->arrivals, missing, now_us);
    }
  g_hash_table_destroy (losses->active);
  losses->active = active;
  remove_expired (losses->engines, now_us);
  remove_expired (losses->arrivals, now_us);
}

/* Returns whether the endpoint ID was listed and not leaving when last
   observed.  */
bool
lss_is_active (const struct lss_losses *losses, const char *id)
{
  return g_hash_table_contains (losses->active, id);
}

/* Returns whether an endpoint was lost within RETURN_TIME_US.  */
bool
lss_is_recent (const struct lss_losses *losses, int64_t now_us)
{
  return now_us - losses->last_us < RETURN_TIME_US;
}

/* Returns the lost engines that may come back, as struct lss_engine.  */
const GPtrArray *
lss_engines (const struct lss_losses *losses)
{
  return losses->engines;
}
