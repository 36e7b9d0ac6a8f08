#include "soak/daemons.h"

#include "base/clock.h"

#include <signal.h>
#include <sys/wait.h>

/* A process that ended is started again after this time. */
#define RESTART_US (300 * CLK_MS_US)

/* Refusals or silences in a row that take a daemon out of rotation. */
#define MISSES_MAX 2

static void
on_probe_end (struct sdm_daemon *daemon, bool good)
{
  daemon->probe = NULL;
  daemon->misses = good ? 0 : daemon->misses + 1;
  daemon->in_rotation
      = good || (daemon->in_rotation && daemon->misses < MISSES_MAX);
}

static bool
on_headers (void *context, uint32_t status, const struct msg_message *answer)
{
  (void)answer;
  struct sdm_daemon *daemon = context;
  if (status != 200)
    {
      daemon->misses++;
      daemon->in_rotation &= daemon->misses < MISSES_MAX;
    }
  else
    {
      daemon->misses = 0;
      daemon->in_rotation = true;
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
  on_probe_end (context, false);
}

static const struct ncl_events probe_events = {
  .headers = on_headers,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

static void
start (struct sdm_daemon *daemon)
{
  daemon->start_number++;
  daemon->expected_end = false;
  daemon->restart_us = 0;
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
  daemon->to_store = spx_create (params->loop, params->store_address);
  const struct sep_params process = {
    .name = name,
    .folder = params->folder,
    .store_address = spx_address (daemon->to_store),
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
  start (daemon);
}

/* Starts the daemons that PARAMS, which must outlive them, describe.  */
struct sdm_daemons *
sdm_create (const struct sdm_params *params)
{
  const struct ncl_params client = {
    .idle_max_us = CLK_S_US,
    .connect_timeout_us = CLK_S_US,
    .silence_ms = 2000,
    .idle_connections_max = 1,
  };
  struct sdm_daemons *daemons = g_new0 (struct sdm_daemons, 1);
  daemons->params = *params;
  daemons->client = ncl_create (params->loop, &client);
  daemons->list = g_ptr_array_new ();
  daemons->complaints = g_ptr_array_new_with_free_func (g_free);
  for (uint32_t i = 0; i < params->count; i++)
    {
      add_daemon (daemons, i);
    }
  return daemons;
}

/* Kills the daemons and frees what sdm_create made; their files stay only if
   KEEP_FILES.  */
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
      spx_destroy (daemon->to_store);
      g_free (daemon);
    }
  g_ptr_array_free (daemons->list, TRUE);
  g_ptr_array_free (daemons->complaints, TRUE);
  g_free (daemons);
}

/* Returns the daemon INDEX.  */
struct sdm_daemon *
sdm_at (const struct sdm_daemons *daemons, uint32_t index)
{
  return g_ptr_array_index (daemons->list, index);
}

/* Asks each daemon whether it is ready, as the balancer does once a second. */
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
          on_probe_end (daemon, false);
        }
      daemon->probe = ncl_send (
          daemons->client, sep_ready_address (daemon->process), request,
          sizeof request - 1, true, &probe_events, daemon);
    }
}

/* Looks after one daemon's process.  */
static void
watch (struct sdm_daemons *daemons, struct sdm_daemon *daemon, int64_t now_us)
{
  int status = 0;
  if (sep_has_ended (daemon->process, &status))
    {
      bool clean = WIFEXITED (status) && WEXITSTATUS (status) == 0;
      if (!daemon->expected_end)
        {
          g_ptr_array_add (daemons->complaints,
                           g_strdup_printf ("daemon %u ended by itself: %s %d",
                                            daemon->index,
                                            clean ? "exit" : "status",
                                            status));
        }
      daemon->restart_us = now_us + RESTART_US;
    }
  if (daemon->restart_us != 0 && now_us >= daemon->restart_us)
    {
      start (daemon);
    }
  uint64_t memory_kb = sep_memory_kb (daemon->process);
  if (memory_kb > daemons->params.memory_max_kb)
    {
      g_ptr_array_add (daemons->complaints,
                       g_strdup_printf ("daemon %u holds %lu kB",
                                        daemon->index,
                                        (unsigned long)memory_kb));
    }
}

/* Starts processes that have ended again, and notes ends and sizes that nobody
   asked for.  */
void
sdm_watch (struct sdm_daemons *daemons, int64_t now_us)
{
  ncl_expire (daemons->client, now_us);
  for (guint i = 0; i < daemons->list->len; i++)
    {
      watch (daemons, sdm_at (daemons, i), now_us);
    }
}

/* Stops DAEMON as planned; it starts again when it has ended.  */
void
sdm_stop (struct sdm_daemon *daemon)
{
  daemon->expected_end = true;
  sep_signal (daemon->process, SIGTERM);
}

/* Kills DAEMON; it starts again.  */
void
sdm_kill (struct sdm_daemon *daemon)
{
  daemon->expected_end = true;
  daemon->paused = false;
  sep_signal (daemon->process, SIGKILL);
}

/* Pauses DAEMON, or lets it go on.  */
void
sdm_pause (struct sdm_daemon *daemon, bool paused)
{
  daemon->paused = paused;
  sep_signal (daemon->process, paused ? SIGSTOP : SIGCONT);
}

/* Returns the daemon to which the balancer sends a new connection, by the
   random NUMBER: one in rotation, or any if none is.  */
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
  uint32_t left = number % in_rotation;
  for (guint i = 0;; i++)
    {
      struct sdm_daemon *daemon = sdm_at (daemons, i);
      if (daemon->in_rotation && left-- == 0)
        {
          return daemon;
        }
    }
}
