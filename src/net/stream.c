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

/* Returns whether the peer of TCP has closed the connection in order, after a
   read that ended with STATUS, a negative number.  libuv reports the end of
   the connection without another read, so also if a reset has arrived with the
   last bytes; the socket still has the error then.  */
bool
nst_ends_in_order (const uv_tcp_t *tcp, ssize_t status)
{
  uv_os_fd_t descriptor;
  char byte;
  return status == UV_EOF
         && uv_fileno ((const uv_handle_t *)tcp, &descriptor) == 0
         && recv (descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}
