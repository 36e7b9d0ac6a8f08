#include "entry/endpoint_list.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/roster.h"
#include "platform/runner.h"

struct epl_list
{
  struct epl_params params;
  struct rst *roster;
  struct tpc_topic *source;
  uv_timer_t timer;       /* of the next delayed removal */
  int64_t removal_us;     /* monotonic, when that is due; INT64_MAX: none */
  bool changed;           /* since epl_take_changed */
  uint64_t leaving_count; /* of the verdicts that epl_endpoints has used */
};

static void schedule_removal (struct epl_list *list);

/* Removes the endpoints whose delayed removal is due and proved.  The others
   wait for an answer of the store, which is read at once, or for a proof as
   new as relays give them.  */
static void
expire_removals (struct epl_list *list)
{
  int64_t now_us = clk_monotonic_us ();
  if (rst_next_removal_us (list->roster) > now_us)
    {
      return;
    }
  int64_t proof_age_us = tpc_reads_relays (list->source)
                             ? list->params.plan.age_max_us
                             : RST_RELIST_MARGIN_US;
  g_autoptr (GPtrArray) removed = g_ptr_array_new_with_free_func (g_free);
  list->changed |= rst_expire (list->roster, now_us, proof_age_us, removed);
  for (guint i = 0; i < removed->len; i++)
    {
      lg_line (LOG_INFO, "endpoint_not_listed_again", "endpoint=%s",
               (char *)g_ptr_array_index (removed, i));
    }
  if (removed->len > 0)
    {
      list->params.read (list->params.context);
    }
  if (rst_next_removal_us (list->roster) <= now_us)
    {
      tpc_read_now (list->source);
    }
}

static void
on_timer (uv_timer_t *timer)
{
  struct epl_list *list = timer->data;
  expire_removals (list);
  list->removal_us = INT64_MAX;
  schedule_removal (list);
}

/* Starts the timer of the next delayed removal.  One that is due already waits
   for a proof, not for the timer.  */
static void
schedule_removal (struct epl_list *list)
{
  int64_t due_us = rst_next_removal_us (list->roster);
  if (due_us == list->removal_us)
    {
      return;
    }
  list->removal_us = due_us;
  int64_t left_us = due_us - clk_monotonic_us ();
  if (due_us == INT64_MAX || left_us <= 0)
    {
      uv_timer_stop (&list->timer);
      return;
    }
  lg_line (LOG_INFO, "endpoint_removals_delayed", "next_ms=%ld",
           (long)(left_us / CLK_MS_US));
  uv_timer_start (&list->timer, on_timer, (uint64_t)(left_us / CLK_MS_US) + 1,
                  0);
}

/* Handles an entry of the endpoint list, or its removal.  An invalid entry
   counts as a removal.  A record shows that an outage is over, before the
   topic is current.  */
static void
on_endpoint_record (void *context, const struct pfs_record *record)
{
  struct epl_list *list = context;
  rst_list_read (list->roster, 0, clk_monotonic_us ());
  g_autoptr (GError) error = NULL;
  struct rst_endpoint *endpoint = NULL;
  if (record->value != NULL)
    {
      endpoint = pfr_decode_entry (record->key, record->value,
                                   record->value_bytes, &error);
    }
  if (error != NULL)
    {
      lg_line (LOG_WARNING, "endpoint_entry_refused", "offset=%lu why=\"%s\"",
               (unsigned long)record->offset, error->message);
    }
  bool is_entry = endpoint != NULL;
  bool leaving = is_entry && endpoint->leaving;
  struct rst_layers layers = { 0 };
  if (is_entry)
    {
      layers = endpoint->layers;
    }
  uint64_t relayed_offset = 0;
  bool changed = is_entry ? rst_update (list->roster, endpoint, record->offset,
                                        clk_monotonic_us ())
                          : rst_remove (list->roster, record->key,
                                        record->offset, clk_monotonic_us ());
  if (is_entry && rst_is_gone (list->roster, record->key))
    {
      const struct pfs_record removal
          = { .key = record->key, .offset = record->offset };
      rly_add_record (list->params.relay, PFS_ENDPOINT_TOPIC, &removal);
      lg_line (LOG_INFO, "endpoint_stays_gone", "endpoint=%s offset=%lu",
               record->key, (unsigned long)record->offset);
    }
  else if (changed || !is_entry
           || !rly_find_key (list->params.relay, PFS_ENDPOINT_TOPIC,
                             record->key, &relayed_offset))
    {
      rly_add_record (list->params.relay, PFS_ENDPOINT_TOPIC, record);
    }
  else
    {
      rly_name_key (list->params.relay, PFS_ENDPOINT_TOPIC, record->key);
    }
  if (changed)
    {
      lg_line (LOG_INFO, "endpoint_changed",
               "endpoint=%s offset=%lu listed=%d leaving=%d layers=%u-%u",
               record->key, (unsigned long)record->offset, is_entry, leaving,
               layers.first, layers.end);
      list->changed = true;
    }
}

/* Handles what another daemon's relay holds, such as removals that the store
   has lost in a restore.  */
static void
on_endpoint_held (void *context, const struct pfs_record *record,
                  bool same_era)
{
  if (same_era)
    {
      on_endpoint_record (context, record);
    }
}

static void
on_list_era (void *context, uint64_t era, bool restored)
{
  struct epl_list *list = context;
  list->params.era (list->params.context, PFS_ENDPOINT_TOPIC, era, restored);
  if (restored)
    {
      rst_restored (list->roster, era, clk_monotonic_us ());
      list->changed = true;
    }
}

static void
on_list_begin (void *context)
{
  struct epl_list *list = context;
  rst_list_read (list->roster, 0, clk_monotonic_us ());
  rst_begin_full (list->roster);
  rly_begin_snapshot (list->params.relay, PFS_ENDPOINT_TOPIC);
}

static void
on_list_end (void *context, uint64_t end)
{
  struct epl_list *list = context;
  rly_end_snapshot (list->params.relay, PFS_ENDPOINT_TOPIC, end);
  list->changed |= rst_end_full (list->roster, end, clk_monotonic_us ());
  schedule_removal (list);
  list->params.read (list->params.context);
}

static void
on_list_current (void *context, int64_t proved_us, uint64_t end)
{
  struct epl_list *list = context;
  rly_set_current (list->params.relay, PFS_ENDPOINT_TOPIC, end, proved_us);
  rst_list_read (list->roster, proved_us, clk_monotonic_us ());
  expire_removals (list);
  schedule_removal (list);
  list->params.read (list->params.context);
}

static void
on_list_outage (void *context, int64_t away_us, const char *why)
{
  (void)why;
  struct epl_list *list = context;
  rst_outage (list->roster, away_us);
  schedule_removal (list);
}

/* Handles what a relay knows: an endpoint said to another daemon that it
   leaves.  */
static void
on_departure (void *context, const char *id, int64_t born_ms)
{
  struct epl_list *list = context;
  if (vdt_set_leaving (list->params.verdicts, id, born_ms))
    {
      lg_line (LOG_NOTICE, "endpoint_says_leaving_elsewhere",
               "endpoint=%s born_ms=%ld", id, (long)born_ms);
      list->changed = true;
    }
}

static const struct tpc_events events = {
  .era = on_list_era,
  .snapshot_begin = on_list_begin,
  .snapshot_end = on_list_end,
  .record = on_endpoint_record,
  .held = on_endpoint_held,
  .current = on_list_current,
  .departure = on_departure,
  .outage = on_list_outage,
};

/* Starts to follow the list.  */
struct epl_list *
epl_create (const struct epl_params *params)
{
  struct epl_list *list = g_new0 (struct epl_list, 1);
  list->params = *params;
  list->roster = rst_create (params->settle_us);
  list->removal_us = INT64_MAX;
  uv_timer_init (params->loop, &list->timer);
  list->timer.data = list;
  const struct tpc_params topic_params = {
    .client = params->client,
    .loop = params->loop,
    .address = params->store_address,
    .topic = PFS_ENDPOINT_TOPIC,
    .plan = params->plan,
    .prefers_relays = params->prefers_relays,
    .events = &events,
    .context = list,
  };
  list->source = tpc_create (&topic_params);
  return list;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  struct epl_list *list = handle->data;
  rst_destroy (list->roster);
  g_free (list);
}

/* Stops following the list and frees it; the loop must run once more
   afterwards.  */
void
epl_destroy (struct epl_list *list)
{
  tpc_destroy (list->source);
  uv_close ((uv_handle_t *)&list->timer, on_timer_closed);
}

/* Returns the topic that has the list.  */
struct tpc_topic *
epl_source (const struct epl_list *list)
{
  return list->source;
}

/* Returns whether routing may have changed since the last call.  */
bool
epl_take_changed (struct epl_list *list)
{
  bool changed
      = list->changed
        || vdt_leaving_count (list->params.verdicts) != list->leaving_count;
  list->changed = false;
  return changed;
}

/* Returns the endpoints in use.  Those that said themselves that they leave
   are leaving, whatever the list says.  The caller frees the array.  */
GPtrArray *
epl_endpoints (struct epl_list *list)
{
  list->leaving_count = vdt_leaving_count (list->params.verdicts);
  GPtrArray *endpoints = rst_list (list->roster);
  for (guint i = 0; i < endpoints->len; i++)
    {
      struct rst_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      endpoint->leaving
          = endpoint->leaving
            || vdt_is_leaving (list->params.verdicts, endpoint->id,
                               endpoint->started_ms);
    }
  return endpoints;
}
