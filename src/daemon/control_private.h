/* State of the control thread.  Included by the control_*.c files and by
   operator_backend.c, which reads it on the control thread; other files use
   control.h, control_burn.h, control_config.h and control_keyed.h. */
#ifndef DAEMON_CONTROL_PRIVATE_H
#define DAEMON_CONTROL_PRIVATE_H

#include "core/burn.h"
#include "core/claims.h"
#include "core/confstate.h"
#include "core/leaving.h"
#include "core/membership.h"
#include "daemon/control.h"
#include "daemon/log_io.h"
#include "daemon/poller.h"
#include "peer/hub.h"

struct ctl_orders;

/* The fields are used by the control thread only, except for those that are
   constant after ctl_create and the atomic ones at the end. */
struct ctl_control
{
  struct ctl_params params;
  uint64_t incarnation; /* see new_incarnation */
  GMainContext *context;
  GMainLoop *loop;
  pthread_t thread;
  struct lio_io *log_io;
  struct pol_poller *poller;
  struct ept_table *endpoints;
  /* struct ept_endpoint to struct eng_load_report, the newest load report */
  GHashTable *load_reports;
  struct lv_hosts *leaving_hosts;
  struct clm *claims;
  GHashTable *keyed_calls;   /* id to struct kc_call that isn't answered yet */
  struct act_list *actions;  /* requested by the state machines, not done */
  struct cfg_config *config; /* in force; NULL before the first */
  char *config_yaml;         /* text of the configuration in force */
  GHashTable *pending_publications; /* id to struct publish_wait */
  struct cst *config_state;
  struct brn_state *burn;
  uint64_t next_burn_offset; /* first offset of the burn stream not yet read */
  enum err_kind last_burn_read; /* result of the last read of that stream */
  int64_t next_burn_flush_us;   /* monotonic, of a stop */
  struct peer_hub *hub;
  struct mem_fleet *members;
  char **peer_candidates;   /* addresses of possible peers, NULL-terminated */
  int64_t last_log_read_us; /* monotonic send time of the last read that
                               succeeded */
  bool leave_announced;     /* to the peers */
  bool io_stopped;          /* no more appends and polls */
  struct ctl_orders *orders;
  bool view_outdated;         /* a new view has to be published */
  int64_t next_fleet_tick_us; /* monotonic, see FLEET_INTERVAL_US */
  int64_t next_slow_tick_us;  /* monotonic, see SLOW_INTERVAL_US */
  uint32_t ready_daemons;     /* this one included; at least 1 */
  /* Of the usable hosts, their ranges and the configuration's version, from
     which the capacity was computed. */
  uint64_t capacity_inputs_hash;
  /* The values that the gate was last configured with. */
  double capacity_tokens_per_s;
  uint64_t gate_config_version;
  uint32_t gate_ready_daemons;
  _Atomic uint64_t last_id;     /* last result of ctl_new_id */
  _Atomic bool has_config;      /* a view has been published */
  _Atomic bool serving_allowed; /* the configuration is recent enough */
  _Atomic bool stopping;
};

void ctl_perform_actions (struct ctl_control *control);
struct cst *ctl_create_config_state (uint64_t incarnation);
void ctl_answer_publisher (struct ctl_control *control,
                           const struct act_answer_publish *answer);
void ctl_apply_config (struct ctl_control *control, uint64_t version,
                       const char *yaml, size_t yaml_bytes);

struct pol_callbacks ctl_poller_callbacks (void);
void ctl_poll_loads (struct ctl_control *control);
void ctl_update_capacity (struct ctl_control *control);
uint32_t ctl_find_model (const struct cfg_config *config, const char *name);
bool ctl_host_usable (struct ctl_control *control, uint32_t host);
const struct eng_load_report *ctl_get_load_report (struct ctl_control *control,
                                                   uint32_t host);
bool ctl_load_reports_complete (struct ctl_control *control);
void ctl_publish_view (struct ctl_control *control);

void ctl_handle_log_page (const char *stream, enum err_kind result,
                          const struct plog_page *page, int64_t requested_us,
                          void *user_data);
void ctl_handle_append_result (enum act_owner owner, uint64_t token,
                               enum err_kind result, uint64_t offset,
                               bool log_unavailable, void *user_data);

#endif
