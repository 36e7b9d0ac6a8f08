/* Parses the JSON bodies of completion requests. */
#include "caller/caller.h"

#include <jansson.h>
#include <string.h>

/* Sets FAILURE to ERR_BAD_REQUEST with MESSAGE.  Returns false.  */
static bool
reject (struct err_failure *failure, const char *message)
{
  err_set_failure (failure, ERR_BAD_REQUEST, message);
  return false;
}

/* Appends the text of one message's CONTENT, a string or an array of objects
   with `text', to PROMPT.  Returns false when CONTENT has another form.  */
static bool
append_content (const json_t *content, GString *prompt)
{
  if (json_is_string (content))
    {
      g_string_append (prompt, json_string_value (content));
      return true;
    }
  if (!json_is_array (content))
    {
      return false;
    }
  size_t index;
  const json_t *part;
  json_array_foreach (content, index, part)
  {
    const char *text = json_string_value (json_object_get (part, "text"));
    if (text == NULL)
      {
        return false;
      }
    g_string_append (prompt, text);
  }
  return true;
}

/* Joins MESSAGES to one prompt: `ROLE: CONTENT' and a newline for each.  */
static bool
join_messages (const json_t *messages, struct cal_draft *draft,
               struct err_failure *failure)
{
  if (!json_is_array (messages) || json_array_size (messages) == 0)
    {
      return reject (failure, "messages: a non-empty array is needed");
    }
  GString *prompt = g_string_new (NULL);
  bool valid = true;
  size_t index;
  const json_t *message;
  json_array_foreach (messages, index, message)
  {
    const char *role = json_string_value (json_object_get (message, "role"));
    if (role == NULL)
      {
        valid = false;
        break;
      }
    g_string_append_printf (prompt, "%s: ", role);
    if (!append_content (json_object_get (message, "content"), prompt))
      {
        valid = false;
        break;
      }
    g_string_append_c (prompt, '\n');
  }
  draft->prompt = g_string_free (prompt, FALSE);
  return valid ? true
               : reject (failure, "messages: each needs role and content");
}

/* Reads the optional max_completion_tokens, or the older max_tokens when the
   former is absent.  A null leaves the count at 0.  */
static bool
read_max_tokens (const json_t *body, struct cal_draft *draft,
                 struct err_failure *failure)
{
  const json_t *value = json_object_get (body, "max_completion_tokens");
  if (value == NULL)
    {
      value = json_object_get (body, "max_tokens");
    }
  if (value == NULL || json_is_null (value))
    {
      return true;
    }
  json_int_t count = json_integer_value (value);
  if (!json_is_integer (value) || count < 1 || count > INT32_MAX)
    {
      return reject (failure, "max_tokens: a whole number above 0 is needed");
    }
  draft->max_tokens = (uint32_t)count;
  return true;
}

static bool
read_body (const json_t *body, bool chat, struct cal_draft *draft,
           struct err_failure *failure)
{
  const char *model = json_string_value (json_object_get (body, "model"));
  const json_t *stream = json_object_get (body, "stream");
  if (model == NULL || model[0] == '\0'
      || strlen (model) >= sizeof draft->model)
    {
      return reject (failure, "model: a name of a model is needed");
    }
  g_strlcpy (draft->model, model, sizeof draft->model);
  if (stream != NULL && !json_is_boolean (stream) && !json_is_null (stream))
    {
      return reject (failure, "stream: true or false is needed");
    }
  draft->stream = json_is_true (stream);
  draft->chat = chat;
  if (!read_max_tokens (body, draft, failure))
    {
      return false;
    }
  if (chat)
    {
      return join_messages (json_object_get (body, "messages"), draft,
                            failure);
    }
  const char *prompt = json_string_value (json_object_get (body, "prompt"));
  if (prompt == NULL)
    {
      return reject (failure, "prompt: a string is needed");
    }
  draft->prompt = g_strdup (prompt);
  return true;
}

/* Parses the body of a completion request, a chat completion when CHAT is
   true.  Returns false and sets FAILURE to ERR_BAD_REQUEST when the body is
   not valid.  In either case DRAFT must be freed with cal_draft_clear.  */
bool
cal_draft_parse (const char *text, size_t bytes, bool chat,
                 struct cal_draft *draft, struct err_failure *failure)
{
  json_error_t error;
  memset (draft, 0, sizeof *draft);
  json_t *body = json_loadb (text, bytes, JSON_REJECT_DUPLICATES, &error);
  if (!json_is_object (body))
    {
      json_decref (body);
      return reject (failure, "the body is not a JSON object");
    }
  bool valid = read_body (body, chat, draft, failure);
  json_decref (body);
  return valid;
}

/* Frees what DRAFT owns.  */
void
cal_draft_clear (struct cal_draft *draft)
{
  g_free (draft->prompt);
  draft->prompt = NULL;
}
