/* One HTTP call with a small body each way and a time-out. */
#ifndef NET_CALL_H
#define NET_CALL_H

#include "net/client.h"

/* STATUS is 0 when no whole answer came; WHY then says so.  */
typedef void (*cal_done) (void *context, uint32_t status, const uint8_t *body,
                          size_t body_bytes, const char *why);

struct cal_call;

struct cal_params
{
  struct ncl_client *client;
  uv_loop_t *loop;
  const char *address;
  const char *method;
  const char *path;
  const char *body; /* JSON; NULL: none */
  uint64_t timeout_ms;
  cal_done done;
  void *context;
};

struct cal_call *cal_send (const struct cal_params *params);
void cal_cancel (struct cal_call *call);

#endif
