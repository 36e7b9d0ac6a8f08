#include "endpoint/endpoint.h"

#include <glib.h>
#include <stddef.h>

struct ept_table
{
  GHashTable *endpoints; /* "HOST ADDRESS" to struct ept_endpoint, owned */
};

static void
destroy_endpoint (gpointer data)
{
  struct ept_endpoint *endpoint = data;
  con_pool_destroy (endpoint->pool);
  g_free (endpoint->host);
  g_free (endpoint->address);
  g_free (endpoint);
}

/* Creates an empty table.  Only the control thread may add endpoints.  */
struct ept_table *
ept_table_create (void)
{
  struct ept_table *table = g_new0 (struct ept_table, 1);
  table->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            destroy_endpoint);
  return table;
}

/* Frees TABLE and its endpoints; NULL is allowed.  Traffic threads must no
   longer use the endpoints.  */
void
ept_table_destroy (struct ept_table *table)
{
  if (table == NULL)
    {
      return;
    }
  g_hash_table_destroy (table->endpoints);
  g_free (table);
}

/* Returns the endpoint of HOST at ADDRESS, IP:PORT, which is added if TABLE
   doesn't contain it.  When a host moves to another address, a separate
   endpoint with its own counters is added.  */
struct ept_endpoint *
ept_get_or_add (struct ept_table *table, const char *host, const char *address)
{
  g_autofree char *key = g_strdup_printf ("%s %s", host, address);
  struct ept_endpoint *endpoint = g_hash_table_lookup (table->endpoints, key);
  if (endpoint == NULL)
    {
      g_autofree char *url = g_strdup_printf ("http://%s", address);
      endpoint = g_new0 (struct ept_endpoint, 1);
      endpoint->host = g_strdup (host);
      endpoint->address = g_strdup (address);
      endpoint->pool = con_pool_create (url);
      g_hash_table_insert (table->endpoints, g_steal_pointer (&key), endpoint);
    }
  return endpoint;
}

/* Returns the endpoint that contains LOAD.  */
struct ept_endpoint *
ept_of_load (struct ld_load *load)
{
  return (struct ept_endpoint *)((char *)load
                                 - offsetof (struct ept_endpoint, load));
}
