#include "entry/verdicts.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

enum action
{
  ACT_NONE,
  ACT_DEAD,
  ACT_CLEAR
};

/* A verdict applies to one incarnation of an endpoint until it is cleared.  */
static void
test_verdicts (void **state)
{
  (void)state;
  static const struct
  {
    const char *id;
    int64_t born_ms;
    enum action action;
    bool first_dead;  /* "a", started at 1 */
    bool second_dead; /* "a", started at 2 */
  } rows[] = {
    { "", 0, ACT_NONE, false, false },  { "b", 1, ACT_DEAD, false, false },
    { "a", 1, ACT_DEAD, true, false },  { "a", 2, ACT_DEAD, false, true },
    { "b", 0, ACT_CLEAR, false, true }, { "a", 0, ACT_CLEAR, false, false },
  };
  struct vdt_verdicts *verdicts = vdt_create ();
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      if (rows[i].action == ACT_DEAD)
        {
          vdt_set_dead (verdicts, rows[i].id, rows[i].born_ms);
        }
      else if (rows[i].action == ACT_CLEAR)
        {
          vdt_clear (verdicts, rows[i].id);
        }
      assert_int_equal (vdt_is_dead (verdicts, "a", 1), rows[i].first_dead);
      assert_int_equal (vdt_is_dead (verdicts, "a", 2), rows[i].second_dead);
    }
  vdt_destroy (verdicts);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (test_verdicts) };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
