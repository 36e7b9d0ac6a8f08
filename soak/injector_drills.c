/* The drills of the injector: the store restored from an older copy, endpoints
   that say in their answers that they leave, and endpoints that turn requests
   away for a time. */
#include "soak/injector_private.h"

/* How old the store's copy is, and how much later the lost records are written
   again. */
#define COPY_AGE_MIN_MS 200
#define COPY_AGE_MAX_MS 6000
#define REWRITE_MAX_MS 3000

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

/* Restores the store, in a third of the cases twice, and waits until the lost
   records have been written again.  */
static void
step_restore (struct stb_injector *injector, struct disruption *drill,
              int64_t now_us)
{
  bool again = drill->phase == 1 && !injector->ending;
  if (drill->phase++ == 0 || again)
    {
      int64_t age_us
          = stb_draw_drill (injector, COPY_AGE_MIN_MS, COPY_AGE_MAX_MS)
            * CLK_MS_US;
      bool at_once = stb_draw_drill (injector, 0, 2) == 0;
      int64_t rewrite_us
          = at_once ? 0
                    : stb_draw_drill (injector, 1, REWRITE_MAX_MS) * CLK_MS_US;
      sfl_restore_store (injector->params.fleet, age_us, rewrite_us);
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

const struct disruption_kind stb_drill_kinds[STB_DRILL_KINDS] = {
  { "restore", false, step_restore },
  { "say_leaving", false, step_say_leaving },
  { "turn_away", false, step_turn_away },
};
