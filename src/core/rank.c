#include "core/rank.h"

struct ranked
{
  uint32_t index;
  double key;
};

/* Returns an empty list.  The caller frees it with g_array_free.  */
GArray *
rk_create (void)
{
  return g_array_new (FALSE, FALSE, sizeof (struct ranked));
}

/* Appends INDEX with the sort key KEY to LIST.  */
void
rk_add (GArray *list, uint32_t index, double key)
{
  struct ranked ranked = { .index = index, .key = key };
  g_array_append_val (list, ranked);
}

static gint
compare_ranked (gconstpointer left, gconstpointer right)
{
  const struct ranked *a = left;
  const struct ranked *b = right;
  if (a->key != b->key)
    {
      return a->key < b->key ? -1 : 1;
    }
  return a->index < b->index ? -1 : a->index > b->index;
}

/* Sorts LIST, smallest key first.  */
void
rk_sort (GArray *list)
{
  g_array_sort (list, compare_ranked);
}

/* Returns the index in the entry of LIST at POSITION, which must be less than
   the length of LIST.  */
uint32_t
rk_at (const GArray *list, uint32_t position)
{
  return g_array_index (list, struct ranked, position).index;
}
