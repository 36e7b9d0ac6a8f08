/* Tests of the log's rate limits. */
#include "base/log.h"

#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>
#include <unistd.h>

#define EVENTS 160

/* Guards against lines that are dropped though their event is rare, since many
   other events have been logged before.  */
static void
test_many_events (void **state)
{
  (void)state;
  static char events[EVENTS][16];
  int ends[2];
  char text[65536];
  int output = dup (STDOUT_FILENO);
  assert_int_equal (pipe (ends), 0);
  lg_flush ();
  uint64_t dropped = lg_dropped ();
  dup2 (ends[1], STDOUT_FILENO);
  for (uint32_t i = 0; i < EVENTS; i++)
    {
      g_snprintf (events[i], sizeof events[i], "event_%u", i);
      lg_line (LOG_NOTICE, events[i], "number=%u", i);
    }
  lg_flush ();
  dup2 (output, STDOUT_FILENO);
  close (output);
  close (ends[1]);
  size_t used = 0;
  ssize_t count = 0;
  while ((count = read (ends[0], text + used, sizeof text - 1 - used)) > 0)
    {
      used += (size_t)count;
    }
  text[used] = '\0';
  close (ends[0]);
  for (uint32_t i = 0; i < EVENTS; i++)
    {
      g_autofree char *line
          = g_strdup_printf ("event=event_%u number=%u\n", i, i);
      if (strstr (text, line) == NULL)
        {
          fail_msg ("no line of event %u", i);
        }
    }
  assert_int_equal (lg_dropped (), dropped);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_many_events),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
