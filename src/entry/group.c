#include "entry/group.h"

#include "base/clock.h"
#include "base/log.h"
#include "net/call.h"
#include "platform/store.h"

/* Group of all entry daemons, and the topic whose partitions it divides. */
#define GROUP "entry"
#define TOPIC "entry-shares"

/* The time without renewals after which the store removes a member, the
   interval of renewals, the interval of retries after a failed one, and the
   time-out of a call. */
#define MEMBERSHIP_MS 2500
#define RENEW_INTERVAL_MS 700
#define RETRY_INTERVAL_MS 200
#define CALL_TIMEOUT_MS 600

/* The daemon stops leading this long before the store may remove it from the
   group, so that two daemons never lead at once. */
#define MEMBERSHIP_MARGIN_US (300 * CLK_MS_US)

struct grp_group
{
  struct grp_params params;
  char *address;
  char *member;
  uv_timer_t timer;
  struct cal_call *call;
  struct pfs_membership membership;
  int64_t renew_sent_us;       /* monotonic, newest renewal */
  int64_t member_until_us;     /* the membership is certain until then,
                                  monotonic */
  uint64_t refused_generation; /* newest whose orders were refused */
  bool was_leader;             /* as logged last */
};

/* Handles the answer to a renewal, logs a change of the leader's role and
   schedules the next renewal.  */
static void
on_renewed (void *context, uint32_t status, const uint8_t *body,
            size_t body_bytes, const char *why)
{
  struct grp_group *group = context;
  group->call = NULL;
  g_autoptr (GError) error = NULL;
  bool renewed
      = status == HTTP_STATUS_OK
        && pfs_decode_join (body, body_bytes, group->params.partitions,
                            &group->membership, &error);
  if (renewed)
    {
      group->member_until_us = group->renew_sent_us + MEMBERSHIP_MS * CLK_MS_US
                               - MEMBERSHIP_MARGIN_US;
    }
  else
    {
      lg_line (LOG_INFO, "group_not_renewed", "status=%u why=\"%s\"", status,
               error != NULL ? error->message : why);
    }
  uint64_t fence = 0;
  bool leader = grp_is_leader (group, &fence);
  if (leader != group->was_leader)
    {
      group->was_leader = leader;
      lg_line (LOG_NOTICE, leader ? "lead_gained" : "lead_lost",
               "generation=%lu", (unsigned long)group->membership.generation);
    }
  uint32_t jitter_ms = g_random_int_range (0, RETRY_INTERVAL_MS);
  uv_timer_start (
      &group->timer, group->timer.timer_cb,
      (renewed ? RENEW_INTERVAL_MS : RETRY_INTERVAL_MS) + jitter_ms, 0);
}

/* Sends the call that joins the group or renews the membership.  */
static void
on_renew (uv_timer_t *timer)
{
  struct grp_group *group = timer->data;
  char *body = pfs_join_body (GROUP, group->member, TOPIC, MEMBERSHIP_MS,
                              group->membership.generation);
  const struct cal_params params = {
    .client = group->params.client,
    .loop = group->params.loop,
    .address = group->address,
    .method = "POST",
    .path = PFS_JOIN_PATH,
    .body = body,
    .timeout_ms = CALL_TIMEOUT_MS,
    .done = on_renewed,
    .context = group,
  };
  group->renew_sent_us = clk_monotonic_us ();
  group->call = cal_send (&params);
  g_free (body);
}

/* Joins the group of all entry daemons and keeps renewing the membership until
   grp_leave or grp_destroy.  */
struct grp_group *
grp_create (const struct grp_params *params)
{
  struct grp_group *group = g_new0 (struct grp_group, 1);
  group->params = *params;
  group->address = g_strdup (params->address);
  group->member = g_strdup (params->member);
  uv_timer_init (params->loop, &group->timer);
  group->timer.data = group;
  uv_timer_start (&group->timer, on_renew, 0, 0);
  return group;
}

static void
on_left (void *context, uint32_t status, const uint8_t *body,
         size_t body_bytes, const char *why)
{
  (void)body;
  (void)body_bytes;
  struct grp_group *group = context;
  group->call = NULL;
  lg_line (LOG_NOTICE, "group_left", "status=%u why=\"%s\"", status, why);
}

/* Leaves the group, so that its shares and its leadership pass to other
   members at once instead of after MEMBERSHIP_MS.  */
void
grp_leave (struct grp_group *group)
{
  if (group->call != NULL)
    {
      cal_cancel (group->call);
    }
  uv_timer_stop (&group->timer);
  group->membership.leads = false;
  char *body = pfs_leave_body (GROUP, group->member);
  const struct cal_params params = {
    .client = group->params.client,
    .loop = group->params.loop,
    .address = group->address,
    .method = "POST",
    .path = PFS_LEAVE_PATH,
    .body = body,
    .timeout_ms = CALL_TIMEOUT_MS,
    .done = on_left,
    .context = group,
  };
  group->call = cal_send (&params);
  g_free (body);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  struct grp_group *group = handle->data;
  g_free (group->address);
  g_free (group->member);
  g_free (group);
}

/* Stops the renewals and frees GROUP; the loop must run once more afterwards.
   The membership isn't ended.  */
void
grp_destroy (struct grp_group *group)
{
  if (group->call != NULL)
    {
      cal_cancel (group->call);
    }
  uv_close ((uv_handle_t *)&group->timer, on_timer_closed);
}

/* Returns true while this daemon is the leader.  Sets FENCE to the fencing
   token of its orders.  */
bool
grp_is_leader (const struct grp_group *group, uint64_t *fence)
{
  *fence = group->membership.generation;
  return group->membership.leads
         && group->membership.generation > group->refused_generation
         && clk_monotonic_us () < group->member_until_us;
}

/* Stops leading until the next generation, since an endpoint refused the
   fencing token of the present one.  */
void
grp_step_down (struct grp_group *group)
{
  group->refused_generation = group->membership.generation;
  group->membership.leads = false;
}

/* Returns this daemon's share of shared capacity and budgets, 0 to 1.  */
double
grp_share (const struct grp_group *group)
{
  return group->membership.share;
}

/* True when there may be more daemons than partitions to divide: this daemon
   has one partition at most.  */
bool
grp_exceeds_partitions (const struct grp_group *group)
{
  return group->membership.generation > 0
         && group->membership.share * group->params.partitions <= 1;
}
