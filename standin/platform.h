/* A stand-in for the platform that serves an append-only log, a host list and
   a weight store over HTTP on loopback.  POST /fault injects faults. */
#ifndef STANDIN_PLATFORM_H
#define STANDIN_PLATFORM_H

#include "standin/host_list.h"
#include "standin/journal.h"

struct fp_platform;

struct fp_options
{
  uint16_t port;              /* 0: chosen by the kernel */
  uint32_t connections;       /* open at the same time */
  uint32_t appends_per_s;     /* rate limit of the log */
  uint32_t retention_ms;      /* records of the log expire after this time */
  uint32_t list_lag_ms;       /* until the host list shows a change */
  uint32_t weights_per_min;   /* layer ranges that the weight store serves */
  struct jn_journal *journal; /* NULL: none */
};

struct fp_platform *fp_create (const struct fp_options *options,
                               GError **error);
void fp_destroy (struct fp_platform *platform);
uint16_t fp_port (const struct fp_platform *platform);
void fp_add_host (struct fp_platform *platform, const struct hl_host *host);

#endif
