/* The traffic thread of an entry daemon, run in the process of a fuzzer. */
#ifndef FUZZ_FUZZ_DAEMON_H
#define FUZZ_FUZZ_DAEMON_H

#include "fuzz.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/roster.h"
#include "entry/exchange.h"
#include "entry/verdicts.h"
#include "net/address.h"
#include "platform/configuration.h"
#include "platform/headers.h"

#include <string.h>
#include <unistd.h>

/* A time that isn't reached. */
#define FZ_FAR_US (INT64_MAX / 8)

struct fz_daemon
{
  uv_loop_t loop;
  struct ens_settings settings;
  struct fvw_store *views;
  struct trf_traffic *traffic; /* NULL: not started */
  struct sockaddr_in address;  /* of callers */
};

/* Starts DAEMON.  It has no configuration.  */
static inline void
fz_start_daemon (struct fz_daemon *daemon)
{
  static char address[] = "127.0.0.1:0";
  static char name[] = "d";
  daemon->settings = (struct ens_settings){
    .name = name,
    .data_centre = name,
    .caller_address = address,
    .ready_address = address,
    .metrics_address = address,
    .descriptors = 1024,
    .memory_mb = 200,
    .stop_us = FZ_FAR_US,
    .retry_window_us = CLK_S_US,
    .retry_ratio = 1,
    .retry_slack = 1e9,
    .quarantine_us = CLK_S_US,
  };
  lg_set_level (LOG_EMERG);
  rcu_register_thread ();
  uv_loop_init (&daemon->loop);
  daemon->views = fvw_store_create ();
  daemon->traffic = trf_create (
      &daemon->loop, &daemon->settings, daemon->views, vdt_create (),
      qrn_create (name, CLK_S_US), nbr_create (address), NULL);
  daemon->traffic->started_us = 0; /* long ago: no request is held */
  g_autofree char *callers = nsv_address (daemon->traffic->caller_server);
  if (!nad_parse (callers, &daemon->address))
    {
      fz_fail ("the daemon has no address");
    }
}

/* Puts CONFIGURATION into force in DAEMON, with COUNT endpoints of the service
   `one' at ADDRESSES.  INCARNATION tells them from earlier ones.  */
static inline void
fz_configure (struct fz_daemon *daemon, const char *configuration,
              char *const addresses[], uint32_t count, uint64_t incarnation)
{
  struct flt_config *config
      = pfc_decode (configuration, strlen (configuration), NULL);
  if (config == NULL)
    {
      fz_fail ("the configuration is refused");
    }
  GPtrArray *list
      = g_ptr_array_new_with_free_func ((GDestroyNotify)rst_endpoint_destroy);
  for (uint32_t i = 0; i < count; i++)
    {
      struct rst_endpoint *endpoint = g_new0 (struct rst_endpoint, 1);
      endpoint->id
          = g_strdup_printf ("e%u-%" G_GUINT64_FORMAT, i, incarnation);
      endpoint->service = g_strdup ("one");
      endpoint->address = g_strdup (addresses[i]);
      endpoint->data_centre = g_strdup ("d");
      endpoint->slots = 8;
      endpoint->started_ms = (int64_t)incarnation;
      g_ptr_array_add (list, endpoint);
    }
  fvw_publish (daemon->views, fvw_view_create (config, list, 1, 1));
  fvw_set_proved (daemon->views, clk_monotonic_us ());
  flt_release (config);
}

/* Returns a connection to the callers' address of DAEMON; -1: all ports wait
   for late bytes.  */
static inline int
fz_connect (const struct fz_daemon *daemon)
{
  int caller = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (connect (caller, (const struct sockaddr *)&daemon->address,
               sizeof daemon->address)
      == 0)
    {
      return caller;
    }
  if (errno != EADDRNOTAVAIL)
    {
      fz_fail ("the caller can't connect");
    }
  close (caller);
  return -1;
}

/* Closes SOCKET with a reset, so that its port can be used again at once.  */
static inline void
fz_reset (int socket)
{
  const struct linger reset = { .l_onoff = 1 };
  setsockopt (socket, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (socket);
}

/* Lets DAEMON run until its callers' connections are closed, which takes at
   most TURNS_MAX turns, and checks that it keeps no request.  */
static inline void
fz_check_idle (struct fz_daemon *daemon, uint32_t turns_max)
{
  struct trf_traffic *traffic = daemon->traffic;
  for (uint32_t turn = 0;
       nsv_connection_count (traffic->caller_server) > 0 && turn < turns_max;
       turn++)
    {
      uv_run (&daemon->loop, UV_RUN_NOWAIT);
    }
  if (nsv_connection_count (traffic->caller_server) > 0
      || g_hash_table_size (traffic->exchanges) > 0)
    {
      fz_fail ("the daemon keeps a request whose caller has gone");
    }
}

#endif
