/* What the daemons' logs tell the soak. */
#ifndef SOAK_LOGS_H
#define SOAK_LOGS_H

#include "soak/daemons.h"

void slg_read_senders (const struct sdm_daemons *daemons,
                       struct srd_record *record);

#endif
