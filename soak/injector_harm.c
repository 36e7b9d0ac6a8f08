/* Requests that harm endpoints: a part of drafts' prompts crashes each engine
   that begins to write on one of them, and a repeated look-up each service
   that begins to run it. */
#include "soak/injector_private.h"

/* Interval at which crashed endpoints start again, and at which crashes are
   counted. */
#define RESTART_US (700 * CLK_MS_US)
#define CHECK_US (50 * CLK_MS_US)

/* How long requests crash endpoints. */
#define HARM_MIN_MS 6000
#define HARM_MAX_MS 9000

/* What a kind of requests does to endpoints. */
static const struct
{
  enum srd_kind request;
  enum sfl_harm_kind harm;
  uint32_t crashes_known; /* from which all daemons must learn */
} harms[] = {
  { SRD_DRAFT, SFL_HARM_PART, 5 },
  { SRD_LOOK, SFL_HARM_BODY, 3 },
};

/* Starts the crashed endpoints again, each RESTART_US.  */
static void
restart_endpoints (struct stb_injector *injector, struct disruption *harm,
                   int64_t now_us)
{
  struct sfl_fleet *fleet = injector->params.fleet;
  if (now_us < harm->restart_us)
    {
      return;
    }
  harm->restart_us = now_us + RESTART_US;
  for (uint32_t i = 0;
       i < injector->params.engines + injector->params.services; i++)
    {
      if (!sfl_is_alive (fleet, i) && !stb_is_down (injector, i))
        {
          sfl_unlist (fleet, i);
          sfl_restart (fleet, i);
        }
    }
}

/* Returns whether every endpoint is alive, or started again by another
   disruption.  */
static bool
endpoints_are_back (const struct stb_injector *injector)
{
  bool back = true;
  for (uint32_t i = 0;
       i < injector->params.engines + injector->params.services; i++)
    {
      back &= sfl_is_alive (injector->params.fleet, i)
              || stb_is_down (injector, i);
    }
  return back;
}

/* Lets a new part of prompts and a new look-up crash endpoints, and records
   both.  */
static void
begin_harms (struct stb_injector *injector, struct disruption *harm,
             int64_t now_us)
{
  GArray *record = injector->params.record->harms;
  injector->harmful = true;
  injector->harms_begun++;
  harm->target = record->len;
  harm->end_us = now_us
                 + g_rand_int_range (injector->harms, HARM_MIN_MS, HARM_MAX_MS)
                       * CLK_MS_US;
  for (size_t i = 0; i < G_N_ELEMENTS (harms); i++)
    {
      const struct srd_harm begun
          = { .number = stb_harm (injector, harms[i].request),
              .begin_us = now_us,
              .crashed_us = SRD_NEVER };
      g_autofree char *text = srd_harm_text (begun.number);
      g_array_append_val (record, begun);
      sfl_add_harm (injector->params.fleet, harms[i].harm, text);
    }
}

/* Lets requests crash endpoints for a time, and starts the crashed ones again.
 */
void
stb_crash_endpoints (struct stb_injector *injector, struct disruption *harm,
                     int64_t now_us)
{
  struct sfl_fleet *fleet = injector->params.fleet;
  if (harm->phase++ == 0)
    {
      begin_harms (injector, harm, now_us);
    }
  bool ends = injector->harmful && now_us >= harm->end_us;
  for (size_t i = 0; injector->harmful && i < G_N_ELEMENTS (harms); i++)
    {
      struct srd_harm *begun = &g_array_index (
          injector->params.record->harms, struct srd_harm, harm->target + i);
      g_autofree char *text = srd_harm_text (begun->number);
      if (ends)
        {
          sfl_end_harm (fleet, text);
        }
      else if (begun->crashed_us == SRD_NEVER
               && sfl_crash_count (fleet, text) >= harms[i].crashes_known)
        {
          begun->crashed_us = now_us;
        }
    }
  injector->harmful &= !ends;
  restart_endpoints (injector, harm, now_us);
  harm->due_us = now_us + CHECK_US;
  harm->ended = !injector->harmful && endpoints_are_back (injector);
}
