#include "soak/daemons.h"

#include "base/clock.h"

#include <signal.h>
#include <sys/wait.h>

/* Delay before a process that has ended is started again. */
#define RESTART_DELAY_US (300 * CLK_MS_US)

/* Failed probes in a row that take a daemon out of rotation. */
#define FAILED_PROBES_MAX 2

static void
finish_probe (struct sdm_daemon *daemon, bool good)
{
  daemon->probe = NULL;
  daemon->failed_probes = good ? 0 : daemon->failed_probes + 1;
  daemon->in_rotation
      = good
        || (daemon->in_rotation && daemon->failed_probes < FAILED_PROBES_MAX);
}

static bool
on_headers (void *context, uint32_t status, const struct msg_message *answer)
{
  (void)answer;
  struct sdm_daemon *daemon = context;
  if (status != 200)
    {
      daemon->failed_probes++;
      daemon->in_rotation &= daemon->failed_probes < FAILED_PROBES_MAX;
    }
  else
    {
      daemon->failed_probes = 0;
      daemon->in_rotation = true;
      daemon->has_been_ready = true;
    }
  return true;
}

static void
on_body (void *context, const char *bytes, size_t count)
{
  (void)context;
  (void)bytes;
  (void)count;
}

static void
on_complete (void *context)
{
  struct sdm_daemon *daemon = context;
  daemon->probe = NULL;
}

static void
on_failed (void *context, enum ncl_failure failure)
{
  (void)failure;
  finish_probe (context, false);
}

static const struct ncl_events probe_events = {
  .headers = on_headers,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

static void
start_process (struct sdm_daemon *daemon)
{
  daemon->start_number++;
  daemon->started_us = clk_monotonic_us ();
  daemon->stop_requested = false;
  daemon->killed = false;
  daemon->has_been_ready = false;
  daemon->restart_at_us = 0;
  srd_begin_process (daemon->daemons->params.record, daemon->index,
                     daemon->start_number, daemon->started_us);
  sep_start (daemon->process);
}

static void
add_daemon (struct sdm_daemons *daemons, uint32_t index)
{
  const struct sdm_params *params = &daemons->params;
  const struct sjd_bounds *bounds = params->bounds;
  struct sdm_daemon *daemon = g_new0 (struct sdm_daemon, 1);
  g_autofree char *name = g_strdup_printf ("entry-%u", index);
  daemon->daemons = daemons;
  daemon->index = index;
  daemon->store_proxy = spx_create (params->loop, params->store_address);
  const struct sep_params process = {
    .name = name,
    .folder = params->folder,
    .store_address = spx_address (daemon->store_proxy),
    .drain_ms = (uint32_t)(bounds->drain_us / CLK_MS_US),
    .config_ms = (uint32_t)(bounds->config_us / CLK_MS_US),
    .revoke_ms = (uint32_t)(bounds->revoke_us / CLK_MS_US),
    .stop_s = params->stop_s,
    .retry_window_s = (uint32_t)(bounds->retry_window_us / CLK_S_US),
    .retry_ratio = bounds->retry_ratio,
    .retry_slack = (uint32_t)bounds->retry_slack,
  };
  daemon->process = sep_create (&process);
  g_ptr_array_add (daemons->list, daemon);
  start_process (daemon);
}

/* Starts the daemons that PARAMS describe.  What PARAMS point to must outlive
   the result, which sdm_destroy frees.  */
struct sdm_daemons *
sdm_create (const struct sdm_params *params)
{
  const struct ncl_params client = {
    .idle_max_us = CLK_S_US,
    .connect_timeout_us = CLK_S_US,
    .user_timeout_ms = 2000,
    .idle_connections_max = 1,
  };
  struct sdm_daemons *daemons = g_new0 (struct sdm_daemons, 1);
  daemons->params = *params;
  daemons->client = ncl_create (params->loop, &client);
  daemons->list = g_ptr_array_new ();
  daemons->violations = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < params->count; i++)
    {
      add_daemon (daemons, i);
    }
  return daemons;
}

/* Kills the processes of DAEMONS and frees DAEMONS.  Removes the processes'
   settings and logs unless KEEP_FILES.  */
void
sdm_destroy (struct sdm_daemons *daemons, bool keep_files)
{
  ncl_destroy (daemons->client);
  for (guint i = 0; i < daemons->list->len; i++)
    {
      struct sdm_daemon *daemon = g_ptr_array_index (daemons->list, i);
      if (!keep_files)
        {
          sep_remove_files (daemon->process);
        }
      sep_destroy (daemon->process);
      spx_destroy (daemon->store_proxy);
      g_free (daemon);
    }
  g_ptr_array_free (daemons->list, TRUE);
  g_ptr_array_free (daemons->violations, TRUE);
  g_free (daemons);
}

/* Returns the daemon with INDEX, which must exist.  */
struct sdm_daemon *
sdm_at (const struct sdm_daemons *daemons, uint32_t index)
{
  return g_ptr_array_index (daemons->list, index);
}

/* Sends a readiness probe to each daemon, as the load balancer does once a
   second.  A probe still in flight counts as failed.  */
void
sdm_probe (struct sdm_daemons *daemons)
{
  static const char request[]
      = "GET /api/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  for (guint i = 0; i < daemons->list->len; i++)
    {
      struct sdm_daemon *daemon = sdm_at (daemons, i);
      if (daemon->probe != NULL)
        {
          ncl_cancel (daemon->probe);
          finish_probe (daemon, false);
        }
      daemon->probe = ncl_send (
          daemons->client, sep_ready_address (daemon->process), request,
          sizeof request - 1, true, &probe_events, daemon);
    }
}

/* Returns whether the process of DAEMON may have ended with STATUS.  A process
   that is told to stop before it handles signals is ended by that one.  */
static bool
is_expected_end (const struct sdm_daemon *daemon, int status)
{
  bool clean = WIFEXITED (status) && WEXITSTATUS (status) == 0;
  bool early = !daemon->has_been_ready && WIFSIGNALED (status)
               && WTERMSIG (status) == SIGTERM;
  return daemon->killed || (daemon->stop_requested && (clean || early));
}

/* Checks one daemon's process for its end and its memory, and restarts it when
   the restart is due.  */
static void
check_process (struct sdm_daemons *daemons, struct sdm_daemon *daemon,
               int64_t now_us)
{
  int status = 0;
  if (sep_has_ended (daemon->process, &status))
    {
      if (!is_expected_end (daemon, status))
        {
          g_ptr_array_add (
              daemons->violations,
              g_strdup_printf ("daemon %u exited unexpectedly: status %d%s",
                               daemon->index, status,
                               daemon->stop_requested ? " after a request to "
                                                        "stop"
                                                      : ""));
        }
      srd_end_process (daemons->params.record, daemon->index, now_us);
      daemon->restart_at_us = now_us + RESTART_DELAY_US;
    }
  if (daemon->restart_at_us != 0 && now_us >= daemon->restart_at_us)
    {
      start_process (daemon);
    }
  uint64_t memory_kb = sep_memory_kb (daemon->process);
  if (memory_kb > daemons->params.memory_max_kb)
    {
      g_ptr_array_add (
          daemons->violations,
          g_strdup_printf ("daemon %u uses %lu kB, above the memory limit",
                           daemon->index, (unsigned long)memory_kb));
    }
}

/* Restarts processes that have ended, and records a violation for each
   unexpected exit and each process above the memory limit.  Call this often:
   it also expires probes.  */
void
sdm_check_processes (struct sdm_daemons *daemons, int64_t now_us)
{
  ncl_expire (daemons->client, now_us);
  for (guint i = 0; i < daemons->list->len; i++)
    {
      check_process (daemons, sdm_at (daemons, i), now_us);
    }
}

/* Asks DAEMON to stop (SIGTERM).  The process is restarted after its end.  */
void
sdm_stop (struct sdm_daemon *daemon)
{
  daemon->stop_requested = true;
  srd_end_process (daemon->daemons->params.record, daemon->index,
                   clk_monotonic_us ());
  sep_signal (daemon->process, SIGTERM);
}

/* Kills DAEMON (SIGKILL).  The process is restarted after its end.  */
void
sdm_kill (struct sdm_daemon *daemon)
{
  daemon->killed = true;
  daemon->paused = false;
  srd_end_process (daemon->daemons->params.record, daemon->index,
                   clk_monotonic_us ());
  sep_signal (daemon->process, SIGKILL);
}

/* Stops the process of DAEMON (SIGSTOP) if PAUSED, else continues it
   (SIGCONT).  */
void
sdm_pause (struct sdm_daemon *daemon, bool paused)
{
  daemon->paused = paused;
  sep_signal (daemon->process, paused ? SIGSTOP : SIGCONT);
}

/* Returns the daemon to which the load balancer sends a new connection: one in
   rotation, or any if none is, picked by the random NUMBER.  */
struct sdm_daemon *
sdm_choose (const struct sdm_daemons *daemons, uint32_t number)
{
  uint32_t in_rotation = 0;
  for (guint i = 0; i < daemons->list->len; i++)
    {
      in_rotation += sdm_at (daemons, i)->in_rotation;
    }
  if (in_rotation == 0)
    {
      return sdm_at (daemons, number % MAX (daemons->list->len, 1));
    }
  uint32_t skip = number % in_rotation;
  for (guint i = 0;; i++)
    {
      struct sdm_daemon *daemon = sdm_at (daemons, i);
      if (daemon->in_rotation && skip-- == 0)
        {
          return daemon;
        }
    }
}
