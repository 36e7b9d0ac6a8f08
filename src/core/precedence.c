#include "core/precedence.h"

/* Adds the priority VALUE to the ranks of SERVICE, which are in ascending
   order and different.  Only the lowest FLT_RANKS_MAX are kept: the index of
   all above is the last one.  */
static void
add_rank (struct flt_service *service, uint32_t value)
{
  uint32_t place = 0;
  while (place < service->rank_count && service->ranks[place] < value)
    {
      place++;
    }
  if (place == FLT_RANKS_MAX
      || (place < service->rank_count && service->ranks[place] == value))
    {
      return;
    }
  service->rank_count = MIN (service->rank_count + 1, FLT_RANKS_MAX);
  for (uint32_t i = service->rank_count - 1; i > place; i--)
    {
      service->ranks[i] = service->ranks[i - 1];
    }
  service->ranks[place] = value;
}

/* Returns whether a request on ROUTE can have the route's own priority: it has
   no account, or one without a priority.  */
static bool
uses_route_priority (const struct flt_config *config,
                     const struct flt_route *route)
{
  bool applies = !flt_needs_account (config, route);
  for (uint32_t i = 0; i < config->account_count && !applies; i++)
    {
      applies = config->accounts[i].priority == FLT_NO_INDEX;
    }
  return applies;
}

/* Adds the priorities of the requests on ROUTE to the ranks of SERVICE.  */
static void
add_route (const struct flt_config *config, const struct flt_route *route,
           struct flt_service *service)
{
  if (uses_route_priority (config, route))
    {
      add_rank (service, route->priority);
    }
  bool has_accounts = flt_needs_account (config, route);
  for (uint32_t i = 0; has_accounts && i < config->account_count; i++)
    {
      if (config->accounts[i].priority != FLT_NO_INDEX)
        {
          add_rank (service, config->accounts[i].priority);
        }
    }
}

/* Computes the ranks of all services of CONFIG, from its routes and accounts.
   Called by flt_index.  */
void
prc_compute (struct flt_config *config)
{
  for (uint32_t i = 0; i < config->route_count; i++)
    {
      const struct flt_route *route = &config->routes[i];
      for (uint32_t j = 0; j < route->split_count; j++)
        {
          const struct flt_share *share = &route->split[j];
          if (share->weight > 0 && share->service < config->service_count)
            {
              add_route (config, route, &config->services[share->service]);
            }
        }
    }
}

/* Returns the number of rank indexes of SERVICE, at least 1.  */
uint32_t
prc_count (const struct flt_config *config, uint32_t service)
{
  return service >= config->service_count
             ? 1
             : MAX (config->services[service].rank_count, 1);
}

/* Returns the rank index in SERVICE, 0 for the most urgent, of a request on
   ROUTE by ACCOUNT, which may be NULL.  */
uint32_t
prc_index (const struct flt_config *config, uint32_t service,
           const struct flt_route *route, const struct flt_account *account)
{
  uint32_t rank = account != NULL && account->priority != FLT_NO_INDEX
                      ? account->priority
                      : route->priority;
  uint32_t index = 0;
  while (index + 1 < prc_count (config, service)
         && config->services[service].ranks[index] < rank)
    {
      index++;
    }
  return index;
}

/* Returns the priority that engines get for a request with the rank index
   INDEX.  A stream that is RESUMED after an interruption goes before new ones
   of its rank, since its caller waits in the middle of an answer.  */
uint32_t
prc_engine_priority (uint32_t index, bool resumed)
{
  return 2 * MIN (index, FLT_RANKS_MAX - 1) + (resumed ? 0 : 1);
}
