/* TCP streams of libuv: how they end. */
#ifndef NET_STREAM_H
#define NET_STREAM_H

#include <stdbool.h>
#include <uv.h>

void nst_end_reading (const uv_tcp_t *tcp);
bool nst_ends_in_order (const uv_tcp_t *tcp, ssize_t status);

#endif
