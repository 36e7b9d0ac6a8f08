/* Sockets of callers that send bytes of their own, for tests.  */
#ifndef TEST_CALLER_SOCKET_H
#define TEST_CALLER_SOCKET_H

#include "net/server.h"

int csk_connect (const char *address);
void csk_run_for (uv_loop_t *loop, struct nsv_server *server,
                  int64_t duration_us);

#endif
