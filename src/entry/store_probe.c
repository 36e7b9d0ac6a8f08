#include "entry/store_probe.h"

#include "base/clock.h"
#include "base/http.h"
#include "base/log.h"
#include "net/call.h"
#include "platform/store.h"

/* Limit on the probes without an answer. */
#define PROBES_MAX 4

/* A probe that waits for its answer. */
struct attempt
{
  struct spr_probe *probe;
  struct cal_call *call;  /* NULL: not in use */
  int64_t sent_us;        /* monotonic */
  int64_t call_before_us; /* newest call before it */
};

struct spr_probe
{
  struct spr_params params;
  char *address;
  uv_timer_t timer;
  struct attempt attempts[PROBES_MAX];
  uint64_t offset;   /* that is read from */
  int64_t newest_us; /* newest call or probe that has shown nothing of the
                        store's return, monotonic; 0: none */
  bool running;
};

/* Cancels all probes that wait for answers.  */
static void
cancel_attempts (struct spr_probe *probe)
{
  for (uint32_t i = 0; i < PROBES_MAX; i++)
    {
      if (probe->attempts[i].call != NULL)
        {
          cal_cancel (probe->attempts[i].call);
          probe->attempts[i].call = NULL;
        }
    }
}

/* Handles the answer to a probe.  A store that turns the daemon away, as with
   status 503 or 429, isn't back for it.  */
static void
on_answer (void *context, uint32_t status, const uint8_t *body,
           size_t body_bytes, const char *why)
{
  (void)body;
  (void)body_bytes;
  (void)why;
  struct attempt *attempt = context;
  struct spr_probe *probe = attempt->probe;
  attempt->call = NULL;
  if (status != HTTP_STATUS_OK && status != HTTP_STATUS_GONE)
    {
      return;
    }
  int64_t now_us = clk_monotonic_us ();
  probe->newest_us = attempt->call_before_us;
  lg_line (LOG_INFO, "store_probe_answered",
           "topic=%s status=%u took_ms=%ld unanswered_ms_ago=%ld",
           probe->params.topic, status,
           (long)((now_us - attempt->sent_us) / CLK_MS_US),
           (long)((now_us - probe->newest_us) / CLK_MS_US));
  spr_stop (probe);
  probe->params.answered (probe->params.context);
}

/* Sends a probe unless too many wait for their answers.  */
static void
send_probe (struct spr_probe *probe)
{
  struct attempt *attempt = NULL;
  for (uint32_t i = 0; i < PROBES_MAX && attempt == NULL; i++)
    {
      attempt = probe->attempts[i].call == NULL ? &probe->attempts[i] : NULL;
    }
  if (attempt == NULL)
    {
      return;
    }
  g_autofree char *path = pfs_probe_path (probe->params.topic, probe->offset);
  const struct cal_params params = {
    .client = probe->params.client,
    .loop = probe->params.loop,
    .address = probe->address,
    .method = "GET",
    .path = path,
    .timeout_ms = probe->params.timeout_ms,
    .done = on_answer,
    .context = attempt,
  };
  attempt->sent_us = clk_monotonic_us ();
  attempt->call_before_us = probe->newest_us;
  probe->newest_us = attempt->sent_us;
  attempt->call = cal_send (&params);
}

/* Sends a probe an interval after the newest call or probe, and starts the
   timer for the next one.  */
static void
on_timer (uv_timer_t *timer)
{
  struct spr_probe *probe = timer->data;
  int64_t left_us
      = probe->newest_us + probe->params.interval_us - clk_monotonic_us ();
  if (left_us <= 0)
    {
      send_probe (probe);
      left_us = probe->params.interval_us;
    }
  uv_timer_start (timer, on_timer, (uint64_t)(left_us / CLK_MS_US) + 1, 0);
}

/* Creates a probe that isn't running yet.  */
struct spr_probe *
spr_create (const struct spr_params *params)
{
  struct spr_probe *probe = g_new0 (struct spr_probe, 1);
  probe->params = *params;
  probe->address = g_strdup (params->address);
  uv_timer_init (params->loop, &probe->timer);
  probe->timer.data = probe;
  for (uint32_t i = 0; i < PROBES_MAX; i++)
    {
      probe->attempts[i].probe = probe;
    }
  return probe;
}

/* Records a call of the store, sent at SENT_US: the next probe follows an
   interval later.  Returns when the newest call or probe before it was sent
   that has shown nothing of the store's return; 0: there was none.  */
int64_t
spr_add_call (struct spr_probe *probe, int64_t sent_us)
{
  int64_t before_us = probe->newest_us;
  probe->newest_us = sent_us;
  return before_us;
}

/* Starts to probe the store, by reads from OFFSET on, since a call has failed
   and nothing has shown since that the store is back.  */
void
spr_start (struct spr_probe *probe, uint64_t offset)
{
  probe->offset = offset;
  if (probe->params.interval_us > 0 && !probe->running)
    {
      probe->running = true;
      uv_timer_start (&probe->timer, on_timer, 0, 0);
    }
}

/* Stops probing.  */
void
spr_stop (struct spr_probe *probe)
{
  probe->running = false;
  uv_timer_stop (&probe->timer);
  cancel_attempts (probe);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  struct spr_probe *probe = handle->data;
  g_free (probe->address);
  g_free (probe);
}

/* Frees PROBE; the loop must run once more afterwards.  */
void
spr_destroy (struct spr_probe *probe)
{
  spr_stop (probe);
  uv_close ((uv_handle_t *)&probe->timer, on_timer_closed);
}
