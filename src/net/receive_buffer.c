#include "net/receive_buffer.h"

#include <glib.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* The buffers take at most a share of 1/HOST_DENOMINATOR of the host, one half
   for the initial ones and one for the large ones, unless the initial ones
   need more. */
#define HOST_DENOMINATOR 8
#define BYTES_PER_MB 1000000

/* The kernel keeps up to so many times the size that was set. */
#define KERNEL_FACTOR 2

/* Smaller buffers would split the head of an ordinary request. */
#define INITIAL_MIN_BYTES 4096

/* The window of a connection that began with a small buffer isn't scaled, so
   it can't use more. */
#define LARGE_BYTES 32768

/* Without a limit on the memory. */
#define UNLIMITED_BYTES 131072

/* Sets PLAN to the buffers of up to CONNECTIONS connections, with those that
   wait to be accepted, on a host of MEMORY_MB; 0: without a limit.  */
void
rcb_plan_for_host (uint64_t memory_mb, uint32_t connections,
                   struct rcb_plan *plan)
{
  *plan = (struct rcb_plan){ .initial_bytes = UNLIMITED_BYTES };
  if (memory_mb > 0)
    {
      uint64_t half = memory_mb * BYTES_PER_MB / HOST_DENOMINATOR / 2;
      uint64_t each = half / KERNEL_FACTOR / MAX (connections, 1);
      plan->initial_bytes
          = (uint32_t)CLAMP (each, INITIAL_MIN_BYTES, LARGE_BYTES);
      plan->large_bytes = LARGE_BYTES;
      plan->large_max = (uint32_t)(half / KERNEL_FACTOR / LARGE_BYTES);
    }
}

/* Sets the receive buffer of TCP to BYTES, and lets its window use all of it.
   A connection whose buffer can't be set keeps the one that it has.  */
void
rcb_set (const uv_tcp_t *tcp, uint32_t bytes)
{
  uv_os_fd_t descriptor;
  int size = (int)bytes;
  int window = (int)(bytes * KERNEL_FACTOR);
  if (uv_fileno ((const uv_handle_t *)tcp, &descriptor) == 0
      && setsockopt (descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof size)
             == 0)
    {
      setsockopt (descriptor, IPPROTO_TCP, TCP_WINDOW_CLAMP, &window,
                  sizeof window);
    }
}
