#include "test/caller_socket.h"

#include "base/clock.h"
#include "net/address.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/socket.h>

#include <cmocka.h>

/* Returns a socket that is connected to ADDRESS, IP:PORT.  The caller closes
   it.  */
int
csk_connect (const char *address)
{
  struct sockaddr_in peer;
  assert_true (nad_parse (address, &peer));
  int descriptor = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  assert_int_equal (
      connect (descriptor, (struct sockaddr *)&peer, sizeof peer), 0);
  return descriptor;
}

/* Runs LOOP, with the time-outs of SERVER, for DURATION_US.  */
void
csk_run_for (uv_loop_t *loop, struct nsv_server *server, int64_t duration_us)
{
  int64_t end_us = clk_monotonic_us () + duration_us;
  while (clk_monotonic_us () < end_us)
    {
      uv_run (loop, UV_RUN_NOWAIT);
      nsv_expire (server, clk_monotonic_us ());
      g_usleep (1000);
    }
}
