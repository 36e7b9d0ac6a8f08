/* Lists of indices that are sorted by a key, ascending; entries with equal
   keys are sorted by index. */
#ifndef CORE_RANK_H
#define CORE_RANK_H

#include <glib.h>
#include <stdint.h>

GArray *rk_create (void);
void rk_add (GArray *list, uint32_t index, double key);
void rk_sort (GArray *list);
uint32_t rk_at (const GArray *list, uint32_t position);

#endif
