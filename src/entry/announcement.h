/* What endpoints announce in the heads of their answers, of any kind and
   status: that they leave, that they want no requests for a time, or how many
   requests a second they take. */
#ifndef ENTRY_ANNOUNCEMENT_H
#define ENTRY_ANNOUNCEMENT_H

#include "entry/traffic.h"

bool anc_is_leaving (const struct msg_message *answer);
int64_t anc_closed_us (const char *id, uint32_t status,
                       const struct msg_message *answer);
double anc_rate_limit (const char *id, const struct msg_message *answer);
bool anc_handle (struct trf_traffic *traffic, struct fst_endpoint *endpoint,
                 uint32_t status, const struct msg_message *answer);

#endif
