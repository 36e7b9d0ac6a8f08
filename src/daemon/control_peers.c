#include "daemon/control_peers.h"

#include "base/clock.h"
#include "base/log.h"
#include "config/parse.h"
#include "peer/frame.h"

#include <string.h>

/* Time after the last successful read until the log counts as unreachable. */
#define LOG_UNREACHABLE_AFTER_US (3 * CLK_S_US)

/* A daemon sends its configuration in one frame.  A longer frame closes the
   connection, and the peer would ask for the configuration again. */
_Static_assert(CFG_TEXT_BYTES_MAX < FRM_BYTES_MAX,
               "each configuration must fit into a frame");

static void
send_envelope (struct ctl_control *control, const char *address,
               const Peer__Envelope *envelope)
{
  peer_hub_send (control->hub, address, envelope);
}

/* Asks the peer at ADDRESS for its configuration, if that is newer than this
   daemon's.  */
static void
request_config (struct ctl_control *control, const char *address)
{
  Peer__ConfigRequest request = PEER__CONFIG_REQUEST__INIT;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  request.newer_than = cst_current_version (control->config_state);
  envelope.body_case = PEER__ENVELOPE__BODY_CONFIG_REQUEST;
  envelope.config_request = &request;
  send_envelope (control, address, &envelope);
}

/* Sends the current configuration to ADDRESS, if it is newer than the version
   that REQUEST names.  */
static void
answer_config_request (struct ctl_control *control, const char *address,
                       const Peer__ConfigRequest *request)
{
  uint64_t version = cst_current_version (control->config_state);
  GBytes *yaml = cst_current_yaml (control->config_state);
  if (version <= request->newer_than || yaml == NULL)
    {
      return;
    }
  Peer__ConfigReply reply = PEER__CONFIG_REPLY__INIT;
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  gsize bytes = 0;
  reply.version = version;
  reply.yaml.data = (uint8_t *)g_bytes_get_data (yaml, &bytes);
  reply.yaml.len = bytes;
  envelope.body_case = PEER__ENVELOPE__BODY_CONFIG_REPLY;
  envelope.config_reply = &reply;
  send_envelope (control, address, &envelope);
}

static void
handle_config_reply (struct ctl_control *control,
                     const Peer__ConfigReply *reply)
{
  GBytes *yaml = g_bytes_new (reply->yaml.data, reply->yaml.len);
  cst_peer_config (control->config_state, reply->version, yaml,
                   clk_monotonic_us (), control->actions);
  g_bytes_unref (yaml);
  ctl_perform_actions (control);
}

/* Returns the rank of this daemon, counted from 0, among the daemons that are
   alive or suspected, ordered by name.  */
uint32_t
ctl_own_rank (const struct ctl_control *control)
{
  uint32_t rank = 0;
  const struct mbr_member *member = NULL;
  for (uint32_t i = 0; (member = mem_member_at (control->members, i)) != NULL;
       i++)
    {
      bool alive = member->state == MBR_ALIVE || member->state == MBR_SUSPECT;
      if (alive && strcmp (member->name, control->params.settings->name) < 0)
        {
          rank++;
        }
    }
  return rank;
}

/* Updates the numbers of daemons, by which the admission limits and the log
   appends are divided, and this daemon's rank.  */
static void
update_daemon_counts (struct ctl_control *control)
{
  uint32_t alive = MAX (mem_active_count (control->members), 1);
  uint32_t rank = ctl_own_rank (control);
  control->ready_daemons = MAX (mem_ready_count (control->members), 1);
  clm_set_share (control->claims, alive, rank);
  cst_set_daemons (control->config_state, alive, rank);
}

/* Logs the new state of a member, tells the claims when the member died or
   left, and updates the daemon counts.  */
static void
handle_member_change (struct ctl_control *control,
                      const struct mem_action *action)
{
  static const char *const states[] = { [MBR_ALIVE] = "alive",
                                        [MBR_SUSPECT] = "suspect",
                                        [MBR_DEAD] = "dead",
                                        [MBR_LEFT] = "left" };
  const struct mbr_member *member = mem_find (control->members, action->name);
  lg_line (LOG_INFO, "member", "name=%s address=%s state=%s ready=%d",
           action->name, action->address, states[action->state],
           action->ready);
  if (member != NULL
      && (member->state == MBR_DEAD || member->state == MBR_LEFT))
    {
      clm_holder_dead (control->claims, member->incarnation);
    }
  update_daemon_counts (control);
}

/* Applies the OUTCOME of a sign that an endpoint is leaving or has come back:
   schedules a new view when the endpoint opened or closed to new work, and has
   the mark sent to the peers when it is news to them.  */
void
ctl_apply_leaving_outcome (struct ctl_control *control,
                           const struct lv_outcome *outcome)
{
  if (outcome->changed)
    {
      control->view_outdated = true;
      lg_line (LOG_NOTICE, "endpoint", "host=%s takes_work=%d",
               outcome->mark.host,
               lv_takes_work (control->leaving_hosts, outcome->mark.host));
    }
  if (outcome->notify_peers)
    {
      mem_broadcast_mark (control->members, &outcome->mark,
                          clk_monotonic_us ());
    }
}

static void
apply_peer_mark (struct ctl_control *control, const struct lv_mark *mark)
{
  struct lv_outcome outcome
      = lv_apply_peer_mark (control->leaving_hosts, mark, clk_monotonic_us ());
  ctl_apply_leaving_outcome (control, &outcome);
}

static void
send_membership (struct ctl_control *control, const struct mem_action *action)
{
  Peer__Envelope envelope = PEER__ENVELOPE__INIT;
  envelope.body_case = PEER__ENVELOPE__BODY_MEMBERSHIP;
  envelope.membership = action->message;
  send_envelope (control, action->address, &envelope);
}

static void
perform_member_actions (struct ctl_control *control)
{
  struct mem_action action;
  while (mem_next_action (control->members, &action))
    {
      switch (action.kind)
        {
        case MEM_SEND:
          send_membership (control, &action);
          break;
        case MEM_MEMBER_CHANGED:
          handle_member_change (control, &action);
          break;
        case MEM_MARK_RECEIVED:
          apply_peer_mark (control, &action.mark);
          break;
        case MEM_NEWER_CONFIG:
          request_config (control, action.address);
          break;
        case MEM_NAME_CONFLICT:
          lg_line (LOG_ERR, "name-conflict", "name=%s address=%s", action.name,
                   action.address);
          break;
        }
      mem_action_clear (&action);
    }
}

static void
handle_message (void *user_data, const struct hsk_identity *sender,
                const Peer__Envelope *envelope)
{
  struct ctl_control *control = user_data;
  int64_t now_us = clk_monotonic_us ();
  switch (envelope->body_case)
    {
    case PEER__ENVELOPE__BODY_MEMBERSHIP:
      cst_peer_version (control->config_state,
                        envelope->membership->config_version, now_us);
      mem_receive (control->members, envelope->membership, now_us);
      break;
    case PEER__ENVELOPE__BODY_CONFIG_REQUEST:
      answer_config_request (control, sender->address,
                             envelope->config_request);
      break;
    case PEER__ENVELOPE__BODY_CONFIG_REPLY:
      handle_config_reply (control, envelope->config_reply);
      break;
    default:
      break;
    }
  perform_member_actions (control);
}

/* Starts to listen for peers and creates the membership, with the seeds of the
   settings as candidates.  Returns whether that worked.  Errors: ERR_SETTINGS
   when the address cannot be listened on.  */
bool
ctl_peers_start (struct ctl_control *control, GError **error)
{
  const struct set_settings *settings = control->params.settings;
  const struct peer_settings hub = {
    .name = settings->name,
    .address = settings->peer_address,
    .secret = settings->peer_secret != NULL ? settings->peer_secret : "",
    .incarnation = control->incarnation,
  };
  const struct peer_callbacks callbacks = { .on_message = handle_message };
  control->hub
      = peer_hub_create (control->context, &hub, &callbacks, control, error);
  if (control->hub == NULL)
    {
      return false;
    }
  const struct mem_settings members = {
    .name = settings->name,
    .address = peer_hub_address (control->hub),
    .data_centre = settings->data_centre,
    .incarnation = control->incarnation,
    .seed = g_random_int (),
  };
  control->members = mem_create (&members, clk_monotonic_us ());
  control->peer_candidates = g_strdupv (settings->seeds);
  mem_set_candidates (control->members,
                      (const char *const *)control->peer_candidates);
  return true;
}

/* Frees the membership and closes the connections to peers.  */
void
ctl_peers_stop (struct ctl_control *control)
{
  mem_destroy (control->members);
  peer_hub_destroy (control->hub);
  g_strfreev (control->peer_candidates);
}

/* Sets the candidate addresses of peers to the seeds of the settings and the
   daemons of the host LIST that are not leaving.  */
void
ctl_peers_update_candidates (struct ctl_control *control,
                             const struct hl_list *list)
{
  GPtrArray *addresses = g_ptr_array_new ();
  char **seeds = control->params.settings->seeds;
  for (size_t i = 0; seeds != NULL && seeds[i] != NULL; i++)
    {
      g_ptr_array_add (addresses, g_strdup (seeds[i]));
    }
  for (uint32_t i = 0; i < list->host_count; i++)
    {
      if (list->hosts[i].is_daemon && !list->hosts[i].leaving)
        {
          g_ptr_array_add (addresses, g_strdup (list->hosts[i].address));
        }
    }
  g_ptr_array_add (addresses, NULL);
  g_strfreev (control->peer_candidates);
  control->peer_candidates = (char **)g_ptr_array_free (addresses, FALSE);
  mem_set_candidates (control->members,
                      (const char *const *)control->peer_candidates);
}

/* Passes this daemon's state on to the membership, which tells the peers, and
   sends the messages that are due.  Called periodically.  */
void
ctl_peers_tick (struct ctl_control *control)
{
  int64_t now_us = clk_monotonic_us ();
  bool reaches_log
      = now_us - control->last_log_read_us < LOG_UNREACHABLE_AFTER_US;
  if (control->stopping && !control->leave_announced)
    {
      control->leave_announced = true;
      mem_leave (control->members, now_us);
    }
  mem_set_ready (control->members, ctl_ready (control), now_us);
  mem_set_reaches_log (control->members, reaches_log, now_us);
  mem_set_config_version (control->members,
                          cst_current_version (control->config_state), now_us);
  clm_set_peers_reach_log (control->claims,
                           mem_reaching_log_count (control->members)
                               > (reaches_log ? 1U : 0U),
                           now_us);
  mem_tick (control->members, now_us);
  perform_member_actions (control);
  if (control->ready_daemons != MAX (mem_ready_count (control->members), 1))
    {
      update_daemon_counts (control);
    }
}
