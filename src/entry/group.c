#include "entry/group.h"

#include "base/clock.h"
#include "base/log.h"
#include "core/era.h"
#include "core/renewal.h"
#include "net/call.h"
#include "platform/headers.h"
#include "platform/store.h"

/* Group of all entry daemons, and the topic whose partitions it divides. */
#define GROUP "entry"
#define TOPIC "entry-shares"

/* Members that hold one of the first partitions run a relay for daemons that
   don't know of another one.  Each relay adds calls to the store. */
#define RELAY_PARTITIONS 3

struct grp_group
{
  struct grp_params params;
  char *address;
  char *member;
  uv_timer_t timer;
  struct cal_call *call;   /* join, probe or leave; NULL: none */
  struct cal_call *lookup; /* of the owners of partitions; NULL: none */
  grp_found found;         /* receives the result of the lookup */
  void *found_context;
  uint32_t lookup_end;          /* the partitions below it are looked up */
  uint64_t era;                 /* newest that is known of the store */
  uint64_t answer_era;          /* stated by the newest answer to a renewal */
  bool answer_readable;         /* that era, or its absence */
  struct era_handover handover; /* after the newest restore */
  struct pfs_membership membership; /* without a lead or partitions until the
                                       first renewal in `era' */
  bool joined;                      /* or joining */
  bool left;                        /* by grp_leave: for good */
  int64_t idle_since_us; /* since when it has owned nothing, monotonic */
  int64_t renew_sent_us; /* monotonic, newest renewal */
  struct rnw_renewal renewal;
  uint64_t refused_fence; /* highest fencing token that was refused */
  bool was_leader;        /* as logged last */
};

/* Logs that this daemon has become the leader or isn't the leader any more. */
static void
log_lead (struct grp_group *group)
{
  uint64_t fence = 0;
  bool leader = grp_is_leader (group, &fence);
  if (leader != group->was_leader)
    {
      group->was_leader = leader;
      lg_line (LOG_NOTICE, leader ? "lead_gained" : "lead_lost",
               "era=%lu generation=%lu", (unsigned long)group->era,
               (unsigned long)group->membership.generation);
    }
}

/* Returns the fencing token of the present membership.  */
static uint64_t
fence_of (const struct grp_group *group)
{
  return era_fence (group->era, group->membership.generation);
}

static void
on_headers (void *context, uint32_t status, const struct msg_message *response)
{
  (void)status;
  struct grp_group *group = context;
  g_autoptr (GError) error = NULL;
  group->answer_readable = pfs_decode_era (msg_find (response, PFH_STORE_ERA),
                                           &group->answer_era, &error);
  if (!group->answer_readable)
    {
      lg_line (LOG_ERR, "store_era_refused", "group=%s why=\"%s\"", GROUP,
               error->message);
    }
}

/* Makes the next call after PAUSE_US and a random time that keeps the daemons'
   calls apart.  */
static void
schedule_call (struct grp_group *group, int64_t pause_us)
{
  gint32 spread_us = (gint32)group->params.plan.retry_interval_us;
  uint64_t delay_us = (uint64_t)(pause_us + g_random_int_range (0, spread_us));
  uv_timer_start (&group->timer, group->timer.timer_cb, delay_us / CLK_MS_US,
                  0);
}

/* Handles the answer to a renewal, logs a change of the leader's role and
   schedules the next renewal.  */
static void
on_renewed (void *context, uint32_t status, const uint8_t *body,
            size_t body_bytes, const char *why)
{
  struct grp_group *group = context;
  group->call = NULL;
  g_autoptr (GError) error = NULL;
  grp_set_era (group, group->answer_era);
  bool current = group->answer_readable
                 && era_compare (group->era, group->answer_era) == ERA_SAME;
  bool renewed
      = status == HTTP_STATUS_OK && current
        && pfs_decode_join (body, body_bytes, group->params.partitions,
                            &group->membership, &error);
  const struct rfs_membership *plan = &group->params.plan;
  if (renewed)
    {
      rnw_renewed (&group->renewal,
                   group->renew_sent_us + plan->lifetime_us - plan->margin_us);
      if (grp_partitions (group) > 0)
        {
          group->idle_since_us = clk_monotonic_us ();
        }
    }
  else
    {
      lg_line (LOG_INFO, "group_not_renewed", "status=%u why=\"%s\"", status,
               error != NULL ? error->message
               : current     ? why
                             : "the answer is from an earlier era");
    }
  if (!renewed && status != 0)
    {
      rnw_answered (&group->renewal);
    }
  else if (!renewed)
    {
      rnw_unanswered (&group->renewal);
    }
  log_lead (group);
  schedule_call (group,
                 renewed ? plan->renew_interval_us : plan->retry_interval_us);
}

/* Handles the answer to a probe: if there is one, joins the group again at
   once.  */
static void
on_probed (void *context, uint32_t status, const uint8_t *body,
           size_t body_bytes, const char *why)
{
  (void)body;
  (void)body_bytes;
  struct grp_group *group = context;
  group->call = NULL;
  lg_line (LOG_INFO, "group_probed", "status=%u why=\"%s\"", status, why);
  if (status == 0)
    {
      schedule_call (group, group->params.plan.retry_interval_us);
      return;
    }
  rnw_answered (&group->renewal);
  uv_timer_start (&group->timer, group->timer.timer_cb, 0, 0);
}

/* Returns a call of the store that posts BODY to PATH, or asks for PATH if
   BODY is NULL; DONE receives the answer.  */
static struct cal_params
describe_call (struct grp_group *group, const char *path, const char *body,
               cal_done done)
{
  return (struct cal_params){
    .client = group->params.client,
    .loop = group->params.loop,
    .address = group->address,
    .method = body == NULL ? "GET" : "POST",
    .path = path,
    .body = body,
    .timeout_ms = (uint32_t)(group->params.plan.timeout_us / CLK_MS_US),
    .done = done,
    .context = group,
  };
}

/* Sends the call that joins the group or renews the membership.  */
static void
send_renewal (struct grp_group *group)
{
  char *body
      = pfs_join_body (GROUP, group->member, TOPIC,
                       (uint32_t)(group->params.plan.lifetime_us / CLK_MS_US),
                       group->membership.generation);
  struct cal_params params
      = describe_call (group, PFS_JOIN_PATH, body, on_renewed);
  params.headers = on_headers;
  group->answer_era = ERA_UNKNOWN;
  group->answer_readable = true;
  group->renew_sent_us = clk_monotonic_us ();
  group->call = cal_send (&params);
  g_free (body);
}

/* Asks the store for what changes nothing, to find out whether its answers
   arrive.  */
static void
send_probe (struct grp_group *group)
{
  g_autofree char *path = pfs_owners_path (GROUP);
  const struct cal_params params
      = describe_call (group, path, NULL, on_probed);
  group->call = cal_send (&params);
}

static void
on_call_due (uv_timer_t *timer)
{
  static void (*const senders[]) (struct grp_group *) = {
    [RNW_RENEW] = send_renewal,
    [RNW_PROBE] = send_probe,
  };
  struct grp_group *group = timer->data;
  senders[rnw_next_call (&group->renewal, clk_monotonic_us ())](group);
}

/* Creates the membership in the group of all entry daemons.  It begins with
   grp_keep_membership.  */
struct grp_group *
grp_create (const struct grp_params *params)
{
  struct grp_group *group = g_new0 (struct grp_group, 1);
  group->params = *params;
  group->address = g_strdup (params->address);
  group->member = pfs_member_name (params->member, params->relay_address);
  group->membership.first_partition = UINT32_MAX;
  uv_timer_init (params->loop, &group->timer);
  group->timer.data = group;
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

/* Ends the membership by a call, so that its partitions pass to other members
   at once instead of at its end.  */
static void
end_membership (struct grp_group *group)
{
  if (group->call != NULL)
    {
      cal_cancel (group->call);
    }
  uv_timer_stop (&group->timer);
  group->joined = false;
  group->membership.share = 0;
  group->membership.leads = false;
  group->membership.first_partition = UINT32_MAX;
  char *body = pfs_leave_body (GROUP, group->member);
  const struct cal_params params
      = describe_call (group, PFS_LEAVE_PATH, body, on_left);
  group->call = cal_send (&params);
  g_free (body);
  log_lead (group);
}

/* Leaves the group for good, since the daemon stops.  */
void
grp_leave (struct grp_group *group)
{
  group->left = true;
  if (group->joined)
    {
      end_membership (group);
    }
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
  if (group->lookup != NULL)
    {
      cal_cancel (group->lookup);
    }
  uv_close ((uv_handle_t *)&group->timer, on_timer_closed);
}

/* Takes note that the store is in ERA, as an answer of it states.  If it was
   restored since, the present membership is void: it is renewed at once, and
   counts only once the members that don't know of the restore yet can't take
   theirs for valid any more.  */
void
grp_set_era (struct grp_group *group, uint64_t era)
{
  if (era_compare (group->era, era) != ERA_RISEN)
    {
      return;
    }
  bool was_member = group->membership.generation != 0;
  int64_t now_us = clk_monotonic_us ();
  if (group->era != ERA_UNKNOWN || was_member)
    {
      lg_line (LOG_WARNING, "membership_void",
               "era=%lu before=%lu generation=%lu leads=%d share=%.3f",
               (unsigned long)era, (unsigned long)group->era,
               (unsigned long)group->membership.generation,
               group->membership.leads, group->membership.share);
      group->handover = era_begin_handover (
          grp_share (group), group->params.plan.lifetime_us, now_us);
    }
  group->era = era;
  group->membership.generation = 0;
  group->membership.leads = false;
  if (group->joined && group->call == NULL)
    {
      uv_timer_start (&group->timer, group->timer.timer_cb, 0, 0);
    }
  log_lead (group);
}

/* Returns true while this daemon is the leader.  Sets FENCE to the fencing
   token of its orders.  */
bool
grp_is_leader (const struct grp_group *group, uint64_t *fence)
{
  int64_t now_us = clk_monotonic_us ();
  *fence = fence_of (group);
  return group->membership.leads && *fence > group->refused_fence
         && era_may_lead (&group->handover, now_us)
         && now_us < group->renewal.certain_until_us;
}

/* Returns the monotonic time at which the present membership isn't certain any
   more; an order that is still unsent then may come after those of the next
   leader.  */
int64_t
grp_certain_until_us (const struct grp_group *group)
{
  return group->renewal.certain_until_us;
}

/* Stops leading until the next generation, since an endpoint refused the
   fencing token FENCE, unless the present one is higher.  */
void
grp_step_down (struct grp_group *group, uint64_t fence)
{
  group->refused_fence = MAX (group->refused_fence, fence);
  if (fence_of (group) <= group->refused_fence)
    {
      group->membership.leads = false;
    }
}

/* Returns this daemon's share of shared capacity and budgets, 0 to 1.  */
double
grp_share (const struct grp_group *group)
{
  return era_share (&group->handover, group->membership.share,
                    clk_monotonic_us ());
}

/* Returns the number of partitions that this daemon owns.  */
uint32_t
grp_partitions (const struct grp_group *group)
{
  return (uint32_t)(group->membership.share * group->params.partitions + 0.5);
}

/* True when this daemon is a member of the group, or joins it.  */
bool
grp_is_member (const struct grp_group *group)
{
  return group->joined;
}

/* Returns for how long, at the monotonic time NOW_US, this daemon has been a
   member that owns no partition; 0 if it isn't a member, or owned one at the
   newest renewal.  */
int64_t
grp_idle_us (const struct grp_group *group, int64_t now_us)
{
  return group->joined && grp_partitions (group) == 0
             ? now_us - group->idle_since_us
             : 0;
}

/* Joins the group and keeps the membership if KEEP, or else ends it.  */
void
grp_keep_membership (struct grp_group *group, bool keep)
{
  if (keep == group->joined || group->left)
    {
      return;
    }
  lg_line (LOG_INFO, keep ? "group_joins" : "group_leaves", "member=%s",
           group->member);
  if (!keep)
    {
      end_membership (group);
      return;
    }
  if (group->call != NULL)
    {
      cal_cancel (group->call);
      group->call = NULL;
    }
  group->joined = true;
  group->idle_since_us = clk_monotonic_us ();
  uv_timer_start (&group->timer, on_call_due, 0, 0);
}

/* True when the group's members are to run a relay on this daemon.  */
bool
grp_runs_relay (const struct grp_group *group)
{
  return group->membership.first_partition < RELAY_PARTITIONS;
}

static void
on_owners (void *context, uint32_t status, const uint8_t *body,
           size_t body_bytes, const char *why)
{
  struct grp_group *group = context;
  group->lookup = NULL;
  GPtrArray *addresses = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GError) error = NULL;
  if (status != HTTP_STATUS_OK
      || !pfs_decode_owners (body, body_bytes, group->lookup_end, addresses,
                             &error))
    {
      lg_line (LOG_INFO, "relays_not_found", "status=%u why=\"%s\"", status,
               error != NULL ? error->message : why);
      group->found (group->found_context, NULL);
    }
  else
    {
      lg_line (LOG_INFO, "relays_found", "count=%u first=%s", addresses->len,
               addresses->len > 0 ? (char *)g_ptr_array_index (addresses, 0)
                                  : "-");
      group->found (group->found_context, addresses);
    }
  g_ptr_array_free (addresses, TRUE);
}

/* Looks the owners of the partitions below END up.  Returns false, without a
   call of FOUND, during an earlier lookup.  */
static bool
find_owners (struct grp_group *group, uint32_t end, grp_found found,
             void *context)
{
  if (group->lookup != NULL)
    {
      return false;
    }
  char *path = pfs_owners_path (GROUP);
  const struct cal_params params
      = describe_call (group, path, NULL, on_owners);
  group->found = found;
  group->found_context = context;
  group->lookup_end = end;
  group->lookup = cal_send (&params);
  g_free (path);
  return true;
}

/* Looks the relays up that the group's members run, and passes their addresses
   to FOUND with CONTEXT.  Does nothing during an earlier lookup.  */
void
grp_find_relays (struct grp_group *group, grp_found found, void *context)
{
  find_owners (group, RELAY_PARTITIONS, found, context);
}

/* Looks up all members that own a partition, and passes the addresses at which
   they answer other daemons to FOUND with CONTEXT.  Returns false, without a
   call of FOUND, during an earlier lookup.  */
bool
grp_find_members (struct grp_group *group, grp_found found, void *context)
{
  return find_owners (group, UINT32_MAX, found, context);
}
