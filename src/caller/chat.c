#include "caller/chat.h"

#include "base/clock.h"

#include <string.h>

/* A response that is being sent. */
struct response
{
  struct mg_connection *connection;
  const struct cal_draft *draft;
  const struct cal_request_options *terms;
  int64_t created_s;
  bool started;  /* the headers of a streamed response have been sent */
  GString *text; /* generated so far; unused by a streamed response */
};

/* Returns the JSON of one streamed event, to be freed with free.  TEXT and
   FINISH_REASON may be NULL.  */
static char *
event_json (const struct response *response, const char *text,
            const char *finish_reason)
{
  bool chat = response->draft->chat;
  json_t *choice
      = json_pack ("{s:i, s:s?}", "index", 0, "finish_reason", finish_reason);
  if (chat)
    {
      json_t *delta = text != NULL ? json_pack ("{s:s}", "content", text)
                                   : json_object ();
      json_object_set_new (choice, "delta", delta);
    }
  else
    {
      json_object_set_new (choice, "text",
                           json_string (text != NULL ? text : ""));
    }
  json_t *event = json_pack (
      "{s:s, s:s, s:I, s:s, s:[o]}", "id", response->terms->request_id,
      "object", chat ? "chat.completion.chunk" : "text_completion", "created",
      (json_int_t)response->created_s, "model", response->draft->model,
      "choices", choice);
  char *out = json_dumps (event, JSON_COMPACT);
  json_decref (event);
  return out;
}

/* Sends DATA as one server-sent event in one chunk, after the headers if they
   haven't been sent.  Returns false when the caller has disconnected.  */
static bool
send_event (struct response *response, const char *data)
{
  GString *event = g_string_sized_new (strlen (data) + 16);
  g_string_append_printf (event, "data: %s\n\n", data);
  GString *chunk = g_string_sized_new (event->len + 256);
  if (!response->started)
    {
      response->started = true;
      g_string_append_printf (chunk,
                              "HTTP/1.1 200 OK\r\n"
                              "Content-Type: text/event-stream\r\n"
                              "Cache-Control: no-cache\r\n"
                              "X-Request-Id: %s\r\n"
                              "Transfer-Encoding: chunked\r\n\r\n",
                              response->terms->request_id);
    }
  g_string_append_printf (chunk, "%zx\r\n%s\r\n", event->len, event->str);
  int written = mg_write (response->connection, chunk->str, chunk->len);
  bool complete = written == (int)chunk->len;
  g_string_free (event, TRUE);
  g_string_free (chunk, TRUE);
  return complete;
}

/* Sends a token at once, or collects it when the response is not streamed.
   Returns false when the caller has disconnected.  */
static bool
on_token (const char *text, int64_t now_us, void *user_data)
{
  (void)now_us;
  struct response *response = user_data;
  if (!response->draft->stream)
    {
      g_string_append (response->text, text);
      return true;
    }
  char *event = event_json (response, text, NULL);
  bool complete = send_event (response, event);
  free (event);
  return complete;
}

static const char *
finish_reason (const struct cal_draft_result *result)
{
  return result->ended_by_model ? "stop" : "length";
}

static void
end_stream (struct response *response, const struct cal_draft_result *result)
{
  char *event = event_json (response, NULL, finish_reason (result));
  send_event (response, event);
  free (event);
  send_event (response, "[DONE]");
  mg_write (response->connection, "0\r\n\r\n", 5);
}

/* Ends a stream that failed after its headers were sent: sends an event with
   the error and no [DONE].  */
static void
fail_stream (struct response *response, const struct err_failure *failure)
{
  json_t *body = http_failure_body (failure);
  char *text = json_dumps (body, JSON_COMPACT);
  send_event (response, text);
  free (text);
  json_decref (body);
  mg_write (response->connection, "0\r\n\r\n", 5);
}

/* Sends the response of a completion that is not streamed.  */
static void
send_completion (struct response *response,
                 const struct cal_draft_result *result)
{
  bool chat = response->draft->chat;
  json_t *choice = json_pack ("{s:i, s:s}", "index", 0, "finish_reason",
                              finish_reason (result));
  if (chat)
    {
      json_object_set_new (choice, "message",
                           json_pack ("{s:s, s:s}", "role", "assistant",
                                      "content", response->text->str));
    }
  else
    {
      json_object_set_new (choice, "text", json_string (response->text->str));
    }
  json_t *body = json_pack (
      "{s:s, s:s, s:I, s:s, s:[o], s:{s:i, s:i, s:i}, s:s}", "id",
      response->terms->request_id, "object",
      chat ? "chat.completion" : "text_completion", "created",
      (json_int_t)response->created_s, "model", response->draft->model,
      "choices", choice, "usage", "prompt_tokens", (int)result->prompt_tokens,
      "completion_tokens", (int)result->tokens, "total_tokens",
      (int)(result->prompt_tokens + result->tokens), "path", result->path);
  http_send_json (response->connection, 200, body);
  json_decref (body);
}

/* Runs the completion and sends its response.  Returns the kind of error, or
   ERR_NONE.  */
static enum err_kind
run_draft (const struct chat_env *env, const struct cal_account *account,
           struct response *response)
{
  struct err_failure failure = { .kind = ERR_NONE };
  struct cal_draft_result result = { .path = NULL };
  bool complete = env->backend->run_draft (
      env->user_data, account, response->terms, response->draft, on_token,
      response, &result, &failure);
  if (complete && response->draft->stream)
    {
      end_stream (response, &result);
    }
  else if (complete)
    {
      send_completion (response, &result);
    }
  else if (response->started)
    {
      fail_stream (response, &failure);
    }
  else
    {
      http_send_failure (response->connection, &failure);
    }
  g_free (result.path);
  return complete ? ERR_NONE : failure.kind;
}

/* Handles one completion request, which is a chat completion when CHAT is true
   and else a text completion.  Sends the response or the error.  Returns the
   kind of error, or ERR_NONE.  */
enum err_kind
chat_handle (const struct chat_env *env, struct mg_connection *connection,
             const struct cal_account *account,
             const struct cal_request_options *terms, bool chat)
{
  struct err_failure failure;
  struct bst_body body;
  if (!bst_read (env->bodies, connection, &body, &failure))
    {
      http_send_failure (connection, &failure);
      return failure.kind;
    }
  struct cal_draft draft;
  enum err_kind kind = ERR_NONE;
  bst_begin_parse (env->bodies, &body);
  bool valid = cal_draft_parse (body.text->str, body.text->len, chat, &draft,
                                &failure);
  bst_end_parse (env->bodies, &body);
  bst_release (env->bodies, &body);
  if (valid)
    {
      struct response response = {
        .connection = connection,
        .draft = &draft,
        .terms = terms,
        .created_s = clk_real_us () / CLK_S_US,
        .text = g_string_new (NULL),
      };
      kind = run_draft (env, account, &response);
      g_string_free (response.text, TRUE);
    }
  else
    {
      kind = failure.kind;
      http_send_failure (connection, &failure);
    }
  cal_draft_clear (&draft);
  return kind;
}
