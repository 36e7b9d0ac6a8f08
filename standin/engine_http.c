/* The HTTP interface: parses requests and renders errors. */
#include "standin/engine_private.h"

#include "base/clock.h"
#include "standin/model.h"

#include <jansson.h>
#include <string.h>

#define REQUEST_ID_BYTES_MAX 64

/* Returns the integer member NAME of OBJECT, or DEFAULT_VALUE when there is
   none from 0 to UINT32_MAX.  */
static uint32_t
number_member (const json_t *object, const char *name, uint32_t default_value)
{
  const json_t *value = json_object_get (object, name);
  if (!json_is_integer (value) || json_integer_value (value) < 0
      || json_integer_value (value) > UINT32_MAX)
    {
      return default_value;
    }
  return (uint32_t)json_integer_value (value);
}

/* Returns the string member NAME of OBJECT, or NULL.  */
static const char *
text_member (const json_t *object, const char *name)
{
  return json_string_value (json_object_get (object, name));
}

/* Returns the request id of BODY, or NULL when it is missing, empty, longer
   than REQUEST_ID_BYTES_MAX or has characters other than letters, digits and
   "-_.:".  */
static const char *
request_id (const json_t *body)
{
  const char *id = text_member (body, "request");
  if (id == NULL || id[0] == '\0' || strlen (id) > REQUEST_ID_BYTES_MAX)
    {
      return NULL;
    }
  for (const char *at = id; *at != '\0'; at++)
    {
      if (!g_ascii_isalnum (*at) && strchr ("-_.:", *at) == NULL)
        {
          return NULL;
        }
    }
  return id;
}

/* Reads the layer range of BODY, and its model, which may be missing unless
   WITH_MODEL.  Returns ERR_BAD_REQUEST when they are malformed or the range
   exceeds the model, or ERR_ENDPOINT_REFUSED for an unknown model.  */
static enum err_kind
read_range (const struct fe_engine *engine, const json_t *body,
            bool with_model, struct fe_range *range)
{
  const char *model = text_member (body, "model");
  range->model = 0;
  range->first = number_member (body, "first", UINT32_MAX);
  range->end = number_member (body, "end", 0);
  if (range->end <= range->first || (with_model && model == NULL))
    {
      return ERR_BAD_REQUEST;
    }
  if (model == NULL)
    {
      return ERR_NONE;
    }
  for (uint32_t i = 0; i < engine->options.model_count; i++)
    {
      if (strcmp (engine->options.models[i].name, model) == 0)
        {
          range->model = i;
          bool fits = range->end <= engine->options.models[i].layers;
          return fits ? ERR_NONE : ERR_BAD_REQUEST;
        }
    }
  return ERR_ENDPOINT_REFUSED;
}

/* Answers with the HTTP status and error body of KIND.  */
static void
answer_error (struct hs_answer *answer, enum err_kind kind)
{
  const struct err_info *entry = err_info (kind);
  hs_fail (answer, entry->http_status, entry->name, entry->summary);
}

/* Reads the input of a step on the first range: prompt and tokens for step 0,
   else one token.  Returns false when the input is malformed.  */
static bool
read_tokens (const json_t *body, struct fe_step *step)
{
  if (step->step > 0)
    {
      step->token_count = 1;
      step->tokens = g_new (uint32_t, 1);
      step->tokens[0] = number_member (body, "token", UINT32_MAX);
      return step->tokens[0] != UINT32_MAX;
    }
  json_t *prompt = json_object_get (body, "prompt");
  json_t *tokens = json_object_get (body, "tokens");
  step->prompt = json_string_value (prompt);
  step->prompt_bytes = json_string_length (prompt);
  step->token_count = (uint32_t)json_array_size (tokens);
  step->tokens = g_new (uint32_t, step->token_count + 1);
  for (uint32_t i = 0; i < step->token_count; i++)
    {
      json_t *token = json_array_get (tokens, i);
      if (!json_is_integer (token))
        {
          return false;
        }
      step->tokens[i] = (uint32_t)json_integer_value (token);
    }
  return step->prompt != NULL;
}

/* Reads the input of a step on a later range: the activation of each position,
   and of one position only after step 0.  Returns false when the input is
   malformed.  */
static bool
read_activation (const json_t *body, struct fe_step *step)
{
  json_t *activation = json_object_get (body, "activation");
  const char *hex = json_string_value (activation);
  size_t length = json_string_length (activation);
  if (hex == NULL || length == 0 || length % MD_ACTIVATION_HEX != 0)
    {
      return false;
    }
  step->positions = (uint32_t)(length / MD_ACTIVATION_HEX);
  if (step->step > 0 && step->positions != 1)
    {
      return false;
    }
  step->hidden = g_new (uint64_t, step->positions);
  for (uint32_t i = 0; i < step->positions; i++)
    {
      uint64_t value = 0;
      for (int digit = 0; digit < MD_ACTIVATION_HEX; digit++)
        {
          int nibble = g_ascii_xdigit_value (*hex++);
          if (nibble < 0)
            {
              return false;
            }
          value = value << 4 | (uint64_t)nibble;
        }
      step->hidden[i] = value;
    }
  return true;
}

/* Answers POST /v1/step.  */
static void
answer_step (struct fe_engine *engine, const json_t *body,
             struct hs_answer *answer)
{
  struct fe_step step = {
    .request = request_id (body),
    .attempt = number_member (body, "attempt", UINT32_MAX),
    .step = number_member (body, "step", UINT32_MAX),
    .priority = number_member (body, "priority", 1),
  };
  enum err_kind kind = read_range (engine, body, true, &step.range);
  bool valid = step.request != NULL && step.attempt != UINT32_MAX
               && step.step != UINT32_MAX;
  if (valid && kind == ERR_NONE)
    {
      valid = step.range.first == 0 ? read_tokens (body, &step)
                                    : read_activation (body, &step);
    }
  uint32_t expected = 0;
  if (!valid)
    {
      kind = ERR_BAD_REQUEST;
    }
  if (kind == ERR_NONE)
    {
      kind = fe_run_step (engine, &step, &expected, answer->body);
    }
  g_free (step.tokens);
  g_free (step.hidden);
  if (kind == ERR_NONE)
    {
      g_string_append_c (answer->body, '}');
      fe_apply_answer_faults (engine, answer->body);
      return;
    }
  answer_error (answer, kind);
  if (kind == ERR_OUT_OF_ORDER)
    {
      g_string_truncate (answer->body, answer->body->len - 1);
      g_string_append_printf (answer->body, ",\"expected\":%u}", expected);
    }
}

/* Answers POST /v1/cancel.  */
static void
answer_cancel (struct fe_engine *engine, const json_t *body,
               struct hs_answer *answer)
{
  const char *request = request_id (body);
  uint32_t attempt = number_member (body, "attempt", UINT32_MAX);
  if (request == NULL || attempt == UINT32_MAX)
    {
      answer_error (answer, ERR_BAD_REQUEST);
      return;
    }
  fe_cancel (engine, request, attempt);
  g_string_append (answer->body, "{}");
}

/* Answers POST /v1/kv/export and POST /v1/kv/import.  */
static void
answer_kv (struct fe_engine *engine, const json_t *body, bool import,
           struct hs_answer *answer)
{
  const char *request = request_id (body);
  uint32_t attempt = number_member (body, "attempt", UINT32_MAX);
  uint32_t step = number_member (body, "step", UINT32_MAX);
  const char *kv = text_member (body, "kv");
  struct fe_range range;
  enum err_kind kind = read_range (engine, body, import, &range);
  if (request == NULL || attempt == UINT32_MAX
      || (import && (kv == NULL || step == UINT32_MAX)))
    {
      kind = ERR_BAD_REQUEST;
    }
  if (kind == ERR_NONE && import)
    {
      kind = fe_import (engine, request, attempt, &range, step, kv);
      g_string_append (answer->body, "{}");
    }
  else if (kind == ERR_NONE)
    {
      kind = fe_export (engine, request, attempt, &range, answer->body);
    }
  if (kind != ERR_NONE)
    {
      answer_error (answer, kind);
    }
}

/* Answers POST /v1/orders.  */
static void
answer_order (struct fe_engine *engine, const json_t *body,
              struct hs_answer *answer)
{
  static const char *const names[] = { "load", "unload", "role" };
  const char *name = text_member (body, "order");
  const json_t *fence = json_object_get (body, "fence");
  struct fe_range range;
  enum err_kind kind = read_range (engine, body, true, &range);
  int type = -1;
  for (int i = 0; name != NULL && i < (int)G_N_ELEMENTS (names); i++)
    {
      type = strcmp (names[i], name) == 0 ? i : type;
    }
  if (type < 0 || !json_is_integer (fence))
    {
      kind = ERR_BAD_REQUEST;
    }
  if (kind == ERR_NONE)
    {
      kind = fe_accept_order (engine, (enum fe_order_type)type, &range,
                              json_integer_value (fence));
      g_string_append (answer->body, "{}");
    }
  if (kind != ERR_NONE)
    {
      answer_error (answer, kind);
    }
  if (kind == ERR_STALE_FENCE)
    {
      pthread_mutex_lock (&engine->lock);
      g_string_truncate (answer->body, answer->body->len - 1);
      g_string_append_printf (answer->body, ",\"fence\":%" G_GINT64_FORMAT "}",
                              engine->newest_fence);
      pthread_mutex_unlock (&engine->lock);
    }
}

/* Answers a POST request.  */
static void
handle_post (struct fe_engine *engine, const char *path, const json_t *body,
             struct hs_answer *answer)
{
  if (strcmp (path, "/v1/step") == 0)
    {
      answer_step (engine, body, answer);
    }
  else if (strcmp (path, "/v1/cancel") == 0)
    {
      answer_cancel (engine, body, answer);
    }
  else if (strcmp (path, "/v1/kv/export") == 0)
    {
      answer_kv (engine, body, false, answer);
    }
  else if (strcmp (path, "/v1/kv/import") == 0)
    {
      answer_kv (engine, body, true, answer);
    }
  else if (strcmp (path, "/v1/orders") == 0)
    {
      answer_order (engine, body, answer);
    }
  else if (strcmp (path, "/fault") == 0)
    {
      fe_handle_fault (engine, body, answer);
    }
  else
    {
      answer_error (answer, ERR_NOT_FOUND);
    }
}

/* Answers a GET request.  */
static void
handle_get (struct fe_engine *engine, const struct hs_request *request,
            struct hs_answer *answer)
{
  pthread_mutex_lock (&engine->lock);
  if (strcmp (request->path, "/v1/load") == 0)
    {
      g_string_append (answer->body, engine->report->str);
    }
  else if (strcmp (request->path, "/v1/cache-events") == 0)
    {
      pfx_render_events (engine->cache, hs_query_number (request, "from", 0),
                         clk_monotonic_us (), answer->body);
    }
  else
    {
      answer_error (answer, ERR_NOT_FOUND);
    }
  pthread_mutex_unlock (&engine->lock);
}

/* Answers every request to the HTTP interface of the engine USER.  */
void
fe_handle_request (void *user, const struct hs_request *request,
                   struct hs_answer *answer)
{
  struct fe_engine *engine = user;
  if (strcmp (request->method, "GET") == 0)
    {
      handle_get (engine, request, answer);
      return;
    }
  json_t *body = json_loadb (request->body, request->body_bytes, 0, NULL);
  if (strcmp (request->method, "POST") != 0 || !json_is_object (body))
    {
      answer_error (answer, ERR_BAD_REQUEST);
    }
  else
    {
      handle_post (engine, request->path, body, answer);
    }
  json_decref (body);
}
