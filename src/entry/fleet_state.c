#include "entry/fleet_state_private.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/room.h"
#include "core/stage_plan.h"

#include <math.h>
#include <string.h>

/* Time, beside its engines' steps, that a path takes between two engines, with
   the wait for the next engine's step: within a data centre, and between two
   of them. */
#define HOP_MS 0.3
#define DATA_CENTRE_HOP_MS 12.0

/* Multiplies the cost of an engine that failed lately, until successes clear
   its failures. */
#define UNPROVEN_FACTOR 3.0

/* Paths are computed again after this time even if the view hasn't changed,
   since endpoints become usable again when their backoff ends. */
#define PATHS_VALID_US (200 * CLK_MS_US)

/* Number of path searches for each data centre, and the factor by which an
   engine's cost rises for the following searches once a path uses it. */
#define PATHS_PER_DATA_CENTRE 5
#define REUSE_FACTOR 3.0

/* Limit on the rates that are kept of endpoints that aren't listed. */
#define KEPT_RATES_MAX 1024

/* The rate of an endpoint that isn't listed any more. */
struct kept_rate
{
  int64_t born_ms; /* start of its incarnation */
  struct shr_rate rate;
};

static void
destroy_service (gpointer data)
{
  struct service_state *service = data;
  if (service->paths != NULL)
    {
      g_ptr_array_free (service->paths, TRUE);
    }
  g_free (service);
}

/* Creates the state of a daemon in DATA_CENTRE, without endpoints.  Endpoints
   that are found dead are recorded in VERDICTS, which must outlive the
   result.  */
struct fst_fleet *
fst_create (const char *data_centre, const struct rbg_params *budget,
            struct vdt_verdicts *verdicts)
{
  struct fst_fleet *fleet = g_new0 (struct fst_fleet, 1);
  fleet->data_centre = g_strdup (data_centre);
  fleet->budget_params = *budget;
  fleet->verdicts = verdicts;
  fleet->endpoints = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                            (GDestroyNotify)fst_release);
  fleet->ordered = g_ptr_array_new ();
  fleet->data_centres = g_ptr_array_new_with_free_func (g_free);
  fleet->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           destroy_service);
  fleet->kept_rates
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return fleet;
}

/* Frees FLEET; endpoints that requests use stay until these requests end.  */
void
fst_destroy (struct fst_fleet *fleet)
{
  fvw_release (fleet->view);
  g_hash_table_destroy (fleet->services);
  g_hash_table_destroy (fleet->kept_rates);
  g_hash_table_destroy (fleet->endpoints);
  g_ptr_array_free (fleet->ordered, TRUE);
  g_ptr_array_free (fleet->data_centres, TRUE);
  g_free (fleet->data_centre);
  g_free (fleet);
}

/* Makes FLEET call FAILED with CONTEXT at each failure.  */
void
fst_watch_failures (struct fst_fleet *fleet, fst_failed failed, void *context)
{
  fleet->failed = failed;
  fleet->failed_context = context;
}

/* Returns another daemon, which serves callers at ADDRESS, as an endpoint of
   no service.  The caller releases it.  */
struct fst_endpoint *
fst_create_peer (const char *address)
{
  struct fst_endpoint *peer = g_new0 (struct fst_endpoint, 1);
  peer->references = 1;
  peer->id = g_strdup_printf ("daemon-%s", address);
  peer->address = g_strdup (address);
  peer->service = FLT_NO_INDEX;
  peer->is_neighbour = true;
  g_queue_init (&peer->waiting);
  return peer;
}

/* Adds a reference to ENDPOINT and returns it.  */
struct fst_endpoint *
fst_reference (struct fst_endpoint *endpoint)
{
  endpoint->references++;
  return endpoint;
}

/* Releases a reference to ENDPOINT; the last one frees it.  */
void
fst_release (struct fst_endpoint *endpoint)
{
  if (--endpoint->references == 0)
    {
      g_free (endpoint->id);
      g_free (endpoint->address);
      g_free (endpoint);
    }
}

/* Adds a reference to PATH and returns it.  */
struct fst_path *
fst_reference_path (struct fst_path *path)
{
  path->references++;
  return path;
}

/* Releases a reference to PATH; the last one frees it.  */
void
fst_release_path (struct fst_path *path)
{
  if (--path->references > 0)
    {
      return;
    }
  for (uint32_t i = 0; i < path->count; i++)
    {
      fst_release (path->parts[i]);
    }
  g_free (path->parts);
  g_free (path->layers);
  g_free (path->text);
  g_free (path);
}

/* Counts a request that needs memory for TOKENS on every part of PATH.  Ended
   by fst_end_request.  */
void
fst_begin_request (struct fst_path *path, double tokens)
{
  path->parts[0]->first_requests++;
  for (uint32_t i = 0; i < path->count; i++)
    {
      path->parts[i]->used_tokens += tokens;
      evd_begin (&path->parts[i]->evidence);
    }
}

/* Ends the count that fst_begin_request began with the same arguments.  */
void
fst_end_request (struct fst_path *path, double tokens)
{
  path->parts[0]->first_requests--;
  for (uint32_t i = 0; i < path->count; i++)
    {
      path->parts[i]->used_tokens -= tokens;
      evd_end (&path->parts[i]->evidence);
    }
}

/* Changes the memory of a request that fst_begin_request counted on PATH by
   TOKENS.  */
void
fst_change_request (struct fst_path *path, double tokens)
{
  for (uint32_t i = 0; i < path->count; i++)
    {
      path->parts[i]->used_tokens += tokens;
    }
}

/* Records that a stream on PATH went on at NOW_US.  PATH may be NULL.  */
void
fst_report_progress (struct fst_path *path, int64_t now_us)
{
  for (uint32_t i = 0; path != NULL && i < path->count; i++)
    {
      evd_progress (&path->parts[i]->evidence, now_us);
    }
}

/* Records that a stream waits for its first event on a path that begins at
   ENGINE.  LINK must stay valid until fst_end_wait; its data is the time of
   sending, int64_t.  */
void
fst_begin_wait (struct fst_endpoint *engine, GList *link)
{
  g_queue_push_tail_link (&engine->waiting, link);
}

/* Ends the wait that fst_begin_wait began with the same arguments.  */
void
fst_end_wait (struct fst_endpoint *engine, GList *link)
{
  g_queue_unlink (&engine->waiting, link);
}

/* Returns the index of the data centre NAME, which is added if it is new.  */
uint32_t
fst_data_centre_index (struct fst_fleet *fleet, const char *name)
{
  for (guint i = 0; i < fleet->data_centres->len; i++)
    {
      if (strcmp (g_ptr_array_index (fleet->data_centres, i), name) == 0)
        {
          return i;
        }
    }
  g_ptr_array_add (fleet->data_centres, g_strdup (name));
  return fleet->data_centres->len - 1;
}

/* Updates ENDPOINT from ENTRY of the view and from the configuration of its
   kind of accelerator.  */
static void
update_endpoint (struct fst_fleet *fleet, const struct rst_endpoint *entry,
                 struct fst_endpoint *endpoint)
{
  const struct flt_config *config = fleet->view->config;
  endpoint->service = config == NULL
                          ? FLT_NO_INDEX
                          : flt_find_service (config, entry->service);
  endpoint->data_centre = fst_data_centre_index (fleet, entry->data_centre);
  endpoint->slots = entry->slots;
  endpoint->layers = entry->layers;
  endpoint->step_factor = 1;
  if (endpoint->service == FLT_NO_INDEX
      || !config->services[endpoint->service].has_engine)
    {
      return;
    }
  const struct flt_engine_spec *engine
      = &config->services[endpoint->service].engine;
  const struct flt_kind *kind = flt_find_kind (engine, entry->kind);
  if (kind != NULL && engine->layers > 0)
    {
      endpoint->step_factor = kind->step_factor;
      endpoint->cache_tokens = stp_cache_tokens (
          engine, kind->memory_mb, entry->layers.end - entry->layers.first);
    }
}

/* Keeps the rate of ENDPOINT, which isn't listed any more: it may be listed
   again while it still names that rate.  */
static void
keep_rate (struct fst_fleet *fleet, const struct fst_endpoint *endpoint)
{
  if (endpoint->rate.per_s == 0)
    {
      return;
    }
  if (g_hash_table_size (fleet->kept_rates) >= KEPT_RATES_MAX)
    {
      g_hash_table_remove_all (fleet->kept_rates);
    }
  struct kept_rate *kept = g_new (struct kept_rate, 1);
  kept->born_ms = endpoint->born_ms;
  kept->rate = endpoint->rate;
  g_hash_table_replace (fleet->kept_rates, g_strdup (endpoint->id), kept);
}

/* Gives ENDPOINT, which is listed again, the rate that was kept of it.  */
static void
restore_rate (struct fst_fleet *fleet, struct fst_endpoint *endpoint)
{
  const struct kept_rate *kept
      = g_hash_table_lookup (fleet->kept_rates, endpoint->id);
  if (kept != NULL && kept->born_ms == endpoint->born_ms)
    {
      endpoint->rate = kept->rate;
    }
  g_hash_table_remove (fleet->kept_rates, endpoint->id);
}

/* Adds or updates the endpoint of ENTRY.  A new incarnation or address starts
   without evidence from before.  */
static void
apply_endpoint (struct fst_fleet *fleet, const struct rst_endpoint *entry)
{
  struct fst_endpoint *endpoint
      = g_hash_table_lookup (fleet->endpoints, entry->id);
  if (endpoint != NULL
      && (endpoint->born_ms != entry->started_ms
          || strcmp (endpoint->address, entry->address) != 0))
    {
      endpoint->listed = false;
      vdt_clear (fleet->verdicts, endpoint->id);
      g_hash_table_remove (fleet->endpoints, entry->id);
      endpoint = NULL;
    }
  if (endpoint == NULL)
    {
      endpoint = g_new0 (struct fst_endpoint, 1);
      endpoint->references = 1;
      endpoint->id = g_strdup (entry->id);
      endpoint->address = g_strdup (entry->address);
      endpoint->born_ms = entry->started_ms;
      endpoint->slowness = 1;
      restore_rate (fleet, endpoint);
      g_hash_table_insert (fleet->endpoints, endpoint->id, endpoint);
    }
  update_endpoint (fleet, entry, endpoint);
  endpoint->listed
      = !entry->leaving
        && !vdt_is_leaving (fleet->verdicts, entry->id, entry->started_ms);
  endpoint->opens_us
      = vdt_opens_us (fleet->verdicts, entry->id, entry->started_ms);
  shr_set_share (&endpoint->rate, fleet->view->rate_share);
  endpoint->in_view = true;
  g_ptr_array_add (fleet->ordered, endpoint);
}

/* Removes the endpoints that the view doesn't list, and the verdicts on
   them.  */
static void
remove_unlisted (struct fst_fleet *fleet)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct fst_endpoint *endpoint = value;
      if (!endpoint->in_view)
        {
          endpoint->listed = false;
          keep_rate (fleet, endpoint);
          vdt_clear (fleet->verdicts, endpoint->id);
          g_hash_table_iter_remove (&iter);
        }
    }
}

/* Returns the state of the service INDEX, created if it is new.  */
struct service_state *
fst_service_state (struct fst_fleet *fleet, uint32_t index)
{
  const char *name = fleet->view->config->services[index].name;
  struct service_state *service = g_hash_table_lookup (fleet->services, name);
  if (service == NULL)
    {
      service = g_new0 (struct service_state, 1);
      rbg_start (&service->budget, &fleet->budget_params);
      g_hash_table_insert (fleet->services, g_strdup (name), service);
    }
  /* In a crowded fleet only some daemons own a part of the group. */
  rbg_set_share (&service->budget,
                 fleet->view->crowded ? fleet->view->rate_share
                                      : fleet->view->share,
                 clk_monotonic_us ());
  return service;
}

/* Discards the paths of SERVICE, so that they are computed again when next
   needed.  */
static void
invalidate_paths (struct service_state *service)
{
  if (service->paths != NULL)
    {
      g_ptr_array_free (service->paths, TRUE);
      service->paths = NULL;
    }
}

/* Replaces the view in force by VIEW, whose reference is taken over.  */
void
fst_set_view (struct fst_fleet *fleet, struct fvw_view *view)
{
  fvw_release (fleet->view);
  fleet->view = view;
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      struct fst_endpoint *endpoint = g_ptr_array_index (fleet->ordered, i);
      endpoint->in_view = false;
    }
  g_ptr_array_set_size (fleet->ordered, 0);
  for (guint i = 0; i < view->endpoints->len; i++)
    {
      apply_endpoint (fleet, g_ptr_array_index (view->endpoints, i));
    }
  remove_unlisted (fleet);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      invalidate_paths (value);
    }
}

/* Returns the view in force, or NULL before the first.  */
const struct fvw_view *
fst_view (const struct fst_fleet *fleet)
{
  return fleet->view;
}

/* Returns the configuration in force, or NULL.  It is valid until the next
   fst_set_view.  */
const struct flt_config *
fst_config (const struct fst_fleet *fleet)
{
  return fleet->view == NULL ? NULL : fleet->view->config;
}

/* Returns the retry budget of the service with the index SERVICE.  */
struct rbg_budget *
fst_budget (struct fst_fleet *fleet, uint32_t service)
{
  return &fst_service_state (fleet, service)->budget;
}

/* Returns whether this daemon may reach ENDPOINT of SERVICE: while it is cut
   off, only endpoints that have answered since then.  */
bool
fst_is_in_reach (const struct service_state *service,
                 const struct fst_endpoint *endpoint)
{
  return !service->cut_off || endpoint->answered_us > service->cut_since_us;
}

/* Returns the time, in milliseconds, that PART takes for one layer of one
   token, raised if it failed lately.  */
static double
layer_cost (const struct flt_engine_spec *engine,
            const struct fst_endpoint *part)
{
  bool failed_lately = part->evidence.backoffs > 0;
  return engine->step_ms * part->step_factor / engine->layers
         * (failed_lately ? UNPROVEN_FACTOR : 1);
}

/* Returns the time, in milliseconds, that one token takes on PATH.  */
static double
token_cost (const struct flt_engine_spec *engine, const struct fst_path *path)
{
  double cost_ms = 0;
  for (uint32_t i = 0; i < path->count; i++)
    {
      const struct fst_endpoint *part = path->parts[i];
      double layers = path->layers[i].end - path->layers[i].first;
      cost_ms += layers * layer_cost (engine, part);
      if (i > 0)
        {
          bool crosses = part->data_centre != path->parts[i - 1]->data_centre;
          cost_ms += crosses ? DATA_CENTRE_HOP_MS : HOP_MS;
        }
    }
  return cost_ms;
}

/* Returns the number of hops of PATH from one data centre to another.  */
static uint32_t
count_crossings (const struct fst_path *path)
{
  uint32_t crossings = 0;
  for (uint32_t i = 1; i < path->count; i++)
    {
      crossings
          += path->parts[i]->data_centre != path->parts[i - 1]->data_centre;
    }
  return crossings;
}

/* Creates a path from FOUND, a result of the search over ENGINES.  */
static struct fst_path *
make_path (const struct flt_engine_spec *engine, const struct pth_path *found,
           const GPtrArray *engines)
{
  struct fst_path *path = g_new0 (struct fst_path, 1);
  GString *text = g_string_new (NULL);
  path->references = 1;
  path->count = found->count;
  path->parts = g_new (struct fst_endpoint *, found->count);
  path->layers = g_new (struct rst_layers, found->count);
  for (uint32_t i = 0; i < found->count; i++)
    {
      struct fst_endpoint *part
          = g_ptr_array_index (engines, found->parts[i].engine);
      path->parts[i] = fst_reference (part);
      path->layers[i] = found->parts[i].layers;
      g_string_append_printf (text, "%s%s=%u-%u", i == 0 ? "" : ",",
                              part->address, path->layers[i].first,
                              path->layers[i].end);
    }
  path->text = g_string_free (text, FALSE);
  path->token_ms = token_cost (engine, path);
  path->crossings = count_crossings (path);
  return path;
}

static bool
contains_path (const GPtrArray *paths, const char *text)
{
  for (guint i = 0; i < paths->len; i++)
    {
      const struct fst_path *path = g_ptr_array_index (paths, i);
      if (strcmp (path->text, text) == 0)
        {
          return true;
        }
    }
  return false;
}

/* Adds the path over ENGINES with the lowest cost to PATHS, unless it is there
   already, and raises the cost of its engines for the next search.  Returns
   false when there is no path.  */
static bool
add_path (GPtrArray *paths, const struct flt_engine_spec *engine,
          const GPtrArray *engines, struct pth_engine *path_engines)
{
  const struct pth_costs costs = {
    .layers = engine->layers,
    .hop_ms = HOP_MS,
    .data_centre_hop_ms = DATA_CENTRE_HOP_MS,
  };
  struct pth_path found;
  if (!pth_find (&costs, path_engines, engines->len, &found))
    {
      return false;
    }
  struct fst_path *path = make_path (engine, &found, engines);
  if (contains_path (paths, path->text))
    {
      fst_release_path (path);
    }
  else
    {
      g_ptr_array_add (paths, path);
    }
  for (uint32_t i = 0; i < found.count; i++)
    {
      path_engines[found.parts[i].engine].layer_ms *= REUSE_FACTOR;
    }
  return true;
}

/* Keeps only those of PATHS with the fewest hops between data centres: a
   prompt uses much of the capacity of these links, which all paths share.  */
static void
remove_crossing_paths (GPtrArray *paths)
{
  uint32_t min_crossings = UINT32_MAX;
  for (guint i = 0; i < paths->len; i++)
    {
      const struct fst_path *path = g_ptr_array_index (paths, i);
      min_crossings = MIN (min_crossings, path->crossings);
    }
  for (guint i = paths->len; i-- > 0;)
    {
      const struct fst_path *path = g_ptr_array_index (paths, i);
      if (path->crossings > min_crossings)
        {
          g_ptr_array_remove_index (paths, i);
        }
    }
}

/* Returns the index of ENGINE in ENGINES.  */
static uint32_t
find_engine (const GPtrArray *engines, const struct fst_endpoint *engine)
{
  guint index = 0;
  g_ptr_array_find ((GPtrArray *)engines, engine, &index);
  return index;
}

/* Returns the resources that PATH uses: the memory of each of its parts, and
   the slots of the first.  Resources are numbered as in divide_capacity: the
   memory of each of ENGINES, then the slots of each.  The caller frees the
   list.  */
static struct rom_path
describe_needs (const struct fst_path *path, const GPtrArray *engines)
{
  uint32_t *resources = g_new (uint32_t, path->count + 1);
  for (uint32_t part = 0; part < path->count; part++)
    {
      resources[part] = find_engine (engines, path->parts[part]);
    }
  resources[path->count]
      = engines->len + find_engine (engines, path->parts[0]);
  return (struct rom_path){
    .resources = resources,
    .resource_count = path->count + 1,
  };
}

/* Divides the memory and slots of ENGINES, in tokens, among PATHS that share
   them.  */
static void
divide_capacity (const struct flt_engine_spec *engine, const GPtrArray *paths,
                 const GPtrArray *engines)
{
  double usual_tokens
      = MAX (engine->usual_prompt_tokens + engine->usual_answer_tokens, 1);
  double *capacities = g_new (double, 2 * (size_t)engines->len + 1);
  struct rom_path *needs = g_new0 (struct rom_path, paths->len + 1);
  for (guint i = 0; i < engines->len; i++)
    {
      const struct fst_endpoint *part = g_ptr_array_index (engines, i);
      capacities[i] = MAX (part->cache_tokens, usual_tokens);
      capacities[engines->len + i] = MAX (part->slots, 1) * usual_tokens;
    }
  for (guint i = 0; i < paths->len; i++)
    {
      needs[i] = describe_needs (g_ptr_array_index (paths, i), engines);
    }
  rom_divide (capacities, 2 * engines->len, needs, paths->len);
  for (guint i = 0; i < paths->len; i++)
    {
      struct fst_path *path = g_ptr_array_index (paths, i);
      path->capacity_tokens = MAX (needs[i].capacity, 1);
      g_free (needs[i].resources);
    }
  g_free (needs);
  g_free (capacities);
}

/* Describes the engine ENDPOINT to the path search, as it will be at NOW_US.
   One that is in backoff is used as a LAST_RESORT only.  */
static struct pth_engine
make_path_engine (const struct flt_engine_spec *engine,
                  struct fst_endpoint *endpoint, bool last_resort,
                  int64_t now_us)
{
  bool usable = last_resort || evd_usable (&endpoint->evidence, now_us)
                || endpoint->evidence.state == EVD_PROBING;
  return (struct pth_engine){
    .held = endpoint->layers,
    .data_centre = endpoint->data_centre,
    .usable = usable && now_us >= endpoint->opens_us,
    .layer_ms = layer_cost (engine, endpoint),
  };
}

/* Adds the listed engines of the service INDEX to ENGINES, and their
   descriptions for the path search, as they will be at NOW_US, to
   PATH_ENGINES.  */
static void
describe_engines (struct fst_fleet *fleet, uint32_t index, GPtrArray *engines,
                  GArray *path_engines, bool last_resort, int64_t now_us)
{
  const struct flt_engine_spec *engine
      = &fleet->view->config->services[index].engine;
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      struct fst_endpoint *endpoint = g_ptr_array_index (fleet->ordered, i);
      if (endpoint->service == index && endpoint->listed)
        {
          struct pth_engine path_engine
              = make_path_engine (engine, endpoint, last_resort, now_us);
          g_array_append_val (path_engines, path_engine);
          g_ptr_array_add (engines, endpoint);
        }
    }
}

/* Adds paths of the service INDEX to PATHS, which use different engines as far
   as possible.  */
static void
add_paths (struct fst_fleet *fleet, uint32_t index, GPtrArray *paths,
           bool last_resort, int64_t now_us)
{
  const struct flt_engine_spec *engine
      = &fleet->view->config->services[index].engine;
  GPtrArray *engines = g_ptr_array_new ();
  GArray *path_engines
      = g_array_new (FALSE, FALSE, sizeof (struct pth_engine));
  describe_engines (fleet, index, engines, path_engines, last_resort, now_us);
  uint32_t searches = PATHS_PER_DATA_CENTRE * fleet->data_centres->len;
  while (searches > 0
         && add_path (paths, engine, engines,
                      (struct pth_engine *)path_engines->data))
    {
      searches--;
    }
  remove_crossing_paths (paths);
  divide_capacity (engine, paths, engines);
  g_ptr_array_free (engines, TRUE);
  g_array_free (path_engines, TRUE);
}

static gint
compare_times (gconstpointer a, gconstpointer b)
{
  int64_t left_us = *(const int64_t *)a;
  int64_t right_us = *(const int64_t *)b;
  return (left_us > right_us) - (left_us < right_us);
}

/* True when the service INDEX has a path over the engines that are open at
   AT_US.  */
static bool
has_path (struct fst_fleet *fleet, uint32_t index, int64_t at_us)
{
  const struct pth_costs costs = {
    .layers = fleet->view->config->services[index].engine.layers,
    .hop_ms = HOP_MS,
    .data_centre_hop_ms = DATA_CENTRE_HOP_MS,
  };
  GPtrArray *engines = g_ptr_array_new ();
  GArray *path_engines
      = g_array_new (FALSE, FALSE, sizeof (struct pth_engine));
  struct pth_path found;
  describe_engines (fleet, index, engines, path_engines, true, at_us);
  bool exists = pth_find (&costs, (struct pth_engine *)path_engines->data,
                          path_engines->len, &found);
  g_ptr_array_free (engines, TRUE);
  g_array_free (path_engines, TRUE);
  return exists;
}

/* Returns the times after NOW_US at which endpoints of the service INDEX that
   turned requests away open, or if RATED those that limit their rate too, in
   order.  The caller frees them.  */
static GArray *
list_openings (const struct fst_fleet *fleet, uint32_t index, bool rated,
               int64_t now_us)
{
  GArray *openings = g_array_new (FALSE, FALSE, sizeof (int64_t));
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      const struct fst_endpoint *endpoint
          = g_ptr_array_index (fleet->ordered, i);
      int64_t opens_us = rated ? opens_for_requests_us (endpoint, now_us)
                               : endpoint->opens_us;
      if (endpoint->service == index && endpoint->listed && opens_us > now_us)
        {
          g_array_append_val (openings, opens_us);
        }
    }
  g_array_sort (openings, compare_times);
  return openings;
}

/* Returns when the service INDEX, which has no path now, has one over engines
   that open later; 0 if it doesn't.  */
static int64_t
first_opening_us (struct fst_fleet *fleet, uint32_t index, int64_t now_us)
{
  GArray *openings = list_openings (fleet, index, false, now_us);
  /* A path that exists at one opening exists at all later ones. */
  guint first = 0;
  guint end = openings->len;
  while (first < end)
    {
      guint middle = first + (end - first) / 2;
      if (has_path (fleet, index, g_array_index (openings, int64_t, middle)))
        {
          end = middle;
        }
      else
        {
          first = middle + 1;
        }
    }
  int64_t opens_us
      = first < openings->len ? g_array_index (openings, int64_t, first) : 0;
  g_array_free (openings, TRUE);
  return opens_us;
}

/* Computes the paths of the service INDEX.  Engines in backoff are used only
   if there is no path without them.  */
static void
find_paths (struct fst_fleet *fleet, uint32_t index,
            struct service_state *service, int64_t now_us)
{
  invalidate_paths (service);
  service->paths
      = g_ptr_array_new_with_free_func ((GDestroyNotify)fst_release_path);
  service->paths_until_us = now_us + PATHS_VALID_US;
  add_paths (fleet, index, service->paths, false, now_us);
  if (service->paths->len == 0)
    {
      add_paths (fleet, index, service->paths, true, now_us);
    }
  service->opens_us
      = service->paths->len == 0 ? first_opening_us (fleet, index, now_us) : 0;
  if (service->opens_us > 0)
    {
      service->paths_until_us
          = MIN (service->paths_until_us, service->opens_us);
    }
}

/* Returns when every part of PATH may get the next request, not after NOW_US
   if they may now; INT64_MAX if a part isn't listed any more.  Only the first
   part gets the request itself, which its rate counts.  */
static int64_t
path_opens_us (const struct fst_path *path, int64_t now_us)
{
  int64_t opens_us = opens_for_requests_us (path->parts[0], now_us);
  for (uint32_t i = 0; i < path->count; i++)
    {
      const struct fst_endpoint *part = path->parts[i];
      opens_us = part->listed ? MAX (opens_us, part->opens_us) : INT64_MAX;
      if (!part->listed)
        {
          break;
        }
    }
  return opens_us;
}

/* Returns whether PATH of SERVICE takes a request of this daemon at NOW_US. */
bool
fst_path_is_open (const struct service_state *service,
                  const struct fst_path *path, int64_t now_us)
{
  return path_opens_us (path, now_us) <= now_us
         && fst_is_in_reach (service, path->parts[0]);
}

/* Returns for how long an engine of PATH still counts as full at NOW_US; 0 if
   none does.  */
int64_t
fst_path_full_us (const struct fst_path *path, int64_t now_us)
{
  int64_t full_us = 0;
  for (uint32_t i = 0; i < path->count; i++)
    {
      full_us = MAX (full_us, path->parts[i]->evidence.full_until_us - now_us);
    }
  return full_us;
}

/* Returns the state of the service INDEX with its paths as of NOW_US.  */
struct service_state *
fst_service_with_paths (struct fst_fleet *fleet, uint32_t index,
                        int64_t now_us)
{
  struct service_state *service = fst_service_state (fleet, index);
  if (service->paths == NULL || now_us >= service->paths_until_us)
    {
      find_paths (fleet, index, service, now_us);
    }
  return service;
}

/* Returns when the first path of the service INDEX takes a request, if it has
   paths and all are closed now, or when it has a path again, as far as
   endpoints have turned requests away or named rates; else 0.  */
static int64_t
first_path_opens_us (struct fst_fleet *fleet, uint32_t index, int64_t now_us)
{
  const struct service_state *service
      = fst_service_with_paths (fleet, index, now_us);
  int64_t first_us = INT64_MAX;
  for (guint i = 0; i < service->paths->len; i++)
    {
      first_us = MIN (
          first_us,
          path_opens_us (g_ptr_array_index (service->paths, i), now_us));
    }
  return service->paths->len == 0                      ? service->opens_us
         : first_us <= now_us || first_us == INT64_MAX ? 0
                                                       : first_us;
}

/* Returns when the first of the endpoints or paths of SERVICE opens, if all of
   them are closed now since endpoints turned requests away or limit their
   rate; else 0.  */
int64_t
fst_opens_us (struct fst_fleet *fleet, uint32_t service, int64_t now_us)
{
  const struct flt_service *described = &fst_config (fleet)->services[service];
  if (flt_has_paths (described))
    {
      return first_path_opens_us (fleet, service, now_us);
    }
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      const struct fst_endpoint *endpoint
          = g_ptr_array_index (fleet->ordered, i);
      if (endpoint->service == service && endpoint->listed
          && opens_for_requests_us (endpoint, now_us) <= now_us)
        {
          return 0;
        }
    }
  GArray *openings = list_openings (fleet, service, true, now_us);
  int64_t opens_us
      = openings->len == 0 ? 0 : g_array_index (openings, int64_t, 0);
  g_array_free (openings, TRUE);
  return opens_us;
}

/* Returns the endpoint ID, or NULL if it isn't known.  */
struct fst_endpoint *
fst_find_id (struct fst_fleet *fleet, const char *id)
{
  return g_hash_table_lookup (fleet->endpoints, id);
}

/* Returns the endpoint of SERVICE at ADDRESS in the view in force, or
   NULL.  */
struct fst_endpoint *
fst_find_address (struct fst_fleet *fleet, uint32_t service,
                  const char *address)
{
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      struct fst_endpoint *endpoint = g_ptr_array_index (fleet->ordered, i);
      if (endpoint->service == service
          && strcmp (endpoint->address, address) == 0)
        {
          return endpoint;
        }
    }
  return NULL;
}

/* Returns whether this daemon is cut off from the service of ENDPOINT.  */
static bool
is_cut_off (struct fst_fleet *fleet, const struct fst_endpoint *endpoint)
{
  const struct flt_config *config = fst_config (fleet);
  return config != NULL && endpoint->service < config->service_count
         && fst_service_state (fleet, endpoint->service)->cut_off;
}

/* Records in the verdicts, for the control thread, that ENDPOINT has been
   found dead or alive again.  WAS_DEAD is its state before.  An endpoint that
   isn't listed any more is left out.  */
static void
publish_verdict (struct fst_fleet *fleet, const struct fst_endpoint *endpoint,
                 bool was_dead)
{
  if (endpoint->evidence.dead == was_dead || !endpoint->listed
      || (!was_dead && is_cut_off (fleet, endpoint)))
    {
      return;
    }
  lg_line (LOG_NOTICE, was_dead ? "endpoint_alive" : "endpoint_dead",
           "endpoint=%s address=%s", endpoint->id, endpoint->address);
  if (was_dead)
    {
      vdt_clear (fleet->verdicts, endpoint->id);
    }
  else
    {
      vdt_set_dead (fleet->verdicts, endpoint->id, endpoint->born_ms);
    }
}

/* Records whether this daemon is cut off from the endpoints of SERVICE.  Those
   that it can't reach aren't dead for others, so verdicts of that are taken
   back.  Those that answer calls sent after SINCE_US, monotonic time, are in
   reach all the same.  */
void
fst_set_cut_off (struct fst_fleet *fleet, uint32_t service, bool is_cut_off,
                 int64_t since_us)
{
  struct service_state *state = fst_service_state (fleet, service);
  state->cut_off = is_cut_off;
  state->cut_since_us = since_us;
  for (guint i = 0; is_cut_off && i < fleet->ordered->len; i++)
    {
      const struct fst_endpoint *endpoint
          = g_ptr_array_index (fleet->ordered, i);
      if (endpoint->service == service)
        {
          vdt_clear (fleet->verdicts, endpoint->id);
        }
    }
}

/* Adds the endpoints of SERVICE that may be asked whether they answer at
   NOW_US to ENDPOINTS, without references.  */
void
fst_list_probed (struct fst_fleet *fleet, uint32_t service, int64_t now_us,
                 GPtrArray *endpoints)
{
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      struct fst_endpoint *endpoint = g_ptr_array_index (fleet->ordered, i);
      if (endpoint->service == service && endpoint->listed
          && now_us >= endpoint->opens_us)
        {
          g_ptr_array_add (endpoints, endpoint);
        }
    }
}

/* Adds the dead endpoints whose backoff is over at NOW_US to ENDPOINTS,
   without references.  */
void
fst_list_dead (struct fst_fleet *fleet, int64_t now_us, GPtrArray *endpoints)
{
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      struct fst_endpoint *endpoint = g_ptr_array_index (fleet->ordered, i);
      if (endpoint->evidence.dead && endpoint->listed
          && endpoint->service != FLT_NO_INDEX && now_us >= endpoint->opens_us
          && !is_cut_off (fleet, endpoint)
          && evd_usable (&endpoint->evidence, now_us))
        {
          g_ptr_array_add (endpoints, endpoint);
        }
    }
}

/* Adds references to the engines at which paths of requests in progress begin
   to ENGINES.  */
void
fst_list_first (const struct fst_fleet *fleet, GPtrArray *engines)
{
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      struct fst_endpoint *endpoint = g_ptr_array_index (fleet->ordered, i);
      if (endpoint->first_requests > 0)
        {
          g_ptr_array_add (engines, fst_reference (endpoint));
        }
    }
}

/* Returns whether requests over paths are in progress.  */
bool
fst_has_streams (const struct fst_fleet *fleet)
{
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      const struct fst_endpoint *endpoint
          = g_ptr_array_index (fleet->ordered, i);
      if (endpoint->first_requests > 0)
        {
          return true;
        }
    }
  return false;
}

/* Returns the number of endpoints of SERVICE that are known.  */
uint32_t
fst_endpoint_count (const struct fst_fleet *fleet, uint32_t service)
{
  uint32_t count = 0;
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      const struct fst_endpoint *endpoint
          = g_ptr_array_index (fleet->ordered, i);
      count += endpoint->service == service;
    }
  return count;
}

/* Returns whether this daemon can't reach some endpoints of SERVICE, which
   others may reach.  */
bool
fst_lacks_endpoints (const struct fst_fleet *fleet, uint32_t service)
{
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      const struct fst_endpoint *endpoint
          = g_ptr_array_index (fleet->ordered, i);
      if (endpoint->service == service && endpoint->listed
          && endpoint->evidence.dead)
        {
          return true;
        }
    }
  return false;
}

/* Discards the paths of ENDPOINT's service.  */
static void
invalidate_paths_over (struct fst_fleet *fleet,
                       const struct fst_endpoint *endpoint)
{
  const struct flt_config *config = fst_config (fleet);
  if (config != NULL && endpoint->service < config->service_count)
    {
      invalidate_paths (fst_service_state (fleet, endpoint->service));
    }
}

/* Records that ENDPOINT answers, which doesn't show that it serves.  */
void
fst_report_alive (struct fst_fleet *fleet, struct fst_endpoint *endpoint)
{
  bool was_dead = endpoint->evidence.dead;
  evd_answered (&endpoint->evidence);
  publish_verdict (fleet, endpoint, was_dead);
}

/* Records a success of ENDPOINT, which took LATENCY_US.  */
void
fst_report_success (struct fst_fleet *fleet, struct fst_endpoint *endpoint,
                    int64_t latency_us)
{
  bool was_dead = endpoint->evidence.dead;
  evd_success (&endpoint->evidence, latency_us);
  publish_verdict (fleet, endpoint, was_dead);
}

/* Records a failure of KIND at ENDPOINT; REASON goes into the log.
   Paths are computed again if the endpoint goes into backoff.  */
void
fst_report_failure (struct fst_fleet *fleet, struct fst_endpoint *endpoint,
                    enum evd_failure_kind kind, const char *reason,
                    int64_t now_us)
{
  bool was_dead = endpoint->evidence.dead;
  bool in_backoff = evd_failure (&endpoint->evidence, kind, now_us);
  publish_verdict (fleet, endpoint, was_dead);
  if (fleet->failed != NULL)
    {
      fleet->failed (fleet->failed_context, endpoint, kind, in_backoff,
                     now_us);
    }
  if (!in_backoff)
    {
      return;
    }
  lg_line (LOG_NOTICE, "endpoint_rests",
           "endpoint=%s address=%s reason=\"%s\" strikes=%u rest_ms=%ld",
           endpoint->id, endpoint->address, reason,
           endpoint->evidence.backoffs,
           (long)((endpoint->evidence.backoff_until_us - now_us) / CLK_MS_US));
  invalidate_paths_over (fleet, endpoint);
}

/* Records that ENDPOINT said that it leaves: it gets no new requests.  Returns
   false when that was known.  */
bool
fst_report_leaving (struct fst_fleet *fleet, struct fst_endpoint *endpoint)
{
  endpoint->listed = false;
  if (!vdt_set_leaving (fleet->verdicts, endpoint->id, endpoint->born_ms))
    {
      return false;
    }
  lg_line (LOG_NOTICE, "endpoint_says_leaving", "endpoint=%s address=%s",
           endpoint->id, endpoint->address);
  invalidate_paths_over (fleet, endpoint);
  return true;
}

/* Records that ENDPOINT turned a request away and wants no others for
   DURATION_US from NOW_US on.  That shows that it is alive and short of room,
   not that it fails.  Returns false when it was closed already.  */
bool
fst_report_turned_away (struct fst_fleet *fleet, struct fst_endpoint *endpoint,
                        int64_t duration_us, int64_t now_us)
{
  bool was_dead = endpoint->evidence.dead;
  evd_answered (&endpoint->evidence);
  publish_verdict (fleet, endpoint, was_dead);
  bool was_open = now_us >= endpoint->opens_us;
  endpoint->opens_us = vdt_turn_away (fleet->verdicts, endpoint->id,
                                      endpoint->born_ms, duration_us, now_us);
  if (!was_open)
    {
      return false;
    }
  lg_line (LOG_NOTICE, "endpoint_turned_away",
           "endpoint=%s address=%s for_ms=%ld opens_in_ms=%ld", endpoint->id,
           endpoint->address, (long)(duration_us / CLK_MS_US),
           (long)((endpoint->opens_us - now_us) / CLK_MS_US));
  invalidate_paths_over (fleet, endpoint);
  return true;
}

/* Records that ENDPOINT takes PER_S requests a second from all daemons
   together; 0: it names no limit any more.  */
void
fst_report_rate (struct fst_fleet *fleet, struct fst_endpoint *endpoint,
                 double per_s)
{
  shr_set (&endpoint->rate, per_s, g_random_double ());
  shr_set_share (&endpoint->rate, fleet->view->rate_share);
}

/* Records that a request is sent to ENDPOINT at NOW_US.  */
void
fst_take_rate (struct fst_endpoint *endpoint, int64_t now_us)
{
  shr_take (&endpoint->rate, now_us);
}

/* True when the configuration is known and an endpoint of one of its services
   is listed.  */
bool
fst_can_serve (const struct fst_fleet *fleet)
{
  const struct flt_config *config = fst_config (fleet);
  if (config == NULL)
    {
      return false;
    }
  for (guint i = 0; i < fleet->ordered->len; i++)
    {
      const struct fst_endpoint *endpoint
          = g_ptr_array_index (fleet->ordered, i);
      if (endpoint->listed && endpoint->service != FLT_NO_INDEX)
        {
          return true;
        }
    }
  return false;
}
