#include "core/fleet.h"

#include "core/precedence.h"

#include <string.h>

/* Returns a configuration with one reference and the given numbers of routes,
   services and accounts, all zero, for the caller to fill.  The configuration
   owns all strings in them.  */
struct flt_config *
flt_create (uint32_t routes, uint32_t services, uint32_t accounts)
{
  struct flt_config *config = g_new0 (struct flt_config, 1);
  config->references = 1;
  config->routes = g_new0 (struct flt_route, routes);
  config->route_count = routes;
  config->services = g_new0 (struct flt_service, services);
  config->service_count = services;
  config->accounts = g_new0 (struct flt_account, accounts);
  config->account_count = accounts;
  config->account_by_key
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return config;
}

/* Adds a reference to CONFIG and returns CONFIG.  Thread-safe.  */
struct flt_config *
flt_reference (struct flt_config *config)
{
  g_atomic_int_inc (&config->references);
  return config;
}

static void
clear_service (struct flt_service *service)
{
  g_free (service->name);
  g_free (service->health_path);
  for (uint32_t i = 0; i < service->engine.kind_count; i++)
    {
      g_free (service->engine.kinds[i].name);
    }
}

static void
destroy_config (struct flt_config *config)
{
  for (uint32_t i = 0; i < config->route_count; i++)
    {
      g_free (config->routes[i].name);
      g_free (config->routes[i].host);
      g_free (config->routes[i].path_prefix);
    }
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      clear_service (&config->services[i]);
    }
  for (uint32_t i = 0; i < config->account_count; i++)
    {
      g_free (config->accounts[i].name);
    }
  g_free (config->routes);
  g_free (config->services);
  g_free (config->accounts);
  g_hash_table_destroy (config->account_by_key);
  if (config->routes_by_host != NULL)
    {
      g_hash_table_destroy (config->routes_by_host);
    }
  g_free (config);
}

/* Drops a reference to CONFIG, which may be NULL, and frees CONFIG with the
   last one.  Thread-safe.  */
void
flt_release (struct flt_config *config)
{
  if (config != NULL && g_atomic_int_dec_and_test (&config->references))
    {
      destroy_config (config);
    }
}

/* Makes KEY, which is copied, an API key of the account at index ACCOUNT.  */
void
flt_add_key (struct flt_config *config, const char *key, uint32_t account)
{
  g_hash_table_insert (config->account_by_key, g_strdup (key),
                       GUINT_TO_POINTER (account + 1));
}

static void
destroy_index_list (gpointer data)
{
  g_array_free (data, TRUE);
}

/* Builds the index of routes by host for flt_find_route and the ranks of the
   services.  Must be called once, when all routes are filled.  */
void
flt_index (struct flt_config *config)
{
  config->routes_by_host = g_hash_table_new_full (g_str_hash, g_str_equal,
                                                  g_free, destroy_index_list);
  for (uint32_t i = 0; i < config->route_count; i++)
    {
      g_autofree char *host = g_ascii_strdown (config->routes[i].host, -1);
      GArray *list = g_hash_table_lookup (config->routes_by_host, host);
      if (list == NULL)
        {
          list = g_array_new (FALSE, FALSE, sizeof (uint32_t));
          g_hash_table_insert (config->routes_by_host, g_steal_pointer (&host),
                               list);
        }
      g_array_append_val (list, i);
    }
  prc_compute (config);
}

/* Returns the indexes of the routes of HOST, as callers name it, or NULL when
   there are none.  Upper and lower case are the same, and a port that no route
   has doesn't count.  */
static const GArray *
find_routes (const struct flt_config *config, const char *host)
{
  g_autofree char *name = g_ascii_strdown (host, -1);
  const GArray *list = g_hash_table_lookup (config->routes_by_host, name);
  char *port = strrchr (name, ':');
  if (list == NULL && port != NULL
      && strspn (port + 1, "0123456789") == strlen (port + 1))
    {
      *port = '\0';
      list = g_hash_table_lookup (config->routes_by_host, name);
    }
  return list;
}

/* Returns the route of HOST, with or without a port, with the longest prefix
   that PATH begins with, or NULL when there is none.  */
const struct flt_route *
flt_find_route (const struct flt_config *config, const char *host,
                const char *path)
{
  const GArray *list = find_routes (config, host);
  const struct flt_route *best = NULL;
  size_t best_bytes = 0;
  for (guint i = 0; list != NULL && i < list->len; i++)
    {
      const struct flt_route *route
          = &config->routes[g_array_index (list, uint32_t, i)];
      size_t bytes = strlen (route->path_prefix);
      if ((best == NULL || bytes > best_bytes)
          && strncmp (path, route->path_prefix, bytes) == 0)
        {
          best = route;
          best_bytes = bytes;
        }
    }
  return best;
}

/* Returns the account with the API key KEY, or NULL when there is none.  */
const struct flt_account *
flt_find_account (const struct flt_config *config, const char *key)
{
  guint index_plus_one
      = GPOINTER_TO_UINT (g_hash_table_lookup (config->account_by_key, key));
  return index_plus_one == 0 ? NULL : &config->accounts[index_plus_one - 1];
}

/* Returns the index of the service called NAME, or FLT_NO_INDEX when there is
   none.  */
uint32_t
flt_find_service (const struct flt_config *config, const char *name)
{
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      if (strcmp (config->services[i].name, name) == 0)
        {
          return i;
        }
    }
  return FLT_NO_INDEX;
}

/* Returns the kind of accelerator called NAME, which may be NULL, or NULL when
   there is none.  */
const struct flt_kind *
flt_find_kind (const struct flt_engine_spec *engine, const char *name)
{
  for (uint32_t i = 0; name != NULL && i < engine->kind_count; i++)
    {
      if (strcmp (engine->kinds[i].name, name) == 0)
        {
          return &engine->kinds[i];
        }
    }
  return NULL;
}

/* Returns the index of a service of ROUTE, chosen by weight with the random
   number DRAW, or FLT_NO_INDEX when no service has a weight.  */
uint32_t
flt_choose_service (const struct flt_route *route, uint32_t draw)
{
  uint32_t total = 0;
  for (uint32_t i = 0; i < route->split_count; i++)
    {
      total += route->split[i].weight;
    }
  if (total == 0)
    {
      return FLT_NO_INDEX;
    }
  draw %= total;
  uint32_t i = 0;
  while (draw >= route->split[i].weight)
    {
      draw -= route->split[i].weight;
      i++;
    }
  return route->split[i].service;
}

/* Returns whether requests on ROUTE of CONFIG need an account.  */
bool
flt_needs_account (const struct flt_config *config,
                   const struct flt_route *route)
{
  return config->has_accounts && !route->is_public;
}

/* Returns whether the requests of SERVICE take paths through engines.  */
bool
flt_has_paths (const struct flt_service *service)
{
  return service->has_engine && service->engine.layers > 0;
}
