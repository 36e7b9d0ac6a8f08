/* What the traffic thread knows of the fleet: the view in force, and for each
   endpoint what this daemon's own requests prove.  Chooses where a request
   goes. */
#ifndef ENTRY_FLEET_STATE_H
#define ENTRY_FLEET_STATE_H

#include "core/evidence.h"
#include "core/path.h"
#include "core/retry_budget.h"
#include "entry/fleet_view.h"
#include "entry/verdicts.h"

/* An endpoint; lives while the list names it or a request uses it. */
struct fst_endpoint
{
  guint references;
  char *id;
  char *address;
  int64_t born_ms;
  uint32_t service; /* index in the configuration, or FLT_NO_INDEX */
  uint32_t zone;    /* index of its data centre */
  uint32_t slots;
  double step_factor;
  double cache_tokens; /* memory of requests, in tokens; 0: unknown */
  double used_tokens;  /* of this daemon's requests that pass through it */
  uint32_t begun;      /* of these, those whose paths begin at it */
  struct rst_layers layers;
  bool listed; /* in the list and not leaving */
  bool seen;   /* in the view that is being taken */
  struct evd_evidence evidence;
};

/* A way through the engines; lives while the choice or a request uses it. */
struct fst_path
{
  guint references;
  struct fst_endpoint **parts; /* in order; references */
  struct rst_layers *layers;   /* that each part runs */
  uint32_t count;
  char *text; /* ADDRESS=FIRST-END, comma-separated */
  double token_ms;
  uint32_t crossings; /* times that it goes to another data centre */
  double room_tokens; /* its share of the room of its parts */
};

struct fst_fleet;

struct fst_fleet *fst_create (const char *data_centre,
                              const struct rbg_params *budget,
                              struct vdt_verdicts *verdicts);
void fst_destroy (struct fst_fleet *fleet);
void fst_take (struct fst_fleet *fleet, struct fvw_view *view);
const struct fvw_view *fst_view (const struct fst_fleet *fleet);
const struct flt_config *fst_config (const struct fst_fleet *fleet);
struct rbg_budget *fst_budget (struct fst_fleet *fleet, uint32_t service);
bool fst_can_serve (const struct fst_fleet *fleet);

struct fst_endpoint *fst_choose_endpoint (struct fst_fleet *fleet,
                                          uint32_t service,
                                          const GPtrArray *tried,
                                          int64_t now_us);
struct fst_path *fst_choose_path (struct fst_fleet *fleet, uint32_t service,
                                  double tokens, int64_t now_us);
struct fst_endpoint *fst_find_address (struct fst_fleet *fleet,
                                       uint32_t service, const char *address);
void fst_report_failure (struct fst_fleet *fleet,
                         struct fst_endpoint *endpoint, enum evd_proof proof,
                         const char *reason, int64_t now_us);
void fst_report_success (struct fst_fleet *fleet,
                         struct fst_endpoint *endpoint, int64_t latency_us);

struct fst_endpoint *fst_reference (struct fst_endpoint *endpoint);
void fst_release (struct fst_endpoint *endpoint);
struct fst_path *fst_reference_path (struct fst_path *path);
void fst_release_path (struct fst_path *path);
void fst_begin_path (struct fst_path *path, double tokens);
void fst_end_path (struct fst_path *path, double tokens);

#endif
