/* The HTTP server that the simulated systems share, a wrapper around CivetWeb.
   Can drop answers and make open connections unresponsive.  The handler runs
   on several threads at once, one for each open connection. */
#ifndef STANDIN_HTTP_SERVER_H
#define STANDIN_HTTP_SERVER_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct hs_server;

struct hs_request
{
  const char *method;
  const char *path;
  const char *query; /* "" when there is none */
  const char *body;
  size_t body_bytes;
  const char *request_id; /* X-Request-Id, or "" */
};

/* Filled in by the handler; initially status 200 with an empty body. */
struct hs_answer
{
  int status;
  GString *body;
  const char *header; /* additional header line without line end, or NULL */
  bool lost;          /* closes the connection without an answer */
  bool control;       /* answer to a fault request: also sent on a connection
                         that became silent during the request */
};

/* Fills ANSWER with the answer to REQUEST.  USER is that of hs_options. */
typedef void (*hs_handler) (void *user, const struct hs_request *request,
                            struct hs_answer *answer);

struct hs_options
{
  uint16_t port;        /* 0: chosen by the kernel */
  uint32_t connections; /* open at the same time, a thread for each */
  hs_handler handler;
  void *user;
};

struct hs_server *hs_create (const struct hs_options *options, GError **error);
void hs_destroy (struct hs_server *server);
uint16_t hs_port (const struct hs_server *server);
void hs_silence_connections (struct hs_server *server);
int64_t hs_query_number (const struct hs_request *request, const char *name,
                         int64_t missing);
void hs_fail (struct hs_answer *answer, int status, const char *kind,
              const char *message);

#endif
