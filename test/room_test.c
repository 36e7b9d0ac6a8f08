#include "core/room.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <math.h>

#define PATHS_MAX 3
#define NEEDS_MAX 3
#define CAPACITIES_MAX 4

/* Capacities of engines, the engines that each path needs, and the room that
   each path is expected to get. */
static const struct
{
  const char *name;
  double capacities[CAPACITIES_MAX];
  uint32_t needs[PATHS_MAX][NEEDS_MAX];
  uint32_t need_counts[PATHS_MAX];
  double want[PATHS_MAX];
  uint32_t path_count;
} rows[] = {
  { .name = "a path is limited by its smallest engine",
    .capacities = { 10, 4, 8 },
    .needs = { { 0, 1, 2 } },
    .need_counts = { 3 },
    .path_count = 1,
    .want = { 4 } },
  { .name = "paths that begin at one engine share it",
    .capacities = { 10, 20, 20 },
    .needs = { { 0, 1 }, { 0, 2 } },
    .need_counts = { 2, 2 },
    .path_count = 2,
    .want = { 5, 5 } },
  { .name = "capacity that one path can't use goes to the other",
    .capacities = { 10, 2, 20 },
    .needs = { { 0, 1 }, { 0, 2 } },
    .need_counts = { 2, 2 },
    .path_count = 2,
    .want = { 2, 8 } },
  { .name = "a path that shares no engine isn't limited by others",
    .capacities = { 10, 20, 20, 7 },
    .needs = { { 0, 1 }, { 0, 2 }, { 3 } },
    .need_counts = { 2, 2, 1 },
    .path_count = 3,
    .want = { 5, 5, 7 } },
  { .name = "no paths", .capacities = { 10 } },
};

static void
test_divide (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct rom_path paths[PATHS_MAX] = { { .capacity = 0 } };
      for (uint32_t n = 0; n < rows[i].path_count; n++)
        {
          paths[n].resources = (uint32_t *)rows[i].needs[n];
          paths[n].resource_count = rows[i].need_counts[n];
        }
      rom_divide (rows[i].capacities, CAPACITIES_MAX, paths,
                  rows[i].path_count);
      for (uint32_t n = 0; n < rows[i].path_count; n++)
        {
          assert_true (fabs (paths[n].capacity - rows[i].want[n]) < 1e-9);
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_divide) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
