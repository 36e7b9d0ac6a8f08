/* Bounds tables whose entries are numbered in the order of their use. */
#ifndef CORE_OLDEST_H
#define CORE_OLDEST_H

#include <glib.h>
#include <stdint.h>

/* Returns the number of an entry's newest use; later uses have higher ones. */
typedef uint64_t (*old_number) (gconstpointer entry);

void old_remove (GHashTable *table, old_number number);

#endif
