#include "endpoint/engine.h"

#include "base/clock.h"

#include <jansson.h>
#include <string.h>

#define CANCEL_TIMEOUT_US (500 * CLK_MS_US)
#define PROBE_TIMEOUT_US (300 * CLK_MS_US)
#define LOAD_TIMEOUT_US (300 * CLK_MS_US)
#define ORDER_TIMEOUT_US (2 * CLK_S_US)

/* The field `kind' of an engine's error response, and the kind of error that
   it stands for. */
static const struct
{
  const char *name;
  enum err_kind kind;
} error_kinds[] = {
  { "bad_request", ERR_BAD_REQUEST },
  { "not_found", ERR_NOT_FOUND },
  { "out_of_order", ERR_OUT_OF_ORDER },
  { "endpoint_refused", ERR_ENDPOINT_REFUSED },
  { "stale_fence", ERR_STALE_FENCE },
  { "no_capacity", ERR_NO_CAPACITY },
};

/* Returns the kind of the error response BODY, or ERR_ENDPOINT_FAILED if the
   interface doesn't define its kind.  */
static enum err_kind
parse_error_kind (const json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "kind"));
  for (size_t i = 0; name != NULL && i < G_N_ELEMENTS (error_kinds); i++)
    {
      if (strcmp (error_kinds[i].name, name) == 0)
        {
          return error_kinds[i].kind;
        }
    }
  return ERR_ENDPOINT_FAILED;
}

/* Sends CALL and sets BODY to the JSON body of the response, owned by the
   caller, or to NULL if there is none.  Errors: as con_call_run, the kind of
   an error response, ERR_PROTOCOL when the response isn't a JSON object.  */
static enum err_kind
run_json_call (struct con_pool *pool, const struct con_call *call,
               json_t **body)
{
  struct con_answer answer;
  *body = NULL;
  enum err_kind error = con_call_run (pool, call, &answer);
  if (error == ERR_NONE)
    {
      *body = json_loadb (answer.body->str, answer.body->len, 0, NULL);
      if (answer.status != 200)
        {
          error = parse_error_kind (*body);
        }
      else if (!json_is_object (*body))
        {
          error = ERR_PROTOCOL;
        }
    }
  con_answer_clear (&answer);
  return error;
}

/* Sends REQUEST, whose reference it takes, with a POST to PATH.  Sets BODY and
   returns errors as run_json_call does.  */
static enum err_kind
post_json (struct con_pool *pool, const char *path, json_t *request,
           int64_t timeout_us, bool new_connection, json_t **body)
{
  char *text = json_dumps (request, JSON_COMPACT);
  struct con_call call = {
    .method = "POST",
    .path = path,
    .body = text,
    .body_bytes = strlen (text),
    .timeout_us = timeout_us,
    .new_connection = new_connection,
  };
  enum err_kind error = run_json_call (pool, &call, body);
  free (text);
  json_decref (request);
  return error;
}

/* Returns the body of the request for STEP: the activation for a range after
   the first, else the last token, or for step 0 the prompt and all tokens.  */
static json_t *
step_to_json (const struct eng_step *step)
{
  json_t *body = json_pack ("{s:s, s:i, s:i, s:s, s:i, s:i, s:i}", "request",
                            step->request, "attempt", (int)step->attempt,
                            "step", (int)step->step, "model", step->model,
                            "first", (int)step->first, "end", (int)step->end,
                            "priority", (int)step->priority);
  if (step->first > 0)
    {
      json_object_set_new (body, "activation", json_string (step->activation));
      return body;
    }
  if (step->step > 0)
    {
      uint32_t last = step->tokens[step->token_count - 1];
      json_object_set_new (body, "token", json_integer (last));
      return body;
    }
  json_t *tokens = json_array ();
  for (uint32_t i = 0; i < step->token_count; i++)
    {
      json_array_append_new (tokens, json_integer (step->tokens[i]));
    }
  json_object_set_new (body, "prompt", json_string (step->prompt));
  json_object_set_new (body, "tokens", tokens);
  return body;
}

static int64_t
get_integer (const json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

/* Sets ANSWER from BODY; missing fields are set to NULL, 0 or false.  */
static void
parse_step_answer (const json_t *body, struct eng_step_answer *answer)
{
  const json_t *load = json_object_get (body, "load");
  answer->activation
      = g_strdup (json_string_value (json_object_get (body, "activation")));
  answer->text = g_strdup (json_string_value (json_object_get (body, "text")));
  answer->token = (uint32_t)get_integer (body, "token");
  answer->end = json_is_true (json_object_get (body, "end"));
  answer->expected_step = (uint32_t)get_integer (body, "expected");
  answer->running = (int32_t)get_integer (load, "running");
  answer->queued = (int32_t)get_integer (load, "queued");
  answer->leaving = json_is_true (json_object_get (load, "leaving"));
}

/* Returns true when BODY is the answer to STEP and not to another one.  */
static bool
is_answer_to (const json_t *body, const struct eng_step *step)
{
  const char *request = json_string_value (json_object_get (body, "request"));
  return request != NULL && strcmp (request, step->request) == 0
         && get_integer (body, "attempt") == step->attempt
         && get_integer (body, "step") == step->step
         && get_integer (body, "first") == step->first;
}

/* Has the engine compute STEP and sets ANSWER, which the caller clears with
   eng_step_answer_clear whatever the result.  A step may safely be sent again.
   Errors: ERR_ENDPOINT_SILENT, ERR_ENDPOINT_FAILED (also for the answer to
   another step, so that the caller sends STEP again), ERR_ENDPOINT_REFUSED and
   ERR_NO_CAPACITY (the step did not run), ERR_OUT_OF_ORDER, ERR_NOT_FOUND,
   ERR_BAD_REQUEST, ERR_PROTOCOL.  */
enum err_kind
eng_step_run (struct con_pool *pool, const struct eng_step *step,
              struct eng_step_answer *answer)
{
  json_t *body = NULL;
  memset (answer, 0, sizeof *answer);
  enum err_kind error
      = post_json (pool, "/v1/step", step_to_json (step), step->timeout_us,
                   step->new_connection, &body);
  parse_step_answer (body, answer);
  if (error == ERR_NONE && !is_answer_to (body, step))
    {
      error = ERR_ENDPOINT_FAILED;
    }
  json_decref (body);
  if (error == ERR_NONE && answer->activation == NULL && answer->text == NULL)
    {
      return ERR_PROTOCOL;
    }
  return error;
}

/* Frees the strings of ANSWER; may be called again.  */
void
eng_step_answer_clear (struct eng_step_answer *answer)
{
  g_free (answer->activation);
  g_free (answer->text);
  answer->activation = NULL;
  answer->text = NULL;
}

/* Has the engine drop the streams of ATTEMPT of REQUEST in all its ranges.
   Blocks for at most 500 ms.  Errors: as con_call_run, the kind of an
   error response, ERR_PROTOCOL.  */
enum err_kind
eng_cancel (struct con_pool *pool, const char *request, uint32_t attempt)
{
  json_t *body = NULL;
  json_t *message
      = json_pack ("{s:s, s:i}", "request", request, "attempt", (int)attempt);
  enum err_kind error = post_json (pool, "/v1/cancel", message,
                                   CANCEL_TIMEOUT_US, false, &body);
  json_decref (body);
  return error;
}

/* Reads the JSON array RANGES into OUT and returns the number of ranges read;
   those beyond SNAP_RANGES_MAX are ignored, and those of models whose names
   are longer than any in the configuration.  */
static uint32_t
parse_ranges (const json_t *ranges, struct eng_range out[SNAP_RANGES_MAX])
{
  size_t index;
  const json_t *item;
  uint32_t count = 0;
  json_array_foreach (ranges, index, item)
  {
    if (count == SNAP_RANGES_MAX)
      {
        return count;
      }
    struct eng_range *range = &out[count];
    const char *model = json_string_value (json_object_get (item, "model"));
    if (g_strlcpy (range->model, model != NULL ? model : "",
                   sizeof range->model)
        >= sizeof range->model)
      {
        continue;
      }
    count++;
    range->first = (uint32_t)get_integer (item, "first");
    range->end = (uint32_t)get_integer (item, "end");
  }
  return count;
}

/* Requests the engine's load report and stores it in LOAD.  Blocks for at most
   300 ms.  Errors: as con_call_run, ERR_PROTOCOL.  */
enum err_kind
eng_load_report_get (struct con_pool *pool, struct eng_load_report *load)
{
  struct con_call call = {
    .method = "GET",
    .path = "/v1/load",
    .timeout_us = LOAD_TIMEOUT_US,
  };
  json_t *body = NULL;
  memset (load, 0, sizeof *load);
  enum err_kind error = run_json_call (pool, &call, &body);
  if (error == ERR_NONE)
    {
      load->running = (int32_t)get_integer (body, "running");
      load->queued = (int32_t)get_integer (body, "queued");
      load->step_us = get_integer (body, "step_us");
      load->leaving = json_is_true (json_object_get (body, "leaving"));
      load->fence = (uint64_t)get_integer (body, "fence");
      load->range_count
          = parse_ranges (json_object_get (body, "ranges"), load->ranges);
      load->loading_count
          = parse_ranges (json_object_get (body, "loading"), load->loading);
    }
  json_decref (body);
  return error;
}

/* Returns whether the engine answers a request for its load report within
   300 ms.  Uses a new connection.  */
bool
eng_is_alive (struct con_pool *pool)
{
  struct con_call call = {
    .method = "GET",
    .path = "/v1/load",
    .timeout_us = PROBE_TIMEOUT_US,
    .new_connection = true,
  };
  json_t *body = NULL;
  enum err_kind error = run_json_call (pool, &call, &body);
  json_decref (body);
  return error == ERR_NONE;
}

/* Sends ORDER to the engine.  Blocks for at most 2 s.  Errors: as
   con_call_run, ERR_STALE_FENCE when the engine has received an order with a
   higher fencing token, ERR_ENDPOINT_REFUSED, ERR_PROTOCOL.  */
enum err_kind
eng_order_send (struct con_pool *pool, const struct eng_order *order)
{
  json_t *body = NULL;
  json_t *message
      = json_pack ("{s:s, s:s, s:i, s:i, s:I}", "order", order->action,
                   "model", order->model, "first", (int)order->first, "end",
                   (int)order->end, "fence", (json_int_t)order->fence);
  enum err_kind error = post_json (pool, "/v1/orders", message,
                                   ORDER_TIMEOUT_US, false, &body);
  json_decref (body);
  return error;
}
