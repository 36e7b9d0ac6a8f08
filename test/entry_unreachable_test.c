/* Tests of the entry daemon while no connection to an engine can be made.  */
#include "test/entry_fixture.h"

#include "base/clock.h"
#include "net/address.h"

#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Time within which a request that can't be served is refused; its deadline is
   9 s. */
#define REFUSAL_US (1 * CLK_S_US)

/* Requests in a case. */
#define REQUESTS 8

/* Starts every engine again and waits until a stream is served.  Returns false
   if none is.  */
static bool
await_service (struct efx_fixture *fixture)
{
  int64_t end_us = clk_monotonic_us () + EFX_TIMEOUT_US;
  bool served = false;
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      if (!sfl_is_alive (fixture->fleet, i))
        {
          sfl_unlist (fixture->fleet, i);
          sfl_restart (fixture->fleet, i);
        }
    }
  efx_await_ready (fixture);
  while (!served && clk_monotonic_us () < end_us)
    {
      struct efx_call call;
      efx_start_stream (fixture, &call, 24);
      efx_await_call (fixture, &call);
      served = call.complete && call.status == 200;
      efx_clear_call (&call);
    }
  return served;
}

/* Guards against repeating a request at once and without end when no engine
   can be connected to: the last path there is was tried again and again until
   the request's deadline, which kept the daemon busy and the caller waiting.
 */
static void
test_engines_refuse_connections (void **state)
{
  struct efx_fixture *fixture = *state;
  struct efx_call calls[REQUESTS];
  uint32_t late = 0;
  uint32_t wrong = 0;
  for (uint32_t i = 0; i < EFX_ENGINES; i++)
    {
      sfl_kill (fixture->fleet, i);
    }
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      efx_start_stream (fixture, &calls[i], 24);
      efx_run_for (fixture, 50 * CLK_MS_US);
    }
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      efx_await_call (fixture, &calls[i]);
      late += calls[i].took_us > REFUSAL_US;
      wrong += calls[i].status != 503 || !calls[i].has_retry_after;
      efx_clear_call (&calls[i]);
    }
  bool served = await_service (fixture);
  print_message ("%u of %d answered late, %u not as refused\n", late, REQUESTS,
                 wrong);
  assert_int_equal (late, 0);
  assert_int_equal (wrong, 0);
  assert_true (served);
}

/* Returns a socket that is connected to the daemon.  */
static int
connect_caller (const struct efx_fixture *fixture)
{
  struct sockaddr_in address;
  int caller = socket (AF_INET, SOCK_STREAM, 0);
  assert_true (nad_parse (sep_caller_address (fixture->daemon), &address));
  assert_int_equal (
      connect (caller, (struct sockaddr *)&address, sizeof address), 0);
  return caller;
}

/* Guards against ending the daemon by endless recursion when it has no
   descriptor for a connection to an engine.  */
static void
test_no_descriptors (void **state)
{
  struct efx_fixture *fixture = *state;
  int callers[REQUESTS];
  uint32_t answered = 0;
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      callers[i] = connect_caller (fixture);
    }
  efx_run_for (fixture, 100 * CLK_MS_US);
  assert_true (sep_limit_descriptors (fixture->daemon, 3));
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      g_autofree char *id = g_strdup_printf ("starved-%u", i);
      g_autofree char *request = efx_build_request (
          "POST", EFX_FLEET_HOST, "/draft/a", "key-1", id, "");
      assert_int_equal (
          send (callers[i], request, strlen (request), MSG_NOSIGNAL),
          strlen (request));
    }
  efx_run_for (fixture, REFUSAL_US);
  for (uint32_t i = 0; i < REQUESTS; i++)
    {
      char answer[16] = "";
      ssize_t count
          = recv (callers[i], answer, sizeof answer - 1, MSG_DONTWAIT);
      answered += count > 0
                  && (g_str_has_prefix (answer, "HTTP/1.1 503")
                      || g_str_has_prefix (answer, "HTTP/1.1 200"));
      close (callers[i]);
    }
  assert_true (sep_limit_descriptors (fixture->daemon, 1024));
  print_message ("%u of %d answered\n", answered, REQUESTS);
  assert_int_equal (answered, REQUESTS);
  assert_true (await_service (fixture));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (test_engines_refuse_connections),
    cmocka_unit_test (test_no_descriptors),
  };
  return cmocka_run_group_tests (tests, efx_set_up, efx_tear_down);
}
