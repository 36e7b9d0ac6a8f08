/* A stand-in for a plain service that serves bookings and look-ups over HTTP
   on loopback.  Each booking has an effect, which is written to the journal;
   repeated bookings aren't deduplicated.  POST /fault injects faults. */
#ifndef STANDIN_SERVICE_H
#define STANDIN_SERVICE_H

#include "standin/journal.h"

#include <stdint.h>

struct fs_service;

struct fs_options
{
  uint16_t port;              /* 0: chosen by the kernel */
  uint32_t connections;       /* open at the same time */
  const char *name;           /* of the host, for the journal */
  uint32_t work_ms;           /* duration of a call */
  struct jn_journal *journal; /* NULL: none */
};

struct fs_service *fs_create (const struct fs_options *options,
                              GError **error);
void fs_destroy (struct fs_service *service);
uint16_t fs_port (const struct fs_service *service);

#endif
