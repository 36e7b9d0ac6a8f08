#include "net/event_scan.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>

#define PIECES_MAX 6

struct row
{
  const char *name;
  int64_t last_id;
  const char *pieces[PIECES_MAX]; /* a "" restarts the scan */
  const char *want;               /* whole events that were passed on */
  size_t pending;
  bool out_of_order;
};

static const struct row rows[] = {
  { "two events in one piece",
    -1,
    { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n" },
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    0,
    false },
  { "one event in pieces",
    -1,
    { "id: 1\nda", "ta: a\n", "\n" },
    "id: 1\ndata: a\n\n",
    0,
    false },
  { "an unfinished event waits",
    -1,
    { "id: 1\ndata: a\n\nid: 2\ndata" },
    "id: 1\ndata: a\n\n",
    10,
    false },
  { "a resumed stream drops the unfinished event",
    -1,
    { "id: 1\ndata: a\n\nid: 2\nda", "", "id: 2\ndata: b\n\n" },
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    0,
    false },
  { "a resumed stream that begins too early repeats nothing",
    -1,
    { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "",
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" },
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
    0,
    false },
  { "an event that is missing ends the scan",
    -1,
    { "id: 1\ndata: a\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n" },
    "id: 1\ndata: a\n\n",
    0,
    true },
  { "the caller resumes at its last event",
    4,
    { "id: 5\ndata: a\n\n" },
    "id: 5\ndata: a\n\n",
    0,
    false },
  { "line ends with carriage returns",
    -1,
    { "id: 1\r\ndata: a\r\n\r\n" },
    "id: 1\r\ndata: a\r\n\r\n",
    0,
    false },
  { "events without ids pass",
    -1,
    { "data: a\n\ndata: b\n\n" },
    "data: a\n\ndata: b\n\n",
    0,
    false },
};

static void
test_scan (void **state)
{
  (void)state;
  for (size_t i = 0; i < sizeof rows / sizeof rows[0]; i++)
    {
      struct evs_scanner scanner;
      GByteArray *whole = g_byte_array_new ();
      evs_init (&scanner);
      scanner.last_id = rows[i].last_id;
      for (size_t n = 0; n < PIECES_MAX && rows[i].pieces[n] != NULL; n++)
        {
          const char *piece = rows[i].pieces[n];
          if (piece[0] == '\0')
            {
              evs_restart (&scanner);
            }
          evs_feed (&scanner, piece, strlen (piece), whole);
        }
      g_byte_array_append (whole, (const guint8 *)"", 1);
      if (strcmp ((const char *)whole->data, rows[i].want) != 0
          || scanner.out_of_order != rows[i].out_of_order
          || (!scanner.out_of_order
              && scanner.pending->len != rows[i].pending))
        {
          fail_msg ("%s: '%s', %u pending", rows[i].name, whole->data,
                    scanner.pending->len);
        }
      g_byte_array_free (whole, TRUE);
      evs_clear (&scanner);
    }
}

/* However the bytes are cut, the same whole events come out.  */
static void
test_every_cut (void **state)
{
  (void)state;
  static const char text[]
      = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  for (size_t first = 0; first <= strlen (text); first++)
    {
      for (size_t second = first; second <= strlen (text); second++)
        {
          struct evs_scanner scanner;
          GByteArray *whole = g_byte_array_new ();
          evs_init (&scanner);
          evs_feed (&scanner, text, first, whole);
          evs_feed (&scanner, text + first, second - first, whole);
          evs_feed (&scanner, text + second, strlen (text) - second, whole);
          assert_int_equal (whole->len, strlen (text));
          assert_memory_equal (whole->data, text, whole->len);
          assert_int_equal (scanner.last_id, 3);
          g_byte_array_free (whole, TRUE);
          evs_clear (&scanner);
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_scan),
    cmocka_unit_test (test_every_cut),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
