/* Lists of indices that rk_sort sorts by a key, ascending, and by index where
   keys are equal.  rk_at returns the index at a position of the list. */
#ifndef CORE_RANK_H
#define CORE_RANK_H

#include <glib.h>
#include <stdint.h>

GArray *rk_create (void);
void rk_add (GArray *list, uint32_t index, double key);
void rk_sort (GArray *list);
uint32_t rk_at (const GArray *list, uint32_t position);

#endif
