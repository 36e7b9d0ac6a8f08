#include "entry/placing.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/losses.h"
#include "core/stage_plan.h"
#include "entry/announcement.h"
#include "net/call.h"
#include "platform/headers.h"
#include "platform/runner.h"

#include <string.h>

/* When no engine holds layers, at the first start of the fleet, planning waits
   until no new engine has been listed for this long. */
#define SETTLE_US (1500 * CLK_MS_US)

/* Time-out of an order, after which it is retried. */
#define ORDER_TIMEOUT_MS 1200

/* A refused order, or one without an answer, is retried after this time. */
#define REFUSED_RETRY_US (1000 * CLK_MS_US)

/* An accepted order must show in the endpoint list within this time, which
   covers the load, a heartbeat and the list's lag; otherwise it is planned
   again. */
#define CONFIRM_TIMEOUT_US (20 * CLK_S_US)

/* Engines that this daemon's requests found dead are replaced at once, before
   the list drops them.  If they exceed this share of all engines, it is more
   likely that this daemon is cut off from the network, and none is taken for
   dead. */
#define DEAD_SHARE_MAX 0.25

/* A new engine without layers is kept in reserve for this time, since it may
   replace one that is about to leave.  Only afterwards does it take layers
   that other engines hold already. */
#define RESERVE_TIME_US (3 * CLK_S_US)

/* A layer without a holder that no spare engine can take waits this long for a
   new or returning engine.  Only afterwards are engines moved that others
   need: these serve no requests until the streams through them have ended. */
#define GAP_WAIT_US (2500 * CLK_MS_US)

/* Time between two observations of losses by a daemon that doesn't lead. */
#define OBSERVE_US (1 * CLK_S_US)

/* An order to an engine that isn't finished. */
struct order
{
  struct plc_placer *placer;
  char *id; /* of the endpoint; key in the table of orders */
  char *address;
  int64_t born_ms; /* start of the endpoint's incarnation */
  struct rst_layers layers;
  uint64_t fence;        /* fencing token it was sent with */
  struct cal_call *call; /* NULL: none in progress */
  bool accepted;
  int64_t next_us; /* when it is retried or, if accepted, dropped */
};

struct plc_placer
{
  struct plc_params params;
  GHashTable *orders;   /* endpoint id to struct order */
  int64_t gap_since_us; /* since when a layer has no holder; 0: every layer has
                           one */
  struct lss_losses *losses;
  int64_t observe_us; /* when losses are observed again, without the lead */
  GHashTable *idle_since;  /* endpoint id to when it was first seen without
                              layers, int64_t */
  guint last_count;        /* of endpoints in the list at the last step */
  int64_t settle_until_us; /* no orders before */
};

static void
destroy_order (gpointer data)
{
  struct order *order = data;
  if (order->call != NULL)
    {
      cal_cancel (order->call);
    }
  g_free (order->id);
  g_free (order->address);
  g_free (order);
}

/* Creates the placer of this daemon.  */
struct plc_placer *
plc_create (const struct plc_params *params)
{
  struct plc_placer *placer = g_new0 (struct plc_placer, 1);
  placer->params = *params;
  placer->orders
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_order);
  placer->losses = lss_create ();
  placer->idle_since
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return placer;
}

/* Frees PLACER.  Engines still carry out the orders that were sent.  */
void
plc_destroy (struct plc_placer *placer)
{
  g_hash_table_destroy (placer->orders);
  g_hash_table_destroy (placer->idle_since);
  lss_destroy (placer->losses);
  g_free (placer);
}

/* Closes the endpoint of ORDER for DURATION_US.  Returns false when it was
   closed already.  */
static bool
close_endpoint (const struct order *order, int64_t duration_us)
{
  struct vdt_verdicts *verdicts = order->placer->params.verdicts;
  int64_t now_us = clk_monotonic_us ();
  bool was_open = now_us >= vdt_opens_us (verdicts, order->id, order->born_ms);
  int64_t opens_us = vdt_turn_away (verdicts, order->id, order->born_ms,
                                    duration_us, now_us);
  if (was_open)
    {
      lg_line (LOG_NOTICE, "endpoint_turned_away",
               "endpoint=%s address=%s for_ms=%ld opens_in_ms=%ld order=1",
               order->id, order->address, (long)(duration_us / CLK_MS_US),
               (long)((opens_us - now_us) / CLK_MS_US));
    }
  return was_open;
}

/* Handles the head of the answer to an order.  An endpoint that says that it
   leaves is leaving in the next view; one that wants no requests for a time
   gets neither requests nor orders until then.  */
static void
on_answer_head (void *context, uint32_t status,
                const struct msg_message *response)
{
  const struct order *order = context;
  const struct plc_params *params = &order->placer->params;
  bool shown = false;
  if (anc_is_leaving (response)
      && vdt_set_leaving (params->verdicts, order->id, order->born_ms))
    {
      shown = true;
      lg_line (LOG_NOTICE, "endpoint_says_leaving", "endpoint=%s address=%s",
               order->id, order->address);
    }
  int64_t duration_us = anc_closed_us (order->id, status, response);
  if (duration_us > 0 && close_endpoint (order, duration_us))
    {
      shown = true;
    }
  if (shown)
    {
      params->shown (params->context);
    }
}

/* Handles the answer to an order.  A refused fencing token means that another
   daemon leads.  */
static void
on_answer (void *context, uint32_t status, const uint8_t *body,
           size_t body_bytes, const char *why)
{
  (void)body;
  (void)body_bytes;
  struct order *order = context;
  order->call = NULL;
  int64_t now_us = clk_monotonic_us ();
  lg_line (LOG_INFO, "order_answered",
           "endpoint=%s layers=%u-%u fence=%lu status=%u why=\"%s\"",
           order->id, order->layers.first, order->layers.end,
           (unsigned long)order->fence, status, why);
  order->accepted = status == HTTP_STATUS_OK || status == HTTP_STATUS_ACCEPTED;
  order->next_us
      = now_us + (order->accepted ? CONFIRM_TIMEOUT_US : REFUSED_RETRY_US);
  if (status == HTTP_STATUS_PRECONDITION_FAILED)
    {
      grp_step_down (order->placer->params.group, order->fence);
    }
}

/* Sends ORDER with the fencing token FENCE, or later if its endpoint wants no
   requests now.  */
static void
send_order (struct order *order, uint64_t fence)
{
  int64_t opens_us = vdt_opens_us (order->placer->params.verdicts, order->id,
                                   order->born_ms);
  if (clk_monotonic_us () < opens_us)
    {
      order->next_us = opens_us;
      return;
    }
  char *body
      = pfr_place_order_body (order->layers.first, order->layers.end, fence);
  g_autofree char *expected
      = g_strdup_printf (PFH_EXPECTED_ENDPOINT ": %s\r\n", order->id);
  const struct cal_params params = {
    .client = order->placer->params.client,
    .loop = order->placer->params.loop,
    .address = order->address,
    .method = "POST",
    .path = PFR_ORDER_PATH,
    .header_lines = expected,
    .body = body,
    .timeout_ms = ORDER_TIMEOUT_MS,
    .answer_bytes_max = PFR_ANSWER_BYTES_MAX,
    .send_by_us = grp_certain_until_us (order->placer->params.group),
    .headers = on_answer_head,
    .done = on_answer,
    .context = order,
  };
  order->fence = fence;
  order->call = cal_send (&params);
  lg_line (LOG_INFO, "order_sent",
           "endpoint=%s address=%s layers=%u-%u fence=%lu", order->id,
           order->address, order->layers.first, order->layers.end,
           (unsigned long)fence);
  g_free (body);
}

/* Returns true when ORDER is finished: ENDPOINT reports its layers, the time
   for that is over, or ENDPOINT is another incarnation.  */
static bool
is_finished (const struct order *order, const struct rst_endpoint *endpoint,
             int64_t now_us)
{
  if (order->born_ms != endpoint->started_ms)
    {
      return true;
    }
  bool reported = endpoint->layers.first == order->layers.first
                  && endpoint->layers.end == order->layers.end;
  return order->call == NULL
         && ((reported && !endpoint->busy)
             || (order->accepted && now_us >= order->next_us));
}

/* Removes finished orders and those to endpoints that are leaving or not
   listed.  */
static void
remove_finished_orders (struct plc_placer *placer, const GPtrArray *endpoints,
                        int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, placer->orders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct order *order = value;
      bool finished = true;
      for (guint i = 0; i < endpoints->len; i++)
        {
          const struct rst_endpoint *endpoint
              = g_ptr_array_index (endpoints, i);
          if (strcmp (endpoint->id, order->id) == 0 && !endpoint->leaving)
            {
              finished = is_finished (order, endpoint, now_us);
            }
        }
      if (finished)
        {
          g_hash_table_iter_remove (&iter);
        }
    }
}

/* Returns the index of the data centre NAME in NAMES; a new one is added.  */
static uint32_t
data_centre_index (GPtrArray *names, const char *name)
{
  for (guint i = 0; i < names->len; i++)
    {
      if (strcmp (g_ptr_array_index (names, i), name) == 0)
        {
          return i;
        }
    }
  g_ptr_array_add (names, (gpointer)name);
  return names->len - 1;
}

/* True while ENDPOINT, which holds no layers, is kept in reserve.  It isn't
   after a loss, since it most likely replaces what was lost.  */
static bool
is_in_reserve (struct plc_placer *placer, const struct rst_endpoint *endpoint,
               int64_t now_us)
{
  if (endpoint->layers.end > endpoint->layers.first)
    {
      g_hash_table_remove (placer->idle_since, endpoint->id);
      return false;
    }
  const int64_t *idle_since_us
      = g_hash_table_lookup (placer->idle_since, endpoint->id);
  if (idle_since_us == NULL)
    {
      int64_t *first_idle_us = g_new (int64_t, 1);
      *first_idle_us = now_us;
      g_hash_table_insert (placer->idle_since, g_strdup (endpoint->id),
                           first_idle_us);
      idle_since_us = first_idle_us;
    }
  return now_us - *idle_since_us < RESERVE_TIME_US
         && !lss_is_recent (placer->losses, now_us);
}

/* Describes the engine ENDPOINT to the planner.  Layers that were ordered
   count as held.  */
static struct stp_engine
describe_engine (struct plc_placer *placer,
                 const struct flt_engine_spec *engine,
                 const struct rst_endpoint *endpoint, GPtrArray *data_centres,
                 int64_t now_us)
{
  const struct flt_kind *kind = flt_find_kind (engine, endpoint->kind);
  const struct order *order
      = g_hash_table_lookup (placer->orders, endpoint->id);
  return (struct stp_engine){
    .data_centre = data_centre_index (data_centres, endpoint->data_centre),
    .memory_mb = kind == NULL ? 0 : kind->memory_mb,
    .step_factor = kind == NULL ? 1 : kind->step_factor,
    .prefill_factor = kind == NULL ? 1 : kind->prefill_factor,
    .held = order == NULL ? endpoint->layers : order->layers,
    .movable = order == NULL && !endpoint->busy,
    .in_reserve = is_in_reserve (placer, endpoint, now_us),
  };
}

/* Orders ENDPOINT to hold LAYERS.  */
static void
add_order (struct plc_placer *placer, const struct rst_endpoint *endpoint,
           const struct rst_layers *layers, uint64_t fence)
{
  struct order *order = g_new0 (struct order, 1);
  order->placer = placer;
  order->id = g_strdup (endpoint->id);
  order->address = g_strdup (endpoint->address);
  order->born_ms = endpoint->started_ms;
  order->layers = *layers;
  g_hash_table_insert (placer->orders, order->id, order);
  send_order (order, fence);
}

/* Retries orders that were refused or not answered.  */
static void
retry_orders (struct plc_placer *placer, uint64_t fence, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, placer->orders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct order *order = value;
      if (order->call == NULL && !order->accepted && now_us >= order->next_us)
        {
          send_order (order, fence);
        }
    }
}

static gboolean
is_inactive (gpointer id, gpointer value, gpointer losses)
{
  (void)value;
  return !lss_is_active (losses, id);
}

/* Returns the number of ENDPOINTS of SERVICE that aren't leaving; with
   ONLY_DEAD, of those that were found dead.  */
static guint
count_endpoints (const struct plc_placer *placer, const char *service,
                 const GPtrArray *endpoints, bool only_dead)
{
  guint count = 0;
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct rst_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      count += strcmp (endpoint->service, service) == 0 && !endpoint->leaving
               && (!only_dead
                   || vdt_is_dead (placer->params.verdicts, endpoint->id,
                                   endpoint->started_ms));
    }
  return count;
}

/* Returns ENDPOINTS without the engines of the services of CONFIG that were
   found dead.  The caller frees the list.  */
static GPtrArray *
find_alive (const struct plc_placer *placer, const struct flt_config *config,
            const GPtrArray *endpoints)
{
  GPtrArray *alive = g_ptr_array_sized_new (endpoints->len);
  bool *trusted = g_new0 (bool, config->service_count + 1);
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      const struct flt_service *service = &config->services[i];
      trusted[i] = service->has_engine
                   && count_endpoints (placer, service->name, endpoints, true)
                          <= DEAD_SHARE_MAX
                                 * count_endpoints (placer, service->name,
                                                    endpoints, false);
    }
  for (guint i = 0; i < endpoints->len; i++)
    {
      struct rst_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      uint32_t service = flt_find_service (config, endpoint->service);
      if (service == FLT_NO_INDEX || !trusted[service]
          || !vdt_is_dead (placer->params.verdicts, endpoint->id,
                           endpoint->started_ms))
        {
          g_ptr_array_add (alive, endpoint);
        }
    }
  g_free (trusted);
  return alive;
}

/* Returns the engines of SERVICE in ALIVE that may hold layers.  The caller
   frees the list.  */
static GPtrArray *
find_engines (const struct flt_service *service, const GPtrArray *alive)
{
  GPtrArray *engines = g_ptr_array_new ();
  for (guint i = 0; i < alive->len; i++)
    {
      struct rst_endpoint *endpoint = g_ptr_array_index (alive, i);
      if (strcmp (endpoint->service, service->name) == 0 && !endpoint->leaving)
        {
          g_ptr_array_add (engines, endpoint);
        }
    }
  return engines;
}

/* Adds the engines of SERVICE that were lost to PLANNER_ENGINES.  */
static void
add_lost_engines (const struct plc_placer *placer,
                  const struct flt_service *service, GPtrArray *data_centres,
                  GArray *planner_engines)
{
  const GPtrArray *lost = lss_engines (placer->losses);
  for (guint i = 0; i < lost->len; i++)
    {
      const struct lss_engine *engine = g_ptr_array_index (lost, i);
      const struct rst_endpoint *endpoint = engine->endpoint;
      const struct flt_kind *kind
          = flt_find_kind (&service->engine, endpoint->kind);
      if (strcmp (endpoint->service, service->name) == 0 && kind != NULL)
        {
          struct stp_engine planner_engine = {
            .data_centre
            = data_centre_index (data_centres, endpoint->data_centre),
            .memory_mb = kind->memory_mb,
            .step_factor = kind->step_factor,
            .prefill_factor = kind->prefill_factor,
            .lost = true,
          };
          g_array_append_val (planner_engines, planner_engine);
        }
    }
}

/* Updates the time since which a layer has no holder; COMPLETE says that every
   layer has one.  When engines may already be moved for it, MAY_WAIT being
   false, the wait begins again.  */
static void
update_gap (struct plc_placer *placer, bool complete, bool may_wait,
            int64_t now_us)
{
  if (complete)
    {
      placer->gap_since_us = 0;
    }
  else if (placer->gap_since_us == 0 || !may_wait)
    {
      placer->gap_since_us = now_us;
    }
}

/* Plans the layers of SERVICE's engines and orders what differs from what they
   hold.  */
static void
place_service (struct plc_placer *placer, const struct flt_service *service,
               const GPtrArray *alive, uint64_t fence, int64_t now_us)
{
  GPtrArray *data_centres = g_ptr_array_new ();
  GPtrArray *engines = find_engines (service, alive);
  GArray *planner_engines
      = g_array_new (FALSE, FALSE, sizeof (struct stp_engine));
  for (guint i = 0; i < engines->len; i++)
    {
      struct stp_engine planner_engine = describe_engine (
          placer, &service->engine, g_ptr_array_index (engines, i),
          data_centres, now_us);
      g_array_append_val (planner_engines, planner_engine);
    }
  add_lost_engines (placer, service, data_centres, planner_engines);
  struct rst_layers *wanted
      = g_new0 (struct rst_layers, planner_engines->len + 1);
  if (engines->len > 0)
    {
      bool may_wait = placer->gap_since_us == 0
                      || now_us - placer->gap_since_us < GAP_WAIT_US;
      bool complete = stp_plan (
          &service->engine, may_wait ? STP_SPARES : STP_DIVIDE_ANEW,
          data_centres->len, (const struct stp_engine *)planner_engines->data,
          planner_engines->len, wanted);
      update_gap (placer, complete, may_wait, now_us);
    }
  for (guint i = 0; i < engines->len; i++)
    {
      const struct stp_engine *planner_engine
          = &g_array_index (planner_engines, struct stp_engine, i);
      if (planner_engine->movable
          && (wanted[i].first != planner_engine->held.first
              || wanted[i].end != planner_engine->held.end))
        {
          add_order (placer, g_ptr_array_index (engines, i), &wanted[i],
                     fence);
        }
    }
  g_free (wanted);
  g_array_free (planner_engines, TRUE);
  g_ptr_array_free (engines, TRUE);
  g_ptr_array_free (data_centres, TRUE);
}

/* True when an engine in ENDPOINTS holds layers.  */
static bool
any_layers_held (const GPtrArray *endpoints)
{
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct rst_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      if (endpoint->layers.end > endpoint->layers.first)
        {
          return true;
        }
    }
  return false;
}

/* Plans the layers of all services of CONFIG and orders what differs.  ALIVE
   are the endpoints that weren't found dead.  */
static void
place_services (struct plc_placer *placer, const struct flt_config *config,
                const GPtrArray *alive, uint64_t fence, int64_t now_us)
{
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      if (flt_has_paths (&config->services[i]))
        {
          place_service (placer, &config->services[i], alive, fence, now_us);
        }
    }
}

/* Plans the layers of all services of CONFIG and orders what differs, if this
   daemon is the leader.  The others observe losses, since they may lead next.
   Called several times a second.  */
void
plc_step (struct plc_placer *placer, const struct flt_config *config,
          const GPtrArray *endpoints, int64_t now_us)
{
  bool engines_added = endpoints->len > placer->last_count;
  if (engines_added && !any_layers_held (endpoints))
    {
      placer->settle_until_us = now_us + SETTLE_US;
    }
  placer->last_count = endpoints->len;
  uint64_t fence = 0;
  bool leads = config != NULL && grp_is_leader (placer->params.group, &fence);
  if (!leads)
    {
      g_hash_table_remove_all (placer->orders);
    }
  if (config == NULL || (!leads && now_us < placer->observe_us))
    {
      return;
    }
  placer->observe_us = now_us + OBSERVE_US;
  GPtrArray *alive = find_alive (placer, config, endpoints);
  lss_observe (placer->losses, alive, now_us);
  g_hash_table_foreach_remove (placer->idle_since, is_inactive,
                               placer->losses);
  if (leads)
    {
      remove_finished_orders (placer, endpoints, now_us);
    }
  if (leads && now_us >= placer->settle_until_us)
    {
      retry_orders (placer, fence, now_us);
      place_services (placer, config, alive, fence, now_us);
    }
  g_ptr_array_free (alive, TRUE);
}
