/* The addresses of other daemons, to which this one passes requests on while
   it can't reach the endpoints.  The traffic thread asks for them, the control
   thread looks them up in the group.  Thread-safe.

   A request that is passed on goes to the address for callers as its caller
   sent it, with its key, the time that it has left and a header that keeps the
   neighbour from passing it on again.  The neighbour's own refusals, which
   have no endpoint's signature, promise as those to callers do that the
   request hasn't run and won't. */
#ifndef ENTRY_NEIGHBOURS_H
#define ENTRY_NEIGHBOURS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct nbr_neighbours;

struct nbr_neighbours *nbr_create (const char *own_address);
void nbr_destroy (struct nbr_neighbours *neighbours);
void nbr_ask (struct nbr_neighbours *neighbours);
bool nbr_take_question (struct nbr_neighbours *neighbours, int64_t now_us);
void nbr_set (struct nbr_neighbours *neighbours, const GPtrArray *addresses);
char **nbr_take_news (struct nbr_neighbours *neighbours);

#endif
