#include "soak/injector_private.h"

#include <signal.h>
#include <stdio.h>

/* The most disruptions that are active at once, and the mean time between the
   starts of two. */
#define ACTIVE_DISRUPTIONS_MAX 4
#define MEAN_INTERVAL_MS 700

/* The same for the drills. */
#define ACTIVE_DRILLS_MAX 5
#define MEAN_DRILL_INTERVAL_MS 500

/* Mixed into the seed, so that the drills don't draw the same numbers. */
#define DRILL_SEED 0x6b756d71
#define HARM_SEED 0x68617231
#define RESPONSE_SEED 0x72657370

/* Mean time from the start of a harm to the start of the next one. */
#define MEAN_HARM_INTERVAL_MS 5000

/* Mean time from the start of a period of spoiled responses to the next. */
#define MEAN_RESPONSE_INTERVAL_MS 1500

/* How long the host list goes on naming an endpoint that has been killed. */
#define DEAD_LISTED_US (1200 * CLK_MS_US)

/* A leaving endpoint ends after the drain bound plus this extra time. */
#define DRAIN_EXTRA_US (700 * CLK_MS_US)
#define DRAIN_BOUND_US (1000 * CLK_MS_US)

/* Upper limits (exclusive) of the number of requests that an endpoint's fault
   affects, and of the delay of a slow connection. */
#define FAULTY_REQUESTS_MAX 12
#define DELAY_MAX_MS 400

/* Returns a random number from FIRST to END (exclusive).  */
static uint32_t
draw (struct stb_injector *injector, uint32_t first, uint32_t end)
{
  return (uint32_t)g_rand_int_range (injector->params.random, (gint32)first,
                                     (gint32)end);
}

/* Schedules the next phase of DISRUPTION after a random time from FIRST_MS to
   END_MS (exclusive).  */
static void
schedule_next_phase (struct stb_injector *injector,
                     struct disruption *disruption, int64_t now_us,
                     uint32_t first_ms, uint32_t end_ms)
{
  disruption->due_us = now_us + draw (injector, first_ms, end_ms) * CLK_MS_US;
}

static struct sdm_daemon *
draw_daemon (struct stb_injector *injector)
{
  const struct sdm_daemons *daemons = injector->params.daemons;
  return sdm_at (daemons, draw (injector, 0, daemons->list->len));
}

static void
step_stop_daemon (struct stb_injector *injector, struct disruption *disruption,
                  int64_t now_us)
{
  (void)now_us;
  sdm_stop (draw_daemon (injector));
  disruption->ended = true;
}

static void
step_reload_daemon (struct stb_injector *injector,
                    struct disruption *disruption, int64_t now_us)
{
  (void)now_us;
  const struct sdm_daemon *daemon = draw_daemon (injector);
  /* The load balancer takes a daemon out of rotation only some time after its
     end; a process that is just being executed can't ignore the signal yet. */
  if (daemon->in_rotation && daemon->has_been_ready)
    {
      sep_signal (daemon->process, SIGHUP);
    }
  disruption->ended = true;
}

/* Publishes a configuration whose version is higher by STEP: with a new extra
   key if WITH_KEY, or else with none.  */
void
stb_publish (struct stb_injector *injector, bool with_key, uint32_t step)
{
  injector->has_extra_key = with_key;
  injector->extra_key += with_key;
  injector->version += step;
  g_autofree char *key = g_strdup_printf ("key-%u", injector->extra_key + 1);
  sfl_publish (injector->params.fleet, injector->version,
               with_key ? key : NULL);
  struct srd_change change = {
    .version = injector->version,
    .extra_key = with_key ? injector->extra_key : 0,
    .acked_us = clk_monotonic_us (),
  };
  g_array_append_val (injector->params.record->changes, change);
}

/* Publishes a configuration with a new extra key, or with none.  While a drill
   needs the store to stay as it is, none is published.  */
static void
step_publish_config (struct stb_injector *injector,
                     struct disruption *disruption, int64_t now_us)
{
  bool with_key = draw (injector, 0, 3) > 0;
  uint32_t step = draw (injector, 1, 5);
  if (now_us >= injector->hold_until_us)
    {
      stb_publish (injector, with_key, step);
    }
  disruption->ended = true;
}

static uint32_t
draw_endpoint (struct stb_injector *injector)
{
  return draw (injector, 0,
               injector->params.engines + injector->params.services);
}

/* Returns whether another disruption of the same kind as OWN has the target
   INDEX.  */
bool
stb_has_disruption (const struct stb_injector *injector,
                    const struct disruption *own, uint32_t index)
{
  const GPtrArray *lists[] = { injector->active, injector->active_drills };
  for (size_t list = 0; list < G_N_ELEMENTS (lists); list++)
    {
      for (guint i = 0; i < lists[list]->len; i++)
        {
          const struct disruption *other = g_ptr_array_index (lists[list], i);
          if (other != own && other->kind->step == own->kind->step
              && other->target == index)
            {
              return true;
            }
        }
    }
  return false;
}

/* Lists an endpoint as leaving, later ends it and starts a new one.  */
static void
step_drain_endpoint (struct stb_injector *injector,
                     struct disruption *disruption, int64_t now_us)
{
  struct sfl_fleet *fleet = injector->params.fleet;
  GArray *drains = injector->params.record->drains;
  switch (disruption->phase++)
    {
    case 0:
      disruption->target = draw_endpoint (injector);
      disruption->ended
          = stb_has_disruption (injector, disruption, disruption->target)
            || !sfl_is_alive (fleet, disruption->target);
      if (!disruption->ended)
        {
          struct srd_drain drain = { .endpoint = disruption->target,
                                     .acked_us = now_us,
                                     .ended_us = SRD_NEVER };
          g_array_append_val (drains, drain);
          disruption->record_index = drains->len - 1;
          sfl_list_draining (fleet, disruption->target);
          disruption->due_us = now_us + DRAIN_BOUND_US + DRAIN_EXTRA_US;
        }
      break;
    case 1:
      sfl_unlist (fleet, disruption->target);
      if (sfl_is_alive (fleet, disruption->target))
        {
          sfl_kill (fleet, disruption->target);
          sfl_restart (fleet, disruption->target);
        }
      g_array_index (drains, struct srd_drain, disruption->record_index)
          .ended_us
          = now_us;
      disruption->ended = true;
      break;
    default:
      break;
    }
}

/* Kills an endpoint, removes it from the host list later, and after another
   pause starts a new one.  */
static void
step_kill_endpoint (struct stb_injector *injector,
                    struct disruption *disruption, int64_t now_us)
{
  struct sfl_fleet *fleet = injector->params.fleet;
  switch (disruption->phase++)
    {
    case 0:
      disruption->target = draw_endpoint (injector);
      disruption->ended = !sfl_is_alive (fleet, disruption->target);
      if (!disruption->ended)
        {
          sfl_kill (fleet, disruption->target);
          disruption->due_us = now_us + DEAD_LISTED_US;
        }
      break;
    case 1:
      sfl_unlist (fleet, disruption->target);
      schedule_next_phase (injector, disruption, now_us, 100, 2500);
      break;
    default:
      if (!sfl_is_alive (fleet, disruption->target))
        {
          sfl_restart (fleet, disruption->target);
        }
      disruption->ended = true;
      break;
    }
}

static void
step_kill_daemon (struct stb_injector *injector, struct disruption *disruption,
                  int64_t now_us)
{
  if (disruption->phase++ == 0)
    {
      sdm_kill (draw_daemon (injector));
      schedule_next_phase (injector, disruption, now_us, 500, 1000);
      return;
    }
  disruption->ended = true;
}

static void
step_pause_daemon (struct stb_injector *injector,
                   struct disruption *disruption, int64_t now_us)
{
  if (disruption->phase++ == 0)
    {
      struct sdm_daemon *daemon = draw_daemon (injector);
      disruption->target = daemon->index;
      sdm_pause (daemon, true);
      disruption->interruption = srd_begin_interruption (
          injector->params.record, daemon->index, SRD_ALL, now_us);
      schedule_next_phase (injector, disruption, now_us, 200, 4000);
      return;
    }
  sdm_pause (sdm_at (injector->params.daemons, disruption->target), false);
  srd_end_interruption (injector->params.record, disruption->interruption,
                        now_us);
  disruption->ended = true;
}

/* Makes the engines or the services mishandle a random number of their next
   requests.  */
static void
step_endpoint_fault (struct stb_injector *injector,
                     struct disruption *disruption, int64_t now_us)
{
  static const enum sfl_fault faults[2][6] = {
    { SFL_REFUSES, SFL_FAILS, SFL_CLOSES, SFL_TRUNCATES, SFL_WRONG_REQUEST_ID,
      SFL_NEVER_ANSWERS },
    { SFL_REFUSES, SFL_CLOSES_MIDWAY, SFL_UNSIGNED, SFL_WRONG_REQUEST_ID,
      SFL_REFUSES, SFL_NEVER_ANSWERS },
  };
  if (disruption->phase++ == 0)
    {
      bool engines = draw (injector, 0, 2) == 1;
      disruption->target = engines;
      sfl_set_fault (injector->params.fleet, engines,
                     faults[engines][draw (injector, 0, 6)],
                     draw (injector, 1, FAULTY_REQUESTS_MAX));
      schedule_next_phase (injector, disruption, now_us, 500, 2000);
      return;
    }
  sfl_set_fault (injector->params.fleet, disruption->target == 1, SFL_NO_FAULT,
                 0);
  disruption->ended = true;
}

static void
step_store_fault (struct stb_injector *injector, struct disruption *disruption,
                  int64_t now_us)
{
  static const enum sfl_store_state states[]
      = { SFL_STORE_REFUSES, SFL_STORE_NEVER_ANSWERS,
          SFL_STORE_LOSES_ANSWERS };
  if (disruption->phase++ == 0)
    {
      sfl_set_store (injector->params.fleet,
                     states[draw (injector, 0, G_N_ELEMENTS (states))]);
      disruption->interruption
          = srd_begin_outage (injector->params.record, SRD_ALL, now_us);
      schedule_next_phase (injector, disruption, now_us, 300, 6000);
      return;
    }
  sfl_set_store (injector->params.fleet, SFL_STORE_NO_FAULT);
  srd_end_outage (injector->params.record, disruption->interruption, now_us);
  disruption->ended = true;
}

/* Makes the store drop its history, or reassign its partitions.  */
static void
step_reset_store (struct stb_injector *injector, struct disruption *disruption,
                  int64_t now_us)
{
  (void)now_us;
  if (draw (injector, 0, 2) == 0)
    {
      sfl_truncate_history (injector->params.fleet);
    }
  else
    {
      sfl_rebalance (injector->params.fleet);
    }
  disruption->ended = true;
}

/* Returns the index of the endpoint behind PROXY; SRD_ALL if it is gone.  */
static uint32_t
find_endpoint (const struct stb_injector *injector,
               const struct spx_proxy *proxy)
{
  const struct stb_params *params = &injector->params;
  for (uint32_t i = 0; i < params->engines + params->services; i++)
    {
      if (g_str_equal (sfl_address (params->fleet, i), spx_address (proxy)))
        {
          return i;
        }
    }
  return SRD_ALL;
}

/* Disturbs the connections through PROXY, which leads to an endpoint or from a
   daemon to the store.  */
static void
disturb_connections (struct stb_injector *injector,
                     struct disruption *disruption, int64_t now_us,
                     struct spx_proxy *proxy)
{
  if (disruption->phase++ == 0)
    {
      disruption->proxy = proxy;
      spx_set_mode (proxy, (enum spx_mode)draw (injector, 1, SPX_MODES),
                    draw (injector, 20, DELAY_MAX_MS) * CLK_MS_US);
      schedule_next_phase (injector, disruption, now_us, 200, 4000);
      return;
    }
  spx_set_mode (disruption->proxy, SPX_PASS, 0);
  disruption->ended = true;
}

static void
step_endpoint_connection (struct stb_injector *injector,
                          struct disruption *disruption, int64_t now_us)
{
  GPtrArray *proxies = injector->params.proxies;
  struct srd_record *record = injector->params.record;
  struct spx_proxy *proxy
      = g_ptr_array_index (proxies, draw (injector, 0, proxies->len));
  if (disruption->phase == 0)
    {
      disruption->interruption = srd_begin_interruption (
          record, SRD_ALL, find_endpoint (injector, proxy), now_us);
    }
  else
    {
      srd_end_interruption (record, disruption->interruption, now_us);
    }
  disturb_connections (injector, disruption, now_us, proxy);
}

static void
step_store_connection (struct stb_injector *injector,
                       struct disruption *disruption, int64_t now_us)
{
  struct srd_record *record = injector->params.record;
  const struct sdm_daemon *daemon = draw_daemon (injector);
  if (disruption->phase == 0)
    {
      disruption->interruption
          = srd_begin_outage (record, daemon->index, now_us);
    }
  else
    {
      srd_end_outage (record, disruption->interruption, now_us);
    }
  disturb_connections (injector, disruption, now_us, daemon->store_proxy);
}

/* Returns whether the engine ENDPOINT is down because of a disruption that
   starts it again itself.  */
bool
stb_is_down (const struct stb_injector *injector, uint32_t endpoint)
{
  for (guint i = 0; i < injector->active->len; i++)
    {
      const struct disruption *disruption
          = g_ptr_array_index (injector->active, i);
      if (disruption->kind->step == step_kill_endpoint
          && disruption->target == endpoint)
        {
          return true;
        }
    }
  return false;
}

/* The number of planned kinds, which come first in disruption_kinds. */
#define PLANNED_KINDS 5

static const struct disruption_kind disruption_kinds[] = {
  { "stop", true, step_stop_daemon },
  { "reload", true, step_reload_daemon },
  { "publish", true, step_publish_config },
  { "publish", true, step_publish_config },
  { "leave", true, step_drain_endpoint },
  { "die", false, step_kill_endpoint },
  { "kill", false, step_kill_daemon },
  { "pause", false, step_pause_daemon },
  { "fault", false, step_endpoint_fault },
  { "store", false, step_store_fault },
  { "upset", false, step_reset_store },
  { "endpoint_way", false, step_endpoint_connection },
  { "store_way", false, step_store_connection },
};

static const struct disruption_kind harm
    = { "harm", false, stb_crash_endpoints };
static const struct disruption_kind spoiled_responses
    = { "responses", false, stb_spoil_responses };

/* Returns an injector whose first disruption begins after 1 s; free it with
   stb_destroy.  What PARAMS point to must outlive it.  */
struct stb_injector *
stb_create (const struct stb_params *params)
{
  struct stb_injector *injector = g_new0 (struct stb_injector, 1);
  injector->params = *params;
  injector->active = g_ptr_array_new_with_free_func (g_free);
  injector->drills = g_rand_new_with_seed (params->seed ^ DRILL_SEED);
  injector->active_drills = g_ptr_array_new_with_free_func (g_free);
  injector->start_us = clk_monotonic_us ();
  injector->next_us = injector->start_us + CLK_S_US;
  injector->next_drill_us = injector->next_us;
  injector->harms = g_rand_new_with_seed (params->seed ^ HARM_SEED);
  injector->active_harms = g_ptr_array_new_with_free_func (g_free);
  injector->next_harm_us = injector->next_us;
  injector->responses = g_rand_new_with_seed (params->seed ^ RESPONSE_SEED);
  injector->active_responses = g_ptr_array_new_with_free_func (g_free);
  injector->next_response_us = injector->next_us;
  injector->version = 1;
  return injector;
}

/* Frees INJECTOR, which must have ended.  */
void
stb_destroy (struct stb_injector *injector)
{
  g_ptr_array_free (injector->active, TRUE);
  g_ptr_array_free (injector->active_drills, TRUE);
  g_rand_free (injector->drills);
  g_ptr_array_free (injector->active_harms, TRUE);
  g_rand_free (injector->harms);
  g_ptr_array_free (injector->active_responses, TRUE);
  g_rand_free (injector->responses);
  g_free (injector);
}

static void
print_step (const struct stb_injector *injector,
            const struct disruption *disruption, int64_t now_us)
{
  if (injector->params.verbose)
    {
      printf ("%.3f %s phase %u of %u%s\n", (double)now_us / CLK_S_US,
              disruption->kind->name, disruption->phase, disruption->target,
              disruption->ended ? ", ended" : "");
    }
}

/* Begins a disruption of KIND, one of ACTIVE.  */
static void
begin_disruption (struct stb_injector *injector, GPtrArray *active,
                  const struct disruption_kind *kind, int64_t now_us)
{
  struct disruption *disruption = g_new0 (struct disruption, 1);
  disruption->kind = kind;
  disruption->due_us = now_us;
  if (!disruption->kind->planned)
    {
      disruption->record_index
          = srd_begin_fault (injector->params.record, now_us);
    }
  g_ptr_array_add (active, disruption);
}

/* Carries out the phases of ACTIVE that are due.  */
static void
step_disruptions (struct stb_injector *injector, GPtrArray *active,
                  int64_t now_us)
{
  for (guint i = active->len; i-- > 0;)
    {
      struct disruption *disruption = g_ptr_array_index (active, i);
      if (now_us < disruption->due_us)
        {
          continue;
        }
      disruption->kind->step (injector, disruption, now_us);
      print_step (injector, disruption, now_us);
      if (disruption->ended)
        {
          if (!disruption->kind->planned)
            {
              srd_end_fault (injector->params.record, disruption->record_index,
                             now_us);
            }
          g_ptr_array_remove_index (active, i);
        }
    }
}

/* Begins a disruption and a drill if they are due, and carries out the phases
   that are due.  Call this on each tick.  */
void
stb_tick (struct stb_injector *injector, int64_t now_us)
{
  bool planned_only = (now_us - injector->start_us) / STB_PERIOD_US % 2 == 1;
  if (!injector->ending && now_us >= injector->next_us
      && injector->active->len < ACTIVE_DISRUPTIONS_MAX)
    {
      injector->next_us
          = now_us + draw (injector, 1, 2 * MEAN_INTERVAL_MS) * CLK_MS_US;
      begin_disruption (
          injector, injector->active,
          &disruption_kinds[draw (
              injector, 0,
              planned_only ? PLANNED_KINDS : G_N_ELEMENTS (disruption_kinds))],
          now_us);
    }
  if (!injector->ending && !planned_only && now_us >= injector->next_drill_us
      && injector->active_drills->len < ACTIVE_DRILLS_MAX)
    {
      injector->next_drill_us
          = now_us
            + stb_draw_drill (injector, 1, 2 * MEAN_DRILL_INTERVAL_MS)
                  * CLK_MS_US;
      begin_disruption (
          injector, injector->active_drills,
          &stb_drill_kinds[stb_draw_drill (injector, 0, STB_DRILL_KINDS)],
          now_us);
    }
  if (!injector->ending && !planned_only && now_us >= injector->next_harm_us
      && injector->active_harms->len == 0)
    {
      injector->next_harm_us
          = now_us
            + g_rand_int_range (injector->harms, 1, 2 * MEAN_HARM_INTERVAL_MS)
                  * CLK_MS_US;
      begin_disruption (injector, injector->active_harms, &harm, now_us);
    }
  if (!injector->ending && !planned_only
      && now_us >= injector->next_response_us
      && injector->active_responses->len == 0)
    {
      injector->next_response_us
          = now_us
            + g_rand_int_range (injector->responses, 1,
                                2 * MEAN_RESPONSE_INTERVAL_MS)
                  * CLK_MS_US;
      begin_disruption (injector, injector->active_responses,
                        &spoiled_responses, now_us);
    }
  if (injector->rehearsing && injector->active_drills->len == 0)
    {
      injector->rehearsing = injector->rehearsed < STB_REHEARSED_KINDS;
      if (injector->rehearsing)
        {
          begin_disruption (injector, injector->active_drills,
                            &stb_rehearsed_kinds[injector->rehearsed++],
                            now_us);
        }
    }
  stb_end_restores (injector, now_us);
  step_disruptions (injector, injector->active, now_us);
  step_disruptions (injector, injector->active_drills, now_us);
  step_disruptions (injector, injector->active_harms, now_us);
  step_disruptions (injector, injector->active_responses, now_us);
}

static void
end_faults (GPtrArray *active, int64_t now_us)
{
  for (guint i = 0; i < active->len; i++)
    {
      struct disruption *disruption = g_ptr_array_index (active, i);
      if (!disruption->kind->planned)
        {
          disruption->due_us = MIN (disruption->due_us, now_us);
        }
    }
}

/* Begins no more disruptions and ends the active faults early; planned work
   runs to its end.  */
void
stb_end (struct stb_injector *injector, int64_t now_us)
{
  injector->ending = true;
  end_faults (injector->active, now_us);
  end_faults (injector->active_drills, now_us);
  end_faults (injector->active_responses, now_us);
  for (guint i = 0; i < injector->active_harms->len; i++)
    {
      struct disruption *disruption
          = g_ptr_array_index (injector->active_harms, i);
      disruption->end_us = MIN (disruption->end_us, now_us);
    }
}

/* Begins to carry out the rehearsed disruptions, one after the other, when
   stb_has_ended.  Each run does so, whatever its seed, without
   other disruptions, which would excuse much.  */
void
stb_rehearse (struct stb_injector *injector)
{
  injector->rehearsing = true;
}

/* Returns whether stb_end was called, no disruption is active and no rehearsal
   is under way.  */
bool
stb_has_ended (const struct stb_injector *injector)
{
  return injector->ending && !injector->rehearsing
         && injector->active->len == 0 && injector->active_drills->len == 0
         && injector->active_harms->len == 0
         && injector->active_responses->len == 0;
}

/* Returns the index of the newest extra key, even if it has been removed
   since; 0: there was none yet.  */
uint32_t
stb_newest_key (const struct stb_injector *injector)
{
  return injector->extra_key;
}

/* Returns the number of the harm that requests of KIND may have at present; 0:
   none.  */
uint32_t
stb_harm (const struct stb_injector *injector, enum srd_kind kind)
{
  return injector->harmful ? injector->harms_begun * SRD_KINDS + kind : 0;
}
