#include "entry/placing.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/stage_plan.h"
#include "net/call.h"
#include "platform/runner.h"

#include <string.h>

/* While no engine holds layers, at the first start of all, the list is taken
   for complete once it named no new engine for this long. */
#define SETTLE_US (1500 * CLK_MS_US)

/* An order without an answer is sent again after this time. */
#define ANSWER_MS 1200

/* A refused order is tried again after this time. */
#define REFUSED_US (1000 * CLK_MS_US)

/* An order that an engine accepted shows in the list by then: its load, a
   heartbeat and the list's lag. */
#define SHOWN_US (20 * CLK_S_US)

/* Engines that this daemon's requests found dead are replaced at once, before
   the list drops them.  When they are more than this share of all, it is
   rather the daemon that is cut off. */
#define DEAD_SHARE_MAX 0.25

/* An engine that comes without layers may replace one that is about to leave,
   and fill its gap: it repeats the layers of others only after this time. */
#define RESERVE_US (3 * CLK_S_US)

/* After an engine was lost, those that come rather replace it, and are kept
   for nothing, for this time. */
#define LOSS_US (10 * CLK_S_US)

/* A lost layer that no spare engine can hold waits so long for an engine that
   comes or comes back, before engines that others need are moved: these serve
   nobody until the streams through them have ended. */
#define GAP_PATIENCE_US (2500 * CLK_MS_US)

/* An order that is under way. */
struct order
{
  struct plc_placing *placing;
  char *id; /* of the endpoint */
  char *address;
  int64_t born_ms;
  struct rst_layers layers;
  uint64_t fence;
  struct cal_call *call;
  bool accepted;
  int64_t next_us; /* when it is sent again, or forgotten if accepted */
};

struct plc_placing
{
  struct plc_params params;
  GHashTable *orders;   /* endpoint id to struct order */
  int64_t gap_since_us; /* a layer lacks a holder; 0: none does */
  int64_t lost_us;      /* when an engine last ended without notice */
  GHashTable *staying;  /* set of the ids that were listed and not leaving */
  GHashTable *idle; /* endpoint id to when it was first seen without layers */
  guint engines_seen;
  int64_t settled_us;
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

/* Creates the placing of one daemon.  */
struct plc_placing *
plc_create (const struct plc_params *params)
{
  struct plc_placing *placing = g_new0 (struct plc_placing, 1);
  placing->params = *params;
  placing->orders
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, destroy_order);
  placing->staying
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  placing->lost_us = -LOSS_US;
  placing->idle
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return placing;
}

/* Frees PLACING; orders under way are carried out all the same.  */
void
plc_destroy (struct plc_placing *placing)
{
  g_hash_table_destroy (placing->orders);
  g_hash_table_destroy (placing->idle);
  g_hash_table_destroy (placing->staying);
  g_free (placing);
}

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
  order->next_us = now_us + (order->accepted ? SHOWN_US : REFUSED_US);
  if (status == HTTP_STATUS_PRECONDITION_FAILED)
    {
      grp_step_down (order->placing->params.group);
    }
}

/* Sends ORDER under FENCE.  */
static void
send_order (struct order *order, uint64_t fence)
{
  char *body = pfr_place_order (order->layers.first, order->layers.end, fence);
  const struct cal_params params = {
    .client = order->placing->params.client,
    .loop = order->placing->params.loop,
    .address = order->address,
    .method = "POST",
    .path = PFR_ORDER_PATH,
    .body = body,
    .timeout_ms = ANSWER_MS,
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

/* Returns true when what ENDPOINT says of itself shows that ORDER is done or
   was for another incarnation.  */
static bool
is_over (const struct order *order, const struct rst_endpoint *endpoint,
         int64_t now_us)
{
  if (order->born_ms != endpoint->born_ms)
    {
      return true;
    }
  bool shown = endpoint->layers.first == order->layers.first
               && endpoint->layers.end == order->layers.end;
  return order->call == NULL
         && ((shown && !endpoint->busy)
             || (order->accepted && now_us >= order->next_us));
}

/* Forgets orders that are done and those to endpoints that are gone.  */
static void
forget_orders (struct plc_placing *placing, const GPtrArray *endpoints,
               int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, placing->orders);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct order *order = value;
      bool over = true;
      for (guint i = 0; i < endpoints->len; i++)
        {
          const struct rst_endpoint *endpoint
              = g_ptr_array_index (endpoints, i);
          if (strcmp (endpoint->id, order->id) == 0 && !endpoint->leaving)
            {
              over = is_over (order, endpoint, now_us);
            }
        }
      if (over)
        {
          g_hash_table_iter_remove (&iter);
        }
    }
}

/* Returns the index of the data centre NAME in NAMES, added at need.  */
static uint32_t
zone_index (GPtrArray *names, const char *name)
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

/* True while ENDPOINT, which holds nothing, is kept for a gap.  */
static bool
is_in_reserve (struct plc_placing *placing,
               const struct rst_endpoint *endpoint, int64_t now_us)
{
  if (endpoint->layers.end > endpoint->layers.first)
    {
      g_hash_table_remove (placing->idle, endpoint->id);
      return false;
    }
  const int64_t *since_us = g_hash_table_lookup (placing->idle, endpoint->id);
  if (since_us == NULL)
    {
      int64_t *first_us = g_new (int64_t, 1);
      *first_us = now_us;
      g_hash_table_insert (placing->idle, g_strdup (endpoint->id), first_us);
      since_us = first_us;
    }
  return now_us - *since_us < RESERVE_US
         && now_us - placing->lost_us >= LOSS_US;
}

/* Describes ENDPOINT, an engine, for the planner.  */
static struct stp_card
describe (struct plc_placing *placing, const struct flt_engine *engine,
          const struct rst_endpoint *endpoint, GPtrArray *zones,
          int64_t now_us)
{
  const struct flt_kind *kind = flt_find_kind (engine, endpoint->kind);
  const struct order *order
      = g_hash_table_lookup (placing->orders, endpoint->id);
  return (struct stp_card){
    .zone = zone_index (zones, endpoint->data_centre),
    .memory_mb = kind == NULL ? 0 : kind->memory_mb,
    .step_factor = kind == NULL ? 1 : kind->step_factor,
    .held = order == NULL ? endpoint->layers : order->layers,
    .movable = order == NULL && !endpoint->busy,
    .in_reserve = is_in_reserve (placing, endpoint, now_us),
  };
}

/* Makes the order that ENDPOINT holds LAYERS.  */
static void
add_order (struct plc_placing *placing, const struct rst_endpoint *endpoint,
           const struct rst_layers *layers, uint64_t fence)
{
  struct order *order = g_new0 (struct order, 1);
  order->placing = placing;
  order->id = g_strdup (endpoint->id);
  order->address = g_strdup (endpoint->address);
  order->born_ms = endpoint->born_ms;
  order->layers = *layers;
  g_hash_table_insert (placing->orders, order->id, order);
  send_order (order, fence);
}

/* Sends orders that got no answer or were refused once more.  */
static void
repeat_orders (struct plc_placing *placing, uint64_t fence, int64_t now_us)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, placing->orders);
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
is_unlisted (gpointer id, gpointer value, gpointer listed)
{
  (void)value;
  return !g_hash_table_contains (listed, id);
}

/* Notes when an endpoint is gone from ENDPOINTS that hadn't been leaving, and
   forgets what was known of it.  */
static void
note_losses (struct plc_placing *placing, const GPtrArray *endpoints,
             int64_t now_us)
{
  GHashTable *staying
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < endpoints->len; i++)
    {
      const struct rst_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      if (!endpoint->leaving)
        {
          g_hash_table_add (staying, g_strdup (endpoint->id));
        }
      g_hash_table_remove (placing->staying, endpoint->id);
    }
  if (g_hash_table_size (placing->staying) > 0)
    {
      placing->lost_us = now_us;
    }
  g_hash_table_destroy (placing->staying);
  placing->staying = staying;
  g_hash_table_foreach_remove (placing->idle, is_unlisted, staying);
}

/* Returns the engines of SERVICE in ENDPOINTS that can hold layers.  */
static GPtrArray *
find_engines (const struct plc_placing *placing,
              const struct flt_service *service, const GPtrArray *endpoints)
{
  GPtrArray *listed = g_ptr_array_new ();
  GPtrArray *alive = g_ptr_array_new ();
  for (guint i = 0; i < endpoints->len; i++)
    {
      struct rst_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      if (strcmp (endpoint->service, service->name) != 0 || endpoint->leaving)
        {
          continue;
        }
      g_ptr_array_add (listed, endpoint);
      if (!vdt_is_dead (placing->params.verdicts, endpoint->id,
                        endpoint->born_ms))
        {
          g_ptr_array_add (alive, endpoint);
        }
    }
  guint dead = listed->len - alive->len;
  bool cut_off = dead > listed->len * DEAD_SHARE_MAX;
  g_ptr_array_free (cut_off ? alive : listed, TRUE);
  return cut_off ? listed : alive;
}

/* Notes since when a layer lacks a holder.  When all that can be done about
   it was done, PATIENT being false, a new wait begins.  */
static void
take_gap (struct plc_placing *placing, bool whole, bool patient,
          int64_t now_us)
{
  if (whole)
    {
      placing->gap_since_us = 0;
    }
  else if (placing->gap_since_us == 0 || !patient)
    {
      placing->gap_since_us = now_us;
    }
}

/* Plans the engines of SERVICE and orders what differs.  */
static void
place_service (struct plc_placing *placing, const struct flt_service *service,
               const GPtrArray *endpoints, uint64_t fence, int64_t now_us)
{
  GPtrArray *zones = g_ptr_array_new ();
  GPtrArray *engines = find_engines (placing, service, endpoints);
  GArray *cards = g_array_new (FALSE, FALSE, sizeof (struct stp_card));
  for (guint i = 0; i < engines->len; i++)
    {
      struct stp_card card
          = describe (placing, &service->engine,
                      g_ptr_array_index (engines, i), zones, now_us);
      g_array_append_val (cards, card);
    }
  struct rst_layers *wanted = g_new0 (struct rst_layers, engines->len + 1);
  if (engines->len > 0)
    {
      bool patient = placing->gap_since_us == 0
                     || now_us - placing->gap_since_us < GAP_PATIENCE_US;
      bool whole = stp_plan (
          &service->engine, patient ? STP_SPARES : STP_DIVIDE_ANEW, zones->len,
          (const struct stp_card *)cards->data, cards->len, wanted);
      take_gap (placing, whole, patient, now_us);
    }
  for (guint i = 0; i < engines->len; i++)
    {
      const struct stp_card *card = &g_array_index (cards, struct stp_card, i);
      if (card->movable
          && (wanted[i].first != card->held.first
              || wanted[i].end != card->held.end))
        {
          add_order (placing, g_ptr_array_index (engines, i), &wanted[i],
                     fence);
        }
    }
  g_free (wanted);
  g_array_free (cards, TRUE);
  g_ptr_array_free (engines, TRUE);
  g_ptr_array_free (zones, TRUE);
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

/* Plans with CONFIG and ENDPOINTS and orders what differs, if this daemon
   leads.  Called some times a second.  */
void
plc_step (struct plc_placing *placing, const struct flt_config *config,
          const GPtrArray *endpoints, int64_t now_us)
{
  bool more = endpoints->len > placing->engines_seen;
  if (more && !any_layers_held (endpoints))
    {
      placing->settled_us = now_us + SETTLE_US;
    }
  placing->engines_seen = endpoints->len;
  uint64_t fence = 0;
  if (config == NULL || !grp_leads (placing->params.group, &fence))
    {
      g_hash_table_remove_all (placing->orders);
      return;
    }
  forget_orders (placing, endpoints, now_us);
  note_losses (placing, endpoints, now_us);
  if (now_us < placing->settled_us)
    {
      return;
    }
  repeat_orders (placing, fence, now_us);
  for (uint32_t i = 0; i < config->service_count; i++)
    {
      if (config->services[i].has_engine
          && config->services[i].engine.layers > 0)
        {
          place_service (placing, &config->services[i], endpoints, fence,
                         now_us);
        }
    }
}
