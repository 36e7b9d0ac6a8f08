/* The table of the endpoints known to this daemon, by host name and address.
   Endpoints are freed together with the table only, so that traffic threads
   may keep pointers to them. */
#ifndef ENDPOINT_ENDPOINT_H
#define ENDPOINT_ENDPOINT_H

#include "core/load.h"
#include "endpoint/connection.h"

#include <stdbool.h>

struct ept_endpoint
{
  struct ld_load load; /* load and health, as known to this daemon */
  char *host;          /* name */
  char *address;       /* IP:PORT */
  struct con_pool *pool;
  int64_t polled_us;   /* monotonic time at which the endpoint was last asked
                          for its load; control thread only */
  bool poll_in_flight; /* control thread only */
};

struct ept_table;

struct ept_table *ept_table_create (void);
void ept_table_destroy (struct ept_table *table);
struct ept_endpoint *ept_get_or_add (struct ept_table *table, const char *host,
                                     const char *address);
struct ept_endpoint *ept_of_load (struct ld_load *load);

#endif
