/* Handling of completion requests: parses the body, runs the completion and
   sends the response, whole or as a stream of server-sent events. */
#ifndef CALLER_CHAT_H
#define CALLER_CHAT_H

#include "base/http.h"
#include "caller/body_store.h"
#include "caller/caller.h"

/* What the handler needs from the server. */
struct chat_env
{
  const struct cal_backend *backend;
  void *user_data;
  struct bst_store *bodies;
};

enum err_kind chat_handle (const struct chat_env *env,
                           struct mg_connection *connection,
                           const struct cal_account *account,
                           const struct cal_request_options *terms, bool chat);

#endif
