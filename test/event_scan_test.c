/* Tests the scanner of server-sent events on streams that are split, resumed
   or incomplete. */
#include "net/event_scan.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>

#include <cmocka.h>
#include <string.h>
#include <time.h>

#define PIECES_MAX 6

/* An event that arrives in single bytes, and the processor time for it. */
#define LONG_EVENT_BYTES ((size_t)256 * 1024)
#define LONG_EVENT_S 0.5

struct row
{
  const char *name;
  int64_t last_id;                /* of the scanner at the start */
  const char *pieces[PIECES_MAX]; /* "": call evs_restart */
  const char *expected;           /* events that are passed on */
  size_t pending;                 /* bytes; not checked if out of order */
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
  { "an incomplete event is kept",
    -1,
    { "id: 1\ndata: a\n\nid: 2\ndata" },
    "id: 1\ndata: a\n\n",
    10,
    false },
  { "a resumed stream discards the incomplete event",
    -1,
    { "id: 1\ndata: a\n\nid: 2\nda", "", "id: 2\ndata: b\n\n" },
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    0,
    false },
  { "events that a resumed stream repeats are discarded",
    -1,
    { "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", "",
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n" },
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n",
    0,
    false },
  { "a missing event ends the scan",
    -1,
    { "id: 1\ndata: a\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n" },
    "id: 1\ndata: a\n\n",
    0,
    true },
  { "the caller resumes after its last event",
    4,
    { "id: 5\ndata: a\n\n" },
    "id: 5\ndata: a\n\n",
    0,
    false },
  { "the caller has the last event that there can be",
    INT64_MAX,
    { "id: 9223372036854775807\ndata: a\n\nid: 5\ndata: b\n\n" },
    "",
    0,
    false },
  { "an id below the range of numbers",
    4,
    { "id: -9223372036854775808\ndata: a\n\n" },
    "",
    0,
    true },
  /* Guards against an id that the caller's reader doesn't see. */
  { "the last id of an event counts",
    -1,
    { "id: 1\ndata: a\n\nid: 5\nid: 2\ndata: b\n\nid: 3\nid: 7\n\n" },
    "id: 1\ndata: a\n\nid: 5\nid: 2\ndata: b\n\n",
    0,
    true },
  { "a blank id isn't read from the next event",
    4,
    { "id:\n\n5\nid: 5\ndata: b\n\n" },
    "5\nid: 5\ndata: b\n\n",
    0,
    false },
  { "lines that end with CRLF",
    -1,
    { "id: 1\r\ndata: a\r\n\r\n" },
    "id: 1\r\ndata: a\r\n\r\n",
    0,
    false },
  { "the text of an error isn't passed on within a stream",
    -1,
    { "id: 1\ndata: a\n\nid: 2\nda", "",
      "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 6\r\n\r\nfailed",
      "\n\n" },
    "id: 1\ndata: a\n\n",
    0,
    true },
  { "an event without an id doesn't continue a stream with ids",
    4,
    { "event: error\ndata: overloaded\n\nid: 5\ndata: a\n\n" },
    "",
    0,
    true },
  { "the next sender goes on after one that was out of order",
    -1,
    { "id: 1\ndata: a\n\nid: 3\ndata: c\n\n", "", "id: 2\ndata: b\n\n" },
    "id: 1\ndata: a\n\nid: 2\ndata: b\n\n",
    0,
    false },
  { "comments are passed on",
    -1,
    { "id: 1\ndata: a\n\n: alive\n\nid: 2\ndata: b\n\n" },
    "id: 1\ndata: a\n\n: alive\n\nid: 2\ndata: b\n\n",
    0,
    false },
  { "events without ids are passed on",
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
      GByteArray *complete = g_byte_array_new ();
      evs_init (&scanner);
      scanner.last_id = rows[i].last_id;
      for (size_t n = 0; n < PIECES_MAX && rows[i].pieces[n] != NULL; n++)
        {
          const char *piece = rows[i].pieces[n];
          if (piece[0] == '\0')
            {
              evs_restart (&scanner);
            }
          evs_feed (&scanner, piece, strlen (piece), complete);
        }
      g_byte_array_append (complete, (const guint8 *)"", 1);
      if (strcmp ((const char *)complete->data, rows[i].expected) != 0
          || scanner.out_of_order != rows[i].out_of_order
          || (!scanner.out_of_order
              && scanner.pending->len != rows[i].pending))
        {
          fail_msg ("%s: '%s', %u pending", rows[i].name, complete->data,
                    scanner.pending->len);
        }
      g_byte_array_free (complete, TRUE);
      evs_clear (&scanner);
    }
}

/* Guards against an event that is read from its start again for each piece in
   which it arrives: an endpoint that sends a byte at a time would hold the
   event loop for many seconds.  */
static void
test_long_events_in_pieces (void **state)
{
  (void)state;
  static const char *const lines[] = { "data: a\n", "data", ": \n", "\ra" };
  for (size_t i = 0; i < G_N_ELEMENTS (lines); i++)
    {
      GString *event = g_string_new ("id: 1\n");
      GByteArray *complete = g_byte_array_new ();
      struct evs_scanner scanner;
      while (event->len < LONG_EVENT_BYTES)
        {
          g_string_append (event, lines[i]);
        }
      g_string_append (event, "\n\n");
      evs_init (&scanner);
      clock_t began = clock ();
      for (size_t at = 0; at < event->len; at++)
        {
          evs_feed (&scanner, event->str + at, 1, complete);
        }
      double took_s = (double)(clock () - began) / CLOCKS_PER_SEC;
      assert_int_equal (scanner.last_id, 1);
      assert_true (complete->len >= LONG_EVENT_BYTES);
      if (took_s > LONG_EVENT_S)
        {
          fail_msg ("lines of '%s': %.1f s", lines[i], took_s);
        }
      evs_clear (&scanner);
      g_byte_array_free (complete, TRUE);
      g_string_free (event, TRUE);
    }
}

/* The same events are passed on wherever the stream is split in three.  */
static void
test_every_split (void **state)
{
  (void)state;
  static const char text[]
      = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
  for (size_t first = 0; first <= strlen (text); first++)
    {
      for (size_t second = first; second <= strlen (text); second++)
        {
          struct evs_scanner scanner;
          GByteArray *complete = g_byte_array_new ();
          evs_init (&scanner);
          evs_feed (&scanner, text, first, complete);
          evs_feed (&scanner, text + first, second - first, complete);
          evs_feed (&scanner, text + second, strlen (text) - second, complete);
          assert_int_equal (complete->len, strlen (text));
          assert_memory_equal (complete->data, text, complete->len);
          assert_int_equal (scanner.last_id, 3);
          g_byte_array_free (complete, TRUE);
          evs_clear (&scanner);
        }
    }
}

/* Guards against comments that count as events: a stalled stream that sends
   them would look as if it made progress.  */
static void
test_comments_are_no_events (void **state)
{
  (void)state;
  static const struct
  {
    const char *text;
    uint32_t events;
  } cases[] = {
    { ": alive\n\n", 0 },
    { ":\n:\n\n", 0 },
    { "\n", 0 },
    { "id: 1\ndata: a\n\n: alive\n\n", 1 },
    { ": alive\nid: 1\ndata: a\n\n", 1 },
    { "data: a\n\n", 1 },
  };
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct evs_scanner scanner;
      GByteArray *complete = g_byte_array_new ();
      evs_init (&scanner);
      uint32_t events = evs_feed (&scanner, cases[i].text,
                                  strlen (cases[i].text), complete);
      if (events != cases[i].events || complete->len != strlen (cases[i].text))
        {
          fail_msg ("'%s': %u events, %u bytes", cases[i].text, events,
                    complete->len);
        }
      g_byte_array_free (complete, TRUE);
      evs_clear (&scanner);
    }
}

/* Guards against the text of an error that is passed on as events of a stream
   that can be resumed, where each event has an id.  */
static void
test_needed_ids (void **state)
{
  static const struct
  {
    const char *name;
    const char *first;  /* bytes of a sender */
    const char *second; /* and of the next one */
    const char *passed_on;
    bool out_of_order; /* after the first */
  } cases[] = {
    { "events with ids", "id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n",
      "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", false },
    { "a comment", ": alive\n\n", "id: 1\ndata: a\n\n",
      ": alive\n\nid: 1\ndata: a\n\n", false },
    { "the head of an error", "HTTP/1.1 500 Failed\r\n\r\nfailed\n\n",
      "id: 1\ndata: a\n\n", "id: 1\ndata: a\n\n", true },
    { "data without an id", "data: a\n\n", "id: 1\ndata: a\n\n",
      "id: 1\ndata: a\n\n", true },
  };
  (void)state;
  for (size_t i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      struct evs_scanner scanner;
      GByteArray *complete = g_byte_array_new ();
      evs_init (&scanner);
      scanner.needs_ids = true;
      evs_feed (&scanner, cases[i].first, strlen (cases[i].first), complete);
      bool out_of_order = scanner.out_of_order;
      evs_restart (&scanner);
      evs_feed (&scanner, cases[i].second, strlen (cases[i].second), complete);
      g_byte_array_append (complete, (const guint8 *)"", 1);
      if (strcmp ((const char *)complete->data, cases[i].passed_on) != 0
          || out_of_order != cases[i].out_of_order || scanner.out_of_order)
        {
          fail_msg ("%s: '%s'", cases[i].name, complete->data);
        }
      g_byte_array_free (complete, TRUE);
      evs_clear (&scanner);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_scan),
    cmocka_unit_test (test_needed_ids),
    cmocka_unit_test (test_long_events_in_pieces),
    cmocka_unit_test (test_every_split),
    cmocka_unit_test (test_comments_are_no_events),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
