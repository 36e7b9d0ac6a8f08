/* The aggregator's side of the exchange of load between daemons
   (core/fleet_load.h): takes their statements at the address of this daemon's
   relay and answers with the sums.  Runs on the relay's thread.  An answer
   waits, at most as long as the statement says, until there is a new death. */
#ifndef ENTRY_LOAD_AGGREGATOR_H
#define ENTRY_LOAD_AGGREGATOR_H

#include "net/server.h"

/* What waits for its answer at the relay's server: the first member of the
   context of its connection.  GONE is called when the connection is. */
struct lag_waiter
{
  void (*gone) (struct lag_waiter *waiter);
};

struct lag_aggregator;

struct lag_aggregator *lag_create (uv_loop_t *loop);
void lag_destroy (struct lag_aggregator *aggregator);
bool lag_handle (struct lag_aggregator *aggregator,
                 struct nsv_connection *connection,
                 const struct msg_message *request, const char *method);
uint32_t lag_waiting (const struct lag_aggregator *aggregator);

#endif
