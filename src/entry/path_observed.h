/* What this daemon's own streams have shown of a first engine. */
#ifndef ENTRY_PATH_OBSERVED_H
#define ENTRY_PATH_OBSERVED_H

#include "core/path_choice.h"

/* All zero at first: nothing. */
struct pob_observed
{
  uint32_t waiting[FLT_RANKS_MAX];   /* streams without a first event, by rank
                                        index */
  struct pch_average first_event_us; /* where no queue was expected */
  struct pch_average interval_us;    /* between two events */
  struct pch_average hold_us;        /* for which a stream held its slot */
};

#endif
