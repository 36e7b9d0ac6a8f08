#include "core/oldest.h"

/* Removes the entry with the lowest NUMBER from TABLE.  Does nothing if TABLE
   is empty.  */
void
old_remove (GHashTable *table, old_number number)
{
  GHashTableIter iter;
  gpointer key;
  gpointer entry;
  gpointer oldest_key = NULL;
  uint64_t oldest = UINT64_MAX;
  g_hash_table_iter_init (&iter, table);
  while (g_hash_table_iter_next (&iter, &key, &entry))
    {
      if (number (entry) < oldest)
        {
          oldest = number (entry);
          oldest_key = key;
        }
    }
  if (oldest_key != NULL)
    {
      g_hash_table_remove (table, oldest_key);
    }
}
