#include "core/room.h"

#include <glib.h>
#include <math.h>

/* State of a division by progressive filling: the rooms of all paths grow
   evenly, each until one of the resources that the path needs is used up. */
struct division
{
  double *unassigned;       /* by resource: capacity that isn't assigned yet */
  uint32_t *growing_counts; /* by resource: number of growing paths over it */
  uint32_t capacity_count;
  struct rom_path *paths;
  bool *is_growing; /* by path: none of its resources is used up */
  uint32_t path_count;
};

/* Recomputes the number of growing paths over each resource.  */
static void
count_growing (struct division *division)
{
  for (uint32_t i = 0; i < division->capacity_count; i++)
    {
      division->growing_counts[i] = 0;
    }
  for (uint32_t i = 0; i < division->path_count; i++)
    {
      const struct rom_path *path = &division->paths[i];
      for (uint32_t n = 0; division->is_growing[i] && n < path->resource_count;
           n++)
        {
          division->growing_counts[path->resources[n]]++;
        }
    }
}

/* Returns the resource that is used up next, or `capacity_count' when no path
   grows.  Sets INCREMENT to the growth of each path until then.  */
static uint32_t
next_used_up (const struct division *division, double *increment)
{
  uint32_t next = division->capacity_count;
  *increment = INFINITY;
  for (uint32_t i = 0; i < division->capacity_count; i++)
    {
      double growth
          = division->growing_counts[i] > 0
                ? division->unassigned[i] / division->growing_counts[i]
                : INFINITY;
      if (growth < *increment)
        {
          next = i;
          *increment = growth;
        }
    }
  return next;
}

/* Returns whether PATH needs RESOURCE.  */
static bool
needs_resource (const struct rom_path *path, uint32_t resource)
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

/* Adds INCREMENT to the rooms of the growing paths, and stops the growth of
   those that need USED_UP, which is then used up.  */
static void
grow_paths (struct division *division, double increment, uint32_t used_up)
{
  for (uint32_t i = 0; i < division->capacity_count; i++)
    {
      division->unassigned[i] -= division->growing_counts[i] * increment;
    }
  for (uint32_t i = 0; i < division->path_count; i++)
    {
      struct rom_path *path = &division->paths[i];
      if (division->is_growing[i])
        {
          path->capacity += increment;
          division->is_growing[i] = !needs_resource (path, used_up);
        }
    }
}

/* Sets `capacity' of each path in PATHS to its max-min fair share of
   CAPACITIES.  */
void
rom_divide (const double *capacities, uint32_t capacity_count,
            struct rom_path *paths, uint32_t path_count)
{
  struct division division = {
    .unassigned = g_memdup2 (capacities, capacity_count * sizeof *capacities),
    .growing_counts = g_new0 (uint32_t, capacity_count + 1),
    .capacity_count = capacity_count,
    .paths = paths,
    .is_growing = g_new (bool, path_count + 1),
    .path_count = path_count,
  };
  double increment = 0;
  uint32_t used_up = 0;
  for (uint32_t i = 0; i < path_count; i++)
    {
      paths[i].capacity = 0;
      division.is_growing[i] = true;
    }
  count_growing (&division);
  while ((used_up = next_used_up (&division, &increment)) < capacity_count)
    {
      grow_paths (&division, increment, used_up);
      count_growing (&division);
    }
  g_free (division.unassigned);
  g_free (division.growing_counts);
  g_free (division.is_growing);
}
