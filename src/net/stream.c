#include "net/stream.h"

#include <sys/socket.h>

/* Lets the read callback of TCP report the end of the connection, from the
   event loop.  Does nothing when TCP is closed.  */
void
nst_end_reading (const uv_tcp_t *tcp)
{
  uv_os_fd_t descriptor;
  if (uv_fileno ((const uv_handle_t *)tcp, &descriptor) == 0)
    {
      shutdown (descriptor, SHUT_RDWR);
    }
}
