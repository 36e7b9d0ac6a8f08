#include "core/flow.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

#define RANGES_MAX 6 /* unused ones are empty */

/* Ranges that copies of the layers hold, and the expected rate of the
   model. */
struct flow_case
{
  const char *name;
  uint32_t layers;
  struct fl_range ranges[RANGES_MAX];
  double tokens_per_s;
};

static const struct flow_case flow_cases[] = {
  { "no ranges", 8, { { 0, 0, 0 } }, 0 },
  { "one engine holds all layers", 8, { { 0, 8, 50 } }, 50 },
  { "the slowest stage limits", 8, { { 0, 4, 50 }, { 4, 8, 30 } }, 30 },
  { "the rates of copies add up",
    8,
    { { 0, 4, 20 }, { 0, 4, 15 }, { 4, 8, 100 } },
    35 },
  { "no rate across a gap", 8, { { 0, 3, 50 }, { 4, 8, 50 } }, 0 },
  { "overlapping ranges do not connect",
    8,
    { { 0, 5, 50 }, { 3, 8, 50 } },
    0 },
  { "different boundaries",
    8,
    { { 0, 4, 10 }, { 4, 8, 30 }, { 0, 6, 20 }, { 6, 8, 5 }, { 4, 6, 9 } },
    15 },
  { "flow on a first path is rerouted",
    3,
    { { 0, 1, 10 }, { 0, 2, 10 }, { 1, 2, 1 }, { 1, 3, 10 }, { 2, 3, 10 } },
    20 },
  { "a range beyond the model is ignored", 8, { { 0, 9, 50 } }, 0 },
};

static void
flow_over_layer_boundaries (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof flow_cases / sizeof flow_cases[0]; i++)
    {
      const struct flow_case *row = &flow_cases[i];
      print_message ("row: %s\n", row->name);
      double rate
          = fl_layers_tokens_per_s (row->layers, row->ranges, RANGES_MAX);
      assert_true (fabs (rate - row->tokens_per_s) < 1e-6);
    }
}

/* The edge that limits the flow separates the two sides of the minimum cut,
   and a changed capacity changes the flow and the cut.  */
static void
cut_and_changed_capacity (void **state)
{
  (void)state;
  struct fl_network *network = fl_create (4);
  uint32_t wide = fl_add_edge (network, 0, 1, 9);
  uint32_t narrow = fl_add_edge (network, 1, 2, 4);
  uint32_t last = fl_add_edge (network, 2, 3, 7);
  assert_true (fabs (fl_max_flow (network, 0, 3) - 4) < 1e-9);
  assert_true (fl_on_source_side (network, 1));
  assert_false (fl_on_source_side (network, 2));
  assert_true (fabs (fl_flow (network, wide) - 4) < 1e-9);
  fl_set_capacity (network, narrow, 20);
  assert_true (fabs (fl_max_flow (network, 0, 3) - 7) < 1e-9);
  assert_true (fl_on_source_side (network, 2));
  assert_true (fabs (fl_flow (network, last) - 7) < 1e-9);
  fl_destroy (network);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (flow_over_layer_boundaries),
    cmocka_unit_test (cut_and_changed_capacity),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
