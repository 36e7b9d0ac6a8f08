/* Stall inquiries: asks the first engines of stalled streams for reports,
   which name the engines that don't answer them. */
#ifndef ENTRY_INQUIRY_H
#define ENTRY_INQUIRY_H

#include "entry/traffic.h"

GHashTable *inq_table_create (void);
void inq_request_report (struct trf_traffic *traffic,
                         struct fst_endpoint *engine, int64_t now_us);
void inq_remove_expired (struct trf_traffic *traffic, int64_t now_us);

#endif
