/* HTTP client with a pool of connections to one server, which are kept open
   between calls.  A pool may be used by several threads at once. */
#ifndef ENDPOINT_CONNECTION_H
#define ENDPOINT_CONNECTION_H

#include "base/error.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct con_pool;

/* An HTTP request. */
struct con_call
{
  const char *method;
  const char *path; /* with the query */
  const char *body; /* NULL: none */
  size_t body_bytes;
  const char *content_type;   /* NULL: application/json */
  const char *request_id;     /* NULL: no X-Request-Id */
  const char *bearer;         /* NULL: no Authorization */
  int64_t timeout_us;         /* of the whole call */
  int64_t connect_timeout_us; /* 0: 250 ms */
  bool new_connection;        /* don't reuse a connection */
};

/* An HTTP response. */
struct con_answer
{
  uint16_t status;    /* 0: none was received */
  bool not_run;       /* with the header X-Not-Run: true */
  bool maybe_sent;    /* part of the request may have been sent */
  bool head_complete; /* the empty line after the headers has arrived */
  uint32_t lengths;   /* Content-Length headers of the response */
  char *content_type; /* NULL: none; freed by con_answer_clear */
  GString *body;      /* freed by con_answer_clear */
};

struct con_pool *con_pool_create (const char *base_url);
void con_pool_destroy (struct con_pool *pool);
enum err_kind con_call_run (struct con_pool *pool, const struct con_call *call,
                            struct con_answer *answer);
void con_answer_clear (struct con_answer *answer);

#endif
