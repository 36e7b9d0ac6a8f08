/* Tests of an entry daemon that gets unusual request heads. */
#include "test/caller_socket.h"
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "platform/headers.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WAIT_US (3 * CLK_S_US)

/* Sends REQUEST to the socket DESCRIPTOR and reads the head of the answer,
   without its body.  Returns it, or what has arrived until the connection
   ended or WAIT_US have passed.  */
static GString *
exchange_heads (struct efx_fixture *fixture, int descriptor,
                const char *request)
{
  GString *head = g_string_new (NULL);
  int64_t end_us = clk_monotonic_us () + WAIT_US;
  bool open = true;
  assert_int_equal (send (descriptor, request, strlen (request), MSG_NOSIGNAL),
                    strlen (request));
  while (open && strstr (head->str, "\r\n\r\n") == NULL
         && clk_monotonic_us () < end_us)
    {
      char byte;
      ssize_t count = recv (descriptor, &byte, 1, MSG_DONTWAIT);
      open = count != 0;
      if (count > 0)
        {
          g_string_append_c (head, byte);
        }
      else
        {
          efx_run_for (fixture, 5 * CLK_MS_US);
        }
    }
  return head;
}

/* Returns whether HEAD, an answer's, is whole and tells the end of the answer.
   It must have STATUS and name the request ID, or none if ID is NULL.  */
static bool
is_sound (const char *head, uint32_t status, const char *id)
{
  g_autofree char *start = g_strdup_printf ("HTTP/1.1 %u ", status);
  g_auto (GStrv) lines = g_strsplit (head, "\r\n", -1);
  guint count = g_strv_length (lines);
  bool sound = g_str_has_prefix (head, start) && count > 2
               && lines[count - 1][0] == '\0' && lines[count - 2][0] == '\0';
  bool has_end = false;
  const char *named = NULL;
  for (guint i = 1; sound && i < count - 2; i++)
    {
      sound = strstr (lines[i], ": ") != NULL;
      has_end |= g_str_has_prefix (lines[i], "Content-Length: ")
                 || strcmp (lines[i], "Transfer-Encoding: chunked") == 0;
      if (g_str_has_prefix (lines[i], PFH_REQUEST_ID ": "))
        {
          named = lines[i] + strlen (PFH_REQUEST_ID ": ");
        }
    }
  return sound && has_end && g_strcmp0 (named, id) == 0;
}

/* A state of the daemon. */
static const struct
{
  const char *name;
  enum sfl_store_state store;
  bool starts; /* the daemon starts in it, so that it has no configuration */
  bool refuses_all;
} states[] = {
  { "the store works", SFL_STORE_NO_FAULT, false, false },
  { "the store is away", SFL_STORE_REFUSES, false, true },
  { "no configuration", SFL_STORE_REFUSES, true, true },
};

/* A request, and the status of its answer unless the daemon refuses all. */
static const struct
{
  const char *path;
  const char *key;
  uint32_t status;
} requests[] = {
  { "/look/a", "key-1", 200 },    { "/draft/a", "key-1", 200 },
  { "/book/a", "key-1", 200 },    { "/look/a", "unknown", 401 },
  { "/nowhere/a", "key-1", 404 },
};

/* Returns an id of LENGTH bytes that differs from those of this length with
   another NUMBER below 26.  The caller frees it.  */
static char *
build_id (uint32_t length, uint32_t number)
{
  char *id = g_strnfill (length, '0');
  id[length - 1] = (char)('a' + number);
  return id;
}

/* Brings the daemon of FIXTURE into the state STATE.  */
static void
enter_state (struct efx_fixture *fixture, size_t state)
{
  sfl_set_store (fixture->fleet, states[state].store);
  if (states[state].starts)
    {
      efx_kill_daemon (fixture);
      sep_start (fixture->daemon);
    }
  efx_run_for (fixture, INT64_C (2) * EFX_REVOKE_MS * CLK_MS_US);
}

/* Sends the request ROW with ID.  Returns whether it gets a whole answer with
   STATUS and its id, has reached an endpoint under that id just if it was
   served, and the daemon lives.  */
static bool
answers_soundly (struct efx_fixture *fixture, size_t row, const char *id,
                 uint32_t status)
{
  g_autofree char *request
      = efx_build_request ("POST", EFX_FLEET_HOST, requests[row].path,
                           requests[row].key, id, "body");
  int descriptor = csk_connect (sep_caller_address (fixture->daemon));
  GString *head = exchange_heads (fixture, descriptor, request);
  uint32_t runs = sfl_run_count (fixture->fleet, id);
  bool sound = is_sound (head->str, status, id) && runs == (status == 200)
               && sep_is_running (fixture->daemon);
  if (!sound)
    {
      print_message ("%s, an id of %zu bytes: '%.60s', %zu bytes, ran %u "
                     "times, the daemon runs: %d\n",
                     requests[row].path, strlen (id), head->str, head->len,
                     runs, sep_is_running (fixture->daemon));
    }
  g_string_free (head, TRUE);
  close (descriptor);
  return sound;
}

/* Guards against ids that don't fit into an array of the daemon: a head that
   is cut off or written over the stack, and a request that is refused though
   no limit is exceeded.  Ids are forwarded and returned as they are sent.  */
static void
test_long_ids (void **state)
{
  static const uint32_t lengths[]
      = { 1, 63, 64, 200, 220, 240, 248, 256, 512, 1192, 3600 };
  struct efx_fixture *fixture = *state;
  uint32_t failures = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    {
      enter_state (fixture, i);
      for (size_t n = 0; n < G_N_ELEMENTS (lengths); n++)
        {
          for (size_t row = 0; row < G_N_ELEMENTS (requests); row++)
            {
              g_autofree char *id = build_id (
                  lengths[n], (uint32_t)(i * G_N_ELEMENTS (requests) + row));
              uint32_t status
                  = states[i].refuses_all ? 503 : requests[row].status;
              failures += !answers_soundly (fixture, row, id, status);
            }
        }
      print_message ("%s: %u failures so far\n", states[i].name, failures);
      assert_true (sep_is_running (fixture->daemon));
    }
  assert_int_equal (failures, 0);
}

#define HOST "Host: " EFX_FLEET_HOST "\r\n"
#define KEY "X-Api-Key: key-1\r\n"

/* Sends a request for TARGET with the header LINES, in which %s stands for ID.
   Returns whether it gets a whole answer with STATUS that names NAMED_ID, and
   has reached an endpoint under ID just if it was served.  */
static bool
is_answered_with (struct efx_fixture *fixture, const char *name,
                  const char *target, const char *lines, const char *id,
                  uint32_t status, const char *named_id)
{
  GString *request = g_string_new (NULL);
  g_string_printf (request, "GET %s HTTP/1.1\r\n%s\r\n", target, lines);
  g_string_replace (request, "%s", id, 0);
  int descriptor = csk_connect (sep_caller_address (fixture->daemon));
  GString *head = exchange_heads (fixture, descriptor, request->str);
  uint32_t runs = sfl_run_count (fixture->fleet, id);
  bool matches
      = is_sound (head->str, status, named_id) && runs == (status == 200);
  if (!matches)
    {
      print_message ("%s: '%s', ran %u times\n", name, head->str, runs);
    }
  g_string_free (head, TRUE);
  g_string_free (request, TRUE);
  close (descriptor);
  return matches;
}

/* Guards against refusing or misunderstanding a head that says the same as an
   ordinary one in another way.  %s stands for the id.  */
static void
test_spellings (void **state)
{
  static const struct
  {
    const char *name;
    const char *target;
    const char *lines;
    uint32_t status;
  } rows[] = {
    { "an ordinary head", "/look/a", HOST KEY PFH_REQUEST_ID ": %s\r\n", 200 },
    { "blanks around a host", "/look/a",
      "Host: \t" EFX_FLEET_HOST " \t\r\n" KEY PFH_REQUEST_ID ": %s\r\n", 200 },
    { "blanks around a key", "/look/a",
      HOST "X-Api-Key: \tkey-1 \t\r\n" PFH_REQUEST_ID ": %s\r\n", 200 },
    { "blanks around an id", "/look/a",
      HOST KEY PFH_REQUEST_ID ": \t%s \t\r\n", 200 },
    { "no blanks", "/look/a",
      "Host:" EFX_FLEET_HOST "\r\nX-Api-Key:key-1\r\n" PFH_REQUEST_ID
      ":%s\r\n",
      200 },
    { "a target in absolute form", "http://" EFX_FLEET_HOST "/look/a",
      "Host: another.example\r\n" KEY PFH_REQUEST_ID ": %s\r\n", 200 },
    { "a host in capitals", "/look/a",
      "Host: FLEET.Example\r\n" KEY PFH_REQUEST_ID ": %s\r\n", 200 },
    { "a host with a port", "/look/a",
      "Host: " EFX_FLEET_HOST ":8227\r\n" KEY PFH_REQUEST_ID ": %s\r\n", 200 },
    { "a host with an empty port", "/look/a",
      "Host: " EFX_FLEET_HOST ":\r\n" KEY PFH_REQUEST_ID ": %s\r\n", 200 },
    { "a host with something else after it", "/look/a",
      "Host: " EFX_FLEET_HOST ":a\r\n" KEY PFH_REQUEST_ID ": %s\r\n", 404 },
    { "names in capitals", "/look/a",
      "HOST: " EFX_FLEET_HOST "\r\nX-API-KEY: key-1\r\n"
      "X-KUMQUATTHREAD-ATTEMPT-ID: %s\r\n",
      200 },
  };
  struct efx_fixture *fixture = *state;
  uint32_t failures = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *id = g_strdup_printf ("spelling-%zu", i);
      failures += !is_answered_with (fixture, rows[i].name, rows[i].target,
                                     rows[i].lines, id, rows[i].status, id);
    }
  assert_int_equal (failures, 0);
}

/* Guards against a request that no daemon can serve and that is told to come
   back, as the daemon refuses it for something that passes.  */
static void
test_invalid_heads (void **state)
{
  static const struct
  {
    const char *name;
    const char *lines;
    bool has_id;
  } rows[] = {
    { "no host", KEY PFH_REQUEST_ID ": %s\r\n", true },
    { "no id", HOST KEY, false },
    { "an empty id", HOST KEY PFH_REQUEST_ID ":\r\n", false },
    { "an id of the connection",
      HOST KEY
      "Connection: close, x-kumquatthread-attempt-id\r\n" PFH_REQUEST_ID
      ": %s\r\n",
      true },
    { "a model of the connection",
      HOST KEY "Connection: X-Kumquatthread-Model\r\n" PFH_REQUEST_ID
               ": %s\r\n",
      true },
    { "two ids",
      HOST KEY PFH_REQUEST_ID ": %s\r\n" PFH_REQUEST_ID ": other\r\n", false },
  };
  struct efx_fixture *fixture = *state;
  uint32_t failures = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    {
      enter_state (fixture, i);
      for (size_t row = 0; row < G_N_ELEMENTS (rows); row++)
        {
          g_autofree char *id = g_strdup_printf ("invalid-%zu-%zu", i, row);
          failures += !is_answered_with (
              fixture, rows[row].name, "/look/a", rows[row].lines, id,
              HTTP_STATUS_BAD_REQUEST, rows[row].has_id ? id : NULL);
        }
    }
  assert_int_equal (failures, 0);
}

/* Guards against numbers in headers that overflow where a time or a count is
   computed from them: the request gets a whole answer, and the daemon serves
   the next one.  */
static void
test_extreme_numbers (void **state)
{
  static const char *const names[] = {
    PFH_TIME_LEFT_MS, PFH_LAST_EVENT_ID, PFH_PASSED_ON,
    PFH_TOKENS,       PFH_PROMPT_PARTS,
  };
  static const char *const values[] = {
    "",
    "0",
    "-1",
    "-9223372036854775808",
    "9223372036854775807",
    "-99999999999999999999",
    "99999999999999999999",
    "1e300,1e300",
    "nan",
    "0x10",
  };
  struct efx_fixture *fixture = *state;
  g_autofree char *next = efx_build_request ("POST", EFX_FLEET_HOST, "/look/a",
                                             "key-1", "next", "look");
  for (size_t i = 0; i < G_N_ELEMENTS (names) * G_N_ELEMENTS (values); i++)
    {
      const char *name = names[i / G_N_ELEMENTS (values)];
      const char *value = values[i % G_N_ELEMENTS (values)];
      g_autofree char *request = g_strdup_printf (
          "POST /look/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST
          "\r\nX-Api-Key: key-1\r\nX-Own: 1\r\n" PFH_REQUEST_ID
          ": number-%zu\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
          i, name, value);
      int descriptor = csk_connect (sep_caller_address (fixture->daemon));
      GString *head = exchange_heads (fixture, descriptor, request);
      int other = csk_connect (sep_caller_address (fixture->daemon));
      GString *other_head = exchange_heads (fixture, other, next);
      if (!g_str_has_suffix (head->str, "\r\n\r\n")
          || !is_sound (other_head->str, 200, "next"))
        {
          fail_msg ("%s: %s: '%s', then '%s'", name, value, head->str,
                    other_head->str);
        }
      g_string_free (head, TRUE);
      g_string_free (other_head, TRUE);
      close (descriptor);
      close (other);
    }
}

/* Guards against a response to HEAD that is taken for one with a body, so that
   its caller waits until its deadline, or gets bytes that it takes for its
   next answer.  */
static void
test_head_requests (void **state)
{
  static const struct
  {
    const char *path;
    const char *key;
    uint32_t status;
  } rows[] = {
    { "/look/a", "key-1", 200 },
    { "/draft/a", "key-1", 200 },
    { "/look/a", "unknown", 401 },
    { "/nowhere", "key-1", 404 },
  };
  struct efx_fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      g_autofree char *id = g_strdup_printf ("head-%zu", i);
      g_autofree char *request = efx_build_request (
          "HEAD", EFX_FLEET_HOST, rows[i].path, rows[i].key, id, "");
      g_autofree char *next = efx_build_request (
          "POST", EFX_FLEET_HOST, "/look/a", "key-1", "next", "look");
      g_autofree char *start
          = g_strdup_printf ("HTTP/1.1 %u ", rows[i].status);
      int descriptor = csk_connect (sep_caller_address (fixture->daemon));
      int64_t began_us = clk_monotonic_us ();
      GString *head = exchange_heads (fixture, descriptor, request);
      int64_t took_us = clk_monotonic_us () - began_us;
      GString *next_head = exchange_heads (fixture, descriptor, next);
      if (!g_str_has_prefix (head->str, start) || took_us > CLK_S_US
          || !is_sound (next_head->str, 200, "next"))
        {
          fail_msg ("HEAD %s: after %ld us '%s', then '%s'", rows[i].path,
                    (long)took_us, head->str, next_head->str);
        }
      if (i == 0)
        {
          assert_non_null (strstr (head->str, "Content-Length: 11\r\n"));
        }
      g_string_free (head, TRUE);
      g_string_free (next_head, TRUE);
      close (descriptor);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (test_long_ids, efx_set_up, efx_tear_down),
    cmocka_unit_test_setup_teardown (test_spellings, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_invalid_heads, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_extreme_numbers, efx_set_up,
                                     efx_tear_down),
    cmocka_unit_test_setup_teardown (test_head_requests, efx_set_up,
                                     efx_tear_down),
  };
  return cmocka_run_group_tests (tests, NULL, NULL);
}
