#include "core/config.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

static struct cfg_link links[] = {
  { .from = 0, .to = 1, .delay_us = 500, .bytes_per_s = 125000000 },
  { .from = 1, .to = 0, .delay_us = 500, .bytes_per_s = 125000000 },
  { .from = 1, .to = 2, .delay_us = 40000, .bytes_per_s = 2500000 },
  { .from = 2, .to = 1, .delay_us = 40000, .bytes_per_s = 2500000 },
};

struct path_case
{
  uint32_t from;
  uint32_t to;
  int64_t delay_us;
  uint64_t bytes_per_s;
};

static const struct path_case path_cases[] = {
  { 0, 1, 500, 125000000 },  { 2, 1, 40000, 2500000 },
  { 0, 0, 50, 1250000000 },  { 0, 2, 200000, 1250000 }, /* no link */
  { 2, 0, 200000, 1250000 }, { CFG_NO_INDEX, 2, 50, 1250000000 },
};

/* Guards against routing work over a link that is missing from the
   configuration: such a link must look slower than every configured one.  */
static void
paths_between_data_centres (void **state)
{
  (void)state;
  const struct cfg_config config
      = { .links = links, .link_count = G_N_ELEMENTS (links) };
  for (size_t i = 0; i < G_N_ELEMENTS (path_cases); i++)
    {
      const struct path_case *c = &path_cases[i];
      struct cfg_link path = cfg_path_between (&config, c->from, c->to);
      assert_int_equal (path.delay_us, c->delay_us);
      assert_int_equal (path.bytes_per_s, c->bytes_per_s);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (paths_between_data_centres),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
