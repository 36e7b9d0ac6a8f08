/* The traffic thread of an entry daemon: takes requests, sends them to
   endpoints and delivers the answers. */
#ifndef ENTRY_TRAFFIC_H
#define ENTRY_TRAFFIC_H

#include "config/entry_settings.h"
#include "core/freshness.h"
#include "entry/entry_metrics.h"
#include "entry/fleet_state.h"
#include "net/client.h"
#include "net/server.h"

struct trf_traffic
{
  uv_loop_t *loop;
  const struct ens_settings *settings;
  struct fvw_store *views;
  struct fst_fleet *fleet;
  struct ncl_client *client; /* to endpoints */
  struct nsv_server *callers;
  struct nsv_server *probes;    /* of the balancer */
  struct nsv_server *observers; /* of the metrics */
  struct cnt_set *counters;
  struct emt_metrics *metrics;
  struct frs_params freshness;
  uv_async_t view_published;
  uv_timer_t sweep;
  int64_t swept_us;
  int64_t stopping_us; /* since then; 0: not stopping */
  bool was_ready;
  double token_us; /* longest that streams lately took for each token they may
                      write at most; 0: none yet */
  double
      first_event_us; /* moving average of the time to streams' first events */
  double call_us;     /* longest that calls of plain services lately took */
  GHashTable *exchanges; /* set of those under way */
  GHashTable *inquiries; /* by engine: questions about stalls */
};

struct trf_traffic *trf_create (uv_loop_t *loop,
                                const struct ens_settings *settings,
                                struct fvw_store *views,
                                struct vdt_verdicts *verdicts, GError **error);
void trf_destroy (struct trf_traffic *traffic);
void trf_notify (void *traffic);
int64_t trf_refresh (struct trf_traffic *traffic);
void trf_stop (struct trf_traffic *traffic);
bool trf_is_idle (const struct trf_traffic *traffic);
void trf_log_in_progress (const struct trf_traffic *traffic);

#endif
