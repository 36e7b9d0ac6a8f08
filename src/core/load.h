/* Load and health of one endpoint as known to one daemon.  The fields are
   atomic, since the traffic threads and the control thread share them, and
   outlive routing snapshots.  In a step, the endpoint runs one or more
   positions of a stream. */
#ifndef CORE_LOAD_H
#define CORE_LOAD_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

struct ld_load
{
  _Atomic int32_t steps_in_flight; /* sent by this daemon, not answered */
  _Atomic int32_t streams; /* of this daemon, routed over the endpoint */
  _Atomic int32_t reported_running; /* steps, by the endpoint's last report */
  _Atomic int32_t reported_queued;  /* steps, by the endpoint's last report */
  _Atomic int64_t reported_at_us;   /* monotonic; 0: never */
  _Atomic int64_t step_us; /* duration, moving average; 0: none observed */
  _Atomic int64_t step_deviation_us; /* moving mean absolute deviation */
  _Atomic int64_t failed_at_us; /* monotonic; 0: no failure since recovery */
  _Atomic uint32_t failures;    /* backoffs since the last recovery */
  _Atomic bool unreachable;     /* timed out or refused a connection, and
                                   hasn't answered anything since */
  _Atomic bool refusing;        /* refuses new streams, as it is leaving */
  _Atomic int64_t step_at_us;   /* monotonic; end of the last observed step */
  _Atomic uint32_t recovery_steps; /* steps answered since the last failure */
};

/* How much new work an endpoint may be given. */
enum ld_standing
{
  LD_OPEN,
  LD_PROBATION, /* one stream at a time, until the endpoint has recovered */
  LD_CLOSED     /* no new streams */
};

void ld_stream_added (struct ld_load *load);
void ld_stream_removed (struct ld_load *load);
void ld_step_sent (struct ld_load *load);
void ld_step_done (struct ld_load *load, int64_t step_us, int64_t now_us);
void ld_step_abandoned (struct ld_load *load, int64_t waited_us,
                        int64_t now_us);
void ld_step_failed (struct ld_load *load, int64_t now_us);
void ld_report (struct ld_load *load, int32_t running, int32_t queued,
                bool leaving, int64_t now_us);
void ld_set_reachable (struct ld_load *load, bool reachable);
void ld_set_refusing (struct ld_load *load, bool refusing);
enum ld_standing ld_standing (const struct ld_load *load, int64_t now_us);
int64_t ld_step_timeout_us (const struct ld_load *load);

#endif
