/* The lease that lets one daemon at a time give orders to endpoints.

   Daemons append acquisitions, renewals and releases to the stream `lease' of
   the platform's log; which of them take effect follows from their order and
   log times, so that all readers know the same holder.  The holder uses the
   lease for its duration on its own monotonic clock, counted from the send of
   its append.  Its orders carry a fencing token, the offset of the
   acquisition, which increases with every holder.

   This is a state machine without I/O: the daemon's control thread passes
   events in with the current monotonic time, and carries out the actions that
   come back. */
#ifndef CORE_LEASE_H
#define CORE_LEASE_H

#include "core/action.h"

#define LSE_STREAM "lease"

struct lse_params
{
  uint64_t incarnation; /* random, unique for each start; not 0 */
  const char *name;     /* of this daemon; copied */
  int64_t duration_us;  /* log time; the same at every daemon */
  int64_t renew_interval_us;
  /* The holder stops using the lease this long before it expires, which covers
     clock drift and the longest pause between the check and the order. */
  int64_t safety_margin_us;
  int64_t rank_step_us;      /* delay per rank in acquiring a free lease */
  int64_t retry_interval_us; /* after an append that failed */
};

struct lse;

struct lse_params lse_params_default (uint64_t incarnation, const char *name);
struct lse *lse_create (const struct lse_params *params);
void lse_destroy (struct lse *lse);

void lse_set_rank (struct lse *lse, uint32_t rank);
void lse_set_candidate (struct lse *lse, bool willing);
void lse_log_record (struct lse *lse, uint64_t offset, int64_t time_us,
                     GBytes *bytes, int64_t now_us);
void lse_log_position (struct lse *lse, uint64_t first, uint64_t next,
                       int64_t now_us);
void lse_append_done (struct lse *lse, uint64_t token, uint64_t offset,
                      int64_t now_us);
void lse_append_refused (struct lse *lse, uint64_t token, int64_t now_us);
void lse_append_lost (struct lse *lse, uint64_t token, int64_t now_us);
void lse_tick (struct lse *lse, int64_t now_us, struct act_list *actions);

bool lse_held (const struct lse *lse, int64_t now_us, uint64_t *fence);
const char *lse_holder (const struct lse *lse, int64_t now_us);

#endif
