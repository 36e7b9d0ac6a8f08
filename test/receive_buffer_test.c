/* Tests of the kernel receive buffers that the connections of callers get.  */
#include "net/receive_buffer.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <glib.h>

#define INITIAL_MIN_BYTES 4096
#define LARGE_BYTES 32768

/* A host, and its connections with those that wait to be accepted. */
static const struct
{
  const char *name;
  uint64_t memory_mb;
  uint32_t connections;
} hosts[] = {
  { "few descriptors", 256, 640 },
  { "a small host", 112, 1947 },
  { "an entry host", 260, 2612 },
  { "a large host", 512, 4608 },
  { "the host of a crowd test", 48, 640 },
  { "hardly any memory", 16, 100 },
  { "no connections", 256, 0 },
  { "much memory", 65536, 1000 },
};

/* Guards against buffers that together exceed their share of the host, since
   the kernel keeps twice the size that is set, and against ones that are too
   small for the head of a request.  */
static void
test_plans (void **state)
{
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (hosts); i++)
    {
      struct rcb_plan plan;
      rcb_plan_for_host (hosts[i].memory_mb, hosts[i].connections, &plan);
      uint64_t half = hosts[i].memory_mb * 1000000 / 16;
      uint64_t initial
          = 2 * (uint64_t)plan.initial_bytes * hosts[i].connections;
      uint64_t large = 2 * (uint64_t)plan.large_bytes * plan.large_max;
      if (plan.initial_bytes < INITIAL_MIN_BYTES
          || plan.initial_bytes > LARGE_BYTES
          || plan.large_bytes != LARGE_BYTES || plan.large_max == 0
          || large > half
          || (initial > half && plan.initial_bytes > INITIAL_MIN_BYTES))
        {
          fail_msg ("%s: %u bytes, %u of %u", hosts[i].name,
                    plan.initial_bytes, plan.large_max, plan.large_bytes);
        }
    }
}

/* Guards against a limit where no memory is named.  */
static void
test_no_limit (void **state)
{
  struct rcb_plan plan;
  (void)state;
  rcb_plan_for_host (0, 1000, &plan);
  assert_true (plan.initial_bytes > LARGE_BYTES);
  assert_int_equal (plan.large_max, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_plans),
    cmocka_unit_test (test_no_limit),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
