/* The traffic thread of an entry daemon: accepts callers' requests, forwards
   them to endpoints and delivers the answers.  It also serves the load
   balancer's probes and the metrics. */
#ifndef ENTRY_TRAFFIC_H
#define ENTRY_TRAFFIC_H

#include "config/entry_settings.h"
#include "core/call_time.h"
#include "core/cost.h"
#include "core/freshness.h"
#include "core/stopping.h"
#include "entry/entry_metrics.h"
#include "entry/fleet_state.h"
#include "entry/neighbours.h"
#include "entry/quarantine.h"
#include "net/body_budget.h"
#include "net/client.h"
#include "net/server.h"

/* What the traffic thread calls for a caller's request in progress, see struct
   nsv_events.  */
struct trf_request_events
{
  void (*disconnected) (void *request);
  void (*drained) (void *request);
};

/* State of the traffic thread.  Other threads may call trf_notify only. */
struct trf_traffic
{
  uv_loop_t *loop;
  const struct ens_settings *settings;
  struct fvw_store *views;
  struct fst_fleet *fleet;
  struct qrn_quarantine *quarantine;
  struct psg_passing *passing;
  struct lex_exchange *load; /* of the other daemons */
  struct ncl_client *client; /* connections to endpoints */
  struct nsv_server *caller_server;
  struct nsv_server *probe_server; /* readiness probes of the load balancer */
  struct nsv_server *metrics_server;
  struct cnt_set *series; /* all metrics */
  struct emt_metrics *metrics;
  struct frs_params freshness;
  uv_async_t view_changed; /* sent by trf_notify */
  uv_timer_t sweep;        /* for time-outs and the log */
  int64_t last_sweep_us;   /* monotonic */
  int64_t started_us;      /* monotonic */
  int64_t stopping_us; /* monotonic, when the stop began; 0: not stopping */
  bool ends;           /* the loop ends after its next turns */
  bool ready_logged;
  GHashTable *run_times; /* route and service to struct spn_history, of
                            ended requests; see exg_history */
  double first_event_us; /* moving average of the time from an attempt's start
                            to the first event; 0: none yet */
  struct cos_costs *costs;      /* expected lengths of answers */
  struct clt_times *call_times; /* expected times of plain calls */
  struct bbg_budget *budget;    /* of the memory for connections */
  struct bbg_account answers;   /* buffered ones, on the budget */
  size_t buffered_bytes; /* of memory, for answers that are delivered whole */
  struct fwt_refusals refusals; /* for want of room */
  GHashTable *exchanges;        /* set of struct exchange in progress */
  GHashTable *held;             /* set of held requests, see held_request.h */
  GHashTable *inquiries;        /* engine to its stall inquiry */
  GHashTable *probes;           /* endpoint to its probe, see probing.h */
};

struct trf_traffic *
trf_create (uv_loop_t *loop, const struct ens_settings *settings,
            struct fvw_store *views, struct vdt_verdicts *verdicts,
            struct qrn_quarantine *quarantine,
            struct nbr_neighbours *neighbours, GError **error);
void trf_destroy (struct trf_traffic *traffic);
void trf_notify (void *traffic);
int64_t trf_refresh (struct trf_traffic *traffic);
void trf_stop (struct trf_traffic *traffic);
void trf_end_requests (struct trf_traffic *traffic);
bool trf_is_idle (const struct trf_traffic *traffic);
void trf_log_in_progress (const struct trf_traffic *traffic);

#endif
