#include "entry/entry.h"

#include "base/clock.h"
#include "base/log.h"
#include "base/memory.h"
#include "entry/fleet_control.h"
#include "entry/traffic.h"
#include "net/turn.h"

#include <signal.h>

/* Interval at which a stop checks whether the last request has ended. */
#define STOP_CHECK_MS 50

/* The load balancer probes once a second and keeps sending new callers until
   two probes have failed, so requests are served for at least this long after
   a stop begins. */
#define STOP_MIN_US (3500 * CLK_MS_US)

/* The process exits this long before the end of the grace period, at which it
   would be killed. */
#define STOP_MARGIN_US (200 * CLK_MS_US)

struct entry
{
  const char *settings_path;
  struct ens_settings *settings;
  uv_loop_t *loop;
  struct fvw_store *views;
  struct vdt_verdicts *verdicts;
  struct qrn_quarantine *quarantine;
  struct nbr_neighbours *neighbours;
  struct trf_traffic *traffic;
  struct fct_control *control;
  struct trn_watch turns;
  uv_signal_t terminate; /* SIGTERM */
  uv_signal_t interrupt; /* SIGINT */
  uv_signal_t reload;    /* SIGHUP */
  uv_timer_t stop_check;
  int64_t stop_requested_us; /* 0: not stopping */
  bool ends;                 /* what was left has had its final answers */
};

/* Ends the main loop when no request is in progress any more, or when the
   grace period is nearly over; those that are left get their final answers.
   The loop goes on until the next check: a caller that is still sending loses
   its answer if the connection is closed before its bytes are read, and
   connections that were accepted meanwhile get an answer too.  */
static void
on_stop_check (uv_timer_t *timer)
{
  struct entry *entry = timer->data;
  int64_t elapsed_us = clk_monotonic_us () - entry->stop_requested_us;
  if (entry->ends)
    {
      trf_end_requests (entry->traffic);
      uv_stop (entry->loop);
      return;
    }
  bool expired = elapsed_us >= entry->settings->stop_us - STOP_MARGIN_US;
  if (expired || (elapsed_us >= STOP_MIN_US && trf_is_idle (entry->traffic)))
    {
      trf_log_in_progress (entry->traffic);
      trf_end_requests (entry->traffic);
      entry->ends = true;
    }
}

/* Begins the graceful shutdown; later signals have no effect.  */
static void
on_terminate (uv_signal_t *handle, int number)
{
  struct entry *entry = handle->data;
  if (entry->stop_requested_us != 0)
    {
      return;
    }
  entry->stop_requested_us = clk_monotonic_us ();
  lg_line (LOG_NOTICE, "stop_requested", "signal=%d", number);
  trf_log_in_progress (entry->traffic);
  trf_stop (entry->traffic);
  fct_leave_group (entry->control);
  uv_timer_start (&entry->stop_check, on_stop_check, STOP_CHECK_MS,
                  STOP_CHECK_MS);
}

/* Reloads the settings and applies their log level; every other setting takes
   effect at a restart only.  */
static void
on_reload (uv_signal_t *handle, int number)
{
  (void)number;
  struct entry *entry = handle->data;
  GString *problems = g_string_new (NULL);
  struct ens_settings *reloaded
      = ens_load (entry->settings_path, problems, NULL);
  if (reloaded == NULL)
    {
      lg_line (LOG_ERR, "reload_refused", "why=\"%s\"",
               g_strdelimit (problems->str, "\"\n", ' '));
    }
  else
    {
      lg_set_level (reloaded->log_level);
      lg_line (LOG_NOTICE, "reloaded", "log_level=%d", reloaded->log_level);
      ens_destroy (reloaded);
    }
  g_string_free (problems, TRUE);
}

static void
start_signal_handlers (struct entry *entry)
{
  uv_signal_init (entry->loop, &entry->terminate);
  uv_signal_init (entry->loop, &entry->interrupt);
  uv_signal_init (entry->loop, &entry->reload);
  uv_timer_init (entry->loop, &entry->stop_check);
  entry->terminate.data = entry;
  entry->interrupt.data = entry;
  entry->reload.data = entry;
  entry->stop_check.data = entry;
  uv_signal_start (&entry->terminate, on_terminate, SIGTERM);
  uv_signal_start (&entry->interrupt, on_terminate, SIGINT);
  uv_signal_start (&entry->reload, on_reload, SIGHUP);
}

/* Runs the daemon until SIGTERM or SIGINT, and then until its last request has
   ended.  SETTINGS, which were read from SETTINGS_PATH, must stay valid
   meanwhile.  Returns false with ERR_SETTINGS or ERR_INTERNAL when the daemon
   can't start.  */
bool
ent_run (const char *settings_path, struct ens_settings *settings,
         GError **error)
{
  struct entry entry = {
    .settings_path = settings_path,
    .settings = settings,
    .loop = uv_default_loop (),
  };
  signal (SIGPIPE, SIG_IGN);
  mem_return_large_blocks ();
  lg_set_level (settings->log_level);
  lg_set_buffered (true);
  rcu_register_thread ();
  start_signal_handlers (&entry);
  entry.views = fvw_store_create ();
  entry.verdicts = vdt_create ();
  entry.quarantine = qrn_create (settings->name, settings->quarantine_us);
  entry.neighbours = nbr_create (settings->caller_address);
  entry.traffic
      = trf_create (entry.loop, settings, entry.views, entry.verdicts,
                    entry.quarantine, entry.neighbours, error);
  if (entry.traffic == NULL)
    {
      return false;
    }
  trn_start (&entry.turns, entry.loop, entry.traffic->metrics->loop_turns);
  entry.control
      = fct_create (settings, entry.views, entry.verdicts, entry.quarantine,
                    entry.neighbours, trf_notify, entry.traffic, error);
  if (entry.control == NULL)
    {
      return false;
    }
  lg_line (LOG_NOTICE, "started", "name=%s data_centre=%s callers=%s store=%s",
           settings->name, settings->data_centre, settings->caller_address,
           settings->store_address);
  lg_flush ();
  uv_run (entry.loop, UV_RUN_DEFAULT);
  fct_destroy (entry.control);
  trf_destroy (entry.traffic);
  vdt_destroy (entry.verdicts);
  qrn_destroy (entry.quarantine);
  nbr_destroy (entry.neighbours);
  lg_line (LOG_NOTICE, "stopped", "name=%s", settings->name);
  lg_flush ();
  rcu_unregister_thread ();
  return true;
}
