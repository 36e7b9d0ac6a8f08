/* Tests of the ids of requests. */
#include "entry/request_id.h"

#include "platform/headers.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#define DIGITS_40 "0123456789012345678901234567890123456789"
#define DIGITS_63 DIGITS_40 "01234567890123456789012"

/* Guards against ids that end a line of the log early, add fields to it or
   leave no room for what was decided, and against losing which request a line
   is about.  */
static void
test_log_form (void **state)
{
  static const struct
  {
    const char *name;
    const char *id;
    const char *start;
    bool hashed;
  } rows[] = {
    { "no id", NULL, "-", false },
    { "a short id", "9c41d07be2a35f68", "9c41d07be2a35f68", false },
    { "the longest that stays as it is", DIGITS_63, DIGITS_63, false },
    { "one byte longer", DIGITS_63 "3", DIGITS_40 "~", true },
    { "a SHA-256 in hexadecimal", DIGITS_40 "012345678901234567890123",
      DIGITS_40 "~", true },
    { "far longer", DIGITS_63 DIGITS_63 DIGITS_63, DIGITS_40 "~", true },
    { "blanks", "a status=200 b", "a?status?200?b~", true },
    { "quotes", "a\"b", "a?b~", true },
    { "a backslash", "a\\b", "a?b~", true },
    { "bytes beyond ASCII", "\xc3\xa9", "??~", true },
  };
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char text[RQI_LOG_BYTES];
      memset (text, '!', sizeof text);
      rqi_format_for_log (rows[i].id, text);
      size_t start_bytes = strlen (rows[i].start);
      size_t bytes = strnlen (text, sizeof text);
      bool sound = bytes < sizeof text
                   && strncmp (text, rows[i].start, start_bytes) == 0
                   && bytes == start_bytes + (rows[i].hashed ? 16 : 0);
      if (!sound)
        {
          fail_msg ("%s: '%.64s'", rows[i].name, text);
        }
    }
}

/* Guards against one form for two ids with the same beginning.  */
static void
test_log_form_differs (void **state)
{
  (void)state;
  char one[RQI_LOG_BYTES];
  char other[RQI_LOG_BYTES];
  rqi_format_for_log (DIGITS_63 "1", one);
  rqi_format_for_log (DIGITS_63 "2", other);
  assert_string_not_equal (one, other);
}

/* Guards against an empty id, with which no answer could be told from another
   one's, and against two, of which an endpoint may take either.  */
static void
test_find (void **state)
{
  static const struct
  {
    const char *name;
    const char *values[2];
    const char *found;
  } rows[] = {
    { "no id", { NULL, NULL }, NULL },
    { "an empty id", { "", NULL }, NULL },
    { "a short id", { "a", NULL }, "a" },
    { "a long id", { DIGITS_63 DIGITS_63, NULL }, DIGITS_63 DIGITS_63 },
    { "two ids", { "a", "b" }, NULL },
    { "an id twice", { "a", "a" }, NULL },
    { "an empty id and another", { "", "a" }, NULL },
  };
  (void)state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      struct msg_message request;
      msg_init (&request);
      for (size_t n = 0; n < 2 && rows[i].values[n] != NULL; n++)
        {
          const char *value = rows[i].values[n];
          msg_add_name (&request, PFH_REQUEST_ID, strlen (PFH_REQUEST_ID));
          msg_add_value (&request, value, strlen (value));
        }
      msg_end_headers (&request);
      if (g_strcmp0 (rqi_find (&request), rows[i].found) != 0)
        {
          fail_msg ("%s: '%s'", rows[i].name, rqi_find (&request));
        }
      msg_clear (&request);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_log_form),
    cmocka_unit_test (test_log_form_differs),
    cmocka_unit_test (test_find),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
