/* Simulates the callers of a soak: sends random requests to the daemons, on
   new and on reused connections, and records each request with its answer. */
#ifndef SOAK_CALLERS_H
#define SOAK_CALLERS_H

#include "soak/daemons.h"
#include "soak/record.h"

struct scl_callers;

struct scl_params
{
  uv_loop_t *loop;
  GRand *random;
  struct sdm_daemons *daemons;
  struct srd_record *record;
};

struct scl_callers *scl_create (const struct scl_params *params);
void scl_destroy (struct scl_callers *callers);
void scl_send (struct scl_callers *callers, uint32_t extra_key,
               const uint32_t harms[SRD_KINDS]);
void scl_expire (struct scl_callers *callers, int64_t now_us);
guint scl_in_flight (const struct scl_callers *callers);

#endif
