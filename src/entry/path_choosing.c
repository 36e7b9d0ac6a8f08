#include "entry/path_choosing.h"

#include "base/clock.h"
#include "base/log.h"
#include "entry/entry_metrics.h"
#include "entry/fleet_state_private.h"

/* Sets where FLEET's load of the other daemons is known from.  SOURCE is
   copied; its context must outlive FLEET or be replaced before.  */
void
pcs_set_source (struct fst_fleet *fleet, const struct pcs_source *source)
{
  fleet->source = *source;
}

/* Counts a stream with the rank index RANK that waits for its first event at
   ENGINE.  Ended by pcs_end_wait.  */
void
pcs_begin_wait (struct fst_endpoint *engine, uint32_t rank)
{
  engine->observed.waiting[MIN (rank, FLT_RANKS_MAX - 1)]++;
}

/* Ends the count that pcs_begin_wait began with the same arguments.  */
void
pcs_end_wait (struct fst_endpoint *engine, uint32_t rank)
{
  engine->observed.waiting[MIN (rank, FLT_RANKS_MAX - 1)]--;
}

/* Sets WAITING to the numbers of this daemon's streams without a first event
   at ENGINE, by rank index.  */
void
pcs_count_waiting (const struct fst_endpoint *engine,
                   uint32_t waiting[FLT_RANKS_MAX])
{
  for (uint32_t i = 0; i < FLT_RANKS_MAX; i++)
    {
      waiting[i] = engine->observed.waiting[i];
    }
}

/* Returns what the streams at all first engines of ENGINE's service have
   shown, or NULL if the service has been removed.  */
static struct pob_observed *
service_observed (struct fst_fleet *fleet, const struct fst_endpoint *engine)
{
  const struct flt_config *config = fst_config (fleet);
  return config == NULL || engine->service >= config->service_count
             ? NULL
             : &fst_service_state (fleet, engine->service)->observed;
}

/* Records that a stream at ENGINE waited WAIT_US for its first event, where no
   queue was expected.  */
void
pcs_observe_first_event (struct fst_fleet *fleet, struct fst_endpoint *engine,
                         int64_t wait_us, int64_t now_us)
{
  struct pob_observed *service = service_observed (fleet, engine);
  pch_observe (&engine->observed.first_event_us, (double)wait_us, now_us);
  if (service != NULL)
    {
      pch_observe (&service->first_event_us, (double)wait_us, now_us);
    }
}

/* Records that events of a stream at ENGINE are INTERVAL_US apart.  */
void
pcs_observe_interval (struct fst_fleet *fleet, struct fst_endpoint *engine,
                      double interval_us, int64_t now_us)
{
  struct pob_observed *service = service_observed (fleet, engine);
  pch_observe (&engine->observed.interval_us, interval_us, now_us);
  if (service != NULL)
    {
      pch_observe (&service->interval_us, interval_us, now_us);
    }
}

/* Records that a whole stream at ENGINE ended RUN_US after its first event,
   for which it had waited FIRST_WAIT_US.  The part of this that was in a queue
   held no slot.  */
void
pcs_observe_end (struct fst_fleet *fleet, struct fst_endpoint *engine,
                 int64_t first_wait_us, int64_t run_us, int64_t now_us)
{
  struct pob_observed *service = service_observed (fleet, engine);
  double reading_us = pch_value (&engine->observed.first_event_us,
                                 (double)first_wait_us, now_us);
  double hold_us = (double)run_us + MIN (reading_us, (double)first_wait_us);
  pch_observe (&engine->observed.hold_us, hold_us, now_us);
  if (service != NULL)
    {
      pch_observe (&service->hold_us, hold_us, now_us);
    }
}

/* Returns what AVERAGE says, of one engine.  Without recent samples there it
   is as in SERVICE, or else STATED.  */
static double
expected (const struct pch_average *average, const struct pch_average *service,
          double stated, int64_t now_us)
{
  double usual = service->at_us > 0 ? service->value : stated;
  return pch_value (average, usual, now_us);
}

/* Sets the expected times of PATH, for ENGINE's service SPEC.  */
static void
describe_times (const struct service_state *service,
                const struct flt_engine_spec *spec,
                const struct fst_path *path, int64_t now_us,
                struct pch_path *described)
{
  const struct pob_observed *engine = &path->parts[0]->observed;
  const struct pob_observed *usual = &service->observed;
  double token_us = path->token_ms * CLK_MS_US;
  double reading_us
      = spec->prefill_tokens_per_s > 0
            ? spec->usual_prompt_tokens / spec->prefill_tokens_per_s * CLK_S_US
            : 0;
  described->first_event_us
      = expected (&engine->first_event_us, &usual->first_event_us,
                  reading_us + token_us, now_us);
  described->interval_us
      = expected (&engine->interval_us, &usual->interval_us,
                  MAX (spec->event_tokens, 1) * token_us, now_us);
  described->hold_us
      = expected (&engine->hold_us, &usual->hold_us,
                  reading_us + spec->usual_answer_tokens * token_us, now_us);
}

/* Sets the load at ENGINE, the first one of DESCRIBED.  Where others state
   none, this daemon's part stands for theirs.  */
static void
describe_load (const struct fst_fleet *fleet,
               const struct fst_endpoint *engine, int64_t now_us,
               struct pch_path *described)
{
  struct flo_total load = { 0 };
  bool known
      = fleet->source.load (fleet->source.context, engine, now_us, &load);
  double own = engine->first_requests;
  double share = CLAMP (fleet->view->share, SHARE_MIN, 1);
  described->age_us = known ? load.age_us : -1;
  described->requests
      = known ? load.requests + own : MIN (own / share, engine->slots);
  for (uint32_t i = 0; i < FLT_RANKS_MAX; i++)
    {
      described->waiting[i] = (double)engine->observed.waiting[i]
                              + (known ? load.waiting[i] : 0);
    }
}

/* Sets the slots of the first engines of PATHS and the part of them that is
   for each path: by capacity and speed.  Slots that no path has the capacity
   for, beyond USUAL_TOKENS for a request, don't count.  */
static void
divide_slots (const GPtrArray *paths, double usual_tokens,
              struct pch_path *described)
{
  for (guint i = 0; i < paths->len; i++)
    {
      const struct fst_path *path = g_ptr_array_index (paths, i);
      double weights = 0;
      double capacity = 0;
      for (guint other = 0; other < paths->len; other++)
        {
          const struct fst_path *same = g_ptr_array_index (paths, other);
          if (same->parts[0] == path->parts[0])
            {
              weights += same->capacity_tokens / same->token_ms;
              capacity += same->capacity_tokens;
            }
        }
      described[i].slots
          = MAX (MIN (path->parts[0]->slots, capacity / usual_tokens), 1);
      described[i].part = path->capacity_tokens / path->token_ms / weights;
    }
}

/* Returns the paths of SERVICE that are open at NOW_US, without references.
   The caller frees the list.  */
static GPtrArray *
list_open_paths (const struct service_state *service, int64_t now_us)
{
  GPtrArray *open = g_ptr_array_new ();
  for (guint i = 0; i < service->paths->len; i++)
    {
      struct fst_path *path = g_ptr_array_index (service->paths, i);
      if (fst_path_is_open (service, path, now_us))
        {
          g_ptr_array_add (open, path);
        }
    }
  return open;
}

/* Returns a description of PATHS of the service INDEX, for pch_choose.  The
   caller frees it.  */
static struct pch_path *
describe_paths (struct fst_fleet *fleet, uint32_t index,
                const struct service_state *service, const GPtrArray *paths,
                int64_t now_us)
{
  const struct flt_engine_spec *spec
      = &fst_config (fleet)->services[index].engine;
  double usual_tokens
      = MAX (spec->usual_prompt_tokens + spec->usual_answer_tokens, 1);
  uint32_t home = fst_data_centre_index (fleet, fleet->data_centre);
  struct pch_path *described = g_new0 (struct pch_path, paths->len);
  divide_slots (paths, usual_tokens, described);
  for (guint i = 0; i < paths->len; i++)
    {
      const struct fst_path *path = g_ptr_array_index (paths, i);
      describe_times (service, spec, path, now_us, &described[i]);
      describe_load (fleet, path->parts[0], now_us, &described[i]);
      described[i].closed_us = (double)fst_path_full_us (path, now_us);
      described[i].is_home = path->parts[0]->data_centre == home;
    }
  return described;
}

/* Chooses one of PATHS for REQUEST by the load of the fleet.  Returns NULL if
   that isn't known.  */
static struct fst_path *
choose_by_load (struct fst_fleet *fleet, const struct service_state *service,
                const GPtrArray *paths, const struct pcs_request *request,
                int64_t now_us, struct pcs_result *result)
{
  struct pch_request needs = {
    .target_us = (double)request->target_us,
    .target_gap_us = (double)request->target_gap_us,
    .length = request->length,
    .rank = request->rank,
    .is_resumed = request->is_resumed,
    .came_back = request->came_back,
  };
  if (fleet->source.rates != NULL)
    {
      fleet->source.rates (fleet->source.context, needs.arrivals_per_s);
    }
  struct pch_path *described
      = describe_paths (fleet, request->service, service, paths, now_us);
  result->by_load
      = pch_choose (described, paths->len, &needs, g_random_double (),
                    g_random_double (), &result->choice);
  g_free (described);
  if (!result->by_load)
    {
      return NULL;
    }
  result->excess_us = result->choice.excess_us;
  return g_ptr_array_index (paths, result->choice.path);
}

/* Records the CHOICE of PATH for REQUEST.  */
static void
report_choice (struct emt_metrics *metrics, const struct pcs_request *request,
               const struct fst_path *path, const struct pch_choice *choice)
{
  cnt_set_gauge (metrics->free_slots, (int64_t)choice->free_slots);
  lg_line (LOG_DEBUG, "path_chosen",
           "request=%s endpoint=%s rank=%u free=%.0f age_ms=%ld first_ms=%.0f "
           "wait_ms=%.0f limit_ms=%.0f",
           request->id, path->parts[0]->id, request->rank, choice->free_slots,
           (long)(choice->age_us / CLK_MS_US),
           choice->first_event_us / CLK_MS_US, choice->wait_us / CLK_MS_US,
           choice->limit_us / CLK_MS_US);
}

/* Chooses a path for REQUEST, by the load of the fleet where that is known, or
   else by this daemon's own streams, and sets RESULT.  Returns a reference, or
   NULL when there is no path.  */
struct fst_path *
pcs_choose (struct fst_fleet *fleet, struct emt_metrics *metrics,
            const struct pcs_request *request, int64_t now_us,
            struct pcs_result *result)
{
  struct fst_path *path = NULL;
  *result = (struct pcs_result){ 0 };
  if (fleet->view->crowded && fleet->source.load != NULL)
    {
      const struct service_state *service
          = fst_service_with_paths (fleet, request->service, now_us);
      g_autoptr (GPtrArray) open = list_open_paths (service, now_us);
      path = choose_by_load (fleet, service, open, request, now_us, result);
    }
  if (path == NULL)
    {
      return fst_choose_path (fleet, request->service, request->tokens,
                              request->target_us, now_us, &result->excess_us);
    }
  report_choice (metrics, request, path, &result->choice);
  return fst_reference_path (path);
}

/* Records that REQUEST is refused, since it would wait too long at every path;
   RESULT is that of the best one, which begins at ENGINE.  Returns after how
   many seconds its caller may come back.  */
double
pcs_refuse (struct emt_metrics *metrics, struct fwt_refusals *refusals,
            const struct pcs_request *request,
            const struct fst_endpoint *engine, const struct pcs_result *result,
            int64_t now_us)
{
  const struct pch_choice *choice = &result->choice;
  fwt_count_refusal (refusals, now_us);
  cnt_add (metrics->queue_refused[MIN (request->rank, FLT_RANKS_MAX - 1)], 1);
  if (!result->by_load)
    {
      lg_line (LOG_INFO, "queues_full",
               "request=%s endpoint=%s excess_ms=%ld rank=%u", request->id,
               engine->id, (long)(result->excess_us / CLK_MS_US),
               request->rank);
      return fwt_retry_after_s (refusals, result->excess_us,
                                g_random_double (), now_us);
    }
  lg_line (LOG_INFO, "queues_full",
           "request=%s endpoint=%s excess_ms=%ld rank=%u free=%.0f age_ms=%ld "
           "wait_ms=%.0f limit_ms=%.0f came_back=%d",
           request->id, engine->id, (long)(result->excess_us / CLK_MS_US),
           request->rank, choice->free_slots,
           (long)(choice->age_us / CLK_MS_US), choice->wait_us / CLK_MS_US,
           choice->limit_us / CLK_MS_US, request->came_back);
  return choice->retry_after_s;
}
