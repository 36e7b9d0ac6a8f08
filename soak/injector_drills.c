/* The drills of the injector: the store restored from an older copy, also such
   that it loses the removal of a key, generations of the group or the removal
   of an endpoint, or gives an offset out again; endpoints that say in their
   answers that they leave, and endpoints that turn requests away for a time.
 */
#include "soak/injector_private.h"

/* How old the store's copy is, and how much later the lost records are written
   again. */
#define COPY_AGE_MIN_MS 200
#define COPY_AGE_MAX_MS 6000
#define REWRITE_MAX_MS 3000

/* How much older than what it lacks a copy is. */
#define COPY_MARGIN_MS 300

/* Drills that need the store to themselves begin in every other period of
   disruptions, this early, so that they leave the period of planned work after
   it alone.  In the others, there are restores and publications by chance. */
#define RESERVE_INTERVAL_US (4 * STB_PERIOD_US)
#define LOSE_BEGIN_MAX_US (2500 * CLK_MS_US)
#define REUSE_BEGIN_MAX_US (4500 * CLK_MS_US)

/* Number of times that partitions are reassigned before a restore. */
#define GENERATIONS_MIN 5
#define GENERATIONS_MAX 10

/* Upper limit (exclusive) of the requests that an endpoint turns away. */
#define TURNED_AWAY_MAX 5

/* Returns a random number from FIRST to END (exclusive).  */
uint32_t
stb_draw_drill (struct stb_injector *injector, uint32_t first, uint32_t end)
{
  return (uint32_t)g_rand_int_range (injector->drills, (gint32)first,
                                     (gint32)end);
}

static void
schedule (struct stb_injector *injector, struct disruption *drill,
          int64_t now_us, uint32_t first_ms, uint32_t end_ms)
{
  drill->due_us
      = now_us + stb_draw_drill (injector, first_ms, end_ms) * CLK_MS_US;
}

/* Restores the store from a copy that is AGE_US old; what it has lost is
   written again REWRITE_US later.  */
static void
restore_store (struct stb_injector *injector, int64_t age_us,
               int64_t rewrite_us)
{
  int64_t now_us = clk_monotonic_us ();
  const struct srd_restore restore = {
    .copied_us = now_us - age_us,
    .at_us = now_us,
    .written_us = SRD_NEVER,
  };
  sfl_restore_store (injector->params.fleet, age_us, rewrite_us);
  g_array_append_val (injector->params.record->restores, restore);
  injector->written_us = now_us + rewrite_us;
  stb_end_restores (injector, now_us);
}

/* Records that what the restores so far have lost was written again, if it was
   by NOW_US.  */
void
stb_end_restores (struct stb_injector *injector, int64_t now_us)
{
  GArray *restores = injector->params.record->restores;
  if (now_us < injector->written_us)
    {
      return;
    }
  for (guint i = 0; i < restores->len; i++)
    {
      struct srd_restore *restore
          = &g_array_index (restores, struct srd_restore, i);
      restore->written_us = MIN (restore->written_us, now_us);
    }
}

/* Begins DRILL at NOW_US, which needs the store to itself for about
   DURATION_US: no configurations are published and no copies restored by
   chance.  Returns false if it can't, or if it is later than BEGIN_MAX_US in
   the period.  A rehearsal always can.  */
static bool
reserve_store (struct stb_injector *injector, struct disruption *drill,
               int64_t now_us, int64_t begin_max_us, int64_t duration_us)
{
  int64_t elapsed_us = now_us - injector->start_us;
  bool free = injector->rehearsing
              || (now_us >= injector->hold_until_us
                  && now_us >= injector->written_us && !injector->ending
                  && elapsed_us % RESERVE_INTERVAL_US < begin_max_us);
  drill->ended = !free;
  if (free)
    {
      injector->hold_until_us = now_us + duration_us;
      drill->begun_us = now_us;
    }
  return free;
}

/* Ends DRILL, which had the store to itself, once the lost records have been
   written again.  */
static void
release_store (struct stb_injector *injector, struct disruption *drill,
               int64_t now_us)
{
  drill->ended = now_us >= injector->written_us;
  if (drill->ended)
    {
      injector->hold_until_us = now_us;
    }
  else
    {
      drill->phase--;
      drill->due_us = injector->written_us;
    }
}

/* Restores the store from a copy from before what DRILL has done since
   `begun_us', and makes the next phase due when that is written again.  */
static void
restore_before (struct stb_injector *injector, struct disruption *drill,
                int64_t now_us, uint32_t rewrite_first_ms,
                uint32_t rewrite_end_ms)
{
  int64_t age_us
      = clk_monotonic_us () - drill->begun_us + COPY_MARGIN_MS * CLK_MS_US;
  schedule (injector, drill, now_us, rewrite_first_ms, rewrite_end_ms);
  drill->rewrite_us = drill->due_us;
  restore_store (injector, age_us, drill->rewrite_us - now_us);
}

/* Restores the store, in a third of the cases twice, and waits until the lost
   records have been written again.  */
static void
step_restore (struct stb_injector *injector, struct disruption *drill,
              int64_t now_us)
{
  bool again = drill->phase == 1 && !injector->ending;
  if (drill->phase == 0 && now_us < injector->hold_until_us)
    {
      drill->ended = true;
      return;
    }
  if (drill->phase++ == 0 || again)
    {
      int64_t age_us
          = stb_draw_drill (injector, COPY_AGE_MIN_MS, COPY_AGE_MAX_MS)
            * CLK_MS_US;
      bool at_once = stb_draw_drill (injector, 0, 2) == 0;
      int64_t rewrite_us
          = at_once ? 0
                    : stb_draw_drill (injector, 1, REWRITE_MAX_MS) * CLK_MS_US;
      restore_store (injector, age_us, rewrite_us);
      drill->rewrite_us = now_us + rewrite_us;
      drill->due_us = drill->rewrite_us;
      if (!again && stb_draw_drill (injector, 0, 3) == 0)
        {
          schedule (injector, drill, now_us, 50, 2000);
          return;
        }
      drill->phase = 2;
      return;
    }
  drill->phase = 2;
  drill->due_us = drill->rewrite_us;
  drill->ended = now_us >= drill->rewrite_us;
}

/* Chooses an endpoint that is alive as the target of DRILL.  Returns false if
   there is none, or another drill of the kind has it.  */
static bool
choose_endpoint (struct stb_injector *injector, struct disruption *drill)
{
  const struct stb_params *params = &injector->params;
  drill->target
      = stb_draw_drill (injector, 0, params->engines + params->services);
  drill->instance = sfl_restart_count (params->fleet, drill->target);
  return sfl_is_alive (params->fleet, drill->target)
         && !stb_has_disruption (injector, drill, drill->target);
}

/* Returns whether the target of DRILL is still the instance that it began
   with, and alive.  */
static bool
is_same_instance (const struct stb_injector *injector,
                  const struct disruption *drill)
{
  const struct sfl_fleet *fleet = injector->params.fleet;
  return sfl_is_alive (fleet, drill->target)
         && sfl_restart_count (fleet, drill->target) == drill->instance;
}

/* Ends the target of DRILL and starts a new instance.  */
static void
replace_endpoint (struct stb_injector *injector,
                  const struct disruption *drill)
{
  struct sfl_fleet *fleet = injector->params.fleet;
  if (is_same_instance (injector, drill))
    {
      sfl_unlist (fleet, drill->target);
      sfl_kill (fleet, drill->target);
      sfl_restart (fleet, drill->target);
    }
}

/* Makes an endpoint say that it leaves.  It is listed as draining later, or
   never, and is replaced by a new instance.  */
static void
step_say_leaving (struct stb_injector *injector, struct disruption *drill,
                  int64_t now_us)
{
  struct sfl_fleet *fleet = injector->params.fleet;
  switch (drill->phase++)
    {
    case 0:
      drill->ended = !choose_endpoint (injector, drill);
      if (!drill->ended)
        {
          sfl_set_leaving (fleet, drill->target, true);
          schedule (injector, drill, now_us, 300, 1500);
        }
      break;
    case 1:
      if (is_same_instance (injector, drill)
          && stb_draw_drill (injector, 0, 2) == 0)
        {
          sfl_list_draining (fleet, drill->target);
        }
      schedule (injector, drill, now_us, 1500, 3000);
      break;
    default:
      replace_endpoint (injector, drill);
      drill->ended = true;
      break;
    }
}

/* Makes an endpoint turn some requests away.  An endpoint that stated an
   absurd time is replaced by a new instance, which states none.  */
static void
step_turn_away (struct stb_injector *injector, struct disruption *drill,
                int64_t now_us)
{
  static const char *const times[]
      = { "1",  "2", "3.5", "0.7", "1.25", "4",   "2.5",  "0",   "0.0",
          "-1", "",  "x",   "nan", "soon", "1;2", "0.05", "1e9", "inf" };
  const size_t absurd = G_N_ELEMENTS (times) - 2;
  struct sfl_fleet *fleet = injector->params.fleet;
  uint32_t choice = 0;
  switch (drill->phase++)
    {
    case 0:
      choice = stb_draw_drill (injector, 0, G_N_ELEMENTS (times));
      drill->ended = !choose_endpoint (injector, drill);
      if (!drill->ended)
        {
          sfl_turn_away (fleet, drill->target, times[choice],
                         stb_draw_drill (injector, 1, TURNED_AWAY_MAX));
          drill->phase = choice < absurd ? 1 : 2;
          schedule (injector, drill, now_us, 1500, 4000);
        }
      break;
    case 1:
      sfl_turn_away (fleet, drill->target, NULL, 0);
      drill->ended = true;
      break;
    default:
      replace_endpoint (injector, drill);
      drill->ended = true;
      break;
    }
}

/* Ends daemons while the store lacks what they knew: one by a signal that lets
   it stop, one at once, or all but one at once.  They start again soon.  */
static void
end_daemons (struct stb_injector *injector)
{
  const struct sdm_daemons *daemons = injector->params.daemons;
  uint32_t choice = stb_draw_drill (injector, 0, 3);
  uint32_t chosen = stb_draw_drill (injector, 0, daemons->list->len);
  for (uint32_t i = 0; i < daemons->list->len; i++)
    {
      if (choice == 0 && i == chosen)
        {
          sdm_stop (sdm_at (daemons, i));
        }
      else if (choice > 0 && (choice == 1) == (i == chosen))
        {
          sdm_kill (sdm_at (daemons, i));
        }
    }
}

/* Publishes a key and has the store lose that once daemons have read it, and
   give its offset to the configuration without the key.  */
static void
step_reuse_offset (struct stb_injector *injector, struct disruption *drill,
                   int64_t now_us)
{
  switch (drill->phase++)
    {
    case 0:
      if (reserve_store (injector, drill, now_us, REUSE_BEGIN_MAX_US,
                         7 * CLK_S_US))
        {
          stb_publish (injector, true, 1);
          restore_store (injector, CLK_MS_US, REWRITE_MAX_MS * CLK_MS_US);
          stb_publish (injector, false, 1);
          schedule (injector, drill, now_us, 4500, 5500);
        }
      break;
    default:
      release_store (injector, drill, now_us);
      break;
    }
}

/* Replaces an engine that is alive by an empty one, which needs an order.  */
static void
replace_engine (struct stb_injector *injector)
{
  const struct stb_params *params = &injector->params;
  struct disruption drill
      = { .target = stb_draw_drill (injector, 0, params->engines) };
  for (uint32_t i = 0;
       i < params->engines && !sfl_is_alive (params->fleet, drill.target); i++)
    {
      drill.target = (drill.target + 1) % params->engines;
    }
  drill.instance = sfl_restart_count (params->fleet, drill.target);
  replace_endpoint (injector, &drill);
}

/* Removes a key and a service, which goes on running, and has the partitions
   reassigned some times.  */
static void
write_losses (struct stb_injector *injector, struct disruption *drill)
{
  const struct stb_params *params = &injector->params;
  stb_publish (injector, false, 1);
  drill->target
      = params->engines + stb_draw_drill (injector, 0, params->services);
  drill->instance = sfl_restart_count (params->fleet, drill->target);
  sfl_unlist (params->fleet, drill->target);
  const struct srd_removal removal = {
    .endpoint = drill->target,
    .instance = drill->instance,
    .acked_us = clk_monotonic_us (),
  };
  g_array_append_val (params->record->removals, removal);
  uint32_t generations
      = stb_draw_drill (injector, GENERATIONS_MIN, GENERATIONS_MAX);
  for (uint32_t i = 0; i < generations; i++)
    {
      sfl_rebalance (params->fleet);
    }
}

/* Has the store lose the removal of a key and of a service and generations of
   the group, once the daemons know of them and an engine was ordered with the
   newest generation.  Some daemons start again before the removals are written
   again, and an engine needs an order of the leader after the restore.  */
static void
step_lose (struct stb_injector *injector, struct disruption *drill,
           int64_t now_us)
{
  switch (drill->phase++)
    {
    case 0:
      if (reserve_store (injector, drill, now_us, LOSE_BEGIN_MAX_US,
                         13 * CLK_S_US))
        {
          stb_publish (injector, true, 1);
          schedule (injector, drill, now_us, 600, 1200);
        }
      break;
    case 1:
      drill->begun_us = now_us;
      write_losses (injector, drill);
      schedule (injector, drill, now_us, 1000, 1200);
      break;
    case 2:
      replace_engine (injector);
      schedule (injector, drill, now_us, 1500, 2000);
      break;
    case 3:
      restore_before (injector, drill, now_us, 3500, 5500);
      schedule (injector, drill, now_us, 10, 900);
      break;
    case 4:
      end_daemons (injector);
      /* Memberships of the era before have ended then. */
      schedule (injector, drill, now_us, 2600, 3000);
      break;
    case 5:
      replace_engine (injector);
      schedule (injector, drill, now_us, 1500, 2000);
      drill->due_us = MAX (drill->due_us, drill->rewrite_us);
      break;
    default:
      replace_endpoint (injector, drill);
      release_store (injector, drill, now_us);
      break;
    }
}

/* Kinds that are listed twice are drawn more often.  */
const struct disruption_kind stb_drill_kinds[STB_DRILL_KINDS] = {
  { "restore", false, step_restore },
  { "restore", false, step_restore },
  { "say_leaving", false, step_say_leaving },
  { "say_leaving", false, step_say_leaving },
  { "turn_away", false, step_turn_away },
  { "turn_away", false, step_turn_away },
  { "lose", false, step_lose },
  { "lose", false, step_lose },
  { "reuse_offset", false, step_reuse_offset },
};

const struct disruption_kind stb_rehearsed_kinds[STB_REHEARSED_KINDS] = {
  { "harm", false, stb_crash_endpoints },
  { "reuse_offset", false, step_reuse_offset },
  { "lose", false, step_lose },
};
