/* Calls to services, as opposed to engines, over HTTP.  The protocol is
   specified in docs/interfaces/service.md. */
#ifndef ENDPOINT_SERVICE_H
#define ENDPOINT_SERVICE_H

#include "endpoint/endpoint.h"

enum svc_result
{
  SVC_ANSWERED, /* ran; the answer comes from the service */
  SVC_NOT_RUN,  /* certainly didn't run */
  SVC_UNKNOWN   /* may have run */
};

/* A call to a service. */
struct svc_call
{
  const char *request_id; /* NULL: none */
  const char *method;
  const char *path; /* with the query */
  const char *body; /* NULL: none */
  size_t body_bytes;
  const char *content_type; /* NULL: application/json */
  int64_t timeout_us;
};

enum svc_result svc_run_once (struct ept_endpoint *endpoint,
                              const struct svc_call *call,
                              struct con_answer *answer);

#endif
