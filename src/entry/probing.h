/* Probes of the daemon's own, which find out whether endpoints can be reached,
   so that no caller's request has to: rounds for core/reach.h, and single ones
   to endpoints that were found dead.  For the traffic thread. */
#ifndef ENTRY_PROBING_H
#define ENTRY_PROBING_H

#include "entry/traffic.h"

GHashTable *prb_table_create (void);
void prb_step (struct trf_traffic *traffic, int64_t now_us);

#endif
