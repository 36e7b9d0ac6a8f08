/* What befalls the daemons of a soak: planned work and troubles, drawn from a
   seed, in series and overlapping. */
#ifndef SOAK_TROUBLES_H
#define SOAK_TROUBLES_H

#include "soak/daemons.h"
#include "soak/record.h"
#include "standin/fleet.h"

struct stb_troubles;

struct stb_params
{
  uv_loop_t *loop;
  GRand *random;
  struct sfl_fleet *fleet;
  struct sdm_daemons *daemons;
  GPtrArray *proxies; /* struct spx_proxy, before the endpoints */
  struct srd_record *record;
  uint32_t engines;
  uint32_t services;
  bool verbose;
};

struct stb_troubles *stb_create (const struct stb_params *params);
void stb_destroy (struct stb_troubles *troubles);
void stb_step (struct stb_troubles *troubles, int64_t now_us);
void stb_end (struct stb_troubles *troubles, int64_t now_us);
bool stb_is_over (const struct stb_troubles *troubles);
uint32_t stb_extra_key (const struct stb_troubles *troubles);

#endif
