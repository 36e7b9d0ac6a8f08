/* Tests of the entry daemon: invalid answers that aren't evidence of a
   crash. */
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "platform/headers.h"

#include <string.h>

#define STREAMS 24

/* Invalid answers of a case: streams that are repeated get one again. */
#define FAULTS (STREAMS * 5)

/* Time in which evidence leads to a quarantine. */
#define SETTLE_US (1500 * CLK_MS_US)

/* Sends a stream with the shared part PART, and a last part of its own.  */
static void
start_stream (struct efx_fixture *fixture, struct efx_call *call,
              const char *part)
{
  g_autofree char *request = g_strdup_printf (
      "POST /draft/a HTTP/1.1\r\nHost: " EFX_FLEET_HOST
      "\r\nX-Api-Key: key-1\r\nX-Own: 1\r\n" PFH_REQUEST_ID
      ": sound-%u\r\n" PFH_TIME_LEFT_MS ": 5000\r\n" PFH_TOKENS
      ": 40,24\r\n" PFH_PROMPT_PARTS ": %s:20,f%07x:9\r\n"
      "Content-Length: 0\r\n\r\n",
      fixture->next_id, part, fixture->next_id);
  fixture->next_id++;
  efx_start_call (fixture, call, sep_caller_address (fixture->daemon), request,
                  strlen (request));
}

/* Sends STREAMS streams with PART at a time.  Returns how many are served.  */
static uint32_t
count_served (struct efx_fixture *fixture, const char *part)
{
  struct efx_call calls[STREAMS];
  uint32_t served = 0;
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      start_stream (fixture, &calls[i], part);
    }
  for (uint32_t i = 0; i < STREAMS; i++)
    {
      efx_await_call (fixture, &calls[i]);
      served += calls[i].complete && calls[i].status == 200;
      efx_clear_call (&calls[i]);
    }
  return served;
}

/* Guards against a quarantine of sound requests: streams that ended in order
   with an invalid body counted as cut off by crashes of their engines, and all
   requests with the same part were refused for minutes.  */
static void
test_invalid_bodies_in_order (void **state)
{
  static const struct
  {
    const char *name;
    enum sfl_fault fault;
    const char *part;
  } cases[] = {
    { "no events", SFL_NO_EVENTS, "a1" },
    { "the text of an error", SFL_ERROR_TEXT, "b2" },
  };
  struct efx_fixture *fixture = *state;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      assert_int_equal (count_served (fixture, "e5"), STREAMS);
      sfl_set_fault (fixture->fleet, true, cases[i].fault, FAULTS);
      count_served (fixture, cases[i].part);
      sfl_set_fault (fixture->fleet, true, SFL_NO_FAULT, 0);
      efx_run_for (fixture, SETTLE_US);
      uint32_t served = count_served (fixture, cases[i].part);
      if (served != STREAMS)
        {
          fail_msg ("%s: %u of %d served afterwards", cases[i].name, served,
                    STREAMS);
        }
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_invalid_bodies_in_order),
  };
  return cmocka_run_group_tests (tests, efx_set_up_large, efx_tear_down);
}
