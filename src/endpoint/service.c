#include "endpoint/service.h"

#include "base/clock.h"

/* Sends CALL to ENDPOINT at most once, on a new connection: libcurl may send a
   request again if it fails on a reused connection.  Blocks for at most the
   timeout of CALL.  A response with status 5xx leaves open whether the call
   ran, unless the status is 503 and the header X-Not-Run says that it didn't.
   The caller frees ANSWER with con_answer_clear whatever the result.  */
enum svc_result
svc_run_once (struct ept_endpoint *endpoint, const struct svc_call *call,
              struct con_answer *answer)
{
  struct con_call http = {
    .method = call->method,
    .path = call->path,
    .body = call->body,
    .body_bytes = call->body_bytes,
    .content_type = call->content_type,
    .request_id = call->request_id,
    .timeout_us = call->timeout_us,
    .new_connection = true,
  };
  enum err_kind error = con_call_run (endpoint->pool, &http, answer);
  if (error != ERR_NONE)
    {
      return answer->maybe_sent ? SVC_UNKNOWN : SVC_NOT_RUN;
    }
  if (answer->status == 503 && answer->not_run)
    {
      return SVC_NOT_RUN;
    }
  return answer->status >= 500 ? SVC_UNKNOWN : SVC_ANSWERED;
}
