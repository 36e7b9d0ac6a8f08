/* Ranks of the requests to a service, from the priorities of the
   configuration.

   The load: more requests than the engines of a service can serve in time, of
   routes and accounts that differ in priority.  Engines admit the requests
   that wait by the priority in a header, and daemons refuse the least urgent
   first.  Both need few ranks in a row rather than the numbers of the
   configuration, which may be far apart. */
#ifndef CORE_PRECEDENCE_H
#define CORE_PRECEDENCE_H

#include "core/fleet.h"

void prc_compute (struct flt_config *config);
uint32_t prc_count (const struct flt_config *config, uint32_t service);
uint32_t prc_index (const struct flt_config *config, uint32_t service,
                    const struct flt_route *route,
                    const struct flt_account *account);
uint32_t prc_engine_priority (uint32_t index, bool resumed);

#endif
