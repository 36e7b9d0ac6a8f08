/* Asks engines what the streams that begin at them wait for: the engine that
   doesn't answer them is named in the report. */
#ifndef ENTRY_INQUIRY_H
#define ENTRY_INQUIRY_H

#include "entry/traffic.h"

GHashTable *inq_table_create (void);
void inq_ask (struct trf_traffic *traffic, struct fst_endpoint *engine,
              int64_t now_us);
void inq_forget (struct trf_traffic *traffic, int64_t now_us);

#endif
