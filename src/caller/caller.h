/* The HTTP server for callers: completions, calls of services, look-ups of
   idempotency keys, and health checks.  It parses requests, leaves their
   execution to the daemon (struct cal_backend) and writes the responses.
   Interface: docs/interfaces/caller.md. */
#ifndef CALLER_CALLER_H
#define CALLER_CALLER_H

#include "base/counter.h"
#include "base/error.h"
#include "core/config.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The client account that a request belongs to, in the configuration in
   force. */
struct cal_account
{
  uint32_t index; /* in the configuration's accounts */
  char name[CFG_NAME_BYTES];
  int64_t default_deadline_us; /* after the arrival of a request */
};

/* A draft: a completion request (chat or text), parsed from its body. */
struct cal_draft
{
  char model[CFG_NAME_BYTES];
  char *prompt;
  uint32_t max_tokens; /* 0: the configuration's limit */
  bool stream;         /* respond with server-sent events */
  bool chat;           /* chat completion, else text completion */
};

/* The id of a request, and the options from its headers. */
struct cal_request_options
{
  char request_id[48];
  uint32_t priority;   /* 0 (highest) to 3 */
  int64_t deadline_us; /* monotonic time */
};

/* A request to a service, to be forwarded. */
struct cal_service_call
{
  const char *service;
  const char *method;
  const char *path; /* after the name of the service, with the query */
  const char *body; /* NULL: none */
  size_t body_bytes;
  const char *content_type;
  const char *key; /* Idempotency-Key; NULL: none */
};

/* The response of a service. */
struct cal_service_answer
{
  uint16_t status;
  char *content_type; /* NULL: none; to be freed by the server */
  GString *body;      /* to be freed by the server */
};

/* How a completion ended. */
struct cal_draft_result
{
  uint32_t prompt_tokens;
  uint32_t tokens;     /* generated */
  bool ended_by_model; /* by the model; false: by max_tokens */
  uint32_t attempts;
  char *path; /* the endpoints that ran it; to be freed by the server */
};

/* Receives the TEXT of each generated token.  Returns false when the caller
   has disconnected.  NOW_US is monotonic time. */
typedef bool (*cal_on_token) (const char *text, int64_t now_us,
                              void *user_data);

/* The functions through which the server executes requests, implemented by the
   daemon.  They are called on the threads of the server and may block.  Those
   that have a FAILURE set it whenever they return false. */
struct cal_backend
{
  /* Returns true when the daemon can accept requests. */
  bool (*ready) (void *user_data);
  /* Sets ACCOUNT to the owner of the bearer token with the SHA-256 hash
     TOKEN_SHA256, in hex, and to what the configuration says of it. */
  bool (*authorize) (void *user_data, const char *token_sha256,
                     struct cal_account *account, struct err_failure *failure);
  /* Runs a completion and calls ON_TOKEN with TOKEN_DATA for each token. */
  bool (*run_draft) (void *user_data, const struct cal_account *account,
                     const struct cal_request_options *terms,
                     const struct cal_draft *draft, cal_on_token on_token,
                     void *token_data, struct cal_draft_result *result,
                     struct err_failure *failure);
  /* Forwards CALL to an endpoint of the service and sets ANSWER. */
  bool (*call_service) (void *user_data, const struct cal_account *account,
                        const struct cal_request_options *terms,
                        const struct cal_service_call *call,
                        struct cal_service_answer *answer,
                        struct err_failure *failure);
  /* Sets OUTCOME to the JSON text of what is known of the request with the
     idempotency key KEY, to be freed by the server. */
  bool (*lookup_key) (void *user_data, const struct cal_account *account,
                      const char *key, char **outcome,
                      struct err_failure *failure);
  /* Sets MODELS to the JSON list of the models, to be freed by the server. */
  bool (*list_models) (void *user_data, char **models,
                       struct err_failure *failure);
  /* Called at the start and at the end of each thread of the server. */
  void (*thread_begins) (void *user_data);
  void (*thread_ends) (void *user_data);
};

struct cal_params
{
  const char *address; /* IP:PORT */
  uint32_t threads;
  uint32_t timeout_ms; /* of network reads and writes, and of idle
                          connections */
  uint32_t body_bytes_max;
  uint32_t memory_mb; /* of the host, for this process */
  struct cnt_set *counters;
  const struct cal_backend *backend;
  void *user_data;
};

struct cal_server;

struct cal_server *cal_server_create (const struct cal_params *params,
                                      GError **error);
void cal_server_destroy (struct cal_server *server);
uint16_t cal_server_port (const struct cal_server *server);
int64_t cal_server_requests_in_progress (const struct cal_server *server);

bool cal_draft_parse (const char *text, size_t bytes, bool chat,
                      struct cal_draft *draft, struct err_failure *failure);
void cal_draft_clear (struct cal_draft *draft);

#endif
