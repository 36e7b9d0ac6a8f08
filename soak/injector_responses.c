/* Responses that a daemon may take for something else: without a length,
   refusals that don't state that the request wasn't run, errors within a
   stream, streams that begin anew, invalid status codes. */
#include "soak/injector_private.h"

/* For how long, and how many requests at most get such a response. */
#define SPOILED_MIN_MS 500
#define SPOILED_MAX_MS 3000
#define SPOILED_REQUESTS_MAX 60

static const enum sfl_fault service_faults[]
    = { SFL_WITHOUT_LENGTH, SFL_SHEDS, SFL_REFUSES_AGAIN, SFL_UNSIGNED,
        SFL_STATUS_000 };

static const enum sfl_fault engine_faults[]
    = { SFL_WITHOUT_LENGTH, SFL_WITHOUT_LENGTH, SFL_ENDS_MIDWAY,
        SFL_ERROR_TEXT,     SFL_NO_EVENTS,      SFL_REPEATS,
        SFL_STATUS_000 };

static gint32
draw (struct stb_injector *injector, gint32 first, gint32 end)
{
  return g_rand_int_range (injector->responses, first, end);
}

/* Spoils the responses of the engines or of the services for a time, unless
   another disruption does.  */
void
stb_spoil_responses (struct stb_injector *injector,
                     struct disruption *disruption, int64_t now_us)
{
  struct sfl_fleet *fleet = injector->params.fleet;
  bool engines = disruption->target == 1;
  if (disruption->phase++ > 0)
    {
      sfl_end_fault (fleet, engines, (enum sfl_fault)disruption->instance);
      disruption->ended = true;
      return;
    }
  engines = draw (injector, 0, 2) == 1;
  enum sfl_fault fault
      = engines
            ? engine_faults[draw (injector, 0, G_N_ELEMENTS (engine_faults))]
            : service_faults[draw (injector, 0,
                                   G_N_ELEMENTS (service_faults))];
  uint32_t requests = (uint32_t)draw (injector, 1, SPOILED_REQUESTS_MAX);
  disruption->target = engines;
  disruption->instance = fault;
  disruption->due_us
      = now_us + draw (injector, SPOILED_MIN_MS, SPOILED_MAX_MS) * CLK_MS_US;
  disruption->ended = sfl_has_fault (fleet, engines);
  if (!disruption->ended)
    {
      sfl_set_fault (fleet, engines, fault, requests);
    }
}
