#include "net/call.h"

#include <string.h>

/* Limit on the body of a response, unless the call has its own. */
#define BODY_BYTES_MAX ((size_t)8 * 1024 * 1024)

struct cal_call
{
  uv_timer_t timer;
  struct ncl_exchange *exchange;
  uint32_t status;
  GByteArray *body;
  size_t body_bytes_max;
  cal_headers headers;
  cal_done done;
  void *context;
  bool ended;
};

static void
on_timer_closed (uv_handle_t *handle)
{
  struct cal_call *call = handle->data;
  g_byte_array_free (call->body, TRUE);
  g_free (call);
}

/* Ends CALL and reports STATUS, or 0 with REASON, to the owner.  */
static void
finish (struct cal_call *call, uint32_t status, const char *reason)
{
  if (call->ended)
    {
      return;
    }
  call->ended = true;
  call->exchange = NULL;
  call->done (call->context, status, call->body->data, call->body->len,
              reason);
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}

static bool
on_headers (void *context, uint32_t status, const struct msg_message *response)
{
  struct cal_call *call = context;
  call->status = status;
  if (call->headers != NULL)
    {
      call->headers (call->context, status, response);
    }
  return true;
}

static void
on_body (void *context, const char *bytes, size_t count)
{
  struct cal_call *call = context;
  if (call->body->len + count > call->body_bytes_max)
    {
      ncl_cancel (call->exchange);
      finish (call, 0, "the response is too long");
      return;
    }
  g_byte_array_append (call->body, (const guint8 *)bytes, (guint)count);
}

static void
on_complete (void *context)
{
  struct cal_call *call = context;
  finish (call, call->status, "");
}

static void
on_failed (void *context, enum ncl_failure failure)
{
  static const char *const reasons[] = {
    [NCL_NOT_CONNECTED] = "no connection",
    [NCL_CUT_OFF]
    = "the connection was closed or reset before the response was complete",
    [NCL_MALFORMED] = "the response is not valid HTTP",
    [NCL_WRONG_RESPONSE] = "the response belongs to another request",
  };
  finish (context, 0, reasons[failure]);
}

static const struct ncl_events exchange_events = {
  .headers = on_headers,
  .body = on_body,
  .complete = on_complete,
  .failed = on_failed,
};

static void
on_timeout (uv_timer_t *timer)
{
  struct cal_call *call = timer->data;
  if (call->exchange != NULL)
    {
      ncl_cancel (call->exchange);
    }
  finish (call, 0, "timeout");
}

/* Reports that the request could not be sent, from the event loop.  */
static void
on_unsendable (uv_timer_t *timer)
{
  finish (timer->data, 0, "the address can't be used");
}

/* Sends the request that PARAMS describe.  `done' receives the result from the
   event loop, never before cal_send returns.  The call must not be used once
   `done' has been called.  Of PARAMS, only the client, the loop and the
   context must outlive the call.  */
struct cal_call *
cal_send (const struct cal_params *params)
{
  struct cal_call *call = g_new0 (struct cal_call, 1);
  call->body = g_byte_array_new ();
  call->body_bytes_max = params->answer_bytes_max > 0
                             ? params->answer_bytes_max
                             : BODY_BYTES_MAX;
  call->headers = params->headers;
  call->done = params->done;
  call->context = params->context;
  uv_timer_init (params->loop, &call->timer);
  call->timer.data = call;
  GString *request = g_string_sized_new (256);
  g_string_append_printf (request, "%s %s HTTP/1.1\r\nHost: %s\r\n",
                          params->method, params->path, params->address);
  if (params->header_lines != NULL)
    {
      g_string_append (request, params->header_lines);
    }
  bool is_json = params->body != NULL;
  const char *body = is_json ? params->body : (const char *)params->data;
  size_t body_bytes = is_json ? strlen (params->body) : params->data_bytes;
  if (body != NULL)
    {
      g_string_append_printf (
          request, "Content-Type: %s\r\nContent-Length: %zu\r\n",
          is_json ? "application/json" : "application/octet-stream",
          body_bytes);
    }
  g_string_append (request, "\r\n");
  if (body != NULL)
    {
      g_string_append_len (request, body, (gssize)body_bytes);
    }
  call->exchange
      = ncl_send (params->client, params->address, request->str, request->len,
                  !params->reuses_connection, &exchange_events, call);
  g_string_free (request, TRUE);
  if (call->exchange != NULL && params->send_by_us > 0)
    {
      ncl_set_send_by (call->exchange, params->send_by_us);
    }
  uv_timer_start (&call->timer,
                  call->exchange == NULL ? on_unsendable : on_timeout,
                  call->exchange == NULL ? 0 : params->timeout_ms, 0);
  return call;
}

/* Ends CALL without calling `done'.  */
void
cal_cancel (struct cal_call *call)
{
  if (call->ended)
    {
      return;
    }
  call->ended = true;
  if (call->exchange != NULL)
    {
      ncl_cancel (call->exchange);
    }
  uv_close ((uv_handle_t *)&call->timer, on_timer_closed);
}
