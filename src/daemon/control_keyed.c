#include "daemon/control_keyed.h"

#include "base/clock.h"
#include "daemon/control_private.h"

#include <string.h>

#define SETTLE_TIMEOUT_US (10 * CLK_S_US)

/* The structures below are the data of the tasks that this file posts. */

struct finish_event
{
  struct kc_call *call;
  struct kc_result result;
};

struct send_request
{
  struct kc_call *call;
  bool allowed;
};

struct settlement
{
  struct kc_call *call;
  const struct opr_settle *settle;
};

struct refusal_query
{
  const char *account;
  const char *key;
  enum err_ran ran;
};

struct key_lookup
{
  const char *account;
  const char *key;
  char *json;
};

static void
request_claim (struct ctl_control *control, void *data)
{
  struct kc_call *call = data; /* the reference passes to the table */
  struct clm_call claim = {
    .request_id = call->id,
    .account = call->account,
    .key = call->key,
    .body_hash = call->body_hash,
  };
  g_hash_table_insert (control->keyed_calls, &call->id, call);
  clm_request (control->claims, &claim, clk_monotonic_us (), control->actions);
  ctl_perform_actions (control);
}

/* Requests the claim of CALL; kc_wait returns the result.  */
void
ctl_keyed_request_claim (struct ctl_control *control, struct kc_call *call)
{
  ctl_post (control, request_claim, kc_ref (call));
}

static void
begin_send (struct ctl_control *control, void *data)
{
  struct send_request *request = data;
  request->allowed = clm_begin_send (control->claims, request->call->id,
                                     clk_monotonic_us ());
}

/* Returns whether the claim still allows CALL to be sent, and if so records
   that it is being sent.  Called directly before the first byte is sent.  */
bool
ctl_keyed_begin_send (struct ctl_control *control, struct kc_call *call)
{
  struct send_request request = { .call = call };
  ctl_call (control, begin_send, &request);
  return request.allowed;
}

static void
handle_finish (struct ctl_control *control, void *data)
{
  struct finish_event *event = data;
  const struct kc_result *result = &event->result;
  uint64_t id = event->call->id;
  int64_t now_us = clk_monotonic_us ();
  switch (result->kind)
    {
    case KC_RESULT_ANSWERED:
      clm_outcome (control->claims, id, result->status, result->body, now_us,
                   control->actions);
      break;
    case KC_RESULT_NOT_RUN:
      clm_not_run (control->claims, id, result->error, now_us,
                   control->actions);
      break;
    case KC_RESULT_UNKNOWN:
      clm_unknown (control->claims, id, result->error, now_us,
                   control->actions);
      break;
    }
  ctl_perform_actions (control);
  if (result->body != NULL)
    {
      g_bytes_unref (result->body);
    }
  kc_unref (event->call);
  g_free (event);
}

/* Reports the RESULT of the dispatched CALL to the claims state machine.  */
void
ctl_keyed_finish (struct ctl_control *control, struct kc_call *call,
                  const struct kc_result *result)
{
  struct finish_event *event = g_new0 (struct finish_event, 1);
  event->call = kc_ref (call);
  event->result = *result;
  if (result->body != NULL)
    {
      g_bytes_ref (result->body);
    }
  ctl_post (control, handle_finish, event);
}

static void
abandon (struct ctl_control *control, void *data)
{
  struct kc_call *call = data;
  g_hash_table_remove (control->keyed_calls, &call->id);
  clm_caller_gone (control->claims, call->id, clk_monotonic_us (),
                   control->actions);
  ctl_perform_actions (control);
  kc_unref (call);
}

/* Stops waiting for CALL: its answer will not be delivered.  */
void
ctl_keyed_abandon (struct ctl_control *control, struct kc_call *call)
{
  ctl_post (control, abandon, kc_ref (call));
}

static void
query_refusal_ran (struct ctl_control *control, void *data)
{
  struct refusal_query *query = data;
  query->ran = clm_refusal_ran (control->claims, query->account, query->key,
                                clk_monotonic_us ());
}

/* Returns whether a call with KEY of ACCOUNT has run, for the answer to one
   that is refused before it requests a claim: an earlier call with the same
   key may have run.  */
enum err_ran
ctl_keyed_refusal_ran (struct ctl_control *control, const char *account,
                       const char *key)
{
  struct refusal_query query = {
    .account = account,
    .key = key,
    .ran = ERR_RAN_UNKNOWN,
  };
  ctl_call (control, query_refusal_ran, &query);
  return query.ran;
}

/* Returns the recorded body as JSON, as a string when it isn't valid JSON, or
   null when there is none.  */
static json_t *
body_to_json (const struct clm_info *info)
{
  gsize bytes = 0;
  const char *data
      = info->body != NULL ? g_bytes_get_data (info->body, &bytes) : NULL;
  if (data == NULL)
    {
      return json_null ();
    }
  json_t *body = json_loadb (data, bytes, JSON_DECODE_ANY, NULL);
  return body != NULL ? body : json_stringn_nocheck (data, bytes);
}

static void
look_up (struct ctl_control *control, void *data)
{
  struct key_lookup *lookup = data;
  struct clm_info info = clm_lookup (control->claims, lookup->account,
                                     lookup->key, clk_monotonic_us ());
  if (info.kind == ERR_NOT_FOUND)
    {
      return;
    }
  json_t *json
      = json_pack ("{s:s, s:s, s:s, s:i, s:o}", "key", lookup->key, "kind",
                   err_info (info.kind)->name, "ran", err_ran_name (info.ran),
                   "status", (int)info.status, "answer", body_to_json (&info));
  lookup->json = json_dumps (json, JSON_COMPACT);
  json_decref (json);
}

/* Returns the outcome recorded for KEY of ACCOUNT as a JSON text, freed by the
   caller, or NULL when the key isn't known.  */
char *
ctl_keyed_lookup (struct ctl_control *control, const char *account,
                  const char *key)
{
  struct key_lookup lookup = { .account = account, .key = key };
  ctl_call (control, look_up, &lookup);
  return lookup.json;
}

static void
append_unknown_key (const struct key_state *state, void *user_data)
{
  json_array_append_new (
      user_data, json_pack ("{s:s, s:s, s:I, s:b}", "account", state->account,
                            "key", state->key, "claimed_s",
                            (json_int_t)(state->claimed_us / CLK_S_US),
                            "reported", state->state == REC_STATE_UNKNOWN));
}

static void
list_unknown_keys (struct ctl_control *control, void *data)
{
  clm_list_unknown (control->claims, NULL, clk_monotonic_us (),
                    append_unknown_key, data);
}

/* Returns the keys whose outcome is unknown as JSON, owned by the caller.  */
json_t *
ctl_keyed_list_unknown (struct ctl_control *control)
{
  json_t *keys = json_array ();
  ctl_call (control, list_unknown_keys, keys);
  return json_pack ("{s:o}", "keys", keys);
}

static void
settle_key (struct ctl_control *control, void *data)
{
  struct settlement *settlement = data;
  const struct opr_settle *settle = settlement->settle;
  struct kc_call *call = settlement->call;
  GBytes *body = settle->body != NULL
                     ? g_bytes_new (settle->body, strlen (settle->body))
                     : NULL;
  g_hash_table_insert (control->keyed_calls, &call->id, kc_ref (call));
  clm_settle (control->claims, call->id, settle->account, settle->key,
              settle->ran, settle->ran ? settle->status : 0, body,
              clk_monotonic_us (), control->actions);
  ctl_perform_actions (control);
  if (body != NULL)
    {
      g_bytes_unref (body);
    }
}

/* Records an operator's finding on a key whose outcome is unknown, and waits
   until it is in the log.  FAILURE: ERR_APPEND_UNKNOWN when there was no
   answer within SETTLE_TIMEOUT_US, and the kinds of clm_settle.  */
bool
ctl_keyed_settle (struct ctl_control *control, const struct opr_settle *settle,
                  struct err_failure *failure)
{
  struct kc_call *call
      = kc_create (ctl_new_id (control), settle->account, settle->key, 0);
  struct settlement settlement = { .call = call, .settle = settle };
  ctl_call (control, settle_key, &settlement);
  enum err_kind kind = ERR_APPEND_UNKNOWN;
  if (kc_wait (call, clk_monotonic_us () + SETTLE_TIMEOUT_US) == KC_ANSWERED)
    {
      kind = call->answer.kind;
    }
  else
    {
      ctl_keyed_abandon (control, call);
    }
  kc_unref (call);
  if (kind != ERR_NONE)
    {
      err_set_failure (failure, kind, NULL);
    }
  return kind == ERR_NONE;
}
