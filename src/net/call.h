/* One HTTP request with a time-out, whose request and response bodies are held
   in memory as a whole. */
#ifndef NET_CALL_H
#define NET_CALL_H

#include "net/client.h"

/* Receives the HTTP status and body of the response.  STATUS is 0 when no
   complete response arrived; REASON then says why, in words for the log.  BODY
   is valid during the call.  */
typedef void (*cal_done) (void *context, uint32_t status, const uint8_t *body,
                          size_t body_bytes, const char *reason);

/* Receives the head of the response, before `done'.  STATUS is its HTTP
   status; RESPONSE is valid during the call.  */
typedef void (*cal_headers) (void *context, uint32_t status,
                             const struct msg_message *response);

struct cal_call;

struct cal_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *address; /* IP:PORT */
  const char *method;
  const char *path;
  const char *header_lines; /* more headers, each with its line break; NULL:
                               none */
  const char *body;         /* JSON; NULL: none */
  const uint8_t *data; /* body of another type, unless `body' is set; NULL:
                          none */
  size_t data_bytes;
  uint64_t timeout_ms;
  size_t answer_bytes_max; /* limit on the response's body; 0: 8 MiB */
  /* May use a connection that was used before, on which a second copy of an
     earlier response would be taken for this one.  Only for calls that are
     made so often that new connections cost too much. */
  bool reuses_connection;
  int64_t send_by_us; /* the request isn't sent then or later, monotonic; 0: no
                         limit */
  cal_headers headers; /* NULL: not needed */
  cal_done done;
  void *context;
};

struct cal_call *cal_send (const struct cal_params *params);
void cal_cancel (struct cal_call *call);

#endif
