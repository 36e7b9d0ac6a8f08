/* The traffic thread's state of the fleet: the view in force, and for each
   endpoint what this daemon's own requests have shown.  Chooses paths for
   requests; entry/endpoint_choosing.h chooses endpoints of plain services. */
#ifndef ENTRY_FLEET_STATE_H
#define ENTRY_FLEET_STATE_H

#include "core/evidence.h"
#include "core/first_wait.h"
#include "core/path.h"
#include "core/retry_budget.h"
#include "core/shared_rate.h"
#include "entry/fleet_view.h"
#include "entry/path_observed.h"
#include "entry/verdicts.h"

/* An endpoint.  Exists while the endpoint list names it or a request uses
   it. */
struct fst_endpoint
{
  guint references;
  char *id;
  char *address;
  int64_t born_ms;      /* start of its incarnation */
  uint32_t service;     /* index in the configuration, or FLT_NO_INDEX */
  uint32_t data_centre; /* index of its data centre */
  uint32_t slots;
  double step_factor;  /* relative time of a step of its kind of accelerator */
  double cache_tokens; /* memory for requests, in tokens; 0: unknown */
  double used_tokens;  /* memory, in tokens, that this daemon's requests use in
                          it */
  uint32_t first_requests; /* those whose paths begin at it */
  struct rst_layers layers;
  struct shr_rate rate; /* of requests, as it names in its answers */
  int64_t opens_us;  /* monotonic; it turned a request away and wants no others
                        until then */
  bool is_neighbour; /* another daemon, see entry/passing.h */
  bool listed;       /* in the list and not leaving, as far as known */
  bool in_view;      /* in the view that fst_set_view is applying */
  struct evd_evidence evidence;
  int64_t answered_us;  /* monotonic, when the newest call was sent that it has
                           answered; 0: none */
  int64_t broke_off_us; /* monotonic, when an answer of it last broke off as
                           the quarantine's evidence of its end; 0: not since
                           it answered */
  struct fwt_estimate first_wait; /* of streams whose paths begin at it */
  GQueue waiting; /* int64_t: when each stream that waits there for its first
                     event was sent, the oldest first */
  struct pob_observed observed; /* of streams whose paths begin at it */
  GQueue calls; /* struct epc_call: this daemon's calls of a plain service in
                   progress, see entry/endpoint_choosing.h */
  double slowness;     /* its times of calls relative to those expected, moving
                          average */
  int64_t slowness_us; /* monotonic, when the newest call counted in it */
};

/* A path through the engines of a service.  Exists while the list of paths or
   a request uses it. */
struct fst_path
{
  guint references;
  struct fst_endpoint **parts; /* in the order of layers; references */
  struct rst_layers *layers;   /* layers that each part runs */
  uint32_t count;
  char *text;             /* ADDRESS=FIRST-END, comma-separated */
  double token_ms;        /* estimated time for each token */
  uint32_t crossings;     /* hops from one data centre to another */
  double capacity_tokens; /* its share of the memory and slots of its parts, in
                             tokens */
};

struct fst_fleet;

/* Called with each failure that fst_report_failure records; IN_BACKOFF if it
   begins a backoff.  */
typedef void (*fst_failed) (void *context, const struct fst_endpoint *endpoint,
                            enum evd_failure_kind kind, bool in_backoff,
                            int64_t now_us);

struct fst_fleet *fst_create (const char *data_centre,
                              const struct rbg_params *budget,
                              struct vdt_verdicts *verdicts);
void fst_destroy (struct fst_fleet *fleet);
void fst_watch_failures (struct fst_fleet *fleet, fst_failed failed,
                         void *context);
void fst_set_view (struct fst_fleet *fleet, struct fvw_view *view);
const struct fvw_view *fst_view (const struct fst_fleet *fleet);
const struct flt_config *fst_config (const struct fst_fleet *fleet);
struct rbg_budget *fst_budget (struct fst_fleet *fleet, uint32_t service);
bool fst_can_serve (const struct fst_fleet *fleet);
uint32_t fst_endpoint_count (const struct fst_fleet *fleet, uint32_t service);
bool fst_lacks_endpoints (const struct fst_fleet *fleet, uint32_t service);
void fst_set_cut_off (struct fst_fleet *fleet, uint32_t service,
                      bool is_cut_off, int64_t since_us);
void fst_list_probed (struct fst_fleet *fleet, uint32_t service,
                      int64_t now_us, GPtrArray *endpoints);
void fst_list_dead (struct fst_fleet *fleet, int64_t now_us,
                    GPtrArray *endpoints);

void fst_list_first (const struct fst_fleet *fleet, GPtrArray *engines);
bool fst_has_streams (const struct fst_fleet *fleet);

struct fst_path *fst_choose_path (struct fst_fleet *fleet, uint32_t service,
                                  double tokens, int64_t target_us,
                                  int64_t now_us, double *excess_us);
int64_t fst_opens_us (struct fst_fleet *fleet, uint32_t service,
                      int64_t now_us);
struct fst_endpoint *fst_find_id (struct fst_fleet *fleet, const char *id);
struct fst_endpoint *fst_find_address (struct fst_fleet *fleet,
                                       uint32_t service, const char *address);
void fst_report_failure (struct fst_fleet *fleet,
                         struct fst_endpoint *endpoint,
                         enum evd_failure_kind kind, const char *reason,
                         int64_t now_us);
void fst_report_success (struct fst_fleet *fleet,
                         struct fst_endpoint *endpoint, int64_t latency_us);
void fst_report_alive (struct fst_fleet *fleet, struct fst_endpoint *endpoint);
bool fst_report_leaving (struct fst_fleet *fleet,
                         struct fst_endpoint *endpoint);
bool fst_report_turned_away (struct fst_fleet *fleet,
                             struct fst_endpoint *endpoint,
                             int64_t duration_us, int64_t now_us);

void fst_report_rate (struct fst_fleet *fleet, struct fst_endpoint *endpoint,
                      double per_s);
void fst_take_rate (struct fst_endpoint *endpoint, int64_t now_us);

struct fst_endpoint *fst_create_peer (const char *address);
struct fst_endpoint *fst_reference (struct fst_endpoint *endpoint);
void fst_release (struct fst_endpoint *endpoint);
struct fst_path *fst_reference_path (struct fst_path *path);
void fst_release_path (struct fst_path *path);
void fst_begin_request (struct fst_path *path, double tokens);
void fst_end_request (struct fst_path *path, double tokens);
void fst_change_request (struct fst_path *path, double tokens);
void fst_report_progress (struct fst_path *path, int64_t now_us);
void fst_begin_wait (struct fst_endpoint *engine, GList *link);
void fst_end_wait (struct fst_endpoint *engine, GList *link);

#endif
