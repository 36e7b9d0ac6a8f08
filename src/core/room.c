#include "core/room.h"

#include <glib.h>
#include <math.h>

/* Paths that still grow, and what is left of what they need. */
struct division
{
  double *left;
  uint32_t *growing; /* paths that use each resource up */
  uint32_t capacity_count;
  struct rom_path *paths;
  bool *grows;
  uint32_t path_count;
};

static void
count_growing (struct division *division)
{
  for (uint32_t i = 0; i < division->capacity_count; i++)
    {
      division->growing[i] = 0;
    }
  for (uint32_t i = 0; i < division->path_count; i++)
    {
      const struct rom_path *path = &division->paths[i];
      for (uint32_t n = 0; division->grows[i] && n < path->resource_count; n++)
        {
          division->growing[path->resources[n]]++;
        }
    }
}

/* Returns the resource that is used up first, and by how much its paths grow
   until then in MORE; or capacity_count when nothing grows.  */
static uint32_t
first_used_up (const struct division *division, double *more)
{
  uint32_t first = division->capacity_count;
  *more = INFINITY;
  for (uint32_t i = 0; i < division->capacity_count; i++)
    {
      double until = division->growing[i] > 0
                         ? division->left[i] / division->growing[i]
                         : INFINITY;
      if (until < *more)
        {
          first = i;
          *more = until;
        }
    }
  return first;
}

/* True when PATH needs RESOURCE.  */
static bool
needs (const struct rom_path *path, uint32_t resource)
{
  for (uint32_t i = 0; i < path->resource_count; i++)
    {
      if (path->resources[i] == resource)
        {
          return true;
        }
    }
  return false;
}

/* Lets the paths grow by MORE, after which USED_UP is used up.  */
static void
grow (struct division *division, double more, uint32_t used_up)
{
  for (uint32_t i = 0; i < division->capacity_count; i++)
    {
      division->left[i] -= division->growing[i] * more;
    }
  for (uint32_t i = 0; i < division->path_count; i++)
    {
      struct rom_path *path = &division->paths[i];
      if (division->grows[i])
        {
          path->room += more;
          division->grows[i] = !needs (path, used_up);
        }
    }
}

/* Sets the rooms of PATHS: all grow evenly, each until something that it needs
   is used up.  */
void
rom_divide (const double *capacities, uint32_t capacity_count,
            struct rom_path *paths, uint32_t path_count)
{
  struct division division = {
    .left = g_memdup2 (capacities, capacity_count * sizeof *capacities),
    .growing = g_new0 (uint32_t, capacity_count + 1),
    .capacity_count = capacity_count,
    .paths = paths,
    .grows = g_new (bool, path_count + 1),
    .path_count = path_count,
  };
  double more = 0;
  uint32_t used_up = 0;
  for (uint32_t i = 0; i < path_count; i++)
    {
      paths[i].room = 0;
      division.grows[i] = true;
    }
  count_growing (&division);
  while ((used_up = first_used_up (&division, &more)) < capacity_count)
    {
      grow (&division, more, used_up);
      count_growing (&division);
    }
  g_free (division.left);
  g_free (division.growing);
  g_free (division.grows);
}
