/* Tests of the table of error kinds and of the mapping from GError. */
#include "base/error.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>

/* Every kind has a unique name, a valid HTTP status and a summary.  */
static void
every_kind_has_table_entry (void **state)
{
  (void)state;
  for (int i = 0; i < ERR_KIND_COUNT; i++)
    {
      const struct err_info *answer = err_info ((enum err_kind)i);
      assert_non_null (answer->name);
      assert_non_null (answer->summary);
      assert_in_range (answer->http_status, 200, 599);
      for (int j = 0; j < i; j++)
        {
          assert_string_not_equal (answer->name,
                                   err_info ((enum err_kind)j)->name);
        }
    }
}

/* An error of this project maps to its kind, NULL to ERR_NONE, and an error of
   another domain to ERR_INTERNAL.  */
static void
gerror_maps_to_kind (void **state)
{
  (void)state;
  GError *project_error
      = g_error_new (ERR_DOMAIN, ERR_NOT_FOUND, "no such model");
  GError *foreign_error = g_error_new (G_FILE_ERROR, 1, "no such file");
  assert_int_equal (err_kind_of (NULL), ERR_NONE);
  assert_int_equal (err_kind_of (project_error), ERR_NOT_FOUND);
  assert_int_equal (err_kind_of (foreign_error), ERR_INTERNAL);
  g_error_free (project_error);
  g_error_free (foreign_error);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (every_kind_has_table_entry),
    cmocka_unit_test (gerror_maps_to_kind),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
