/* HTTP server for operators: the administration API under /v1/, the page
   /report and the counters at /metrics.  docs/interfaces/operator.md describes
   the API. */
#ifndef OPERATOR_OPERATOR_H
#define OPERATOR_OPERATOR_H

#include "base/counter.h"
#include "base/error.h"

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* A configuration to publish. */
struct opr_publish
{
  const char *yaml;
  size_t yaml_bytes;
  const char *publisher; /* named by the client; "": none */
};

/* An operator's decision on a call with an idempotency key, when it is unknown
   whether the call was executed. */
struct opr_settle
{
  const char *account;
  const char *key;
  bool ran;         /* the call was executed */
  uint32_t status;  /* HTTP status of the answer to record */
  const char *body; /* JSON of the answer to record; NULL: none */
};

/* Callbacks into the daemon, called on threads of the server.  They return
   JSON that the caller owns, or true for success.  A callback that returns
   NULL or false sets FAILURE; those without FAILURE always return JSON.
   config_publish and drain set VERSION to the configuration version that they
   published.  unknown_keys lists the idempotency keys whose calls may or may
   not have been executed; report is the report on service-level objectives. */
struct opr_backend
{
  json_t *(*status) (void *user_data);
  json_t *(*config_show) (void *user_data, struct err_failure *failure);
  json_t *(*config_history) (void *user_data);
  bool (*config_publish) (void *user_data, const struct opr_publish *publish,
                          uint64_t *version, struct err_failure *failure);
  bool (*drain) (void *user_data, const char *host, bool draining,
                 uint64_t *version, struct err_failure *failure);
  json_t *(*unknown_keys) (void *user_data);
  bool (*settle_key) (void *user_data, const struct opr_settle *settle,
                      struct err_failure *failure);
  json_t *(*report) (void *user_data);
};

struct opr_params
{
  const char *address; /* IP:PORT to listen on */
  const char *token;   /* that clients of the API have to present */
  struct cnt_set *counters;
  const struct opr_backend *backend;
  void *user_data; /* passed to the callbacks */
};

struct opr_server;

struct opr_server *opr_server_create (const struct opr_params *params,
                                      GError **error);
void opr_server_destroy (struct opr_server *server);
uint16_t opr_server_port (const struct opr_server *server);

#endif
