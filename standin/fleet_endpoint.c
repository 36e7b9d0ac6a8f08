/* The engines and plain services of the simulated fleet. */
#include "standin/fleet_private.h"

#include "platform/headers.h"
#include "platform/prompt.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Bytes that are sent at once of an answer without end. */
#define ENDLESS_BYTES 65536

/* Number of these in a head without end, which no caller reads as a whole. */
#define ENDLESS_HEAD_PARTS 32

/* Time until an endpoint closes the connection of a stalled request. */
#define STALL_MS 1500

static void
on_answer_closed (uv_handle_t *handle)
{
  struct sfl_answer *answer = handle->data;
  g_free (answer->id);
  g_free (answer->path);
  g_free (answer);
}

static void
finish_answer (struct sfl_answer *answer)
{
  const struct sfl_params *params = &answer->endpoint->fleet->params;
  if (params->observer != NULL)
    {
      params->observer->stopped (params->context, answer->id);
    }
  uv_close ((uv_handle_t *)&answer->timer, on_answer_closed);
}

/* Returns the header lines that all answers of ENDPOINT have now.  */
static const char *
common_headers (const struct sfl_endpoint *endpoint)
{
  return endpoint->headers == NULL ? "" : endpoint->headers;
}

/* Notifies the observer that ENDPOINT sends the head of its answer to the
   request ID.  */
static void
notify_answered (const struct sfl_endpoint *endpoint, const char *id,
                 const char *retry_after)
{
  const struct sfl_params *params = &endpoint->fleet->params;
  if (params->observer != NULL)
    {
      params->observer->answered (params->context, endpoint->index, id,
                                  endpoint->leaving, retry_after);
    }
}

/* Counts a run of the request ID and notifies the observer.  */
static void
count_run (const struct sfl_endpoint *endpoint, const char *id)
{
  struct sfl_fleet *fleet = endpoint->fleet;
  if (fleet->params.observer != NULL)
    {
      fleet->params.observer->started (fleet->params.context, endpoint->index,
                                       id);
    }
  guint runs = GPOINTER_TO_UINT (g_hash_table_lookup (fleet->runs, id));
  g_hash_table_insert (fleet->runs, g_strdup (id),
                       GUINT_TO_POINTER (runs + 1));
}

/* Returns the endpoint that was published with ADDRESS, or NULL.  */
static struct sfl_endpoint *
find_endpoint (struct sfl_fleet *fleet, const char *address)
{
  for (guint i = 0; i < fleet->endpoints->len; i++)
    {
      struct sfl_endpoint *endpoint = g_ptr_array_index (fleet->endpoints, i);
      if (strcmp (endpoint->address, address) == 0
          || g_strcmp0 (endpoint->detour, address) == 0)
        {
          return endpoint;
        }
    }
  return NULL;
}

/* Records a violation unless the path TEXT starts at ENDPOINT and covers every
   layer once, in order.  Returns the address of the first engine that is
   unknown, dead or doesn't hold its part of the path, allocated, or NULL.  */
static char *
check_path (struct sfl_endpoint *endpoint, const char *text)
{
  struct sfl_fleet *fleet = endpoint->fleet;
  char *at_fault = NULL;
  gchar **parts = g_strsplit (text == NULL ? "" : text, ",", 0);
  uint32_t next_layer = 0;
  for (guint i = 0; parts[i] != NULL; i++)
    {
      char address[64] = "";
      uint32_t first = 0;
      uint32_t end = 0;
      int fields = sscanf (parts[i], "%63[^=]=%u-%u", address, &first, &end);
      const struct sfl_endpoint *engine = find_endpoint (fleet, address);
      if (fields != 3 || first != next_layer || end <= first
          || (i == 0 && engine != endpoint))
        {
          sfl_record_violation (fleet, "path '%s' is wrong at part %u", text,
                                i);
          break;
        }
      bool serves = engine != NULL && !engine->dead
                    && first >= engine->first_layer
                    && end <= engine->end_layer;
      if (at_fault == NULL && !serves)
        {
          at_fault = g_strdup (address);
        }
      next_layer = end;
    }
  if (next_layer != SFL_LAYERS)
    {
      sfl_record_violation (fleet, "path '%s' ends at layer %u", text,
                            next_layer);
    }
  g_strfreev (parts);
  return at_fault;
}

/* Returns the response headers of ANSWER.  The caller frees them.  */
static char *
build_headers (const struct sfl_answer *answer)
{
  bool wrong_id = answer->fault == SFL_WRONG_REQUEST_ID;
  const char *signature
      = answer->fault == SFL_UNSIGNED ? "" : PFH_SIGNATURE ": 1.2.3\r\n";
  const char *connection = answer->fault == SFL_HIDES_SIGNATURE
                               ? "Connection: " PFH_SIGNATURE "\r\n"
                               : "";
  return g_strdup_printf (
      PFH_REQUEST_ID ": %s\r\n%s%s%sKeep-Alive: timeout=5\r\n"
                     "Content-Type: %s\r\n",
      wrong_id ? "another" : answer->id, signature, connection,
      common_headers (answer->endpoint),
      answer->is_stream ? "text/event-stream" : "text/plain");
}

/* Sends the next event of a stream, the first one after the response headers.
   Returns false when the answer has ended.  */
static bool
send_event (struct sfl_answer *answer)
{
  if (!answer->headers_sent)
    {
      g_autofree char *headers = build_headers (answer);
      notify_answered (answer->endpoint, answer->id, NULL);
      nsv_begin_response (answer->connection,
                          answer->fault == SFL_STATUS_000 ? 0 : HTTP_STATUS_OK,
                          headers,
                          answer->fault != SFL_WITHOUT_LENGTH
                              && answer->fault != SFL_ENDS_MIDWAY);
      answer->headers_sent = true;
    }
  if (answer->fault == SFL_ERROR_TEXT || answer->fault == SFL_NO_EVENTS)
    {
      static const char text[]
          = "HTTP/1.1 500 Internal Server Error\r\n\r\nfailed\n\n";
      if (answer->fault == SFL_ERROR_TEXT)
        {
          nsv_send_body (answer->connection, text, sizeof text - 1);
        }
      nsv_set_request_context (answer->connection, NULL);
      nsv_end_response (answer->connection);
      return false;
    }
  answer->last_event_id++;
  g_autofree char *event
      = g_strdup_printf ("id: %u\ndata: %s-%u\n\n", answer->last_event_id,
                         answer->id, answer->last_event_id);
  size_t length = strlen (event);
  if (answer->fault == SFL_CLOSES_MIDWAY && answer->last_event_id == 3)
    {
      nsv_send_body (answer->connection, event, length / 2);
      nsv_abort (answer->connection);
      return false;
    }
  if (answer->fault == SFL_ENDS_MIDWAY && answer->last_event_id == 3)
    {
      nsv_send_body (answer->connection, event, length / 2);
      nsv_set_request_context (answer->connection, NULL);
      nsv_end_response (answer->connection);
      return false;
    }
  nsv_send_body (answer->connection, event, length);
  if (answer->last_event_id < answer->endpoint->fleet->stream_events)
    {
      return true;
    }
  nsv_set_request_context (answer->connection, NULL);
  nsv_end_response (answer->connection);
  return false;
}

/* Returns true if the prompt of REQUEST has PART before its last part.  */
static bool
has_part (const struct msg_message *request, const char *part)
{
  g_auto (GStrv) parts
      = pfp_decode_shared_parts (msg_find (request, PFH_PROMPT_PARTS));
  return g_strv_contains ((const char *const *)parts, part);
}

static bool
has_body (const struct msg_message *request, const char *body)
{
  return request->body->len == strlen (body)
         && memcmp (request->body->data, body, request->body->len) == 0;
}

/* Returns what crashes ENDPOINT as it answers REQUEST, or NULL.  */
static struct sfl_harm *
find_harm (const struct sfl_endpoint *endpoint,
           const struct msg_message *request)
{
  for (guint i = 0; i < endpoint->fleet->harms->len; i++)
    {
      struct sfl_harm *harm = g_ptr_array_index (endpoint->fleet->harms, i);
      bool applies
          = harm->kind == SFL_HARM_PART
                ? endpoint->is_engine && has_part (request, harm->text)
                : has_body (request, harm->text);
      if (applies && !harm->ended)
        {
          return harm;
        }
    }
  return NULL;
}

/* Crashes the endpoint of ANSWER, which ends it too.  Returns false if its
   request is harmless.  */
static bool
crash (struct sfl_answer *answer)
{
  if (answer->harm == NULL)
    {
      return false;
    }
  answer->harm->crashes++;
  sfl_kill (answer->endpoint->fleet, answer->endpoint->index);
  return true;
}

/* Returns whether the stream of ANSWER waits for a dead engine of its path. */
static bool
waits_for_dead (const struct sfl_answer *answer)
{
  const GPtrArray *endpoints = answer->endpoint->fleet->endpoints;
  for (guint i = 0; answer->path != NULL && i < endpoints->len; i++)
    {
      const struct sfl_endpoint *endpoint = g_ptr_array_index (endpoints, i);
      if (endpoint->dead && strstr (answer->path, endpoint->address) != NULL)
        {
          return true;
        }
    }
  return false;
}

/* Sends the next byte of a series of comments.  */
static void
keep_alive (struct sfl_answer *answer)
{
  static const char comment[] = ": a\n\n";
  size_t at = answer->kept_alive++ % (sizeof comment - 1);
  nsv_send_body (answer->connection, comment + at, 1);
}

static void
on_event_due (uv_timer_t *timer)
{
  struct sfl_answer *answer = timer->data;
  if (crash (answer))
    {
      return;
    }
  if (answer->fault == SFL_KEEPS_ALIVE && answer->headers_sent
      && waits_for_dead (answer))
    {
      keep_alive (answer);
      return;
    }
  if (!send_event (answer))
    {
      finish_answer (answer);
    }
}

/* Answers a call to a plain service as the fault of the call says.  */
static void
on_call_done (uv_timer_t *timer)
{
  struct sfl_answer *answer = timer->data;
  if (crash (answer))
    {
      return;
    }
  g_autofree char *headers = build_headers (answer);
  g_autofree char *body = g_strdup_printf ("done %s", answer->id);
  size_t length = strlen (body);
  notify_answered (answer->endpoint, answer->id, NULL);
  nsv_set_request_context (answer->connection, NULL);
  switch (answer->fault)
    {
    case SFL_FAILS:
      nsv_respond (answer->connection, HTTP_STATUS_INTERNAL_SERVER_ERROR,
                   headers, "failed", strlen ("failed"));
      break;
    case SFL_SHEDS:
      nsv_respond (answer->connection, HTTP_STATUS_SERVICE_UNAVAILABLE,
                   headers, "", 0);
      break;
    case SFL_STATUS_000:
      nsv_respond (answer->connection, 0, headers, body, length);
      break;
    case SFL_REFUSES_AGAIN:
      nsv_respond (answer->connection, HTTP_STATUS_SERVICE_UNAVAILABLE,
                   PFH_NOT_EXECUTED ": 1\r\n", "", 0);
      break;
    case SFL_CLOSES:
      nsv_abort (answer->connection);
      break;
    case SFL_TRUNCATES:
      nsv_begin_response (answer->connection, HTTP_STATUS_OK, headers, true);
      nsv_send_body (answer->connection, body, length / 2);
      nsv_abort (answer->connection);
      break;
    case SFL_WITHOUT_LENGTH:
      nsv_begin_response (answer->connection, HTTP_STATUS_OK, headers, false);
      nsv_send_body (answer->connection, body, length);
      nsv_end_response (answer->connection);
      break;
    default:
      nsv_respond (answer->connection, HTTP_STATUS_OK, headers, body, length);
      break;
    }
  finish_answer (answer);
}

/* Sends the next bytes of an answer without end, as fast as the caller reads
   them.  */
static void
on_endless_due (uv_timer_t *timer)
{
  struct sfl_answer *answer = timer->data;
  static char bytes[ENDLESS_BYTES];
  memset (bytes, 'x', sizeof bytes);
  if (!answer->headers_sent)
    {
      g_autofree char *headers = build_headers (answer);
      GString *head = g_string_new (headers);
      if (answer->fault == SFL_ENDLESS_HEAD)
        {
          g_string_append (head, "X-Endless: ");
          for (uint32_t i = 0; i < ENDLESS_HEAD_PARTS; i++)
            {
              g_string_append_len (head, bytes, sizeof bytes);
            }
          g_string_append (head, "\r\n");
        }
      nsv_begin_response (answer->connection, HTTP_STATUS_OK, head->str,
                          false);
      g_string_free (head, TRUE);
      answer->headers_sent = true;
    }
  if (!nsv_is_slow (answer->connection))
    {
      nsv_send_body (answer->connection, bytes, sizeof bytes);
    }
}

static void
on_stall_timeout (uv_timer_t *timer)
{
  struct sfl_answer *answer = timer->data;
  nsv_abort (answer->connection);
  finish_answer (answer);
}

/* Returns the fault to inject into a request that reached ENDPOINT, and
   decrements the number of requests that still get it.  All engines share one
   number, and so do all services.  */
static enum sfl_fault
take_fault (struct sfl_endpoint *endpoint)
{
  struct sfl_fleet *fleet = endpoint->fleet;
  bool engine = endpoint->is_engine;
  if (endpoint->silent)
    {
      return SFL_NEVER_ANSWERS;
    }
  if (fleet->fault_requests[engine] == 0)
    {
      return SFL_NO_FAULT;
    }
  fleet->fault_requests[engine]--;
  return fleet->faults[engine];
}

/* Answers that the request ID wasn't executed and names the address AT_FAULT
   of the endpoint that caused the refusal.  RETRY_AFTER is the value of the
   header, or NULL.  */
static void
refuse (const struct sfl_endpoint *endpoint, struct nsv_connection *connection,
        const char *id, const char *at_fault, const char *retry_after)
{
  g_autofree char *headers = g_strdup_printf (
      PFH_REQUEST_ID ": %s\r\n" PFH_NOT_EXECUTED
                     ": 1\r\n" PFH_ENDPOINT_AT_FAULT ": %s\r\n%s%s%s%s",
      id, at_fault, common_headers (endpoint),
      retry_after == NULL ? "" : PFH_RETRY_AFTER ": ",
      retry_after == NULL ? "" : retry_after,
      retry_after == NULL ? "" : "\r\n");
  notify_answered (endpoint, id, retry_after);
  nsv_respond (connection, HTTP_STATUS_SERVICE_UNAVAILABLE, headers, "", 0);
}

/* Runs REQUEST with FAULT.  A stream resumes after the event that the
   request's Last-Event-Id header names.  */
static void
run_request (struct sfl_endpoint *endpoint, struct nsv_connection *connection,
             const struct msg_message *request, const char *id,
             enum sfl_fault fault)
{
  struct sfl_fleet *fleet = endpoint->fleet;
  const char *last_event = msg_find (request, PFH_LAST_EVENT_ID);
  if (endpoint->is_engine)
    {
      const char *priority = msg_find (request, PFH_ENGINE_PRIORITY);
      g_strlcpy (fleet->engine_priority, priority == NULL ? "" : priority,
                 sizeof fleet->engine_priority);
    }
  struct sfl_answer *answer = g_new0 (struct sfl_answer, 1);
  answer->endpoint = endpoint;
  answer->connection = connection;
  answer->id = g_strdup (id);
  answer->path = g_strdup (msg_find (request, PFH_PATH));
  answer->is_stream = endpoint->is_engine;
  answer->fault = fault;
  answer->last_event_id = last_event == NULL || fault == SFL_REPEATS
                              ? 0
                              : (uint32_t)atoi (last_event);
  uv_timer_init (fleet->params.loop, &answer->timer);
  answer->timer.data = answer;
  nsv_set_request_context (connection, answer);
  count_run (endpoint, id);
  answer->harm = find_harm (endpoint, request);
  if (answer->harm != NULL)
    {
      answer->harm->runs++;
    }
  if (fault == SFL_NEVER_ANSWERS)
    {
      return;
    }
  if (fault == SFL_STALLS)
    {
      uv_timer_start (&answer->timer, on_stall_timeout, STALL_MS, 0);
    }
  else if (fault == SFL_ENDLESS_HEAD || fault == SFL_ENDLESS_BODY)
    {
      uv_timer_start (&answer->timer, on_endless_due, 0, 1);
    }
  else if (endpoint->is_engine)
    {
      uv_timer_start (&answer->timer, on_event_due, fleet->params.event_ms,
                      fleet->params.event_ms);
    }
  else
    {
      uv_timer_start (&answer->timer, on_call_done, fleet->call_ms, 0);
    }
}

/* Answers an order on CONNECTION that ENDPOINT has no room for now.  */
static void
turn_order_away (struct sfl_endpoint *endpoint,
                 struct nsv_connection *connection)
{
  g_autofree char *headers
      = endpoint->order_retry_after == NULL
            ? g_strdup (common_headers (endpoint))
            : g_strdup_printf ("%s" PFH_RETRY_AFTER ": %s\r\n",
                               common_headers (endpoint),
                               endpoint->order_retry_after);
  endpoint->orders_turned_away--;
  nsv_respond (connection, HTTP_STATUS_SERVICE_UNAVAILABLE, headers, "", 0);
}

/* Applies an order to hold the layers `From' to `Target' (exclusive) and
   publishes the endpoint.  Rejects an order whose fencing token is older than
   the last one.  A range of more than half of the layers is a violation, but
   is applied.  */
static void
apply_order (struct sfl_endpoint *endpoint, struct nsv_connection *connection,
             const struct msg_message *request)
{
  json_t *root = json_loadb ((const char *)request->body->data,
                             request->body->len, 0, NULL);
  uint64_t fence
      = (uint64_t)json_integer_value (json_object_get (root, "FencingToken"));
  uint32_t first
      = (uint32_t)json_integer_value (json_object_get (root, "From"));
  uint32_t end
      = (uint32_t)json_integer_value (json_object_get (root, "Target"));
  json_decref (root);
  const struct sfl_params *params = &endpoint->fleet->params;
  bool refused = fence < endpoint->fencing_token;
  if (params->observer != NULL)
    {
      params->observer->ordered (params->context, endpoint->index, fence,
                                 refused);
    }
  if (refused)
    {
      nsv_respond (connection, HTTP_STATUS_PRECONDITION_FAILED,
                   common_headers (endpoint), "", 0);
      return;
    }
  if (endpoint->orders_turned_away > 0)
    {
      turn_order_away (endpoint, connection);
      return;
    }
  if (end - first > SFL_LAYERS / 2)
    {
      sfl_record_violation (endpoint->fleet, "%s is ordered to hold %u layers",
                            endpoint->id, end - first);
    }
  endpoint->fencing_token = fence;
  endpoint->first_layer = first;
  endpoint->end_layer = end;
  endpoint->orders++;
  nsv_respond (connection, HTTP_STATUS_ACCEPTED, common_headers (endpoint), "",
               0);
  if (endpoint->listed_state != NULL)
    {
      sfl_endpoint_publish (endpoint, endpoint->listed_state);
    }
}

/* Answers with the report of ENDPOINT, which lists all dead endpoints as those
   that stall its work.  */
static void
answer_report (struct sfl_endpoint *endpoint,
               struct nsv_connection *connection)
{
  GString *body = g_string_new ("{\"Stalled\":[");
  for (guint i = 0; i < endpoint->fleet->endpoints->len; i++)
    {
      const struct sfl_endpoint *other
          = g_ptr_array_index (endpoint->fleet->endpoints, i);
      if (other->dead)
        {
          g_string_append_printf (body, "%s{\"Id\":\"x\",\"Address\":\"%s\"}",
                                  body->str[body->len - 1] == '[' ? "" : ",",
                                  other->address);
        }
    }
  g_string_append (body, "]}");
  nsv_respond (connection, HTTP_STATUS_OK, common_headers (endpoint),
               body->str, body->len);
  g_string_free (body, TRUE);
}

/* Records a violation when a header that every request to an endpoint needs is
   missing or wrong, when the test caller's own header X-Own wasn't forwarded,
   or when the caller's API key was.  */
static void
check_request (struct sfl_endpoint *endpoint,
               const struct msg_message *request)
{
  const char *left = msg_find (request, PFH_TIME_LEFT_MS);
  if (msg_find (request, PFH_API_KEY) != NULL)
    {
      sfl_record_violation (endpoint->fleet, "a key was passed on");
    }
  const char *account = msg_find (request, PFH_ACCOUNT);
  if (g_strcmp0 (account, "account-1") != 0
      && !(endpoint->fleet->has_ranked_account
           && g_strcmp0 (account, "account-2") == 0))
    {
      sfl_record_violation (endpoint->fleet,
                            "the account is missing or wrong");
    }
  if (left == NULL || atoi (left) <= 0)
    {
      sfl_record_violation (endpoint->fleet, "no time is left");
    }
  if (msg_find (request, "X-Own") == NULL)
    {
      sfl_record_violation (endpoint->fleet,
                            "a header of the caller is missing");
    }
}

static void
on_request (void *context, struct nsv_connection *connection,
            const struct msg_message *request, const char *method)
{
  (void)method;
  struct sfl_endpoint *endpoint = context;
  const char *url = request->url->str;
  if (strcmp (url, "/api/order") == 0)
    {
      apply_order (endpoint, connection, request);
      return;
    }
  if (strcmp (url, "/api/report") == 0)
    {
      answer_report (endpoint, connection);
      return;
    }
  if (strcmp (url, "/health") == 0)
    {
      if (!endpoint->silent)
        {
          nsv_respond (connection, HTTP_STATUS_OK, common_headers (endpoint),
                       "", 0);
        }
      return;
    }
  const char *id = msg_find (request, PFH_REQUEST_ID);
  const char *expected = msg_find (request, PFH_EXPECTED_ENDPOINT);
  endpoint->arrivals++;
  if (id == NULL || g_strcmp0 (expected, endpoint->id) != 0)
    {
      g_autofree char *headers
          = g_strdup_printf (PFH_REQUEST_ID ": %s\r\n%s",
                             id == NULL ? "-" : id, common_headers (endpoint));
      nsv_respond (connection, HTTP_STATUS_MISDIRECTED_REQUEST, headers, "",
                   0);
      return;
    }
  check_request (endpoint, request);
  const struct sfl_params *params = &endpoint->fleet->params;
  if (params->observer != NULL)
    {
      params->observer->arrived (params->context, endpoint->index, id);
    }
  if (connection == endpoint->refused_on)
    {
      endpoint->refused_on = NULL;
      count_run (endpoint, id);
      refuse (endpoint, connection, endpoint->refused_id, endpoint->address,
              endpoint->retry_after);
      return;
    }
  if (endpoint->turned_away > 0)
    {
      endpoint->turned_away--;
      if (endpoint->repeats_refusals)
        {
          endpoint->refused_on = connection;
          g_free (endpoint->refused_id);
          endpoint->refused_id = g_strdup (id);
        }
      refuse (endpoint, connection, id, endpoint->address,
              endpoint->retry_after);
      return;
    }
  enum sfl_fault fault = take_fault (endpoint);
  g_autofree char *at_fault
      = endpoint->is_engine
            ? check_path (endpoint, msg_find (request, PFH_PATH))
            : NULL;
  if (fault == SFL_REFUSES)
    {
      refuse (endpoint, connection, id, endpoint->address, NULL);
    }
  else if (at_fault != NULL && fault != SFL_STALLS)
    {
      refuse (endpoint, connection, id, at_fault, NULL);
    }
  else
    {
      run_request (endpoint, connection, request, id, fault);
    }
}

static void
on_gone (void *context)
{
  struct sfl_answer *answer = context;
  answer->endpoint->fleet->cancelled++;
  finish_answer (answer);
}

static void
on_drained (void *context)
{
  (void)context;
}

static const struct nsv_events events = {
  .request = on_request,
  .disconnected = on_gone,
  .drained = on_drained,
};

/* Publishes ENDPOINT to the endpoint list with STATE, or removes its entry
   when STATE is NULL.  */
void
sfl_endpoint_publish (struct sfl_endpoint *endpoint, const char *state)
{
  char *entry = NULL;
  endpoint->listed_state = state;
  if (state != NULL)
    {
      char *layers = g_strdup_printf (
          ",\"Kind\":\"small\",\"Layers\":{\"From\":%u,\"Target\":%u}",
          endpoint->first_layer, endpoint->end_layer);
      entry = g_strdup_printf (
          "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"kgn\","
          "\"Slots\":64,\"State\":\"%s\",\"born\":1%s}",
          endpoint->is_engine ? "draft" : "book", endpoint->address, state,
          endpoint->is_engine ? layers : "");
      g_free (layers);
    }
  sfl_append (endpoint->fleet, &endpoint->fleet->endpoint_topic, endpoint->id,
              entry);
  g_free (entry);
}

/* Starts the server of ENDPOINT and publishes the endpoint as ready.  */
void
sfl_endpoint_open (struct sfl_endpoint *endpoint)
{
  const struct sfl_params *params = &endpoint->fleet->params;
  endpoint->server
      = sfl_listen (endpoint->fleet, &events, endpoint, &endpoint->address);
  if (params->announce != NULL)
    {
      char *listed = params->announce (params->context, endpoint->address);
      g_free (endpoint->address);
      endpoint->address = listed;
    }
  if (endpoint->fleet->announce_detour != NULL)
    {
      endpoint->detour = endpoint->fleet->announce_detour (
          endpoint->fleet->detour_context, endpoint->address);
    }
  sfl_endpoint_publish (endpoint, "ready");
}
