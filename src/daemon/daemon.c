#include "daemon/daemon.h"

#include "base/log.h"
#include "caller/caller.h"
#include "daemon/backend.h"
#include "daemon/operator_backend.h"
#include "operator/operator.h"

#include <curl/curl.h>

#define CALLER_BODY_BYTES_MAX (1024 * 1024)

struct dmn_daemon
{
  struct cnt_set *counters;
  struct met_metrics *metrics;
  struct vw_store *views;
  struct can_canceller *canceller;
  struct gt_gate *gate;
  struct ctl_control *control;
  struct bk_backend backend;
  struct cal_server *callers;
  struct opr_server *operators;
};

/* Starts the HTTP servers for callers and operators.  Errors: ERR_SETTINGS
   when an address cannot be listened on.  */
static bool
start_servers (struct dmn_daemon *daemon, const struct set_settings *settings,
               GError **error)
{
  struct cal_params callers = {
    .address = settings->caller_address,
    .threads = settings->traffic_threads,
    .timeout_ms = settings->caller_timeout_ms,
    .body_bytes_max = CALLER_BODY_BYTES_MAX,
    .memory_mb = settings->memory_mb,
    .counters = daemon->counters,
    .backend = &bk_caller_backend,
    .user_data = &daemon->backend,
  };
  struct opr_params operators = {
    .address = settings->operator_address,
    .token = settings->operator_token,
    .counters = daemon->counters,
    .backend = &bk_operator_backend,
    .user_data = daemon->control,
  };
  daemon->callers = cal_server_create (&callers, error);
  if (daemon->callers == NULL)
    {
      return false;
    }
  daemon->operators = opr_server_create (&operators, error);
  return daemon->operators != NULL;
}

/* Creates the daemon and starts its threads and servers.  SETTINGS must
   outlive the daemon.  Returns NULL on errors: ERR_SETTINGS when an address
   cannot be listened on.  */
struct dmn_daemon *
dmn_create (const struct set_settings *settings, GError **error)
{
  struct dmn_daemon *daemon = g_new0 (struct dmn_daemon, 1);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  daemon->counters = cnt_set_create ();
  daemon->metrics = met_create (daemon->counters);
  daemon->views = vw_store_create ();
  daemon->canceller = can_create ();
  daemon->gate = gt_create (settings->traffic_threads);
  struct ctl_params control = {
    .settings = settings,
    .views = daemon->views,
    .gate = daemon->gate,
    .metrics = daemon->metrics,
  };
  daemon->control = ctl_create (&control, error);
  if (daemon->control != NULL)
    {
      daemon->backend = (struct bk_backend){
        .control = daemon->control,
        .views = daemon->views,
        .canceller = daemon->canceller,
        .gate = daemon->gate,
        .metrics = daemon->metrics,
      };
    }
  if (daemon->control == NULL || !start_servers (daemon, settings, error))
    {
      dmn_destroy (daemon);
      return NULL;
    }
  return daemon;
}

/* Stops the servers and threads and frees DAEMON, which may be NULL.  */
void
dmn_destroy (struct dmn_daemon *daemon)
{
  if (daemon == NULL)
    {
      return;
    }
  opr_server_destroy (daemon->operators);
  cal_server_destroy (daemon->callers);
  can_destroy (daemon->canceller);
  ctl_destroy (daemon->control);
  gt_destroy (daemon->gate);
  vw_store_destroy (daemon->views);
  met_destroy (daemon->metrics);
  cnt_set_destroy (daemon->counters);
  g_free (daemon);
}

/* Returns the TCP port of the server for callers.  */
uint16_t
dmn_caller_port (const struct dmn_daemon *daemon)
{
  return cal_server_port (daemon->callers);
}

/* Returns the TCP port of the server for operators.  */
uint16_t
dmn_operator_port (const struct dmn_daemon *daemon)
{
  return opr_server_port (daemon->operators);
}

/* Makes the daemon report that it isn't ready, so that the load balancer stops
   sending requests.  Requests that still arrive are served.  */
void
dmn_begin_stop (struct dmn_daemon *daemon)
{
  ctl_begin_stop (daemon->control);
}

/* Returns the number of callers' requests that are in progress.  */
int64_t
dmn_requests_in_progress (const struct dmn_daemon *daemon)
{
  return cal_server_requests_in_progress (daemon->callers);
}
