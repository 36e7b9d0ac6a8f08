#include "entry/fleet_state.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/room.h"
#include "core/stage_plan.h"

#include <math.h>
#include <string.h>

/* Costs of a path beside its engines' steps: the way between two engines of a
   data centre and the wait for the next pass, and the same between data
   centres. */
#define HOP_MS 0.3
#define ZONE_HOP_MS 12.0

/* An engine that failed lately costs so much more, until it has proved
   itself. */
#define DOUBT_FACTOR 3.0

/* Paths are sought again after this time even if nothing changed, since
   endpoints end their rest. */
#define PATHS_VALID_US (200 * CLK_MS_US)

/* Searches of paths, by data centre, and how much dearer engines get for the
   next search once a path uses them. */
#define PATHS_PER_ZONE 5
#define USED_FACTOR 3.0

/* Preference for paths of the daemon's own data centre. */
#define HOME_WEIGHT 1.15

/* Bounds the random part of a request's load. */
#define RANDOM_LEAST 1e-6

/* From this share of an endpoint's room on, another one is sought first; what
   is beyond it weighs so much more. */
#define FULL_SHARE 0.9
#define OVERFULL_FACTOR 10.0

/* Share of the fleet's requests that is assumed to be this daemon's until the
   group tells. */
#define LEAST_SHARE 0.02

struct service_state
{
  struct rbg_budget budget;
  GPtrArray *paths; /* struct fst_path; NULL: not sought */
  int64_t paths_until_us;
};

struct fst_fleet
{
  char *data_centre;
  struct rbg_params budget_params;
  struct vdt_verdicts *verdicts; /* for the control thread */
  struct fvw_view *view;
  GHashTable *endpoints; /* id to struct fst_endpoint */
  GPtrArray *order;      /* the same, in the order of the view */
  GPtrArray *zones;      /* names, allocated */
  GHashTable *services;  /* name to struct service_state */
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

/* Creates the state of a daemon in DATA_CENTRE that knows of no endpoint.
   VERDICTS, which must outlive it, learn which endpoints are dead.  */
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
  fleet->order = g_ptr_array_new ();
  fleet->zones = g_ptr_array_new_with_free_func (g_free);
  fleet->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                           destroy_service);
  return fleet;
}

/* Frees FLEET; endpoints that requests use stay until these end.  */
void
fst_destroy (struct fst_fleet *fleet)
{
  fvw_release (fleet->view);
  g_hash_table_destroy (fleet->services);
  g_hash_table_destroy (fleet->endpoints);
  g_ptr_array_free (fleet->order, TRUE);
  g_ptr_array_free (fleet->zones, TRUE);
  g_free (fleet->data_centre);
  g_free (fleet);
}

/* Returns ENDPOINT with one more reference.  */
struct fst_endpoint *
fst_reference (struct fst_endpoint *endpoint)
{
  endpoint->references++;
  return endpoint;
}

/* Gives a reference to ENDPOINT back; the last one frees it.  */
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

/* Returns PATH with one more reference.  */
struct fst_path *
fst_reference_path (struct fst_path *path)
{
  path->references++;
  return path;
}

/* Gives a reference to PATH back; the last one frees it.  */
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

/* Counts a request of TOKENS on every part of PATH.  */
void
fst_begin_path (struct fst_path *path, double tokens)
{
  path->parts[0]->begun++;
  for (uint32_t i = 0; i < path->count; i++)
    {
      path->parts[i]->used_tokens += tokens;
      evd_begin (&path->parts[i]->evidence);
    }
}

/* Ends what fst_begin_path began.  */
void
fst_end_path (struct fst_path *path, double tokens)
{
  path->parts[0]->begun--;
  for (uint32_t i = 0; i < path->count; i++)
    {
      path->parts[i]->used_tokens -= tokens;
      evd_end (&path->parts[i]->evidence);
    }
}

/* Returns the index of the data centre NAME, added at need.  */
static uint32_t
zone_index (struct fst_fleet *fleet, const char *name)
{
  for (guint i = 0; i < fleet->zones->len; i++)
    {
      if (strcmp (g_ptr_array_index (fleet->zones, i), name) == 0)
        {
          return i;
        }
    }
  g_ptr_array_add (fleet->zones, g_strdup (name));
  return fleet->zones->len - 1;
}

/* Fills what SEEN and its kind of accelerator say of ENDPOINT.  */
static void
describe (struct fst_fleet *fleet, const struct rst_endpoint *seen,
          struct fst_endpoint *endpoint)
{
  const struct flt_config *config = fleet->view->config;
  endpoint->service = config == NULL
                          ? FLT_NO_INDEX
                          : flt_find_service (config, seen->service);
  endpoint->zone = zone_index (fleet, seen->data_centre);
  endpoint->slots = seen->slots;
  endpoint->layers = seen->layers;
  endpoint->step_factor = 1;
  if (endpoint->service == FLT_NO_INDEX
      || !config->services[endpoint->service].has_engine)
    {
      return;
    }
  const struct flt_engine *engine
      = &config->services[endpoint->service].engine;
  const struct flt_kind *kind = flt_find_kind (engine, seen->kind);
  if (kind != NULL && engine->layers > 0)
    {
      endpoint->step_factor = kind->step_factor;
      endpoint->cache_tokens = stp_cache_tokens (
          engine, kind->memory_mb, seen->layers.end - seen->layers.first);
    }
}

/* Takes one endpoint of the view.  A new incarnation starts without a
   history.  */
static void
take_endpoint (struct fst_fleet *fleet, const struct rst_endpoint *seen)
{
  struct fst_endpoint *endpoint
      = g_hash_table_lookup (fleet->endpoints, seen->id);
  if (endpoint != NULL
      && (endpoint->born_ms != seen->born_ms
          || strcmp (endpoint->address, seen->address) != 0))
    {
      endpoint->listed = false;
      vdt_clear (fleet->verdicts, endpoint->id);
      g_hash_table_remove (fleet->endpoints, seen->id);
      endpoint = NULL;
    }
  if (endpoint == NULL)
    {
      endpoint = g_new0 (struct fst_endpoint, 1);
      endpoint->references = 1;
      endpoint->id = g_strdup (seen->id);
      endpoint->address = g_strdup (seen->address);
      endpoint->born_ms = seen->born_ms;
      g_hash_table_insert (fleet->endpoints, endpoint->id, endpoint);
    }
  describe (fleet, seen, endpoint);
  endpoint->listed = !seen->leaving;
  endpoint->seen = true;
  g_ptr_array_add (fleet->order, endpoint);
}

/* Forgets the endpoints that the view doesn't name.  */
static void
forget_unseen (struct fst_fleet *fleet)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet->endpoints);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct fst_endpoint *endpoint = value;
      if (!endpoint->seen)
        {
          endpoint->listed = false;
          vdt_clear (fleet->verdicts, endpoint->id);
          g_hash_table_iter_remove (&iter);
        }
    }
}

/* Returns the state of the service INDEX.  */
static struct service_state *
service_state (struct fst_fleet *fleet, uint32_t index)
{
  const char *name = fleet->view->config->services[index].name;
  struct service_state *service = g_hash_table_lookup (fleet->services, name);
  if (service == NULL)
    {
      service = g_new0 (struct service_state, 1);
      rbg_start (&service->budget, &fleet->budget_params);
      g_hash_table_insert (fleet->services, g_strdup (name), service);
    }
  rbg_set_share (&service->budget, fleet->view->share, clk_monotonic_us ());
  return service;
}

/* Lets the paths of SERVICE be sought anew.  */
static void
drop_paths (struct service_state *service)
{
  if (service->paths != NULL)
    {
      g_ptr_array_free (service->paths, TRUE);
      service->paths = NULL;
    }
}

/* Takes VIEW, owned from now on, in place of the one in force.  */
void
fst_take (struct fst_fleet *fleet, struct fvw_view *view)
{
  fvw_release (fleet->view);
  fleet->view = view;
  for (guint i = 0; i < fleet->order->len; i++)
    {
      struct fst_endpoint *endpoint = g_ptr_array_index (fleet->order, i);
      endpoint->seen = false;
    }
  g_ptr_array_set_size (fleet->order, 0);
  for (guint i = 0; i < view->endpoints->len; i++)
    {
      take_endpoint (fleet, g_ptr_array_index (view->endpoints, i));
    }
  forget_unseen (fleet);
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, fleet->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      drop_paths (value);
    }
}

/* Returns the view in force, or NULL before the first.  */
const struct fvw_view *
fst_view (const struct fst_fleet *fleet)
{
  return fleet->view;
}

/* Returns the configuration in force, or NULL.  It is valid until the next
   fst_take.  */
const struct flt_config *
fst_config (const struct fst_fleet *fleet)
{
  return fleet->view == NULL ? NULL : fleet->view->config;
}

/* Returns the budget of repeats toward SERVICE.  */
struct rbg_budget *
fst_budget (struct fst_fleet *fleet, uint32_t service)
{
  return &service_state (fleet, service)->budget;
}

static bool
is_tried (const GPtrArray *tried, const struct fst_endpoint *endpoint)
{
  for (guint i = 0; tried != NULL && i < tried->len; i++)
    {
      if (g_ptr_array_index (tried, i) == endpoint)
        {
          return true;
        }
    }
  return false;
}

/* Returns what a request costs at ENDPOINT, a plain service: its share of
   failures, the work before it, and the way.  */
static double
endpoint_cost (const struct fst_fleet *fleet, uint32_t home,
               const struct fst_endpoint *endpoint)
{
  double share = MAX (fleet->view->share, LEAST_SHARE);
  double slots = MAX (endpoint->slots, 1) * share;
  double load = (endpoint->evidence.in_flight + 1) / MAX (slots, 1);
  double away = endpoint->zone == home ? 0 : 0.15;
  return (load + away) * (1 + 8 * endpoint->evidence.failure_rate)
         * (1 + endpoint->evidence.latency_us / CLK_S_US);
}

/* Returns the cheapest endpoint of SERVICE, a plain one, that isn't among
   TRIED, or NULL.  One that rests is used only as a LAST_RESORT.  */
static struct fst_endpoint *
cheapest_endpoint (struct fst_fleet *fleet, uint32_t service,
                   const GPtrArray *tried, bool last_resort, int64_t now_us)
{
  uint32_t home = zone_index (fleet, fleet->data_centre);
  struct fst_endpoint *best = NULL;
  double best_cost = INFINITY;
  for (guint i = 0; i < fleet->order->len; i++)
    {
      struct fst_endpoint *endpoint = g_ptr_array_index (fleet->order, i);
      if (endpoint->service != service || !endpoint->listed
          || is_tried (tried, endpoint)
          || !(last_resort || evd_usable (&endpoint->evidence, now_us)))
        {
          continue;
        }
      double cost = endpoint_cost (fleet, home, endpoint)
                    * g_random_double_range (0.95, 1.05);
      if (cost < best_cost)
        {
          best = endpoint;
          best_cost = cost;
        }
    }
  return best;
}

/* Chooses an endpoint of SERVICE, a plain one, that isn't among TRIED.
   Returns a reference, or NULL when there is none.  */
struct fst_endpoint *
fst_choose_endpoint (struct fst_fleet *fleet, uint32_t service,
                     const GPtrArray *tried, int64_t now_us)
{
  struct fst_endpoint *best
      = cheapest_endpoint (fleet, service, tried, false, now_us);
  if (best == NULL)
    {
      best = cheapest_endpoint (fleet, service, tried, true, now_us);
    }
  return best == NULL ? NULL : fst_reference (best);
}

/* Returns the cost of one layer of one token on PART, an engine.  */
static double
layer_cost (const struct flt_engine *engine, const struct fst_endpoint *part)
{
  bool doubtful = part->evidence.strikes > 0;
  return engine->step_ms * part->step_factor / engine->layers
         * (doubtful ? DOUBT_FACTOR : 1);
}

/* Returns the cost of one token on PATH with its engines' own figures.  */
static double
token_cost (const struct flt_engine *engine, const struct fst_path *path)
{
  double cost_ms = 0;
  for (uint32_t i = 0; i < path->count; i++)
    {
      const struct fst_endpoint *part = path->parts[i];
      double layers = path->layers[i].end - path->layers[i].first;
      cost_ms += layers * layer_cost (engine, part);
      if (i > 0)
        {
          bool crosses = part->zone != path->parts[i - 1]->zone;
          cost_ms += crosses ? ZONE_HOP_MS : HOP_MS;
        }
    }
  return cost_ms;
}

/* Returns the number of times that PATH goes to another data centre.  */
static uint32_t
count_crossings (const struct fst_path *path)
{
  uint32_t crossings = 0;
  for (uint32_t i = 1; i < path->count; i++)
    {
      crossings += path->parts[i]->zone != path->parts[i - 1]->zone;
    }
  return crossings;
}

/* Makes a path of what was FOUND over ENGINES.  */
static struct fst_path *
make_path (const struct flt_engine *engine, const struct pth_path *found,
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
          = g_ptr_array_index (engines, found->parts[i].card);
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
knows_path (const GPtrArray *paths, const char *text)
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

/* Adds the best path over ENGINES to PATHS, and makes the engines on it dearer
   for the next search.  Returns false when there is no path.  */
static bool
add_path (GPtrArray *paths, const struct flt_engine *engine,
          const GPtrArray *engines, struct pth_card *cards)
{
  const struct pth_costs costs = {
    .layers = engine->layers,
    .hop_ms = HOP_MS,
    .zone_hop_ms = ZONE_HOP_MS,
  };
  struct pth_path found;
  if (!pth_find (&costs, cards, engines->len, &found))
    {
      return false;
    }
  struct fst_path *path = make_path (engine, &found, engines);
  if (knows_path (paths, path->text))
    {
      fst_release_path (path);
    }
  else
    {
      g_ptr_array_add (paths, path);
    }
  for (uint32_t i = 0; i < found.count; i++)
    {
      cards[found.parts[i].card].layer_ms *= USED_FACTOR;
    }
  return true;
}

/* Leaves only those of PATHS that go between data centres least often: a
   prompt takes a good part of the links between them, which all paths
   share.  */
static void
drop_crossing_paths (GPtrArray *paths)
{
  uint32_t least = UINT32_MAX;
  for (guint i = 0; i < paths->len; i++)
    {
      const struct fst_path *path = g_ptr_array_index (paths, i);
      least = MIN (least, path->crossings);
    }
  for (guint i = paths->len; i-- > 0;)
    {
      const struct fst_path *path = g_ptr_array_index (paths, i);
      if (path->crossings > least)
        {
          g_ptr_array_remove_index (paths, i);
        }
    }
}

/* Returns the position of ENGINE in ENGINES.  */
static uint32_t
find_engine (const GPtrArray *engines, const struct fst_endpoint *engine)
{
  guint index = 0;
  g_ptr_array_find ((GPtrArray *)engines, engine, &index);
  return index;
}

/* Describes what PATH needs: memory of each of its parts, and slots of the
   first.  ENGINES have their memories first, then their slots.  */
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

/* Divides the room for requests of ENGINES among PATHS.  */
static void
set_rooms (const struct flt_engine *engine, const GPtrArray *paths,
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
      path->room_tokens = MAX (needs[i].room, 1);
      g_free (needs[i].resources);
    }
  g_free (needs);
  g_free (capacities);
}

/* Describes ENDPOINT, an engine, for the search of paths.  One that rests is
   used only by a LAST_RESORT.  */
static struct pth_card
describe_card (const struct flt_engine *engine, struct fst_endpoint *endpoint,
               bool last_resort, int64_t now_us)
{
  bool usable = evd_usable (&endpoint->evidence, now_us)
                || endpoint->evidence.state == EVD_PROVING;
  return (struct pth_card){
    .held = endpoint->layers,
    .zone = endpoint->zone,
    .usable = usable || last_resort,
    .layer_ms = layer_cost (engine, endpoint),
  };
}

/* Adds the paths of the service INDEX to PATHS, over engines that differ as
   far as that can be.  */
static void
add_paths (struct fst_fleet *fleet, uint32_t index, GPtrArray *paths,
           bool last_resort, int64_t now_us)
{
  const struct flt_engine *engine
      = &fleet->view->config->services[index].engine;
  GPtrArray *engines = g_ptr_array_new ();
  GArray *cards = g_array_new (FALSE, FALSE, sizeof (struct pth_card));
  for (guint i = 0; i < fleet->order->len; i++)
    {
      struct fst_endpoint *endpoint = g_ptr_array_index (fleet->order, i);
      if (endpoint->service == index && endpoint->listed)
        {
          struct pth_card card
              = describe_card (engine, endpoint, last_resort, now_us);
          g_array_append_val (cards, card);
          g_ptr_array_add (engines, endpoint);
        }
    }
  uint32_t turns = PATHS_PER_ZONE * fleet->zones->len;
  while (turns > 0
         && add_path (paths, engine, engines, (struct pth_card *)cards->data))
    {
      turns--;
    }
  drop_crossing_paths (paths);
  set_rooms (engine, paths, engines);
  g_ptr_array_free (engines, TRUE);
  g_array_free (cards, TRUE);
}

/* Seeks the paths of the service INDEX.  Engines that rest are better than
   none.  */
static void
seek_paths (struct fst_fleet *fleet, uint32_t index,
            struct service_state *service, int64_t now_us)
{
  drop_paths (service);
  service->paths
      = g_ptr_array_new_with_free_func ((GDestroyNotify)fst_release_path);
  service->paths_until_us = now_us + PATHS_VALID_US;
  add_paths (fleet, index, service->paths, false, now_us);
  if (service->paths->len == 0)
    {
      add_paths (fleet, index, service->paths, true, now_us);
    }
}

/* Returns the share of this daemon's part of PATH's room that is used once
   TOKENS more pass through it: of the memory of the fullest engine, or of the
   slots of the first.  */
static double
path_fill (const struct fst_fleet *fleet, const struct fst_path *path,
           double tokens)
{
  double share = MAX (fleet->view->share, LEAST_SHARE);
  const struct fst_endpoint *first = path->parts[0];
  double fill = (first->begun + 1) / MAX (first->slots * share, 1);
  for (uint32_t i = 0; i < path->count; i++)
    {
      const struct fst_endpoint *part = path->parts[i];
      double room = MAX (part->cache_tokens * share, 1);
      fill = MAX (fill, (part->used_tokens + tokens) / room);
    }
  return fill;
}

/* Returns the tokens of this daemon's own requests on PATH's fullest part,
   beside those of the request to be placed.  The random part of that request
   lets daemons that have none or few under way choose paths as often as they
   have room.  */
static double
path_load (const struct fst_path *path, double tokens)
{
  double used = 0;
  for (uint32_t i = 0; i < path->count; i++)
    {
      used = MAX (used, path->parts[i]->used_tokens);
    }
  return used - tokens * log (g_random_double_range (RANDOM_LEAST, 1));
}

/* Chooses a path of SERVICE for a request that needs memory for TOKENS: the
   one with the most room, and the faster rather than the slower.  Returns a
   reference, or NULL when there is none.  */
struct fst_path *
fst_choose_path (struct fst_fleet *fleet, uint32_t service, double tokens,
                 int64_t now_us)
{
  struct service_state *state = service_state (fleet, service);
  if (state->paths == NULL || now_us >= state->paths_until_us)
    {
      seek_paths (fleet, service, state, now_us);
    }
  uint32_t home = zone_index (fleet, fleet->data_centre);
  struct fst_path *best = NULL;
  double best_cost = INFINITY;
  for (guint i = 0; i < state->paths->len; i++)
    {
      struct fst_path *path = g_ptr_array_index (state->paths, i);
      double fill = path_fill (fleet, path, tokens);
      double overfull = MAX (fill - FULL_SHARE, 0);
      double weight = (path->parts[0]->zone == home ? HOME_WEIGHT : 1)
                      * path->room_tokens / path->token_ms;
      double cost = path_load (path, tokens) * (1 + OVERFULL_FACTOR * overfull)
                    / weight;
      if (cost < best_cost)
        {
          best = path;
          best_cost = cost;
        }
    }
  return best == NULL ? NULL : fst_reference_path (best);
}

/* Returns the listed endpoint of SERVICE at ADDRESS, or NULL.  */
struct fst_endpoint *
fst_find_address (struct fst_fleet *fleet, uint32_t service,
                  const char *address)
{
  for (guint i = 0; i < fleet->order->len; i++)
    {
      struct fst_endpoint *endpoint = g_ptr_array_index (fleet->order, i);
      if (endpoint->service == service
          && strcmp (endpoint->address, address) == 0)
        {
          return endpoint;
        }
    }
  return NULL;
}

/* Tells the control thread when ENDPOINT, which WAS_DEAD or not before, has
   been found dead or alive.  One that the list has dropped is its business no
   more.  */
static void
tell_verdict (struct fst_fleet *fleet, const struct fst_endpoint *endpoint,
              bool was_dead)
{
  if (endpoint->evidence.dead == was_dead || !endpoint->listed)
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

/* Takes a success of ENDPOINT, which took LATENCY_US.  */
void
fst_report_success (struct fst_fleet *fleet, struct fst_endpoint *endpoint,
                    int64_t latency_us)
{
  bool was_dead = endpoint->evidence.dead;
  evd_success (&endpoint->evidence, latency_us);
  tell_verdict (fleet, endpoint, was_dead);
}

/* Takes a failure of ENDPOINT; REASON goes into the log.  */
void
fst_report_failure (struct fst_fleet *fleet, struct fst_endpoint *endpoint,
                    enum evd_proof proof, const char *reason, int64_t now_us)
{
  bool was_dead = endpoint->evidence.dead;
  bool rests = evd_failure (&endpoint->evidence, proof, now_us);
  tell_verdict (fleet, endpoint, was_dead);
  if (!rests)
    {
      return;
    }
  lg_line (LOG_NOTICE, "endpoint_rests",
           "endpoint=%s address=%s reason=\"%s\" strikes=%u rest_ms=%ld",
           endpoint->id, endpoint->address, reason, endpoint->evidence.strikes,
           (long)((endpoint->evidence.rest_until_us - now_us) / CLK_MS_US));
  if (fst_config (fleet) != NULL && endpoint->service != FLT_NO_INDEX
      && endpoint->service < fst_config (fleet)->service_count)
    {
      drop_paths (service_state (fleet, endpoint->service));
    }
}

/* True when the configuration is known and an endpoint is listed, so that
   requests have a chance.  */
bool
fst_can_serve (const struct fst_fleet *fleet)
{
  const struct flt_config *config = fst_config (fleet);
  if (config == NULL)
    {
      return false;
    }
  for (guint i = 0; i < fleet->order->len; i++)
    {
      const struct fst_endpoint *endpoint
          = g_ptr_array_index (fleet->order, i);
      if (endpoint->listed && endpoint->service != FLT_NO_INDEX)
        {
          return true;
        }
    }
  return false;
}
