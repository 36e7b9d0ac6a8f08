/* Candidate divisions of the models into segments, from which the planner of
   placements chooses one. */
#ifndef CORE_DIVISION_H
#define CORE_DIVISION_H

#include "core/config.h"

#include <glib.h>

GPtrArray *dv_list (const struct cfg_config *config, const bool *usable);

#endif
