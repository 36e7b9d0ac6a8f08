#include "entry/group.h"

#include "base/clock.h"
#include "base/log.h"
#include "net/call.h"
#include "platform/store.h"

#define GROUP "entry"
#define TOPIC "entry-shares"

/* A member that is silent so long is out of the group. */
#define LIFETIME_MS 2500
#define RENEW_MS 700
#define RETRY_MS 200
#define ANSWER_MS 600

/* The lead ends so long before the group would give it to another. */
#define LEAD_MARGIN_US (300 * CLK_MS_US)

struct grp_group
{
  struct grp_params params;
  char *address;
  char *member;
  uv_timer_t timer;
  struct cal_call *call;
  struct pfs_membership membership;
  int64_t sent_us;
  int64_t held_until_us; /* the membership is sure until then */
  uint64_t refused;      /* generation whose orders were refused */
  bool lead_logged;
};

static void
on_answer (void *context, uint32_t status, const uint8_t *body,
           size_t body_bytes, const char *why)
{
  struct grp_group *group = context;
  group->call = NULL;
  g_autoptr (GError) error = NULL;
  bool good = status == HTTP_STATUS_OK
              && pfs_decode_join (body, body_bytes, group->params.partitions,
                                  &group->membership, &error);
  if (good)
    {
      group->held_until_us
          = group->sent_us + LIFETIME_MS * CLK_MS_US - LEAD_MARGIN_US;
    }
  else
    {
      lg_line (LOG_INFO, "group_not_renewed", "status=%u why=\"%s\"", status,
               error != NULL ? error->message : why);
    }
  uint64_t fence = 0;
  bool leads = grp_leads (group, &fence);
  if (leads != group->lead_logged)
    {
      group->lead_logged = leads;
      lg_line (LOG_NOTICE, leads ? "lead_gained" : "lead_lost",
               "generation=%lu", (unsigned long)group->membership.generation);
    }
  uint32_t jitter_ms = g_random_int_range (0, RETRY_MS);
  uv_timer_start (&group->timer, group->timer.timer_cb,
                  (good ? RENEW_MS : RETRY_MS) + jitter_ms, 0);
}

static void
on_renew (uv_timer_t *timer)
{
  struct grp_group *group = timer->data;
  char *body = pfs_join_body (GROUP, group->member, TOPIC, LIFETIME_MS,
                              group->membership.generation);
  const struct cal_params params = {
    .client = group->params.client,
    .loop = group->params.loop,
    .address = group->address,
    .method = "POST",
    .path = PFS_JOIN_PATH,
    .body = body,
    .timeout_ms = ANSWER_MS,
    .done = on_answer,
    .context = group,
  };
  group->sent_us = clk_monotonic_us ();
  group->call = cal_send (&params);
  g_free (body);
}

/* Joins the group of all daemons and stays in it.  */
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

/* Leaves the group, so that another member leads and shares at once.  */
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
    .timeout_ms = ANSWER_MS,
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

/* Frees GROUP.  */
void
grp_destroy (struct grp_group *group)
{
  if (group->call != NULL)
    {
      cal_cancel (group->call);
    }
  uv_close ((uv_handle_t *)&group->timer, on_timer_closed);
}

/* Returns true while this daemon leads; FENCE is then the number that its
   orders bear.  */
bool
grp_leads (const struct grp_group *group, uint64_t *fence)
{
  *fence = group->membership.generation;
  return group->membership.leads
         && group->membership.generation > group->refused
         && clk_monotonic_us () < group->held_until_us;
}

/* Gives orders no more with the present fence, which an endpoint refused.  */
void
grp_step_down (struct grp_group *group)
{
  group->refused = group->membership.generation;
  group->membership.leads = false;
}

/* Returns this daemon's share of what all daemons divide, 0 to 1.  */
double
grp_share (const struct grp_group *group)
{
  return group->membership.share;
}

/* True when there are more daemons than partitions to divide, as far as this
   daemon's own part shows: it has one at most.  */
bool
grp_is_crowded (const struct grp_group *group)
{
  return group->membership.generation > 0
         && group->membership.share * group->params.partitions <= 1;
}
