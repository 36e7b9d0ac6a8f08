/* Kernel receive buffers of the connections of callers.  What the kernel has
   received and the process hasn't read counts toward the memory of the host,
   also while the process is stopped or behind, so all buffers together have a
   bound: each connection gets a small buffer, and a large one only for a body
   that is larger, while few others have one. */
#ifndef NET_RECEIVE_BUFFER_H
#define NET_RECEIVE_BUFFER_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* Sizes are values of SO_RCVBUF; the kernel keeps up to twice as much. */
struct rcb_plan
{
  uint32_t initial_bytes; /* also while a connection waits to be accepted */
  uint32_t large_bytes;   /* 0: the size doesn't change */
  uint32_t large_max;     /* number of large buffers */
};

void rcb_plan_for_host (uint64_t memory_mb, uint32_t connections,
                        struct rcb_plan *plan);
void rcb_set (const uv_tcp_t *tcp, uint32_t bytes);

#endif
