#include "entry/held_request.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/start_wait.h"
#include "entry/exchange.h"
#include "entry/request_id.h"
#include "net/turn.h"
#include "platform/headers.h"

/* A request that is held.  Its message is the connection's. */
struct held
{
  const struct trf_request_events *request_events; /* first: see traffic.c */
  struct trf_traffic *traffic;
  struct nsv_connection *caller;
  const struct msg_message *request;
  const char *method;
  int64_t arrived_us; /* monotonic */
  uv_timer_t timer;   /* ends the wait */
};

/* Returns an empty table of held requests; it must be empty again when it is
   destroyed.  */
GHashTable *
hrq_table_create (void)
{
  return g_hash_table_new (NULL, NULL);
}

static void
free_held (uv_handle_t *timer)
{
  g_free (timer->data);
}

static void
remove_held (struct held *held)
{
  g_hash_table_remove (held->traffic->held, held);
  uv_close ((uv_handle_t *)&held->timer, free_held);
}

/* Ends the wait of HELD: the request is served or refused.  */
static void
release (struct held *held)
{
  char log_id[RQI_LOG_BYTES];
  rqi_format_for_log (rqi_find (held->request), log_id);
  lg_line (LOG_INFO, "request_released", "request=%s held_ms=%ld", log_id,
           (long)((clk_monotonic_us () - held->arrived_us) / CLK_MS_US));
  nsv_set_request_context (held->caller, NULL);
  remove_held (held);
  exg_serve (held->traffic, held->caller, held->request, held->method,
             held->arrived_us);
}

static void
on_timer (uv_timer_t *timer)
{
  trn_enter ("held_request");
  release (timer->data);
}

static void
on_disconnected (void *request)
{
  struct held *held = request;
  cnt_add (held->traffic->metrics->callers_disconnected, 1);
  remove_held (held);
}

/* Nothing is sent to the caller meanwhile.  */
static void
on_drained (void *request)
{
  (void)request;
}

static const struct trf_request_events events = {
  .disconnected = on_disconnected,
  .drained = on_drained,
};

/* Returns whether TRAFFIC knows what it needs to serve requests.  */
static bool
can_serve (struct trf_traffic *traffic, int64_t now_us)
{
  int64_t proved_us = trf_refresh (traffic);
  return fst_can_serve (traffic->fleet)
         && frs_may_serve_keys (&traffic->freshness, proved_us, now_us);
}

/* Returns for how long HELD goes on waiting.  */
static int64_t
remaining_wait_us (const struct held *held)
{
  struct trf_traffic *traffic = held->traffic;
  int64_t now_us = clk_monotonic_us ();
  bool ends = traffic->ends || can_serve (traffic, now_us);
  const struct stw_request request = {
    .arrived_us = held->arrived_us,
    .left_us = exg_time_left_us (fst_config (traffic->fleet), held->request),
    .passed_on = msg_find (held->request, PFH_PASSED_ON) != NULL,
  };
  return ends ? 0 : stw_wait_us (&request, traffic->started_us, now_us);
}

/* Makes HELD wait for WAIT_US.  */
static void
wait_for (struct held *held, int64_t wait_us)
{
  uv_timer_start (&held->timer, on_timer,
                  (uint64_t)((wait_us + CLK_MS_US - 1) / CLK_MS_US), 0);
}

/* Holds REQUEST of CALLER, which arrives at NOW_US, if it is to wait for the
   daemon's start.  Returns whether it is held.  */
bool
hrq_hold (struct trf_traffic *traffic, struct nsv_connection *caller,
          const struct msg_message *request, const char *method,
          int64_t now_us)
{
  const struct held arrived = {
    .request_events = &events,
    .traffic = traffic,
    .caller = caller,
    .request = request,
    .method = method,
    .arrived_us = now_us,
  };
  int64_t wait_us = remaining_wait_us (&arrived);
  if (wait_us <= 0)
    {
      return false;
    }
  struct held *held = g_memdup2 (&arrived, sizeof arrived);
  uv_timer_init (traffic->loop, &held->timer);
  held->timer.data = held;
  wait_for (held, wait_us);
  g_hash_table_add (traffic->held, held);
  nsv_set_request_context (caller, held);
  cnt_add (traffic->metrics->held, 1);
  return true;
}

/* Ends the wait of those held requests that have waited long enough, by what
   the daemon knows now.  Call this when that has changed.  */
void
hrq_update (struct trf_traffic *traffic)
{
  g_autofree gpointer *all
      = g_hash_table_get_keys_as_array (traffic->held, NULL);
  for (size_t i = 0; all[i] != NULL; i++)
    {
      /* Its caller may have gone while another one was released. */
      if (!g_hash_table_contains (traffic->held, all[i]))
        {
          continue;
        }
      int64_t wait_us = remaining_wait_us (all[i]);
      if (wait_us > 0)
        {
          wait_for (all[i], wait_us);
        }
      else
        {
          release (all[i]);
        }
    }
}
