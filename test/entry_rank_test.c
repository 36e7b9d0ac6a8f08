/* Tests of the entry daemon: the priority that engines get with requests. */
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "platform/headers.h"

#include <string.h>

/* Sends a stream with the API key KEY that resumes after the event LAST_EVENT,
   unless that is NULL, and waits for its end.  */
static void
send_stream (struct efx_fixture *fixture, const char *key,
             const char *last_event)
{
  struct efx_call call;
  g_autofree char *resumes
      = last_event == NULL
            ? g_strdup ("")
            : g_strdup_printf (PFH_LAST_EVENT_ID ": %s\r\n", last_event);
  g_autofree char *request = g_strdup_printf (
      "POST /draft/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST
      "\r\nX-Api-Key: %s\r\nX-Own: 1\r\n" PFH_REQUEST_ID
      ": rank-%u\r\n" PFH_TIME_LEFT_MS ": 9000\r\n" PFH_ENGINE_PRIORITY
      ": 0\r\n" PFH_TOKENS ": 40,60\r\n%sContent-Length: 0\r\n\r\n",
      key, fixture->next_id++, resumes);
  efx_start_call (fixture, &call, sep_caller_address (fixture->daemon),
                  request, strlen (request));
  efx_await_call (fixture, &call);
  assert_int_equal (call.status, 200);
  efx_clear_call (&call);
}

/* Engines get the rank of each request once the configuration has several, and
   none while it has one, whatever the caller states.  Guards against engines
   that admit an unimportant stream first, and against callers that put
   themselves first.  */
static void
test_rank_reaches_engine (void **state)
{
  struct efx_fixture *fixture = *state;
  static const struct
  {
    bool ranked;
    const char *key;
    const char *last_event;
    const char *priority;
  } cases[] = {
    { false, "key-1", NULL, "" },      { false, "key-1", "3", "" },
    { true, "key-1", NULL, "1" },      { true, "key-1", "3", "0" },
    { true, "key-ranked", NULL, "3" }, { true, "key-ranked", "3", "2" },
  };
  bool ranked = false;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      if (cases[i].ranked && !ranked)
        {
          ranked = true;
          sfl_publish_ranked (fixture->fleet, 5);
          efx_run_for (fixture, EFX_CONFIG_MS * CLK_MS_US);
        }
      send_stream (fixture, cases[i].key, cases[i].last_event);
      assert_string_equal (sfl_engine_priority (fixture->fleet),
                           cases[i].priority);
    }
  if (sfl_violation (fixture->fleet) != NULL)
    {
      fail_msg ("%s", sfl_violation (fixture->fleet));
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_rank_reaches_engine),
  };
  return cmocka_run_group_tests (tests, efx_set_up, efx_tear_down);
}
