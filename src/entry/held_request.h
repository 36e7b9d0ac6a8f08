/* Holds requests that arrive while the daemon starts, until it knows the
   configuration, that this is the newest one, and endpoints.  They have been
   sent to no endpoint, and are served or refused like new ones afterwards. */
#ifndef ENTRY_HELD_REQUEST_H
#define ENTRY_HELD_REQUEST_H

#include "entry/traffic.h"

GHashTable *hrq_table_create (void);
bool hrq_hold (struct trf_traffic *traffic, struct nsv_connection *caller,
               const struct msg_message *request, const char *method,
               int64_t now_us);
void hrq_update (struct trf_traffic *traffic);

#endif
