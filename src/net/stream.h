/* What the HTTP server and the client have in common about their
   connections. */
#ifndef NET_STREAM_H
#define NET_STREAM_H

#include <uv.h>

void nst_end_reading (const uv_tcp_t *tcp);

#endif
