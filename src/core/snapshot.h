/* The routing snapshot: the state of all endpoints from which traffic threads
   choose chains.  The control thread builds it and publishes it with liburcu;
   once published it does not change, except for the loads that it points to.
   */
#ifndef CORE_SNAPSHOT_H
#define CORE_SNAPSHOT_H

#include "core/config.h"
#include "core/load.h"

#define SNAP_RANGES_MAX 8 /* of one endpoint */

/* A range of a model's layers that an endpoint serves. */
struct snap_range
{
  uint32_t model; /* index in the configuration */
  uint32_t first; /* first layer */
  uint32_t end;   /* one past the last layer */
};

struct snap_endpoint
{
  uint32_t host;   /* index in the configuration */
  bool takes_work; /* not leaving, draining or dead */
  struct snap_range ranges[SNAP_RANGES_MAX];
  uint32_t range_count;
  int64_t link_delay_us; /* one way, from this daemon's data centre */
  uint64_t link_bytes_per_s;
  struct ld_load *load; /* never NULL; lives as long as the daemon */
};

struct snap
{
  struct cfg_config *config;       /* owned; by reference count */
  struct snap_endpoint *endpoints; /* one for each host of the configuration */
  uint32_t endpoint_count;
  uint32_t daemons; /* ready daemons, this one included; at least 1 */
  uint64_t fence;   /* not used */
};

#endif
