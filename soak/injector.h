/* Injects randomly drawn disruptions into a soak: planned work, during which
   the daemons must keep their time limits, and faults, whose times are written
   to the record.  Several disruptions may be active at once. */
#ifndef SOAK_INJECTOR_H
#define SOAK_INJECTOR_H

#include "soak/daemons.h"
#include "soak/record.h"
#include "standin/fleet.h"

struct stb_injector;

struct stb_params
{
  uv_loop_t *loop;
  GRand *random;
  uint32_t seed; /* of the drills, which have a generator of their own */
  struct sfl_fleet *fleet;
  struct sdm_daemons *daemons;
  GPtrArray *proxies; /* struct spx_proxy, in front of the endpoints */
  struct srd_record *record;
  uint32_t engines;
  uint32_t services;
  bool verbose; /* prints each step of a disruption */
};

struct stb_injector *stb_create (const struct stb_params *params);
void stb_destroy (struct stb_injector *injector);
void stb_tick (struct stb_injector *injector, int64_t now_us);
void stb_end (struct stb_injector *injector, int64_t now_us);
void stb_rehearse (struct stb_injector *injector);
bool stb_has_ended (const struct stb_injector *injector);
uint32_t stb_newest_key (const struct stb_injector *injector);
uint32_t stb_harm (const struct stb_injector *injector, enum srd_kind kind);

#endif
