/* The daemons of a soak: processes of their own, each with its own way to the
   store, and what the platform's balancer believes of them. */
#ifndef SOAK_DAEMONS_H
#define SOAK_DAEMONS_H

#include "net/client.h"
#include "soak/judge.h"
#include "soak/proxy.h"
#include "standin/entry_process.h"

struct sdm_daemon
{
  struct sep_process *process;
  struct spx_proxy *to_store;
  uint32_t index;
  uint32_t start_number; /* of the process, from 1 */
  bool in_rotation;      /* the balancer sends new connections */
  uint32_t misses;       /* probes in a row without a good answer */
  bool expected_end;     /* it was told to stop, or killed */
  bool paused;
  int64_t restart_us; /* 0: none is due */
  struct ncl_exchange *probe;
  struct sdm_daemons *daemons;
};

struct sdm_params
{
  uv_loop_t *loop;
  const char *folder;
  const char *store_address;
  uint32_t count;
  const struct sjd_bounds *bounds;
  uint32_t stop_s;
  uint64_t memory_max_kb;
};

struct sdm_daemons
{
  struct sdm_params params;
  struct ncl_client *client; /* for probes */
  GPtrArray *list;           /* struct sdm_daemon */
  GPtrArray *complaints;     /* text: ends and sizes that nobody asked for */
};

struct sdm_daemons *sdm_create (const struct sdm_params *params);
void sdm_destroy (struct sdm_daemons *daemons, bool keep_files);
void sdm_probe (struct sdm_daemons *daemons);
void sdm_watch (struct sdm_daemons *daemons, int64_t now_us);
void sdm_stop (struct sdm_daemon *daemon);
void sdm_kill (struct sdm_daemon *daemon);
void sdm_pause (struct sdm_daemon *daemon, bool paused);
struct sdm_daemon *sdm_at (const struct sdm_daemons *daemons, uint32_t index);
struct sdm_daemon *sdm_choose (const struct sdm_daemons *daemons,
                               uint32_t number);

#endif
