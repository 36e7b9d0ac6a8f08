/* Runs the daemons of a soak: starts each as a process with a proxy in front
   of the store, restarts processes that end, and probes their readiness as the
   platform's load balancer does.  Processes that exit unexpectedly or exceed
   the memory limit are reported as violations. */
#ifndef SOAK_DAEMONS_H
#define SOAK_DAEMONS_H

#include "net/client.h"
#include "soak/judge.h"
#include "soak/proxy.h"
#include "standin/entry_process.h"

/* A daemon and its process. */
struct sdm_daemon
{
  struct sep_process *process;
  struct spx_proxy *store_proxy; /* between the daemon and the store */
  uint32_t index;
  uint32_t start_number;  /* of the process, from 1 */
  int64_t started_us;     /* start of the process; monotonic */
  bool in_rotation;       /* the load balancer sends new connections */
  bool has_been_ready;    /* the present process */
  uint32_t failed_probes; /* in a row */
  bool stop_requested;    /* the process was told to stop */
  bool killed;            /* the process was killed */
  bool paused;
  int64_t restart_at_us;      /* 0: no restart is due */
  struct ncl_exchange *probe; /* NULL: none in flight */
  struct sdm_daemons *daemons;
};

struct sdm_params
{
  uv_loop_t *loop;
  const char *folder; /* for the daemons' settings and logs */
  const char *store_address;
  uint32_t count; /* of daemons */
  const struct sjd_bounds *bounds;
  struct srd_record *record; /* of the processes' starts and ends */
  uint32_t stop_s;           /* how long a planned stop may take */
  uint64_t memory_max_kb;    /* for each process */
};

struct sdm_daemons
{
  struct sdm_params params;
  struct ncl_client *client; /* sends the probes */
  GPtrArray *list;           /* struct sdm_daemon */
  GPtrArray *violations;     /* text, owned */
};

struct sdm_daemons *sdm_create (const struct sdm_params *params);
void sdm_destroy (struct sdm_daemons *daemons, bool keep_files);
void sdm_probe (struct sdm_daemons *daemons);
void sdm_check_processes (struct sdm_daemons *daemons, int64_t now_us);
void sdm_stop (struct sdm_daemon *daemon);
void sdm_kill (struct sdm_daemon *daemon);
void sdm_pause (struct sdm_daemon *daemon, bool paused);
struct sdm_daemon *sdm_at (const struct sdm_daemons *daemons, uint32_t index);
struct sdm_daemon *sdm_choose (const struct sdm_daemons *daemons,
                               uint32_t number);

#endif
