/* Requests that harm engines: a part of their prompts crashes each engine that
   begins to write on one of them. */
#include "soak/injector_private.h"

/* Interval at which crashed engines start again, and at which crashes are
   counted. */
#define RESTART_US (700 * CLK_MS_US)
#define CHECK_US (50 * CLK_MS_US)

/* How long the part crashes engines. */
#define HARM_MIN_MS 6000
#define HARM_MAX_MS 9000

/* Crashes from which all daemons must learn. */
#define CRASHES_KNOWN 5

/* Starts the crashed engines again, each RESTART_US.  */
static void
restart_engines (struct stb_injector *injector, struct disruption *harm,
                 int64_t now_us)
{
  struct sfl_fleet *fleet = injector->params.fleet;
  if (now_us < harm->restart_us)
    {
      return;
    }
  harm->restart_us = now_us + RESTART_US;
  for (uint32_t i = 0; i < injector->params.engines; i++)
    {
      if (!sfl_is_alive (fleet, i) && !stb_is_down (injector, i))
        {
          sfl_unlist (fleet, i);
          sfl_restart (fleet, i);
        }
    }
}

/* Returns whether every engine is alive, or started again by another
   disruption.  */
static bool
engines_are_back (const struct stb_injector *injector)
{
  bool back = true;
  for (uint32_t i = 0; i < injector->params.engines; i++)
    {
      back &= sfl_is_alive (injector->params.fleet, i)
              || stb_is_down (injector, i);
    }
  return back;
}

/* Lets a new part of prompts crash engines for a time, and starts the crashed
   ones again.  */
void
stb_crash_engines (struct stb_injector *injector, struct disruption *harm,
                   int64_t now_us)
{
  struct sfl_fleet *fleet = injector->params.fleet;
  GArray *parts = injector->params.record->crash_parts;
  if (harm->phase++ == 0)
    {
      g_autofree char *name
          = g_strdup_printf ("bad%u", ++injector->crash_parts);
      const struct srd_crash_part part = { .number = injector->crash_parts,
                                           .begin_us = now_us,
                                           .crashed_us = SRD_NEVER };
      injector->crash_part = part.number;
      g_array_append_val (parts, part);
      harm->target = parts->len - 1;
      harm->end_us
          = now_us
            + g_rand_int_range (injector->harms, HARM_MIN_MS, HARM_MAX_MS)
                  * CLK_MS_US;
      sfl_set_crash_part (fleet, name);
    }
  struct srd_crash_part *part
      = &g_array_index (parts, struct srd_crash_part, harm->target);
  if (injector->crash_part != 0 && now_us >= harm->end_us)
    {
      injector->crash_part = 0;
      sfl_set_crash_part (fleet, NULL);
    }
  else if (injector->crash_part != 0 && part->crashed_us == SRD_NEVER
           && sfl_crash_count (fleet) >= CRASHES_KNOWN)
    {
      part->crashed_us = now_us;
    }
  restart_engines (injector, harm, now_us);
  harm->due_us = now_us + CHECK_US;
  harm->ended = injector->crash_part == 0 && engines_are_back (injector);
}
